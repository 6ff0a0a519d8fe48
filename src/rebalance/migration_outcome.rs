//! Checks whether migrations lower the excess that is their reason.
//!
//! **Decided:** whether recent migrations had no effect, which puts rebalancing on hold.
//!
//! **Inputs:** the number of migrated clients; at each evaluation, the largest excess over its fair share, in
//! slots, of a server that clients may be migrated away from; 0 if there is no such server.
//!
//! **Rule:** the excess is compared with the excess before the migrations, [`COMPARISON_DELAY`] after
//! [`COMPARED_MIGRATIONS`] clients were migrated. The migrations had no effect if more than
//! [`MAX_REMAINING_EXCESS_SHARE`] of the earlier excess remains. If an excess is 0, no comparison is made,
//! and the count of migrated clients begins again.

use crate::{Micros, Time};

/// Number of migrated clients after which the excess is compared.
const COMPARED_MIGRATIONS: u32 = 8;
/// Largest share of the earlier excess that may remain.
const MAX_REMAINING_EXCESS_SHARE: f64 = 0.9;
/// Delay of the comparison, in which the clients that were migrated last reconnect.
const COMPARISON_DELAY: Micros = Micros::from_millis(1500);

/// Migrations since the last comparison, and the excess at that time.
#[derive(Debug, Default)]
pub(super) struct MigrationOutcome {
    migrated_clients: u32,
    /// The excess before these migrations, in slots.
    excess_before: f64,
    /// Time of the next comparison, once enough clients were migrated.
    compare_at: Option<Time>,
}

impl MigrationOutcome {
    pub(super) fn on_migrated(&mut self, clients: usize) {
        self.migrated_clients += clients as u32;
    }

    /// Records the largest excess, in slots. Returns whether the migrations so far had no effect on it.
    pub(super) fn compare_excess(&mut self, now: Time, excess: f64) -> bool {
        if excess == 0.0 || self.excess_before == 0.0 {
            self.restart(excess);
            return false;
        }
        if self.migrated_clients >= COMPARED_MIGRATIONS && self.compare_at.is_none() {
            self.compare_at = Some(now.plus(COMPARISON_DELAY));
        }
        if self.compare_at.is_none_or(|at| at > now) {
            return false;
        }
        let no_effect = excess > self.excess_before * MAX_REMAINING_EXCESS_SHARE;
        self.restart(excess);
        no_effect
    }

    fn restart(&mut self, excess: f64) {
        *self = MigrationOutcome { migrated_clients: 0, excess_before: excess, compare_at: None };
    }
}
