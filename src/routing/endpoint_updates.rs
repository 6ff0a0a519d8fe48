//! Updates of the endpoint list, and the draining of connections that they cause.
//!
//! After every change of one of its sources, the list in effect is derived again in these steps:
//!
//! 1. The list starts with the servers that discovery or the operator's file lists.
//! 2. If the pool uses the replicated map, the servers of the map are added. A server of the map replaces a
//!    listed server of the same name, and counts as ready and as warm.
//! 3. Readmitted servers count as just started.
//! 4. While a successor of a hot restart serves, servers that are warming up drain at this process. Their
//!    established clients are migrated or transferred, whichever happens first. Without this step, each of
//!    the two processes would fill these servers at the full rate of their slow start.
//! 5. Excluded servers drain or are removed. An exclusion neither adds a server nor makes one ready.
//!
//! The result is passed to the rebalancer and to the balancer. Then connections are moved off servers that
//! are no longer ready:
//!
//! - An attempt whose request is not written yet is closed, and the balancer retries the request elsewhere.
//! - Connections at a server that is no longer listed are migrated at once.
//! - Connections at a draining server are migrated one by one over the pool's `drain_duration`. If that is
//!   zero, servers redirect their clients themselves. An excluded server does not know that it drains, so its
//!   connections are migrated over [`EXCLUSION_DRAIN_DURATION`] in that case.
//!
//! The pool owns the lists ([`super::listed_endpoints::ListedEndpoints`],
//! [`super::endpoints::EndpointList`]); this module owns no state.

use std::collections::BTreeMap;

use super::connection_table::{ConnectionAtServer, Phase};
use super::exclusions::exclusion_key;
use super::{parse_replicated_endpoint, ConnectionId, Effect, Endpoint, Lifecycle, PoolId, State};
use crate::rebalance::RebalanceEvent;
use crate::{EndpointState, Event, Micros, Outcome, ServerId, Time};

/// Prefix of the replicated map's keys that add a server to the list. The server's name follows.
pub(super) const ENDPOINT_KEY_PREFIX: &str = "host/";
/// Value of an exclusion that removes the server from the list. With any other value the server drains.
const EXCLUSION_VALUE_GONE: &str = "gone";
/// Time over which the clients of an excluded server are migrated, in pools whose draining servers redirect
/// their clients themselves.
const EXCLUSION_DRAIN_DURATION: Micros = Micros::from_millis(1200);

/// Key of a group of connections that are migrated together: one server and one duration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct DrainGroup {
    server: ServerId,
    duration: Micros,
}

impl State {
    /// Handles an update that discovery sent or that was read from the operator's file.
    pub(super) fn on_endpoints_updated(
        &mut self,
        now: Time,
        pool_id: PoolId,
        is_snapshot: bool,
        endpoints: Vec<Endpoint>,
    ) {
        // The update may close attempts, whose requests can only be retried while the list has not expired.
        // The list is therefore confirmed first.
        self.confirm_endpoint_list(now, pool_id);
        self.apply_endpoint_update(now, pool_id, is_snapshot, endpoints);
        self.notify_rebalancer(now, pool_id, RebalanceEvent::EndpointListReceived);
    }

    /// Replaces the list of a pool with a snapshot, or applies a delta to it.
    pub(super) fn apply_endpoint_update(
        &mut self,
        now: Time,
        pool_id: PoolId,
        is_snapshot: bool,
        endpoints: Vec<Endpoint>,
    ) {
        let Some(pool) = self.pools.get_mut(pool_id.0) else { return };
        pool.listed.apply(is_snapshot, endpoints);
        self.refresh_endpoints(now, pool_id);
    }

    pub(super) fn refresh_all_endpoints(&mut self, now: Time) {
        for pool in (0..self.pools.len()).map(PoolId) {
            self.refresh_endpoints(now, pool);
        }
    }

    /// Derives a pool's endpoint list from its sources, publishes it, and drains the connections of servers
    /// that are not ready.
    pub(super) fn refresh_endpoints(&mut self, now: Time, pool_id: PoolId) {
        let mut endpoints = self.collect_listed_endpoints(pool_id);
        self.exclusions.record_listed(endpoints.keys());
        let excluded = self.excluded_servers();
        let pool = &mut self.pools[pool_id.0];
        let slow_start_duration = pool.slow_start_duration();
        pool.exclusions.replace(now, excluded, slow_start_duration);
        pool.exclusions.apply_readmissions(&mut endpoints);
        self.drain_warming_servers(now, pool_id, &mut endpoints);
        self.apply_exclusions(pool_id, &mut endpoints);
        self.publish_endpoints(now, pool_id, endpoints);
        self.drain_connections(now, pool_id);
    }

    /// Returns the servers that discovery lists and those that the replicated map adds, by name.
    fn collect_listed_endpoints(&self, pool_id: PoolId) -> BTreeMap<String, Endpoint> {
        let pool = &self.pools[pool_id.0];
        let mut endpoints = pool.listed.by_name().clone();
        if pool.config.uses_replicated_map {
            let replicated = self.replication.map().with_prefix(ENDPOINT_KEY_PREFIX);
            let added = replicated.filter_map(|(name, text)| parse_replicated_endpoint(name, text));
            endpoints.extend(added.map(|endpoint| (endpoint.name.clone(), endpoint)));
        }
        endpoints
    }

    /// Marks servers that are warming up as draining while a successor serves, because the successor fills
    /// them.
    fn drain_warming_servers(&self, now: Time, pool_id: PoolId, endpoints: &mut BTreeMap<String, Endpoint>) {
        if !self.hot_restart.successor_serves() {
            return;
        }
        let slow_start_duration = self.pools[pool_id.0].slow_start_duration();
        for endpoint in endpoints.values_mut() {
            if endpoint.started_at.is_some_and(|started| now.since(started) < slow_start_duration) {
                endpoint.lifecycle = Lifecycle::Draining;
            }
        }
    }

    /// Marks excluded servers as draining, or removes them.
    fn apply_exclusions(&self, pool_id: PoolId, endpoints: &mut BTreeMap<String, Endpoint>) {
        for name in self.pools[pool_id.0].exclusions.excluded() {
            if self.replication.map().get(&exclusion_key(name)) == Some(EXCLUSION_VALUE_GONE) {
                endpoints.remove(name);
            } else if let Some(endpoint) = endpoints.get_mut(name) {
                endpoint.lifecycle = Lifecycle::Draining;
            }
        }
    }

    /// Replaces the list in effect, and passes it to the rebalancer and the balancer.
    fn publish_endpoints(&mut self, now: Time, pool_id: PoolId, endpoints: BTreeMap<String, Endpoint>) {
        let pool = &mut self.pools[pool_id.0];
        let entries = pool.endpoints.replace(endpoints.into_values(), &pool.config.zones);
        let ready_servers = entries.iter().filter(|entry| entry.state == EndpointState::Serving).count();
        pool.rebalancer.on_event(now, RebalanceEvent::EndpointListChanged { ready_servers });
        self.dispatch(now, pool_id, Event::EndpointListReplaced(&entries));
    }

    /// Returns the connections with an attempt at a server that is not ready, ordered by server and then by
    /// connection.
    pub(super) fn connections_at_unready_servers(
        &self,
        pool_id: PoolId,
    ) -> impl Iterator<Item = ConnectionAtServer> + '_ {
        let endpoints = &self.pools[pool_id.0].endpoints;
        self.connections
            .connections_with_attempt(pool_id)
            .filter(|placed| endpoints.get_if_ready(placed.server).is_none())
    }

    /// Retries or migrates the connections at servers that are not ready.
    fn drain_connections(&mut self, now: Time, pool_id: PoolId) {
        let placed: Vec<ConnectionAtServer> = self.connections_at_unready_servers(pool_id).collect();
        let mut groups: BTreeMap<DrainGroup, Vec<ConnectionId>> = BTreeMap::new();
        for ConnectionAtServer { connection, server } in placed {
            if let Some(group) = self.drain_connection(now, pool_id, connection, server) {
                groups.entry(group).or_default().push(connection);
            }
        }
        for (group, connections) in groups {
            self.migrate_gradually(now, &connections, Micros::ZERO, group.duration);
        }
    }

    /// Retries or migrates a connection if it must leave its server at once. Otherwise returns the group with
    /// which the connection is migrated gradually, or `None` if this update does not schedule its migration.
    fn drain_connection(
        &mut self,
        now: Time,
        pool_id: PoolId,
        id: ConnectionId,
        server: ServerId,
    ) -> Option<DrainGroup> {
        let connection = self.connections.get(id)?;
        match connection.phase {
            // A draining server must not receive new requests.
            Phase::Connecting if connection.attempt().is_some_and(|attempt| !attempt.is_forwarded()) => {
                self.effects.push(Effect::CloseAttempt { connection: id });
                self.on_attempt_failed(now, id, Outcome::NotSent);
                None
            }
            Phase::Established if self.pools[pool_id.0].endpoints.get(server).is_none() => {
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

    /// Returns the time over which a draining server's connections are migrated, or `None` if the server
    /// redirects them itself.
    fn drain_duration(&self, pool_id: PoolId, server: ServerId) -> Option<Micros> {
        let pool = &self.pools[pool_id.0];
        match pool.config.drain_duration {
            Micros::ZERO => pool.is_excluded(server).then_some(EXCLUSION_DRAIN_DURATION),
            duration => Some(duration),
        }
    }
}
