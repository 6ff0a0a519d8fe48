//! Exclusions: servers that an operator takes out of use, and readmits later.
//!
//! An excluded server gets no new connections and its clients are migrated ([`super::endpoint_updates`]), whatever the
//! endpoint list says of it. Where the exclusions are kept:
//!
//! - with a replicated map, in the map, so that one call holds at all nodes;
//! - without one, in [`OperatorExclusions`], which is persisted in a file and shared with the peer process of a hot
//!   restart.
//!
//! An operator may name any server that was ever listed, so that one can be excluded while it is not listed, but not an
//! arbitrary name, which would mostly be a misspelling.
//!
//! [`PoolExclusions`] owns the exclusions in effect at one pool, and the servers that were readmitted within the last
//! slow start. A readmitted server counts as started at its readmission. It has mostly restarted, which the endpoint
//! list may not show yet, and must then be filled no faster than any server that is warming up.

use std::collections::{BTreeMap, BTreeSet};

use super::store::WriteError;
use super::{Effect, Endpoint, LogEvent, Readmission, State};
use crate::{Micros, Time};

/// Prefix of the replicated map's keys that exclude a server. The server's name follows.
pub(super) const EXCLUSION_KEY_PREFIX: &str = "life/";
/// The value of an operator's exclusion in the replicated map: the server drains.
const EXCLUSION_VALUE_DRAINING: &str = "draining";
/// The number of server names that are remembered. Servers may come and go under ever new names.
const MAX_SERVER_NAMES: usize = 20_000;

/// The key that excludes a server in the replicated map.
pub(super) fn exclusion_key(server: &str) -> String {
    format!("{EXCLUSION_KEY_PREFIX}{server}")
}

/// The servers that an operator excluded without a replicated map, and the names that an operator may use.
#[derive(Default)]
pub(super) struct OperatorExclusions {
    excluded: BTreeSet<String>,
    /// Names of all servers that were ever listed.
    ever_listed: BTreeSet<String>,
}

impl OperatorExclusions {
    /// Names of the excluded servers, sorted.
    pub(super) fn names(&self) -> Vec<String> {
        self.excluded.iter().cloned().collect()
    }

    pub(super) fn names_ever_listed(&self) -> Vec<String> {
        self.ever_listed.iter().cloned().collect()
    }

    /// Adds the exclusions and names of an earlier process.
    pub(super) fn import(&mut self, excluded: Vec<String>, ever_listed: Vec<String>) {
        self.excluded.extend(excluded);
        self.ever_listed.extend(ever_listed);
    }

    /// Records that servers of these names are listed.
    pub(super) fn record_listed<'a>(&mut self, names: impl Iterator<Item = &'a String>) {
        if self.ever_listed.len() > MAX_SERVER_NAMES {
            self.ever_listed.clear();
        }
        self.ever_listed.extend(names.cloned());
    }

    fn was_ever_listed(&self, server: &str) -> bool {
        self.ever_listed.contains(server)
    }

    /// Excludes or readmits a server. Returns whether that is a change.
    fn set(&mut self, server: &str, excluded: bool) -> bool {
        if excluded {
            self.excluded.insert(server.to_owned())
        } else {
            self.excluded.remove(server)
        }
    }
}

/// The exclusions in effect at one pool.
#[derive(Default)]
pub(super) struct PoolExclusions {
    excluded: BTreeSet<String>,
    /// When each server was readmitted that still counts as warming up for its readmission.
    readmitted: BTreeMap<String, Time>,
}

impl PoolExclusions {
    pub(super) fn contains(&self, server: &str) -> bool {
        self.excluded.contains(server)
    }

    pub(super) fn excluded(&self) -> impl Iterator<Item = &String> {
        self.excluded.iter()
    }

    pub(super) fn readmitted(&self) -> Vec<Readmission> {
        self.readmitted.iter().map(|(name, &at)| Readmission { server: name.clone(), at }).collect()
    }

    /// Adds the readmissions of an earlier process.
    pub(super) fn import_readmitted(&mut self, readmitted: &[Readmission]) {
        let added = readmitted.iter().cloned();
        self.readmitted.extend(added.map(|Readmission { server, at }| (server, at)));
    }

    /// Replaces the exclusions. Servers that are not excluded any more are readmitted now.
    pub(super) fn replace(&mut self, now: Time, excluded: BTreeSet<String>, slow_start_duration: Micros) {
        self.readmitted.extend(self.excluded.difference(&excluded).map(|name| (name.clone(), now)));
        self.readmitted.retain(|name, at| now.since(*at) < slow_start_duration && !excluded.contains(name));
        self.excluded = excluded;
    }

    /// Has readmitted servers count as started when they were readmitted, unless they have started since.
    pub(super) fn apply_readmissions(&self, endpoints: &mut BTreeMap<String, Endpoint>) {
        for (name, &at) in &self.readmitted {
            if let Some(endpoint) = endpoints.get_mut(name) {
                endpoint.started = endpoint.started.max(Some(at));
            }
        }
    }
}

impl State {
    /// The names of all excluded servers: those of this process and those in the replicated map.
    pub(super) fn excluded_servers(&self) -> BTreeSet<String> {
        let mut excluded = self.exclusions.excluded.clone();
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
