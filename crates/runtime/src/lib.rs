//! What the nodes share of a process.

mod clock;

pub use clock::{Clock, wall_ms};
