//! Effects of a scenario's faults on servers and balancers.

use connection_balancer::routing::{AttemptOutcome, Input, Lifecycle};

use super::client_events::ClientPhase;
use super::Day;
use crate::invariants::ConnectionRef;
use crate::scenario::Fault;

impl Day<'_> {
    /// Applies a fault, or the end of one, to its server or balancer.
    pub(super) fn apply_fault(&mut self, fault: Fault) {
        match fault {
            Fault::ServerDies(server) => self.kill_server(server),
            Fault::ServerStarts(server) => {
                self.servers[server].start(self.now);
                self.update_endpoint_list(server, Lifecycle::Ready);
            }
            Fault::ServerDrains(server) => {
                self.servers[server].draining = true;
                self.update_endpoint_list(server, Lifecycle::Draining);
            }
            Fault::BalancerDies(balancer) => self.kill_balancer(balancer),
            Fault::BalancerStarts(balancer) => {
                let incarnation = self.balancers[balancer].incarnation + 1;
                self.balancers[balancer] = self.new_balancer(balancer, incarnation);
                self.invariants.on_balancer_restarted(balancer);
                self.send_endpoint_list(balancer);
            }
        }
    }

    fn kill_server(&mut self, server: usize) {
        for client in self.servers[server].die() {
            self.reset_connection(client);
        }
        if !self.dead_servers_remain_listed {
            self.update_endpoint_list(server, Lifecycle::Gone);
        }
    }

    /// Resets a client's connection or attempt because its server died. A client with an established
    /// connection reconnects. An unanswered request continues at its balancer.
    fn reset_connection(&mut self, client: usize) {
        let phase = self.client_states[client].phase;
        let Some(request) =
            phase.connection().filter(|request| self.is_current_process(request.balancer_ref()))
        else {
            return;
        };
        let ConnectionRef { balancer, connection, .. } = request;
        if let Some(open) = self.balancers[balancer].connections.get_mut(&connection) {
            open.server = None;
        }
        let attempt = self.latest_attempt(request);
        let reset = Input::AttemptEnded { connection, attempt, outcome: AttemptOutcome::Reset };
        if matches!(phase, ClientPhase::Connected { .. }) {
            self.balancers[balancer].connections.remove(&connection);
            self.feed(balancer, reset);
            self.feed(balancer, Input::SocketsClosed { connection });
            self.reconnect_client(client);
        } else {
            self.invariants.on_attempt_ended(request);
            self.feed(balancer, reset);
        }
    }

    fn kill_balancer(&mut self, balancer: usize) {
        let connections = std::mem::take(&mut self.balancers[balancer].connections);
        self.balancers[balancer].up = false;
        self.balancers[balancer].died_at = self.now;
        for open in connections.into_values() {
            if let Some(server) = open.server {
                self.servers[server].remove_connection(open.client);
            }
            self.reconnect_client(open.client);
        }
    }
}
