//! A VM that goes to another service while it has no target, and a target whose first
//! heartbeat is late.

use std::time::Duration;

use standin::caller::{TestRequest, send_request};
use standin::deployment::{Deployment, eventually};
use standin::target::Target;
use stands_3::{BROKEN, Case, HELD, NOT_RUN, count, rest};

/// `addrReuseS` of the pages' sites.
const ADDRESS_REUSE: Duration = Duration::from_secs(2);
/// `graceS` of the settings.
const GRACE: Duration = Duration::from_secs(6);
/// How long the node has to take over changed settings.
const RELOAD: Duration = Duration::from_secs(5);
/// How late the first heartbeat arrives.
const HEARTBEAT_DELAY: Duration = Duration::from_secs(2);
/// The pause between two requests, and their work.
const PAUSE: Duration = Duration::from_millis(25);
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
    let address = deployment.vms[1].target.address;
    let left = deployment.vms[1].heartbeat("draining", 0.0).await;
    case.note(format!("the target of vm-1 is draining: answered {left}"));
    rest(&mut deployment, ADDRESS_REUSE, &[0, 2, 3]).await;
    let gone = deployment.vms[1].deregister().await;
    case.note(format!("the target of vm-1 ends: answered {gone}"));
    // Dropping the target closes its address.
    let idle = std::net::SocketAddr::new(deployment.vms[1].ip, 0);
    let Ok(placeholder) = Target::bind(idle, "i-none").await else {
        return case.finish(NOT_RUN, "cannot bind an address");
    };
    deployment.vms[1].target = placeholder;
    deployment.vms[1].terminate().await;
    if !deployment.vms[1].exits_within(GRACE).await {
        return case.finish(NOT_RUN, "the node on vm-1 did not end");
    }
    deployment.start_node(1);
    let is_ready = eventually(Duration::from_secs(10), async || deployment.vms[1].is_ready().await);
    if !is_ready.await {
        return case.finish(NOT_RUN, "the node on vm-1 is not ready");
    }
    case.note("the node on vm-1 was stopped and started again; there is no target beside it");
    if case.trouble {
        deployment.vms[1].service = "c";
    }
    let service = deployment.vms[1].service;
    deployment.vms[1].rewrite_settings();
    deployment.vms[1].signal("-HUP").await;
    case.note(format!("the settings of vm-1 are written with service {service}; SIGHUP is sent"));
    rest(&mut deployment, RELOAD, &[0, 2, 3]).await;
    let Ok(target) = Target::bind(address, "i-next").await else {
        return case.finish(NOT_RUN, "cannot bind the target's address");
    };
    deployment.vms[1].target = target;
    case.note(format!("i-next, a target of service {service}, starts beside vm-1"));
    let statuses = send_for(&deployment, HEARTBEAT_DELAY).await;
    case.note(format!(
        "{} unsafe requests for service a sent to vm-0; answers: {}",
        statuses.len(),
        count(statuses)
    ));
    let next = deployment.vms[1].heartbeat_of_service(service, "i-next", 2_000).send().await;
    case.note(format!("the first heartbeat of i-next, {HEARTBEAT_DELAY:?} late: answered {next}"));
    let runs = deployment.vms[1].target.runs().len();
    case.note(format!("i-next, of service {service}, ran {runs} requests for service a"));
    if runs > 0 && service != "a" {
        let verdict = format!("broken: a target of service {service} ran {runs} requests for a");
        return case.finish(BROKEN, &verdict);
    }
    case.finish(HELD, "held: no target of another service ran a request")
}

/// Sends unsafe requests for service a to vm-0 for some time, and returns their statuses.
async fn send_for(deployment: &Deployment, time: Duration) -> Vec<u16> {
    let address = deployment.vms[0].caller_address();
    let begun = std::time::Instant::now();
    let mut requests = Vec::new();
    while begun.elapsed() < time {
        let id = format!("order-{}", requests.len());
        requests.push(tokio::spawn(async move {
            let request = TestRequest {
                method: "POST",
                path: "/once/x",
                id: &id,
                behaviour: WORK,
                body: "order",
                ..TestRequest::default()
            };
            send_request(address, &request).await.map_or(0, |answer| answer.status)
        }));
        tokio::time::sleep(PAUSE).await;
    }
    let mut statuses = Vec::new();
    for request in requests {
        statuses.push(request.await.unwrap_or_default());
    }
    statuses
}
