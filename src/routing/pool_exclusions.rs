//! The exclusions in effect at one pool, and the servers that were readmitted within the last slow start.
//!
//! A readmitted server counts as started at its readmission. It has mostly restarted, which the endpoint list
//! may not show yet, and must then be filled no faster than any server that is warming up.

use std::collections::{BTreeMap, BTreeSet};

use super::{Endpoint, Readmission};
use crate::{Micros, Time};

/// The exclusions in effect at one pool.
#[derive(Default)]
pub(super) struct PoolExclusions {
    excluded: BTreeSet<String>,
    /// When each server was readmitted that still counts as warming up for its readmission.
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
        self.readmitted.iter().map(|(name, &at)| Readmission { server: name.clone(), at }).collect()
    }

    /// Adds the readmissions of an earlier process.
    pub(super) fn import_readmitted(&mut self, readmitted: &[Readmission]) {
        let added = readmitted.iter().cloned();
        self.readmitted.extend(added.map(|Readmission { server, at }| (server, at)));
    }

    /// Replaces the exclusions. Servers that are not excluded any more are readmitted now.
    pub(super) fn replace(&mut self, now: Time, excluded: BTreeSet<String>, slow_start_duration: Micros) {
        self.readmitted.extend(self.excluded.difference(&excluded).map(|name| (name.clone(), now)));
        self.readmitted.retain(|name, at| now.since(*at) < slow_start_duration && !excluded.contains(name));
        self.excluded = excluded;
    }

    /// Has readmitted servers count as started when they were readmitted, unless they have started since.
    pub(super) fn apply_readmissions(&self, endpoints: &mut BTreeMap<String, Endpoint>) {
        for (name, &at) in &self.readmitted {
            if let Some(endpoint) = endpoints.get_mut(name) {
                endpoint.started = endpoint.started.max(Some(at));
            }
        }
    }
}
