//! Other nodes: how they are found, the links to them, and the messages on these links.

mod directory;
mod exchange;
mod links;
mod membership;
mod quota;
mod registry;
mod reports;
mod rollout;
mod selection;
mod serve;

pub use directory::Peer;
pub use links::{PeerSettings, Peers};
pub use rollout::RolloutSettings;
