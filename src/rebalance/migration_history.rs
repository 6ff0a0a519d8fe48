//! Servers that clients were recently migrated away from, or were expected to reconnect to.
//!
//! **Rule:** a server counts as being relieved for [`RELIEF_DURATION`] from the first migration away from it.
//! During this time the lower thresholds of `pressure.rs` apply to the server. The server with the most spare
//! capacity at a migration is the expected destination, and counts as recently filled for
//! [`RELIEF_DURATION`]. Clients are not migrated away from a recently filled server unless its pressure is
//! measured.

use std::collections::BTreeMap;

use crate::{Micros, ServerId, Time};

/// Time for which a server counts as being relieved, or as recently filled.
const RELIEF_DURATION: Micros = Micros::from_secs(10);

/// Servers that are being relieved, and servers that were recently filled.
#[derive(Debug, Default)]
pub(super) struct MigrationHistory {
    /// Time of the first migration away from each server that is being relieved.
    relieved_since: BTreeMap<ServerId, Time>,
    /// Time of the last migration for which the server was the expected destination.
    filled_at: BTreeMap<ServerId, Time>,
}

impl MigrationHistory {
    pub(super) fn on_relieved(&mut self, now: Time, server: ServerId) {
        self.relieved_since.entry(server).or_insert(now);
    }

    pub(super) fn on_filled(&mut self, now: Time, server: ServerId) {
        self.filled_at.insert(server, now);
    }

    pub(super) fn expire(&mut self, now: Time) {
        self.relieved_since.retain(|_, since| now.since(*since) < RELIEF_DURATION);
        self.filled_at.retain(|_, at| now.since(*at) < RELIEF_DURATION);
    }

    pub(super) fn is_being_relieved(&self, server: ServerId) -> bool {
        self.relieved_since.contains_key(&server)
    }

    pub(super) fn was_recently_filled(&self, server: ServerId) -> bool {
        self.filled_at.contains_key(&server)
    }
}
