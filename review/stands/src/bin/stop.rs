//! A node gets SIGTERM while requests of its clients wait in the queues of busy backends.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use stands::client::{Call, Done, End, send};
use stands::node::{Deployment, Route};
use stands::record::{BROKEN, CANNOT_RUN, HELD, Record, trouble};

/// The deadline of both kinds of request, in milliseconds: that of the grown site's uploads.
const DEADLINE_MS: u64 = 8_000;
/// Clients at another machine that send orders, which are more urgent.
const OTHERS: usize = 36;
/// Slots of each backend.
const SLOTS: usize = 4;
/// `lossSlackS`.
const SLACK: Duration = Duration::from_millis(200);
/// `graceS`.
const GRACE: Duration = Duration::from_secs(6);

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
        ("suva-cbd", "orders"),
        ("walu-bay", "orders"),
        ("suva-cbd", "menus"),
        ("suva-cbd", "menus"),
        ("walu-bay", "menus"),
        ("walu-bay", "menus"),
        ("samabula", "menus"),
    ];
    let Ok(mut deployment) = Deployment::prepare(record.clone(), &machines).await else {
        return CANNOT_RUN;
    };
    for machine in &deployment.machines {
        machine.backend.set_slots(SLOTS);
    }
    let route = |prefix, kind, priority| Route {
        prefix,
        service: "menus",
        kind,
        timeout_s: DEADLINE_MS as f64 / 1e3,
        aim_s: 0.8,
        priority,
    };
    let routes = [route("/order/", "unsafe", 1), route("/file/", "upload", 2)];
    if let Err(error) = deployment.start(7, &routes, 38.0).await {
        record.say(error);
        return CANNOT_RUN;
    }
    let code = play(&mut deployment, &record).await;
    deployment.stop().await;
    code
}

async fn request(
    address: SocketAddr,
    method: &'static str,
    prefix: &'static str,
    id: String,
    record: Record,
) -> (String, Done) {
    let path = format!("{prefix}{id}");
    let call = Call {
        method,
        path: &path,
        id: &id,
        timeout_ms: DEADLINE_MS,
        headers: "X-Work-Ms: 290\r\n",
        body: if method == "POST" { b"{}" } else { b"" },
    };
    record.line(format!("client sends {id}"));
    let done = send(address, &call).await;
    record.line(format!("client gets {} for {id}", done.end.text()));
    (id, done)
}

async fn play(deployment: &mut Deployment, record: &Record) -> i32 {
    let other = deployment.machines[1].outbound();
    let others: Vec<_> = (0..OTHERS)
        .map(|client| {
            let record = record.clone();
            tokio::spawn(async move {
                for number in 0.. {
                    let id = format!("order-{client}-{number}");
                    let (_, done) = request(other, "POST", "/order/", id, record.clone()).await;
                    if done.end.status() != 200 {
                        let wait = done.end.retry_after().max(Duration::from_millis(100));
                        tokio::time::sleep(wait).await;
                    }
                }
            })
        })
        .collect();
    tokio::time::sleep(Duration::from_secs(6)).await;
    let address = deployment.machines[0].outbound();
    let begun = Instant::now();
    if trouble() {
        record.say("SIGTERM to the node that the clients send to");
        deployment.machines[0].signal("-TERM").await;
    }
    // The platform sends clients here until two readiness checks, a second apart, were missed.
    let mut clients = Vec::new();
    while begun.elapsed() < Duration::from_millis(1_900) {
        let id = format!("upload-{}", clients.len());
        clients.push(tokio::spawn(request(address, "POST", "/file/", id, record.clone())));
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    let mut done = Vec::new();
    for client in clients {
        if let Ok(ended) = client.await {
            done.push(ended);
        }
    }
    if trouble() {
        deployment.machines[0].wait().await;
    }
    others.iter().for_each(|client| client.abort());
    let arrived: Vec<String> = deployment
        .machines
        .iter()
        .flat_map(|machine| machine.backend.arrivals())
        .map(|arrival| arrival.id)
        .collect();
    let mut lost = 0;
    let mut counts = std::collections::BTreeMap::new();
    for (id, done) in &done {
        let is_lost = matches!(done.end, End::Closed)
            && done.ended - done.sent > SLACK
            && done.ended - begun < GRACE + Duration::from_secs(1)
            && !arrived.contains(id);
        *counts.entry(done.end.text()).or_insert(0) += 1;
        if is_lost {
            lost += 1;
            record.say(format!(
                "{id}: sent {:.2} s after the signal, closed without an answer {:.2} s later, \
                 never passed on to a backend",
                (done.sent - begun).as_secs_f64(),
                (done.ended - done.sent).as_secs_f64()
            ));
        }
    }
    record.say(format!("{} requests ended so: {counts:?}; {lost} lost", done.len()));
    if counts.is_empty() {
        return CANNOT_RUN;
    }
    if lost > 0 { BROKEN } else { HELD }
}
