//! Attempts: from their opening until their connection stands, or they come to nothing.

use super::established::LEAVING_FROM;
use super::{Answer, Attempt, AttemptOutcome, ConnectionId, Effect, Phase, State};
use crate::{Event, Micros, Outcome, RequestId, ServerId, Time};

/// A connection that stood before the start is tried again after so long.
const ADOPT_GAP: Micros = 500_000;
/// The list from before the start may be old: a server that it does not name may be listed within this time.
const ADOPT_UNLISTED: Micros = 2_000_000;

impl State {
    pub(super) fn open_attempt(
        &mut self,
        now: Time,
        id: ConnectionId,
        server: ServerId,
        wait: Micros,
        write_by: Option<Time>,
    ) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let pool = &self.pools[connection.pool];
        let (number, connect) = (connection.attempts, pool.config.settings.connect_timeout);
        connection.attempts += 1;
        let until = now.plus(wait);
        connection.attempt = Some(Attempt { number, server, written: false, since: now, until, write_by });
        self.at.entry((connection.pool, server)).or_default().insert(id);
        let address = pool.table.any(server).map_or(String::new(), |server| server.address.clone());
        self.effects.push(Effect::OpenAttempt { connection: id, attempt: number, address, wait });
        let due = until.min(now.plus(connect));
        self.set_due(id, Some(write_by.map_or(due, |by| by.min(due))));
    }

    /// The attempt that is out, if it is this one. Danger: a late word of an ended attempt must change nothing.
    pub(super) fn attempt(&mut self, id: ConnectionId, number: u32) -> Option<&mut Attempt> {
        self.connections.get_mut(&id)?.attempt.as_mut().filter(|attempt| attempt.number == number)
    }

    pub(super) fn on_request_forwarded(&mut self, now: Time, id: ConnectionId, number: u32) {
        if let Some(attempt) = self.attempt(id, number).filter(|attempt| !attempt.written) {
            attempt.written = true;
            attempt.since = now;
            self.forwards += 1;
        }
        self.time_attempt(id);
    }

    fn time_attempt(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.get(&id).filter(|a| a.phase != Phase::Established) else {
            return;
        };
        if let Some(until) = connection.attempt.filter(|attempt| attempt.written).map(|attempt| attempt.until)
        {
            self.set_due(id, Some(until));
        }
    }

    pub(super) fn on_attempt_accepted(&mut self, now: Time, id: ConnectionId, number: u32) {
        if self.attempt(id, number).is_none() {
            return;
        }
        let Some(connection) = self.connections.get_mut(&id).filter(|a| a.phase != Phase::Established) else {
            return;
        };
        let (pool, placed) = (connection.pool, connection.phase == Phase::Connecting);
        let took = connection
            .attempt
            .filter(|attempt| placed && attempt.written)
            .map(|attempt| now.since(attempt.since));
        connection.phase = Phase::Established;
        connection.migrate_at = self.shutdown_window.map(|(_, at)| at.min(now.plus(LEAVING_FROM)));
        self.count(id, |counts| counts.succeeded += 1);
        self.schedule_established_timer(now, id);
        self.on_established(now, id, took);
        if placed {
            self.pools[pool].peers.earn_credit();
            self.dispatch(
                now,
                pool,
                Event::ConnectionEstablished { request: RequestId(id.0), attempt: number },
            );
        }
        self.transfer_connection(id);
    }

    pub(super) fn on_attempt_ended(&mut self, now: Time, id: ConnectionId, number: u32, end: AttemptOutcome) {
        if self.attempt(id, number).is_none() {
            return;
        }
        let outcome = match end {
            // A verdict is an answer as good as any: the server is sound.
            AttemptOutcome::Served | AttemptOutcome::VerdictForwarded => Outcome::Ok,
            AttemptOutcome::RedirectedByServer => Outcome::Cancelled,
            AttemptOutcome::Error => Outcome::Error,
            AttemptOutcome::Rejected => Outcome::Rejected,
            AttemptOutcome::ConnectFailed => Outcome::ConnectFailed,
            AttemptOutcome::OutOfSockets => Outcome::NotSent,
            AttemptOutcome::Reset => Outcome::Reset,
        };
        match self.connections.get(&id).map(|a| a.phase) {
            Some(Phase::Restoring(until, _)) if now < until => {
                self.drop_attempt(id);
                self.set_due(id, Some(now.plus(ADOPT_GAP)));
            }
            Some(Phase::Connecting) if end != AttemptOutcome::VerdictForwarded => {
                self.attempt_failed(now, id, outcome)
            }
            Some(phase) => {
                if phase != Phase::Established && end == AttemptOutcome::VerdictForwarded {
                    self.count(id, |counts| counts.declined += 1);
                }
                if end == AttemptOutcome::RedirectedByServer {
                    self.cut_short(now, id);
                }
                self.end(now, id, outcome)
            }
            None => {}
        }
    }

    /// An attempt of a connection that is still owed its answer has come to nothing.
    pub(super) fn attempt_failed(&mut self, now: Time, id: ConnectionId, outcome: Outcome) {
        let Some((pool, attempt)) = self.connections.get(&id).and_then(|a| Some((a.pool, a.attempt?))) else {
            return;
        };
        self.drop_attempt(id);
        self.set_due(id, None);
        let (request, attempt, answered) = (RequestId(id.0), attempt.number, false);
        self.dispatch(now, pool, Event::AttemptEnded { request, attempt, outcome, answered });
    }

    pub(super) fn drop_attempt(&mut self, id: ConnectionId) -> Option<Attempt> {
        let connection = self.connections.get_mut(&id)?;
        let attempt = connection.attempt.take()?;
        if let Some(there) = self.at.get_mut(&(connection.pool, attempt.server)) {
            there.remove(&id);
            if there.is_empty() {
                self.at.remove(&(connection.pool, attempt.server));
            }
        }
        Some(attempt)
    }

    /// The attempt of a connection that stood before the start is over, or the pause after it is.
    pub(super) fn adopt_again(&mut self, now: Time, id: ConnectionId, until: Time, server: ServerId) {
        let Some(connection) = self.connections.get(&id) else { return };
        let pool = &self.pools[connection.pool];
        let (most, listed) = (pool.config.settings.max_attempts, pool.table.any(server).is_some());
        // Danger: a client may name a server that there never was; it is owed its error soon.
        if now < until
            && connection.attempts < most
            && (listed || now.since(connection.connected_at) < ADOPT_UNLISTED)
        {
            if self.drop_attempt(id).is_some() {
                self.effects.push(Effect::CloseAttempt { connection: id });
            }
            match listed {
                true => self.open_attempt(now, id, server, until.since(now), None),
                false => self.set_due(id, Some(now.plus(ADOPT_GAP))),
            }
        } else {
            self.send_answer(now, id, Answer::Failed);
            self.end(now, id, Outcome::Reset);
        }
    }
}
