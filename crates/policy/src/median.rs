//! A streaming estimate of a median that stores no samples.

/// Estimates the median of a stream of values above zero: each value moves the estimate up or down
/// by a fixed factor, so that it settles where as many values are above it as below.
#[derive(Clone, Copy, Debug)]
pub struct Median {
    value: f64,
    count: u32,
    step: f64,
}

impl Median {
    /// Creates an estimate that begins at `start`, above zero. Each value moves it by the share
    /// `step` of itself.
    pub fn new(start: f64, step: f64) -> Median {
        Median { value: start, count: 0, step }
    }

    /// Adds a value to the stream.
    pub fn add(&mut self, value: f64) {
        self.count += 1;
        self.value *= if value > self.value { 1.0 + self.step } else { 1.0 / (1.0 + self.step) };
    }

    /// Returns the current estimate; the start value before any value was added.
    pub fn value(&self) -> f64 {
        self.value
    }

    /// Returns how many values were added so far.
    pub fn count(&self) -> u32 {
        self.count
    }
}
