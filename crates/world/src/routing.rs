//! The routing table: routes by host and path prefix, their services, and limits for callers.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::{Name, Workspaces};

/// Whether a request that may have run may be sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Repeat {
    /// It may run any number of times.
    Safe,
    /// It runs at most once for each request of a caller.
    Never,
}

/// One service of a weighted split, with its share of the route's requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// Name of the service.
    pub service: Name,
    /// Its weight, relative to the sum of the weights of the route's parts.
    pub weight: u32,
}

/// The services and limits for requests of one host and path prefix.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteRule {
    /// Identifies the route in logs and metrics.
    pub name: Name,
    /// The host to match, in lower case and without a port.
    pub host: Name,
    /// The path prefix to match, which begins and ends with a slash.
    pub prefix: Name,
    /// At least one; the weights sum to more than zero.
    pub parts: Vec<Part>,
    /// Whether its requests may be sent again after they may have run.
    pub repeat: Repeat,
    /// The longest time until the answer, in microseconds.
    pub timeout_us: u64,
    /// The latency objective, in microseconds: an answer within it is worth most.
    pub aim_us: u64,
    /// The most targets to which one request is dispatched, at least 1.
    pub attempts: u32,
    /// The priority under overload; 0 is served first.
    pub priority: u32,
    /// Whether its requests need no key where there are workspaces.
    pub public: bool,
}

/// Settings of a service that hold for each of its targets.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceRule {
    /// Unique among services.
    pub name: Name,
    /// The path of health checks.
    pub health: Name,
    /// The most connections that one target accepts.
    pub connections: u32,
    /// The most requests per second that a cold target can take; 0 for no limit.
    pub cold_rate: f64,
}

/// Size limits and timeouts for callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// The largest request head, in bytes.
    pub head_bytes: u64,
    /// The largest request body, in bytes.
    pub body_bytes: u64,
    /// The timeout for a whole request head, in microseconds.
    pub head_us: u64,
    /// The idle timeout of a connection without a request, in microseconds.
    pub idle_us: u64,
}

/// One version of the routing table.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Routing {
    /// Increases with each change.
    pub version: u64,
    /// Sorted by host, and within a host the longest prefix first.
    routes: Vec<RouteRule>,
    /// Sorted by name.
    services: Vec<ServiceRule>,
    /// Limits that hold for every route.
    pub limits: CallerLimits,
    /// The workspaces whose keys requests need; none if requests need no key.
    pub workspaces: Workspaces,
}

impl Routing {
    /// Creates a routing table; the routes and services may be in any order.
    pub fn new(
        version: u64,
        mut routes: Vec<RouteRule>,
        mut services: Vec<ServiceRule>,
        limits: CallerLimits,
    ) -> Routing {
        let length = |route: &RouteRule| std::cmp::Reverse(route.prefix.len());
        routes.sort_by(|a, b| a.host.cmp(&b.host).then(length(a).cmp(&length(b))));
        services.sort_by(|a, b| a.name.cmp(&b.name));
        let workspaces = Workspaces::default();
        Routing { version, routes, services, limits, workspaces }
    }

    /// Returns the table with workspaces.
    pub fn with_workspaces(self, workspaces: Workspaces) -> Routing {
        Routing { workspaces, ..self }
    }

    /// Returns all routes, sorted by host, and within a host the longest prefix first.
    pub fn routes(&self) -> &[RouteRule] {
        &self.routes
    }

    /// Returns all services, sorted by name.
    pub fn services(&self) -> &[ServiceRule] {
        &self.services
    }

    /// Returns the route with the longest prefix of `path` at `host`. A port in `host` is ignored.
    pub fn route(&self, host: &str, path: &str) -> Option<&RouteRule> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name).to_ascii_lowercase();
        let from = self.routes.partition_point(|route| *route.host < *host);
        let own = self.routes[from..].iter().take_while(|route| *route.host == *host);
        own.into_iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// Finds the settings of a service by name.
    pub fn service(&self, name: &str) -> Option<&ServiceRule> {
        let at = self.services.binary_search_by(|service| (*service.name).cmp(name)).ok()?;
        Some(&self.services[at])
    }

    /// Returns whether some requests go before others: routes differ in priority, or a workspace has
    /// one.
    pub fn is_ranked(&self) -> bool {
        let mut priorities = self.routes.iter().map(|route| route.priority);
        let first = priorities.next();
        priorities.any(|priority| Some(priority) != first)
            || self.workspaces.iter().any(|workspace| workspace.priority.is_some())
    }

    /// Returns the number of routes.
    pub fn len(&self) -> usize {
        self.routes.len()
    }

    /// Returns whether the table has no route.
    pub fn is_empty(&self) -> bool {
        self.routes.is_empty()
    }
}

impl RouteRule {
    /// Picks a part by weight. `draw` is uniform in 0 (included) to 1 (excluded).
    pub fn part(&self, draw: f64) -> &Part {
        let total: u64 = self.parts.iter().map(|part| u64::from(part.weight)).sum();
        let mut left = draw * total as f64;
        for part in &self.parts {
            left -= f64::from(part.weight);
            if left < 0.0 {
                return part;
            }
        }
        &self.parts[self.parts.len() - 1]
    }
}

/// The operator's routes and data centres out of service, as of one revision of its table.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Ruleset {
    /// The revision of the operator's table. The ruleset with the higher revision is newer.
    pub revision: u64,
    /// The routing table as of this revision.
    pub routing: Routing,
    /// Data centres that are out of service, sorted.
    pub out: Vec<Name>,
    /// The ordered roll-outs, sorted by service.
    pub rollouts: Vec<Rollout>,
}

/// An order to move a service's requests to targets of another version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rollout {
    /// The service. It has at most one order at a time.
    pub service: Name,
    /// The version to which its requests are to be moved.
    pub version: Name,
    /// The time within which that is to be done, in microseconds; above 0.
    pub period_us: u64,
    /// The revision of the row with the order, by which a repeated order is recognised.
    pub revision: u64,
}

/// The state of a roll-out, as the store has it.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum RolloutState {
    /// There is no verdict yet.
    Running,
    /// The version serves all requests.
    Completed,
    /// The version serves none.
    RolledBack,
}

impl Ruleset {
    /// Returns whether a data centre is out of service.
    pub fn is_out(&self, data_centre: &str) -> bool {
        self.out.binary_search_by(|name| (**name).cmp(data_centre)).is_ok()
    }

    /// Returns the ordered roll-out of a service.
    pub fn rollout(&self, service: &str) -> Option<&Rollout> {
        let at = self.rollouts.binary_search_by(|rollout| (*rollout.service).cmp(service)).ok()?;
        Some(&self.rollouts[at])
    }
}

/// Adds a data centre to a sorted list of those out of service, or removes it.
pub fn set_out(list: &mut Vec<Name>, data_centre: Name, out: bool) {
    match (list.binary_search(&data_centre), out) {
        (Err(at), true) => list.insert(at, data_centre),
        (Ok(at), false) => drop(list.remove(at)),
        _ => {}
    }
}

/// Puts a service's order into a sorted list, in place of an earlier one, or removes it.
pub fn set_rollout(list: &mut Vec<Rollout>, service: &str, order: Option<Rollout>) {
    let found = list.binary_search_by(|rollout| (*rollout.service).cmp(service));
    match (found, order) {
        (Ok(at), Some(order)) => list[at] = order,
        (Err(at), Some(order)) => list.insert(at, order),
        (Ok(at), None) => drop(list.remove(at)),
        (Err(_), None) => {}
    }
}
