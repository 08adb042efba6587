//! One call at its entry: when it is retried or hedged, and which failures are reported as "not
//! run".

use policy::{AttemptError, CallSpec, CallState, Entry, Load, Phase, Route, Step, Time};
use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use world::{Class, Code, Name};

fn entry(targets: usize) -> Entry {
    let mut entry = Entry::new("node-1".into());
    let route = |at| Route { target: format!("target-{at}").into(), rtt_us: 1_000 };
    entry.set_routes(&"bookings".into(), (0..targets).map(route).collect());
    entry
}

fn spec(idempotent: bool, keyed: bool) -> CallSpec {
    CallSpec {
        service: "bookings".into(),
        class: Class::Normal,
        idempotent,
        keyed,
        whole: true,
        deadline: Time(2_000_000),
    }
}

fn begin(entry: &mut Entry, spec: CallSpec, rng: &mut SmallRng) -> (CallState, Name) {
    let (call, step) = entry.begin(Time(0), spec, rng);
    let Step::Send(target) = step else { panic!("{step:?}") };
    (call, target)
}

struct Case {
    name: &'static str,
    idempotent: bool,
    keyed: bool,
    error: AttemptError,
    /// Whether the request is sent to another target.
    is_retried: bool,
    /// Whether the failure is reported as "not run" if the request is not retried.
    not_run: bool,
}

#[test]
fn only_requests_safe_to_retry_are_sent_again() {
    let case = |name, idempotent, keyed, error, is_retried, not_run| Case {
        name,
        idempotent,
        keyed,
        error,
        is_retried,
        not_run,
    };
    let failed = AttemptError::Failed(Code::TargetFailed);
    let cases = [
        case("refused read", true, false, AttemptError::Refused(Code::TargetBusy), true, true),
        case(
            "refused order without a key",
            false,
            false,
            AttemptError::Refused(Code::OutOfService),
            true,
            true,
        ),
        case("quarantined", true, false, AttemptError::Refused(Code::Quarantined), false, true),
        case("store down", false, true, AttemptError::Refused(Code::StoreDown), false, true),
        case("failed read", true, false, failed, true, false),
        case("failed order without a key", false, false, failed, false, false),
        case("failed order with a key", false, true, failed, false, false),
        case("lost read", true, false, AttemptError::Lost, true, false),
        case("lost order without a key", false, false, AttemptError::Lost, false, false),
        case("lost order with a key", false, true, AttemptError::Lost, true, false),
        case(
            "request with the same key still running",
            false,
            true,
            AttemptError::KeyConflict(Code::KeyRunning),
            false,
            false,
        ),
        case(
            "no link to the guard",
            false,
            false,
            AttemptError::Refused(Code::LinkFailed),
            true,
            true,
        ),
    ];
    for case in cases {
        let (mut entry, mut rng) = (entry(4), SmallRng::seed_from_u64(1));
        let (mut call, target) = begin(&mut entry, spec(case.idempotent, case.keyed), &mut rng);
        let step = call.ended(Time(10), &mut entry, &mut rng, &target, case.error, None);
        match step {
            Step::Send(other) => {
                assert!(case.is_retried, "{}", case.name);
                assert_ne!(other, target, "{}", case.name);
            }
            Step::GiveUp(_, not_run) => {
                assert!(!case.is_retried, "{}", case.name);
                assert_eq!(not_run, case.not_run, "{}", case.name);
            }
            other => panic!("{}: {other:?}", case.name),
        }
    }
}

#[test]
fn a_failed_read_is_retried_once_at_most() {
    let (mut entry, mut rng) = (entry(6), SmallRng::seed_from_u64(2));
    let (mut call, first) = begin(&mut entry, spec(true, false), &mut rng);
    let failed = AttemptError::Failed(Code::TargetFailed);
    let Step::Send(second) = call.ended(Time(10), &mut entry, &mut rng, &first, failed, None)
    else {
        panic!("the read was not retried");
    };
    let step = call.ended(Time(20), &mut entry, &mut rng, &second, failed, None);
    assert_eq!(step, Step::GiveUp(Code::TargetFailed, false));
}

#[test]
fn a_streamed_body_is_not_sent_again() {
    let (mut entry, mut rng) = (entry(4), SmallRng::seed_from_u64(3));
    let (mut call, target) = begin(&mut entry, spec(true, false), &mut rng);
    call.body_started(Time(1_000));
    assert_eq!(call.due(), Time(150_000), "the deadline is suspended, the response timeout is not");
    call.guard_responded(&target);
    call.body_sent(Time(90_000_000));
    assert_eq!(call.due(), Time(90_000_000 + 1_999_000));
    let step =
        call.ended(Time(90_000_100), &mut entry, &mut rng, &target, AttemptError::Lost, None);
    assert_eq!(step, Step::GiveUp(Code::LinkFailed, false));
}

#[test]
fn an_unresponsive_guard_is_avoided() {
    let (mut entry, mut rng) = (entry(3), SmallRng::seed_from_u64(4));
    let (mut call, silent) = begin(&mut entry, spec(true, false), &mut rng);
    let step = call.run_timers(Time(150_000), &mut entry, &mut rng);
    assert!(matches!(&step, Step::Send(other) if *other != silent), "{step:?}");
    for _ in 0..50 {
        let (_, target) = begin(&mut entry, spec(true, false), &mut rng);
        assert_ne!(target, silent, "a new call was sent to the unresponsive target");
    }
    let (mut entry, mut rng) = (self::entry(3), SmallRng::seed_from_u64(4));
    let (mut call, _) = begin(&mut entry, spec(false, false), &mut rng);
    let step = call.run_timers(Time(150_000), &mut entry, &mut rng);
    assert_eq!(step, Step::Wait(Time(2_000_000)), "an order without a key is not sent again");
}

#[test]
fn only_idempotent_requests_are_hedged_within_the_budget() {
    let (mut entry, mut rng) = (entry(4), SmallRng::seed_from_u64(5));
    let mut hedges = 0;
    for number in 0..2_000u64 {
        let at = Time(number * 10_000);
        let spec = CallSpec { deadline: at.after(2_000_000), ..spec(number % 2 == 0, false) };
        let (mut call, step) = entry.begin(at, spec, &mut rng);
        let Step::Send(target) = step else { panic!("{step:?}") };
        call.guard_responded(&target);
        let late = at.after(100_000);
        if let Step::Hedge(_) = call.run_timers(late, &mut entry, &mut rng) {
            assert_eq!(number % 2, 0, "a request that is not idempotent was hedged");
            hedges += 1;
        }
        call.answered(at.after(5_000), &mut entry, &target, None);
    }
    assert!(
        (50..=115).contains(&hedges),
        "{hedges} hedges of 2,000 calls; the budget is 5 in 100 and a burst of 10"
    );
}

#[test]
fn an_overloaded_call_fails_at_once_when_all_targets_are_full() {
    let (mut entry, mut rng) = (entry(3), SmallRng::seed_from_u64(6));
    let full = Load::new(Phase::Warm, 1, 12, 24, 5_000.0);
    for at in 0..3 {
        entry.reported(Time(0), &"bookings".into(), &format!("target-{at}"), full);
    }
    let (mut call, target) = begin(&mut entry, spec(true, false), &mut rng);
    let error = AttemptError::Refused(Code::Overload);
    let step = call.ended(Time(1_000), &mut entry, &mut rng, &target, error, Some(full));
    assert_eq!(step, Step::GiveUp(Code::Overload, true));
}

#[test]
fn an_upload_waits_for_room_until_its_deadline() {
    let (mut entry, mut rng) = (entry(2), SmallRng::seed_from_u64(8));
    let upload = CallSpec { class: Class::Bulk, ..spec(false, false) };
    let (mut call, mut target) = begin(&mut entry, upload, &mut rng);
    let mut now = 0;
    let mut sends = 0;
    let step = loop {
        now += 1_000;
        let busy = AttemptError::Refused(Code::TargetBusy);
        match call.ended(Time(now), &mut entry, &mut rng, &target, busy, None) {
            Step::Send(next) => target = next,
            Step::Wait(until) => {
                now = until.0;
                match call.run_timers(until, &mut entry, &mut rng) {
                    Step::Send(next) => target = next,
                    step => break step,
                }
            }
            step => break step,
        }
        sends += 1;
    };
    assert_eq!(step, Step::GiveUp(Code::TargetBusy, true));
    assert!(sends > 30 && now > 1_900_000, "{sends} sends, {now} us");
    let (mut entry, mut rng) = (self::entry(2), SmallRng::seed_from_u64(8));
    let (mut call, target) =
        begin(&mut entry, CallSpec { class: Class::Bulk, ..spec(false, false) }, &mut rng);
    let overload = AttemptError::Refused(Code::Overload);
    let mut step = call.ended(Time(10), &mut entry, &mut rng, &target, overload, None);
    while let Step::Send(next) = step {
        step = call.ended(Time(20), &mut entry, &mut rng, &next, overload, None);
    }
    assert_eq!(step, Step::GiveUp(Code::Overload, true), "overload is not waited out");
}

#[test]
fn a_request_past_its_deadline_is_not_sent() {
    let (mut entry, mut rng) = (entry(3), SmallRng::seed_from_u64(9));
    let late = CallSpec { deadline: Time(0), ..spec(true, false) };
    let (_, step) = entry.begin(Time(0), late, &mut rng);
    assert_eq!(step, Step::GiveUp(Code::DeadlinePassed, true));
}

#[test]
fn without_targets_a_call_fails_at_once() {
    let (mut entry, mut rng) = (entry(0), SmallRng::seed_from_u64(7));
    let (_, step) = entry.begin(Time(0), spec(true, false), &mut rng);
    assert_eq!(step, Step::GiveUp(Code::NoTarget, true));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(11), ..ProptestConfig::default() })]

    /// "Not run" is reported only if no attempt can have run, and a request that nothing protects
    /// from running twice is dispatched at most once.
    #[test]
    fn not_run_is_reported_only_if_no_attempt_can_have_run(errors in prop::collection::vec(0..6u8, 1..12), idempotent: bool, keyed: bool, seed: u64) {
        let (mut entry, mut rng) = (entry(6), SmallRng::seed_from_u64(seed));
        let (mut call, first) = begin(&mut entry, spec(idempotent, keyed), &mut rng);
        let mut open = vec![first];
        let mut ran = 0;
        let mut now = 0;
        for error in errors {
            now += 30_000;
            let step = if error == 5 || open.is_empty() {
                call.run_timers(Time(now), &mut entry, &mut rng)
            } else {
                let target = open.remove(0);
                let error = match error {
                    0 => AttemptError::Refused(Code::TargetBusy),
                    1 => AttemptError::Refused(Code::NoTarget),
                    2 => AttemptError::Failed(Code::TargetFailed),
                    3 => AttemptError::Lost,
                    _ => AttemptError::KeyConflict(Code::KeyUnknown),
                };
                ran += u32::from(!matches!(error, AttemptError::Refused(_)));
                call.ended(Time(now), &mut entry, &mut rng, &target, error, None)
            };
            match step {
                Step::Send(target) | Step::Hedge(target) => {
                    prop_assert!(idempotent || keyed || ran == 0, "an unprotected request was sent again after it may have run");
                    open.push(target);
                    prop_assert!(idempotent || keyed || open.len() == 1);
                }
                Step::GiveUp(_, not_run) => {
                    prop_assert!(!not_run || ran == 0);
                    break;
                }
                Step::Wait(_) => {}
            }
        }
    }
}
