//! A node that is asked to stop.

use std::time::{Duration, Instant};

use standin::caller::{Ask, Caller};
use standin::deployment::{Deployment, eventually};

const NODE: &str = env!("CARGO_BIN_EXE_bamboowheel-sidecar");
/// The time after which the platform kills a node.
const GRACE: Duration = Duration::from_secs(6);

async fn up() -> Deployment {
    let mut deployment = Deployment::start(NODE, &[("dc-1", "b"), ("dc-1", "a")]).await;
    deployment.up().await;
    deployment
}

#[tokio::test]
async fn what_runs_is_finished_and_the_node_is_not_ready_any_more() {
    let mut deployment = up().await;
    let mut caller = Caller::open(deployment.vms[0].callers()).await.unwrap();
    let once = Ask {
        method: "POST",
        path: "/once/x",
        id: "long",
        what: "work=1500",
        body: "upload",
        ..Ask::default()
    };
    caller.send(&once.bytes()).await.unwrap();
    let runs = eventually(Duration::from_secs(1), async || deployment.count("long") == 1).await;
    assert!(runs);
    deployment.vms[0].terminate().await;
    let unready =
        eventually(Duration::from_secs(1), async || !deployment.vms[0].is_ready().await).await;
    assert!(unready);
    let answer = caller.answer().await.unwrap();
    assert_eq!(answer.status, 200);
    assert_eq!(answer.header("connection"), Some("close"));
    assert!(deployment.vms[0].ended(GRACE).await);
}

#[tokio::test]
async fn requests_that_were_sent_ahead_are_all_answered() {
    let mut deployment = up().await;
    let mut caller = Caller::open(deployment.vms[0].callers()).await.unwrap();
    let ids: Vec<String> = (0..4).map(|at| format!("ahead-{at}")).collect();
    let ask = |id| Ask { id, what: "work=800", ..Ask::default() }.bytes();
    let bytes: Vec<u8> = ids.iter().flat_map(|id| ask(id)).collect();
    caller.send(&bytes).await.unwrap();
    let all = eventually(Duration::from_millis(700), async || {
        ids.iter().map(|id| deployment.count(id)).sum::<usize>() == 4
    });
    assert!(all.await);
    deployment.vms[0].terminate().await;
    for id in &ids {
        let answer = caller.answer().await.unwrap_or_else(|| panic!("{id} has no answer"));
        assert!(answer.body.contains(id.as_str()));
    }
    assert!(deployment.vms[0].ended(GRACE).await);
}

#[tokio::test]
async fn an_answer_reaches_a_caller_that_has_sent_more_behind_it() {
    let mut deployment = up().await;
    let mut caller = Caller::open(deployment.vms[0].callers()).await.unwrap();
    let ask = |id, what| Ask { id, what, ..Ask::default() }.bytes();
    caller.send(&ask("last", "work=800")).await.unwrap();
    let runs = eventually(Duration::from_secs(1), async || deployment.count("last") == 1).await;
    assert!(runs);
    deployment.vms[0].terminate().await;
    tokio::time::sleep(Duration::from_millis(200)).await;
    caller.send(&[ask("behind-0", "-"), ask("behind-1", "-")].concat()).await.unwrap();
    let answer = caller.answer().await.expect("the answer is not lost");
    assert_eq!((answer.status, answer.header("connection")), (200, Some("close")));
    assert_eq!(caller.answer().await, None);
    assert_eq!(deployment.count("behind-0") + deployment.count("behind-1"), 0);
    assert!(deployment.vms[0].ended(GRACE).await);
}

#[tokio::test]
async fn callers_that_keep_coming_do_not_keep_a_node_from_ending() {
    let mut deployment = up().await;
    let address = deployment.vms[0].callers();
    deployment.vms[0].terminate().await;
    let begun = Instant::now();
    let (mut cut, mut answered) = (0, 0);
    while begun.elapsed() < Duration::from_secs(4) {
        let id = format!("late-{}", begun.elapsed().as_millis());
        let Ok(mut caller) = Caller::open(address).await else { break };
        let what = "work=150";
        match caller.ask(&Ask { id: &id, what, ..Ask::default() }).await {
            Some(_) => answered += 1,
            None => cut += usize::from(deployment.count(&id) > 0),
        }
    }
    assert!(answered > 5, "{answered}");
    assert_eq!(cut, 0, "requests that ran have no answer");
    assert!(deployment.vms[0].ended(GRACE.saturating_sub(begun.elapsed())).await);
}

#[tokio::test]
async fn a_target_beside_a_stopping_node_gets_no_new_work_from_others() {
    let mut deployment = up().await;
    deployment.vms[1].terminate().await;
    tokio::time::sleep(Duration::from_millis(600)).await;
    let answer = deployment.ask(0, &Ask { id: "after", ..Ask::default() }).await.unwrap();
    assert_eq!((answer.status, deployment.count("after")), (503, 0));
    assert!(deployment.vms[1].ended(GRACE).await);
}
