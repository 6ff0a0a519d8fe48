//! Exclusions: servers that an operator takes out of use, and readmits later.
//!
//! An excluded server gets no new connections and its clients are migrated ([`super::endpoint_updates`]),
//! whatever the endpoint list says of it. Where the exclusions are stored:
//!
//! - with a replicated map, in the map, so that one call holds at all nodes;
//! - without one, in [`super::operator_exclusions`], which is persisted in a file and shared with the peer
//!   process of a hot restart.
//!
//! With a map an exclusion is logged as an entry of the map, without one by its own line. A failure at the
//! peer process is not reported: its acknowledgement follows in any case. An operator may name any server
//! that was ever listed, so that one can be excluded while it is not listed, but not an arbitrary name, which
//! would mostly be a misspelling.
//!
//! [`super::pool_exclusions`] owns the exclusions in effect at one pool.

use std::collections::BTreeSet;

use super::store::WriteError;
use super::{Effect, LogEvent, State};
use crate::Time;

/// Prefix of the replicated map's keys that exclude a server. The server's name follows.
pub(super) const EXCLUSION_KEY_PREFIX: &str = "life/";
/// The value of an operator's exclusion in the replicated map: the server drains.
const EXCLUSION_VALUE_DRAINING: &str = "draining";

/// The key that excludes a server in the replicated map.
pub(super) fn exclusion_key(server: &str) -> String {
    format!("{EXCLUSION_KEY_PREFIX}{server}")
}

impl State {
    /// The names of all excluded servers: those of this process and those in the replicated map.
    pub(super) fn excluded_servers(&self) -> BTreeSet<String> {
        let mut excluded = self.exclusions.excluded().clone();
        let replicated = self.replication.map().with_prefix(EXCLUSION_KEY_PREFIX);
        excluded.extend(replicated.map(|(name, _)| name.to_owned()));
        excluded
    }

    /// Whether an operator may exclude or readmit a server of this name.
    pub(super) fn is_known_server(&self, server: &str) -> bool {
        self.exclusions.was_ever_listed(server)
            || self.pools.iter().any(|pool| pool.exclusions.contains(server))
    }

    /// Excludes or readmits a server.
    ///
    /// # Errors
    ///
    /// The replicated map cannot take the entry.
    pub(super) fn set_exclusion(
        &mut self,
        now: Time,
        server: &str,
        excluded: bool,
    ) -> Result<(), WriteError> {
        if self.replication.is_enabled() {
            return self.write_exclusion(now, server, excluded);
        }
        if self.exclusions.set(server, excluded) {
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

    /// Writes an exclusion or readmission to the replicated map, if it is a change.
    fn write_exclusion(&mut self, now: Time, server: &str, excluded: bool) -> Result<(), WriteError> {
        let key = exclusion_key(server);
        let is_excluded = self.replication.map().get(&key).is_some();
        if is_excluded == excluded {
            return Ok(());
        }
        self.write_entry(now, &key, excluded.then_some(EXCLUSION_VALUE_DRAINING))
    }

    /// Has the exclusions of this process stored on disk.
    pub(super) fn persist_exclusions(&mut self) {
        self.effects.push(Effect::PersistExclusions(self.exclusions.names()));
    }

    /// Applies an exclusion or readmission that an operator made at the peer process.
    pub(super) fn on_exclusion_shared(&mut self, now: Time, server: &str, excluded: bool) {
        // The peer process replies to the operator, and reports a full map if its own is full.
        let _ = self.set_exclusion(now, server, excluded);
    }
}
