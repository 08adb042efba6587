//! What one entry keeps for one service.

use hdrhistogram::Histogram;

use crate::{Picker, Time, TokenBucket};

/// Retries that each call adds to the budget.
const RETRY_DEPOSIT: f64 = 0.2;
/// Retries that may be saved up.
const RETRY_SIZE: f64 = 20.0;
/// Retries a second that are allowed without any calls.
const RETRY_RATE: f64 = 5.0;
/// Hedges that each call adds to the budget.
const HEDGE_DEPOSIT: f64 = 0.05;
/// Hedges that may be saved up.
const HEDGE_SIZE: f64 = 10.0;
/// The quantile of the service's own latency after which a call is hedged.
const HEDGE_QUANTILE: f64 = 0.95;
/// The least wait before a hedge, in microseconds.
const HEDGE_FLOOR_US: u64 = 1_000;
/// Answers in one window of latencies.
const WINDOW: u64 = 512;
/// Answers before a latency quantile is trusted.
const TRUSTED: u64 = 64;
/// The longest latency that is told apart, in microseconds.
const LATENCY_LIMIT_US: u64 = 60_000_000;
/// Significant digits of a kept latency.
const DIGITS: u8 = 1;

/// Routing state and budgets of one service at one entry.
#[derive(Clone, Debug)]
pub struct ServiceState {
    /// The service's targets.
    pub picker: Picker,
    /// Shared by all calls of the service.
    pub retries: TokenBucket,
    /// Shared by all calls of the service.
    pub hedges: TokenBucket,
    /// Latencies of the window under way.
    window: Histogram<u32>,
    /// The hedge delay from the window before, in microseconds.
    hedge_us: Option<u64>,
}

impl Default for ServiceState {
    fn default() -> ServiceState {
        let window = Histogram::new_with_bounds(1, LATENCY_LIMIT_US, DIGITS);
        ServiceState {
            picker: Picker::default(),
            retries: TokenBucket::new(RETRY_SIZE, RETRY_RATE),
            hedges: TokenBucket::new(HEDGE_SIZE, 0.0),
            window: window.expect("the bounds are constants in range"),
            hedge_us: None,
        }
    }
}

impl ServiceState {
    /// Notes that a call began.
    pub fn began(&mut self) {
        self.retries.deposit(RETRY_DEPOSIT);
        self.hedges.deposit(HEDGE_DEPOSIT);
    }

    /// Notes the latency of an answer.
    pub fn answered(&mut self, latency_us: u64) {
        self.window.saturating_record(latency_us.max(1));
        if self.window.len() >= WINDOW {
            self.hedge_us = self.quantile();
            self.window.reset();
        }
    }

    /// Returns when a call that began at `now` is worth a hedge.
    pub fn hedge_at(&self, now: Time) -> Option<Time> {
        let delay_us = self.hedge_us.or_else(|| self.quantile())?;
        Some(now.after(delay_us.max(HEDGE_FLOOR_US)))
    }

    fn quantile(&self) -> Option<u64> {
        let trusted = self.window.len() >= TRUSTED;
        trusted.then(|| self.window.value_at_quantile(HEDGE_QUANTILE))
    }
}
