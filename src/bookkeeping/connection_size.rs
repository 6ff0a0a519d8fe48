//! Sizes of connections in slots. One slot is the load of a mean connection.
//!
//! The mean includes all loads measured so far or, for a new connection that announces its load, all
//! announced loads. `src/rebalance/` uses another mean: that of the connections established now.

use super::RunningMean;
use crate::types::ClassId;

/// Largest size of a connection, in slots. Without the limit, one extreme load value could occupy a server
/// completely and permanently.
const MAX_CONNECTION_SLOTS: f64 = 32.0;

/// Mean loads of connections, by which the load of a single connection is converted into slots.
#[derive(Debug)]
pub struct ConnectionSizes {
    /// Mean of the loads measured on established connections of all classes.
    measured: RunningMean,
    /// The same mean for each class, indexed by class.
    measured_by_class: Vec<RunningMean>,
    /// Mean of the usual loads that requests announced.
    announced: RunningMean,
}

impl ConnectionSizes {
    /// Creates empty means for `classes` classes.
    pub fn new(classes: usize) -> ConnectionSizes {
        ConnectionSizes {
            measured: RunningMean::default(),
            measured_by_class: vec![RunningMean::default(); classes],
            announced: RunningMean::default(),
        }
    }

    /// Changes the number of classes. Remaining classes keep their values.
    pub fn resize(&mut self, classes: usize) {
        self.measured_by_class.resize(classes, RunningMean::default());
    }

    /// Returns whether any load has been measured.
    pub fn has_measurements(&self) -> bool {
        !self.measured.is_empty()
    }

    /// Estimates the slots of a new connection from its announced load or, without one, from the mean load of
    /// its class.
    pub fn estimate(&mut self, class: ClassId, announced: Option<f64>) -> f64 {
        if let Some(load) = announced.filter(|load| load.is_finite() && *load > 0.0) {
            return (load / self.announced.add(load)).min(MAX_CONNECTION_SLOTS);
        }
        let mean = self.measured.mean();
        let class_mean = self.measured_by_class.get(usize::from(class.0));
        let load = class_mean.map_or(mean, |class_mean| class_mean.shrunk_towards(mean));
        if mean > 0.0 {
            (load / mean).min(MAX_CONNECTION_SLOTS)
        } else {
            1.0
        }
    }

    /// Adds a measured load and returns the slots of its connection. Returns `None` for an invalid load.
    pub fn record(&mut self, class: ClassId, load: f64) -> Option<f64> {
        // One invalid value would corrupt the means permanently.
        if !(load.is_finite() && load >= 0.0) {
            return None;
        }
        let mean = self.measured.add(load);
        if let Some(class_mean) = self.measured_by_class.get_mut(usize::from(class.0)) {
            class_mean.add(load);
        }
        Some((load / mean.max(f64::MIN_POSITIVE)).min(MAX_CONNECTION_SLOTS))
    }
}
