//! What one guard may send to its target during a roll-out.

use serde::{Deserialize, Serialize};
use world::{Name, Rollout};

use crate::{Time, TokenBucket};

/// What a target may be sent at once after a pause, in seconds of its rate.
const BURST_S: f64 = 1.0;

/// The bound on what a bad version is sent: a share of the service's requests, and some more.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExposureLimit {
    /// The share of the requests between the order and its end.
    pub share: f64,
    /// Requests beyond that.
    pub slack: f64,
}

/// What the coordinator of a roll-out lets a guard send to its target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ExposureGrant {
    /// The revision of the order.
    pub order: u64,
    /// Requests a second. Infinite where the version is not limited.
    pub per_s: f64,
    /// The time for which this holds, in microseconds from the frame's arrival. The greatest number
    /// once there is a verdict.
    pub valid_us: u64,
}

/// A grant in force.
#[derive(Clone, Debug)]
struct Grant {
    until: Time,
    per_s: f64,
    /// `None` if the rate is infinite or 0.
    bucket: Option<TokenBucket>,
}

/// The exposure of one target's version.
///
/// Invariant: a target of the ordered version is sent nothing beyond its grants.
#[derive(Clone, Debug, Default)]
pub struct Exposure {
    order: Option<Rollout>,
    /// When the order was first seen.
    seen: Time,
    /// The version of the target; empty while it is not known.
    version: Name,
    grant: Option<Grant>,
    /// Versions of which an earlier order ended without success. Sorted.
    rejected: Vec<Name>,
}

impl Exposure {
    /// Sets the order for the target's service. Returns whether it is another one than before.
    pub fn set_order(&mut self, now: Time, order: Option<&Rollout>) -> bool {
        if self.order.as_ref() == order {
            return false;
        }
        if let Some(earlier) = self.order.take()
            && self.was_rejected(&earlier)
            && let Err(at) = self.rejected.binary_search(&earlier.version)
        {
            self.rejected.insert(at, earlier.version);
        }
        self.order = order.cloned();
        self.seen = now;
        self.grant = None;
        true
    }

    /// Sets the version of the target, whose grants end with the version. Returns whether it is another
    /// one than before.
    pub fn set_version(&mut self, version: &Name) -> bool {
        if self.version == *version {
            return false;
        }
        let was_known = !self.version.is_empty();
        let is_ordered = self.order.as_ref().is_some_and(|order| order.version == *version);
        if was_known || !is_ordered {
            self.grant = None;
        }
        self.version = version.clone();
        was_known
    }

    /// Returns the order, the version of the target, and the time since the order was first seen in
    /// microseconds. `None` without an order.
    pub fn order(&self, now: Time) -> Option<(&Rollout, &Name, u64)> {
        let order = self.order.as_ref()?;
        Some((order, &self.version, now.since(self.seen)))
    }

    /// Handles a grant. One of another order is ignored.
    pub fn granted(&mut self, now: Time, grant: &ExposureGrant) {
        let per_s = grant.per_s;
        let is_current = self.order.as_ref().is_some_and(|order| order.revision == grant.order);
        if !is_current || per_s.is_nan() || per_s < 0.0 {
            return;
        }
        let until = now.after(grant.valid_us);
        let size = (per_s * BURST_S).max(1.0);
        let earlier = self.grant.take().filter(|grant| grant.until > now);
        let bucket = (per_s > 0.0 && per_s.is_finite()).then(|| {
            match earlier.and_then(|earlier| earlier.bucket) {
                Some(mut bucket) => {
                    bucket.set(now, size, per_s);
                    bucket
                }
                None => {
                    let mut bucket = TokenBucket::new(size, per_s);
                    // It gains from now on, and begins with one request.
                    bucket.spend(now, size - 1.0);
                    bucket
                }
            }
        });
        self.grant = Some(Grant { until, per_s, bucket });
    }

    /// Returns whether the last grant says that there is a verdict.
    pub fn has_verdict(&self) -> bool {
        self.grant.as_ref().is_some_and(|grant| grant.until == Time::NEVER)
    }

    /// Returns the rate that is granted, in requests a second; infinite if the target is not limited.
    pub fn per_s(&self, now: Time) -> f64 {
        let grant = self.grant.as_ref().filter(|grant| grant.until > now);
        match &self.order {
            None if self.is_rejected() => 0.0,
            None => f64::INFINITY,
            Some(order) if order.version == self.version || self.version.is_empty() => {
                grant.map_or(0.0, |grant| grant.per_s)
            }
            Some(_) if self.is_rejected() => 0.0,
            Some(_) => grant.map_or(f64::INFINITY, |grant| grant.per_s),
        }
    }

    /// Returns whether the target may be sent nothing at all.
    pub fn is_barred(&self, now: Time) -> bool {
        self.per_s(now) == 0.0
    }

    /// Returns how many requests may be sent now. `None` if the target is not limited.
    pub fn room(&mut self, now: Time) -> Option<u32> {
        if self.order.is_none() && self.rejected.is_empty() {
            return None;
        }
        let per_s = self.per_s(now);
        if per_s.is_infinite() {
            return None;
        }
        let bucket = self.grant.as_mut().and_then(|grant| grant.bucket.as_mut());
        Some(bucket.filter(|_| per_s > 0.0).map_or(0, |bucket| bucket.level(now) as u32))
    }

    /// Returns when the next request may be sent, by the grant in force; `now` without one.
    pub fn next_room(&mut self, now: Time) -> Time {
        let bucket = self.grant.as_mut().and_then(|grant| grant.bucket.as_mut());
        bucket.map_or(now, |bucket| bucket.next(now, 1.0))
    }

    /// Records that a request is sent.
    pub fn sent(&mut self, now: Time) {
        if let Some(bucket) = self.grant.as_mut().and_then(|grant| grant.bucket.as_mut()) {
            bucket.spend(now, 1.0);
        }
    }

    fn is_rejected(&self) -> bool {
        self.rejected.binary_search(&self.version).is_ok()
    }

    /// Returns whether an order that is replaced or removed ended without success: its version did not
    /// get everything, or the other versions did.
    fn was_rejected(&self, order: &Rollout) -> bool {
        let gets_all = self.grant.as_ref().is_some_and(|grant| grant.per_s.is_infinite());
        let is_ordered = order.version == self.version;
        self.has_verdict() && gets_all != is_ordered || !self.has_verdict() && is_ordered
    }
}
