//! What only the reducer's own tests need of its harness.

use connection_balancer::routing::*;

use crate::reducer_harness::{connection_request, ReducerHarness, BUDGET, SERVERS};

impl ReducerHarness {
    /// A reducer that does not listen yet, and has nothing but a cached endpoint list.
    pub(crate) fn with_cached_endpoints() -> ReducerHarness {
        let mut harness = ReducerHarness::without_endpoints(BUDGET);
        let endpoints = harness.endpoints();
        harness.feed(Input::CachedEndpoints { pool: 0, endpoints });
        harness
    }

    /// The index of the server at an address.
    pub(crate) fn server_at(&self, address: &str) -> usize {
        SERVERS.iter().position(|server| self.address(server) == address).expect("a listed server")
    }

    /// A connection whose first attempt is written in full, and the index of its server.
    pub(crate) fn forward_request(&mut self) -> (ConnectionId, usize) {
        let connection = self.connect_client();
        let effects = self.feed(Input::ConnectionRequested { connection, request: connection_request() });
        let Some(Effect::OpenAttempt { address, .. }) = effects.first() else {
            panic!("no attempt: {effects:?}")
        };
        let server = self.server_at(address);
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
    harness.feed(Input::ConfigurationChanged { pools: vec![config], peers: Vec::new(), budget: BUDGET })
}
