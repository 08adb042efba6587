//! The backends of one zone go down together while callers read the same page everywhere.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use standin::caller::TestRequest;
use stands_2::{Fleet, Record, Shape, ask, has_trouble, write_config};

/// The machines by zone: eight backends of the service `listings` and one of `bookings` in each.
const ZONES: [&str; 3] = ["a", "b", "c"];
const LISTINGS_PER_ZONE: usize = 8;
/// When the backends of the zone `a` go down, and when they are back, after the start of traffic.
const DOWN: Duration = Duration::from_secs(2);
const BACK: Duration = Duration::from_secs(5);
/// How long requests are sent.
const LENGTH: Duration = Duration::from_secs(30);
/// Requests of each kind a second over all machines, and how long their callers wait.
const PER_S: u64 = 150;
const TIMEOUT_MS: u64 = 1_200;

/// One request: its kind, when it was sent, and the status of its answer, 0 for none.
type Sent = (&'static str, Duration, u16, String);

/// The kinds of requests, each with a route of its own. All couples look at the same page; items and
/// orders differ.
const KINDS: [&str; 3] = ["page", "item", "order"];

async fn send(address: SocketAddr, kind: &'static str, number: u64) -> (u16, String) {
    let id = format!("{kind}{number:06}");
    let (path, body) = match kind {
        "page" => ("/listings/".to_owned(), String::new()),
        "item" => (format!("/items/{number}"), String::new()),
        _ => ("/bookings/order".to_owned(), format!("order {number}")),
    };
    let request = TestRequest {
        method: if kind == "order" { "POST" } else { "GET" },
        path: &path,
        id: &id,
        timeout_ms: TIMEOUT_MS,
        behaviour: "work=100",
        headers: "",
        body: &body,
    };
    let wait = Duration::from_millis(TIMEOUT_MS + 300);
    let answer = tokio::time::timeout(wait, ask(address, &request)).await.ok().flatten();
    answer.map_or((0, String::new()), |answer| (answer.status, answer.body))
}

#[tokio::main]
async fn main() {
    let mut record = Record::create();
    let mut machines = Vec::new();
    for zone in ZONES {
        machines.extend(std::iter::repeat_n((zone, "listings"), LISTINGS_PER_ZONE));
        machines.push((zone, "bookings"));
    }
    let shape = Shape { machines, memory_mb: 260, timeout_s: 2.0, slots: 12 };
    let mut fleet = Fleet::prepare(&shape).await;
    let routes = [
        ("/listings/", "safe", "listings"),
        ("/items/", "safe", "listings"),
        ("/bookings/", "unsafe", "bookings"),
    ];
    write_config(&fleet.store, 3, 2.0, &routes);
    fleet.start().await;
    let trouble = has_trouble();
    record.line(&format!("trouble {trouble}: zone a has {LISTINGS_PER_ZONE} backends of listings"));
    let addresses: Vec<SocketAddr> = fleet.machines.iter().map(|one| one.outbound()).collect();
    let all: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let begun = Instant::now();
    let traffic = {
        let all = all.clone();
        tokio::spawn(async move {
            let mut open = tokio::task::JoinSet::new();
            for number in 0.. {
                let at = Duration::from_micros(number * 1_000_000 / PER_S);
                if at >= LENGTH {
                    break;
                }
                tokio::time::sleep((begun + at).saturating_duration_since(Instant::now())).await;
                for (kind, offset) in KINDS.into_iter().zip([0, 5, 11]) {
                    let address = addresses[(number as usize + offset) % addresses.len()];
                    let all = all.clone();
                    open.spawn(async move {
                        let at = begun.elapsed();
                        let (status, body) = send(address, kind, number).await;
                        all.lock().expect("no task panics").push((kind, at, status, body));
                    });
                }
                while open.try_join_next().is_some() {}
            }
            while open.join_next().await.is_some() {}
        })
    };
    let (mut is_down, mut is_back) = (false, false);
    let mut next_beat = Duration::ZERO;
    while !traffic.is_finished() {
        let now = begun.elapsed();
        if trouble && !is_down && now >= DOWN {
            is_down = true;
            let zone = fleet.machines.iter_mut().filter(|one| one.zone == "a");
            let mut backends = Vec::new();
            for machine in zone.filter(|one| one.service == "listings") {
                backends.push(machine.take_backend().await);
            }
            // All at once.
            drop(backends);
            record.line("the backends of listings in zone a go down");
        }
        if is_down && !is_back && now >= BACK {
            is_back = true;
            let zone = fleet.machines.iter_mut().filter(|one| one.zone == "a");
            for machine in zone.filter(|one| one.service == "listings") {
                machine.restart_backend(now).await;
                machine.heartbeat("ready").await;
            }
            record.line("they are back");
        }
        if now >= next_beat {
            next_beat += Duration::from_millis(1_500);
            for machine in &mut fleet.machines {
                let rests = is_down && !is_back && machine.zone == "a";
                if !(rests && machine.service == "listings") {
                    machine.heartbeat("ready").await;
                }
            }
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let mut all = all.lock().expect("no task panics").clone();
    all.sort_by_key(|one| one.1);
    for second in (0..LENGTH.as_secs()).step_by(5) {
        let inside = |at: Duration| (second..second + 5).contains(&at.as_secs());
        let counts = KINDS.map(|kind| {
            let of_kind = all.iter().filter(|one| one.0 == kind && inside(one.1));
            let (sent, served) = of_kind
                .fold((0, 0), |(sent, served), one| (sent + 1, served + u32::from(one.2 == 200)));
            format!("{kind} {served} of {sent}")
        });
        record.line(&format!("from second {second}: served {}", counts.join(", ")));
    }
    let other = all.iter().rev().find(|one| one.0 == "page" && one.2 != 200);
    if let Some((_, at, status, body)) = other {
        record.line(&format!("the last page not served, at {at:.1?}: {status} {body}"));
    }
    let share = |kind: Option<&str>| {
        let of_kind = all.iter().filter(|one| kind.is_none_or(|kind| one.0 == kind));
        let (sent, served) =
            of_kind.fold((0, 0), |sum, one| (sum.0 + 1, sum.1 + u32::from(one.2 == 200)));
        f64::from(served) / f64::from(sent.max(1))
    };
    let (page, every) = (share(Some("page")), share(None));
    let broken = page < every / 4.0;
    let text = if broken { "broken" } else { "kept" };
    record.line(&format!("pages served {page:.3}, all requests {every:.3}; the rule is {text}"));
    for machine in &mut fleet.machines {
        machine.kill().await;
    }
    std::process::exit(i32::from(broken));
}
