//! Updates of the endpoint list, and what they mean for connections.

use std::collections::BTreeMap;

use super::connection_table::{Phase, PlacedConnection};
use super::exclusions::exclusion_key;
use super::{stored_endpoint, ConnectionId, Effect, Endpoint, Lifecycle, LogEvent, PoolId, State};
use crate::rebalance::RebalanceEvent;
use crate::{EndpointState, Event, Micros, Outcome, ServerId, Time, WatchFailure};

/// Keys of the replicated map that add a server to the list: the server's name follows.
pub(super) const ENDPOINT_KEY_PREFIX: &str = "host/";
/// The value of an exclusion that takes a server out of the list.
const EXCLUSION_VALUE_GONE: &str = "gone";
/// Where draining servers redirect their clients themselves, those of an excluded server are migrated over this
/// time: it does not know that it is to drain.
const EXCLUSION_DRAIN_DURATION: Micros = 1_200_000;

/// How a watch on an endpoint list is to be timed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointWatchTiming {
    /// How long after the end of its hold a call may go without an answer before it counts as silent.
    pub answer_timeout: Micros,
    /// The longest delay before a call that has fallen silent is made anew; the delay is a random part of it.
    pub max_reopening_delay: Micros,
}

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
        whole: bool,
        endpoints: Vec<Endpoint>,
    ) {
        self.apply_endpoint_update(now, pool_id, whole, endpoints);
        self.confirm_endpoint_list(now, pool_id);
        self.notify_rebalancer(now, pool_id, RebalanceEvent::EndpointListReceived);
    }

    /// A list that was received is the present one, but for that of the operator's file, which nobody watches.
    fn confirm_endpoint_list(&mut self, now: Time, pool_id: PoolId) {
        let Some(pool) = self.pools.get_mut(pool_id) else { return };
        pool.listed.mark_received(now);
        let was_expired = std::mem::take(&mut pool.reported_expiry);
        let name = pool.config.name;
        if pool.config.discovery.is_some() {
            self.dispatch(now, pool_id, Event::EndpointListConfirmed);
        }
        if was_expired {
            self.effects.push(Effect::Log(LogEvent::EndpointListRestored { pool: name }));
        }
    }

    pub(super) fn on_endpoint_watch_silent(&mut self, now: Time, pool: PoolId, called_ago: Micros) {
        let since = Time(now.0.saturating_sub(called_ago));
        self.pools[pool].count_discovery_failure();
        self.dispatch(now, pool, Event::EndpointWatchSilent { since });
        self.limit_forwarding_by_list(pool);
    }

    /// Attempts that wait for their connections were begun by the list as it was then: their requests are not
    /// to be written once it has expired.
    fn limit_forwarding_by_list(&mut self, pool: PoolId) {
        let Some(expires_at) = self.pools[pool].balancer.endpoint_list_expires_at() else { return };
        let placed: Vec<PlacedConnection> = self.connections.placed(pool).collect();
        for PlacedConnection { connection, .. } in placed {
            self.connections.limit_forwarding(connection, expires_at);
        }
    }

    /// How a pool's watch on its endpoint list is to be timed.
    pub fn endpoint_watch_timing(&self, pool: PoolId) -> EndpointWatchTiming {
        let settings = &self.pools[pool].config.settings;
        EndpointWatchTiming {
            answer_timeout: settings.watch_answer_timeout(),
            max_reopening_delay: settings.max_watch_reopening_delay(),
        }
    }

    pub(super) fn on_endpoint_watch_lost(&mut self, now: Time, pool: PoolId, failure: WatchFailure) {
        self.pools[pool].count_discovery_failure();
        self.notify_rebalancer(now, pool, RebalanceEvent::EndpointListLost);
        self.dispatch(now, pool, Event::EndpointWatchFailed(failure));
        self.limit_forwarding_by_list(pool);
    }

    /// Puts a whole list in place, or applies a change of it.
    pub(super) fn apply_endpoint_update(
        &mut self,
        now: Time,
        pool_id: PoolId,
        whole: bool,
        endpoints: Vec<Endpoint>,
    ) {
        let Some(pool) = self.pools.get_mut(pool_id) else { return };
        pool.listed.apply(whole, endpoints);
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
            self.migrate_gradually(now, &connections, 0, group.duration);
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
            0 => pool.is_excluded(server).then_some(EXCLUSION_DRAIN_DURATION),
            duration => Some(duration),
        }
    }
}
