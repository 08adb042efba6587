//! Callers that send further safe requests before the first one is answered, each with a head of
//! legal size, at two of four nodes. The platform ends a process that exceeds its memory, and starts
//! it again.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use standin::caller::TestRequest;
use stands_2::{Fleet, Record, Shape, ask, has_trouble, write_config};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// `memoryMb` of the machines, counted in MiB, which is the milder reading.
const MEMORY_MB: u64 = 160;
const MEMORY_BYTES: u64 = MEMORY_MB * 1_024 * 1_024;
/// The machines at which the crowd is.
const CROWDED: [usize; 2] = [1, 3];
/// Callers of the crowd at each of them, fewer than the node has connections for.
const MEMBERS: usize = 440;
/// Requests that each sends before the first is answered.
const AHEAD: usize = 16;
/// The length of one header of each; the whole head is within `maxHeaderBytes`, 16,384.
const FILLER_BYTES: usize = 15_000;
/// How long the case runs after the start.
const LENGTH: Duration = Duration::from_secs(20);
/// How often the platform looks at the memory of the processes.
const CHECK: Duration = Duration::from_millis(20);
/// The pause before the platform starts a process again.
const RESTART: Duration = Duration::from_millis(500);
/// The rule counts machines whose processes end so often, two such machines at least.
const ENDS: u32 = 3;

/// What the crowd has seen.
#[derive(Debug, Default)]
struct Seen {
    sent: AtomicU64,
    answers: AtomicU64,
}

/// Sends requests one behind the other, reads the answers until the node closes the connection or
/// nothing comes, and begins anew.
async fn crowd(address: SocketAddr, number: usize, ahead: usize, seen: Arc<Seen>) {
    let filler = format!("x-filler: {}\r\n", "x".repeat(FILLER_BYTES));
    for round in 0.. {
        let Ok(mut stream) = TcpStream::connect(address).await else {
            tokio::time::sleep(Duration::from_millis(200)).await;
            continue;
        };
        let mut bytes = Vec::new();
        for at in 0..ahead {
            let id = format!("{number:04x}{round:04x}{at:02x}");
            bytes.extend(
                TestRequest {
                    id: &id,
                    timeout_ms: 2_000,
                    behaviour: "work=20",
                    headers: &filler,
                    ..TestRequest::default()
                }
                .bytes(),
            );
        }
        let (mut read, mut write) = stream.split();
        let send = async {
            if write.write_all(&bytes).await.is_ok() {
                seen.sent.fetch_add(ahead as u64, Ordering::Relaxed);
            }
            std::future::pending::<()>().await;
        };
        let receive = async {
            let mut part = vec![0; 16_384];
            let mut left = ahead;
            while left > 0 {
                match tokio::time::timeout(Duration::from_secs(7), read.read(&mut part)).await {
                    Ok(Ok(count)) if count > 0 => {
                        let answers = part[..count].windows(9).filter(|part| *part == b"HTTP/1.1 ");
                        let answers = answers.count();
                        seen.answers.fetch_add(answers as u64, Ordering::Relaxed);
                        left = left.saturating_sub(answers);
                    }
                    _ => return,
                }
            }
        };
        tokio::select! {
            () = send => {}
            () = receive => {}
        }
        // Callers come back a moment after their answers or the loss of their connection.
        drop(stream);
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
}

#[tokio::main]
async fn main() {
    let mut record = Record::create();
    let shape = Shape {
        machines: vec![("a", "x"), ("a", "y"), ("b", "x"), ("b", "y")],
        memory_mb: MEMORY_MB,
        timeout_s: 2.0,
        slots: 13,
    };
    let mut fleet = Fleet::prepare(&shape).await;
    write_config(&fleet.store, 3, 2.0, &[("/safe/", "safe", "x"), ("/once/", "unsafe", "x")]);
    fleet.start().await;
    let trouble = has_trouble();
    record.line(&format!("trouble {trouble}, {MEMORY_BYTES} bytes of memory for each node"));
    let seen: Arc<Seen> = Arc::default();
    // Without the disruption the same callers send the same requests one at a time.
    let ahead = if trouble { AHEAD } else { 1 };
    for machine in CROWDED {
        let address = fleet.machines[machine].outbound();
        for member in 0..MEMBERS {
            tokio::spawn(crowd(address, machine * 1_000 + member, ahead, seen.clone()));
        }
    }
    let begun = Instant::now();
    let mut ends = vec![0; fleet.machines.len()];
    let mut down: Vec<Option<Instant>> = vec![None; fleet.machines.len()];
    let (mut asked, mut served, mut next_ask) = (0, 0, Duration::ZERO);
    let mut failed = Vec::new();
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
        // An ordinary caller at a crowded machine, and the backends' heartbeats.
        if begun.elapsed() >= next_ask {
            next_ask += Duration::from_secs(1);
            for machine in &mut fleet.machines {
                machine.heartbeat("ready").await;
            }
            let id = format!("plain{asked}");
            let request = TestRequest { id: &id, timeout_ms: 500, ..TestRequest::default() };
            let address = fleet.machines[CROWDED[0]].outbound();
            let answer = tokio::time::timeout(Duration::from_millis(600), ask(address, &request));
            let status = answer.await.ok().flatten().map_or(0, |answer| answer.status);
            asked += 1;
            served += u32::from(status == 200);
            if status != 200 {
                failed.push(status);
            }
        }
        tokio::time::sleep(CHECK).await;
    }
    for machine in &fleet.machines {
        let (now, peak) = machine.memory();
        record.line(&format!("{}: {now} bytes at the end, peak {peak}", machine.name));
    }
    record.line(&format!(
        "the crowd sent {} requests and got {} answers",
        seen.sent.load(Ordering::Relaxed),
        seen.answers.load(Ordering::Relaxed)
    ));
    record.line(&format!("ordinary requests: {asked} sent, {served} served, others {failed:?}"));
    let counted = ends.iter().filter(|ends| **ends >= ENDS).count();
    let broken = counted >= 2;
    record.line(&format!("ends by machine {ends:?}; the rule is {}", broken_text(broken)));
    for machine in &mut fleet.machines {
        machine.kill().await;
    }
    std::process::exit(i32::from(broken));
}

fn broken_text(broken: bool) -> &'static str {
    if broken { "broken" } else { "kept" }
}
