//! Limit of pending connections: how many may be open, and when the fronts accept.
//!
//! This module owns the limits of all fronts ([`ResourceLimits`]) and the set of pending connections. A
//! connection is pending if it has sent no request yet, or if it is answered and its sockets are not closed
//! yet. It uses a descriptor of the process, and no limit of admitted connections applies to it. Clients that
//! connect without sending a request could therefore use up all descriptors.
//!
//! Rule: the limit is `ResourceLimits::max_pending_connections`, less the descriptors that the predecessor of
//! a hot restart still uses. While fewer connections are pending, the fronts accept. At the limit, the oldest
//! pending connection is aborted once it has been pending for [`MIN_PENDING_TIME`]. Until then, the accept
//! gate is closed and new clients wait in the listeners' queues.

use std::collections::BTreeMap;

use super::{ConnectionId, ResourceLimits};
use crate::{Micros, Time};

/// Time for which a connection has to be pending before it may be aborted at the limit. A client that intends
/// to send a request sends it at once, but its line takes time to arrive.
const MIN_PENDING_TIME: Micros = Micros::from_millis(100);

/// The limits of all fronts, and the pending connections.
pub(super) struct FrontAdmission {
    resource_limits: ResourceLimits,
    /// Connections without a request and ended ones whose sockets are still open, each with the time since
    /// which it is pending.
    pending: BTreeMap<ConnectionId, Time>,
    /// Time at which the oldest pending connection may be aborted. `None` while the accept gate is open.
    gate_closed_until: Option<Time>,
}

/// When one more connection may be accepted.
pub(super) enum Capacity {
    /// At once.
    Available,
    /// Once this connection is aborted, which is allowed now.
    AvailableAfterAborting(ConnectionId),
    /// At this time, when the oldest pending connection may be aborted.
    AvailableAt(Time),
}

impl FrontAdmission {
    pub(super) fn new(resource_limits: ResourceLimits) -> FrontAdmission {
        FrontAdmission { resource_limits, pending: BTreeMap::new(), gate_closed_until: None }
    }

    pub(super) fn resource_limits(&self) -> ResourceLimits {
        self.resource_limits
    }

    pub(super) fn set_resource_limits(&mut self, resource_limits: ResourceLimits) {
        self.resource_limits = resource_limits;
    }

    /// Records that a connection is pending from now on.
    pub(super) fn add_pending(&mut self, now: Time, id: ConnectionId) {
        self.pending.insert(id, now);
    }

    /// Records that a connection is no longer pending, because it was admitted, transferred or closed.
    pub(super) fn remove_pending(&mut self, id: ConnectionId) {
        self.pending.remove(&id);
    }

    pub(super) fn pending_count(&self) -> usize {
        self.pending.len()
    }

    /// Returns the time at which capacity is checked again. `None` while the accept gate is open.
    pub(super) fn gate_closed_until(&self) -> Option<Time> {
        self.gate_closed_until
    }

    /// Records that the accept gate is closed until a time, or open for `None`.
    pub(super) fn set_gate_closed_until(&mut self, closed_until: Option<Time>) {
        self.gate_closed_until = closed_until;
    }

    pub(super) fn is_gate_open(&self) -> bool {
        self.gate_closed_until.is_none()
    }

    /// Returns when one more connection may be accepted. `predecessor_descriptors` is the number of
    /// descriptors for pending connections that a predecessor uses.
    pub(super) fn capacity(&self, now: Time, predecessor_descriptors: usize) -> Capacity {
        if self.pending.len() + predecessor_descriptors < self.resource_limits.max_pending_connections {
            return Capacity::Available;
        }
        let Some((&oldest, &since)) = self.pending.iter().min_by_key(|(_, since)| **since) else {
            return Capacity::Available;
        };
        if now.since(since) < MIN_PENDING_TIME {
            Capacity::AvailableAt(since.plus(MIN_PENDING_TIME))
        } else {
            Capacity::AvailableAfterAborting(oldest)
        }
    }
}
