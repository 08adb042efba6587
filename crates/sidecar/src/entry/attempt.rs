//! One attempt of a request, at the target on this VM or at another node.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use platform::headers::{self, NamedLimit};
use policy::{Refusal, Shutdown, TargetView, Time};
use wire::link::Attempt;
use world::Name;

use crate::entry::state::Entry;
use crate::guard::{Answer, Outcome};
use crate::peers::Peer;

/// A peer that sends nothing for this long after an attempt was sent to it, not even the
/// acknowledgement of its packets, is marked as unresponsive.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(120);

/// Where an attempt is sent.
#[derive(Clone, Debug)]
pub enum Destination {
    /// The target on this VM.
    Local,
    /// The target of another node.
    Remote(Rc<Peer>),
}

impl Destination {
    /// Returns the name of the destination's node.
    pub fn name(&self, entry: &Entry) -> Name {
        match self {
            Destination::Local => entry.peers.local_node().name.clone(),
            Destination::Remote(peer) => peer.node().name,
        }
    }

    /// Returns whether it is in this node's data centre.
    pub fn is_near(&self, entry: &Entry) -> bool {
        match self {
            Destination::Local => true,
            Destination::Remote(peer) => entry.peers.is_same_data_centre(&peer.data_centre()),
        }
    }

    /// Returns whether its target names a limit.
    pub fn is_limited(&self, entry: &Entry) -> bool {
        let limit = match self {
            Destination::Local => entry.peers.own_view.borrow().named_limit,
            Destination::Remote(peer) => peer.view.borrow().named_limit,
        };
        limit.is_some()
    }

    /// Records whether an attempt there succeeded.
    pub fn record_result(&self, entry: &Entry, success: bool) {
        let now = entry.clock.now();
        match self {
            Destination::Local => entry.peers.own_view.borrow_mut().ended(now, success),
            Destination::Remote(peer) => peer.view.borrow_mut().ended(now, success),
        }
    }
}

/// Runs an attempt until it ends or `deadline` passes. Dropping the future cancels the attempt. Once
/// this node stops, the attempt is begun only if its target is done in time, taking `slow_us`
/// microseconds at most.
pub async fn execute(
    entry: Rc<Entry>,
    destination: Destination,
    mut attempt: Attempt,
    body: Bytes,
    deadline: Time,
    slow_us: u64,
) -> Outcome {
    let until = entry.clock.instant(deadline);
    let start_within = |shutdown: Shutdown| shutdown.starts_until(slow_us).since(entry.clock.now());
    let stopping = entry.shutdown();
    if let Some(shutdown) = stopping {
        wire::add_start_within(&mut attempt.fields, start_within(shutdown));
    }
    let outcome = match &destination {
        Destination::Local => {
            let own = &entry.peers.own_view;
            own.borrow_mut().sent();
            let start = entry.guard.track_start(&mut attempt);
            let run = entry.guard.run(attempt, body, start);
            let outcome = tokio::time::timeout_at(until, run).await;
            if let Ok(Outcome::Answer(answer)) = &outcome {
                remember_limit(&mut own.borrow_mut(), answer);
            }
            own.borrow_mut().reported(entry.clock.now(), entry.guard.report());
            outcome
        }
        Destination::Remote(peer) => {
            peer.view.borrow_mut().sent();
            let known = peer.view.borrow().named_limit;
            if let Some(per_s) = known {
                wire::add_limit(&mut attempt.fields, per_s);
            }
            let id = attempt.id.clone();
            let sent = tokio::time::timeout_at(until, send(&entry, peer, attempt, body));
            tokio::pin!(sent);
            let outcome = tokio::select! {
                outcome = &mut sent => outcome,
                shutdown = entry.stopping(), if stopping.is_none() => {
                    entry.peers.limit_start(peer, id, start_within(shutdown));
                    sent.await
                }
            };
            if let Ok(Outcome::Answer(answer)) = &outcome {
                remember_limit(&mut peer.view.borrow_mut(), answer);
            }
            outcome
        }
    };
    outcome.unwrap_or_else(|_| Outcome::Lost { detail: "no answer in time".to_owned() })
}

/// Remembers the limit that a target names, for the choice of targets and for a guard that restarts.
fn remember_limit(view: &mut TargetView, answer: &Answer) {
    match headers::named_limit(&answer.headers) {
        NamedLimit::PerSecond(per_s) => view.named_limit = Some(per_s),
        NamedLimit::Absent => view.named_limit = None,
        // The guard has logged it.
        NamedLimit::Invalid => {}
    }
}

/// Sends an attempt to a peer and waits for its outcome.
async fn send(entry: &Entry, peer: &Rc<Peer>, attempt: Attempt, body: Bytes) -> Outcome {
    let id = attempt.id.clone();
    match entry.peers.send(peer, attempt, body).await {
        Ok(mut sent) => sent.outcome().await,
        Err(error) => {
            tracing::debug!(request = id, %error, "entry: cannot send an attempt");
            Outcome::NotRun { refusal: Refusal::NoTarget, reached: false }
        }
    }
}

/// Returns once a peer has sent nothing for [`SILENCE_TIMEOUT`], after marking it as unresponsive.
/// Does not return otherwise. An attempt at a silent peer may still be running.
pub async fn wait_for_silence(entry: Rc<Entry>, destination: Destination) {
    let begun = entry.clock.now();
    tokio::time::sleep(SILENCE_TIMEOUT).await;
    match destination {
        Destination::Remote(peer) if peer.last_received() <= begun => {
            peer.view.borrow_mut().mark_unresponsive()
        }
        _ => std::future::pending().await,
    }
}
