//! Rebalancing, on the reducer's side: what it is told, and how its moves are carried out.

use super::{ConnectionId, PoolId, State};
use crate::rebalance::view::Connection;
use crate::rebalance::{
    CeilingIncrease, Migration, RebalanceEvent, RebalanceMetrics, ServerSnapshot, SystemConditions,
};
use crate::{LearnedState, Micros, Outcome, ServerId, Time};

impl State {
    /// Tells a pool's rebalancing.
    pub(super) fn notify_rebalancer(&mut self, now: Time, pool: PoolId, word: RebalanceEvent) {
        if let Some(pool) = self.pools.get_mut(pool) {
            pool.rebalance.on_event(now, word);
        }
    }

    /// A connection was refused or failed.
    pub(super) fn declined(&mut self, now: Time, id: ConnectionId) {
        if let Some(pool) = self.connections.get(&id).map(|connection| connection.pool) {
            self.notify_rebalancer(now, pool, RebalanceEvent::ConnectionRejected { connection: id });
        }
    }

    /// What a pool's rebalancing did, where it is on: for models and tests.
    pub fn rebalancing(&self, pool: PoolId) -> Option<RebalanceMetrics> {
        let pool = self.pools.get(pool).filter(|pool| pool.config.rebalance.enabled)?;
        Some(pool.rebalance.metrics())
    }

    /// A standing connection ends before its own end.
    pub(super) fn cut_short(&mut self, now: Time, id: ConnectionId) {
        if let Some(pool) = self.connections.get(&id).map(|connection| connection.pool) {
            self.notify_rebalancer(
                now,
                pool,
                RebalanceEvent::ConnectionEnded { connection: id, natural: false },
            );
        }
    }

    /// A connection's connection stands, so long after its attempt was written.
    pub(super) fn on_established(&mut self, now: Time, id: ConnectionId, setup: Option<Micros>) {
        let Some((connection, attempt)) =
            self.connections.get(&id).and_then(|connection| Some((connection, connection.attempt?)))
        else {
            return;
        };
        let (pool, class) = (connection.pool, connection.class.unwrap_or_default().0);
        let properties = Connection {
            server: attempt.server,
            class,
            group: connection.ask.group,
            load: connection.load,
            key: connection.ask.key,
        };
        self.notify_rebalancer(
            now,
            pool,
            RebalanceEvent::ConnectionEstablished { connection: id, properties, setup },
        );
    }

    /// Its time has come to look whether anybody should be moved.
    pub(super) fn rebalance(&mut self, now: Time, pool_id: PoolId) {
        let table = &self.pools[pool_id].table;
        let there = self.at.range((pool_id, ServerId(0))..=(pool_id, ServerId(u32::MAX)));
        let shutdown_window = there.filter(|((_, server), _)| table.ready(*server).is_none());
        let world = SystemConditions {
            shutting_down: self.shutdown_window.is_some(),
            hot_restart: self.peer_process.is_some(),
            draining: shutdown_window.map(|(_, connections)| connections.len()).sum(),
        };
        let pool = &mut self.pools[pool_id];
        let settings = &pool.config.settings;
        let server_snapshot = |server| {
            let (held, ceiling) = pool.balancer.occupancy(server)?;
            let known = pool.balancer.learned_state(server)?;
            let listed = pool.table.any(server)?;
            let warm = |at: Time| now.since(at) as f64 / settings.slow_start_duration.max(1) as f64;
            let grown = |at| settings.slow_start_share + (1.0 - settings.slow_start_share) * warm(at);
            let weight = Some(listed.weight).filter(|weight| *weight > 0.0 && weight.is_finite());
            Some(ServerSnapshot {
                server,
                ready: pool.table.ready(server).is_some() && known.consecutive_failures == 0,
                held,
                ceiling,
                weight: weight.unwrap_or(1.0),
                warmth: listed.started.map_or(1.0, grown).clamp(0.01, 1.0),
                started: listed.started,
                last_fault: known.last_fault,
            })
        };
        let servers: Vec<ServerSnapshot> = pool.table.ids().filter_map(server_snapshot).collect();
        let decision = pool.rebalance.evaluate(now, world, &servers);
        let name = pool.config.name;
        self.effects.extend(decision.log.map(|text| super::Effect::Log(format!("{name}: {text}"))));
        for CeilingIncrease { server, ceiling } in decision.ceilings {
            let balancer = &mut self.pools[pool_id].balancer;
            if let Some(known) = balancer.learned_state(server) {
                balancer.restore_learned_state(
                    server,
                    LearnedState { ceiling: known.ceiling.max(ceiling), ..known },
                );
            }
        }
        for server in decision.lowered {
            let balancer = &mut self.pools[pool_id].balancer;
            if let (Some((held, _)), Some(known)) =
                (balancer.occupancy(server), balancer.learned_state(server))
            {
                balancer.restore_learned_state(
                    server,
                    LearnedState { ceiling: known.ceiling.min(held), ..known },
                );
            }
        }
        for Migration { connection: id, from: server } in decision.moves {
            self.migrate(now, id, Outcome::Cancelled);
            // Danger: the slot that this frees may be the only free one, and would draw the same client again.
            let balancer = &mut self.pools[pool_id].balancer;
            if let (Some((held, _)), Some(known)) =
                (balancer.occupancy(server), balancer.learned_state(server))
            {
                let ceiling = known.ceiling.min(held);
                balancer.restore_learned_state(
                    server,
                    LearnedState { ceiling, last_migration: Some(now), ..known },
                );
            }
        }
    }
}
