//! Scripted failures: a small language, run against separate processes. Its reference is
//! `docs/SCENARIOS.md`.

mod parse;
mod run;

pub use parse::{Action, Error, Expected, Process, Scenario, Send, Shape, Step, parse};
pub use run::{Failure, run};
