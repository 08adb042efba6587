//! Checks of a routing table before it is put in force. Pure functions; no text contains a key.

use std::collections::HashSet;

use serde_json::{Value, json};
use world::{CallerLimits, Repeat, RouteRule, Routing, ServiceRule, Workspaces};

/// The bytes of the shortest request head without its path and host:
/// `GET  HTTP/1.1`, `host: ` and three line ends.
const HEAD_BYTES: usize = 25;

/// How serious a finding is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Severity {
    /// An entry cannot work. The table should not be put in force.
    Error,
    /// Nodes use the entry, but it is probably not what is meant.
    Warning,
    /// Allowed, with an effect that is easily missed.
    Note,
}

impl Severity {
    /// Returns its name in output.
    pub fn name(self) -> &'static str {
        match self {
            Severity::Error => "error",
            Severity::Warning => "warning",
            Severity::Note => "note",
        }
    }
}

/// Something about an entry that an operator should know.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// How serious it is.
    pub severity: Severity,
    /// The kind and the name of the entry.
    pub entry: String,
    /// What is wrong with it.
    pub problem: String,
}

impl Finding {
    /// Creates a finding.
    pub fn new(severity: Severity, entry: impl ToString, problem: impl ToString) -> Finding {
        Finding { severity, entry: entry.to_string(), problem: problem.to_string() }
    }

    /// Returns it as JSON.
    pub fn json(&self) -> Value {
        json!({ "severity": self.severity.name(), "entry": self.entry, "problem": self.problem })
    }
}

/// Checks a routing table. The findings are sorted by severity, errors first.
pub fn lint(routing: &Routing) -> Vec<Finding> {
    let mut found = Vec::new();
    for (at, route) in routing.routes().iter().enumerate() {
        let mut add = |severity, problem: String| {
            found.push(Finding::new(severity, format!("route {}", route.name), problem));
        };
        // Of two with the same prefix, lookup finds the first.
        let earlier = &routing.routes()[..at];
        if let Some(first) = earlier.iter().find(|one| is_same_match(one, route)) {
            let problem = format!("it never matches: route {} has its host and prefix", first.name);
            add(Severity::Error, problem);
        }
        if earlier.iter().any(|one| one.name == route.name) {
            add(Severity::Warning, "another route has its name".into());
        }
        for part in &route.parts {
            if routing.service(&part.service).is_none() {
                add(Severity::Error, format!("service {} is not listed", part.service));
            }
        }
        lint_match(route, &routing.limits, &mut add);
        lint_times(route, &mut add);
    }
    lint_services(routing, &mut found);
    lint_limits(&routing.limits, &mut found);
    lint_workspaces(&routing.workspaces, &mut found);
    found.sort_by_key(|finding| finding.severity);
    found
}

fn is_same_match(a: &RouteRule, b: &RouteRule) -> bool {
    a.host == b.host && a.prefix == b.prefix
}

fn lint_match(route: &RouteRule, limits: &CallerLimits, add: &mut impl FnMut(Severity, String)) {
    // An IPv6 address in brackets has colons without a port.
    if route.host.contains(':') && !route.host.ends_with(']') {
        add(Severity::Error, "it never matches: its host has a port".into());
    }
    if !route.prefix.starts_with('/') {
        add(Severity::Error, "it never matches: its prefix does not begin with a slash".into());
    } else if !route.prefix.ends_with('/') {
        let problem = "its prefix does not end with a slash, so that it matches longer names too";
        add(Severity::Warning, problem.into());
    }
    let head = HEAD_BYTES + route.prefix.len() + route.host.len();
    if limits.head_bytes < head as u64 {
        let limit = limits.head_bytes;
        let problem =
            format!("its shortest request head of {head} bytes is over the limit {limit}");
        add(Severity::Error, problem);
    }
}

fn lint_times(route: &RouteRule, add: &mut impl FnMut(Severity, String)) {
    if route.timeout_us == 0 {
        add(Severity::Error, "its timeout is 0".into());
    } else if route.aim_us > route.timeout_us {
        add(Severity::Warning, "its latency objective is above its timeout".into());
    }
    if route.attempts > 1 && route.repeat == Repeat::Never {
        let problem = "its requests run at most once; further attempts only follow those not run";
        add(Severity::Note, problem.into());
    }
}

fn lint_services(routing: &Routing, found: &mut Vec<Finding>) {
    let used: HashSet<&str> =
        routing.routes().iter().flat_map(|route| &route.parts).map(|part| &*part.service).collect();
    for (at, service) in routing.services().iter().enumerate() {
        let ServiceRule { name, health, connections, cold_rate } = service;
        let mut add = |severity, problem: &str| {
            found.push(Finding::new(severity, format!("service {name}"), problem));
        };
        if at > 0 && routing.services()[at - 1].name == *name {
            add(Severity::Error, "another service has its name");
        }
        if !health.starts_with('/') {
            add(Severity::Error, "its health path does not begin with a slash");
        }
        if *connections == 0 {
            add(Severity::Error, "its targets accept no connection");
        }
        if *cold_rate < 0.0 {
            add(Severity::Error, "its rate for cold targets is below 0");
        }
        if !used.contains(&**name) {
            add(Severity::Warning, "no route uses it");
        }
    }
}

fn lint_limits(limits: &CallerLimits, found: &mut Vec<Finding>) {
    let mut add = |severity, problem| found.push(Finding::new(severity, "limits", problem));
    if limits.body_bytes == 0 {
        add(Severity::Warning, "the body limit is 0: no request may have a body");
    }
    if limits.head_us == 0 {
        add(Severity::Error, "the timeout for heads is 0");
    }
    if limits.idle_us < limits.head_us {
        add(Severity::Warning, "the idle timeout is below the timeout for heads");
    }
}

fn lint_workspaces(workspaces: &Workspaces, found: &mut Vec<Finding>) {
    for workspace in workspaces.iter() {
        let entry = format!("workspace {}", workspace.name);
        if workspace.keys.is_empty() {
            found.push(Finding::new(Severity::Warning, &entry, "it has no key"));
        }
        if workspace.quota.is_some_and(|quota| quota.burst == 0.0 && quota.per_s < 1.0) {
            let problem = "its quota has no burst and less than one request a second";
            found.push(Finding::new(Severity::Warning, &entry, problem));
        }
    }
    let mut priorities = workspaces.iter().map(|workspace| workspace.priority);
    let first = priorities.next().flatten();
    let mut others = priorities.peekable();
    if first.is_some() && others.peek().is_some() && others.all(|priority| priority == first) {
        let problem = "all have the same priority, so that it ranks none before another";
        found.push(Finding::new(Severity::Warning, "workspaces", problem));
    }
}
