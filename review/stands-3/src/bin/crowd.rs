//! Callers that send further safe requests before the first is answered, and the memory of
//! the node that reads the answers.

use std::time::Duration;

use standin::caller::{Caller, TestRequest};
use standin::deployment::{Deployment, eventually};
use stands_3::{BROKEN, Case, HELD, NOT_RUN, count, rest};

/// The nodes of the deployment.
const NODES: usize = 13;
/// The nodes at which the callers are. The rule counts from a tenth of the machines on, two at least.
const CROWDED: usize = 2;
/// The ends of a node's process from which on the rule counts its machine.
const MAX_ENDS: usize = 3;
/// The most crowds at one node.
const MAX_ROUNDS: usize = 10;
/// The memory of a node, that of the pages' smaller machines.
const MEMORY_MB: u64 = 160;
const MAX_FDS: u64 = 4_100;
/// The callers that come at once, and the requests that each sends on its connection.
const CALLERS: usize = 300;
const REQUESTS: usize = 16;
/// The bytes of an answer and the milliseconds of work for it.
const ANSWER_BYTES: usize = 90_000;
const WORK_MS: u64 = 22;
const TIMEOUT_MS: u64 = 2_000;
/// How often the platform looks at the memory of a process.
const MEMORY_CHECK: Duration = Duration::from_millis(10);
/// How long the platform takes to start a process again.
const RESTART_DELAY: Duration = Duration::from_millis(500);

#[tokio::main]
async fn main() {
    let case = Case::open();
    let status = match tokio::time::timeout(Duration::from_secs(110), run(case)).await {
        Ok(status) => status,
        Err(_) => NOT_RUN,
    };
    std::process::exit(status);
}

async fn run(mut case: Case) -> i32 {
    let vms = [("dc-1", "a"); NODES];
    let mut deployment = Deployment::prepare(&case.program, &vms).await;
    deployment.timeout_s = TIMEOUT_MS as f64 / 1e3;
    for vm in &deployment.vms {
        vm.set_limits(MEMORY_MB, MAX_FDS);
    }
    deployment.start_nodes().await;
    deployment.set_routes(&[("/safe/", "a", "download")]);
    let is_current = eventually(Duration::from_secs(5), async || {
        let mut all = true;
        for at in 0..NODES {
            all &= deployment.is_current(at).await;
        }
        all
    });
    if !is_current.await {
        return case.finish(NOT_RUN, "the nodes do not have the configuration");
    }
    case.note(format!(
        "{NODES} nodes of {MEMORY_MB} MB run; each node uses at most {:.0} MB",
        deployment.vms.iter().map(|vm| vm.peak_memory()).max().unwrap_or_default() as f64 / 1e6
    ));
    let mut ends = [0; CROWDED];
    let all: Vec<usize> = (0..NODES).collect();
    for round in 1..=MAX_ROUNDS {
        rest(&mut deployment, Duration::ZERO, &all).await;
        for (at, ends) in ends.iter_mut().enumerate() {
            if *ends < MAX_ENDS && crowd(&mut case, &mut deployment, at, round).await {
                *ends += 1;
                if !restart(&mut deployment, at).await {
                    return case.finish(NOT_RUN, "a node was not ready after its start");
                }
            }
        }
    }
    for vm in &mut deployment.vms {
        if let Some(status) = vm.exit_status() {
            case.note(format!("{} ended by itself: {status}", vm.name));
        }
    }
    case.note(format!("processes killed for their memory, by machine: {ends:?}"));
    if ends.iter().all(|ends| *ends >= MAX_ENDS) {
        return case.finish(BROKEN, "broken: two machines had three ends over their memory");
    }
    case.finish(HELD, "held: processes stayed within their memory on enough machines")
}

/// Sends a crowd's requests to a node. Returns whether the platform killed the node.
async fn crowd(case: &mut Case, deployment: &mut Deployment, at: usize, round: usize) -> bool {
    let address = deployment.vms[at].caller_address();
    let before: usize = deployment.vms.iter().map(|vm| vm.target.runs().len()).sum();
    let is_pipelined = case.trouble;
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            tokio::spawn(async move {
                let prefix = format!("round-{round}-vm-{at}-caller-{caller}");
                call(address, &prefix, is_pipelined).await
            })
        })
        .collect();
    let mut is_killed = false;
    while !callers.iter().all(|caller| caller.is_finished()) {
        if !is_killed && deployment.vms[at].peak_memory() > MEMORY_MB << 20 {
            is_killed = true;
            let used = deployment.vms[at].peak_memory() as f64 / 1e6;
            case.note(format!("vm-{at} uses {used:.0} MB of {MEMORY_MB}: the platform kills it"));
            deployment.vms[at].kill().await;
        }
        tokio::time::sleep(MEMORY_CHECK).await;
    }
    let mut statuses = Vec::new();
    for caller in callers {
        statuses.extend(caller.await.unwrap_or_default());
    }
    let after: usize = deployment.vms.iter().map(|vm| vm.target.runs().len()).sum();
    case.note(format!(
        "round {round}: {CALLERS} callers sent {} requests to vm-{at}; targets ran {}; answers: {}; \
         most memory {:.0} MB",
        statuses.len(),
        after - before,
        count(statuses),
        deployment.vms[at].peak_memory() as f64 / 1e6
    ));
    is_killed
}

/// Sends the requests of one caller, and returns the status of each.
async fn call(address: std::net::SocketAddr, prefix: &str, is_pipelined: bool) -> Vec<u16> {
    let behaviour = format!("size={ANSWER_BYTES} work={WORK_MS}");
    let mut statuses = Vec::new();
    if let Ok(mut caller) = Caller::connect(address).await {
        let mut unanswered = 0;
        for number in 0..REQUESTS {
            let id = format!("{prefix}-{number}");
            let request = TestRequest {
                id: &id,
                behaviour: &behaviour,
                timeout_ms: TIMEOUT_MS,
                ..TestRequest::default()
            };
            if caller.send(&request.bytes()).await.is_err() {
                break;
            }
            unanswered += 1;
            if !is_pipelined {
                statuses.push(receive(&mut caller).await);
                unanswered -= 1;
            }
        }
        for _ in 0..unanswered {
            statuses.push(receive(&mut caller).await);
        }
    }
    statuses.resize(REQUESTS, 0);
    statuses
}

async fn receive(caller: &mut Caller) -> u16 {
    caller.receive().await.map_or(0, |answer| answer.status)
}

/// Starts a node again after its end. Returns whether it became ready.
async fn restart(deployment: &mut Deployment, at: usize) -> bool {
    tokio::time::sleep(RESTART_DELAY).await;
    deployment.start_node(at);
    let is_ready =
        eventually(Duration::from_secs(10), async || deployment.vms[at].is_ready().await);
    let is_ready = is_ready.await && deployment.vms[at].heartbeat("ready", 0.0).await == 200;
    // The links to the other nodes open.
    tokio::time::sleep(Duration::from_secs(1)).await;
    is_ready
}
