//! What differs between two routing tables. Keys are only counted.

use serde_json::{Value, json};
use world::{RouteRule, Routing, ServiceRule, Workspace};

/// One difference.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Difference {
    /// The kind and the name of the entry.
    pub entry: String,
    /// What differs.
    pub change: String,
}

impl Difference {
    /// Returns it as JSON.
    pub fn json(&self) -> Value {
        json!({ "entry": self.entry, "change": self.change })
    }
}

/// An entry with its fields as text.
struct Entry {
    name: String,
    fields: Vec<(&'static str, String)>,
}

/// Lists what differs in `new` from `old`: entries removed or changed, then those added.
pub fn differences(old: &Routing, new: &Routing) -> Vec<Difference> {
    let (before, after) = (entries(old), entries(new));
    let mut found = Vec::new();
    let mut add = |entry: &str, change| found.push(Difference { entry: entry.into(), change });
    for entry in &before {
        match after.iter().find(|other| other.name == entry.name) {
            None => add(&entry.name, "removed".into()),
            Some(other) => {
                for ((field, from), (_, to)) in entry.fields.iter().zip(&other.fields) {
                    if from != to {
                        add(&entry.name, format!("{field}: {from} -> {to}"));
                    }
                }
            }
        }
    }
    for entry in &after {
        if !before.iter().any(|other| other.name == entry.name) {
            add(&entry.name, "added".into());
        }
    }
    for workspace in new.workspaces.iter() {
        if let Some(earlier) = old.workspaces.find(&workspace.name) {
            let (added, removed) = (fresh(workspace, earlier), fresh(earlier, workspace));
            if added + removed > 0 {
                let change = format!("keys: {added} added, {removed} removed");
                add(&format!("workspace {}", workspace.name), change);
            }
        }
    }
    found
}

/// Counts the keys of a workspace that the other has not.
fn fresh(workspace: &Workspace, other: &Workspace) -> usize {
    workspace.keys.iter().filter(|key| !other.keys.contains(key)).count()
}

fn entries(routing: &Routing) -> Vec<Entry> {
    let limits = &routing.limits;
    let mut all: Vec<Entry> = routing.routes().iter().map(route).collect();
    all.extend(routing.services().iter().map(service));
    all.push(Entry {
        name: "limits".into(),
        fields: vec![
            ("head bytes", limits.head_bytes.to_string()),
            ("body bytes", limits.body_bytes.to_string()),
            ("head timeout", seconds(limits.head_us)),
            ("idle timeout", seconds(limits.idle_us)),
        ],
    });
    all.extend(routing.workspaces.iter().map(workspace));
    all
}

fn route(route: &RouteRule) -> Entry {
    let parts: Vec<String> =
        route.parts.iter().map(|part| format!("{} {}", part.service, part.weight)).collect();
    Entry {
        name: format!("route {}", route.name),
        fields: vec![
            ("host", route.host.to_string()),
            ("prefix", route.prefix.to_string()),
            ("services", parts.join(", ")),
            ("repeat", format!("{:?}", route.repeat).to_lowercase()),
            ("timeout", seconds(route.timeout_us)),
            ("latency objective", seconds(route.aim_us)),
            ("attempts", route.attempts.to_string()),
            ("priority", route.priority.to_string()),
            ("public", route.public.to_string()),
        ],
    }
}

fn service(service: &ServiceRule) -> Entry {
    Entry {
        name: format!("service {}", service.name),
        fields: vec![
            ("health path", service.health.to_string()),
            ("connections", service.connections.to_string()),
            ("cold rate", service.cold_rate.to_string()),
        ],
    }
}

fn workspace(workspace: &Workspace) -> Entry {
    let priority = workspace.priority.map_or("none".into(), |priority| priority.to_string());
    let quota = workspace
        .quota
        .map_or("none".into(), |quota| format!("{} a second, burst {}", quota.per_s, quota.burst));
    Entry {
        name: format!("workspace {}", workspace.name),
        fields: vec![("priority", priority), ("quota", quota)],
    }
}

fn seconds(us: u64) -> String {
    format!("{} s", us as f64 / 1e6)
}
