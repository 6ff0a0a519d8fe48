//! The session store: one queue, served in order at a bounded rate. Each new connection needs a call.

use crate::deployment::VirtualTime;

/// How many times longer calls take while the store is slow.
const SLOW_FACTOR: f64 = 5.0;
/// When the store is slow under [`StoreCondition::SlowMidway`].
const SLOW_PERIOD: std::ops::Range<VirtualTime> = 26_000_000..41_000_000;

/// How the session store performs during a day.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreCondition {
    /// At its usual rate.
    Normal,
    /// Five times slower, from the start.
    Slow,
    /// Five times slower from the 26th second to the 41st.
    SlowMidway,
}

/// The store.
#[derive(Debug)]
pub struct SessionStore {
    /// Calls a second when it is not slow.
    rate_per_s: f64,
    condition: StoreCondition,
    free_at: VirtualTime,
}

impl SessionStore {
    /// A store with this rate of calls.
    pub fn new(rate_per_s: f64, condition: StoreCondition) -> SessionStore {
        SessionStore { rate_per_s, condition, free_at: 0 }
    }

    /// Adds a call to the queue. Returns when it is answered.
    pub fn call(&mut self, now: VirtualTime) -> VirtualTime {
        let slow = match self.condition {
            StoreCondition::Normal => false,
            StoreCondition::Slow => true,
            StoreCondition::SlowMidway => SLOW_PERIOD.contains(&now),
        };
        let service_micros = 1e6 / self.rate_per_s * if slow { SLOW_FACTOR } else { 1.0 };
        self.free_at = self.free_at.max(now) + service_micros as VirtualTime;
        self.free_at
    }
}
