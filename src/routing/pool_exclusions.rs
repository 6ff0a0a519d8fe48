//! The exclusions in effect at one pool, and the servers readmitted within the slow-start duration.
//!
//! A readmitted server counts as started at the time of its readmission. In most cases the server has
//! restarted while it was excluded, and the endpoint list may not show the restart yet. A restarted server
//! must be filled no faster than any other server that is warming up.

use std::collections::{BTreeMap, BTreeSet};

use super::{Endpoint, Readmission};
use crate::{Micros, Time};

/// The exclusions in effect at one pool.
#[derive(Default)]
pub(super) struct PoolExclusions {
    excluded: BTreeSet<String>,
    /// Servers that count as warming up because of their readmission, each with the time of its readmission.
    readmitted: BTreeMap<String, Time>,
}

impl PoolExclusions {
    pub(super) fn contains(&self, server: &str) -> bool {
        self.excluded.contains(server)
    }

    pub(super) fn excluded(&self) -> impl Iterator<Item = &String> {
        self.excluded.iter()
    }

    pub(super) fn readmitted(&self) -> Vec<Readmission> {
        self.readmitted
            .iter()
            .map(|(name, &at)| Readmission { server: name.clone(), readmitted_at: at })
            .collect()
    }

    /// Adds the readmissions of an earlier process.
    pub(super) fn import_readmitted(&mut self, readmitted: &[Readmission]) {
        let added = readmitted.iter().cloned();
        self.readmitted.extend(added.map(|Readmission { server, readmitted_at: at }| (server, at)));
    }

    /// Replaces the exclusions. Servers that are no longer excluded count as readmitted now.
    pub(super) fn replace(&mut self, now: Time, excluded: BTreeSet<String>, slow_start_duration: Micros) {
        self.readmitted.extend(self.excluded.difference(&excluded).map(|name| (name.clone(), now)));
        self.readmitted.retain(|name, at| now.since(*at) < slow_start_duration && !excluded.contains(name));
        self.excluded = excluded;
    }

    /// Sets the start of readmitted servers to the time of their readmission, unless they started later.
    pub(super) fn apply_readmissions(&self, endpoints: &mut BTreeMap<String, Endpoint>) {
        for (name, &at) in &self.readmitted {
            if let Some(endpoint) = endpoints.get_mut(name) {
                endpoint.started_at = endpoint.started_at.max(Some(at));
            }
        }
    }
}
