//! The admitted connections of one pool: their number, and the ids that their clients chose for them.
//!
//! No two open connections may have the same id. Neither may a connection have the id of a request whose
//! client has left, and which a server may have run, or of a request that the peer process has admitted
//! ([`super::recent_ids`]). During a hot restart, this includes connections that the
//! predecessor still serves. Their ids are kept in a separate set, each until its connection is transferred
//! or the predecessor ends.

use std::collections::BTreeSet;

use super::recent_ids::RecentIds;
use super::ConnectionRequest;
use crate::Time;

/// The number of a pool's admitted connections, and the client-chosen ids in use.
#[derive(Default)]
pub(super) struct AdmittedConnections {
    count: usize,
    client_ids: BTreeSet<String>,
    client_ids_at_predecessor: BTreeSet<String>,
    recent_ids: RecentIds,
}

impl AdmittedConnections {
    pub(super) fn count(&self) -> usize {
        self.count
    }

    /// Returns whether this request has the id of another one: of an open connection, of a request without an
    /// answer whose client has left, or of a request at the peer process.
    pub(super) fn has_id_of(&mut self, now: Time, request: &ConnectionRequest) -> bool {
        self.recent_ids.drop_expired(now);
        let is_known = |id: &String| {
            self.client_ids.contains(id)
                || self.client_ids_at_predecessor.contains(id)
                || self.recent_ids.contains(id)
        };
        request.id.as_ref().is_some_and(is_known)
    }

    /// Records that the client of a forwarded request has left without an answer.
    pub(super) fn record_unanswered(&mut self, now: Time, request: &ConnectionRequest) {
        if let Some(id) = &request.id {
            self.recent_ids.record(now, id);
        }
    }

    /// Records that the peer process has admitted a request with this id.
    pub(super) fn record_at_peer_process(&mut self, now: Time, id: &str) {
        self.recent_ids.drop_expired(now);
        self.recent_ids.record(now, id);
    }

    /// Adds a connection that this process has admitted.
    pub(super) fn add(&mut self, request: &ConnectionRequest) {
        self.count += 1;
        self.client_ids.extend(request.id.clone());
    }

    /// Adds a connection that the predecessor transferred.
    pub(super) fn add_transferred(&mut self, request: &ConnectionRequest) {
        if let Some(id) = &request.id {
            self.client_ids_at_predecessor.remove(id);
        }
        self.add(request);
    }

    /// Removes a connection that has ended or was transferred.
    pub(super) fn remove(&mut self, request: &ConnectionRequest) {
        self.count -= 1;
        if let Some(id) = &request.id {
            self.client_ids.remove(id);
        }
    }

    /// Returns the ids that no further request at this process may have.
    pub(super) fn client_ids(&self) -> Vec<String> {
        self.client_ids.iter().chain(self.recent_ids.iter()).cloned().collect()
    }

    /// Adds the ids of connections that are open at the predecessor.
    pub(super) fn import_client_ids(&mut self, ids: &[String]) {
        self.client_ids_at_predecessor.extend(ids.iter().cloned());
    }

    /// Removes the ids of the predecessor's connections, after it has ended.
    pub(super) fn release_predecessor_ids(&mut self) {
        self.client_ids_at_predecessor.clear();
    }
}
