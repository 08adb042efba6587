//! Crowds of callers that nobody controls: no process ends, each stays within the memory and the
//! descriptors of its settings, and an ordinary request is answered while the crowd is there.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use standin::caller::{Caller, TestRequest};
use standin::deployment::{Deployment, eventually};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{Mutex, MutexGuard};

const NODE: &str = env!("CARGO_BIN_EXE_bamboowheel-sidecar");

/// The memory of a node in its settings, in MB. The platform ends a process that uses more.
const MEMORY_MB: u64 = 96;
/// The descriptors of a node in its settings.
const MAX_FDS: u64 = 512;
/// The longest body of the configuration.
const MAX_BODY: usize = 16_000_000;
/// How long a member of a crowd waits for the node to read on.
const STUCK: Duration = Duration::from_secs(2);
/// How long an ordinary caller tries again, as it is told to.
const PATIENCE: Duration = Duration::from_secs(60);

/// Held by the test that runs, so that one crowd at a time is on the machine.
static TURN: Mutex<()> = Mutex::const_new(());

/// What one member of a crowd sends.
struct Script {
    head: String,
    /// Sent `blocks` times after the head.
    block: Vec<u8>,
    blocks: usize,
    /// Sent after the blocks by each member whose number `every` divides. The others stop short of
    /// their end.
    end: &'static [u8],
    every: usize,
    /// The pause after each block.
    pause: Duration,
}

impl Script {
    /// Returns a POST request without a body.
    fn post(fields: &str) -> Script {
        Script {
            head: format!(
                "POST /once/x HTTP/1.1\r\nhost: test.example\r\nx-attempt-id: crowd\r\n\
                 x-timeout-ms: 60000\r\ntest-do: work=1000\r\n{fields}\r\n"
            ),
            block: Vec::new(),
            blocks: 0,
            end: b"",
            every: 4,
            pause: Duration::ZERO,
        }
    }

    /// Returns a request of a target's answer with a body of `bytes`.
    fn get(bytes: usize) -> Script {
        let behaviour = format!("size={bytes}");
        let request = TestRequest {
            id: "crowd",
            behaviour: &behaviour,
            timeout_ms: 60_000,
            ..TestRequest::default()
        };
        let head = String::from_utf8(request.bytes()).expect("a request is text");
        Script { head, ..Script::post("") }
    }

    /// Returns a request with a body in chunks of `bytes` each.
    fn chunked(bytes: usize, repeat: usize, blocks: usize) -> Script {
        let chunk = format!("{bytes:x}\r\n{}\r\n", "x".repeat(bytes));
        Script {
            block: chunk.repeat(repeat).into_bytes(),
            blocks,
            end: b"0\r\n\r\n",
            ..Script::post("transfer-encoding: chunked\r\n")
        }
    }
}

/// Sends a script until it ends, the node closes the connection, or it reads no further. Returns
/// the connection, which stays open.
async fn send(address: SocketAddr, script: &Script, ends: bool) -> Option<TcpStream> {
    let mut stream = TcpStream::connect(address).await.ok()?;
    let blocks = std::iter::repeat_n(script.block.as_slice(), script.blocks);
    let end = ends.then_some(script.end);
    for block in std::iter::once(script.head.as_bytes()).chain(blocks).chain(end) {
        match tokio::time::timeout(STUCK, stream.write_all(block)).await {
            Ok(Ok(())) => tokio::time::sleep(script.pause).await,
            Ok(Err(_)) | Err(_) => break,
        }
    }
    Some(stream)
}

/// Nodes with lowered limits, the first beside the target of all requests.
async fn start(nodes: usize) -> (MutexGuard<'static, ()>, Deployment) {
    let turn = TURN.lock().await;
    let vms: Vec<_> = (0..nodes).map(|at| ("dc-1", if at == 0 { "a" } else { "b" })).collect();
    let mut deployment = Deployment::prepare(NODE, &vms).await;
    deployment.timeout_s = 60.0;
    deployment.max_body = MAX_BODY as u64;
    for vm in &deployment.vms {
        vm.set_limits(MEMORY_MB, MAX_FDS);
    }
    deployment.start_nodes().await;
    (turn, deployment)
}

/// Sends a script from many callers at once, and checks the nodes while their connections are open.
async fn face(members: usize, script: Script) {
    face_all(2, members, script).await;
}

/// Does the same with `members` callers at each node but the first.
async fn face_all(nodes: usize, members: usize, script: Script) {
    let (_turn, mut deployment) = start(nodes).await;
    let addresses: Vec<_> = deployment.vms[1..].iter().map(|vm| vm.caller_address()).collect();
    let callers = addresses.iter().flat_map(|address| (0..members).map(move |at| (address, at)));
    let sent = callers.map(|(address, at)| send(*address, &script, at % script.every == 0));
    let streams = futures_util::future::join_all(sent).await;
    settle(&deployment).await;
    check(&mut deployment).await;
    drop(streams);
}

/// Waits until the nodes have handled what was sent and are as idle as without callers.
async fn settle(deployment: &Deployment) {
    let settled = eventually(PATIENCE, async || {
        let before: Vec<_> = deployment.vms.iter().map(|vm| vm.processor_time()).collect();
        tokio::time::sleep(Duration::from_millis(500)).await;
        let used = deployment.vms.iter().zip(before);
        used.map(|(vm, before)| vm.processor_time() - before)
            .all(|used| used < Duration::from_millis(100))
    });
    println!("settled {}: {}", settled.await, seen(deployment));
}

/// Checks that the nodes run within their limits and that ordinary requests are answered.
async fn check(deployment: &mut Deployment) {
    for (id, body) in [("plain", ""), ("with-body", "an ordinary body")] {
        let method = if body.is_empty() { "GET" } else { "POST" };
        let path = if body.is_empty() { "/safe/x" } else { "/once/x" };
        let request =
            TestRequest { method, path, id, body, timeout_ms: 9_000, ..Default::default() };
        let begun = Instant::now();
        let answered = eventually(PATIENCE, async || {
            let answer = deployment.send_request(1, &request).await;
            answer.is_some_and(|answer| answer.status == 200)
        });
        let answered = answered.await;
        println!("{id}: answered {answered} after {:?}", begun.elapsed());
        assert!(answered, "{id}: no answer; {}", seen(deployment));
    }
    println!("{}", seen(deployment));
    for vm in &mut deployment.vms {
        let (memory, files) = (vm.peak_memory(), vm.open_files());
        assert_eq!(vm.exit_status(), None, "{} has ended: {}", vm.name, vm.errors());
        assert!(memory < MEMORY_MB * 1_000_000, "{}: {memory} bytes", vm.name);
        assert!(files < MAX_FDS as usize, "{}: {files} descriptors", vm.name);
    }
}

fn seen(deployment: &Deployment) -> String {
    let seen = |vm: &standin::deployment::Vm| {
        format!("{}: {} kB, {} descriptors", vm.name, vm.peak_memory() / 1_000, vm.open_files())
    };
    deployment.vms.iter().map(seen).collect::<Vec<_>>().join("; ")
}

#[tokio::test]
async fn large_bodies_at_once() {
    let head = Script::post(&format!("content-length: {MAX_BODY}\r\n"));
    face(16, Script { block: vec![b'x'; MAX_BODY - 1], blocks: 1, end: b"x", ..head }).await;
}

#[tokio::test]
async fn large_bodies_piece_by_piece() {
    const PIECE: usize = 20_000;
    let head = Script::post(&format!("content-length: {MAX_BODY}\r\n"));
    let (blocks, pause) = (MAX_BODY / PIECE - 1, Duration::from_millis(1));
    let block = vec![b'x'; PIECE];
    face(16, Script { block, blocks, end: &[b'x'; PIECE], pause, ..head }).await;
}

#[tokio::test]
async fn large_chunks() {
    face(16, Script::chunked(250_000, 1, 63)).await;
}

#[tokio::test]
async fn very_small_chunks() {
    face(16, Script::chunked(1, 10_000, 100)).await;
}

#[tokio::test]
async fn bodies_over_the_limit_announced() {
    let head = Script::post(&format!("content-length: {}\r\n", 10 * MAX_BODY));
    face(16, Script { block: vec![b'x'; 1_000_000], blocks: 159, end: b"", ..head }).await;
}

#[tokio::test]
async fn bodies_over_the_limit_just_sent() {
    face(16, Script::chunked(1_000_000, 1, 160)).await;
}

#[tokio::test]
async fn large_bodies_of_many_entries_at_one_guard() {
    let head = Script::post(&format!("content-length: {MAX_BODY}\r\n"));
    let block = vec![b'x'; MAX_BODY - 1];
    face_all(4, 6, Script { block, blocks: 1, end: b"x", every: 1, ..head }).await;
}

#[tokio::test]
async fn heads_that_never_end() {
    let head = "GET /safe/x HTTP/1.1\r\nhost: test.example\r\n".to_owned();
    let block = format!("x-filler: {}\r\n", "x".repeat(150)).into_bytes();
    face(1_500, Script { head, block, blocks: 90, end: b"x", ..Script::post("") }).await;
}

#[tokio::test]
async fn idle_connections() {
    face(800, Script::get(10)).await;
}

#[tokio::test]
async fn callers_that_do_not_read_their_answers() {
    let first = Script::get(1_000_000);
    let block = first.head.clone().into_bytes();
    face(20, Script { block, blocks: 15, pause: Duration::from_millis(500), ..first }).await;
}

#[tokio::test]
async fn a_single_body_of_the_longest_length_is_served_on_the_smallest_vm() {
    const SMALLEST_MB: u64 = 160;
    const LONGEST: usize = 64 * 1024 * 1024;
    let _turn = TURN.lock().await;
    for (fields, prefix, end) in [
        (format!("content-length: {LONGEST}\r\n"), String::new(), ""),
        ("transfer-encoding: chunked\r\n".to_owned(), format!("{LONGEST:x}\r\n"), "\r\n0\r\n\r\n"),
    ] {
        let mut deployment = Deployment::prepare(NODE, &[("dc-1", "a"), ("dc-1", "b")]).await;
        deployment.timeout_s = 60.0;
        deployment.max_body = LONGEST as u64;
        for vm in &deployment.vms {
            vm.set_limits(SMALLEST_MB, MAX_FDS);
        }
        deployment.start_nodes().await;
        for at in [0, 1] {
            let address = deployment.vms[at].caller_address();
            let mut caller = Caller::connect(address).await.expect("cannot connect");
            let head = Script::post(&fields).head;
            let body = "x".repeat(LONGEST);
            let request = [head.as_str(), &prefix, &body, end].concat();
            caller.send(request.as_bytes()).await.expect("cannot send");
            let answer = caller.receive().await.map(|answer| answer.status);
            println!("{fields:?} at {at}: {answer:?}; {}", seen(&deployment));
            assert_eq!(answer, Some(200), "{fields:?} at {at}");
        }
        for vm in &deployment.vms {
            let memory = vm.peak_memory();
            assert!(memory < SMALLEST_MB * 1_000_000, "{}: {memory} bytes", vm.name);
        }
    }
}

// Guards against a refusal that takes back what it promises: a body that is refused has not run.
#[tokio::test]
async fn a_body_over_the_limit_is_refused_before_it_is_read_and_the_connection_closed() {
    let (_turn, deployment) = start(2).await;
    let mut stream =
        TcpStream::connect(deployment.vms[1].caller_address()).await.expect("cannot connect");
    let head = Script::post(&format!("content-length: {}\r\n", MAX_BODY + 1)).head;
    stream.write_all(head.as_bytes()).await.expect("cannot send");
    let mut answer = String::new();
    let read = tokio::time::timeout(PATIENCE, stream.read_to_string(&mut answer)).await;
    assert!(read.is_ok(), "the connection stays open after {answer:?}");
    assert!(answer.starts_with("HTTP/1.1 413 "), "{answer:?}");
    assert_eq!(deployment.run_count("crowd"), 0);
}

// Guards against bodies that never end and hold the memory for ever: they are ended with 408 once
// another needs their room, and who is refused before is told so truly.
#[tokio::test]
async fn bodies_that_do_not_move_make_room() {
    let (_turn, deployment) = start(2).await;
    let address = deployment.vms[1].caller_address();
    let head = Script::post(&format!("content-length: {MAX_BODY}\r\n"));
    let script = Script { block: vec![b'x'; MAX_BODY - 1], blocks: 1, end: b"x", ..head };
    let sent = (0..3).map(|_| send(address, &script, false));
    let stalled = futures_util::future::join_all(sent).await;
    let body = "x".repeat(MAX_BODY);
    let request = TestRequest { method: "POST", path: "/once/x", id: "next", ..Default::default() };
    let request = TestRequest { body: &body, timeout_ms: 9_000, ..request };
    let served = eventually(PATIENCE, async || {
        let Some(answer) = deployment.send_request(1, &request).await else { return false };
        if answer.status == 503 {
            assert!(answer.body.contains("2024") && answer.header("retry-after").is_some());
            assert_eq!(deployment.run_count("next"), 0);
        }
        answer.status == 200
    });
    assert!(served.await, "no answer; {}", seen(&deployment));
    assert_eq!((deployment.run_count("next"), deployment.run_count("crowd")), (1, 0));
    let mut ended = 0;
    for mut stream in stalled.into_iter().flatten() {
        let mut answer = String::new();
        let read = tokio::time::timeout(STUCK, stream.read_to_string(&mut answer)).await;
        ended += usize::from(read.is_ok() && answer.starts_with("HTTP/1.1 408 "));
    }
    assert!(ended > 0, "no stalled body was ended");
}
