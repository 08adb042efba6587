//! Choosing among the targets of one service from aged, partial knowledge of each.

use rand::Rng;
use serde::{Deserialize, Serialize};

use crate::Time;

/// Knowledge of how slow a VM is loses its weight over this time, in microseconds: neighbours keep a
/// VM busy for about a tenth of a second at a time.
const SLOWNESS_US: f64 = 150_000.0;
/// Knowledge of free slots loses its weight over this time, in microseconds: about the length of a
/// call, after which other calls run.
const FREE_US: f64 = 300_000.0;
/// How slow a VM is taken to be that nothing is known of, 1 being as usual. Its guard looks before it
/// starts work and refuses where the VM is slow, so that a wrong guess costs a round trip; and a target
/// that is never chosen would never be known.
const UNKNOWN_SLOWNESS: f64 = 1.1;
/// A target that is not known to be free is taken to be half full.
const UNKNOWN_USE: f64 = 0.5;
/// What use adds to the expected time of a target that has a free slot, at full use.
const USE_WEIGHT: f64 = 0.5;
/// Costs differ at random by this share, so that entries with the same knowledge spread.
const SPREAD: f64 = 0.15;
/// A target that was not reported of for longer is doubted, in microseconds: guards report once a
/// second at least.
const STALE_US: u64 = 1_700_000;
/// Weight of one result in the moving share of failures.
const FAILURE_WEIGHT: f64 = 0.15;
/// A target's share of failures halves over this time without results, in microseconds.
const FAILURE_HALF_US: f64 = 1_000_000.0;
/// The least share of successes that a target is taken to have.
const LEAST_SUCCESS: f64 = 0.05;
/// What a kilobyte between data centres costs, in microseconds of a caller's time. Such bytes are
/// priced: an upload of 60 KB costs a fifth of what it earns.
const FAR_US_PER_KB: f64 = 3_000.0;
/// The round trip between data centres, in microseconds.
const FAR_RTT_US: f64 = 2_000.0;
/// Up to this share of its slots a target in the same data centre is taken before any other: bytes
/// between data centres are priced, and below it work takes no longer on any target that is known.
const NEAR_USE: f64 = 0.75;
/// A target that fails more often is not taken before others for being near.
const NEAR_FAILING: f64 = 0.2;
/// A VM at least this many times slower than usual is not either.
const NEAR_SLOWNESS: u8 = 20;
/// What waiting for a slow VM's neighbours takes, in microseconds: half more than one of their spells.
const SPELL_US: f64 = 150_000.0;

/// What a guard says of its target on each answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Whether it takes requests at all.
    pub open: bool,
    /// Slots that are free, or how many requests wait, as a negative number.
    pub free: i16,
    /// Slots.
    pub slots: u16,
    /// How slow the VM is, in tenths, 10 being as usual; 0 where that is not known.
    pub slowness: u8,
    /// How many times longer work takes when the target is nearly full, in hundredths; 0 where that
    /// is not known.
    pub strain: u16,
}

/// What an entry knows of one target.
#[derive(Clone, Debug, Default)]
pub struct TargetView {
    /// The last report.
    pub report: Report,
    /// When it came.
    at: Time,
    /// Requests sent since.
    since: u32,
    /// Moving share of failures, 0 to 1.
    failing: f64,
    failed_at: Time,
    doubted: bool,
}

/// What is known of the request that a target is chosen for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestEstimate {
    /// The time that work takes on a VM that is not slow, in microseconds.
    pub work_us: f64,
    /// Bytes of request and answer together.
    pub bytes: f64,
}

/// A target that may be chosen.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// What is known of it.
    pub view: &'a TargetView,
    /// Whether it is in the same data centre.
    pub near: bool,
}

impl RequestEstimate {
    /// Whether it costs more to send the request to another data centre than to wait until a VM here
    /// is quiet.
    pub fn is_cheaper_near(&self) -> bool {
        FAR_US_PER_KB * self.bytes / 1_000.0 >= SPELL_US
    }
}

impl TargetView {
    /// Takes in a report.
    pub fn reported(&mut self, now: Time, report: Report) {
        self.report = report;
        self.at = now;
        self.since = 0;
        self.doubted = false;
    }

    /// Notes that a request is sent.
    pub fn sent(&mut self) {
        self.since += 1;
    }

    /// Notes how a request ended.
    pub fn ended(&mut self, now: Time, success: bool) {
        self.failing = self.failure_rate(now);
        self.failed_at = now;
        let result = if success { 0.0 } else { 1.0 };
        self.failing += (result - self.failing) * FAILURE_WEIGHT;
    }

    /// Notes that nothing was heard of it in time. It is doubted until its next report.
    pub fn mark_unresponsive(&mut self) {
        self.doubted = true;
    }

    /// Returns whether it may be gone.
    pub fn is_unresponsive(&self, now: Time) -> bool {
        self.doubted || now.since(self.at) > STALE_US
    }

    /// Returns the moving share of failures.
    pub fn failure_rate(&self, now: Time) -> f64 {
        let halves = now.since(self.failed_at) as f64 / FAILURE_HALF_US;
        self.failing * 0.5_f64.powf(halves)
    }

    /// Returns the share of its slots that is taken, as far as is known; over 1 where requests wait.
    fn used(&self, now: Time) -> f64 {
        let fresh = (-(now.since(self.at) as f64) / FREE_US).exp();
        let slots = f64::from(self.report.slots.max(1));
        let reported = 1.0 - f64::from(self.report.free) / slots;
        reported * fresh + UNKNOWN_USE * (1.0 - fresh) + f64::from(self.since) / slots
    }

    /// Whether it can take a request at once, as far as is known.
    fn is_roomy(&self, now: Time) -> bool {
        let is_slow =
            self.report.slowness >= NEAR_SLOWNESS && (now.since(self.at) as f64) < SLOWNESS_US;
        !is_slow && self.failure_rate(now) < NEAR_FAILING && self.used(now) < NEAR_USE
    }

    /// Returns the expected time to an answer, in microseconds, dearer where it fails or is far.
    pub fn cost(&self, now: Time, near: bool, weight: &RequestEstimate) -> f64 {
        let age_us = now.since(self.at) as f64;
        let slowness = match self.report.slowness {
            0 => UNKNOWN_SLOWNESS,
            tenths => {
                let told = f64::from(tenths.max(10)) / 10.0;
                UNKNOWN_SLOWNESS + (told - UNKNOWN_SLOWNESS) * (-age_us / SLOWNESS_US).exp()
            }
        };
        let slots = f64::from(self.report.slots.max(1));
        let used = self.used(now);
        let queued = (used + 1.0 / slots - 1.0).max(0.0);
        let time_us =
            weight.work_us * slowness * (1.0 + queued + USE_WEIGHT * used.clamp(0.0, 1.0));
        let success = (1.0 - self.failure_rate(now)).max(LEAST_SUCCESS);
        let far_us = match near {
            true => 0.0,
            false => FAR_RTT_US + FAR_US_PER_KB * weight.bytes / 1_000.0,
        };
        time_us / (success * success) + far_us
    }
}

/// Returns the index of the cheapest candidate, of those near that have room where there are any.
/// Doubted ones are chosen only where all are.
pub fn choose<'a>(
    now: Time,
    rng: &mut impl Rng,
    weight: &RequestEstimate,
    candidates: impl Iterator<Item = Candidate<'a>>,
) -> Option<usize> {
    let mut best: Option<(bool, bool, f64, usize)> = None;
    for (at, Candidate { view, near }) in candidates.enumerate() {
        let noise = 1.0 + SPREAD * rng.random::<f64>();
        let is_first = near && view.is_roomy(now);
        let rank = (view.is_unresponsive(now), !is_first, view.cost(now, near, weight) * noise, at);
        if best.is_none_or(|least| rank < least) {
            best = Some(rank);
        }
    }
    best.map(|(.., at)| at)
}
