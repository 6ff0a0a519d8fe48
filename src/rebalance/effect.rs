//! Whether moves lower the excess that they are made for.

use crate::{Micros, Time};

/// The excess has to fall within so many moves...
const JUDGED_MOVES: u32 = 8;
/// ...below this share of what it was.
const REQUIRED_FALL: f64 = 0.9;
/// The clients migrated last are still on their way: their effect shows so much later.
const JUDGEMENT_DELAY: Micros = Micros::from_millis(1500);

/// Compares the worst excess before and after some moves.
#[derive(Debug, Default)]
pub(super) struct MoveEffect {
    /// Moves since the excess was last judged.
    moves: u32,
    /// The excess then, in slots.
    excess_before: f64,
    judge_at: Option<Time>,
}

impl MoveEffect {
    pub(super) fn on_moved(&mut self, clients: usize) {
        self.moves += clients as u32;
    }

    /// Takes in the worst excess that there is now, in slots; whether the moves so far had no effect.
    pub(super) fn judge_excess(&mut self, now: Time, excess: f64) -> bool {
        if excess == 0.0 || self.excess_before == 0.0 {
            self.restart(excess);
            return false;
        }
        if self.moves >= JUDGED_MOVES && self.judge_at.is_none() {
            self.judge_at = Some(now.plus(JUDGEMENT_DELAY));
        }
        if self.judge_at.is_none_or(|at| at > now) {
            return false;
        }
        let no_effect = excess > self.excess_before * REQUIRED_FALL;
        self.restart(excess);
        no_effect
    }

    fn restart(&mut self, excess: f64) {
        *self = MoveEffect { moves: 0, excess_before: excess, judge_at: None };
    }
}
