//! Answers to clients, and the end of their connections.

use super::connection_table::{Attempt, Phase};
use super::dispatch::request_id;
use super::{Answer, ClassCounters, ConnectionId, Effect, State};
use crate::rebalance::RebalanceEvent;
use crate::{Event, Micros, Outcome, Time};

impl State {
    /// Answers a client and lets its connection go. One that has ended meanwhile must not be answered again.
    pub(super) fn answer(&mut self, now: Time, id: ConnectionId, answer: Answer) {
        if self.connections.contains(id) {
            self.send_answer(now, id, answer);
            self.release(now, id);
        }
    }

    /// Sends an answer and counts it: no other place does.
    pub(super) fn send_answer(&mut self, now: Time, id: ConnectionId, answer: Answer) {
        match answer {
            Answer::Rejected(_) => {
                self.count_outcome(id, |counters| counters.declined += 1);
                self.notify_declined(now, id);
            }
            Answer::Failed => {
                self.count_outcome(id, |counters| counters.aborted += 1);
                self.notify_declined(now, id);
            }
            // An established connection was counted when it was established, and without a request there is no
            // class.
            Answer::Migrated | Answer::HandshakeTimedOut => {}
        }
        self.effects.push(Effect::Answer { connection: id, answer });
    }

    /// Counts an outcome in its connection's class, if it named one that is configured.
    pub(super) fn count_outcome(&mut self, id: ConnectionId, count: impl FnOnce(&mut ClassCounters)) {
        let Some(connection) = self.connections.get(id) else { return };
        let Some(class) = connection.class else { return };
        if let Some(counters) = self.pools[connection.pool].class_counters_mut(class) {
            count(counters);
        }
    }

    /// Whether a client may be rejected: whether a retry of its request is harmless.
    pub(super) fn may_reject(&self, id: ConnectionId) -> bool {
        let Some(connection) = self.connections.get(id) else { return false };
        self.pools[connection.pool].balancer.may_reject(request_id(id))
    }

    /// A rejection that advises the client when to retry, as far as the settings allow.
    pub(super) fn reject_with_retry_after(&self, id: ConnectionId, wait: Micros) -> Answer {
        let pool = self.connections.pool_of(id);
        let settings = pool.map(|pool| &self.pools[pool].config.settings);
        let longest = settings
            .filter(|settings| settings.retry_after)
            .map_or(Micros::ZERO, |settings| settings.max_retry_after);
        Answer::Rejected(wait.min(longest))
    }

    /// Ends a connection that was answered, or is owed no answer any more, with the attempt that it may have.
    pub(super) fn end_connection(&mut self, now: Time, id: ConnectionId, outcome: Outcome) {
        let Some(connection) = self.connections.get(id) else { return };
        let (pool, phase) = (connection.pool, connection.phase);
        // Those that were migrated or cut off have been reported as such before: this second report is ignored.
        let natural = matches!(outcome, Outcome::Ok | Outcome::Cancelled);
        self.notify_rebalancer(now, pool, RebalanceEvent::ConnectionEnded { connection: id, natural });
        let attempt = self.release(now, id).map(|attempt| attempt.number);
        let attempt = match phase {
            // To the decision module a restored connection is established by attempt 0, however many there were.
            Phase::Restoring { .. } => Some(0),
            _ => attempt,
        };
        if let Some(attempt) = attempt {
            self.effects.push(Effect::CloseAttempt { connection: id });
            let request = request_id(id);
            self.dispatch(now, pool, Event::AttemptEnded { request, attempt, outcome, answered: true });
        }
    }

    /// Lets a connection go, and returns its attempt. Its sockets stay open for a while.
    pub(super) fn release(&mut self, now: Time, id: ConnectionId) -> Option<Attempt> {
        let connection = self.connections.remove(id)?;
        self.admission.add_pending(now, id);
        let pool = &mut self.pools[connection.pool];
        pool.rebalance.on_event(now, RebalanceEvent::ConnectionEnded { connection: id, natural: false });
        if connection.phase != Phase::Handshaking {
            pool.admitted.remove(&connection.request);
        }
        connection.attempt()
    }
}
