//! Attempts: from their opening until their connection is established, or they fail.

use super::connection_table::{Attempt, Phase};
use super::dispatch::request_id;
use super::{Answer, AttemptOutcome, ConnectionId, Effect, State};
use crate::{Event, Micros, Outcome, ServerId, Time};

/// How long after a failed attempt a connection from before the start is tried again.
const RESTORE_RETRY_INTERVAL: Micros = Micros::from_millis(500);
/// The cached endpoint list may be out of date: a server that it does not name may be listed within this time.
const UNLISTED_SERVER_TIMEOUT: Micros = Micros::from_secs(2);

impl State {
    /// Opens an attempt that the server has to accept within `timeout`, and that has to be written in full within
    /// `forward_within`, if given.
    pub(super) fn open_attempt(
        &mut self,
        now: Time,
        id: ConnectionId,
        server: ServerId,
        timeout: Micros,
        forward_within: Option<Micros>,
    ) {
        let Some(connection) = self.connections.get_mut(id) else { return };
        let pool = &self.pools[connection.pool];
        let number = connection.attempts;
        connection.attempts += 1;
        let accept_by = now.plus(timeout);
        let forward_by = forward_within.map(|within| now.plus(within));
        let attempt = Attempt { number, server, forwarded: false, since: now, accept_by, forward_by };
        self.connections.begin_attempt(id, attempt);
        let address = pool.endpoints.get(server).map_or(String::new(), |endpoint| endpoint.address.clone());
        self.effects.push(Effect::OpenAttempt { connection: id, attempt: number, address, wait: timeout });
        let connect_by = now.plus(pool.config.settings.connect_timeout);
        let due = accept_by.min(connect_by);
        self.connections.set_timer(id, Some(forward_by.map_or(due, |forward_by| forward_by.min(due))));
    }

    pub(super) fn on_request_forwarded(&mut self, now: Time, id: ConnectionId, number: u32) {
        if self.connections.mark_forwarded(now, id, number) {
            self.forwarded_requests += 1;
        }
        self.schedule_acceptance_timer(id);
    }

    /// Once an attempt is written in full, the server has the rest of its time to accept.
    fn schedule_acceptance_timer(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.get(id) else { return };
        let forwarded = connection.attempt().filter(|attempt| attempt.forwarded);
        if let (Some(attempt), true) = (forwarded, connection.phase != Phase::Established) {
            self.connections.set_timer(id, Some(attempt.accept_by));
        }
    }

    pub(super) fn on_attempt_accepted(&mut self, now: Time, id: ConnectionId, number: u32) {
        let Some(attempt) = self.connections.attempt(id, number) else { return };
        let migrate_at = self.shutdown.migration_time(now);
        let Some(connection) = self.connections.get_mut(id) else { return };
        if connection.phase == Phase::Established {
            return;
        }
        let pool = connection.pool;
        let was_placed = connection.phase == Phase::Connecting;
        connection.phase = Phase::Established;
        connection.migrate_at = migrate_at;
        let setup_time = (was_placed && attempt.forwarded).then(|| now.since(attempt.since));
        self.count_outcome(id, |counters| counters.succeeded += 1);
        self.schedule_established_timer(now, id);
        self.notify_established(now, id, setup_time);
        if was_placed {
            self.pools[pool].peers.earn_credit();
            let event = Event::ConnectionEstablished { request: request_id(id), attempt: number };
            self.dispatch(now, pool, event);
        }
        self.transfer_connection(id);
    }

    pub(super) fn on_attempt_ended(&mut self, now: Time, id: ConnectionId, number: u32, end: AttemptOutcome) {
        if self.connections.attempt(id, number).is_none() {
            return;
        }
        let Some(phase) = self.connections.get(id).map(|connection| connection.phase) else { return };
        match phase {
            Phase::Restoring { until, .. } if now < until => {
                self.connections.take_attempt(id);
                self.connections.set_timer(id, Some(now.plus(RESTORE_RETRY_INTERVAL)));
            }
            Phase::Connecting if end != AttemptOutcome::VerdictForwarded => {
                self.on_attempt_failed(now, id, outcome_of(end));
            }
            _ => self.on_last_attempt_ended(now, id, phase, end),
        }
    }

    /// With this attempt its connection ends, too.
    fn on_last_attempt_ended(&mut self, now: Time, id: ConnectionId, phase: Phase, end: AttemptOutcome) {
        if phase != Phase::Established && end == AttemptOutcome::VerdictForwarded {
            self.count_outcome(id, |counters| counters.declined += 1);
        }
        if end == AttemptOutcome::RedirectedByServer {
            self.notify_interrupted(now, id);
        }
        self.end_connection(now, id, outcome_of(end));
    }

    /// An attempt failed whose client still waits for its answer: the decision module may retry.
    pub(super) fn on_attempt_failed(&mut self, now: Time, id: ConnectionId, outcome: Outcome) {
        let Some(pool) = self.connections.pool_of(id) else { return };
        let Some(attempt) = self.connections.take_attempt(id) else { return };
        self.connections.set_timer(id, None);
        let (request, attempt, answered) = (request_id(id), attempt.number, false);
        self.dispatch(now, pool, Event::AttemptEnded { request, attempt, outcome, answered });
    }

    /// Goes on restoring a connection from before the start: another attempt, or once its server is listed, or
    /// never again.
    pub(super) fn continue_restoring(&mut self, now: Time, id: ConnectionId, until: Time, server: ServerId) {
        if !self.connections.contains(id) {
            return;
        }
        if !self.may_restore(now, id, until, server) {
            self.send_answer(now, id, Answer::Failed);
            self.end_connection(now, id, Outcome::Reset);
            return;
        }
        if self.connections.take_attempt(id).is_some() {
            self.effects.push(Effect::CloseAttempt { connection: id });
        }
        if self.is_listed(id, server) {
            self.open_attempt(now, id, server, until.since(now), None);
        } else {
            self.connections.set_timer(id, Some(now.plus(RESTORE_RETRY_INTERVAL)));
        }
    }

    /// Whether another attempt may follow. A client may name a server that never existed: it is answered soon.
    fn may_restore(&self, now: Time, id: ConnectionId, until: Time, server: ServerId) -> bool {
        let Some(connection) = self.connections.get(id) else { return false };
        let max_attempts = self.pools[connection.pool].config.settings.max_attempts;
        let may_be_listed_yet = now.since(connection.connected_at) < UNLISTED_SERVER_TIMEOUT;
        now < until && connection.attempts < max_attempts && (self.is_listed(id, server) || may_be_listed_yet)
    }

    fn is_listed(&self, id: ConnectionId, server: ServerId) -> bool {
        let pool = self.connections.pool_of(id);
        pool.is_some_and(|pool| self.pools[pool].endpoints.get(server).is_some())
    }
}

/// How an attempt's end counts for its server.
fn outcome_of(end: AttemptOutcome) -> Outcome {
    match end {
        // A verdict is an answer like any other: the server works.
        AttemptOutcome::Served | AttemptOutcome::VerdictForwarded => Outcome::Ok,
        AttemptOutcome::RedirectedByServer => Outcome::Cancelled,
        AttemptOutcome::Error => Outcome::Error,
        AttemptOutcome::Rejected => Outcome::Rejected,
        AttemptOutcome::ConnectFailed => Outcome::ConnectFailed,
        AttemptOutcome::OutOfSockets => Outcome::NotSent,
        AttemptOutcome::Reset => Outcome::Reset,
    }
}
