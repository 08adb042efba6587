//! The guard: the one counter in front of the target on this VM.

mod attempt;
mod lives;
mod pool;
mod probe;
mod state;

pub use attempt::{Answer, Outcome};
pub use probe::find_target;
pub use state::Guard;
