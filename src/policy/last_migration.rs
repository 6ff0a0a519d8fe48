//! Time at which a connection was last asked to migrate away from a server.
//!
//! The effect of a migration has to become visible before `migration` decides on the next one.

use crate::types::{Micros, Time};

/// Shortest time between two migrations from one server.
const MIGRATION_INTERVAL: Micros = Micros::from_millis(500);

/// Time at which a connection was last asked to migrate away from a server.
#[derive(Clone, Copy, Debug, Default)]
pub struct LastMigration(Option<Time>);

impl LastMigration {
    /// Restores the time that another process has recorded.
    pub fn new(at: Option<Time>) -> LastMigration {
        LastMigration(at)
    }

    /// Returns the time of the last migration; none if there was no migration.
    pub fn at(self) -> Option<Time> {
        self.0
    }

    /// Records that a connection is asked to migrate now.
    pub fn record(&mut self, now: Time) {
        self.0 = Some(now);
    }

    /// Returns whether enough time has passed for the effect of the last migration to become visible.
    pub fn allows_next(self, now: Time) -> bool {
        self.0.is_none_or(|at| now.since(at) >= MIGRATION_INTERVAL)
    }
}
