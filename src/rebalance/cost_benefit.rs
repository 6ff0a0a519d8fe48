//! What a migration gains against what it costs.
//!
//! **Decided:** whether a candidate is worth migrating, and in which order candidates are migrated.
//!
//! **Inputs:** the pressure on the server; slots, relief and priority weight of the candidate; the mean lifetime of a
//! connection and the cost of migrating a client, both in seconds; the operator's `margin`.
//!
//! **Rule**, in seconds of good service of a connection of mean priority weight:
//! - gain = (relief in slots * relief per slot + priority weight * share of messages that miss the objective) * half the
//!   mean lifetime;
//! - cost = priority weight * cost of a client;
//! - a migration is made if its gain exceeds `margin` times its cost, those with the largest ratio first.
//!
//! **Reason:** those who stay gain from the shorter queue (`pressure.rs`), the migrated client from a server that is not
//! slow. Both gains last for about half a lifetime: until then clients that come and go have evened out the excess.

use std::cmp::Ordering;

use super::migration_candidates::MigrationCandidate;
use super::pressure::Pressure;

/// What a client's migration costs, in seconds of good service.
#[derive(Clone, Copy, Debug)]
pub(super) struct ClientCost {
    /// Time for which the client is disconnected.
    pub(super) disconnected_seconds: f64,
    /// Time of the new connection's setup.
    pub(super) setup_seconds: f64,
    /// Price of a migration: a share of the mean lifetime.
    pub(super) price_seconds: f64,
    /// Time that a rejection costs, times its probability.
    pub(super) rejection_seconds: f64,
}

impl ClientCost {
    fn total_seconds(&self) -> f64 {
        self.disconnected_seconds + self.setup_seconds + self.price_seconds + self.rejection_seconds
    }
}

/// Gain and cost of migrations away from one server.
#[derive(Clone, Copy, Debug)]
pub(super) struct CostBenefit {
    pub(super) pressure: Pressure,
    pub(super) mean_lifetime_seconds: f64,
    pub(super) client_cost: ClientCost,
    /// The least gain, as a multiple of the cost.
    pub(super) min_gain_over_cost: f64,
}

impl CostBenefit {
    /// Whether a candidate gains enough for its cost.
    pub(super) fn is_worthwhile(&self, candidate: &MigrationCandidate) -> bool {
        self.gain_seconds(candidate) > self.cost_seconds(candidate) * self.min_gain_over_cost
    }

    /// The order in which candidates are migrated. Ties are broken by connection id, so that the same state gives the
    /// same migrations.
    pub(super) fn order(&self, a: &MigrationCandidate, b: &MigrationCandidate) -> Ordering {
        let by_gain_over_cost = self.gain_over_cost(b).total_cmp(&self.gain_over_cost(a));
        by_gain_over_cost.then(a.members.cmp(&b.members))
    }

    fn gain_seconds(&self, candidate: &MigrationCandidate) -> f64 {
        let benefit_seconds = self.mean_lifetime_seconds / 2.0;
        let remaining_clients = candidate.relief_slots * self.pressure.relief_per_slot();
        let migrated_clients = candidate.priority_weight * self.pressure.missed_share();
        (remaining_clients + migrated_clients) * benefit_seconds
    }

    fn cost_seconds(&self, candidate: &MigrationCandidate) -> f64 {
        candidate.priority_weight * self.client_cost.total_seconds()
    }

    fn gain_over_cost(&self, candidate: &MigrationCandidate) -> f64 {
        self.gain_seconds(candidate) / self.cost_seconds(candidate).max(f64::MIN_POSITIVE)
    }
}
