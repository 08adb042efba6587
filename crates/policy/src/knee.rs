//! Whether a target slows down when it is nearly full.
//!
//! Some targets run more requests at once than they can work on at full speed. Beyond that point
//! each one more slows all others, and fewer are answered in a second. The knee compares how long
//! work takes while the target is nearly full with how long it takes while it is not, on a VM whose
//! neighbours are quiet. One target's answers say little in a few seconds, so that what the guards
//! of a service found is averaged.

use crate::Median;

/// Up to this share of its slots a target is not nearly full.
const LOW_USE: f64 = 0.65;
/// Beyond this share of its slots a target may slow down.
const KNEE: f64 = 0.8;
/// Times that work takes longer from which the knee is taken to exist.
const RATIO: f64 = 1.25;
/// Answers from which a median is trusted.
const ANSWERS: u32 = 30;
/// How much one answer moves a median, as a share of it.
const STEP: f64 = 0.03;
/// Where a median starts: at the expected time.
const START: f64 = 1.0;
/// How full a target was when a request started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Occupancy {
    /// Far from full.
    Low,
    /// Nearly full.
    High,
    /// In between, or its VM was slow.
    Unclear,
}

/// What is known of one target's knee.
#[derive(Clone, Copy, Debug)]
pub struct Knee {
    low: Median,
    high: Median,
    /// The average over the service's targets, where any is known.
    service: Option<f64>,
}

impl Default for Knee {
    fn default() -> Knee {
        let median = Median::new(START, STEP);
        Knee { low: median, high: median, service: None }
    }
}

impl Knee {
    /// Returns how full a target is that runs `running` requests, one that starts now among them.
    pub fn usage(running: u32, slots: u32) -> Occupancy {
        let share = f64::from(running) / f64::from(slots.max(1));
        match share {
            share if share <= LOW_USE => Occupancy::Low,
            share if share > KNEE => Occupancy::High,
            _ => Occupancy::Unclear,
        }
    }

    /// Takes in an answer that took `ratio` times the expected time.
    pub fn answered(&mut self, usage: Occupancy, ratio: f64) {
        match usage {
            Occupancy::Low => self.low.add(ratio),
            Occupancy::High => self.high.add(ratio),
            Occupancy::Unclear => {}
        }
    }

    /// Returns how many times longer work takes when the target is nearly full, once that is known.
    pub fn strain(&self) -> Option<f64> {
        let known = self.low.count() >= ANSWERS && self.high.count() >= ANSWERS;
        known.then(|| self.high.value() / self.low.value())
    }

    /// Takes in the average over the service's targets.
    pub fn set_service(&mut self, strain: Option<f64>) {
        self.service = strain;
    }

    /// Returns how many of its slots a target is given.
    pub fn slots(&self, slots: u32) -> u32 {
        match self.service.is_some_and(|strain| strain > RATIO) {
            true => ((f64::from(slots) * KNEE) as u32).max(1),
            false => slots,
        }
    }
}
