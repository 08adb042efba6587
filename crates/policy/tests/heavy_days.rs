//! Load patterns of heavy days, played on the decisions in virtual time: noisy neighbours, targets
//! that slow down when nearly full, more work than can meet its objective, cold starts, repeats.

use policy::{
    Admission, Candidate, Decision, Knee, Occupancy, RateWindow, Refusal, Report, RequestEstimate,
    RetryBound, RetryBudget, SlotRequest, TargetView, Time, choose,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const MS: u64 = 1_000;

fn at(ms: u64) -> Time {
    Time(1_000_000_000 + ms * MS)
}

fn offering(id: u64, aim_ms: u64, deadline_ms: u64) -> SlotRequest {
    let (aim, deadline) = (at(aim_ms), at(deadline_ms));
    SlotRequest { id, priority: 1, aim, deadline, work_us: 100 * MS, elsewhere: false }
}

fn admission(slots: u32) -> Admission {
    let mut admission = Admission::default();
    admission.set_slots(slots);
    admission
}

mod late_objectives {
    use super::*;

    #[test]
    fn what_can_still_meet_its_objective_goes_first_the_nearest_first() {
        let mut admission = admission(1);
        assert_eq!(admission.admit(at(0), offering(1, 300, 2_000)), Decision::Run);
        // By the time a slot is free, 2 is past its objective, and 4 is nearer to its than 3.
        for (id, aim_ms) in [(2, 150), (3, 900), (4, 600)] {
            assert_eq!(admission.admit(at(0), offering(id, aim_ms, 2_000)), Decision::Wait);
        }
        let mut order = Vec::new();
        for (done, id) in [(100, 1), (200, 4), (300, 3)] {
            admission.done(at(done), id, Some(100 * MS));
            order.extend(admission.poll(at(done)).into_iter().map(|(id, _)| id));
        }
        assert_eq!(order, [4, 3, 2]);
    }

    #[test]
    fn what_cannot_be_served_is_refused_at_once_and_nothing_waits_to_its_deadline() {
        let mut admission = admission(2);
        let offers = (0..40).map(|id| admission.admit(at(0), offering(id, 300, 1_000)));
        let offers: Vec<Decision> = offers.collect();
        let waits = offers.iter().filter(|admitted| **admitted == Decision::Wait).count();
        assert_eq!(offers[0], Decision::Run);
        assert_eq!(offers[39], Decision::Refuse(Refusal::Full));
        // Two slots start a request each 50 ms, and none waits longer than 400 ms.
        assert!((5..=8).contains(&waits), "{waits} wait");
        let due = admission.due(at(0));
        assert_eq!(due, at(400));
        let refused = admission.poll(due);
        assert_eq!(refused.len(), waits);
        assert!(refused.iter().all(|(_, end)| *end == Decision::Refuse(Refusal::Full)));
    }

    #[test]
    fn a_request_that_others_may_take_does_not_wait() {
        let mut admission = admission(1);
        assert_eq!(admission.admit(at(0), offering(1, 300, 1_000)), Decision::Run);
        let elsewhere = SlotRequest { elsewhere: true, ..offering(2, 300, 1_000) };
        assert_eq!(admission.admit(at(0), elsewhere), Decision::Refuse(Refusal::Busy));
        assert_eq!(admission.admit(at(1_000), elsewhere), Decision::Refuse(Refusal::Late));
    }

    #[test]
    fn slots_are_never_exceeded_whatever_happens() {
        for seed in 0..50 {
            let mut rng = SmallRng::seed_from_u64(seed);
            let mut admission = admission(4);
            let mut running = Vec::new();
            for step in 0..2_000 {
                let now = at(step * 7);
                let id = step;
                match rng.random_range(0..3) {
                    0 | 1 => {
                        let aim_ms = step * 7 + rng.random_range(0..500);
                        let deadline_ms = aim_ms + rng.random_range(0..700);
                        let offered = admission.admit(now, offering(id, aim_ms, deadline_ms));
                        running.extend((offered == Decision::Run).then_some(id));
                    }
                    _ if running.is_empty() => {}
                    _ => {
                        let at = rng.random_range(0..running.len());
                        admission.done(now, running.swap_remove(at), Some(50 * MS));
                    }
                }
                let decided = admission.poll(now).into_iter();
                let runs = decided.filter(|(_, admitted)| *admitted == Decision::Run);
                running.extend(runs.map(|(id, _)| id));
                assert!(running.len() <= 4, "seed {seed}");
                assert_eq!(running.len(), admission.running() as usize, "seed {seed}");
            }
        }
    }
}

mod noisy_neighbours {
    use super::*;

    fn view(slowness: u8, free: i16, now: Time) -> TargetView {
        let mut view = TargetView::default();
        view.reported(now, Report { open: true, free, slots: 12, slowness, strain: 0 });
        view
    }

    /// Returns how often each of two views is chosen of 1,000 times.
    fn chosen(now: Time, views: &[(TargetView, bool); 2], bytes: f64) -> [usize; 2] {
        let mut rng = SmallRng::seed_from_u64(7);
        let weight = RequestEstimate { work_us: 100.0 * MS as f64, bytes };
        let mut counts = [0; 2];
        for _ in 0..1_000 {
            let candidates = views.iter().map(|(view, near)| Candidate { view, near: *near });
            counts[choose(now, &mut rng, &weight, candidates).unwrap()] += 1;
        }
        counts
    }

    #[test]
    fn a_vm_that_is_slow_now_is_left_alone_and_old_news_of_it_is_worth_little() {
        let views = [(view(50, 6, at(0)), true), (view(10, 6, at(0)), true)];
        assert_eq!(chosen(at(10), &views, 500.0)[0], 0);
        let late = chosen(at(1_000), &views, 500.0);
        assert!(late[0] > 300, "{late:?}");
    }

    #[test]
    fn a_target_that_nothing_is_reported_of_is_chosen_last() {
        let views = [(view(10, 12, at(0)), true), (view(50, 0, at(1_500)), true)];
        assert!(chosen(at(1_600), &views, 500.0)[0] > 900);
        assert_eq!(chosen(at(1_800), &views, 500.0)[0], 0);
    }

    #[test]
    fn a_guard_sends_a_request_elsewhere_while_its_vm_is_slow() {
        let mut admission = admission(8);
        admission.set_slowness(at(0), 5.0);
        let elsewhere = SlotRequest { elsewhere: true, ..offering(1, 300, 1_000) };
        assert_eq!(admission.admit(at(10), elsewhere), Decision::Refuse(Refusal::Slow));
        // After a neighbour's spell its word is worth nothing: the guard looks again.
        assert_eq!(admission.admit(at(200), elsewhere), Decision::Wait);
        assert!(admission.needs_probe(at(200)));
        admission.set_slowness(at(202), 1.0);
        assert_eq!(admission.poll(at(202)), [(1, Decision::Run)]);
        admission.done(at(300), 1, Some(98 * MS));
        assert_eq!(admission.admit(at(340), elsewhere), Decision::Wait);
        admission.set_slowness(at(342), 5.0);
        assert_eq!(admission.poll(at(342)), [(1, Decision::Refuse(Refusal::Slow))]);
    }

    #[test]
    fn work_that_no_other_target_takes_waits_until_the_vm_is_quiet() {
        let mut admission = admission(8);
        admission.set_slowness(at(0), 5.0);
        assert_eq!(admission.admit(at(10), offering(1, 300, 2_000)), Decision::Wait);
        assert!(!admission.needs_probe(at(10)), "it was seen 10 ms ago");
        assert_eq!(admission.due(at(10)), at(25));
        for look_ms in [25, 50, 75] {
            assert!(admission.needs_probe(at(look_ms)));
            admission.set_slowness(at(look_ms), 5.0);
            assert_eq!(admission.poll(at(look_ms)), []);
        }
        admission.set_slowness(at(101), 1.0);
        assert_eq!(admission.poll(at(101)), [(1, Decision::Run)]);
    }

    #[test]
    fn a_vm_that_stays_slow_is_given_work_all_the_same() {
        let mut admission = admission(8);
        for look_ms in (0..=600).step_by(25) {
            admission.set_slowness(at(look_ms), 5.0);
        }
        assert_eq!(admission.admit(at(610), offering(1, 300, 2_000)), Decision::Run);
        let elsewhere = SlotRequest { elsewhere: true, ..offering(2, 300, 2_000) };
        assert_eq!(admission.admit(at(610), elsewhere), Decision::Refuse(Refusal::Slow));
    }

    #[test]
    fn short_work_and_cold_targets_are_not_looked_at() {
        let mut admission = admission(8);
        admission.set_slowness(at(0), 1.0);
        let short = SlotRequest { work_us: 20 * MS, ..offering(1, 300, 2_000) };
        assert_eq!(admission.admit(at(500), short), Decision::Run);
        admission.set_warmup(at(3_000), 20);
        assert_eq!(admission.admit(at(500), offering(2, 300, 2_000)), Decision::Run);
    }

    #[test]
    fn a_look_that_tells_nothing_holds_nothing_up() {
        let mut admission = admission(8);
        admission.set_slowness(at(0), 5.0);
        assert_eq!(admission.admit(at(500), offering(1, 300, 2_000)), Decision::Wait);
        admission.set_slowness_unknown(at(540));
        assert_eq!(admission.poll(at(540)), [(1, Decision::Run)]);
        assert_eq!(admission.admit(at(900), offering(2, 300, 2_000)), Decision::Run);
    }

    #[test]
    fn a_full_target_is_not_looked_at_while_work_waits() {
        let mut admission = admission(1);
        admission.set_slowness(at(0), 1.0);
        assert_eq!(admission.admit(at(1), offering(1, 300, 2_000)), Decision::Run);
        assert_eq!(admission.admit(at(60), offering(2, 300, 2_000)), Decision::Wait);
        assert!(!admission.needs_probe(at(60)));
        assert!(admission.due(at(60)) > at(600));
        admission.done(at(150), 1, Some(149 * MS));
        assert!(admission.needs_probe(at(150)));
    }

    #[test]
    fn uploads_stay_in_their_data_centre_and_small_requests_may_leave_it() {
        let views = [(view(10, 2, at(0)), true), (view(10, 11, at(0)), false)];
        assert_eq!(chosen(at(1), &views, 60_000.0)[1], 0);
        assert!(chosen(at(1), &views, 500.0)[1] > 500);
    }

    #[test]
    fn a_target_that_fails_is_chosen_less_and_a_silent_one_last() {
        let mut failing = view(10, 6, at(0));
        (0..10).for_each(|_| failing.ended(at(0), false));
        let views = [(failing, true), (view(10, 6, at(0)), true)];
        assert_eq!(chosen(at(10), &views, 500.0)[0], 0);
        let mut silent = view(10, 12, at(0));
        silent.mark_unresponsive();
        let views = [(silent, true), (view(50, 0, at(0)), true)];
        assert_eq!(chosen(at(10), &views, 500.0)[0], 0);
    }
}

mod nearly_full {
    use super::*;

    /// Plays answers of a target that works `strain` times slower beyond four fifths of its slots.
    fn learn(strain: f64, seed: u64) -> Option<f64> {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut knee = Knee::default();
        for _ in 0..400 {
            let usage = Knee::usage(rng.random_range(1..=12), 12);
            let work = rng.random_range(0.6..1.4);
            let ratio = if usage == Occupancy::High { work * strain } else { work };
            knee.answered(usage, ratio);
        }
        knee.strain()
    }

    #[test]
    fn a_target_that_slows_down_is_told_from_one_that_does_not() {
        for seed in 0..20 {
            assert!(learn(1.7, seed).unwrap() > 1.25, "seed {seed}");
            assert!(learn(1.0, seed).unwrap() < 1.25, "seed {seed}");
        }
    }

    #[test]
    fn it_is_kept_below_that_point_once_its_service_is_known_to_slow_down() {
        let mut admission = admission(12);
        let mut free = |strain| {
            admission.set_service_strain(strain);
            admission.free_slots(at(0))
        };
        assert_eq!([free(None), free(Some(1.1)), free(Some(1.6))], [12, 12, 9]);
    }
}

mod cold_starts {
    use super::*;

    #[test]
    fn no_second_holds_more_than_a_cold_target_bears() {
        let mut admission = admission(50);
        admission.set_warmup(at(5_000), 30);
        let mut sent: Vec<u64> = Vec::new();
        for ms in 0..4_000 {
            let offered = admission.admit(at(ms), offering(ms, ms + 300, ms + 20));
            let decided = admission.poll(at(ms)).into_iter();
            let started = decided.filter(|(_, admitted)| *admitted == Decision::Run).count();
            let started = started + usize::from(offered == Decision::Run);
            sent.extend(std::iter::repeat_n(ms, started));
            (0..=ms).for_each(|id| admission.done(at(ms), id, None));
        }
        for from in &sent {
            let second = *from..*from + 1_000;
            let count = sent.iter().filter(|ms| second.contains(ms)).count();
            assert!(count <= 30, "{count} within a second of {from} ms");
        }
        assert!(sent.len() > 100, "{} in four seconds", sent.len());
    }

    #[test]
    fn the_window_slides() {
        let mut window = RateWindow::default();
        (0..3).for_each(|step| window.sent(at(step * 400)));
        assert_eq!(window.room(at(900), 3), 0);
        assert_eq!(window.room(at(1_100), 3), 1);
        assert_eq!(window.next_room(at(1_100)), at(1_450));
    }
}

mod repeats {
    use super::*;

    const BOUND: RetryBound = RetryBound { ratio: 0.2, slack: 64.0, window_us: 10_000_000 };

    #[test]
    fn nodes_together_keep_the_bound_without_agreement() {
        let nodes = 13;
        let mut budgets = vec![RetryBudget::default(); nodes];
        let (mut requests, mut repeats) = (0, 0);
        for step in 0..8_000 {
            let budget = &mut budgets[step % nodes];
            let now = Time(step as u64 * 1_000);
            budget.record_request(now, &BOUND);
            requests += 1;
            repeats += usize::from(budget.take(now, &BOUND, nodes));
        }
        let most = 0.2 * requests as f64 + 64.0;
        assert!(repeats as f64 <= most, "{repeats} of at most {most}");
        assert!(repeats > 500, "{repeats}");
    }

    #[test]
    fn what_was_spent_long_ago_is_forgotten() {
        let mut budget = RetryBudget::default();
        while budget.take(Time(0), &BOUND, 4) {}
        assert!(!budget.take(Time(5_000_000), &BOUND, 4));
        assert!(budget.take(Time(11_000_000), &BOUND, 4));
    }
}

mod bytes_between_data_centres {
    use super::*;

    struct Case {
        what: &'static str,
        /// The near target: how slow, and its free slots of 12.
        near: (u8, i16),
        /// Whether it is chosen before an idle one in another data centre.
        first: bool,
    }

    #[test]
    fn a_near_target_with_room_goes_before_an_idle_one_elsewhere() {
        let cases = [
            Case { what: "half full", near: (10, 6), first: true },
            Case { what: "nothing known of its VM", near: (0, 5), first: true },
            Case { what: "nearly full", near: (10, 1), first: false },
            Case { what: "requests wait", near: (10, -3), first: false },
            Case { what: "slow", near: (50, 12), first: false },
        ];
        let weight = RequestEstimate { work_us: 100.0 * MS as f64, bytes: 2_000.0 };
        for Case { what, near, first } in cases {
            let mut rng = SmallRng::seed_from_u64(7);
            let views = [near, (10, 12)].map(|(slowness, free)| {
                let mut view = TargetView::default();
                view.reported(at(0), Report { open: true, free, slots: 12, slowness, strain: 0 });
                view
            });
            let mut count = 0;
            for _ in 0..1_000 {
                let candidates = views.iter().zip([true, false]);
                let candidates = candidates.map(|(view, near)| Candidate { view, near });
                count += usize::from(choose(at(10), &mut rng, &weight, candidates) == Some(0));
            }
            let expected = if first { 1_000..=1_000 } else { 0..=100 };
            assert!(expected.contains(&count), "{what}: {count}");
        }
    }

    #[test]
    fn a_large_body_waits_for_a_near_vm_and_a_small_one_moves_on() {
        let weight = |bytes| RequestEstimate { work_us: 100.0 * MS as f64, bytes };
        assert!(weight(60_000.0).is_cheaper_near());
        assert!(!weight(2_000.0).is_cheaper_near());
    }
}
