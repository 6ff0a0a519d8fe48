//! Queries and updates for the program that embeds the balancer, between two events.

use super::server::Server;
use super::Balancer;
use crate::types::{EndpointLeaseState, GroupHash, LearnedState, Occupancy, RequestId, ServerId, Time};

impl Balancer {
    /// Returns whether the balancer still expects events or may emit actions for a request. If not, the
    /// embedding program can forget the request.
    pub fn is_tracked(&self, request: RequestId) -> bool {
        self.requests.contains(request)
    }

    /// Returns the occupied slots and the ceiling of a server, for gauges and tests; none for an unknown
    /// server.
    pub fn occupancy(&self, server: ServerId) -> Option<Occupancy> {
        self.servers.get(server).map(|server| Occupancy {
            occupied_slots: server.connections.occupied_slots(),
            ceiling: server.limit.ceiling(),
        })
    }

    /// Returns the groups of the connections that are established through this balancer, for samples to
    /// peers.
    pub fn established_groups(&self) -> impl Iterator<Item = GroupHash> + '_ {
        let established = self.servers.iter().flat_map(|server| server.connections.established());
        established.filter_map(|id| Some(self.requests.get(id)?.group?.short_hash()))
    }

    /// Returns the time until which the endpoint list may be used; none if it does not expire.
    pub fn endpoint_list_expires_at(&self) -> Option<Time> {
        self.endpoint_lease.expires_at()
    }

    /// Returns the lease on the endpoint list, for a balancer that replaces this one; none if the list does
    /// not expire.
    pub fn endpoint_lease(&self) -> Option<EndpointLeaseState> {
        self.endpoint_lease.state()
    }

    /// Continues the lease on the endpoint list of another balancer, which this one replaces; none if that
    /// is unknown.
    pub fn import_endpoint_lease(&mut self, now: Time, lease: Option<EndpointLeaseState>) {
        self.endpoint_lease.on_hot_restart(now, lease);
    }

    /// Returns whether a listed server counts as `ejected` in metrics: it is ejected, or it is full and had a
    /// recent fault. Selection does not use this; it checks each rule separately.
    pub fn counts_as_ejected(&self, now: Time, server: ServerId) -> bool {
        let Some(server) = self.servers.get(server) else { return false };
        let is_full = server.connections.occupied_slots() >= server.limit.ceiling();
        let is_connecting = server.connections.has_attempt_in_flight();
        !server.outlier.is_eligible(now, is_connecting)
            || (is_full && !server.limit.has_no_recent_fault(now, self.fault_window))
    }

    /// Returns the learned state of a server, for a balancer that replaces this one; none for an unknown
    /// server.
    pub fn learned_state(&self, server: ServerId) -> Option<LearnedState> {
        self.servers.get(server).map(Server::learned_state)
    }

    /// Restores the state that another balancer learned of a listed server.
    pub fn import_learned_state(&mut self, server: ServerId, learned: LearnedState) {
        if let Some(server) = self.servers.get_mut(server) {
            server.import_learned_state(&learned);
        }
    }

    /// Raises a server's ceiling to `slots` for rebalancing, if it is lower. The server's current slow-start
    /// wait is not shortened afterwards.
    pub fn raise_ceiling(&mut self, server: ServerId, slots: f64) {
        if let Some(server) = self.servers.get_mut(server) {
            server.limit.raise_to(slots);
            server.slow_start.freeze_wait();
        }
    }

    /// Lowers a server's ceiling to the occupied slots for rebalancing. The server's current slow-start wait
    /// is not shortened afterwards.
    pub fn lower_ceiling_to_occupancy(&mut self, server: ServerId) {
        if let Some(server) = self.servers.get_mut(server) {
            server.limit.lower_to(server.connections.occupied_slots());
            server.slow_start.freeze_wait();
        }
    }

    /// Records that rebalancing has migrated a connection away from a server, and lowers the ceiling. The
    /// slot that the connection frees may be the only free one, and would attract the same client again.
    pub fn on_rebalancing_migration(&mut self, now: Time, server: ServerId) {
        self.lower_ceiling_to_occupancy(server);
        if let Some(server) = self.servers.get_mut(server) {
            server.last_migration.record(now);
        }
    }
}
