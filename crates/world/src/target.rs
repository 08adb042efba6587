//! What a target says of itself to the node beside it.

use std::net::SocketAddr;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::Name;

/// What a target says it can take.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
#[display(rename_all = "lowercase")]
pub enum TargetState {
    /// Just started; bears only its service's `cold_slots`.
    #[default]
    Cold,
    /// Bears up to its slots.
    Warm,
    /// Finishes what it has and takes nothing new.
    Draining,
}

/// A target's announcement, sent at start and repeated as its heartbeat.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Announcement {
    /// The service it runs.
    pub service: Name,
    /// Where it takes requests, on its node's own VM.
    pub address: SocketAddr,
    /// The requests it can run at once, above zero.
    pub slots: u32,
    /// Grows with each start of the target.
    pub incarnation: u64,
    /// What it says it can take.
    #[serde(default)]
    pub state: TargetState,
    /// The requests it says it runs. May be late or wrong.
    #[serde(default)]
    pub running: u32,
}
