//! The node's metrics, in the text form that Prometheus reads.

use std::sync::atomic::AtomicU64;

use prometheus_client::encoding::{EncodeLabelSet, text};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::{Metric, Registry};
use world::{Class, Code};

/// Upper bounds of latency buckets, in seconds.
const LATENCY_BOUNDS: [f64; 16] = [
    0.0005, 0.001, 0.002, 0.003, 0.005, 0.0075, 0.01, 0.015, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5,
    10.0,
];

/// Labels of a call.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct CallLabels {
    /// The users' name.
    pub tenant: String,
    /// The request's class.
    pub class: String,
}

/// Labels of a result.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct CodeLabels {
    /// The result's number.
    pub code: u32,
}

/// What a node counts.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Time from a request's head to its answer's head, in seconds.
    latency: Family<CallLabels, Histogram>,
    /// Refusals and failures told to callers.
    results: Family<CodeLabels, Counter>,
    /// Decisions noted as events.
    decisions: Family<CodeLabels, Counter>,
    /// Bytes of control messages sent, with their packets.
    pub control_bytes: Counter,
    /// Control messages sent.
    pub control_messages: Counter,
    /// Calls to the table service.
    pub store_calls: Counter,
    /// Requests that run or wait at the target.
    pub pending: Gauge,
    /// The target's limit.
    pub limit: Gauge,
    /// The version of the configuration in force.
    pub version: Gauge<u64, AtomicU64>,
    /// Other nodes that are up.
    pub members: Gauge,
}

fn latency_histogram() -> Histogram {
    Histogram::new(LATENCY_BOUNDS)
}

impl Default for Metrics {
    fn default() -> Metrics {
        let mut registry = Registry::with_prefix("bamboowheel");
        let latency = Family::new_with_constructor(latency_histogram as fn() -> Histogram);
        registry.register("call_seconds", "Time until the answer began", latency.clone());
        let mut register = Registration { registry: &mut registry };
        Metrics {
            latency,
            results: register.add("results", "Refusals and failures by code"),
            decisions: register.add("decisions", "Decisions by code"),
            control_bytes: register.add("control_bytes", "Bytes of control messages sent"),
            control_messages: register.add("control_messages", "Control messages sent"),
            store_calls: register.add("store_calls", "Calls to the table service"),
            pending: register.add("pending", "Requests that run or wait"),
            limit: register.add("limit", "The target's limit"),
            version: register.add("config_version", "Version in force"),
            members: register.add("members", "Other nodes that are up"),
            registry,
        }
    }
}

struct Registration<'r> {
    registry: &'r mut Registry,
}

impl Registration<'_> {
    /// Registers a new metric and returns it.
    fn add<M: Metric + Clone + Default>(&mut self, name: &str, help: &str) -> M {
        let metric = M::default();
        self.registry.register(name, help, metric.clone());
        metric
    }
}

impl Metrics {
    /// Notes an answer that began after `seconds`.
    pub fn answered(&self, tenant: &str, class: Class, seconds: f64) {
        let labels = CallLabels { tenant: tenant.to_owned(), class: class.to_string() };
        self.latency.get_or_create(&labels).observe(seconds);
    }

    /// Notes a refusal or failure told to a caller.
    pub fn result(&self, code: Code) {
        self.results.get_or_create(&CodeLabels { code: code.number().into() }).inc();
    }

    /// Notes a decision.
    pub fn decision(&self, code: Code) {
        self.decisions.get_or_create(&CodeLabels { code: code.number().into() }).inc();
    }

    /// Notes a control message of `bytes` with the headers of its packet.
    pub fn control(&self, bytes: usize) {
        /// IP, UDP and QUIC headers and the authentication tag of one packet, in bytes.
        const PACKET: u64 = 64;
        self.control_bytes.inc_by(bytes as u64 + PACKET);
        self.control_messages.inc();
    }

    /// Returns every metric as text.
    pub fn text(&self) -> String {
        let mut out = String::new();
        match text::encode(&mut out, &self.registry) {
            Ok(()) => out,
            Err(_) => String::new(),
        }
    }
}
