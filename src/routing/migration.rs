//! The reducer's side of rebalancing: notifications to the rebalancer, and the execution of its decisions.
//!
//! The rebalancer (`src/rebalance/`, one for each pool) decides which established connections migrate for
//! balance. It sees the connections through [`RebalanceEvent`]s and the servers through a snapshot taken for
//! each decision: occupied slots and ceiling (in slots), weight, share of the capacity while warming up (0 to
//! 1) and the last fault.
//!
//! A decision consists of migrations, of ceilings to raise and of ceilings to lower. The balancer keeps the
//! ceilings; this module asks for the changes. After a migration, the ceiling of the server
//! falls to its occupied slots: the slot that has become free might be the only one anywhere, and the same
//! client would return to it.
//!
//! This module owns no state.

use super::{ConnectionId, Effect, LogEvent, PoolId, State};
use crate::rebalance::{
    CeilingIncrease, ConnectionProperties, Decision, HoldTransition, Migration, RebalanceEvent,
    RebalanceMetrics, ServerSnapshot, SystemConditions,
};
use crate::{Micros, Occupancy, Outcome, ServerId, Time};

use super::pool::Pool;

/// The smallest share of its capacity with which a server that is warming up counts.
const MIN_WARMTH: f64 = 0.01;
/// The weight of a server whose listed weight is not a positive number.
const DEFAULT_WEIGHT: f64 = 1.0;

// ---- Notifications ----

impl State {
    pub(super) fn notify_rebalancer(&mut self, now: Time, pool: PoolId, event: RebalanceEvent) {
        if let Some(pool) = self.pools.get_mut(pool) {
            pool.rebalance.on_event(now, event);
        }
    }

    /// Reports a connection that was rejected or failed.
    pub(super) fn notify_declined(&mut self, now: Time, id: ConnectionId) {
        if let Some(pool) = self.connections.pool_of(id) {
            self.notify_rebalancer(now, pool, RebalanceEvent::ConnectionRejected { connection: id });
        }
    }

    /// Reports an established connection that is migrated or redirected before its client ends it.
    pub(super) fn notify_interrupted(&mut self, now: Time, id: ConnectionId) {
        if let Some(pool) = self.connections.pool_of(id) {
            self.notify_rebalancer(
                now,
                pool,
                RebalanceEvent::ConnectionEnded { connection: id, natural: false },
            );
        }
    }

    /// Reports an established connection. `setup_time` is the time from its forwarded request to the server's
    /// acceptance, where it was placed here.
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
            RebalanceEvent::ConnectionEstablished { connection: id, properties, setup: setup_time },
        );
    }

    /// Metrics of a pool's rebalancing, where it is on, for simulations and tests.
    pub fn rebalancing(&self, pool: PoolId) -> Option<RebalanceMetrics> {
        let pool = self.pools.get(pool).filter(|pool| pool.config.rebalance.enabled)?;
        Some(pool.rebalance.metrics())
    }
}

// ---- Decisions ----

impl State {
    /// Has the rebalancer of a pool decide which connections migrate, and executes its decision.
    pub(super) fn rebalance(&mut self, now: Time, pool_id: PoolId) {
        let conditions = self.system_conditions(pool_id);
        let pool = &mut self.pools[pool_id];
        let servers = pool.server_snapshots(now);
        let decision = pool.rebalance.evaluate(now, conditions, &servers);
        self.apply_decision(now, pool_id, decision);
    }

    /// What may rule out migrations for balance at the moment.
    fn system_conditions(&self, pool_id: PoolId) -> SystemConditions {
        SystemConditions {
            shutting_down: self.shutdown.has_begun(),
            hot_restart: self.hot_restart.has_peer_process(),
            draining_connections: self.connections_at_unready_servers(pool_id).count(),
        }
    }

    fn apply_decision(&mut self, now: Time, pool_id: PoolId, decision: Decision) {
        let pool = self.pools[pool_id].config.name;
        let log_event = decision.hold_transition.map(|transition| match transition {
            HoldTransition::Held(reason) => LogEvent::RebalancingPaused { pool, reason },
            HoldTransition::Resumed => LogEvent::RebalancingResumed { pool },
        });
        self.effects.extend(log_event.map(Effect::Log));
        for CeilingIncrease { server, ceiling } in decision.ceiling_increases {
            self.pools[pool_id].balancer.raise_ceiling(server, ceiling);
        }
        for server in decision.ceilings_to_lower {
            self.pools[pool_id].balancer.lower_ceiling_to_occupancy(server);
        }
        for Migration { connection: id, from: server } in decision.migrations {
            self.migrate(now, id, Outcome::Cancelled);
            self.pools[pool_id].balancer.on_migrated_for_balance(now, server);
        }
    }
}

impl Pool {
    /// What rebalancing has to know of each listed server that the decision module knows.
    fn server_snapshots(&self, now: Time) -> Vec<ServerSnapshot> {
        self.endpoints.ids().filter_map(|server| self.server_snapshot(now, server)).collect()
    }

    fn server_snapshot(&self, now: Time, server: ServerId) -> Option<ServerSnapshot> {
        let Occupancy { occupied_slots, ceiling } = self.balancer.occupancy(server)?;
        let learned = self.balancer.learned_state(server)?;
        let endpoint = self.endpoints.get(server)?;
        let is_ready = self.endpoints.get_ready(server).is_some() && learned.failure_score == 0;
        let weight = Some(endpoint.weight).filter(|weight| *weight > 0.0 && weight.is_finite());
        let warmth = endpoint.started.map_or(1.0, |started| self.warmth(now, started));
        Some(ServerSnapshot {
            server,
            ready: is_ready,
            occupied_slots,
            ceiling,
            weight: weight.unwrap_or(DEFAULT_WEIGHT),
            warmth: warmth.clamp(MIN_WARMTH, 1.0),
            started: endpoint.started,
            last_fault: learned.last_fault,
        })
    }

    /// The share of its capacity that a server has so long after its start; over 1 once it is warm.
    fn warmth(&self, now: Time, started: Time) -> f64 {
        let settings = &self.config.settings;
        let progress = now.since(started).as_f64() / settings.slow_start_duration.max(Micros(1)).as_f64();
        settings.slow_start_share + (1.0 - settings.slow_start_share) * progress
    }
}
