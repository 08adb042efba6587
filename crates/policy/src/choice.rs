//! Choice among the targets of one service, from reports that may be old or missing.

use rand::Rng;
use serde::{Deserialize, Serialize};

use crate::Time;
use crate::named_rate::MIN_PER_S;

/// The weight of a reported slowness decays by the factor e over this time, in microseconds:
/// neighbours keep a VM busy for about a tenth of a second at a time.
const SLOWNESS_DECAY_US: f64 = 150_000.0;
/// The weight of reported free slots decays by the factor e over this time, in microseconds: about
/// the duration of a call, after which other calls run.
const FREE_DECAY_US: f64 = 300_000.0;
/// The slowness that is assumed of a VM without a report, 1 being as usual. A wrong guess costs
/// only a round trip, because the guard probes the VM before it starts work and refuses if it is
/// slow; and the slowness of a target that is never chosen would stay unknown.
const UNKNOWN_SLOWNESS: f64 = 1.1;
/// The occupancy that is assumed of a target without a report.
const UNKNOWN_OCCUPANCY: f64 = 0.5;
/// What full occupancy adds to the expected time, as a share of the work time; lower occupancy adds
/// less in proportion.
const OCCUPANCY_WEIGHT: f64 = 0.5;
/// Costs are raised at random by up to this share, so that entries with the same reports spread
/// their requests.
const COST_NOISE: f64 = 0.15;
/// A target without a report for longer than this counts as unresponsive, in microseconds: guards
/// report every two seconds, and one report may be lost.
const REPORT_TIMEOUT_US: u64 = 4_500_000;
/// Weight of one attempt in the exponentially weighted failure rate.
const FAILURE_WEIGHT: f64 = 0.15;
/// The half-life of a target's failure rate while no attempts end, in microseconds.
const FAILURE_HALF_LIFE_US: f64 = 1_000_000.0;
/// The lowest success rate that is assumed of a target; it bounds the cost.
const MIN_SUCCESS: f64 = 0.05;
/// The cost of a kilobyte between data centres, in microseconds of a caller's time. Such traffic is
/// charged for: sending an upload of 60 KB costs a fifth of what the upload earns.
const FAR_US_PER_KB: f64 = 3_000.0;
/// The round trip between data centres, in microseconds.
const FAR_RTT_US: f64 = 2_000.0;
/// A target in the same data centre is preferred to all others below this occupancy: traffic
/// between data centres is charged for, and up to this occupancy work takes no longer on any known
/// target.
const NEAR_OCCUPANCY_LIMIT: f64 = 0.75;
/// A target in the same data centre is not preferred from this failure rate on.
const NEAR_FAILURE_LIMIT: f64 = 0.2;
/// A target in the same data centre is not preferred from this slowness on, in tenths as in
/// [`Report::slowness`].
const NEAR_SLOWNESS_LIMIT: u8 = 20;
/// The expected wait until a slow VM is fast again, in microseconds: half more than one busy period
/// of its neighbours.
const QUIET_WAIT_US: f64 = 150_000.0;

/// The state of a target, as its guard reports it with each answer and in status messages.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Whether the target takes requests.
    pub open: bool,
    /// The number of free slots; if requests wait, their number, negated.
    pub free: i16,
    /// The target's concurrency limit.
    pub slots: u16,
    /// How many times longer work takes than usual because of the VM's neighbours, in tenths: 10 is
    /// as usual, 0 is unknown.
    pub slowness: u8,
    /// How many times longer work takes when the target is nearly full, in hundredths; 0 is
    /// unknown.
    pub strain: u16,
}

/// What an entry knows about one target: its last report and the attempts since.
#[derive(Clone, Debug, Default)]
pub struct TargetView {
    /// The last report; before the first one a closed target without slots.
    pub report: Report,
    reported_at: Time,
    /// Requests sent since the last report.
    sent: u32,
    /// Exponentially weighted, 0 to 1, as of `ended_at`.
    failure_rate: f64,
    /// When an attempt last ended.
    ended_at: Time,
    /// Whether the guard did not respond in time since the last report.
    unresponsive: bool,
    /// The limit that the target named in its last answer, in requests a second.
    pub named_limit: Option<f64>,
}

/// What a request is expected to take, for the comparison of targets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestEstimate {
    /// The work time on a VM that is not slow, in microseconds.
    pub work_us: f64,
    /// Bytes of request and answer together.
    pub bytes: f64,
}

/// A target that may be chosen.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// What the entry knows about the target.
    pub view: &'a TargetView,
    /// Whether the target is in the entry's data centre.
    pub near: bool,
}

impl RequestEstimate {
    /// Returns whether waiting until a VM in this data centre is fast again costs at most as much
    /// as sending the request to another data centre.
    pub fn is_cheaper_near(&self) -> bool {
        FAR_US_PER_KB * self.bytes / 1_000.0 >= QUIET_WAIT_US
    }
}

impl TargetView {
    /// Records a report, which makes an unresponsive target responsive again.
    pub fn reported(&mut self, now: Time, report: Report) {
        self.report = report;
        self.reported_at = now;
        self.sent = 0;
        self.unresponsive = false;
    }

    /// Records that a request is sent to the target.
    pub fn sent(&mut self) {
        self.sent += 1;
    }

    /// Records whether an attempt at the target succeeded.
    pub fn ended(&mut self, now: Time, success: bool) {
        self.failure_rate = self.failure_rate(now);
        self.ended_at = now;
        let result = if success { 0.0 } else { 1.0 };
        self.failure_rate += (result - self.failure_rate) * FAILURE_WEIGHT;
    }

    /// Records that the target's guard did not respond in time. It stays unresponsive until its
    /// next report.
    pub fn mark_unresponsive(&mut self) {
        self.unresponsive = true;
    }

    /// Returns whether the target may be gone: its guard did not respond, or its last report is
    /// old.
    pub fn is_unresponsive(&self, now: Time) -> bool {
        self.unresponsive || now.since(self.reported_at) > REPORT_TIMEOUT_US
    }

    /// Returns the share of attempts that failed, 0 to 1, with old attempts weighted less.
    pub fn failure_rate(&self, now: Time) -> f64 {
        let half_lives = now.since(self.ended_at) as f64 / FAILURE_HALF_LIFE_US;
        self.failure_rate * 0.5_f64.powf(half_lives)
    }

    /// Returns the estimated share of slots that are taken; over 1 if requests wait. A target that
    /// names a limit does not become free when calls end.
    fn occupancy(&self, now: Time) -> f64 {
        let fresh = match self.named_limit {
            Some(_) => 1.0,
            None => (-(now.since(self.reported_at) as f64) / FREE_DECAY_US).exp(),
        };
        let slots = f64::from(self.report.slots.max(1));
        let reported = 1.0 - f64::from(self.report.free) / slots;
        reported * fresh + UNKNOWN_OCCUPANCY * (1.0 - fresh) + f64::from(self.sent) / slots
    }

    /// Returns whether the target can probably take a request at once.
    fn has_room(&self, now: Time) -> bool {
        let is_slow = self.report.slowness >= NEAR_SLOWNESS_LIMIT
            && (now.since(self.reported_at) as f64) < SLOWNESS_DECAY_US;
        !is_slow
            && self.failure_rate(now) < NEAR_FAILURE_LIMIT
            && self.occupancy(now) < NEAR_OCCUPANCY_LIMIT
    }

    /// Returns the expected time to an answer, in microseconds, raised for a target that fails
    /// often and for one in another data centre.
    pub fn cost(&self, now: Time, near: bool, estimate: &RequestEstimate) -> f64 {
        let age_us = now.since(self.reported_at) as f64;
        let slowness = match self.report.slowness {
            0 => UNKNOWN_SLOWNESS,
            tenths => {
                let reported = f64::from(tenths.max(10)) / 10.0;
                UNKNOWN_SLOWNESS
                    + (reported - UNKNOWN_SLOWNESS) * (-age_us / SLOWNESS_DECAY_US).exp()
            }
        };
        let slots = f64::from(self.report.slots.max(1));
        let occupancy = self.occupancy(now);
        let overflow = (occupancy + 1.0 / slots - 1.0).max(0.0);
        let time_us = estimate.work_us
            * slowness
            * (1.0 + overflow + OCCUPANCY_WEIGHT * occupancy.clamp(0.0, 1.0));
        let success = (1.0 - self.failure_rate(now)).max(MIN_SUCCESS);
        let far_us = match near {
            true => 0.0,
            false => FAR_RTT_US + FAR_US_PER_KB * estimate.bytes / 1_000.0,
        };
        (time_us + self.limit_wait_us()) / (success * success) + far_us
    }

    /// Returns how long the next request waits for the limit that the target names, in microseconds;
    /// 0 without one.
    fn limit_wait_us(&self) -> f64 {
        let Some(per_s) = self.named_limit else { return 0.0 };
        let ahead = f64::from(self.sent) - f64::from(self.report.free);
        (ahead + 1.0).max(0.0) * 1e6 / per_s.max(MIN_PER_S)
    }
}

/// Returns the index of the cheapest candidate; `None` if there is none. Candidates in the same
/// data centre that have room go before others, and unresponsive ones are chosen only if all are.
pub fn choose<'a>(
    now: Time,
    rng: &mut impl Rng,
    estimate: &RequestEstimate,
    candidates: impl Iterator<Item = Candidate<'a>>,
) -> Option<usize> {
    let mut best: Option<(bool, bool, f64, usize)> = None;
    for (at, Candidate { view, near }) in candidates.enumerate() {
        let noise = 1.0 + COST_NOISE * rng.random::<f64>();
        let is_first = near && view.has_room(now);
        let rank =
            (view.is_unresponsive(now), !is_first, view.cost(now, near, estimate) * noise, at);
        if best.is_none_or(|least| rank < least) {
            best = Some(rank);
        }
    }
    best.map(|(.., at)| at)
}
