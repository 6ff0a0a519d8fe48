//! Finds the connections at a server that can be migrated.
//!
//! **Decided:** the units in which a server's connections can be migrated: single connections, and all
//! members of a group at this server.
//!
//! **Inputs:** the server's connections with their slots, classes and groups; the classes' priority weights.
//!
//! **Rule:** each single connection is a candidate, and each group's members at this server together are one.
//! Exceptions are clients that have reconnected after a migration or a broken connection, groups with such a
//! member here, and groups with members elsewhere that are no more numerous than those here. Of two equal
//! parts of a split group, neither is a candidate.
//!
//! **Reason:** a client must not be migrated from server to server repeatedly. The smaller part of a split
//! group reconnects to the server of the larger part, which removes the group's overhead at this server. If
//! the larger part were migrated, the smaller part would follow it and would then attract it back.

use super::observed_connections::{EstablishedConnection, ObservedConnections, SingleConnection};
use super::placement_noise::GROUP_OVERHEAD_SLOTS;
use super::RebalanceContext;
use crate::{ConnectionId, ServerId};

/// Single connection, or all members of a group at one server, that can be migrated.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct MigrationCandidate {
    /// Connections that are migrated together.
    pub(super) members: Vec<ConnectionId>,
    /// Slots that the members occupy.
    pub(super) slots: f64,
    /// Slots that become free at the server: those of the members and, for a group of several connections,
    /// the group's overhead.
    pub(super) relief_slots: f64,
    /// Sum of the members' priority weights, relative to the mean weight of all classes.
    pub(super) priority_weight: f64,
}

/// Returns the candidates at a server.
pub(super) fn candidates_at(
    connections: &ObservedConnections,
    context: &RebalanceContext,
    server: ServerId,
) -> Vec<MigrationCandidate> {
    let finder =
        CandidateFinder { connections, weights: RelativeWeights::new(&context.priority_weights), server };
    let at_server = connections.connections_at(server);
    let singles = at_server.singles.iter();
    let mut candidates: Vec<MigrationCandidate> =
        singles.filter_map(|single| finder.single_candidate(single)).collect();
    for (group, members) in at_server.groups {
        candidates.extend(finder.group_candidate(group, members));
    }
    candidates
}

struct CandidateFinder<'a> {
    connections: &'a ObservedConnections,
    weights: RelativeWeights<'a>,
    server: ServerId,
}

impl CandidateFinder<'_> {
    fn single_candidate(&self, single: &SingleConnection) -> Option<MigrationCandidate> {
        let EstablishedConnection { properties, reconnected, .. } = single.connection;
        if reconnected {
            return None;
        }
        let slots = self.connections.slots_of(&properties);
        let priority_weight = self.weights.of_class(properties.class);
        Some(MigrationCandidate { members: vec![single.id], slots, relief_slots: slots, priority_weight })
    }

    fn group_candidate(&self, group: u64, members: Vec<ConnectionId>) -> Option<MigrationCandidate> {
        let connections: Vec<EstablishedConnection> =
            members.iter().filter_map(|id| self.connections.get(*id)).collect();
        if connections.iter().any(|connection| connection.reconnected) {
            return None;
        }
        let members_elsewhere = self.connections.group_members_elsewhere(group, self.server);
        let is_larger_part = (1..=members.len()).contains(&members_elsewhere);
        if is_larger_part {
            return None;
        }
        let slots = self.connections.total_slots_of(&members);
        let has_several_members = members.len() > 1 || members_elsewhere > 0;
        let overhead = if has_several_members { GROUP_OVERHEAD_SLOTS } else { 0.0 };
        let priority_weight =
            connections.iter().map(|connection| self.weights.of_class(connection.properties.class)).sum();
        Some(MigrationCandidate { members, slots, relief_slots: slots + overhead, priority_weight })
    }
}

/// Priority weights of the classes, relative to their mean.
struct RelativeWeights<'a> {
    weights: &'a [f64],
    mean: f64,
}

impl RelativeWeights<'_> {
    fn new(weights: &[f64]) -> RelativeWeights<'_> {
        let mean = weights.iter().sum::<f64>() / weights.len().max(1) as f64;
        RelativeWeights { weights, mean }
    }

    fn of_class(&self, class: u16) -> f64 {
        let weight = self.weights.get(usize::from(class)).copied().unwrap_or(self.mean);
        if self.mean > 0.0 {
            weight / self.mean
        } else {
            1.0
        }
    }
}
