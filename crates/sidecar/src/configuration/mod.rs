//! The ruleset in force, and the watch on the operator's table that replaces it.

mod active;
mod watcher;

pub use active::ActiveRuleset;
pub use watcher::watch_table;
