//! The announcement that a target sends to the node on its VM.

use std::net::SocketAddr;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::Name;

/// The state that a target reports.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
#[display(rename_all = "lowercase")]
pub enum TargetState {
    /// Just started; can take only the `cold_slots` of its service at once.
    #[default]
    Cold,
    /// Warmed up; can take as many concurrent requests as it has slots.
    Warm,
    /// Finishes its running requests and takes no new ones.
    Draining,
}

/// A target's announcement, sent at start and repeated as its heartbeat.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Announcement {
    /// Name of the service whose requests it serves.
    pub service: Name,
    /// The address at which it takes requests, on the same VM as its node.
    pub address: SocketAddr,
    /// The most requests it can run at once, above zero.
    pub slots: u32,
    /// Increases with each start of the target, so that a restart can be told from a repetition.
    pub incarnation: u64,
    /// The reported state; cold if it is missing.
    #[serde(default)]
    pub state: TargetState,
    /// The reported number of running requests. May be out of date or wrong.
    #[serde(default)]
    pub running: u32,
}
