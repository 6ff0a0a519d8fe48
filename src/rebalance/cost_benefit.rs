//! Compares the gain of a migration with its cost.
//!
//! **Decided:** whether the gain of migrating a candidate exceeds its cost sufficiently, and the order in
//! which candidates are migrated.
//!
//! **Inputs:** the pressure on the server; the candidate's slots, relief and priority weight; the mean
//! lifetime of a connection and the cost of migrating a client, both in seconds; the operator's
//! [`CostBenefit::min_gain_over_cost`].
//!
//! **Rule**, in units of one second of good service of a connection with mean priority weight:
//! - gain = half the mean lifetime * (relief in slots * relief per slot + priority weight * share of messages
//!   that miss the objective);
//! - cost = priority weight * cost of a client;
//! - a candidate is migrated if its gain exceeds `min_gain_over_cost` times its cost. Candidates with the
//!   largest ratio are migrated first.
//!
//! **Reason:** the remaining clients gain from the shorter queue (`pressure.rs`). The migrated client gains
//! from a server that is not slow. Both gains last for about half a mean lifetime: after that time, newly
//! established and ended connections would have evened out the excess without a migration.

use std::cmp::Ordering;

use super::migration_candidates::MigrationCandidate;
use super::pressure::Pressure;

/// Cost of migrating a client, in seconds of good service.
#[derive(Clone, Copy, Debug)]
pub(super) struct ClientCost {
    /// Time for which the client is disconnected.
    pub(super) disconnected_seconds: f64,
    /// Setup time of the new connection.
    pub(super) setup_seconds: f64,
    /// Configured price of a migration, which is a share of the mean lifetime.
    pub(super) price_seconds: f64,
    /// Time lost by a rejection, multiplied by its probability.
    pub(super) rejection_seconds: f64,
}

impl ClientCost {
    fn total_seconds(&self) -> f64 {
        self.disconnected_seconds + self.setup_seconds + self.price_seconds + self.rejection_seconds
    }
}

/// Inputs for the gain and the cost of migrations away from one server.
#[derive(Clone, Copy, Debug)]
pub(super) struct CostBenefit {
    pub(super) pressure: Pressure,
    pub(super) mean_lifetime_seconds: f64,
    pub(super) client_cost: ClientCost,
    /// Smallest gain, as a multiple of the cost.
    pub(super) min_gain_over_cost: f64,
}

impl CostBenefit {
    /// Returns whether the gain of a candidate is large enough for its cost.
    pub(super) fn is_worthwhile(&self, candidate: &MigrationCandidate) -> bool {
        self.gain_seconds(candidate) > self.cost_seconds(candidate) * self.min_gain_over_cost
    }

    /// Compares two candidates by the order in which they are migrated. Ties are broken by connection id, so
    /// that the same state yields the same migrations.
    pub(super) fn order(&self, a: &MigrationCandidate, b: &MigrationCandidate) -> Ordering {
        let by_gain_over_cost = self.gain_over_cost(b).total_cmp(&self.gain_over_cost(a));
        by_gain_over_cost.then(a.members.cmp(&b.members))
    }

    fn gain_seconds(&self, candidate: &MigrationCandidate) -> f64 {
        let gain_duration_seconds = self.mean_lifetime_seconds / 2.0;
        let gain_of_remaining = candidate.relief_slots * self.pressure.relief_per_slot();
        let gain_of_migrated = candidate.priority_weight * self.pressure.missed_share();
        (gain_of_remaining + gain_of_migrated) * gain_duration_seconds
    }

    fn cost_seconds(&self, candidate: &MigrationCandidate) -> f64 {
        candidate.priority_weight * self.client_cost.total_seconds()
    }

    fn gain_over_cost(&self, candidate: &MigrationCandidate) -> f64 {
        self.gain_seconds(candidate) / self.cost_seconds(candidate).max(f64::MIN_POSITIVE)
    }
}
