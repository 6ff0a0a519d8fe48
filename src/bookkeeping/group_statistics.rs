//! Estimates the share of each group among the connections that have a group, from recent observations.

use std::collections::BTreeMap;

use crate::types::{GroupHash, GroupId};

/// Number of assumed observations that are added to the real ones, so that a few observations do not yield a
/// large share.
const PRIOR_OBSERVATIONS: f64 = 10.0;
/// Number of observations above which all counts are halved, because the sizes of groups change as
/// connections are established and end.
const MAX_OBSERVATIONS: f64 = 500.0;
/// Smallest count for which a group is kept.
const MIN_GROUP_COUNT: f64 = 0.5;

/// Decaying counts of observed connections, by group.
#[derive(Debug, Default)]
pub struct GroupStatistics {
    observations_by_group: BTreeMap<GroupHash, f64>,
    /// Decaying count of all observations of connections that have a group.
    observations: f64,
}

impl GroupStatistics {
    /// Counts an observed connection. A connection without a group is ignored.
    pub fn record(&mut self, group: Option<GroupHash>) {
        let Some(group) = group else { return };
        *self.observations_by_group.entry(group).or_insert(0.0) += 1.0;
        self.observations += 1.0;
        if self.observations > MAX_OBSERVATIONS {
            self.halve();
        }
    }

    /// Returns the estimated share of a group, from 0 to 1, among the connections that have a group.
    pub fn share(&self, group: GroupId) -> f64 {
        let observed = self.observations_by_group.get(&group.short_hash()).copied().unwrap_or(0.0);
        observed / (self.observations + PRIOR_OBSERVATIONS)
    }

    fn halve(&mut self) {
        self.observations /= 2.0;
        self.observations_by_group.values_mut().for_each(|count| *count /= 2.0);
        self.observations_by_group.retain(|_, count| *count >= MIN_GROUP_COUNT);
    }
}
