//! Gossip between the balancers of one tier.
//!
//! In a tier of a hundred balancers, each balancer has only a few connections at any server. Without gossip,
//! each balancer would place a connection at a slow server before it learns that the server is slow. Instead,
//! the first balancer that makes an observation sends it to all others, in one datagram each. Observations
//! are:
//!
//! - messages at a server are slow;
//! - a server dropped an established connection. This tells balancers whose servers do not report message
//!   times that the server is overloaded;
//! - a connection setup was slow, or failures at two servers were correlated. This is taken as a sign that a
//!   component that all servers share is slow.
//!
//! Messages may be lost or delayed, and no decision waits for one. Without messages each balancer learns from
//! its own connections.
//!
//! Rule: this balancer broadcasts its own observation if
//!
//! 1. gossip is enabled and there is another balancer;
//! 2. it is relevant to the other balancers: a message time has to reach `MIN_BROADCAST_RATIO` of the message
//!    objective. Receivers would react to lower times, too (`policy::concurrency_limit`). Without an
//!    objective, message times are never sent;
//! 3. no earlier observation of the same subject, made here or received, is still valid
//!    (`recent_observations`). Slow messages and a drop at one server are the same subject;
//! 4. the credit suffices (`credit`).
//!
//! Each message also contains a sample of groups (`group_sample`). The reaction to another balancer's
//! observation is decided in `src/policy/`. The module performs no I/O and is deterministic: the caller
//! passes in the time, and random draws are seeded.
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

/// Smallest message time that is broadcast, as a share of the message objective. Many messages of a server
/// with this mean time miss the objective.
const MIN_BROADCAST_RATIO: f64 = 0.5;
/// Mask that is combined with the seed, so that random draws differ from those of the policy, which uses the
/// same seed.
const SEED_MASK: u64 = u64::from_be_bytes(*b"the tier");

/// Gossip of one balancer: decides which observations are broadcast, and records those of other balancers.
pub struct Gossip {
    config: GossipConfig,
    rng: Pcg64Mcg,
    credit: MessageCredit,
    observations: RecentObservations,
}

impl Gossip {
    /// Creates a state without observations, with the credit that one connection earns.
    pub fn new(config: GossipConfig, seed: u64) -> Gossip {
        let mut gossip = Gossip {
            config,
            rng: Pcg64Mcg::seed_from_u64(seed ^ SEED_MASK),
            credit: MessageCredit::default(),
            observations: RecentObservations::default(),
        };
        gossip.earn_credit();
        gossip
    }

    /// Replaces the configuration. Credit and observations are kept.
    pub fn configure(&mut self, config: GossipConfig) {
        self.config = config;
    }

    /// Adds the credit of a connection that was established here.
    pub fn earn_credit(&mut self) {
        self.credit.earn(self.config.price, self.config.balancers);
    }

    /// Decides whether an observation of this balancer is broadcast. If it is, records it. The credit is
    /// spent even if the random draw (`credit`) then decides against the broadcast.
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

    /// Draws the groups for a message from the groups of all connections established at this balancer.
    pub fn sample_groups(&mut self, established: impl Iterator<Item = GroupHash>) -> GroupSample {
        group_sample::draw_sample(&mut self.rng, established)
    }

    /// Records an observation of another balancer. Returns whether the observation is to be applied.
    pub fn record_received(&mut self, now: Time, observation: Observation) -> bool {
        if self.config.enabled {
            self.observations.record(now, observation, &self.config);
        }
        self.config.enabled
    }

    /// Returns whether an observation is relevant to other balancers.
    fn is_relevant(&self, observation: Observation) -> bool {
        let objective = self.config.message_objective;
        match observation {
            Observation::SlowServer(_, message_time) => {
                objective > Micros::ZERO && message_time.as_f64() >= MIN_BROADCAST_RATIO * objective.as_f64()
            }
            Observation::Dropped(_) | Observation::SlowSetups => true,
        }
    }
}
