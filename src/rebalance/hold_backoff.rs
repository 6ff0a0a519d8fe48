//! Holds after unsuccessful migrations, with exponential backoff.
//!
//! **Rule:** the first hold lasts [`INITIAL_HOLD`]. Each further hold lasts twice as long as the previous
//! one, up to [`MAX_HOLD`]. When [`RESET_AFTER`] has passed since the beginning of the last hold, whether or
//! not that hold has ended, the next hold lasts [`INITIAL_HOLD`] again.

use super::HoldReason;
use crate::{Micros, Time};

/// Duration of the first hold.
const INITIAL_HOLD: Micros = Micros::from_secs(2);
/// Longest duration of a hold.
const MAX_HOLD: Micros = Micros::from_secs(60);
/// Time from the beginning of the last hold after which the next hold has the initial duration again.
const RESET_AFTER: Micros = Micros::from_secs(30);

#[derive(Clone, Copy, Debug)]
struct Hold {
    until: Time,
    reason: HoldReason,
}

/// Current hold, and duration of the next hold.
#[derive(Debug)]
pub(super) struct HoldBackoff {
    current: Option<Hold>,
    next_duration: Micros,
    /// Time at which the last hold began; the time of creation before the first hold.
    last_hold_at: Time,
}

impl HoldBackoff {
    pub(super) fn new(now: Time) -> HoldBackoff {
        HoldBackoff { current: None, next_duration: INITIAL_HOLD, last_hold_at: now }
    }

    pub(super) fn begin(&mut self, now: Time, reason: HoldReason) {
        self.current = Some(Hold { until: now.plus(self.next_duration), reason });
        self.next_duration = (self.next_duration * 2).min(MAX_HOLD);
        self.last_hold_at = now;
    }

    /// Ends the hold when its duration has passed, and resets the duration of the next hold after
    /// [`RESET_AFTER`].
    pub(super) fn advance(&mut self, now: Time) {
        if self.current.is_some_and(|hold| hold.until <= now) {
            self.current = None;
        }
        if now.since(self.last_hold_at) > RESET_AFTER {
            self.next_duration = INITIAL_HOLD;
        }
    }

    /// Returns whether a hold was active at the last [`HoldBackoff::advance`], or has begun since.
    pub(super) fn is_active(&self) -> bool {
        self.current.is_some()
    }

    /// Returns the reason of the hold that is active at time `now`, if any.
    pub(super) fn reason(&self, now: Time) -> Option<HoldReason> {
        self.current.filter(|hold| now < hold.until).map(|hold| hold.reason)
    }
}
