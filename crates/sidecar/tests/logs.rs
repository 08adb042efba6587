//! What the logs alone tell of requests that were refused, late or lost, and how many lines they take.

use std::path::PathBuf;
use std::time::Duration;

use standin::caller::TestRequest;
use standin::deployment::{Deployment, eventually};

const NODE: &str = env!("CARGO_BIN_EXE_bamboowheel-sidecar");
/// Lines a second that each part of a node logs of requests, at most.
const BUDGET: usize = 40;

/// A deployment whose nodes log to files: an entry beside another service's target, and a target.
async fn up(name: &str) -> (Deployment, Vec<PathBuf>) {
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

/// Returns the lines that name a request, the entry's and the guard's.
async fn lines(files: &[PathBuf], id: &str, expected: usize) -> Vec<String> {
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
    let ask = TestRequest { id, behaviour, timeout_ms: 900, ..TestRequest::default() };
    deployment.send_request(0, &ask).await.map_or(0, |answer| answer.status)
}

fn has(lines: &[String], parts: &[&str]) -> bool {
    lines.iter().any(|line| parts.iter().all(|part| line.contains(part)))
}

#[tokio::test]
async fn a_request_that_was_refused_for_want_of_room_is_told_with_the_queue() {
    let (deployment, files) = up("refused").await;
    let ids: Vec<String> = (0..60).map(|at| format!("full-{at}")).collect();
    let asks = ids.iter().map(|id| status(&deployment, id, "work=400"));
    let statuses = futures_util::future::join_all(asks).await;
    let refused = statuses.iter().position(|status| *status == 503).expect("one is refused");
    let lines = lines(&files, &ids[refused], 2).await;
    assert!(has(&lines, &["guard: refused", "\"refusal\":\"full\"", "\"slots\":8"]), "{lines:?}");
    assert!(has(&lines, &["entry: refused", "\"refusal\":\"full\"", "\"reached\":0"]), "{lines:?}");
}

#[tokio::test]
async fn a_request_that_was_late_since_its_target_is_slow_is_told_with_its_slowness() {
    let (deployment, files) = up("late").await;
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
    let ask = TestRequest { id: "late", behaviour: "work=450", ..TestRequest::default() };
    assert_eq!(deployment.send_request(0, &ask).await.unwrap().status, 200);
    let lines = lines(&files, "late", 2).await;
    assert!(has(&lines, &["guard: late", "\"slowness\":5.0", "\"target_us\":45"]), "{lines:?}");
    assert!(has(&lines, &["entry: answered", "\"target_us\":45", "\"tried\""]), "{lines:?}");
}

#[tokio::test]
async fn a_request_with_an_unknown_outcome_is_told_with_what_cut_it() {
    let (deployment, files) = up("lost").await;
    let ask = TestRequest {
        method: "POST",
        path: "/once/x",
        id: "lost",
        behaviour: "cut",
        ..TestRequest::default()
    };
    assert_eq!(deployment.send_request(0, &ask).await.unwrap().status, 502);
    let lines = lines(&files, "lost", 2).await;
    assert!(has(&lines, &["guard: lost", "the answer is cut"]), "{lines:?}");
    let parts = ["entry: lost", "the answer is cut", "\"reached\":1", "\"status\":502"];
    assert!(has(&lines, &parts), "{lines:?}");
}

#[tokio::test]
async fn a_burst_of_refusals_takes_no_more_lines_than_its_budget() {
    let (deployment, files) = up("burst").await;
    // Nothing of the service is left, so that each request is refused at once.
    assert_eq!(deployment.vms[1].deregister().await, 200);
    tokio::time::sleep(Duration::from_millis(300)).await;
    let before = std::fs::read_to_string(&files[0]).unwrap().lines().count();
    for round in 0..4 {
        let ids: Vec<String> = (0..100).map(|at| format!("burst-{round}-{at}")).collect();
        let asks = ids.iter().map(|id| status(&deployment, id, "-"));
        let statuses = futures_util::future::join_all(asks).await;
        assert!(statuses.iter().all(|status| *status == 503), "{statuses:?}");
    }
    tokio::time::sleep(Duration::from_millis(300)).await;
    let lines = std::fs::read_to_string(&files[0]).unwrap().lines().count() - before;
    // A second's budget at once, and what the seconds of the burst add.
    assert!((10..=BUDGET * 3).contains(&lines), "{lines} lines of 400 refusals");
    let counted = deployment.vms[0].counter("bamboowheel_log_lines_dropped_total").await;
    assert!(counted.is_some_and(|count| count >= 200), "{counted:?} were left out and counted");
}
