//! The exclusions of an operator where there is no replicated map, and the names that an operator may use.
//!
//! Any server that was ever listed may be named, so that one can be excluded while it is not listed. The
//! number of remembered names is bounded.

use std::collections::BTreeSet;

/// The largest number of server names that are remembered. Servers may come and go under ever new names.
/// Beyond it all are forgotten; listed ones return with the next update of their pool's list.
const MAX_SERVER_NAMES: usize = 20_000;

/// The servers that an operator excluded without a replicated map, and the names that an operator may use.
#[derive(Default)]
pub(super) struct OperatorExclusions {
    excluded: BTreeSet<String>,
    /// Names of all servers that were ever listed.
    ever_listed: BTreeSet<String>,
}

impl OperatorExclusions {
    pub(super) fn excluded(&self) -> &BTreeSet<String> {
        &self.excluded
    }

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

    pub(super) fn was_ever_listed(&self, server: &str) -> bool {
        self.ever_listed.contains(server)
    }

    /// Excludes or readmits a server. Returns whether that is a change.
    pub(super) fn set(&mut self, server: &str, excluded: bool) -> bool {
        if excluded {
            self.excluded.insert(server.to_owned())
        } else {
            self.excluded.remove(server)
        }
    }
}
