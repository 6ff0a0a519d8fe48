//! Final answers to clients, and the end of their connections.
//!
//! Each request gets at most one final answer from this balancer: none if the client leaves first, or if a
//! server's verdict, its own final answer, is forwarded. Answers of this balancer are sent and counted in
//! [`State::send_answer`] alone. The caller of that function removes the connection's record, so that no
//! later input can cause a second answer. Successes and the servers' verdicts are counted in
//! [`super::attempts`]. A connection counts as succeeded when it is established. The end of an established
//! connection is not counted.
//!
//! This module owns no state; the counters are the pool's.

use super::connection_table::{Attempt, Phase};
use super::dispatch::request_id;
use super::{Answer, ClassCounters, ConnectionId, Effect, State};
use crate::rebalance::RebalanceEvent;
use crate::{Event, Micros, Outcome, Time};

impl State {
    /// Answers a client and removes its connection, unless the connection has ended already.
    pub(super) fn answer_and_remove(&mut self, now: Time, id: ConnectionId, answer: Answer) {
        if self.connections.contains(id) {
            self.send_answer(now, id, answer);
            self.remove_connection(now, id);
        }
    }

    /// Sends an answer, and counts it if it is the final answer to a request. The caller removes the
    /// connection.
    pub(super) fn send_answer(&mut self, now: Time, id: ConnectionId, answer: Answer) {
        match answer {
            Answer::Rejected(_) => {
                self.count_outcome(id, |counters| counters.rejected += 1);
                self.notify_rejected(now, id);
            }
            Answer::Failed => {
                self.count_outcome(id, |counters| counters.failed += 1);
                self.notify_rejected(now, id);
            }
            // A migrated connection was counted when it was established. A client that sent no request has no
            // class to count for.
            Answer::Migrated | Answer::RequestTimedOut => {}
        }
        self.effects.push(Effect::Answer { connection: id, answer });
    }

    /// Counts an outcome for a connection's class, if the class is configured.
    pub(super) fn count_outcome(&mut self, id: ConnectionId, count: impl FnOnce(&mut ClassCounters)) {
        let Some(connection) = self.connections.get(id) else { return };
        let Some(class) = connection.class else { return };
        if let Some(counters) = self.pools[connection.pool.0].class_counters_mut(class) {
            count(counters);
        }
    }

    /// Returns whether a client may be rejected. A rejection tells the client that a retry of its request is
    /// harmless.
    pub(super) fn may_reject(&self, id: ConnectionId) -> bool {
        let Some(connection) = self.connections.get(id) else { return false };
        self.pools[connection.pool.0].balancer.may_reject(request_id(id))
    }

    /// Returns a rejection with this Retry-After, limited to the pool's maximum. The Retry-After is 0 where
    /// the settings switch it off.
    pub(super) fn rejection_with_retry_after(&self, id: ConnectionId, retry_after: Micros) -> Answer {
        let pool = self.connections.pool_of(id);
        let settings = pool.map(|pool| &self.pools[pool.0].config.settings);
        let max_retry_after = settings
            .filter(|settings| settings.retry_after_supported)
            .map_or(Micros::ZERO, |settings| settings.max_retry_after);
        Answer::Rejected(retry_after.min(max_retry_after))
    }

    /// Ends a connection that was answered or needs no answer, together with its attempt. The balancer counts
    /// `outcome` for the server.
    pub(super) fn end_connection(&mut self, now: Time, id: ConnectionId, outcome: Outcome) {
        let Some(connection) = self.connections.get(id) else { return };
        let (pool, phase) = (connection.pool, connection.phase);
        // The rebalancer ignores this event if the connection was reported as migrated or broken before.
        let ended_by_client = matches!(outcome, Outcome::Ok | Outcome::Cancelled);
        self.notify_rebalancer(
            now,
            pool,
            RebalanceEvent::ConnectionEnded { connection: id, ended_by_client },
        );
        let attempt = self.remove_connection(now, id).map(|attempt| attempt.number);
        let attempt = match phase {
            // For the balancer, a restored connection was established by attempt 0, regardless of how many
            // attempts were made.
            Phase::Restoring { .. } => Some(0),
            _ => attempt,
        };
        if let Some(attempt) = attempt {
            self.effects.push(Effect::CloseAttempt { connection: id });
            let request = request_id(id);
            self.dispatch(now, pool, Event::AttemptEnded { request, attempt, outcome, answered: true });
        }
    }

    /// Removes a connection's record, and returns its attempt. Its sockets are closed later, so the
    /// connection is counted as pending until then.
    pub(super) fn remove_connection(&mut self, now: Time, id: ConnectionId) -> Option<Attempt> {
        let connection = self.connections.remove(id)?;
        self.admission.add_pending(now, id);
        let pool = &mut self.pools[connection.pool.0];
        pool.rebalancer
            .on_event(now, RebalanceEvent::ConnectionEnded { connection: id, ended_by_client: false });
        if connection.phase != Phase::AwaitingRequest {
            pool.admitted.remove(&connection.request);
        }
        connection.attempt()
    }
}
