//! Quotas of workspaces over all nodes: one keeper counts the requests of a workspace, and entries
//! take tokens from it.

use serde::{Deserialize, Serialize};
use world::Name;

/// Asks the keeper of a workspace for tokens. One token allows one request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TokenRequest {
    /// The workspace.
    pub workspace: Name,
    /// Tokens that the entry wants.
    pub wanted: u32,
    /// Tokens that the entry gives back unused.
    pub returned: u32,
}

/// What a keeper gives an entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TokenGrant {
    /// The workspace.
    pub workspace: Name,
    /// Tokens that the entry may use.
    pub tokens: u32,
    /// The time for which they may be used, in microseconds from the frame's arrival.
    pub valid_us: u64,
    /// The time until the workspace has room again, in microseconds; 0 if it has.
    pub wait_us: u64,
}
