//! Attempts to set up a request's connection at a server: opening, deadlines, acceptance and failure.
//!
//! A request has at most one attempt in flight. The balancer chooses its server and decides after a failure
//! whether to retry (`src/policy/`). This module numbers the attempts of a request and sets these deadlines
//! for each. The connection's timer is set to the earliest one:
//!
//! - The attempt has to be connected and its request written within the pool's connect timeout.
//! - The request has to be written in full within the balancer's forwarding timeout, if it sets one. It does
//!   so because a server may recognise a repeated request for a limited time only, and because the endpoint
//!   list may expire.
//! - The server has to accept within the timeout that the balancer sets.
//!
//! Reports that carry the number of an earlier attempt are ignored.
//!
//! A connection in [`Phase::Restoring`] belongs to one server, where it was established before this process
//! started. It is retried there every [`RESTORE_RETRY_INTERVAL`], without a decision of the balancer, until
//! its deadline or the largest number of attempts for a request is reached.
//!
//! The attempts themselves are in the connection table; this module owns no state.

use super::connection_table::{Attempt, Phase};
use super::dispatch::request_id;
use super::{Answer, AttemptOutcome, ConnectionId, Effect, State};
use crate::{Event, Micros, Outcome, ServerId, Time};

/// The time from a failed attempt to restore a connection to the next one.
const RESTORE_RETRY_INTERVAL: Micros = Micros::from_millis(500);
/// Time since the connect after which a connection is not restored if its server is not listed. Until
/// discovery sends a list, the cached one is in use, which may not contain the server.
const UNLISTED_SERVER_TIMEOUT: Micros = Micros::from_secs(2);

impl State {
    /// Opens an attempt that the server has to accept within `acceptance_timeout`. The request has to be
    /// written in full within `forwarding_timeout`, if that is set.
    pub(super) fn open_attempt(
        &mut self,
        now: Time,
        id: ConnectionId,
        server: ServerId,
        acceptance_timeout: Micros,
        forwarding_timeout: Option<Micros>,
    ) {
        let Some(pool) = self.connections.pool_of(id).map(|pool| &self.pools[pool.0]) else { return };
        let connect_deadline = now.plus(pool.config.settings.connect_timeout);
        let acceptance_deadline = now.plus(acceptance_timeout);
        let forwarding_deadline = forwarding_timeout.map(|timeout| now.plus(timeout));
        let address = pool.endpoints.get(server).map_or(String::new(), |endpoint| endpoint.address.clone());
        let attempt = self.connections.begin_attempt(id, server, acceptance_deadline, forwarding_deadline);
        let Some(attempt) = attempt else { return };
        self.connections.set_timer(id, Some(attempt.earliest_deadline(connect_deadline)));
        self.effects.push(Effect::OpenAttempt {
            connection: id,
            attempt: attempt.number,
            address,
            acceptance_timeout,
        });
    }

    /// Counts a request that is written in full, and sets the timer to the deadline for the server's
    /// acceptance.
    pub(super) fn on_request_forwarded(&mut self, now: Time, id: ConnectionId, number: u32) {
        if self.connections.mark_forwarded(now, id, number) {
            self.forwarded_requests += 1;
        }
        self.schedule_acceptance_timer(id);
    }

    /// Sets a connection's timer to the deadline for the server's acceptance, if its request is written in
    /// full and the connection is not established.
    fn schedule_acceptance_timer(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.get(id) else { return };
        let forwarded = connection.attempt().filter(Attempt::is_forwarded);
        if let (Some(attempt), true) = (forwarded, connection.phase != Phase::Established) {
            self.connections.set_timer(id, Some(attempt.acceptance_deadline));
        }
    }

    /// Establishes a connection whose attempt the server has accepted.
    pub(super) fn on_attempt_accepted(&mut self, now: Time, id: ConnectionId, number: u32) {
        let Some(attempt) = self.connections.attempt(id, number) else { return };
        let Some(connection) = self.connections.get(id) else { return };
        if connection.phase == Phase::Established {
            return;
        }
        let pool = connection.pool;
        let was_placed = connection.phase == Phase::Connecting;
        self.connections.record_established(id, self.shutdown.migration_time(now));
        let setup_time = attempt.forwarded_at.filter(|_| was_placed).map(|at| now.since(at));
        self.count_outcome(id, |counters| counters.succeeded += 1);
        self.schedule_established_timer(now, id);
        self.notify_established(now, id, setup_time);
        if was_placed {
            self.pools[pool.0].gossip.earn_credit();
            let event = Event::ConnectionEstablished { request: request_id(id), attempt: number };
            self.dispatch(now, pool, event);
        }
        self.transfer_connection(id);
    }

    /// Handles the end of an attempt: schedules the next attempt to restore the connection, reports the
    /// failure to the balancer, or ends the connection.
    pub(super) fn on_attempt_ended(
        &mut self,
        now: Time,
        id: ConnectionId,
        number: u32,
        outcome: AttemptOutcome,
    ) {
        if self.connections.attempt(id, number).is_none() {
            return;
        }
        let Some(phase) = self.connections.get(id).map(|connection| connection.phase) else { return };
        match phase {
            Phase::Restoring { deadline, .. } if now < deadline => {
                self.connections.remove_attempt(id);
                self.connections.set_timer(id, Some(now.plus(RESTORE_RETRY_INTERVAL)));
            }
            Phase::Connecting if outcome != AttemptOutcome::VerdictForwarded => {
                self.on_attempt_failed(now, id, outcome_of(outcome));
            }
            _ => self.on_final_attempt_ended(now, id, phase, outcome),
        }
    }

    /// Ends a connection whose attempt has ended and is not retried.
    fn on_final_attempt_ended(&mut self, now: Time, id: ConnectionId, phase: Phase, outcome: AttemptOutcome) {
        if phase != Phase::Established && outcome == AttemptOutcome::VerdictForwarded {
            self.count_outcome(id, |counters| counters.rejected += 1);
        }
        if outcome == AttemptOutcome::RedirectedByServer {
            self.notify_interrupted(now, id);
        }
        self.end_connection(now, id, outcome_of(outcome));
    }

    /// Removes a failed attempt and reports it to the balancer, which retries the request or answers it.
    pub(super) fn on_attempt_failed(&mut self, now: Time, id: ConnectionId, outcome: Outcome) {
        let Some(pool) = self.connections.pool_of(id) else { return };
        let Some(attempt) = self.connections.remove_attempt(id) else { return };
        self.connections.set_timer(id, None);
        let (request, attempt, answered) = (request_id(id), attempt.number, false);
        self.dispatch(now, pool, Event::AttemptEnded { request, attempt, outcome, answered });
    }

    /// Continues to restore a connection: opens an attempt, waits for its server to be listed, or fails the
    /// request.
    pub(super) fn continue_restoring(
        &mut self,
        now: Time,
        id: ConnectionId,
        deadline: Time,
        server: ServerId,
    ) {
        if !self.connections.contains(id) {
            return;
        }
        if !self.may_restore(now, id, deadline, server) {
            self.send_answer(now, id, Answer::Failed);
            self.end_connection(now, id, Outcome::Reset);
            return;
        }
        if self.connections.remove_attempt(id).is_some() {
            self.effects.push(Effect::CloseAttempt { connection: id });
        }
        if self.is_listed(id, server) {
            self.open_attempt(now, id, server, deadline.since(now), None);
        } else {
            self.connections.set_timer(id, Some(now.plus(RESTORE_RETRY_INTERVAL)));
        }
    }

    /// Returns whether another attempt to restore a connection may be made. A client may name a server that
    /// never existed. A server that is not listed is therefore awaited for a short time only
    /// ([`UNLISTED_SERVER_TIMEOUT`]).
    fn may_restore(&self, now: Time, id: ConnectionId, deadline: Time, server: ServerId) -> bool {
        let Some(connection) = self.connections.get(id) else { return false };
        let max_attempts = self.pools[connection.pool.0].config.settings.max_attempts;
        let may_still_be_listed = now.since(connection.connected_at) < UNLISTED_SERVER_TIMEOUT;
        now < deadline
            && connection.attempts < max_attempts
            && (self.is_listed(id, server) || may_still_be_listed)
    }

    fn is_listed(&self, id: ConnectionId, server: ServerId) -> bool {
        let pool = self.connections.pool_of(id);
        pool.is_some_and(|pool| self.pools[pool.0].endpoints.get(server).is_some())
    }
}

/// Translates the end of an attempt into the outcome that the balancer counts for the server.
fn outcome_of(outcome: AttemptOutcome) -> Outcome {
    match outcome {
        // A server that answers the client with its own verdict works correctly.
        AttemptOutcome::Served | AttemptOutcome::VerdictForwarded => Outcome::Ok,
        AttemptOutcome::RedirectedByServer => Outcome::Cancelled,
        AttemptOutcome::Error => Outcome::Error,
        AttemptOutcome::Rejected => Outcome::Rejected,
        AttemptOutcome::ConnectFailed => Outcome::ConnectFailed,
        AttemptOutcome::OutOfSockets => Outcome::NotSent,
        AttemptOutcome::Reset => Outcome::Reset,
    }
}
