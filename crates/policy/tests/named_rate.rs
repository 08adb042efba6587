//! The limit that a target names, in virtual time.

use policy::{
    Admission, Candidate, Decision, NamedRate, Refusal, Report, RequestEstimate, SlotRequest,
    TargetView, Time, choose,
};
use rand::SeedableRng;
use rand::rngs::SmallRng;

const MS: u64 = 1_000;
const S: u64 = 1_000 * MS;

fn at(ms: u64) -> Time {
    Time(10 * S + ms * MS)
}

/// One answer of a target: when its request was sent, when it arrived, and what it names.
struct Answer {
    sent_ms: u64,
    arrived_ms: u64,
    named: Option<f64>,
    in_force: Option<f64>,
}

// Guards against answers that cross on their way: an old one without a limit must not lift the limit
// that a newer one named, nor raise it.
#[test]
fn an_answer_changes_the_limit_only_if_it_is_certainly_newer_or_lower() {
    let answer =
        |sent_ms, arrived_ms, named, in_force| Answer { sent_ms, arrived_ms, named, in_force };
    let cases = [
        vec![answer(0, 10, None, None)],
        vec![answer(0, 10, Some(20.0), Some(20.0)), answer(11, 20, None, None)],
        vec![answer(0, 10, Some(20.0), Some(20.0)), answer(5, 20, None, Some(20.0))],
        vec![answer(0, 10, Some(20.0), Some(20.0)), answer(5, 20, Some(30.0), Some(20.0))],
        vec![answer(0, 10, Some(20.0), Some(20.0)), answer(5, 20, Some(9.0), Some(9.0))],
        vec![answer(0, 10, Some(20.0), Some(20.0)), answer(10, 20, Some(30.0), Some(30.0))],
        vec![
            answer(0, 10, Some(20.0), Some(20.0)),
            answer(5, 30, Some(20.0), Some(20.0)),
            answer(20, 40, None, Some(20.0)),
            answer(30, 50, None, None),
        ],
        // So high that it is none.
        vec![answer(0, 10, Some(1e300), None)],
    ];
    for answers in cases {
        let mut rate = NamedRate::default();
        for Answer { sent_ms, arrived_ms, named, in_force } in answers {
            rate.answered(at(arrived_ms), at(sent_ms), named);
            assert_eq!(rate.per_s(), in_force, "sent at {sent_ms} ms, names {named:?}");
        }
    }
}

#[test]
fn what_others_remember_counts_until_the_target_answers() {
    let mut rate = NamedRate::default();
    assert!(rate.restore(at(0), 5.0));
    assert!(!rate.restore(at(1), 9.0));
    assert_eq!(rate.per_s(), Some(5.0));
    rate.answered(at(20), at(2), None);
    assert_eq!(rate.per_s(), None);
    for remembered in [5.0, f64::NAN, -1.0, f64::INFINITY] {
        assert!(!rate.restore(at(21), remembered), "{remembered}");
    }
}

// Guards against a burst after a pause, and against a rate that changes with each answer and so fills
// the bucket anew.
#[test]
fn no_window_has_more_than_the_limit_allows() {
    for limit in [0.0, 0.3, 1.0, 7.5, 40.0] {
        let mut rate = NamedRate::default();
        rate.answered(at(0), at(0), Some(limit));
        let mut sent: Vec<u64> = Vec::new();
        for ms in 0..20_000 {
            // Nothing waits for some seconds, now and then.
            let is_busy = ms % 7_000 > 2_500;
            while is_busy && rate.room(at(ms)) != Some(0) {
                rate.sent(at(ms));
                sent.push(ms);
                rate.answered(at(ms), at(ms), Some(limit * 0.999));
                rate.answered(at(ms), at(ms), Some(limit));
            }
        }
        let most = sent.iter().map(|from| {
            let window = *from..from + 4_000;
            sent.iter().filter(|ms| window.contains(ms)).count()
        });
        let most = most.max().unwrap_or_default() as f64;
        assert!(most <= 1.5 * limit * 4.0 + 5.0, "{most} in 4 s at {limit}");
        assert!(most >= limit * 4.0 * 0.95, "{most} in 4 s at {limit}");
    }
}

/// A guard's admission of a warm target with eight slots that names a limit.
fn limited(per_s: f64) -> Admission {
    let mut admission = Admission::default();
    admission.set_slots(8);
    admission.named_mut().answered(at(0), at(0), Some(per_s));
    admission
}

fn request(id: u64, priority: u32, elsewhere: bool) -> SlotRequest {
    let (aim, deadline) = (at(400), at(2_000));
    SlotRequest { id, priority, aim, deadline, work_us: 10 * MS, elsewhere }
}

#[test]
fn what_the_limit_leaves_no_time_for_is_refused_at_once() {
    let mut admission = limited(2.0);
    assert_eq!(admission.admit(at(0), request(1, 1, true)), Decision::Run);
    // Another target may take it.
    assert_eq!(admission.admit(at(1), request(2, 1, true)), Decision::Refuse(Refusal::Limited));
    // One can wait for half a second, a second one would start too late.
    assert_eq!(admission.admit(at(2), request(3, 1, false)), Decision::Wait);
    assert_eq!(admission.admit(at(3), request(4, 1, false)), Decision::Refuse(Refusal::Limited));
    assert_eq!(admission.free_slots(at(4)), -1);
    assert!(admission.due(at(4)) <= at(500), "{}", admission.due(at(4)));
    assert_eq!(admission.poll(at(501)), vec![(3, Decision::Run)]);
}

#[test]
fn more_urgent_requests_go_first_under_a_limit() {
    let mut admission = limited(10.0);
    for id in 1..=2 {
        assert_eq!(admission.admit(at(0), request(id, 2, false)), Decision::Run);
    }
    assert_eq!(admission.admit(at(1), request(3, 2, false)), Decision::Wait);
    assert_eq!(admission.admit(at(2), request(4, 0, false)), Decision::Wait);
    let decided: Vec<u64> =
        (1..40).flat_map(|step| admission.poll(at(step * 10))).map(|(id, _)| id).collect();
    assert_eq!(decided, [4, 3]);
}

#[test]
fn the_lower_of_a_limit_and_a_cold_rate_counts() {
    struct Case {
        limit: f64,
        cold: u32,
        sent: usize,
    }
    let cases = [Case { limit: 4.0, cold: 20, sent: 5 }, Case { limit: 100.0, cold: 6, sent: 6 }];
    for Case { limit, cold, sent } in cases {
        let mut admission = limited(limit);
        admission.warmth_mut().set_limit(cold, false);
        admission.warmth_mut().record_cold(at(0), at(10_000));
        let mut runs = 0;
        for ms in 0..1_000 {
            let decision = admission.admit(at(ms), request(ms, 1, true));
            if decision == Decision::Run {
                runs += 1;
                admission.done(at(ms), ms, Some(10 * MS));
            }
        }
        assert!(runs <= sent, "{runs} at a limit of {limit} and a cold rate of {cold}");
    }
}

// Guards against requests that wait at a limited target while others have room, also long after its
// report, when calls that ran then have ended.
#[test]
fn a_target_without_a_limit_is_preferred_while_its_wait_is_shorter() {
    struct Case {
        /// Requests that the limit allows now; negative if requests wait.
        free: i16,
        limit: f64,
        /// Requests that wait at the other target, which names no limit.
        waiting: i16,
        age_ms: u64,
        /// The target that is chosen.
        chosen: usize,
    }
    let cases = [
        Case { free: 0, limit: 20.0, waiting: 0, age_ms: 1, chosen: 1 },
        Case { free: 0, limit: 20.0, waiting: 0, age_ms: 400, chosen: 1 },
        Case { free: -6, limit: 20.0, waiting: 4, age_ms: 400, chosen: 1 },
        Case { free: -1, limit: 0.5, waiting: 8, age_ms: 1, chosen: 1 },
        Case { free: 6, limit: 20.0, waiting: 8, age_ms: 1, chosen: 0 },
    ];
    let estimate = RequestEstimate { work_us: 100.0 * MS as f64, bytes: 1_000.0 };
    for (number, case) in cases.into_iter().enumerate() {
        let mut views = [TargetView::default(), TargetView::default()];
        let report = Report { open: true, free: case.free, slots: 8, slowness: 10, strain: 0 };
        views[0].reported(at(0), report);
        views[0].named_limit = Some(case.limit);
        views[1].reported(at(0), Report { free: -case.waiting, ..report });
        for seed in 0..20 {
            let mut rng = SmallRng::seed_from_u64(seed);
            let candidates = views.iter().map(|view| Candidate { view, near: true });
            let chosen = choose(at(case.age_ms), &mut rng, &estimate, candidates);
            assert_eq!(chosen, Some(case.chosen), "case {number}, seed {seed}");
        }
    }
}
