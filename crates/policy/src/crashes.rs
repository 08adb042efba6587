//! Requests that crash their targets.
//!
//! When a target's process ends while requests run there, each of them may be the cause. Three rules
//! keep a request that was there by chance from being refused for it:
//!
//! - **An answer decides.** A request that crashes each target that runs it is never answered. An
//!   answer clears the crashes that its guard knows of when it arrives, also those that happened while
//!   the request ran.
//! - **Crashes count one after another.** A run is later than a crash only if its guard knew of the
//!   crash when the run began. Targets that go down together are one event, however many they are.
//! - **A conclusion is tested.** After three crashes the request runs only as a trial: at one target
//!   of the service at a time, and the later the more events there were. A trial is reported as a
//!   crash before it begins and cleared when it ends well, so that it counts even if the node ends
//!   with the target. After two such trials no more are made.
//!
//! Notices reach nodes by several ways and in any order. An answer therefore clears crashes by their
//! reports, so that every node that has the same notices comes to the same result.

mod report;

use world::Name;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{Fingerprint, Time};

pub use report::{CrashNotice, CrashReport};

/// Crashes after which a request runs only as a trial.
const CRASHES: usize = 3;
/// Trials that may crash a target.
const MAX_TRIALS: usize = 2;
/// How long after the third crash of a single event the request still runs as usual, in microseconds:
/// at targets that the event did not reach it is answered in this time.
const SETTLE_US: u64 = 1_000_000;
/// The time from the last crash to a trial, by the number of events, in microseconds. The last one
/// holds for all higher numbers.
const TRIAL_WAITS_US: [u64; 3] = [SETTLE_US, 10_000_000, 60_000_000];
/// The time for which one target of the service is the place of trials, in microseconds.
const PLACE_US: u64 = 500_000;
/// A trial begins only in this first part of that time, in microseconds. Nodes learn of a crash some
/// milliseconds apart, and must not begin trials at two places.
const BEGIN_US: u64 = PLACE_US / 2;
/// How long a crash counts, in microseconds.
const RETENTION_US: u64 = 600_000_000;
/// Crashes that are remembered.
const MAX_REPORTS: usize = 2_048;

/// Whether a guard may run a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunPermit {
    /// Few crashes or none are known.
    Free,
    /// It may run as a trial, which must be reported first.
    Trial,
    /// It may have crashed targets, and is not run now.
    Refused,
}

/// The crashes that a node knows of.
#[derive(Clone, Debug, Default)]
pub struct Crashes {
    /// Sorted by request. All together hold at most [`MAX_REPORTS`].
    cases: Vec<Case>,
    /// Whether any case has [`CRASHES`] that were not cleared.
    has_conclusions: bool,
}

/// What may be done with a request on any node.
#[derive(Clone, Copy)]
enum Standing {
    /// It runs as usual.
    Free,
    /// One node may try it: that of the period number `period` since it became due.
    Due { period: u64 },
    /// No node runs it now.
    Refused,
}

/// The crashes at which one request ran.
#[derive(Clone, Debug)]
struct Case {
    print: Fingerprint,
    /// In the order in which they became known, and never empty. Those that were cleared are kept,
    /// also if they were cleared before they became known, so that a report that arrives late is not
    /// taken for a new one.
    crashes: Vec<Known>,
}

#[derive(Clone, Debug)]
struct Known {
    report: CrashReport,
    at: Time,
    /// Whether the request was answered since, or the trial ended well.
    cleared: bool,
}

impl Case {
    fn open(&self) -> impl Iterator<Item = &Known> {
        self.crashes.iter().filter(|known| !known.cleared)
    }
}

/// Returns the number of events: rounds of runs, each of which began after a crash of the one before was
/// known. Each report of a node that does not tell the round is an event.
fn count_events(crashes: &[&Known]) -> usize {
    let mut rounds: Vec<u64> = crashes.iter().filter_map(|known| known.report.round()).collect();
    let untold = crashes.len() - rounds.len();
    rounds.sort_unstable();
    rounds.dedup();
    rounds.len() + untold
}

impl Crashes {
    /// Applies a notice. Returns whether it changed anything, so that it must be passed on.
    pub fn apply(&mut self, now: Time, notice: &CrashNotice) -> bool {
        let changed = match notice {
            // Most notices are copies of others.
            CrashNotice::Crashed(report) if self.knows(report) => false,
            CrashNotice::Crashed(report) => self.record(now, report, false),
            CrashNotice::Cleared(_) => false,
            CrashNotice::Answered(reports) => {
                let changed = reports.iter().filter(|report| self.record(now, report, true));
                changed.count() > 0
            }
        };
        if changed {
            self.has_conclusions = self.cases.iter().any(|case| case.open().count() >= CRASHES);
        }
        changed
    }

    fn knows(&self, report: &CrashReport) -> bool {
        let Ok(at) = self.find(report.print) else { return false };
        self.cases[at].crashes.iter().any(|known| known.report == *report)
    }

    /// Removes the crashes that do not count any more.
    fn forget(&mut self, now: Time) {
        for case in &mut self.cases {
            case.crashes.retain(|known| now.since(known.at) < RETENTION_US);
        }
        self.cases.retain(|case| !case.crashes.is_empty());
    }

    /// Records a report, or that it was cleared. Returns whether that was not known.
    fn record(&mut self, now: Time, report: &CrashReport, cleared: bool) -> bool {
        if let Ok(at) = self.find(report.print) {
            let mut crashes = self.cases[at].crashes.iter_mut();
            if let Some(known) = crashes.find(|known| known.report == *report) {
                return cleared && !std::mem::replace(&mut known.cleared, true);
            }
        }
        self.forget(now);
        if self.cases.iter().map(|case| case.crashes.len()).sum::<usize>() >= MAX_REPORTS {
            self.drop_one();
        }
        let known = Known { report: report.clone(), at: now, cleared };
        match self.find(report.print) {
            Ok(at) => self.cases[at].crashes.push(known),
            Err(at) => {
                self.cases.insert(at, Case { print: report.print, crashes: vec![known] });
            }
        }
        true
    }

    /// Drops the oldest crash of those that matter least: the cleared ones, then those of the requests
    /// with the fewest crashes.
    fn drop_one(&mut self) {
        let weigh = |(at, case): (usize, &Case)| {
            let open = case.open().count();
            let weights = case.crashes.iter().enumerate().map(move |(index, known)| {
                let weight = if known.cleared { 0 } else { open };
                ((weight, known.at), at, index)
            });
            weights.min()
        };
        let Some((_, at, index)) = self.cases.iter().enumerate().filter_map(weigh).min() else {
            return;
        };
        self.cases[at].crashes.remove(index);
        if self.cases[at].crashes.is_empty() {
            self.cases.remove(at);
        }
    }

    /// Returns the crashes at which a request was there and that were not cleared.
    pub fn reports_of(&self, print: Fingerprint) -> Vec<CrashReport> {
        let Ok(at) = self.find(print) else { return Vec::new() };
        self.cases[at].open().map(|known| known.report.clone()).collect()
    }

    /// Returns the round of a run that begins now.
    pub fn next_round(&self, print: Fingerprint) -> u64 {
        let Ok(at) = self.find(print) else { return 1 };
        let rounds = self.cases[at].open().map(|known| known.report.round().unwrap_or(1));
        rounds.max().unwrap_or(0) + 1
    }

    /// Returns whether a request is not to be run as usual.
    pub fn is_quarantined(&self, now: Time, print: Fingerprint) -> bool {
        self.permit(now, print, "", Vec::new) != RunPermit::Free
    }

    /// Decides whether the guard of the node `own` may run a request now. `replicas` returns the nodes
    /// whose targets run its service.
    pub fn permit(
        &self,
        now: Time,
        print: Fingerprint,
        own: &str,
        replicas: impl FnOnce() -> Vec<Name>,
    ) -> RunPermit {
        match self.standing(now, print) {
            Standing::Free => RunPermit::Free,
            Standing::Due { period } => match trial_place(print, period, &replicas()) {
                Some(place) if **place == *own => RunPermit::Trial,
                _ => RunPermit::Refused,
            },
            Standing::Refused => RunPermit::Refused,
        }
    }

    /// Returns the node whose guard may run a request now, if none but that one may.
    pub fn trial_place(
        &self,
        now: Time,
        print: Fingerprint,
        replicas: impl FnOnce() -> Vec<Name>,
    ) -> Option<Name> {
        match self.standing(now, print) {
            Standing::Due { period } => trial_place(print, period, &replicas()).cloned(),
            Standing::Free | Standing::Refused => None,
        }
    }

    /// Returns whether any request had so many crashes that it may have to run as a trial.
    pub fn has_conclusions(&self) -> bool {
        self.has_conclusions
    }

    fn standing(&self, now: Time, print: Fingerprint) -> Standing {
        let Ok(at) = self.find(print) else { return Standing::Free };
        let is_recent = |known: &&Known| now.since(known.at) < RETENTION_US;
        let crashes: Vec<&Known> = self.cases[at].open().filter(is_recent).collect();
        let (Some(third), Some(last)) = (crashes.get(CRASHES - 1), crashes.last()) else {
            return Standing::Free;
        };
        let events = count_events(&crashes);
        if events == 1 && now.since(third.at) < SETTLE_US {
            return Standing::Free;
        }
        if crashes.iter().filter(|known| known.report.is_trial()).count() >= MAX_TRIALS {
            return Standing::Refused;
        }
        let wait_us = TRIAL_WAITS_US[events.min(TRIAL_WAITS_US.len()) - 1];
        match now.since(last.at).checked_sub(wait_us) {
            Some(since_us) if since_us % PLACE_US < BEGIN_US => {
                Standing::Due { period: since_us / PLACE_US }
            }
            _ => Standing::Refused,
        }
    }

    /// Returns those of a peer's reports that were cleared here, which the peer does not know.
    pub fn cleared_among(&self, notices: &[CrashNotice]) -> Vec<CrashReport> {
        let is_cleared = |report: &&CrashReport| {
            let Ok(at) = self.find(report.print) else { return false };
            self.cases[at].crashes.iter().any(|known| known.cleared && known.report == **report)
        };
        let reported = notices.iter().filter_map(|notice| match notice {
            CrashNotice::Crashed(report) => Some(report),
            _ => None,
        });
        reported.filter(is_cleared).cloned().collect()
    }

    /// Returns all reports that were not cleared, for a node that has just started.
    pub fn reports(&self) -> impl Iterator<Item = &CrashReport> {
        self.cases.iter().flat_map(|case| case.open().map(|known| &known.report))
    }

    fn find(&self, print: Fingerprint) -> Result<usize, usize> {
        self.cases.binary_search_by_key(&print, |case| case.print)
    }
}

/// Returns the node at which trials of a request are made in the period number `period`: nodes with
/// the same list choose the same one, and another one in each period.
fn trial_place(print: Fingerprint, period: u64, replicas: &[Name]) -> Option<&Name> {
    let seed = print.0.rotate_left(32) ^ period;
    replicas.iter().max_by_key(|name| (xxh3_64_with_seed(name.as_bytes(), seed), (*name).clone()))
}
