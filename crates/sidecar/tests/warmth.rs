//! Targets that become cold again, and say so only when they are asked.

use std::rc::Rc;
use std::time::{Duration, Instant};

use standin::caller::TestRequest;
use standin::deployment::Deployment;

const NODE: &str = env!("CARGO_BIN_EXE_bamboowheel-sidecar");
/// What a cold target of the stand-in deployment may get in any second: a rate of 10, times 1.5, plus 5.
const ALLOWED: usize = 20;
/// Time between two requests of the load: several times as many as a cold target may get.
const LOAD_INTERVAL: Duration = Duration::from_millis(12);

async fn started_deployment() -> Rc<Deployment> {
    let mut deployment =
        Deployment::prepare(NODE, &[("dc-1", "a"), ("dc-1", "b"), ("dc-1", "b")]).await;
    deployment.start_nodes().await;
    Rc::new(deployment)
}

/// Sends requests to the second and third node for a while, by turns. Returns how many were served.
async fn send_load(deployment: &Rc<Deployment>, name: &str, duration: Duration) -> usize {
    let (local, begun) = (tokio::task::LocalSet::new(), Instant::now());
    let sending = async {
        let mut tasks = Vec::new();
        for number in 0.. {
            if begun.elapsed() >= duration {
                break;
            }
            let (deployment, id) = (deployment.clone(), format!("{name}-{number}"));
            tasks.push(tokio::task::spawn_local(async move {
                let request = TestRequest { id: &id, timeout_ms: 400, ..TestRequest::default() };
                let answer = deployment.send_request(1 + number % 2, &request).await;
                answer.is_some_and(|answer| answer.status == 200)
            }));
            tokio::time::sleep(LOAD_INTERVAL).await;
        }
        let mut served = 0;
        for task in tasks {
            served += usize::from(task.await.unwrap());
        }
        served
    };
    local.run_until(sending).await
}

/// Returns the most runs in any second that begins after `from`.
fn most_runs(deployment: &Deployment, from: Instant) -> usize {
    let runs = deployment.vms[0].target.runs();
    let begun: Vec<Instant> = runs.iter().map(|run| run.started).collect();
    let counts = begun.iter().filter(|first| **first >= from).map(|first| {
        let second = *first..*first + Duration::from_secs(1);
        begun.iter().filter(|at| second.contains(at)).count()
    });
    counts.max().unwrap_or_default()
}

// Guards against a guard that ignores what health answers say of the warmth, and against one that
// asks too late.
#[tokio::test]
async fn a_target_that_becomes_cold_between_heartbeats_gets_what_a_cold_one_may() {
    let deployment = started_deployment().await;
    let served = send_load(&deployment, "warm", Duration::from_secs(2)).await;
    assert!(served > 100, "only {served} served while warm");
    let cold = Instant::now();
    deployment.vms[0].target.set_cold(Duration::from_secs(3));
    let served = send_load(&deployment, "cold", Duration::from_millis(2_500)).await;
    let most = most_runs(&deployment, cold);
    assert!(most <= ALLOWED, "{most} requests in a second");
    assert!(served >= 15, "only {served} served while cold");
}

// Guards against a guard that takes a target for warm because a health check has no answer.
#[tokio::test]
async fn a_target_whose_health_answers_prove_nothing_gets_what_a_cold_one_may() {
    let deployment = started_deployment().await;
    deployment.vms[0].target.set_silent_health(true);
    let begun = Instant::now();
    let served = send_load(&deployment, "unknown", Duration::from_secs(3)).await;
    let most = most_runs(&deployment, begun);
    assert!(most <= ALLOWED, "{most} requests in a second");
    assert!(served >= 30, "only {served} served");
}

// Guards against a target that is taken to be cold for much longer than its health answer says.
#[tokio::test]
async fn a_target_gets_its_full_load_again_once_it_is_warm() {
    let deployment = started_deployment().await;
    let target = &deployment.vms[0].target;
    target.set_cold(Duration::from_millis(700));
    send_load(&deployment, "cold", Duration::from_millis(700)).await;
    target.set_cold(Duration::ZERO);
    tokio::time::sleep(Duration::from_secs(1)).await;
    let served = send_load(&deployment, "warm", Duration::from_secs(2)).await;
    assert!(served > 100, "only {served} served");
}
