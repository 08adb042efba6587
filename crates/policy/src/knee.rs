//! Detects whether a target slows down when it is nearly full.
//!
//! Some targets accept more concurrent requests than they can work on at full speed. Beyond that
//! point, the knee of the latency curve, each further request slows down all others, and throughput
//! falls. A target's *strain* is how many times longer work takes when the target is nearly full
//! than when it is not, on a VM whose neighbours are idle. A few seconds of one target's answers
//! are too few to tell, so the strain is averaged over the targets of a service.

use crate::Median;

/// Up to this share of taken slots the occupancy is low.
const LOW_OCCUPANCY: f64 = 0.65;
/// Beyond this share of taken slots the occupancy is high. A target that slows down is given only
/// this share of its slots.
const KNEE_OCCUPANCY: f64 = 0.8;
/// A target slows down if its strain is above this.
const KNEE_STRAIN: f64 = 1.25;
/// The strain is unknown until each median has this many answers.
const MIN_ANSWERS: u32 = 30;
/// How much one answer moves a median, as a share of the median.
const MEDIAN_STEP: f64 = 0.03;
/// The start value of a median: work takes the expected time.
const MEDIAN_START: f64 = 1.0;

/// How full a target was when a request started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Occupancy {
    /// So far from full that work is not slowed down.
    Low,
    /// So nearly full that work may be slowed down.
    High,
    /// In between, or not comparable since the VM was slow or the target cold.
    Unclear,
}

/// The strain of one target, and the concurrency limit that follows from it.
#[derive(Clone, Copy, Debug)]
pub struct Knee {
    /// Work time at low occupancy, as a ratio to the expected time.
    low: Median,
    /// The same at high occupancy.
    high: Median,
    /// The average strain over the service's targets; `None` where none is known.
    service_strain: Option<f64>,
}

impl Default for Knee {
    fn default() -> Knee {
        let median = Median::new(MEDIAN_START, MEDIAN_STEP);
        Knee { low: median, high: median, service_strain: None }
    }
}

impl Knee {
    /// Returns the occupancy of a target that runs `running` requests, the one that starts now
    /// included.
    pub fn occupancy(running: u32, slots: u32) -> Occupancy {
        let share = f64::from(running) / f64::from(slots.max(1));
        match share {
            share if share <= LOW_OCCUPANCY => Occupancy::Low,
            share if share > KNEE_OCCUPANCY => Occupancy::High,
            _ => Occupancy::Unclear,
        }
    }

    /// Records an answer that took `ratio` times the expected work time.
    pub fn answered(&mut self, occupancy: Occupancy, ratio: f64) {
        match occupancy {
            Occupancy::Low => self.low.add(ratio),
            Occupancy::High => self.high.add(ratio),
            Occupancy::Unclear => {}
        }
    }

    /// Returns the target's strain; `None` until there are enough answers at both occupancies.
    pub fn strain(&self) -> Option<f64> {
        let known = self.low.count() >= MIN_ANSWERS && self.high.count() >= MIN_ANSWERS;
        known.then(|| self.high.value() / self.low.value())
    }

    /// Sets the average strain over the service's targets.
    pub fn set_service_strain(&mut self, strain: Option<f64>) {
        self.service_strain = strain;
    }

    /// Returns how many of the target's `slots` may be used, at least 1 for a target that slows
    /// down.
    pub fn usable_slots(&self, slots: u32) -> u32 {
        match self.service_strain.is_some_and(|strain| strain > KNEE_STRAIN) {
            true => ((f64::from(slots) * KNEE_OCCUPANCY) as u32).max(1),
            false => slots,
        }
    }
}
