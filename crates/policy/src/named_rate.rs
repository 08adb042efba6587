//! The rate of requests that a target itself names, which its guard keeps to.
//!
//! Answers cross on their way. One that names no limit lifts it only if its request was sent after
//! the last answer that named it had arrived, so that it was certainly written later. A limit that is
//! higher takes effect by the same rule, a lower one at once.

use crate::{Time, TokenBucket};

/// What a target may be sent at once after a pause, in seconds of its rate.
const BURST_S: f64 = 0.25;
/// The rate that is used at least, in requests a second: without any request, nobody would notice
/// that the limit was lifted.
pub(crate) const MIN_PER_S: f64 = 0.5;
/// The rate from which on a limit has no effect, in requests a second.
const MAX_PER_S: f64 = 1e6;

/// A limit in force.
#[derive(Clone, Debug)]
struct Limit {
    /// Requests a second, as named.
    per_s: f64,
    /// When the last answer that named it arrived.
    named_at: Time,
    bucket: TokenBucket,
}

/// The limit that one target names, if it names any.
#[derive(Clone, Debug, Default)]
pub struct NamedRate {
    limit: Option<Limit>,
    /// Whether the target has answered, so that what others remember of it is outdated.
    answered: bool,
}

impl NamedRate {
    /// Handles an answer that arrived at `now` to a request that was sent at `sent`. `per_s` is the
    /// rate that it names, finite and at least 0. Returns whether a limit began or ended.
    pub fn answered(&mut self, now: Time, sent: Time, per_s: Option<f64>) -> bool {
        self.answered = true;
        let is_later = self.limit.as_ref().is_none_or(|limit| sent >= limit.named_at);
        match per_s.filter(|per_s| *per_s < MAX_PER_S) {
            Some(per_s) => self.set(now, per_s, is_later),
            None if is_later => self.limit.take().is_some(),
            None => false,
        }
    }

    /// Handles a limit that another node remembers of the target. It counts until the target
    /// answers. Returns whether a limit began.
    pub fn restore(&mut self, now: Time, per_s: f64) -> bool {
        if self.answered || !(0.0..MAX_PER_S).contains(&per_s) {
            return false;
        }
        let began = self.set(now, per_s, false);
        if let Some(limit) = &mut self.limit {
            // Whatever the target answers is newer.
            limit.named_at = Time::default();
        }
        began
    }

    /// Sets the limit if there is none or a higher one, or if `is_later`. Returns whether a limit
    /// began.
    fn set(&mut self, now: Time, per_s: f64, is_later: bool) -> bool {
        let rate = per_s.max(MIN_PER_S);
        let size = (rate * BURST_S).max(1.0);
        match &mut self.limit {
            None => {
                self.limit =
                    Some(Limit { per_s, named_at: now, bucket: TokenBucket::new(size, rate) });
                true
            }
            Some(limit) => {
                limit.named_at = now;
                if is_later || per_s < limit.per_s {
                    limit.per_s = per_s;
                    limit.bucket.set(now, size, rate);
                }
                false
            }
        }
    }

    /// Returns the rate that is named, in requests a second. `None` without a limit.
    pub fn per_s(&self) -> Option<f64> {
        self.limit.as_ref().map(|limit| limit.per_s)
    }

    /// Returns how many requests may be sent now. `None` without a limit.
    pub fn room(&mut self, now: Time) -> Option<u32> {
        self.limit.as_mut().map(|limit| limit.bucket.level(now) as u32)
    }

    /// Returns when the next request may be sent; `now` if one may already.
    pub fn next_room(&mut self, now: Time) -> Time {
        self.limit.as_mut().map_or(now, |limit| limit.bucket.next(now, 1.0))
    }

    /// Records that a request or a health check is sent. Later ones wait for what is sent beyond the
    /// limit.
    pub fn sent(&mut self, now: Time) {
        if let Some(limit) = &mut self.limit {
            limit.bucket.spend(now, 1.0);
        }
    }

    /// Returns how long `requests` take at the limit, in microseconds; 0 without one.
    pub fn duration_us(&self, requests: f64) -> f64 {
        let per_s = self.per_s().map(|per_s| per_s.max(MIN_PER_S));
        per_s.map_or(0.0, |per_s| 1e6 * requests / per_s)
    }
}
