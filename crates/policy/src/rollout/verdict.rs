//! Sequential tests of a version's answers against those of the other versions in the same seconds.

use world::Name;

use crate::Time;
use crate::rollout::evidence::{RouteEvidence, TIME_CLASSES};

/// The sum of log-likelihood ratios at which a test finds a version bad: the logarithm of 2,000
/// answers, over a false verdict in 1 of 1,000 tests of so many.
pub(super) const THRESHOLD: f64 = 14.5;
/// The time after which answers of the other versions count for a third, in microseconds.
const MEMORY_US: f64 = 4e6;
/// The same for what counts if it shows more failures, in microseconds.
const SHORT_MEMORY_US: f64 = 5e5;
/// How much more often than the others a good version may fail.
const TOLERANCE: f64 = 1.5;
/// A share of failures that is always tolerated.
const LEAST_FAILED: f64 = 0.03;
/// A share of requests that is always tolerated to be cancelled since they are slow.
const LEAST_LATE: f64 = 0.1;
/// The share of the answers that a good version gives which a bad one fails or delays.
const BAD_SHARE: f64 = 0.4;
/// A share of answers that is tolerated to take twice as long.
const USUAL_SHARE: f64 = 0.1;
/// A share of answers that is tolerated to be as late as those of a bad version.
const RARE_SHARE: f64 = 0.03;
/// The classes by which tolerated answers are later.
const USUAL_SHIFT: usize = 2;
/// The classes by which the delayed answers of a bad version are later: 4 and 8 times the time.
const BAD_SHIFTS: [usize; 2] = [4, 6];
/// The most that one answer counts for a bad version, and against it.
const MOST_BY_TIME: (f64, f64) = (2.6, 0.5);
/// What an answer counts from which on it is bad.
const LATE: f64 = 1.0;
/// The others' answers from which on their times are used.
const LEAST_TIMES: f64 = 20.0;
/// Answers as many as which a share is estimated with, before there are any.
const PRIOR: f64 = 10.0;
/// The same for times, over all classes.
const TIME_PRIOR: f64 = 2.0;
/// The log-likelihood ratio from which on answers favour one side.
const FAVOUR: f64 = 1.0;
/// The share of bad answers that may come from one of several targets.
const LONE_SHARE: f64 = 0.8;

/// Recent answers of the other versions to the requests of one route.
#[derive(Clone, Debug, Default)]
struct Baseline {
    updated: Time,
    failed: f64,
    answered: f64,
    /// The same with the short memory.
    just_failed: f64,
    just_answered: f64,
    /// Requests that were cancelled since they were slow.
    late: f64,
    times: [f64; TIME_CLASSES],
}

/// What answers count for a bad version, by the classes of their times.
struct TimeRatios {
    /// Answers that ended.
    ended: [f64; TIME_CLASSES],
    /// Requests that have run for so long.
    running: [f64; TIME_CLASSES],
}

impl Baseline {
    fn add(&mut self, now: Time, counts: &RouteEvidence) {
        let passed_us = now.since(self.updated) as f64;
        let (kept, just_kept) =
            ((-passed_us / MEMORY_US).exp(), (-passed_us / SHORT_MEMORY_US).exp());
        self.updated = now;
        self.failed = self.failed * kept + counts.failed as f64;
        self.answered = self.answered * kept + (answered(counts) + counts.cold) as f64;
        self.just_failed = self.just_failed * just_kept + counts.failed as f64;
        self.just_answered =
            self.just_answered * just_kept + (answered(counts) + counts.cold) as f64;
        self.late = self.late * kept + counts.late as f64;
        self.times.iter_mut().for_each(|count| *count *= kept);
        for (class, count) in counts.times.iter().enumerate().take(TIME_CLASSES) {
            self.times[class] += f64::from(*count);
        }
    }

    fn failed_share(&self) -> f64 {
        let share = |failed: f64, answered: f64| {
            (failed + PRIOR * LEAST_FAILED) / (failed + answered + PRIOR)
        };
        // The others may just have begun to fail, as all targets do.
        let just = share(self.just_failed, self.just_answered);
        just.max(share(self.failed, self.answered))
    }

    fn late_share(&self) -> f64 {
        (self.late + PRIOR * LEAST_LATE) / (self.late + self.count() + PRIOR)
    }

    fn count(&self) -> f64 {
        self.times.iter().sum()
    }

    /// Returns the class that half of the answers do not exceed.
    fn median(&self) -> usize {
        let half = self.count() / 2.0;
        let mut sum = 0.0;
        let reaches = |count: &f64| {
            sum += count;
            sum >= half
        };
        self.times.iter().position(reaches).unwrap_or(TIME_CLASSES - 1)
    }

    /// Returns the shares of the classes, smoothed.
    fn shares(&self) -> [f64; TIME_CLASSES] {
        let (count, last) = (self.count(), TIME_CLASSES - 1);
        std::array::from_fn(|at| {
            let beside = self.times[at.saturating_sub(1)] + self.times[(at + 1).min(last)];
            let smooth = self.times[at] * 0.5 + beside * 0.25;
            (smooth + TIME_PRIOR / TIME_CLASSES as f64) / (count + TIME_PRIOR)
        })
    }

    /// Returns what times count for a version that delays answers. `None` while there are too few
    /// answers.
    fn time_ratios(&self) -> Option<TimeRatios> {
        if self.count() < LEAST_TIMES {
            return None;
        }
        let shares = self.shares();
        let later = |at: usize, shift: usize| at.checked_sub(shift).map_or(0.0, |at| shares[at]);
        let good: [f64; TIME_CLASSES] = std::array::from_fn(|at| {
            let shifted: f64 = BAD_SHIFTS.iter().map(|shift| later(at, *shift)).sum();
            (1.0 - USUAL_SHARE - RARE_SHARE) * shares[at]
                + USUAL_SHARE * later(at, USUAL_SHIFT)
                + RARE_SHARE * shifted / BAD_SHIFTS.len() as f64
        });
        let bad: [f64; TIME_CLASSES] = std::array::from_fn(|at| {
            let shifted: f64 = BAD_SHIFTS.iter().map(|shift| later(at, *shift)).sum();
            (1.0 - BAD_SHARE) * shares[at] + BAD_SHARE * shifted / BAD_SHIFTS.len() as f64
        });
        let (most, least) = MOST_BY_TIME;
        let ratio = |bad: f64, good: f64| (bad / good).ln().clamp(-least, most);
        // Of what runs, only that counts which is late for a good version.
        let if_late = |ratio: f64| if ratio >= LATE { ratio } else { 0.0 };
        let tail = |shares: &[f64; TIME_CLASSES], at: usize| shares[at..].iter().sum::<f64>();
        Some(TimeRatios {
            ended: std::array::from_fn(|at| ratio(bad[at], good[at])),
            running: std::array::from_fn(|at| if_late(ratio(tail(&bad, at), tail(&good, at)))),
        })
    }
}

/// What some answers of a target count.
#[derive(Clone, Copy, Debug, Default)]
struct Gain {
    /// The sum of their log-likelihood ratios.
    sum: f64,
    /// Those that count for a bad version.
    bad: u64,
}

impl Gain {
    /// Returns what bad and good answers count where a good version answers badly with the probability
    /// `usual`.
    fn of_shares(bad: u64, good: u64, usual: f64) -> Gain {
        let usual = usual.min(0.9);
        let expected = usual + BAD_SHARE * (1.0 - usual);
        let by_good = ((1.0 - expected) / (1.0 - usual)).ln();
        Gain { sum: bad as f64 * (expected / usual).ln() + good as f64 * by_good, bad }
    }

    /// Adds up classes of times.
    fn of_times(times: &[u32], ratios: &[f64; TIME_CLASSES]) -> Gain {
        let mut gain = Gain::default();
        for (count, ratio) in times.iter().zip(ratios) {
            gain.sum += f64::from(*count) * ratio;
            gain.bad += if *ratio >= LATE { u64::from(*count) } else { 0 };
        }
        gain
    }
}

/// A cumulative sum (Page 1954) of the log-likelihood ratio between a bad and a good version.
#[derive(Clone, Debug, Default)]
struct Test {
    /// At least 0.
    sum: f64,
    /// The same over all answers, without a lower limit. `None` before the first.
    whole: Option<f64>,
    /// Bad answers by target since the sum was 0, sorted by the guard's name.
    bad: Vec<(Name, u64)>,
    /// What requests that still run count by now, sorted by the guard's name.
    running: Vec<(Name, Gain)>,
}

impl Test {
    /// Adds answers of one target.
    fn add(&mut self, guard: &Name, gain: Gain) {
        self.sum = (self.sum + gain.sum).max(0.0);
        self.whole = Some(self.whole.unwrap_or_default() + gain.sum);
        if self.sum == 0.0 {
            self.bad.clear();
            return;
        }
        match self.bad.binary_search_by(|(name, _)| name.cmp(guard)) {
            Ok(at) => self.bad[at].1 += gain.bad,
            Err(at) => self.bad.insert(at, (guard.clone(), gain.bad)),
        }
    }

    /// Sets what requests that run at a target count.
    fn set_running(&mut self, guard: &Name, gain: Gain) {
        match self.running.binary_search_by(|(name, _)| name.cmp(guard)) {
            Ok(at) => self.running[at].1 = gain,
            Err(at) => self.running.insert(at, (guard.clone(), gain)),
        }
    }

    /// Returns the sum with what runs.
    fn total(&self) -> f64 {
        self.sum + self.running.iter().map(|(_, gain)| gain.sum).sum::<f64>()
    }

    /// Returns whether all answers together, with what runs, show a good version rather than a bad one.
    /// Without answers, nothing speaks against it.
    fn favours_good(&self) -> bool {
        self.whole.is_none_or(|whole| whole + self.total() - self.sum <= -FAVOUR)
    }

    /// Returns whether nearly all bad answers are of one target.
    fn is_lone(&self, guard: &Name) -> bool {
        let running = self.running.iter().map(|(name, gain)| (name, gain.bad));
        let all = running.chain(self.bad.iter().map(|(name, bad)| (name, *bad)));
        let (mut sum, mut own) = (0, 0);
        for (name, bad) in all {
            sum += bad;
            own += if name == guard { bad } else { 0 };
        }
        own as f64 > LONE_SHARE * sum as f64
    }
}

/// What the tests of one route find.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Finding {
    /// The version answers badly.
    Bad,
    /// The target of which answers were added does, but not the others.
    Lone,
}

/// The tests of one route.
#[derive(Clone, Debug, Default)]
pub(super) struct RouteTests {
    pub(super) route: u64,
    others: Baseline,
    failures: Test,
    /// On the times of answers.
    delays: Test,
    /// On requests that were cancelled since they were slow.
    cancels: Test,
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
        self.failures.add(guard, Gain::of_shares(counts.failed, good, usual));
        let usual = (self.others.late_share() * TOLERANCE).max(LEAST_LATE);
        self.cancels.add(guard, Gain::of_shares(counts.late, answered(counts), usual));
        if let Some(ratios) = self.others.time_ratios() {
            self.delays.add(guard, Gain::of_times(&counts.times, &ratios.ended));
            self.delays.set_running(guard, Gain::of_times(&counts.running, &ratios.running));
        }
        let test = self.all().into_iter().find(|test| test.total() >= THRESHOLD)?;
        if !test.is_lone(guard) {
            return Some(Finding::Bad);
        }
        Some(Finding::Lone)
    }

    fn all(&self) -> [&Test; 3] {
        [&self.failures, &self.delays, &self.cancels]
    }

    /// Returns the greatest sum of the tests.
    pub(super) fn sum(&self) -> f64 {
        self.all().into_iter().map(Test::total).fold(0.0, f64::max)
    }

    /// Returns whether the answers show a good version rather than a bad one.
    pub(super) fn favour_good(&self) -> bool {
        self.all().into_iter().all(Test::favours_good)
    }

    /// Returns the sums of the tests on failures and on delays.
    pub(super) fn sums(&self) -> (f64, f64) {
        (self.failures.total(), self.delays.total().max(self.cancels.total()))
    }

    /// Forgets the answers of the ordered version.
    pub(super) fn forget_new(&mut self) {
        (self.failures, self.delays) = (Test::default(), Test::default());
        self.cancels = Test::default();
    }

    /// Returns the class of the time that half of the others' answers do not exceed. `None` while there
    /// are too few.
    pub(super) fn usual_class(&self) -> Option<usize> {
        (self.others.count() >= LEAST_TIMES).then(|| self.others.median())
    }
}

/// Returns the answers with success of targets that were not cold.
fn answered(counts: &RouteEvidence) -> u64 {
    counts.times.iter().map(|count| u64::from(*count)).sum()
}
