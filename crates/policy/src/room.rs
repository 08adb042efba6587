//! Whom to delay or turn away when a target has less room than is asked of it.
//!
//! The patterns that this answers: a workspace or a kind of request that asks for many times its
//! usual, urgent requests beside the calls of less urgent ones at one service, all targets cold at
//! once, load that differs by data centre, targets that come and go or are slow for a moment. In each
//! of them some requests wait or are refused; the rules here choose which.

use derive_more::Display;

use crate::{Refusal, Time};

/// How many times its expected time a request is taken to need where its aim is at stake, since
/// about half of all work takes longer than expected.
const AIM_MARGIN: f64 = 1.15;
/// While lower priorities are owed starts, one of this many goes to their longest wait.
const TURN_STARTS: u32 = 8;
/// The same as a share of the starts.
pub(crate) const LEAST_SHARE: f64 = 1.0 / TURN_STARTS as f64;
/// Lower priorities are owed starts while they get less than this share of what higher ones get, each
/// as a share of what it asks for. A caller is starved below half of this.
const OWED_SHARE: f64 = 0.5;
/// What of a cold target's limit may be kept for more urgent requests.
const RESERVED_SHARE: f64 = 1.0 - LEAST_SHARE;
/// The time over which the demand of each priority is counted, in microseconds: limits of cold
/// targets hold for each second.
const DEMAND_US: f64 = 1_000_000.0;
/// The demand is extrapolated from no less than this time, in microseconds.
const MIN_COUNTED_US: f64 = 100_000.0;
/// Demand below this many requests a second is not kept in mind.
const MIN_DEMAND: f64 = 0.05;
/// A request that has waited for this share of its time is not queued once more.
const REQUEUE_SHARE: f64 = 0.2;
/// The range of the time after which a refused caller comes back, in microseconds, while targets are
/// busy: other VMs on the same host keep a VM slow for about 0.1 s.
const BUSY_RETRY_US: (f64, f64) = (50_000.0, 250_000.0);
/// The same while a rate holds targets back, which is counted in seconds.
const RATE_RETRY_US: (f64, f64) = (50_000.0, 1_000_000.0);
/// The share of the time that a caller has left after which it comes back at the latest.
const RETRY_LEFT_SHARE: f64 = 1.0 / 3.0;
/// A call that arrives this much before the end of the run that it belongs to still matches it, in
/// microseconds: timeouts are passed on in whole milliseconds.
const EARLY_US: u64 = 3_000;
/// The same for a later end, in microseconds: each of the two hops adds the time for which the
/// message waited for a processor.
const LATE_US: u64 = 20_000;

/// A request that waits for a slot.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Job {
    /// 0 is served first.
    pub priority: u32,
    /// An answer after this time is late.
    pub aim: Time,
    /// The expected work time as the target is now, in microseconds.
    pub work_us: u64,
    /// When it began to wait.
    pub arrived: Time,
}

impl Job {
    /// Returns whether it misses its aim if it starts after a wait, in microseconds.
    pub fn is_late(&self, now: Time, wait_us: f64) -> bool {
        now.after((wait_us + self.work_us as f64 * AIM_MARGIN) as u64) > self.aim
    }
}

/// Returns the order in which jobs start on `slots` slots, as indices: those that can meet their aim
/// first, of these the lowest priority number, of these the nearest aim. Where not all of one priority
/// can meet their aims, the longest are put behind the others of that priority until the rest can.
pub fn order(now: Time, slots: u32, jobs: &[Job]) -> Vec<usize> {
    let slots = f64::from(slots.max(1));
    let mut sorted: Vec<usize> = (0..jobs.len()).collect();
    sorted.sort_by_key(|at| (jobs[*at].is_late(now, 0.0), jobs[*at].priority, jobs[*at].aim));
    let late_from = sorted.partition_point(|at| !jobs[*at].is_late(now, 0.0));
    let mut order = Vec::with_capacity(jobs.len());
    let mut ahead_us = 0.0;
    for class in sorted[..late_from].chunk_by(|a, b| jobs[*a].priority == jobs[*b].priority) {
        let (kept, dropped) = most_in_time(now, slots, ahead_us, class, jobs);
        ahead_us += class.iter().map(|at| jobs[*at].work_us as f64).sum::<f64>();
        order.extend(kept);
        order.extend(dropped);
    }
    order.extend(&sorted[late_from..]);
    order
}

/// Splits a class of jobs, sorted by aim, into most of those that can meet their aims one after the
/// other and the rest, by the rule of Moore and Hodgson. `ahead_us` is the work that starts before.
fn most_in_time(
    now: Time,
    slots: f64,
    ahead_us: f64,
    class: &[usize],
    jobs: &[Job],
) -> (Vec<usize>, Vec<usize>) {
    let (mut kept, mut dropped) = (Vec::new(), Vec::new());
    let mut work_us = ahead_us;
    for &at in class {
        let is_late = jobs[at].is_late(now, work_us / slots);
        kept.push(at);
        work_us += jobs[at].work_us as f64;
        if !is_late {
            continue;
        }
        let longest = (0..kept.len()).max_by_key(|place| (jobs[kept[*place]].work_us, *place));
        if let Some(place) = longest {
            let longest = kept.remove(place);
            work_us -= jobs[longest].work_us as f64;
            dropped.push(longest);
        }
    }
    dropped.sort_by_key(|at| jobs[*at].aim);
    (kept, dropped)
}

/// Gives lower priorities the starts that they are owed.
#[derive(Clone, Copy, Debug, Default)]
pub struct Turns {
    /// Starts since the last one of a lower priority, while any such job waited.
    passed: u32,
}

impl Turns {
    /// Returns which job starts next, given their order: the first one, or at times the longest wait
    /// of those with a lower priority. `is_owed` tells whether those below a priority are owed starts.
    /// `None` if there are no jobs.
    pub fn next(
        &mut self,
        order: &[usize],
        jobs: &[Job],
        is_owed: impl Fn(u32) -> bool,
    ) -> Option<usize> {
        let first = *order.first()?;
        let is_lower = |at: &usize| jobs[*at].priority > jobs[first].priority;
        let lower = order.iter().copied().filter(is_lower);
        let Some(longest) = lower.min_by_key(|at| jobs[*at].arrived) else { return Some(first) };
        self.passed += 1;
        if !is_owed(jobs[first].priority) {
            return Some(first);
        }
        if self.passed < TURN_STARTS {
            return Some(first);
        }
        self.passed = 0;
        Some(longest)
    }
}

/// Returns how many starts a job waits for: `ahead` by the order, or what its share of the starts
/// takes if `lower_ahead` others of lower priority go before it. That is `None` for the highest
/// priority and where lower ones are owed no starts.
pub fn starts_before(ahead: usize, lower_ahead: Option<usize>) -> usize {
    let share = TURN_STARTS as usize;
    lower_ahead.map_or(ahead, |lower| ahead.min(lower * share + share - 1))
}

/// What was asked for and started with one priority, in requests of about the last second.
#[derive(Clone, Copy, Debug)]
struct Demand {
    priority: u32,
    asked: f64,
    started: f64,
    /// When both counts were last changed.
    at: Time,
}

impl Demand {
    fn decay(&self, now: Time) -> f64 {
        (-(now.since(self.at) as f64) / DEMAND_US).exp()
    }
}

/// The demand of each priority at one target, by which a cold target keeps room for urgent requests.
#[derive(Clone, Debug, Default)]
pub struct Reserve {
    /// Sorted by priority.
    demands: Vec<Demand>,
    /// When the first request asked.
    since: Option<Time>,
}

impl Reserve {
    /// Records that a request asks to run.
    pub fn asked(&mut self, now: Time, priority: u32) {
        self.since.get_or_insert(now);
        self.count(now, priority, 1.0, 0.0);
    }

    /// Records that a request starts.
    pub fn started(&mut self, now: Time, priority: u32) {
        self.count(now, priority, 0.0, 1.0);
    }

    fn count(&mut self, now: Time, priority: u32, asked: f64, started: f64) {
        match self.demands.binary_search_by_key(&priority, |demand| demand.priority) {
            Ok(at) => {
                let demand = &mut self.demands[at];
                let decay = demand.decay(now);
                demand.asked = demand.asked * decay + asked;
                demand.started = demand.started * decay + started;
                demand.at = now;
            }
            Err(_) => {
                self.demands.retain(|demand| demand.asked * demand.decay(now) >= MIN_DEMAND);
                let at = self.demands.partition_point(|demand| demand.priority < priority);
                self.demands.insert(at, Demand { priority, asked, started, at: now });
            }
        }
    }

    /// Returns whether the priorities below one are owed starts: they get less than their share.
    pub fn is_owed(&self, now: Time, priority: u32) -> bool {
        let from = self.demands.partition_point(|demand| demand.priority <= priority);
        let (above, below) = self.demands.split_at(from);
        let sum = |demands: &[Demand]| {
            let decayed = demands.iter().map(|demand| (demand, demand.decay(now)));
            decayed.fold((0.0, 0.0), |(asked, started), (demand, decay)| {
                (asked + demand.asked * decay, started + demand.started * decay)
            })
        };
        let ((asked, started), (asked_below, started_below)) = (sum(above), sum(below));
        started_below * asked < OWED_SHARE * started * asked_below
    }

    /// Returns how many requests a second more urgent than a priority are asked for.
    pub fn asked_above(&self, now: Time, priority: u32) -> f64 {
        let from = self.demands.partition_point(|demand| demand.priority < priority);
        let above = &self.demands[..from];
        if above.is_empty() {
            return 0.0;
        }
        let counted_us = (now.since(self.since.unwrap_or(now)) as f64).max(MIN_COUNTED_US);
        let counted_share = 1.0 - (-counted_us / DEMAND_US).exp();
        let asked: f64 = above.iter().map(|demand| demand.asked * demand.decay(now)).sum();
        asked / counted_share
    }

    /// Returns whether a request may start at a target that takes `limit` requests a second: what it
    /// and those as urgent or less leave covers what more urgent ones ask for.
    pub fn allows(&self, now: Time, priority: u32, limit: u32) -> bool {
        let asked = self.asked_above(now, priority);
        if asked < MIN_DEMAND {
            return true;
        }
        let from = self.demands.partition_point(|demand| demand.priority < priority);
        let below = &self.demands[from..];
        let started: f64 = below.iter().map(|demand| demand.started * demand.decay(now)).sum();
        let limit = f64::from(limit);
        started + 1.0 <= limit - asked.min(limit * RESERVED_SHARE)
    }
}

/// Returns whether a request that a guard refused to queue, or queued in vain, is queued at another
/// one. It is not once it has waited for `waited_us` and `left_us` until its deadline are too little
/// for that: a wait takes up to two fifths of what is left, and its caller can still come back.
pub fn may_queue_again(waited_us: u64, left_us: u64) -> bool {
    (waited_us as f64) < REQUEUE_SHARE * (waited_us + left_us) as f64
}

/// Returns the time after which a refused caller should come back, in microseconds. `draw` is uniform
/// in 0 to 1, by which callers spread: over the next moments where targets are busy, since a slot comes
/// free within a request's work, and over a second where a rate holds targets back. It leaves the
/// caller two thirds of its time.
pub fn retry_after_us(refusal: Refusal, left_us: u64, draw: f64) -> u64 {
    let (least_us, most_us) = match refusal {
        Refusal::Cold | Refusal::Limited => RATE_RETRY_US,
        _ => BUSY_RETRY_US,
    };
    let most_us = most_us.min(left_us as f64 * RETRY_LEFT_SHARE).max(least_us);
    (least_us + (most_us - least_us) * draw) as u64
}

/// A request that a target runs, as its calls are matched with it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Run {
    /// Its priority; 0 is served first.
    pub priority: u32,
    /// An answer after this time is late.
    pub aim: Time,
    /// When the target stops to work on it, and its calls expire.
    pub deadline: Time,
    /// When it is expected to end.
    pub ends: Time,
}

/// How urgent a call is that a target makes for a request that it runs.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display("priority {priority}, aim {aim}")]
pub struct Urgency {
    /// The priority of the request that the call belongs to.
    pub priority: u32,
    /// When the call must be answered so that the request can meet its aim.
    pub aim: Time,
}

/// Returns the priority of a call that expires at `deadline` and whose run is not known: the median of
/// the runs that do not expire before it. `None` if there are none.
pub fn likely_priority(deadline: Time, runs: impl Iterator<Item = Run>) -> Option<u32> {
    let lasting = runs.filter(|run| deadline <= run.deadline.after(LATE_US));
    let mut priorities: Vec<u32> = lasting.map(|run| run.priority).collect();
    priorities.sort_unstable();
    let middle = priorities.len().checked_sub(1)? / 2;
    priorities.get(middle).copied()
}

/// Returns the urgency of a call that expires at `deadline`, from the run that it belongs to: the one
/// whose deadline is nearest, and of equally near ones the most urgent. `None` if none matches.
pub fn parent(now: Time, deadline: Time, runs: impl Iterator<Item = Run>) -> Option<Urgency> {
    let matches = |run: &Run| {
        deadline.after(EARLY_US) >= run.deadline && deadline <= run.deadline.after(LATE_US)
    };
    let distance = |run: &Run| deadline.since(run.deadline).max(run.deadline.since(deadline));
    let nearest = runs.filter(matches).min_by_key(|run| (distance(run), run.priority, run.aim))?;
    let left_us = nearest.ends.since(now);
    let aim = Time(nearest.aim.0.saturating_sub(left_us));
    Some(Urgency { priority: nearest.priority, aim })
}
