//! Settings of gossip.

use crate::Micros;

/// Settings of gossip between the balancers of a tier.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct GossipConfig {
    /// Whether the balancers of the tier gossip.
    pub enabled: bool,
    /// Number of balancers, including this one.
    pub balancers: u32,
    /// Price of sending 256 bytes with each request, as a share of the delivered value; 0 if sending is free.
    pub price: f64,
    /// Tightest time within which a message should be answered; 0 if no class has a message objective.
    pub message_objective: Micros,
    /// Time for which an observation of a server is valid. It is not repeated within this time.
    pub observation_validity: Micros,
    /// Time for which an observation of slow setups is valid.
    pub slow_setup_validity: Micros,
}
