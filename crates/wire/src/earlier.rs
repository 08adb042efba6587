//! Messages as nodes of earlier versions decode them.

use serde::{Deserialize, Serialize};
use world::{CallerLimits, Name, Part, Repeat, Ruleset, ServiceRule};

/// A ruleset without workspaces and roll-outs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EarlierRuleset {
    revision: u64,
    routing: EarlierRouting,
    out: Vec<Name>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct EarlierRouting {
    version: u64,
    routes: Vec<EarlierRoute>,
    services: Vec<ServiceRule>,
    limits: CallerLimits,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct EarlierRoute {
    name: Name,
    host: Name,
    prefix: Name,
    parts: Vec<Part>,
    repeat: Repeat,
    timeout_us: u64,
    aim_us: u64,
    attempts: u32,
    priority: u32,
}

impl EarlierRuleset {
    /// Converts a ruleset. `None` if it has workspaces, whose keys earlier versions do not check.
    pub fn from_ruleset(ruleset: &Ruleset) -> Option<EarlierRuleset> {
        if !ruleset.routing.workspaces.is_empty() {
            return None;
        }
        let routes = ruleset.routing.routes().iter().map(|route| EarlierRoute {
            name: route.name.clone(),
            host: route.host.clone(),
            prefix: route.prefix.clone(),
            parts: route.parts.clone(),
            repeat: route.repeat,
            timeout_us: route.timeout_us,
            aim_us: route.aim_us,
            attempts: route.attempts,
            priority: route.priority,
        });
        let routing = EarlierRouting {
            version: ruleset.routing.version,
            routes: routes.collect(),
            services: ruleset.routing.services().to_vec(),
            limits: ruleset.routing.limits,
        };
        Some(EarlierRuleset { revision: ruleset.revision, routing, out: ruleset.out.clone() })
    }
}
