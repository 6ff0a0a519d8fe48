//! The endpoint list, and how it reaches the balancers.

use connection_balancer::routing::{Endpoint, Input, Lifecycle};
use rand::Rng;

use super::{Day, Event};
use crate::pool::endpoint;

impl Day<'_> {
    fn endpoints(&self) -> Vec<Endpoint> {
        let listed = self.listed.iter().enumerate().filter(|(_, lifecycle)| **lifecycle != Lifecycle::Gone);
        listed.map(|(server, lifecycle)| endpoint(server, *lifecycle, self.servers[server].started)).collect()
    }

    /// Sends a balancer the whole endpoint list.
    pub(super) fn send_endpoint_list(&mut self, balancer: usize) {
        for (server, lifecycle) in self.listed.iter().enumerate() {
            let is_ready = *lifecycle == Lifecycle::Ready;
            self.invariants.on_server_listed(self.now, balancer, server, is_ready);
        }
        let endpoints = self.endpoints();
        self.feed(balancer, Input::EndpointsUpdated { pool: 0, is_snapshot: true, endpoints });
    }

    /// Changes a server's entry; the list reaches each balancer with its own delay.
    pub(super) fn update_endpoint_list(&mut self, server: usize, lifecycle: Lifecycle) {
        self.listed[server] = lifecycle;
        let max_delay = self.deployment.list_delay;
        for index in 0..self.balancers.len() {
            let balancer = self.balancers[index].reference(index);
            let delay = self.rng.random_range(max_delay / 2..=max_delay);
            self.schedule(self.now + delay, Event::EndpointListArrives(balancer));
        }
    }
}
