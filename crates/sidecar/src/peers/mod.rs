//! Other nodes: how they are found, the links to them, and what they say.

mod directory;
mod exchange;
mod links;
mod registry;
mod serve;

pub use directory::Peer;
pub use links::{PeerSettings, Peers};
