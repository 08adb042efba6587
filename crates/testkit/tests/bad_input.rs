//! Callers that send nonsense: a clear error, and the node goes on.

use std::path::PathBuf;
use std::time::Duration;

use http::Method;
use testkit::client::{Client, request};
use testkit::mesh::{Mesh, ServiceSize, Tenant, until};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use world::Class;

/// The longest wait for something that is sure to happen.
const LIMIT: Duration = Duration::from_secs(40);

fn tenant() -> Tenant {
    let service = |name: &str, keyed| ServiceSize {
        name: name.to_owned(),
        targets: 1,
        work_us: 1_000,
        class: Class::Normal,
        keyed,
    };
    Tenant {
        name: "bad".to_owned(),
        data_centres: vec!["here".to_owned()],
        services: vec![service("read", false), service("book", true)],
        slots: 4,
    }
}

struct Asked {
    what: &'static str,
    method: Method,
    path: String,
    headers: &'static [(&'static str, &'static str)],
    status: u16,
    code: Option<u16>,
}

fn asked(
    what: &'static str,
    path: &str,
    headers: &'static [(&'static str, &'static str)],
    status: u16,
    code: Option<u16>,
) -> Asked {
    Asked { what, method: Method::GET, path: path.to_owned(), headers, status, code }
}

/// Sends bytes and returns the first line of what comes back; nothing where the node closes.
async fn raw(mesh: &Mesh, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(mesh.vms[0].callers()).await.unwrap();
    stream.write_all(bytes).await.unwrap();
    let mut said = [0; 256];
    let length = stream.read(&mut said).await.unwrap_or(0);
    String::from_utf8_lossy(&said[..length]).lines().next().unwrap_or_default().to_owned()
}

/// Sends a part of an upload through another node and goes away. The target must not take the part
/// for the whole.
async fn cut_in_the_middle(mesh: &Mesh) {
    let served = || async {
        let page = testkit::client::get(mesh.vms[0].target(), "/control").await.unwrap();
        let page: serde_json::Value = serde_json::from_slice(&page.body).unwrap();
        (page["served"].as_u64(), page["running"].as_u64())
    };
    let (before, _) = served().await;
    let part = vec![b'x'; 0x8000];
    let chunked = "POST /read HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n8000\r\n";
    let said = raw(mesh, &[chunked.as_bytes(), &part, b"\r\n"].concat()).await;
    assert!(said.contains("411"), "{said}");
    let mut stream = TcpStream::connect(mesh.vms[1].callers()).await.unwrap();
    let head = "POST /read HTTP/1.1\r\nhost: a\r\ncontent-length: 100000\r\n\r\n";
    stream.write_all(&[head.as_bytes(), &part].concat()).await.unwrap();
    let is_running = || async { served().await.1 == Some(1) };
    until(LIMIT, is_running).await.expect("the upload reaches the target");
    drop(stream);
    let is_over = || async { served().await.1 == Some(0) };
    until(LIMIT, is_over).await.expect("the upload ends at the target");
    assert_eq!(served().await.0, before, "a part was taken for the whole");
}

#[tokio::test(flavor = "multi_thread")]
async fn nonsense_is_told_as_such_and_does_no_harm() {
    let own = std::env::current_exe().unwrap();
    let binaries = own.ancestors().nth(2).unwrap().to_owned();
    let folder: PathBuf = std::env::temp_dir().join(format!("bad-input-{}", std::process::id()));
    let mesh = Mesh::start(tenant(), 84, 1, &binaries, &folder).await.unwrap();
    let client = Client::default();
    let to = mesh.vms[0].callers();
    let post = |asked: Asked| Asked { method: Method::POST, ..asked };
    let cases = [
        asked("no such service", "/nothing", &[], 404, Some(2001)),
        asked("no such route", "/readers", &[], 404, Some(2001)),
        asked(
            "a deadline that is no number",
            "/read",
            &[("bamboowheel-deadline-ms", "soon")],
            400,
            Some(2009),
        ),
        asked(
            "a deadline that has passed",
            "/read",
            &[("bamboowheel-deadline-ms", "0")],
            504,
            Some(2003),
        ),
        asked(
            "a path of 9,000 bytes",
            &format!("/read/{}", "x".repeat(9_000)),
            &[],
            431,
            Some(2010),
        ),
        post(asked("an order without a key", "/book", &[], 400, Some(2011))),
        post(asked("an empty key", "/book", &[("idempotency-key", "")], 400, Some(2009))),
        asked("a forged mark", "/read", &[("bamboowheel-not-run", "true")], 200, None),
    ];
    for case in cases {
        let sent = request(case.method, &case.path, case.headers, bytes::Bytes::new());
        let answer = client.send(to, sent).await.expect(case.what);
        assert_eq!((answer.status, answer.code()), (case.status, case.code), "{}", case.what);
        assert_eq!(answer.not_run(), case.code.is_some(), "{}: none of these runs", case.what);
    }
    assert!(raw(&mesh, b"\x00\x01\x02 nonsense\r\n\r\n").await.contains("400"));
    let large = format!("GET /read HTTP/1.1\r\nx: {}\r\n\r\n", "y".repeat(80_000));
    assert!(raw(&mesh, large.as_bytes()).await.contains("431"));
    let many: String = (0..200).map(|at| format!("x-{at}: 1\r\n")).collect();
    let said = raw(&mesh, format!("GET /read HTTP/1.1\r\n{many}\r\n").as_bytes()).await;
    assert!(said.contains(" 4"), "{said}");
    // An upload that its caller cuts is no answer, and no whole body for the target.
    let cut = b"POST /read HTTP/1.1\r\nhost: a\r\ncontent-length: 100000\r\n\r\nabc";
    drop(TcpStream::connect(to).await.unwrap().write_all(cut).await);
    cut_in_the_middle(&mesh).await;
    let good = request(Method::GET, "/read", &[("x-echo", "still here")], bytes::Bytes::new());
    let answer = client.send(to, good).await.unwrap();
    assert!(String::from_utf8_lossy(&answer.body).contains("still here"));
    drop(mesh);
    let _ = std::fs::remove_dir_all(&folder);
}
