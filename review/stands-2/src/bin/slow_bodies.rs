//! Callers that send bodies of legal size piece by piece at one of four nodes, and ordinary callers
//! that open connections there meanwhile.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use standin::caller::TestRequest;
use stands_2::{Fleet, Record, Shape, has_trouble, write_config};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// The machine at which the callers are.
const CROWDED: usize = 1;
/// Callers with slow bodies; the node has 457 connections for callers at 160 MB.
const MEMBERS: usize = 480;
/// The length of each body; `maxBodyBytes` is 1,000,000, and the site's
/// longest upload 360,000.
const BODY_BYTES: usize = 72_000;
/// What each sends at once, and the pause after it: 10 kB a second.
const PIECE_BYTES: usize = 3_000;
const PAUSE: Duration = Duration::from_millis(300);
/// How long the callers with bodies wait for an answer: the deadline of the site's uploads.
const TIMEOUT_MS: u64 = 8_000;
/// `timeoutS` of the routes.
const ROUTE_TIMEOUT_S: f64 = 6.0;
/// Ordinary callers, the pause between two connections of each, and how long each waits.
const CALLERS: usize = 10;
const AGAIN: Duration = Duration::from_millis(400);
const PATIENCE: Duration = Duration::from_secs(1);
/// When the ordinary callers begin, and how long they go on.
const FIRST: Duration = Duration::from_millis(1_500);
const LENGTH: Duration = Duration::from_secs(14);
/// `contactS`, and the number of clients that the rule asks for.
const CONTACT: Duration = Duration::from_secs(3);
const CLIENTS: usize = 7;

/// One connection of an ordinary caller.
#[derive(Clone, Copy, Debug)]
struct Try {
    caller: usize,
    at: Duration,
    /// Whether any byte of an answer came.
    taken: bool,
}

/// When a request with a slow body was sent, and when its answer came.
type Upload = (Duration, Option<Duration>);

async fn upload(
    address: SocketAddr,
    number: usize,
    slow: bool,
    begun: Instant,
    uploads: Arc<Mutex<Vec<Upload>>>,
) {
    for round in 0.. {
        let Ok(mut stream) = TcpStream::connect(address).await else { return };
        let body = "x".repeat(BODY_BYTES);
        let id = format!("{number:04x}{round:04x}");
        let request = TestRequest {
            method: "POST",
            path: "/once/x",
            id: &id,
            timeout_ms: TIMEOUT_MS,
            behaviour: "work=20",
            body: &body,
            ..TestRequest::default()
        };
        let bytes = request.bytes();
        let sent = begun.elapsed();
        let piece = if slow { PIECE_BYTES } else { bytes.len() };
        let (mut read, mut write) = stream.split();
        let send = async {
            for piece in bytes.chunks(piece) {
                if write.write_all(piece).await.is_err() {
                    return;
                }
                if slow {
                    tokio::time::sleep(PAUSE).await;
                }
            }
            std::future::pending::<()>().await;
        };
        let mut part = vec![0; 4_096];
        let receive = async {
            matches!(read.read(&mut part).await, Ok(count) if count > 0).then(|| begun.elapsed())
        };
        let answered = tokio::select! {
            () = send => None,
            answered = receive => answered,
        };
        // A connection that was closed at once was never one of the crowd's.
        if answered.is_some() || begun.elapsed() - sent > Duration::from_secs(1) {
            uploads.lock().expect("no task panics").push((sent, answered));
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
}

/// Opens a connection, sends a request at once and waits for the first byte of an answer.
async fn is_taken(address: SocketAddr, id: &str) -> bool {
    let attempt = async {
        let mut stream = TcpStream::connect(address).await.ok()?;
        let request = TestRequest { id, timeout_ms: 1_000, ..TestRequest::default() };
        stream.write_all(&request.bytes()).await.ok()?;
        let mut part = [0; 4_096];
        let count = stream.read(&mut part).await.ok()?;
        (count > 0).then_some(())
    };
    matches!(tokio::time::timeout(PATIENCE, attempt).await, Ok(Some(())))
}

#[tokio::main]
async fn main() {
    let mut record = Record::create();
    let shape = Shape {
        machines: vec![("a", "x"), ("a", "y"), ("b", "x"), ("b", "y")],
        memory_mb: 160,
        timeout_s: ROUTE_TIMEOUT_S,
        slots: 13,
    };
    let mut fleet = Fleet::prepare(&shape).await;
    let routes = [("/safe/", "safe", "x"), ("/once/", "upload", "x")];
    write_config(&fleet.store, 3, ROUTE_TIMEOUT_S, &routes);
    fleet.start().await;
    let slow = has_trouble();
    record.line(&format!("trouble {slow}: {MEMBERS} callers with bodies of {BODY_BYTES} bytes"));
    let address = fleet.machines[CROWDED].outbound();
    let begun = Instant::now();
    let uploads: Arc<Mutex<Vec<Upload>>> = Arc::default();
    let crowd: Vec<_> = (0..MEMBERS)
        .map(|number| tokio::spawn(upload(address, number, slow, begun, uploads.clone())))
        .collect();
    tokio::time::sleep(FIRST).await;
    let tries: Arc<Mutex<Vec<Try>>> = Arc::default();
    for caller in 0..CALLERS {
        let tries = tries.clone();
        tokio::spawn(async move {
            for number in 0.. {
                let at = begun.elapsed();
                let taken = is_taken(address, &format!("plain{caller:02}{number:04}")).await;
                tries.lock().expect("no task panics").push(Try { caller, at, taken });
                tokio::time::sleep(AGAIN).await;
            }
        });
    }
    let mut unready: Vec<Duration> = Vec::new();
    let mut ended = false;
    while begun.elapsed() < FIRST + LENGTH {
        for machine in &mut fleet.machines {
            machine.heartbeat("ready").await;
            ended |= machine.has_ended();
        }
        if !fleet.machines[CROWDED].is_ready().await {
            unready.push(begun.elapsed());
        }
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
    let mut tries = tries.lock().expect("no task panics").clone();
    tries.retain(|one| one.at < FIRST + LENGTH);
    tries.sort_by_key(|one| one.at);
    for one in &tries {
        let Try { caller, at, taken } = one;
        record.line(&format!("caller {caller} at {:.3}: taken {taken}", at.as_secs_f64()));
    }
    let uploads = uploads.lock().expect("no task panics").clone();
    let late = uploads.iter().filter(|(sent, answered)| {
        answered.is_none_or(|answered| {
            answered - *sent > Duration::from_secs_f64(ROUTE_TIMEOUT_S + 0.5)
        })
    });
    record.line(&format!(
        "{} uploads ended, {} later than the route allows",
        uploads.len(),
        late.count()
    ));
    record.line(&format!("not ready at {unready:?}; a process ended: {ended}"));
    // The longest span without a connection that was taken, while enough clients tried.
    let taken: Vec<Duration> = tries.iter().filter(|one| one.taken).map(|one| one.at).collect();
    let edges: Vec<Duration> =
        [FIRST].into_iter().chain(taken.iter().copied()).chain([FIRST + LENGTH]).collect();
    let mut broken = false;
    for span in edges.windows(2) {
        let inside = |at: Duration| span[0] <= at && at < span[1];
        let mut callers: Vec<usize> =
            tries.iter().filter(|one| !one.taken && inside(one.at)).map(|one| one.caller).collect();
        callers.sort_unstable();
        callers.dedup();
        let is_ready = !unready.iter().any(|at| inside(*at));
        if span[1] - span[0] >= CONTACT && callers.len() >= CLIENTS && is_ready {
            broken = true;
            record.line(&format!(
                "from {:.3} to {:.3} no connection of {} clients was taken",
                span[0].as_secs_f64(),
                span[1].as_secs_f64(),
                callers.len()
            ));
        }
    }
    let text = if broken { "broken" } else { "kept" };
    record.line(&format!("{} tries, {} taken; the rule is {text}", tries.len(), taken.len()));
    crowd.iter().for_each(|task| task.abort());
    for machine in &mut fleet.machines {
        machine.kill().await;
    }
    std::process::exit(i32::from(broken));
}
