//! Shared parts of the policy tests: settings, endpoints, and a harness for one balancer.

use connection_balancer::*;

/// A millisecond in microseconds.
pub(crate) const MS: Micros = Micros::from_millis(1);
/// A second in microseconds.
pub(crate) const SECOND: Micros = Micros::from_secs(1);
/// Time at which each test starts.
pub(crate) const START: Time = Time(1_000_000_000);

/// Message time that is slow for the objective of 100 ms: the server is filling up.
pub(crate) const SLOW: Measurement = Measurement::MessageTime(Micros::from_millis(40));

/// Message time at which, for the objective of 100 ms, connections are migrated away from the server.
pub(crate) const OVERLOADED: Measurement = Measurement::MessageTime(Micros::from_millis(90));

/// Returns a class with a setup objective of 300 ms and a message objective of 100 ms.
pub(crate) fn class(idempotency: Idempotency) -> Class {
    Class { priority_weight: 1.0, setup_objective: 300 * MS, message_objective: 100 * MS, idempotency }
}

/// Returns settings with one idempotent class and four attempts.
pub(crate) fn settings() -> Settings {
    Settings {
        classes: vec![class(Idempotency::Idempotent)],
        max_attempts: 4,
        cancellation_allowed: true,
        retry_after_supported: true,
        ..Settings::default()
    }
}

/// Returns the entry of a warm, serving server in zone 0.
pub(crate) fn endpoint(server: u32) -> EndpointEntry {
    EndpointEntry {
        server: ServerId(server),
        zone: ZoneId(0),
        cell: CellId(0),
        state: EndpointState::Serving,
        started_at: None,
        weight: 1.0,
    }
}

/// Returns a list of the servers from 1 to `count`.
pub(crate) fn endpoints(count: u32) -> Vec<EndpointEntry> {
    (1..=count).map(endpoint).collect()
}

/// A balancer with a clock, and the actions of its last event.
pub(crate) struct Harness {
    pub balancer: Balancer,
    pub now: Time,
    pub actions: Vec<Action>,
    last_request: u64,
}

impl Harness {
    pub(crate) fn new(settings: Settings, list: &[EndpointEntry]) -> Harness {
        Harness::seeded(settings, list, 7)
    }

    pub(crate) fn seeded(settings: Settings, list: &[EndpointEntry], seed: u64) -> Harness {
        let balancer = Balancer::new(settings, seed, START);
        let mut harness = Harness { balancer, now: START, actions: Vec::new(), last_request: 0 };
        harness.handle(Event::EndpointListReplaced(list));
        harness
    }

    /// Applies an event at the current time. Its actions replace the actions of the previous event.
    pub(crate) fn handle(&mut self, event: Event<'_>) {
        self.actions.clear();
        self.balancer.handle(self.now, event, &mut self.actions);
    }

    /// Reports a call of discovery that fails at the moment in which it is made.
    pub(crate) fn fail_endpoint_watch(&mut self, failure: WatchFailure) {
        self.handle(Event::EndpointWatchFailed { failure, called_at: self.now });
    }

    /// Advances the clock without any event.
    pub(crate) fn advance(&mut self, span: Micros) {
        self.now = self.now.plus(span);
    }

    /// Adds a request of class 0 without a group, with three seconds to its deadline, and returns its id.
    pub(crate) fn arrive(&mut self) -> RequestId {
        self.arrive_in_group(None)
    }

    /// Adds a request of class 0 with three seconds to its deadline, and returns its id.
    pub(crate) fn arrive_in_group(&mut self, group: Option<u64>) -> RequestId {
        let request = self.next_request();
        let deadline = self.now.plus(3 * SECOND);
        let group = group.map(GroupId);
        let class = ClassId(0);
        self.handle(Event::RequestArrived { request, class, tenant: None, group, load: None, deadline });
        request
    }

    /// Returns an unused request id.
    pub(crate) fn next_request(&mut self) -> RequestId {
        self.last_request += 1;
        RequestId(self.last_request)
    }

    /// Adds a connection that was established before the balancer started, and returns its request.
    pub(crate) fn restore(&mut self, server: u32, group: Option<u64>) -> RequestId {
        let request = self.next_request();
        let (group, server) = (group.map(GroupId), ServerId(server));
        self.handle(Event::EstablishedConnectionAdded {
            request,
            class: ClassId(0),
            tenant: None,
            group,
            load: None,
            server,
        });
        request
    }

    pub(crate) fn establish(&mut self, request: RequestId, attempt: u32) {
        self.handle(Event::ConnectionEstablished { request, attempt });
    }

    pub(crate) fn end_attempt(&mut self, request: RequestId, attempt: u32, outcome: Outcome, answered: bool) {
        self.handle(Event::AttemptEnded { request, attempt, outcome, answered });
    }

    pub(crate) fn measure(&mut self, request: RequestId, measurement: Measurement) {
        self.handle(Event::ConnectionMeasured { request, measurement });
    }

    /// Applies a load report of a server with twenty connections.
    pub(crate) fn report_load(&mut self, server: u32, utilisation: f64) {
        let report = Some(LoadReport { utilisation, connections: Some(20.0) });
        self.handle(Event::ProbeCompleted { server: ServerId(server), outcome: Outcome::Ok, report });
    }

    /// Adds a request that ends at once, and returns the server of its attempt.
    pub(crate) fn arrive_and_end(&mut self) -> Option<u32> {
        let request = self.arrive();
        let server = self.attempted_server();
        self.end_attempt(request, 0, Outcome::Ok, true);
        server
    }

    /// Adds a request and establishes its connection. Returns the request and its server.
    pub(crate) fn place(&mut self) -> (RequestId, u32) {
        let request = self.arrive();
        let server = self.attempted_server().expect("a server should have a free slot");
        self.establish(request, 0);
        (request, server)
    }

    /// Returns the server of the attempt that the last event started, if any.
    pub(crate) fn attempted_server(&self) -> Option<u32> {
        self.actions.iter().find_map(|action| match action {
            Action::StartAttempt { server, .. } => Some(server.0),
            _ => None,
        })
    }

    /// Returns the Retry-After of the last event's rejection, if any.
    pub(crate) fn rejection(&self) -> Option<Micros> {
        self.actions.iter().find_map(|action| match action {
            Action::Reject { retry_after, .. } => Some(*retry_after),
            _ => None,
        })
    }

    /// Returns the slots that are occupied at a server; 0 for an unknown server.
    pub(crate) fn occupied_slots(&self, server: u32) -> f64 {
        self.balancer.occupancy(ServerId(server)).map_or(0.0, |occupancy| occupancy.occupied_slots)
    }

    /// Returns the ceiling of a server in slots; 0 for an unknown server.
    pub(crate) fn ceiling(&self, server: u32) -> f64 {
        self.balancer.occupancy(ServerId(server)).map_or(0.0, |occupancy| occupancy.ceiling)
    }
}

/// Returns whether the last event migrated a connection.
pub(crate) fn has_migration(harness: &Harness) -> bool {
    harness.actions.iter().any(|action| matches!(action, Action::Migrate { .. }))
}

/// Returns the number of probes that the last event started.
pub(crate) fn count_probes(harness: &Harness) -> usize {
    harness.actions.iter().filter(|action| matches!(action, Action::ProbeServer { .. })).count()
}
