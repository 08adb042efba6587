//! What a target may be sent while it is cold or may have become cold.
//!
//! A target may become cold at any moment, and states it only in health answers and heartbeats. So
//! whatever it was sent since it last proved that it is warm counts as if it were cold now: in any
//! second, that stays within the limit of a cold target. A health check is due before the limit is
//! used up, so that a warm target does not wait.

use crate::{RateWindow, Time};

/// A health check is due once this share of the limit was sent without a proof.
const UNPROVEN_SHARE: f64 = 0.5;
/// The pause after a health check that did not prove that the target is warm, in microseconds.
const RETRY_US: u64 = 250_000;
/// What of the limit is kept for a health check, unless that is all.
const CHECK_ROOM: u32 = 1;

/// The warmth of one target.
///
/// Invariant: of what is sent after the target became cold, no second holds more than the limit,
/// whenever it says so.
#[derive(Clone, Debug, Default)]
pub struct Warmth {
    /// Limit of requests in any second. `None` if it is not known.
    limit: Option<u32>,
    /// Whether the limit also holds for what is sent without a proof that the target is warm.
    needs_proof: bool,
    /// Until when the target is cold, by its own statements.
    cold_until: Time,
    /// When the last statement that it is cold arrived.
    cold_at: Time,
    /// When the health check was sent that last proved that the target is warm.
    warm_at: Time,
    /// No health check is due before.
    next_check: Time,
    sent: RateWindow,
}

impl Warmth {
    /// Sets the limit of a cold target, in requests in any second. `needs_proof` tells whether it also
    /// holds for what is sent without a proof that the target is warm.
    pub fn set_limit(&mut self, limit: u32, needs_proof: bool) {
        self.limit = Some(limit);
        self.needs_proof = needs_proof;
    }

    /// Forgets the statements of an earlier incarnation. What it was sent still counts.
    pub fn reset(&mut self) {
        let (limit, needs_proof, sent) = (self.limit, self.needs_proof, self.sent.clone());
        *self = Warmth { limit, needs_proof, sent, ..Warmth::default() };
    }

    /// Handles a statement that arrived at `now`: the target stays cold until `until`. It does not
    /// shorten an earlier one, since it may have been under way for long.
    pub fn record_cold(&mut self, now: Time, until: Time) {
        self.cold_until = self.cold_until.max(until);
        self.cold_at = now;
        self.next_check = now.after(RETRY_US);
    }

    /// Handles the answer to a health check that was sent at `checked`: the target is warm. This
    /// replaces earlier statements.
    pub fn record_warm(&mut self, checked: Time) {
        if checked > self.cold_at || self.cold_at == Time::default() {
            self.cold_until = Time::default();
            self.warm_at = self.warm_at.max(checked);
        }
    }

    /// Handles a health check without an answer that tells the warmth.
    pub fn record_no_answer(&mut self, now: Time) {
        self.next_check = now.after(RETRY_US);
    }

    /// Records that a request or a health check is sent.
    pub fn sent(&mut self, now: Time) {
        self.sent.sent(now);
    }

    /// Returns whether the target is cold, by its own statements.
    pub fn is_cold(&self, now: Time) -> bool {
        self.cold_until > now
    }

    /// Returns the limit of requests in any second while the target is cold. `None` if it is not, or
    /// without a limit.
    pub fn cold_limit(&self, now: Time) -> Option<u32> {
        self.limit.filter(|_| self.is_cold(now))
    }

    /// Returns how many requests may be sent now. `None` without a limit.
    pub fn room(&mut self, now: Time) -> Option<u32> {
        let limit = self.limit?;
        let since = self.counted_from(now)?;
        let limit = match self.is_cold(now) {
            true => limit,
            false => limit.saturating_sub(CHECK_ROOM).max(1),
        };
        Some(limit.saturating_sub(self.sent.count_since(now, since)))
    }

    /// Returns when more may be sent; `now` if there is no limit.
    pub fn next_room(&mut self, now: Time) -> Time {
        self.counted_from(now).map_or(now, |since| self.sent.next_room_since(now, since))
    }

    /// Returns whether a health check is due.
    pub fn needs_check(&mut self, now: Time) -> bool {
        let Some(limit) = self.limit else { return false };
        if !self.needs_proof || self.is_cold(now) || now < self.next_check {
            return false;
        }
        let unproven = self.sent.count_since(now, self.warm_at);
        let is_due = f64::from(unproven) >= f64::from(limit) * UNPROVEN_SHARE;
        is_due && unproven < limit
    }

    /// Returns how many requests of the last second were sent without a proof that the target is
    /// warm, and the time since the last proof in microseconds.
    pub fn unproven(&mut self, now: Time) -> (u32, u64) {
        (self.sent.count_since(now, self.warm_at), now.since(self.warm_at))
    }

    /// Returns the expected wait of a request with `position - 1` others before it, in microseconds;
    /// 0 if the target is warm.
    pub fn wait_us(&self, now: Time, position: f64) -> f64 {
        match self.limit.filter(|_| self.is_cold(now)) {
            Some(limit) => 1e6 * position / f64::from(limit.max(1)),
            None => 0.0,
        }
    }

    /// Returns from when on what was sent counts. `None` if nothing counts.
    fn counted_from(&self, now: Time) -> Option<Time> {
        match (self.is_cold(now), self.needs_proof) {
            (true, _) => Some(Time::default()),
            (false, true) => Some(self.warm_at),
            (false, false) => None,
        }
    }
}
