//! A reducer with hosts and a clock, for tests.
#![allow(dead_code)]

use connection_balancer::routing::*;
use connection_balancer::*;

pub const HOSTS: [&str; 5] = ["s-00000001", "s-00000002", "s-00000003", "s-00000004", "s-00000005"];
/// How long the client waits.
pub const WAIT: Micros = 3_200_000;

pub const BUDGET: Budget = Budget { waiting: 100_000, held: 100_000, buffer: 8192 };

pub struct Desk {
    pub state: State,
    pub now: Time,
    next: u64,
}

pub fn ask() -> ConnectionRequest {
    ConnectionRequest { class: "chat".to_owned(), wait: Some(WAIT), ..ConnectionRequest::default() }
}

pub fn setup() -> PoolSetup {
    let class = Class {
        priority_weight: 1.0,
        setup_objective: 300_000,
        message_objective: 100_000,
        idempotency: Idempotency::Idempotent,
    };
    PoolSetup {
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
        rebalance: rebalance::Setup::default(),
        peers: None,
    }
}

impl Desk {
    pub fn new() -> Desk {
        Desk::with(BUDGET)
    }

    pub fn with(budget: Budget) -> Desk {
        let mut desk = Desk::of(budget);
        let hosts = desk.hosts();
        desk.put(Input::EndpointsUpdated { pool: 0, whole: true, hosts });
        desk.put(Input::Listening);
        desk
    }

    /// One that has heard of its hosts before its start only.
    pub fn unready() -> Desk {
        let mut desk = Desk::of(BUDGET);
        let hosts = desk.hosts();
        desk.put(Input::CachedEndpoints { pool: 0, hosts });
        desk
    }

    fn of(budget: Budget) -> Desk {
        let now = Time(1_000_000_000);
        Desk { state: State::new(vec![setup()], StoreSetup::default(), budget, now), now, next: 0 }
    }

    fn hosts(&self) -> Vec<Endpoint> {
        (0..HOSTS.len()).map(|host| self.host(host, Lifecycle::Ready)).collect()
    }

    pub fn address(&self, host: &str) -> String {
        format!("{host}:1")
    }

    fn host(&self, host: usize, lifecycle: Lifecycle) -> Endpoint {
        let name = HOSTS[host].to_owned();
        let (address, zone) = (self.address(&name), "a".to_owned());
        Endpoint { name, address, zone, cell: 0, lifecycle, weight: 1.0, started: None }
    }

    pub fn put(&mut self, input: Input) -> Vec<Effect> {
        reduce(&mut self.state, self.now, input)
    }

    pub fn pass(&mut self, time: Micros) {
        self.now = self.now.plus(time);
    }

    pub fn met(&mut self) -> ConnectionId {
        self.met_with().0
    }

    /// One that connects, and what that leads to.
    pub fn met_with(&mut self) -> (ConnectionId, Vec<Effect>) {
        self.next += 1;
        let connection = ConnectionId(self.next);
        (connection, self.put(Input::ClientConnected { connection, pool: 0 }))
    }

    /// A connection whose first attempt is written, and where to.
    pub fn written(&mut self) -> (ConnectionId, usize) {
        let connection = self.met();
        let effects = self.put(Input::ConnectionRequested { connection, ask: ask() });
        let Some(Effect::OpenAttempt { address, .. }) = effects.first() else {
            panic!("no leg: {effects:?}")
        };
        let host = HOSTS.iter().position(|h| self.address(h) == *address).expect("a listed host");
        self.put(Input::RequestForwarded { connection, attempt: 0 });
        (connection, host)
    }

    pub fn standing(&mut self) -> ConnectionId {
        let (connection, _) = self.written();
        self.put(Input::AttemptAccepted { connection, attempt: 0 });
        connection
    }

    pub fn drain(&mut self, host: usize) -> Vec<Effect> {
        self.list(host, Lifecycle::Draining)
    }

    /// The list says that a host has started now.
    pub fn restarted(&mut self, host: usize) -> Vec<Effect> {
        let host = Endpoint { started: Some(self.now), ..self.host(host, Lifecycle::Ready) };
        self.put(Input::EndpointsUpdated { pool: 0, whole: false, hosts: vec![host] })
    }

    pub fn list(&mut self, host: usize, lifecycle: Lifecycle) -> Vec<Effect> {
        let hosts = vec![self.host(host, lifecycle)];
        self.put(Input::EndpointsUpdated { pool: 0, whole: false, hosts })
    }
}
