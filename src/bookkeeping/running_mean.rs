//! A mean of values that arrive one by one.

/// Weight of the fallback in [`RunningMean::shrunk_towards`], in values.
const PRIOR_WEIGHT: f64 = 3.0;

/// The mean of all values added so far; 0 before the first.
#[derive(Clone, Debug, Default)]
pub struct RunningMean {
    sum: f64,
    count: f64,
}

impl RunningMean {
    /// Adds a value and returns the mean of all so far.
    pub fn add(&mut self, value: f64) -> f64 {
        self.sum += value;
        self.count += 1.0;
        self.mean()
    }

    /// The mean of all values so far.
    pub fn mean(&self) -> f64 {
        self.sum / self.count.max(1.0)
    }

    /// Whether no value was added yet.
    pub fn is_empty(&self) -> bool {
        self.count == 0.0
    }

    /// A value between `fallback` and the mean, the nearer to the mean the more values it rests on.
    pub fn shrunk_towards(&self, fallback: f64) -> f64 {
        (self.sum + PRIOR_WEIGHT * fallback) / (self.count + PRIOR_WEIGHT)
    }
}
