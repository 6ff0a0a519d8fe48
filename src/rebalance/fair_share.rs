//! Fair share of each server.
//!
//! **Rule:** the slots that this balancer's connections occupy at all ready servers are divided in proportion
//! to the servers' weights in the endpoint list. Each of n balancers has a random one in n of all
//! connections. The proportions that each balancer establishes for its own connections therefore apply to the
//! connections of all balancers together.

use super::ServerSnapshot;

/// Sums of the occupied slots and of the weights of all ready servers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct FairShare {
    total_weight: f64,
    total_slots: f64,
}

impl FairShare {
    /// Computes the sums over the ready servers in `servers`.
    pub(super) fn new(servers: &[ServerSnapshot]) -> FairShare {
        let mut fair_share = FairShare { total_weight: 0.0, total_slots: 0.0 };
        for server in servers.iter().filter(|server| server.is_ready) {
            fair_share.total_weight += server.weight;
            fair_share.total_slots += server.occupied_slots;
        }
        fair_share
    }

    /// Returns whether no slots are occupied, or no server has a weight above 0.
    pub(super) fn is_empty(&self) -> bool {
        self.total_weight <= 0.0 || self.total_slots <= 0.0
    }

    /// Returns a server's fair share, in slots.
    pub(super) fn slots_of(&self, server: &ServerSnapshot) -> f64 {
        self.total_slots * server.weight / self.total_weight
    }
}
