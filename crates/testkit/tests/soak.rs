//! Random faults against keyed requests.

use testkit::soak::Soak;

#[test]
fn a_key_never_runs_twice_whatever_fails() {
    for seed in 1..6 {
        let report = Soak::open(seed, false).run(200_000);
        assert!(report.violations.is_empty(), "seed {seed}: {:?}", report.violations);
        assert!(report.runs > 1_000 && report.stored > 1_000 && report.not_run > 1_000);
        assert_eq!(report.faults.len(), 6, "{:?}", report.faults);
    }
}

#[test]
fn the_checks_see_a_key_that_runs_twice() {
    let report = Soak::open(1, true).run(200_000);
    assert!(!report.violations.is_empty());
}

#[test]
fn a_soak_is_the_same_each_time() {
    assert_eq!(Soak::open(9, false).run(50_000), Soak::open(9, false).run(50_000));
}
