//! Requests that an earlier process of a guard left at its target.
//!
//! A guard that restarts does not know them. Some targets never answer a request that they cannot
//! queue, so the guard counts what a health check found against the slots until the target says that
//! it has ended, or it must have.

use crate::Time;

/// What an earlier process left at one target.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Leftover {
    /// Requests that run or wait there. They only become fewer.
    count: u32,
    /// When the last of them has passed its deadline.
    until: Time,
}

impl Leftover {
    /// Records what a health check found before this process sent anything.
    pub(crate) fn found(&mut self, count: u32, until: Time) {
        *self = Leftover { count, until };
    }

    /// Records that the target has `pending` requests, of which this process sent `own`.
    pub(crate) fn reported(&mut self, pending: u32, own: u32) {
        self.count = self.count.min(pending.saturating_sub(own));
    }

    /// Returns how many of the target's slots they take.
    pub(crate) fn count(&self, now: Time) -> u32 {
        if now < self.until { self.count } else { 0 }
    }
}
