//! The servers at which the members of each group are.

use std::collections::BTreeMap;

use crate::ServerId;

/// Number of each group's connections at each server; neither a group nor a server without any is kept.
#[derive(Debug, Default)]
pub(super) struct GroupLocations {
    members: BTreeMap<u64, BTreeMap<ServerId, usize>>,
}

impl GroupLocations {
    pub(super) fn add_member(&mut self, group: u64, server: ServerId) {
        *self.members.entry(group).or_default().entry(server).or_default() += 1;
    }

    pub(super) fn remove_member(&mut self, group: u64, server: ServerId) {
        let Some(servers) = self.members.get_mut(&group) else { return };
        if let Some(count) = servers.get_mut(&server) {
            *count -= 1;
        }
        servers.retain(|_, count| *count > 0);
        if servers.is_empty() {
            self.members.remove(&group);
        }
    }

    /// Number of a group's connections at other servers than this one.
    pub(super) fn members_elsewhere(&self, group: u64, server: ServerId) -> usize {
        let servers = self.members.get(&group).into_iter().flatten();
        servers.filter(|(other, _)| **other != server).map(|(_, count)| count).sum()
    }
}
