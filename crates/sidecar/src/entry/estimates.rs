//! What an entry has measured of each route's requests, and its retry budgets for each service.

use policy::{Median, RequestEstimate, RetryBudget};
use world::Name;

/// Weight of one answer in the exponentially weighted average of answer sizes.
const BYTES_WEIGHT: f64 = 0.05;
/// How much one answer moves the estimated median of the work time, as a share of it. A median is
/// used because some answers take five times as long as the others, when other VMs on the same host
/// slow a target's VM down.
const WORK_STEP: f64 = 0.04;
/// The estimate of the work time before the first answer, in microseconds.
const INITIAL_WORK_US: f64 = 100_000.0;
/// How much one answer lowers the estimated time of slow work, as a share of the difference: a slow
/// answer counts for about the next fifty.
const SLOW_WEIGHT: f64 = 0.02;
/// The estimate of the time of slow work before the first answer, in microseconds.
const INITIAL_SLOW_US: f64 = 1_000_000.0;
/// Slow work is expected to take at least this many times the median.
const MIN_SLOW_RATIO: f64 = 2.0;
/// The estimate of the answer's size before the first answer.
const INITIAL_BYTES: f64 = 1_000.0;

/// Estimates for the requests of one route, from earlier answers.
#[derive(Clone, Copy, Debug)]
pub struct RouteEstimate {
    work_us: Median,
    /// Raised at once by an answer that took longer, and lowered slowly by the others.
    slow_us: f64,
    bytes: f64,
}

impl Default for RouteEstimate {
    fn default() -> RouteEstimate {
        RouteEstimate {
            work_us: Median::new(INITIAL_WORK_US, WORK_STEP),
            slow_us: INITIAL_SLOW_US,
            bytes: INITIAL_BYTES,
        }
    }
}

impl RouteEstimate {
    /// Records an answer: its time in the target, and the size of its body.
    pub fn record_answer(&mut self, took_us: u64, bytes: usize) {
        let took = took_us as f64;
        self.work_us.add(took);
        self.slow_us = took.max(self.slow_us + (took - self.slow_us) * SLOW_WEIGHT);
        self.bytes += (bytes as f64 - self.bytes) * BYTES_WEIGHT;
    }

    /// Returns how long a target takes at most in all but a few cases, in microseconds.
    pub fn slow_work_us(&self) -> u64 {
        self.slow_us.max(self.work_us.value() * MIN_SLOW_RATIO) as u64
    }

    /// Returns the estimate for a request with a body of `sent` bytes.
    pub fn request(&self, sent: usize) -> RequestEstimate {
        RequestEstimate { work_us: self.work_us.value(), bytes: self.bytes + sent as f64 }
    }
}

/// A map from names to values, kept as a sorted vector.
#[derive(Clone, Debug)]
pub struct NameMap<T> {
    values: Vec<(Name, T)>,
}

impl<T> Default for NameMap<T> {
    fn default() -> NameMap<T> {
        NameMap { values: Vec::new() }
    }
}

impl<T: Default> NameMap<T> {
    /// Returns the value of a name, and inserts the default first if there is none.
    pub fn value_mut(&mut self, name: &Name) -> &mut T {
        let at = match self.values.binary_search_by(|(known, _)| known.cmp(name)) {
            Ok(at) => at,
            Err(at) => {
                self.values.insert(at, (name.clone(), T::default()));
                at
            }
        };
        &mut self.values[at].1
    }
}

/// Estimates by route name.
pub type RouteEstimates = NameMap<RouteEstimate>;
/// Retry budgets by service name.
pub type RetryBudgets = NameMap<RetryBudget>;
