//! Estimates the imbalance that random placement explains.
//!
//! **Decided:** the standard deviation of the occupied slots of a server, and the share of its connections
//! that are in groups.
//!
//! **Inputs:** the server's connections, with their slots and groups.
//!
//! **Rule:** single connections and groups are placed at random, each group as one unit with its overhead.
//! The number of slots is then a compound Poisson sum, whose variance is the sum of the squared slots of the
//! units. A server with x connections of one slot each therefore has a standard deviation of sqrt(x).
//!
//! **Reason:** an excess of about one deviation appears and disappears by chance, so it is no reason for a
//! migration on its own. `pressure.rs` sets the number of deviations from which an excess is a reason. The
//! number is below one where reported message times show that the server is slow.

use super::observed_connections::{GroupedConnections, ObservedConnections};
use crate::ServerId;

/// Slots that a group with several members occupies at a server, in addition to the slots of its connections.
/// The policy's count of occupied slots does not use this constant: it adds `GROUP_SLOTS` of
/// `bookkeeping::server_connections`, including for a group with a single member.
pub(super) const GROUP_OVERHEAD_SLOTS: f64 = 3.0;

/// Deviation of a server's occupied slots that random placement explains.
#[derive(Clone, Copy, Debug)]
pub(super) struct PlacementNoise {
    /// Standard deviation of the occupied slots.
    pub(super) deviation_slots: f64,
    /// Share of the connections that have other members of their group at the same server.
    pub(super) grouped_share: f64,
}

impl PlacementNoise {
    /// Computes the noise for the connections at a server.
    pub(super) fn at(connections: &ObservedConnections, server: ServerId) -> PlacementNoise {
        let GroupedConnections { singles, groups } = connections.connections_at(server);
        let mut variance = 0.0;
        variance += singles
            .iter()
            .map(|single| connections.slots_of(&single.connection.properties).powi(2))
            .sum::<f64>();
        let mut total_members = singles.len();
        let mut grouped_members = 0;
        for members in groups.values() {
            let has_several_members = members.len() > 1;
            let overhead = if has_several_members { GROUP_OVERHEAD_SLOTS } else { 0.0 };
            variance += (connections.total_slots_of(members) + overhead).powi(2);
            total_members += members.len();
            grouped_members += if has_several_members { members.len() } else { 0 };
        }
        PlacementNoise {
            deviation_slots: variance.sqrt(),
            grouped_share: grouped_members as f64 / total_members.max(1) as f64,
        }
    }
}
