//! Health checks of the target. They are priced, so that one is sent only where the target may have
//! started anew or turned cold.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request};
use http_body_util::Full;
use platform::headers;

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

async fn probe(guard: &Guard, target: &Target) -> Found {
    let rules = guard.rules.current();
    let rule = rules.as_ref().and_then(|rules| rules.routing.service(&target.service));
    let path = rule.map_or("/health", |rule| &rule.health);
    let mut connection = match pool::connect(target.address).await {
        Ok(connection) => connection,
        Err(error) => return Found::Absent(error.to_string()),
    };
    let request = Request::builder()
        .uri(path)
        .header("host", target.address.to_string())
        .body(Full::<Bytes>::default());
    let request = match request {
        Ok(request) => request,
        Err(error) => return Found::Absent(error.to_string()),
    };
    guard.metrics.probes.inc();
    let answer = tokio::time::timeout(ANSWER, connection.send_request(request)).await;
    match answer {
        Ok(Ok(answer)) => judge(target, answer.headers()),
        // Its health checks may fail while it serves, and work shows it.
        Ok(Err(_)) | Err(_) => Found::Here(0),
    }
}

fn judge(target: &Target, answered: &HeaderMap) -> Found {
    match headers::answering(answered) {
        Some(id) if id != target.life.id => Found::Absent(format!("{id} answers")),
        _ => Found::Here(headers::cold_us(answered)),
    }
}
