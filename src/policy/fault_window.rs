//! The fault window: how long a fault of a server counts as recent.
//!
//! **What is decided.** For how long after a fault the ceiling of a server must not be exceeded, and how fast
//! the ceiling recovers. Faults are defined in `concurrency_limit`.
//!
//! **Inputs.** The longest Retry-After of a rejected client (a setting, in microseconds), and the slots that
//! this balancer occupies at all serving servers.
//!
//! **Rule.** The window is the longest Retry-After, times the number of servers per occupied slot, which is
//! bounded between one and four. Each selection adapts the window after it has collected its candidates. The
//! adapted length applies from the last resort of that selection on.
//!
//! **Why.** Clients that were rejected because of a fault reconnect within the longest Retry-After. A
//! balancer that occupies less than one slot per server is one of many balancers and seldom learns of a
//! server's fault. With a short window, all these balancers would try the faulty server again at the same
//! time.

use crate::types::Micros;

/// Highest ratio of the window to the longest Retry-After.
const MAX_FACTOR: f64 = 4.0;

/// Slots that this balancer occupies at all serving servers.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FleetOccupancy {
    /// Sum of the occupied slots over all serving servers.
    pub occupied_slots: f64,
    /// Number of serving servers.
    pub servers: f64,
}

/// Time for which a fault of a server counts as recent.
#[derive(Clone, Copy, Debug)]
pub struct FaultWindow(Micros);

impl FaultWindow {
    /// Creates the shortest window, which applies until the first selection.
    pub fn new(max_retry_after: Micros) -> FaultWindow {
        FaultWindow(max_retry_after)
    }

    /// Returns the window's length.
    pub fn length(self) -> Micros {
        self.0
    }

    /// Adapts the window to the slots that the balancer occupies now.
    pub fn adapt(&mut self, max_retry_after: Micros, fleet: FleetOccupancy) {
        let servers_per_slot = (fleet.servers / fleet.occupied_slots).clamp(1.0, MAX_FACTOR);
        self.0 = Micros::from_f64(max_retry_after.as_f64() * servers_per_slot);
    }
}
