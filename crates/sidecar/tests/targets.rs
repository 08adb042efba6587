//! Heartbeats and deregistrations of targets, and the requests that targets get afterwards.

use std::time::{Duration, Instant};

use standin::caller::TestRequest;
use standin::deployment::{Deployment, eventually};
use standin::malformed::MALFORMED_HEARTBEATS;

const NODE: &str = env!("CARGO_BIN_EXE_bamboowheel-sidecar");

/// Returns whether a request that is sent to the second node is served. Only the first VM's target
/// can run it, unless a test adds others.
async fn is_served(deployment: &Deployment, id: &str) -> bool {
    deployment
        .send_request(1, &TestRequest { id, ..TestRequest::default() })
        .await
        .is_some_and(|answer| answer.status == 200)
}

/// Returns whether a request with 60 ms of work that is sent to the second node is served.
async fn is_long_work_served(deployment: &Deployment, id: &str) -> bool {
    let request = TestRequest { id, behaviour: "work=60", ..TestRequest::default() };
    deployment.send_request(1, &request).await.is_some_and(|answer| answer.status == 200)
}

/// Starts two nodes, and checks that the second one reaches the target of the first one.
async fn started_deployment() -> Deployment {
    let mut deployment = Deployment::prepare(NODE, &[("dc-1", "a"), ("dc-1", "b")]).await;
    deployment.start_nodes().await;
    assert!(is_served(&deployment, "before").await);
    deployment
}

#[tokio::test]
async fn a_leaving_target_gets_no_requests_even_after_later_heartbeats() {
    let mut deployment = started_deployment().await;
    assert_eq!(deployment.vms[0].heartbeat("draining", 0.0).await, 200);
    assert!(!is_served(&deployment, "draining").await);
    // Neither a delayed heartbeat from before nor a later one revokes that the target leaves.
    assert_eq!(deployment.vms[0].heartbeat_as("i-vm-0", 1_000, 1, "ready", 0.0).await, 200);
    assert!(!is_served(&deployment, "delayed").await);
    assert_eq!(deployment.vms[0].heartbeat("ready", 0.0).await, 200);
    assert!(!is_served(&deployment, "again").await);
}

#[tokio::test]
async fn a_target_that_deregistered_without_draining_gets_no_requests() {
    let mut deployment = started_deployment().await;
    assert_eq!(deployment.vms[0].deregister().await, 200);
    assert!(!is_served(&deployment, "gone").await);
    assert_eq!(deployment.vms[0].heartbeat("ready", 0.0).await, 200);
    assert!(!is_served(&deployment, "after heartbeat").await);
}

#[tokio::test]
async fn a_restarted_node_sends_no_requests_to_a_target_that_it_knew_to_be_leaving() {
    let mut deployment = started_deployment().await;
    assert_eq!(deployment.vms[0].heartbeat("draining", 0.0).await, 200);
    tokio::time::sleep(Duration::from_millis(100)).await;
    deployment.vms[0].kill().await;
    deployment.start_node(0);
    let ready = eventually(Duration::from_secs(5), async || deployment.vms[0].is_ready().await);
    assert!(ready.await);
    // Peers link to the restarted node within two seconds, and report the leaving target to it.
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    assert_eq!(deployment.vms[0].heartbeat_as("i-vm-0", 1_000, 1, "ready", 0.0).await, 200);
    assert!(!is_served(&deployment, "restarted").await);
}

#[tokio::test]
async fn a_new_incarnation_of_an_id_serves_and_heartbeats_of_the_old_one_are_ignored() {
    let mut deployment = started_deployment().await;
    assert_eq!(deployment.vms[0].heartbeat("draining", 0.0).await, 200);
    assert!(!is_served(&deployment, "leaving").await);
    assert_eq!(deployment.vms[0].heartbeat_as("i-vm-0", 2_000, 1, "ready", 0.0).await, 200);
    let serves = eventually(Duration::from_secs(2), async || is_served(&deployment, "new").await);
    assert!(serves.await);
    assert_eq!(deployment.vms[0].heartbeat_as("i-vm-0", 1_000, 99, "draining", 0.0).await, 200);
    assert!(is_served(&deployment, "after stale heartbeat").await);
}

#[tokio::test]
async fn malformed_heartbeats_are_rejected_and_change_nothing() {
    let deployment = started_deployment().await;
    let path = "/api/rpc?call=instances.heartbeat&of=i-vm-0";
    for body in MALFORMED_HEARTBEATS {
        assert_eq!(deployment.vms[0].send_control(path, body).await, 400, "{body}");
    }
    assert!(is_served(&deployment, "after").await);
}

#[tokio::test]
async fn a_cold_target_gets_no_more_requests_per_second_than_its_limit() {
    let deployment = started_deployment().await;
    assert_eq!(deployment.vms[0].heartbeat_as("i-vm-0", 2_000, 1, "ready", 3.0).await, 200);
    tokio::time::sleep(Duration::from_millis(100)).await;
    let deployment = std::rc::Rc::new(deployment);
    let local = tokio::task::LocalSet::new();
    for at in 0..120 {
        let deployment = deployment.clone();
        local.spawn_local(async move {
            tokio::time::sleep(Duration::from_millis(at * 15)).await;
            let id = format!("cold-{at}");
            deployment
                .send_request(
                    1,
                    &TestRequest { id: &id, timeout_ms: 600, ..TestRequest::default() },
                )
                .await;
        });
    }
    local.await;
    let runs = deployment.vms[0].target.runs();
    let sent: Vec<Instant> =
        runs.iter().filter(|run| run.id.starts_with("cold")).map(|run| run.started).collect();
    // The limit is 20: a rate of 10 per second, times 1.5, plus 5.
    let most = sent.iter().map(|from| {
        let second = from..&(*from + Duration::from_secs(1));
        sent.iter().filter(|at| second.contains(at)).count()
    });
    let most = most.max().unwrap_or_default();
    assert!((8..=20).contains(&most), "{most} requests in a second");
}

#[tokio::test]
async fn a_target_that_may_have_restarted_is_probed_before_it_gets_more_requests() {
    let deployment = started_deployment().await;
    let probes = deployment.vms[0].target.probe_count();
    deployment.vms[0].target.set_id("i-other");
    assert!(!is_served(&deployment, "other").await);
    deployment.vms[0].target.set_id("i-vm-0");
    let back =
        eventually(Duration::from_secs(2), async || is_served(&deployment, "back").await).await;
    assert!(back);
    assert!(deployment.vms[0].target.probe_count() > probes);
    assert_eq!(deployment.run_count("other"), 0);
}

#[tokio::test]
async fn a_restarted_node_finds_its_target_before_the_next_heartbeat_unless_it_leaves() {
    for leaves in [false, true] {
        let mut deployment = started_deployment().await;
        if leaves {
            assert_eq!(deployment.vms[0].heartbeat("draining", 0.0).await, 200);
            deployment.vms[0].target.set_unhealthy();
        }
        deployment.vms[0].kill().await;
        deployment.start_node(0);
        let within = Duration::from_millis(2_500);
        let serves = eventually(within, async || is_served(&deployment, "restarted").await).await;
        assert_eq!(serves, !leaves, "the target leaves: {leaves}");
    }
}

#[tokio::test]
async fn a_target_that_deregisters_at_a_node_that_does_not_know_it_gets_no_requests() {
    let mut deployment = started_deployment().await;
    deployment.vms[0].target.set_unhealthy();
    deployment.vms[0].kill().await;
    deployment.start_node(0);
    let ready = eventually(Duration::from_secs(5), async || deployment.vms[0].is_ready().await);
    assert!(ready.await);
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    assert_eq!(deployment.vms[0].deregister().await, 200);
    assert_eq!(deployment.vms[0].heartbeat("ready", 0.0).await, 200);
    let within = Duration::from_millis(500);
    assert!(!eventually(within, async || is_served(&deployment, "deregistered").await).await);
    // A later incarnation of the same id serves.
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap();
    let born = since.as_millis() as u64 + 1_000;
    assert_eq!(deployment.vms[0].heartbeat_as("i-vm-0", born, 1, "ready", 0.0).await, 200);
    let within = Duration::from_secs(2);
    assert!(eventually(within, async || is_served(&deployment, "new").await).await);
}

#[tokio::test]
async fn long_work_avoids_a_slow_vm_and_waits_while_all_vms_are_slow() {
    let mut deployment =
        Deployment::prepare(NODE, &[("dc-1", "a"), ("dc-1", "b"), ("dc-1", "a")]).await;
    deployment.start_nodes().await;
    // More requests than one target has slots for, so that both targets answer some. From then on
    // their guards know that the answers report how slow the VMs are.
    let ids: Vec<String> = (0..12).map(|at| format!("warm-{at}")).collect();
    let warm = ids.iter().map(|id| is_long_work_served(&deployment, id));
    assert!(futures_util::future::join_all(warm).await.into_iter().all(|served| served));
    let both = [0, 2].iter().all(|at| !deployment.vms[*at].target.runs().is_empty());
    assert!(both, "each target got some requests");
    let slow = |at: usize, hundredths| deployment.vms[at].target.set_slowness(hundredths);
    slow(0, 500);
    tokio::time::sleep(Duration::from_millis(50)).await;
    // These take less than the time after which a VM is assumed to stay slow and gets work again.
    for at in 0..3 {
        assert!(is_long_work_served(&deployment, &format!("slow-{at}")).await);
    }
    let at_slow = deployment.vms[0].target.runs();
    assert!(!at_slow.iter().any(|run| run.id.starts_with("slow")), "{at_slow:?}");
    slow(2, 500);
    tokio::time::sleep(Duration::from_millis(50)).await;
    let begun = Instant::now();
    let quiet = async {
        tokio::time::sleep(Duration::from_millis(150)).await;
        assert_eq!(deployment.run_count("held"), 0);
        slow(0, 100);
        slow(2, 100);
    };
    let (served, ()) = tokio::join!(is_long_work_served(&deployment, "held"), quiet);
    assert!(served && begun.elapsed() < Duration::from_millis(400), "{:?}", begun.elapsed());
}

#[tokio::test]
async fn a_target_found_by_a_health_check_can_deregister_with_its_start_time() {
    let mut deployment = started_deployment().await;
    deployment.vms[0].kill().await;
    deployment.start_node(0);
    // No heartbeat has arrived yet, so the node does not know the target's start time.
    let within = Duration::from_millis(2_500);
    assert!(eventually(within, async || is_served(&deployment, "found").await).await);
    let deregistration = deployment.vms[0].deregister_request("i-vm-0", 1_000);
    assert_eq!(deregistration.send().await, 200);
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert!(!is_served(&deployment, "left").await);
}

#[tokio::test]
async fn a_target_that_is_silent_for_a_while_keeps_its_work_and_gets_more() {
    let mut deployment = started_deployment().await;
    let silent = async {
        // No heartbeat for three times the interval: nothing is given up, nor started again.
        tokio::time::sleep(Duration::from_millis(4_500)).await;
        assert!(is_served(&deployment, "silent").await);
    };
    let long = TestRequest {
        id: "long",
        path: "/once/x",
        behaviour: "work=1900",
        timeout_ms: 2_000,
        ..TestRequest::default()
    };
    let (answer, ()) = tokio::join!(deployment.send_request(1, &long), silent);
    assert_eq!(answer.map(|answer| answer.status), Some(200));
    assert_eq!(deployment.run_count("long"), 1);
    assert_eq!(deployment.vms[0].heartbeat("ready", 0.0).await, 200);
    assert!(is_served(&deployment, "again").await);
}
