//! Mean load of the connections that have reported their load.

/// Largest number of slots of one connection. An outlier among the reported loads must not dominate the other
/// loads.
const MAX_CONNECTION_SLOTS: f64 = 32.0;

/// Sum and number of the reported loads, in microseconds of work per second.
#[derive(Debug, Default)]
pub(super) struct MeanLoad {
    sum: f64,
    count: usize,
}

impl MeanLoad {
    pub(super) fn add(&mut self, load: f64) {
        self.sum += load;
        self.count += 1;
    }

    pub(super) fn replace(&mut self, old: f64, new: f64) {
        self.sum += new - old;
    }

    pub(super) fn remove(&mut self, load: f64) {
        self.sum -= load;
        self.count -= 1;
    }

    /// Returns the slots that a connection occupies: its load divided by the mean, or one slot if it has not
    /// reported a load.
    pub(super) fn slots_of(&self, load: Option<f64>) -> f64 {
        let mean = self.mean();
        match load {
            Some(load) if mean > 0.0 => (load / mean).clamp(0.0, MAX_CONNECTION_SLOTS),
            _ => 1.0,
        }
    }

    fn mean(&self) -> f64 {
        self.sum / self.count.max(1) as f64
    }
}
