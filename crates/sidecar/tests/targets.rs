//! What targets say of themselves, and what is sent to them from then on.

use std::time::{Duration, Instant};

use standin::caller::TestRequest;
use standin::deployment::{Deployment, MALFORMED_HEARTBEATS, eventually};

const NODE: &str = env!("CARGO_BIN_EXE_bamboowheel-sidecar");

/// Returns whether the first VM's target runs what is asked at the second one.
async fn runs(deployment: &Deployment, id: &str) -> bool {
    deployment
        .send_request(1, &TestRequest { id, ..TestRequest::default() })
        .await
        .is_some_and(|answer| answer.status == 200)
}

/// Returns whether work of 60 ms that is asked at the second VM is done.
async fn works(deployment: &Deployment, id: &str) -> bool {
    let request = TestRequest { id, behaviour: "work=60", ..TestRequest::default() };
    deployment.send_request(1, &request).await.is_some_and(|answer| answer.status == 200)
}

async fn up() -> Deployment {
    let mut deployment = Deployment::prepare(NODE, &[("dc-1", "a"), ("dc-1", "b")]).await;
    deployment.start_nodes().await;
    assert!(runs(&deployment, "before").await);
    deployment
}

#[tokio::test]
async fn nothing_is_sent_to_a_target_that_said_it_leaves() {
    let mut deployment = up().await;
    assert_eq!(deployment.vms[0].heartbeat("draining", 0.0).await, 200);
    assert!(!runs(&deployment, "draining").await);
    // A delayed heartbeat of before, and one after: leaving binds.
    assert_eq!(deployment.vms[0].heartbeat_as("i-vm-0", 1_000, 1, "ready", 0.0).await, 200);
    assert!(!runs(&deployment, "delayed").await);
    assert_eq!(deployment.vms[0].heartbeat("ready", 0.0).await, 200);
    assert!(!runs(&deployment, "again").await);
}

#[tokio::test]
async fn nothing_is_sent_to_a_target_that_deregistered_without_draining() {
    let mut deployment = up().await;
    assert_eq!(deployment.vms[0].deregister().await, 200);
    assert!(!runs(&deployment, "gone").await);
    assert_eq!(deployment.vms[0].heartbeat("ready", 0.0).await, 200);
    assert!(!runs(&deployment, "beats on").await);
}

#[tokio::test]
async fn a_leaving_that_was_acknowledged_binds_a_node_that_starts_again() {
    let mut deployment = up().await;
    assert_eq!(deployment.vms[0].heartbeat("draining", 0.0).await, 200);
    tokio::time::sleep(Duration::from_millis(100)).await;
    deployment.vms[0].kill().await;
    deployment.start_node(0);
    let ready = eventually(Duration::from_secs(5), async || deployment.vms[0].is_ready().await);
    assert!(ready.await);
    // Peers link anew within two seconds.
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    assert_eq!(deployment.vms[0].heartbeat_as("i-vm-0", 1_000, 1, "ready", 0.0).await, 200);
    assert!(!runs(&deployment, "restarted").await);
}

#[tokio::test]
async fn a_new_life_under_the_same_id_serves_and_the_old_one_is_not_heard_any_more() {
    let mut deployment = up().await;
    assert_eq!(deployment.vms[0].heartbeat("draining", 0.0).await, 200);
    assert!(!runs(&deployment, "leaving").await);
    assert_eq!(deployment.vms[0].heartbeat_as("i-vm-0", 2_000, 1, "ready", 0.0).await, 200);
    let serves = eventually(Duration::from_secs(2), async || runs(&deployment, "reborn").await);
    assert!(serves.await);
    assert_eq!(deployment.vms[0].heartbeat_as("i-vm-0", 1_000, 99, "draining", 0.0).await, 200);
    assert!(runs(&deployment, "old word").await);
}

#[tokio::test]
async fn what_cannot_be_read_names_no_target_and_harms_none() {
    let deployment = up().await;
    let path = "/api/rpc?call=instances.heartbeat&of=i-vm-0";
    for body in MALFORMED_HEARTBEATS {
        assert_eq!(deployment.vms[0].send_control(path, body).await, 400, "{body}");
    }
    assert!(runs(&deployment, "after").await);
}

#[tokio::test]
async fn a_cold_target_is_sent_no_more_than_it_bears() {
    let deployment = up().await;
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
    // Ten a second, one and a half times that, and five.
    let most = sent.iter().map(|from| {
        let second = from..&(*from + Duration::from_secs(1));
        sent.iter().filter(|at| second.contains(at)).count()
    });
    let most = most.max().unwrap_or_default();
    assert!((8..=20).contains(&most), "{most} in a second");
}

#[tokio::test]
async fn a_target_that_may_have_started_anew_is_probed_before_it_is_sent_more() {
    let deployment = up().await;
    let probes = deployment.vms[0].target.probe_count();
    deployment.vms[0].target.set_id("i-other");
    assert!(!runs(&deployment, "other").await);
    deployment.vms[0].target.set_id("i-vm-0");
    let back = eventually(Duration::from_secs(2), async || runs(&deployment, "back").await).await;
    assert!(back);
    assert!(deployment.vms[0].target.probe_count() > probes);
    assert_eq!(deployment.run_count("other"), 0);
}

#[tokio::test]
async fn a_node_that_starts_beside_a_running_target_serves_before_its_next_heartbeat() {
    for leaves in [false, true] {
        let mut deployment = up().await;
        if leaves {
            assert_eq!(deployment.vms[0].heartbeat("draining", 0.0).await, 200);
            deployment.vms[0].target.set_unhealthy();
        }
        deployment.vms[0].kill().await;
        deployment.start_node(0);
        let within = Duration::from_millis(2_500);
        let serves = eventually(within, async || runs(&deployment, "restarted").await).await;
        assert_eq!(serves, !leaves, "the target leaves: {leaves}");
    }
}

#[tokio::test]
async fn a_target_that_deregisters_at_a_node_that_does_not_know_it_gets_nothing() {
    let mut deployment = up().await;
    deployment.vms[0].target.set_unhealthy();
    deployment.vms[0].kill().await;
    deployment.start_node(0);
    let ready = eventually(Duration::from_secs(5), async || deployment.vms[0].is_ready().await);
    assert!(ready.await);
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    assert_eq!(deployment.vms[0].deregister().await, 200);
    assert_eq!(deployment.vms[0].heartbeat("ready", 0.0).await, 200);
    let told = Duration::from_millis(500);
    assert!(!eventually(told, async || runs(&deployment, "late word").await).await);
    // A start after that, under the same id, serves.
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap();
    let born = since.as_millis() as u64 + 1_000;
    assert_eq!(deployment.vms[0].heartbeat_as("i-vm-0", born, 1, "ready", 0.0).await, 200);
    let within = Duration::from_secs(2);
    assert!(eventually(within, async || runs(&deployment, "reborn").await).await);
}

#[tokio::test]
async fn long_work_goes_to_a_vm_that_is_not_slow_and_waits_where_all_are() {
    let mut deployment =
        Deployment::prepare(NODE, &[("dc-1", "a"), ("dc-1", "b"), ("dc-1", "a")]).await;
    deployment.start_nodes().await;
    // Both targets are heard of, so that their guards know that they tell how slow their VMs are.
    // More than one of them has slots for.
    let ids: Vec<String> = (0..12).map(|at| format!("warm-{at}")).collect();
    let warm = ids.iter().map(|id| works(&deployment, id));
    assert!(futures_util::future::join_all(warm).await.into_iter().all(|served| served));
    let both = [0, 2].iter().all(|at| !deployment.vms[*at].target.runs().is_empty());
    assert!(both, "each was sent some");
    let slow = |at: usize, hundredths| deployment.vms[at].target.set_slowness(hundredths);
    slow(0, 500);
    tokio::time::sleep(Duration::from_millis(50)).await;
    // Less than the time after which a VM is taken to stay slow.
    for at in 0..3 {
        assert!(works(&deployment, &format!("slow-{at}")).await);
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
    let (served, ()) = tokio::join!(works(&deployment, "held"), quiet);
    assert!(served && begun.elapsed() < Duration::from_millis(400), "{:?}", begun.elapsed());
}

#[tokio::test]
async fn a_target_that_was_found_by_a_health_check_leaves_when_it_tells_its_start() {
    let mut deployment = up().await;
    deployment.vms[0].kill().await;
    deployment.start_node(0);
    // Before any heartbeat: its start is not known here.
    let within = Duration::from_millis(2_500);
    assert!(eventually(within, async || runs(&deployment, "found").await).await);
    let goodbye = deployment.vms[0].deregister_request("i-vm-0", 1_000);
    assert_eq!(goodbye.send().await, 200);
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert!(!runs(&deployment, "left").await);
}
