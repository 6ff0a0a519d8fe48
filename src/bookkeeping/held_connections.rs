//! What one balancer holds at one server: connections, their groups, and the slots that they take.

use std::collections::BTreeSet;

use rustc_hash::FxHashMap;

use crate::types::{GroupId, RequestId};

/// Slots that a server pays for a group while it holds any connection of it.
const GROUP_SLOTS: f64 = 2.0;

/// The connections that are established at a server or being set up there.
#[derive(Debug, Default)]
pub struct HeldConnections {
    /// Slots that all of them take together.
    pub slots: f64,
    /// Those that are established.
    pub established: BTreeSet<RequestId>,
    /// The number of those being set up.
    pub connecting: u32,
    /// How many there are of each group; a group without any is not contained.
    count_by_group: FxHashMap<GroupId, u32>,
}

impl HeldConnections {
    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.established.is_empty() && self.connecting == 0
    }

    /// Whether any connection of the group is held.
    pub fn contains_group(&self, group: Option<GroupId>) -> bool {
        group.is_some_and(|group| self.count_by_group.contains_key(&group))
    }

    /// Slots that a connection would take: more if it is the first of its group.
    pub fn slots_taken(&self, group: Option<GroupId>, slots: f64) -> f64 {
        let is_first = group.is_some() && !self.contains_group(group);
        slots + if is_first { GROUP_SLOTS } else { 0.0 }
    }

    /// Slots that become free when a connection leaves: more if it is the last of its group.
    pub fn slots_freed(&self, group: Option<GroupId>, slots: f64) -> f64 {
        let is_last = group.is_some_and(|group| self.count_by_group.get(&group) == Some(&1));
        slots + if is_last { GROUP_SLOTS } else { 0.0 }
    }

    /// Takes the slots of a connection; the caller adds it to `established` or `connecting`.
    pub fn take_slots(&mut self, group: Option<GroupId>, slots: f64) {
        self.slots += self.slots_taken(group, slots);
        if let Some(group) = group {
            *self.count_by_group.entry(group).or_insert(0) += 1;
        }
    }

    /// Frees the slots of a connection that the caller has removed. Without connections no rounding remains.
    pub fn free_slots(&mut self, group: Option<GroupId>, slots: f64) {
        let freed = self.slots_freed(group, slots);
        if let Some(count) = group.and_then(|group| self.count_by_group.get_mut(&group)) {
            *count -= 1;
        }
        self.count_by_group.retain(|_, count| *count > 0);
        self.slots = if self.is_empty() { 0.0 } else { self.slots - freed };
    }
}
