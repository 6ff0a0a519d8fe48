//! When a connection was last asked to migrate away from a server.
//!
//! The effect of a migration has to show before the next one is decided, in `migration`.

use crate::types::{Micros, Time};

/// The shortest time between two migrations from one server.
const MIGRATION_INTERVAL: Micros = Micros::from_millis(500);

/// When a connection was last asked to migrate away from a server.
#[derive(Clone, Copy, Debug, Default)]
pub struct LastMigration(Option<Time>);

impl LastMigration {
    /// What another process has learned.
    pub fn new(at: Option<Time>) -> LastMigration {
        LastMigration(at)
    }

    /// When it was, if there was any.
    pub fn at(self) -> Option<Time> {
        self.0
    }

    /// A connection is asked to migrate.
    pub fn record(&mut self, now: Time) {
        self.0 = Some(now);
    }

    /// Whether the effect of the last migration has had time to show.
    pub fn allows_next(self, now: Time) -> bool {
        self.0.is_none_or(|at| now.since(at) >= MIGRATION_INTERVAL)
    }
}
