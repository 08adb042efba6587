//! A token bucket, which limits retries, hedges, probes, load reports and log lines.

use crate::Time;

/// A token bucket that is filled at a fixed rate, by deposits, or by both.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    /// Never above `size`.
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

    fn refill(&mut self, now: Time) {
        let seconds = now.since(self.filled_at) as f64 / 1e6;
        self.filled_at = self.filled_at.max(now);
        self.deposit(seconds * self.rate);
    }
}
