//! A reducer with servers and a clock, for tests.
#![allow(dead_code)]

use connection_balancer::routing::*;
use connection_balancer::*;

pub const SERVERS: [&str; 5] = ["s-00000001", "s-00000002", "s-00000003", "s-00000004", "s-00000005"];
/// How long the client waits.
pub const WAIT: Micros = 3_200_000;

pub const BUDGET: Budget = Budget { waiting: 100_000, held: 100_000, buffer: 8192 };

pub struct ReducerHarness {
    pub state: State,
    pub now: Time,
    next: u64,
}

pub fn connection_request() -> ConnectionRequest {
    ConnectionRequest { class: "chat".to_owned(), wait: Some(WAIT), ..ConnectionRequest::default() }
}

pub fn setup() -> PoolConfig {
    let class = Class {
        priority_weight: 1.0,
        setup_objective: 300_000,
        message_objective: 100_000,
        idempotency: Idempotency::Idempotent,
    };
    PoolConfig {
        name: "platform",
        classes: vec!["chat".to_owned(), "wallet".to_owned()],
        tenants: Vec::new(),
        zones: vec!["a".to_owned()],
        settings: Settings {
            classes: vec![class.clone(), class],
            max_attempts: 6,
            cancel: true,
            retry_after: true,
            ..Settings::default()
        },
        seed: 7,
        discovery: None,
        greeting: 10_000_000,
        from_store: false,
        most_held: usize::MAX,
        drain_over: 0,
        silence: 5_000_000,
        tells_delay: true,
        tells_load: true,
        reports: Vec::new(),
        longest_wait: WAIT,
        rebalance: rebalance::RebalanceConfig::default(),
        peers: None,
    }
}

impl ReducerHarness {
    pub fn new() -> ReducerHarness {
        ReducerHarness::with(BUDGET)
    }

    pub fn with(budget: Budget) -> ReducerHarness {
        let mut harness = ReducerHarness::of(budget);
        let endpoints = harness.endpoints();
        harness.feed(Input::EndpointsUpdated { pool: 0, whole: true, endpoints });
        harness.feed(Input::Listening);
        harness
    }

    /// One that has heard of its servers before its start only.
    pub fn unready() -> ReducerHarness {
        let mut harness = ReducerHarness::of(BUDGET);
        let endpoints = harness.endpoints();
        harness.feed(Input::CachedEndpoints { pool: 0, endpoints });
        harness
    }

    fn of(budget: Budget) -> ReducerHarness {
        let now = Time(1_000_000_000);
        ReducerHarness {
            state: State::new(vec![setup()], ReplicationConfig::default(), budget, now),
            now,
            next: 0,
        }
    }

    fn endpoints(&self) -> Vec<Endpoint> {
        (0..SERVERS.len()).map(|server| self.server(server, Lifecycle::Ready)).collect()
    }

    pub fn address(&self, server: &str) -> String {
        format!("{server}:1")
    }

    fn server(&self, server: usize, lifecycle: Lifecycle) -> Endpoint {
        let name = SERVERS[server].to_owned();
        let (address, zone) = (self.address(&name), "a".to_owned());
        Endpoint { name, address, zone, cell: 0, lifecycle, weight: 1.0, started: None }
    }

    pub fn feed(&mut self, input: Input) -> Vec<Effect> {
        reduce(&mut self.state, self.now, input)
    }

    pub fn advance(&mut self, time: Micros) {
        self.now = self.now.plus(time);
    }

    pub fn connect_client(&mut self) -> ConnectionId {
        self.connect_client_with_effects().0
    }

    /// One that connects, and what that leads to.
    pub fn connect_client_with_effects(&mut self) -> (ConnectionId, Vec<Effect>) {
        self.next += 1;
        let connection = ConnectionId(self.next);
        (connection, self.feed(Input::ClientConnected { connection, pool: 0 }))
    }

    /// A connection whose first attempt is written, and where to.
    pub fn forward_request(&mut self) -> (ConnectionId, usize) {
        let connection = self.connect_client();
        let effects = self.feed(Input::ConnectionRequested { connection, request: connection_request() });
        let Some(Effect::OpenAttempt { address, .. }) = effects.first() else {
            panic!("no leg: {effects:?}")
        };
        let server = SERVERS.iter().position(|h| self.address(h) == *address).expect("a listed host");
        self.feed(Input::RequestForwarded { connection, attempt: 0 });
        (connection, server)
    }

    pub fn established(&mut self) -> ConnectionId {
        let (connection, _) = self.forward_request();
        self.feed(Input::AttemptAccepted { connection, attempt: 0 });
        connection
    }

    pub fn drain(&mut self, server: usize) -> Vec<Effect> {
        self.list(server, Lifecycle::Draining)
    }

    /// The list says that a server has started now.
    pub fn restarted(&mut self, server: usize) -> Vec<Effect> {
        let server = Endpoint { started: Some(self.now), ..self.server(server, Lifecycle::Ready) };
        self.feed(Input::EndpointsUpdated { pool: 0, whole: false, endpoints: vec![server] })
    }

    pub fn list(&mut self, server: usize, lifecycle: Lifecycle) -> Vec<Effect> {
        let endpoints = vec![self.server(server, lifecycle)];
        self.feed(Input::EndpointsUpdated { pool: 0, whole: false, endpoints })
    }
}
