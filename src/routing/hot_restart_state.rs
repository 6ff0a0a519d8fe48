//! The peer process of a hot restart, and the admin clients whose reply waits for its acknowledgement.

use std::collections::BTreeMap;

use super::{AdminClientId, Budget};
use crate::{Micros, Time};

/// The longest wait of an admin client's reply for the peer process. Admin clients expect a reply within 1 s.
const ACKNOWLEDGEMENT_TIMEOUT: Micros = Micros::from_millis(500);
/// The largest part of the pending connections' descriptors, in percent, that a predecessor is taken to use.
const MAX_BORROWED_PERCENT: usize = 75;

/// The other process of a hot restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PeerProcess {
    /// Has requested this process's state and does not serve yet.
    StartingSuccessor,
    /// Serves in this process's place.
    Successor,
    /// Served before this process. Its connections without an attempt used this many descriptors when it
    /// exported its state.
    Predecessor { open_descriptors: usize },
}

/// The peer process, and the admin clients whose reply waits for its acknowledgement.
#[derive(Default)]
pub(super) struct HotRestartState {
    peer_process: Option<PeerProcess>,
    /// When the wait of each reply ends.
    pending_acknowledgements: BTreeMap<AdminClientId, Time>,
}

impl HotRestartState {
    /// Records that a successor has requested this process's state.
    pub(super) fn record_successor_started(&mut self) {
        self.peer_process = Some(PeerProcess::StartingSuccessor);
    }

    /// Records that the successor serves. Returns false if none has started.
    pub(super) fn record_successor_ready(&mut self) -> bool {
        let has_started = self.peer_process == Some(PeerProcess::StartingSuccessor);
        if has_started {
            self.peer_process = Some(PeerProcess::Successor);
        }
        has_started
    }

    /// Records the predecessor, whose connections without an attempt use this many descriptors.
    pub(super) fn record_predecessor(&mut self, open_descriptors: usize) {
        self.peer_process = Some(PeerProcess::Predecessor { open_descriptors });
    }

    /// Records the end of the peer process, and returns which it was.
    pub(super) fn take_peer_process(&mut self) -> Option<PeerProcess> {
        self.peer_process.take()
    }

    pub(super) fn has_peer_process(&self) -> bool {
        self.peer_process.is_some()
    }

    pub(super) fn successor_serves(&self) -> bool {
        self.peer_process == Some(PeerProcess::Successor)
    }

    /// Whether a successor accepts new connections, or is about to.
    pub(super) fn successor_accepts(&self) -> bool {
        matches!(self.peer_process, Some(PeerProcess::StartingSuccessor | PeerProcess::Successor))
    }

    /// How many descriptors for pending connections a predecessor uses. At most three quarters of the budget
    /// are counted, so that clients can connect at this process in any case.
    pub(super) fn borrowed_descriptors(&self, budget: Budget) -> usize {
        match self.peer_process {
            Some(PeerProcess::Predecessor { open_descriptors }) => {
                open_descriptors.min(budget.pending * MAX_BORROWED_PERCENT / 100)
            }
            _ => 0,
        }
    }

    /// Has an admin client's reply wait for the peer process's acknowledgement.
    pub(super) fn await_acknowledgement(&mut self, now: Time, admin_client: AdminClientId) {
        self.pending_acknowledgements.insert(admin_client, now.plus(ACKNOWLEDGEMENT_TIMEOUT));
    }

    /// Ends an admin client's wait. Returns false if it was not waiting.
    pub(super) fn end_wait(&mut self, admin_client: AdminClientId) -> bool {
        self.pending_acknowledgements.remove(&admin_client).is_some()
    }

    /// When the wait of the next reply ends.
    pub(super) fn next_acknowledgement_timeout(&self) -> Option<Time> {
        self.pending_acknowledgements.values().copied().min()
    }

    /// The admin clients whose reply waits for an acknowledgement.
    pub(super) fn pending_admin_clients(&self) -> Vec<AdminClientId> {
        self.pending_acknowledgements.keys().copied().collect()
    }

    /// The admin clients whose wait for an acknowledgement has ended.
    pub(super) fn timed_out_admin_clients(&self, now: Time) -> Vec<AdminClientId> {
        let timed_out = self.pending_acknowledgements.iter().filter(|(_, deadline)| **deadline <= now);
        timed_out.map(|(&admin_client, _)| admin_client).collect()
    }
}
