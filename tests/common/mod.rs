//! What the module tests share: short ways to say settings, lists and events.
#![allow(dead_code)]

use connection_balancer::*;

pub const MS: u64 = 1_000;
pub const SECOND: u64 = 1_000_000;
pub const START: Time = Time(1_000 * SECOND);

pub fn class(idempotency: Idempotency) -> Class {
    Class { priority_weight: 1.0, setup_objective: 300 * MS, message_objective: 100 * MS, idempotency }
}

pub fn settings() -> Settings {
    Settings {
        classes: vec![class(Idempotency::Idempotent)],
        max_attempts: 4,
        cancel: true,
        retry_after: true,
        ..Settings::default()
    }
}

pub fn listed(server: u32) -> EndpointEntry {
    EndpointEntry {
        server: ServerId(server),
        zone: ZoneId(0),
        cell: CellId(0),
        state: EndpointState::Serving,
        started: None,
        weight: 1.0,
    }
}

pub fn servers(count: u32) -> Vec<EndpointEntry> {
    (1..=count).map(listed).collect()
}

/// A balancer with a clock and the actions of its last event.
pub struct Bench {
    pub balancer: Balancer,
    pub now: Time,
    pub actions: Vec<Action>,
    next: u64,
}

impl Bench {
    pub fn new(settings: Settings, list: &[EndpointEntry]) -> Bench {
        Bench::seeded(settings, list, 7)
    }

    pub fn seeded(settings: Settings, list: &[EndpointEntry], seed: u64) -> Bench {
        let balancer = Balancer::new(settings, seed, START);
        let mut bench = Bench { balancer, now: START, actions: Vec::new(), next: 0 };
        bench.event(Event::EndpointsReplaced(list));
        bench
    }

    pub fn event(&mut self, event: Event<'_>) {
        self.actions.clear();
        self.balancer.handle(self.now, event, &mut self.actions);
    }

    pub fn wait(&mut self, span: u64) {
        self.now = self.now.plus(span);
    }

    /// A request of class 0 with three seconds to live; gives its id.
    pub fn arrive(&mut self) -> RequestId {
        self.arrive_in(None)
    }

    pub fn arrive_in(&mut self, group: Option<u64>) -> RequestId {
        let request = self.fresh();
        let deadline = self.now.plus(3 * SECOND);
        let group = group.map(GroupId);
        let class = ClassId(0);
        self.event(Event::RequestArrived { request, class, tenant: None, group, load: None, deadline });
        request
    }

    pub fn fresh(&mut self) -> RequestId {
        self.next += 1;
        RequestId(self.next)
    }

    /// A connection that was open at the start.
    pub fn open(&mut self, server: u32, group: Option<u64>) -> RequestId {
        let request = self.fresh();
        let (group, server) = (group.map(GroupId), ServerId(server));
        self.event(Event::ConnectionRestored {
            request,
            class: ClassId(0),
            tenant: None,
            group,
            load: None,
            server,
        });
        request
    }

    pub fn start(&mut self, request: RequestId, attempt: u32) {
        self.event(Event::ConnectionEstablished { request, attempt });
    }

    pub fn end(&mut self, request: RequestId, attempt: u32, outcome: Outcome, answered: bool) {
        self.event(Event::AttemptEnded { request, attempt, outcome, answered });
    }

    pub fn measurement(&mut self, request: RequestId, measurement: Measurement) {
        self.event(Event::ConnectionMeasured { request, measurement });
    }

    /// A load report of a server that holds twenty connections.
    pub fn report(&mut self, server: u32, utilisation: f64) {
        let report = Some(LoadReport { utilisation, connections: Some(20.0) });
        self.event(Event::ProbeCompleted { server: ServerId(server), outcome: Outcome::Ok, report });
    }

    /// A request that comes and is gone again; gives where it was sent.
    pub fn visit(&mut self) -> Option<u32> {
        let request = self.arrive();
        let server = self.sent_to();
        self.end(request, 0, Outcome::Ok, true);
        server
    }

    /// A request that is placed and stands; gives it and its server.
    pub fn place(&mut self) -> (RequestId, u32) {
        let request = self.arrive();
        let server = self.sent_to().expect("a server has room");
        self.start(request, 0);
        (request, server)
    }

    /// Where the last event's send went, if there was one.
    pub fn sent_to(&self) -> Option<u32> {
        self.actions.iter().find_map(|action| match action {
            Action::StartAttempt { server, .. } => Some(server.0),
            _ => None,
        })
    }

    /// The retry-after of the last event's refusal, if there was one.
    pub fn refused(&self) -> Option<u64> {
        self.actions.iter().find_map(|action| match action {
            Action::Reject { retry_after, .. } => Some(*retry_after),
            _ => None,
        })
    }

    pub fn held(&self, server: u32) -> f64 {
        self.balancer.occupancy(ServerId(server)).map_or(0.0, |(held, _)| held)
    }

    pub fn ceiling(&self, server: u32) -> f64 {
        self.balancer.occupancy(ServerId(server)).map_or(0.0, |(_, ceiling)| ceiling)
    }
}
