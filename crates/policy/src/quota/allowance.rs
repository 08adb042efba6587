//! The tokens of one workspace that an entry holds.

use std::collections::VecDeque;

use world::{Name, Quota};

use super::terms::{MAX_VALID_US, QuotaTolerance};
use super::{TokenGrant, TokenRequest};
use crate::Time;

/// How far ahead tokens are asked for, in microseconds, and how often at most while there are too
/// few.
const AHEAD_US: u64 = 100_000;
/// The time over which the rate of requests is averaged, in microseconds.
const RATE_US: f64 = 200_000.0;
/// Requests that may be missing at the averaged rate before it counts as fallen.
const MISSING: f64 = 2.0;
/// The most repeats that are paid for later.
const MAX_OWED: u32 = 100;
/// The most tokens that are asked for at once.
const MAX_WANTED: u32 = 10_000;

/// What an entry holds and knows of one workspace.
#[derive(Debug)]
pub(super) struct Allowance {
    pub(super) workspace: Name,
    pub(super) quota: Quota,
    /// Tokens and when they expire.
    held: VecDeque<Batch>,
    /// Requests a second, averaged.
    rate: f64,
    /// When the last request arrived.
    pub(super) used: Time,
    /// Repeats of requests that the next tokens pay for.
    owed: u32,
    /// Requests that wait for tokens which were not asked for yet, in this round.
    missing: u32,
    /// The number of answers so far. After each one, the requests that still wait are counted anew.
    round: u64,
    /// Tokens in the question that is open.
    asked: u32,
    /// No token is asked for before, since the keeper had too few.
    dry_until: Time,
    /// When the keeper expects to have room for the requests that got no token.
    room_at: Time,
    /// When the tokens of the node's own share were used in the last window, oldest first.
    own: VecDeque<Time>,
}

#[derive(Debug)]
struct Batch {
    /// From when on unused tokens go back to the keeper.
    stale: Time,
    expires: Time,
    tokens: u32,
}

impl Allowance {
    pub(super) fn new(workspace: Name, quota: Quota) -> Allowance {
        Allowance {
            workspace,
            quota,
            held: VecDeque::new(),
            rate: 0.0,
            used: Time::default(),
            owed: 0,
            missing: 0,
            round: 0,
            asked: 0,
            dry_until: Time::default(),
            room_at: Time::default(),
            own: VecDeque::new(),
        }
    }

    /// Counts a request that arrives.
    pub(super) fn count(&mut self, now: Time) {
        let passed = now.since(self.used) as f64;
        self.rate = self.rate * (-passed / RATE_US).exp() + 1e6 / RATE_US;
        self.used = now;
    }

    /// Takes a token, after those for repeats, and returns when it expires.
    pub(super) fn take(&mut self, now: Time) -> Option<Time> {
        while self.owed > 0 && self.take_first(now).is_some() {
            self.owed -= 1;
        }
        self.take_first(now)
    }

    fn take_first(&mut self, now: Time) -> Option<Time> {
        self.expire(now);
        let first = self.held.front_mut()?;
        first.tokens -= 1;
        let expires = first.expires;
        if first.tokens == 0 {
            self.held.pop_front();
        }
        Some(expires)
    }

    /// Counts a repeat of a request.
    pub(super) fn charge(&mut self) {
        self.owed = (self.owed + 1).min(MAX_OWED);
    }

    /// Takes the count of a repeat back.
    pub(super) fn refund(&mut self) {
        self.owed = self.owed.saturating_sub(1);
    }

    /// Returns whether it holds a token.
    pub(super) fn has_tokens(&self, now: Time) -> bool {
        self.count_held(now) > 0
    }

    /// Puts a token back that was not used.
    pub(super) fn put_back(&mut self, expires: Time) {
        let at = self.held.partition_point(|batch| batch.expires <= expires);
        self.held.insert(at, Batch { stale: expires, expires, tokens: 1 });
    }

    /// Adds a request that waits for a token, and returns the round in which it does.
    pub(super) fn wait(&mut self) -> u64 {
        self.missing += 1;
        self.round
    }

    /// Returns whether no question was answered since a request began to wait.
    pub(super) fn is_round(&self, round: u64) -> bool {
        self.round == round
    }

    /// Begins a new round when a question has been answered, or was lost.
    pub(super) fn next_round(&mut self) {
        (self.missing, self.asked) = (0, 0);
        self.round += 1;
    }

    /// Returns how long a request has to wait for room, while none can be asked for.
    pub(super) fn wait_us(&self, now: Time) -> Option<u64> {
        (now < self.dry_until).then(|| self.room_at.since(now).max(1))
    }

    /// Returns whether requests wait or the next ones are likely to, or tokens are to go back.
    pub(super) fn is_due(&self, now: Time) -> bool {
        let (ahead, held) = (self.ahead(now), self.count_held(now));
        let has_stale = || self.held.iter().any(|batch| batch.stale <= now && batch.expires > now);
        self.missing > 0 || now >= self.dry_until && ahead > held || held > ahead && has_stale()
    }

    /// Returns what to ask the keeper for; `None` if nothing.
    pub(super) fn ask(&mut self, now: Time) -> Option<TokenRequest> {
        self.expire(now);
        let ahead = self.ahead(now);
        let returned = self.take_stale(now, ahead);
        let held = self.count_held(now);
        let wanted = (self.missing + (ahead + self.owed).saturating_sub(held)).min(MAX_WANTED);
        (self.missing, self.asked) = (0, wanted);
        let (workspace, quota) = (self.workspace.clone(), self.quota);
        (wanted > 0 || returned > 0).then_some(TokenRequest { workspace, quota, wanted, returned })
    }

    /// Adds what the keeper gave in answer to a question that was sent at `sent`.
    pub(super) fn grant(&mut self, now: Time, sent: Time, grant: &TokenGrant) {
        let valid_us = grant.valid_us.min(MAX_VALID_US);
        let (stale, expires) = (sent.after(valid_us / 2), sent.after(valid_us));
        let tokens = grant.tokens.min(self.asked);
        if tokens > 0 {
            self.held.push_back(Batch { stale, expires, tokens });
        }
        if tokens < self.asked {
            self.room_at = now.after(grant.wait_us);
            self.dry_until = now.after(grant.wait_us.min(AHEAD_US));
        }
        self.next_round();
    }

    /// Takes a token of the node's own share of `own_tokens` in each window, which all nodes divide
    /// among them. `draw` is fixed for the node and the workspace, from 0 to 1.
    pub(super) fn take_own(
        &mut self,
        now: Time,
        bounds: &QuotaTolerance,
        fleet: usize,
        draw: f64,
    ) -> bool {
        while self.own.front().is_some_and(|used| now.since(*used) >= bounds.window_us) {
            self.own.pop_front();
        }
        let share = bounds.own_tokens(self.quota) / fleet.max(1) as f64;
        let tokens = share as usize + usize::from(draw < share.fract());
        let has_token = self.own.len() < tokens;
        if has_token {
            self.own.push_back(now);
        }
        has_token
    }

    /// Returns whether nothing would be lost without it.
    pub(super) fn is_unused(&self, now: Time, after_us: u64) -> bool {
        now.since(self.used) >= after_us && self.held.iter().all(|batch| batch.expires <= now)
    }

    /// Returns the requests that are expected until the next question.
    fn ahead(&self, now: Time) -> u32 {
        let passed = now.since(self.used) as f64;
        let rate = (self.rate * (-passed / RATE_US).exp()).min(MISSING * 1e6 / passed.max(1.0));
        (rate * AHEAD_US as f64 / 1e6) as u32
    }

    fn count_held(&self, now: Time) -> u32 {
        self.held.iter().filter(|batch| batch.expires > now).map(|batch| batch.tokens).sum()
    }

    /// Removes the stale tokens that the next requests are not expected to use.
    fn take_stale(&mut self, now: Time, ahead: u32) -> u32 {
        let mut spare = self.count_held(now).saturating_sub(ahead);
        let mut taken = 0;
        for batch in self.held.iter_mut().filter(|batch| batch.stale <= now) {
            let tokens = batch.tokens.min(spare);
            batch.tokens -= tokens;
            spare -= tokens;
            taken += tokens;
        }
        self.held.retain(|batch| batch.tokens > 0);
        taken
    }

    fn expire(&mut self, now: Time) {
        self.held.retain(|batch| batch.expires > now);
    }
}
