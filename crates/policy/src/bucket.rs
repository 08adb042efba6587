//! A token bucket: the budget of retries, hedges and bytes of measuring.

use crate::Time;

/// A token bucket that fills by time, by deposits, or by both.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    /// At most `size`.
    tokens: f64,
    /// Above zero.
    size: f64,
    /// Tokens that arrive in a second.
    rate: f64,
    filled: Time,
}

impl TokenBucket {
    /// Opens a full bucket of `size` tokens that gains `rate` tokens a second.
    pub fn new(size: f64, rate: f64) -> TokenBucket {
        TokenBucket { tokens: size, size, rate, filled: Time::default() }
    }

    /// Adds tokens, up to the bucket's size.
    pub fn deposit(&mut self, tokens: f64) {
        self.tokens = (self.tokens + tokens).min(self.size);
    }

    /// Takes `tokens`, or nothing where fewer are left.
    pub fn take(&mut self, now: Time, tokens: f64) -> bool {
        self.fill(now);
        if self.tokens < tokens {
            return false;
        }
        self.tokens -= tokens;
        true
    }

    fn fill(&mut self, now: Time) {
        let seconds = now.since(self.filled) as f64 / 1e6;
        self.filled = self.filled.max(now);
        self.deposit(seconds * self.rate);
    }
}
