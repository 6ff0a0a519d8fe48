//! The endpoint list of a pool as received from discovery or the operator's file, before the replicated map
//! and exclusions are applied.

use std::collections::BTreeMap;

use super::{Endpoint, Lifecycle};
use crate::Time;

/// The endpoint list as received, and the time of its receipt.
#[derive(Default)]
pub(super) struct ListedEndpoints {
    by_name: BTreeMap<String, Endpoint>,
    /// Time at which the list was last received or confirmed. `None` for a list cached before this process
    /// started, and for one imported from its predecessor.
    received_at: Option<Time>,
}

impl ListedEndpoints {
    pub(super) fn by_name(&self) -> &BTreeMap<String, Endpoint> {
        &self.by_name
    }

    /// Returns the time at which this process last received or confirmed the list.
    pub(super) fn received_at(&self) -> Option<Time> {
        self.received_at
    }

    /// Replaces the list with a snapshot, or applies a delta to it.
    pub(super) fn apply(&mut self, is_snapshot: bool, endpoints: Vec<Endpoint>) {
        if is_snapshot {
            self.by_name.clear();
        }
        for endpoint in endpoints {
            if endpoint.lifecycle == Lifecycle::Gone {
                self.by_name.remove(&endpoint.name);
            } else {
                self.by_name.insert(endpoint.name.clone(), endpoint);
            }
        }
    }

    /// Replaces the list with that of the predecessor.
    pub(super) fn import<'a>(&mut self, endpoints: impl Iterator<Item = &'a Endpoint>) {
        self.by_name = endpoints.map(|endpoint| (endpoint.name.clone(), endpoint.clone())).collect();
    }

    /// Records that the list was received or confirmed.
    pub(super) fn record_received(&mut self, now: Time) {
        self.received_at = Some(now);
    }

    /// Returns whether the pool can serve with this list. A cached list suffices; otherwise no process could
    /// become ready while discovery is down.
    pub(super) fn is_usable(&self) -> bool {
        self.received_at.is_some() || !self.by_name.is_empty()
    }
}
