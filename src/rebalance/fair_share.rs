//! The fair share of each server.
//!
//! **Rule:** the slots that this balancer's connections occupy at all ready servers are divided in proportion to the
//! servers' weights in the endpoint list. Each of n balancers sees a random one in n connections of everything, so the
//! proportions that it brings about are those of the whole.

use super::ServerSnapshot;

/// Occupied slots and weights, summed over the ready servers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct FairShare {
    total_weight: f64,
    total_slots: f64,
}

impl FairShare {
    /// The sums over the ready servers among these.
    pub(super) fn new(servers: &[ServerSnapshot]) -> FairShare {
        let mut fair_share = FairShare { total_weight: 0.0, total_slots: 0.0 };
        for server in servers.iter().filter(|server| server.ready) {
            fair_share.total_weight += server.weight;
            fair_share.total_slots += server.occupied_slots;
        }
        fair_share
    }

    /// Whether no slots are occupied, or no server has a weight.
    pub(super) fn is_empty(&self) -> bool {
        self.total_weight <= 0.0 || self.total_slots <= 0.0
    }

    /// A server's fair share, in slots.
    pub(super) fn slots_of(&self, server: &ServerSnapshot) -> f64 {
        self.total_slots * server.weight / self.total_weight
    }
}
