//! Answers that belong to no request: second copies that arrive late, on a connection that is in
//! use again.

use standin::caller::TestRequest;
use standin::deployment::Deployment;

const NODE: &str = env!("CARGO_BIN_EXE_bamboowheel-sidecar");

struct Case {
    /// What the target does with the first request.
    first: &'static str,
    /// What it does with the next one, which is sent on the same connection.
    next: &'static str,
}

/// The copy arrives before the next request, while it runs, and while a health check that is sent
/// before long work waits for its answer.
const CASES: [Case; 4] = [
    Case { first: "extra", next: "-" },
    Case { first: "late-copy=2", next: "work=30" },
    Case { first: "late-copy=30", next: "work=5" },
    Case { first: "late-copy=30", next: "work=60" },
];

#[tokio::test]
async fn a_late_copy_of_an_answer_reaches_no_other_caller() {
    let vms = [("dc-1", "a"), ("dc-1", "b")];
    let mut deployment = Deployment::prepare(NODE, &vms).await;
    deployment.start_nodes().await;
    for (number, Case { first, next }) in CASES.iter().enumerate() {
        for path in ["/safe/x", "/once/x"] {
            for round in 0..4 {
                let ids = [("1st", *first), ("2nd", *next), ("3rd", "-")];
                for (name, behaviour) in ids {
                    let id = format!("{name}-{number}-{round}-{}", &path[1..3]);
                    let request = TestRequest { id: &id, path, behaviour, ..Default::default() };
                    let answer = deployment.send_request(1, &request).await.unwrap();
                    let is_own = answer.body.contains(&format!("ran {id} at"));
                    let is_error = matches!(answer.status, 502..=504);
                    assert!(is_own || is_error, "{first} {next} {id}: {answer:?}");
                    assert!(deployment.run_count(&id) <= 2, "{id}");
                    assert!(path == "/safe/x" || deployment.run_count(&id) <= 1, "{id}");
                    let refused = answer.status == 503;
                    assert!(!refused || deployment.run_count(&id) == 0, "{id}: {answer:?}");
                }
            }
        }
    }
    let served = deployment.vms[0].target.runs().iter().filter(|run| run.finished).count();
    assert!(served >= 48, "{served} requests ran to their end");
}

/// A refusal comes twice: once when it is due, and again while the next request on its connection
/// runs, with or without the id of the request that was refused.
const REFUSALS: [&str; 4] = [
    "shed late-copy=2",
    "shed late-copy=25",
    "shed anonymous late-copy=2",
    "shed anonymous late-copy=25",
];

// Guards against a late copy of a refusal that is taken for the answer to the next request: its caller
// would be told that it did not run, while it runs.
#[tokio::test]
async fn a_late_copy_of_a_refusal_refuses_no_other_request() {
    let vms = [("dc-1", "a"), ("dc-1", "b")];
    let mut deployment = Deployment::prepare(NODE, &vms).await;
    deployment.start_nodes().await;
    for (number, first) in REFUSALS.iter().enumerate() {
        for path in ["/safe/x", "/once/x"] {
            for round in 0..4 {
                let ids = [("refused", *first), ("next", "work=35"), ("last", "-")];
                for (name, behaviour) in ids {
                    let id = format!("{name}-{number}-{round}-{}", &path[1..3]);
                    let request = TestRequest { id: &id, path, behaviour, ..Default::default() };
                    let answer = deployment.send_request(1, &request).await.unwrap();
                    let runs = deployment.run_count(&id);
                    assert!(answer.status != 503 || runs == 0, "{first} {id}: {answer:?}");
                    assert!(path == "/safe/x" || runs <= 1, "{first} {id}");
                    assert!(name != "refused" || runs == 0, "{first} {id}");
                }
            }
        }
    }
    let served = deployment.vms[0].target.runs().iter().filter(|run| run.finished).count();
    assert!(served >= 32, "{served} requests ran to their end");
}
