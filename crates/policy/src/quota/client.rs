//! The entry's side: who is asked for which tokens, and what requests get.

use world::{Name, Quota};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::allowance::Allowance;
use super::ballot::Ballot;
use super::terms::QuotaTolerance;
use super::{TokenAsk, TokenReply, VOTE_US};
use crate::Time;

/// Nodes for each keeper.
const NODES_PER_SLOT: usize = 100;
/// The least and the most slots.
const SLOTS: (usize, usize) = (2, 8);
/// Candidates of a slot: some of them outlive the loss of a data centre.
const CANDIDATES: usize = 5;
/// The fleet that is assumed while it is not known.
const UNKNOWN_FLEET: usize = 1_000;
/// An allowance is forgotten when it was not used for this long, in microseconds; longer than any
/// window.
const RETENTION_US: u64 = 60_000_000;

/// The tokens that this node holds, and the keepers of the slots.
#[derive(Debug)]
pub struct QuotaClient {
    node: Name,
    bounds: QuotaTolerance,
    started: Time,
    /// The number of nodes; `None` until the member list is complete.
    fleet: Option<usize>,
    /// One for each slot.
    ballots: Vec<Ballot>,
    /// Sorted by workspace.
    allowances: Vec<Allowance>,
}

/// A question to send.
#[derive(Clone, Debug, PartialEq)]
pub struct OutgoingAsk {
    /// The node to ask, which may be this one.
    pub to: Name,
    /// The question.
    pub ask: TokenAsk,
}

/// The permission for one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QuotaToken {
    /// The workspace.
    pub workspace: Name,
    /// Until when it can be given back; in the past for a token of the node's own share.
    pub expires: Time,
}

/// What a request gets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum QuotaAdmission {
    /// It may run.
    Admitted(QuotaToken),
    /// It waits for an answer, in this round of questions.
    Wait(u64),
    /// It is over the quota. The workspace has room again in this many microseconds.
    Refused(u64),
}

impl QuotaClient {
    /// Creates the client of a node that starts now, and may have voted before.
    pub fn new(now: Time, node: Name, bounds: QuotaTolerance) -> QuotaClient {
        let (ballots, allowances) = (Vec::new(), Vec::new());
        QuotaClient { node, bounds, started: now, fleet: None, ballots, allowances }
    }

    /// Replaces the bounds after the settings changed.
    pub fn set_bounds(&mut self, bounds: QuotaTolerance) {
        self.bounds = bounds;
    }

    /// Takes over the member list: the number of nodes, and the names of those that are up, this one
    /// included.
    pub fn set_members(&mut self, now: Time, fleet: usize, up: &[Name]) {
        self.fleet = Some(fleet);
        let slots = (fleet / NODES_PER_SLOT).clamp(SLOTS.0, SLOTS.1);
        if self.ballots.len() != slots {
            // Votes for the slots of before hold as long as any.
            let since = if self.ballots.is_empty() { self.started } else { now };
            self.ballots = (0..slots).map(|_| Ballot::new(since.after(VOTE_US))).collect();
        }
        for at in 0..slots {
            let seed = u64::from(self.slot_id(at));
            let mut ranked: Vec<(u64, &Name)> =
                up.iter().map(|name| (xxh3_64_with_seed(name.as_bytes(), seed), name)).collect();
            ranked.sort_unstable();
            let names: Vec<Name> =
                ranked.into_iter().take(CANDIDATES).map(|(_, name)| name.clone()).collect();
            self.ballots[at].set_candidates(now, &names);
        }
    }

    /// Returns the time until a workspace has room, in microseconds, if a request that arrives is
    /// refused without a question. The request is counted then.
    pub fn check(&mut self, now: Time, workspace: &Name, quota: Quota) -> Option<u64> {
        let is_settled = self.ballot(workspace).is_some_and(|ballot| ballot.is_settled(now));
        let allowance = self.allowance(workspace, quota);
        let wait_us =
            allowance.wait_us(now).filter(|_| is_settled && !allowance.has_tokens(now))?;
        allowance.count(now);
        Some(wait_us)
    }

    /// Admits a request of a workspace that arrives, or comes back after its wait.
    pub fn admit(&mut self, now: Time, workspace: &Name, quota: Quota) -> QuotaAdmission {
        self.allowance(workspace, quota).count(now);
        self.try_take(now, workspace, quota)
    }

    /// Admits a request that waits in a round, once a question was answered.
    pub fn retry(
        &mut self,
        now: Time,
        workspace: &Name,
        quota: Quota,
        round: u64,
    ) -> QuotaAdmission {
        match self.allowance(workspace, quota).is_round(round) {
            true => QuotaAdmission::Wait(round),
            false => self.try_take(now, workspace, quota),
        }
    }

    fn try_take(&mut self, now: Time, workspace: &Name, quota: Quota) -> QuotaAdmission {
        let is_settled = self.ballot(workspace).is_some_and(|ballot| ballot.is_settled(now));
        let allowance = self.allowance(workspace, quota);
        if let Some(expires) = allowance.take(now) {
            let workspace = workspace.clone();
            return QuotaAdmission::Admitted(QuotaToken { workspace, expires });
        }
        match allowance.wait_us(now) {
            Some(_) if !is_settled => self.last_resort(now, workspace, quota),
            Some(wait_us) => QuotaAdmission::Refused(wait_us),
            None => QuotaAdmission::Wait(allowance.wait()),
        }
    }

    /// Decides on a request that no keeper answers, by the node's own share of the tolerance.
    pub fn last_resort(&mut self, now: Time, workspace: &Name, quota: Quota) -> QuotaAdmission {
        let fleet = self.fleet.unwrap_or(UNKNOWN_FLEET);
        let (bounds, seed) = (self.bounds, xxh3_64(self.node.as_bytes()));
        let draw = xxh3_64_with_seed(workspace.as_bytes(), seed) as f64 / u64::MAX as f64;
        match self.allowance(workspace, quota).take_own(now, &bounds, fleet, draw) {
            true => QuotaAdmission::Admitted(QuotaToken {
                workspace: workspace.clone(),
                expires: Time::default(),
            }),
            // By then another keeper has the votes, if there is one.
            false => QuotaAdmission::Refused(VOTE_US / 2),
        }
    }

    /// Takes back the token of a request that was not sent to a target.
    pub fn give_back(&mut self, now: Time, token: &QuotaToken) {
        if let Some(allowance) = self.find(&token.workspace)
            && token.expires > now
        {
            allowance.put_back(token.expires);
        }
    }

    /// Counts a request that is sent to a further target, which the next tokens pay for.
    pub fn charge(&mut self, workspace: &Name) {
        if let Some(allowance) = self.find(workspace) {
            allowance.charge();
        }
    }

    /// Takes a charge back.
    pub fn refund(&mut self, workspace: &Name) {
        if let Some(allowance) = self.find(workspace) {
            allowance.refund();
        }
    }

    /// Returns the questions to ask now. Each has to be answered by [`QuotaClient::answered`] or
    /// [`QuotaClient::unanswered`]. To be called every 50 ms, when a
    /// request waits, and after each answer.
    pub fn asks(&mut self, now: Time, revision: u64) -> Vec<OutgoingAsk> {
        let Some(fleet) = self.fleet else { return Vec::new() };
        self.allowances.retain(|allowance| !allowance.is_unused(now, RETENTION_US));
        let mut asks = Vec::new();
        for at in 0..self.ballots.len() {
            for to in self.due(now, at) {
                let is_keeper = self.ballots[at].keeper() == Some(&to);
                let requests = if is_keeper { self.requests(now, at) } else { Vec::new() };
                let echo = self.ballots[at].ask(now, &to);
                let (slot, fleet) = (self.slot_id(at), fleet as u32);
                asks.push(OutgoingAsk {
                    to,
                    ask: TokenAsk { slot, echo, fleet, revision, requests },
                });
            }
        }
        asks
    }

    /// Returns whom to ask of a slot: the candidates that are due, and the keeper if tokens are
    /// wanted.
    fn due(&self, now: Time, at: usize) -> Vec<Name> {
        let ballot = &self.ballots[at];
        let mut due = ballot.due(now);
        if let Some(keeper) = ballot.keeper()
            && !ballot.is_asking()
            && !due.contains(keeper)
            && self.slot_allowances(at).any(|allowance| allowance.is_due(now))
        {
            due.push(keeper.clone());
        }
        due
    }

    fn requests(&mut self, now: Time, at: usize) -> Vec<super::TokenRequest> {
        let slots = self.ballots.len();
        let in_slot = |allowance: &&mut Allowance| slot_of(&allowance.workspace, slots) == at;
        self.allowances.iter_mut().filter(in_slot).filter_map(|known| known.ask(now)).collect()
    }

    fn slot_allowances(&self, at: usize) -> impl Iterator<Item = &Allowance> {
        let slots = self.ballots.len();
        self.allowances.iter().filter(move |known| slot_of(&known.workspace, slots) == at)
    }

    /// Handles the answer of a node to a question that was sent at `sent`.
    pub fn answered(&mut self, now: Time, sent: Time, outgoing: &OutgoingAsk, reply: &TokenReply) {
        if let Some(ballot) = self.slot_ballot(outgoing.ask.slot) {
            ballot.answered(now, &outgoing.to, reply);
        }
        for request in &outgoing.ask.requests {
            let mut grants = reply.grants.iter();
            let grant = grants.find(|grant| grant.workspace == request.workspace);
            match (self.find(&request.workspace), grant) {
                (Some(allowance), Some(grant)) => allowance.grant(now, sent, grant),
                (Some(allowance), None) => allowance.next_round(),
                (None, _) => {}
            }
        }
    }

    /// Handles that a node did not answer a question in time. A later answer must be ignored.
    pub fn unanswered(&mut self, now: Time, outgoing: &OutgoingAsk) {
        if let Some(ballot) = self.slot_ballot(outgoing.ask.slot) {
            ballot.unanswered(now, &outgoing.to);
        }
        for request in &outgoing.ask.requests {
            if let Some(allowance) = self.find(&request.workspace) {
                allowance.next_round();
            }
        }
    }

    /// Returns the keeper of each slot, and whether it answers and has the votes of most nodes.
    pub fn keepers(&self, now: Time) -> impl Iterator<Item = (Option<&Name>, bool)> {
        self.ballots.iter().map(move |ballot| (ballot.keeper(), ballot.is_settled(now)))
    }

    /// Returns whether a node is asked for the tokens of a slot.
    pub fn is_keeper(&self, name: &str) -> bool {
        self.ballots.iter().any(|ballot| ballot.keeper().is_some_and(|keeper| **keeper == *name))
    }

    fn slot_id(&self, at: usize) -> u32 {
        (self.ballots.len() as u32) << 8 | at as u32
    }

    fn slot_ballot(&mut self, id: u32) -> Option<&mut Ballot> {
        let slots = self.ballots.len() as u32;
        self.ballots.get_mut((id & 0xff) as usize).filter(|_| id >> 8 == slots)
    }

    fn ballot(&self, workspace: &Name) -> Option<&Ballot> {
        self.ballots.get(slot_of(workspace, self.ballots.len()))
    }

    fn find(&mut self, workspace: &Name) -> Option<&mut Allowance> {
        let at = self.allowances.binary_search_by(|known| known.workspace.cmp(workspace)).ok()?;
        Some(&mut self.allowances[at])
    }

    fn allowance(&mut self, workspace: &Name, quota: Quota) -> &mut Allowance {
        let find = |known: &Allowance| known.workspace.cmp(workspace);
        let at = match self.allowances.binary_search_by(find) {
            Ok(at) => at,
            Err(at) => {
                self.allowances.insert(at, Allowance::new(workspace.clone(), quota));
                at
            }
        };
        let allowance = &mut self.allowances[at];
        allowance.quota = quota;
        allowance
    }
}

/// Returns the slot of a workspace among `slots`.
fn slot_of(workspace: &Name, slots: usize) -> usize {
    (xxh3_64(workspace.as_bytes()) % slots.max(1) as u64) as usize
}
