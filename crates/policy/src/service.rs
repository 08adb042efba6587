//! The state of one service at one entry: its targets, its retry and hedge budgets, its latencies.

use hdrhistogram::Histogram;

use crate::{Picker, Time, TokenBucket};

/// Retries that each call adds to the retry budget.
const RETRY_DEPOSIT: f64 = 0.2;
/// Size of the retry budget.
const RETRY_BURST: f64 = 20.0;
/// Retries per second that are added to the budget whatever the number of calls.
const RETRIES_PER_SECOND: f64 = 5.0;
/// Hedges that each call adds to the hedge budget.
const HEDGE_DEPOSIT: f64 = 0.05;
/// Size of the hedge budget.
const HEDGE_BURST: f64 = 10.0;
/// A call is hedged after this quantile of the service's latency.
const HEDGE_QUANTILE: f64 = 0.95;
/// Lower limit of the delay before a hedge, in microseconds.
const MIN_HEDGE_DELAY_US: u64 = 1_000;
/// Answers after which the latency window is closed and a new one begins.
const WINDOW_ANSWERS: u64 = 512;
/// No latency quantile is taken from fewer answers than this.
const MIN_ANSWERS: u64 = 64;
/// Longer latencies are recorded as this one, in microseconds.
const MAX_LATENCY_US: u64 = 60_000_000;
/// Significant digits of a recorded latency.
const DIGITS: u8 = 1;

/// Targets, budgets and latencies of one service at one entry. All calls of the service share them.
#[derive(Clone, Debug)]
pub struct ServiceState {
    /// Chooses among the service's targets.
    pub picker: Picker,
    /// The retry budget; one token per retry.
    pub retries: TokenBucket,
    /// The hedge budget; one token per hedge.
    pub hedges: TokenBucket,
    /// Latencies of the current window, in microseconds.
    window: Histogram<u32>,
    /// The hedge delay from the last full window, in microseconds; `None` before there is one.
    hedge_delay_us: Option<u64>,
}

impl Default for ServiceState {
    fn default() -> ServiceState {
        let window = Histogram::new_with_bounds(1, MAX_LATENCY_US, DIGITS);
        ServiceState {
            picker: Picker::default(),
            retries: TokenBucket::new(RETRY_BURST, RETRIES_PER_SECOND),
            hedges: TokenBucket::new(HEDGE_BURST, 0.0),
            window: window.expect("the bounds are constants in range"),
            hedge_delay_us: None,
        }
    }
}

impl ServiceState {
    /// Records that a call began, which adds to the budgets.
    pub fn began(&mut self) {
        self.retries.deposit(RETRY_DEPOSIT);
        self.hedges.deposit(HEDGE_DEPOSIT);
    }

    /// Records the latency of an answer, in microseconds.
    pub fn answered(&mut self, latency_us: u64) {
        self.window.saturating_record(latency_us.max(1));
        if self.window.len() >= WINDOW_ANSWERS {
            self.hedge_delay_us = self.quantile();
            self.window.reset();
        }
    }

    /// Returns when a call that begins at `now` is to be hedged; `None` while there are too few
    /// answers to tell.
    pub fn hedge_at(&self, now: Time) -> Option<Time> {
        let delay_us = self.hedge_delay_us.or_else(|| self.quantile())?;
        Some(now.after(delay_us.max(MIN_HEDGE_DELAY_US)))
    }

    fn quantile(&self) -> Option<u64> {
        let has_enough = self.window.len() >= MIN_ANSWERS;
        has_enough.then(|| self.window.value_at_quantile(HEDGE_QUANTILE))
    }
}
