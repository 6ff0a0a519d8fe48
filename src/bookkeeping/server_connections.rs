//! The connections of this balancer at one server, and the slots that they occupy.

use std::collections::BTreeSet;

use rustc_hash::FxHashMap;

use crate::types::{GroupId, RequestId};

/// Slots that a group occupies at a server, once, while any of its connections is there.
const GROUP_SLOTS: f64 = 2.0;

/// The connections that are established at a server, and the attempts to connect to it.
#[derive(Debug, Default)]
pub struct ServerConnections {
    /// Slots that all of them occupy together.
    occupied_slots: f64,
    established: BTreeSet<RequestId>,
    /// The number of attempts without an outcome.
    connecting: u32,
    /// How many there are of each group; a group without any is not contained.
    count_by_group: FxHashMap<GroupId, u32>,
}

impl ServerConnections {
    /// Slots that all of them occupy, attempts included.
    pub fn occupied_slots(&self) -> f64 {
        self.occupied_slots
    }

    /// Those that are established, in the order of their ids.
    pub fn established(&self) -> impl Iterator<Item = RequestId> + '_ {
        self.established.iter().copied()
    }

    /// The number of those that are established.
    pub fn established_count(&self) -> usize {
        self.established.len()
    }

    /// Whether an attempt has no outcome yet.
    pub fn has_attempt_in_flight(&self) -> bool {
        self.connecting > 0
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.established.is_empty() && self.connecting == 0
    }

    /// Whether any connection of the group is here.
    pub fn contains_group(&self, group: Option<GroupId>) -> bool {
        group.is_some_and(|group| self.count_by_group.contains_key(&group))
    }

    /// Slots that a connection of `slots` would occupy: more if it is the first of its group.
    pub fn slots_to_occupy(&self, group: Option<GroupId>, slots: f64) -> f64 {
        let is_first = group.is_some() && !self.contains_group(group);
        slots + if is_first { GROUP_SLOTS } else { 0.0 }
    }

    /// Slots that become free when a connection of `slots` ends: more if it is the last of its group.
    pub fn slots_to_free(&self, group: Option<GroupId>, slots: f64) -> f64 {
        let is_last = group.is_some_and(|group| self.count_by_group.get(&group) == Some(&1));
        slots + if is_last { GROUP_SLOTS } else { 0.0 }
    }

    /// An attempt occupies its slots from its start.
    pub fn start_attempt(&mut self, group: Option<GroupId>, slots: f64) {
        self.occupy(group, slots);
        self.connecting += 1;
    }

    /// The connection of an attempt is established.
    pub fn establish(&mut self, id: RequestId) {
        self.connecting -= 1;
        self.established.insert(id);
    }

    /// A connection is here that was established before this balancer started.
    pub fn restore(&mut self, id: RequestId, group: Option<GroupId>, slots: f64) {
        self.occupy(group, slots);
        self.established.insert(id);
    }

    /// An attempt ended without a connection.
    pub fn end_attempt(&mut self, group: Option<GroupId>, slots: f64) {
        self.connecting -= 1;
        self.free(group, slots);
    }

    /// An established connection ended.
    pub fn end_connection(&mut self, id: RequestId, group: Option<GroupId>, slots: f64) {
        self.established.remove(&id);
        self.free(group, slots);
    }

    /// A connection's load was measured: it occupies so many slots more, or fewer.
    pub fn resize(&mut self, additional_slots: f64) {
        self.occupied_slots += additional_slots;
    }

    fn occupy(&mut self, group: Option<GroupId>, slots: f64) {
        self.occupied_slots += self.slots_to_occupy(group, slots);
        if let Some(group) = group {
            *self.count_by_group.entry(group).or_insert(0) += 1;
        }
    }

    /// Without connections no rounding error remains.
    fn free(&mut self, group: Option<GroupId>, slots: f64) {
        let freed = self.slots_to_free(group, slots);
        if let Some(count) = group.and_then(|group| self.count_by_group.get_mut(&group)) {
            *count -= 1;
        }
        self.count_by_group.retain(|_, count| *count > 0);
        self.occupied_slots = if self.is_empty() { 0.0 } else { self.occupied_slots - freed };
    }
}
