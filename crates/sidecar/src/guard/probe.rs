//! Health checks of the target.
//!
//! Each health check has a price. One is sent only if the target may have restarted, if so much was
//! sent since the last one that the target could be cold, or if long work is about to start and the
//! VM's slowness was not reported recently.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::response::Parts as Head;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use platform::headers;
use policy::Time;
use world::Name;

use crate::guard::pool;
use crate::guard::state::{Guard, Target};

/// The longest wait for an answer. A target that accepts the connection and does not answer in time
/// is sent requests all the same.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// The longest wait for an answer that reports the VM's slowness. It usually arrives within 2 ms,
/// and requests wait for it.
const SLOWNESS_TIMEOUT: Duration = Duration::from_millis(40);
/// The longest body of an answer to a health check.
const MAX_BODY_BYTES: usize = 64 * 1024;
/// The pause before a target that was not found is probed again.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// The result of a probe.
enum ProbeResult {
    /// The expected instance answered, or something accepted the connection and did not answer.
    Present,
    /// There was no connection, or another instance answered. Holds which of them, for the log.
    Absent(String),
}

/// Probes a suspected target until it is found, or until a heartbeat ends the suspicion. Does
/// nothing while this is under way already.
pub fn confirm_target(guard: &Rc<Guard>) {
    if guard.confirming.replace(true) {
        return;
    }
    let guard = guard.clone();
    tokio::task::spawn_local(async move {
        while let Some(target) = guard.suspected_target() {
            match probe(&guard, &target).await {
                ProbeResult::Present => guard.confirm(&target.life),
                ProbeResult::Absent(detail) => {
                    tracing::info!(detail, "target: the probe did not find the target");
                    tokio::time::sleep(RETRY_PAUSE).await;
                }
            }
        }
        guard.confirming.set(false);
    });
}

/// Learns how slow the target's VM is and whether the target is warm, and then starts the requests
/// that waited for this. Does nothing while this is under way already.
pub fn check_target(guard: &Rc<Guard>) {
    if guard.checking.replace(true) {
        return;
    }
    let guard = guard.clone();
    tokio::task::spawn_local(async move {
        let check = check_pooled(&guard);
        tokio::pin!(check);
        let in_time = tokio::time::timeout(SLOWNESS_TIMEOUT, &mut check).await;
        record_slowness(&guard, in_time.as_ref().ok().and_then(|answer| answer.as_ref().ok()));
        // Requests do not wait for the slowness any more, but a late answer still tells the warmth.
        let answer = match in_time {
            Ok(answer) => Ok(answer),
            Err(_) => tokio::time::timeout(PROBE_TIMEOUT, check).await,
        };
        let failure = match answer {
            Ok(Ok(_)) => None,
            Ok(Err(error)) => Some(error.to_string()),
            Err(_) => Some("no answer in time".to_owned()),
        };
        if let Some(detail) = failure {
            tracing::debug!(detail, "target: a health check failed");
            let now = guard.clock.now();
            guard.state.borrow_mut().admission.warmth_mut().record_no_answer(now);
        }
        guard.checking.set(false);
        guard.start_waiting();
    });
}

/// Records how slow the VM is by an answer, if there is one, and starts the requests that waited for
/// this.
fn record_slowness(guard: &Rc<Guard>, answer: Option<&Head>) {
    let now = guard.clock.now();
    let load = answer.and_then(|head| headers::target_load(&head.headers));
    {
        let admission = &mut guard.state.borrow_mut().admission;
        match load {
            Some(load) => {
                admission.set_slowness(now, load.slowness);
                admission.reported_pending(load.running.saturating_add(load.waiting));
            }
            None => admission.set_slowness_unknown(now),
        }
    }
    guard.start_waiting();
}

/// Sends a health check on a pooled connection, or on a new one that is kept.
async fn check_pooled(guard: &Rc<Guard>) -> std::io::Result<Head> {
    let target = guard.state.borrow().target.clone();
    let target = target.ok_or_else(|| std::io::Error::other("no target"))?;
    let idle = guard.pool.take(guard.clock.now(), None).map_err(|closed| {
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
    let request = health_request(guard, target.address, &target.service)?;
    let sent = guard.count_probe();
    let answer = connection.send(request).await;
    let answer = answer.map_err(|failed| std::io::Error::other(failed.into_error()))?;
    let (head, body) = answer.into_parts();
    if head.headers.contains_key(headers::REQUEST_ID) {
        return Err(std::io::Error::other("the answer to an earlier request"));
    }
    guard.note_health(&target, sent, &head.headers);
    Limited::new(body, MAX_BODY_BYTES).collect().await.map_err(std::io::Error::other)?;
    if connection.is_ready() {
        let until = pool::idle_until(guard.clock.now(), &head.headers);
        guard.pool.put(connection, until);
    }
    Ok(head)
}

impl Guard {
    /// Counts a health check, which uses up what a cold or limited target takes. Returns the time.
    fn count_probe(&self) -> Time {
        let now = self.clock.now();
        self.metrics.probes.inc();
        self.state.borrow_mut().admission.check_sent(now);
        now
    }

    /// Returns the target while it is suspected, since that is when the guard refuses requests
    /// because it has none.
    fn suspected_target(&self) -> Option<Target> {
        let is_closed = self.refusal() == Some(policy::Refusal::NoTarget);
        self.state.borrow().target.clone().filter(|_| is_closed)
    }
}

/// Probes the target's address after the node's start until an instance answers or a heartbeat
/// arrives: the next heartbeat may be more than a second away. Unless this is the node's first start,
/// learns what an earlier process left there.
pub async fn find_target(guard: Rc<Guard>, address: SocketAddr, service: Name, first_start: bool) {
    let mut rules = guard.rules.subscribe();
    // The path of the health check is in the ruleset. An error means that the node shuts down.
    let _ = rules.wait_for(|revision| *revision > 0).await;
    while guard.service().is_none() {
        let sent = guard.clock.now();
        if let Ok(Some(head)) = check_new(&guard, address, &service).await
            && head.status == StatusCode::OK
            && let Some(id) = headers::answering_instance(&head.headers)
            && let Some(load) = headers::target_load(&head.headers)
        {
            guard.found_load(load);
            guard.adopt(&id, service, address, load.slots);
            let target = guard.state.borrow().target.clone();
            if let Some(target) = target.filter(|target| target.life.id == id) {
                guard.note_health(&target, sent, &head.headers);
            }
            return;
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
    if first_start {
        return;
    }
    // A heartbeat named the target first, but not what it runs.
    if let Ok(Some(head)) = check_new(&guard, address, &service).await
        && let Some(load) = headers::target_load(&head.headers)
    {
        guard.found_load(load);
    }
}

/// Sends one health check and checks which instance answers.
async fn probe(guard: &Rc<Guard>, target: &Target) -> ProbeResult {
    let sent = guard.clock.now();
    match check_new(guard, target.address, &target.service).await {
        Ok(Some(head)) => {
            let result = check_instance(target, &head.headers);
            if matches!(result, ProbeResult::Present) {
                guard.note_health(target, sent, &head.headers);
            }
            result
        }
        // Health checks may fail while the target serves. Requests will show whether it does.
        Ok(None) => ProbeResult::Present,
        Err(error) => ProbeResult::Absent(error.to_string()),
    }
}

/// Sends a health check on a connection of its own. Returns `None` if the connection was accepted
/// and no answer came, and an error if there was no connection.
async fn check_new(
    guard: &Guard,
    address: SocketAddr,
    service: &str,
) -> std::io::Result<Option<Head>> {
    let mut connection = pool::connect(address).await?;
    let request = health_request(guard, address, service)?;
    guard.count_probe();
    let answer = tokio::time::timeout(PROBE_TIMEOUT, connection.send(request)).await;
    Ok(answer.ok().and_then(Result::ok).map(|answer| answer.into_parts().0))
}

/// Builds a health check, with the path that the ruleset has for the service.
fn health_request(
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

/// Compares the instance that answered with the target. An answer without an id counts as the
/// target's.
fn check_instance(target: &Target, answered: &HeaderMap) -> ProbeResult {
    match headers::answering_instance(answered) {
        Some(id) if id != target.life.id => ProbeResult::Absent(format!("instance {id} answers")),
        _ => ProbeResult::Present,
    }
}
