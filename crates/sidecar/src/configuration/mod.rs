//! The ruleset in force, and how the node learns of newer ones.

mod feed;
mod rules;

pub use feed::follow;
pub use rules::ActiveRuleset;
