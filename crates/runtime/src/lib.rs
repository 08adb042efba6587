//! Clocks that the node programs share.

mod clock;

pub use clock::{Clock, wall_ms};
