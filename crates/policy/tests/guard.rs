//! The guard: concurrency limit, warm-up, slowdowns, queue, draining.

use policy::{DispatchOutcome, DispatchRequest, Guard, GuardAction, Phase, Time, WarmupSettings};
use proptest::prelude::*;
use world::{Announcement, Class, Code, TargetState};

const SETTINGS: WarmupSettings = WarmupSettings { cold_slots: 2, warm_answers: 4 };
const SERVICE_US: u64 = 5_000;

fn announcement(incarnation: u64, state: TargetState) -> Announcement {
    Announcement {
        service: "listings".into(),
        address: ([127, 0, 0, 1], 80).into(),
        slots: 12,
        incarnation,
        state,
        running: 0,
    }
}

fn guard() -> Guard {
    let mut guard = Guard::new(Time(0), SETTINGS);
    guard.announced(Time(0), announcement(1, TargetState::Warm));
    guard
}

fn request(id: u64, class: Class) -> DispatchRequest {
    DispatchRequest { id, class, deadline: Time(60_000_000), spare: false }
}

/// Runs one request to its answer. Returns when it ended.
fn answer(guard: &mut Guard, id: u64, at: u64) -> u64 {
    assert_eq!(guard.submit(Time(at), request(id, Class::Normal)), [GuardAction::Run(id)]);
    guard.body_received(Time(at), id);
    let done = at + SERVICE_US;
    guard.answer_started(Time(done), id, true);
    guard.done(Time(done), id, DispatchOutcome::Answered);
    done
}

/// Answers requests until the target is warm. Returns when it is.
fn warm(guard: &mut Guard) -> u64 {
    let mut at = 0;
    for id in 0..40 {
        at = answer(guard, id, at);
        guard.announced(Time(at), announcement(1, TargetState::Warm));
    }
    assert_eq!(guard.phase(), Phase::Warm);
    at
}

#[test]
fn the_limit_of_a_cold_target_rises_with_its_answers() {
    let mut guard = guard();
    let mut at = 0;
    for id in 0..40 {
        let limit = u64::from(guard.load().limit);
        assert_eq!(limit, 2 + id / 4, "after {id} answers");
        at = answer(&mut guard, id, at);
    }
    assert_eq!((guard.load().limit, guard.phase()), (12, Phase::Warm));
}

/// A sign that the target is cold again.
struct Sign {
    what: &'static str,
    apply: fn(&mut Guard, Time),
}

#[test]
fn the_first_sign_of_a_cold_target_cuts_the_limit_before_the_next_dispatch() {
    let signs = [
        Sign {
            what: "shed",
            apply: |guard, now| {
                guard.done(now, 100, DispatchOutcome::Shed);
            },
        },
        Sign {
            what: "broken connection",
            apply: |guard, now| {
                guard.done(now, 100, DispatchOutcome::Broken);
            },
        },
        Sign {
            what: "restarted",
            apply: |guard, now| {
                guard.announced(now, announcement(2, TargetState::Warm));
            },
        },
        Sign {
            what: "announced as cold",
            apply: |guard, now| {
                guard.announced(now, announcement(1, TargetState::Cold));
            },
        },
    ];
    for sign in signs {
        let mut guard = guard();
        let at = warm(&mut guard);
        for id in 100..106 {
            assert_eq!(guard.submit(Time(at), request(id, Class::Normal)), [GuardAction::Run(id)]);
        }
        (sign.apply)(&mut guard, Time(at + 1));
        assert_eq!((guard.load().limit, guard.phase()), (2, Phase::Cold), "{}", sign.what);
        let next = guard.submit(Time(at + 2), request(200, Class::Normal));
        assert!(!next.contains(&GuardAction::Run(200)), "{}", sign.what);
    }
}

#[test]
fn missing_answers_reveal_a_slow_target() {
    let mut guard = guard();
    let at = warm(&mut guard);
    for id in 100..110 {
        guard.submit(Time(at), request(id, Class::Normal));
        guard.body_received(Time(at), id);
    }
    let actions = guard.tick(Time(at + 2_000));
    assert!(actions.is_empty(), "ten answers are due within 5 ms, none is late after 2");
    let actions = guard.tick(Time(at + 12_000));
    let warned = actions.iter().filter(|action| matches!(action, GuardAction::Slow(_))).count();
    assert_eq!((warned, guard.load().limit), (10, 2));
    assert!(guard.tick(Time(at + 40_000)).is_empty(), "each entry is warned only once");
}

#[test]
fn answers_to_requests_from_before_a_cut_do_not_raise_the_limit() {
    let mut guard = guard();
    let at = warm(&mut guard);
    for id in 100..112 {
        guard.submit(Time(at), request(id, Class::Normal));
        guard.body_received(Time(at), id);
    }
    guard.done(Time(at + 10), 100, DispatchOutcome::Shed);
    for id in 101..112 {
        guard.answer_started(Time(at + SERVICE_US), id, true);
        guard.done(Time(at + SERVICE_US), id, DispatchOutcome::Answered);
    }
    assert_eq!(guard.load().limit, 2, "requests dispatched before the cut do not raise the limit");
}

#[test]
fn a_request_whose_body_is_still_arriving_does_not_count_as_slow() {
    let mut guard = guard();
    let at = warm(&mut guard);
    for id in 100..110 {
        guard.submit(Time(at), request(id, Class::Bulk));
    }
    for ms in 1..500 {
        guard.announced(Time(at + ms * 1_000), announcement(1, TargetState::Warm));
        assert!(guard.tick(Time(at + ms * 1_000)).is_empty(), "their bodies are still arriving");
    }
    assert_eq!(guard.load().limit, 12);
}

#[test]
fn waiting_requests_are_served_by_class() {
    let mut guard = guard();
    answer(&mut guard, 1, 0);
    for id in [10, 11] {
        guard.submit(Time(6_000), request(id, Class::Normal));
    }
    guard.submit(Time(6_000), request(20, Class::Bulk));
    guard.submit(Time(6_000), request(21, Class::Normal));
    guard.submit(Time(6_000), request(22, Class::Internal));
    let next = guard.done(Time(6_001), 10, DispatchOutcome::Answered);
    assert_eq!(next, [GuardAction::Run(22)], "internal requests first");
    let next = guard.done(Time(6_002), 11, DispatchOutcome::Answered);
    assert_eq!(next, [GuardAction::Run(21)]);
}

#[test]
fn a_full_queue_evicts_a_lower_class() {
    let mut guard = guard();
    answer(&mut guard, 1, 0);
    let mut refused = Vec::new();
    for id in 10..20 {
        refused.extend(guard.submit(Time(6_000), request(id, Class::Bulk)));
    }
    let actions = guard.submit(Time(6_001), request(50, Class::Favoured));
    let evicted =
        actions.iter().any(|action| matches!(action, GuardAction::Refuse(id, _) if *id < 20));
    assert!(evicted, "{actions:?}");
    assert!(!actions.contains(&GuardAction::Refuse(50, Code::TargetBusy)));
}

struct Leaving {
    what: &'static str,
    leave: fn(&mut Guard) -> Vec<GuardAction>,
    code: Code,
}

#[test]
fn new_requests_are_refused_and_running_ones_finish_when_the_target_leaves() {
    let cases = [
        Leaving { what: "node drains", leave: |guard| guard.drain(), code: Code::ShuttingDown },
        Leaving {
            what: "data centre out",
            leave: |guard| guard.set_out(Time(6_000), true),
            code: Code::OutOfService,
        },
        Leaving {
            what: "target drains",
            leave: |guard| {
                guard.announced(Time(6_000), announcement(1, TargetState::Draining));
                Vec::new()
            },
            code: Code::OutOfService,
        },
        Leaving { what: "target down", leave: |guard| guard.target_down(), code: Code::NoTarget },
    ];
    for case in cases {
        let mut guard = guard();
        answer(&mut guard, 1, 0);
        guard.submit(Time(5_500), request(2, Class::Bulk));
        (case.leave)(&mut guard);
        let refused = guard.submit(Time(6_001), request(3, Class::Normal));
        assert_eq!(refused, [GuardAction::Refuse(3, case.code)], "{}", case.what);
        assert_eq!(guard.pending(), 1, "{}: the upload continues", case.what);
        guard.done(Time(9_000_000), 2, DispatchOutcome::Answered);
        assert_eq!(guard.pending(), 0, "{}", case.what);
    }
}

#[test]
fn a_data_centre_back_in_service_starts_cold() {
    let mut guard = guard();
    let at = warm(&mut guard);
    guard.set_out(Time(at), true);
    guard.set_out(Time(at + 1), true);
    guard.set_out(Time(at + 2), false);
    assert_eq!((guard.load().limit, guard.phase()), (2, Phase::Cold));
}

#[test]
fn a_target_without_heartbeats_is_down() {
    let mut guard = guard();
    answer(&mut guard, 1, 0);
    guard.tick(Time(3_500_000));
    assert_eq!(guard.phase(), Phase::Down);
    assert!(guard.announced(Time(3_600_000), announcement(1, TargetState::Warm)));
    assert_eq!(guard.phase(), Phase::Cold, "a target that comes back is cold");
}

#[test]
fn an_announcement_of_an_earlier_incarnation_is_ignored() {
    let mut guard = guard();
    guard.announced(Time(1), announcement(5, TargetState::Warm));
    assert!(!guard.announced(Time(2), announcement(4, TargetState::Draining)));
    assert_eq!(guard.phase(), Phase::Cold);
}

#[derive(Clone, Debug)]
enum Event {
    Submit(Class),
    Answer(usize),
    Shed(usize),
    Cancel(usize),
    Withdraw(u64),
    Wait(u64),
    Announce(u64),
    Out(bool),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        8 => (0..4usize).prop_map(|at| Event::Submit(Class::ALL[at])),
        8 => any::<usize>().prop_map(Event::Answer),
        1 => any::<usize>().prop_map(Event::Shed),
        1 => any::<usize>().prop_map(Event::Cancel),
        1 => (0..200u64).prop_map(Event::Withdraw),
        6 => (0..20_000u64).prop_map(Event::Wait),
        1 => (1..4u64).prop_map(Event::Announce),
        1 => any::<bool>().prop_map(Event::Out),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    /// Under any sequence of events, each request is decided once, a dispatch never exceeds the
    /// limit, and never more requests run than the target has slots.
    #[test]
    fn limit_and_slots_are_never_exceeded(events in prop::collection::vec(event(), 1..300)) {
        let mut guard = guard();
        let mut now = 0;
        let mut next = 0;
        let mut running: Vec<u64> = Vec::new();
        let mut decided: Vec<u64> = Vec::new();
        for event in events {
            let time = Time(now);
            let actions = match event {
                Event::Submit(class) => {
                    next += 1;
                    guard.submit(time, request(next, class))
                }
                Event::Answer(at) if !running.is_empty() => {
                    let id = running.remove(at % running.len());
                    guard.body_received(time, id);
                    guard.answer_started(time, id, true);
                    guard.done(time, id, DispatchOutcome::Answered)
                }
                Event::Shed(at) if !running.is_empty() => {
                    let id = running.remove(at % running.len());
                    guard.done(time, id, DispatchOutcome::Shed)
                }
                Event::Cancel(at) if !running.is_empty() => {
                    let id = running.remove(at % running.len());
                    guard.done(time, id, DispatchOutcome::Cancelled)
                }
                Event::Withdraw(id) => {
                    if guard.withdraw(id) {
                        decided.push(id);
                    }
                    Vec::new()
                }
                Event::Wait(us) => {
                    now += us;
                    guard.tick(Time(now))
                }
                Event::Announce(incarnation) => {
                    guard.announced(time, announcement(incarnation, TargetState::Warm));
                    Vec::new()
                }
                Event::Out(out) => guard.set_out(time, out),
                _ => Vec::new(),
            };
            let before = running.len();
            for action in &actions {
                match action {
                    GuardAction::Run(id) => {
                        running.push(*id);
                        decided.push(*id);
                    }
                    GuardAction::Refuse(id, _) => decided.push(*id),
                    GuardAction::Slow(id) => prop_assert!(running.contains(id)),
                }
            }
            if running.len() > before {
                prop_assert!(running.len() <= usize::from(guard.load().limit));
            }
            prop_assert!(running.len() <= 12);
            let mut unique = decided.clone();
            unique.sort_unstable();
            unique.dedup();
            prop_assert_eq!(unique.len(), decided.len(), "a request was decided twice");
        }
    }
}
