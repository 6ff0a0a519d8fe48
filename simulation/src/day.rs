//! One day: events in the order of their time, around real reducers.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use connection_balancer::routing::{
    reduce, Answer, AttemptOutcome, Budget, ConnectionId, ConnectionRequest, Effect, Endpoint, Input,
    Lifecycle, PoolConfig, ReplicationConfig, State,
};
use connection_balancer::{Class, Idempotency, Settings, Time};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::clients::{self, Client, CLASSES, SETUP_AIMS};
use crate::rules::Rules;
use crate::server::Host;
use crate::session::Store;
use crate::world::{Blow, Session, Trouble, World, SECOND};

/// Servers are looked at so often.
const STEP: u64 = 100_000;
/// One way over the network.
const HOP: u64 = 600;
/// A set-up takes a server so many messages' time beside the session store's call.
const SETUP_MESSAGES: f64 = 2.0;
/// The front goes on sending to a dead balancer for so long.
const FRONT_NOTICES: u64 = 2 * SECOND;
/// A connection's mean load, in microseconds of work a second.
const LOAD: f64 = 60_000.0;
/// Day times begin here on the reducers' clock.
const ORIGIN: u64 = 1_000 * SECOND;
/// Clients try again so often soon after a refusal or a failure.
const RETRIES: u32 = 2;
/// Price of each client moved once, as a share of all worth.
const MOVE_PRICE: f64 = 0.025;

/// What a day came to.
#[derive(Clone, Debug, Default)]
pub struct Result {
    /// Worth of well-served seconds over the worth of all asked for, less the price of moves.
    pub priority_weight: f64,
    /// Moves, by whatever cause, and of those the ones for balance.
    pub moves: u64,
    /// Moves for balance.
    pub for_balance: u64,
    /// Refusals and failures.
    pub declined: u64,
    /// Minutes that connections stood.
    pub minutes: f64,
    /// Share of the worth asked for that was served, each second.
    pub quality: Vec<f64>,
    /// Worst server's use over the mean of servers that run, each second.
    pub spread: Vec<f64>,
    /// What each server holds, each second, and the message time there in milliseconds.
    pub servers: Vec<Vec<(usize, f64)>>,
    /// Rate of moves that the first balancer allows, each second.
    pub rates: Vec<f64>,
    /// Why its moves are held, each second.
    pub holds: Vec<String>,
    /// Mean number of servers that a group of three or more stands on, over the day.
    pub split: f64,
    /// What rules were broken.
    pub broken: Vec<String>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A client connects through the front: which try of it.
    Comes(usize, u32),
    /// It waits no longer.
    GivesUp(usize, u32),
    /// It wants its connection no more.
    Leaves(usize),
    /// An attempt's first line arrives: of a balancer in this life.
    Attempt(usize, u64, ConnectionId, u32, usize),
    /// A server has set it up: at this life of the server.
    Up(usize, u64, ConnectionId, u32, usize, u64),
    /// Time comes to something at a balancer.
    Due(usize, u64),
    /// The list tells.
    Told(usize, u64),
    Blow(Blow),
    Step,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Place {
    Away,
    /// At a balancer of this life, which owes it an answer.
    Asking(usize, u64, ConnectionId),
    Standing(usize, u64, ConnectionId, usize),
    Done,
}

#[derive(Debug)]
struct Now {
    place: Place,
    tries: u32,
    left: u32,
    again: bool,
    moved: bool,
}

struct Node {
    state: State,
    up: bool,
    life: u64,
    /// Who its connections are, and the server of each one's attempt.
    connections: BTreeMap<ConnectionId, (usize, Option<usize>)>,
    next: u64,
    due: Option<u64>,
    died: u64,
}

struct Day<'a> {
    world: &'a World,
    clients: &'a [Client],
    now: u64,
    queue: BinaryHeap<Reverse<(u64, u64, Event)>>,
    count: u64,
    nodes: Vec<Node>,
    servers: Vec<Host>,
    /// What the list says, and since when.
    listed: Vec<Lifecycle>,
    store: Store,
    people: Vec<Now>,
    rng: Pcg64Mcg,
    rules: Rules,
    result: Result,
    asked: f64,
    served: f64,
    /// Both at the last full second.
    before: (f64, f64),
    unlisted: bool,
    seed: u64,
    splits: (f64, f64),
}

/// What a balancer of this world is told.
fn setup(world: &World, seed: u64) -> PoolConfig {
    let class = |n: usize| Class {
        priority_weight: CLASSES[n].0,
        setup_objective: SETUP_AIMS[n],
        message_objective: if world.tells_delay { CLASSES[n].1 as u64 } else { 0 },
        idempotency: Idempotency::Idempotent,
    };
    PoolConfig {
        name: "model",
        classes: vec!["stock-feed".to_owned(), "wallet".to_owned()],
        tenants: Vec::new(),
        zones: vec!["a".to_owned()],
        settings: Settings {
            balancers: world.balancers as u32,
            classes: vec![class(0), class(1)],
            max_attempts: 6,
            cancel: true,
            retry_after: true,
            max_retry_after: 1_500_000,
            connect_timeout: 250_000,
            poll_required: true,
            migration_cost: MOVE_PRICE,
            slow_start_share: 0.34,
            slow_start_duration: 8_800_000,
            slow_start_overload_factor: 4.0,
            slow_start_window: 3_000_000,
            ..Settings::default()
        },
        seed,
        discovery: None,
        greeting: 1_500_000,
        from_store: false,
        most_held: usize::MAX,
        drain_over: 0,
        silence: 5_000_000,
        tells_delay: world.tells_delay,
        tells_load: true,
        reports: Vec::new(),
        longest_wait: 3_200_000,
        rebalance: world.rebalance,
        peers: None,
    }
}

fn server_entry(n: usize, lifecycle: Lifecycle, started: Option<u64>) -> Endpoint {
    Endpoint {
        name: format!("s-{:08x}", n + 1),
        address: n.to_string(),
        zone: "a".to_owned(),
        cell: 0,
        lifecycle,
        weight: 1.0,
        started: started.map(|at| Time(ORIGIN + at)),
    }
}

/// One reducer that holds connections at twenty servers, a little lopsided, and hears nothing but time.
pub struct Held {
    state: State,
    now: u64,
}

impl Held {
    /// So many connections, with rebalancing on or off.
    pub fn new(standing: usize, on: bool) -> Held {
        let world = World {
            servers: 20,
            balancers: 1,
            rebalance: connection_balancer::rebalance::RebalanceConfig { enabled: on, ..Default::default() },
            ..World::default()
        };
        let setup = setup(&world, 1);
        let budget = Budget { waiting: 100_000, held: 100_000, buffer: 8192 };
        let mut state = State::new(vec![setup], ReplicationConfig::default(), budget, Time(ORIGIN));
        let mut feed = |input| drop(reduce(&mut state, Time(ORIGIN), input));
        feed(Input::EndpointsUpdated {
            pool: 0,
            whole: true,
            endpoints: (0..20).map(|n| server_entry(n, Lifecycle::Ready, None)).collect(),
        });
        for n in 0..standing {
            let connection = ConnectionId(n as u64);
            // One server more in twenty at the first: over its part, so that the whole of it is looked at.
            let server = if n % 20 == 19 && n % 3 == 0 { 0 } else { n % 20 };
            let ask = ConnectionRequest {
                class: "stock-feed".to_owned(),
                established_at: Some(format!("s-{:08x}", server + 1)),
                key: Some(n as u64),
                ..ConnectionRequest::default()
            };
            feed(Input::ClientConnected { connection, pool: 0 });
            feed(Input::ConnectionRequested { connection, ask });
            feed(Input::RequestForwarded { connection, attempt: 0 });
            feed(Input::AttemptAccepted { connection, attempt: 0 });
            feed(Input::LoadReported { connection, load: LOAD * (0.5 + (n % 7) as f64 / 6.0) });
        }
        Held { state, now: 0 }
    }

    /// So many seconds pass.
    pub fn pass(&mut self, seconds: u64) {
        let end = self.now + seconds * SECOND;
        while let Some(at) =
            self.state.next_due().map(|at| at.0.saturating_sub(ORIGIN)).filter(|at| *at < end)
        {
            self.now = at.max(self.now + 1);
            reduce(&mut self.state, Time(ORIGIN + self.now), Input::TimerFired);
        }
        self.now = end;
    }
}

/// Plays a day.
pub fn play(world: &World, trouble: Trouble, session: Session, seed: u64) -> Result {
    let clients = clients::draw(world, seed);
    let rate = clients::rate(&clients, world).max(0.5);
    let slow = |n: usize| if trouble == Trouble::SlowServer && n == 0 { 0.7 } else { 1.0 };
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ 0x5eed);
    // Servers are of different sizes, which nobody is told.
    let capacity = world.capacity;
    let servers =
        (0..world.servers).map(|n| Host::new(capacity * slow(n) * rng.random_range(0.9..1.1))).collect();
    let person = || Now { place: Place::Away, tries: 0, left: RETRIES, again: false, moved: false };
    let mut day = Day {
        now: 0,
        queue: BinaryHeap::new(),
        count: 0,
        nodes: Vec::new(),
        servers,
        listed: vec![Lifecycle::Ready; world.servers],
        store: Store::new(rate * world.session_rate, session),
        people: clients.iter().map(|_| person()).collect(),
        rng,
        rules: Rules::default(),
        result: Result::default(),
        asked: 0.0,
        served: 0.0,
        before: (0.0, 0.0),
        unlisted: trouble == Trouble::GoneUnlisted,
        seed,
        splits: (0.0, 0.0),
        world,
        clients: &clients,
    };
    day.nodes = (0..world.balancers).map(|n| day.node(n, 0)).collect();
    for n in 0..world.balancers {
        day.tell(n);
    }
    day.begin();
    trouble.blows(world).into_iter().for_each(|(at, blow)| day.at(at, Event::Blow(blow)));
    day.at(STEP, Event::Step);
    let end = world.seconds * SECOND;
    while let Some(Reverse((at, _, event))) = day.queue.pop() {
        if at > end {
            break;
        }
        day.now = at;
        day.happens(event);
    }
    day.finish()
}

impl Day<'_> {
    fn at(&mut self, at: u64, event: Event) {
        self.count += 1;
        self.queue.push(Reverse((at.max(self.now), self.count, event)));
    }

    fn clock(&self) -> Time {
        Time(ORIGIN + self.now)
    }

    fn node(&self, n: usize, life: u64) -> Node {
        let seed = self.seed.wrapping_mul(1_000_003).wrapping_add(n as u64 * 101 + life);
        let setup = setup(self.world, seed);
        let budget = Budget { waiting: 100_000, held: 100_000, buffer: 8192 };
        let state = State::new(vec![setup], ReplicationConfig::default(), budget, self.clock());
        Node { state, up: true, life, connections: BTreeMap::new(), next: 0, due: None, died: 0 }
    }

    fn list(&self) -> Vec<Endpoint> {
        let server =
            |(n, lifecycle): (usize, &Lifecycle)| server_entry(n, *lifecycle, self.servers[n].started);
        let listed = self.listed.iter().enumerate().filter(|(_, state)| **state != Lifecycle::Gone);
        listed.map(server).collect()
    }

    /// A balancer hears the whole list.
    fn tell(&mut self, n: usize) {
        for server in 0..self.servers.len() {
            self.rules.told(self.now, n, server, self.listed[server] != Lifecycle::Ready);
        }
        let servers = self.list();
        self.feed(n, Input::EndpointsUpdated { pool: 0, whole: true, endpoints: servers });
    }

    /// All hear of a change, late.
    fn news(&mut self) {
        for n in 0..self.nodes.len() {
            let life = self.nodes[n].life;
            let late = self.rng.random_range(self.world.list_delay / 2..=self.world.list_delay);
            self.at(self.now + late, Event::Told(n, life));
        }
    }

    /// Those who stood before the day.
    fn begin(&mut self) {
        let mut homes = BTreeMap::new();
        for client in 0..self.clients.len() {
            let from = self.clients[client].from;
            if !self.clients[client].stood {
                self.at(from, Event::Comes(client, 0));
                continue;
            }
            let free = self.rng.random_range(0..self.servers.len());
            let server = match self.clients[client].group {
                Some(group) => *homes.entry(group).or_insert(free),
                None => free,
            };
            let n = self.rng.random_range(0..self.nodes.len());
            let name = format!("s-{:08x}", server + 1);
            self.ask(client, n, Some(name));
            self.at(self.clients[client].until, Event::Leaves(client));
        }
    }

    fn ask(&mut self, client: usize, n: usize, established_at: Option<String>) {
        let who = &self.clients[client];
        let node = &mut self.nodes[n];
        node.next += 1;
        let connection = ConnectionId(node.next);
        let life = node.life;
        node.connections.insert(connection, (client, None));
        self.people[client].place = Place::Asking(n, life, connection);
        let ask = ConnectionRequest {
            id: Some(format!("{n}-{life}-{}", connection.0)),
            class: ["stock-feed", "wallet"][who.class].to_owned(),
            group: who.group,
            wait: Some(CLASSES[who.class].2),
            key: Some(client as u64),
            again: self.people[client].again,
            established_at,
            ..ConnectionRequest::default()
        };
        self.feed(n, Input::ClientConnected { connection, pool: 0 });
        self.feed(n, Input::ConnectionRequested { connection, ask });
    }

    fn feed(&mut self, n: usize, input: Input) {
        let now = self.clock();
        let effects = reduce(&mut self.nodes[n].state, now, input);
        for effect in effects {
            self.carry_out(n, effect);
        }
        let next = self.nodes[n].state.next_due().map(|at| at.0.saturating_sub(ORIGIN));
        if next != self.nodes[n].due {
            self.nodes[n].due = next;
            let life = self.nodes[n].life;
            if let Some(at) = next {
                self.at(at, Event::Due(n, life));
            }
        }
    }

    fn carry_out(&mut self, n: usize, effect: Effect) {
        let life = self.nodes[n].life;
        match effect {
            Effect::OpenAttempt { connection, attempt, address, .. } => {
                let server = address.parse().unwrap_or(usize::MAX);
                self.rules.attempt(self.now, (n, life, connection.0), server);
                self.at(self.now + HOP, Event::Attempt(n, life, connection, attempt, server));
            }
            Effect::CloseAttempt { connection } => self.close_attempt(n, connection),
            Effect::Answer { connection, answer } => {
                let Some(&(client, _)) = self.nodes[n].connections.get(&connection) else { return };
                self.close_attempt(n, connection);
                self.nodes[n].connections.remove(&connection);
                let who = (n, life, connection.0);
                match answer {
                    Answer::Migrated => {
                        self.result.moves += 1;
                        self.people[client].moved = true;
                        let gone = self.rng.random::<f64>() >= self.world.come_back;
                        if gone {
                            self.people[client].place = Place::Done;
                        } else {
                            self.breaks(client);
                        }
                    }
                    Answer::Rejected(wait) => {
                        self.rules.answer(self.now, who);
                        self.declined(client, wait);
                    }
                    Answer::Failed | Answer::HandshakeTimedOut => {
                        self.rules.answer(self.now, who);
                        self.declined(client, 0);
                    }
                }
                self.feed(n, Input::SocketsClosed { connection });
            }
            // Asked for once at the start; all that changes is told.
            _ => {}
        }
    }

    fn close_attempt(&mut self, n: usize, connection: ConnectionId) {
        let life = self.nodes[n].life;
        self.rules.over((n, life, connection.0));
        let Some((client, server)) = self.nodes[n].connections.get_mut(&connection) else { return };
        if let Some(server) = server.take() {
            let client = *client;
            self.servers[server].release(client);
        }
    }

    /// Its connection broke or was moved: it comes again.
    fn breaks(&mut self, client: usize) {
        let person = &mut self.people[client];
        (person.place, person.again, person.left) = (Place::Away, true, RETRIES);
        person.tries += 1;
        let tries = person.tries;
        let gap = self.rng.random_range(100_000..1_300_000);
        self.at(self.now + gap, Event::Comes(client, tries));
    }

    fn declined(&mut self, client: usize, wait: u64) {
        self.result.declined += 1;
        let person = &mut self.people[client];
        // It comes until it is done, and after many failures waits longer.
        let tired = person.left == 0;
        person.left = person.left.saturating_sub(1);
        person.place = Place::Away;
        person.tries += 1;
        let tries = person.tries;
        let wait = if wait > 0 { wait } else { self.rng.random_range(200_000..1_500_000) };
        let wait = if tired { wait + self.rng.random_range(1_000_000..4_000_000) } else { wait };
        self.at(self.now + wait, Event::Comes(client, tries));
    }

    fn happens(&mut self, event: Event) {
        match event {
            Event::Comes(client, tries) => self.comes(client, tries),
            Event::GivesUp(client, tries) => {
                if let (Place::Asking(n, life, connection), true) =
                    (self.people[client].place, self.people[client].tries == tries)
                {
                    if self.nodes[n].up && self.nodes[n].life == life {
                        if !self.rules.answered((n, life, connection.0)) {
                            self.rules.unanswered(self.now, (n, life, connection.0));
                        }
                        self.close_attempt(n, connection);
                        self.nodes[n].connections.remove(&connection);
                        self.feed(n, Input::ClientDisconnected { connection });
                        self.feed(n, Input::SocketsClosed { connection });
                    }
                    self.declined(client, 0);
                }
            }
            Event::Leaves(client) => match std::mem::replace(&mut self.people[client].place, Place::Done) {
                Place::Asking(n, life, connection) | Place::Standing(n, life, connection, _)
                    if self.nodes[n].up && self.nodes[n].life == life =>
                {
                    self.close_attempt(n, connection);
                    self.nodes[n].connections.remove(&connection);
                    self.feed(n, Input::ClientDisconnected { connection });
                    self.feed(n, Input::SocketsClosed { connection });
                }
                _ => {}
            },
            Event::Attempt(n, life, connection, attempt, server) => {
                self.attempt(n, life, connection, attempt, server)
            }
            Event::Up(n, life, connection, attempt, server, process) => {
                self.up(n, life, connection, attempt, server, process)
            }
            Event::Due(n, life) => {
                let node = &self.nodes[n];
                if node.up && node.life == life && node.due.is_some_and(|at| at <= self.now) {
                    self.nodes[n].due = None;
                    self.feed(n, Input::TimerFired);
                }
            }
            Event::Told(n, life) => {
                if self.nodes[n].up && self.nodes[n].life == life {
                    self.tell(n);
                }
            }
            Event::Blow(blow) => self.blow(blow),
            Event::Step => self.step(),
        }
    }

    fn comes(&mut self, client: usize, tries: u32) {
        let person = &self.people[client];
        if person.place != Place::Away || person.tries != tries {
            return;
        }
        if tries == 0 {
            self.at(self.clients[client].until, Event::Leaves(client));
        }
        let fronted = |node: &Node| node.up || self.now - node.died < FRONT_NOTICES;
        let nodes: Vec<usize> = (0..self.nodes.len()).filter(|&n| fronted(&self.nodes[n])).collect();
        if nodes.is_empty() {
            return self.declined(client, 0);
        }
        let n = nodes[self.rng.random_range(0..nodes.len())];
        if !self.nodes[n].up {
            return self.declined(client, 0);
        }
        self.ask(client, n, None);
        let wait = CLASSES[self.clients[client].class].2;
        // A little of it is lost on the way.
        self.at(self.now + wait + 2 * HOP, Event::GivesUp(client, tries));
    }

    fn attempt(&mut self, n: usize, life: u64, connection: ConnectionId, attempt: u32, server: usize) {
        if !self.nodes[n].up || self.nodes[n].life != life {
            return;
        }
        let Some(&(client, _)) = self.nodes[n].connections.get(&connection) else { return };
        let here = self.servers.get(server).is_some_and(|server| server.up);
        if !here {
            self.rules.over((n, life, connection.0));
            return self
                .feed(n, Input::AttemptEnded { connection, attempt, end: AttemptOutcome::ConnectFailed });
        }
        self.feed(n, Input::RequestForwarded { connection, attempt });
        if self.servers[server].full() {
            self.rules.over((n, life, connection.0));
            return self.feed(n, Input::AttemptEnded { connection, attempt, end: AttemptOutcome::Rejected });
        }
        let who = &self.clients[client];
        let warmth = self.servers[server].warmth(self.now);
        if warmth < 1.0 {
            self.rules.cold(self.now, server, warmth, self.servers[server].capacity, who.load);
        }
        self.servers[server].take(self.now, client, who.load, who.group);
        if let Some((_, at)) = self.nodes[n].connections.get_mut(&connection) {
            *at = Some(server);
        }
        // What stood before the day is in the session store already.
        let called = if self.now <= HOP { self.now } else { self.store.call(self.now) };
        let takes = self.servers[server].message(self.now) * SETUP_MESSAGES;
        let process = self.servers[server].life;
        self.at(called + takes as u64, Event::Up(n, life, connection, attempt, server, process));
    }

    fn up(
        &mut self,
        n: usize,
        life: u64,
        connection: ConnectionId,
        attempt: u32,
        server: usize,
        process: u64,
    ) {
        if !self.nodes[n].up || self.nodes[n].life != life || self.servers[server].life != process {
            return;
        }
        let Some(&(client, Some(at))) = self.nodes[n].connections.get(&connection) else { return };
        let asking = self.people[client].place == Place::Asking(n, life, connection);
        // An attempt that was closed and one that followed it may be at the same server.
        let latest = self.attempts(n, life, connection) == attempt;
        if at != server || !asking || !latest || !self.servers[server].up {
            return;
        }
        self.people[client].place = Place::Standing(n, life, connection, server);
        self.rules.over((n, life, connection.0));
        self.rules.answer(self.now, (n, life, connection.0));
        self.feed(n, Input::AttemptAccepted { connection, attempt });
        let load = self.clients[client].load * LOAD;
        self.feed(n, Input::LoadReported { connection, load });
    }

    fn blow(&mut self, blow: Blow) {
        match blow {
            Blow::ServerDies(server) => {
                let held = self.servers[server].die();
                for client in held {
                    let (Place::Standing(n, life, connection, _) | Place::Asking(n, life, connection)) =
                        self.people[client].place
                    else {
                        continue;
                    };
                    if !self.nodes[n].up || self.nodes[n].life != life {
                        continue;
                    }
                    if let Some((_, at)) = self.nodes[n].connections.get_mut(&connection) {
                        *at = None;
                    }
                    let standing = matches!(self.people[client].place, Place::Standing(..));
                    let attempt = self.attempts(n, life, connection);
                    if standing {
                        self.nodes[n].connections.remove(&connection);
                        self.feed(n, Input::AttemptEnded { connection, attempt, end: AttemptOutcome::Reset });
                        self.feed(n, Input::SocketsClosed { connection });
                        self.breaks(client);
                    } else {
                        self.rules.over((n, life, connection.0));
                        self.feed(n, Input::AttemptEnded { connection, attempt, end: AttemptOutcome::Reset });
                    }
                }
                if !self.unlisted {
                    self.listed[server] = Lifecycle::Gone;
                    self.news();
                }
            }
            Blow::ServerStarts(server) => {
                self.servers[server].start(self.now);
                self.listed[server] = Lifecycle::Ready;
                self.news();
            }
            Blow::ServerDrains(server) => {
                self.servers[server].draining = true;
                self.listed[server] = Lifecycle::Draining;
                self.news();
            }
            Blow::BalancerDies(n) => {
                let connections = std::mem::take(&mut self.nodes[n].connections);
                self.nodes[n].up = false;
                self.nodes[n].died = self.now;
                for (_, (client, server)) in connections {
                    if let Some(server) = server {
                        self.servers[server].release(client);
                    }
                    self.breaks(client);
                }
            }
            Blow::BalancerStarts(n) => {
                let life = self.nodes[n].life + 1;
                self.nodes[n] = self.node(n, life);
                self.rules.restarted(n);
                self.tell(n);
            }
        }
    }

    /// The number of the attempt that is out: the last that was opened.
    fn attempts(&self, n: usize, life: u64, connection: ConnectionId) -> u32 {
        self.rules.attempts((n, life, connection.0)).saturating_sub(1)
    }

    /// Servers go on for a step, and what it was worth.
    fn step(&mut self) {
        let seconds = STEP as f64 / 1e6;
        for server in &mut self.servers {
            server.pass(self.now, seconds);
        }
        for (client, who) in self.clients.iter().enumerate() {
            if who.from >= self.now {
                break;
            }
            if who.until <= self.now {
                continue;
            }
            let (priority_weight, aim, ..) = CLASSES[who.class];
            self.asked += priority_weight * seconds;
            if let Place::Standing(_, _, _, server) = self.people[client].place {
                self.served += priority_weight * seconds * self.servers[server].in_time(self.now, aim);
                self.result.minutes += seconds / 60.0;
            }
        }
        if self.now.is_multiple_of(SECOND) {
            self.each_second();
        }
        for server in 0..self.servers.len() {
            if self.servers[server].drops() {
                let first = self.servers[server].held.keys().next().copied();
                first.into_iter().for_each(|client| self.dropped(client));
            }
            // Over some seconds a draining server sends its clients away.
            if self.servers[server].draining && self.servers[server].up && self.now.is_multiple_of(2 * STEP) {
                let first = self.servers[server].held.keys().next().copied();
                first.into_iter().for_each(|client| self.sent_away(client));
            }
        }
        self.at(self.now + STEP, Event::Step);
    }

    fn dropped(&mut self, client: usize) {
        self.ended_by_server(client, AttemptOutcome::Reset);
    }

    fn sent_away(&mut self, client: usize) {
        self.ended_by_server(client, AttemptOutcome::RedirectedByServer);
    }

    fn ended_by_server(&mut self, client: usize, end: AttemptOutcome) {
        let Place::Standing(n, life, connection, _) = self.people[client].place else { return };
        let attempt = self.attempts(n, life, connection);
        self.close_attempt(n, connection);
        self.nodes[n].connections.remove(&connection);
        self.feed(n, Input::AttemptEnded { connection, attempt, end });
        self.feed(n, Input::SocketsClosed { connection });
        self.breaks(client);
    }

    fn each_second(&mut self) {
        let (asked, served) = (self.asked - self.before.0, self.served - self.before.1);
        self.before = (self.asked, self.served);
        self.result.quality.push(served / asked.max(1e-9));
        let used: Vec<f64> =
            self.servers.iter().filter(|server| server.up).map(|server| server.held.len() as f64).collect();
        let now = self.now;
        let servers = self.servers.iter().map(|server| (server.held.len(), server.message(now) / 1000.0));
        self.result.servers.push(servers.collect());
        let mean = used.iter().sum::<f64>() / used.len().max(1) as f64;
        self.result.spread.push(used.iter().copied().fold(0.0, f64::max) / mean.max(0.01));
        let figures = self.nodes[0].state.rebalancing(0).unwrap_or_default();
        self.result.rates.push(figures.rate);
        self.result.holds.push(figures.hold_reason.map_or(String::new(), |held| held.to_string()));
        let mut groups: BTreeMap<u64, (usize, std::collections::BTreeSet<usize>)> = BTreeMap::new();
        for (client, person) in self.people.iter().enumerate() {
            if let (Place::Standing(_, _, _, server), Some(group)) =
                (person.place, self.clients[client].group)
            {
                let of = groups.entry(group).or_default();
                of.0 += 1;
                of.1.insert(server);
            }
        }
        for (_, servers) in groups.values().filter(|(count, _)| *count >= 3) {
            self.splits.0 += servers.len() as f64;
            self.splits.1 += 1.0;
        }
        if !self.world.tells_delay {
            return;
        }
        for server in 0..self.servers.len() {
            let took = self.servers[server].message(self.now);
            let third = CLASSES.iter().map(|class| class.1).fold(f64::INFINITY, f64::min) / 3.0;
            if !self.servers[server].up || took <= third {
                continue;
            }
            // To one connection of each balancer.
            let mut told = vec![false; self.nodes.len()];
            for client in self.servers[server].held.keys().copied().collect::<Vec<_>>() {
                if let Place::Standing(n, life, connection, _) = self.people[client].place {
                    if !std::mem::replace(&mut told[n], true) && self.nodes[n].life == life {
                        self.feed(n, Input::LoadReported { connection, load: (took / 1000.0).round() });
                    }
                }
            }
        }
    }

    fn finish(mut self) -> Result {
        let comers = self.clients.iter().filter(|client| client.from < self.now).count();
        let moved = self.people.iter().filter(|person| person.moved).count();
        self.result.priority_weight =
            self.served / self.asked.max(1e-9) - MOVE_PRICE * moved as f64 / comers.max(1) as f64;
        let figures = self.nodes.iter().filter_map(|node| node.state.rebalancing(0));
        self.result.for_balance = figures.map(|figures| figures.moved).sum();
        self.result.split = if self.splits.1 > 0.0 { self.splits.0 / self.splits.1 } else { 0.0 };
        self.result.broken = self.rules.broken;
        self.result
    }
}
