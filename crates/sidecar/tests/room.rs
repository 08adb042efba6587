//! Calls of targets, and refusals where a service has too little room.

use std::time::{Duration, Instant};

use standin::caller::TestRequest;
use standin::deployment::{Deployment, eventually};

const NODE: &str = env!("CARGO_BIN_EXE_bamboowheel-sidecar");
/// Requests after which a node has learnt which routes its target calls.
const LEARNT: usize = 8;

/// Starts two nodes with targets of one service, and finds the one whose target runs a request for
/// two seconds. Returns the node, and when the run expires.
async fn start_with_run(ranked: bool) -> (Deployment, usize, Instant) {
    let mut deployment = Deployment::prepare(NODE, &[("dc-1", "a"), ("dc-1", "a")]).await;
    deployment.ranked = ranked;
    deployment.start_nodes().await;
    let address = deployment.vms[0].caller_address();
    tokio::spawn(async move {
        let request =
            TestRequest { id: "parent", behaviour: "work=1500", ..TestRequest::default() };
        standin::caller::send_request(address, &request).await;
    });
    let begun =
        eventually(Duration::from_secs(1), async || deployment.run_count("parent") > 0).await;
    assert!(begun, "the request does not run");
    let at = (0..2).find(|at| deployment.vms[*at].target.run_count("parent") > 0).unwrap();
    let run = deployment.vms[at].target.runs().into_iter().find(|run| run.id == "parent").unwrap();
    let line = run.head.lines().find_map(|line| line.strip_prefix("x-timeout-ms: ")).unwrap();
    let expires = run.started + Duration::from_millis(line.trim().parse().unwrap());
    (deployment, at, expires)
}

// Guards against calls of less urgent requests that are served like urgent requests, and against
// callers' requests that are taken for calls.
#[tokio::test]
async fn requests_that_expire_with_a_run_are_its_calls() {
    struct Case {
        name: &'static str,
        ranked: bool,
        /// What the caller's timeout is shorter by, in milliseconds.
        shorter_ms: u64,
        /// The least and the most requests that inherit the urgency of the run.
        inherited: (u64, u64),
    }
    let all = LEARNT as u64 * 2;
    let cases = [
        Case { name: "calls", ranked: true, shorter_ms: 0, inherited: (LEARNT as u64, all) },
        Case { name: "callers' requests", ranked: true, shorter_ms: 300, inherited: (0, 0) },
        Case { name: "calls without ranks", ranked: false, shorter_ms: 0, inherited: (0, 0) },
    ];
    for Case { name, ranked, shorter_ms, inherited: (least, most) } in cases {
        let (deployment, at, expires) = start_with_run(ranked).await;
        for number in 0..all {
            let left = expires.saturating_duration_since(Instant::now());
            let timeout_ms = (left.as_millis() as u64).saturating_sub(shorter_ms);
            let id = format!("{number}");
            let request =
                TestRequest { path: "/once/x", id: &id, timeout_ms, ..TestRequest::default() };
            let answer = deployment.send_request(at, &request).await;
            assert_eq!(answer.map(|answer| answer.status), Some(200), "{name}");
        }
        let counted = deployment.vms[at].counter("bamboowheel_inherited_total").await;
        let counted = counted.unwrap_or_default();
        assert!((least..=most).contains(&counted), "{name}: {counted} inherited");
    }
}
