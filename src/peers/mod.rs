//! Gossip between the balancers of one tier: which server's messages are slow, which server dropped an
//! established connection, that set-ups are slow everywhere, and, along with each such observation, the
//! groups of some connections that are established at its sender.
//!
//! One of a hundred balancers holds a connection or two at few servers. It learns that a server is slow by
//! placing a connection there, and all the others would learn it in the same way. So the first balancer that
//! observes it passes it on, in one datagram to all. Messages may be lost or late, and nothing waits for one:
//! without them each balancer learns by itself. Not every server reports its message times: a drop alone
//! shows that a server got too much. Set-ups slow down everywhere when what all servers share is slow. The
//! sampled groups fit into bytes that are paid for anyway: from them all balancers learn alike how large each
//! group is, and so on how many servers it belongs.
//!
//! Guarantees: what is spent on messages stays a small fixed share of all worth, whatever the price and the
//! number of balancers, and a balancer does not broadcast an observation of a server while an earlier one
//! still holds. The module is pure: its clock is handed in. Where a new connection goes is decided by the
//! policy alone.
#![deny(missing_docs)]

use std::collections::BTreeMap;

use rand::seq::IteratorRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::{GroupHash, Micros, ServerId, Time};

/// The share of all worth that messages may cost.
const MAX_COST_SHARE: f64 = 0.01;
/// A shorter datagram is paid for like one of so many bytes (`docs/fleet.md`).
const MIN_PAID_BYTES: f64 = 16.0;
/// The price is for so many bytes delivered with each request.
const PRICED_BYTES: f64 = 256.0;
/// A server whose messages take this share of their objective is reported: many of them miss it.
const SLOW_MESSAGE_RATIO: f64 = 0.5;
/// The most messages that can be saved up.
const MAX_CREDIT: f64 = 3.0;
/// Distinguishes the random draws of gossip from those of the policy, which has the same seed.
const SEED_MASK: u64 = u64::from_be_bytes(*b"the tier");
/// The number of groups sent along with an observation: as many as fit into the bytes that are paid for at
/// least.
pub const SAMPLE: usize = 4;

/// How the balancers of a pool may gossip.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct GossipConfig {
    /// Gossip is allowed, and the other balancers can be reached.
    pub enabled: bool,
    /// The number of balancers, this one included.
    pub balancers: u32,
    /// What 256 bytes delivered for each request cost, as a share of all worth; 0 where they cost nothing.
    pub price: f64,
    /// A message is wanted within this time; 0 where unknown.
    pub message_objective: Micros,
    /// How long an observation of a server holds.
    pub observation_hold: Micros,
    /// How long an observation of slow set-ups holds.
    pub slow_setup_hold: Micros,
}

/// What a balancer observed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Observation {
    /// Messages at this server take so long.
    SlowServer(ServerId, Micros),
    /// This server dropped an established connection.
    Dropped(ServerId),
    /// Set-ups are slow, or fail, because of what all servers share.
    SlowSetUps,
}

/// Groups of connections established at a message's sender, drawn at random; `None` where there are no more.
pub type Sample = [Option<GroupHash>; SAMPLE];

/// One gossip message.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GossipMessage {
    /// What was observed.
    pub observation: Observation,
    /// Groups of connections established at the sender.
    pub groups: Sample,
}

/// What an observation is of.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Subject {
    SetUps,
    Server(ServerId),
}

/// Decides which observations are broadcast, and records those that other balancers sent.
pub struct Peers {
    config: GossipConfig,
    rng: Pcg64Mcg,
    /// Messages that may still be sent. Part of one buys a message with that probability: where each of many
    /// balancers serves few connections, none would ever have saved up a whole one.
    credit: f64,
    /// When each subject was last observed, here or by another balancer.
    last_observed: BTreeMap<Subject, Time>,
}

impl Peers {
    /// Gossip without observations so far.
    pub fn new(config: GossipConfig, seed: u64) -> Peers {
        let rng = Pcg64Mcg::seed_from_u64(seed ^ SEED_MASK);
        let mut peers = Peers { config, rng, credit: 0.0, last_observed: BTreeMap::new() };
        peers.earn_credit();
        peers
    }

    /// Replaces the configuration; credit and observations stay.
    pub fn configure(&mut self, config: GossipConfig) {
        self.config = config;
    }

    /// A connection was established here: it pays for a part of a message, or for several.
    pub fn earn_credit(&mut self) {
        let receivers = f64::from(self.config.balancers.saturating_sub(1));
        let cost = self.config.price * MIN_PAID_BYTES / PRICED_BYTES * receivers;
        let earned = if cost > 0.0 { MAX_COST_SHARE / cost } else { MAX_CREDIT };
        self.credit = (self.credit + earned).min(MAX_CREDIT);
    }

    /// Whether an observation made here is to be broadcast; if so, it is paid for and recorded.
    pub fn should_broadcast(&mut self, now: Time, observation: Observation) -> bool {
        let is_possible = self.config.enabled && self.config.balancers > 1;
        // All balancers that hold a connection at a server observe it in the same second.
        if !(is_possible && self.is_relevant(observation)) || self.is_known(now, observation) {
            return false;
        }
        let probability = self.credit.min(1.0);
        self.credit -= probability;
        let is_sent = self.rng.random_bool(probability);
        if is_sent {
            self.record(now, observation);
        }
        is_sent
    }

    /// Draws the groups that go along with an observation, from those of all connections established here.
    pub fn sample_groups(&mut self, established: impl Iterator<Item = GroupHash>) -> Sample {
        let mut sample = [None; SAMPLE];
        established.map(Some).choose_multiple_fill(&mut self.rng, &mut sample);
        sample
    }

    /// Records an observation that another balancer sent. Returns whether it is to be applied.
    pub fn accept(&mut self, now: Time, observation: Observation) -> bool {
        if self.config.enabled {
            self.record(now, observation);
        }
        self.config.enabled
    }

    /// Whether the other balancers would change anything by an observation.
    fn is_relevant(&self, observation: Observation) -> bool {
        let objective = self.config.message_objective;
        match observation {
            Observation::SlowServer(_, took) => {
                objective > Micros::ZERO && took.as_f64() >= SLOW_MESSAGE_RATIO * objective.as_f64()
            }
            Observation::Dropped(_) | Observation::SlowSetUps => true,
        }
    }

    /// Whether an earlier observation of the same subject still holds.
    fn is_known(&self, now: Time, observation: Observation) -> bool {
        let hold = match observation {
            Observation::SlowServer(..) | Observation::Dropped(_) => self.config.observation_hold,
            Observation::SlowSetUps => self.config.slow_setup_hold,
        };
        self.last_observed.get(&observation.subject()).is_some_and(|at| now.since(*at) < hold)
    }

    /// Records when a subject was observed. Servers come and go under ever new numbers: what holds no more is
    /// forgotten, so that the memory stays bounded.
    fn record(&mut self, now: Time, observation: Observation) {
        let longest = self.config.observation_hold.max(self.config.slow_setup_hold);
        self.last_observed.retain(|_, at| now.since(*at) < longest);
        self.last_observed.insert(observation.subject(), now);
    }
}

impl Observation {
    /// The observed server, if it is of one.
    pub fn server(self) -> Option<ServerId> {
        match self {
            Observation::SlowServer(server, _) | Observation::Dropped(server) => Some(server),
            Observation::SlowSetUps => None,
        }
    }

    fn subject(self) -> Subject {
        self.server().map_or(Subject::SetUps, Subject::Server)
    }
}
