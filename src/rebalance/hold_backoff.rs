//! Holds after migrations that turned out badly, with exponential backoff.
//!
//! **Rule:** a hold lasts [`INITIAL_HOLD`], and each further one twice as long as the one before, up to [`MAX_HOLD`].
//! [`RESET_AFTER`] after the last one began, the next is short again.

use super::HoldReason;
use crate::{Micros, Time};

/// Duration of the first hold.
pub(super) const INITIAL_HOLD: Micros = Micros::from_secs(2);
/// The longest hold.
const MAX_HOLD: Micros = Micros::from_secs(60);
/// Time since the last hold began after which the next is short again.
const RESET_AFTER: Micros = Micros::from_secs(30);

#[derive(Clone, Copy, Debug)]
struct Hold {
    until: Time,
    reason: HoldReason,
}

/// The current hold, and the duration of the next.
#[derive(Debug)]
pub(super) struct HoldBackoff {
    current: Option<Hold>,
    next_duration: Micros,
    last_begun: Time,
}

impl HoldBackoff {
    pub(super) fn new(now: Time) -> HoldBackoff {
        HoldBackoff { current: None, next_duration: INITIAL_HOLD, last_begun: now }
    }

    pub(super) fn begin(&mut self, now: Time, reason: HoldReason) {
        self.current = Some(Hold { until: now.plus(self.next_duration), reason });
        self.next_duration = (self.next_duration * 2).min(MAX_HOLD);
        self.last_begun = now;
    }

    /// Ends the hold if its time is over, and resets the duration of the next if the last is long ago.
    pub(super) fn advance(&mut self, now: Time) {
        if self.current.is_some_and(|hold| hold.until <= now) {
            self.current = None;
        }
        if now.since(self.last_begun) > RESET_AFTER {
            self.next_duration = INITIAL_HOLD;
        }
    }

    /// Whether there was a hold at the last [`HoldBackoff::advance`] or has begun since.
    pub(super) fn is_active(&self) -> bool {
        self.current.is_some()
    }

    /// The reason of a hold that lasts at this time.
    pub(super) fn reason(&self, now: Time) -> Option<HoldReason> {
        self.current.filter(|hold| now < hold.until).map(|hold| hold.reason)
    }
}
