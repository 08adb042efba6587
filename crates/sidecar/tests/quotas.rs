//! Quotas of workspaces over the nodes of a deployment.

use std::time::{Duration, Instant};

use standin::caller::{Answer, TestRequest};
use standin::deployment::{Deployment, eventually};

const NODE: &str = env!("CARGO_BIN_EXE_bamboowheel-sidecar");
/// A change must be in force on every node within this time of its acknowledgement.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(2);
/// The longest time until the nodes have agreed on a keeper.
const AGREED_LIMIT: Duration = Duration::from_secs(5);
/// The quota of each workspace: requests a second and burst.
const QUOTA: (f64, f64) = (10.0, 10.0);
/// The window in seconds, and the requests that are tolerated in it.
const BOUNDS: (f64, f64) = (5.0, 20.0);

/// Starts three nodes with two workspaces, whose requests the first node's target runs.
async fn start() -> Deployment {
    let vms = [("dc-1", "a"), ("dc-1", "b"), ("dc-2", "b")];
    let mut deployment = Deployment::prepare(NODE, &vms).await;
    deployment.workspaces = vec![("w1", &["key-1"]), ("w2", &["key-2"])];
    deployment.quota = QUOTA;
    deployment.vms.iter().for_each(|vm| vm.set_quota_bounds(BOUNDS.0, BOUNDS.1));
    deployment.start_nodes().await;
    deployment.set_routes(&[("/safe/", "a", "safe")]);
    for at in 0..3 {
        assert!(eventually(IN_FORCE_LIMIT, async || deployment.is_current(at).await).await);
    }
    for at in 0..3 {
        let is_served = async || send(&deployment, at, "key-1", "first").await.status == 200;
        assert!(eventually(AGREED_LIMIT, is_served).await, "node {at} has no tokens");
    }
    deployment
}

async fn send(deployment: &Deployment, at: usize, key: &str, id: &str) -> Answer {
    let headers = &format!("authorization: Bearer {key}\r\n");
    let request = TestRequest { id, headers, ..TestRequest::default() };
    deployment.send_request(at, &request).await.expect("no answer")
}

/// Sends requests of a workspace to some nodes in turn for a time, and returns how many ran. Checks
/// that those that were refused did not run and may come back.
async fn flood(deployment: &Deployment, nodes: &[usize], limit: Duration, name: &str) -> usize {
    let begun = Instant::now();
    let mut ran = 0;
    for number in 0.. {
        if begun.elapsed() >= limit {
            break;
        }
        let id = format!("{name}-{number}");
        let at = nodes[number % nodes.len()];
        let answer = send(deployment, at, "key-1", &id).await;
        match answer.status {
            200 => ran += 1,
            429 => {
                assert!(answer.body.contains("2023"), "{answer:?}");
                let seconds: f64 = answer.header("retry-after").unwrap().parse().unwrap();
                assert!((0.001..10.0).contains(&seconds), "{seconds}");
                assert_eq!(deployment.run_count(&id), 0, "a refused request ran");
            }
            status => panic!("{status}"),
        }
    }
    ran
}

/// Returns the most requests of a workspace that may run in a time.
fn bound(limit: Duration) -> f64 {
    let windows = (limit.as_secs_f64() / BOUNDS.0).ceil();
    windows * (QUOTA.0 * BOUNDS.0 + QUOTA.1 + BOUNDS.1)
}

// Guards against nodes that each give a workspace its whole quota, refusals that ran, and refusals
// of a workspace below its quota beside one above.
#[tokio::test]
async fn a_workspace_over_its_quota_is_refused_on_all_nodes_and_others_are_not() {
    let deployment = start().await;
    let limit = Duration::from_secs(4);
    let ran = flood(&deployment, &[0, 1, 2], limit, "over").await;
    assert!(ran as f64 <= bound(limit), "{ran} ran");
    assert!(ran >= 10, "{ran} ran");
    let mut refused = 0;
    for vm in &deployment.vms {
        refused += vm.counter("bamboowheel_quota_refused_total").await.unwrap();
    }
    assert!(refused > 0);
    for at in 0..9 {
        let answer = send(&deployment, at % 3, "key-2", &format!("below-{at}")).await;
        assert_eq!(answer.status, 200, "{answer:?}");
    }
}

// Guards against a keeper's death that leaves workspaces without tokens, or gives them two quotas.
#[tokio::test]
async fn after_a_keeper_is_killed_another_one_gives_out_the_rest() {
    let mut deployment = start().await;
    let mut keepers = Vec::new();
    for at in 0..3 {
        let given = deployment.vms[at].counter("bamboowheel_quota_tokens_total").await;
        keepers.extend(given.filter(|given| *given > 0).map(|_| at));
    }
    // The names decide which node it is. The target's node is needed to serve what follows.
    assert!(keepers.len() == 1 && keepers[0] != 0, "{keepers:?}");
    let keeper = keepers[0];
    let others: Vec<usize> = (0..3).filter(|at| *at != keeper).collect();
    let begun = Instant::now();
    let mut ran = flood(&deployment, &others, Duration::from_secs(1), "before").await;
    deployment.vms[keeper].kill().await;
    ran += flood(&deployment, &others, Duration::from_secs(3), "after").await;
    assert!(ran as f64 <= bound(begun.elapsed()), "{ran} ran");
    let is_served = async || send(&deployment, others[0], "key-2", "again").await.status == 200;
    assert!(eventually(AGREED_LIMIT, is_served).await, "no node gives out tokens");
}
