//! The one reducer: every change of the balancer's state goes through [`reduce`], which reads nothing,
//! writes nothing and knows no wire. Reading and writing are [`Effect`]s that it asks for.
//!
//! It owns the decision module's balancers, one for each pool of servers, and only here do the
//! shop's terms meet the module's: a connection is its request, an attempt its attempt, a server
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
pub use endpoints::{server_id, stored_endpoint, Endpoint, EndpointList, Lifecycle};
use hot_restart::PeerProcess;
pub use input::*;
use probes::Probes;
pub use probes::{ProbeEnd, MOST_PROBES};
use store::Store;

use crate::peers::{GossipMessage, Observation, Peers};
use crate::rebalance::{self, Rebalance};
use crate::{Action, Balancer, ClassId, Event, Micros, Outcome, RequestId, ServerId, Time};

struct Pool {
    config: PoolConfig,
    /// How connections came out, by class.
    counts: Vec<ClassCounters>,
    /// The endpoint list has been told since the start.
    told: bool,
    /// Servers that are out by hand, or by the store's word.
    out: BTreeSet<String>,
    /// Servers that were, and since when they are not any more.
    readmitted: BTreeMap<String, Time>,
    balancer: Balancer,
    /// Who is moved for balance.
    rebalance: Rebalance,
    /// What balancers tell each other.
    peers: Peers,
    probes: Probes,
    table: EndpointList,
    /// The servers as discovery or the operator's file lists them, before the store has its say.
    listed: BTreeMap<String, Endpoint>,
    /// Connections past their greeting, and the ids by which their clients call them.
    held: usize,
    ids: BTreeSet<String>,
    /// Such as are open at the process before this one.
    held_by_predecessor: BTreeSet<String>,
    wake: Option<Time>,
    /// Sum and number of the loads told so far.
    loads: (f64, f64),
    /// Servers that told of slow messages, when they last did, and how many milliseconds those took.
    slow: BTreeMap<ServerId, (Time, f64)>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Phase {
    /// Connected, has not asked.
    Handshaking,
    /// An answer is owed.
    Connecting,
    /// It stood at this server before the start and is set up again until then.
    Restoring(Time, ServerId),
    /// Served.
    Established,
}

#[derive(Clone, Copy, Debug)]
struct Attempt {
    number: u32,
    server: ServerId,
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
    /// The load that its server told last.
    load: Option<f64>,
    phase: Phase,
    attempts: u32,
    attempt: Option<Attempt>,
    /// Its one timer.
    due: Option<Time>,
    /// When it connected, and when it is to be moved.
    connected_at: Time,
    migrate_at: Option<Time>,
    /// When the first line went to the server that has had no answer since.
    awaiting_server_since: Option<Time>,
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
    /// Servers out by hand, whatever any list says, where no store holds that.
    excluded_by_operator: BTreeSet<String>,
    /// The other process, while a new version takes the place of an old one.
    peer_process: Option<PeerProcess>,
    /// Calls that it has to hear of before they are answered, and by when they are all the same.
    pending_acknowledgements: BTreeMap<AdminClientId, Time>,
    /// Names of all servers that were ever listed.
    ever_listed: BTreeSet<String>,
    budget: Budget,
    /// Connections without an attempt, and since when.
    waiting: BTreeMap<ConnectionId, Time>,
    /// The fronts accept no connections until there is room, which is looked for then.
    shut: Option<Time>,
    /// Connections with an attempt at a server.
    at: BTreeMap<(PoolId, ServerId), BTreeSet<ConnectionId>>,
    /// From when it may go, and when it goes at the latest, once it leaves.
    shutdown_window: Option<(Time, Time)>,
    /// That has come.
    left: bool,
    effects: Vec<Effect>,
    store: Store,
    peers: Vec<SocketAddr>,
    /// Whose turn it is to be sent a digest, and when.
    next_peer: usize,
    next_gossip_at: Option<Time>,
}

/// Takes in what happened and returns what is to be done. The only way in which the state changes.
pub fn reduce(state: &mut State, now: Time, input: Input) -> Vec<Effect> {
    state.handle_input(now, input);
    std::mem::take(&mut state.effects)
}

impl State {
    /// A balancer that has been told its pools and nothing else.
    pub fn new(pools: Vec<PoolConfig>, store: ReplicationConfig, budget: Budget, now: Time) -> State {
        let map = Store::new(&store.node);
        let pool = |config: PoolConfig| Pool {
            balancer: Balancer::new(config.settings.clone(), config.seed, now),
            peers: Peers::new(config.gossip_config(), config.seed),
            rebalance: Rebalance::new(config.rebalance, config.rebalance_context(), config.seed, now),
            probes: Probes::default(),
            table: EndpointList::default(),
            listed: BTreeMap::new(),
            counts: vec![ClassCounters::default(); config.classes.len()],
            told: false,
            out: BTreeSet::new(),
            readmitted: BTreeMap::new(),
            held: 0,
            ids: BTreeSet::new(),
            held_by_predecessor: BTreeSet::new(),
            wake: None,
            loads: (0.0, 0.0),
            slow: BTreeMap::new(),
            config,
        };
        State {
            pools: pools.into_iter().map(pool).collect(),
            connections: BTreeMap::new(),
            timers: BTreeSet::new(),
            listening: false,
            forwards: 0,
            excluded_by_operator: BTreeSet::new(),
            peer_process: None,
            pending_acknowledgements: BTreeMap::new(),
            ever_listed: BTreeSet::new(),
            budget,
            waiting: BTreeMap::new(),
            shut: None,
            at: BTreeMap::new(),
            shutdown_window: None,
            left: false,
            effects: Vec::new(),
            store: map,
            next_gossip_at: (!store.peers.is_empty()).then_some(now),
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
        let shutdown_window = self.shutdown_window.filter(|_| !self.left).map(|(from, to)| {
            if self.connections.is_empty() {
                from
            } else {
                to
            }
        });
        let pending_acknowledgements = self.pending_acknowledgements.values().copied();
        let rebalancing = self.pools.iter().filter_map(|pool| pool.rebalance.due());
        wakes
            .chain(timers)
            .chain(rebalancing)
            .chain(pending_acknowledgements)
            .chain(shutdown_window)
            .chain(self.next_gossip_at)
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

    fn handle_input(&mut self, now: Time, input: Input) {
        match input {
            Input::ClientConnected { connection, pool } => self.on_client_connected(now, connection, pool),
            Input::ConnectionRequested { connection, ask } => {
                self.on_connection_requested(now, connection, ask)
            }
            Input::ClientDisconnected { connection } => self.on_client_disconnected(now, connection),
            Input::HandshakeTimedOut { connection } => {
                if self
                    .connections
                    .get(&connection)
                    .is_some_and(|connection| connection.phase == Phase::Handshaking)
                {
                    self.answer(now, connection, Answer::HandshakeTimedOut);
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
                    connection.awaiting_server_since.get_or_insert(now);
                }
            }
            Input::ServerActivity { connection } => self.on_server_activity(connection),
            Input::LoadReported { connection, load } => self.on_load_reported(now, connection, load),
            Input::StateRestored { entries, excluded_by_operator } => {
                self.on_state_restored(now, entries, excluded_by_operator)
            }
            Input::CachedEndpoints { pool, endpoints } => {
                self.on_endpoints_updated(now, pool, true, endpoints)
            }
            Input::EndpointsUpdated { pool, whole, endpoints } => {
                self.on_endpoints_updated(now, pool, whole, endpoints);
                if let Some(pool) = self.pools.get_mut(pool) {
                    pool.told = true;
                    pool.rebalance.on_event(now, rebalance::RebalanceEvent::EndpointListReceived);
                }
            }
            Input::GossipReceived { pool, message } => {
                // Danger: words of servers that are not listed would fill the memory, and say nothing here.
                let table = &self.pools[pool].table;
                let known = message.observation.server().is_none_or(|server| table.any(server).is_some());
                if known && self.pools[pool].peers.heard(now, message.observation) {
                    self.dispatch(now, pool, Event::PeerGroupSample(&message.groups));
                    let told = match message.observation {
                        Observation::SlowServer(server, took) => {
                            Event::PeerObservation { server, took: Some(took) }
                        }
                        Observation::Dropped(server) => Event::PeerObservation { server, took: None },
                        Observation::SlowSetUps => Event::PeerSetupSlow,
                    };
                    self.dispatch(now, pool, told);
                }
            }
            Input::ProbeCompleted { pool, server, end } => self.on_probe_completed(now, pool, server, end),
            Input::EndpointWatchLost { pool } => {
                self.notify_rebalancer(now, pool, rebalance::RebalanceEvent::EndpointListLost);
                self.dispatch(now, pool, Event::EndpointWatchFailed);
            }
            Input::ReplicaMessage { from, gossip } => self.on_replica_message(now, from, gossip),
            Input::ConfigurationChanged { pools, peers, budget } => self.configure(now, pools, peers, budget),
            Input::SuccessorStarted => self.export_state(),
            Input::SuccessorReady => self.on_successor_ready(now),
            Input::ConnectionTransferred { connection } => self.on_connection_transferred(now, connection),
            Input::ImportState(handover_state) => self.import_state(now, *handover_state),
            Input::ConnectionReceived { connection, pool, established } => {
                self.on_connection_received(now, connection, pool, established)
            }
            Input::PeerProcessLost => self.on_peer_process_lost(now),
            Input::ExclusionShared { server, out } => drop(self.set_exclusion(now, &server, out)),
            Input::ExclusionAcknowledged { admin_client } => self.on_exclusion_acknowledged(admin_client),
            Input::Listening => self.listening = true,
            Input::AdminRequest { admin_client, call } => self.on_admin_request(now, admin_client, call),
            Input::ShutdownRequested => self.begin_shutdown(now),
            Input::TimerFired => self.tick(now),
        }
        let over = self
            .shutdown_window
            .is_some_and(|(from, to)| now >= to || now >= from && self.connections.is_empty());
        if over && !self.left {
            // Danger: who comes in until the process is gone is refused like those before.
            self.left = true;
            // Whoever is still here is owed a word.
            for id in self.connections.keys().copied().collect::<Vec<_>>() {
                let answer = match self.connections.get(&id).map(|connection| connection.phase) {
                    Some(Phase::Established) => Answer::Migrated,
                    Some(Phase::Handshaking) => {
                        self.effects.push(Effect::CheckHandshake { connection: id });
                        continue;
                    }
                    // Its time may go on for longer than this process; elsewhere it can still be served.
                    Some(Phase::Connecting) if self.may_reject(id) => {
                        self.reject_with_retry_after(id, LEAVING_WAIT)
                    }
                    _ => Answer::Failed,
                };
                self.send_answer(now, id, answer);
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
    fn reject_with_retry_after(&self, id: ConnectionId, wait: Micros) -> Answer {
        let settings =
            self.connections.get(&id).map(|connection| &self.pools[connection.pool].config.settings);
        let most = settings.filter(|settings| settings.retry_after).map_or(0, |s| s.max_retry_after);
        Answer::Rejected(wait.min(most))
    }

    // ---- Time ----

    fn tick(&mut self, now: Time) {
        while let Some(&(_, id)) = self.timers.first().filter(|(at, _)| *at <= now) {
            self.set_due(id, None);
            let Some(connection) = self.connections.get(&id) else { continue };
            match (connection.phase, connection.attempt) {
                (Phase::Handshaking, _) => self.effects.push(Effect::CheckHandshake { connection: id }),
                (Phase::Connecting, attempt) => {
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
                (Phase::Restoring(until, server), _) => self.adopt_again(now, id, until, server),
                (Phase::Established, _) => self.on_established_timer(now, id),
            }
        }
        if self.shut.is_some_and(|at| at <= now) {
            self.make_room(now);
        }
        // Danger: an operator is owed an answer in time, whether the other process has heard of it or not.
        let late = self
            .pending_acknowledgements
            .iter()
            .filter(|(_, at)| **at <= now)
            .map(|(&admin_client, _)| admin_client);
        late.collect::<Vec<_>>()
            .into_iter()
            .for_each(|admin_client| self.on_exclusion_acknowledged(admin_client));
        if self.next_gossip_at.is_some_and(|at| at <= now) {
            self.send_digest(now);
        }
        for pool in 0..self.pools.len() {
            if self.pools[pool].wake.is_some_and(|at| at <= now) {
                self.pools[pool].wake = None;
                self.dispatch(now, pool, Event::TimerFired);
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
    fn dispatch(&mut self, now: Time, pool: PoolId, event: Event<'_>) {
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
                    self.answer(now, ConnectionId(request.0), Answer::Rejected(retry_after))
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
                Action::Migrate { request } => self.migrate(now, ConnectionId(request.0), Outcome::Cancelled),
                Action::ReportSlowSetup => self.broadcast_observation(now, pool, Observation::SlowSetUps),
                Action::ReportDrop { server } => {
                    self.broadcast_observation(now, pool, Observation::Dropped(server))
                }
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
    fn broadcast_observation(&mut self, now: Time, pool: PoolId, observation: Observation) {
        let Pool { peers, balancer, .. } = &mut self.pools[pool];
        if peers.tell(now, observation) {
            let groups = peers.sample(balancer.established_groups());
            self.effects.push(Effect::BroadcastGossip(GossipMessage { observation, groups }));
        }
    }

    fn answer(&mut self, now: Time, id: ConnectionId, answer: Answer) {
        // Danger: a connection that has ended in the meantime must not be answered a second time.
        if self.connections.contains_key(&id) {
            self.send_answer(now, id, answer);
            self.release(now, id);
        }
    }

    /// The one place that gives an answer, and counts it.
    fn send_answer(&mut self, now: Time, id: ConnectionId, answer: Answer) {
        match answer {
            Answer::Rejected(_) => {
                self.count(id, |counts| counts.declined += 1);
                self.declined(now, id);
            }
            Answer::Failed => {
                self.count(id, |counts| counts.aborted += 1);
                self.declined(now, id);
            }
            // What stood was counted when it came to stand, and what never asked has no class.
            Answer::Migrated | Answer::HandshakeTimedOut => {}
        }
        self.effects.push(Effect::Answer { connection: id, answer });
    }
}
