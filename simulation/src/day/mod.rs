//! One day: events in the order of their time, around real reducers.

mod attempts;
mod balancer;
mod client_events;
mod endpoint_list;
mod event_queue;
mod faults;
mod measurement;
mod result;

use crate::deployment::VirtualTime;
use connection_balancer::routing::{reduce, Answer, ConnectionId, Effect, Input, Lifecycle};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::clients::{self, Client};
use crate::deployment::{Deployment, SECOND};
use crate::invariants::{ConnectionRef, InvariantChecker};
use crate::pool::{from_clock, server_at, to_clock};
use crate::scenario::Scenario;
use crate::server::Server;
use crate::session_store::{SessionStore, StoreCondition};

use balancer::{Balancer, BalancerRef};
use client_events::ClientState;
use event_queue::{AttemptRef, Event, EventQueue, ScheduledEvent};
use measurement::Measurement;
pub use result::{DayResult, ServerSample};

/// Time between two updates of the servers.
const STEP_INTERVAL: VirtualTime = 100_000;
/// Time over the network, one way.
const NETWORK_DELAY: VirtualTime = 600;
/// Speed of the slow server in [`Scenario::SlowServer`], over the others'.
const SLOW_SERVER_SPEED: f64 = 0.7;
/// Sizes of servers, over the deployment's capacity. Balancers do not know them.
const SERVER_SIZES: std::ops::Range<f64> = 0.9..1.1;
/// The least rate of arrivals that the session store is sized for, in clients a second.
const MIN_STORE_ARRIVALS_PER_S: f64 = 0.5;
/// Distinguishes the day's random generator from that of the clients.
const SEED_SALT: u64 = 0x5eed;

/// Plays a day.
pub fn play(deployment: &Deployment, scenario: Scenario, store: StoreCondition, seed: u64) -> DayResult {
    let clients = clients::draw(deployment, seed);
    let mut day = Day::new(deployment, &clients, scenario, store, seed);
    day.start(scenario);
    day.run();
    day.finish()
}

/// The state of a day.
struct Day<'a> {
    deployment: &'a Deployment,
    clients: &'a [Client],
    seed: u64,
    now: VirtualTime,
    queue: EventQueue,
    balancers: Vec<Balancer>,
    servers: Vec<Server>,
    /// Each server's entry in the endpoint list.
    listed: Vec<Lifecycle>,
    /// Servers that die stay in the endpoint list.
    deaths_are_unlisted: bool,
    store: SessionStore,
    /// Of each of `clients`.
    client_states: Vec<ClientState>,
    rng: Pcg64Mcg,
    invariants: InvariantChecker,
    measurement: Measurement,
    result: DayResult,
}

impl<'a> Day<'a> {
    fn new(
        deployment: &'a Deployment,
        clients: &'a [Client],
        scenario: Scenario,
        store: StoreCondition,
        seed: u64,
    ) -> Day<'a> {
        let mut rng = Pcg64Mcg::seed_from_u64(seed ^ SEED_SALT);
        let speed =
            |n: usize| if scenario == Scenario::SlowServer && n == 0 { SLOW_SERVER_SPEED } else { 1.0 };
        let server =
            |n: usize| Server::new(deployment.server_capacity * speed(n) * rng.random_range(SERVER_SIZES));
        let servers = (0..deployment.servers).map(server).collect();
        let arrivals_per_s = clients::arrivals_per_s(clients, deployment).max(MIN_STORE_ARRIVALS_PER_S);
        Day {
            deployment,
            clients,
            seed,
            now: 0,
            queue: EventQueue::default(),
            balancers: Vec::new(),
            servers,
            listed: vec![Lifecycle::Ready; deployment.servers],
            deaths_are_unlisted: scenario == Scenario::GoneUnlisted,
            store: SessionStore::new(arrivals_per_s * deployment.store_rate_factor, store),
            client_states: clients.iter().map(|_| ClientState::new()).collect(),
            rng,
            invariants: InvariantChecker::default(),
            measurement: Measurement::default(),
            result: DayResult::default(),
        }
    }

    /// Starts the balancers, establishes the first connections and schedules the faults.
    fn start(&mut self, scenario: Scenario) {
        for balancer in 0..self.deployment.balancers {
            self.balancers.push(self.new_balancer(balancer, 0));
        }
        for balancer in 0..self.balancers.len() {
            self.send_endpoint_list(balancer);
        }
        self.start_clients();
        for scheduled in scenario.faults(self.deployment) {
            self.schedule(scheduled.at, Event::Fault(scheduled.fault));
        }
        self.schedule(STEP_INTERVAL, Event::Step);
    }

    fn run(&mut self) {
        let end = self.deployment.seconds * SECOND;
        while let Some(ScheduledEvent { at, event, .. }) = self.queue.pop() {
            if at > end {
                break;
            }
            self.now = at;
            self.handle_event(event);
        }
    }

    fn schedule(&mut self, at: VirtualTime, event: Event) {
        self.queue.push(at.max(self.now), event);
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::ClientConnects { client, request_number } => self.connect_client(client, request_number),
            Event::ClientGivesUp { client, request_number } => self.end_client_wait(client, request_number),
            Event::ClientLeaves { client } => self.remove_client(client),
            Event::AttemptArrives(attempt) => self.accept_attempt(attempt),
            Event::SetupCompletes { attempt, server_incarnation } => {
                self.complete_setup(attempt, server_incarnation);
            }
            Event::TimerFires(balancer) => self.fire_timer(balancer),
            Event::EndpointListArrives(balancer) => {
                if self.is_running(balancer) {
                    self.send_endpoint_list(balancer.index);
                }
            }
            Event::Fault(fault) => self.apply_fault(fault),
            Event::Step => self.step(),
        }
    }

    fn fire_timer(&mut self, balancer: BalancerRef) {
        let next_timer = self.balancers[balancer.index].next_timer;
        if next_timer.is_some_and(|at| at <= self.now) && self.is_running(balancer) {
            self.balancers[balancer.index].next_timer = None;
            self.feed(balancer.index, Input::TimerFired);
        }
    }

    /// Whether this process of a balancer still runs.
    fn is_running(&self, balancer: BalancerRef) -> bool {
        let current = &self.balancers[balancer.index];
        current.up && current.incarnation == balancer.incarnation
    }

    /// Gives a balancer's reducer an input, carries out its effects and schedules its timer.
    fn feed(&mut self, balancer: usize, input: Input) {
        let effects = reduce(&mut self.balancers[balancer].state, to_clock(self.now), input);
        for effect in effects {
            self.carry_out(balancer, effect);
        }
        let next_timer = self.balancers[balancer].state.next_deadline().map(from_clock);
        if next_timer != self.balancers[balancer].next_timer {
            self.balancers[balancer].next_timer = next_timer;
            let balancer = self.balancers[balancer].reference(balancer);
            if let Some(at) = next_timer {
                self.schedule(at, Event::TimerFires(balancer));
            }
        }
    }

    fn carry_out(&mut self, balancer: usize, effect: Effect) {
        match effect {
            Effect::OpenAttempt { connection, attempt, address, .. } => {
                let connection = self.balancers[balancer].connection_ref(balancer, connection);
                let attempt = AttemptRef { connection, attempt, server: server_at(&address) };
                self.invariants.on_attempt_opened(self.now, connection, attempt.server);
                self.schedule(self.now + NETWORK_DELAY, Event::AttemptArrives(attempt));
            }
            Effect::CloseAttempt { connection } => {
                self.close_attempt(self.balancers[balancer].connection_ref(balancer, connection));
            }
            Effect::Answer { connection, answer } => self.answer_client(balancer, connection, answer),
            // Endpoints are requested once at the start, and sent whenever they change.
            _ => {}
        }
    }

    fn answer_client(&mut self, balancer: usize, connection: ConnectionId, answer: Answer) {
        let request = self.balancers[balancer].connection_ref(balancer, connection);
        let Some(client) = self.client_of(request) else { return };
        self.close_attempt(request);
        self.balancers[balancer].connections.remove(&connection);
        match answer {
            Answer::Migrated => self.migrate_client(client),
            Answer::Rejected(retry_after) => {
                self.invariants.on_answer(self.now, request);
                self.reject_client(client, retry_after.0);
            }
            Answer::Failed | Answer::HandshakeTimedOut => {
                self.invariants.on_answer(self.now, request);
                self.reject_client(client, 0);
            }
        }
        self.feed(balancer, Input::SocketsClosed { connection });
    }

    /// The client of a connection that is open at a balancer.
    fn client_of(&self, request: ConnectionRef) -> Option<usize> {
        let connections = &self.balancers[request.balancer].connections;
        connections.get(&request.connection).map(|open| open.client)
    }
}
