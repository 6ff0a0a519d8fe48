//! The peer process of a hot restart, and the admin calls whose replies wait for its acknowledgement.

use std::collections::BTreeMap;

use super::{AdminCallId, ResourceLimits};
use crate::{Micros, Time};

/// Longest time for which the reply to an admin client waits for the peer process. Admin clients expect a
/// reply within 1 s.
const ACKNOWLEDGEMENT_TIMEOUT: Micros = Micros::from_millis(500);
/// Largest share of the descriptors for pending connections, in percent, that is counted as used by the
/// predecessor.
const MAX_BORROWED_PERCENT: usize = 75;

/// The other process of a hot restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PeerProcess {
    /// Successor that has requested this process's state and does not serve yet.
    StartingSuccessor,
    /// Successor that serves in place of this process.
    Successor,
    /// Process that served before this one. `pending_descriptors` is the number of descriptors that its
    /// pending connections used when it exported its state.
    Predecessor { pending_descriptors: usize },
}

/// The peer process, and the admin calls whose replies wait for its acknowledgement.
#[derive(Default)]
pub(super) struct HotRestartState {
    peer_process: Option<PeerProcess>,
    /// Admin calls whose replies wait, each with the deadline of the wait.
    pending_acknowledgements: BTreeMap<AdminCallId, Time>,
}

impl HotRestartState {
    /// Records that a successor has requested this process's state.
    pub(super) fn record_successor_started(&mut self) {
        self.peer_process = Some(PeerProcess::StartingSuccessor);
    }

    /// Records that the successor serves. Returns false if no successor is starting.
    pub(super) fn record_successor_ready(&mut self) -> bool {
        let has_started = self.peer_process == Some(PeerProcess::StartingSuccessor);
        if has_started {
            self.peer_process = Some(PeerProcess::Successor);
        }
        has_started
    }

    /// Records that there is a predecessor, whose pending connections use `pending_descriptors` descriptors.
    pub(super) fn record_predecessor(&mut self, pending_descriptors: usize) {
        self.peer_process = Some(PeerProcess::Predecessor { pending_descriptors });
    }

    /// Removes and returns the peer process, which has ended or is unreachable.
    pub(super) fn take_peer_process(&mut self) -> Option<PeerProcess> {
        self.peer_process.take()
    }

    pub(super) fn has_peer_process(&self) -> bool {
        self.peer_process.is_some()
    }

    pub(super) fn successor_serves(&self) -> bool {
        self.peer_process == Some(PeerProcess::Successor)
    }

    /// Returns whether there is a successor, which serves or is starting. In both cases this process accepts
    /// no connections.
    pub(super) fn has_successor(&self) -> bool {
        matches!(self.peer_process, Some(PeerProcess::StartingSuccessor | PeerProcess::Successor))
    }

    /// Returns the number of descriptors for pending connections that are counted as used by the predecessor.
    /// At most three quarters of the limit are counted, so that this process can always accept clients.
    pub(super) fn predecessor_descriptors(&self, resource_limits: ResourceLimits) -> usize {
        match self.peer_process {
            Some(PeerProcess::Predecessor { pending_descriptors }) => {
                pending_descriptors.min(resource_limits.max_pending_connections * MAX_BORROWED_PERCENT / 100)
            }
            _ => 0,
        }
    }

    /// Records that the reply to an admin call waits for the peer process's acknowledgement.
    pub(super) fn await_acknowledgement(&mut self, now: Time, admin_call: AdminCallId) {
        self.pending_acknowledgements.insert(admin_call, now.plus(ACKNOWLEDGEMENT_TIMEOUT));
    }

    /// Ends the wait of the reply to an admin call. Returns false if the reply was not waiting.
    pub(super) fn end_acknowledgement_wait(&mut self, admin_call: AdminCallId) -> bool {
        self.pending_acknowledgements.remove(&admin_call).is_some()
    }

    /// Returns the earliest deadline of a waiting reply.
    pub(super) fn next_acknowledgement_timeout(&self) -> Option<Time> {
        self.pending_acknowledgements.values().copied().min()
    }

    /// Returns the admin calls whose replies wait for an acknowledgement.
    pub(super) fn pending_admin_calls(&self) -> Vec<AdminCallId> {
        self.pending_acknowledgements.keys().copied().collect()
    }

    /// Returns the admin calls whose wait for an acknowledgement has timed out.
    pub(super) fn timed_out_admin_calls(&self, now: Time) -> Vec<AdminCallId> {
        let timed_out = self.pending_acknowledgements.iter().filter(|(_, deadline)| **deadline <= now);
        timed_out.map(|(&admin_call, _)| admin_call).collect()
    }
}
