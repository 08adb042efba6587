//! The entry: what one node knows of the services that callers ask it for.

use rand::Rng;
use world::{Code, Name};

use crate::{CallSpec, CallState, Load, Route, ServiceState, Step, Time, TokenBucket};

/// Bytes a second that an entry may spend on explicit probes.
const PROBE_RATE: f64 = 250.0;
/// Bytes that one probe and its answer take on the network.
const PROBE_BYTES: f64 = 260.0;
/// Probes that may be saved up.
const PROBE_BURST: f64 = 8.0;

/// The routing state of one node, for every service.
#[derive(Clone, Debug)]
pub struct Entry {
    name: Name,
    /// Sorted by the service's name.
    services: Vec<(Name, ServiceState)>,
    /// Shared by all services.
    probes: TokenBucket,
}

impl Entry {
    /// Opens the entry of the node `name`.
    pub fn new(name: Name) -> Entry {
        Entry::with_probe_rate(name, PROBE_RATE)
    }

    /// Opens an entry that may spend `rate` bytes a second on probes.
    pub fn with_probe_rate(name: Name, rate: f64) -> Entry {
        let probes = TokenBucket::new(PROBE_BYTES * PROBE_BURST, rate);
        Entry { name, services: Vec::new(), probes }
    }

    /// Replaces the routes of one service.
    pub fn set_routes(&mut self, service: &Name, routes: Vec<Route>) {
        let name = self.name.clone();
        self.service(service).picker.set_routes(&name, routes);
    }

    /// Drops the services that `keep` does not name. `keep` is sorted.
    pub fn retain(&mut self, keep: &[Name]) {
        self.services.retain(|(name, _)| keep.binary_search(name).is_ok());
    }

    /// Begins a call and decides on its first target.
    pub fn begin(&mut self, now: Time, ask: CallSpec, rng: &mut impl Rng) -> (CallState, Step) {
        self.service(&ask.service).began();
        let mut call = CallState::new(ask);
        let step = call.send(now, self, rng, Code::NoTarget);
        (call, step)
    }

    /// Takes in a load report of a service's target.
    pub fn reported(&mut self, now: Time, service: &Name, target: &str, load: Load) {
        self.service(service).picker.reported(now, target, load);
    }

    /// Returns a target to probe after a call to its service, within the budget.
    pub fn probe(&mut self, now: Time, service: &Name, rng: &mut impl Rng) -> Option<Name> {
        let at = self.find(service).ok()?;
        let target = self.services[at].1.picker.stale_target(now, rng)?;
        self.probes.take(now, PROBE_BYTES).then_some(target)
    }

    /// Returns the state of a service, opened where it is new.
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
