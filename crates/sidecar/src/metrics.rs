//! Counters and histograms of a node, in the Prometheus text format.

use std::cell::RefCell;
use std::sync::atomic::AtomicU64;

use policy::Refusal;
use prometheus_client::encoding::{EncodeLabelSet, text};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;
use world::Name;

/// Upper bounds of the latency buckets. The routes' latency targets lie between 80 ms and 1.2 s.
const LATENCY_BOUNDS_S: [f64; 13] =
    [0.01, 0.02, 0.04, 0.08, 0.12, 0.2, 0.3, 0.4, 0.6, 0.8, 1.2, 2.5, 5.0];

/// Upper bounds of the buckets for a ruleset's wait. A change has to be in force within 2 to 4 s.
const RULESET_BOUNDS_S: [f64; 7] = [0.005, 0.02, 0.1, 0.5, 1.0, 2.0, 4.0];

/// Labels of the latency histogram.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct CallLabels {
    /// The service that the request was routed to.
    pub service: String,
    /// How the request ended: `answered`, `failed`, `refused` or `lost`.
    pub outcome: String,
}

/// The most workspaces that are counted by name. The others are counted together.
const MAX_WORKSPACES: usize = 100;
/// The name under which the other workspaces are counted.
const OTHER_WORKSPACES: &str = "other";

/// Labels of the counter of requests by workspace.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct WorkspaceLabels {
    /// The workspace, or `other`.
    pub workspace: String,
    /// How the request ended: `answered`, `failed`, `refused` or `lost`.
    pub outcome: String,
}

/// Labels of the counter of requests that were refused for their key.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct KeyLabels {
    /// `missing`, `unknown` or `withdrawn`.
    pub reason: String,
}

/// Labels of the counter of refused requests.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RefusalLabels {
    /// The service that the request was routed to.
    pub service: String,
    /// The reason of the last refusal, as in the logs.
    pub refusal: String,
}

/// The metrics of a node and the registry that renders them.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Seconds from the arrival of a request's head until its answer is known.
    pub latency: Family<CallLabels, Histogram>,
    /// Requests with a key, by its workspace.
    workspaces: Family<WorkspaceLabels, Counter>,
    /// Workspaces that are counted by name, sorted; at most [`MAX_WORKSPACES`].
    named: RefCell<Vec<Name>>,
    /// Requests that were refused for their key.
    key_refusals: Family<KeyLabels, Counter>,
    /// Callers' requests that this node refused.
    pub refused: Family<RefusalLabels, Counter>,
    /// Health checks that the guard sent to the target.
    pub probes: Counter,
    /// Requests that the guard sent to the target.
    pub target_requests: Counter,
    /// The requests a second that the target takes as it last named them; -1 if it names none.
    pub target_limit: Gauge<f64, AtomicU64>,
    /// The requests a second that the target is granted in a roll-out; -1 if it is not limited.
    pub exposure: Gauge<f64, AtomicU64>,
    /// Connections that the guard opened to the target, whether or not they succeeded.
    pub connections_opened: Counter,
    /// Retries and hedged attempts that the retry budget allowed.
    pub repeats: Counter,
    /// Calls of the target that were as urgent as the requests that they belong to.
    pub inherited: Counter,
    /// Links to other nodes, opened by either end.
    pub links_opened: Counter,
    /// Reports of requests that ran when a target crashed, of all nodes.
    pub crash_reports: Counter,
    /// Answers at this target that cleared such requests.
    pub crash_clears: Counter,
    /// Trials of such requests at this target.
    pub crash_trials: Counter,
    /// Log lines about requests that were dropped because of the limit per second.
    pub dropped_lines: Counter,
    /// Tokens that this node gave out as a keeper of quotas.
    pub quota_granted: Counter,
    /// Requests that were refused because their workspaces had sent more than they may.
    pub quota_refused: Counter,
    /// Questions for tokens that were not answered in time.
    pub quota_silent: Counter,
    /// The revision of the ruleset in force.
    revision: Gauge<u64, AtomicU64>,
    /// The newest revision that the node has heard of.
    pub heard_revision: Gauge<u64, AtomicU64>,
    /// Seconds from the first notice of a revision until it was in force.
    ruleset_wait: Histogram,
}

impl Default for Metrics {
    fn default() -> Metrics {
        let mut registry = Registry::with_prefix("bamboowheel");
        let latency: Family<CallLabels, Histogram> =
            Family::new_with_constructor(|| Histogram::new(LATENCY_BOUNDS_S));
        registry.register("call_seconds", "Time until the answer", latency.clone());
        let workspaces: Family<WorkspaceLabels, Counter> = Family::default();
        registry.register("workspace_requests", "Requests with a key", workspaces.clone());
        let key_refusals: Family<KeyLabels, Counter> = Family::default();
        registry.register("key_refusals", "Requests refused for their key", key_refusals.clone());
        let refused: Family<RefusalLabels, Counter> = Family::default();
        registry.register("refused", "Requests refused by reason", refused.clone());
        let ruleset_wait = Histogram::new(RULESET_BOUNDS_S);
        let help = "Time from the first notice of a revision until it was in force";
        registry.register("ruleset_wait_seconds", help, ruleset_wait.clone());
        let target_limit = Gauge::<f64, AtomicU64>::default();
        target_limit.set(-1.0);
        let help = "Requests a second that the target takes; -1 if it names no limit";
        registry.register("target_limit", help, target_limit.clone());
        let exposure = Gauge::<f64, AtomicU64>::default();
        exposure.set(-1.0);
        let help = "Requests a second that a roll-out grants the target; -1 without a limit";
        registry.register("rollout_exposure", help, exposure.clone());
        let mut gauge = |name: &str, help: &str| {
            let gauge = Gauge::<u64, AtomicU64>::default();
            registry.register(name, help, gauge.clone());
            gauge
        };
        let revision = gauge("ruleset_revision", "Revision of the ruleset in force");
        let heard_revision = gauge("ruleset_heard_revision", "Newest revision heard of");
        let mut counter = |name: &str, help: &str| {
            let counter = Counter::default();
            registry.register(name, help, counter.clone());
            counter
        };
        Metrics {
            latency,
            workspaces,
            named: RefCell::default(),
            key_refusals,
            refused,
            probes: counter("target_probes", "Health checks of the target"),
            target_requests: counter("target_requests", "Requests sent to the target"),
            target_limit,
            exposure,
            connections_opened: counter("target_connections", "Connections opened to the target"),
            repeats: counter("repeats", "Attempts beyond the first of a request"),
            inherited: counter("inherited", "Calls as urgent as the requests they belong to"),
            links_opened: counter("links", "Links to other nodes that were opened"),
            crash_reports: counter("crash_reports", "Reports of requests that ran at a crash"),
            crash_clears: counter("crash_clears", "Answers that cleared such requests"),
            crash_trials: counter("crash_trials", "Trials of such requests"),
            dropped_lines: counter("log_lines_dropped", "Log lines left out"),
            quota_granted: counter("quota_tokens", "Tokens given out as a keeper of quotas"),
            quota_refused: counter("quota_refused", "Requests refused over their quota"),
            quota_silent: counter("quota_silent", "Questions for tokens without an answer"),
            revision,
            heard_revision,
            ruleset_wait,
            registry,
        }
    }
}

impl Metrics {
    /// Records the latency and the outcome of a request.
    pub fn record_call(&self, service: &str, outcome: &str, seconds: f64) {
        let labels = CallLabels { service: service.to_owned(), outcome: outcome.to_owned() };
        self.latency.get_or_create(&labels).observe(seconds);
    }

    /// Counts a request with a key of a workspace.
    pub fn record_workspace(&self, workspace: &str, outcome: &str) {
        let mut named = self.named.borrow_mut();
        let name = match named.binary_search_by(|name| (**name).cmp(workspace)) {
            Ok(_) => workspace,
            Err(at) if named.len() < MAX_WORKSPACES => {
                named.insert(at, workspace.into());
                workspace
            }
            Err(_) => OTHER_WORKSPACES,
        };
        let labels = WorkspaceLabels { workspace: name.to_owned(), outcome: outcome.to_owned() };
        self.workspaces.get_or_create(&labels).inc();
    }

    /// Counts a request that was refused for its key.
    pub fn record_key_refusal(&self, reason: &str) {
        self.key_refusals.get_or_create(&KeyLabels { reason: reason.to_owned() }).inc();
    }

    /// Records that a request was refused, and why.
    pub fn record_refusal(&self, service: &str, refusal: Refusal) {
        let labels = RefusalLabels { service: service.to_owned(), refusal: refusal.to_string() };
        self.refused.get_or_create(&labels).inc();
    }

    /// Records that a ruleset is in force, `seconds` after the first notice of its revision.
    pub fn record_ruleset(&self, revision: u64, seconds: f64) {
        self.revision.set(revision);
        self.ruleset_wait.observe(seconds);
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        let mut out = String::new();
        // Writing to a string cannot fail.
        let _ = text::encode(&mut out, &self.registry);
        out
    }
}
