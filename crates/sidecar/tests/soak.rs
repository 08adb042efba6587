//! The fault soak with fixed seeds: one that runs each time, and those that ever failed.

use std::time::Duration;

use standin::soak::{self, SoakSettings};

const NODE: &str = env!("CARGO_BIN_EXE_bamboowheel-sidecar");

struct Case {
    seed: u64,
    /// How long faults come: past the moment at which the promise was broken.
    seconds: u64,
    /// What failed with this seed once.
    cause: &'static str,
}

const CASES: [Case; 3] = [
    Case { seed: 106, seconds: 12, cause: "none; it runs each time" },
    Case {
        seed: 248,
        seconds: 13,
        cause: "DRAIN: a target that was found by a health check said goodbye with its start",
    },
    Case {
        seed: 236,
        seconds: 21,
        cause: "FAILBACK: the soak counted on after the target's cold time was cut short",
    },
];

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn promises_hold_under_random_faults() {
    let runs = CASES.map(|case| async move {
        let Case { seed, seconds, cause } = case;
        let duration = Duration::from_secs(seconds);
        let program = NODE.to_owned();
        let report = soak::run(&SoakSettings { seed, duration, vms: 6, program, logs: None }).await;
        let faults = report.faults.join("\n");
        assert!(
            report.violations.is_empty(),
            "{seed} ({cause}): {:?}\n{faults}",
            report.violations
        );
        assert!(report.served > 500, "{seed}: {} served", report.served);
    });
    futures_util::future::join_all(runs).await;
}
