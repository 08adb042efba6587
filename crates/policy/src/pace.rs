//! Whether a target answers at its usual pace.

use crate::Time;

/// Answers that are forgiven for each one that came.
const CREDIT: f64 = 2.0;
/// Overdue answers from which the target is taken to be slow.
const SLOW: f64 = 9.0;
/// Weight of one answer in the moving mean of the usual service time.
const USUAL_WEIGHT: f64 = 0.02;
/// Answers before the usual service time is trusted.
const TRUSTED: u32 = 30;
/// The least service time that counts as usual, in microseconds.
const LEAST_US: f64 = 500.0;

/// Compares answers that came with answers that should have come: a cumulative sum, as published by
/// Page (1954). It tells a target that slows down after a few missing answers, long before any one
/// of them is late by itself, and is not moved by single slow answers.
#[derive(Clone, Debug, Default)]
pub struct Pace {
    /// The moving mean of the service time, in microseconds.
    usual_us: f64,
    answers: u32,
    /// Answers overdue, never below zero.
    overdue: f64,
    /// When `overdue` was last worked out.
    at: Time,
}

impl Pace {
    /// Returns whether the target is slow. `running` counts the requests it works on.
    pub fn is_slow(&mut self, now: Time, running: usize) -> bool {
        self.pass(now, running);
        self.overdue > SLOW
    }

    /// Notes that time passed while `running` requests were worked on.
    pub fn pass(&mut self, now: Time, running: usize) {
        let passed_us = now.since(self.at) as f64;
        self.at = self.at.max(now);
        if self.answers >= TRUSTED {
            self.overdue += passed_us * running as f64 / self.usual_us.max(LEAST_US);
        }
    }

    /// Notes an answer that took `service_us`.
    pub fn answered(&mut self, service_us: f64) {
        self.answers = self.answers.saturating_add(1);
        let weight = (1.0 / f64::from(self.answers)).max(USUAL_WEIGHT);
        self.usual_us += (service_us - self.usual_us) * weight;
        self.overdue = (self.overdue - CREDIT).max(0.0);
    }

    /// Starts over after a cut, which a further one must not follow at once.
    pub fn restart(&mut self) {
        self.overdue = 0.0;
    }
}
