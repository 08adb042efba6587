//! A VM whose settings name another service from some moment on, and the caller's service
//! that targets are told.

use std::time::Duration;

use standin::caller::TestRequest;
use standin::deployment::Deployment;
use stands_3::{BROKEN, Case, HELD, NOT_RUN, count, rest};

/// `addrReuseS` of the pages' sites.
const ADDRESS_REUSE: Duration = Duration::from_secs(2);
/// How long the node has to take over changed settings.
const RELOAD: Duration = Duration::from_secs(5);
/// The requests that are judged.
const REQUESTS: usize = 20;

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
    let vms = [("dc-1", "b"), ("dc-1", "a"), ("dc-1", "c")];
    let mut deployment = Deployment::prepare(&case.program, &vms).await;
    deployment.start_nodes().await;
    case.note("3 nodes run: vm-0 beside a target of service b, vm-1 beside a, vm-2 beside c");
    send(&mut case, &deployment, "before").await;
    // The target of service b leaves and ends. After `addrReuseS` its address is another's.
    let left = deployment.vms[0].heartbeat("draining", 0.0).await;
    case.note(format!("the target of vm-0 is draining: answered {left}"));
    rest(&mut deployment, ADDRESS_REUSE, &[1, 2]).await;
    let gone = deployment.vms[0].deregister().await;
    case.note(format!("the target of vm-0 has ended: answered {gone}"));
    rest(&mut deployment, ADDRESS_REUSE, &[1, 2]).await;
    deployment.vms[0].target.set_id("i-next");
    if case.trouble {
        deployment.vms[0].service = "c";
    }
    let service = deployment.vms[0].service;
    deployment.vms[0].rewrite_settings();
    deployment.vms[0].signal("-HUP").await;
    case.note(format!("the settings of vm-0 are written with service {service}; SIGHUP is sent"));
    let next = deployment.vms[0].heartbeat_of_service(service, "i-next", 2_000).send().await;
    case.note(format!("a target of service {service} starts at the address: answered {next}"));
    if next != 200 {
        return case.finish(NOT_RUN, "the next target's heartbeat was not acknowledged");
    }
    rest(&mut deployment, RELOAD, &[1, 2]).await;
    send(&mut case, &deployment, "after").await;
    let mut wrong = 0;
    for run in deployment.vms[1].target.runs() {
        let told = caller_service(&run.head);
        let expected = if run.id.starts_with("after") { service } else { "b" };
        if told != expected {
            wrong += 1;
            if wrong == 1 {
                case.note(format!("{} ran with x-caller-service {told}, not {expected}", run.id));
            }
        }
    }
    if wrong > 0 {
        let verdict = format!("broken: {wrong} requests ran with another service than the VM's");
        return case.finish(BROKEN, &verdict);
    }
    case.finish(HELD, "held: each request ran with the service of its VM")
}

/// Sends requests to service a through vm-0.
async fn send(case: &mut Case, deployment: &Deployment, prefix: &str) {
    let mut statuses = Vec::new();
    for number in 0..REQUESTS {
        let id = format!("{prefix}-{number}");
        let request = TestRequest { id: &id, ..TestRequest::default() };
        let answer = deployment.send_request(0, &request).await;
        statuses.push(answer.map_or(0, |answer| answer.status));
    }
    case.note(format!("{REQUESTS} requests sent to vm-0; answers: {}", count(statuses)));
}

/// Returns the caller's service in the head of a request.
fn caller_service(head: &str) -> &str {
    let mut lines = head.lines().filter_map(|line| line.split_once(':'));
    let found = lines.find(|(name, _)| name.eq_ignore_ascii_case("x-caller-service"));
    found.map_or("", |(_, value)| value.trim())
}
