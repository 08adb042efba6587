//! The schedule of a node that was asked to stop: until when it accepts connections and begins work,
//! and when it cuts what still runs.

use crate::Time;

/// How long new connections are accepted, in microseconds: the platform sends callers here until it
/// has missed the readiness check twice, a second apart.
const ACCEPT_US: u64 = 2_500_000;
/// New connections are accepted for this share of a short grace period at most.
const MAX_ACCEPT_SHARE: f64 = 0.4;
/// What still runs is cut this long before the grace period ends, in microseconds, so that the
/// process has ended by then also on a slow VM.
const RESERVE_US: u64 = 800_000;
/// The reserve takes this share of a short grace period at most.
const MAX_RESERVE_SHARE: f64 = 0.13;
/// Time for a response to leave the process, in microseconds.
const RESPONSE_US: u64 = 200_000;

/// The schedule of a node that stops.
///
/// Invariant: nothing that the node begins outlives [`Shutdown::cut_at`] as far as can be told, and
/// what it does not begin is refused early enough for the refusal to arrive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shutdown {
    begun: Time,
    /// Time until the process is killed, in microseconds from `begun`.
    grace_us: u64,
}

impl Shutdown {
    /// Returns the schedule of a node that was asked to stop at `begun` and is killed `grace_us`
    /// microseconds later.
    pub fn new(begun: Time, grace_us: u64) -> Shutdown {
        Shutdown { begun, grace_us }
    }

    /// Returns when new connections are not accepted any more.
    pub fn closes_at(&self) -> Time {
        self.begun.after(ACCEPT_US.min(self.share_us(MAX_ACCEPT_SHARE)))
    }

    /// Returns when requests that still run are cut.
    pub fn cut_at(&self) -> Time {
        let reserve_us = RESERVE_US.min(self.share_us(MAX_RESERVE_SHARE));
        self.begun.after(self.grace_us - reserve_us)
    }

    /// Returns until when a request may be sent to a target that takes at most `work_us`
    /// microseconds for it. One that was not sent by then is refused.
    pub fn starts_until(&self, work_us: u64) -> Time {
        let latest_us = self.cut_at().since(self.begun).saturating_sub(RESPONSE_US);
        self.begun.after(latest_us.saturating_sub(work_us))
    }

    fn share_us(&self, share: f64) -> u64 {
        (self.grace_us as f64 * share) as u64
    }
}
