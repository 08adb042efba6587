//! One attempt of a request, here or at another node.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use policy::{Refusal, Time};
use wire::link::Attempt;
use world::Name;

use crate::entry::state::Entry;
use crate::guard::Outcome;
use crate::peers::Peer;

/// A guard that was not heard of for this long after an attempt was sent is doubted. It says after
/// 40 ms that it holds an attempt.
const SILENCE: Duration = Duration::from_millis(120);

/// Where an attempt goes.
#[derive(Clone, Debug)]
pub enum Place {
    /// To the target on this VM.
    Here,
    /// To that of another node.
    There(Rc<Peer>),
}

impl Place {
    /// Returns the node's name.
    pub fn name(&self, entry: &Entry) -> Name {
        match self {
            Place::Here => entry.peers.local_node().name.clone(),
            Place::There(peer) => peer.node().name,
        }
    }

    /// Whether it is in this node's data centre.
    pub fn is_near(&self, entry: &Entry) -> bool {
        match self {
            Place::Here => true,
            Place::There(peer) => entry.peers.is_same_data_centre(&peer.data_centre()),
        }
    }

    /// Notes how an attempt there ended.
    pub fn ended(&self, entry: &Entry, success: bool) {
        let now = entry.clock.now();
        match self {
            Place::Here => entry.peers.own_view.borrow_mut().ended(now, success),
            Place::There(peer) => peer.view.borrow_mut().ended(now, success),
        }
    }
}

/// Runs an attempt to its end, at the deadline at the latest. Dropping the future gives it up.
pub async fn execute(
    entry: Rc<Entry>,
    place: Place,
    attempt: Attempt,
    body: Bytes,
    deadline: Time,
) -> Outcome {
    let until = entry.clock.instant(deadline);
    let outcome = match &place {
        Place::Here => {
            let own = &entry.peers.own_view;
            own.borrow_mut().sent();
            let outcome = tokio::time::timeout_at(until, entry.guard.run(&attempt, body)).await;
            own.borrow_mut().reported(entry.clock.now(), entry.guard.report());
            outcome
        }
        Place::There(peer) => {
            peer.view.borrow_mut().sent();
            tokio::time::timeout_at(until, send(&entry, peer, attempt, body)).await
        }
    };
    outcome.unwrap_or_else(|_| Outcome::Lost { detail: "no answer in time".to_owned() })
}

/// Has a peer run the attempt.
async fn send(entry: &Entry, peer: &Rc<Peer>, attempt: Attempt, body: Bytes) -> Outcome {
    let id = attempt.id.clone();
    match entry.peers.send(peer, attempt, body).await {
        Ok(mut sent) => sent.outcome().await,
        Err(error) => {
            tracing::debug!(request = id, %error, "entry: nothing was sent");
            Outcome::NotRun { refusal: Refusal::NoTarget, reached: false }
        }
    }
}

/// Ends once the guard at a place is doubted, since nothing was heard of it. That says nothing of an
/// attempt there, which may be running.
pub async fn silent(entry: Rc<Entry>, place: Place) {
    let begun = entry.clock.now();
    tokio::time::sleep(SILENCE).await;
    match place {
        Place::There(peer) if peer.last_received() <= begun => {
            peer.view.borrow_mut().mark_unresponsive()
        }
        _ => std::future::pending().await,
    }
}
