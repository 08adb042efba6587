//! How much work one target bears at once.

use crate::Time;

/// Weight of one answer in the moving mean that entries see.
const MEAN_WEIGHT: f64 = 0.1;

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
    mean_us: f64,
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
            mean_us: 0.0,
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

    /// Cuts the limit to what a cold target bears. Returns whether that changed anything.
    pub fn cut(&mut self, now: Time) -> bool {
        let was = (self.cold, self.limit);
        self.limit = self.cold_slots.min(self.slots);
        self.cold = self.cold_slots < self.slots;
        self.cut = now;
        self.credit = 0;
        was != (self.cold, self.limit)
    }

    /// Takes in how much the target says it runs at once. That never raises the limit.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = slots;
        self.limit = self.limit.min(slots);
    }

    /// Takes in an answer after `service_us` to a request that was dispatched at `sent`.
    pub fn answered(&mut self, sent: Time, service_us: f64) {
        self.mean_us = match self.mean_us {
            0.0 => service_us,
            mean_us => mean_us + (service_us - mean_us) * MEAN_WEIGHT,
        };
        if sent >= self.cut {
            self.grow();
        }
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
}
