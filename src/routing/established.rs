//! Established connections: what passes over them, what their servers report, and their migration.

use super::dispatch::request_id;
use super::{Answer, ConnectionId, PoolId, State};
use crate::peers::Observation;
use crate::rebalance::RebalanceEvent;
use crate::{Event, Measurement, Micros, Outcome, ServerId, Time};

const MICROS_PER_MILLISECOND: f64 = 1000.0;

impl State {
    /// A line went to the server: from the first one without an answer on, its silence counts.
    pub(super) fn on_line_forwarded(&mut self, now: Time, id: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(id) {
            connection.awaiting_server_since.get_or_insert(now);
        }
    }

    pub(super) fn on_server_activity(&mut self, id: ConnectionId) {
        if self.connections.get_established(id).is_none() {
            return;
        }
        if let Some(connection) = self.connections.get_mut(id) {
            connection.awaiting_server_since = None;
        }
    }

    pub(super) fn on_load_reported(&mut self, now: Time, id: ConnectionId, value: f64) {
        let Some(connection) = self.connections.get(id) else { return };
        let Some(attempt) = connection.attempt() else { return };
        // A single value that is not a number, or negative, would spoil the means for good.
        if !(value.is_finite() && value >= 0.0) {
            return;
        }
        let pool_id = connection.pool;
        let pool = &self.pools[pool_id];
        let measurement = if pool.load_reports.is_message_time(now, attempt.server, value, &pool.config) {
            self.take_message_time(now, pool_id, attempt.server, value)
        } else {
            self.take_load(now, pool_id, id, value)
        };
        self.dispatch(now, pool_id, Event::ConnectionMeasured { request: request_id(id), measurement });
    }

    fn take_message_time(
        &mut self,
        now: Time,
        pool_id: PoolId,
        server: ServerId,
        message_time_ms: f64,
    ) -> Measurement {
        let pool = &mut self.pools[pool_id];
        pool.load_reports.add_message_time(now, server, message_time_ms);
        let took = Micros::from_f64(message_time_ms.max(0.0) * MICROS_PER_MILLISECOND);
        pool.rebalance.on_event(now, RebalanceEvent::MessageTimeReported { server, took });
        self.broadcast_observation(now, pool_id, Observation::SlowServer(server, took));
        Measurement::MessageTime(took)
    }

    fn take_load(&mut self, now: Time, pool_id: PoolId, id: ConnectionId, load: f64) -> Measurement {
        let pool = &mut self.pools[pool_id];
        pool.load_reports.add_load(load);
        pool.rebalance.on_event(now, RebalanceEvent::LoadReported { connection: id, load });
        if let Some(connection) = self.connections.get_mut(id) {
            connection.load = Some(load);
        }
        Measurement::Load(load)
    }

    /// Sets an established connection's timer: for its migration, or for the silence of its server.
    pub(super) fn schedule_established_timer(&mut self, now: Time, id: ConnectionId) {
        let Some(connection) = self.connections.get(id) else { return };
        let max_silence = self.pools[connection.pool].config.server_silence_timeout;
        let silent_from = connection.awaiting_server_since.unwrap_or(now);
        let silent_until = (max_silence > Micros::ZERO).then(|| silent_from.plus(max_silence));
        let due = connection.migrate_at.into_iter().chain(silent_until).min();
        self.connections.set_timer(id, due);
    }

    pub(super) fn on_established_timer(&mut self, now: Time, id: ConnectionId) {
        let Some(connection) = self.connections.get(id) else { return };
        let max_silence = self.pools[connection.pool].config.server_silence_timeout;
        // A server that vanished closes nothing: its clients would wait for ever.
        let is_silent = max_silence > Micros::ZERO
            && connection.awaiting_server_since.is_some_and(|since| since.plus(max_silence) <= now);
        let is_to_migrate = connection.migrate_at.is_some_and(|at| at <= now);
        if is_silent {
            self.migrate(now, id, Outcome::Reset);
        } else if is_to_migrate {
            self.migrate(now, id, Outcome::Cancelled);
        } else {
            self.schedule_established_timer(now, id);
        }
    }

    /// Has the client reconnect, and closes both sides.
    pub(super) fn migrate(&mut self, now: Time, id: ConnectionId, outcome: Outcome) {
        self.send_answer(now, id, Answer::Migrated);
        self.notify_interrupted(now, id);
        self.end_connection(now, id, outcome);
    }

    /// Has connections migrate one by one, starting after `delay` and spread over `duration`: all at once would
    /// overload the other servers. Those that are to migrate sooner already do.
    pub(super) fn migrate_gradually(
        &mut self,
        now: Time,
        connections: &[ConnectionId],
        delay: Micros,
        duration: Micros,
    ) {
        let interval = duration / connections.len().max(1) as u64;
        for (index, &id) in connections.iter().enumerate() {
            let migrate_at = now.plus(delay + interval * index as u64 + interval / 2);
            let Some(connection) = self.connections.get_mut(id) else { continue };
            let earliest = connection.migrate_at.map_or(migrate_at, |earlier| earlier.min(migrate_at));
            connection.migrate_at = Some(earliest);
            self.schedule_established_timer(now, id);
        }
    }
}
