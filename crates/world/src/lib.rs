//! The data model of the operators' configuration: data centres, VMs, services, contracts and
//! routes, the parser of the document that lists them, and the numbered result codes.

mod code;
mod config;
mod inventory;
mod key;
mod parse;
mod revision;
mod routing;
mod target;
mod workspace;

pub use code::Code;
pub use config::Config;
pub use inventory::{Class, Contract, DataCentre, Inventory, Link, Rule, Service, Vm};
pub use key::Key;
pub use parse::{Fault, parse};
pub use revision::Revision;
pub use routing::{
    CallerLimits, Part, Repeat, Rollout, RolloutState, RouteRule, Routing, Ruleset, ServiceRule,
    set_out, set_rollout,
};
pub use target::{Announcement, TargetState};
pub use workspace::{KeyDigest, Quota, Workspace, Workspaces};

/// A shared immutable string, cheap to clone: a name, or any other text of the configuration.
pub type Name = std::sync::Arc<str>;
