//! Roll-outs with real nodes: the exposure of a bad version, the status in the store, and what happens
//! when the coordinator or the store fails halfway.

use std::rc::Rc;
use std::time::{Duration, Instant};

use standin::caller::TestRequest;
use standin::deployment::{Deployment, eventually};
use standin::store::StoreFault;

const NODE: &str = env!("CARGO_BIN_EXE_bamboowheel-sidecar");
const PERIOD_S: f64 = 8.0;
/// The load, from the nodes' start until well after the deadline.
const LOAD: Duration = Duration::from_secs(9);
/// The load after the verdict.
const LATER: Duration = Duration::from_secs(1);
const LOAD_INTERVAL: Duration = Duration::from_millis(12);
/// The VM that callers use. Its target runs another service.
const ENTRY: usize = 6;
/// The VMs with targets of the new version.
const NEW: std::ops::Range<usize> = 3..6;

/// What fails while the roll-out runs.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    /// The node that coordinates it is killed.
    Coordinator,
    /// The store rejects every call from the middle of the trial on, until the load has ended.
    Store,
}

struct Case {
    is_bad: bool,
    fault: Fault,
    /// The state in the store after the deadline.
    state: &'static str,
}

/// Starts nodes with targets of an old and a new version, and an order to move to the new one.
async fn ordered_deployment(is_bad: bool) -> Deployment {
    let vms = [("dc-1", "a"); 6].into_iter().chain([("dc-1", "b")]).collect::<Vec<_>>();
    let mut deployment = Deployment::prepare(NODE, &vms).await;
    for vm in &mut deployment.vms[NEW] {
        vm.version = "v2";
        if is_bad {
            vm.target.set_failing();
        }
    }
    deployment.order_rollout("a", "v2", PERIOD_S);
    deployment.start_nodes().await;
    deployment
}

/// Returns the node that guards ask first to coordinate the roll-out.
fn coordinator(deployment: &Deployment) -> usize {
    let mut names: Vec<&str> = deployment.vms.iter().map(|vm| vm.name.as_str()).collect();
    policy::coordinator_order("a", &mut names, |name| name);
    let at = deployment.vms.iter().position(|vm| vm.name == names[0]);
    at.filter(|at| *at != ENTRY).expect("the callers' node coordinates it")
}

/// Sends requests for a while, and returns how many were sent.
async fn send_load(deployment: &Rc<Deployment>, duration: Duration) -> usize {
    let (local, begun) = (tokio::task::LocalSet::new(), Instant::now());
    let sending = async {
        let mut sent = 0;
        while begun.elapsed() < duration {
            let (deployment, id) = (deployment.clone(), format!("load-{sent}"));
            tokio::task::spawn_local(async move {
                let behaviour = "work=30";
                let request = TestRequest { id: &id, behaviour, ..TestRequest::default() };
                deployment.send_request(ENTRY, &request).await;
            });
            sent += 1;
            tokio::time::sleep(LOAD_INTERVAL).await;
        }
        sent
    };
    let sent = local.run_until(sending).await;
    local.await;
    sent
}

fn state(deployment: &Deployment) -> Option<String> {
    let value = deployment.store.value("status", "rollout/a")?;
    let row: serde_json::Value = serde_json::from_slice(&value).ok()?;
    assert_eq!(row["target"], "v2");
    Some(row["state"].as_str()?.to_owned())
}

fn runs_of_new(deployment: &Deployment) -> usize {
    deployment.vms[NEW].iter().map(|vm| vm.target.runs().len()).sum()
}

/// Restarts a node with a target of the completed version, which has to learn the verdict.
async fn serves_after_restart(deployment: Rc<Deployment>) {
    let mut deployment = Rc::into_inner(deployment).expect("requests are under way");
    deployment.vms[NEW.start].kill().await;
    deployment.start_node(NEW.start);
    let ready = async || deployment.vms[NEW.start].is_ready().await;
    assert!(eventually(Duration::from_secs(5), ready).await, "not ready after its restart");
    assert_eq!(deployment.vms[NEW.start].heartbeat("ready", 0.0).await, 200);
    let before = deployment.vms[NEW.start].target.runs().len();
    let deployment = Rc::new(deployment);
    send_load(&deployment, Duration::from_secs(3)).await;
    let after = deployment.vms[NEW.start].target.runs().len();
    assert!(after > before, "no requests after its restart");
}

// Guards against bad versions that stay in service or get more than the bound, and good ones that are
// not completed, also if the coordinator dies in the trial or the store is away at the verdict.
#[tokio::test(flavor = "multi_thread")]
async fn a_roll_out_gets_its_verdict_inside_the_bound() {
    let cases = [
        Case { is_bad: false, fault: Fault::None, state: "completed" },
        Case { is_bad: true, fault: Fault::None, state: "rolled_back" },
        Case { is_bad: true, fault: Fault::Coordinator, state: "rolled_back" },
        Case { is_bad: true, fault: Fault::Store, state: "rolled_back" },
    ];
    for Case { is_bad, fault, state: expected } in cases {
        let mut deployment = ordered_deployment(is_bad).await;
        if fault == Fault::Coordinator {
            let at = coordinator(&deployment);
            deployment.vms[at].kill().await;
        }
        let deployment = Rc::new(deployment);
        if fault == Fault::Store {
            let running = async || state(&deployment).as_deref() == Some("running");
            assert!(eventually(Duration::from_secs(5), running).await, "no status at the order");
            deployment.vms.iter().for_each(|vm| vm.store_endpoint.set_fault(StoreFault::Busy));
        }
        let sent = send_load(&deployment, LOAD).await;
        let exposed = runs_of_new(&deployment);
        deployment.vms.iter().for_each(|vm| vm.store_endpoint.set_fault(StoreFault::None));
        let is_written = async || state(&deployment).as_deref() == Some(expected);
        let written = eventually(Duration::from_secs(5), is_written).await;
        assert!(written, "{fault:?}: {:?} in place of {expected}", state(&deployment));
        if is_bad {
            let most = sent / 10 + 50;
            assert!(exposed <= most, "{fault:?}: {exposed} of {sent} requests, at most {most}");
            send_load(&deployment, LATER).await;
            let later = runs_of_new(&deployment) - exposed;
            assert_eq!(later, 0, "{fault:?}: requests after the roll-back");
        } else {
            let before = deployment.vms[0].target.runs().len();
            send_load(&deployment, LATER).await;
            let old = deployment.vms[0].target.runs().len();
            assert_eq!(old, before, "requests at the old version after its end");
            serves_after_restart(deployment).await;
        }
    }
}
