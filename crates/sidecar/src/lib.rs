//! The node beside each target: the entry for the requests that begin on its VM, and the guard in
//! front of its target.
//!
//! The folders import in one direction only: `entry`, `peers`, `guard`, `configuration`. The
//! decisions are those of the package `policy`; here are the sockets, clocks and tasks. Everything
//! runs on one thread.

mod configuration;
mod entry;
mod guard;
mod logs;
mod metrics;
mod peers;
mod platform_side;
mod run;

pub use run::main;
