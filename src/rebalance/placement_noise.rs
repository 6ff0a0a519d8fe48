//! The imbalance that random placement explains.
//!
//! **Decided:** the standard deviation of the slots that are occupied at a server, and how many of its connections are
//! in groups.
//!
//! **Inputs:** the server's connections, with their slots and groups.
//!
//! **Rule:** single connections and groups are placed at random, each group as one unit with its overhead. The number
//! of slots is then a compound Poisson sum, whose variance is the sum of the units' squared slots. A server with x
//! connections of one slot each therefore deviates by sqrt(x).
//!
//! **Reason:** an excess within this deviation is no cause to migrate anybody: it arises and vanishes by chance.

use super::observed_connections::{ObservedConnections, ServerConnections};
use crate::ServerId;

/// Slots that a group with several members costs its server beyond those of its connections.
pub(super) const GROUP_OVERHEAD_SLOTS: f64 = 3.0;

/// How much of what a server holds is explained by random placement.
#[derive(Clone, Copy, Debug)]
pub(super) struct PlacementNoise {
    /// Standard deviation of the occupied slots.
    pub(super) deviation_slots: f64,
    /// Share of the connections that are there with other members of their group.
    pub(super) grouped_share: f64,
}

impl PlacementNoise {
    /// The noise of the connections at a server.
    pub(super) fn at(connections: &ObservedConnections, server: ServerId) -> PlacementNoise {
        let ServerConnections { singles, groups } = connections.connections_at(server);
        let mut variance = 0.0;
        variance += singles
            .iter()
            .map(|single| connections.slots_of(&single.connection.properties).powi(2))
            .sum::<f64>();
        let mut total_members = singles.len();
        let mut grouped_members = 0;
        for members in groups.values() {
            let has_several = members.len() > 1;
            let overhead = if has_several { GROUP_OVERHEAD_SLOTS } else { 0.0 };
            variance += (connections.total_slots_of(members) + overhead).powi(2);
            total_members += members.len();
            grouped_members += if has_several { members.len() } else { 0 };
        }
        PlacementNoise {
            deviation_slots: variance.sqrt(),
            grouped_share: grouped_members as f64 / total_members.max(1) as f64,
        }
    }
}
