//! How the tolerance of a quota is spent on what makes it cheap to keep.

use world::Quota;

/// The share of the tolerance that is spent on the validity of tokens.
const VALID_SHARE: f64 = 0.4;
/// The share that enlarges the bucket: requests arrive at other intervals than they were sent at.
const BUCKET_SHARE: f64 = 0.15;
/// The share with which a new keeper starts. A window has room for two.
const START_SHARE: f64 = 0.15;
/// The share that nodes without a keeper use, over the whole fleet.
const OWN_SHARE: f64 = 0.1;
/// The shortest validity, in microseconds: some round trips between data centres.
const MIN_VALID_US: u64 = 150_000;
/// The longest validity, in microseconds. Tokens that lie unused at one entry are missed at others.
pub(super) const MAX_VALID_US: u64 = 2_000_000;

/// The bound on the requests of a workspace: in any window, (rate x window + burst) x (1 +
/// `overage`) + `slack`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaTolerance {
    /// The window, in microseconds; above 0.
    pub window_us: u64,
    /// The share beyond the quota that is tolerated.
    pub overage: f64,
    /// Requests beyond that.
    pub slack: f64,
}

impl QuotaTolerance {
    /// Returns the most requests of a workspace in any window.
    pub fn bound(&self, quota: Quota) -> f64 {
        self.limit(quota) + self.tolerance(quota)
    }

    fn limit(&self, quota: Quota) -> f64 {
        quota.per_s * self.window_us as f64 / 1e6 + quota.burst
    }

    fn tolerance(&self, quota: Quota) -> f64 {
        self.limit(quota) * self.overage + self.slack
    }

    /// Returns the tokens that all nodes without a keeper may use together in a window.
    pub(super) fn own_tokens(&self, quota: Quota) -> f64 {
        self.tolerance(quota) * OWN_SHARE
    }
}

/// What a keeper may give out of a workspace.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Terms {
    /// Tokens a second.
    pub(super) rate: f64,
    /// The most tokens in the bucket, at least 1.
    pub(super) size: f64,
    /// The tokens of a new keeper.
    pub(super) start: f64,
    /// How long a token is valid, in microseconds.
    pub(super) valid_us: u64,
}

impl Terms {
    pub(super) fn new(quota: Quota, bounds: &QuotaTolerance) -> Terms {
        let tolerance = bounds.tolerance(quota);
        let valid_us = (tolerance * VALID_SHARE / quota.per_s * 1e6) as u64;
        let valid_us = valid_us.clamp(MIN_VALID_US, MAX_VALID_US);
        // Where the tolerance does not cover the validity, the rate makes up for it.
        let (window_s, valid_s) = (bounds.window_us as f64 / 1e6, valid_us as f64 / 1e6);
        let covered = quota.per_s * window_s + tolerance * VALID_SHARE;
        Terms {
            rate: quota.per_s.min(covered / (window_s + valid_s)),
            size: (quota.burst + tolerance * BUCKET_SHARE).max(1.0),
            start: tolerance * START_SHARE,
            valid_us,
        }
    }

    /// Returns the most tokens in the bucket and unused at entries.
    pub(super) fn most(&self) -> f64 {
        self.size + self.rate * self.valid_us as f64 / 1e6
    }
}
