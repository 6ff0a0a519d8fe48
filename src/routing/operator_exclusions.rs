//! Exclusions made by operators without a replicated map, and the server names that an operator may use.
//!
//! An operator may name any server that was ever listed, so that a server can be excluded while it is not
//! listed. The number of remembered names is bounded.

use std::collections::BTreeSet;

/// Number of remembered server names above which all names are discarded. The bound is needed because
/// replaced servers may have new names each time. Names of listed servers are recorded again with the next
/// update of their pool's list.
const MAX_SERVER_NAMES: usize = 20_000;

/// Servers that operators excluded without a replicated map, and the names that an operator may use.
#[derive(Default)]
pub(super) struct OperatorExclusions {
    excluded: BTreeSet<String>,
    /// Names of servers that were ever listed, unless discarded at [`MAX_SERVER_NAMES`].
    ever_listed: BTreeSet<String>,
}

impl OperatorExclusions {
    pub(super) fn excluded(&self) -> &BTreeSet<String> {
        &self.excluded
    }

    /// Returns the names of the excluded servers in ascending order.
    pub(super) fn excluded_names(&self) -> Vec<String> {
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

    /// Records the names of listed servers.
    pub(super) fn record_listed<'a>(&mut self, names: impl Iterator<Item = &'a String>) {
        if self.ever_listed.len() > MAX_SERVER_NAMES {
            self.ever_listed.clear();
        }
        self.ever_listed.extend(names.cloned());
    }

    pub(super) fn was_ever_listed(&self, server: &str) -> bool {
        self.ever_listed.contains(server)
    }

    /// Excludes or readmits a server. Returns false if the server was already in that state.
    pub(super) fn set_excluded(&mut self, server: &str, excluded: bool) -> bool {
        if excluded {
            self.excluded.insert(server.to_owned())
        } else {
            self.excluded.remove(server)
        }
    }
}
