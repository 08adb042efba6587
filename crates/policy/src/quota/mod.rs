//! Quotas of workspaces over all nodes: one keeper counts the requests of a workspace, and entries
//! take tokens from it. See `docs/design/quotas.md`.

mod allowance;
mod ballot;
mod client;
mod keeper;
mod terms;

use serde::{Deserialize, Serialize};
use world::{Name, Quota};

pub use client::{OutgoingAsk, QuotaAdmission, QuotaClient, QuotaToken};
pub use keeper::Keeper;
pub use terms::QuotaTolerance;

/// How long a vote holds from the stamp that it repeats, in microseconds.
const VOTE_US: u64 = 800_000;
/// The share of the fleet whose votes give a keeper the whole rate.
const QUORUM: f64 = 0.6;

/// A question to the keeper of a slot, which is a vote for it as well.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TokenAsk {
    /// The slot, with the number of slots in the upper bytes.
    pub slot: u32,
    /// The stamp of the keeper's last answer, by which the sender votes for it; 0 without a vote.
    pub echo: u64,
    /// The number of nodes as the sender knows it; too high rather than too low.
    pub fleet: u32,
    /// The revision of the sender's ruleset.
    pub revision: u64,
    /// What the sender wants and gives back; sorted by workspace.
    pub requests: Vec<TokenRequest>,
}

/// Asks for tokens of a workspace. One token allows one request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TokenRequest {
    /// The workspace.
    pub workspace: Name,
    /// Its quota by the sender's ruleset.
    pub quota: Quota,
    /// Tokens that the entry wants.
    pub wanted: u32,
    /// Tokens that the entry gives back unused, while they were valid.
    pub returned: u32,
}

/// The answer to a [`TokenAsk`].
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TokenReply {
    /// The time of the answer by the keeper's clock, above 0; repeated as a vote. 0 if the keeper
    /// stops and gives out nothing any more.
    pub stamp: u64,
    /// The share of the fleet that votes for the keeper, from 0 to 1.
    pub share: f32,
    /// One grant for each workspace that was asked for.
    pub grants: Vec<TokenGrant>,
}

/// What a keeper gives an entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TokenGrant {
    /// The workspace.
    pub workspace: Name,
    /// Tokens that the entry may use.
    pub tokens: u32,
    /// The time for which they may be used, in microseconds from the sending of the question.
    pub valid_us: u64,
    /// The time until the workspace has room for the requests that got no token, in microseconds; 0
    /// if all got one.
    pub wait_us: u64,
}
