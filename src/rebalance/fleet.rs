//! The fair share of each server in use.

use super::ServerSnapshot;

/// Divides the slots held at all servers in use by the servers' weights.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FairShare {
    total_weight: f64,
    total_slots: f64,
}

impl FairShare {
    /// Sums over the servers in use.
    pub fn new(servers: &[ServerSnapshot]) -> FairShare {
        let mut fair_share = FairShare { total_weight: 0.0, total_slots: 0.0 };
        for server in servers.iter().filter(|server| server.ready) {
            fair_share.total_weight += server.weight;
            fair_share.total_slots += server.occupied_slots;
        }
        fair_share
    }

    /// Whether there is nothing to divide, or nobody to divide it among.
    pub fn is_empty(&self) -> bool {
        self.total_weight <= 0.0 || self.total_slots <= 0.0
    }

    /// A server's fair share, in slots.
    pub fn of(&self, server: &ServerSnapshot) -> f64 {
        self.total_slots * server.weight / self.total_weight
    }
}
