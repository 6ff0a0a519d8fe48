//! What the host of a balancer may ask and set between two events.

use super::server::Server;
use super::Balancer;
use crate::types::{GroupHash, LearnedState, Occupancy, RequestId, ServerId, Time};

impl Balancer {
    /// Whether anything may still come or go for a request; if not, the host can forget it.
    pub fn is_tracked(&self, request: RequestId) -> bool {
        self.requests.contains(request)
    }

    /// Slots occupied at a server and its ceiling: for gauges and tests.
    pub fn occupancy(&self, server: ServerId) -> Option<Occupancy> {
        self.servers.get(server).map(|server| Occupancy {
            occupied_slots: server.connections.occupied_slots(),
            ceiling: server.limit.ceiling(),
        })
    }

    /// Groups of the connections that are established here, for other balancers.
    pub fn established_groups(&self) -> impl Iterator<Item = GroupHash> + '_ {
        let established = self.servers.iter().flat_map(|server| server.connections.established());
        established.filter_map(|id| Some(self.requests.get(id)?.group?.short_hash()))
    }

    /// Until when the endpoint list may be used; none where it does not expire.
    pub fn endpoint_list_expires_at(&self) -> Option<Time> {
        self.endpoint_lease.expires_at()
    }

    /// Whether a listed server counts as `ejected` in metrics: it is ejected, or it had a recent fault and is
    /// full. Selection does not use this; it looks at each rule by itself.
    pub fn is_avoided(&self, now: Time, server: ServerId) -> bool {
        let Some(server) = self.servers.get(server) else { return false };
        let is_full = server.connections.occupied_slots() >= server.limit.ceiling();
        let is_connecting = server.connections.has_attempt_in_flight();
        !server.outlier.is_eligible(now, is_connecting)
            || (is_full && !server.limit.has_no_recent_fault(now, self.fault_window))
    }

    /// What was learned of a server, for a balancer that takes the place of this one.
    pub fn learned_state(&self, server: ServerId) -> Option<LearnedState> {
        self.servers.get(server).map(Server::learned_state)
    }

    /// Takes over what another balancer learned of a listed server.
    pub fn restore_learned_state(&mut self, server: ServerId, learned: LearnedState) {
        if let Some(server) = self.servers.get_mut(server) {
            server.restore_learned_state(&learned);
        }
    }

    /// Rebalancing raises a server's ceiling to `slots`, if it is lower.
    pub fn raise_ceiling(&mut self, server: ServerId, slots: f64) {
        if let Some(server) = self.servers.get_mut(server) {
            server.limit.raise_to(slots);
            server.slow_start.fix_wait();
        }
    }

    /// Rebalancing lowers a server's ceiling to what is occupied there.
    pub fn lower_ceiling_to_occupancy(&mut self, server: ServerId) {
        if let Some(server) = self.servers.get_mut(server) {
            server.limit.lower_to(server.connections.occupied_slots());
            server.slow_start.fix_wait();
        }
    }

    /// Rebalancing has migrated a connection away from a server. The slot that it frees may be the only free
    /// one, and would draw the same client again.
    pub fn on_migrated_for_balance(&mut self, now: Time, server: ServerId) {
        self.lower_ceiling_to_occupancy(server);
        if let Some(server) = self.servers.get_mut(server) {
            server.last_migration.record(now);
        }
    }
}
