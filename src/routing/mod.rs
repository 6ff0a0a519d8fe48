//! The one reducer: every change of the balancer's state goes through [`reduce`], which reads nothing,
//! writes nothing and knows no wire. Reading and writing are [`Effect`]s that it asks for.
//!
//! It owns the decision module's balancers, one for each pool of servers, and only here do the
//! shop's terms meet the module's: a connection is its request, an attempt its attempt, an server
//! its server.

mod admin;
mod attempts;
mod client;
mod configuration;
mod endpoints;
mod established;
mod gossip;
mod hot_restart;
mod input;
mod migration;
mod probes;
pub mod store;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

use client::LEAVING_WAIT;
pub use endpoints::{host_number, stored_host, Endpoint, EndpointList, Lifecycle};
use hot_restart::Partner;
pub use input::*;
use probes::Probes;
pub use probes::{ProbeEnd, MOST_PROBES};
use store::Store;

use crate::peers::{News, Peers, Word};
use crate::rebalance::{self, Rebalance};
use crate::{Action, Balancer, ClassId, Event, Micros, Outcome, RequestId, ServerId, Time};

struct Pool {
    setup: PoolSetup,
    /// How connections came out, by class.
    counts: Vec<Counts>,
    /// The endpoint list has been told since the start.
    told: bool,
    /// Hosts that are out by hand, or by the store's word.
    out: BTreeSet<String>,
    /// Hosts that were, and since when they are not any more.
    returned: BTreeMap<String, Time>,
    balancer: Balancer,
    /// Who is moved for balance.
    rebalance: Rebalance,
    /// What balancers tell each other.
    peers: Peers,
    probes: Probes,
    table: EndpointList,
    /// The hosts as discovery or the operator's file lists them, before the store has its say.
    listed: BTreeMap<String, Endpoint>,
    /// Connections past their greeting, and the ids by which their clients call them.
    held: usize,
    ids: BTreeSet<String>,
    /// Such as are open at the process before this one.
    elsewhere: BTreeSet<String>,
    wake: Option<Time>,
    /// Sum and number of the loads told so far.
    loads: (f64, f64),
    /// Hosts that told of slow messages, when they last did, and how many milliseconds those took.
    slow: BTreeMap<ServerId, (Time, f64)>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Phase {
    /// Connected, has not asked.
    Greeting,
    /// An answer is owed.
    Placing,
    /// It stood at this host before the start and is set up again until then.
    Adopting(Time, ServerId),
    /// Served.
    Standing,
}

#[derive(Clone, Copy, Debug)]
struct Attempt {
    number: u32,
    host: ServerId,
    written: bool,
    /// When it was written, and before that when it was opened.
    since: Time,
    /// When it has to be up.
    until: Time,
    /// When it has to be written, where a repeat is known for one only so long.
    write_by: Option<Time>,
}

struct ClientConnection {
    pool: PoolId,
    class: Option<ClassId>,
    ask: ConnectionRequest,
    /// The load that its host told last.
    load: Option<f64>,
    phase: Phase,
    attempts: u32,
    attempt: Option<Attempt>,
    /// Its one timer.
    due: Option<Time>,
    /// When it connected, and when it is to be moved.
    met: Time,
    move_at: Option<Time>,
    /// When the first line went to the host that has had no answer since.
    asked: Option<Time>,
}

/// All that the balancer knows.
pub struct State {
    pools: Vec<Pool>,
    connections: BTreeMap<ConnectionId, ClientConnection>,
    timers: BTreeSet<(Time, ConnectionId)>,
    /// Whether its fronts listen.
    listening: bool,
    /// Attempts written in full.
    forwards: u64,
    /// Hosts out by hand, whatever any list says, where no store holds that.
    bans: BTreeSet<String>,
    /// The other process, while a new version takes the place of an old one.
    partner: Option<Partner>,
    /// Calls that it has to hear of before they are answered, and by when they are all the same.
    shared: BTreeMap<CallerId, Time>,
    /// Names of all hosts that were ever listed.
    ever_listed: BTreeSet<String>,
    budget: Budget,
    /// Connections without an attempt, and since when.
    waiting: BTreeMap<ConnectionId, Time>,
    /// The fronts accept no connections until there is room, which is looked for then.
    shut: Option<Time>,
    /// Connections with an attempt at a host.
    at: BTreeMap<(PoolId, ServerId), BTreeSet<ConnectionId>>,
    /// From when it may go, and when it goes at the latest, once it leaves.
    leaving: Option<(Time, Time)>,
    /// That has come.
    left: bool,
    effects: Vec<Effect>,
    store: Store,
    peers: Vec<SocketAddr>,
    /// Whose turn it is to be sent a digest, and when.
    next_peer: usize,
    gossip_at: Option<Time>,
}

/// Takes in what happened and returns what is to be done. The only way in which the state changes.
pub fn reduce(state: &mut State, now: Time, input: Input) -> Vec<Effect> {
    state.take(now, input);
    std::mem::take(&mut state.effects)
}

impl State {
    /// A balancer that has been told its pools and nothing else.
    pub fn new(pools: Vec<PoolSetup>, store: StoreSetup, budget: Budget, now: Time) -> State {
        let map = Store::new(&store.node);
        let pool = |setup: PoolSetup| Pool {
            balancer: Balancer::new(setup.settings.clone(), setup.seed, now),
            peers: Peers::new(setup.peer_setup(), setup.seed),
            rebalance: Rebalance::new(setup.rebalance, setup.rebalance_terms(), setup.seed, now),
            probes: Probes::default(),
            table: EndpointList::default(),
            listed: BTreeMap::new(),
            counts: vec![Counts::default(); setup.classes.len()],
            told: false,
            out: BTreeSet::new(),
            returned: BTreeMap::new(),
            held: 0,
            ids: BTreeSet::new(),
            elsewhere: BTreeSet::new(),
            wake: None,
            loads: (0.0, 0.0),
            slow: BTreeMap::new(),
            setup,
        };
        State {
            pools: pools.into_iter().map(pool).collect(),
            connections: BTreeMap::new(),
            timers: BTreeSet::new(),
            listening: false,
            forwards: 0,
            bans: BTreeSet::new(),
            partner: None,
            shared: BTreeMap::new(),
            ever_listed: BTreeSet::new(),
            budget,
            waiting: BTreeMap::new(),
            shut: None,
            at: BTreeMap::new(),
            leaving: None,
            left: false,
            effects: Vec::new(),
            store: map,
            gossip_at: (!store.peers.is_empty()).then_some(now),
            peers: store.peers,
            next_peer: 0,
        }
    }

    /// What the fronts may hold now.
    pub fn budget(&self) -> Budget {
        self.budget
    }

    /// When [`Input::TimerFired`] is wanted next.
    pub fn next_due(&self) -> Option<Time> {
        let wakes = self.pools.iter().filter_map(|pool| pool.wake);
        let timers = self.timers.first().map(|&(at, _)| at);
        let leaving =
            self.leaving
                .filter(|_| !self.left)
                .map(|(from, to)| if self.connections.is_empty() { from } else { to });
        let shared = self.shared.values().copied();
        let rebalancing = self.pools.iter().filter_map(|pool| pool.rebalance.due());
        wakes
            .chain(timers)
            .chain(rebalancing)
            .chain(shared)
            .chain(leaving)
            .chain(self.gossip_at)
            .chain(self.shut)
            .min()
    }

    /// Whether time has come to something of a connection, and no tick has told so yet.
    pub fn overdue_by(&self, now: Time, id: ConnectionId) -> bool {
        self.connections.get(&id).and_then(|connection| connection.due).is_some_and(|due| due <= now)
    }

    /// What the store holds: for tests.
    pub fn store(&self) -> &Store {
        &self.store
    }

    fn take(&mut self, now: Time, input: Input) {
        match input {
            Input::ClientConnected { connection, pool } => self.met(now, connection, pool),
            Input::ConnectionRequested { connection, ask } => {
                self.on_connection_requested(now, connection, ask)
            }
            Input::ClientDisconnected { connection } => self.left(now, connection),
            Input::HandshakeTimedOut { connection } => {
                if self
                    .connections
                    .get(&connection)
                    .is_some_and(|connection| connection.phase == Phase::Greeting)
                {
                    self.answer(now, connection, Answer::Late);
                }
            }
            Input::SocketsClosed { connection } => {
                self.waiting.remove(&connection);
                self.make_room(now);
            }
            Input::RequestForwarded { connection, attempt } => {
                self.on_request_forwarded(now, connection, attempt);
            }
            Input::AttemptAccepted { connection, attempt } => {
                self.on_attempt_accepted(now, connection, attempt)
            }
            Input::AttemptEnded { connection, attempt, end } => {
                self.on_attempt_ended(now, connection, attempt, end)
            }
            Input::LineForwarded { connection } => {
                if let Some(connection) = self.connections.get_mut(&connection) {
                    connection.asked.get_or_insert(now);
                }
            }
            Input::ServerActivity { connection } => self.heard(connection),
            Input::LoadReported { connection, load } => self.told(now, connection, load),
            Input::StateRestored { entries, bans } => self.kept(now, entries, bans),
            Input::CachedEndpoints { pool, hosts } => self.follow(now, pool, true, hosts),
            Input::EndpointsUpdated { pool, whole, hosts } => {
                self.follow(now, pool, whole, hosts);
                if let Some(pool) = self.pools.get_mut(pool) {
                    pool.told = true;
                    pool.rebalance.take(now, rebalance::Word::ListTold);
                }
            }
            Input::GossipReceived { pool, word } => {
                // Danger: words of hosts that are not listed would fill the memory, and say nothing here.
                let table = &self.pools[pool].table;
                let known = word.news.host().is_none_or(|host| table.any(host).is_some());
                if known && self.pools[pool].peers.heard(now, word.news) {
                    self.tell(now, pool, Event::PeerGroupSample(&word.groups));
                    let told = match word.news {
                        News::SlowHost(server, took) => Event::PeerObservation { server, took: Some(took) },
                        News::Dropped(server) => Event::PeerObservation { server, took: None },
                        News::SlowSetUps => Event::PeerSetupSlow,
                    };
                    self.tell(now, pool, told);
                }
            }
            Input::ProbeCompleted { pool, host, end } => self.probed(now, pool, host, end),
            Input::EndpointWatchLost { pool } => {
                self.weigh(now, pool, rebalance::Word::ListLost);
                self.tell(now, pool, Event::EndpointWatchFailed);
            }
            Input::ReplicaMessage { from, gossip } => self.gossip(now, from, gossip),
            Input::ConfigurationChanged { pools, peers, budget } => self.configure(now, pools, peers, budget),
            Input::SuccessorStarted => self.bequeath(),
            Input::SuccessorReady => self.succeeded(now),
            Input::ConnectionTransferred { connection } => self.passed(now, connection),
            Input::ImportState(legacy) => self.inherit(now, *legacy),
            Input::ConnectionReceived { connection, pool, standing } => {
                self.adopted(now, connection, pool, standing)
            }
            Input::PeerProcessLost => self.partner_lost(now),
            Input::ExclusionShared { host, out } => drop(self.set_ban(now, &host, out)),
            Input::ExclusionAcknowledged { caller } => self.share_taken(caller),
            Input::Listening => self.listening = true,
            Input::AdminRequest { caller, call } => self.call(now, caller, call),
            Input::ShutdownRequested => self.leave(now),
            Input::TimerFired => self.tick(now),
        }
        let over =
            self.leaving.is_some_and(|(from, to)| now >= to || now >= from && self.connections.is_empty());
        if over && !self.left {
            // Danger: who comes in until the process is gone is refused like those before.
            self.left = true;
            // Whoever is still here is owed a word.
            for id in self.connections.keys().copied().collect::<Vec<_>>() {
                let answer = match self.connections.get(&id).map(|connection| connection.phase) {
                    Some(Phase::Standing) => Answer::Moved,
                    Some(Phase::Greeting) => {
                        self.effects.push(Effect::CheckHandshake { connection: id });
                        continue;
                    }
                    // Its time may go on for longer than this process; elsewhere it can still be served.
                    Some(Phase::Placing) if self.may_reject(id) => self.come_again(id, LEAVING_WAIT),
                    _ => Answer::Failed,
                };
                self.give(now, id, answer);
                self.end(now, id, Outcome::Cancelled);
            }
            self.effects.push(Effect::Exit);
        }
    }

    /// Whether the client of a request may be told that to come again is harmless.
    fn may_reject(&self, id: ConnectionId) -> bool {
        self.connections
            .get(&id)
            .is_some_and(|connection| self.pools[connection.pool].balancer.may_reject(RequestId(id.0)))
    }

    /// A refusal that says when to come again, as far as the settings allow.
    fn come_again(&self, id: ConnectionId, wait: Micros) -> Answer {
        let settings =
            self.connections.get(&id).map(|connection| &self.pools[connection.pool].setup.settings);
        let most = settings.filter(|settings| settings.retry_after).map_or(0, |s| s.max_retry_after);
        Answer::Refused(wait.min(most))
    }

    // ---- Time ----

    fn tick(&mut self, now: Time) {
        while let Some(&(_, id)) = self.timers.first().filter(|(at, _)| *at <= now) {
            self.set_due(id, None);
            let Some(connection) = self.connections.get(&id) else { continue };
            match (connection.phase, connection.attempt) {
                (Phase::Greeting, _) => self.effects.push(Effect::CheckHandshake { connection: id }),
                (Phase::Placing, attempt) => {
                    let written = attempt.is_some_and(|attempt| attempt.written);
                    let over = attempt.and_then(|attempt| attempt.write_by).is_some_and(|by| by <= now);
                    self.effects.push(Effect::CloseAttempt { connection: id });
                    let outcome = match (written, over) {
                        (true, _) => Outcome::TimedOut,
                        (false, true) => Outcome::NotSent,
                        (false, false) => Outcome::ConnectFailed,
                    };
                    self.attempt_failed(now, id, outcome);
                }
                (Phase::Adopting(until, host), _) => self.adopt_again(now, id, until, host),
                (Phase::Standing, _) => self.overdue(now, id),
            }
        }
        if self.shut.is_some_and(|at| at <= now) {
            self.make_room(now);
        }
        // Danger: an operator is owed an answer in time, whether the other process has heard of it or not.
        let late = self.shared.iter().filter(|(_, at)| **at <= now).map(|(&caller, _)| caller);
        late.collect::<Vec<_>>().into_iter().for_each(|caller| self.share_taken(caller));
        if self.gossip_at.is_some_and(|at| at <= now) {
            self.keep_gossiping(now);
        }
        for pool in 0..self.pools.len() {
            if self.pools[pool].wake.is_some_and(|at| at <= now) {
                self.pools[pool].wake = None;
                self.tell(now, pool, Event::TimerFired);
            }
            if self.pools[pool].rebalance.due().is_some_and(|at| at <= now) {
                self.rebalance(now, pool);
            }
        }
    }

    fn set_due(&mut self, id: ConnectionId, due: Option<Time>) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        if let Some(old) = std::mem::replace(&mut connection.due, due) {
            self.timers.remove(&(old, id));
        }
        if let Some(at) = due {
            self.timers.insert((at, id));
        }
    }

    fn phase(&mut self, id: ConnectionId, phase: Phase) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.phase = phase;
        }
    }

    // ---- The module ----

    /// Hands an event to a pool's balancer and carries out what it decides.
    fn tell(&mut self, now: Time, pool: PoolId, event: Event<'_>) {
        let mut actions = Vec::new();
        self.pools[pool].balancer.handle(now, event, &mut actions);
        let mut actions = VecDeque::from(actions);
        while let Some(action) = actions.pop_front() {
            match action {
                Action::StartAttempt { request, server, timeout, within } => {
                    let write_by = within.map(|within| now.plus(within));
                    self.open_attempt(now, ConnectionId(request.0), server, timeout, write_by)
                }
                Action::Reject { request, retry_after } => {
                    self.answer(now, ConnectionId(request.0), Answer::Refused(retry_after))
                }
                Action::Fail { request } => self.answer(now, ConnectionId(request.0), Answer::Failed),
                Action::CancelAttempt { request, attempt } => {
                    let id = ConnectionId(request.0);
                    if self.attempt(id, attempt).is_some() {
                        self.drop_attempt(id);
                        self.effects.push(Effect::CloseAttempt { connection: id });
                    }
                    let mut more = Vec::new();
                    let (outcome, answered) = (Outcome::Cancelled, true);
                    let ended = Event::AttemptEnded { request, attempt, outcome, answered };
                    self.pools[pool].balancer.handle(now, ended, &mut more);
                    actions.extend(more);
                }
                Action::Migrate { request } => {
                    self.move_away(now, ConnectionId(request.0), Outcome::Cancelled)
                }
                Action::ReportSlowSetup => self.tell_peers(now, pool, News::SlowSetUps),
                Action::ReportDrop { server } => self.tell_peers(now, pool, News::Dropped(server)),
                Action::WatchEndpoints => self.effects.push(Effect::WatchEndpoints { pool }),
                Action::SetTimer(wait) => {
                    let at = now.plus(wait);
                    let wake = &mut self.pools[pool].wake;
                    *wake = Some(wake.map_or(at, |old| old.min(at)));
                }
                Action::ProbeServer { server } => self.probe(pool, server),
                Action::Log(text) => self.effects.push(Effect::Log(text)),
            }
        }
    }

    /// Tells the tier's other balancers if it is worth it, with a sample of the groups that stand here.
    fn tell_peers(&mut self, now: Time, pool: PoolId, news: News) {
        let Pool { peers, balancer, .. } = &mut self.pools[pool];
        if peers.tell(now, news) {
            let groups = peers.sample(balancer.established_groups());
            self.effects.push(Effect::BroadcastGossip(Word { news, groups }));
        }
    }

    fn answer(&mut self, now: Time, id: ConnectionId, answer: Answer) {
        // Danger: a connection that has ended in the meantime must not be answered a second time.
        if self.connections.contains_key(&id) {
            self.give(now, id, answer);
            self.forget(now, id);
        }
    }

    /// The one place that gives an answer, and counts it.
    fn give(&mut self, now: Time, id: ConnectionId, answer: Answer) {
        match answer {
            Answer::Refused(_) => {
                self.count(id, |counts| counts.declined += 1);
                self.declined(now, id);
            }
            Answer::Failed => {
                self.count(id, |counts| counts.aborted += 1);
                self.declined(now, id);
            }
            // What stood was counted when it came to stand, and what never asked has no class.
            Answer::Moved | Answer::Late => {}
        }
        self.effects.push(Effect::Answer { connection: id, answer });
    }
}
