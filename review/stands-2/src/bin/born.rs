//! A backend that starts again under its id after the time of day was set back, and then drains.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use serde_json::json;
use standin::caller::{TestRequest, send_request};
use standin::target::Target;
use stands_2::{Fleet, Record, Shape, ask, has_trouble, write_config};

/// By how much the time of day goes back, in milliseconds.
const STEP_MS: u64 = 3_300;
/// The time from the backend's first start until the step, and from there to its second start.
const UNTIL_STEP: Duration = Duration::from_millis(1_000);
const UNTIL_RESTART: Duration = Duration::from_millis(1_000);
/// `heartbeatS`, `drainS` and `contactS`.
const HEARTBEAT: Duration = Duration::from_millis(1_500);
const DRAIN: Duration = Duration::from_secs(2);
const CONTACT: Duration = Duration::from_secs(3);
/// How long the backend serves after the acknowledgement: `drainS` and a little longer.
const SERVES: Duration = Duration::from_secs(5);

/// The machine whose backend it is, and its id.
const MACHINE: usize = 0;
const ID: &str = "i-7f3a91c2";

/// What the backend says of itself, as a process of its own.
struct Beats {
    control: SocketAddr,
    address: SocketAddr,
    born: u64,
    sequence: u64,
}

impl Beats {
    async fn send(&mut self, state: &str) -> u16 {
        self.sequence += 1;
        let body = json!({
            "service": "x", "address": self.address.to_string(), "zone": "a", "version": "v1",
            "slots": 8, "state": state, "warmupLeftS": 0, "sequence": self.sequence,
            "born": self.born,
        })
        .to_string();
        let path = format!("/api/rpc?call=instances.heartbeat&of={ID}");
        let request =
            TestRequest { method: "POST", path: &path, body: &body, ..TestRequest::default() };
        send_request(self.control, &request).await.map_or(0, |answer| answer.status)
    }
}

/// The clock of the backend's machine, in milliseconds since 1970.
struct WallClock {
    begun: Instant,
    back_ms: u64,
}

impl WallClock {
    fn now(&self) -> u64 {
        1_790_000_000_000 + self.begun.elapsed().as_millis() as u64 - self.back_ms
    }
}

/// Sends requests to another machine's node for a while, and heartbeats of the backend.
async fn run_for(
    fleet: &mut Fleet,
    time: Duration,
    beats: Option<(&mut Beats, &str)>,
    sent: &mut u32,
) -> Vec<(u32, Instant, u16)> {
    let begun = Instant::now();
    let mut seen = Vec::new();
    let mut next_beat = Duration::ZERO;
    let mut beats = beats;
    while begun.elapsed() < time {
        if begun.elapsed() >= next_beat {
            next_beat += HEARTBEAT;
            if let Some((beats, state)) = &mut beats {
                beats.send(state).await;
            }
            for machine in fleet.machines.iter_mut().skip(1) {
                machine.heartbeat("ready").await;
            }
        }
        let id = format!("r{:06}", *sent);
        let at = Instant::now();
        let request = TestRequest { id: &id, timeout_ms: 1_000, ..TestRequest::default() };
        let answer = ask(fleet.machines[1].outbound(), &request).await;
        seen.push((*sent, at, answer.map_or(0, |answer| answer.status)));
        *sent += 1;
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    seen
}

#[tokio::main]
async fn main() {
    let mut record = Record::create();
    let shape = Shape {
        machines: vec![("a", "x"), ("a", "y"), ("b", "x"), ("b", "y")],
        memory_mb: 260,
        timeout_s: 2.0,
        slots: 8,
    };
    let mut fleet = Fleet::prepare(&shape).await;
    write_config(&fleet.store, 3, 2.0, &[("/safe/", "safe", "x"), ("/once/", "unsafe", "x")]);
    // The backend of the machine starts later than its node.
    let ip: IpAddr = fleet.machines[MACHINE].ip;
    let address = SocketAddr::new(ip, 8_628);
    let spare = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
    fleet.machines[MACHINE].target = Target::bind(spare, "none").await.expect("cannot bind");
    fleet.start_without(MACHINE).await;
    let mut sent = 0;
    let mut clock = WallClock { begun: Instant::now(), back_ms: 0 };
    let control = SocketAddr::new(ip, 8_620);
    let mut beats = Beats { control, address, born: clock.now(), sequence: 0 };
    let first = Target::bind(address, ID).await.expect("cannot bind the backend");
    record.line(&format!("the backend {ID} starts, born {}", beats.born));
    run_for(&mut fleet, UNTIL_STEP, Some((&mut beats, "ready")), &mut sent).await;
    if has_trouble() {
        clock.back_ms = STEP_MS;
        record.line(&format!("the time of day goes back by {STEP_MS} ms"));
    }
    run_for(&mut fleet, UNTIL_RESTART, None, &mut sent).await;
    record.line(&format!("the backend crashes after {} runs", first.runs().len()));
    drop(first);
    tokio::time::sleep(Duration::from_millis(300)).await;
    let second = Target::bind(address, ID).await.expect("cannot bind the backend");
    beats = Beats { control, address, born: clock.now(), sequence: 0 };
    record.line(&format!("it starts again under its id, born {}", beats.born));
    let served = run_for(&mut fleet, 2 * CONTACT, Some((&mut beats, "ready")), &mut sent).await;
    let good = served.iter().filter(|one| one.2 == 200).count();
    record.line(&format!(
        "{} requests, {good} served; {} runs at the backend",
        served.len(),
        second.runs().len()
    ));
    let status = beats.send("draining").await;
    let acknowledged = Instant::now();
    record.line(&format!("it says that it drains; the node answers {status}"));
    let seen = run_for(&mut fleet, SERVES, Some((&mut beats, "draining")), &mut sent).await;
    let late: Vec<_> =
        second.runs().into_iter().filter(|run| run.started > acknowledged + DRAIN).collect();
    for run in &late {
        let after = run.started - acknowledged;
        record.line(&format!("{} reached it {:.3} s after", run.id, after.as_secs_f64()));
    }
    // The backend exits while further requests run, wherever they were sent.
    let last: Vec<_> = (0..6)
        .map(|number| {
            let outbound = fleet.machines[1].outbound();
            tokio::spawn(async move {
                let id = format!("last{number}");
                let request = TestRequest {
                    method: "POST",
                    path: "/once/x",
                    id: &id,
                    timeout_ms: 1_500,
                    behaviour: "work=400",
                    body: "order",
                    ..TestRequest::default()
                };
                (id.clone(), ask(outbound, &request).await.map_or(0, |answer| answer.status))
            })
        })
        .collect();
    tokio::time::sleep(Duration::from_millis(200)).await;
    let begun_there: Vec<String> = second.runs().into_iter().map(|run| run.id).collect();
    drop(second);
    record.line("the backend exits");
    for task in last {
        let (id, status) = task.await.expect("no task panics");
        let there =
            if begun_there.contains(&id) { "the backend that exits" } else { "another one" };
        record.line(&format!("{id} ran at {there}, answered {status}"));
    }
    let lost = seen.iter().filter(|one| one.2 != 200).count();
    let broken = status == 200 && !late.is_empty();
    let text = if broken { "broken" } else { "kept" };
    record.line(&format!(
        "{} requests after the acknowledgement, {lost} not served; {} reached the backend later than \
         drainS; the rule is {text}",
        seen.len(),
        late.len()
    ));
    for machine in &mut fleet.machines {
        machine.kill().await;
    }
    std::process::exit(i32::from(broken));
}
