//! A heartbeat of another writer, without the field `zone`, that names a target of another service.

use std::time::Duration;

use standin::caller::{TestRequest, send_request};
use standin::deployment::Deployment;
use stands_3::{BROKEN, Case, HELD, NOT_RUN, count};

/// `heartbeatS` of the settings.
const HEARTBEAT: Duration = Duration::from_millis(1_500);
/// The start of the target of service c; the others' is 1,000.
const BORN: u64 = 2_000;
/// Requests that are sent after the heartbeat, the pause between two, and their work.
const REQUESTS: usize = 100;
const PAUSE: Duration = Duration::from_millis(50);
const WORK: &str = "work=100";

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
    let vms = [("dc-1", "b"), ("dc-1", "a"), ("dc-1", "a"), ("dc-1", "c")];
    let mut deployment = Deployment::prepare(&case.program, &vms).await;
    deployment.start_nodes().await;
    case.note("4 nodes run: vm-0 beside a target of service b, vm-1 and vm-2 of a, vm-3 of c");
    let status = deployment.vms[3].heartbeat_as("i-vm-3", BORN, 1, "ready", 0.0).await;
    case.note(format!("i-vm-3 starts again, later than the other targets: answered {status}"));
    if case.trouble {
        let status = send_odd_heartbeat(&deployment).await;
        case.note(format!(
            "another writer's heartbeat without `zone` to vm-2 names i-vm-3: answered {status}"
        ));
    }
    // The targets' own heartbeats go on.
    let mut beats = 0;
    let mut requests = Vec::new();
    for number in 0..REQUESTS {
        if PAUSE * number as u32 >= HEARTBEAT * beats {
            beats += 1;
            let (own, others) = deployment.vms.split_at_mut(3);
            let mut acknowledged =
                others[0].heartbeat_as("i-vm-3", BORN, 1 + u64::from(beats), "ready", 0.0).await
                    == 200;
            for vm in own {
                acknowledged &= vm.heartbeat("ready", 0.0).await == 200;
            }
            if !acknowledged {
                return case.finish(NOT_RUN, "a target's heartbeat was not acknowledged");
            }
        }
        let address = deployment.vms[0].caller_address();
        requests.push(tokio::spawn(async move { send(address, number).await }));
        tokio::time::sleep(PAUSE).await;
    }
    let mut statuses = Vec::new();
    for request in requests {
        statuses.push(request.await.unwrap_or_default());
    }
    case.note(format!(
        "{REQUESTS} unsafe requests for service a sent to vm-0; answers: {}; each target's own \
         heartbeats acknowledged: {beats}",
        count(statuses)
    ));
    for vm in &deployment.vms[1..] {
        let runs = vm.target.runs().len();
        case.note(format!("{} of service {} ran {runs}", vm.instance_id(), vm.service));
    }
    let foreign = deployment.vms[3].target.runs().len();
    if foreign > 0 {
        let verdict = format!("broken: the target of service c ran {foreign} requests for a");
        return case.finish(BROKEN, &verdict);
    }
    case.finish(HELD, "held: only targets of service a ran requests for a")
}

async fn send(address: std::net::SocketAddr, number: usize) -> u16 {
    let id = format!("order-{number}");
    let request = TestRequest {
        method: "POST",
        path: "/once/x",
        id: &id,
        behaviour: WORK,
        body: "order",
        ..TestRequest::default()
    };
    send_request(address, &request).await.map_or(0, |answer| answer.status)
}

/// Sends a heartbeat that has every field but `zone` to the node on `vm-2`. Returns the answer's
/// status.
async fn send_odd_heartbeat(deployment: &Deployment) -> u16 {
    let body = format!(
        r#"{{"service":"a","address":"{}","version":"v1","slots":8,"state":"ready","warmupLeftS":0,"sequence":4,"born":{BORN}}}"#,
        deployment.vms[3].target.address
    );
    deployment.vms[2].send_control("/api/rpc?call=instances.heartbeat&of=i-vm-3", &body).await
}
