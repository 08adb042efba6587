//! The keeper's side: votes and buckets.

use std::collections::VecDeque;

use world::{Name, Quota};

use super::terms::{QuotaTolerance, Terms};
use super::{QUORUM, TokenAsk, TokenGrant, TokenReply, TokenRequest, VOTE_US};
use crate::Time;

/// Up to this share of the fleet's votes a keeper gives out nothing. With `QUORUM` above a half by as
/// much as this is below it, two keepers of one slot give out one rate together.
const MINORITY: f64 = 1.0 - QUORUM;
/// The longest wait that entries are told, in microseconds.
const MAX_WAIT_US: u64 = 3_000_000;
/// The wait that entries are told while the keeper has too few votes, in microseconds.
const VOTELESS_WAIT_US: u64 = VOTE_US / 2;
/// The most slots: those of a few fleet sizes. Questions for further ones get nothing.
const MAX_SLOTS: usize = 64;
/// The time between two removals of full buckets, in microseconds.
const SWEEP_US: u64 = 10_000_000;

/// The buckets of the workspaces whose slots this node keeps, and the votes for it.
#[derive(Debug)]
pub struct Keeper {
    bounds: QuotaTolerance,
    /// Added to the clock in stamps; different in each process, so that votes for an earlier process
    /// are not counted. Above 0.
    base: u64,
    /// Sorted by id.
    slots: Vec<Slot>,
    /// Whether the node stops.
    closed: bool,
}

/// One slot, as far as this node keeps it.
#[derive(Debug)]
struct Slot {
    id: u32,
    /// Sorted by voter.
    votes: Vec<Vote>,
    /// The part of the rates that is given out, from 0 to 1.
    part: f64,
    /// Since when the part is above 0, the last time that it was.
    began: Time,
    /// Whether buckets begin with the start tokens; not if the node gained the slot twice within a
    /// window.
    starts: bool,
    /// Sorted by workspace.
    buckets: Vec<Bucket>,
    swept: Time,
}

#[derive(Debug)]
struct Vote {
    voter: Name,
    until: Time,
    /// The number of nodes as the voter knows it.
    fleet: u32,
}

#[derive(Debug)]
struct Bucket {
    workspace: Name,
    terms: Terms,
    /// The revision that the terms are of. Questions of nodes with an older one do not change them.
    revision: u64,
    /// From 0 to the part of `terms.size`; with `out` at most `terms.most()`.
    level: f64,
    filled: Time,
    /// The beginning of the tenure that it belongs to.
    began: Time,
    /// Tokens given out that may still be used, with the time of the grant; oldest first.
    out: VecDeque<(Time, u32)>,
    /// When the requests refused so far have room, if they return in order.
    due: Time,
}

impl Keeper {
    /// Creates a keeper without votes. `random` tells its stamps from those of earlier processes.
    pub fn new(bounds: QuotaTolerance, random: u32) -> Keeper {
        let base = (u64::from(random) + 1) << 24;
        Keeper { bounds, base, slots: Vec::new(), closed: false }
    }

    /// Gives out nothing from now on, and tells entries so.
    pub fn close(&mut self) {
        self.closed = true;
    }

    /// Replaces the bounds after the settings changed.
    pub fn set_bounds(&mut self, bounds: QuotaTolerance) {
        self.bounds = bounds;
    }

    /// Answers a node's question. `fleet` is the number of nodes as known here, and `quota` returns
    /// the quota of a workspace by the newer ruleset of both nodes, `None` for no limit, and its
    /// revision.
    pub fn answer(
        &mut self,
        now: Time,
        voter: &Name,
        fleet: usize,
        ask: &TokenAsk,
        quota: impl Fn(&TokenRequest) -> (u64, Option<Quota>),
    ) -> TokenReply {
        let is_known = self.slots.binary_search_by_key(&ask.slot, |slot| slot.id).is_ok();
        if self.closed || !is_known && self.slots.len() >= MAX_SLOTS {
            return TokenReply::default();
        }
        let until = self.vote_end(now, ask.echo);
        let window_us = self.bounds.window_us;
        let slot = self.slot(now, ask.slot);
        if let Some(until) = until {
            slot.vote(voter, until, ask.fleet);
        }
        let share = slot.update(now, fleet, window_us);
        let part = slot.part;
        let bounds = self.bounds;
        let slot = self.slot(now, ask.slot);
        let grants = ask.requests.iter().map(|request| match quota(request) {
            (revision, Some(quota)) => slot
                .bucket(now, request, revision, Terms::new(quota, &bounds))
                .grant(now, part, request.wanted, request.returned),
            (_, None) => unlimited(request),
        });
        let grants = grants.collect();
        TokenReply { stamp: self.base + now.0, share: share as f32, grants }
    }

    /// Returns until when a vote holds that repeats a stamp. `None` if it does not count.
    fn vote_end(&self, now: Time, echo: u64) -> Option<Time> {
        let stamped = Time(echo.checked_sub(self.base)?);
        let until = stamped.after(VOTE_US);
        (stamped <= now && now < until).then_some(until)
    }

    fn slot(&mut self, now: Time, id: u32) -> &mut Slot {
        let at = match self.slots.binary_search_by_key(&id, |slot| slot.id) {
            Ok(at) => at,
            Err(at) => {
                self.slots.insert(at, Slot::new(now, id));
                at
            }
        };
        &mut self.slots[at]
    }
}

/// Grants all that is wanted, for a workspace without a limit in force.
fn unlimited(request: &TokenRequest) -> TokenGrant {
    let (workspace, tokens) = (request.workspace.clone(), request.wanted);
    TokenGrant { workspace, tokens, valid_us: 1_000_000, wait_us: 0 }
}

impl Slot {
    fn new(now: Time, id: u32) -> Slot {
        Slot {
            id,
            votes: Vec::new(),
            part: 0.0,
            began: Time::default(),
            starts: false,
            buckets: Vec::new(),
            swept: now,
        }
    }

    fn vote(&mut self, voter: &Name, until: Time, fleet: u32) {
        match self.votes.binary_search_by(|vote| vote.voter.cmp(voter)) {
            Ok(at) => {
                let vote = &mut self.votes[at];
                (vote.until, vote.fleet) = (vote.until.max(until), fleet);
            }
            Err(at) => self.votes.insert(at, Vote { voter: voter.clone(), until, fleet }),
        }
    }

    /// Counts the votes and sets the part that is given out. Returns the share of the fleet that
    /// votes for this node.
    fn update(&mut self, now: Time, fleet: usize, window_us: u64) -> f64 {
        self.votes.retain(|vote| vote.until > now);
        let known = self.votes.iter().map(|vote| vote.fleet as usize).max();
        let fleet = fleet.max(known.unwrap_or(1)).max(1);
        let share = (self.votes.len() as f64 / fleet as f64).min(1.0);
        let part = ((share - MINORITY) / (QUORUM - MINORITY)).clamp(0.0, 1.0);
        if part != self.part {
            // The part may have fallen at any time since the last question.
            let least = part.min(self.part);
            self.buckets.iter_mut().for_each(|bucket| bucket.refill(now, least));
        }
        if self.part == 0.0 && part > 0.0 {
            self.starts = self.began == Time::default() || now.since(self.began) >= window_us;
            self.began = now;
        }
        self.part = part;
        if now.since(self.swept) >= SWEEP_US {
            self.swept = now;
            self.buckets.retain_mut(|bucket| {
                bucket.refill(now, part);
                bucket.level < bucket.terms.size || !bucket.out.is_empty()
            });
        }
        share
    }

    /// Returns the bucket of a request's workspace under the terms in force.
    fn bucket(
        &mut self,
        now: Time,
        request: &TokenRequest,
        revision: u64,
        terms: Terms,
    ) -> &mut Bucket {
        let (began, part) = (self.began, self.part);
        let level = if self.starts { terms.start } else { 0.0 };
        let new = |out| Bucket {
            workspace: request.workspace.clone(),
            terms,
            revision,
            level,
            // It fills from the beginning of the tenure, in which nobody else gave out its tokens.
            filled: began,
            began,
            out,
            due: now,
        };
        let at =
            match self.buckets.binary_search_by(|known| known.workspace.cmp(&request.workspace)) {
                Ok(at) => at,
                Err(at) => {
                    self.buckets.insert(at, new(VecDeque::new()));
                    at
                }
            };
        let bucket = &mut self.buckets[at];
        if bucket.began != began {
            *bucket = new(std::mem::take(&mut bucket.out));
        }
        bucket.refill(now, part);
        if revision >= bucket.revision {
            (bucket.terms, bucket.revision) = (terms, revision);
        }
        bucket.level = bucket.level.min(bucket.terms.size * part);
        bucket
    }
}

impl Bucket {
    fn refill(&mut self, now: Time, part: f64) {
        let valid_us = self.terms.valid_us;
        while self.out.front().is_some_and(|(granted, _)| now.since(*granted) >= valid_us) {
            self.out.pop_front();
        }
        let seconds = now.since(self.filled) as f64 / 1e6;
        self.filled = self.filled.max(now);
        let level = self.level + seconds * self.terms.rate * part;
        self.level = level.min(self.terms.size * part).min(self.room()).max(0.0);
    }

    /// Returns the most tokens that the bucket may hold beside those at entries.
    fn room(&self) -> f64 {
        let out: f64 = self.out.iter().map(|(_, tokens)| f64::from(*tokens)).sum();
        self.terms.most() - out
    }

    fn grant(&mut self, now: Time, part: f64, wanted: u32, returned: u32) -> TokenGrant {
        self.take_back(returned);
        self.refill(now, part);
        let tokens = wanted.min(self.level as u32);
        self.level -= f64::from(tokens);
        if tokens > 0 {
            self.out.push_back((now, tokens));
        }
        let wait_us = self.wait_us(now, part, wanted - tokens);
        let workspace = self.workspace.clone();
        TokenGrant { workspace, tokens, valid_us: self.terms.valid_us, wait_us }
    }

    /// Puts tokens back that are still out. The oldest are taken for the returned ones, so that the
    /// others count as out for as long as any of them can be used.
    fn take_back(&mut self, returned: u32) {
        let mut left = returned;
        while let Some((_, tokens)) = self.out.front_mut()
            && left > 0
        {
            let taken = left.min(*tokens);
            *tokens -= taken;
            left -= taken;
            self.level += f64::from(taken);
            if *tokens == 0 {
                self.out.pop_front();
            }
        }
    }

    /// Returns when requests that got no token have room, behind those that were refused before.
    fn wait_us(&mut self, now: Time, part: f64, missing: u32) -> u64 {
        if missing == 0 {
            return 0;
        }
        if part == 0.0 {
            return VOTELESS_WAIT_US;
        }
        let ahead_us = f64::from(missing) / (self.terms.rate * part) * 1e6;
        self.due = self.due.max(now).after(ahead_us as u64).min(now.after(MAX_WAIT_US));
        self.due.since(now).max(1)
    }
}
