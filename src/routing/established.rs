//! Established connections: silence of their servers, load reports, and migration.
//!
//! - **Silence.** A server may fail without closing its connections, and its clients would then wait forever.
//!   The server has to send something within the pool's `server_silence_timeout` after the first line that it
//!   has not answered. Otherwise the connection is migrated and a fault of the server is reported to the
//!   balancer. A further line does not reset the timer. If the timer fires too early, it is set again.
//! - **Load reports.** A reported value is the connection's load or the server's message time
//!   ([`super::load_reports`]). It is recorded and passed to the rebalancer and the balancer. A message time
//!   is also sent to the other balancers by gossip.
//! - **Migration.** The client is asked to reconnect, and both sides are closed. Several connections are
//!   migrated one by one at equal intervals, because migrating all of them at once would overload the other
//!   servers.
//!
//! The connections are in the connection table; this module owns no state.

use super::dispatch::request_id;
use super::{Answer, ConnectionId, PoolId, State};
use crate::peers::Observation;
use crate::rebalance::RebalanceEvent;
use crate::{Event, Measurement, Micros, Outcome, ServerId, Time};

const MICROS_PER_MILLISECOND: f64 = 1000.0;

impl State {
    /// Records a client's line, which starts the server's silence timeout unless an earlier line is
    /// unanswered.
    pub(super) fn on_line_forwarded(&mut self, now: Time, id: ConnectionId) {
        self.connections.record_forwarded_line(now, id);
    }

    /// Records that the server has sent bytes, which ends its silence.
    pub(super) fn on_server_activity(&mut self, id: ConnectionId) {
        self.connections.record_server_activity(id);
    }

    /// Records a load report, and passes it to the balancer. Ignores a value that is negative or not finite.
    pub(super) fn on_load_reported(&mut self, now: Time, id: ConnectionId, value: f64) {
        let Some(connection) = self.connections.get(id) else { return };
        let Some(attempt) = connection.attempt() else { return };
        // The running means would never recover from a value that is negative, infinite or not a number.
        if !(value.is_finite() && value >= 0.0) {
            return;
        }
        let pool_id = connection.pool;
        let pool = &self.pools[pool_id.0];
        let measurement = if pool.load_reports.is_message_time(now, attempt.server, value, &pool.config) {
            self.record_message_time(now, pool_id, attempt.server, value)
        } else {
            self.record_load(now, pool_id, id, value)
        };
        self.dispatch(now, pool_id, Event::ConnectionMeasured { request: request_id(id), measurement });
    }

    fn record_message_time(
        &mut self,
        now: Time,
        pool_id: PoolId,
        server: ServerId,
        message_time_ms: f64,
    ) -> Measurement {
        let pool = &mut self.pools[pool_id.0];
        pool.load_reports.add_message_time(now, server, message_time_ms);
        let message_time = Micros::from_f64(message_time_ms.max(0.0) * MICROS_PER_MILLISECOND);
        let event = RebalanceEvent::MessageTimeReported { server, message_time };
        pool.rebalancer.on_event(now, event);
        self.broadcast_observation(now, pool_id, Observation::SlowServer(server, message_time));
        Measurement::MessageTime(message_time)
    }

    fn record_load(&mut self, now: Time, pool_id: PoolId, id: ConnectionId, load: f64) -> Measurement {
        let pool = &mut self.pools[pool_id.0];
        pool.load_reports.add_load(load);
        pool.rebalancer.on_event(now, RebalanceEvent::LoadReported { connection: id, load });
        self.connections.record_load(id, load);
        Measurement::Load(load)
    }

    /// Sets an established connection's timer to its migration or the end of its server's silence timeout,
    /// whichever is earlier.
    pub(super) fn schedule_established_timer(&mut self, now: Time, id: ConnectionId) {
        let Some(connection) = self.connections.get(id) else { return };
        let silence_timeout = self.pools[connection.pool.0].config.server_silence_timeout;
        let silent_since = connection.awaiting_server_since.unwrap_or(now);
        let silence_deadline = (silence_timeout > Micros::ZERO).then(|| silent_since.plus(silence_timeout));
        let deadline = connection.migrate_at.into_iter().chain(silence_deadline).min();
        self.connections.set_timer(id, deadline);
    }

    /// Migrates a connection that is due for migration or whose server's silence timeout has passed, or else
    /// sets the timer again.
    pub(super) fn on_established_timer(&mut self, now: Time, id: ConnectionId) {
        let Some(connection) = self.connections.get(id) else { return };
        let silence_timeout = self.pools[connection.pool.0].config.server_silence_timeout;
        let is_server_silent = silence_timeout > Micros::ZERO
            && connection.awaiting_server_since.is_some_and(|since| since.plus(silence_timeout) <= now);
        let is_migration_due = connection.migrate_at.is_some_and(|at| at <= now);
        if is_server_silent {
            self.migrate(now, id, Outcome::Reset);
        } else if is_migration_due {
            self.migrate(now, id, Outcome::Cancelled);
        } else {
            self.schedule_established_timer(now, id);
        }
    }

    /// Asks a client to reconnect, and closes both sides. The balancer counts `outcome` for the server.
    pub(super) fn migrate(&mut self, now: Time, id: ConnectionId, outcome: Outcome) {
        self.send_answer(now, id, Answer::Migrated);
        self.notify_interrupted(now, id);
        self.end_connection(now, id, outcome);
    }

    /// Schedules the migration of connections at equal intervals within `duration`, which starts after
    /// `delay`. If the migration of a connection is already scheduled for an earlier time, that time remains.
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
            self.connections.schedule_migration(id, migrate_at);
            self.schedule_established_timer(now, id);
        }
    }
}
