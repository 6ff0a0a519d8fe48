//! Helpers of the reducer's harness that only the tests of `tests/reducer/` need.

use connection_balancer::routing::*;

use crate::reducer_harness::{connection_request, ReducerHarness, RESOURCE_LIMITS, SERVERS};

impl ReducerHarness {
    /// Returns a reducer that does not listen yet and has only a cached endpoint list.
    pub(crate) fn with_cached_endpoints() -> ReducerHarness {
        let mut harness = ReducerHarness::without_endpoints(RESOURCE_LIMITS);
        let endpoints = harness.endpoints();
        harness.feed(Input::CachedEndpoints { pool: PoolId(0), endpoints });
        harness
    }

    /// Returns the index in [`SERVERS`] of the server with an address.
    pub(crate) fn server_index(&self, address: &str) -> usize {
        SERVERS
            .iter()
            .position(|server| self.address(server) == address)
            .expect("the address of one of the five servers")
    }

    /// Connects a client, and writes the request of its first attempt in full. Returns the connection and the
    /// index of the server.
    pub(crate) fn forward_request(&mut self) -> (ConnectionId, usize) {
        let connection = self.connect_client();
        let effects = self.feed(Input::ConnectionRequested { connection, request: connection_request() });
        let Some(Effect::OpenAttempt { address, .. }) = effects.first() else {
            panic!("no attempt was opened: {effects:?}")
        };
        let server = self.server_index(address);
        self.feed(Input::RequestForwarded { connection, attempt: 0 });
        (connection, server)
    }

    pub(crate) fn establish_connection(&mut self) -> ConnectionId {
        let (connection, _) = self.forward_request();
        self.feed(Input::AttemptAccepted { connection, attempt: 0 });
        connection
    }
}

pub(crate) fn count_migrations(effects: &[Effect]) -> usize {
    effects.iter().filter(|effect| matches!(effect, Effect::Answer { answer: Answer::Migrated, .. })).count()
}

pub(crate) fn reload(harness: &mut ReducerHarness, config: PoolConfig) -> Vec<Effect> {
    harness.feed(Input::ConfigurationChanged {
        pools: vec![config],
        other_replicas: Vec::new(),
        resource_limits: RESOURCE_LIMITS,
    })
}
