//! Pending connections: aborts the oldest ones to make room for new clients, and opens and closes the accept
//! gate.
//!
//! The rule and the state are in [`super::front_admission`].

use super::front_admission::Capacity;
use super::{ConnectionId, Effect, State};
use crate::Time;

impl State {
    /// Aborts the oldest pending connections until one more client can be accepted, and opens or closes the
    /// accept gate. The gate is not opened while there is a successor, including one that is starting.
    pub(super) fn evict_pending_connections(&mut self, now: Time) {
        let predecessor_descriptors =
            self.hot_restart.predecessor_descriptors(self.admission.resource_limits());
        let closed_until = loop {
            match self.admission.capacity(now, predecessor_descriptors) {
                Capacity::Available => break None,
                Capacity::AvailableAt(time) => break Some(time),
                Capacity::AvailableAfterAborting(id) => self.abort_connection(now, id),
            }
        };
        if closed_until.is_some() == self.admission.is_gate_open() {
            let open = closed_until.is_none() && !self.hot_restart.has_successor();
            self.effects.push(Effect::SetAccepting { open });
        }
        self.admission.set_gate_closed_until(closed_until);
    }

    fn abort_connection(&mut self, now: Time, id: ConnectionId) {
        self.remove_connection(now, id);
        self.admission.remove_pending(id);
        self.effects.push(Effect::AbortConnection { connection: id });
    }

    /// Handles the close of a connection's last socket, which may make room for another client.
    pub(super) fn on_sockets_closed(&mut self, now: Time, id: ConnectionId) {
        self.admission.remove_pending(id);
        self.evict_pending_connections(now);
    }
}
