//! Bytes of a target that are no answer, or a part of one: no caller gets them as an answer, whether
//! its node is beside the target or another one.

use standin::caller::{Caller, TestRequest};
use standin::deployment::Deployment;

const NODE: &str = env!("CARGO_BIN_EXE_bamboowheel-sidecar");

/// Two nodes, the first beside the only target. Bodies may be longer than sockets hold.
async fn start() -> Deployment {
    let mut deployment = Deployment::prepare(NODE, &[("dc-1", "a"), ("dc-1", "b")]).await;
    deployment.max_body = 16_000_000;
    deployment.start_nodes().await;
    deployment
}

/// Returns the status and the body that a caller at a node gets if the target sends bytes and closes the
/// connection; 0 without an answer. `ID` stands for the request's id, and `words` say more of what the target does.
async fn answer(
    deployment: &Deployment,
    (at, id): (usize, &str),
    (bytes, words): (&str, &str),
    body: &str,
) -> (u16, String) {
    let bytes = bytes.replace("ID", id).replace(' ', "\\x20");
    let behaviour = format!("raw={bytes} {words}");
    let request = TestRequest { id, path: "/once/x", behaviour: &behaviour, ..Default::default() };
    let request = TestRequest { method: "POST", body, ..request };
    let mut caller = Caller::connect(deployment.vms[at].caller_address()).await.unwrap();
    let answer = caller.send_request(&request).await;
    assert_eq!(deployment.run_count(id), 1, "{id}: runs; {answer:?}");
    answer.map_or((0, String::new()), |answer| (answer.status, answer.body))
}

const HEAD: &str = "HTTP/1.1 200 OK\\r\\nx-attempt-id: ID\\r\\nx-response-signature: s\\r\\n";

// Guards against a part of an answer that passes for the whole: the connection is reset while the
// request is still being written, and the error of the write hides that of the read.
#[tokio::test]
async fn a_body_until_close_that_ends_with_a_reset_is_no_answer() {
    let deployment = start().await;
    let large = "x".repeat(12_000_000);
    let part = format!("{HEAD}\\r\\na-part-of-the-body");
    for (size, early) in
        [(12_000_000, 0), (12_000_000, 1), (12_000_000, 4_000_000), (300, 0), (300, 299), (0, 0)]
    {
        for hold_ms in [0, 1, 5, 30, 150] {
            for at in [0, 1] {
                for try_number in 0..2 {
                    let id = format!("reset-{size}-{early}-{hold_ms}-{at}-{try_number}");
                    let words = format!("early={early} hold={hold_ms} rst");
                    let sent = (part.as_str(), words.as_str());
                    let (status, _) = answer(&deployment, (at, &id), sent, &large[..size]).await;
                    assert!(matches!(status, 502 | 504), "{id}: {status}");
                }
            }
        }
    }
}

// Guards against statuses that no answer has, framings that two readers take differently, and other
// protocols.
#[tokio::test]
async fn only_what_is_an_answer_reaches_a_caller() {
    struct Case {
        name: &'static str,
        bytes: String,
        is_answer: bool,
    }
    let deployment = start().await;
    let with = |line: &str, rest: &str| {
        format!("{line}\\r\\nx-attempt-id: ID\\r\\nx-response-signature: s\\r\\n{rest}")
    };
    let ok = |rest: &str| with("HTTP/1.1 200 OK", rest);
    let status_line =
        |status: &str| with(&format!("HTTP/1.1 {status} X"), "content-length: 2\\r\\n\\r\\nhi");
    let mut cases = vec![
        Case { name: "a length", bytes: ok("content-length: 2\\r\\n\\r\\nhi"), is_answer: true },
        Case { name: "no length", bytes: ok("\\r\\nhi"), is_answer: true },
        Case {
            name: "chunks",
            bytes: ok("transfer-encoding: chunked\\r\\n\\r\\n2\\r\\nhi\\r\\n0\\r\\n\\r\\n"),
            is_answer: true,
        },
        Case {
            name: "HTTP/1.0",
            bytes: with("HTTP/1.0 200 OK", "content-length: 2\\r\\n\\r\\nhi"),
            is_answer: true,
        },
        Case {
            name: "an informational one first",
            bytes: format!("HTTP/1.1 103 Early Hints\\r\\n\\r\\n{}", status_line("200")),
            is_answer: true,
        },
        Case {
            name: "a second one behind",
            bytes: [status_line("200"), status_line("200")].concat(),
            is_answer: true,
        },
        // Chunks override a length (RFC 9112, 6.3).
        Case {
            name: "a length and chunks",
            bytes: ok(
                "content-length: 2\\r\\ntransfer-encoding: chunked\\r\\n\\r\\n2\\r\\nhi\\r\\n0\\r\\n\\r\\n",
            ),
            is_answer: true,
        },
        Case {
            name: "chunks and a length",
            bytes: ok(
                "transfer-encoding: chunked\\r\\ncontent-length: 2\\r\\n\\r\\n2\\r\\nhi\\r\\n0\\r\\n\\r\\n",
            ),
            is_answer: true,
        },
        Case {
            name: "two lengths",
            bytes: ok("content-length: 2\\r\\ncontent-length: 3\\r\\n\\r\\nhi!"),
            is_answer: false,
        },
        Case {
            name: "two lengths in one line",
            bytes: ok("content-length: 2, 3\\r\\n\\r\\nhi!"),
            is_answer: false,
        },
        Case {
            name: "a negative length",
            bytes: ok("content-length: -2\\r\\n\\r\\nhi"),
            is_answer: false,
        },
        Case {
            name: "another transfer coding",
            bytes: ok("transfer-encoding: gzip\\r\\n\\r\\nhi"),
            is_answer: false,
        },
        Case {
            name: "chunks of HTTP/1.0",
            bytes: with(
                "HTTP/1.0 200 OK",
                "transfer-encoding: chunked\\r\\n\\r\\n2\\r\\nhi\\r\\n0\\r\\n\\r\\n",
            ),
            is_answer: false,
        },
        Case { name: "HTTP/0.9", bytes: "<p>hi</p>".to_owned(), is_answer: false },
        Case {
            name: "HTTP/2.0",
            bytes: with("HTTP/2.0 200 OK", "content-length: 2\\r\\n\\r\\nhi"),
            is_answer: false,
        },
        Case {
            name: "only an informational one",
            bytes: with("HTTP/1.1 103 X", "\\r\\n"),
            is_answer: false,
        },
        Case {
            name: "a switch of protocols",
            bytes: with("HTTP/1.1 101 X", "connection: upgrade\\r\\nupgrade: x\\r\\n\\r\\nhi"),
            is_answer: false,
        },
    ];
    for status in ["200", "404", "500", "599"] {
        cases.push(Case { name: "a status", bytes: status_line(status), is_answer: true });
    }
    let none = ["", "2", "20", "2000", "abc", "-20", "000", "001", "099", "600", "700", "999"];
    for status in none {
        cases.push(Case { name: "no status", bytes: status_line(status), is_answer: false });
    }
    let mut wrong = Vec::new();
    for (number, Case { name, bytes, is_answer }) in cases.iter().enumerate() {
        for at in [0, 1] {
            let id = format!("case-{number}-{at}");
            let (status, body) = answer(&deployment, (at, &id), (bytes, ""), "").await;
            let is_forwarded = !matches!(status, 502 | 504);
            let is_whole = !is_answer || body == "hi";
            if is_forwarded != *is_answer || !is_whole {
                wrong.push(format!("{name} at vm-{at}: {status}, {body:?}; {bytes}"));
            }
        }
    }
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
}
