//! What an entry has learned of each service, and its budgets of repeats.

use policy::{RepeatBudget, Weight};
use world::Name;

/// Weight of one answer in the moving means.
const WEIGHT: f64 = 0.05;
/// Time that work is taken to need before any answer, in microseconds.
const WORK_US: f64 = 100_000.0;
/// Bytes of an answer before any came.
const BYTES: f64 = 1_000.0;

/// One service.
#[derive(Clone, Debug)]
pub struct Service {
    name: Name,
    /// Repeats of its requests.
    pub budget: RepeatBudget,
    work_us: f64,
    bytes: f64,
}

/// Services, sorted by name.
#[derive(Clone, Debug, Default)]
pub struct Services {
    services: Vec<Service>,
}

impl Services {
    /// Returns a service.
    pub fn of(&mut self, name: &Name) -> &mut Service {
        let at = match self.services.binary_search_by(|service| service.name.cmp(name)) {
            Ok(at) => at,
            Err(at) => {
                let budget = RepeatBudget::default();
                let (name, work_us, bytes) = (name.clone(), WORK_US, BYTES);
                self.services.insert(at, Service { name, budget, work_us, bytes });
                at
            }
        };
        &mut self.services[at]
    }
}

impl Service {
    /// Takes in an answer: the time in the target, and the bytes of its body.
    pub fn answered(&mut self, took_us: u64, bytes: usize) {
        self.work_us += (took_us as f64 - self.work_us) * WEIGHT;
        self.bytes += (bytes as f64 - self.bytes) * WEIGHT;
    }

    /// Returns the weight of a request with a body of `sent` bytes.
    pub fn weight(&self, sent: usize) -> Weight {
        Weight { work_us: self.work_us, bytes: self.bytes + sent as f64 }
    }
}
