//! The schedule of a node that stops.

use policy::{Shutdown, Time};

const SECOND_US: u64 = 1_000_000;

// Guards against work that outlives the process, and against refusals at the moment of its end.
#[test]
fn nothing_is_begun_that_outlives_the_process() {
    struct Case {
        grace_us: u64,
        work_us: u64,
    }
    let graces = [0, 300_000, SECOND_US, 3 * SECOND_US, 6 * SECOND_US, 10 * SECOND_US, u64::MAX];
    let works = [0, 20_000, 900_000, 5 * SECOND_US, u64::MAX];
    let cases = graces.iter().flat_map(|&grace_us| works.map(|work_us| Case { grace_us, work_us }));
    for Case { grace_us, work_us } in cases {
        let begun = Time(7 * SECOND_US);
        let shutdown = Shutdown::new(begun, grace_us);
        let (closes, cut) = (shutdown.closes_at(), shutdown.cut_at());
        let latest = shutdown.starts_until(work_us);
        let case = format!("grace {grace_us}, work {work_us}");
        assert!(begun <= closes && closes <= cut, "{case}");
        assert!(begun <= latest && latest <= cut, "{case}");
        assert!(latest == begun || latest.after(work_us) <= cut, "{case}");
        // What still runs is cut in the last sixth of the grace period, and before its end.
        assert!(cut.since(begun) <= grace_us, "{case}");
        assert!(cut.since(begun) >= grace_us / 6 * 5, "{case}");
        if grace_us >= 3 * SECOND_US {
            assert!(shutdown.starts_until(0) < cut, "{case}");
        }
    }
}
