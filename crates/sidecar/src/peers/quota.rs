//! Quotas between nodes: this node as a keeper, and the questions to other keepers.

use std::rc::Rc;
use std::time::Duration;

use policy::{Keeper, OutgoingAsk, QuotaTolerance, TokenAsk, TokenReply, TokenRequest};
use rand::Rng;
use wire::link::{Frame, Reply};
use world::{Name, Quota};

use crate::peers::links::Peers;
use crate::peers::membership::node_of;

/// The longest wait for a keeper's answer, the opening of a link included. A later answer counts as
/// none.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(200);
/// How long a link to a keeper stays after the last question, in microseconds.
const LINK_US: u64 = 10_000_000;

impl Peers {
    /// Makes this node answer questions for tokens, or changes the bounds by which it does.
    pub fn set_quota_bounds(&self, bounds: QuotaTolerance) {
        match &mut *self.keeper.borrow_mut() {
            Some(keeper) => keeper.set_bounds(bounds),
            keeper => *keeper = Some(Keeper::new(bounds, rand::rng().random())),
        }
    }

    /// Gives out no tokens from now on, so that other nodes choose another keeper at once.
    pub fn close_keeper(&self) {
        if let Some(keeper) = &mut *self.keeper.borrow_mut() {
            keeper.close();
        }
    }

    /// Returns the number of nodes that count for a keeper's votes, and the names of those that are
    /// up, this one included. `None` while the list may be incomplete.
    pub fn quota_members(&self) -> Option<(usize, Vec<Name>)> {
        if !self.membership.is_complete() {
            return None;
        }
        let members = self.membership.members.borrow();
        self.quota_fleet.set(members.present());
        let up =
            members.up().map(|member| member.name.clone()).chain([self.local_node.name.clone()]);
        Some((self.quota_fleet.get(), up.collect()))
    }

    /// Asks a node for tokens. `None` if it does not answer in time.
    pub async fn ask_tokens(self: &Rc<Peers>, outgoing: &OutgoingAsk) -> Option<TokenReply> {
        if outgoing.to == self.local_node.name {
            return Some(self.answer_tokens(&outgoing.to, &outgoing.ask));
        }
        match tokio::time::timeout(ANSWER_TIMEOUT, self.request_tokens(outgoing)).await {
            Ok(Ok(reply)) => Some(reply),
            Ok(Err(detail)) => {
                tracing::debug!(keeper = &*outgoing.to, detail, "quota: a question failed");
                None
            }
            Err(_) => {
                tracing::debug!(keeper = &*outgoing.to, "quota: a question was not answered");
                None
            }
        }
    }

    async fn request_tokens(
        self: &Rc<Peers>,
        outgoing: &OutgoingAsk,
    ) -> Result<TokenReply, String> {
        let node = self.membership.members.borrow().member(&outgoing.to).map(node_of);
        let node = node.ok_or("the node is no member")?;
        let until = self.clock.now().after(LINK_US);
        let peer = self.want_link(&node, until).ok_or("another node has its address")?;
        while peer.link().is_none() {
            self.wait_for_link(&peer, ANSWER_TIMEOUT).await;
        }
        let frame = Frame::Tokens(Box::new(outgoing.ask.clone()));
        match self.request(&peer, &frame).await {
            Ok(Reply::Tokens(reply)) => Ok(*reply),
            Ok(_) => Err("the reply has no tokens".to_owned()),
            Err(error) => Err(error.to_string()),
        }
    }

    /// Answers a node that asks this one for tokens.
    pub(super) fn answer_tokens(&self, voter: &Name, ask: &TokenAsk) -> TokenReply {
        let mut keeper = self.keeper.borrow_mut();
        let Some(keeper) = keeper.as_mut() else { return TokenReply::default() };
        // Until this node has read its own list, the voters know the number.
        let fleet = self.quota_fleet.get();
        let quota = |request: &TokenRequest| self.newer_quota(ask.revision, request);
        let reply = keeper.answer(self.elapsed.now(), voter, fleet, ask, quota);
        let tokens: u64 = reply.grants.iter().map(|grant| u64::from(grant.tokens)).sum();
        self.metrics.quota_granted.inc_by(tokens);
        reply
    }

    /// Returns the quota of a workspace by this node's ruleset or the sender's, whichever is newer,
    /// and its revision.
    fn newer_quota(&self, revision: u64, request: &TokenRequest) -> (u64, Option<Quota>) {
        let own = self.rules.current().filter(|rules| rules.revision >= revision);
        let known = own.as_ref().and_then(|own| {
            let workspace = own.routing.workspaces.find(&request.workspace)?;
            Some((own.revision, workspace.quota))
        });
        known.unwrap_or((revision, Some(request.quota)))
    }
}
