//! Stand-ins, load and scenarios. For tests and measurements only; the two binaries never use it.

pub mod client;
pub mod http;
pub mod load;
pub mod mesh;
pub mod report;
pub mod scenario;
pub mod sim;
pub mod soak;
pub mod table;
pub mod target;
