//! What an entry has learned of each route, and its budgets of repeats for each service.

use policy::{Median, RequestEstimate, RetryBudget};
use world::Name;

/// Weight of one answer in the moving mean of its bytes.
const WEIGHT: f64 = 0.05;
/// How much one answer moves the median of the time that work takes, as a share of it. The median,
/// since some answers take five times as long as the others: a VM's neighbours slow it down.
const STEP: f64 = 0.04;
/// Time that work is taken to need before any answer, in microseconds.
const WORK_US: f64 = 100_000.0;
/// Bytes of an answer before any came.
const BYTES: f64 = 1_000.0;

/// What is learned of the requests of one route.
#[derive(Clone, Copy, Debug)]
pub struct Learned {
    work_us: Median,
    bytes: f64,
}

impl Default for Learned {
    fn default() -> Learned {
        Learned { work_us: Median::new(WORK_US, STEP), bytes: BYTES }
    }
}

impl Learned {
    /// Takes in an answer: the time in the target, and the bytes of its body.
    pub fn answered(&mut self, took_us: u64, bytes: usize) {
        self.work_us.add(took_us as f64);
        self.bytes += (bytes as f64 - self.bytes) * WEIGHT;
    }

    /// Returns the weight of a request with a body of `sent` bytes.
    pub fn weight(&self, sent: usize) -> RequestEstimate {
        RequestEstimate { work_us: self.work_us.value(), bytes: self.bytes + sent as f64 }
    }
}

/// Values of one kind by name, sorted by name, made when first asked for.
#[derive(Clone, Debug)]
pub struct Named<T> {
    values: Vec<(Name, T)>,
}

impl<T> Default for Named<T> {
    fn default() -> Named<T> {
        Named { values: Vec::new() }
    }
}

impl<T: Default> Named<T> {
    /// Returns the value of a name.
    pub fn of(&mut self, name: &Name) -> &mut T {
        let at = match self.values.binary_search_by(|(known, _)| known.cmp(name)) {
            Ok(at) => at,
            Err(at) => {
                self.values.insert(at, (name.clone(), T::default()));
                at
            }
        };
        &mut self.values[at].1
    }
}

/// What is learned of each route, by its name.
pub type Routes = Named<Learned>;
/// Repeats of each service's requests.
pub type Budgets = Named<RetryBudget>;
