//! Draining: a node that is asked to stop finishes its requests, gets no new ones, and exits in
//! time.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use standin::caller::{Caller, TestRequest};
use standin::deployment::{Deployment, eventually};

const NODE: &str = env!("CARGO_BIN_EXE_bamboowheel-sidecar");
/// The time between the signal to stop and the platform's kill, `graceS` in the settings file.
const GRACE: Duration = Duration::from_secs(6);

/// Starts two nodes: the first beside a target of service `b`, the second beside the only target of
/// service `a`, to which the requests go.
async fn started_deployment() -> Deployment {
    let mut deployment = Deployment::prepare(NODE, &[("dc-1", "b"), ("dc-1", "a")]).await;
    deployment.start_nodes().await;
    deployment
}

#[tokio::test]
async fn a_draining_node_is_not_ready_and_finishes_running_requests() {
    let mut deployment = started_deployment().await;
    let mut caller = Caller::connect(deployment.vms[0].caller_address()).await.unwrap();
    let request = TestRequest {
        method: "POST",
        path: "/once/x",
        id: "long",
        behaviour: "work=1500",
        body: "upload",
        ..TestRequest::default()
    };
    caller.send(&request.bytes()).await.unwrap();
    let is_running =
        eventually(Duration::from_secs(1), async || deployment.run_count("long") == 1).await;
    assert!(is_running);
    deployment.vms[0].terminate().await;
    let unready =
        eventually(Duration::from_secs(1), async || !deployment.vms[0].is_ready().await).await;
    assert!(unready);
    let answer = caller.receive().await.unwrap();
    assert_eq!(answer.status, 200);
    assert_eq!(answer.header("connection"), Some("close"));
    assert!(deployment.vms[0].exits_within(GRACE).await);
}

#[tokio::test]
async fn pipelined_requests_are_all_answered_while_the_node_drains() {
    let mut deployment = started_deployment().await;
    let mut caller = Caller::connect(deployment.vms[0].caller_address()).await.unwrap();
    let ids: Vec<String> = (0..4).map(|at| format!("ahead-{at}")).collect();
    let request = |id| TestRequest { id, behaviour: "work=800", ..TestRequest::default() }.bytes();
    let bytes: Vec<u8> = ids.iter().flat_map(|id| request(id)).collect();
    caller.send(&bytes).await.unwrap();
    let all = eventually(Duration::from_millis(700), async || {
        ids.iter().map(|id| deployment.run_count(id)).sum::<usize>() == 4
    });
    assert!(all.await);
    deployment.vms[0].terminate().await;
    for id in &ids {
        let answer = caller.receive().await.unwrap_or_else(|| panic!("{id} has no answer"));
        assert!(answer.body.contains(id.as_str()));
    }
    assert!(deployment.vms[0].exits_within(GRACE).await);
}

// A connection that is closed while received bytes are unread is reset, and the caller may lose the
// answer that was sent before.
#[tokio::test]
async fn an_answer_is_not_lost_if_more_requests_follow_it_while_the_node_drains() {
    let mut deployment = started_deployment().await;
    let mut caller = Caller::connect(deployment.vms[0].caller_address()).await.unwrap();
    let request = |id, behaviour| TestRequest { id, behaviour, ..TestRequest::default() }.bytes();
    caller.send(&request("last", "work=800")).await.unwrap();
    let is_running =
        eventually(Duration::from_secs(1), async || deployment.run_count("last") == 1).await;
    assert!(is_running);
    deployment.vms[0].terminate().await;
    tokio::time::sleep(Duration::from_millis(200)).await;
    caller.send(&[request("behind-0", "-"), request("behind-1", "-")].concat()).await.unwrap();
    let answer = caller.receive().await.expect("the answer is not lost");
    assert_eq!((answer.status, answer.header("connection")), (200, Some("close")));
    assert_eq!(caller.receive().await, None);
    assert_eq!(deployment.run_count("behind-0") + deployment.run_count("behind-1"), 0);
    assert!(deployment.vms[0].exits_within(GRACE).await);
}

#[tokio::test]
async fn a_draining_node_exits_in_time_although_callers_keep_connecting() {
    let mut deployment = started_deployment().await;
    let address = deployment.vms[0].caller_address();
    deployment.vms[0].terminate().await;
    let begun = Instant::now();
    let (mut cut, mut answered) = (0, 0);
    while begun.elapsed() < Duration::from_secs(4) {
        let id = format!("late-{}", begun.elapsed().as_millis());
        let Ok(mut caller) = Caller::connect(address).await else { break };
        let behaviour = "work=150";
        match caller
            .send_request(&TestRequest { id: &id, behaviour, ..TestRequest::default() })
            .await
        {
            Some(_) => answered += 1,
            None => cut += usize::from(deployment.run_count(&id) > 0),
        }
    }
    assert!(answered > 5, "{answered} requests were answered");
    assert_eq!(cut, 0, "{cut} requests ran and got no answer");
    assert!(deployment.vms[0].exits_within(GRACE.saturating_sub(begun.elapsed())).await);
}

#[tokio::test]
async fn the_target_of_a_draining_node_gets_no_new_requests_from_other_nodes() {
    let mut deployment = started_deployment().await;
    deployment.vms[1].terminate().await;
    tokio::time::sleep(Duration::from_millis(600)).await;
    let answer = deployment
        .send_request(0, &TestRequest { id: "after", ..TestRequest::default() })
        .await
        .unwrap();
    assert_eq!((answer.status, deployment.run_count("after")), (503, 0));
    assert!(deployment.vms[1].exits_within(GRACE).await);
}

#[tokio::test]
async fn requests_on_connections_accepted_just_before_the_stop_are_answered() {
    let mut deployment = started_deployment().await;
    let address = deployment.vms[0].caller_address();
    let stopped = Arc::new(AtomicBool::new(false));
    // Callers that connect again and again, so that some connections are accepted, or wait to be
    // accepted, at the moment at which the node stops to accept.
    let callers: Vec<_> = (0..40)
        .map(|caller| {
            let stopped = stopped.clone();
            tokio::spawn(async move {
                let mut cut = 0;
                for number in 0.. {
                    let id = format!("stop-{caller}-{number}");
                    let request =
                        TestRequest { id: &id, behaviour: "work=20", ..Default::default() };
                    let Ok(mut connection) = Caller::connect(address).await else { break };
                    if connection.send(&request.bytes()).await.is_err() {
                        break;
                    }
                    cut += usize::from(connection.receive().await.is_none());
                    if stopped.load(Ordering::SeqCst) {
                        break;
                    }
                }
                cut
            })
        })
        .collect();
    tokio::time::sleep(Duration::from_millis(300)).await;
    deployment.vms[0].terminate().await;
    assert!(deployment.vms[0].exits_within(GRACE).await);
    stopped.store(true, Ordering::SeqCst);
    let mut cut = 0;
    for caller in callers {
        cut += caller.await.unwrap();
    }
    assert_eq!(cut, 0, "{cut} requests were sent and got no answer");
}

#[tokio::test]
async fn a_connection_accepted_just_before_the_stop_can_still_send_its_request() {
    let mut deployment = started_deployment().await;
    let address = deployment.vms[0].caller_address();
    deployment.vms[0].terminate().await;
    // The node stops to accept 2.5 s after the signal. Each caller sends its request a moment after
    // it has connected.
    tokio::time::sleep(Duration::from_millis(2_350)).await;
    let mut callers = Vec::new();
    for number in 0..60 {
        tokio::time::sleep(Duration::from_millis(4)).await;
        let Ok(mut caller) = Caller::connect(address).await else { break };
        callers.push(tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(40)).await;
            let id = format!("accepted-{number}");
            let request = TestRequest { id: &id, path: "/once/x", ..TestRequest::default() };
            caller.send_request(&request).await.is_some()
        }));
    }
    assert!(callers.len() < 60, "the node still accepts connections");
    let mut cut = 0;
    for caller in callers {
        cut += usize::from(!caller.await.unwrap());
    }
    assert_eq!(cut, 0, "{cut} requests on accepted connections got no answer");
    assert!(deployment.vms[0].exits_within(GRACE).await);
}

// Guards against requests that wait in a queue and are cut without an answer when their node stops.
#[tokio::test]
async fn requests_that_wait_in_a_queue_are_refused_before_their_node_stops() {
    struct Case {
        /// How long the callers wait, in milliseconds.
        timeout_ms: u64,
        /// When the requests are sent after the signal to stop; before it if negative.
        sent_ms: i64,
    }
    let cases = [
        Case { timeout_ms: 9_000, sent_ms: -200 },
        Case { timeout_ms: 9_000, sent_ms: 1_500 },
        // A guard lets them wait for longer than the grace period.
        Case { timeout_ms: 25_000, sent_ms: -200 },
        Case { timeout_ms: 25_000, sent_ms: 1_500 },
    ];
    let vms = [("dc-1", "b"), ("dc-1", "a"), ("dc-1", "a"), ("dc-1", "b")];
    let run_case = async |number: usize, case: &Case| {
        let mut deployment = Deployment::prepare(NODE, &vms).await;
        deployment.timeout_s = 30.0;
        deployment.start_nodes().await;
        let send = |at: usize, id: String, behaviour: &'static str, timeout_ms| {
            let address = deployment.vms[at].caller_address();
            tokio::spawn(async move {
                let request = TestRequest {
                    method: "POST",
                    path: "/once/x",
                    id: &id,
                    timeout_ms,
                    behaviour,
                    body: "upload",
                    headers: "",
                };
                Caller::connect(address).await.ok()?.send_request(&request).await
            })
        };
        // They hold every slot for longer than the grace period.
        let _holders: Vec<_> =
            (0..16).map(|at| send(3, format!("holder-{at}"), "work=20000", 30_000)).collect();
        let is_full = eventually(Duration::from_secs(2), async || {
            (0..16).all(|at| deployment.run_count(&format!("holder-{at}")) == 1)
        });
        assert!(is_full.await);
        if case.sent_ms > 0 {
            deployment.vms[0].terminate().await;
        }
        tokio::time::sleep(Duration::from_millis(case.sent_ms.max(0) as u64)).await;
        let ids: Vec<String> = (0..6).map(|at| format!("waiting-{number}-{at}")).collect();
        let waiting: Vec<_> =
            ids.iter().map(|id| send(0, id.clone(), "work=20", case.timeout_ms)).collect();
        if case.sent_ms < 0 {
            tokio::time::sleep(Duration::from_millis(case.sent_ms.unsigned_abs())).await;
            deployment.vms[0].terminate().await;
        }
        for (id, answer) in ids.iter().zip(waiting) {
            let status = answer.await.unwrap().map(|answer| answer.status);
            assert_eq!((status, deployment.run_count(id)), (Some(503), 0), "{id}");
        }
        assert!(deployment.vms[0].exits_within(GRACE).await);
    };
    let cases = cases.iter().enumerate().map(|(number, case)| run_case(number, case));
    futures_util::future::join_all(cases).await;
}

// Guards against requests that come late in the grace period, are passed on to a target that cannot
// be done in time, and are cut without an answer.
#[tokio::test]
async fn requests_that_come_late_in_the_grace_period_are_done_or_refused() {
    struct Case {
        /// How long the target works, in milliseconds.
        work_ms: u64,
        /// When the last byte is sent after the signal to stop, in milliseconds.
        sent_ms: u64,
        /// The byte before which the caller pauses until then: in the head or in the body.
        pause_at: usize,
        path: &'static str,
        /// The only status that the case may have; either one if `None`.
        status: Option<u16>,
    }
    let (head, body) = (20, usize::MAX);
    let case = |work_ms, sent_ms, pause_at, path, status| Case {
        work_ms,
        sent_ms,
        pause_at,
        path,
        status,
    };
    let cases = [
        case(30, 3_300, body, "/once/x", Some(200)),
        case(30, 3_300, head, "/once/x", Some(200)),
        case(30, 4_500, body, "/once/x", None),
        case(30, 4_950, body, "/once/x", None),
        case(30, 5_150, body, "/once/x", None),
        case(900, 3_300, body, "/once/long/x", None),
        case(900, 4_600, body, "/once/long/x", Some(503)),
        case(900, 4_600, head, "/once/long/x", Some(503)),
        case(900, 4_900, body, "/once/long/x", Some(503)),
        case(900, 4_900, body, "/safe/long/x", Some(503)),
    ];
    let mut deployment = Deployment::prepare(NODE, &[("dc-1", "b"), ("dc-1", "a")]).await;
    deployment.timeout_s = 30.0;
    deployment.start_nodes().await;
    let kinds = [("/safe/long/", "safe"), ("/once/long/", "unsafe"), ("/once/", "unsafe")];
    let routes = kinds.map(|(path, kind)| (path, "a", kind));
    deployment.set_routes(&routes);
    let current = eventually(Duration::from_secs(3), async || deployment.is_current(0).await).await;
    assert!(current);
    // The node learns how long the routes' requests take.
    for (number, case) in cases.iter().enumerate().cycle().take(60) {
        let (id, work) = (format!("before-{number}"), format!("work={}", case.work_ms.min(100)));
        let behaviour = &work;
        let request = TestRequest { id: &id, path: case.path, behaviour, ..Default::default() };
        assert!(deployment.send_request(0, &request).await.is_some());
    }
    for path in ["/once/long/x", "/safe/long/x"] {
        let request = TestRequest { id: "long", path, behaviour: "work=900", ..Default::default() };
        assert!(deployment.send_request(0, &request).await.is_some());
    }
    let address = deployment.vms[0].caller_address();
    deployment.vms[0].terminate().await;
    let begun = Instant::now();
    // Connections are accepted until 2.5 s after the signal.
    tokio::time::sleep(Duration::from_millis(2_300)).await;
    let callers = cases.iter().enumerate().map(|(number, case)| async move {
        let (id, behaviour) = (format!("late-{number}"), format!("work={}", case.work_ms));
        let request = TestRequest {
            method: "POST",
            path: case.path,
            id: &id,
            timeout_ms: 9_000,
            behaviour: &behaviour,
            body: "upload",
            headers: "",
        };
        let bytes = request.bytes();
        let (first, rest) = bytes.split_at(case.pause_at.min(bytes.len() - 1));
        let mut caller = Caller::connect(address).await.unwrap();
        caller.send(first).await.unwrap();
        let pause = Duration::from_millis(case.sent_ms).saturating_sub(begun.elapsed());
        tokio::time::sleep(pause).await;
        // It may have been refused before.
        let _ = caller.send(rest).await;
        caller.receive().await.map(|answer| answer.status)
    });
    let statuses = futures_util::future::join_all(callers).await;
    let mut wrong = Vec::new();
    // What nodes tell each other is not passed on.
    let runs = deployment.vms[1].target.runs();
    assert!(runs.iter().all(|run| !run.head.contains("bamboowheel-")));
    for (number, (case, status)) in cases.iter().zip(statuses).enumerate() {
        let ran = deployment.run_count(&format!("late-{number}"));
        let (sent, work) = (case.sent_ms, case.work_ms);
        let text = format!("{work} ms of work, sent after {sent} ms: {status:?}, {ran} runs");
        let is_whole = matches!((status, ran), (Some(200), 1) | (Some(503), 0));
        let is_expected = case.status.is_none() || status == case.status;
        wrong.extend((!is_whole || !is_expected).then_some(text));
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
    assert!(deployment.vms[0].exits_within(GRACE.saturating_sub(begun.elapsed())).await);
}

// Guards against callers of other nodes that wait for a node that has ended.
#[tokio::test]
async fn what_runs_at_a_node_when_it_ends_is_given_up_at_once() {
    let mut deployment = Deployment::prepare(NODE, &[("dc-1", "b"), ("dc-1", "a")]).await;
    deployment.timeout_s = 30.0;
    deployment.start_nodes().await;
    let mut caller = Caller::connect(deployment.vms[0].caller_address()).await.unwrap();
    let request = TestRequest {
        path: "/once/x",
        id: "cut",
        timeout_ms: 9_500,
        behaviour: "work=20000",
        ..TestRequest::default()
    };
    caller.send(&request.bytes()).await.unwrap();
    let is_running =
        eventually(Duration::from_secs(1), async || deployment.run_count("cut") == 1).await;
    assert!(is_running);
    deployment.vms[1].terminate().await;
    assert!(deployment.vms[1].exits_within(GRACE).await);
    let ended = Instant::now();
    let answer = caller.receive().await.unwrap();
    assert_eq!(answer.status, 502, "{answer:?}");
    let waited = ended.elapsed();
    assert!(waited < Duration::from_millis(200), "the caller waited for {waited:?}");
}

// Guards against a node that stops by the grace period that its settings had at its start.
#[tokio::test]
async fn a_node_stops_within_the_grace_period_that_its_settings_have_now() {
    let mut deployment = Deployment::prepare(NODE, &[("dc-1", "b"), ("dc-1", "a")]).await;
    deployment.timeout_s = 30.0;
    deployment.start_nodes().await;
    let mut caller = Caller::connect(deployment.vms[0].caller_address()).await.unwrap();
    let behaviour = "work=20000";
    let request =
        TestRequest { id: "long", timeout_ms: 9_500, behaviour, ..TestRequest::default() };
    caller.send(&request.bytes()).await.unwrap();
    let is_running =
        eventually(Duration::from_secs(1), async || deployment.run_count("long") == 1).await;
    assert!(is_running);
    deployment.vms[0].set_grace(3);
    deployment.vms[0].signal("-HUP").await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    deployment.vms[0].terminate().await;
    assert!(deployment.vms[0].exits_within(Duration::from_secs(3)).await);
}
