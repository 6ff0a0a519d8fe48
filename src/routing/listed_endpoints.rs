//! The endpoint list of a pool as discovery or the operator's file has it, before exclusions and the
//! replicated map.

use std::collections::BTreeMap;

use super::{Endpoint, Lifecycle};
use crate::Time;

/// The list as received, and when that was.
#[derive(Default)]
pub(super) struct ListedEndpoints {
    by_name: BTreeMap<String, Endpoint>,
    /// When the list was last received or confirmed. `None` for a cached list of before the start.
    received_at: Option<Time>,
}

impl ListedEndpoints {
    pub(super) fn by_name(&self) -> &BTreeMap<String, Endpoint> {
        &self.by_name
    }

    /// When the list was last received or confirmed by this process.
    pub(super) fn received_at(&self) -> Option<Time> {
        self.received_at
    }

    /// Replaces the list by a snapshot, or applies a delta to it.
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

    /// Replaces the list by that of an earlier process.
    pub(super) fn import<'a>(&mut self, endpoints: impl Iterator<Item = &'a Endpoint>) {
        self.by_name = endpoints.map(|endpoint| (endpoint.name.clone(), endpoint.clone())).collect();
    }

    /// Records that the list was received or confirmed.
    pub(super) fn record_received(&mut self, now: Time) {
        self.received_at = Some(now);
    }

    /// Whether the pool can serve by this list. A cached list suffices, or no process could start while
    /// discovery is down.
    pub(super) fn is_usable(&self) -> bool {
        self.received_at.is_some() || !self.by_name.is_empty()
    }
}
