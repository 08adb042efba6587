//! What nodes tell each other of requests that may crash their targets.

use serde::{Deserialize, Serialize};
use world::Name;

use crate::Fingerprint;

/// Set in the numbers that hold a round. Nodes of earlier versions number reports by the time in
/// milliseconds since 1970.
const HAS_ROUND: u64 = 1 << 63;
/// Set in the number of a trial.
const IS_TRIAL: u64 = 1 << 62;
/// The place and the highest value of the round.
const ROUND_SHIFT: u32 = 56;
const MAX_ROUND: u64 = 0x3f;
/// The bits that distinguish the reports of a node.
const UNIQUE: u64 = (1 << ROUND_SHIFT) - 1;

/// One request that ran at a target when the target crashed, or that is being tried.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CrashReport {
    /// The request.
    pub print: Fingerprint,
    /// The node in front of the target.
    pub node: Name,
    /// Distinguishes the reports of a node, across its restarts too. Holds the round, and whether
    /// the run was a trial; nodes of earlier versions only compare it.
    pub number: u64,
}

/// What nodes tell each other of requests that may crash their targets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CrashNotice {
    /// A target crashed while the request ran, or may do so in a trial that begins.
    Crashed(CrashReport),
    /// A request was answered, or refused by a target. Nodes of earlier versions send it; since it
    /// names no crashes, it clears none.
    Cleared(Fingerprint),
    /// A request was answered when these crashes were known, so that it was not their cause; or the
    /// trial that they report ended well.
    Answered(Vec<CrashReport>),
}

impl CrashReport {
    /// Creates the report of a run. `unique` distinguishes it from others of the node, and `round` is
    /// one more than the highest round that its guard knew of when the run began.
    pub fn new(
        print: Fingerprint,
        node: Name,
        unique: u64,
        round: u64,
        is_trial: bool,
    ) -> CrashReport {
        let trial = if is_trial { IS_TRIAL } else { 0 };
        let round = round.min(MAX_ROUND) << ROUND_SHIFT;
        CrashReport { print, node, number: HAS_ROUND | trial | round | unique & UNIQUE }
    }

    /// Returns the round of the run. `None` if the reporting node did not tell it.
    pub fn round(&self) -> Option<u64> {
        (self.number & HAS_ROUND != 0).then_some(self.number >> ROUND_SHIFT & MAX_ROUND)
    }

    /// Returns whether the run was a trial.
    pub fn is_trial(&self) -> bool {
        self.number & (HAS_ROUND | IS_TRIAL) == HAS_ROUND | IS_TRIAL
    }
}
