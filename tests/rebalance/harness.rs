//! Test harness: a rebalancer with servers and a clock, without a reducer.

use connection_balancer::rebalance::{
    ConnectionProperties, Decision, HoldReason, Migration, RebalanceConfig, RebalanceContext, RebalanceEvent,
    Rebalancer, ServerSnapshot, SystemConditions,
};
use connection_balancer::{ConnectionId, Micros, ServerId, Time};

pub(crate) const SECOND: Micros = Micros::from_secs(1);

/// Message time that is slow by the objective of [`context`].
pub(crate) const SLOW_MESSAGE_TIME: Micros = Micros::from_millis(80);

/// Offset of the connection ids of reconnected clients, so that they differ from the ids of first
/// connections.
pub(crate) const RECONNECTED_ID_OFFSET: u64 = 10_000;

/// Usual setup time of a connection.
pub(crate) const SETUP_TIME: Micros = Micros::from_millis(30);

pub(crate) fn context() -> RebalanceContext {
    RebalanceContext {
        balancers: 1,
        priority_weights: vec![3.0, 2.0],
        setup_objective: Micros::from_millis(300),
        message_objective: Micros::from_millis(100),
        reports_message_time: true,
        migration_cost: 0.025,
        slow_start_duration: Micros::from_millis(8_800),
    }
}

pub(crate) fn config() -> RebalanceConfig {
    RebalanceConfig { enabled: true, max_migrations_per_second: 20.0, ..RebalanceConfig::default() }
}

/// [`Rebalancer`] with servers and a clock.
pub(crate) struct RebalanceHarness {
    pub(crate) rebalancer: Rebalancer,
    pub(crate) now: Time,
    pub(crate) servers: Vec<ServerSnapshot>,
    /// Id of the connection that was established last. The ids of reconnected clients have an additional
    /// offset of [`RECONNECTED_ID_OFFSET`].
    pub(crate) last_connection_id: u64,
    pub(crate) conditions: SystemConditions,
}

impl RebalanceHarness {
    pub(crate) fn new(
        config: RebalanceConfig,
        context: RebalanceContext,
        servers: usize,
    ) -> RebalanceHarness {
        let now = Time(1_000_000_000);
        let server = |n| ServerSnapshot {
            server: ServerId(n),
            is_ready: true,
            occupied_slots: 0.0,
            ceiling: 4.0,
            weight: 1.0,
            warmth: 1.0,
            started_at: None,
            last_fault_at: None,
        };
        let servers = (0..servers as u32).map(server).collect();
        let mut harness = RebalanceHarness {
            rebalancer: Rebalancer::new(config, context, 7, now),
            now,
            servers,
            last_connection_id: 0,
            conditions: SystemConditions::default(),
        };
        harness.notify(RebalanceEvent::EndpointListChanged { ready_servers: harness.servers.len() });
        harness
    }

    /// Creates four servers. The first has twice as many connections as the next two. The last has just
    /// restarted and has no connections.
    pub(crate) fn unbalanced() -> RebalanceHarness {
        let mut harness = RebalanceHarness::new(config(), context(), 4);
        for server in 0..3 {
            harness.establish(server, if server == 0 { 40 } else { 20 }, None);
        }
        harness.servers[3].started_at = Some(harness.now);
        harness
    }

    pub(crate) fn notify(&mut self, event: RebalanceEvent) {
        self.rebalancer.on_event(self.now, event);
    }

    pub(crate) fn establish(&mut self, server: u32, count: usize, group: Option<u64>) -> Vec<ConnectionId> {
        let connections: Vec<ConnectionId> = (0..count).map(|_| self.establish_one(server, group)).collect();
        self.servers[server as usize].ceiling = self.servers[server as usize].occupied_slots;
        connections
    }

    pub(crate) fn establish_one(&mut self, server: u32, group: Option<u64>) -> ConnectionId {
        self.last_connection_id += 1;
        let (connection, key) = (ConnectionId(self.last_connection_id), Some(self.last_connection_id));
        let properties = ConnectionProperties { server: ServerId(server), class: 0, group, load: None, key };
        self.notify(RebalanceEvent::ConnectionEstablished { connection, properties, setup_time: None });
        self.servers[server as usize].occupied_slots += 1.0;
        connection
    }

    /// Evaluates half a second later. The first server reports `message_time` once per second.
    pub(crate) fn evaluate_after_half_second(&mut self, message_time: Option<Micros>) -> Decision {
        self.now = self.now.plus(SECOND / 2);
        if let Some(message_time) = message_time.filter(|_| self.now.0.is_multiple_of(SECOND.0)) {
            self.notify(RebalanceEvent::MessageTimeReported { server: ServerId(0), message_time });
        }
        let decision = self.rebalancer.evaluate(self.now, self.conditions, &self.servers);
        for &Migration { connection, from } in &decision.migrations {
            self.servers[from.0 as usize].occupied_slots -= 1.0;
            self.notify(RebalanceEvent::ConnectionEnded { connection, ended_by_client: false });
        }
        decision
    }

    /// Evaluates every half second for `count` seconds. Returns the migrated connections.
    pub(crate) fn run_seconds(&mut self, count: u64, message_time: Option<Micros>) -> Vec<ConnectionId> {
        let mut migrated = Vec::new();
        for _ in 0..2 * count {
            let migrations = self.evaluate_after_half_second(message_time).migrations;
            migrated.extend(migrations.into_iter().map(|migration| migration.connection));
        }
        migrated
    }

    /// Reconnects the client of a migrated connection, at the last server.
    pub(crate) fn reconnect_client(&mut self, migrated: ConnectionId, setup: Micros) {
        self.last_connection_id += 1;
        let (connection, key) =
            (ConnectionId(self.last_connection_id + RECONNECTED_ID_OFFSET), Some(migrated.0));
        self.notify(RebalanceEvent::ConnectionRequested { connection, key, reports_reconnection: true });
        let server = ServerId(self.servers.len() as u32 - 1);
        let properties = ConnectionProperties { server, class: 0, group: None, load: None, key };
        self.notify(RebalanceEvent::ConnectionEstablished {
            connection,
            properties,
            setup_time: Some(setup),
        });
        self.servers.last_mut().expect("the harness has servers").occupied_slots += 1.0;
    }

    pub(crate) fn hold_reason(&self) -> Option<HoldReason> {
        self.rebalancer.metrics().hold_reason
    }

    pub(crate) fn is_established(&self, connection: ConnectionId) -> bool {
        self.rebalancer.connection(connection).is_some()
    }
}
