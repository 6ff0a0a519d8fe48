//! Connections that stand, their moves and their ends.

use super::{Answer, Attempt, ConnectionId, Effect, PeerProcess, Phase, State};
use crate::peers::Observation;
use crate::rebalance::RebalanceEvent;
use crate::{Event, Measurement, Micros, Outcome, RequestId, Time};

/// A balancer that is told to leave has the longest wait of its clients for it, at most so long, and
/// something more, of which a part is kept to be gone in good time.
const LEAVING_WAITS: Micros = 3_000_000;
const LEAVING_MORE: Micros = 400_000;
/// From when it moves its clients, until so long before the end. Danger: all in one wave, or sooner than they
/// must, they come to the others while one of those may be starting again itself.
pub(super) const LEAVING_FROM: Micros = 50_000;
const LEAVING_REST: Micros = 300_000;
/// It stays so long even if it holds nothing: connections go on coming until the front has noticed.
const LEAVING_STAY: Micros = 1_000_000;

/// A figure under this share of the mean load is no load: the least load seen over 5,000 of them, of an
/// idle connection, was 1/52 of the mean.
const LEAST_LOAD: f64 = 1.0 / 64.0;
/// A server that is slow says so every second; a figure this near its last, after at most so long, is the next.
const SLOW_FACTOR: f64 = 2.5;
const SLOW_GAP: Micros = 1_300_000;

impl State {
    pub(super) fn on_server_activity(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(&id).filter(|a| a.phase == Phase::Established) else {
            return;
        };
        connection.awaiting_server_since = None;
    }

    /// Danger: servers may tell two figures by the same word, a connection's load and, every second while it
    /// is long, the time that a message takes; the settings say which are told. Taken for a load, that time makes
    /// the heaviest server look empty, and more is sent there.
    pub(super) fn on_load_reported(&mut self, now: Time, id: ConnectionId, figure: f64) {
        let Some((pool_id, attempt)) = self.connections.get(&id).and_then(|a| Some((a.pool, a.attempt?)))
        else {
            return;
        };
        // Danger: one senseless figure would spoil the means for good.
        if !(figure.is_finite() && figure >= 0.0) {
            return;
        }
        let pool = &mut self.pools[pool_id];
        let mean = pool.loads.0 / f64::max(pool.loads.1, 1.0);
        let last = pool.slow.get(&attempt.server).filter(|(at, _)| now.since(*at) <= SLOW_GAP);
        let goes_on =
            last.is_some_and(|&(_, took)| (took / SLOW_FACTOR..took * SLOW_FACTOR).contains(&figure));
        let delay = figure < mean * LEAST_LOAD || goes_on || !pool.config.tells_load;
        let measurement = if pool.config.tells_delay && delay {
            pool.slow.insert(attempt.server, (now, figure));
            let took = (figure.max(0.0) * 1000.0) as Micros;
            pool.rebalance
                .on_event(now, RebalanceEvent::MessageTimeReported { server: attempt.server, took });
            self.broadcast_observation(now, pool_id, Observation::SlowServer(attempt.server, took));
            Measurement::MessageTime(took)
        } else {
            pool.loads = (pool.loads.0 + figure, pool.loads.1 + 1.0);
            pool.rebalance.on_event(now, RebalanceEvent::LoadReported { connection: id, load: figure });
            self.connections.entry(id).and_modify(|connection| connection.load = Some(figure));
            Measurement::Load(figure)
        };
        self.dispatch(now, pool_id, Event::ConnectionMeasured { request: RequestId(id.0), measurement });
    }

    /// Ends a connection whose answer was given or is not owed any more, whatever of it is out.
    pub(super) fn end(&mut self, now: Time, id: ConnectionId, outcome: Outcome) {
        let Some((pool, phase)) = self.connections.get(&id).map(|a| (a.pool, a.phase)) else { return };
        // Whoever is moved or cut off has told so before: of these nothing is known any more.
        let natural = matches!(outcome, Outcome::Ok | Outcome::Cancelled);
        self.notify_rebalancer(now, pool, RebalanceEvent::ConnectionEnded { connection: id, natural });
        let attempt = self.release(now, id);
        let attempt = match (phase, attempt) {
            // To the module an adopted connection stands by its attempt 0, however often it was tried.
            (Phase::Restoring(..), _) => Some(0),
            (_, attempt) => attempt.map(|attempt| attempt.number),
        };
        if let Some(attempt) = attempt {
            self.effects.push(Effect::CloseAttempt { connection: id });
            let request = RequestId(id.0);
            self.dispatch(now, pool, Event::AttemptEnded { request, attempt, outcome, answered: true });
        }
    }

    /// Its sockets stay for a while: it waits to be closed.
    pub(super) fn release(&mut self, now: Time, id: ConnectionId) -> Option<Attempt> {
        let attempt = self.drop_attempt(id);
        self.set_due(id, None);
        if let Some(connection) = self.connections.remove(&id) {
            self.waiting.insert(id, now);
            let pool = &mut self.pools[connection.pool];
            pool.rebalance.on_event(now, RebalanceEvent::ConnectionEnded { connection: id, natural: false });
            pool.held -= usize::from(connection.phase != Phase::Handshaking);
            connection.ask.id.map(|id| pool.ids.remove(&id));
        }
        attempt
    }

    /// The client is told to come again, and both sides are closed.
    pub(super) fn migrate(&mut self, now: Time, id: ConnectionId, outcome: Outcome) {
        self.send_answer(now, id, Answer::Migrated);
        self.cut_short(now, id);
        self.end(now, id, outcome);
    }

    /// Sets a standing connection's timer: for its move, or for the silence of its server.
    pub(super) fn schedule_established_timer(&mut self, now: Time, id: ConnectionId) {
        let Some(connection) = self.connections.get(&id) else { return };
        let silence = self.pools[connection.pool].config.silence;
        let silent = (silence > 0).then(|| connection.awaiting_server_since.unwrap_or(now).plus(silence));
        self.set_due(id, connection.migrate_at.into_iter().chain(silent).min());
    }

    /// A standing connection's timer is due.
    pub(super) fn on_established_timer(&mut self, now: Time, id: ConnectionId) {
        let Some(connection) = self.connections.get(&id) else { return };
        let silence = self.pools[connection.pool].config.silence;
        // Danger: a server that vanished says nothing; its clients would wait for ever.
        if silence > 0 && connection.awaiting_server_since.is_some_and(|at| at.plus(silence) <= now) {
            self.migrate(now, id, Outcome::Reset);
        } else if connection.migrate_at.is_some_and(|at| at <= now) {
            self.migrate(now, id, Outcome::Cancelled);
        } else {
            self.schedule_established_timer(now, id);
        }
    }

    /// Has standing connections moved one by one: all in one wave would hit the others at once.
    pub(super) fn migrate_gradually(
        &mut self,
        now: Time,
        established: &[ConnectionId],
        from: Micros,
        over: Micros,
    ) {
        let gap = over / established.len().max(1) as u64;
        for (n, &id) in established.iter().enumerate() {
            let at = now.plus(from + gap * n as u64 + gap / 2);
            let Some(connection) = self.connections.get_mut(&id) else { continue };
            connection.migrate_at = Some(connection.migrate_at.map_or(at, |old| old.min(at)));
            self.schedule_established_timer(now, id);
        }
    }

    pub(super) fn begin_shutdown(&mut self, now: Time) {
        if self.shutdown_window.is_some() {
            return;
        }
        let longest = self.pools.iter().map(|p| p.config.longest_wait).max().unwrap_or(0);
        let stay = longest.min(LEAVING_WAITS) + LEAVING_MORE;
        // Where another process has taken its place nothing new comes here.
        let succeeded = self.peer_process == Some(PeerProcess::Successor);
        let least = if succeeded { 0 } else { LEAVING_STAY.min(stay) };
        self.shutdown_window = Some((now.plus(least), now.plus(stay)));
        let established: Vec<ConnectionId> = self
            .connections
            .iter()
            .filter(|(_, a)| a.phase == Phase::Established)
            .map(|(&id, _)| id)
            .collect();
        let over = stay.saturating_sub(LEAVING_FROM + LEAVING_REST);
        self.migrate_gradually(now, &established, LEAVING_FROM, over);
        self.effects.push(Effect::Log(format!("leaving: {} connections to move", self.connections.len())));
    }
}
