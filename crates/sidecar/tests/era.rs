//! A store that comes back from an older copy: it loses what it has acknowledged since, and gives out
//! versions again.

use std::time::{Duration, Instant};

use standin::caller::TestRequest;
use standin::deployment::{Deployment, eventually};
use standin::store::StoreFault;

const NODE: &str = env!("CARGO_BIN_EXE_bamboowheel-sidecar");
/// A change must be in force on every node within this time of its acknowledgement.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(2);

async fn status(deployment: &Deployment, at: usize, path: &str) -> u16 {
    let request = TestRequest { path, id: "era", timeout_ms: 400, ..TestRequest::default() };
    deployment.send_request(at, &request).await.map_or(0, |answer| answer.status)
}

async fn wait_in_force(deployment: &Deployment, path: &str) {
    for at in 0..deployment.vms.len() {
        let in_force = async || status(deployment, at, path).await == 200;
        assert!(eventually(IN_FORCE_LIMIT, in_force).await, "vm-{at}: {path}");
    }
}

/// Takes the store away for a moment, after which it comes back as of a version.
async fn come_back(deployment: &Deployment, version: u64) {
    deployment.vms.iter().for_each(|vm| vm.store_endpoint.set_fault(StoreFault::Reset));
    tokio::time::sleep(Duration::from_millis(300)).await;
    deployment.store.come_back(version);
    deployment.vms.iter().for_each(|vm| vm.store_endpoint.set_fault(StoreFault::None));
}

// Guards against a node that goes back to routes that the store has again, or does not take routes
// that are written again with a version that it has seen before.
#[tokio::test]
async fn a_lost_change_stays_in_force_and_later_ones_with_the_same_version_take_force() {
    let mut deployment =
        Deployment::prepare(NODE, &[("dc-1", "a"), ("dc-1", "a"), ("dc-2", "b")]).await;
    deployment.start_nodes().await;
    let copy = deployment.store.version();
    let lost = deployment.set_routes(&[("/lost/", "a", "safe")]);
    wait_in_force(&deployment, "/lost/x").await;
    come_back(&deployment, copy).await;
    let back = Instant::now();
    while back.elapsed() < Duration::from_secs(2) {
        for at in 0..3 {
            assert_eq!(status(&deployment, at, "/lost/x").await, 200, "vm-{at}");
            assert_eq!(status(&deployment, at, "/safe/x").await, 404, "vm-{at}");
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    // Rows of nodes may be written again before, so that the versions are not quite the same.
    let written = deployment.set_routes(&[("/other/", "a", "safe")]);
    assert!(written <= lost + 3, "{written} is not a version that was given out before");
    wait_in_force(&deployment, "/other/x").await;
    assert_eq!(status(&deployment, 0, "/lost/x").await, 404);
}

// Guards against requests to a data centre whose evacuation was acknowledged, and against nodes that
// find no others since the rows of the registry are gone.
#[tokio::test]
async fn what_operators_and_nodes_wrote_outlives_the_copy() {
    let deployment = {
        let mut deployment =
            Deployment::prepare(NODE, &[("dc-1", "a"), ("dc-2", "a"), ("dc-2", "b")]).await;
        deployment.set_routes(&[("/safe/", "a", "safe")]);
        let copy = deployment.store.version();
        deployment.start_nodes().await;
        deployment.store.put("op", "evacuate/dc-1", b"{}");
        tokio::time::sleep(Duration::from_millis(500)).await;
        come_back(&deployment, copy).await;
        deployment
    };
    let runs = || deployment.vms[0].target.runs().len();
    let before = runs();
    let registered = async || deployment.store.keys("nodes").len() == 3;
    assert!(eventually(Duration::from_secs(4), registered).await, "a node is not registered");
    for at in 0..30 {
        assert_eq!(status(&deployment, at % 3, "/safe/x").await, 200);
    }
    assert_eq!(runs(), before, "a data centre out of service got requests");
    let calls = deployment.store.call_count();
    tokio::time::sleep(Duration::from_secs(2)).await;
    let calls = deployment.store.call_count() - calls;
    assert!(calls <= 3 * 4, "{calls} calls in 2 s long after the store came back");
}

// Guards against a node that serves by the copy, since it was started before the operator wrote
// again.
#[tokio::test]
async fn a_node_that_starts_before_the_operator_writes_again_serves_the_newest_routes() {
    let mut deployment =
        Deployment::prepare(NODE, &[("dc-1", "a"), ("dc-1", "a"), ("dc-1", "b")]).await;
    deployment.start_nodes().await;
    let copy = deployment.store.version();
    deployment.set_routes(&[("/lost/", "a", "safe")]);
    wait_in_force(&deployment, "/lost/x").await;
    deployment.vms[0].kill().await;
    come_back(&deployment, copy).await;
    // The first node of its data centre reads the store at once.
    deployment.start_node(0);
    let served = async || status(&deployment, 0, "/lost/x").await == 200;
    assert!(eventually(Duration::from_secs(3), served).await);
    assert_eq!(status(&deployment, 0, "/safe/x").await, 404);
}
