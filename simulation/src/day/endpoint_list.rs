//! The endpoint list and its delivery to the balancers.

use connection_balancer::routing::{Endpoint, Input, Lifecycle, PoolId};
use rand::Rng;

use super::{Day, Event};
use crate::pool::endpoint;

impl Day<'_> {
    /// Returns the endpoints of all servers that are not gone.
    fn endpoints(&self) -> Vec<Endpoint> {
        let lifecycles = self.listed_lifecycles.iter().enumerate();
        let present = lifecycles.filter(|(_, lifecycle)| **lifecycle != Lifecycle::Gone);
        present
            .map(|(server, lifecycle)| endpoint(server, *lifecycle, self.servers[server].started_at))
            .collect()
    }

    /// Delivers the whole endpoint list to a balancer.
    pub(super) fn send_endpoint_list(&mut self, balancer: usize) {
        for (server, lifecycle) in self.listed_lifecycles.iter().enumerate() {
            let is_ready = *lifecycle == Lifecycle::Ready;
            self.invariants.on_server_listed(self.now, balancer, server, is_ready);
        }
        let endpoints = self.endpoints();
        self.feed(balancer, Input::EndpointsUpdated { pool: PoolId(0), is_snapshot: true, endpoints });
    }

    /// Changes a server's entry, and schedules the delivery of the list to each balancer with a random delay.
    pub(super) fn update_endpoint_list(&mut self, server: usize, lifecycle: Lifecycle) {
        self.listed_lifecycles[server] = lifecycle;
        let max_delay = self.deployment.list_delay;
        for index in 0..self.balancers.len() {
            let balancer = self.balancers[index].reference(index);
            let delay = self.rng.random_range(max_delay / 2..=max_delay);
            self.schedule(self.now + delay, Event::EndpointListArrives(balancer));
        }
    }
}
