//! Servers that clients were recently migrated away from, or to which they were expected to go.
//!
//! **Rule:** a server is being relieved for [`MEMORY`] from the first migration away from it; the lower thresholds of
//! `pressure.rs` apply to it meanwhile. A server was recently filled for [`MEMORY`] after migrations that were meant for
//! it, as the one with the most spare capacity; clients are not migrated away from it unless its pressure is measured.

use std::collections::BTreeMap;

use crate::{Micros, ServerId, Time};

/// Time for which a server is remembered.
const MEMORY: Micros = Micros::from_secs(10);

/// The remembered servers.
#[derive(Debug, Default)]
pub(super) struct MigrationHistory {
    relieved_since: BTreeMap<ServerId, Time>,
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
        self.relieved_since.retain(|_, since| now.since(*since) < MEMORY);
        self.filled_at.retain(|_, at| now.since(*at) < MEMORY);
    }

    pub(super) fn is_being_relieved(&self, server: ServerId) -> bool {
        self.relieved_since.contains_key(&server)
    }

    pub(super) fn was_recently_filled(&self, server: ServerId) -> bool {
        self.filled_at.contains_key(&server)
    }
}
