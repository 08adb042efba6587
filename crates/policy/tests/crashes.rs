//! Requests that crash their targets, told apart from those that were there by chance.

use policy::{CrashNotice, CrashReport, Crashes, Fingerprint, Time};
use proptest::prelude::*;

const MINUTE_US: u64 = 60_000_000;

fn report(print: u64, number: u64) -> CrashReport {
    let node = format!("vm-{}", number % 5).as_str().into();
    CrashReport { print: Fingerprint(print), node, number }
}

fn crashed(print: u64, number: u64) -> CrashNotice {
    CrashNotice::Crashed(report(print, number))
}

/// Returns the notice of a guard at which a request ran to its end.
fn answered(crashes: &Crashes, print: u64) -> CrashNotice {
    CrashNotice::Answered(crashes.reports_of(Fingerprint(print)))
}

#[test]
fn a_request_is_not_run_after_three_crashes_without_an_answer() {
    let mut crashes = Crashes::default();
    for number in 1..=3 {
        assert!(!crashes.is_quarantined(Time(number), Fingerprint(7)));
        assert!(crashes.apply(Time(number), &crashed(7, number)));
        // The same report arrives over several links.
        assert!(!crashes.apply(Time(number), &crashed(7, number)));
    }
    assert!(crashes.is_quarantined(Time(3), Fingerprint(7)));
    assert!(!crashes.is_quarantined(Time(3), Fingerprint(8)));
    assert!(!crashes.is_quarantined(Time(11 * MINUTE_US), Fingerprint(7)));
}

#[test]
fn an_answer_clears_a_request_that_was_there_by_chance() {
    let mut crashes = Crashes::default();
    for round in 0..10 {
        // The cause and a popular request run at each crash; the popular one is answered between.
        crashes.apply(Time(round), &crashed(1, round * 2));
        crashes.apply(Time(round), &crashed(2, round * 2 + 1));
        assert_eq!(crashes.reports_of(Fingerprint(2)).len(), 1);
        let answer = answered(&crashes, 2);
        assert!(crashes.apply(Time(round), &answer));
        assert!(!crashes.apply(Time(round), &answer));
    }
    assert!(crashes.is_quarantined(Time(10), Fingerprint(1)));
    assert!(!crashes.is_quarantined(Time(10), Fingerprint(2)));
}

#[test]
fn what_is_remembered_is_bounded() {
    let mut crashes = Crashes::default();
    for number in 0..5_000 {
        crashes.apply(Time(number), &crashed(number, number));
    }
    assert!(crashes.reports().count() <= 2_048);
}

#[test]
fn a_late_copy_of_a_cleared_report_is_not_passed_on_again() {
    let mut crashes = Crashes::default();
    assert!(crashes.apply(Time(1), &crashed(7, 1)));
    let answer = answered(&crashes, 7);
    assert!(crashes.apply(Time(2), &answer));
    assert!(!crashes.apply(Time(3), &crashed(7, 1)));
    assert!(!crashes.apply(Time(4), &answer));
    assert!(crashes.reports_of(Fingerprint(7)).is_empty());
}

// Guards against an answer that clears crashes that its guard did not know of when the run began.
#[test]
fn a_run_clears_only_the_crashes_that_were_known_before_it() {
    let mut crashes = Crashes::default();
    crashes.apply(Time(1), &crashed(7, 1));
    let answer = answered(&crashes, 7);
    for number in 2..=4 {
        crashes.apply(Time(number), &crashed(7, number));
    }
    crashes.apply(Time(5), &answer);
    assert!(crashes.is_quarantined(Time(5), Fingerprint(7)));
    // A node of an earlier version does not say what it clears.
    assert!(!crashes.apply(Time(6), &CrashNotice::Cleared(Fingerprint(7))));
    assert!(crashes.is_quarantined(Time(6), Fingerprint(7)));
}

// Guards against crashes that are forgotten because many others are reported.
#[test]
fn crashes_that_count_are_kept_when_others_were_cleared() {
    let mut crashes = Crashes::default();
    for number in 1..=3 {
        crashes.apply(Time(number), &crashed(7, number));
    }
    for number in 10..5_000 {
        crashes.apply(Time(number), &CrashNotice::Answered(vec![report(number, number)]));
    }
    assert!(crashes.is_quarantined(Time(5_000), Fingerprint(7)));
}

// Guards against crashes that are forgotten because a data centre goes down, with other requests at each
// of its targets.
#[test]
fn crashes_that_count_are_kept_when_many_single_ones_are_reported() {
    let mut crashes = Crashes::default();
    for number in 1..=3 {
        crashes.apply(Time(number), &crashed(7, number));
    }
    for number in 10..5_000 {
        crashes.apply(Time(number), &crashed(number, number));
    }
    assert!(crashes.is_quarantined(Time(5_000), Fingerprint(7)));
}

proptest! {
    // Guards against nodes that disagree on a request because notices reached them in another order.
    #[test]
    fn nodes_with_the_same_notices_agree(
        clears in prop::collection::vec(prop::collection::vec(0_u64..6, 1..4), 0..3),
        order in prop::collection::vec(any::<prop::sample::Index>(), 0..30),
    ) {
        let mut notices: Vec<CrashNotice> = (0..6).map(|number| crashed(7, number)).collect();
        notices.extend(clears.iter().map(|numbers| {
            CrashNotice::Answered(numbers.iter().map(|number| report(7, *number)).collect())
        }));
        let (mut first, mut second) = (Crashes::default(), Crashes::default());
        for notice in &notices {
            first.apply(Time(1), notice);
        }
        // Some arrive early and twice, the rest in reverse.
        for notice in order.iter().map(|at| at.get(&notices)).chain(notices.iter().rev()) {
            second.apply(Time(1), notice);
        }
        let [mut one, mut other] = [&first, &second].map(|known| known.reports_of(Fingerprint(7)));
        one.sort();
        other.sort();
        prop_assert_eq!(one, other);
    }
}
