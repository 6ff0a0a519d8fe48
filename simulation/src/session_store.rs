//! The session store: one FIFO queue that is processed at a bounded rate. Each new connection adds one
//! setup. The store also processes setups whose clients no longer wait.

use crate::deployment::{VirtualDuration, VirtualTime};

/// Factor by which the processing of a setup takes longer while the store is slow.
const SLOW_FACTOR: f64 = 5.0;
/// Time range of the day in which the store is slow under [`StoreCondition::SlowMidway`].
const SLOW_PERIOD: std::ops::Range<VirtualTime> = 26_000_000..41_000_000;

/// Performance of the session store during a day.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreCondition {
    /// Usual rate all day.
    Normal,
    /// A fifth of the usual rate, all day.
    Slow,
    /// A fifth of the usual rate from the 26th second to the 41st.
    SlowMidway,
}

/// The session store's queue.
#[derive(Debug)]
pub struct SessionStore {
    /// Setups processed per second while the store is not slow.
    rate_per_s: f64,
    condition: StoreCondition,
    /// Time at which all queued setups are processed.
    idle_at: VirtualTime,
}

impl SessionStore {
    /// Creates a store that processes `rate_per_s` setups per second while it is not slow.
    pub fn new(rate_per_s: f64, condition: StoreCondition) -> SessionStore {
        SessionStore { rate_per_s, condition, idle_at: 0 }
    }

    /// Adds a setup to the queue. Returns the time at which its processing ends.
    pub fn enqueue_setup(&mut self, now: VirtualTime) -> VirtualTime {
        let is_slow = match self.condition {
            StoreCondition::Normal => false,
            StoreCondition::Slow => true,
            StoreCondition::SlowMidway => SLOW_PERIOD.contains(&now),
        };
        let service_micros = 1e6 / self.rate_per_s * if is_slow { SLOW_FACTOR } else { 1.0 };
        self.idle_at = self.idle_at.max(now) + service_micros as VirtualDuration;
        self.idle_at
    }
}
