//! The decisions in virtual time against a small model of targets: one service, its entries, its
//! guards and the links between them. No clock, no sockets, the same result on every run.

mod baseline;
mod bounds;
mod case;
mod model;
mod oracle;
mod ours;
mod result;

pub use baseline::{Baseline, run as run_baseline};
pub use bounds::{Bound, check};
pub use case::{CASES, Case, Fault, named};
pub use model::{Arrival, Fleet, TargetModel, Weather};
pub use oracle::run as run_oracle;
pub use ours::{Options, run as run_ours};
pub use result::Row;
