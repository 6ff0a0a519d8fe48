//! Graceful shutdown: clients are migrated one by one, late ones are rejected, and then the process exits.

use super::client::SHUTDOWN_RETRY_AFTER;
use super::connection_table::Phase;
use super::{Answer, ConnectionId, Effect, LogEvent, State};
use crate::{Micros, Outcome, Time};

/// A graceful shutdown takes as long as the longest wait of a client, at most this...
const MAX_SHUTDOWN_WAIT: Micros = Micros::from_secs(3);
/// ...and this on top, less than what the platform allows, so that the process exits in time.
const SHUTDOWN_MARGIN: Micros = Micros::from_millis(400);
/// Migrations begin after this time, and are spread over the rest of the shutdown: all at once, or sooner than they
/// must, the clients would come to other balancers while one of those may be starting.
const FIRST_MIGRATION_DELAY: Micros = Micros::from_millis(50);
/// The last migration is this long before the end.
const LAST_MIGRATION_MARGIN: Micros = Micros::from_millis(300);
/// The process stays this long without any connection: new ones arrive until the front notices the shutdown.
const MIN_SHUTDOWN_DURATION: Micros = Micros::from_secs(1);

/// When the process may exit.
#[derive(Clone, Copy, Debug)]
struct ShutdownWindow {
    /// From then on, if no connection is open.
    earliest_exit: Time,
    /// Then at the latest.
    latest_exit: Time,
}

/// The progress of a graceful shutdown.
#[derive(Default)]
pub(super) struct Shutdown {
    /// Set once it has begun.
    window: Option<ShutdownWindow>,
    /// Whether the exit was ordered.
    finished: bool,
}

impl Shutdown {
    pub(super) fn has_begun(&self) -> bool {
        self.window.is_some()
    }

    /// When the shutdown may be finished, as far as time decides that.
    pub(super) fn next_due(&self, no_connections: bool) -> Option<Time> {
        let window = self.window.filter(|_| !self.finished)?;
        Some(if no_connections { window.earliest_exit } else { window.latest_exit })
    }

    /// When a connection that is established now has to migrate.
    pub(super) fn migration_time(&self, now: Time) -> Option<Time> {
        self.window.map(|window| window.latest_exit.min(now.plus(FIRST_MIGRATION_DELAY)))
    }

    fn is_due(&self, now: Time, no_connections: bool) -> bool {
        self.next_due(no_connections).is_some_and(|due| now >= due)
    }
}

impl State {
    pub(super) fn on_shutdown_requested(&mut self, now: Time) {
        if self.shutdown.has_begun() {
            return;
        }
        let longest_wait = self.pools.iter().map(|pool| pool.config.longest_wait).max().unwrap_or_default();
        let duration = longest_wait.min(MAX_SHUTDOWN_WAIT) + SHUTDOWN_MARGIN;
        // Where a successor serves, no new clients arrive here.
        let successor_serves = self.hot_restart.successor_serves();
        let min_duration = if successor_serves { Micros::ZERO } else { MIN_SHUTDOWN_DURATION.min(duration) };
        self.shutdown.window =
            Some(ShutdownWindow { earliest_exit: now.plus(min_duration), latest_exit: now.plus(duration) });
        let established = self.connections.established_ids();
        let migration_duration = duration.saturating_sub(FIRST_MIGRATION_DELAY + LAST_MIGRATION_MARGIN);
        self.migrate_gradually(now, &established, FIRST_MIGRATION_DELAY, migration_duration);
        let connections = self.connections.len();
        self.effects.push(Effect::Log(LogEvent::ShutdownStarted { connections }));
    }

    /// Answers all clients that are left and orders the exit, once it is time for that.
    pub(super) fn finish_shutdown_if_due(&mut self, now: Time) {
        if !self.shutdown.is_due(now, self.connections.is_empty()) {
            return;
        }
        // Done once only: clients that connect before the process is gone are rejected like the earlier ones.
        self.shutdown.finished = true;
        for id in self.connections.ids() {
            self.finish_connection(now, id);
        }
        self.effects.push(Effect::Exit);
    }

    fn finish_connection(&mut self, now: Time, id: ConnectionId) {
        let answer = match self.connections.get(id).map(|connection| connection.phase) {
            Some(Phase::Handshaking) => {
                return self.effects.push(Effect::CheckHandshake { connection: id });
            }
            Some(Phase::Established) => Answer::Migrated,
            // Its client may wait for longer than this process lives: elsewhere it can still be served.
            Some(Phase::Connecting) if self.may_reject(id) => {
                self.reject_with_retry_after(id, SHUTDOWN_RETRY_AFTER)
            }
            _ => Answer::Failed,
        };
        self.send_answer(now, id, answer);
        self.end_connection(now, id, Outcome::Cancelled);
    }
}
