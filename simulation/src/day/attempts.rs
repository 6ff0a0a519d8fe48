//! Attempts at servers: their arrival, the setup, and their end.

use crate::deployment::VirtualTime;
use connection_balancer::routing::{AttemptOutcome, Input};

use super::client_events::ClientPhase;
use super::{AttemptRef, Day, Event, NETWORK_DELAY};
use crate::invariants::ConnectionRef;
use crate::pool::MEAN_LOAD_MICROS_PER_S;

/// Messages that a setup takes at the server, beside the call to the session store.
const SETUP_MESSAGES: f64 = 2.0;

impl Day<'_> {
    /// The number of a request's latest attempt.
    pub(super) fn latest_attempt(&self, request: ConnectionRef) -> u32 {
        self.invariants.attempts(request).saturating_sub(1)
    }

    /// Closes a request's attempt, and with it its connection at the server.
    pub(super) fn close_attempt(&mut self, request: ConnectionRef) {
        self.invariants.on_attempt_ended(request);
        let connections = &mut self.balancers[request.balancer].connections;
        let Some(open) = connections.get_mut(&request.connection) else { return };
        if let Some(server) = open.server.take() {
            self.servers[server].remove_connection(open.client);
        }
    }

    /// An attempt's request arrives at its server, which begins to set it up or rejects it.
    pub(super) fn accept_attempt(&mut self, attempt: AttemptRef) {
        let AttemptRef { connection: request, server, .. } = attempt;
        if !self.is_running(request.balancer_ref()) {
            return;
        }
        let Some(client) = self.client_of(request) else { return };
        if !self.servers.get(server).is_some_and(|server| server.up) {
            return self.fail_attempt(attempt, AttemptOutcome::ConnectFailed);
        }
        let (connection, number) = (request.connection, attempt.attempt);
        self.feed(request.balancer, Input::RequestForwarded { connection, attempt: number });
        if self.servers[server].rejects_new_connections() {
            return self.fail_attempt(attempt, AttemptOutcome::Rejected);
        }
        self.begin_setup(attempt, client);
    }

    fn fail_attempt(&mut self, attempt: AttemptRef, end: AttemptOutcome) {
        let ConnectionRef { balancer, connection, .. } = attempt.connection;
        self.invariants.on_attempt_ended(attempt.connection);
        self.feed(balancer, Input::AttemptEnded { connection, attempt: attempt.attempt, end });
    }

    fn begin_setup(&mut self, attempt: AttemptRef, client: usize) {
        let AttemptRef { connection: request, server: index, .. } = attempt;
        let profile = &self.clients[client];
        let server = &mut self.servers[index];
        let warmth = server.warmth(self.now);
        if warmth < 1.0 {
            self.invariants.on_slow_start_setup(self.now, index, warmth, server.capacity, profile.load);
        }
        server.add_connection(self.now, client, profile.load, profile.group);
        if let Some(open) = self.balancers[request.balancer].connections.get_mut(&request.connection) {
            open.server = Some(index);
        }
        // Connections that are established at the start are in the session store already.
        let called = if self.now <= NETWORK_DELAY { self.now } else { self.store.call(self.now) };
        let setup = server.message_micros(self.now) * SETUP_MESSAGES;
        let server_incarnation = server.incarnation;
        self.schedule(called + setup as VirtualTime, Event::SetupCompletes { attempt, server_incarnation });
    }

    /// A server has set up an attempt's connection: it is established, if the attempt is still wanted.
    pub(super) fn complete_setup(&mut self, attempt: AttemptRef, server_incarnation: u64) {
        let AttemptRef { connection: request, attempt: number, server } = attempt;
        if !self.is_running(request.balancer_ref()) || !self.is_wanted(attempt, server_incarnation) {
            return;
        }
        let Some(client) = self.client_of(request) else { return };
        self.client_states[client].phase = ClientPhase::Connected { connection: request, server };
        self.invariants.on_attempt_ended(request);
        self.invariants.on_answer(self.now, request);
        let ConnectionRef { balancer, connection, .. } = request;
        self.feed(balancer, Input::AttemptAccepted { connection, attempt: number });
        let load = self.clients[client].load * MEAN_LOAD_MICROS_PER_S;
        self.feed(balancer, Input::LoadReported { connection, load });
    }

    /// Whether a client still waits for this attempt, and this process of the server still runs.
    fn is_wanted(&self, attempt: AttemptRef, server_incarnation: u64) -> bool {
        let request = attempt.connection;
        let connections = &self.balancers[request.balancer].connections;
        let Some(open) = connections.get(&request.connection) else { return false };
        let server = &self.servers[attempt.server];
        server.up
            && server.incarnation == server_incarnation
            && open.server == Some(attempt.server)
            && self.client_states[open.client].phase == ClientPhase::Requesting(request)
            // An attempt that was closed and one that followed it may be at the same server.
            && self.latest_attempt(request) == attempt.attempt
    }

    /// A server ends an established connection.
    pub(super) fn end_by_server(&mut self, client: usize, end: AttemptOutcome) {
        let ClientPhase::Connected { connection: request, .. } = self.client_states[client].phase else {
            return;
        };
        let attempt = self.latest_attempt(request);
        let ConnectionRef { balancer, connection, .. } = request;
        self.close_attempt(request);
        self.balancers[balancer].connections.remove(&connection);
        self.feed(balancer, Input::AttemptEnded { connection, attempt, end });
        self.feed(balancer, Input::SocketsClosed { connection });
        self.reconnect_client(client);
    }
}
