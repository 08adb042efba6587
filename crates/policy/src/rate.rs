//! How many requests were sent within the last second.

use std::collections::VecDeque;

use crate::Time;

/// The span that is counted: a second, and what a request may take to its target, in microseconds.
const SPAN_US: u64 = 1_050_000;

/// Requests sent within the last second, counted one by one, so that no span of a second holds more
/// than was allowed.
#[derive(Clone, Debug, Default)]
pub struct RateWindow {
    /// In order.
    sent: VecDeque<Time>,
}

impl RateWindow {
    /// Returns how many more requests may be sent now, of `most` in any second.
    pub fn room(&mut self, now: Time, most: u32) -> u32 {
        self.forget(now);
        most.saturating_sub(self.sent.len() as u32)
    }

    /// Notes that a request is sent.
    pub fn sent(&mut self, now: Time) {
        self.forget(now);
        self.sent.push_back(now);
    }

    /// Returns when the oldest request leaves the span; `now` where there is none.
    pub fn next_room(&self, now: Time) -> Time {
        self.sent.front().map_or(now, |oldest| oldest.after(SPAN_US))
    }

    fn forget(&mut self, now: Time) {
        while self.sent.front().is_some_and(|oldest| now.since(*oldest) >= SPAN_US) {
            self.sent.pop_front();
        }
    }
}
