//! The load report that a guard sends with its replies to an entry.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// How much work a guard's target can take.
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
    /// No target runs, or its heartbeats stopped.
    #[default]
    Down,
    /// The target, its node or its data centre is being taken out of service.
    Leaving,
    /// The target started recently or became cold again, and its limit is reduced.
    Cold,
    /// The target can take as many requests as its limit allows.
    Warm,
}

/// The load of a guard's target. It takes four bytes on the wire.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(into = "[u8; 4]", from = "[u8; 4]")]
pub struct Load {
    /// How much work the target can take.
    pub phase: Phase,
    /// Sequence number modulo 64, so that a late report is recognised as older than the last one.
    pub seq: u8,
    /// The target's concurrency limit at the moment, capped at 255.
    pub limit: u8,
    /// The number of running and waiting requests, capped at 255.
    pub pending: u8,
    /// The target's service time in microseconds, as eight times its binary logarithm.
    pub pace: u8,
}

/// Steps of `Load::pace` per doubling of the service time.
const PACE_STEPS: f64 = 8.0;
/// Number of values of `Load::seq`, which shares a byte with the phase.
const SEQ_COUNT: u8 = 64;

impl Load {
    /// Creates a report; values beyond its range are capped. `service_us` is the service time in
    /// microseconds.
    pub fn new(phase: Phase, seq: u32, limit: u32, pending: usize, service_us: f64) -> Load {
        Load {
            phase,
            seq: (seq % u32::from(SEQ_COUNT)) as u8,
            limit: limit.min(255) as u8,
            pending: pending.min(255) as u8,
            pace: (service_us.max(1.0).log2() * PACE_STEPS).round().min(255.0) as u8,
        }
    }

    /// Returns the average service time of the target, in microseconds, within a few per cent.
    pub fn service_us(&self) -> f64 {
        (f64::from(self.pace) / PACE_STEPS).exp2()
    }

    /// Returns whether this report was sent before `other`. The two must be fewer than 32 reports
    /// apart.
    pub fn is_before(&self, other: &Load) -> bool {
        let ahead = other.seq.wrapping_sub(self.seq) % SEQ_COUNT;
        (1..SEQ_COUNT / 2).contains(&ahead)
    }
}

impl From<Load> for [u8; 4] {
    fn from(load: Load) -> [u8; 4] {
        [((load.phase as u8) << 6) | (load.seq % SEQ_COUNT), load.limit, load.pending, load.pace]
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
        Load { phase, seq: first % SEQ_COUNT, limit, pending, pace }
    }
}
