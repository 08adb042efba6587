//! The entry: takes the requests of callers on this VM and sends each to a target.

mod attempt;
mod bodies;
mod call;
mod callers;
mod connections;
mod estimates;
mod pipeline;
mod read_ahead;
mod responses;
mod state;

pub use callers::{CallerServer, bind};
pub use connections::Connections;
pub use state::{Entry, EntryLimits};
