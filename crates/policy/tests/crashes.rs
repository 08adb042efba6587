//! Requests that crash their targets, told apart from those that were there by chance.

use policy::{CrashNotice, CrashReport, Crashes, Fingerprint, Time};

const MINUTE_US: u64 = 60_000_000;

fn crashed(print: u64, number: u64) -> CrashNotice {
    let node = format!("vm-{}", number % 5).as_str().into();
    CrashNotice::Crashed(CrashReport { print: Fingerprint(print), node, number })
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
        assert!(crashes.is_suspect(Fingerprint(2)));
        assert!(crashes.apply(Time(round), &CrashNotice::Cleared(Fingerprint(2))));
        assert!(!crashes.apply(Time(round), &CrashNotice::Cleared(Fingerprint(2))));
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
    assert!(crashes.apply(Time(2), &CrashNotice::Cleared(Fingerprint(7))));
    assert!(!crashes.apply(Time(3), &crashed(7, 1)));
    assert!(!crashes.apply(Time(4), &CrashNotice::Cleared(Fingerprint(7))));
    assert!(!crashes.is_suspect(Fingerprint(7)));
}
