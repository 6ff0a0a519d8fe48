//! Test harness: a reducer with one pool of five servers, and a clock that the test advances.

use connection_balancer::routing::*;
use connection_balancer::*;

pub(crate) const SERVERS: [&str; 5] = ["s-00000001", "s-00000002", "s-00000003", "s-00000004", "s-00000005"];
/// Time for which a client of [`connection_request`] waits for its answer.
pub(crate) const CLIENT_TIMEOUT: Micros = Micros::from_millis(3_200);

/// Limits that no test reaches. Tests of the limits set their own.
pub(crate) const RESOURCE_LIMITS: ResourceLimits = ResourceLimits {
    max_pending_connections: 100_000,
    max_admitted_connections: 100_000,
    buffer_bytes: 8192,
    max_response_bytes: 4 << 20,
};

/// The reducer's state, the time that is passed with each input, and the number of the last connection.
pub(crate) struct ReducerHarness {
    pub state: State,
    pub now: Time,
    last_connection: u64,
}

/// Returns a request that may be placed at any server.
pub(crate) fn connection_request() -> ConnectionRequest {
    ConnectionRequest {
        class: "chat".to_owned(),
        timeout: Some(CLIENT_TIMEOUT),
        ..ConnectionRequest::default()
    }
}

/// Returns the configuration of the harness's only pool.
pub(crate) fn pool_config() -> PoolConfig {
    let class = Class {
        priority_weight: 1.0,
        setup_objective: Micros::from_millis(300),
        message_objective: Micros::from_millis(100),
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
            cancellation_allowed: true,
            retry_after_supported: true,
            ..Settings::default()
        },
        seed: 7,
        discovery: None,
        request_timeout: Micros::from_secs(10),
        uses_replicated_map: false,
        max_connections: usize::MAX,
        drain_duration: Micros::ZERO,
        server_silence_timeout: Micros::from_secs(5),
        reports_message_time: true,
        reports_load: true,
        load_report_fields: Vec::new(),
        max_client_wait: CLIENT_TIMEOUT,
        rebalance: rebalance::RebalanceConfig::default(),
        gossip_price: None,
    }
}

impl ReducerHarness {
    pub(crate) fn new() -> ReducerHarness {
        ReducerHarness::with_resource_limits(RESOURCE_LIMITS)
    }

    /// Returns a reducer that listens and has all servers in its list.
    pub(crate) fn with_resource_limits(resource_limits: ResourceLimits) -> ReducerHarness {
        let mut harness = ReducerHarness::without_endpoints(resource_limits);
        let endpoints = harness.endpoints();
        harness.feed(Input::EndpointsUpdated { pool: PoolId(0), is_snapshot: true, endpoints });
        harness.feed(Input::Listening);
        harness
    }

    /// Returns a reducer that does not listen yet and has no endpoint list.
    pub(crate) fn without_endpoints(resource_limits: ResourceLimits) -> ReducerHarness {
        let now = Time(1_000_000_000);
        ReducerHarness {
            state: State::new(vec![pool_config()], ReplicationConfig::default(), resource_limits, now),
            now,
            last_connection: 0,
        }
    }

    /// Returns an endpoint list with all servers ready.
    pub(crate) fn endpoints(&self) -> Vec<Endpoint> {
        (0..SERVERS.len()).map(|server| self.endpoint(server, Lifecycle::Ready)).collect()
    }

    pub(crate) fn address(&self, server: &str) -> String {
        format!("{server}:1")
    }

    fn endpoint(&self, server: usize, lifecycle: Lifecycle) -> Endpoint {
        let name = SERVERS[server].to_owned();
        let (address, zone) = (self.address(&name), "a".to_owned());
        Endpoint { name, address, zone, cell: 0, lifecycle, weight: 1.0, started_at: None }
    }

    pub(crate) fn feed(&mut self, input: Input) -> Vec<Effect> {
        reduce(&mut self.state, self.now, input)
    }

    pub(crate) fn advance(&mut self, time: Micros) {
        self.now = self.now.plus(time);
    }

    pub(crate) fn connect_client(&mut self) -> ConnectionId {
        self.connect_client_with_effects().0
    }

    /// Connects a client, and returns the effects of that as well.
    pub(crate) fn connect_client_with_effects(&mut self) -> (ConnectionId, Vec<Effect>) {
        self.last_connection += 1;
        let connection = ConnectionId(self.last_connection);
        (connection, self.feed(Input::ClientConnected { connection, pool: PoolId(0) }))
    }

    pub(crate) fn drain_server(&mut self, server: usize) -> Vec<Effect> {
        self.update_endpoint(server, Lifecycle::Draining)
    }

    /// Updates the list so that a server's process started now.
    pub(crate) fn restart_server(&mut self, server: usize) -> Vec<Effect> {
        let endpoint = Endpoint { started_at: Some(self.now), ..self.endpoint(server, Lifecycle::Ready) };
        self.feed(Input::EndpointsUpdated { pool: PoolId(0), is_snapshot: false, endpoints: vec![endpoint] })
    }

    pub(crate) fn update_endpoint(&mut self, server: usize, lifecycle: Lifecycle) -> Vec<Effect> {
        let endpoints = vec![self.endpoint(server, lifecycle)];
        self.feed(Input::EndpointsUpdated { pool: PoolId(0), is_snapshot: false, endpoints })
    }
}
