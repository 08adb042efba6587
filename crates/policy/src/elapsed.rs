//! Time for what must not outlive a suspension of the VM.

use crate::Time;

/// The least by which the wall clock goes ahead of the steady one for a suspension, in microseconds.
const SUSPENSION_US: u64 = 100_000;

/// A clock that counts suspensions of the VM, during which its steady clock stands still. It goes
/// ahead with the wall clock where that jumps forward, whether for a suspension or because it was
/// set, and never goes back. It has to be read often: a wall clock that is set back between two
/// readings hides a suspension of that length.
#[derive(Clone, Copy, Debug)]
pub struct ElapsedTime {
    /// The steady time and the wall-clock time in microseconds when it was last read.
    last: (Time, u64),
    /// The sum of the suspensions, in microseconds.
    suspended_us: u64,
}

impl ElapsedTime {
    /// Creates a clock that agrees with the steady one until the first suspension.
    pub fn new(steady: Time, wall_us: u64) -> ElapsedTime {
        ElapsedTime { last: (steady, wall_us), suspended_us: 0 }
    }

    /// Returns the time by the two clocks' present readings.
    pub fn read(&mut self, steady: Time, wall_us: u64) -> Time {
        let (last, last_wall_us) = std::mem::replace(&mut self.last, (steady, wall_us));
        let ahead_us = wall_us.saturating_sub(last_wall_us).saturating_sub(steady.since(last));
        if ahead_us >= SUSPENSION_US {
            self.suspended_us = self.suspended_us.saturating_add(ahead_us);
        }
        steady.after(self.suspended_us)
    }
}
