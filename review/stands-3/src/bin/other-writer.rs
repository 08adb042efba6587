//! Case 12: a heartbeat of another writer, without the field `zone`, and a target that leaves.

use std::time::{Duration, Instant};

use standin::caller::TestRequest;
use standin::deployment::Deployment;
use stands_3::{BROKEN, Case, HELD, NOT_RUN, count};

/// `drainS` of the pages' sites.
const DRAIN: Duration = Duration::from_secs(2);
/// How much later than `drainS` after the acknowledgement the judged requests are sent.
const LATER: Duration = Duration::from_millis(500);
/// Requests that are sent then, and their number a second.
const REQUESTS: usize = 40;
const PAUSE: Duration = Duration::from_millis(50);
/// Requests that run while the leaving target ends, and their work.
const LAST_REQUESTS: usize = 4;
const LAST_WORK: &str = "work=1500";

#[tokio::main]
async fn main() {
    let case = Case::open();
    let status = match tokio::time::timeout(Duration::from_secs(60), run(case)).await {
        Ok(status) => status,
        Err(_) => NOT_RUN,
    };
    std::process::exit(status);
}

async fn run(mut case: Case) -> i32 {
    let vms = [("dc-1", "b"), ("dc-1", "a"), ("dc-1", "a")];
    let mut deployment = Deployment::prepare(&case.program, &vms).await;
    deployment.start_nodes().await;
    case.note(
        "3 nodes run: vm-0 beside a target of service b, vm-1 and vm-2 beside ones of service a",
    );
    if case.trouble {
        let status = send_odd_heartbeat(&deployment).await;
        case.note(format!(
            "another writer's heartbeat without `zone` to vm-2 names i-vm-1: answered {status}"
        ));
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
    let status = deployment.vms[1].heartbeat("draining", 0.0).await;
    let acknowledged = Instant::now();
    case.note(format!("i-vm-1 tells vm-1 that it is draining: answered {status}"));
    // As the protocol has it for a target that leaves.
    deployment.vms[1].target.set_unhealthy();
    deployment.vms[1].target.set_headers("connection: close\r\n");
    if status != 200 {
        return case.finish(NOT_RUN, "the target's heartbeat was not acknowledged");
    }
    tokio::time::sleep(DRAIN + LATER).await;
    let mut statuses = Vec::new();
    for number in 0..REQUESTS {
        let id = format!("late-{number}");
        statuses.push(send(&deployment, &id, "work=20").await);
        tokio::time::sleep(PAUSE).await;
    }
    case.note(format!("{REQUESTS} unsafe requests sent to vm-0; answers: {}", count(statuses)));
    for vm in &deployment.vms[1..] {
        let runs = vm.target.runs();
        let late = runs.iter().filter(|run| run.started > acknowledged + DRAIN).count();
        case.note(format!("{} ran {late} of them", vm.instance_id()));
    }
    end_target(&mut case, &deployment).await;
    let runs = deployment.vms[1].target.runs();
    let late = runs.iter().filter(|run| run.started > acknowledged + DRAIN).count();
    if late > 0 {
        let verdict = format!("broken: {late} requests reached i-vm-1 later than drainS");
        return case.finish(BROKEN, &verdict);
    }
    case.finish(HELD, "held: no request reached i-vm-1 later than drainS")
}

/// Ends the leaving target while requests run, as it may once it has served for `drainS`.
async fn end_target(case: &mut Case, deployment: &Deployment) {
    let requests = async {
        let mut statuses = Vec::new();
        let sent = (0..LAST_REQUESTS).map(|number| format!("last-{number}")).collect::<Vec<_>>();
        let (first, second, third, fourth) = tokio::join!(
            send(deployment, &sent[0], LAST_WORK),
            send(deployment, &sent[1], LAST_WORK),
            send(deployment, &sent[2], LAST_WORK),
            send(deployment, &sent[3], LAST_WORK),
        );
        statuses.extend([first, second, third, fourth]);
        statuses
    };
    let end = async {
        tokio::time::sleep(Duration::from_millis(500)).await;
        deployment.vms[1].target.crash();
    };
    let (statuses, ()) = tokio::join!(requests, end);
    case.note(format!(
        "i-vm-1 ends; {LAST_REQUESTS} unsafe requests were under way; answers: {}",
        count(statuses)
    ));
}

async fn send(deployment: &Deployment, id: &str, behaviour: &str) -> u16 {
    let request = TestRequest {
        method: "POST",
        path: "/once/x",
        id,
        behaviour,
        body: "order",
        ..TestRequest::default()
    };
    deployment.send_request(0, &request).await.map_or(0, |answer| answer.status)
}

/// Sends a heartbeat that has every field but `zone` to the node on `vm-2`. Returns the answer's
/// status.
async fn send_odd_heartbeat(deployment: &Deployment) -> u16 {
    let body = format!(
        r#"{{"service":"a","address":"{}","version":"v1","slots":8,"state":"ready","warmupLeftS":0,"sequence":4,"born":1000}}"#,
        deployment.vms[1].target.address
    );
    deployment.vms[2].send_control("/api/rpc?call=instances.heartbeat&of=i-vm-1", &body).await
}
