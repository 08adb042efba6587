//! The entry half of a node: the routing state of every service that callers send requests for.

use rand::Rng;
use world::{Code, Name};

use crate::{CallSpec, CallState, Load, Route, ServiceState, Step, Time, TokenBucket};

/// Bytes per second that an entry may spend on probes of targets' loads.
const PROBE_BYTES_PER_SECOND: f64 = 250.0;
/// Bytes of one probe and its answer on the network.
const PROBE_BYTES: f64 = 260.0;
/// Size of the probe budget, in probes.
const PROBE_BURST: f64 = 8.0;

/// Routing state of one node for every service, with a probe budget that all services share.
#[derive(Clone, Debug)]
pub struct Entry {
    name: Name,
    /// Sorted by the service's name.
    services: Vec<(Name, ServiceState)>,
    /// In bytes.
    probe_budget: TokenBucket,
}

impl Entry {
    /// Creates the entry of the node `name`, without services.
    pub fn new(name: Name) -> Entry {
        Entry::with_probe_rate(name, PROBE_BYTES_PER_SECOND)
    }

    /// Creates an entry that may spend `bytes_per_second` on probes.
    pub fn with_probe_rate(name: Name, bytes_per_second: f64) -> Entry {
        let probe_budget = TokenBucket::new(PROBE_BYTES * PROBE_BURST, bytes_per_second);
        Entry { name, services: Vec::new(), probe_budget }
    }

    /// Replaces the targets of one service. What is known about targets that remain is kept.
    pub fn set_routes(&mut self, service: &Name, routes: Vec<Route>) {
        let name = self.name.clone();
        self.service(service).picker.set_routes(&name, routes);
    }

    /// Removes the services that are not in `keep`, which must be sorted.
    pub fn retain(&mut self, keep: &[Name]) {
        self.services.retain(|(name, _)| keep.binary_search(name).is_ok());
    }

    /// Begins a call and chooses its first target.
    pub fn begin(&mut self, now: Time, spec: CallSpec, rng: &mut impl Rng) -> (CallState, Step) {
        self.service(&spec.service).began();
        let mut call = CallState::new(spec);
        let step = call.send(now, self, rng, Code::NoTarget);
        (call, step)
    }

    /// Records a load report of a service's target.
    pub fn reported(&mut self, now: Time, service: &Name, target: &str, load: Load) {
        self.service(service).picker.reported(now, target, load);
    }

    /// Returns a target whose load report is old and is to be probed; `None` if there is none or
    /// the probe budget is used up. Called after each call to the service.
    pub fn probe(&mut self, now: Time, service: &Name, rng: &mut impl Rng) -> Option<Name> {
        let at = self.find(service).ok()?;
        let target = self.services[at].1.picker.stale_target(now, rng)?;
        self.probe_budget.take(now, PROBE_BYTES).then_some(target)
    }

    /// Returns the state of a service, which is created if it is new.
    pub fn service(&mut self, service: &Name) -> &mut ServiceState {
        let at = match self.find(service) {
            Ok(at) => at,
            Err(at) => {
                self.services.insert(at, (service.clone(), ServiceState::default()));
                at
            }
        };
        &mut self.services[at].1
    }

    fn find(&self, service: &Name) -> Result<usize, usize> {
        self.services.binary_search_by(|(name, _)| name.cmp(service))
    }
}
