//! Attempts at servers: arrival, connection setup and end.

use crate::deployment::VirtualDuration;
use connection_balancer::routing::{AttemptOutcome, Input};

use super::client_events::ClientPhase;
use super::{AttemptRef, Day, Event, NETWORK_DELAY};
use crate::invariants::ConnectionRef;
use crate::pool::MEAN_LOAD_MICROS_PER_S;

/// Duration of a setup at the server, in mean message times. The session store's processing time is added.
const SETUP_MESSAGES: f64 = 2.0;

impl Day<'_> {
    /// Returns the number of a request's latest attempt, counted from 0.
    pub(super) fn latest_attempt(&self, request: ConnectionRef) -> u32 {
        self.invariants.attempts(request).saturating_sub(1)
    }

    /// Closes a request's attempt and removes its connection from the server.
    pub(super) fn close_attempt(&mut self, request: ConnectionRef) {
        self.invariants.on_attempt_ended(request);
        let connections = &mut self.balancers[request.balancer].connections;
        let Some(open) = connections.get_mut(&request.connection) else { return };
        if let Some(server) = open.server.take() {
            self.servers[server].remove_connection(open.client);
        }
    }

    /// Handles the arrival of an attempt at its server, which begins the setup or rejects the attempt.
    pub(super) fn accept_attempt(&mut self, attempt: AttemptRef) {
        let AttemptRef { request, server, .. } = attempt;
        if !self.is_current_process(request.balancer_ref()) {
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

    /// Notifies the balancer that an attempt ended before its setup began.
    fn fail_attempt(&mut self, attempt: AttemptRef, outcome: AttemptOutcome) {
        let ConnectionRef { balancer, connection, .. } = attempt.request;
        self.invariants.on_attempt_ended(attempt.request);
        self.feed(balancer, Input::AttemptEnded { connection, attempt: attempt.attempt, outcome });
    }

    /// Adds the connection to the server and schedules the completion of its setup.
    fn begin_setup(&mut self, attempt: AttemptRef, client: usize) {
        let AttemptRef { request, server: index, .. } = attempt;
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
        // Connections that are established at the start of the day are in the session store already.
        let stored_at = if self.now <= NETWORK_DELAY { self.now } else { self.store.enqueue_setup(self.now) };
        let setup_duration = server.message_micros(self.now) * SETUP_MESSAGES;
        let server_incarnation = server.incarnation;
        let completes_at = stored_at + setup_duration as VirtualDuration;
        self.schedule(completes_at, Event::SetupCompletes { attempt, server_incarnation });
    }

    /// Handles the completion of a setup at a server, which establishes the connection of a current attempt.
    pub(super) fn complete_setup(&mut self, attempt: AttemptRef, server_incarnation: u64) {
        let AttemptRef { request, attempt: number, server } = attempt;
        if !self.is_current_process(request.balancer_ref()) || !self.is_current(attempt, server_incarnation) {
            return;
        }
        let Some(client) = self.client_of(request) else { return };
        self.client_states[client].phase = ClientPhase::Connected { connection: request, server };
        self.invariants.on_attempt_ended(request);
        self.invariants.on_answer(self.now, request);
        let ConnectionRef { balancer, connection, .. } = request;
        self.feed(balancer, Input::AttemptAccepted { connection, attempt: number });
        let load = self.clients[client].load * MEAN_LOAD_MICROS_PER_S;
        self.feed(balancer, Input::LoadReported { connection, value: load });
    }

    /// Returns whether the client still waits for this attempt and the server process that began the setup
    /// still runs.
    fn is_current(&self, attempt: AttemptRef, server_incarnation: u64) -> bool {
        let request = attempt.request;
        let connections = &self.balancers[request.balancer].connections;
        let Some(open) = connections.get(&request.connection) else { return false };
        let server = &self.servers[attempt.server];
        server.up
            && server.incarnation == server_incarnation
            && open.server == Some(attempt.server)
            && self.client_states[open.client].phase == ClientPhase::Requesting(request)
            // A closed attempt and a later attempt of the same request can be at the same server.
            && self.latest_attempt(request) == attempt.attempt
    }

    /// Ends a client's established connection from the server's side; the client reconnects.
    pub(super) fn end_by_server(&mut self, client: usize, outcome: AttemptOutcome) {
        let ClientPhase::Connected { connection: request, .. } = self.client_states[client].phase else {
            return;
        };
        let attempt = self.latest_attempt(request);
        let ConnectionRef { balancer, connection, .. } = request;
        self.close_attempt(request);
        self.balancers[balancer].connections.remove(&connection);
        self.feed(balancer, Input::AttemptEnded { connection, attempt, outcome });
        self.feed(balancer, Input::SocketsClosed { connection });
        self.reconnect_client(client);
    }
}
