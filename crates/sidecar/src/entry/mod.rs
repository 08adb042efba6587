//! The entry: takes the requests of callers on this VM and sends each to a target.

mod attempt;
mod bodies;
mod call;
mod callers;
mod calls;
mod connections;
mod estimates;
mod keys;
mod pipeline;
mod quota;
mod read_ahead;
mod responses;
mod state;

pub use callers::{CallerServer, bind};
pub use state::{Entry, EntryLimits};
