//! Choosing a target of one service from aged, partial knowledge of its load.

use rand::Rng;
use world::Name;

use crate::{Load, Phase, Time};

/// Random choices that are compared.
const CHOICES: usize = 3;
/// Targets of one service that an entry knows, at most.
const SUBSET: usize = 16;
/// Knowledge older than this is worth a probe, in microseconds.
const STALE_US: u64 = 50_000;
/// A report that a target is full is believed for this time, in microseconds.
const FULL_US: u64 = 200_000;
/// Knowledge older than this says nothing, in microseconds.
const FORGET_US: u64 = 2_000_000;
/// Weight of use in the cost of a target that has room.
const SPREAD: f64 = 0.6;
/// How much the room of a cold target counts, since it grows warm only by work.
const COLD_FAVOUR: f64 = 3.0;
/// Room that a full target is still given when targets are sampled.
const LEAST_ROOM: f64 = 0.2;
/// Failures in a row that eject a target.
const FAILURES_IN_ROW: u32 = 3;
/// Weight of one result in the moving share of failures.
const FAILURE_WEIGHT: f64 = 0.1;
/// Share of failures that ejects a target.
const FAILURE_SHARE: f64 = 0.5;
/// The first ejection, in microseconds; each further one is twice as long.
const EJECT_US: u64 = 500_000;
/// Ejections grow at most this many times.
const EJECT_DOUBLINGS: u32 = 5;
/// An ejected target comes back to its full share over this time, in microseconds.
const RETURN_US: u64 = 2_000_000;
/// Weight of one answer in the moving mean of an entry's own latencies.
const LATENCY_WEIGHT: f64 = 0.1;
/// Share of an entry's own latency at a target that its service time is taken to have at least.
const OWN_SHARE: f64 = 0.8;
/// Limit that a target without a report is taken to have.
const UNKNOWN_LIMIT: f64 = 2.0;
/// Service time that a target without a report is taken to have, in microseconds.
const UNKNOWN_SERVICE_US: f64 = 5_000.0;

/// A way to a target, from membership and configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The node in front of the target.
    pub target: Name,
    /// The round trip to it, in microseconds.
    pub rtt_us: u64,
}

/// How an attempt at a target ended, as far as the target's health goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// It answered after this many microseconds.
    Succeeded(u64),
    /// It failed, or the link to it did.
    Failed,
    /// The link to it is gone.
    Unreachable,
    /// The attempt says nothing of its health.
    Inconclusive,
}

#[derive(Clone, Debug)]
struct Known {
    route: Route,
    load: Option<Load>,
    /// When `load` came.
    at: Time,
    /// Attempts of this entry under way.
    own: u32,
    /// Attempts of this entry begun since `at`.
    since: u32,
    /// A moving mean of this entry's own latencies there, in microseconds.
    latency_us: f64,
    /// Failures in a row.
    in_row: u32,
    /// Moving share of failures, 0 to 1.
    failing: f64,
    /// Ejected until then.
    ejected: Time,
    ejections: u32,
}

/// What one entry knows of one service's targets.
#[derive(Clone, Debug, Default)]
pub struct Picker {
    /// Sorted by the target's name; at most `SUBSET`.
    known: Vec<Known>,
}

impl Picker {
    /// Replaces the routes. Knowledge of targets that stay is kept. Of a large service only the
    /// nearest targets are kept, those at one distance in an order that differs between entries.
    pub fn set_routes(&mut self, entry: &str, mut routes: Vec<Route>) {
        routes.sort_by_key(|route| (route.rtt_us, rendezvous(entry, &route.target)));
        routes.truncate(SUBSET);
        routes.sort_by(|a, b| a.target.cmp(&b.target));
        let old = std::mem::take(&mut self.known);
        self.known = routes.into_iter().map(Known::new).collect();
        for was in old {
            if let Some(known) = self.find(&was.route.target) {
                let route = known.route.clone();
                *known = Known { route, ..was };
            }
        }
    }

    /// Returns how many targets are known.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Returns whether no target is known.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Returns the known targets' names, sorted.
    pub fn targets(&self) -> impl Iterator<Item = &Name> {
        self.known.iter().map(|known| &known.route.target)
    }

    /// Chooses a target that was not tried yet: a few at random, weighed by their room, then the
    /// cheapest of these.
    pub fn choose(&self, now: Time, rng: &mut impl Rng, tried: &[Name]) -> Option<Name> {
        let healthy = |known: &&Known| known.is_open() && now >= known.ejected;
        self.best(now, rng, tried, healthy).or_else(|| {
            let open = |known: &&Known| known.is_open();
            self.best(now, rng, tried, open)
        })
    }

    /// Returns whether a target that was not tried yet seems to have a free place.
    pub fn has_room(&self, now: Time, tried: &[Name]) -> bool {
        let untried = self.known.iter().filter(|known| !tried.contains(&known.route.target));
        let mut open = untried.filter(|known| known.is_open());
        open.any(|known| now.since(known.at) > FULL_US || known.pending(now) < known.limit())
    }

    /// Returns a target whose load is worth a probe.
    pub fn stale_target(&self, now: Time, rng: &mut impl Rng) -> Option<Name> {
        let is_stale = |known: &&Known| now.since(known.at) > STALE_US;
        let count = self.known.iter().filter(is_stale).count();
        let at = (count > 0).then(|| rng.random_range(0..count))?;
        self.known.iter().filter(is_stale).nth(at).map(|known| known.route.target.clone())
    }

    /// Notes that an attempt at a target began.
    pub fn sent(&mut self, target: &str) {
        let Some(known) = self.find(target) else { return };
        known.own += 1;
        known.since += 1;
    }

    /// Takes in a load report. A report older than the last one is dropped.
    pub fn reported(&mut self, now: Time, target: &str, load: Load) {
        let Some(known) = self.find(target) else { return };
        let is_late = known.load.is_some_and(|last| load.is_before(&last));
        if is_late && now.since(known.at) < STALE_US {
            return;
        }
        known.load = Some(load);
        known.at = now;
        known.since = 0;
    }

    /// Takes in how an attempt at a target ended.
    pub fn ended(&mut self, now: Time, target: &str, health: AttemptResult) {
        let Some(known) = self.find(target) else { return };
        known.own = known.own.saturating_sub(1);
        match health {
            AttemptResult::Succeeded(latency_us) => known.succeeded(now, latency_us),
            AttemptResult::Failed => known.failed(now, false),
            AttemptResult::Unreachable => known.failed(now, true),
            AttemptResult::Inconclusive => {}
        }
    }

    /// Holds the silence of a target's guard against it, while the attempt is still under way.
    pub fn mark_unresponsive(&mut self, now: Time, target: &str) {
        if let Some(known) = self.find(target) {
            known.failed(now, true);
        }
    }

    fn find(&mut self, target: &str) -> Option<&mut Known> {
        let at = self.known.binary_search_by(|known| (*known.route.target).cmp(target)).ok()?;
        Some(&mut self.known[at])
    }

    fn best<R, F>(&self, now: Time, rng: &mut R, tried: &[Name], fits: F) -> Option<Name>
    where
        R: Rng,
        F: Fn(&&Known) -> bool,
    {
        let mut rooms = [0.0; SUBSET];
        for (room, known) in rooms.iter_mut().zip(&self.known) {
            if fits(&known) && !tried.contains(&known.route.target) {
                *room = known.room(now);
            }
        }
        let mut best: Option<(f64, usize)> = None;
        for _ in 0..CHOICES {
            let Some(at) = sample(rng, &mut rooms) else { break };
            let cost = self.known[at].cost(now);
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, at));
            }
        }
        best.map(|(_, at)| self.known[at].route.target.clone())
    }
}

impl Known {
    fn new(route: Route) -> Known {
        Known {
            route,
            load: None,
            at: Time::default(),
            own: 0,
            since: 0,
            latency_us: 0.0,
            in_row: 0,
            failing: 0.0,
            ejected: Time::default(),
            ejections: 0,
        }
    }

    fn is_open(&self) -> bool {
        self.load.is_none_or(|load| load.phase != Phase::Leaving)
    }

    fn limit(&self) -> f64 {
        self.load.map_or(UNKNOWN_LIMIT, |load| f64::from(load.limit.max(1)))
    }

    fn pending(&self, now: Time) -> f64 {
        let own = f64::from(self.own);
        let Some(load) = self.load else { return own };
        let age = now.since(self.at).min(FORGET_US) as f64 / FORGET_US as f64;
        let reported = f64::from(load.pending) * (1.0 - age);
        (reported + f64::from(self.since)).max(own)
    }

    /// The places that seem free, never zero, less after an ejection.
    fn room(&self, now: Time) -> f64 {
        let phase = self.load.map(|load| load.phase);
        let down = phase == Some(Phase::Down);
        let room = (self.limit() - self.pending(now)).max(LEAST_ROOM);
        let room = if phase == Some(Phase::Cold) { room * COLD_FAVOUR } else { room };
        let returned = now.since(self.ejected) as f64 / RETURN_US as f64;
        let share = match self.ejections {
            0 => 1.0,
            _ => returned.clamp(0.05, 1.0),
        };
        match down {
            true => LEAST_ROOM * 0.01,
            false => room * share,
        }
    }

    /// The expected time to an answer in microseconds, dearer where the target fails.
    fn cost(&self, now: Time) -> f64 {
        let limit = self.limit();
        let pending = self.pending(now);
        let service_us = self.load.map_or(UNKNOWN_SERVICE_US, |load| load.service_us());
        let service_us = service_us.max(self.latency_us * OWN_SHARE);
        let over = (pending + 1.0 - limit).max(0.0) / limit;
        let used = (pending / limit).min(1.0);
        let wait_us = service_us * (1.0 + over * 2.0 + SPREAD * used * used);
        let succeeding = (1.0 - self.failing).max(0.05);
        (wait_us + self.route.rtt_us as f64) / (succeeding * succeeding)
    }

    fn succeeded(&mut self, now: Time, latency_us: u64) {
        let latency_us = latency_us.saturating_sub(self.route.rtt_us) as f64;
        self.latency_us += (latency_us - self.latency_us) * LATENCY_WEIGHT;
        self.in_row = 0;
        self.failing *= 1.0 - FAILURE_WEIGHT;
        if self.ejections > 0 && now.since(self.ejected) > RETURN_US {
            self.ejections = 0;
        }
    }

    fn failed(&mut self, now: Time, gone: bool) {
        self.in_row += 1;
        self.failing += (1.0 - self.failing) * FAILURE_WEIGHT;
        let eject = gone || self.in_row >= FAILURES_IN_ROW || self.failing > FAILURE_SHARE;
        if eject && now >= self.ejected {
            let doublings = self.ejections.min(EJECT_DOUBLINGS);
            self.ejected = now.after(EJECT_US << doublings);
            self.ejections += 1;
            self.in_row = 0;
        }
    }
}

/// Draws an index by weight and takes its weight away.
fn sample(rng: &mut impl Rng, weights: &mut [f64]) -> Option<usize> {
    let total: f64 = weights.iter().sum();
    if total <= 0.0 {
        return None;
    }
    let mut draw = rng.random::<f64>() * total;
    for (at, weight) in weights.iter_mut().enumerate() {
        draw -= *weight;
        if draw < 0.0 && *weight > 0.0 {
            *weight = 0.0;
            return Some(at);
        }
    }
    let last = weights.iter().rposition(|weight| *weight > 0.0)?;
    weights[last] = 0.0;
    Some(last)
}

fn rendezvous(entry: &str, target: &str) -> u64 {
    let seed = xxhash_rust::xxh3::xxh3_64(entry.as_bytes());
    xxhash_rust::xxh3::xxh3_64_with_seed(target.as_bytes(), seed)
}
