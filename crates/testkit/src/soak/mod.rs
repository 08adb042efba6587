//! Random mixes of faults against the machines that keep the promises, in virtual time, with every
//! invariant checked after each step.

mod keyed;
mod store;

pub use keyed::{Report, Soak};
pub use store::Store;
