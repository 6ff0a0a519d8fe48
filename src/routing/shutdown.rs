//! Graceful shutdown: established connections are migrated one by one, new requests are rejected, and the
//! process exits.
//!
//! The window of time within which the process exits is in [`super::shutdown_state`]. Rule:
//!
//! - The latest exit is the longest time that a client waits for its answer, at most [`MAX_ANSWER_WAIT`],
//!   plus [`SHUTDOWN_MARGIN`] after the request for the shutdown. Requests in flight can so still be
//!   answered.
//! - The earliest exit is [`MIN_SHUTDOWN_DURATION`] after the request for the shutdown (or the latest exit,
//!   if that is earlier), once no connection is left. Until the clients learn of the shutdown, new ones
//!   arrive and need an answer. Where a successor of a hot restart serves, none arrive, and the process exits
//!   as soon as it is empty.
//! - Migrations are spread evenly from [`FIRST_MIGRATION_DELAY`] after the request until
//!   [`LAST_MIGRATION_MARGIN`] before the latest exit. A connection that is established meanwhile is migrated
//!   [`FIRST_MIGRATION_DELAY`] later. All at once they would overload the other balancers, of which one may
//!   be starting.
//! - New requests are rejected with a Retry-After ([`super::client`]). At the latest exit, whoever is left is
//!   migrated, rejected where a retry is harmless, or failed.

use super::client::SHUTDOWN_RETRY_AFTER;
use super::connection_table::Phase;
use super::shutdown_state::{ShutdownWindow, FIRST_MIGRATION_DELAY};
use super::{Answer, ConnectionId, Effect, LogEvent, State};
use crate::{Micros, Outcome, Time};

/// The longest wait of a client for its answer that a shutdown takes into account.
const MAX_ANSWER_WAIT: Micros = Micros::from_secs(3);
/// The time from the longest wait of a client to the latest exit. The platform kills the process a little
/// later.
const SHUTDOWN_MARGIN: Micros = Micros::from_millis(400);
/// The time from the last migration to the latest exit.
const LAST_MIGRATION_MARGIN: Micros = Micros::from_millis(300);
/// The least duration of a shutdown without a successor, even where no connection is open.
const MIN_SHUTDOWN_DURATION: Micros = Micros::from_secs(1);

impl State {
    /// Begins a graceful shutdown: schedules the migrations and the exit.
    pub(super) fn on_shutdown_requested(&mut self, now: Time) {
        if self.shutdown.has_begun() {
            return;
        }
        let answer_wait = self.pools.iter().map(|pool| pool.config.longest_wait).max().unwrap_or_default();
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

    /// At the time of the exit: answers all clients that are left, and requests the exit once. Clients that
    /// connect before the process has ended are rejected like those before them.
    pub(super) fn finish_shutdown_if_complete(&mut self, now: Time) {
        if !self.shutdown.is_exit_time(now, !self.connections.is_empty()) {
            return;
        }
        self.shutdown.finish();
        for id in self.connections.ids() {
            self.finish_connection(now, id);
        }
        self.effects.push(Effect::Exit);
    }

    /// Ends a connection that is open at the time of the exit.
    fn finish_connection(&mut self, now: Time, id: ConnectionId) {
        let answer = match self.connections.get(id).map(|connection| connection.phase) {
            Some(Phase::Handshaking) => {
                return self.effects.push(Effect::CheckHandshake { connection: id });
            }
            Some(Phase::Established) => Answer::Migrated,
            // The client may wait for longer than this process lives, and another balancer can still serve
            // it.
            Some(Phase::Connecting) if self.may_reject(id) => {
                self.reject_with_retry_after(id, SHUTDOWN_RETRY_AFTER)
            }
            _ => Answer::Failed,
        };
        self.send_answer(now, id, answer);
        self.end_connection(now, id, Outcome::Cancelled);
    }
}
