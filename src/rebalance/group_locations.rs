//! Servers at which the connections of each group are established.

use std::collections::BTreeMap;

use crate::ServerId;

/// Number of connections of each group at each server. Groups and servers without such connections are not
/// stored.
#[derive(Debug, Default)]
pub(super) struct GroupLocations {
    counts_by_group: BTreeMap<u64, BTreeMap<ServerId, usize>>,
}

impl GroupLocations {
    pub(super) fn add_member(&mut self, group: u64, server: ServerId) {
        *self.counts_by_group.entry(group).or_default().entry(server).or_default() += 1;
    }

    pub(super) fn remove_member(&mut self, group: u64, server: ServerId) {
        let Some(servers) = self.counts_by_group.get_mut(&group) else { return };
        if let Some(count) = servers.get_mut(&server) {
            *count -= 1;
        }
        servers.retain(|_, count| *count > 0);
        if servers.is_empty() {
            self.counts_by_group.remove(&group);
        }
    }

    /// Returns the number of the group's connections at servers other than `server`.
    pub(super) fn members_elsewhere(&self, group: u64, server: ServerId) -> usize {
        let servers = self.counts_by_group.get(&group).into_iter().flatten();
        servers.filter(|(other, _)| **other != server).map(|(_, count)| count).sum()
    }
}
