//! The size of a connection in slots: a slot is the load of a mean connection.

use super::RunningMean;
use crate::types::ClassId;

/// The most slots that one connection takes: an extreme figure must not close a server for good.
const MAX_CONNECTION_SLOTS: f64 = 32.0;

/// Mean loads of connections, against which each connection is sized.
#[derive(Debug)]
pub struct ConnectionSizes {
    /// Loads measured on established connections, of all classes and of each.
    measured: RunningMean,
    measured_by_class: Vec<RunningMean>,
    /// Usual loads that came with requests.
    announced: RunningMean,
}

impl ConnectionSizes {
    /// Means without values, for so many classes.
    pub fn new(classes: usize) -> ConnectionSizes {
        ConnectionSizes {
            measured: RunningMean::default(),
            measured_by_class: vec![RunningMean::default(); classes],
            announced: RunningMean::default(),
        }
    }

    /// Changes the number of classes; classes that remain keep their values.
    pub fn resize(&mut self, classes: usize) {
        self.measured_by_class.resize(classes, RunningMean::default());
    }

    /// Whether any load was measured yet.
    pub fn has_measurements(&self) -> bool {
        !self.measured.is_empty()
    }

    /// Slots of a new connection, by its announced load or else by the mean load of its class.
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

    /// Adds a measured load and returns the slots of that connection; nothing for an invalid load.
    pub fn record(&mut self, class: ClassId, load: f64) -> Option<f64> {
        // One invalid figure would spoil the means for good.
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
