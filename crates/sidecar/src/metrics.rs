//! What a node counts, in the text form that Prometheus reads.

use prometheus_client::encoding::{EncodeLabelSet, text};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

/// Upper bounds of latency buckets, in seconds: callers' aims lie between 80 ms and 1.2 s.
const LATENCY_BOUNDS: [f64; 13] =
    [0.01, 0.02, 0.04, 0.08, 0.12, 0.2, 0.3, 0.4, 0.6, 0.8, 1.2, 2.5, 5.0];

/// Labels of a call.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct CallLabels {
    /// The service.
    pub service: String,
    /// How it ended.
    pub outcome: String,
}

/// What a node counts.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Time from a request's head to its answer, in seconds.
    pub latency: Family<CallLabels, Histogram>,
    /// Health checks of the target.
    pub probes: Counter,
    /// Connections opened to the target.
    pub connections_opened: Counter,
    /// Attempts beyond the first of a request.
    pub repeats: Counter,
    /// Links to other nodes that were opened, from either end.
    pub links_opened: Counter,
    /// Log lines left out.
    pub dropped_lines: Counter,
}

impl Default for Metrics {
    fn default() -> Metrics {
        let mut registry = Registry::with_prefix("bamboowheel");
        let latency: Family<CallLabels, Histogram> =
            Family::new_with_constructor(|| Histogram::new(LATENCY_BOUNDS));
        registry.register("call_seconds", "Time until the answer", latency.clone());
        let mut counter = |name: &str, help: &str| {
            let counter = Counter::default();
            registry.register(name, help, counter.clone());
            counter
        };
        Metrics {
            latency,
            probes: counter("target_probes", "Health checks of the target"),
            connections_opened: counter("target_connections", "Connections opened to the target"),
            repeats: counter("repeats", "Attempts beyond the first of a request"),
            links_opened: counter("links", "Links to other nodes that were opened"),
            dropped_lines: counter("log_lines_dropped", "Log lines left out"),
            registry,
        }
    }
}

impl Metrics {
    /// Counts a call that ended.
    pub fn call(&self, service: &str, outcome: &str, seconds: f64) {
        let labels = CallLabels { service: service.to_owned(), outcome: outcome.to_owned() };
        self.latency.get_or_create(&labels).observe(seconds);
    }

    /// Returns everything in the text form.
    pub fn render(&self) -> String {
        let mut out = String::new();
        // Writing to a string does not fail.
        let _ = text::encode(&mut out, &self.registry);
        out
    }
}
