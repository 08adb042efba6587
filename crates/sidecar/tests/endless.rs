//! Targets that send bytes that are no answer, without end: the request ends in time, the
//! connection is closed, the slot is free again, and the node's memory stays bounded.

use std::time::{Duration, Instant};

use standin::caller::{Caller, TestRequest};
use standin::deployment::{Deployment, eventually};

const NODE: &str = env!("CARGO_BIN_EXE_bamboowheel-sidecar");

/// What the smallest VMs let a node use.
const MEMORY_LIMIT: u64 = 160_000_000;

struct Case {
    /// The part of an answer that does not end.
    part: &'static str,
}

const CASES: [Case; 6] = [
    Case { part: "head" },
    Case { part: "info" },
    Case { part: "body" },
    Case { part: "chunks" },
    Case { part: "chunk-line" },
    Case { part: "trailers" },
];

#[tokio::test]
async fn an_answer_without_end_is_given_up_in_time_and_within_the_memory() {
    let mut deployment = Deployment::prepare(NODE, &[("dc-1", "a"), ("dc-1", "b")]).await;
    deployment.start_nodes().await;
    for Case { part } in CASES {
        let begun = Instant::now();
        let behaviour = format!("endless={part}");
        // As many at once as the target has slots, through both nodes.
        let ids: Vec<String> = (0..8).map(|at| format!("{part}-{at}")).collect();
        let requests = ids.iter().enumerate().map(|(at, id)| {
            let path = if at % 4 == 0 { "/once/x" } else { "/safe/x" };
            let behaviour = &behaviour;
            let deployment = &deployment;
            async move {
                let request =
                    TestRequest { id, path, behaviour, timeout_ms: 1_000, ..Default::default() };
                deployment.send_request(at % 2, &request).await.map(|answer| answer.status)
            }
        });
        let statuses = futures_util::future::join_all(requests).await;
        let failed = |status: &Option<u16>| matches!(status, Some(502 | 504));
        assert!(statuses.iter().all(failed), "{part}: {statuses:?}");
        assert!(begun.elapsed() < Duration::from_millis(1_400), "{part}: {:?}", begun.elapsed());
        let target = &deployment.vms[0].target;
        let closed = eventually(Duration::from_secs(1), async || target.endless_count() == 0);
        assert!(closed.await, "{part}: {} connections are open", target.endless_count());
        let id = format!("{part}-after");
        let request = TestRequest { id: &id, ..TestRequest::default() };
        let after = deployment.send_request(1, &request).await.map(|answer| answer.status);
        assert_eq!(after, Some(200), "{part}");
    }
    for vm in &deployment.vms {
        let memory = vm.peak_memory();
        assert!(memory < MEMORY_LIMIT, "{}: {memory} bytes", vm.name);
    }
}

#[tokio::test]
async fn a_health_answer_without_end_does_not_delay_requests() {
    let mut deployment = Deployment::prepare(NODE, &[("dc-1", "a"), ("dc-1", "b")]).await;
    deployment.start_nodes().await;
    deployment.vms[0].target.set_endless_health(true);
    for at in 0..6 {
        let id = format!("long-{at}");
        let request = TestRequest { id: &id, behaviour: "work=60", ..TestRequest::default() };
        let begun = Instant::now();
        let answer = deployment.send_request(1, &request).await.map(|answer| answer.status);
        assert_eq!(answer, Some(200), "{id}");
        assert!(begun.elapsed() < Duration::from_millis(300), "{id}: {:?}", begun.elapsed());
    }
    let target = &deployment.vms[0].target;
    let closed = eventually(Duration::from_secs(1), async || target.endless_count() == 0).await;
    assert!(closed, "{} connections are open", target.endless_count());
    assert!(deployment.vms[0].peak_memory() < MEMORY_LIMIT / 2);
}

struct Crowd {
    /// The part of an answer that does not end.
    part: &'static str,
    /// The time between two blocks of it, in milliseconds; 0 for as fast as they are read.
    pace_ms: u64,
}

// Guards against answers without end that hold the memory for answers while they wait for more of it,
// or until their deadlines, so that the answers to other callers of the node wait behind them.
#[tokio::test]
async fn answers_without_end_do_not_hold_up_other_answers() {
    let cases = [
        Crowd { part: "body", pace_ms: 0 },
        Crowd { part: "chunks", pace_ms: 0 },
        Crowd { part: "body", pace_ms: 10 },
    ];
    for Crowd { part, pace_ms } in cases {
        let vms = [("dc-1", "a"), ("dc-1", "b")];
        let mut deployment = Deployment::prepare(NODE, &vms).await;
        deployment.timeout_s = 8.0;
        deployment.vms.iter().for_each(|vm| vm.set_limits(160, 1_024));
        deployment.start_nodes().await;
        let routes = [("/safe/", "a", "safe"), ("/once/", "a", "unsafe"), ("/b/", "b", "unsafe")];
        deployment.set_routes(&routes);
        let current = eventually(Duration::from_secs(2), async || deployment.is_current(0).await);
        assert!(current.await);
        let deployment = &deployment;
        let pace = if pace_ms > 0 { format!(" pace={pace_ms}") } else { String::new() };
        let behaviour = &format!("endless={part}{pace}");
        let crowd = (0..8).map(|at| async move {
            let id = format!("{part}-{at}");
            let path = "/once/x";
            let request =
                TestRequest { id: &id, path, behaviour, timeout_ms: 6_000, ..Default::default() };
            deployment.send_request(0, &request).await.map(|answer| answer.status)
        });
        let others = async {
            let mut statuses = Vec::new();
            for at in 0..20 {
                let id = format!("other-{at}");
                let request = TestRequest {
                    id: &id,
                    path: "/b/x",
                    behaviour: "size=4000000",
                    timeout_ms: 3_000,
                    ..Default::default()
                };
                let answer = deployment.send_request(0, &request).await;
                statuses.push(answer.map(|answer| answer.status));
                tokio::time::sleep(Duration::from_millis(200)).await;
            }
            statuses
        };
        let crowd = futures_util::future::join_all(crowd);
        let (crowd, others) = futures_util::future::join(crowd, others).await;
        assert!(others.iter().all(|status| *status == Some(200)), "{behaviour}: {others:?}");
        let failed = |status: &Option<u16>| matches!(status, Some(502 | 504));
        assert!(crowd.iter().all(failed), "{behaviour}: {crowd:?}");
        let memory = deployment.vms[0].peak_memory();
        assert!(memory < MEMORY_LIMIT, "{behaviour}: {memory} bytes");
    }
}

struct Behind {
    /// What bytes without end follow.
    behaviour: &'static str,
    /// The length of the request's body.
    body_bytes: usize,
    /// What callers get.
    status: u16,
}

// Guards against bytes without end behind an exchange that has ended, which nobody waits for.
#[tokio::test]
async fn bytes_without_end_behind_an_exchange_are_not_read_for_long() {
    let mut deployment = Deployment::prepare(NODE, &[("dc-1", "a"), ("dc-1", "b")]).await;
    deployment.start_nodes().await;
    let cases = [
        Behind { behaviour: "endless=after", body_bytes: 0, status: 200 },
        Behind { behaviour: "endless=after early=100", body_bytes: 900_000, status: 200 },
        Behind { behaviour: "endless=refused", body_bytes: 0, status: 503 },
        Behind { behaviour: "endless=switch", body_bytes: 0, status: 502 },
    ];
    let target = &deployment.vms[0].target;
    for (case, Behind { behaviour, body_bytes, status }) in cases.into_iter().enumerate() {
        let body = "x".repeat(body_bytes);
        for at in 0..8 {
            let id = format!("behind-{case}-{at}");
            let request = TestRequest {
                id: &id,
                path: "/once/x",
                behaviour,
                body: &body,
                timeout_ms: 500,
                ..TestRequest::default()
            };
            let answer = deployment.send_request(at % 2, &request).await;
            assert_eq!(answer.map(|answer| answer.status), Some(status), "{behaviour} {at}");
        }
        let closed = eventually(Duration::from_secs(1), async || target.endless_count() == 0).await;
        assert!(closed, "{behaviour}: {} connections are open", target.endless_count());
    }
    // The same for a body whose caller has left.
    for at in 0..2 {
        let request = TestRequest { behaviour: "endless=body", ..TestRequest::default() };
        let mut caller = Caller::connect(deployment.vms[at].caller_address()).await.unwrap();
        caller.send(&request.bytes()).await.unwrap();
        let begun = eventually(Duration::from_secs(1), async || target.endless_count() > 0);
        assert!(begun.await, "node {at}");
        drop(caller);
        let closed = eventually(Duration::from_millis(500), async || target.endless_count() == 0);
        assert!(closed.await, "node {at}: {} connections are open", target.endless_count());
    }
    let request = TestRequest { id: "last", ..TestRequest::default() };
    let last = deployment.send_request(1, &request).await.map(|answer| answer.status);
    assert_eq!(last, Some(200));
    assert!(deployment.vms.iter().all(|vm| vm.peak_memory() < MEMORY_LIMIT / 2));
}
