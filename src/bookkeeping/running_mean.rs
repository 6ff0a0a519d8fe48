//! Mean of values that are added one at a time.

/// Weight of the fallback in [`RunningMean::shrunk_towards`], as a number of values.
const PRIOR_WEIGHT: f64 = 3.0;

/// Mean of all values added so far; 0 before the first.
#[derive(Clone, Debug, Default)]
pub struct RunningMean {
    sum: f64,
    count: f64,
}

impl RunningMean {
    /// Adds a value and returns the new mean.
    pub fn add(&mut self, value: f64) -> f64 {
        self.sum += value;
        self.count += 1.0;
        self.mean()
    }

    /// Returns the mean of all values so far, or 0 without values.
    pub fn mean(&self) -> f64 {
        self.sum / self.count.max(1.0)
    }

    /// Returns whether no value has been added.
    pub fn is_empty(&self) -> bool {
        self.count == 0.0
    }

    /// Returns a value between `fallback` and the mean, which approaches the mean as values are added.
    pub fn shrunk_towards(&self, fallback: f64) -> f64 {
        (self.sum + PRIOR_WEIGHT * fallback) / (self.count + PRIOR_WEIGHT)
    }
}
