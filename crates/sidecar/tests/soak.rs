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

async fn promises_hold(case: Case) {
    let Case { seed, seconds, cause } = case;
    let duration = Duration::from_secs(seconds);
    let program = NODE.to_owned();
    let report = soak::run(&SoakSettings { seed, duration, vms: 6, program, logs: None }).await;
    let faults = report.faults.join("\n");
    assert!(report.violations.is_empty(), "{seed} ({cause}): {:?}\n{faults}", report.violations);
    assert!(report.served > 500, "{seed}: {} served", report.served);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn promises_hold_with_seed_106() {
    promises_hold(Case { seed: 106, seconds: 12, cause: "none; it runs each time" }).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn promises_hold_with_seed_248() {
    let case = Case {
        seed: 248,
        seconds: 13,
        cause: "DRAIN: a target that was found by a health check said goodbye with its start",
    };
    promises_hold(case).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn promises_hold_with_seed_236() {
    let case = Case {
        seed: 236,
        seconds: 21,
        cause: "FAILBACK: the soak counted on after the target's cold time was cut short",
    };
    promises_hold(case).await;
}
