//! Limits gossip messages by a credit, so that their cost is a small fixed share of the delivered value.
//!
//! Inputs: the price of gossip and the number of balancers. A message is one datagram to each other balancer.
//! Its cost is measured in units of the value of one connection. Rule:
//!
//! - Each connection established at this balancer earns credit of [`MAX_COST_SHARE`] of its value, counted
//!   as a number of messages. At most [`MAX_CREDIT`] messages are saved up.
//! - A message costs one unit of credit. A credit below one unit buys a message with the corresponding
//!   probability and is spent whether or not the message is sent. In a large tier each balancer has few
//!   connections and would rarely save up a complete unit.

use rand::Rng;

/// Largest cost of messages, as a share of the value of established connections.
const MAX_COST_SHARE: f64 = 0.01;
/// Number of bytes that are charged for a message of any length.
const CHARGED_BYTES: f64 = 16.0;
/// Number of bytes that the configured price applies to.
const PRICED_BYTES: f64 = 256.0;
/// Largest number of messages that can be saved up.
const MAX_CREDIT: f64 = 3.0;

/// Number of messages that may be sent, possibly with a fraction.
#[derive(Debug, Default)]
pub(super) struct MessageCredit {
    messages: f64,
}

impl MessageCredit {
    /// Adds the credit that one established connection earns. `price` is the price of sending 256 bytes with
    /// each request, as a share of the delivered value.
    pub(super) fn earn(&mut self, price: f64, balancers: u32) {
        let receivers = f64::from(balancers.saturating_sub(1));
        let message_cost = price * CHARGED_BYTES / PRICED_BYTES * receivers;
        let earned = if message_cost > 0.0 { MAX_COST_SHARE / message_cost } else { MAX_CREDIT };
        self.messages = (self.messages + earned).min(MAX_CREDIT);
    }

    /// Spends the credit for one message. Returns whether the message may be sent.
    pub(super) fn spend(&mut self, rng: &mut impl Rng) -> bool {
        let probability = self.messages.min(1.0);
        self.messages -= probability;
        rng.random_bool(probability)
    }
}
