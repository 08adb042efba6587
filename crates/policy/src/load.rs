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

/// A guard's report of its target's load, four bytes on the wire.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(into = "[u8; 4]", from = "[u8; 4]")]
pub struct Load {
    /// What the target can take.
    pub phase: Phase,
    /// Grows with each report and wraps at 64, so that a late report is told from a new one.
    pub seq: u8,
    /// The most that the guard lets run at once, at most 255.
    pub limit: u8,
    /// Requests that run or wait, at most 255.
    pub pending: u8,
    /// The target's service time on a scale of eight steps to each doubling.
    pub pace: u8,
}

/// Steps of `Load::pace` to each doubling of the service time.
const STEPS: f64 = 8.0;
/// Reports after which `Load::seq` starts over.
const SEQS: u8 = 64;

impl Load {
    /// Builds a report.
    pub fn new(phase: Phase, seq: u32, limit: u32, pending: usize, service_us: f64) -> Load {
        Load {
            phase,
            seq: (seq % u32::from(SEQS)) as u8,
            limit: limit.min(255) as u8,
            pending: pending.min(255) as u8,
            pace: (service_us.max(1.0).log2() * STEPS).round().min(255.0) as u8,
        }
    }

    /// Returns a moving mean of the target's service time, in microseconds.
    pub fn service_us(&self) -> f64 {
        (f64::from(self.pace) / STEPS).exp2()
    }

    /// Whether this report was sent before `other`, both of late.
    pub fn is_before(&self, other: &Load) -> bool {
        let ahead = other.seq.wrapping_sub(self.seq) % SEQS;
        (1..SEQS / 2).contains(&ahead)
    }
}

impl From<Load> for [u8; 4] {
    fn from(load: Load) -> [u8; 4] {
        [((load.phase as u8) << 6) | (load.seq % SEQS), load.limit, load.pending, load.pace]
    }
}

impl From<[u8; 4]> for Load {
    fn from([first, limit, pending, pace]: [u8; 4]) -> Load {
        let phase = match first >> 6 {
            0 => Phase::Down,
            1 => Phase::Leaving,
            2 => Phase::Cold,
            _ => Phase::Warm,
        };
        Load { phase, seq: first % SEQS, limit, pending, pace }
    }
}
