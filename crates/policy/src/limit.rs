//! How much work one target bears at once.

use crate::Time;

/// Service times kept to tell a jump from a single slow answer.
const RECENT: usize = 7;
/// A median this many times the usual service time is a sign of a fall back to cold.
const JUMP: f64 = 4.0;
/// Weight of one answer in the moving mean of the usual service time.
const USUAL_WEIGHT: f64 = 0.02;
/// Answers before the usual service time is trusted.
const USUAL_ANSWERS: u32 = 30;
/// Weight of one answer in the moving mean that entries see.
const MEAN_WEIGHT: f64 = 0.1;
/// The least service time that is called a jump, in microseconds.
const JUMP_FLOOR_US: f64 = 2_000.0;

/// A target's concurrency limit: never above its slots, small while it is cold, cut at once on the
/// first sign of a fall back to cold, and grown again only by answers to requests begun since.
#[derive(Clone, Debug)]
pub struct Limit {
    /// What the target says it runs at once when warm.
    slots: u32,
    /// What it bears when cold, at least 1.
    cold_slots: u32,
    /// Answers after which a cold target bears one more, at least 1.
    warm_answers: u32,
    /// Never above `slots`.
    limit: u32,
    /// Whether the limit has not been back at `slots` since the last cut.
    cold: bool,
    /// When the limit was last cut.
    cut: Time,
    /// Answers since the limit last grew, to requests begun since `cut`.
    credit: u32,
    usual_us: f64,
    mean_us: f64,
    answers: u32,
    recent: [f64; RECENT],
    /// Entries of `recent` since the last cut.
    filled: usize,
    at: usize,
}

impl Limit {
    /// Opens the limit of a target that has just started.
    pub fn new(slots: u32, cold_slots: u32, warm_answers: u32, now: Time) -> Limit {
        Limit {
            slots,
            cold_slots,
            warm_answers: warm_answers.max(1),
            limit: cold_slots.min(slots),
            cold: cold_slots < slots,
            cut: now,
            credit: 0,
            usual_us: 0.0,
            mean_us: 0.0,
            answers: 0,
            recent: [0.0; RECENT],
            filled: 0,
            at: 0,
        }
    }

    /// Returns the most requests that may run at once.
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// Returns whether the target is taken to be cold.
    pub fn is_cold(&self) -> bool {
        self.cold
    }

    /// Returns a moving mean of the service time, in microseconds.
    pub fn service_us(&self) -> f64 {
        self.mean_us
    }

    /// Returns the service time from which a running request is a sign of trouble.
    pub fn overdue_us(&self) -> Option<u64> {
        let known = self.answers >= USUAL_ANSWERS;
        known.then(|| (self.usual_us * JUMP).max(JUMP_FLOOR_US) as u64)
    }

    /// Cuts the limit to what a cold target bears. Returns whether that changed anything.
    pub fn cut(&mut self, now: Time) -> bool {
        let was = (self.cold, self.limit);
        self.limit = self.cold_slots.min(self.slots);
        self.cold = self.cold_slots < self.slots;
        self.cut = now;
        self.credit = 0;
        self.filled = 0;
        was != (self.cold, self.limit)
    }

    /// Takes in how much the target says it runs at once. That never raises the limit.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = slots;
        self.limit = self.limit.min(slots);
    }

    /// Takes in an answer to a request that was dispatched at `sent` and that the target had whole
    /// at `begun`. Returns whether the limit was cut.
    pub fn answered(&mut self, now: Time, sent: Time, begun: Time) -> bool {
        let service_us = now.since(begun) as f64;
        let jumped = self.jumped(service_us);
        self.learn(service_us);
        if jumped {
            return self.cut(now);
        }
        if sent >= self.cut {
            self.grow();
        }
        false
    }

    fn grow(&mut self) {
        self.credit += 1;
        if self.credit < self.warm_answers || self.limit >= self.slots {
            return;
        }
        self.credit = 0;
        self.limit += 1;
        self.cold &= self.limit < self.slots;
    }

    fn learn(&mut self, service_us: f64) {
        self.answers = self.answers.saturating_add(1);
        let first = 1.0 / f64::from(self.answers);
        self.mean_us += (service_us - self.mean_us) * first.max(MEAN_WEIGHT);
        self.usual_us += (service_us - self.usual_us) * first.max(USUAL_WEIGHT);
    }

    fn jumped(&mut self, service_us: f64) -> bool {
        self.recent[self.at] = service_us;
        self.at = (self.at + 1) % RECENT;
        self.filled = (self.filled + 1).min(RECENT);
        if self.cold || self.filled < RECENT || self.answers < USUAL_ANSWERS {
            return false;
        }
        let mut sorted = self.recent;
        sorted.sort_by(f64::total_cmp);
        sorted[RECENT / 2] > (self.usual_us * JUMP).max(JUMP_FLOOR_US)
    }
}
