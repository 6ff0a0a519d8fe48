//! Time: when the reducer wants to be called next, and what is due then.

use super::connection_table::Phase;
use super::{ConnectionId, Effect, State};
use crate::{Event, Outcome, Time};

impl State {
    /// When [`super::Input::TimerFired`] is wanted next.
    pub fn next_due(&self) -> Option<Time> {
        let balancers = self.pools.iter().filter_map(|pool| pool.balancer_timer());
        let rebalancing = self.pools.iter().filter_map(|pool| pool.rebalance.next_evaluation());
        balancers
            .chain(rebalancing)
            .chain(self.connections.next_timer())
            .chain(self.hot_restart.next_acknowledgement_timeout())
            .chain(self.shutdown.next_due(self.connections.is_empty()))
            .chain(self.replication.next_digest_at())
            .chain(self.admission.gate_closed_until())
            .min()
    }

    /// Whether a connection's timer is due, and [`super::Input::TimerFired`] has not been fed since.
    pub fn overdue_by(&self, now: Time, id: ConnectionId) -> bool {
        self.connections.get(id).and_then(|connection| connection.timer()).is_some_and(|due| due <= now)
    }

    /// Does all that is due. The order matters: answers to clients come first.
    pub(super) fn on_timer_fired(&mut self, now: Time) {
        while let Some(id) = self.connections.pop_due_timer(now) {
            self.on_connection_timer(now, id);
        }
        if self.admission.gate_closed_until().is_some_and(|at| at <= now) {
            self.evict_idle_connection(now);
        }
        self.reply_to_overdue_admin_clients(now);
        self.send_digest_if_due(now);
        for pool in 0..self.pools.len() {
            if self.pools[pool].take_due_balancer_timer(now) {
                self.dispatch(now, pool, Event::TimerFired);
            }
            if self.pools[pool].rebalance.next_evaluation().is_some_and(|at| at <= now) {
                self.rebalance(now, pool);
            }
        }
    }

    fn on_connection_timer(&mut self, now: Time, id: ConnectionId) {
        let Some(connection) = self.connections.get(id) else { return };
        match connection.phase {
            Phase::Handshaking => self.effects.push(Effect::CheckHandshake { connection: id }),
            Phase::Connecting => self.on_attempt_timer(now, id),
            Phase::Restoring { until, server } => self.continue_restoring(now, id, until, server),
            Phase::Established => self.on_established_timer(now, id),
        }
    }

    /// The attempt of a connecting client is out of time, for its connection, its request or its acceptance.
    fn on_attempt_timer(&mut self, now: Time, id: ConnectionId) {
        let attempt = self.connections.get(id).and_then(|connection| connection.attempt());
        let is_forwarded = attempt.is_some_and(|attempt| attempt.forwarded);
        let is_past_forwarding =
            attempt.and_then(|attempt| attempt.forward_by).is_some_and(|forward_by| forward_by <= now);
        let outcome = match (is_forwarded, is_past_forwarding) {
            (true, _) => Outcome::TimedOut,
            (false, true) => Outcome::NotSent,
            (false, false) => Outcome::ConnectFailed,
        };
        self.effects.push(Effect::CloseAttempt { connection: id });
        self.on_attempt_failed(now, id, outcome);
    }
}
