//! Targets that send bytes that are no answer, without end: the request ends in time, the
//! connection is closed, the slot is free again, and the node's memory stays bounded.

use std::time::{Duration, Instant};

use standin::caller::TestRequest;
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
