//! Simulation of one day. Events are processed in the order of their times. An event updates the models of
//! clients and servers and passes inputs to the balancers' reducers. The reducers' effects schedule further
//! events.

mod attempts;
mod balancer;
mod client_events;
mod endpoint_list;
mod event_queue;
mod faults;
mod measurement;
mod result;

use crate::deployment::{VirtualDuration, VirtualTime};
use connection_balancer::routing::{reduce, Answer, ConnectionId, Effect, Input, Lifecycle};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::clients::{self, Client};
use crate::deployment::{Deployment, SECOND};
use crate::invariants::{ConnectionRef, InvariantChecker};
use crate::pool::{from_reducer_clock, server_index, to_reducer_clock};
use crate::scenario::Scenario;
use crate::server::Server;
use crate::session_store::{SessionStore, StoreCondition};

use balancer::{Balancer, BalancerRef};
use client_events::ClientState;
use event_queue::{AttemptRef, Event, EventQueue, ScheduledEvent};
use measurement::Measurement;
pub use result::{DayResult, ServerSample};

/// Duration of a step, by which the servers advance.
const STEP_INTERVAL: VirtualDuration = 100_000;
/// Duration of a message's way over the network, in one direction.
const NETWORK_DELAY: VirtualDuration = 600;
/// Capacity of the slow server in [`Scenario::SlowServer`], relative to the other servers.
const SLOW_SERVER_CAPACITY_FACTOR: f64 = 0.7;
/// Range of the servers' capacities, relative to the deployment's. The balancers do not know them.
const SERVER_CAPACITY_FACTORS: std::ops::Range<f64> = 0.9..1.1;
/// Lower bound of the arrival rate for which the session store is sized, in clients per second.
const MIN_STORE_ARRIVALS_PER_S: f64 = 0.5;
/// Gives the day's random generator a different seed than the generator of the clients.
const DAY_SEED_SALT: u64 = 0x5eed;

/// Simulates a day and returns its result.
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
    /// Lifecycle of each server in the endpoint list.
    listed_lifecycles: Vec<Lifecycle>,
    /// Whether servers that die remain in the endpoint list.
    dead_servers_remain_listed: bool,
    store: SessionStore,
    /// State of each client, by its index in `clients`.
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
        let mut rng = Pcg64Mcg::seed_from_u64(seed ^ DAY_SEED_SALT);
        let capacity_factor = |n: usize| {
            if scenario == Scenario::SlowServer && n == 0 {
                SLOW_SERVER_CAPACITY_FACTOR
            } else {
                1.0
            }
        };
        let server = |n: usize| {
            Server::new(
                deployment.server_capacity * capacity_factor(n) * rng.random_range(SERVER_CAPACITY_FACTORS),
            )
        };
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
            listed_lifecycles: vec![Lifecycle::Ready; deployment.servers],
            dead_servers_remain_listed: scenario == Scenario::GoneUnlisted,
            store: SessionStore::new(arrivals_per_s * deployment.store_rate_factor, store),
            client_states: clients.iter().map(|_| ClientState::new()).collect(),
            rng,
            invariants: InvariantChecker::default(),
            measurement: Measurement::default(),
            result: DayResult::default(),
        }
    }

    /// Starts the balancers, restores the established connections and schedules the faults.
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

    /// Processes events until the end of the day.
    fn run(&mut self) {
        let ends_at = self.deployment.seconds * SECOND;
        while let Some(ScheduledEvent { at, event, .. }) = self.queue.pop() {
            if at > ends_at {
                break;
            }
            self.now = at;
            self.handle_event(event);
        }
    }

    /// Schedules an event; one whose time has passed occurs now.
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
                if self.is_current_process(balancer) {
                    self.send_endpoint_list(balancer.index);
                }
            }
            Event::Fault(fault) => self.apply_fault(fault),
            Event::Step => self.step(),
        }
    }

    /// Passes the timer to a balancer's reducer, unless the timer was rescheduled or the process has ended.
    fn fire_timer(&mut self, balancer: BalancerRef) {
        let next_timer_at = self.balancers[balancer.index].next_timer_at;
        if next_timer_at.is_some_and(|at| at <= self.now) && self.is_current_process(balancer) {
            self.balancers[balancer.index].next_timer_at = None;
            self.feed(balancer.index, Input::TimerFired);
        }
    }

    /// Returns whether this process of a balancer still runs.
    fn is_current_process(&self, balancer: BalancerRef) -> bool {
        let current = &self.balancers[balancer.index];
        current.up && current.incarnation == balancer.incarnation
    }

    /// Passes an input to a balancer's reducer, executes its effects and schedules its timer.
    fn feed(&mut self, balancer: usize, input: Input) {
        let effects = reduce(&mut self.balancers[balancer].state, to_reducer_clock(self.now), input);
        for effect in effects {
            self.execute_effect(balancer, effect);
        }
        let next_timer_at = self.balancers[balancer].state.next_deadline().map(from_reducer_clock);
        if next_timer_at != self.balancers[balancer].next_timer_at {
            self.balancers[balancer].next_timer_at = next_timer_at;
            let balancer = self.balancers[balancer].reference(balancer);
            if let Some(at) = next_timer_at {
                self.schedule(at, Event::TimerFires(balancer));
            }
        }
    }

    /// Executes an effect of a balancer's reducer on the models of servers and clients.
    fn execute_effect(&mut self, balancer: usize, effect: Effect) {
        match effect {
            Effect::OpenAttempt { connection, attempt, address, .. } => {
                let request = self.balancers[balancer].connection_ref(balancer, connection);
                let attempt = AttemptRef { request, attempt, server: server_index(&address) };
                self.invariants.on_attempt_opened(self.now, request, attempt.server);
                self.schedule(self.now + NETWORK_DELAY, Event::AttemptArrives(attempt));
            }
            Effect::CloseAttempt { connection } => {
                self.close_attempt(self.balancers[balancer].connection_ref(balancer, connection));
            }
            Effect::Answer { connection, answer } => self.answer_client(balancer, connection, answer),
            // Effects of discovery are ignored: the list is delivered at the start and at each change.
            _ => {}
        }
    }

    /// Handles a balancer's final answer to a client, and closes the client's connection.
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
            Answer::Failed | Answer::RequestTimedOut => {
                self.invariants.on_answer(self.now, request);
                self.reject_client(client, 0);
            }
        }
        self.feed(balancer, Input::SocketsClosed { connection });
    }

    /// Returns the client of a connection that is open at a balancer.
    fn client_of(&self, request: ConnectionRef) -> Option<usize> {
        let connections = &self.balancers[request.balancer].connections;
        connections.get(&request.connection).map(|open| open.client)
    }
}
