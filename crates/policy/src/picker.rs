//! Chooses a target of one service from load reports, which may be old or missing.

use rand::Rng;
use world::Name;

use crate::{Load, Phase, Time};

/// Targets that are drawn at random and then compared by cost.
const CHOICES: usize = 3;
/// Targets of one service that an entry uses, at most.
const MAX_TARGETS: usize = 16;
/// Age above which a load report is worth a probe, in microseconds.
const STALE_US: u64 = 50_000;
/// Time for which a report that a target is full counts, in microseconds.
const FULL_US: u64 = 200_000;
/// Age at which the pending requests of a report no longer count, in microseconds.
const FORGET_US: u64 = 2_000_000;
/// Weight of the squared utilization in the cost of a target, which matters while it has room.
const UTILIZATION_WEIGHT: f64 = 0.6;
/// Factor on the free places of a cold target, which warms up only by answering requests.
const COLD_FACTOR: f64 = 3.0;
/// Free places that a full target is taken to have, so that it is still drawn at times.
const MIN_FREE: f64 = 0.2;
/// Consecutive failures that eject a target.
const CONSECUTIVE_FAILURES: u32 = 3;
/// Weight of one attempt in the moving average of the failure rate.
const FAILURE_WEIGHT: f64 = 0.1;
/// Failure rate above which a target is ejected.
const EJECTION_FAILURE_RATE: f64 = 0.5;
/// Duration of the first ejection in microseconds. Each further one lasts twice as long.
const EJECTION_US: u64 = 500_000;
/// How often the duration of an ejection doubles, at most.
const MAX_EJECTION_DOUBLINGS: u32 = 5;
/// Time over which a target returns to its full share of requests after an ejection, in
/// microseconds.
const RECOVERY_US: u64 = 2_000_000;
/// Weight of one answer in the moving average of the entry's own latencies at a target.
const LATENCY_WEIGHT: f64 = 0.1;
/// Share of the entry's own latency at a target that its service time is taken to be at least.
const LATENCY_SHARE: f64 = 0.8;
/// Concurrency limit that a target without a report is taken to have.
const DEFAULT_LIMIT: f64 = 2.0;
/// Service time that a target without a report is taken to have, in microseconds.
const DEFAULT_SERVICE_US: f64 = 5_000.0;

/// A target that an entry can send to, from membership and configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The node in front of the target.
    pub target: Name,
    /// The round-trip time to that node, in microseconds.
    pub rtt_us: u64,
}

/// The result of an attempt, as a signal of the target's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// The target answered after this many microseconds.
    Succeeded(u64),
    /// The target failed, did not run the request or did not answer in time.
    Failed,
    /// The link to the target's node broke or the guard did not respond, which ejects the target
    /// at once.
    Unreachable,
    /// The attempt says nothing about the target's health.
    Inconclusive,
}

#[derive(Clone, Debug)]
struct TargetStats {
    route: Route,
    /// The last load report, none before the first.
    load: Option<Load>,
    /// When `load` arrived.
    reported: Time,
    /// Attempts of this entry that have not ended.
    in_flight: u32,
    /// Attempts that this entry has sent since `reported`.
    sent_since: u32,
    /// Moving average of this entry's own latencies, without the round trip, in microseconds.
    latency_us: f64,
    consecutive_failures: u32,
    /// Moving average of failures, 0 to 1.
    failure_rate: f64,
    /// The end of the last ejection.
    ejected_until: Time,
    /// Ejections without a full recovery in between.
    ejections: u32,
}

/// What one entry knows of the targets of one service.
#[derive(Clone, Debug, Default)]
pub struct Picker {
    /// Sorted by the target's name, at most `MAX_TARGETS`.
    targets: Vec<TargetStats>,
}

impl Picker {
    /// Replaces the routes and keeps the state of targets that remain. Of a service with many
    /// targets only the nearest are kept. Among targets at the same distance each entry keeps
    /// different ones, by rendezvous hashing.
    pub fn set_routes(&mut self, entry: &str, mut routes: Vec<Route>) {
        routes.sort_by_key(|route| (route.rtt_us, rendezvous_hash(entry, &route.target)));
        routes.truncate(MAX_TARGETS);
        routes.sort_by(|a, b| a.target.cmp(&b.target));
        let old = std::mem::take(&mut self.targets);
        self.targets = routes.into_iter().map(TargetStats::new).collect();
        for old_stats in old {
            if let Some(stats) = self.find(&old_stats.route.target) {
                let route = stats.route.clone();
                *stats = TargetStats { route, ..old_stats };
            }
        }
    }

    /// Returns the number of targets in use, at most `MAX_TARGETS`.
    pub fn len(&self) -> usize {
        self.targets.len()
    }

    /// Returns whether the service has no target.
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    /// Returns the names of the targets in use, sorted.
    pub fn targets(&self) -> impl Iterator<Item = &Name> {
        self.targets.iter().map(|stats| &stats.route.target)
    }

    /// Chooses a target that is not in `tried`: draws a few at random, weighted by their free
    /// places, and takes the one of least cost. Ejected targets are chosen only where there is no
    /// other.
    pub fn choose(&self, now: Time, rng: &mut impl Rng, tried: &[Name]) -> Option<Name> {
        let healthy = |stats: &&TargetStats| stats.is_open() && now >= stats.ejected_until;
        self.choose_among(now, rng, tried, healthy).or_else(|| {
            let open = |stats: &&TargetStats| stats.is_open();
            self.choose_among(now, rng, tried, open)
        })
    }

    /// Returns whether a target that is not in `tried` seems to have a free place.
    pub fn has_room(&self, now: Time, tried: &[Name]) -> bool {
        let untried = self.targets.iter().filter(|stats| !tried.contains(&stats.route.target));
        let mut open = untried.filter(|stats| stats.is_open());
        open.any(|stats| now.since(stats.reported) > FULL_US || stats.pending(now) < stats.limit())
    }

    /// Returns a random target whose load report is old enough to be worth a probe.
    pub fn stale_target(&self, now: Time, rng: &mut impl Rng) -> Option<Name> {
        let is_stale = |stats: &&TargetStats| now.since(stats.reported) > STALE_US;
        let count = self.targets.iter().filter(is_stale).count();
        let at = (count > 0).then(|| rng.random_range(0..count))?;
        self.targets.iter().filter(is_stale).nth(at).map(|stats| stats.route.target.clone())
    }

    /// Records that an attempt was sent to a target.
    pub fn sent(&mut self, target: &str) {
        let Some(stats) = self.find(target) else { return };
        stats.in_flight += 1;
        stats.sent_since += 1;
    }

    /// Records a load report. A report that was overtaken by a newer one is dropped.
    pub fn reported(&mut self, now: Time, target: &str, load: Load) {
        let Some(stats) = self.find(target) else { return };
        // Sequence numbers wrap around, so they order only reports that are close in time.
        let is_late = stats.load.is_some_and(|last| load.is_before(&last));
        if is_late && now.since(stats.reported) < STALE_US {
            return;
        }
        stats.load = Some(load);
        stats.reported = now;
        stats.sent_since = 0;
    }

    /// Records how an attempt at a target ended.
    pub fn ended(&mut self, now: Time, target: &str, result: AttemptResult) {
        let Some(stats) = self.find(target) else { return };
        stats.in_flight = stats.in_flight.saturating_sub(1);
        match result {
            AttemptResult::Succeeded(latency_us) => stats.succeeded(now, latency_us),
            AttemptResult::Failed => stats.failed(now, false),
            AttemptResult::Unreachable => stats.failed(now, true),
            AttemptResult::Inconclusive => {}
        }
    }

    /// Counts the missing response of a target's guard as a failure and ejects the target, although
    /// the attempt has not ended.
    pub fn mark_unresponsive(&mut self, now: Time, target: &str) {
        if let Some(stats) = self.find(target) {
            stats.failed(now, true);
        }
    }

    fn find(&mut self, target: &str) -> Option<&mut TargetStats> {
        let at = self.targets.binary_search_by(|stats| (*stats.route.target).cmp(target)).ok()?;
        Some(&mut self.targets[at])
    }

    fn choose_among<R, F>(&self, now: Time, rng: &mut R, tried: &[Name], fits: F) -> Option<Name>
    where
        R: Rng,
        F: Fn(&&TargetStats) -> bool,
    {
        let mut weights = [0.0; MAX_TARGETS];
        for (weight, stats) in weights.iter_mut().zip(&self.targets) {
            if fits(&stats) && !tried.contains(&stats.route.target) {
                *weight = stats.free(now);
            }
        }
        let mut best: Option<(f64, usize)> = None;
        for _ in 0..CHOICES {
            let Some(at) = sample(rng, &mut weights) else { break };
            let cost = self.targets[at].cost(now);
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, at));
            }
        }
        best.map(|(_, at)| self.targets[at].route.target.clone())
    }
}

impl TargetStats {
    fn new(route: Route) -> TargetStats {
        TargetStats {
            route,
            load: None,
            reported: Time::default(),
            in_flight: 0,
            sent_since: 0,
            latency_us: 0.0,
            consecutive_failures: 0,
            failure_rate: 0.0,
            ejected_until: Time::default(),
            ejections: 0,
        }
    }

    /// Whether the target takes new requests, as far as is known.
    fn is_open(&self) -> bool {
        self.load.is_none_or(|load| load.phase != Phase::Leaving)
    }

    fn limit(&self) -> f64 {
        self.load.map_or(DEFAULT_LIMIT, |load| f64::from(load.limit.max(1)))
    }

    /// Estimates the requests that run or wait at the target. The reported number counts less the
    /// older it is; the attempts of this entry count in full.
    fn pending(&self, now: Time) -> f64 {
        let own = f64::from(self.in_flight);
        let Some(load) = self.load else { return own };
        let age = now.since(self.reported).min(FORGET_US) as f64 / FORGET_US as f64;
        let reported = f64::from(load.pending) * (1.0 - age);
        (reported + f64::from(self.sent_since)).max(own)
    }

    /// Returns the weight with which the target is drawn: its free places, above zero, and less
    /// after an ejection.
    fn free(&self, now: Time) -> f64 {
        let phase = self.load.map(|load| load.phase);
        let down = phase == Some(Phase::Down);
        let free = (self.limit() - self.pending(now)).max(MIN_FREE);
        let free = if phase == Some(Phase::Cold) { free * COLD_FACTOR } else { free };
        let recovered = now.since(self.ejected_until) as f64 / RECOVERY_US as f64;
        let share = match self.ejections {
            0 => 1.0,
            _ => recovered.clamp(0.05, 1.0),
        };
        match down {
            true => MIN_FREE * 0.01,
            false => free * share,
        }
    }

    /// Returns the expected time to an answer in microseconds, increased by the failure rate.
    fn cost(&self, now: Time) -> f64 {
        let limit = self.limit();
        let pending = self.pending(now);
        let service_us = self.load.map_or(DEFAULT_SERVICE_US, |load| load.service_us());
        let service_us = service_us.max(self.latency_us * LATENCY_SHARE);
        let queued = (pending + 1.0 - limit).max(0.0) / limit;
        let utilization = (pending / limit).min(1.0);
        let time_us =
            service_us * (1.0 + queued * 2.0 + UTILIZATION_WEIGHT * utilization * utilization);
        let success_rate = (1.0 - self.failure_rate).max(0.05);
        (time_us + self.route.rtt_us as f64) / (success_rate * success_rate)
    }

    fn succeeded(&mut self, now: Time, latency_us: u64) {
        let latency_us = latency_us.saturating_sub(self.route.rtt_us) as f64;
        self.latency_us += (latency_us - self.latency_us) * LATENCY_WEIGHT;
        self.consecutive_failures = 0;
        self.failure_rate *= 1.0 - FAILURE_WEIGHT;
        if self.ejections > 0 && now.since(self.ejected_until) > RECOVERY_US {
            self.ejections = 0;
        }
    }

    fn failed(&mut self, now: Time, unreachable: bool) {
        self.consecutive_failures += 1;
        self.failure_rate += (1.0 - self.failure_rate) * FAILURE_WEIGHT;
        let eject = unreachable
            || self.consecutive_failures >= CONSECUTIVE_FAILURES
            || self.failure_rate > EJECTION_FAILURE_RATE;
        if eject && now >= self.ejected_until {
            let doublings = self.ejections.min(MAX_EJECTION_DOUBLINGS);
            self.ejected_until = now.after(EJECTION_US << doublings);
            self.ejections += 1;
            self.consecutive_failures = 0;
        }
    }
}

/// Draws an index with a probability in proportion to its weight, and sets that weight to zero.
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

fn rendezvous_hash(entry: &str, target: &str) -> u64 {
    let seed = xxhash_rust::xxh3::xxh3_64(entry.as_bytes());
    xxhash_rust::xxh3::xxh3_64_with_seed(target.as_bytes(), seed)
}
