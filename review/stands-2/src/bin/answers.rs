//! Callers that ask for large answers at once, one each, at two of 20 nodes. The platform ends a
//! process that exceeds its memory, and starts it again.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use standin::caller::TestRequest;
use stands_2::{Fleet, Record, Shape, has_trouble, write_config};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// `memoryMb` of the machines, counted in MiB, which is the milder reading.
const MEMORY_MB: u64 = 160;
const MEMORY_BYTES: u64 = MEMORY_MB * 1_024 * 1_024;
/// The machines, the first two of which have the callers and a backend of another service.
const MACHINES: usize = 24;
const CROWDED: usize = 2;
/// Callers at each of them, fewer than the node has connections for.
const MEMBERS: usize = 440;
/// The length of an answer: the longest of the site's downloads, or a small one.
const LARGE_BYTES: usize = 540_000;
const SMALL_BYTES: usize = 5_400;
/// The time from one moment at which all callers come to the next.
const ROUND: Duration = Duration::from_secs(6);
/// How long the case runs after the start.
const LENGTH: Duration = Duration::from_secs(40);
/// How often the platform looks at the memory of the processes.
const CHECK: Duration = Duration::from_millis(20);
/// The pause before the platform starts a process again.
const RESTART: Duration = Duration::from_millis(500);
/// The rule counts machines whose processes end so often, two such machines at least.
const ENDS: u32 = 3;

/// Asks for an answer and reads it, in each round.
async fn download(
    address: SocketAddr,
    number: usize,
    bytes: usize,
    begun: Instant,
    served: Arc<AtomicU64>,
) {
    for round in 0u32.. {
        let next = begun + round * ROUND;
        tokio::time::sleep(next.saturating_duration_since(Instant::now())).await;
        if let Ok(mut stream) = TcpStream::connect(address).await {
            let id = format!("{number:04x}{round:04x}");
            let behaviour = format!("work=20 size={bytes}");
            let request = TestRequest {
                id: &id,
                timeout_ms: 6_000,
                behaviour: &behaviour,
                ..TestRequest::default()
            };
            if stream.write_all(&request.bytes()).await.is_ok() {
                let mut part = vec![0; 16_384];
                let mut got = 0;
                // The whole answer, or the end of the connection.
                while got < bytes {
                    match tokio::time::timeout(Duration::from_secs(7), stream.read(&mut part)).await
                    {
                        Ok(Ok(count)) if count > 0 => {
                            got += count;
                            if got < 4_096 && part[..count].starts_with(b"HTTP/1.1 50") {
                                break;
                            }
                        }
                        _ => break,
                    }
                }
                served.fetch_add(u64::from(got >= bytes), Ordering::Relaxed);
            }
        }
    }
}

#[tokio::main]
async fn main() {
    let mut record = Record::create();
    let zones = ["a", "b", "c"];
    let machines = (0..MACHINES)
        .map(|at| (zones[at % 3], if at < CROWDED { "enrol" } else { "desk" }))
        .collect();
    let shape = Shape { machines, memory_mb: MEMORY_MB, timeout_s: 6.0, slots: 9 };
    let mut fleet = Fleet::prepare(&shape).await;
    let routes = [("/safe/", "download", "desk"), ("/once/", "unsafe", "enrol")];
    write_config(&fleet.store, 3, 6.0, &routes);
    fleet.start().await;
    let trouble = has_trouble();
    let bytes = if trouble { LARGE_BYTES } else { SMALL_BYTES };
    record.line(&format!("trouble {trouble}: {MEMBERS} callers at each of {CROWDED} machines"));
    record.line(&format!("answers of {bytes} bytes, {MEMORY_BYTES} bytes of memory"));
    let served: Arc<AtomicU64> = Arc::default();
    let begun = Instant::now();
    for machine in 0..CROWDED {
        let address = fleet.machines[machine].outbound();
        for member in 0..MEMBERS {
            tokio::spawn(download(address, machine * 1_000 + member, bytes, begun, served.clone()));
        }
    }
    let mut ends = vec![0; MACHINES];
    let mut peaks = vec![0; MACHINES];
    let mut down: Vec<Option<Instant>> = vec![None; MACHINES];
    let mut next_beat = Duration::ZERO;
    while begun.elapsed() < LENGTH {
        for (at, machine) in fleet.machines.iter_mut().enumerate() {
            match down[at] {
                Some(since) if since.elapsed() >= RESTART => {
                    machine.start();
                    down[at] = None;
                }
                Some(_) => {}
                None => {
                    let (memory, _) = machine.memory();
                    peaks[at] = memory.max(peaks[at]);
                    let has_ended = machine.has_ended();
                    if memory <= MEMORY_BYTES && !has_ended {
                        continue;
                    }
                    ends[at] += 1;
                    record.line(&format!(
                        "{}: {memory} bytes, ended by {}; that makes {}",
                        machine.name,
                        if has_ended { "itself" } else { "the platform" },
                        ends[at]
                    ));
                    machine.kill().await;
                    down[at] = Some(Instant::now());
                }
            }
        }
        if begun.elapsed() >= next_beat {
            next_beat += Duration::from_millis(1_500);
            for machine in &mut fleet.machines {
                machine.heartbeat("ready").await;
            }
        }
        tokio::time::sleep(CHECK).await;
    }
    record.line(&format!("{} answers were read whole", served.load(Ordering::Relaxed)));
    record.line(&format!("most memory seen by machine, in bytes: {peaks:?}"));
    let counted = ends.iter().filter(|ends| **ends >= ENDS).count();
    // A tenth of 20 machines are two.
    let broken = counted >= 2;
    let text = if broken { "broken" } else { "kept" };
    record.line(&format!("ends by machine {ends:?}; the rule is {text}"));
    for machine in &mut fleet.machines {
        machine.kill().await;
    }
    std::process::exit(i32::from(broken));
}
