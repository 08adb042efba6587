//! Requests that crash the targets that run them.

use std::time::{Duration, Instant};

use standin::caller::TestRequest;
use standin::deployment::{Deployment, eventually};

/// The time after a disruption in which service has to be as before.
const RECOVERY: Duration = Duration::from_secs(15);
/// A request that crashes its targets may reach [`MAX_LATE`] more from this time after the third crash
/// on.
const CONTACT: Duration = Duration::from_secs(3);
const MAX_LATE: usize = 3;

const NODE: &str = env!("CARGO_BIN_EXE_bamboowheel-sidecar");

#[tokio::test]
async fn a_request_that_crashes_its_targets_is_stopped_after_the_third() {
    let vms = [("dc-1", "a"), ("dc-1", "a"), ("dc-1", "a"), ("dc-1", "b")];
    let mut deployment = Deployment::prepare(NODE, &vms).await;
    deployment.start_nodes().await;
    let mut refused = None;
    for round in 0..12 {
        // It comes again with another id, at any node.
        let id = format!("crash-{round}");
        let request =
            TestRequest { id: &id, path: "/once/crash", behaviour: "crash", ..Default::default() };
        let answer = deployment.send_request(round % 4, &request).await.unwrap();
        assert!(matches!(answer.status, 502..=504), "{answer:?}");
        if answer.status == 503 && answer.body.contains("2016") {
            refused = refused.or(Some(round));
            assert_eq!(deployment.run_count(&id), 0, "{id}");
        }
        // The target comes back.
        tokio::time::sleep(Duration::from_millis(700)).await;
        // Others go on, with the same path and with another one.
        for path in ["/safe/x", "/once/x"] {
            let served = eventually(Duration::from_secs(2), async || {
                let request = TestRequest { id: "other", path, ..TestRequest::default() };
                let answer = deployment.send_request(round % 4, &request).await;
                answer.is_some_and(|answer| answer.status == 200)
            });
            assert!(served.await, "{path} after {id}");
        }
    }
    let runs: usize = (0..12).map(|round| deployment.run_count(&format!("crash-{round}"))).sum();
    assert!((3..=4).contains(&runs), "it ran {runs} times");
    assert!(refused.is_some_and(|round| round <= 6), "first refused in round {refused:?}");
    // A node that restarts learns of it from its peers.
    deployment.vms[3].kill().await;
    deployment.start_node(3);
    let ready = eventually(Duration::from_secs(5), async || deployment.vms[3].is_ready().await);
    assert!(ready.await);
    tokio::time::sleep(Duration::from_millis(300)).await;
    let request =
        TestRequest { id: "last", path: "/once/crash", behaviour: "crash", ..Default::default() };
    let answer = deployment.send_request(3, &request).await.unwrap();
    assert_eq!((answer.status, deployment.run_count("last")), (503, 0), "{answer:?}");
}

// Guards against refusals of a target, which did not run the request, that clear its crashes.
#[tokio::test]
async fn a_request_that_crashes_targets_is_not_cleared_by_their_refusals() {
    let vms = [("dc-1", "a"), ("dc-1", "a"), ("dc-1", "b")];
    let mut deployment = Deployment::prepare(NODE, &vms).await;
    deployment.start_nodes().await;
    let mut ran = 0;
    for round in 0..6 {
        let crash = format!("crash-{round}");
        // Both targets refuse it: they shed it, and then they are other instances.
        let refused = async |id: &str, behaviour| {
            let path = "/once/crash";
            let request =
                TestRequest { id, path, behaviour, timeout_ms: 500, ..Default::default() };
            deployment.send_request(2, &request).await;
            assert_eq!(deployment.run_count(id), 0);
        };
        refused(&format!("shed-{round}"), "shed").await;
        deployment.vms[..2].iter().for_each(|vm| vm.target.set_id("i-other"));
        refused(&format!("other-{round}"), "-").await;
        deployment.vms[..2].iter().for_each(|vm| vm.target.set_id(&vm.instance_id()));
        // Both targets are confirmed again.
        let path = "/once/other";
        for at in 0..2 {
            let served = eventually(Duration::from_secs(3), async || {
                let request = TestRequest { id: "other", path, ..TestRequest::default() };
                let answer = deployment.send_request(at, &request).await;
                answer.is_some_and(|answer| answer.status == 200)
            });
            assert!(served.await, "round {round}");
        }
        let request = TestRequest {
            id: &crash,
            path: "/once/crash",
            behaviour: "crash",
            ..Default::default()
        };
        deployment.send_request(2, &request).await;
        ran += deployment.run_count(&crash);
        tokio::time::sleep(Duration::from_millis(700)).await;
    }
    assert_eq!(ran, 3, "it ran {ran} times of 6");
}

struct Between {
    /// What targets do with the request between two crashes.
    behaviour: &'static str,
    /// The end of its body, after as many equal bytes as both have.
    end: &'static str,
    status: u16,
}

// Guards against crashes that are cleared by a failure, which a target that dies may send as well, or
// by the answer to another request with the same start.
#[tokio::test]
async fn a_request_that_crashes_targets_is_not_cleared_by_failures_or_similar_requests() {
    let cases = [
        Between { behaviour: "fail", end: "harmful", status: 500 },
        Between { behaviour: "-", end: "harmless", status: 200 },
    ];
    for case in &cases {
        let mut deployment = Deployment::prepare(NODE, &[("dc-1", "a"), ("dc-1", "b")]).await;
        deployment.start_nodes().await;
        let start = "x".repeat(8_000);
        let send = async |id: &str, behaviour, end: &str| {
            let body = format!("{start}{end}");
            let (path, method) = ("/once/upload", "POST");
            let request =
                TestRequest { id, path, method, behaviour, body: &body, ..Default::default() };
            deployment.send_request(1, &request).await.map_or(0, |answer| answer.status)
        };
        let mut ran = 0;
        for round in 0..5 {
            let id = format!("crash-{round}");
            send(&id, "crash", "harmful").await;
            ran += deployment.run_count(&id);
            let is_back = eventually(Duration::from_secs(3), async || {
                send("other", "-", "other").await == 200
            });
            assert!(is_back.await, "round {round}");
            let status = send("between", case.behaviour, case.end).await;
            assert!(status == case.status || round >= 2, "round {round}: {status}");
        }
        assert_eq!(ran, 3, "{}: it ran {ran} times of 5", case.behaviour);
    }
}

// Guards against crashes that are not counted because the target is back before the node looks.
#[tokio::test]
async fn a_request_whose_targets_are_back_at_once_is_stopped_after_the_third() {
    let mut deployment = Deployment::prepare(NODE, &[("dc-1", "a"), ("dc-1", "b")]).await;
    deployment.start_nodes().await;
    let begun = Instant::now();
    let send = async |id: &str, path, behaviour| {
        let request = TestRequest { id, path, behaviour, ..TestRequest::default() };
        deployment.send_request(1, &request).await.map(|answer| answer.status)
    };
    let restart = async |round: u64| {
        let (vm, id) = (&deployment.vms[0], format!("i-{round}"));
        vm.target.set_id(&id);
        // The new instance refuses what is meant for the one before.
        assert_eq!(send("misdirected", "/once/other", "-").await, Some(503));
        assert_eq!(vm.heartbeat_as(&id, 2_000 + round, 1, "ready", 0.0).await, 200);
        let served = eventually(Duration::from_secs(2), async || {
            send("other", "/once/other", "-").await == Some(200)
        });
        assert!(served.await, "round {round}");
    };
    // Connections of a target that answers later requests broke for another reason.
    for round in 0..3 {
        assert_eq!(send(&format!("reset-{round}"), "/once/reset", "reset").await, Some(502));
        assert_eq!(send("other", "/once/other", "-").await, Some(200));
        restart(round).await;
    }
    assert_eq!(send("reset-3", "/once/reset", "-").await, Some(200));
    for round in 3..6 {
        assert_eq!(send(&format!("crash-{round}"), "/once/crash", "reset").await, Some(502));
        restart(round).await;
    }
    assert_eq!(send("crash-6", "/once/crash", "-").await, Some(503));
    assert_eq!(deployment.run_count("crash-6"), 0);
    assert!(begun.elapsed() < Duration::from_secs(30));
}

/// Sends one page with a body many times at once, through all nodes, and crashes the first `crashed`
/// targets while it runs at each of them. It may not be sent twice.
async fn crash_under_a_page(deployment: &Deployment, round: usize, crashed: usize, body: &str) {
    let count = deployment.vms.len();
    let requests = (0..4 * count).map(|at| async move {
        let id = format!("page-{round}-{at}");
        let request = TestRequest {
            id: &id,
            path: "/once/page",
            behaviour: "work=400",
            body,
            ..TestRequest::default()
        };
        deployment.send_request(at % count, &request).await;
    });
    let crash = async {
        let is_everywhere = eventually(Duration::from_millis(350), async || {
            let first = &deployment.vms[..crashed];
            first.iter().all(|vm| vm.target.runs().iter().any(|run| !run.finished))
        });
        assert!(is_everywhere.await, "the page does not run at all targets that are to crash");
        deployment.vms[..crashed].iter().for_each(|vm| vm.target.crash());
    };
    futures_util::future::join(futures_util::future::join_all(requests), crash).await;
}

/// Waits until each node serves the page, and returns the time that it took. Callers go on at a steady
/// rate meanwhile.
async fn wait_for_page(deployment: &Deployment, round: usize, body: &str) -> Duration {
    let begun = Instant::now();
    for (at, _) in deployment.vms.iter().enumerate() {
        let mut tried = 0;
        let served = eventually(RECOVERY, async || {
            tried += 1;
            let id = format!("after-{round}-{at}-{tried}");
            let request =
                TestRequest { id: &id, path: "/once/page", body, ..TestRequest::default() };
            let answer = deployment.send_request(at, &request).await;
            answer.is_some_and(|answer| answer.status == 200)
        });
        assert!(served.await, "node {at} did not serve the page for {RECOVERY:?}");
    }
    begun.elapsed()
}

// Guards against a page that is refused everywhere because it ran at targets that went down together
// (review/7), and which targets that go on could serve.
#[tokio::test]
async fn a_page_that_ran_as_some_targets_went_down_is_served_at_the_others() {
    let vms =
        [("dc-1", "a"), ("dc-1", "a"), ("dc-1", "a"), ("dc-1", "a"), ("dc-2", "a"), ("dc-2", "a")];
    let mut deployment = Deployment::prepare(NODE, &vms).await;
    deployment.start_nodes().await;
    // Outages come in series.
    for round in 0..2 {
        crash_under_a_page(&deployment, round, 4, "").await;
        let took = wait_for_page(&deployment, round, "").await;
        assert!(took < CONTACT, "after {took:?}");
        tokio::time::sleep(Duration::from_secs(1)).await;
    }
}

// Guards against the same page where no target is left that could answer it.
#[tokio::test]
async fn a_page_that_ran_as_all_targets_went_down_is_served_again() {
    let vms = [("dc-1", "a"), ("dc-1", "a"), ("dc-1", "a"), ("dc-2", "a"), ("dc-2", "b")];
    // An answer counts only after the whole request was sent, which takes longer with a long body.
    for body in [String::new(), "x".repeat(300_000)] {
        let mut deployment = Deployment::prepare(NODE, &vms).await;
        deployment.start_nodes().await;
        crash_under_a_page(&deployment, 0, 4, &body).await;
        let took = wait_for_page(&deployment, 0, &body).await;
        assert!(took < RECOVERY, "{} bytes: after {took:?}", body.len());
    }
}

// Guards against a request that crashes its targets and goes on because it was there at an outage, or
// because callers send it to all nodes at once.
#[tokio::test]
async fn a_request_that_crashes_targets_is_stopped_beside_an_outage_and_in_crowds() {
    let vms = [("dc-1", "a"), ("dc-1", "a"), ("dc-1", "a"), ("dc-2", "a"), ("dc-2", "a")];
    let mut deployment = Deployment::prepare(NODE, &vms).await;
    deployment.start_nodes().await;
    let deployment = &deployment;
    let begun = Instant::now();
    let crowds = (0..12).map(|wave| async move {
        tokio::time::sleep(Duration::from_millis(1_500 * wave as u64)).await;
        let copies = (0..vms.len()).map(|at| async move {
            let id = format!("crash-{wave}-{at}");
            let request = TestRequest {
                id: &id,
                path: "/once/crash",
                behaviour: "crash",
                ..TestRequest::default()
            };
            deployment.send_request(at, &request).await;
        });
        futures_util::future::join_all(copies).await;
    });
    let outage = async {
        tokio::time::sleep(Duration::from_millis(1_510)).await;
        deployment.vms.iter().for_each(|vm| vm.target.crash());
    };
    futures_util::future::join(futures_util::future::join_all(crowds), outage).await;
    let mut runs: Vec<Instant> = Vec::new();
    for vm in &deployment.vms {
        let of_request = vm.target.runs().into_iter().filter(|run| run.id.starts_with("crash-"));
        runs.extend(of_request.map(|run| run.started));
    }
    runs.sort_unstable();
    let seen: Vec<Duration> = runs.iter().map(|started| *started - begun).collect();
    let late = runs.iter().filter(|started| **started > runs[2] + CONTACT).count();
    assert!(late <= MAX_LATE, "{late} runs more than {CONTACT:?} after the third: {seen:?}");
}
