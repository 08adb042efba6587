//! One call at its entry: when it is sent again, and what its caller may be told.

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

fn ask(idempotent: bool, keyed: bool) -> CallSpec {
    CallSpec {
        service: "bookings".into(),
        class: Class::Normal,
        idempotent,
        keyed,
        whole: true,
        deadline: Time(2_000_000),
    }
}

fn begin(entry: &mut Entry, ask: CallSpec, rng: &mut SmallRng) -> (CallState, Name) {
    let (call, step) = entry.begin(Time(0), ask, rng);
    let Step::Send(target) = step else { panic!("{step:?}") };
    (call, target)
}

struct Ended {
    what: &'static str,
    idempotent: bool,
    keyed: bool,
    end: AttemptError,
    /// Whether it is sent to another target.
    again: bool,
    /// Whether the caller may be told "not run" where it is not.
    not_run: bool,
}

#[test]
fn only_what_is_safe_is_sent_again() {
    let case = |what, idempotent, keyed, end, again, not_run| Ended {
        what,
        idempotent,
        keyed,
        end,
        again,
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
            "key still running",
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
        let (mut call, target) = begin(&mut entry, ask(case.idempotent, case.keyed), &mut rng);
        let step = call.ended(Time(10), &mut entry, &mut rng, &target, case.end, None);
        match step {
            Step::Send(other) => {
                assert!(case.again, "{}", case.what);
                assert_ne!(other, target, "{}", case.what);
            }
            Step::GiveUp(_, not_run) => {
                assert!(!case.again, "{}", case.what);
                assert_eq!(not_run, case.not_run, "{}", case.what);
            }
            other => panic!("{}: {other:?}", case.what),
        }
    }
}

#[test]
fn a_target_that_died_is_followed_by_one_repeat_at_most() {
    let (mut entry, mut rng) = (entry(6), SmallRng::seed_from_u64(2));
    let (mut call, first) = begin(&mut entry, ask(true, false), &mut rng);
    let died = AttemptError::Failed(Code::TargetFailed);
    let Step::Send(second) = call.ended(Time(10), &mut entry, &mut rng, &first, died, None) else {
        panic!("no repeat");
    };
    let step = call.ended(Time(20), &mut entry, &mut rng, &second, died, None);
    assert_eq!(step, Step::GiveUp(Code::TargetFailed, false));
}

#[test]
fn a_body_that_flowed_is_not_sent_again() {
    let (mut entry, mut rng) = (entry(4), SmallRng::seed_from_u64(3));
    let (mut call, target) = begin(&mut entry, ask(true, false), &mut rng);
    call.body_started(Time(1_000));
    assert_eq!(call.due(), Time(150_000), "the deadline waits for the body, silence does not");
    call.guard_responded(&target);
    call.body_sent(Time(90_000_000));
    assert_eq!(call.due(), Time(90_000_000 + 1_999_000));
    let step =
        call.ended(Time(90_000_100), &mut entry, &mut rng, &target, AttemptError::Lost, None);
    assert_eq!(step, Step::GiveUp(Code::LinkFailed, false));
}

#[test]
fn a_silent_guard_is_doubted_and_left() {
    let (mut entry, mut rng) = (entry(3), SmallRng::seed_from_u64(4));
    let (mut call, silent) = begin(&mut entry, ask(true, false), &mut rng);
    let step = call.run_timers(Time(150_000), &mut entry, &mut rng);
    assert!(matches!(&step, Step::Send(other) if *other != silent), "{step:?}");
    for _ in 0..50 {
        let (_, target) = begin(&mut entry, ask(true, false), &mut rng);
        assert_ne!(target, silent, "new calls stay away");
    }
    let (mut entry, mut rng) = (self::entry(3), SmallRng::seed_from_u64(4));
    let (mut call, _) = begin(&mut entry, ask(false, false), &mut rng);
    let step = call.run_timers(Time(150_000), &mut entry, &mut rng);
    assert_eq!(step, Step::Wait(Time(2_000_000)), "an order without a key only waits");
}

#[test]
fn hedges_are_few_and_only_for_what_may_run_twice() {
    let (mut entry, mut rng) = (entry(4), SmallRng::seed_from_u64(5));
    let mut hedges = 0;
    for number in 0..2_000u64 {
        let at = Time(number * 10_000);
        let asked = CallSpec { deadline: at.after(2_000_000), ..ask(number % 2 == 0, false) };
        let (mut call, step) = entry.begin(at, asked, &mut rng);
        let Step::Send(target) = step else { panic!("{step:?}") };
        call.guard_responded(&target);
        let late = at.after(100_000);
        if let Step::Hedge(_) = call.run_timers(late, &mut entry, &mut rng) {
            assert_eq!(number % 2, 0, "an order was hedged");
            hedges += 1;
        }
        call.answered(at.after(5_000), &mut entry, &target, None);
    }
    assert!((50..=115).contains(&hedges), "{hedges} of 2,000, allowed 5 in 100 and 10 saved up");
}

#[test]
fn when_all_are_full_a_refusal_is_early() {
    let (mut entry, mut rng) = (entry(3), SmallRng::seed_from_u64(6));
    let full = Load::new(Phase::Warm, 1, 12, 24, 5_000.0);
    for at in 0..3 {
        entry.reported(Time(0), &"bookings".into(), &format!("target-{at}"), full);
    }
    let (mut call, target) = begin(&mut entry, ask(true, false), &mut rng);
    let end = AttemptError::Refused(Code::Overload);
    let step = call.ended(Time(1_000), &mut entry, &mut rng, &target, end, Some(full));
    assert_eq!(step, Step::GiveUp(Code::Overload, true));
}

#[test]
fn an_upload_waits_for_room_until_its_deadline() {
    let (mut entry, mut rng) = (entry(2), SmallRng::seed_from_u64(8));
    let upload = CallSpec { class: Class::Bulk, ..ask(false, false) };
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
        begin(&mut entry, CallSpec { class: Class::Bulk, ..ask(false, false) }, &mut rng);
    let overload = AttemptError::Refused(Code::Overload);
    let mut step = call.ended(Time(10), &mut entry, &mut rng, &target, overload, None);
    while let Step::Send(next) = step {
        step = call.ended(Time(20), &mut entry, &mut rng, &next, overload, None);
    }
    assert_eq!(step, Step::GiveUp(Code::Overload, true), "overload is told at once");
}

#[test]
fn what_comes_too_late_is_not_sent() {
    let (mut entry, mut rng) = (entry(3), SmallRng::seed_from_u64(9));
    let late = CallSpec { deadline: Time(0), ..ask(true, false) };
    let (_, step) = entry.begin(Time(0), late, &mut rng);
    assert_eq!(step, Step::GiveUp(Code::DeadlinePassed, true));
}

#[test]
fn without_targets_the_caller_is_told_at_once() {
    let (mut entry, mut rng) = (entry(0), SmallRng::seed_from_u64(7));
    let (_, step) = entry.begin(Time(0), ask(true, false), &mut rng);
    assert_eq!(step, Step::GiveUp(Code::NoTarget, true));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(11), ..ProptestConfig::default() })]

    /// "Not run" is told only where no attempt can have run, and a request that nothing protects
    /// is dispatched once at most.
    #[test]
    fn not_run_is_true(ends in prop::collection::vec(0..6u8, 1..12), idempotent: bool, keyed: bool, seed: u64) {
        let (mut entry, mut rng) = (entry(6), SmallRng::seed_from_u64(seed));
        let (mut call, first) = begin(&mut entry, ask(idempotent, keyed), &mut rng);
        let mut open = vec![first];
        let mut ran = 0;
        let mut now = 0;
        for end in ends {
            now += 30_000;
            let step = if end == 5 || open.is_empty() {
                call.run_timers(Time(now), &mut entry, &mut rng)
            } else {
                let target = open.remove(0);
                let end = match end {
                    0 => AttemptError::Refused(Code::TargetBusy),
                    1 => AttemptError::Refused(Code::NoTarget),
                    2 => AttemptError::Failed(Code::TargetFailed),
                    3 => AttemptError::Lost,
                    _ => AttemptError::KeyConflict(Code::KeyUnknown),
                };
                ran += u32::from(!matches!(end, AttemptError::Refused(_)));
                call.ended(Time(now), &mut entry, &mut rng, &target, end, None)
            };
            match step {
                Step::Send(target) | Step::Hedge(target) => {
                    prop_assert!(idempotent || keyed || ran == 0, "sent again after it may have run");
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
