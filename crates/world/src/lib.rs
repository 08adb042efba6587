//! What operators own and rule over: data centres, VMs, services and contracts, the document that
//! lists them, its checks, and the numbered result codes that every part reports.

mod code;
mod config;
mod inventory;
mod key;
mod parse;
mod routing;
mod target;

pub use code::Code;
pub use config::Config;
pub use inventory::{Class, Contract, DataCentre, Inventory, Link, Rule, Service, Vm};
pub use key::Key;
pub use parse::{Fault, parse};
pub use routing::{CallerLimits, Part, Repeat, RouteRule, Routing, Ruleset, ServiceRule, set_out};
pub use target::{Announcement, TargetState};

/// A shared immutable string that names one thing of the world.
pub type Name = std::sync::Arc<str>;
