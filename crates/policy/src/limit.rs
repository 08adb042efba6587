//! The concurrency limit of one target.

use crate::Time;

/// Weight of one answer in the moving average of the service time, which load reports carry.
const SERVICE_TIME_WEIGHT: f64 = 0.1;

/// Limits how many requests run at one target at once.
///
/// The limit never exceeds the target's slots and starts low, since a target that has just started
/// is cold. The first sign that the target is cold again cuts it back to the cold value. After a
/// cut, only answers to requests that were dispatched since then raise it: earlier requests may
/// have run while the target was still warm.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    /// Requests that the target runs at once when warm, according to its announcement.
    slots: u32,
    /// Requests that the target can run at once when cold, at least 1.
    cold_slots: u32,
    /// Answers that raise the limit of a cold target by one, at least 1.
    warm_answers: u32,
    /// The current limit, at most `slots`.
    limit: u32,
    /// Whether the limit has been below `slots` ever since the last cut.
    cold: bool,
    /// When the limit was last cut, or else when the target started.
    last_cut: Time,
    /// Answers since the limit last rose, to requests dispatched at `last_cut` or later.
    answers: u32,
    /// Moving average of the service time in microseconds, 0 before the first answer.
    mean_us: f64,
}

impl ConcurrencyLimit {
    /// Creates the limit of a target that has just started.
    pub fn new(slots: u32, cold_slots: u32, warm_answers: u32, now: Time) -> ConcurrencyLimit {
        ConcurrencyLimit {
            slots,
            cold_slots,
            warm_answers: warm_answers.max(1),
            limit: cold_slots.min(slots),
            cold: cold_slots < slots,
            last_cut: now,
            answers: 0,
            mean_us: 0.0,
        }
    }

    /// Returns how many requests may run at once.
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// Returns whether the limit has not yet risen to the target's slots since the last cut.
    pub fn is_cold(&self) -> bool {
        self.cold
    }

    /// Returns a moving average of the service time in microseconds, 0 before the first answer.
    pub fn service_us(&self) -> f64 {
        self.mean_us
    }

    /// Cuts the limit to the cold value. Returns whether this changed anything.
    pub fn cut(&mut self, now: Time) -> bool {
        let before = (self.cold, self.limit);
        self.limit = self.cold_slots.min(self.slots);
        self.cold = self.cold_slots < self.slots;
        self.last_cut = now;
        self.answers = 0;
        before != (self.cold, self.limit)
    }

    /// Sets the target's slots. This can lower the limit but never raises it.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = slots;
        self.limit = self.limit.min(slots);
    }

    /// Records an answer that took `service_us` to a request dispatched at `dispatched`.
    pub fn answered(&mut self, dispatched: Time, service_us: f64) {
        self.mean_us = match self.mean_us {
            0.0 => service_us,
            mean_us => mean_us + (service_us - mean_us) * SERVICE_TIME_WEIGHT,
        };
        if dispatched >= self.last_cut {
            self.count_answer();
        }
    }

    fn count_answer(&mut self) {
        self.answers += 1;
        if self.answers < self.warm_answers || self.limit >= self.slots {
            return;
        }
        self.answers = 0;
        self.limit += 1;
        self.cold &= self.limit < self.slots;
    }
}
