//! Whom a node asks for the tokens of one slot, and for whom it votes.

use world::Name;

use super::{QUORUM, TokenReply, VOTE_US};
use crate::Time;

/// The time between two questions to a keeper while nothing is wanted, in microseconds.
const ASK_INTERVAL_US: u64 = 250_000;
/// Unanswered questions in a row after which a candidate counts as silent.
const SILENT_AFTER: u32 = 2;
/// How long a silent candidate is not asked, in microseconds.
const SILENT_US: u64 = 500_000;
/// How long an answer tells that a candidate has the votes of most nodes, in microseconds.
const FRESH_US: u64 = 600_000;

/// The candidates of a slot, in order of rank, and this node's vote.
#[derive(Debug)]
pub(super) struct Ballot {
    candidates: Vec<Candidate>,
    /// The candidate that is asked for tokens, by name. It may have left the candidates.
    keeper: Option<Name>,
    /// Whom the node has voted for, and until when that may count.
    promise: Option<(Name, Time)>,
    /// The node does not vote before.
    votes_from: Time,
}

#[derive(Clone, Debug)]
struct Candidate {
    name: Name,
    /// The stamp of its last answer, 0 without one.
    stamp: u64,
    /// When that answer arrived.
    answered: Time,
    /// The share of the fleet's votes that it had then.
    share: f64,
    /// When it was last asked.
    asked: Time,
    /// Whether that question has no answer yet.
    open: bool,
    /// Unanswered questions since the last answer.
    missed: u32,
    /// Until when it is not asked.
    silent_until: Time,
}

impl Candidate {
    fn new(name: Name) -> Candidate {
        Candidate {
            name,
            stamp: 0,
            answered: Time::default(),
            share: 0.0,
            asked: Time::default(),
            open: false,
            missed: 0,
            silent_until: Time::default(),
        }
    }

    fn is_silent(&self) -> bool {
        self.missed >= SILENT_AFTER
    }

    fn has_quorum(&self, now: Time) -> bool {
        let is_fresh = self.stamp > 0 && now.since(self.answered) < FRESH_US;
        is_fresh && !self.is_silent() && self.share >= QUORUM
    }
}

impl Ballot {
    /// Creates a ballot without candidates, of a node that may have voted until `votes_from`.
    pub(super) fn new(votes_from: Time) -> Ballot {
        Ballot { candidates: Vec::new(), keeper: None, promise: None, votes_from }
    }

    /// Replaces the candidates, and keeps what is known of those that remain.
    pub(super) fn set_candidates(&mut self, now: Time, names: &[Name]) {
        let known = |name: &Name| self.candidates.iter().find(|known| known.name == *name);
        let kept = |name: &Name| known(name).cloned().unwrap_or(Candidate::new(name.clone()));
        // The node that was voted for may say that it stops, which frees the vote.
        let is_bound = |(name, until): &&(Name, Time)| *until > now && !names.contains(name);
        let voted = self.promise.as_ref().filter(is_bound).map(|(name, _)| name);
        self.candidates = names.iter().chain(voted).map(kept).collect();
        self.choose(now);
    }

    /// Returns the candidate that is asked for tokens. `None` without candidates.
    pub(super) fn keeper(&self) -> Option<&Name> {
        self.keeper.as_ref()
    }

    /// Returns whether the keeper answers and has the votes of most nodes.
    pub(super) fn is_settled(&self, now: Time) -> bool {
        self.keeper.as_ref().and_then(|name| self.find(name)).is_some_and(|at| at.has_quorum(now))
    }

    /// Returns whether a question to the keeper is open.
    pub(super) fn is_asking(&self) -> bool {
        self.keeper.as_ref().and_then(|name| self.find(name)).is_some_and(|at| at.open)
    }

    /// Returns the candidates to ask now: the keeper from time to time, and all others while it has
    /// not the votes of most nodes.
    pub(super) fn due(&self, now: Time) -> Vec<Name> {
        let is_settled = self.is_settled(now);
        let is_due = |candidate: &&Candidate| {
            let is_keeper = self.keeper.as_ref() == Some(&candidate.name);
            let waits_us = now.since(candidate.asked);
            let is_first = candidate.asked == Time::default();
            let is_missed = candidate.missed > 0 && !candidate.is_silent();
            // A vote that has just become possible, or a question after one without an answer.
            let is_urgent = is_keeper && (is_missed || self.can_begin_vote(now, candidate));
            !candidate.open
                && now >= candidate.silent_until
                && (is_keeper || !is_settled)
                && (is_first || is_urgent || waits_us >= ASK_INTERVAL_US)
        };
        self.candidates.iter().filter(is_due).map(|candidate| candidate.name.clone()).collect()
    }

    /// Records that a candidate is asked, and returns the stamp to repeat as the vote.
    pub(super) fn ask(&mut self, now: Time, name: &Name) -> u64 {
        let is_keeper = self.keeper.as_ref() == Some(name);
        let is_free = self.is_free(now, name);
        let Some(candidate) = self.candidates.iter_mut().find(|known| known.name == *name) else {
            return 0;
        };
        (candidate.asked, candidate.open) = (now, true);
        let until = candidate.answered.after(VOTE_US);
        if !is_keeper || !is_free || candidate.stamp == 0 || until <= now {
            return 0;
        }
        self.promise = Some((name.clone(), until));
        candidate.stamp
    }

    /// Records an answer.
    pub(super) fn answered(&mut self, now: Time, name: &Name, reply: &TokenReply) {
        if reply.stamp == 0 && self.promise.as_ref().is_some_and(|(voted, _)| voted == name) {
            self.promise = None;
        }
        if let Some(candidate) = self.candidates.iter_mut().find(|known| known.name == *name) {
            candidate.open = false;
            candidate.stamp = reply.stamp;
            candidate.share = f64::from(reply.share);
            candidate.answered = now;
            candidate.missed = if reply.stamp == 0 { SILENT_AFTER } else { 0 };
            candidate.silent_until = if reply.stamp == 0 { now.after(SILENT_US) } else { now };
        }
        self.choose(now);
    }

    /// Records that a question was not answered in time.
    pub(super) fn unanswered(&mut self, now: Time, name: &Name) {
        if let Some(candidate) = self.candidates.iter_mut().find(|known| known.name == *name) {
            candidate.open = false;
            candidate.missed += 1;
            if candidate.is_silent() {
                candidate.silent_until = now.after(SILENT_US);
            }
        }
        self.choose(now);
    }

    /// Keeps the keeper if it has the votes of most nodes; otherwise chooses one that has, or the
    /// first that is not silent.
    fn choose(&mut self, now: Time) {
        if self.is_settled(now) {
            return;
        }
        let elected = self.candidates.iter().find(|candidate| candidate.has_quorum(now));
        let first = || self.candidates.iter().find(|candidate| !candidate.is_silent());
        let chosen = elected.or_else(first).map(|candidate| candidate.name.clone());
        // With all silent, the last one is asked again when its silence is over.
        self.keeper = chosen.or_else(|| self.candidates.first().map(|first| first.name.clone()));
    }

    /// Returns whether the node may vote for a candidate.
    fn is_free(&self, now: Time, name: &Name) -> bool {
        let is_bound = |(voted, until): &(Name, Time)| voted != name && *until > now;
        now >= self.votes_from && !self.promise.as_ref().is_some_and(is_bound)
    }

    /// Returns whether the node can vote for a candidate that it has not voted for yet.
    fn can_begin_vote(&self, now: Time, candidate: &Candidate) -> bool {
        let has_voted = self.promise.as_ref().is_some_and(|(voted, _)| *voted == candidate.name);
        let is_usable = candidate.stamp > 0 && candidate.answered.after(VOTE_US) > now;
        !has_voted && is_usable && self.is_free(now, &candidate.name)
    }

    fn find(&self, name: &Name) -> Option<&Candidate> {
        self.candidates.iter().find(|candidate| candidate.name == *name)
    }
}
