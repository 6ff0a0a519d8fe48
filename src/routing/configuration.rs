//! What may change while all goes on: the configuration and the endpoint list.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use super::hot_restart::PeerProcess;
use super::{
    stored_endpoint, Budget, ClassCounters, ConnectionId, Effect, Endpoint, Lifecycle, Phase, PoolConfig,
    PoolId, State,
};
use crate::rebalance::RebalanceEvent;
use crate::{Event, Micros, Outcome, ServerId, Time};

/// Where servers that drain send their clients away by themselves, those of one that is out by hand are moved
/// over this time: it does not know that it is about to go.
const OUT_OVER: Micros = 1_200_000;
/// Danger: where servers come and go under ever new names, all that were ever listed would fill the memory.
const MOST_NAMES: usize = 20_000;

impl State {
    /// Another configuration takes the place of the old at one go. What is out, what stands and what was
    /// learned of servers stays, and so does the endpoint list, until the new discovery tells another.
    pub(super) fn configure(
        &mut self,
        now: Time,
        setups: Vec<PoolConfig>,
        peers: Vec<SocketAddr>,
        budget: Budget,
    ) {
        self.budget = budget;
        for (id, config) in setups.into_iter().enumerate().take(self.pools.len()) {
            let pool = &mut self.pools[id];
            let config = config.after(&pool.config);
            let moved = config.discovery.filter(|_| config.discovery != pool.config.discovery);
            pool.balancer.configure(config.settings.clone());
            pool.peers.configure(config.gossip_config());
            pool.rebalance.configure(now, config.rebalance, config.rebalance_context());
            pool.config = config;
            pool.counts.resize(pool.config.classes.len(), ClassCounters::default());
            self.refresh(now, id);
            self.effects.extend(moved.map(|discovery| Effect::WatchEndpointsAt { pool: id, discovery }));
        }
        if self.peers != peers {
            self.next_gossip_at = (!peers.is_empty()).then_some(now);
            self.peers = peers;
        }
    }

    pub(super) fn on_endpoints_updated(
        &mut self,
        now: Time,
        pool_id: PoolId,
        whole: bool,
        endpoints: Vec<Endpoint>,
    ) {
        let Some(pool) = self.pools.get_mut(pool_id) else { return };
        if whole {
            pool.listed.clear();
        }
        for endpoint in endpoints {
            match endpoint.lifecycle {
                Lifecycle::Gone => drop(pool.listed.remove(&endpoint.name)),
                _ => drop(pool.listed.insert(endpoint.name.clone(), endpoint)),
            }
        }
        self.refresh(now, pool_id);
    }

    /// Makes the endpoint list anew from what is listed, what is out by hand and what the store says of it.
    pub(super) fn refresh(&mut self, now: Time, pool_id: PoolId) {
        let pool = &mut self.pools[pool_id];
        let mut endpoints = pool.listed.clone();
        if pool.config.from_store {
            let added = self.store.under("host/").filter_map(|(name, text)| stored_endpoint(name, text));
            endpoints.extend(added.map(|endpoint| (endpoint.name.clone(), endpoint)));
        }
        if self.ever_listed.len() > MOST_NAMES {
            self.ever_listed.clear();
        }
        self.ever_listed.extend(endpoints.keys().cloned());
        let mut out = self.excluded_by_operator.clone();
        out.extend(self.store.under("life/").map(|(name, _)| name.to_owned()));
        // Danger: a server that was out has mostly started again, and the list may not know that yet. Whatever
        // was thought of it before is of no use, and it may not be filled faster than a cold one.
        pool.readmitted.extend(pool.out.difference(&out).map(|name| (name.clone(), now)));
        let slow_start_duration = pool.config.settings.slow_start_duration;
        pool.readmitted.retain(|name, at| now.since(*at) < slow_start_duration && !out.contains(name));
        for (name, &at) in &pool.readmitted {
            endpoints
                .entry(name.clone())
                .and_modify(|endpoint| endpoint.started = endpoint.started.max(Some(at)));
        }
        if self.peer_process == Some(PeerProcess::Successor) {
            let cold = |endpoint: &&mut Endpoint| {
                endpoint.started.is_some_and(|at| now.since(at) < slow_start_duration)
            };
            endpoints.values_mut().filter(cold).for_each(|endpoint| endpoint.lifecycle = Lifecycle::Draining);
        }
        for name in &out {
            // Only servers of this balancer's own list may be used, and none that this list has leaving.
            match (endpoints.get_mut(name), self.store.get(&format!("life/{name}"))) {
                (Some(_), Some("gone")) => drop(endpoints.remove(name)),
                (Some(endpoint), _) => endpoint.lifecycle = Lifecycle::Draining,
                _ => {}
            }
        }
        pool.out = out;
        let listed = pool.table.follow(endpoints.into_values(), &pool.config.zones);
        let ready = listed.iter().filter(|endpoint| endpoint.state == crate::EndpointState::Serving).count();
        pool.rebalance.on_event(now, RebalanceEvent::EndpointListChanged { ready });
        self.dispatch(now, pool_id, Event::EndpointsReplaced(&listed));
        let shutdown_window: Vec<_> =
            self.at.range((pool_id, ServerId(0))..=(pool_id, ServerId(u32::MAX))).collect();
        let table = &self.pools[pool_id].table;
        let held = shutdown_window.into_iter().filter(|((_, server), _)| table.ready(*server).is_none());
        let held: Vec<(ServerId, ConnectionId)> = held
            .flat_map(|((_, server), connections)| {
                connections.iter().map(|&connection| (*server, connection))
            })
            .collect();
        let mut draining: BTreeMap<(ServerId, Micros), Vec<ConnectionId>> = BTreeMap::new();
        for (server, id) in held {
            let pool = &self.pools[pool_id];
            let gone = pool.table.any(server).is_none();
            let by_hand = pool.table.any(server).is_some_and(|endpoint| pool.out.contains(&endpoint.name));
            let over = pool.config.drain_over;
            let over = if by_hand && over == 0 { OUT_OVER } else { over };
            let Some(connection) = self.connections.get(&id) else { continue };
            match (connection.phase, connection.attempt) {
                // Danger (drains): what is not written yet must not reach a server told to be leaving.
                (Phase::Connecting, Some(attempt)) if !attempt.written => {
                    self.effects.push(Effect::CloseAttempt { connection: id });
                    self.attempt_failed(now, id, Outcome::NotSent);
                }
                (Phase::Established, _) if gone => self.migrate(now, id, Outcome::Reset),
                (Phase::Established, _) if over > 0 && connection.migrate_at.is_none() => {
                    draining.entry((server, over)).or_default().push(id)
                }
                _ => {}
            }
        }
        for ((_, over), established) in draining {
            self.migrate_gradually(now, &established, 0, over);
        }
    }
}
