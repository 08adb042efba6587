//! Targets that say in their answers that they leave.

use std::time::{Duration, Instant};

use standin::caller::TestRequest;
use standin::deployment::{Deployment, eventually};

const NODE: &str = env!("CARGO_BIN_EXE_bamboowheel-sidecar");
/// From this time on after such an answer was passed on, the target must get no request.
const DRAIN_LIMIT: Duration = Duration::from_secs(2);

/// Starts nodes of which only the first has a target of the service that requests go to.
async fn started_deployment() -> Deployment {
    let vms = [("dc-1", "a"), ("dc-1", "b"), ("dc-1", "b")];
    let mut deployment = Deployment::prepare(NODE, &vms).await;
    deployment.start_nodes().await;
    deployment
}

async fn status(deployment: &Deployment, at: usize, id: &str) -> u16 {
    let request = TestRequest { id, timeout_ms: 300, ..TestRequest::default() };
    deployment.send_request(at, &request).await.map_or(0, |answer| answer.status)
}

// Guards against requests to a target that has said in an answer, and not in a heartbeat, that it
// leaves.
#[tokio::test]
async fn a_target_that_says_that_it_leaves_gets_no_requests() {
    let mut deployment = started_deployment().await;
    deployment.vms[0].target.set_headers("server-leaving: 0\r\n");
    for id in ["first", "second"] {
        assert_eq!(status(&deployment, 1, id).await, 200);
    }
    deployment.vms[0].target.set_headers("server-leaving: 1\r\n");
    assert_eq!(status(&deployment, 1, "leaves").await, 200);
    let passed_on = Instant::now();
    let before = deployment.vms[0].target.runs().len();
    while passed_on.elapsed() < DRAIN_LIMIT + Duration::from_millis(500) {
        for at in 0..3 {
            assert_eq!(status(&deployment, at, "later").await, 503);
        }
        // A heartbeat of the same incarnation does not revoke it.
        assert_eq!(deployment.vms[0].heartbeat("ready", 0.0).await, 200);
    }
    assert_eq!(deployment.vms[0].target.runs().len(), before);
    // The next incarnation at the same address, under the same id, does not leave.
    deployment.vms[0].target.set_headers("");
    assert_eq!(deployment.vms[0].heartbeat_as("i-vm-0", 2_000, 1, "ready", 0.0).await, 200);
    let serves = async || status(&deployment, 2, "new").await == 200;
    assert!(eventually(Duration::from_secs(2), serves).await);
}

// Guards against requests that wait for a slot when the target says that it leaves, and are sent to
// it afterwards.
#[tokio::test]
async fn waiting_requests_are_not_sent_to_a_target_that_leaves() {
    let deployment = started_deployment().await;
    deployment.vms[0].target.set_headers("server-leaving: 1\r\n");
    // More than the target's eight slots.
    let ids: Vec<String> = (0..20).map(|number| format!("long-{number}")).collect();
    let sent = ids.iter().map(|id| {
        let behaviour = "work=300";
        let request =
            TestRequest { id, path: "/once/x", behaviour, timeout_ms: 1_500, ..Default::default() };
        let deployment = &deployment;
        async move { deployment.send_request(1, &request).await.map_or(0, |answer| answer.status) }
    });
    let answers = futures_util::future::join_all(sent).await;
    let served = answers.iter().filter(|status| **status == 200).count();
    assert!(served <= 8 && answers.iter().all(|status| matches!(status, 200 | 503)), "{answers:?}");
    assert_eq!(deployment.vms[0].target.runs().len(), served);
}

// Guards against a guard that has forgotten after its restart that its target leaves, while the entry
// that passed on the answer runs on.
#[tokio::test]
async fn a_restarted_guard_sends_nothing_to_a_target_that_said_that_it_leaves() {
    let mut deployment = started_deployment().await;
    deployment.vms[0].target.set_headers("server-leaving: 1\r\n");
    assert_eq!(status(&deployment, 1, "leaves").await, 200);
    // Killed before it can tell anybody but the entry that got the answer.
    deployment.vms[0].kill().await;
    deployment.start_node(0);
    let ready = eventually(Duration::from_secs(5), async || deployment.vms[0].is_ready().await);
    assert!(ready.await);
    let before = deployment.vms[0].target.runs().len();
    let restarted = Instant::now();
    while restarted.elapsed() < DRAIN_LIMIT + Duration::from_millis(500) {
        // A restart of the node excuses only the requests that begin at it.
        assert_eq!(status(&deployment, 1, "later").await, 503);
        assert_eq!(deployment.vms[0].heartbeat("ready", 0.0).await, 200);
    }
    assert_eq!(deployment.vms[0].target.runs().len(), before);
}
