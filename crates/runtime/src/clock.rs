//! The process's clocks.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use policy::Time;

/// The clock behind every decision: time since the process started, which never goes back.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Starts the clock.
    pub fn start() -> Clock {
        Clock { start: Instant::now() }
    }

    /// Returns the time.
    pub fn now(&self) -> Time {
        Time(self.start.elapsed().as_micros() as u64)
    }

    /// Returns the runtime's instant of a time, at most a year ahead.
    pub fn instant(&self, time: Time) -> tokio::time::Instant {
        const YEAR_US: u64 = 365 * 86_400 * 1_000_000;
        let left_us = time.since(self.now()).min(YEAR_US);
        tokio::time::Instant::now() + std::time::Duration::from_micros(left_us)
    }
}

/// Returns the wall clock's milliseconds since 1970.
pub fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}
