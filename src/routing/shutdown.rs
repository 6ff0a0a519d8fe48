//! Graceful shutdown: established connections are migrated one by one, new requests are rejected, and the
//! process exits.
//!
//! The window of time within which the process exits is in [`super::shutdown_state`]. Rule:
//!
//! - Latest exit = time of the request for the shutdown + min(longest time that a client waits for its
//!   answer, [`MAX_ANSWER_WAIT`]) + [`SHUTDOWN_MARGIN`]. Until then, requests in flight can still be
//!   answered.
//! - The earliest exit is [`MIN_SHUTDOWN_DURATION`] after the request for the shutdown, or the latest exit if
//!   that is earlier. From then on, the process exits as soon as no connection is open. It does not exit
//!   earlier, because new clients arrive until they learn of the shutdown, and they need an answer. While a
//!   successor of a hot restart serves, no new clients arrive, so the process exits as soon as no connection
//!   is open.
//! - Migrations are spread evenly from [`FIRST_MIGRATION_DELAY`] after the request until
//!   [`LAST_MIGRATION_MARGIN`] before the latest exit. A connection that is established during the shutdown
//!   is migrated [`FIRST_MIGRATION_DELAY`] later. Migrating all connections at once would overload the other
//!   balancers, one of which may just be starting.
//! - New requests are rejected with a Retry-After ([`super::client`]). At the latest exit, established
//!   connections are migrated. Requests that are not answered yet are rejected if a retry is harmless, and
//!   failed otherwise.

use super::client::SHUTDOWN_RETRY_AFTER;
use super::connection_table::Phase;
use super::shutdown_state::{ShutdownWindow, FIRST_MIGRATION_DELAY};
use super::{Answer, ConnectionId, Effect, LogEvent, State};
use crate::{Micros, Outcome, Time};

/// Limit of the time for which a shutdown waits for clients to get their answers.
const MAX_ANSWER_WAIT: Micros = Micros::from_secs(3);
/// Time that is added to the longest wait of a client to get the latest exit. The platform kills the process
/// shortly after that.
const SHUTDOWN_MARGIN: Micros = Micros::from_millis(400);
/// Time between the last scheduled migration and the latest exit.
const LAST_MIGRATION_MARGIN: Micros = Micros::from_millis(300);
/// The shortest duration of a shutdown without a successor, even if no connection is open.
const MIN_SHUTDOWN_DURATION: Micros = Micros::from_secs(1);

impl State {
    /// Begins a graceful shutdown: schedules the migrations and the exit.
    pub(super) fn on_shutdown_requested(&mut self, now: Time) {
        if self.shutdown.has_begun() {
            return;
        }
        let answer_wait = self.pools.iter().map(|pool| pool.config.max_client_wait).max().unwrap_or_default();
        let duration = answer_wait.min(MAX_ANSWER_WAIT) + SHUTDOWN_MARGIN;
        let successor_serves = self.hot_restart.successor_serves();
        let min_duration = if successor_serves { Micros::ZERO } else { MIN_SHUTDOWN_DURATION.min(duration) };
        self.shutdown
            .begin(ShutdownWindow { earliest_exit: now.plus(min_duration), latest_exit: now.plus(duration) });
        let established = self.connections.established_ids();
        let migration_duration = duration.saturating_sub(FIRST_MIGRATION_DELAY + LAST_MIGRATION_MARGIN);
        self.migrate_gradually(now, &established, FIRST_MIGRATION_DELAY, migration_duration);
        let connections = self.connections.len();
        self.effects.push(Effect::Log(LogEvent::ShutdownStarted { connections }));
    }

    /// Answers all remaining clients and requests the exit, once the time of the exit is reached. Clients
    /// that connect after that, until the process ends, are rejected as before.
    pub(super) fn finish_shutdown_if_complete(&mut self, now: Time) {
        if !self.shutdown.is_exit_time(now, !self.connections.is_empty()) {
            return;
        }
        self.shutdown.record_exit_requested();
        for id in self.connections.ids() {
            self.finish_connection(now, id);
        }
        self.effects.push(Effect::Exit);
    }

    /// Ends a connection that is open at the time of the exit.
    fn finish_connection(&mut self, now: Time, id: ConnectionId) {
        let answer = match self.connections.get(id).map(|connection| connection.phase) {
            Some(Phase::AwaitingRequest) => {
                return self.effects.push(Effect::CheckRequestArrival { connection: id });
            }
            Some(Phase::Established) => Answer::Migrated,
            // The client may still wait for its answer after this process has exited, and another balancer
            // can still serve it.
            Some(Phase::Connecting) if self.may_reject(id) => {
                self.rejection_with_retry_after(id, SHUTDOWN_RETRY_AFTER)
            }
            _ => Answer::Failed,
        };
        self.send_answer(now, id, answer);
        self.end_connection(now, id, Outcome::Cancelled);
    }
}
