//! The reducer's side of rebalancing: notifications to the rebalancer, and the execution of its decisions.
//!
//! The rebalancer (`src/rebalance/`, one for each pool) decides which established connections migrate for
//! balance. It learns of connections through [`RebalanceEvent`]s, and of servers through a snapshot that is
//! taken for each decision. The snapshot of a server contains its occupied slots, its ceiling (in slots), its
//! weight, the share of its capacity while it is warming up (0 to 1) and its last fault.
//!
//! A decision lists connections to migrate, ceilings to raise and ceilings to lower. The balancer owns the
//! ceilings and changes them at this module's request. After a migration, the ceiling of the server that the
//! client left is lowered to its occupied slots. Otherwise the same client might return there, because the
//! slot that it left might be the only free one at any server.
//!
//! This module owns no state.

use super::{ConnectionId, Effect, LogEvent, PoolId, State};
use crate::rebalance::{
    CeilingIncrease, ConnectionProperties, Decision, HoldTransition, Migration, RebalanceEvent,
    RebalanceMetrics, ServerSnapshot, SystemConditions,
};
use crate::{Micros, Occupancy, Outcome, ServerId, Time};

use super::pool::Pool;

/// The smallest share of its capacity that is assumed for a server that is warming up.
const MIN_WARMTH: f64 = 0.01;
/// The weight assumed for a server whose listed weight is not a positive finite number.
const DEFAULT_WEIGHT: f64 = 1.0;

// ---- Notifications ----

impl State {
    pub(super) fn notify_rebalancer(&mut self, now: Time, pool: PoolId, event: RebalanceEvent) {
        if let Some(pool) = self.pools.get_mut(pool.0) {
            pool.rebalancer.on_event(now, event);
        }
    }

    /// Reports to the rebalancer that a connection was rejected or failed.
    pub(super) fn notify_rejected(&mut self, now: Time, id: ConnectionId) {
        if let Some(pool) = self.connections.pool_of(id) {
            self.notify_rebalancer(now, pool, RebalanceEvent::ConnectionRejected { connection: id });
        }
    }

    /// Reports to the rebalancer that an established connection is migrated or redirected, so that its end is
    /// not its client's decision.
    pub(super) fn notify_interrupted(&mut self, now: Time, id: ConnectionId) {
        if let Some(pool) = self.connections.pool_of(id) {
            self.notify_rebalancer(
                now,
                pool,
                RebalanceEvent::ConnectionEnded { connection: id, ended_by_client: false },
            );
        }
    }

    /// Reports to the rebalancer that a connection is established. `setup_time` is the time from the
    /// forwarded request to the server's acceptance. It is `None` for a connection that this process did not
    /// place.
    pub(super) fn notify_established(&mut self, now: Time, id: ConnectionId, setup_time: Option<Micros>) {
        let Some(connection) = self.connections.get(id) else { return };
        let Some(attempt) = connection.attempt() else { return };
        let pool = connection.pool;
        let properties = ConnectionProperties {
            server: attempt.server,
            class: connection.class.unwrap_or_default().0,
            group: connection.request.group,
            load: connection.load,
            key: connection.request.key,
        };
        self.notify_rebalancer(
            now,
            pool,
            RebalanceEvent::ConnectionEstablished { connection: id, properties, setup_time },
        );
    }

    /// Returns the metrics of a pool's rebalancing for simulations and tests, or `None` if rebalancing is
    /// off.
    pub fn rebalance_metrics(&self, pool: PoolId) -> Option<RebalanceMetrics> {
        let pool = self.pools.get(pool.0).filter(|pool| pool.config.rebalance.enabled)?;
        Some(pool.rebalancer.metrics())
    }
}

// ---- Decisions ----

impl State {
    /// Requests a decision from the rebalancer of a pool, and executes it.
    pub(super) fn rebalance(&mut self, now: Time, pool_id: PoolId) {
        let conditions = self.system_conditions(pool_id);
        let pool = &mut self.pools[pool_id.0];
        let servers = pool.server_snapshots(now);
        let decision = pool.rebalancer.evaluate(now, conditions, &servers);
        self.apply_decision(now, pool_id, decision);
    }

    /// Returns the conditions of this process because of which the rebalancer may pause migrations.
    fn system_conditions(&self, pool_id: PoolId) -> SystemConditions {
        SystemConditions {
            shutting_down: self.shutdown.has_begun(),
            hot_restart: self.hot_restart.has_peer_process(),
            draining_connections: self.connections_at_unready_servers(pool_id).count(),
        }
    }

    fn apply_decision(&mut self, now: Time, pool_id: PoolId, decision: Decision) {
        let pool = self.pools[pool_id.0].config.name;
        let log_event = decision.hold_transition.map(|transition| match transition {
            HoldTransition::Held(reason) => LogEvent::RebalancingPaused { pool, reason },
            HoldTransition::Resumed => LogEvent::RebalancingResumed { pool },
        });
        self.effects.extend(log_event.map(Effect::Log));
        for CeilingIncrease { server, ceiling } in decision.ceiling_increases {
            self.pools[pool_id.0].balancer.raise_ceiling(server, ceiling);
        }
        for server in decision.ceilings_to_lower {
            self.pools[pool_id.0].balancer.lower_ceiling_to_occupancy(server);
        }
        for Migration { connection: id, from: server } in decision.migrations {
            self.migrate(now, id, Outcome::Cancelled);
            self.pools[pool_id.0].balancer.on_rebalancing_migration(now, server);
        }
    }
}

impl Pool {
    /// Returns a snapshot of each listed server that the balancer knows.
    fn server_snapshots(&self, now: Time) -> Vec<ServerSnapshot> {
        self.endpoints.server_ids().filter_map(|server| self.server_snapshot(now, server)).collect()
    }

    fn server_snapshot(&self, now: Time, server: ServerId) -> Option<ServerSnapshot> {
        let Occupancy { occupied_slots, ceiling } = self.balancer.occupancy(server)?;
        let learned = self.balancer.learned_state(server)?;
        let endpoint = self.endpoints.get(server)?;
        let is_ready = self.endpoints.get_if_ready(server).is_some() && learned.failure_score == 0;
        let weight = Some(endpoint.weight).filter(|weight| *weight > 0.0 && weight.is_finite());
        let warmth = endpoint.started_at.map_or(1.0, |started| self.warmth(now, started));
        Some(ServerSnapshot {
            server,
            is_ready,
            occupied_slots,
            ceiling,
            weight: weight.unwrap_or(DEFAULT_WEIGHT),
            warmth: warmth.clamp(MIN_WARMTH, 1.0),
            started_at: endpoint.started_at,
            last_fault_at: learned.last_fault,
        })
    }

    /// Returns the share of its capacity that a server has reached by now, by its start; above 1 once slow
    /// start has ended.
    fn warmth(&self, now: Time, started: Time) -> f64 {
        let settings = &self.config.settings;
        let progress = now.since(started).as_f64() / settings.slow_start_duration.max(Micros(1)).as_f64();
        settings.slow_start_share + (1.0 - settings.slow_start_share) * progress
    }
}
