//! Sequential tests of a version's answers against those of the other versions in the same seconds.

use world::Name;

use crate::Time;
use crate::rollout::evidence::{RouteEvidence, TIME_CLASSES, class_end_us};

/// The sum of log-likelihood ratios at which a test finds a version bad: the logarithm of 2,000
/// answers, over a false verdict in 1 of 1,000 tests of so many.
pub(super) const THRESHOLD: f64 = 14.5;
/// The time after which answers of the other versions count for a third, in microseconds.
const MEMORY_US: f64 = 3e6;
/// How much more often than the others a good version may answer badly.
const TOLERANCE: f64 = 1.5;
/// A share of failures that is always tolerated.
const LEAST_FAILED: f64 = 0.03;
/// A share of slow answers that is always tolerated.
const LEAST_SLOW: f64 = 0.15;
/// The share of the answers that a good version gives which a bad one answers badly.
const BAD_SHARE: f64 = 0.4;
/// The share of the others' answers that are not slow.
const USUAL_SHARE: f64 = 0.9;
/// How many times longer than half of the others' answers one takes that is slow, at least.
const SLOW_RATIO: f64 = 2.0;
/// Answers of the others from which on their times are used.
const LEAST_TIMES: f64 = 20.0;
/// Answers as many as which a share is estimated with, before there are any.
const PRIOR: f64 = 10.0;
/// The share of bad answers that may come from one of several targets.
const LONE_SHARE: f64 = 0.8;

/// Recent answers of the other versions to the requests of one route.
#[derive(Clone, Debug, Default)]
struct Baseline {
    updated: Time,
    failed: f64,
    answered: f64,
    times: [f64; TIME_CLASSES],
}

impl Baseline {
    fn add(&mut self, now: Time, counts: &RouteEvidence) {
        let kept = (-(now.since(self.updated) as f64) / MEMORY_US).exp();
        self.updated = now;
        self.failed = self.failed * kept + counts.failed as f64;
        self.answered = self.answered * kept + (answered(counts) + counts.cold) as f64;
        self.times.iter_mut().for_each(|count| *count *= kept);
        for (class, count) in counts.times.iter().enumerate().take(TIME_CLASSES) {
            self.times[class] += f64::from(*count);
        }
    }

    fn failed_share(&self) -> f64 {
        (self.failed + PRIOR * LEAST_FAILED) / (self.failed + self.answered + PRIOR)
    }

    /// Returns the class that `share` of the answers do not exceed.
    fn quantile(&self, share: f64) -> usize {
        let most = self.times.iter().sum::<f64>() * share;
        let mut sum = 0.0;
        let reaches = |count: &f64| {
            sum += count;
            sum >= most
        };
        self.times.iter().position(reaches).unwrap_or(TIME_CLASSES - 1)
    }

    /// Returns the last class that is not slow. `None` while there are too few answers.
    fn usual_class(&self) -> Option<usize> {
        if self.times.iter().sum::<f64>() < LEAST_TIMES {
            return None;
        }
        let longest_us = class_end_us(self.quantile(0.5)) * SLOW_RATIO;
        let mut class = self.quantile(USUAL_SHARE);
        while class + 1 < TIME_CLASSES && class_end_us(class) < longest_us {
            class += 1;
        }
        Some(class)
    }

    fn slow_share(&self, usual: usize) -> f64 {
        let slow: f64 = self.times[usual + 1..].iter().sum();
        slow / self.times.iter().sum::<f64>().max(1.0)
    }
}

/// A cumulative sum (Page 1954) of the log-likelihood ratio between a bad and a good version.
#[derive(Clone, Debug, Default)]
pub(super) struct Test {
    /// At least 0.
    pub(super) sum: f64,
    /// Bad answers by target since the sum was 0, sorted by the guard's name.
    bad: Vec<(Name, u64)>,
}

impl Test {
    /// Adds answers of one target, where the others answer badly with the probability `usual`.
    fn add(&mut self, guard: &Name, bad: u64, good: u64, usual: f64) {
        let usual = usual.min(0.9);
        let expected = usual + BAD_SHARE * (1.0 - usual);
        let (by_bad, by_good) = ((expected / usual).ln(), ((1.0 - expected) / (1.0 - usual)).ln());
        self.sum = (self.sum + bad as f64 * by_bad + good as f64 * by_good).max(0.0);
        if self.sum == 0.0 {
            self.bad.clear();
            return;
        }
        match self.bad.binary_search_by(|(name, _)| name.cmp(guard)) {
            Ok(at) => self.bad[at].1 += bad,
            Err(at) => self.bad.insert(at, (guard.clone(), bad)),
        }
    }

    /// Returns the target that gave nearly all bad answers.
    fn lone(&self) -> Option<&Name> {
        let sum: u64 = self.bad.iter().map(|(_, bad)| bad).sum();
        let (name, most) = self.bad.iter().max_by_key(|(_, bad)| *bad)?;
        (*most as f64 > LONE_SHARE * sum as f64).then_some(name)
    }
}

/// What the tests of one route find.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Finding {
    /// The version answers badly.
    Bad,
    /// One target does, by its guard's name.
    Lone(Name),
}

/// The tests of one route.
#[derive(Clone, Debug, Default)]
pub(super) struct RouteTests {
    pub(super) route: u64,
    others: Baseline,
    pub(super) failures: Test,
    pub(super) slow: Test,
}

impl RouteTests {
    pub(super) fn new(route: u64) -> RouteTests {
        RouteTests { route, ..RouteTests::default() }
    }

    /// Adds answers of a target of another version.
    pub(super) fn add_other(&mut self, now: Time, counts: &RouteEvidence) {
        self.others.add(now, counts);
    }

    /// Adds answers of a target of the ordered version, and returns what they show.
    pub(super) fn add_new(&mut self, guard: &Name, counts: &RouteEvidence) -> Option<Finding> {
        let good = answered(counts) + counts.cold;
        let usual = (self.others.failed_share() * TOLERANCE).max(LEAST_FAILED);
        self.failures.add(guard, counts.failed, good, usual);
        if let Some(class) = self.others.usual_class() {
            let late = counts.times.iter().skip(class + 1).map(|count| u64::from(*count));
            let late: u64 = late.sum();
            let usual = (self.others.slow_share(class) * TOLERANCE).max(LEAST_SLOW);
            self.slow.add(guard, late, answered(counts) - late, usual);
        }
        let tests = [&self.failures, &self.slow];
        let test = tests.into_iter().find(|test| test.sum >= THRESHOLD)?;
        Some(test.lone().map_or(Finding::Bad, |name| Finding::Lone(name.clone())))
    }

    /// Returns the greater sum of the tests.
    pub(super) fn sum(&self) -> f64 {
        self.failures.sum.max(self.slow.sum)
    }

    /// Returns the time that half of the others' answers take, in microseconds, and their number.
    pub(super) fn usual_us(&self) -> (f64, f64) {
        let count = self.others.times.iter().sum::<f64>();
        (class_end_us(self.others.quantile(0.5)), count)
    }
}

/// Returns the answers with success of targets that were not cold.
fn answered(counts: &RouteEvidence) -> u64 {
    counts.times.iter().map(|count| u64::from(*count)).sum()
}
