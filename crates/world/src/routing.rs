//! Routes by host and path, the services behind them, and what callers may send.

use serde::{Deserialize, Serialize};

use crate::Name;

/// Whether a request may run again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Repeat {
    /// It may run any number of times.
    Safe,
    /// It runs at most once for each request of a caller.
    Never,
}

/// One service of a route and its share of the route's requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// The service.
    pub service: Name,
    /// Its share, relative to the other parts.
    pub weight: u32,
}

/// Where the requests of one host and path prefix go.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteRule {
    /// Names the route in logs and metrics.
    pub name: Name,
    /// The host, in lower case.
    pub host: Name,
    /// Begins and ends with a slash.
    pub prefix: Name,
    /// At least one; the weights sum to more than zero.
    pub parts: Vec<Part>,
    /// Whether its requests may run again.
    pub repeat: Repeat,
    /// The longest time to an answer, in microseconds.
    pub timeout_us: u64,
    /// The time within which an answer is worth most, in microseconds.
    pub aim_us: u64,
    /// Targets to which one request may be dispatched, at least 1.
    pub attempts: u32,
    /// 0 is served first.
    pub priority: u32,
}

/// What is known of a service's targets beforehand.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceRule {
    /// Unique among services.
    pub name: Name,
    /// The path of health checks.
    pub health: Name,
    /// Connections that one target accepts.
    pub connections: u32,
    /// Requests a second that a cold target bears; zero where there is no bound.
    pub cold_rate: f64,
}

/// What callers may send, and how long they may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// The longest head, in bytes.
    pub head_bytes: u64,
    /// The longest body, in bytes.
    pub body_bytes: u64,
    /// The longest time to a whole head, in microseconds.
    pub head_us: u64,
    /// The longest time without a request on a connection, in microseconds.
    pub idle_us: u64,
}

/// One version of the routes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Routing {
    /// Grows with each change.
    pub version: u64,
    /// Sorted by host, and within a host the longest prefix first.
    routes: Vec<RouteRule>,
    /// Sorted by name.
    services: Vec<ServiceRule>,
    /// What callers may send.
    pub limits: CallerLimits,
}

impl Routing {
    /// Sorts routes and services into a version.
    pub fn new(
        version: u64,
        mut routes: Vec<RouteRule>,
        mut services: Vec<ServiceRule>,
        limits: CallerLimits,
    ) -> Routing {
        let length = |route: &RouteRule| std::cmp::Reverse(route.prefix.len());
        routes.sort_by(|a, b| a.host.cmp(&b.host).then(length(a).cmp(&length(b))));
        services.sort_by(|a, b| a.name.cmp(&b.name));
        Routing { version, routes, services, limits }
    }

    /// Returns the route with the longest prefix of `path` at `host`. A port in `host` is ignored.
    pub fn route(&self, host: &str, path: &str) -> Option<&RouteRule> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name).to_ascii_lowercase();
        let from = self.routes.partition_point(|route| *route.host < *host);
        let own = self.routes[from..].iter().take_while(|route| *route.host == *host);
        own.into_iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// Returns what is known of a service.
    pub fn service(&self, name: &str) -> Option<&ServiceRule> {
        let at = self.services.binary_search_by(|service| (*service.name).cmp(name)).ok()?;
        Some(&self.services[at])
    }

    /// Returns how many routes there are.
    pub fn len(&self) -> usize {
        self.routes.len()
    }

    /// Returns whether there is no route.
    pub fn is_empty(&self) -> bool {
        self.routes.is_empty()
    }
}

impl RouteRule {
    /// Returns the part at `draw`, a number from 0 up to 1, so that each has its share.
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

/// Everything that the operator rules, as of one revision of its table.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Ruleset {
    /// The table's version. Of two rulesets, the one with the higher revision is newer.
    pub revision: u64,
    /// The routes.
    pub routing: Routing,
    /// Data centres that are out of service, sorted.
    pub out: Vec<Name>,
}

impl Ruleset {
    /// Returns whether a data centre is out of service.
    pub fn is_out(&self, data_centre: &str) -> bool {
        self.out.binary_search_by(|name| (**name).cmp(data_centre)).is_ok()
    }
}

/// Marks a data centre as out of service in a sorted list of those that are, or back in.
pub fn set_out(list: &mut Vec<Name>, data_centre: Name, out: bool) {
    match (list.binary_search(&data_centre), out) {
        (Err(at), true) => list.insert(at, data_centre),
        (Ok(at), false) => drop(list.remove(at)),
        _ => {}
    }
}
