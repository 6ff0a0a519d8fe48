//! Connections of this balancer at one server, and the slots that they occupy.

use std::collections::BTreeSet;

use rustc_hash::FxHashMap;

use crate::types::{GroupId, RequestId};

/// Slots that a group occupies at a server in addition to its connections, from the first connection on.
/// `src/rebalance/` has an estimate of its own for this cost.
const GROUP_SLOTS: f64 = 2.0;

/// Established connections at a server, and attempts to connect to it.
#[derive(Debug, Default)]
pub struct ServerConnections {
    /// Slots that connections, attempts and groups occupy in total.
    occupied_slots: f64,
    established: BTreeSet<RequestId>,
    /// Number of attempts without an outcome.
    attempts_in_flight: u32,
    /// Number of connections and attempts of each group. Groups without any are not contained.
    count_by_group: FxHashMap<GroupId, u32>,
}

impl ServerConnections {
    /// Returns the occupied slots, including those of attempts.
    pub fn occupied_slots(&self) -> f64 {
        self.occupied_slots
    }

    /// Returns the established connections in the order of their ids.
    pub fn established(&self) -> impl Iterator<Item = RequestId> + '_ {
        self.established.iter().copied()
    }

    /// Returns the number of established connections.
    pub fn established_count(&self) -> usize {
        self.established.len()
    }

    /// Returns whether any attempt is in flight.
    pub fn has_attempt_in_flight(&self) -> bool {
        self.attempts_in_flight > 0
    }

    /// Returns whether there are neither connections nor attempts.
    pub fn is_empty(&self) -> bool {
        self.established.is_empty() && self.attempts_in_flight == 0
    }

    /// Returns whether any connection or attempt of the group is at this server.
    pub fn contains_group(&self, group: Option<GroupId>) -> bool {
        group.is_some_and(|group| self.count_by_group.contains_key(&group))
    }

    /// Returns the slots that a connection of `slots` would occupy. The first connection of a group also
    /// occupies the slots of the group.
    pub fn slots_to_occupy(&self, group: Option<GroupId>, slots: f64) -> f64 {
        let is_first = group.is_some() && !self.contains_group(group);
        slots + if is_first { GROUP_SLOTS } else { 0.0 }
    }

    /// Returns the slots that become free when a connection of `slots` ends. The last connection of a group
    /// also frees the slots of the group.
    pub fn slots_to_free(&self, group: Option<GroupId>, slots: f64) -> f64 {
        let is_last = group.is_some_and(|group| self.count_by_group.get(&group) == Some(&1));
        slots + if is_last { GROUP_SLOTS } else { 0.0 }
    }

    /// Records the start of an attempt, which occupies its slots immediately.
    pub fn start_attempt(&mut self, group: Option<GroupId>, slots: f64) {
        self.occupy(group, slots);
        self.attempts_in_flight += 1;
    }

    /// Records that the connection of an attempt was established.
    pub fn establish(&mut self, id: RequestId) {
        self.attempts_in_flight -= 1;
        self.established.insert(id);
    }

    /// Records a connection that was established before this balancer started.
    pub fn restore(&mut self, id: RequestId, group: Option<GroupId>, slots: f64) {
        self.occupy(group, slots);
        self.established.insert(id);
    }

    /// Records that an attempt ended without a connection.
    pub fn end_attempt(&mut self, group: Option<GroupId>, slots: f64) {
        self.attempts_in_flight -= 1;
        self.release(group, slots);
    }

    /// Records that an established connection ended.
    pub fn end_connection(&mut self, id: RequestId, group: Option<GroupId>, slots: f64) {
        self.established.remove(&id);
        self.release(group, slots);
    }

    /// Adjusts the occupied slots after a load measurement. `additional_slots` is negative if the connection
    /// now occupies fewer slots.
    pub fn adjust_occupied_slots(&mut self, additional_slots: f64) {
        self.occupied_slots += additional_slots;
    }

    fn occupy(&mut self, group: Option<GroupId>, slots: f64) {
        self.occupied_slots += self.slots_to_occupy(group, slots);
        if let Some(group) = group {
            *self.count_by_group.entry(group).or_insert(0) += 1;
        }
    }

    /// Releases the slots of a connection or attempt. The occupied slots are set to zero when none is left,
    /// so that rounding errors do not accumulate.
    fn release(&mut self, group: Option<GroupId>, slots: f64) {
        let freed = self.slots_to_free(group, slots);
        if let Some(count) = group.and_then(|group| self.count_by_group.get_mut(&group)) {
            *count -= 1;
        }
        self.count_by_group.retain(|_, count| *count > 0);
        self.occupied_slots = if self.is_empty() { 0.0 } else { self.occupied_slots - freed };
    }
}
