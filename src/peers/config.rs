//! What gossip is configured with.

use crate::Micros;

/// How the balancers of a pool may gossip.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct GossipConfig {
    /// Whether gossip is allowed, and the other balancers can be reached.
    pub enabled: bool,
    /// The number of balancers, this one included.
    pub balancers: u32,
    /// The price of 256 bytes sent with each request, as a share of the value delivered; 0 where they cost nothing.
    pub price: f64,
    /// The time within which a message should be answered; 0 where no class has such an objective.
    pub message_objective: Micros,
    /// For how long an observation of a server holds.
    pub observation_hold: Micros,
    /// For how long an observation of slow set-ups holds.
    pub slow_setup_hold: Micros,
}
