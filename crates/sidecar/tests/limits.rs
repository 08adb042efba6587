//! Targets that name the rate of requests that they take, and targets that say in their answers that
//! they leave.

use std::rc::Rc;
use std::time::{Duration, Instant};

use standin::caller::TestRequest;
use standin::deployment::Deployment;

const NODE: &str = env!("CARGO_BIN_EXE_bamboowheel-sidecar");
/// The window of the bound on what a limited target gets.
const WINDOW: Duration = Duration::from_secs(4);
/// Within this time after a target first named a limit, the bound holds.
const LIMIT_KNOWN: Duration = Duration::from_millis(500);
/// Time between two requests of the load: many more than any limit here allows.
const LOAD_INTERVAL: Duration = Duration::from_millis(15);

/// Starts nodes of which only the first has a target of the service that requests go to.
async fn started_deployment() -> Deployment {
    let vms = [("dc-1", "a"), ("dc-1", "b"), ("dc-1", "b")];
    let mut deployment = Deployment::prepare(NODE, &vms).await;
    deployment.start_nodes().await;
    deployment
}

async fn status(deployment: &Deployment, at: usize, id: &str) -> Option<u16> {
    let behaviour = "work=100";
    let request = TestRequest { id, timeout_ms: 400, behaviour, ..TestRequest::default() };
    deployment.send_request(at, &request).await.map(|answer| answer.status)
}

/// Sends requests to the second and third node for a while, by turns.
async fn send_load(deployment: &Rc<Deployment>, name: &str, duration: Duration) {
    let (local, begun) = (tokio::task::LocalSet::new(), Instant::now());
    let sending = async {
        for number in 0.. {
            if begun.elapsed() >= duration {
                break;
            }
            let (deployment, id) = (deployment.clone(), format!("{name}-{number}"));
            tokio::task::spawn_local(async move {
                status(&deployment, 1 + number % 2, &id).await;
            });
            tokio::time::sleep(LOAD_INTERVAL).await;
        }
    };
    local.run_until(sending).await;
    local.await;
}

/// Returns the most arrivals in any window that begins after `from`.
fn most_arrivals(arrivals: &[Instant], from: Instant) -> usize {
    let counts = arrivals
        .iter()
        .filter(|first| **first >= from)
        .map(|first| arrivals.iter().filter(|at| (*first..*first + WINDOW).contains(*at)).count());
    counts.max().unwrap_or_default()
}

/// Returns the bound on arrivals in a window at a limit of requests a second.
fn allowed(limit: f64) -> usize {
    (1.5 * limit * WINDOW.as_secs_f64()) as usize + 5
}

// Guards against a target that gets more requests, retries, hedged attempts and health checks
// together than the limit that it named allows, and against one that gets hardly any.
#[tokio::test]
async fn a_target_gets_what_its_named_limit_allows() {
    for limit in [0.0, 0.4, 3.0, 12.5] {
        let deployment = Rc::new(started_deployment().await);
        let target = &deployment.vms[0].target;
        target.set_headers(&format!("server-limit: {limit}\r\n"));
        assert_eq!(status(&deployment, 1, "first").await, Some(200));
        let named = Instant::now();
        send_load(&deployment, "load", LIMIT_KNOWN + WINDOW + Duration::from_secs(1)).await;
        let most = most_arrivals(&target.arrivals(), named + LIMIT_KNOWN);
        assert!(most <= allowed(limit), "{most} arrivals at a limit of {limit}");
        let least = (limit * WINDOW.as_secs_f64() * 0.75) as usize;
        assert!(most >= least, "only {most} arrivals at a limit of {limit}");
    }
}

// Guards against a guard that has forgotten the limit after its restart, while other nodes go on
// sending.
#[tokio::test]
async fn a_restarted_guard_keeps_the_limit_that_entries_remember() {
    // So low that the requests that run until the first one is answered would be too many.
    const LIMIT: f64 = 0.1;
    let mut deployment = started_deployment().await;
    deployment.vms[0].target.set_headers(&format!("server-limit: {LIMIT}\r\n"));
    for at in 1..3 {
        assert_eq!(status(&deployment, at, "first").await, Some(200));
    }
    deployment.vms[0].kill().await;
    deployment.start_node(0);
    let restarted = Instant::now();
    let deployment = Rc::new(deployment);
    let duration = WINDOW + Duration::from_secs(3);
    send_load(&deployment, "load", duration).await;
    let arrivals = deployment.vms[0].target.arrivals();
    let most = most_arrivals(&arrivals, restarted);
    assert!((1..=allowed(LIMIT)).contains(&most), "{most} arrivals");
}

// Guards against a limit that outlives what the target says, and one that an odd value sets or lifts.
#[tokio::test]
async fn a_limit_holds_for_as_long_as_the_target_names_it() {
    struct Case {
        headers: &'static str,
        /// Whether the next requests are held back.
        limited: bool,
    }
    let cases = [
        Case { headers: "server-limit: 4\r\n", limited: true },
        // What is no rate neither sets nor lifts a limit.
        Case { headers: "server-limit: NaN\r\n", limited: true },
        Case { headers: "server-limit: -3\r\n", limited: true },
        Case { headers: "server-limit: 1e999\r\n", limited: true },
        Case { headers: "server-limit: inf\r\n", limited: true },
        Case { headers: "server-limit:\r\n", limited: true },
        Case { headers: "server-limit: many\r\n", limited: true },
        // Of two values the lower one counts.
        Case { headers: "server-limit: 900\r\nserver-limit: 4\r\n", limited: true },
        Case { headers: "server-limit: x\r\nserver-limit: 4\r\n", limited: true },
        Case { headers: "server-limit: 99999999999\r\n", limited: false },
        Case { headers: "server-limit: NaN\r\n", limited: false },
        Case { headers: "server-limit: 4\r\n", limited: true },
        Case { headers: "", limited: false },
    ];
    let deployment = Rc::new(started_deployment().await);
    let target = &deployment.vms[0].target;
    for (number, Case { headers, limited }) in cases.iter().enumerate() {
        target.set_headers(headers);
        // Some requests get through, and show what the target says now.
        send_load(&deployment, &format!("{number}-settle"), Duration::from_millis(800)).await;
        let before = target.arrivals().len();
        send_load(&deployment, &format!("{number}-load"), Duration::from_millis(800)).await;
        let count = target.arrivals().len() - before;
        let expected = if *limited { 1..=10 } else { 30..=100 };
        assert!(expected.contains(&count), "{headers:?}: {count} arrivals");
    }
}
