//! What the guards of a service's targets see of their answers.

use serde::{Deserialize, Serialize};
use world::Name;

use crate::Time;

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
    /// Of the others, those that were cancelled after a time that shows that they were slow.
    pub late: u64,
    /// The other answers by their time in the target, in steps of half a power of two from 1 ms on.
    pub times: Vec<u32>,
    /// Requests that run, by how long they have, in the same steps. Not a count since the order.
    pub running: Vec<u32>,
}

impl RouteEvidence {
    /// Adds counts of another route.
    pub(super) fn add(&mut self, other: &RouteEvidence) {
        self.sent += other.sent;
        self.failed += other.failed;
        self.cold += other.cold;
        self.late += other.late;
        for (own, others) in [(&mut self.times, &other.times), (&mut self.running, &other.running)]
        {
            own.resize(own.len().max(others.len()), 0);
            own.iter_mut().zip(others).for_each(|(count, more)| *count += more);
        }
    }

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
            late: self.late.saturating_sub(earlier.late),
            times: times.map(|(at, count)| count.saturating_sub(before(at))).collect(),
            running: self.running.clone(),
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

/// Adds one to a class, in a list that ends with the last class that has any.
fn add(classes: &mut Vec<u32>, us: u64) {
    let class = time_class(us);
    classes.resize(classes.len().max(class + 1), 0);
    classes[class] += 1;
}

/// A request that runs.
#[derive(Clone, Copy, Debug)]
struct Running {
    id: u64,
    route: u64,
    begun: Time,
    /// Whether the target was cold at its start.
    cold: bool,
}

/// The counts of one guard.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    /// Sorted by route. What runs is not counted here.
    routes: Vec<RouteEvidence>,
    /// Sorted by id.
    running: Vec<Running>,
    /// The id of the last request.
    last_id: u64,
}

impl Evidence {
    /// Records that a request of a route is sent to the target, which is cold or not. Returns an id by
    /// which its end is recorded.
    pub fn sent(&mut self, now: Time, route: u64, cold: bool) -> u64 {
        self.entry(route).sent += 1;
        self.last_id += 1;
        self.running.push(Running { id: self.last_id, route, begun: now, cold });
        self.last_id
    }

    /// Records that the target answered a request with success.
    pub fn answered(&mut self, now: Time, id: u64) {
        let Some(running) = self.withdraw(id) else { return };
        let entry = self.entry(running.route);
        match running.cold {
            true => entry.cold += 1,
            false => add(&mut entry.times, now.since(running.begun)),
        }
    }

    /// Records that the target failed a request, or gave no usable answer.
    pub fn failed(&mut self, id: u64) {
        if let Some(running) = self.withdraw(id) {
            self.entry(running.route).failed += 1;
        }
    }

    /// Records that a request was cancelled after a time that shows that it was slow.
    pub fn cancelled_late(&mut self, id: u64) {
        let Some(running) = self.withdraw(id) else { return };
        let entry = self.entry(running.route);
        match running.cold {
            true => entry.cold += 1,
            false => entry.late += 1,
        }
    }

    /// Records that a request ended in a way that tells nothing of the target.
    pub fn cancelled(&mut self, id: u64) {
        self.withdraw(id);
    }

    /// Returns the counts, sorted by route.
    pub fn routes(&self, now: Time) -> Vec<RouteEvidence> {
        let mut routes = self.routes.clone();
        for running in self.running.iter().filter(|running| !running.cold) {
            let found = routes.binary_search_by_key(&running.route, |entry| entry.route);
            if let Ok(at) = found {
                add(&mut routes[at].running, now.since(running.begun));
            }
        }
        routes
    }

    fn withdraw(&mut self, id: u64) -> Option<Running> {
        let at = self.running.binary_search_by_key(&id, |running| running.id).ok()?;
        Some(self.running.remove(at))
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
