//! Updates of the endpoint list, and what they mean for connections.

use std::collections::BTreeMap;

use super::connection_table::{Phase, PlacedConnection};
use super::exclusions::exclusion_key;
use super::{stored_endpoint, ConnectionId, Effect, Endpoint, Lifecycle, PoolId, State};
use crate::rebalance::RebalanceEvent;
use crate::{EndpointState, Event, Micros, Outcome, ServerId, Time};

/// Keys of the replicated map that add a server to the list: the server's name follows.
pub(super) const ENDPOINT_KEY_PREFIX: &str = "host/";
/// The value of an exclusion that takes a server out of the list.
const EXCLUSION_VALUE_GONE: &str = "gone";
/// Where draining servers redirect their clients themselves, those of an excluded server are migrated over this
/// time: it does not know that it is to drain.
const EXCLUSION_DRAIN_DURATION: Micros = Micros::from_millis(1200);

/// Connections that are migrated over the same time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct DrainGroup {
    server: ServerId,
    duration: Micros,
}

impl State {
    pub(super) fn on_endpoints_updated(
        &mut self,
        now: Time,
        pool_id: PoolId,
        is_snapshot: bool,
        endpoints: Vec<Endpoint>,
    ) {
        // First, so that requests which the update takes off a server find a list that holds.
        self.confirm_endpoint_list(now, pool_id);
        self.apply_endpoint_update(now, pool_id, is_snapshot, endpoints);
        self.notify_rebalancer(now, pool_id, RebalanceEvent::EndpointListReceived);
    }

    /// Puts a whole list in place, or applies a change of it.
    pub(super) fn apply_endpoint_update(
        &mut self,
        now: Time,
        pool_id: PoolId,
        is_snapshot: bool,
        endpoints: Vec<Endpoint>,
    ) {
        let Some(pool) = self.pools.get_mut(pool_id) else { return };
        pool.listed.apply(is_snapshot, endpoints);
        self.refresh_endpoints(now, pool_id);
    }

    pub(super) fn refresh_all_endpoints(&mut self, now: Time) {
        for pool in 0..self.pools.len() {
            self.refresh_endpoints(now, pool);
        }
    }

    /// Makes a pool's endpoint list anew from what is listed, excluded and replicated, and drains the connections
    /// of servers that are not ready by it.
    pub(super) fn refresh_endpoints(&mut self, now: Time, pool_id: PoolId) {
        let mut endpoints = self.collect_listed_endpoints(pool_id);
        self.exclusions.note_listed(endpoints.keys());
        let excluded = self.excluded_servers();
        let pool = &mut self.pools[pool_id];
        let slow_start_duration = pool.slow_start_duration();
        pool.exclusions.replace(now, excluded, slow_start_duration);
        pool.exclusions.apply_readmissions(&mut endpoints);
        self.leave_cold_servers_to_successor(now, pool_id, &mut endpoints);
        self.apply_exclusions(pool_id, &mut endpoints);
        self.publish_endpoints(now, pool_id, endpoints);
        self.drain_connections(now, pool_id);
    }

    /// The servers that discovery lists and those that the replicated map adds, by name.
    fn collect_listed_endpoints(&self, pool_id: PoolId) -> BTreeMap<String, Endpoint> {
        let pool = &self.pools[pool_id];
        let mut endpoints = pool.listed.by_name().clone();
        if pool.config.uses_replicated_map {
            let replicated = self.replication.map().with_prefix(ENDPOINT_KEY_PREFIX);
            let added = replicated.filter_map(|(name, text)| stored_endpoint(name, text));
            endpoints.extend(added.map(|endpoint| (endpoint.name.clone(), endpoint)));
        }
        endpoints
    }

    /// While a successor serves, servers that warm up get no connections from here: two processes that each fill
    /// them as fast as they bear would overload them.
    fn leave_cold_servers_to_successor(
        &self,
        now: Time,
        pool_id: PoolId,
        endpoints: &mut BTreeMap<String, Endpoint>,
    ) {
        if !self.hot_restart.successor_serves() {
            return;
        }
        let slow_start_duration = self.pools[pool_id].slow_start_duration();
        for endpoint in endpoints.values_mut() {
            if endpoint.started.is_some_and(|started| now.since(started) < slow_start_duration) {
                endpoint.lifecycle = Lifecycle::Draining;
            }
        }
    }

    /// Has excluded servers drain, or takes them out. Only servers of this balancer's own list may be used, and none
    /// that this list has draining: so nothing is added here, and nothing is made ready.
    fn apply_exclusions(&self, pool_id: PoolId, endpoints: &mut BTreeMap<String, Endpoint>) {
        for name in self.pools[pool_id].exclusions.excluded() {
            if self.replication.map().get(&exclusion_key(name)) == Some(EXCLUSION_VALUE_GONE) {
                endpoints.remove(name);
            } else if let Some(endpoint) = endpoints.get_mut(name) {
                endpoint.lifecycle = Lifecycle::Draining;
            }
        }
    }

    /// Puts the list in effect: here, in rebalancing and in the decision module.
    fn publish_endpoints(&mut self, now: Time, pool_id: PoolId, endpoints: BTreeMap<String, Endpoint>) {
        let pool = &mut self.pools[pool_id];
        let entries = pool.endpoints.replace(endpoints.into_values(), &pool.config.zones);
        let ready = entries.iter().filter(|entry| entry.state == EndpointState::Serving).count();
        pool.rebalance.on_event(now, RebalanceEvent::EndpointListChanged { ready });
        self.dispatch(now, pool_id, Event::EndpointsReplaced(&entries));
    }

    /// Connections with an attempt at a server that gets no new ones, by server and then by connection.
    pub(super) fn connections_at_unready_servers(
        &self,
        pool_id: PoolId,
    ) -> impl Iterator<Item = PlacedConnection> + '_ {
        let endpoints = &self.pools[pool_id].endpoints;
        self.connections.placed(pool_id).filter(|placed| endpoints.get_ready(placed.server).is_none())
    }

    /// Moves connections off servers that drain or are gone.
    fn drain_connections(&mut self, now: Time, pool_id: PoolId) {
        let placed: Vec<PlacedConnection> = self.connections_at_unready_servers(pool_id).collect();
        let mut groups: BTreeMap<DrainGroup, Vec<ConnectionId>> = BTreeMap::new();
        for PlacedConnection { connection, server } in placed {
            if let Some(group) = self.drain_connection(now, pool_id, connection, server) {
                groups.entry(group).or_default().push(connection);
            }
        }
        for (group, connections) in groups {
            self.migrate_gradually(now, &connections, Micros::ZERO, group.duration);
        }
    }

    /// Does at once what cannot wait, and returns the group with which the connection is to migrate otherwise.
    fn drain_connection(
        &mut self,
        now: Time,
        pool_id: PoolId,
        id: ConnectionId,
        server: ServerId,
    ) -> Option<DrainGroup> {
        let connection = self.connections.get(id)?;
        match connection.phase {
            // What is not written yet must not reach a server that drains.
            Phase::Connecting if connection.attempt().is_some_and(|attempt| !attempt.forwarded) => {
                self.effects.push(Effect::CloseAttempt { connection: id });
                self.on_attempt_failed(now, id, Outcome::NotSent);
                None
            }
            Phase::Established if self.pools[pool_id].endpoints.get(server).is_none() => {
                self.migrate(now, id, Outcome::Reset);
                None
            }
            Phase::Established if connection.migrate_at.is_none() => {
                let duration = self.drain_duration(pool_id, server)?;
                Some(DrainGroup { server, duration })
            }
            _ => None,
        }
    }

    /// Over which time a draining server's connections are migrated; none where it redirects them itself.
    fn drain_duration(&self, pool_id: PoolId, server: ServerId) -> Option<Micros> {
        let pool = &self.pools[pool_id];
        match pool.config.drain_duration {
            Micros::ZERO => pool.is_excluded(server).then_some(EXCLUSION_DRAIN_DURATION),
            duration => Some(duration),
        }
    }
}
