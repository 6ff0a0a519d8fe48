//! The progress of a graceful shutdown, and the window of time within which the process exits.

use crate::{Micros, Time};

/// The time from the request for a shutdown to the first migration.
pub(super) const FIRST_MIGRATION_DELAY: Micros = Micros::from_millis(50);

/// When the process may exit.
#[derive(Clone, Copy, Debug)]
pub(super) struct ShutdownWindow {
    /// From this time on the process exits if no connection is open.
    pub(super) earliest_exit: Time,
    /// At this time the process exits in any case.
    pub(super) latest_exit: Time,
}

/// The progress of a graceful shutdown.
#[derive(Default)]
pub(super) struct ShutdownState {
    /// Set once it has begun.
    window: Option<ShutdownWindow>,
    /// Whether the exit was ordered.
    is_finished: bool,
}

impl ShutdownState {
    /// Begins the shutdown.
    pub(super) fn begin(&mut self, window: ShutdownWindow) {
        self.window = Some(window);
    }

    /// Records that the exit was ordered.
    pub(super) fn finish(&mut self) {
        self.is_finished = true;
    }

    pub(super) fn has_begun(&self) -> bool {
        self.window.is_some()
    }

    /// When the process exits if no connection is opened or closed until then.
    pub(super) fn next_exit(&self, has_connections: bool) -> Option<Time> {
        let window = self.window.filter(|_| !self.is_finished)?;
        Some(if has_connections { window.latest_exit } else { window.earliest_exit })
    }

    /// When a connection that is established now has to migrate, if a shutdown has begun.
    pub(super) fn migration_time(&self, now: Time) -> Option<Time> {
        self.window.map(|window| window.latest_exit.min(now.plus(FIRST_MIGRATION_DELAY)))
    }

    pub(super) fn is_exit_time(&self, now: Time, has_connections: bool) -> bool {
        self.next_exit(has_connections).is_some_and(|exit_at| exit_at <= now)
    }
}
