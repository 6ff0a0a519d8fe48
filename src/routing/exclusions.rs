//! Servers that an operator excluded: the names that count, and what an exclusion means for each pool.

use std::collections::{BTreeMap, BTreeSet};

use super::{Effect, Endpoint, LogEvent, State};
use crate::{Micros, Time};

/// Keys of the replicated map that exclude a server: the server's name follows.
pub(super) const EXCLUSION_KEY_PREFIX: &str = "life/";
/// The value with which an operator's exclusion is written: the server gets no new connections.
const EXCLUSION_VALUE_DRAINING: &str = "draining";
/// Names kept of servers that were ever listed: where servers come and go under ever new names, all of them would
/// fill the memory.
const MAX_SERVER_NAMES: usize = 20_000;

/// The key that excludes a server in the replicated map.
pub(super) fn exclusion_key(server: &str) -> String {
    format!("{EXCLUSION_KEY_PREFIX}{server}")
}

/// The servers that an operator excluded where no replicated map holds that, and the names that an operator may use.
#[derive(Default)]
pub(super) struct OperatorExclusions {
    excluded: BTreeSet<String>,
    /// Names of all servers that were ever listed.
    ever_listed: BTreeSet<String>,
}

impl OperatorExclusions {
    pub(super) fn names(&self) -> Vec<String> {
        self.excluded.iter().cloned().collect()
    }

    pub(super) fn names_ever_listed(&self) -> Vec<String> {
        self.ever_listed.iter().cloned().collect()
    }

    /// Adds what an earlier process knew.
    pub(super) fn import(&mut self, excluded: Vec<String>, ever_listed: Vec<String>) {
        self.excluded.extend(excluded);
        self.ever_listed.extend(ever_listed);
    }

    pub(super) fn note_listed<'a>(&mut self, names: impl Iterator<Item = &'a String>) {
        if self.ever_listed.len() > MAX_SERVER_NAMES {
            self.ever_listed.clear();
        }
        self.ever_listed.extend(names.cloned());
    }

    fn was_ever_listed(&self, server: &str) -> bool {
        self.ever_listed.contains(server)
    }

    /// Returns whether that is a change.
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
    /// Servers that were excluded, and when they were readmitted, as long as they count as warming up for that.
    readmitted: BTreeMap<String, Time>,
}

impl PoolExclusions {
    pub(super) fn contains(&self, server: &str) -> bool {
        self.excluded.contains(server)
    }

    pub(super) fn excluded(&self) -> impl Iterator<Item = &String> {
        self.excluded.iter()
    }

    pub(super) fn readmitted(&self) -> Vec<(String, Time)> {
        self.readmitted.iter().map(|(name, &at)| (name.clone(), at)).collect()
    }

    pub(super) fn import_readmitted(&mut self, readmitted: &[(String, Time)]) {
        self.readmitted.extend(readmitted.iter().cloned());
    }

    /// Puts these exclusions in place of the old ones; servers that are not excluded any more are readmitted now.
    pub(super) fn replace(&mut self, now: Time, excluded: BTreeSet<String>, slow_start_duration: Micros) {
        self.readmitted.extend(self.excluded.difference(&excluded).map(|name| (name.clone(), now)));
        self.readmitted.retain(|name, at| now.since(*at) < slow_start_duration && !excluded.contains(name));
        self.excluded = excluded;
    }

    /// Has readmitted servers warm up. A server that was excluded has mostly restarted, which the list may not show
    /// yet: what was learned of it before is of no use, and it must not be filled faster than a cold one.
    pub(super) fn apply_readmissions(&self, endpoints: &mut BTreeMap<String, Endpoint>) {
        for (name, &at) in &self.readmitted {
            if let Some(endpoint) = endpoints.get_mut(name) {
                endpoint.started = endpoint.started.max(Some(at));
            }
        }
    }
}

impl State {
    /// The names of all servers that are excluded, by the operator at this process or in the replicated map.
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

    /// Excludes or readmits a server; false if the replicated map has no room for that.
    pub(super) fn set_exclusion(&mut self, now: Time, server: &str, excluded: bool) -> bool {
        if self.replication.is_on() {
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
        true
    }

    fn write_exclusion(&mut self, now: Time, server: &str, excluded: bool) -> bool {
        let key = exclusion_key(server);
        let is_excluded = self.replication.map().get(&key).is_some();
        is_excluded == excluded || self.write_entry(now, &key, excluded.then_some(EXCLUSION_VALUE_DRAINING))
    }

    pub(super) fn persist_exclusions(&mut self) {
        self.effects.push(Effect::PersistExclusions(self.exclusions.names()));
    }

    /// An operator excluded or readmitted a server at the peer process.
    pub(super) fn on_exclusion_shared(&mut self, now: Time, server: &str, excluded: bool) {
        // The operator is answered by the peer process: there is nobody here to report a full map to.
        let _ = self.set_exclusion(now, server, excluded);
    }
}
