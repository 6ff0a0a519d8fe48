//! Room for clients that connect: connections without an attempt use up descriptors, so they are limited.

use std::collections::BTreeMap;

use super::{Budget, ConnectionId, Effect, State};
use crate::{Micros, Time};

/// At the limit, a connection without an attempt may be aborted after this time: a client that means to send its
/// request does so at once, but the line has to arrive.
const MIN_WAITING_TIME: Micros = 100_000;

/// The limits of all fronts, and the connections that have no attempt.
pub(super) struct FrontAdmission {
    budget: Budget,
    /// Connections that have sent no request yet, or are ended and not yet closed; since when.
    waiting: BTreeMap<ConnectionId, Time>,
    /// While the accept gate is closed: when there may be room again.
    gate_closed_until: Option<Time>,
}

/// Whether one more connection may be accepted.
enum Room {
    Available,
    /// Only once this connection is aborted.
    AfterAborting(ConnectionId),
    /// Not before this time.
    NotBefore(Time),
}

impl FrontAdmission {
    pub(super) fn new(budget: Budget) -> FrontAdmission {
        FrontAdmission { budget, waiting: BTreeMap::new(), gate_closed_until: None }
    }

    pub(super) fn budget(&self) -> Budget {
        self.budget
    }

    pub(super) fn set_budget(&mut self, budget: Budget) {
        self.budget = budget;
    }

    /// Notes that a connection has no attempt from now on.
    pub(super) fn begin_waiting(&mut self, now: Time, id: ConnectionId) {
        self.waiting.insert(id, now);
    }

    /// Notes that a connection was admitted, transferred or closed.
    pub(super) fn end_waiting(&mut self, id: ConnectionId) {
        self.waiting.remove(&id);
    }

    pub(super) fn waiting_count(&self) -> usize {
        self.waiting.len()
    }

    /// When there may be room again, while there is none.
    pub(super) fn gate_closed_until(&self) -> Option<Time> {
        self.gate_closed_until
    }

    pub(super) fn has_room(&self) -> bool {
        self.gate_closed_until.is_none()
    }

    /// Looks for room, given how many descriptors a peer process uses.
    fn check_room(&self, now: Time, borrowed_descriptors: usize) -> Room {
        if self.waiting.len() + borrowed_descriptors < self.budget.waiting {
            return Room::Available;
        }
        let Some((&oldest, &since)) = self.waiting.iter().min_by_key(|(_, since)| **since) else {
            return Room::Available;
        };
        if now.since(since) < MIN_WAITING_TIME {
            Room::NotBefore(since.plus(MIN_WAITING_TIME))
        } else {
            Room::AfterAborting(oldest)
        }
    }
}

impl State {
    /// Makes room for the next connection. Hundreds of clients that connect without a request, or do not close
    /// when they are answered, would use up the descriptors: the oldest of them is aborted, and while all are too
    /// recent for that, the accept gate is closed.
    pub(super) fn make_room(&mut self, now: Time) {
        let borrowed = self.hot_restart.borrowed_descriptors(self.admission.budget);
        let closed_until = loop {
            match self.admission.check_room(now, borrowed) {
                Room::Available => break None,
                Room::NotBefore(time) => break Some(time),
                Room::AfterAborting(id) => self.abort_connection(now, id),
            }
        };
        if closed_until.is_some() == self.admission.has_room() {
            let open = closed_until.is_none() && !self.hot_restart.successor_accepts();
            self.effects.push(Effect::SetAccepting { open });
        }
        self.admission.gate_closed_until = closed_until;
    }

    fn abort_connection(&mut self, now: Time, id: ConnectionId) {
        self.release(now, id);
        self.admission.end_waiting(id);
        self.effects.push(Effect::AbortConnection { connection: id });
    }

    /// All sockets of a connection are closed.
    pub(super) fn on_sockets_closed(&mut self, now: Time, id: ConnectionId) {
        self.admission.end_waiting(id);
        self.make_room(now);
    }
}
