//! Whether migrations lower the excess for which they are made.
//!
//! **Decided:** whether recent migrations had no effect, which puts rebalancing on hold.
//!
//! **Inputs:** the number of migrated clients; at each evaluation the largest excess of a server over its fair share, in
//! slots.
//!
//! **Rule:** the excess is compared with that before the migrations, [`JUDGEMENT_DELAY`] after the
//! [`JUDGED_MIGRATIONS`]th of them. They had no effect if more than [`MAX_REMAINING_EXCESS_SHARE`] of it is left.
//! Without an excess there is nothing to compare.

use crate::{Micros, Time};

/// Number of migrations after which their effect is judged.
const JUDGED_MIGRATIONS: u32 = 8;
/// The largest share of the earlier excess that may be left.
const MAX_REMAINING_EXCESS_SHARE: f64 = 0.9;
/// Time in which the clients migrated last reconnect.
const JUDGEMENT_DELAY: Micros = Micros::from_millis(1500);

/// The migrations and the excess since the last comparison.
#[derive(Debug, Default)]
pub(super) struct MigrationOutcome {
    migrated_clients: u32,
    /// The excess before these migrations, in slots.
    excess_before: f64,
    judge_at: Option<Time>,
}

impl MigrationOutcome {
    pub(super) fn on_migrated(&mut self, clients: usize) {
        self.migrated_clients += clients as u32;
    }

    /// Records the largest excess, in slots. Returns whether the migrations so far had no effect on it.
    pub(super) fn judge_excess(&mut self, now: Time, excess: f64) -> bool {
        if excess == 0.0 || self.excess_before == 0.0 {
            self.restart(excess);
            return false;
        }
        if self.migrated_clients >= JUDGED_MIGRATIONS && self.judge_at.is_none() {
            self.judge_at = Some(now.plus(JUDGEMENT_DELAY));
        }
        if self.judge_at.is_none_or(|at| at > now) {
            return false;
        }
        let no_effect = excess > self.excess_before * MAX_REMAINING_EXCESS_SHARE;
        self.restart(excess);
        no_effect
    }

    fn restart(&mut self, excess: f64) {
        *self = MigrationOutcome { migrated_clients: 0, excess_before: excess, judge_at: None };
    }
}
