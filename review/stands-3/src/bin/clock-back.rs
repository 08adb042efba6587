//! A target that crashes twice and starts again under its id after the time of day of its VM jumped
//! back, and then leaves.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use standin::caller::TestRequest;
use standin::deployment::Deployment;
use standin::target::Target;
use stands_3::{BROKEN, Case, HELD, NOT_RUN, count, rest};

/// How far the time of day jumps back, in milliseconds.
const JUMP_MS: u64 = 2_400;
/// How long the target runs before it crashes again, and how long it is down each time.
const RUN: Duration = Duration::from_millis(500);
const DOWN: Duration = Duration::from_millis(1_500);
/// `heartbeatS` of the settings.
const HEARTBEAT: Duration = Duration::from_millis(1_500);
/// What each heartbeat of the target that starts again says of the time until it is warm, in seconds.
/// `warmupS` is 3. Together they last as long as the jump, 6 s, and `contactS`, 3 s.
const COLD_S: [f64; 6] = [3.0, 1.5, 0.0, 0.0, 0.0, 0.0];
/// Heartbeats of the target while it leaves, the first of which is acknowledged.
const LAST_HEARTBEATS: u64 = 2;
/// `drainS` of the pages' sites.
const DRAIN: Duration = Duration::from_secs(2);
/// How much later than `drainS` after the acknowledgement the judged requests are sent.
const LATER: Duration = Duration::from_millis(500);
/// Requests that are sent then, the pause between two, and their work.
const REQUESTS: usize = 60;
const PAUSE: Duration = Duration::from_millis(10);
const WORK: &str = "work=100";

const ID: &str = "i-vm-1";

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
    case.note(format!("{ID} crashes"));
    if !crash(&mut deployment).await {
        return case.finish(NOT_RUN, "cannot bind the target's address");
    }
    let born = wall_ms();
    let status = deployment.vms[1].heartbeat_as(ID, born, 1, "ready", COLD_S[0]).await;
    case.note(format!("{ID} runs again, born {born}, sequence 1: answered {status}"));
    rest(&mut deployment, RUN, &[0, 2]).await;
    case.note(format!("{ID} crashes"));
    if !crash(&mut deployment).await {
        return case.finish(NOT_RUN, "cannot bind the target's address");
    }
    let jump_ms = if case.trouble { JUMP_MS } else { 0 };
    let born = wall_ms() - jump_ms;
    case.note(format!("the time of day of vm-1 jumped back by {jump_ms} ms"));
    let mut sequence = 0;
    for cold_s in COLD_S {
        sequence += 1;
        let vm = &deployment.vms[1];
        vm.target.set_cold(Duration::from_secs_f64(cold_s));
        let status = vm.heartbeat_as(ID, born, sequence, "ready", cold_s).await;
        case.note(format!("{ID} runs again, born {born}, sequence {sequence}: answered {status}"));
        rest(&mut deployment, HEARTBEAT, &[0, 2]).await;
    }
    let status = deployment.vms[1].heartbeat_as(ID, born, sequence + 1, "draining", 0.0).await;
    let acknowledged = Instant::now();
    case.note(format!("{ID} tells vm-1 that it is draining: answered {status}"));
    if status != 200 {
        return case.finish(NOT_RUN, "the target's heartbeat was not acknowledged");
    }
    // As the protocol has it for a target that leaves.
    deployment.vms[1].target.set_leaving(true);
    deployment.vms[1].target.set_headers("server-leaving: 1\r\nconnection: close\r\n");
    for number in 2..=LAST_HEARTBEATS {
        rest(&mut deployment, HEARTBEAT, &[0, 2]).await;
        let vm = &deployment.vms[1];
        let status = vm.heartbeat_as(ID, born, sequence + number, "draining", 0.0).await;
        case.note(format!("{ID} tells vm-1 again that it is draining: answered {status}"));
    }
    let left = (DRAIN + LATER).saturating_sub(acknowledged.elapsed());
    rest(&mut deployment, left, &[0, 2]).await;
    let deployment = Arc::new(deployment);
    let mut requests = Vec::new();
    for number in 0..REQUESTS {
        let deployment = deployment.clone();
        requests.push(tokio::spawn(async move { send(&deployment, number).await }));
        tokio::time::sleep(PAUSE).await;
    }
    let mut statuses = Vec::new();
    for request in requests {
        statuses.push(request.await.unwrap_or_default());
    }
    case.note(format!("{REQUESTS} unsafe requests sent to vm-0; answers: {}", count(statuses)));
    let runs = deployment.vms[1].target.runs();
    let late = runs.iter().filter(|run| run.started > acknowledged + DRAIN).count();
    case.note(format!("{ID} ran {late} of them"));
    if late > 0 {
        let verdict = format!("broken: {late} requests reached {ID} later than drainS");
        return case.finish(BROKEN, &verdict);
    }
    case.finish(HELD, &format!("held: no request reached {ID} later than drainS"))
}

/// Ends the target of vm-1, and starts it again under its id some time later. Returns false if that
/// failed.
async fn crash(deployment: &mut Deployment) -> bool {
    let address = deployment.vms[1].target.address;
    let idle = SocketAddr::new(deployment.vms[1].ip, 0);
    let Ok(placeholder) = Target::bind(idle, "i-none").await else { return false };
    // Dropping the target closes its address and its connections.
    deployment.vms[1].target = placeholder;
    rest(deployment, DOWN, &[0, 2]).await;
    let Ok(target) = Target::bind(address, ID).await else { return false };
    deployment.vms[1].target = target;
    deployment.vms[1].target.set_cold(Duration::from_secs_f64(COLD_S[0]));
    true
}

async fn send(deployment: &Deployment, number: usize) -> u16 {
    let id = format!("late-{number}");
    let request = TestRequest {
        method: "POST",
        path: "/once/x",
        id: &id,
        behaviour: WORK,
        body: "order",
        ..TestRequest::default()
    };
    deployment.send_request(0, &request).await.map_or(0, |answer| answer.status)
}

fn wall_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    elapsed.as_millis() as u64
}
