//! Requests of callers to nodes that run as processes: what is forwarded, what is retried, and what
//! is answered when targets misbehave.

use std::time::{Duration, Instant};

use standin::caller::{Caller, TestRequest, send_request};
use standin::deployment::{Deployment, eventually};

const NODE: &str = env!("CARGO_BIN_EXE_bamboowheel-sidecar");

#[tokio::test]
async fn a_request_reaches_the_target_of_another_vm_as_it_was_sent() {
    let mut deployment = Deployment::prepare(NODE, &[("dc-1", "a"), ("dc-1", "b")]).await;
    deployment.start_nodes().await;
    let path = "/once/x?y=1%20z";
    let request =
        TestRequest { method: "POST", path, id: "q-1", body: "hello", ..TestRequest::default() };
    let answer = deployment.send_request(1, &request).await.unwrap();
    assert_eq!((answer.status, answer.body.as_str()), (200, "i-vm-0 ran q-1 at /once/x?y=1%20z"));
    assert_eq!(answer.header("x-response-signature"), Some("s.q-1"));
    let runs = deployment.vms[0].target.runs();
    assert_eq!(runs.len(), 1);
    assert_eq!(runs[0].body, b"hello");
    let head = runs[0].head.to_lowercase();
    assert!(
        head.contains("x-caller-service: b\r\n"),
        "x-caller-service is not the service of the entry's VM"
    );
    assert!(!head.contains("forged"));
    assert!(head.contains("x-target-instance: i-vm-0"));
    let left: u64 =
        head.split("x-timeout-ms: ").nth(1).unwrap().lines().next().unwrap().parse().unwrap();
    assert!((1_500..2_000).contains(&left), "{left} ms are left of the caller's timeout");
}

struct FaultCase {
    behaviour: &'static str,
    /// The expected status of a request that may run twice, and how often it runs.
    safe: (u16, usize),
    /// The same for a request that must not run twice.
    once: (u16, usize),
}

#[tokio::test]
async fn target_faults_never_cause_a_second_run_of_an_unsafe_request() {
    let mut deployment = Deployment::prepare(NODE, &[("dc-1", "a"), ("dc-1", "a")]).await;
    deployment.start_nodes().await;
    let cases = [
        FaultCase { behaviour: "cut", safe: (502, 2), once: (502, 1) },
        FaultCase { behaviour: "reset", safe: (502, 2), once: (502, 1) },
        FaultCase { behaviour: "once-reset", safe: (502, 2), once: (502, 1) },
        FaultCase { behaviour: "crossed", safe: (502, 2), once: (502, 1) },
        FaultCase { behaviour: "fail", safe: (500, 2), once: (500, 1) },
        FaultCase { behaviour: "unframed", safe: (200, 1), once: (200, 1) },
        FaultCase { behaviour: "extra", safe: (200, 1), once: (200, 1) },
        FaultCase { behaviour: "shed", safe: (503, 0), once: (503, 0) },
    ];
    for case in cases {
        for (method, path, expected) in
            [("GET", "/safe/x", case.safe), ("POST", "/once/x", case.once)]
        {
            let id = format!("{}-{method}", case.behaviour);
            let request = TestRequest {
                method,
                path,
                id: &id,
                behaviour: case.behaviour,
                ..TestRequest::default()
            };
            let answer = deployment.send_request(0, &request).await.unwrap();
            assert_eq!((answer.status, deployment.run_count(&id)), expected, "{id}");
            assert_eq!(answer.header("retry-after").is_some(), answer.status == 503, "{id}");
            // After a broken connection a health check must succeed before the target is used
            // again.
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
}

#[tokio::test]
async fn a_safe_request_whose_answer_is_lost_is_answered_by_another_target() {
    let mut deployment =
        Deployment::prepare(NODE, &[("dc-1", "a"), ("dc-1", "a"), ("dc-1", "b")]).await;
    deployment.start_nodes().await;
    let address = deployment.vms[2].caller_address();
    // All at the same time, so that both targets are chosen.
    let requests: Vec<_> = (0..12)
        .map(|at| {
            tokio::spawn(async move {
                let id = format!("mute-{at}");
                let behaviour = "work=30 mute@i-vm-1";
                let begun = Instant::now();
                let answer = send_request(
                    address,
                    &TestRequest { id: &id, behaviour, ..TestRequest::default() },
                )
                .await;
                (answer.map(|answer| answer.status), begun.elapsed())
            })
        })
        .collect();
    for request in requests {
        let (status, took) = request.await.unwrap();
        assert_eq!(status, Some(200));
        assert!(took < Duration::from_millis(450), "{took:?}");
    }
    assert!(
        !deployment.vms[1].target.runs().is_empty(),
        "no request was sent to the silent target"
    );
}

#[tokio::test]
async fn pipelined_requests_run_side_by_side_and_answers_wait_only_for_earlier_ones() {
    let mut deployment = Deployment::prepare(NODE, &[("dc-1", "a"), ("dc-1", "a")]).await;
    deployment.start_nodes().await;
    let mut caller = Caller::connect(deployment.vms[0].caller_address()).await.unwrap();
    let request = |id, behaviour| TestRequest { id, behaviour, ..TestRequest::default() }.bytes();
    let sent = [request("p-0", "work=100"), request("p-1", "work=600"), request("p-2", "work=600")]
        .concat();
    let begun = Instant::now();
    caller.send(&sent).await.unwrap();
    assert!(caller.receive().await.unwrap().body.contains("p-0"));
    let early = begun.elapsed();
    assert!(early < Duration::from_millis(400), "the answer waited for a later request: {early:?}");
    assert!(caller.receive().await.unwrap().body.contains("p-1"));
    assert!(caller.receive().await.unwrap().body.contains("p-2"));
    let last = begun.elapsed();
    assert!(last < Duration::from_millis(1_000), "served one after the other: {last:?}");
}

#[tokio::test]
async fn a_target_stops_work_when_the_caller_disconnects() {
    let mut deployment = Deployment::prepare(NODE, &[("dc-1", "b"), ("dc-1", "a")]).await;
    deployment.start_nodes().await;
    for ahead in [false, true] {
        let id = format!("left-{ahead}");
        let mut caller = Caller::connect(deployment.vms[0].caller_address()).await.unwrap();
        let mut bytes =
            TestRequest { id: &id, behaviour: "work=1500", ..TestRequest::default() }.bytes();
        if ahead {
            let next = format!("{id}-next");
            bytes.extend(
                TestRequest { id: &next, behaviour: "work=1500", ..TestRequest::default() }.bytes(),
            );
        }
        caller.send(&bytes).await.unwrap();
        let runs =
            eventually(Duration::from_secs(1), async || deployment.run_count(&id) == 1).await;
        assert!(runs, "{id}");
        drop(caller);
        // The stand-in marks a run as finished only after its work.
        tokio::time::sleep(Duration::from_millis(1_700)).await;
        let finished = deployment.vms[1].target.runs().iter().filter(|run| run.finished).count();
        assert_eq!(finished, 0, "{id}");
    }
}

#[tokio::test]
async fn an_unknown_route_gets_404_and_without_a_ruleset_every_request_gets_503() {
    let mut deployment = Deployment::prepare(NODE, &[("dc-1", "a")]).await;
    deployment.start_node(0);
    let begun = Instant::now();
    while deployment.send_request(0, &TestRequest::default()).await.is_none() {
        assert!(begun.elapsed() < Duration::from_secs(5));
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let early = deployment
        .send_request(0, &TestRequest { id: "early", ..TestRequest::default() })
        .await
        .unwrap();
    assert_eq!(early.status, 503);
    assert!(!deployment.vms[0].is_ready().await);
    deployment.set_routes(&[("/safe/", "a", "safe"), ("/safe/deep/", "b", "safe")]);
    deployment.announce_targets().await;
    let statuses = [("/safe/x", 200), ("/safe/deep/x", 503), ("/none/x", 404), ("/safe", 404)];
    for (path, status) in statuses {
        let answer = deployment
            .send_request(0, &TestRequest { path, id: path, ..TestRequest::default() })
            .await
            .unwrap();
        assert_eq!(answer.status, status, "{path}");
    }
}

#[tokio::test]
async fn a_body_over_the_limit_is_refused_and_a_chunked_one_is_forwarded() {
    let mut deployment = Deployment::prepare(NODE, &[("dc-1", "a")]).await;
    deployment.start_nodes().await;
    let long = "x".repeat(1_000_001);
    let request = TestRequest {
        method: "POST",
        path: "/once/x",
        id: "long",
        body: &long,
        ..TestRequest::default()
    };
    assert_eq!(deployment.send_request(0, &request).await.unwrap().status, 413);
    assert_eq!(deployment.run_count("long"), 0);
    let mut caller = Caller::connect(deployment.vms[0].caller_address()).await.unwrap();
    let head = "POST /once/x HTTP/1.1\r\nhost: TEST.example:80\r\nx-attempt-id: chunks\r\n\
                transfer-encoding: chunked\r\n\r\n";
    let chunks = "3\r\nabc\r\n4\r\ndefg\r\n0\r\n\r\n";
    caller.send(format!("{head}{chunks}").as_bytes()).await.unwrap();
    assert_eq!(caller.receive().await.unwrap().status, 200);
    assert_eq!(deployment.vms[0].target.runs()[0].body, b"abcdefg");
}

#[tokio::test]
async fn a_running_request_is_not_cancelled_because_its_guard_is_silent() {
    let mut deployment = Deployment::prepare(NODE, &[("dc-1", "a"), ("dc-1", "b")]).await;
    deployment.start_nodes().await;
    let mut caller = Caller::connect(deployment.vms[1].caller_address()).await.unwrap();
    caller
        .send(&TestRequest { id: "slow", behaviour: "work=900", ..TestRequest::default() }.bytes())
        .await
        .unwrap();
    let runs = eventually(Duration::from_secs(1), async || deployment.run_count("slow") == 1).await;
    assert!(runs);
    deployment.vms[0].signal("-STOP").await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    deployment.vms[0].signal("-CONT").await;
    assert_eq!(caller.receive().await.map(|answer| answer.status), Some(200));
}

#[tokio::test]
async fn a_safe_request_at_a_silent_guard_is_answered_through_another_guard() {
    let mut deployment =
        Deployment::prepare(NODE, &[("dc-1", "a"), ("dc-1", "a"), ("dc-1", "b")]).await;
    deployment.start_nodes().await;
    deployment.vms[1].signal("-STOP").await;
    for at in 0..8 {
        let id = format!("silent-{at}");
        let begun = Instant::now();
        let answer = deployment
            .send_request(2, &TestRequest { id: &id, ..TestRequest::default() })
            .await
            .unwrap();
        assert_eq!(answer.status, 200, "{id}");
        assert!(begun.elapsed() < Duration::from_millis(400), "{id}: {:?}", begun.elapsed());
    }
    deployment.vms[1].signal("-CONT").await;
}

#[tokio::test]
async fn a_guard_that_runs_an_attempt_is_not_taken_for_silent() {
    let mut deployment =
        Deployment::prepare(NODE, &[("dc-1", "a"), ("dc-1", "a"), ("dc-1", "b")]).await;
    // So that only a guard that is taken for silent causes a hedged attempt before the answer.
    deployment.aim_s = 2.0;
    deployment.start_nodes().await;
    for at in 0..10 {
        // Longer than a silent guard is waited for.
        let id = format!("long-{at}");
        let request = TestRequest { id: &id, behaviour: "work=150", ..TestRequest::default() };
        assert_eq!(deployment.send_request(2, &request).await.unwrap().status, 200, "{id}");
        assert_eq!(deployment.run_count(&id), 1, "{id}");
    }
    assert_eq!(deployment.vms[2].counter("bamboowheel_repeats_total").await, Some(0));
}
