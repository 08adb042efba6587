//! Answers of targets that end before they are complete.

use standin::caller::TestRequest;
use standin::deployment::Deployment;

const NODE: &str = env!("CARGO_BIN_EXE_bamboowheel-sidecar");

/// Bytes after which the target closes the connection. `ID` stands for the request's id.
const CUT_ANSWERS: [&str; 14] = [
    "H",
    "HTTP/1.1 200",
    "HTTP/1.1 200 OK\\r\\n",
    "HTTP/1.1 200 OK\\r\\nx-attempt-id: ID\\r\\nx-response-signature: s\\r\\n",
    "HTTP/1.1 200 OK\\r\\nx-attempt-id: ID\\r\\nx-response-signature: s\\r\\ncontent-le",
    "HTTP/1.1 200 OK\\r\\nx-attempt-id: ID\\r\\nx-response-signature: s\\r\\ncontent-length: 5\\r\\n",
    "HTTP/1.1 200 OK\\r\\nx-attempt-id: ID\\r\\nx-response-signature: s\\r\\ncontent-length: 0\\r\\n\\r",
    "HTTP/1.1 200 OK\\nx-attempt-id: ID\\nx-response-signature: s\\n",
    "HTTP/1.1 200 OK\\r\\nx-attempt-id: ID\\r\\nx-response-signature: s\\r\\ncontent-length: 50\\r\\n\\r\\nabc",
    "HTTP/1.1 200 OK\\r\\nx-attempt-id: ID\\r\\nx-response-signature: s\\r\\ntransfer-encoding: chunked\\r\\n\\r\\n",
    "HTTP/1.1 200 OK\\r\\nx-attempt-id: ID\\r\\nx-response-signature: s\\r\\ntransfer-encoding: chunked\\r\\n\\r\\n3\\r\\nabc\\r\\n",
    "HTTP/1.1 200 OK\\r\\nx-attempt-id: ID\\r\\nx-response-signature: s\\r\\ntransfer-encoding: chunked\\r\\n\\r\\n3\\r\\nabc\\r\\n0\\r\\n",
    "HTTP/1.1 100 Continue\\r\\n\\r\\n",
    "HTTP/1.1 102 Processing\\r\\n\\r\\nHTTP/1.1 200 OK\\r\\nx-attempt-id: ID\\r\\nx-response-signature: s\\r\\n",
];

// Guards against an answer whose head or body was cut and that reaches its caller as a whole one, with
// an empty or a short body.
#[tokio::test]
async fn an_answer_that_ends_early_is_no_success() {
    let vms = [("dc-1", "a"), ("dc-1", "b")];
    let mut deployment = Deployment::prepare(NODE, &vms).await;
    deployment.start_nodes().await;
    for (number, bytes) in CUT_ANSWERS.iter().enumerate() {
        // Through a link, and from the target beside the node.
        for at in [1, 0] {
            for path in ["/safe/x", "/once/x"] {
                let id = format!("cut-{number}-{at}-{}", &path[1..3]);
                let behaviour = format!("raw={}", bytes.replace("ID", &id).replace(' ', "\\x20"));
                let request =
                    TestRequest { id: &id, path, behaviour: &behaviour, ..Default::default() };
                let answer = deployment.send_request(at, &request).await.unwrap();
                assert!(matches!(answer.status, 502 | 504), "{bytes} at vm-{at}: {answer:?}");
                let runs = deployment.run_count(&id);
                assert!(runs == 1 || path == "/safe/x" && runs <= 2, "{bytes}: {runs} runs");
                // The next request is answered on its own.
                let id = format!("{id}-next");
                let request = TestRequest { id: &id, path, ..TestRequest::default() };
                let next = deployment.send_request(at, &request).await.unwrap();
                assert!(next.status == 200 && next.body.contains(&id), "{bytes}: {next:?}");
            }
        }
    }
}
