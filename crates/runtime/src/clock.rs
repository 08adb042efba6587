//! The monotonic clock of the policies, one that counts suspensions, and the wall clock.

use std::cell::Cell;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use policy::{ElapsedTime, Time};

/// A monotonic clock that counts from its creation. Every decision takes its time from it.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Creates a clock whose zero is the present moment.
    pub fn start() -> Clock {
        Clock { start: Instant::now() }
    }

    /// Returns the time since the clock was created.
    pub fn now(&self) -> Time {
        Time(self.start.elapsed().as_micros() as u64)
    }

    /// Converts a time to an instant of Tokio's timers. A past time gives the present instant, and a
    /// time more than a year ahead one in a year.
    pub fn instant(&self, time: Time) -> tokio::time::Instant {
        const YEAR_US: u64 = 365 * 86_400 * 1_000_000;
        let left_us = time.since(self.now()).min(YEAR_US);
        tokio::time::Instant::now() + std::time::Duration::from_micros(left_us)
    }
}

/// A clock that counts suspensions of the VM; see [`ElapsedTime`].
#[derive(Debug)]
pub struct ElapsedClock {
    steady: Clock,
    time: Cell<ElapsedTime>,
}

impl ElapsedClock {
    /// Creates a clock that agrees with a steady one until the first suspension.
    pub fn new(steady: Clock) -> ElapsedClock {
        let time = Cell::new(ElapsedTime::new(steady.now(), wall_us()));
        ElapsedClock { steady, time }
    }

    /// Returns the time since the steady clock was created, with suspensions.
    pub fn now(&self) -> Time {
        let mut time = self.time.get();
        let now = time.read(self.steady.now(), wall_us());
        self.time.set(time);
        now
    }
}

/// How far a start that another process gives may lie ahead of this VM's wall clock, in milliseconds: a
/// year, since a VM's clock may be wrong for a while. Beyond it the value is no time.
pub const MAX_AHEAD_MS: u64 = 365 * 86_400 * 1_000;

/// Returns the wall-clock time in milliseconds since 1970, or 0 if the clock is set before that.
pub fn wall_ms() -> u64 {
    wall_us() / 1_000
}

fn wall_us() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_micros() as u64)
}
