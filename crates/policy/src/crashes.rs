//! Requests that crash their targets.
//!
//! When a target's process ends while requests run there, each of them may be the cause. A request
//! that ran at three crashes without an answer in between, at any targets, is the cause as far as
//! can be told, and is not run any more. A run to the end clears it: a request that was there by
//! chance is answered the next time.
//!
//! Notices reach nodes by several ways and in any order. A run therefore clears the crashes that its
//! guard knew of when it began, each by its report, so that every node that has the same notices
//! comes to the same result.

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
    /// A request was answered, or refused by a target. Nodes of earlier versions send it; since it
    /// names no crashes, it clears none.
    Cleared(Fingerprint),
    /// A request ran to its end after these crashes were known, so that it was not their cause.
    Answered(Vec<CrashReport>),
}

/// The crashes that a node knows of.
#[derive(Clone, Debug, Default)]
pub struct Crashes {
    /// In the order in which they became known, at most [`MAX_REPORTS`]. Those that were cleared are
    /// kept, also if they were cleared before they became known, so that a report that arrives late
    /// is not taken for a new one.
    reports: Vec<Known>,
}

#[derive(Clone, Debug)]
struct Known {
    report: CrashReport,
    at: Time,
    /// Whether the request ran to its end since.
    cleared: bool,
}

impl Crashes {
    /// Applies a notice. Returns whether it changed anything, so that it must be passed on.
    pub fn apply(&mut self, now: Time, notice: &CrashNotice) -> bool {
        self.reports.retain(|known| now.since(known.at) < RETENTION_US);
        match notice {
            CrashNotice::Crashed(report) => self.record(now, report, false),
            CrashNotice::Cleared(_) => false,
            CrashNotice::Answered(reports) => {
                let changed = reports.iter().filter(|report| self.record(now, report, true));
                changed.count() > 0
            }
        }
    }

    /// Records a report, or that it was cleared. Returns whether that was not known.
    fn record(&mut self, now: Time, report: &CrashReport, cleared: bool) -> bool {
        if let Some(known) = self.reports.iter_mut().find(|known| known.report == *report) {
            return cleared && !std::mem::replace(&mut known.cleared, true);
        }
        if self.reports.len() >= MAX_REPORTS {
            // A crash that still counts is worth more than one that was cleared.
            let at = self.reports.iter().position(|known| known.cleared);
            self.reports.remove(at.unwrap_or(0));
        }
        self.reports.push(Known { report: report.clone(), at: now, cleared });
        true
    }

    /// Returns the crashes at which a request was there and that were not cleared.
    pub fn reports_of(&self, print: Fingerprint) -> Vec<CrashReport> {
        let open = self.reports.iter().filter(|known| !known.cleared);
        let reports = open.map(|known| &known.report).filter(|report| report.print == print);
        reports.cloned().collect()
    }

    /// Returns whether a request is not to be run.
    pub fn is_quarantined(&self, now: Time, print: Fingerprint) -> bool {
        let is_recent = |known: &&Known| {
            !known.cleared && known.report.print == print && now.since(known.at) < RETENTION_US
        };
        self.reports.iter().filter(is_recent).count() >= CRASHES
    }

    /// Returns all reports that were not cleared, for a node that has just started.
    pub fn reports(&self) -> impl Iterator<Item = &CrashReport> {
        self.reports.iter().filter(|known| !known.cleared).map(|known| &known.report)
    }
}
