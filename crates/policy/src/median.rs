//! A running median in a few bytes.

/// Follows the median of what is added, by a share of itself each time.
#[derive(Clone, Copy, Debug)]
pub struct Median {
    value: f64,
    count: u32,
    step: f64,
}

impl Median {
    /// Opens one that moves by `step`, a share of itself, with each value, from `start`.
    pub fn new(start: f64, step: f64) -> Median {
        Median { value: start, count: 0, step }
    }

    /// Takes in a value.
    pub fn add(&mut self, value: f64) {
        self.count += 1;
        self.value *= if value > self.value { 1.0 + self.step } else { 1.0 / (1.0 + self.step) };
    }

    /// Returns the median as far as it is known.
    pub fn value(&self) -> f64 {
        self.value
    }

    /// Returns how many values were added.
    pub fn count(&self) -> u32 {
        self.count
    }
}
