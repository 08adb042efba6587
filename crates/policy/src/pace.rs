//! Detects that a target has become slower than usual.

use crate::Time;

/// Overdue answers that each answer cancels.
const ANSWER_CREDIT: f64 = 2.0;
/// Number of overdue answers above which the target is slow.
const SLOW_THRESHOLD: f64 = 9.0;
/// Weight of one answer in the moving average of the service time, after the first answers.
const SERVICE_TIME_WEIGHT: f64 = 0.02;
/// Answers needed before the average service time is used.
const MIN_ANSWERS: u32 = 30;
/// Lower bound of the average service time as it is used, in microseconds.
const MIN_SERVICE_US: f64 = 500.0;

/// Compares the answers that arrived with those that should have arrived, as a cumulative sum
/// (CUSUM; Page, 1954).
///
/// Each running request adds one overdue answer per average service time, and each answer cancels
/// [`ANSWER_CREDIT`] of them. This detects a slowdown after a few missing answers, long before any
/// one of them is late by itself, and a single slow answer does not trigger it.
#[derive(Clone, Debug, Default)]
pub struct SlowdownDetector {
    /// Moving average of the service time in microseconds.
    mean_us: f64,
    /// Answers recorded so far.
    answers: u32,
    /// Overdue answers, never below zero.
    overdue: f64,
    /// The time up to which `overdue` is counted.
    updated: Time,
}

impl SlowdownDetector {
    /// Returns whether the target is slow. `running` is the number of requests it works on.
    pub fn is_slow(&mut self, now: Time, running: usize) -> bool {
        self.advance(now, running);
        self.overdue > SLOW_THRESHOLD
    }

    /// Counts the answers that became due since the last call, while `running` requests ran. Call
    /// it before every change of that number.
    pub fn advance(&mut self, now: Time, running: usize) {
        let elapsed_us = now.since(self.updated) as f64;
        self.updated = self.updated.max(now);
        if self.answers >= MIN_ANSWERS {
            self.overdue += elapsed_us * running as f64 / self.mean_us.max(MIN_SERVICE_US);
        }
    }

    /// Records an answer that took `service_us`.
    pub fn answered(&mut self, service_us: f64) {
        self.answers = self.answers.saturating_add(1);
        let weight = (1.0 / f64::from(self.answers)).max(SERVICE_TIME_WEIGHT);
        self.mean_us += (service_us - self.mean_us) * weight;
        self.overdue = (self.overdue - ANSWER_CREDIT).max(0.0);
    }

    /// Clears the overdue answers after a cut of the limit, so that the same slowdown does not
    /// cause another cut at once.
    pub fn reset(&mut self) {
        self.overdue = 0.0;
    }
}
