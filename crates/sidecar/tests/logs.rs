//! What the logs say about requests that were refused, late or lost, and how many lines are logged.

use std::path::PathBuf;
use std::time::Duration;

use standin::caller::TestRequest;
use standin::deployment::{Deployment, eventually};

const NODE: &str = env!("CARGO_BIN_EXE_bamboowheel-sidecar");
/// The most lines about requests that the entry and the guard of a node each log in a second.
const MAX_LINES_PER_SECOND: usize = 40;

/// Starts two nodes that log to files. Service `a` runs only on the second VM; requests begin on
/// the first.
async fn start(name: &str) -> (Deployment, Vec<PathBuf>) {
    let mut deployment = Deployment::prepare(NODE, &[("dc-1", "b"), ("dc-1", "a")]).await;
    let folder = std::env::temp_dir().join(format!("bamboowheel-{}-{name}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let mut files = Vec::new();
    for vm in &mut deployment.vms {
        let file = folder.join(format!("{}.log", vm.name));
        vm.log_to(file.clone());
        files.push(file);
    }
    deployment.start_nodes().await;
    (deployment, files)
}

/// Waits until `expected` lines name a request, and returns those that do at the end.
async fn lines_about(files: &[PathBuf], id: &str, expected: usize) -> Vec<String> {
    let mut found = Vec::new();
    eventually(Duration::from_secs(3), async || {
        let texts = files.iter().map(|file| std::fs::read_to_string(file).unwrap_or_default());
        let lines = texts.flat_map(|text| text.lines().map(str::to_owned).collect::<Vec<_>>());
        found = lines.filter(|line| line.contains(&format!("\"request\":\"{id}\""))).collect();
        found.len() >= expected
    })
    .await;
    found
}

async fn status(deployment: &Deployment, id: &str, behaviour: &str) -> u16 {
    let request = TestRequest { id, behaviour, timeout_ms: 900, ..TestRequest::default() };
    deployment.send_request(0, &request).await.map_or(0, |answer| answer.status)
}

fn has(lines: &[String], parts: &[&str]) -> bool {
    lines.iter().any(|line| parts.iter().all(|part| line.contains(part)))
}

#[tokio::test]
async fn a_request_refused_because_of_a_full_queue_is_logged_with_the_slots() {
    let (deployment, files) = start("refused").await;
    let ids: Vec<String> = (0..60).map(|at| format!("full-{at}")).collect();
    let requests = ids.iter().map(|id| status(&deployment, id, "work=400"));
    let statuses = futures_util::future::join_all(requests).await;
    let refused =
        statuses.iter().position(|status| *status == 503).expect("one request is refused");
    let lines = lines_about(&files, &ids[refused], 2).await;
    assert!(has(&lines, &["guard: refused", "\"refusal\":\"full\"", "\"slots\":8"]), "{lines:?}");
    assert!(has(&lines, &["entry: refused", "\"refusal\":\"full\"", "\"reached\":0"]), "{lines:?}");
}

#[tokio::test]
async fn a_request_late_because_of_a_slow_target_is_logged_with_the_slowness() {
    let (deployment, files) = start("late").await;
    deployment.vms[1].target.set_slowness(500);
    for at in 0..3 {
        let id = format!("before-{at}");
        deployment
            .send_request(
                0,
                &TestRequest { id: &id, behaviour: "work=50", ..TestRequest::default() },
            )
            .await;
    }
    let request = TestRequest { id: "late", behaviour: "work=450", ..TestRequest::default() };
    assert_eq!(deployment.send_request(0, &request).await.unwrap().status, 200);
    let lines = lines_about(&files, "late", 2).await;
    assert!(has(&lines, &["guard: late", "\"slowness\":5.0", "\"target_us\":45"]), "{lines:?}");
    assert!(has(&lines, &["entry: answered", "\"target_us\":45", "\"tried\""]), "{lines:?}");
}

#[tokio::test]
async fn a_request_with_an_unknown_outcome_is_logged_with_the_cause() {
    let (deployment, files) = start("lost").await;
    let request = TestRequest {
        method: "POST",
        path: "/once/x",
        id: "lost",
        behaviour: "cut",
        ..TestRequest::default()
    };
    assert_eq!(deployment.send_request(0, &request).await.unwrap().status, 502);
    let lines = lines_about(&files, "lost", 2).await;
    assert!(has(&lines, &["guard: lost", "the answer is cut"]), "{lines:?}");
    let parts = ["entry: lost", "the answer is cut", "\"reached\":1", "\"status\":502"];
    assert!(has(&lines, &parts), "{lines:?}");
}

#[tokio::test]
async fn a_burst_of_refusals_is_logged_within_the_limit() {
    let (deployment, files) = start("burst").await;
    // The service has no other target, so each request is refused at once.
    assert_eq!(deployment.vms[1].deregister().await, 200);
    tokio::time::sleep(Duration::from_millis(300)).await;
    let before = std::fs::read_to_string(&files[0]).unwrap().lines().count();
    for round in 0..4 {
        let ids: Vec<String> = (0..100).map(|at| format!("burst-{round}-{at}")).collect();
        let requests = ids.iter().map(|id| status(&deployment, id, "-"));
        let statuses = futures_util::future::join_all(requests).await;
        assert!(statuses.iter().all(|status| *status == 503), "{statuses:?}");
    }
    tokio::time::sleep(Duration::from_millis(300)).await;
    let lines = std::fs::read_to_string(&files[0]).unwrap().lines().count() - before;
    // A full token bucket at the start, and the tokens added during the burst.
    assert!((10..=MAX_LINES_PER_SECOND * 3).contains(&lines), "{lines} lines of 400 refusals");
    let counted = deployment.vms[0].counter("bamboowheel_log_lines_dropped_total").await;
    assert!(
        counted.is_some_and(|count| count >= 200),
        "the counter of dropped lines is at {counted:?}"
    );
}
