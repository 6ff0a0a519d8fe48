//! The admitted connections of one pool: how many there are, and by which ids their clients know them.

use std::collections::BTreeSet;

use super::ConnectionRequest;

/// Counts a pool's admitted connections. No two open ones may share an id, also while a predecessor of a hot
/// restart serves some of them.
#[derive(Default)]
pub(super) struct AdmittedConnections {
    count: usize,
    request_ids: BTreeSet<String>,
    request_ids_at_predecessor: BTreeSet<String>,
}

impl AdmittedConnections {
    pub(super) fn count(&self) -> usize {
        self.count
    }

    /// Whether a request's id is that of an open connection.
    pub(super) fn has_id_of(&self, request: &ConnectionRequest) -> bool {
        let is_open =
            |id: &String| self.request_ids.contains(id) || self.request_ids_at_predecessor.contains(id);
        request.id.as_ref().is_some_and(is_open)
    }

    pub(super) fn add(&mut self, request: &ConnectionRequest) {
        self.count += 1;
        self.request_ids.extend(request.id.clone());
    }

    /// Adds a connection that the predecessor transferred.
    pub(super) fn add_transferred(&mut self, request: &ConnectionRequest) {
        if let Some(id) = &request.id {
            self.request_ids_at_predecessor.remove(id);
        }
        self.add(request);
    }

    pub(super) fn remove(&mut self, request: &ConnectionRequest) {
        self.count -= 1;
        if let Some(id) = &request.id {
            self.request_ids.remove(id);
        }
    }

    /// The ids of this process's own connections.
    pub(super) fn request_ids(&self) -> Vec<String> {
        self.request_ids.iter().cloned().collect()
    }

    /// Notes the ids that are open at the predecessor.
    pub(super) fn import_request_ids(&mut self, ids: &[String]) {
        self.request_ids_at_predecessor.extend(ids.iter().cloned());
    }

    /// The predecessor is gone: nothing is open there.
    pub(super) fn forget_predecessor(&mut self) {
        self.request_ids_at_predecessor.clear();
    }
}
