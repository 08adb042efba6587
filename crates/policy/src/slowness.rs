//! What is known of the slowness of a target's VM.
//!
//! A VM shares its host with neighbours that slow it down for about a tenth of a second at a time.
//! Its *slowness* is how many times longer work takes on it than usual.

use crate::Time;

/// A reported slowness is used for this long, in microseconds: neighbours keep a VM busy for about
/// a tenth of a second at a time.
const VALID_US: u64 = 100_000;
/// Long work starts only if the slowness was reported within this time, in microseconds: few VMs
/// change within a sixth of a neighbour's busy period.
pub(crate) const FRESH_US: u64 = 25_000;
/// A VM that has been slow for this long is expected to stay slow, and work is no longer held back,
/// in microseconds. It is four times a neighbour's busy period.
const LASTING_US: u64 = 600_000;
/// After a probe that did not report the slowness, work starts without a probe for this long, in
/// microseconds.
const UNPROBED_US: u64 = 1_000_000;
/// A VM is slow from this slowness on: requests go to another target that has room, and long work
/// waits until the VM is fast again, because its duration is settled by the slowness at its start.
const SLOW_RATIO: f64 = 2.0;

/// The slowness of one VM, by its latest reports.
#[derive(Clone, Debug)]
pub(crate) struct Slowness {
    /// How many times longer work takes than usual, as last reported.
    ratio: f64,
    reported_at: Time,
    /// Since when every report found the VM slow.
    slow_since: Option<Time>,
    /// Whether there was ever a report.
    is_reported: bool,
    /// Until when work starts without a probe.
    unprobed_until: Time,
}

impl Default for Slowness {
    fn default() -> Slowness {
        Slowness {
            ratio: 1.0,
            reported_at: Time::default(),
            slow_since: None,
            is_reported: false,
            unprobed_until: Time::default(),
        }
    }
}

impl Slowness {
    /// Records a report; 1 means as fast as usual.
    pub(crate) fn set(&mut self, now: Time, ratio: f64) {
        self.ratio = ratio;
        self.reported_at = now;
        self.is_reported = true;
        self.slow_since = match ratio >= SLOW_RATIO {
            true => self.slow_since.or(Some(now)),
            false => None,
        };
    }

    /// Records that a probe reported nothing. For a while work then starts without a probe.
    pub(crate) fn set_unknown(&mut self, now: Time) {
        self.unprobed_until = now.after(UNPROBED_US);
    }

    /// Returns the slowness; 1 if there was no recent report.
    pub(crate) fn ratio(&self, now: Time) -> f64 {
        self.known(now).unwrap_or(1.0)
    }

    /// Returns the slowness; `None` if there was no recent report.
    pub(crate) fn known(&self, now: Time) -> Option<f64> {
        let is_valid = self.is_reported && now.since(self.reported_at) < VALID_US;
        is_valid.then_some(self.ratio)
    }

    /// Returns whether the VM is slow, by a recent report.
    pub(crate) fn is_slow(&self, now: Time) -> bool {
        self.ratio(now) >= SLOW_RATIO
    }

    /// Returns whether the VM has been slow for so long that it is expected to stay so.
    pub(crate) fn is_lasting(&self, now: Time) -> bool {
        self.slow_since.is_some_and(|since| now.since(since) >= LASTING_US)
    }

    /// Returns whether there was ever a report.
    pub(crate) fn is_reported(&self) -> bool {
        self.is_reported
    }

    /// Returns whether work starts without a probe because an earlier one reported nothing.
    pub(crate) fn is_unprobed(&self, now: Time) -> bool {
        now < self.unprobed_until
    }

    /// Returns whether no probe is needed before long work starts.
    pub(crate) fn is_fresh(&self, now: Time) -> bool {
        now.since(self.reported_at) < FRESH_US || self.is_unprobed(now)
    }

    /// Returns when a probe is due next, while work waits for one.
    pub(crate) fn next_probe(&self, now: Time) -> Time {
        let next = self.reported_at.after(FRESH_US);
        // A probe that is due is already under way.
        if next > now { next } else { now.after(FRESH_US) }
    }
}
