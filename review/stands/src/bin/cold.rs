//! Backends that are cold: `restart`, the node in front of one is killed and started again;
//! `again`, a warm one becomes cold again.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use stands::backend::Fate;
use stands::client::{Call, send};
use stands::node::{Deployment, Route};
use stands::record::{BROKEN, CANNOT_RUN, HELD, Record, trouble};

/// `warmupOverage` and `warmupSlack`.
const OVERAGE: f64 = 1.5;
const SLACK: f64 = 5.0;
/// How long a killed process is away.
const RESTART: Duration = Duration::from_millis(500);
/// How often a client tries again after a refusal, as on the site.
const RETRIES: u32 = 2;
/// The deadline of an order.
const DEADLINE: Duration = Duration::from_millis(1_500);
/// `warmupS`.
const WARMUP: Duration = Duration::from_secs(3);

/// What differs between the cases.
#[derive(Clone, Copy, Debug)]
struct Case {
    /// Whether the node in front of the cold backend is killed; otherwise a warm one becomes cold.
    restart: bool,
    /// `warmupPerS`.
    cold_per_s: f64,
    /// Requests a second of the clients.
    rate: u64,
}

impl Case {
    /// Returns how many requests the backend may get in one second while it is cold.
    fn bound(self) -> usize {
        (self.cold_per_s * OVERAGE + SLACK) as usize
    }

    /// Returns the requests in one second at which the cold backend crashes: well above the bound.
    fn crash(self) -> usize {
        self.bound() * 5 / 4
    }
}

#[tokio::main]
async fn main() {
    let mut arguments = std::env::args().skip(1);
    let case = match arguments.next().as_deref() {
        Some("restart") => Case { restart: true, cold_per_s: 38.0, rate: 190 },
        Some("again") => Case { restart: false, cold_per_s: 38.0, rate: 100 },
        _ => std::process::exit(CANNOT_RUN),
    };
    let file = arguments.next().map_or_else(|| PathBuf::from("record.txt"), PathBuf::from);
    let code = match Record::create(&file) {
        Ok(record) => run(record, case).await,
        Err(_) => CANNOT_RUN,
    };
    std::process::exit(code);
}

async fn run(record: Record, case: Case) -> i32 {
    let machines = [
        ("suva-cbd", "menus"),
        ("walu-bay", "menus"),
        ("suva-cbd", "orders"),
        ("samabula", "menus"),
    ];
    let Ok(mut deployment) = Deployment::prepare(record.clone(), &machines).await else {
        return CANNOT_RUN;
    };
    let routes = [Route {
        prefix: "/order/",
        service: "orders",
        kind: "unsafe",
        timeout_s: 1.5,
        aim_s: 0.25,
        priority: 1,
    }];
    if let Err(error) = deployment.start(7, &routes, case.cold_per_s).await {
        record.say(error);
        return CANNOT_RUN;
    }
    let code = play(&mut deployment, &record, case).await;
    deployment.stop().await;
    code
}

async fn play(deployment: &mut Deployment, record: &Record, case: Case) -> i32 {
    let addresses: Vec<SocketAddr> =
        [0, 1, 3].iter().map(|at| deployment.machines[*at].outbound()).collect();
    let clients = tokio::spawn(order(addresses, case.rate, record.clone()));
    tokio::time::sleep(Duration::from_secs(4)).await;
    let cold;
    if case.restart {
        // The backend starts again during traffic, cold, and tells its node.
        deployment.machines[2].backend.crash();
        loop {
            tokio::time::sleep(Duration::from_millis(20)).await;
            let arrivals = deployment.machines[2].backend.arrivals();
            let crashed = deployment.machines[2].backend.crashes()[..].first().copied();
            if crashed.is_some_and(|at| arrivals.iter().any(|arrival| arrival.at > at)) {
                break;
            }
        }
        cold = deployment.machines[2].backend.cold_time();
        deployment.machines[2].backend.set_cold_crash(case.crash());
        tokio::time::sleep(Duration::from_millis(250)).await;
        if trouble() {
            record.say("SIGKILL to the node beside the cold backend");
            deployment.machines[2].kill().await;
            tokio::time::sleep(RESTART).await;
            if deployment.machines[2].start().is_err() {
                return CANNOT_RUN;
            }
            record.say("the node is started again");
        }
    } else {
        deployment.machines[2].backend.set_cold_crash(case.crash());
        // Right after a heartbeat, so that the next one comes `heartbeatS` later.
        deployment.machines[2].backend.beat();
        tokio::time::sleep(Duration::from_millis(50)).await;
        if trouble() {
            record.say("the backend becomes cold");
            deployment.machines[2].backend.set_cold(WARMUP);
        }
        cold = deployment.machines[2].backend.cold_time();
    }
    tokio::time::sleep(WARMUP).await;
    clients.abort();
    let Some((cold_from, cold_until)) = cold else {
        record.say("the backend was not cold");
        return HELD;
    };
    let bound = case.bound();
    let backend = &deployment.machines[2].backend;
    let times: Vec<Instant> = backend
        .arrivals()
        .iter()
        .filter(|arrival| arrival.fate != Fate::Misdirected)
        .map(|arrival| arrival.at)
        .filter(|at| *at >= cold_from && *at < cold_until)
        .collect();
    let most = (0..times.len())
        .map(|at| {
            times[at..]
                .iter()
                .take_while(|time| **time < times[at] + Duration::from_secs(1))
                .count()
        })
        .max()
        .unwrap_or_default();
    if let Some(told) = backend.told_cold() {
        let after =
            times.iter().filter(|at| **at > told && **at < told + Duration::from_secs(1)).count();
        record.say(format!(
            "a health answer told it {:.3} s after the start; {after} requests in the second after that",
            (told - cold_from).as_secs_f64()
        ));
    }
    let crashes = backend.crashes().iter().filter(|at| **at > cold_from).count();
    let crashed = backend
        .arrivals()
        .iter()
        .filter(|arrival| arrival.fate == Fate::Crashed && arrival.at > cold_from)
        .count();
    record.say(format!(
        "at most {most} requests in a second, {bound} are allowed; {crashes} crashes, in which {crashed} orders were lost"
    ));
    if times.is_empty() {
        return CANNOT_RUN;
    }
    if most > bound { BROKEN } else { HELD }
}

/// Sends orders at the machines in turn, at random intervals. A client that is refused tries again
/// as it is told, within its deadline.
async fn order(addresses: Vec<SocketAddr>, rate: u64, record: Record) {
    let mut next = tokio::time::Instant::now();
    for number in 0.. {
        let draw: f64 = rand::random();
        next += Duration::from_secs_f64(-(1.0 - draw).ln() / rate as f64);
        tokio::time::sleep_until(next).await;
        let (address, record) = (addresses[number % addresses.len()], record.clone());
        tokio::spawn(async move {
            let until = Instant::now() + DEADLINE;
            for attempt in 0..=RETRIES {
                let id = format!("order-{number}-{attempt}");
                let path = format!("/order/{number}");
                let left = until.saturating_duration_since(Instant::now());
                let call = Call {
                    method: "POST",
                    path: &path,
                    id: &id,
                    timeout_ms: left.as_millis() as u64,
                    headers: "X-Work-Ms: 64\r\n",
                    body: b"{}",
                };
                let done = send(address, &call).await;
                record.line(format!("client gets {} for {id}", done.end.text()));
                let wait = done.end.retry_after();
                if done.end.status() != 503 || Instant::now() + wait >= until {
                    return;
                }
                tokio::time::sleep(wait).await;
            }
        });
    }
}
