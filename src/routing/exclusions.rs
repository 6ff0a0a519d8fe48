//! Exclusions: servers that an operator takes out of use, and readmits later.
//!
//! An excluded server receives no new connections and its clients are migrated
//! ([`super::endpoint_updates`]), regardless of its state in the endpoint list. Exclusions are stored
//!
//! - in the replicated map, if there is one, so that one call takes effect at all nodes;
//! - otherwise in [`super::operator_exclusions`], which is persisted in a file and shared with the peer
//!   process of a hot restart.
//!
//! An exclusion in the replicated map is logged as a new entry of the map; any other exclusion has a log line
//! of its own. The peer process acknowledges a shared exclusion even if it failed to apply it, and the
//! failure is not reported.
//!
//! An operator may name any server that was ever listed, so that a server can be excluded while it is not
//! listed. Other names are rejected, because most of them would be misspellings.
//!
//! [`super::pool_exclusions`] owns the exclusions in effect at one pool.

use std::collections::BTreeSet;

use super::store::WriteError;
use super::{Effect, LogEvent, State};
use crate::Time;

/// Prefix of the replicated map's keys that exclude a server. The server's name follows.
pub(super) const EXCLUSION_KEY_PREFIX: &str = "life/";
/// Value of an operator's exclusion in the replicated map. The server drains.
const EXCLUSION_VALUE_DRAINING: &str = "draining";

/// Returns the key of the replicated map that excludes a server.
pub(super) fn exclusion_key(server: &str) -> String {
    format!("{EXCLUSION_KEY_PREFIX}{server}")
}

impl State {
    /// Returns the names of all excluded servers: those excluded at this process and those in the replicated
    /// map.
    pub(super) fn excluded_servers(&self) -> BTreeSet<String> {
        let mut excluded = self.exclusions.excluded().clone();
        let replicated = self.replication.map().with_prefix(EXCLUSION_KEY_PREFIX);
        excluded.extend(replicated.map(|(name, _)| name.to_owned()));
        excluded
    }

    /// Returns whether an operator may exclude or readmit a server of this name.
    pub(super) fn is_known_server(&self, server: &str) -> bool {
        self.exclusions.was_ever_listed(server)
            || self.pools.iter().any(|pool| pool.exclusions.contains(server))
    }

    /// Excludes or readmits a server.
    ///
    /// # Errors
    ///
    /// The replicated map is in use and rejects the entry.
    pub(super) fn set_exclusion(
        &mut self,
        now: Time,
        server: &str,
        excluded: bool,
    ) -> Result<(), WriteError> {
        if self.replication.is_enabled() {
            return self.write_exclusion(now, server, excluded);
        }
        if self.exclusions.set_excluded(server, excluded) {
            let server = server.to_owned();
            self.effects.push(Effect::Log(match excluded {
                true => LogEvent::ServerExcluded { server },
                false => LogEvent::ServerReadmitted { server },
            }));
            self.persist_exclusions();
            self.refresh_all_endpoints(now);
        }
        Ok(())
    }

    /// Writes an exclusion or readmission to the replicated map, unless the map already contains it.
    fn write_exclusion(&mut self, now: Time, server: &str, excluded: bool) -> Result<(), WriteError> {
        let key = exclusion_key(server);
        let is_excluded = self.replication.map().get(&key).is_some();
        if is_excluded == excluded {
            return Ok(());
        }
        self.write_entry(now, &key, excluded.then_some(EXCLUSION_VALUE_DRAINING))
    }

    /// Requests that the exclusions of this process are stored on disk.
    pub(super) fn persist_exclusions(&mut self) {
        self.effects.push(Effect::PersistExclusions(self.exclusions.excluded_names()));
    }

    /// Applies an exclusion or readmission that an operator made at the peer process.
    pub(super) fn on_exclusion_shared(&mut self, now: Time, server: &str, excluded: bool) {
        // The error is dropped: the peer process replies to the operator, and reports a full map only if its
        // own map is full.
        let _ = self.set_exclusion(now, server, excluded);
    }
}
