//! The guard: admits requests to the target on this VM, runs them there, and checks its health.

mod attempt;
mod bodies;
mod crashes;
mod heartbeats;
mod incarnations;
mod pool;
mod probe;
mod rollout;
mod running;
mod starts;
mod state;
mod statements;

pub use attempt::{Answer, Outcome, is_final};
pub use bodies::{BodyBuffer, BodyFault, BodyMemory, HeldMemory};
pub use crashes::{CrashUpdate, fingerprint};
pub use probe::find_target;
pub use state::{Guard, VmNames};
