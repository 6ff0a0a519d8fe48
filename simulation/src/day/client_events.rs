//! What clients do: connect, wait, reconnect, give up and leave.

use connection_balancer::Micros;
use std::collections::BTreeMap;

use crate::deployment::VirtualTime;
use connection_balancer::routing::{ConnectionRequest, Input};
use rand::Rng;

use super::{Balancer, Day, Event, NETWORK_DELAY};
use crate::clients::CLASSES;
use crate::deployment::SECOND;
use crate::invariants::ConnectionRef;
use crate::pool::server_name;

/// Time for which the front goes on sending clients to a dead balancer.
const FRONT_DETECTION_TIME: VirtualTime = 2 * SECOND;
/// Number of times that a client retries soon after a rejection or a failure.
const QUICK_RETRIES: u32 = 2;
/// Time until a client reconnects after a migration or a break.
const RECONNECT_DELAY: std::ops::Range<VirtualTime> = 100_000..1_300_000;
/// Time until a client retries without a Retry-After.
const RETRY_DELAY: std::ops::Range<VirtualTime> = 200_000..1_500_000;
/// Additional time once its quick retries are used up.
const SLOW_RETRY_DELAY: std::ops::Range<VirtualTime> = 1_000_000..4_000_000;

/// Where a client is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum ClientPhase {
    /// Without a connection; it connects at a time that is scheduled.
    Disconnected,
    /// It waits for a balancer's answer.
    Requesting(ConnectionRef),
    /// Its connection is established.
    Connected { connection: ConnectionRef, server: usize },
    /// It no longer wants a connection.
    Finished,
}

/// The state of a client.
#[derive(Debug)]
pub(super) struct ClientState {
    pub(super) phase: ClientPhase,
    /// Numbers its requests.
    pub(super) request_number: u32,
    quick_retries: u32,
    /// It reconnects after a migration or a break.
    reconnecting: bool,
    /// It was migrated at least once.
    pub(super) migrated: bool,
}

impl ClientState {
    pub(super) fn new() -> ClientState {
        ClientState {
            phase: ClientPhase::Disconnected,
            request_number: 0,
            quick_retries: QUICK_RETRIES,
            reconnecting: false,
            migrated: false,
        }
    }
}

impl Day<'_> {
    /// Requests the connections that are established before the day, and schedules the arrivals.
    pub(super) fn start_clients(&mut self) {
        let mut group_servers = BTreeMap::new();
        for client in 0..self.clients.len() {
            if !self.clients[client].connected_at_start {
                let at = self.clients[client].from;
                self.schedule(at, Event::ClientConnects { client, request_number: 0 });
                continue;
            }
            let random_server = self.rng.random_range(0..self.servers.len());
            let server = match self.clients[client].group {
                Some(group) => *group_servers.entry(group).or_insert(random_server),
                None => random_server,
            };
            let balancer = self.rng.random_range(0..self.balancers.len());
            self.request_connection(client, balancer, Some(server_name(server)));
            self.schedule(self.clients[client].until, Event::ClientLeaves { client });
        }
    }

    /// Requests a connection at a balancer, or restores one that is established at a server.
    fn request_connection(&mut self, client: usize, balancer: usize, established_at: Option<String>) {
        let profile = &self.clients[client];
        let class = &CLASSES[profile.class];
        let connection = self.balancers[balancer].add_connection(client);
        let request = self.balancers[balancer].connection_ref(balancer, connection);
        self.client_states[client].phase = ClientPhase::Requesting(request);
        let request = ConnectionRequest {
            id: Some(format!("{balancer}-{}-{}", request.incarnation, connection.0)),
            class: class.name.to_owned(),
            group: profile.group,
            timeout: Some(Micros(class.max_wait)),
            key: Some(client as u64),
            reconnecting: self.client_states[client].reconnecting,
            established_at,
            ..ConnectionRequest::default()
        };
        self.feed(balancer, Input::ClientConnected { connection, pool: 0 });
        self.feed(balancer, Input::ConnectionRequested { connection, request });
    }

    /// A client connects through the front, which chooses a balancer at random.
    pub(super) fn connect_client(&mut self, client: usize, request_number: u32) {
        let state = &self.client_states[client];
        if state.phase != ClientPhase::Disconnected || state.request_number != request_number {
            return;
        }
        if request_number == 0 {
            self.schedule(self.clients[client].until, Event::ClientLeaves { client });
        }
        let in_front =
            |balancer: &Balancer| balancer.up || self.now - balancer.died_at < FRONT_DETECTION_TIME;
        let candidates: Vec<usize> =
            (0..self.balancers.len()).filter(|&index| in_front(&self.balancers[index])).collect();
        if candidates.is_empty() {
            return self.reject_client(client, 0);
        }
        let balancer = candidates[self.rng.random_range(0..candidates.len())];
        if !self.balancers[balancer].up {
            return self.reject_client(client, 0);
        }
        self.request_connection(client, balancer, None);
        let max_wait = CLASSES[self.clients[client].class].max_wait;
        // The balancer counts the wait from when the request reaches it.
        let gives_up_at = self.now + max_wait + 2 * NETWORK_DELAY;
        self.schedule(gives_up_at, Event::ClientGivesUp { client, request_number });
    }

    /// A client has waited for its full time for the answer to a request.
    pub(super) fn end_client_wait(&mut self, client: usize, request_number: u32) {
        let state = &self.client_states[client];
        let ClientPhase::Requesting(request) = state.phase else { return };
        if state.request_number != request_number {
            return;
        }
        if self.is_running(request.balancer_ref()) {
            self.invariants.on_wait_ended(self.now, request);
            self.disconnect_from_balancer(request);
        }
        self.reject_client(client, 0);
    }

    /// A client no longer wants its connection.
    pub(super) fn remove_client(&mut self, client: usize) {
        let phase = std::mem::replace(&mut self.client_states[client].phase, ClientPhase::Finished);
        if let Some(connection) = phase.connection() {
            if self.is_running(connection.balancer_ref()) {
                self.disconnect_from_balancer(connection);
            }
        }
    }

    fn disconnect_from_balancer(&mut self, request: ConnectionRef) {
        let ConnectionRef { balancer, connection, .. } = request;
        self.close_attempt(request);
        self.balancers[balancer].connections.remove(&connection);
        self.feed(balancer, Input::ClientDisconnected { connection });
        self.feed(balancer, Input::SocketsClosed { connection });
    }

    /// A client is asked to reconnect; some do not.
    pub(super) fn migrate_client(&mut self, client: usize) {
        self.result.migrations += 1;
        self.client_states[client].migrated = true;
        if self.rng.random::<f64>() >= self.deployment.return_probability {
            self.client_states[client].phase = ClientPhase::Finished;
        } else {
            self.reconnect_client(client);
        }
    }

    /// A client's connection broke or is migrated: it reconnects.
    pub(super) fn reconnect_client(&mut self, client: usize) {
        let state = &mut self.client_states[client];
        state.phase = ClientPhase::Disconnected;
        state.reconnecting = true;
        state.quick_retries = QUICK_RETRIES;
        state.request_number += 1;
        let request_number = state.request_number;
        let delay = self.rng.random_range(RECONNECT_DELAY);
        self.schedule(self.now + delay, Event::ClientConnects { client, request_number });
    }

    /// A client's request was rejected or failed: it retries after `retry_after` or, where that is 0, after a
    /// random delay.
    pub(super) fn reject_client(&mut self, client: usize, retry_after: VirtualTime) {
        self.result.rejected += 1;
        let state = &mut self.client_states[client];
        let retries_used_up = state.quick_retries == 0;
        state.quick_retries = state.quick_retries.saturating_sub(1);
        state.phase = ClientPhase::Disconnected;
        state.request_number += 1;
        let request_number = state.request_number;
        let mut delay = if retry_after > 0 { retry_after } else { self.rng.random_range(RETRY_DELAY) };
        if retries_used_up {
            delay += self.rng.random_range(SLOW_RETRY_DELAY);
        }
        self.schedule(self.now + delay, Event::ClientConnects { client, request_number });
    }
}

impl ClientPhase {
    /// The connection at a balancer, requested or established.
    pub(super) fn connection(self) -> Option<ConnectionRef> {
        match self {
            ClientPhase::Requesting(connection) | ClientPhase::Connected { connection, .. } => {
                Some(connection)
            }
            ClientPhase::Disconnected | ClientPhase::Finished => None,
        }
    }
}
