//! Clocks that the node programs share.

mod clock;

pub use clock::{Clock, ElapsedClock, MAX_AHEAD_MS, wall_ms};
