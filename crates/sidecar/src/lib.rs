//! The node that runs beside each target. Its entry half takes the requests that callers on its VM
//! send, and its guard half stands in front of the target on its VM.
//!
//! Modules import in one direction only: `entry`, `peers`, `guard`, `configuration`. The decisions
//! are state machines of the crate `policy`; this crate has the sockets, clocks and tasks.
//! Everything but the writing of log lines runs on one thread.

mod configuration;
mod entry;
mod guard;
mod local_http;
mod logs;
mod metrics;
mod peers;
mod run;

pub use run::main;
