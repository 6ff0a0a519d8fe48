//! Slow rebalancing: which standing connections are asked to come again so that load evens out, when, and how
//! many. `docs/rebalancing.md` tells why.
//!
//! **What it does.** It is told what happens to connections and servers ([`Rebalance::take`]) and, when its time has
//! come ([`Rebalance::due`]), what the decision module knows of each server ([`Rebalance::evaluate`]). It answers with
//! connections to move, and with ceilings that what it sees calls for: lower where a server holds more than its part,
//! so that new connections go elsewhere at no cost, and higher where nothing is known of a server that has just
//! started. Where connections go is decided by the module, by its own draw.
//!
//! **What it promises.** It moves nobody unless a server is pressed while another has room, unless the gain is a
//! margin over the cost; no group is split; nothing is moved while something of [`SystemConditions`] takes precedence, while
//! set-ups are slow, or while earlier moves turn out badly. No client that came back from a move is moved
//! again. Its maps are bounded by what stands, by the list, and by [`view::MOST_AWAY`].
//!
//! **What it may touch.** Nothing: no clock, no sockets, no files, no chance but its own seeded one. The reducer
//! (`src/routing/`) owns one for each pool and carries out what it answers.

pub mod gain;
pub mod order;
pub mod precedence;
pub mod rate;
pub mod view;

use std::collections::BTreeMap;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::{ConnectionId, Micros, ServerId, Time};

pub use precedence::{Held, SystemConditions};
use rate::Rate;
use view::{Connection, View};

/// Between two evaluations, give or take a fifth: balancers must not act in step.
const EVALUATE: Micros = 500_000;
/// A server that was filled by moves so lately gives up nothing unless it is pressed by measurement.
const FILLED: Micros = 10_000_000;
/// A server that started longer ago than this has shown what it bears.
const FRESH: Micros = 60_000_000;
/// A ceiling of which nothing is known is raised to this share of the fair part.
const KNOWN: f64 = 0.9;
/// Of an excess so much is moved at a time: other balancers see the same.
const PART: f64 = 0.5;

/// What the operator sets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RebalanceConfig {
    /// Whether anything is moved for balance.
    pub on: bool,
    /// Clients a second that this balancer moves at the most; infinite for as many as the learned rate allows.
    pub max_moves_per_s: f64,
    /// A move's gain has to be so many times its cost.
    pub margin: f64,
    /// Where servers do not tell how long messages take: the share of their capacity that servers use on the mean.
    pub assumed_use: f64,
}

impl Default for RebalanceConfig {
    /// Off; when it is on, at most 2 moves a second that gain twice their cost.
    fn default() -> RebalanceConfig {
        RebalanceConfig { on: false, max_moves_per_s: 2.0, margin: 2.0, assumed_use: 0.7 }
    }
}

/// What the pool's settings say that concerns moves.
#[derive(Clone, Debug, PartialEq)]
pub struct RebalanceContext {
    /// Balancers that share the servers, this one included.
    pub balancers: u32,
    /// Each class's worth a second.
    pub priority_weights: Vec<f64>,
    /// The tightest objective for setting a connection up, in microseconds; 0 where there is none.
    pub setup_objective: Micros,
    /// The tightest objective of a message, in microseconds; 0 where unknown.
    pub message_objective: Micros,
    /// Servers tell how long messages take.
    pub tells_delay: bool,
    /// Price of each client moved once, as a share of all worth.
    pub migration_cost: f64,
    /// A server that starts is warm after this time.
    pub slow_start_duration: Micros,
}

/// What happened.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RebalanceEvent {
    /// A client asks: by which flow's key, if it has one, and whether it says that it was moved or cut off.
    Arrived { connection: ConnectionId, key: Option<u64>, again: bool },
    /// Its connection stands, so long after it was asked for at the server; none for one that stood before.
    Stood { connection: ConnectionId, at: Connection, setup: Option<Micros> },
    /// It told its load, in microseconds of work a second.
    Load { connection: ConnectionId, load: f64 },
    /// A server told how long a message takes there.
    Delay { server: ServerId, took: Micros },
    /// A client that asked was refused or failed.
    Declined { connection: ConnectionId },
    /// Nothing is left of it here; `natural` unless it was moved or cut off.
    Ended { connection: ConnectionId, natural: bool },
    /// The list names so many servers in use.
    EndpointEntry { ready: usize },
    /// The list cannot be had.
    ListLost,
    /// The list was told, with or without a change.
    ListTold,
    /// The configuration was read again.
    Reloaded,
}

/// A server, as the decision module and the list have it now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerSnapshot {
    /// Which.
    pub server: ServerId,
    /// It is listed for use and has not just failed.
    pub ready: bool,
    /// Slots held here, and the ceiling.
    pub held: f64,
    /// See `held`.
    pub ceiling: f64,
    /// Its list weight.
    pub weight: f64,
    /// Share of its capacity that it surely has by now, 0 to 1.
    pub warmth: f64,
    /// When its process started, if not long ago.
    pub started: Option<Time>,
    /// When it last refused, dropped or was slow, in this life.
    pub last_fault: Option<Time>,
}

/// What is to be done.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Decision {
    /// Move these, off these servers.
    pub moves: Vec<(ConnectionId, ServerId)>,
    /// Raise the ceilings of these servers to so many slots.
    pub ceilings: Vec<(ServerId, f64)>,
    /// Lower the ceilings of these servers to what they hold.
    pub lowered: Vec<ServerId>,
    /// For the log: why it starts or stops.
    pub log: Option<String>,
}

/// Figures, since the start of the process but for the rate.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RebalanceMetrics {
    /// Clients moved for balance.
    pub moved: u64,
    /// Of those, the ones that came back to this balancer.
    pub returned: u64,
    /// Of those, the ones refused or failed.
    pub refused: u64,
    /// Moves a second that are allowed now.
    pub rate: f64,
    /// Why nothing may be moved now.
    pub held: Option<Held>,
}

/// Decides for one pool of one balancer. Same setup, seed, words and times: same moves.
#[derive(Debug)]
pub struct Rebalance {
    config: RebalanceConfig,
    terms: RebalanceContext,
    view: View,
    rate: Rate,
    precedence: precedence::Precedence,
    next: Option<Time>,
    rng: Pcg64Mcg,
    /// Servers being relieved: for them the lower threshold holds.
    going: BTreeMap<ServerId, Time>,
    /// Servers that moves were meant for, by when.
    filled: BTreeMap<ServerId, Time>,
    metrics: RebalanceMetrics,
    was_held: Option<Held>,
}

impl Rebalance {
    /// One that knows its setup and nothing else.
    pub fn new(config: RebalanceConfig, terms: RebalanceContext, seed: u64, now: Time) -> Rebalance {
        Rebalance {
            config,
            view: View::new(now, &terms),
            rate: Rate::new(now, &config, &terms),
            precedence: precedence::Precedence::new(now),
            next: config.on.then_some(now.plus(EVALUATE)),
            rng: Pcg64Mcg::seed_from_u64(seed ^ 0x6d6f_7665),
            going: BTreeMap::new(),
            filled: BTreeMap::new(),
            metrics: RebalanceMetrics::default(),
            was_held: None,
            terms,
        }
    }

    /// Other settings from now on; what was seen stays.
    pub fn configure(&mut self, now: Time, config: RebalanceConfig, terms: RebalanceContext) {
        self.rate.configure(&config, &terms);
        self.view.configure(&terms);
        (self.config, self.terms) = (config, terms);
        self.next = config.on.then(|| self.next.unwrap_or(now.plus(EVALUATE)));
        self.take(now, RebalanceEvent::Reloaded);
    }

    /// When [`Rebalance::evaluate`] is wanted next; never while it is off.
    pub fn due(&self) -> Option<Time> {
        self.next
    }

    /// The figures now.
    pub fn metrics(&self) -> RebalanceMetrics {
        RebalanceMetrics { rate: if self.config.on { self.rate.now() } else { 0.0 }, ..self.metrics }
    }

    /// A standing connection, since when, and whether it came back from a move: for tests.
    pub fn connection(&self, connection: ConnectionId) -> Option<(Connection, Time, bool)> {
        self.view.connection(connection)
    }

    /// Takes in what happened.
    pub fn take(&mut self, now: Time, word: RebalanceEvent) {
        match word {
            RebalanceEvent::Arrived { connection, key, again } => {
                self.precedence.arrived(now);
                if self.view.arrived(now, connection, key, again) {
                    self.metrics.returned += 1;
                    self.rate.returned();
                } else if again {
                    self.rate.others_returned();
                }
            }
            RebalanceEvent::Stood { connection, at, setup } => {
                // Danger: at a slow server a set-up is slow too, which says nothing of the session store.
                if let Some(took) = setup.filter(|_| !self.view.ever_slow(now, at.server)) {
                    self.rate.set_up(now, took);
                }
                self.view.stood(now, connection, at);
            }
            RebalanceEvent::Load { connection, load } => self.view.load(connection, load),
            RebalanceEvent::Delay { server, took } => self.view.delay(now, server, took),
            RebalanceEvent::Declined { connection } => {
                self.rate.declined();
                if self.view.declined(connection) {
                    self.metrics.refused += 1;
                    self.rate.refused(now);
                }
            }
            RebalanceEvent::Ended { connection, natural } => self.view.ended(now, connection, natural),
            RebalanceEvent::EndpointEntry { ready } => self.precedence.listed(now, ready),
            RebalanceEvent::ListLost => self.precedence.list_lost(),
            RebalanceEvent::ListTold => self.precedence.list_told(),
            RebalanceEvent::Reloaded => self.precedence.reloaded(now),
        }
    }

    /// Says who is to move now. Each of the moves counts as made.
    pub fn evaluate(&mut self, now: Time, world: SystemConditions, servers: &[ServerSnapshot]) -> Decision {
        if !self.config.on {
            self.next = None;
            return Decision::default();
        }
        self.next = Some(now.plus((EVALUATE as f64 * self.rng.random_range(0.8..1.2)) as Micros));
        self.going.retain(|_, since| now.since(*since) < FILLED);
        self.filled.retain(|_, at| now.since(*at) < FILLED);
        let gone = self.view.give_up_on(now);
        self.rate.pass(now, self.view.standing(), gone);
        let ready = servers.iter().filter(|server| server.ready).count();
        let held = self.precedence.held(now, world, ready).or_else(|| self.rate.held(now));
        let mut decision = Decision::default();
        if held.is_none() {
            decision.ceilings = self.raise(now, servers);
            (decision.moves, decision.lowered) = self.choose(now, servers);
        }
        // Only what keeps moves from being made is worth a line.
        if self.was_held != held && (self.metrics.moved > 0 || self.was_held.is_some()) {
            decision.log = Some(match held {
                Some(held) => format!("rebalancing held: {held}"),
                None => "rebalancing may go on".to_owned(),
            });
        }
        self.was_held = held;
        self.metrics.held = held;
        decision
    }

    /// What is not known yet is taken to be as the rest: the few slots that a server begins with would else keep it
    /// nearly empty for long after it is warm, and moved clients would go anywhere but there.
    fn raise(&self, now: Time, servers: &[ServerSnapshot]) -> Vec<(ServerId, f64)> {
        let (weights, slots) = gain::fleet(servers);
        let known = |server: &ServerSnapshot| slots * server.weight / weights * KNOWN;
        let unknown = servers.iter().filter(|server| gain::unknown(&self.view, now, server));
        unknown
            .filter(|server| server.ceiling < known(server))
            .map(|server| (server.server, known(server)))
            .collect()
    }

    /// Who is moved, and whose ceilings are lowered to what they hold.
    fn choose(
        &mut self,
        now: Time,
        servers: &[ServerSnapshot],
    ) -> (Vec<(ConnectionId, ServerId)>, Vec<ServerId>) {
        let ready = || servers.iter().filter(|server| server.ready);
        let (weights, slots) = gain::fleet(servers);
        if weights <= 0.0 || slots <= 0.0 {
            return Default::default();
        }
        let fair = |server: &ServerSnapshot| slots * server.weight / weights;
        let mut pressed = Vec::new();
        for server in ready() {
            let going = self.going.contains_key(&server.server);
            let press = gain::press(&self.terms, &self.config, &self.view, now, server, fair(server), going);
            pressed.extend(press.map(|press| (server, press)));
        }
        let lowered = pressed.iter().map(|(server, _)| server.server).collect();
        // Danger: what was just filled must not send the same clients on, unless it tells of too much.
        let swings =
            |server: &ServerSnapshot| self.filled.contains_key(&server.server) && !self.terms.tells_delay;
        pressed.retain(|(server, press)| press.sure && !swings(server));
        let worst = pressed.iter().map(|(_, press)| press.excess).fold(0.0, f64::max);
        self.rate.excess(now, worst);
        if pressed.is_empty() || self.rate.tokens() < 1.0 {
            return (Vec::new(), lowered);
        }
        let mut room: Vec<(ServerId, f64)> = Vec::new();
        for server in ready().filter(|server| pressed.iter().all(|(donor, _)| donor.server != server.server))
        {
            let free = gain::room(&self.terms, &self.view, now, server, fair(server));
            if free > 0.0 {
                room.push((server.server, free));
            }
        }
        let away = self.view.slots_away();
        let mut free = room.iter().map(|(_, free)| free).sum::<f64>() * PART - away;
        pressed.sort_by(|a, b| b.1.late.total_cmp(&a.1.late).then(b.1.excess.total_cmp(&a.1.excess)));
        let mut moves = Vec::new();
        for (server, press) in pressed {
            let limits = order::Limits {
                tokens: self.rate.tokens(),
                saved: self.rate.saved(),
                slots: free.min(press.excess * PART).max(0.0),
                cost: self.rate.client_cost(&self.view),
                margin: self.config.margin,
            };
            let units = order::units(&self.view, &self.terms, server.server);
            for unit in order::choose(units, &press, server.held, self.view.life(now), limits) {
                self.rate.spend(unit.members.len());
                free -= unit.slots;
                self.going.entry(server.server).or_insert(now);
                moves.extend(unit.members.into_iter().map(|connection| (connection, server.server)));
            }
        }
        if let (false, Some(&(to, _))) = (moves.is_empty(), room.iter().max_by(|a, b| a.1.total_cmp(&b.1))) {
            self.filled.insert(to, now);
        }
        self.metrics.moved += moves.len() as u64;
        for &(connection, _) in &moves {
            self.view.sent_away(now, connection);
        }
        (moves, lowered)
    }
}
