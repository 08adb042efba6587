//! The node: the entry that callers ask and the guard in front of one target, in one process.
//!
//! The decisions are those of the package `policy`; here are the sockets, clocks and tasks.

mod admin;
mod attempt;
mod callers;
mod dispatch;
mod events;
mod exchange;
mod gate;
mod gossip;
mod headers;
mod ledger;
mod links;
mod logs;
mod metrics;
mod node;
mod once;
mod peers;
mod pieces;
mod pool;
mod refusal;
mod run;
mod server;
mod settings;
mod spread;
mod suspicion;

pub use run::main;
pub use settings::{Fault, Settings};
