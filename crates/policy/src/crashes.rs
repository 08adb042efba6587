//! Requests that crash their targets.
//!
//! When a target's process ends while requests run there, each of them may be the cause. A request
//! that ran at three crashes without an answer in between, at any targets, is the cause as far as
//! can be told, and is not run any more. An answer clears it: a request that was there by chance is
//! answered the next time.

use serde::{Deserialize, Serialize};
use world::Name;

use crate::{Fingerprint, Time};

/// Crashes after which a request is not run any more.
const CRASHES: usize = 3;
/// How long a crash counts, in microseconds.
const RETENTION_US: u64 = 600_000_000;
/// Crashes that are remembered. The oldest is dropped for a new one.
const MAX_REPORTS: usize = 2_048;

/// One request that ran at a target when the target crashed.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CrashReport {
    /// The request.
    pub print: Fingerprint,
    /// The node in front of the target.
    pub node: Name,
    /// Distinguishes the reports of a node, across its restarts too.
    pub number: u64,
}

/// What nodes tell each other of requests that may crash their targets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CrashNotice {
    /// A target crashed while the request ran.
    Crashed(CrashReport),
    /// The request was answered.
    Cleared(Fingerprint),
}

/// The crashes that a node knows of.
#[derive(Clone, Debug, Default)]
pub struct Crashes {
    /// In the order in which they became known, at most [`MAX_REPORTS`]. Those that were cleared are
    /// kept, so that a copy that arrives late is not taken for a new one and passed on again.
    reports: Vec<Known>,
}

#[derive(Clone, Debug)]
struct Known {
    report: CrashReport,
    at: Time,
    /// Whether the request was answered since.
    cleared: bool,
}

impl Crashes {
    /// Applies a notice. Returns whether it changed anything, so that it must be passed on.
    pub fn apply(&mut self, now: Time, notice: &CrashNotice) -> bool {
        self.reports.retain(|known| now.since(known.at) < RETENTION_US);
        match notice {
            CrashNotice::Crashed(report) => {
                if self.reports.iter().any(|known| known.report == *report) {
                    return false;
                }
                if self.reports.len() >= MAX_REPORTS {
                    self.reports.remove(0);
                }
                self.reports.push(Known { report: report.clone(), at: now, cleared: false });
                true
            }
            CrashNotice::Cleared(print) => {
                let mut changed = false;
                for known in self.reports.iter_mut().filter(|known| known.report.print == *print) {
                    changed |= !std::mem::replace(&mut known.cleared, true);
                }
                changed
            }
        }
    }

    /// Returns whether any crash is known that a request was there at.
    pub fn is_suspect(&self, print: Fingerprint) -> bool {
        self.reports.iter().any(|known| !known.cleared && known.report.print == print)
    }

    /// Returns whether a request is not to be run.
    pub fn is_quarantined(&self, now: Time, print: Fingerprint) -> bool {
        let is_recent = |known: &&Known| {
            !known.cleared && known.report.print == print && now.since(known.at) < RETENTION_US
        };
        self.reports.iter().filter(is_recent).count() >= CRASHES
    }

    /// Returns all reports, for a node that has just started.
    pub fn reports(&self) -> impl Iterator<Item = &CrashReport> {
        self.reports.iter().filter(|known| !known.cleared).map(|known| &known.report)
    }
}
