//! The time that callers pass to the state machines, real or virtual.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// A point in time, in microseconds since a start that is arbitrary but fixed for one process.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[display("{_0} us")]
pub struct Time(pub u64);

impl Time {
    /// Later than any other time.
    pub const NEVER: Time = Time(u64::MAX);

    /// Returns the time `us` microseconds later; [`Time::NEVER`] on overflow.
    pub const fn after(self, us: u64) -> Time {
        Time(self.0.saturating_add(us))
    }

    /// Returns the microseconds since `start`; 0 if `start` is later.
    pub const fn since(self, start: Time) -> u64 {
        self.0.saturating_sub(start.0)
    }
}
