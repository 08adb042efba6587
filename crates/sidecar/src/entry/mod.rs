//! The entry: takes the requests that begin on this VM and has each run by one target.

mod ahead;
mod answers;
mod attempt;
mod call;
mod callers;
mod learned;
mod socket;
mod state;

pub use callers::{Callers, bind};
pub use state::Entry;
