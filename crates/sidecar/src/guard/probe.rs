//! Health checks of the target. They are priced, so that one is sent only where the target may have
//! started anew or turned cold, and where long work is about to start and nothing was heard lately of
//! how slow the VM is.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::response::Parts as Head;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use platform::headers;
use world::Name;

use crate::guard::pool;
use crate::guard::state::{Guard, Target};

/// The longest wait for an answer. A target that accepts and does not answer is tried with work.
const ANSWER: Duration = Duration::from_millis(300);
/// The longest wait for an answer that tells how slow the VM is. It comes within 2 ms as a rule, and
/// work waits for it.
const LOOK: Duration = Duration::from_millis(40);
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

/// Looks at how slow the target's VM is, and starts what waited for that.
pub fn look(guard: &Rc<Guard>) {
    if guard.looking.replace(true) {
        return;
    }
    let guard = guard.clone();
    tokio::task::spawn_local(async move {
        let load = match tokio::time::timeout(LOOK, see(&guard)).await {
            Ok(Ok(head)) => headers::target_load(&head.headers),
            Ok(Err(error)) => {
                tracing::debug!(%error, "target: a look failed");
                None
            }
            Err(_) => None,
        };
        let now = guard.clock.now();
        {
            let admission = &mut guard.state.borrow_mut().admission;
            match load {
                Some(load) => admission.set_slowness(now, load.slowness),
                None => admission.set_slowness_unknown(now),
            }
        }
        guard.looking.set(false);
        guard.start();
    });
}

/// Sends a health check on a connection that is kept.
async fn see(guard: &Rc<Guard>) -> std::io::Result<Head> {
    let target = guard.state.borrow().target.clone();
    let target = target.ok_or_else(|| std::io::Error::other("no target"))?;
    let idle = guard.pool.take(guard.clock.now()).map_err(|closed| {
        guard.suspect(&closed.to_string());
        std::io::Error::other(closed)
    })?;
    let mut connection = match idle {
        Some(connection) => connection,
        None => {
            guard.metrics.connections_opened.inc();
            pool::connect(target.address).await?
        }
    };
    let request = check(guard, target.address, &target.service)?;
    guard.metrics.probes.inc();
    let answer = connection.send_request(request).await.map_err(std::io::Error::other)?;
    let (head, body) = answer.into_parts();
    body.collect().await.map_err(std::io::Error::other)?;
    if connection.is_ready() {
        let until = pool::rests_until(guard.clock.now(), &head.headers);
        guard.pool.give(connection, until);
    }
    Ok(head)
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
pub async fn find_target(guard: Rc<Guard>, address: SocketAddr, service: Name) {
    let mut rules = guard.rules.subscribe();
    // An error means that the node ends.
    let _ = rules.wait_for(|revision| *revision > 0).await;
    while guard.service().is_none() {
        if let Ok(Some(head)) = ask(&guard, address, &service).await
            && head.status == StatusCode::OK
            && let Some(id) = headers::answering_instance(&head.headers)
            && let Some(load) = headers::target_load(&head.headers)
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
    let mut connection = pool::connect(address).await?;
    let request = check(guard, address, service)?;
    guard.metrics.probes.inc();
    let answer = tokio::time::timeout(ANSWER, connection.send_request(request)).await;
    Ok(answer.ok().and_then(Result::ok).map(|answer| answer.into_parts().0))
}

/// Builds a health check.
fn check(
    guard: &Guard,
    address: SocketAddr,
    service: &str,
) -> std::io::Result<Request<Full<Bytes>>> {
    let rules = guard.rules.current();
    let rule = rules.as_ref().and_then(|rules| rules.routing.service(service));
    let path = rule.map_or("/health", |rule| &rule.health);
    let request = Request::builder().uri(path).header("host", address.to_string());
    request.body(Full::default()).map_err(std::io::Error::other)
}

fn judge(target: &Target, answered: &HeaderMap) -> Found {
    match headers::answering_instance(answered) {
        Some(id) if id != target.life.id => Found::Absent(format!("{id} answers")),
        _ => Found::Here(headers::cold_us(answered)),
    }
}
