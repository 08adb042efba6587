//! A request that crashes the backends that run it comes again and again. Each backend is back after
//! some seconds as a new instance, whose first heartbeat is late.

use std::path::PathBuf;
use std::time::{Duration, Instant};

use stands::backend::Fate;
use stands::client::{Call, Done, send};
use stands::node::{Deployment, Route};
use stands::record::{BROKEN, CANNOT_RUN, HELD, Record, trouble};

/// How late the first heartbeat of a backend that started again is: less than one interval.
const LATE: Duration = Duration::from_millis(1_400);
/// Time between two attempts of the request. A backend is away for 2.5 s.
const INTERVAL: Duration = Duration::from_millis(3_600);
/// How often it comes.
const TIMES: usize = 20;
/// `contactS`.
const CONTACT: Duration = Duration::from_secs(3);
/// Retries later than that which may reach backends.
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
        ("suva-cbd", "menus"),
        ("suva-cbd", "orders"),
        ("walu-bay", "orders"),
    ];
    let Ok(mut deployment) = Deployment::prepare(record.clone(), &machines).await else {
        return CANNOT_RUN;
    };
    if trouble() {
        for machine in &deployment.machines {
            machine.backend.set_first_beat(LATE);
        }
    }
    let routes = [Route {
        prefix: "/order/",
        service: "orders",
        kind: "unsafe",
        timeout_s: 1.5,
        aim_s: 0.25,
        priority: 1,
    }];
    if let Err(error) = deployment.start(7, &routes, 38.0).await {
        record.say(error);
        return CANNOT_RUN;
    }
    let code = play(&deployment, &record).await;
    deployment.stop().await;
    code
}

async fn play(deployment: &Deployment, record: &Record) -> i32 {
    let mut sent: Vec<(String, Done)> = Vec::new();
    for number in 0..TIMES {
        let begun = Instant::now();
        // It comes from the same service, at either of its machines.
        let address = deployment.machines[number % 2].outbound();
        let id = format!("poison-{number}");
        let call = Call {
            method: "POST",
            path: "/order/poison",
            id: &id,
            timeout_ms: 1_500,
            headers: "",
            body: b"{\"order\":\"poison\"}",
        };
        record.line(format!("client sends {id}"));
        let done = send(address, &call).await;
        record.line(format!("client gets {} for {id}", done.end.text()));
        sent.push((id, done));
        tokio::time::sleep(INTERVAL.saturating_sub(begun.elapsed())).await;
    }
    let mut runs: Vec<(Instant, String)> = deployment
        .machines
        .iter()
        .flat_map(|machine| machine.backend.arrivals())
        .filter(|arrival| arrival.fate == Fate::Crashed)
        .map(|arrival| (arrival.at, arrival.id))
        .collect();
    runs.sort();
    record.say(format!("sent {TIMES} times, {} crashes", runs.len()));
    let Some((third, _)) = runs.get(2) else {
        record.say("fewer than three crashes");
        return CANNOT_RUN;
    };
    let late_from = *third + CONTACT;
    let late: Vec<&str> = sent
        .iter()
        .filter(|(id, done)| done.begun > late_from && runs.iter().any(|(_, ran)| ran == id))
        .map(|(id, _)| id.as_str())
        .collect();
    record.say(format!(
        "{} of those sent more than {CONTACT:?} after the third crash ran at backends, {ALLOWED} \
         may: {late:?}",
        late.len()
    ));
    if late.len() > ALLOWED { BROKEN } else { HELD }
}
