//! A sliding-window rate limit.

use std::collections::VecDeque;

use crate::Time;

/// Length of the window, in microseconds: a second, and the time that a request may take to its
/// target.
const WINDOW_US: u64 = 1_050_000;

/// Limits the requests in any second. It keeps the time of every request in the window, so that no
/// second holds more than the limit, wherever it begins.
#[derive(Clone, Debug, Default)]
pub struct RateWindow {
    /// Oldest first.
    sent: VecDeque<Time>,
}

impl RateWindow {
    /// Returns how many more requests may be sent now under a limit of `most` in any second.
    pub fn room(&mut self, now: Time, most: u32) -> u32 {
        self.expire(now);
        most.saturating_sub(self.sent.len() as u32)
    }

    /// Records that a request is sent.
    pub fn sent(&mut self, now: Time) {
        self.expire(now);
        self.sent.push_back(now);
    }

    /// Returns how many requests in the window were sent at `since` or later.
    pub fn count_since(&mut self, now: Time, since: Time) -> u32 {
        self.expire(now);
        let before = self.sent.partition_point(|sent| *sent < since);
        (self.sent.len() - before) as u32
    }

    /// Returns when the oldest request leaves the window; `now` if there is none.
    pub fn next_room(&self, now: Time) -> Time {
        self.next_room_since(now, Time::default())
    }

    /// Returns when the oldest request that was sent at `since` or later leaves the window; `now` if
    /// there is none.
    pub fn next_room_since(&self, now: Time, since: Time) -> Time {
        let oldest = self.sent.partition_point(|sent| *sent < since);
        self.sent.get(oldest).map_or(now, |oldest| oldest.after(WINDOW_US))
    }

    fn expire(&mut self, now: Time) {
        while self.sent.front().is_some_and(|oldest| now.since(*oldest) >= WINDOW_US) {
            self.sent.pop_front();
        }
    }
}
