//! The fault window: how long a fault of a server counts as recent.
//!
//! **What is decided.** For how long after a fault a server takes nothing beyond its ceiling, and how fast
//! its ceiling recovers. What counts as a fault is defined in `concurrency_limit`.
//!
//! **Inputs.** The longest wait of a rejected client (a setting, in microseconds), and what this balancer
//! occupies at all servers that serve, in slots.
//!
//! **Rule.** The window is the longest wait of a rejected client, times the number of servers for each
//! occupied slot, between one and four. It is adapted at each selection, for what follows.
//!
//! **Why.** Clients that were rejected because of a fault come back within their longest wait. Where the
//! balancer occupies less than one slot per server it is one of many, seldom learns of a server's fault, and
//! all of them would try that server again at once.

use crate::types::Micros;

/// The window is at most so many times the longest wait of rejected clients.
const MAX_FACTOR: f64 = 4.0;

/// What all servers that serve hold together of this balancer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FleetOccupancy {
    /// Slots occupied at all of them.
    pub occupied_slots: f64,
    /// The number of servers.
    pub servers: f64,
}

/// How long a fault of a server counts as recent.
#[derive(Clone, Copy, Debug)]
pub struct FaultWindow(Micros);

impl FaultWindow {
    /// The window before anything is known of the fleet.
    pub fn new(max_retry_after: Micros) -> FaultWindow {
        FaultWindow(max_retry_after)
    }

    /// The window's length.
    pub fn length(self) -> Micros {
        self.0
    }

    /// Adapts the window to what the balancer holds now.
    pub fn adapt(&mut self, max_retry_after: Micros, fleet: FleetOccupancy) {
        let servers_per_slot = (fleet.servers / fleet.occupied_slots).clamp(1.0, MAX_FACTOR);
        self.0 = Micros::from_f64(max_retry_after.as_f64() * servers_per_slot);
    }
}
