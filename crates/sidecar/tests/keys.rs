//! Keys of callers: who is served, what targets receive, and when a withdrawn key stops.

use std::time::Duration;

use standin::caller::{Caller, TestRequest};
use standin::deployment::{Deployment, eventually};
use standin::store::StoreFault;

const NODE: &str = env!("CARGO_BIN_EXE_bamboowheel-sidecar");
/// A change must be in force on every node within this time of its acknowledgement.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(2);
/// Keys of the workspaces `w1` and `w2`.
const KEYS: [&str; 3] = ["first-key-of-w1", "second-key-of-w1", "only-key-of-w2"];

/// Starts nodes of which only the first one's target runs the routes' service.
async fn start(vms: &[(&'static str, &'static str)]) -> Deployment {
    let mut deployment = Deployment::prepare(NODE, vms).await;
    deployment.workspaces =
        vec![("w1", &["first-key-of-w1", "second-key-of-w1"]), ("w2", &[KEYS[2]])];
    deployment.public = &["/public/"];
    deployment.start_nodes().await;
    set_routes(&mut deployment);
    assert!(eventually(IN_FORCE_LIMIT, async || deployment.is_current(0).await).await);
    deployment
}

fn set_routes(deployment: &mut Deployment) {
    deployment.set_routes(&[
        ("/safe/", "a", "safe"),
        ("/once/", "a", "unsafe"),
        ("/public/", "a", "safe"),
    ]);
}

async fn status(deployment: &Deployment, at: usize, key: &str, id: &str) -> u16 {
    let headers = &format!("authorization: Bearer {key}\r\n");
    let request = TestRequest { id, headers, ..TestRequest::default() };
    deployment.send_request(at, &request).await.map_or(0, |answer| answer.status)
}

struct Case {
    path: &'static str,
    headers: &'static str,
    status: u16,
    /// The workspace that the target is told.
    workspace: Option<&'static str>,
}

const CASES: [Case; 14] = [
    Case {
        path: "/safe/x",
        headers: "authorization: Bearer first-key-of-w1\r\n",
        status: 200,
        workspace: Some("w1"),
    },
    Case {
        path: "/safe/x",
        headers: "Authorization: bearer  second-key-of-w1 \r\n",
        status: 200,
        workspace: Some("w1"),
    },
    Case {
        path: "/safe/x",
        headers: "x-tenant: w1\r\nauthorization: Bearer only-key-of-w2\r\nx-tenant: w1\r\n",
        status: 200,
        workspace: Some("w2"),
    },
    Case {
        path: "/safe/x",
        headers: "connection: x-tenant, authorization\r\nauthorization: Bearer only-key-of-w2\r\n",
        status: 200,
        workspace: Some("w2"),
    },
    Case { path: "/public/x", headers: "", status: 200, workspace: None },
    Case {
        path: "/public/x",
        headers: "x-tenant: w1\r\nauthorization: Bearer first-key-of-w1\r\n",
        status: 200,
        workspace: None,
    },
    Case { path: "/safe/x", headers: "", status: 401, workspace: None },
    Case { path: "/safe/x", headers: "x-tenant: w1\r\n", status: 401, workspace: None },
    Case {
        path: "/safe/x",
        headers: "authorization: Bearer first-key\r\n",
        status: 401,
        workspace: None,
    },
    Case { path: "/safe/x", headers: "authorization: Bearer\r\n", status: 401, workspace: None },
    Case {
        path: "/safe/x",
        headers: "authorization: Basic first-key-of-w1\r\n",
        status: 401,
        workspace: None,
    },
    Case {
        path: "/safe/x",
        headers: "authorization: Bearerfirst-key-of-w1\r\n",
        status: 401,
        workspace: None,
    },
    Case {
        path: "/safe/x",
        headers: "authorization: Bearer \u{ff}\u{80}\r\n",
        status: 401,
        workspace: None,
    },
    Case {
        path: "/safe/x",
        headers: "authorization: Bearer first-key-of-w1\r\nauthorization: Bearer first-key-of-w1\r\n",
        status: 401,
        workspace: None,
    },
];

// Guards against a request without a valid key that runs, a key that reaches a target or a log, and a
// workspace that a caller names itself.
#[tokio::test]
async fn only_requests_with_a_key_run_and_targets_get_the_workspace_without_the_key() {
    let log = std::env::temp_dir().join(format!("bamboowheel-keys-{}.log", std::process::id()));
    let mut deployment = Deployment::prepare(NODE, &[("dc-1", "a"), ("dc-1", "b")]).await;
    deployment.workspaces =
        vec![("w1", &["first-key-of-w1", "second-key-of-w1"]), ("w2", &[KEYS[2]])];
    deployment.public = &["/public/"];
    deployment.vms[1].log_to(log.clone());
    deployment.start_nodes().await;
    set_routes(&mut deployment);
    assert!(eventually(IN_FORCE_LIMIT, async || deployment.is_current(1).await).await);
    for (at, Case { path, headers, status, workspace }) in CASES.iter().enumerate() {
        let id = &format!("k-{at}");
        let request = TestRequest { path, id, headers, ..TestRequest::default() };
        let answer = deployment.send_request(1, &request).await.unwrap();
        assert_eq!(answer.status, *status, "{headers:?}");
        assert_eq!(answer.header("www-authenticate").is_some(), *status == 401, "{headers:?}");
        let runs = deployment.vms[0].target.runs();
        let run = runs.iter().find(|run| run.id == *id);
        assert_eq!(run.is_some(), *status == 200, "{headers:?}");
        let Some(run) = run else { continue };
        let head = run.head.to_lowercase();
        let named: Vec<&str> =
            head.lines().filter_map(|line| line.strip_prefix("x-tenant: ")).collect();
        assert_eq!(named, Vec::from_iter(*workspace), "{headers:?}");
        assert!(!head.contains("authorization") && !head.contains("-key"), "{head}");
    }
    let refused =
        deployment.vms[1].counter("bamboowheel_key_refusals_total{reason=\"missing\"}").await;
    assert_eq!(refused, Some(6));
    tokio::time::sleep(Duration::from_millis(300)).await;
    let lines = std::fs::read_to_string(&log).unwrap();
    assert!(lines.contains("has no key") && !KEYS.iter().any(|key| lines.contains(key)));
    std::fs::remove_file(log).unwrap();
}

// Guards against callers without a key that make a node read and hold bodies.
#[tokio::test]
async fn a_request_without_a_key_is_refused_before_its_body_and_a_long_key_with_its_head() {
    let deployment = start(&[("dc-1", "a")]).await;
    let mut caller = Caller::connect(deployment.vms[0].caller_address()).await.unwrap();
    let head = "POST /once/x HTTP/1.1\r\nhost: test.example\r\nx-attempt-id: b-1\r\n\
                content-length: 900000\r\n\r\nthe first bytes";
    caller.send(head.as_bytes()).await.unwrap();
    let answer = caller.receive().await.unwrap();
    assert_eq!((answer.status, answer.header("connection")), (401, Some("close")));
    let long = "k".repeat(64 * 1024);
    assert_eq!(status(&deployment, 0, &long, "long").await, 431);
    assert_eq!(status(&deployment, 0, KEYS[0], "after").await, 200);
    assert_eq!(deployment.vms[0].target.runs().len(), 1);
}

// Guards against earlier deployments in which targets no longer get what callers send them.
#[tokio::test]
async fn without_workspaces_no_key_is_needed_and_the_header_travels_on() {
    let mut deployment = Deployment::prepare(NODE, &[("dc-1", "a")]).await;
    deployment.start_nodes().await;
    assert_eq!(status(&deployment, 0, "any", "plain").await, 200);
    let head = deployment.vms[0].target.runs()[0].head.to_lowercase();
    assert!(head.contains("authorization: bearer any\r\n") && !head.contains("x-tenant"), "{head}");
}

// Guards against a 401 from a node that cannot know whether the key is valid.
#[tokio::test]
async fn a_node_that_may_lack_the_newest_ruleset_answers_503_to_unknown_keys() {
    let mut deployment = Deployment::prepare(NODE, &[("dc-1", "a")]).await;
    deployment.vms[0].store_endpoint.set_fault(StoreFault::Busy);
    deployment.start_node(0);
    let no_rules =
        eventually(IN_FORCE_LIMIT, async || status(&deployment, 0, "x", "n").await == 503);
    assert!(no_rules.await);
    deployment.vms[0].store_endpoint.set_fault(StoreFault::None);
    drop(deployment);
    let deployment = start(&[("dc-1", "a")]).await;
    assert_eq!(status(&deployment, 0, "unknown", "u-1").await, 401);
    deployment.vms[0].store_endpoint.set_fault(StoreFault::Busy);
    let outdated = async || status(&deployment, 0, "unknown", "u-2").await == 503;
    assert!(eventually(Duration::from_secs(5), outdated).await);
    assert_eq!(status(&deployment, 0, KEYS[0], "u-3").await, 200);
}

// Guards against a withdrawn key that is served by nodes that the store turns away, and by requests
// that were begun before: one whose body comes later, and one that was pipelined.
#[tokio::test]
async fn a_withdrawn_key_stops_on_every_node_and_for_requests_under_way() {
    for fault in [StoreFault::Busy, StoreFault::Silent] {
        let mut deployment = start(&[("dc-1", "a"), ("dc-1", "a"), ("dc-1", "b")]).await;
        for at in [1, 2] {
            deployment.vms[at].store_endpoint.set_fault(fault);
        }
        let mut slow = Caller::connect(deployment.vms[2].caller_address()).await.unwrap();
        let head = "POST /once/x HTTP/1.1\r\nhost: test.example\r\nx-attempt-id: slow\r\n\
                    x-timeout-ms: 9000\r\nauthorization: Bearer only-key-of-w2\r\n\
                    content-length: 4\r\n\r\n12";
        slow.send(head.as_bytes()).await.unwrap();
        deployment.workspaces[1].1 = &[];
        set_routes(&mut deployment);
        for at in 0..3 {
            let stopped = async || status(&deployment, at, KEYS[2], "withdrawn").await == 401;
            assert!(eventually(IN_FORCE_LIMIT, stopped).await, "{fault:?}: node {at}");
            assert_eq!(status(&deployment, at, KEYS[1], "kept").await, 200, "{fault:?}");
        }
        slow.send(b"34").await.unwrap();
        assert_eq!(slow.receive().await.unwrap().status, 401, "{fault:?}");
        assert_eq!(deployment.run_count("slow"), 0, "{fault:?}");
        let mut caller = Caller::connect(deployment.vms[2].caller_address()).await.unwrap();
        let request = |id, headers| TestRequest { id, headers, ..TestRequest::default() }.bytes();
        let valid = "authorization: Bearer first-key-of-w1\r\n";
        let withdrawn = "authorization: Bearer only-key-of-w2\r\n";
        let sent = [request("p-0", valid), request("p-1", withdrawn), request("p-2", valid)];
        caller.send(&sent.concat()).await.unwrap();
        for expected in [200, 401, 200] {
            assert_eq!(caller.receive().await.unwrap().status, expected, "{fault:?}");
        }
        assert_eq!(deployment.run_count("p-1"), 0);
    }
}
