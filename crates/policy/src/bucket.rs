//! A token bucket, which limits retries, hedges, probes, load reports and log lines.

use crate::Time;

/// A token bucket that is filled at a fixed rate, by deposits, or by both.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    /// Never above `size`; below zero while there is a debt.
    tokens: f64,
    /// Above zero.
    size: f64,
    /// Tokens per second.
    rate: f64,
    filled_at: Time,
}

impl TokenBucket {
    /// Creates a full bucket of `size` tokens that gains `rate` tokens per second.
    pub fn new(size: f64, rate: f64) -> TokenBucket {
        TokenBucket { tokens: size, size, rate, filled_at: Time::default() }
    }

    /// Adds tokens; those beyond the bucket's size are lost.
    pub fn deposit(&mut self, tokens: f64) {
        self.tokens = (self.tokens + tokens).min(self.size);
    }

    /// Takes `tokens` if there are as many, and returns whether it did.
    pub fn take(&mut self, now: Time, tokens: f64) -> bool {
        self.refill(now);
        if self.tokens < tokens {
            return false;
        }
        self.tokens -= tokens;
        true
    }

    /// Takes `tokens`, also if there are fewer. Then none can be taken until the debt is refilled.
    pub fn spend(&mut self, now: Time, tokens: f64) {
        self.refill(now);
        self.tokens -= tokens;
    }

    /// Returns the number of tokens, 0 while there is a debt.
    pub fn level(&mut self, now: Time) -> f64 {
        self.refill(now);
        self.tokens.max(0.0)
    }

    /// Returns when there will be `tokens`, at most its size, by the rate alone.
    pub fn next(&mut self, now: Time, tokens: f64) -> Time {
        self.refill(now);
        let missing = (tokens.min(self.size) - self.tokens).max(0.0);
        // Rounded up, so that there are as many at that time.
        now.after((missing / self.rate * 1e6).ceil() as u64)
    }

    /// Replaces size and rate, and keeps the tokens that fit.
    pub fn set(&mut self, now: Time, size: f64, rate: f64) {
        self.refill(now);
        (self.size, self.rate) = (size, rate);
        self.tokens = self.tokens.min(size);
    }

    fn refill(&mut self, now: Time) {
        let seconds = now.since(self.filled_at) as f64 / 1e6;
        self.filled_at = self.filled_at.max(now);
        self.deposit(seconds * self.rate);
    }
}
