//! The progress of a graceful shutdown, and the window of time within which the process exits.

use crate::{Micros, Time};

/// Time from the request for a shutdown to the start of the migrations. Also the time after which a
/// connection that is established during the shutdown is migrated.
pub(super) const FIRST_MIGRATION_DELAY: Micros = Micros::from_millis(50);

/// The window of time within which the process exits.
#[derive(Clone, Copy, Debug)]
pub(super) struct ShutdownWindow {
    /// Time from which the process exits once no connection is open.
    pub(super) earliest_exit: Time,
    /// Time at which the process exits even if connections are open.
    pub(super) latest_exit: Time,
}

/// The progress of a graceful shutdown.
#[derive(Default)]
pub(super) struct ShutdownState {
    /// `None` until the shutdown begins.
    window: Option<ShutdownWindow>,
    /// Whether the reducer has returned [`super::Effect::Exit`].
    is_exit_requested: bool,
}

impl ShutdownState {
    /// Records that the shutdown has begun, and when the process may exit.
    pub(super) fn begin(&mut self, window: ShutdownWindow) {
        self.window = Some(window);
    }

    /// Records that the exit is requested, so that it is not requested again.
    pub(super) fn record_exit_requested(&mut self) {
        self.is_exit_requested = true;
    }

    pub(super) fn has_begun(&self) -> bool {
        self.window.is_some()
    }

    /// Returns the time at which the process exits, by whether connections are open now. Returns `None`
    /// before a shutdown and after the exit was requested.
    pub(super) fn exit_time(&self, has_connections: bool) -> Option<Time> {
        let window = self.window.filter(|_| !self.is_exit_requested)?;
        Some(if has_connections { window.latest_exit } else { window.earliest_exit })
    }

    /// Returns the time at which a connection that is established now has to be migrated, if a shutdown has
    /// begun.
    pub(super) fn migration_time(&self, now: Time) -> Option<Time> {
        self.window.map(|window| window.latest_exit.min(now.plus(FIRST_MIGRATION_DELAY)))
    }

    pub(super) fn is_exit_time(&self, now: Time, has_connections: bool) -> bool {
        self.exit_time(has_connections).is_some_and(|exit_at| exit_at <= now)
    }
}
