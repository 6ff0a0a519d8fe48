//! Capacity for clients that connect: connections without an attempt use up descriptors, so they are limited.

use std::collections::BTreeMap;

use super::{Budget, ConnectionId, Effect, State};
use crate::{Micros, Time};

/// At the limit, a connection without an attempt may be aborted after this time: a client that means to send its
/// request does so at once, but the line has to arrive.
const MIN_PENDING_TIME: Micros = Micros::from_millis(100);

/// The limits of all fronts, and the connections that have no attempt.
pub(super) struct FrontAdmission {
    budget: Budget,
    /// Connections that have sent no request yet, or are ended and not yet closed; since when.
    pending: BTreeMap<ConnectionId, Time>,
    /// While the accept gate is closed: when there may be room again.
    gate_closed_until: Option<Time>,
}

/// Whether one more connection may be accepted.
enum Capacity {
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

    /// Notes that a connection has no attempt from now on.
    pub(super) fn add_pending(&mut self, now: Time, id: ConnectionId) {
        self.pending.insert(id, now);
    }

    /// Notes that a connection was admitted, transferred or closed.
    pub(super) fn remove_pending(&mut self, id: ConnectionId) {
        self.pending.remove(&id);
    }

    pub(super) fn pending_count(&self) -> usize {
        self.pending.len()
    }

    /// When there may be room again, while there is none.
    pub(super) fn gate_closed_until(&self) -> Option<Time> {
        self.gate_closed_until
    }

    pub(super) fn has_capacity(&self) -> bool {
        self.gate_closed_until.is_none()
    }

    /// Looks for room, given how many descriptors a peer process uses.
    fn check_capacity(&self, now: Time, borrowed_descriptors: usize) -> Capacity {
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

impl State {
    /// Makes room for the next connection. Hundreds of clients that connect without a request, or do not close
    /// when they are answered, would use up the descriptors: the oldest of them is aborted, and while all are too
    /// recent for that, the accept gate is closed.
    pub(super) fn evict_idle_connection(&mut self, now: Time) {
        let borrowed = self.hot_restart.borrowed_descriptors(self.admission.budget);
        let closed_until = loop {
            match self.admission.check_capacity(now, borrowed) {
                Capacity::Available => break None,
                Capacity::NotBefore(time) => break Some(time),
                Capacity::AfterAborting(id) => self.abort_connection(now, id),
            }
        };
        if closed_until.is_some() == self.admission.has_capacity() {
            let open = closed_until.is_none() && !self.hot_restart.successor_accepts();
            self.effects.push(Effect::SetAccepting { open });
        }
        self.admission.gate_closed_until = closed_until;
    }

    fn abort_connection(&mut self, now: Time, id: ConnectionId) {
        self.release(now, id);
        self.admission.remove_pending(id);
        self.effects.push(Effect::AbortConnection { connection: id });
    }

    /// All sockets of a connection are closed.
    pub(super) fn on_sockets_closed(&mut self, now: Time, id: ConnectionId) {
        self.admission.remove_pending(id);
        self.evict_idle_connection(now);
    }
}
