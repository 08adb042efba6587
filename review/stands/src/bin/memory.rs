//! Large uploads through nodes whose memory is limited, as many as usual and in a burst. The
//! platform kills a process that exceeds its memory and starts it again.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use stands::client::{Call, Connection, Done, End};
use stands::node::{Deployment, MEMORY_MB, Route};
use stands::record::{BROKEN, CANNOT_RUN, HELD, Record, trouble};

/// The size of an upload, below `maxBodyBytes`.
const UPLOAD_BYTES: usize = 58 << 20;
/// Clients on each machine that takes uploads, as usual and in a burst of 1.7 times as many, rounded
/// down.
const USUAL: usize = 2;
const BURST: usize = 3;
/// How long a burst lasts.
const BURST_TIME: Duration = Duration::from_secs(3);
/// How long traffic goes on before and after each burst.
const CALM: Duration = Duration::from_secs(5);
/// Bursts.
const BURSTS: usize = 6;
/// How long a killed process is away.
const RESTART: Duration = Duration::from_millis(500);
/// Machines with clients; the others have the backends of the uploads.
const ENTRIES: usize = 2;
/// Requests of kept connections that a machine may lose.
const ALLOWED: usize = 3;

#[tokio::main]
async fn main() {
    let file = std::env::args().nth(1).map_or_else(|| PathBuf::from("record.txt"), PathBuf::from);
    let code = match Record::create(&file) {
        Ok(record) => run(record).await,
        Err(_) => CANNOT_RUN,
    };
    std::process::exit(code);
}

async fn run(record: Record) -> i32 {
    let machines = [
        ("suva-cbd", "menus"),
        ("walu-bay", "menus"),
        ("suva-cbd", "files"),
        ("suva-cbd", "files"),
        ("suva-cbd", "files"),
        ("walu-bay", "files"),
        ("walu-bay", "files"),
        ("walu-bay", "files"),
    ];
    let Ok(mut deployment) = Deployment::prepare(record.clone(), &machines).await else {
        return CANNOT_RUN;
    };
    let routes = [Route {
        prefix: "/file/",
        service: "files",
        kind: "upload",
        timeout_s: 8.0,
        aim_s: 1.2,
        priority: 1,
    }];
    if let Err(error) = deployment.start(7, &routes, 38.0).await {
        record.say(error);
        return CANNOT_RUN;
    }
    let code = play(&mut deployment, &record).await;
    deployment.stop().await;
    code
}

/// An upload on a connection that had carried a request before.
struct Upload {
    machine: usize,
    id: String,
    done: Done,
}

type Uploads = Arc<Mutex<Vec<Upload>>>;

/// Uploads again and again until `ended`, each time with a small request first on the connection.
async fn upload(
    (machine, client): (usize, usize),
    address: SocketAddr,
    body: Arc<Vec<u8>>,
    ended: Arc<AtomicBool>,
    uploads: Uploads,
    record: Record,
) {
    let mut number = 0;
    while !ended.load(Ordering::SeqCst) {
        let Some(mut connection) = Connection::open(address).await else {
            tokio::time::sleep(Duration::from_millis(100)).await;
            continue;
        };
        let first = format!("small-{machine}-{client}-{number}");
        let call = |id, body| Call {
            method: "POST",
            path: "/file/x",
            id,
            timeout_ms: 8_000,
            headers: "X-Work-Ms: 350\r\n",
            body,
        };
        let small = connection.send(&call(&first, &body[..2_000])).await.end;
        if small.status() == 200 {
            let id = format!("upload-{machine}-{client}-{number}");
            record.line(format!("client sends {id}"));
            let done = connection.send(&call(&id, &body)).await;
            record.line(format!("client gets {} for {id}", done.end.text()));
            let upload = Upload { machine, id, done };
            uploads.lock().unwrap_or_else(PoisonError::into_inner).push(upload);
        } else {
            let wait = small.retry_after().max(Duration::from_millis(100));
            tokio::time::sleep(wait).await;
        }
        number += 1;
    }
}

async fn play(deployment: &mut Deployment, record: &Record) -> i32 {
    let body = Arc::new(vec![b'x'; UPLOAD_BYTES]);
    let uploads: Uploads = Arc::default();
    let all_ended = Arc::new(AtomicBool::new(false));
    let burst_ended = Arc::new(AtomicBool::new(false));
    let addresses: Vec<SocketAddr> =
        deployment.machines[..ENTRIES].iter().map(|machine| machine.outbound()).collect();
    let start = |clients: std::ops::Range<usize>, ended: &Arc<AtomicBool>| {
        for (machine, address) in addresses.iter().enumerate() {
            for client in clients.clone() {
                tokio::spawn(upload(
                    (machine, client),
                    *address,
                    body.clone(),
                    ended.clone(),
                    uploads.clone(),
                    record.clone(),
                ));
            }
        }
    };
    start(0..USUAL, &all_ended);
    let limit = MEMORY_MB << 20;
    let mut peak = vec![0; deployment.machines.len()];
    let mut ends = vec![0; deployment.machines.len()];
    let mut away: Vec<Option<Instant>> = vec![None; deployment.machines.len()];
    let mut in_burst = false;
    let begun = Instant::now();
    let period = CALM + BURST_TIME;
    while begun.elapsed() < period * BURSTS as u32 + CALM {
        let into = begun.elapsed().as_secs_f64() % period.as_secs_f64();
        let is_due = into >= CALM.as_secs_f64() && begun.elapsed() < period * BURSTS as u32;
        if is_due != in_burst {
            in_burst = is_due;
            burst_ended.store(!is_due, Ordering::SeqCst);
            if is_due && trouble() {
                record.say("many users come at once");
                start(USUAL..BURST, &burst_ended);
            }
        }
        for (at, machine) in deployment.machines.iter_mut().enumerate() {
            match away[at] {
                Some(since) if since.elapsed() >= RESTART => {
                    away[at] = None;
                    if machine.start().is_err() {
                        return CANNOT_RUN;
                    }
                }
                Some(_) => {}
                None => {
                    let resident = machine.resident();
                    peak[at] = peak[at].max(resident >> 20);
                    if resident > limit {
                        record.say(format!(
                            "{} has {} MB, over its {MEMORY_MB}: killed",
                            machine.name,
                            resident >> 20
                        ));
                        machine.kill().await;
                        ends[at] += 1;
                        away[at] = Some(Instant::now());
                    }
                }
            }
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    all_ended.store(true, Ordering::SeqCst);
    tokio::time::sleep(Duration::from_secs(2)).await;
    let arrived: Vec<String> = deployment
        .machines
        .iter()
        .flat_map(|machine| machine.backend.arrivals())
        .map(|arrival| arrival.id)
        .collect();
    let uploads = uploads.lock().unwrap_or_else(PoisonError::into_inner);
    let is_lost =
        |upload: &&Upload| matches!(upload.done.end, End::Closed) && arrived.contains(&upload.id);
    let lost: Vec<usize> = (0..ENTRIES)
        .map(|at| uploads.iter().filter(|upload| upload.machine == at).filter(is_lost).count())
        .collect();
    let good = uploads.iter().filter(|upload| upload.done.end.status() == 200).count();
    let cut = uploads.iter().filter(|upload| upload.done.end.status() == 0).count();
    record.say(format!("peak memory in MB {peak:?}; ends over the memory {ends:?}"));
    record.say(format!(
        "{} uploads, {good} answered, {cut} without an answer; passed on to a backend and then \
         closed without an answer, for each machine: {lost:?}, {ALLOWED} are allowed",
        uploads.len()
    ));
    if good == 0 {
        return CANNOT_RUN;
    }
    if lost.iter().any(|lost| *lost > ALLOWED) { BROKEN } else { HELD }
}
