//! Admission at the sockets: how many connections without an attempt may be open, and when the fronts accept.
//!
//! Owns the limits of all fronts ([`Budget`]) and the set of pending connections: those that have sent no
//! request yet, and those that are answered but whose sockets are not closed yet. Each of them uses a
//! descriptor of the process and nothing that limits admitted connections applies to it, so clients that
//! connect without a request could use up all descriptors.
//!
//! Rule: while fewer than `Budget::pending` connections are pending, less what the predecessor of a hot
//! restart still uses, the fronts accept. At the limit, the oldest pending connection is aborted once it is
//! [`MIN_PENDING_TIME`] old. While all are younger, the accept gate is closed and new clients stay in the
//! listeners' queues.

use std::collections::BTreeMap;

use super::{Budget, ConnectionId};
use crate::{Micros, Time};

/// The age from which a pending connection may be aborted at the limit. A client that means to send a request
/// does so at once, but its line needs time to arrive.
const MIN_PENDING_TIME: Micros = Micros::from_millis(100);

/// The limits of all fronts, and the connections that have no attempt.
pub(super) struct FrontAdmission {
    budget: Budget,
    /// Connections without a request, and ended ones whose sockets are open; since when each is pending.
    pending: BTreeMap<ConnectionId, Time>,
    /// While the accept gate is closed: when the oldest pending connection may be aborted.
    gate_closed_until: Option<Time>,
}

/// Whether one more connection may be accepted.
pub(super) enum Capacity {
    Available,
    /// Only once this connection is aborted.
    AfterAborting(ConnectionId),
    /// Not before this time.
    NotBefore(Time),
}

impl FrontAdmission {
    pub(super) fn new(budget: Budget) -> FrontAdmission {
        FrontAdmission { budget, pending: BTreeMap::new(), gate_closed_until: None }
    }

    pub(super) fn budget(&self) -> Budget {
        self.budget
    }

    pub(super) fn set_budget(&mut self, budget: Budget) {
        self.budget = budget;
    }

    /// Records that a connection has no attempt from now on.
    pub(super) fn add_pending(&mut self, now: Time, id: ConnectionId) {
        self.pending.insert(id, now);
    }

    /// Records that a connection was admitted, transferred or closed.
    pub(super) fn remove_pending(&mut self, id: ConnectionId) {
        self.pending.remove(&id);
    }

    pub(super) fn pending_count(&self) -> usize {
        self.pending.len()
    }

    /// While the accept gate is closed: when it is checked again.
    pub(super) fn gate_closed_until(&self) -> Option<Time> {
        self.gate_closed_until
    }

    /// Closes the accept gate until a time, or opens it.
    pub(super) fn set_gate_closed_until(&mut self, closed_until: Option<Time>) {
        self.gate_closed_until = closed_until;
    }

    pub(super) fn is_gate_open(&self) -> bool {
        self.gate_closed_until.is_none()
    }

    /// Whether one more connection fits, given how many descriptors a predecessor uses of this process's
    /// share.
    pub(super) fn capacity(&self, now: Time, borrowed_descriptors: usize) -> Capacity {
        if self.pending.len() + borrowed_descriptors < self.budget.pending {
            return Capacity::Available;
        }
        let Some((&oldest, &since)) = self.pending.iter().min_by_key(|(_, since)| **since) else {
            return Capacity::Available;
        };
        if now.since(since) < MIN_PENDING_TIME {
            Capacity::NotBefore(since.plus(MIN_PENDING_TIME))
        } else {
            Capacity::AfterAborting(oldest)
        }
    }
}
