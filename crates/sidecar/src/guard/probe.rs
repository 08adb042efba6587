//! Health checks of the target. They are priced, so that one is sent only where the target may have
//! started anew or turned cold.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::response::Parts as Head;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::Full;
use platform::headers;
use world::Name;

use crate::guard::pool;
use crate::guard::state::{Guard, Target};

/// The longest wait for an answer. A target that accepts and does not answer is tried with work.
const ANSWER: Duration = Duration::from_millis(300);
/// The pause between two probes of a target that accepts no connection.
const PAUSE: Duration = Duration::from_millis(250);

/// What a probe found.
enum Found {
    /// The instance, cold for so many microseconds.
    Here(u64),
    /// Nothing, or another instance.
    Absent(String),
}

/// Probes the target until it is found or another heartbeat tells more.
pub fn spawn(guard: &Rc<Guard>) {
    if guard.probing.replace(true) {
        return;
    }
    let guard = guard.clone();
    tokio::task::spawn_local(async move {
        while let Some(target) = guard.wanted() {
            match probe(&guard, &target).await {
                Found::Here(cold_us) => guard.found(&target.life, cold_us),
                Found::Absent(detail) => {
                    tracing::info!(detail, "target: not found");
                    tokio::time::sleep(PAUSE).await;
                }
            }
        }
        guard.probing.set(false);
    });
}

impl Guard {
    /// Returns the target that is to be found, if any.
    fn wanted(&self) -> Option<Target> {
        let is_closed = self.refuses() == Some(policy::Refusal::NoTarget);
        self.state.borrow().target.clone().filter(|_| is_closed)
    }
}

/// Looks for the target of a node that has just started, until it is found or heard of: its next
/// heartbeat may be more than a second away.
pub async fn search(guard: Rc<Guard>, address: SocketAddr, service: Name) {
    let mut rules = guard.rules.subscribe();
    // An error means that the node ends.
    let _ = rules.wait_for(|revision| *revision > 0).await;
    while guard.service().is_none() {
        if let Ok(Some(head)) = ask(&guard, address, &service).await
            && head.status == StatusCode::OK
            && let Some(id) = headers::answering(&head.headers)
            && let Some(load) = headers::load(&head.headers)
        {
            let cold_us = headers::cold_us(&head.headers);
            return guard.adopt(&id, service, address, load.slots, cold_us);
        }
        tokio::time::sleep(PAUSE).await;
    }
}

async fn probe(guard: &Guard, target: &Target) -> Found {
    match ask(guard, target.address, &target.service).await {
        Ok(Some(head)) => judge(target, &head.headers),
        // Its health checks may fail while it serves, and work shows it.
        Ok(None) => Found::Here(0),
        Err(error) => Found::Absent(error.to_string()),
    }
}

/// Sends a health check. An error means that there is no connection, and nothing that there is no
/// answer.
async fn ask(guard: &Guard, address: SocketAddr, service: &str) -> std::io::Result<Option<Head>> {
    let rules = guard.rules.current();
    let rule = rules.as_ref().and_then(|rules| rules.routing.service(service));
    let path = rule.map_or("/health", |rule| &rule.health);
    let mut connection = pool::connect(address).await?;
    let request = Request::builder()
        .uri(path)
        .header("host", address.to_string())
        .body(Full::<Bytes>::default())
        .map_err(std::io::Error::other)?;
    guard.metrics.probes.inc();
    let answer = tokio::time::timeout(ANSWER, connection.send_request(request)).await;
    Ok(answer.ok().and_then(Result::ok).map(|answer| answer.into_parts().0))
}

fn judge(target: &Target, answered: &HeaderMap) -> Found {
    match headers::answering(answered) {
        Some(id) if id != target.life.id => Found::Absent(format!("{id} answers")),
        _ => Found::Here(headers::cold_us(answered)),
    }
}
