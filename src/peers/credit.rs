//! The credit that pays for gossip messages, so that their cost is a small fixed share of the value delivered.
//!
//! Inputs: the price of gossip and the number of balancers. A message is one datagram to each other balancer, and its cost
//! is counted in the value of one connection. Rule:
//!
//! - Each connection that is established here earns [`MAX_COST_SHARE`] of its value, as a number of messages. At most
//!   [`MAX_CREDIT`] messages are saved up.
//! - A message costs one unit of credit. Less than one unit buys a message with the corresponding probability, and is
//!   spent in any case. In a large tier each balancer has few connections, and would rarely save up a complete unit.

use rand::Rng;

/// The largest share of the value of established connections that messages may cost.
const MAX_COST_SHARE: f64 = 0.01;
/// A datagram shorter than this is charged like one of this many bytes.
const MIN_CHARGED_BYTES: f64 = 16.0;
/// The number of bytes that the configured price is for.
const PRICED_BYTES: f64 = 256.0;
/// The largest number of messages that can be saved up.
const MAX_CREDIT: f64 = 3.0;

/// The number of messages that may still be sent, possibly with a fraction.
#[derive(Debug, Default)]
pub(super) struct MessageCredit {
    messages: f64,
}

impl MessageCredit {
    /// Adds what one established connection pays for. `price` is the price of 256 bytes with each request, as a share of
    /// the value delivered.
    pub(super) fn earn(&mut self, price: f64, balancers: u32) {
        let receivers = f64::from(balancers.saturating_sub(1));
        let message_cost = price * MIN_CHARGED_BYTES / PRICED_BYTES * receivers;
        let earned = if message_cost > 0.0 { MAX_COST_SHARE / message_cost } else { MAX_CREDIT };
        self.messages = (self.messages + earned).min(MAX_CREDIT);
    }

    /// Spends the credit for one message, and draws whether that buys it.
    pub(super) fn spend(&mut self, rng: &mut impl Rng) -> bool {
        let probability = self.messages.min(1.0);
        self.messages -= probability;
        rng.random_bool(probability)
    }
}
