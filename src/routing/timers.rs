//! Timers: the time at which the reducer has to be called next, and the handling of expired timers.
//!
//! The reducer cannot wait for a time itself. After each input, the driver queries the earliest deadline of
//! all parts of the state, and feeds [`super::Input::TimerFired`] at that time. Each part owns its deadline.

use super::connection_table::Phase;
use super::{ConnectionId, Effect, PoolId, State};
use crate::{Event, Outcome, Time};

impl State {
    /// Returns the time at which [`super::Input::TimerFired`] has to be fed next, or `None` if no timer is
    /// set.
    pub fn next_deadline(&self) -> Option<Time> {
        let balancers = self.pools.iter().filter_map(|pool| pool.balancer_timer());
        let rebalancing = self.pools.iter().filter_map(|pool| pool.rebalancer.next_evaluation());
        balancers
            .chain(rebalancing)
            .chain(self.connections.next_timer())
            .chain(self.hot_restart.next_acknowledgement_timeout())
            .chain(self.shutdown.exit_time(!self.connections.is_empty()))
            .chain(self.replication.next_digest_at())
            .chain(self.admission.gate_closed_until())
            .min()
    }

    /// Returns whether a connection's timer has expired and [`super::Input::TimerFired`] has not been fed
    /// since.
    pub fn is_timer_expired(&self, now: Time, id: ConnectionId) -> bool {
        self.connections.get(id).and_then(|connection| connection.timer()).is_some_and(|timer| timer <= now)
    }

    /// Handles all expired timers. Timers of connections are handled first, so that clients are answered in
    /// time.
    pub(super) fn on_timer_fired(&mut self, now: Time) {
        while let Some(id) = self.connections.pop_expired_timer(now) {
            self.on_connection_timer(now, id);
        }
        if self.admission.gate_closed_until().is_some_and(|at| at <= now) {
            self.evict_pending_connections(now);
        }
        self.reply_to_timed_out_admin_clients(now);
        self.send_scheduled_digests(now);
        for pool in (0..self.pools.len()).map(PoolId) {
            if self.pools[pool.0].clear_expired_balancer_timer(now) {
                self.dispatch(now, pool, Event::TimerFired);
            }
            if self.pools[pool.0].rebalancer.next_evaluation().is_some_and(|at| at <= now) {
                self.rebalance(now, pool);
            }
        }
    }

    fn on_connection_timer(&mut self, now: Time, id: ConnectionId) {
        let Some(connection) = self.connections.get(id) else { return };
        match connection.phase {
            Phase::AwaitingRequest => self.effects.push(Effect::CheckRequestArrival { connection: id }),
            Phase::Connecting => self.on_attempt_timer(now, id),
            Phase::Restoring { deadline, server } => self.continue_restoring(now, id, deadline, server),
            Phase::Established => self.on_established_timer(now, id),
        }
    }

    /// Ends an attempt that has missed one of its deadlines: for the connect, for writing the request in
    /// full, or for the server's acceptance.
    fn on_attempt_timer(&mut self, now: Time, id: ConnectionId) {
        let attempt = self.connections.get(id).and_then(|connection| connection.attempt());
        let is_forwarded = attempt.is_some_and(|attempt| attempt.is_forwarded());
        let forwarding_deadline = attempt.and_then(|attempt| attempt.forwarding_deadline);
        let outcome = if is_forwarded {
            Outcome::TimedOut
        } else if forwarding_deadline.is_some_and(|deadline| deadline <= now) {
            Outcome::NotSent
        } else {
            Outcome::ConnectFailed
        };
        self.effects.push(Effect::CloseAttempt { connection: id });
        self.on_attempt_failed(now, id, outcome);
    }
}
