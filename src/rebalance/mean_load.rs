//! The mean load of the connections that have reported one.

/// The most slots that one connection counts as: an outlier among the reported loads must not dominate the rest.
const MAX_CONNECTION_SLOTS: f64 = 32.0;

/// Sum and number of reported loads, in microseconds of work a second.
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

    /// Slots that a connection of this load occupies: its load over the mean; one slot if it has reported none.
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
