//! The soak test under random faults, with fixed seeds: an ordinary one, and each that once failed.

use std::time::Duration;

use standin::soak::{self, SoakSettings};

const NODE: &str = env!("CARGO_BIN_EXE_bamboowheel-sidecar");

struct Case {
    seed: u64,
    /// How long faults are injected, until after the moment at which the guarantee was violated.
    seconds: u64,
    /// Whether all open connections go silent at times.
    silences: bool,
    /// Whether the store comes back from an older copy at times.
    restores: bool,
    /// The violation that was once seen with this seed.
    cause: &'static str,
}

async fn promises_hold(case: Case) {
    let Case { seed, seconds, silences, restores, cause } = case;
    let duration = Duration::from_secs(seconds);
    let program = NODE.to_owned();
    let settings = SoakSettings { seed, duration, vms: 6, program, logs: None, silences, restores };
    let report = soak::run(&settings).await;
    let faults = report.faults.join("\n");
    assert!(report.violations.is_empty(), "{seed} ({cause}): {:?}\n{faults}", report.violations);
    assert!(report.served > 500, "{seed}: {} served", report.served);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn promises_hold_with_seed_106() {
    promises_hold(Case {
        seed: 106,
        seconds: 12,
        silences: false,
        restores: false,
        cause: "none; an ordinary seed",
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn promises_hold_with_seed_248() {
    let case = Case {
        seed: 248,
        seconds: 13,
        silences: false,
        restores: false,
        cause: "DRAIN: a target known only from a health check deregistered with its start time",
    };
    promises_hold(case).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn promises_hold_with_seed_236() {
    let case = Case {
        seed: 236,
        seconds: 21,
        silences: false,
        restores: false,
        cause: "FAILBACK: the check counted requests after the target's cold time was cut short",
    };
    promises_hold(case).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn promises_hold_while_connections_go_silent() {
    let case = Case {
        seed: 107,
        seconds: 15,
        silences: true,
        restores: false,
        cause: "none; an ordinary seed",
    };
    promises_hold(case).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn promises_hold_with_seed_622() {
    let case = Case {
        seed: 622,
        seconds: 12,
        silences: true,
        restores: false,
        cause: "DRAIN: after all nodes died, a leaving target passed a health check",
    };
    promises_hold(case).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn promises_hold_with_seed_641() {
    let case = Case {
        seed: 641,
        seconds: 8,
        silences: true,
        restores: false,
        cause: "DRAIN: after all nodes died, a target that had deregistered passed a health check",
    };
    promises_hold(case).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn promises_hold_while_the_store_comes_back_from_older_copies() {
    let case = Case {
        seed: 108,
        seconds: 20,
        silences: false,
        restores: true,
        cause: "none; an ordinary seed",
    };
    promises_hold(case).await;
}
