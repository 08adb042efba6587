//! Stand-ins for the platform, the backends and the clients of a small deployment, after the users'
//! pages. The nodes are the project's own program, as separate processes.

pub mod backend;
pub mod client;
pub mod http;
pub mod node;
pub mod record;
pub mod store;
