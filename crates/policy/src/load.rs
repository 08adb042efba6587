//! The load report that a guard puts on every verdict and answer.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// What a guard's target can take.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
pub enum Phase {
    /// No target runs, or it went silent.
    #[default]
    Down,
    /// The target, its VM or its data centre is leaving.
    Leaving,
    /// The target started or fell back lately and bears only a little.
    Cold,
    /// The target bears what its limit says.
    Warm,
}

/// A guard's report of its target's load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Grows with each report of one guard's life, so that a late report is told from a new one.
    pub seq: u32,
    /// What the target can take.
    pub phase: Phase,
    /// Requests that the target runs.
    pub running: u16,
    /// Requests that wait at the guard.
    pub queued: u16,
    /// The most that the guard lets run at once.
    pub limit: u16,
    /// A moving mean of the target's service time, in microseconds.
    pub service_us: u32,
}

impl Load {
    /// Returns the requests that run or wait.
    pub fn pending(&self) -> u32 {
        u32::from(self.running) + u32::from(self.queued)
    }
}
