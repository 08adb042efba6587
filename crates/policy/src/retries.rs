//! The retry budget, which each node keeps from its own counts.
//!
//! The bound is on the sum over all nodes: a number of retries per request, and a slack beside
//! them. If each node stays within the ratio for its own requests and an equal part of the slack,
//! the sum is kept without coordination. Hedged requests count as retries.

use crate::Time;

/// The window is counted in this many buckets.
const BUCKETS: usize = 20;
/// The share of the bound that is used. The calls that a retried request makes count as retries
/// too, and no node can tell them from other calls.
const USED_SHARE: f64 = 0.5;

/// The bound on retries over all nodes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBound {
    /// Retries per request.
    pub ratio: f64,
    /// Retries that are allowed in addition, whatever the number of requests.
    pub slack: f64,
    /// The window over which both are counted, in microseconds.
    pub window_us: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    /// Which bucket is counted here, as [`bucket_number`] returns it.
    number: u64,
    requests: u32,
    retries: u32,
}

/// One node's retry budget for one service.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    buckets: [Counts; BUCKETS],
}

impl RetryBudget {
    /// Counts a request, which adds to the budget.
    pub fn record_request(&mut self, now: Time, bound: &RetryBound) {
        self.bucket(now, bound).requests += 1;
    }

    /// Takes one retry from the budget; returns false if none is left. `nodes` share the slack.
    pub fn take(&mut self, now: Time, bound: &RetryBound, nodes: usize) -> bool {
        let current = bucket_number(now, bound);
        let counted = self.buckets.iter().filter(|bucket| bucket.number + BUCKETS as u64 > current);
        let (requests, retries) = counted.fold((0, 0), |(requests, retries), bucket| {
            (requests + bucket.requests, retries + bucket.retries)
        });
        let slack = bound.slack / nodes.max(1) as f64;
        let most = USED_SHARE * (bound.ratio * f64::from(requests) + slack);
        if f64::from(retries) + 1.0 > most {
            return false;
        }
        self.bucket(now, bound).retries += 1;
        true
    }

    /// Returns one retry that reached no target to the budget.
    pub fn refund(&mut self, now: Time, bound: &RetryBound) {
        let bucket = self.bucket(now, bound);
        bucket.retries = bucket.retries.saturating_sub(1);
    }

    fn bucket(&mut self, now: Time, bound: &RetryBound) -> &mut Counts {
        let number = bucket_number(now, bound);
        let bucket = &mut self.buckets[(number % BUCKETS as u64) as usize];
        if bucket.number != number {
            *bucket = Counts { number, ..Counts::default() };
        }
        bucket
    }
}

/// Returns the number of the bucket that a time belongs to. It only grows.
fn bucket_number(now: Time, bound: &RetryBound) -> u64 {
    // The offset keeps the unused buckets of a new process, number 0, out of the window.
    now.0 / (bound.window_us / BUCKETS as u64).max(1) + BUCKETS as u64
}
