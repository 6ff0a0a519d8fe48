//! Gossip between the balancers of one tier.
//!
//! In a tier of a hundred balancers, each has only a few connections at any server. It would learn that a server is slow
//! by placing a connection there, and so would all others. Instead, the first balancer that observes something sends it to
//! all others in one datagram each. What is observed:
//!
//! - messages at a server are slow;
//! - a server dropped an established connection, by which also balancers whose servers do not report message times learn
//!   that it is overloaded;
//! - set-ups are slow at all servers, as happens when something that they share is slow.
//!
//! Messages may be lost or late, and nothing waits for one: without them each balancer learns by itself.
//!
//! Rule: an observation made here is broadcast if
//!
//! 1. gossip is enabled and there is another balancer;
//! 2. the others would change something by it: a message time has to reach `SLOW_MESSAGE_RATIO` of the message objective;
//! 3. no earlier observation of the same subject still holds (`recent_observations`);
//! 4. the credit pays for it (`credit`).
//!
//! Each message also carries a sample of groups (`group_sample`). What the balancer does about an observation of another
//! is decided in `src/policy/`. The module is pure: its clock is handed in, and its random draws are seeded.
#![deny(missing_docs)]

mod config;
mod credit;
mod group_sample;
mod message;
mod recent_observations;

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use credit::MessageCredit;
use recent_observations::RecentObservations;

pub use config::GossipConfig;
pub use group_sample::{GroupSample, MAX_SAMPLED_GROUPS};
pub use message::{GossipMessage, Observation};

use crate::{GroupHash, Micros, Time};

/// The least share of the message objective that a message time has to reach to be sent. Many messages of a server with
/// this mean time miss the objective.
const SLOW_MESSAGE_RATIO: f64 = 0.5;
/// Changes the seed, so that the draws differ from those of the policy, which has the same seed.
const SEED_MASK: u64 = u64::from_be_bytes(*b"the tier");

/// Decides which observations are broadcast, and records those of other balancers.
pub struct Peers {
    config: GossipConfig,
    rng: Pcg64Mcg,
    credit: MessageCredit,
    observations: RecentObservations,
}

impl Peers {
    /// Gossip without observations so far, and with the credit of one connection.
    pub fn new(config: GossipConfig, seed: u64) -> Peers {
        let mut peers = Peers {
            config,
            rng: Pcg64Mcg::seed_from_u64(seed ^ SEED_MASK),
            credit: MessageCredit::default(),
            observations: RecentObservations::default(),
        };
        peers.earn_credit();
        peers
    }

    /// Replaces the configuration. Credit and observations are kept.
    pub fn configure(&mut self, config: GossipConfig) {
        self.config = config;
    }

    /// Adds the credit of a connection that was established here.
    pub fn earn_credit(&mut self) {
        self.credit.earn(self.config.price, self.config.balancers);
    }

    /// Whether an observation made here is to be broadcast. If so, it is paid for and recorded.
    pub fn should_broadcast(&mut self, now: Time, observation: Observation) -> bool {
        let has_receivers = self.config.enabled && self.config.balancers > 1;
        if !has_receivers || !self.is_relevant(observation) {
            return false;
        }
        if self.observations.is_known(now, observation, &self.config) {
            return false;
        }
        let is_sent = self.credit.spend(&mut self.rng);
        if is_sent {
            self.observations.record(now, observation, &self.config);
        }
        is_sent
    }

    /// Draws the groups that a message carries from those of all connections established here.
    pub fn sample_groups(&mut self, established: impl Iterator<Item = GroupHash>) -> GroupSample {
        group_sample::draw_sample(&mut self.rng, established)
    }

    /// Records an observation of another balancer. Returns whether it is to be applied.
    pub fn record_received(&mut self, now: Time, observation: Observation) -> bool {
        if self.config.enabled {
            self.observations.record(now, observation, &self.config);
        }
        self.config.enabled
    }

    /// Whether the other balancers would change anything by an observation.
    fn is_relevant(&self, observation: Observation) -> bool {
        let objective = self.config.message_objective;
        match observation {
            Observation::SlowServer(_, message_time) => {
                objective > Micros::ZERO && message_time.as_f64() >= SLOW_MESSAGE_RATIO * objective.as_f64()
            }
            Observation::Dropped(_) | Observation::SlowSetUps => true,
        }
    }
}
