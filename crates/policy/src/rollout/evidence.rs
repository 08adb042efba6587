//! What the guards of a service's targets see of their answers.

use serde::{Deserialize, Serialize};
use world::Name;

/// The number of classes of answers by their time.
pub(super) const TIME_CLASSES: usize = 32;

/// What one guard has seen of its target's answers since the order of a roll-out.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EvidenceReport {
    /// The service.
    pub service: Name,
    /// The revision of the order.
    pub order: u64,
    /// The version of the guard's target; empty while it is not known.
    pub version: Name,
    /// The time since the guard first saw the order, in microseconds.
    pub age_us: u64,
    /// The target's concurrency limit; 0 while it takes no requests, whatever is granted.
    pub slots: u32,
    /// Requests that run there.
    pub running: u32,
    /// Whether the target is cold.
    pub cold: bool,
    /// Counts of answers since the order, sorted by route.
    pub routes: Vec<RouteEvidence>,
}

/// Answers to the requests of one route, counted since the order of a roll-out.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RouteEvidence {
    /// Identifies the route among those of the service.
    pub route: u64,
    /// Requests that were sent to the target.
    pub sent: u64,
    /// Of these, those that failed.
    pub failed: u64,
    /// Of these, those that were answered while the target was cold.
    pub cold: u64,
    /// The other answers by their time in the target, in steps of half a power of two from 1 ms on.
    pub times: Vec<u32>,
}

impl RouteEvidence {
    /// Returns what was counted since `earlier`, or all if the counts began anew.
    pub(super) fn since(&self, earlier: &RouteEvidence) -> RouteEvidence {
        if self.sent < earlier.sent || self.failed < earlier.failed || self.cold < earlier.cold {
            return self.clone();
        }
        let before = |at: usize| earlier.times.get(at).copied().unwrap_or_default();
        let times = self.times.iter().enumerate();
        RouteEvidence {
            route: self.route,
            sent: self.sent - earlier.sent,
            failed: self.failed - earlier.failed,
            cold: self.cold - earlier.cold,
            times: times.map(|(at, count)| count.saturating_sub(before(at))).collect(),
        }
    }
}

/// Returns the class of an answer's time. The one after it begins at [`class_end_us`].
pub(super) fn time_class(us: u64) -> usize {
    let steps = 2.0 * (us.max(1) as f64 / 1e3).log2();
    (steps.max(0.0) as usize).min(TIME_CLASSES - 1)
}

/// Returns the end of a class of times, in microseconds.
pub(super) fn class_end_us(class: usize) -> f64 {
    1e3 * 2f64.powf((class + 1) as f64 / 2.0)
}

/// The counts of one guard.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    /// Sorted by route.
    routes: Vec<RouteEvidence>,
}

impl Evidence {
    /// Records that a request of a route is sent to the target.
    pub fn sent(&mut self, route: u64) {
        self.entry(route).sent += 1;
    }

    /// Records that the target answered with success after `took_us` microseconds, and whether it was
    /// cold.
    pub fn answered(&mut self, route: u64, took_us: u64, cold: bool) {
        let entry = self.entry(route);
        if cold {
            entry.cold += 1;
            return;
        }
        let class = time_class(took_us);
        entry.times.resize(entry.times.len().max(class + 1), 0);
        entry.times[class] += 1;
    }

    /// Records that the target failed a request, or gave no usable answer.
    pub fn failed(&mut self, route: u64) {
        self.entry(route).failed += 1;
    }

    /// Returns the counts, sorted by route.
    pub fn routes(&self) -> &[RouteEvidence] {
        &self.routes
    }

    fn entry(&mut self, route: u64) -> &mut RouteEvidence {
        let at = match self.routes.binary_search_by_key(&route, |entry| entry.route) {
            Ok(at) => at,
            Err(at) => {
                self.routes.insert(at, RouteEvidence { route, ..RouteEvidence::default() });
                at
            }
        };
        &mut self.routes[at]
    }
}
