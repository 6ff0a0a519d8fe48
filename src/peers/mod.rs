//! What the balancers of one tier tell each other: which server's messages take long, which dropped what stood, that set-ups
//! take long at all servers, and, along with each such word, of which groups some connections are that stand at its sender.
//!
//! One of a hundred balancers holds a connection or two at few servers. It learns that a server is slow by placing somebody
//! there, and all the others would learn it in the same way. So the first to be told by a server passes it on, in one
//! datagram to all. Words may be lost or late, and nothing waits for one: without them each learns by itself.
//! Not every server tells of messages: one that drops shows by that alone that it was sent too much.
//! So it is with set-ups, which slow down everywhere when what all servers share is slow. The groups are a sample that costs
//! nothing, in bytes that are paid for anyway: from it all know alike how large each group is, and so on how many servers.
//!
//! It promises that what is spent on words stays a small fixed share of all worth, whatever the price and the number
//! of balancers, and that one server is told of no more often than a word holds. It is pure, has its clock handed in, and
//! is owned by the reducer, a field of each pool. Where a new connection goes stays the decision module's choice.

use std::collections::BTreeMap;

use rand::seq::IteratorRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::{GroupHash, Micros, ServerId, Time};

/// Words may cost this share of all worth.
const SPEND: f64 = 0.01;
/// A datagram is paid for like one of so many bytes, however short (`docs/fleet.md`).
const LEAST_BYTES: f64 = 16.0;
/// The price is for so many bytes delivered a request.
const PRICED_BYTES: f64 = 256.0;
/// Messages that take this share of their objective are missing it: the server is told of.
const SLOW: f64 = 0.5;
/// Words saved up for when they are needed.
const MOST_CREDIT: f64 = 3.0;
/// Groups told along with a word: as many as it has room for among its least bytes.
pub const SAMPLE: usize = 4;

/// How a pool's balancers may tell each other.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct GossipConfig {
    /// They may at all, and are reached.
    pub on: bool,
    /// How many there are, this one included.
    pub balancers: u32,
    /// What 256 bytes delivered for each request cost, as a share of all worth; 0 where they cost nothing.
    pub price: f64,
    /// A message is wanted within this time; 0 where unknown.
    pub message_objective: Micros,
    /// So long a server is avoided for one word of it.
    pub holds: Micros,
    /// So long one word of slow set-ups is enough.
    pub set_up_holds: Micros,
}

/// What a word tells.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Observation {
    /// Messages at this server take so long.
    SlowServer(ServerId, Micros),
    /// This server dropped a connection that stood.
    Dropped(ServerId),
    /// Set-ups take long, or fail, for what all servers share.
    SlowSetUps,
}

/// Groups of connections that stand at a word's sender, drawn at random; fewer where there are no more.
pub type Sample = [Option<GroupHash>; SAMPLE];

/// One word.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GossipMessage {
    /// What it tells.
    pub observation: Observation,
    /// What goes with it.
    pub groups: Sample,
}

/// Who was told of, and what may still be spent.
pub struct Peers {
    config: GossipConfig,
    rng: Pcg64Mcg,
    /// Words that may still be sent. Part of one buys a word with that chance: where each of many balancers serves
    /// few, none would ever have saved up a whole one.
    credit: f64,
    /// Servers that were told of, and when; under none, set-ups.
    told: BTreeMap<Option<ServerId>, Time>,
}

impl Peers {
    /// Balancers that have told each other nothing so far.
    pub fn new(config: GossipConfig, seed: u64) -> Peers {
        // Its chance must not be the decision module's, which has the same seed.
        let rng = Pcg64Mcg::seed_from_u64(seed ^ u64::from_be_bytes(*b"the tier"));
        let mut peers = Peers { config, rng, credit: 0.0, told: BTreeMap::new() };
        peers.stood();
        peers
    }

    /// Another setup from now on.
    pub fn configure(&mut self, config: GossipConfig) {
        self.config = config;
    }

    /// A connection came to stand here: it pays for words.
    pub fn stood(&mut self) {
        let others = f64::from(self.config.balancers.saturating_sub(1));
        let cost = self.config.price * LEAST_BYTES / PRICED_BYTES * others;
        let earned = if cost > 0.0 { SPEND / cost } else { MOST_CREDIT };
        self.credit = (self.credit + earned).min(MOST_CREDIT);
    }

    /// There is news here: whether the others are to be told.
    pub fn tell(&mut self, now: Time, observation: Observation) -> bool {
        let GossipConfig { on, balancers, message_objective, .. } = self.config;
        let matters = match observation {
            Observation::SlowServer(_, took) => {
                message_objective > 0 && took as f64 >= SLOW * message_objective as f64
            }
            Observation::Dropped(_) | Observation::SlowSetUps => true,
        };
        // Danger: all that hold a connection there are told in the same second.
        if !(on && balancers > 1 && matters) || self.fresh(now, observation) {
            return false;
        }
        let chance = self.credit.min(1.0);
        self.credit -= chance;
        let tell = self.rng.random_bool(chance);
        if tell {
            self.note(now, observation);
        }
        tell
    }

    /// Some of the groups of connections that stand here, to go with a word.
    pub fn sample(&mut self, standing: impl Iterator<Item = GroupHash>) -> Sample {
        let mut sample = [None; SAMPLE];
        standing.map(Some).choose_multiple_fill(&mut self.rng, &mut sample);
        sample
    }

    /// Another balancer's word came: whether it counts.
    pub fn heard(&mut self, now: Time, observation: Observation) -> bool {
        if self.config.on {
            self.note(now, observation);
        }
        self.config.on
    }

    /// Whether a word of the same still holds.
    fn fresh(&self, now: Time, observation: Observation) -> bool {
        let holds = match observation {
            Observation::SlowServer(..) | Observation::Dropped(_) => self.config.holds,
            Observation::SlowSetUps => self.config.set_up_holds,
        };
        self.told.get(&observation.server()).is_some_and(|at| now.since(*at) < holds)
    }

    /// Danger: servers come and go under ever new numbers; what holds no more is forgotten.
    fn note(&mut self, now: Time, observation: Observation) {
        let longest = self.config.holds.max(self.config.set_up_holds);
        self.told.retain(|_, at| now.since(*at) < longest);
        self.told.insert(observation.server(), now);
    }
}

impl Observation {
    /// The server that it is of, if it is of one.
    pub fn server(self) -> Option<ServerId> {
        match self {
            Observation::SlowServer(server, _) | Observation::Dropped(server) => Some(server),
            Observation::SlowSetUps => None,
        }
    }
}
