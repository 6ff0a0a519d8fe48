//! Events of clients: connect, end of the wait, reconnect, and departure.

use connection_balancer::Micros;
use std::collections::BTreeMap;

use crate::deployment::VirtualDuration;
use connection_balancer::routing::{ConnectionRequest, Input, PoolId};
use rand::Rng;

use super::{Balancer, Day, Event, NETWORK_DELAY};
use crate::clients::CLASSES;
use crate::deployment::SECOND;
use crate::invariants::ConnectionRef;
use crate::pool::server_name;

/// Duration for which the front still sends clients to a balancer that has died.
const FRONT_DETECTION_DELAY: VirtualDuration = 2 * SECOND;
/// Number of retries after rejections or failures before [`SLOW_RETRY_DELAY`] is added.
const QUICK_RETRIES: u32 = 2;
/// Duration until a client reconnects after a migration or a broken connection.
const RECONNECT_DELAY: std::ops::Range<VirtualDuration> = 100_000..1_300_000;
/// Duration until a client retries if it received no Retry-After.
const RETRY_DELAY: std::ops::Range<VirtualDuration> = 200_000..1_500_000;
/// Additional duration until a client retries once its quick retries are used up.
const SLOW_RETRY_DELAY: std::ops::Range<VirtualDuration> = 1_000_000..4_000_000;

/// Phase of a client.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum ClientPhase {
    /// The client has no connection; an event at which it connects is scheduled.
    Disconnected,
    /// The client waits for a balancer's answer.
    Requesting(ConnectionRef),
    /// The client's connection is established.
    Connected { connection: ConnectionRef, server: usize },
    /// The client has left and makes no further requests.
    Finished,
}

/// The state of a client.
#[derive(Debug)]
pub(super) struct ClientState {
    pub(super) phase: ClientPhase,
    /// Number of the current request; events of earlier requests are ignored.
    pub(super) request_number: u32,
    quick_retries_left: u32,
    /// Whether the next request follows a migration or a broken connection.
    reconnecting: bool,
    /// Whether the client was migrated at least once.
    pub(super) migrated: bool,
}

impl ClientState {
    pub(super) fn new() -> ClientState {
        ClientState {
            phase: ClientPhase::Disconnected,
            request_number: 0,
            quick_retries_left: QUICK_RETRIES,
            reconnecting: false,
            migrated: false,
        }
    }
}

impl Day<'_> {
    /// Restores the connections that are established at the start of the day, and schedules the arrivals.
    pub(super) fn start_clients(&mut self) {
        let mut group_servers = BTreeMap::new();
        for client in 0..self.clients.len() {
            if !self.clients[client].connected_at_start {
                let arrives_at = self.clients[client].arrives_at;
                self.schedule(arrives_at, Event::ClientConnects { client, request_number: 0 });
                continue;
            }
            let random_server = self.rng.random_range(0..self.servers.len());
            let server = match self.clients[client].group {
                Some(group) => *group_servers.entry(group).or_insert(random_server),
                None => random_server,
            };
            let balancer = self.rng.random_range(0..self.balancers.len());
            self.request_connection(client, balancer, Some(server_name(server)));
            self.schedule(self.clients[client].leaves_at, Event::ClientLeaves { client });
        }
    }

    /// Requests a connection at a balancer, or restores one that is established at `established_server`.
    fn request_connection(&mut self, client: usize, balancer: usize, established_server: Option<String>) {
        let profile = &self.clients[client];
        let class = &CLASSES[profile.class];
        let connection = self.balancers[balancer].add_connection(client);
        let request = self.balancers[balancer].connection_ref(balancer, connection);
        self.client_states[client].phase = ClientPhase::Requesting(request);
        let request = ConnectionRequest {
            id: Some(format!("{balancer}-{}-{}", request.incarnation, connection.0)),
            class: class.name.to_owned(),
            group: profile.group,
            timeout: Some(Micros(class.max_wait_duration)),
            key: Some(client as u64),
            reconnecting: self.client_states[client].reconnecting,
            established_server,
            ..ConnectionRequest::default()
        };
        self.feed(balancer, Input::ClientConnected { connection, pool: PoolId(0) });
        self.feed(balancer, Input::ConnectionRequested { connection, request });
    }

    /// Handles a client's connect. The front chooses a balancer at random.
    pub(super) fn connect_client(&mut self, client: usize, request_number: u32) {
        let state = &self.client_states[client];
        if state.phase != ClientPhase::Disconnected || state.request_number != request_number {
            return;
        }
        if request_number == 0 {
            self.schedule(self.clients[client].leaves_at, Event::ClientLeaves { client });
        }
        let receives_clients =
            |balancer: &Balancer| balancer.up || self.now - balancer.died_at < FRONT_DETECTION_DELAY;
        let candidates: Vec<usize> =
            (0..self.balancers.len()).filter(|&index| receives_clients(&self.balancers[index])).collect();
        if candidates.is_empty() {
            return self.reject_client(client, 0);
        }
        let balancer = candidates[self.rng.random_range(0..candidates.len())];
        if !self.balancers[balancer].up {
            return self.reject_client(client, 0);
        }
        self.request_connection(client, balancer, None);
        let max_wait_duration = CLASSES[self.clients[client].class].max_wait_duration;
        // The balancer counts the wait from the arrival of the request.
        let wait_ends_at = self.now + max_wait_duration + 2 * NETWORK_DELAY;
        self.schedule(wait_ends_at, Event::ClientGivesUp { client, request_number });
    }

    /// Handles the end of a client's longest wait for the answer to a request.
    pub(super) fn end_client_wait(&mut self, client: usize, request_number: u32) {
        let state = &self.client_states[client];
        let ClientPhase::Requesting(request) = state.phase else { return };
        if state.request_number != request_number {
            return;
        }
        if self.is_current_process(request.balancer_ref()) {
            self.invariants.on_wait_ended(self.now, request);
            self.disconnect_from_balancer(request);
        }
        self.reject_client(client, 0);
    }

    /// Handles the departure of a client, which closes its connection.
    pub(super) fn remove_client(&mut self, client: usize) {
        let phase = std::mem::replace(&mut self.client_states[client].phase, ClientPhase::Finished);
        if let Some(connection) = phase.connection() {
            if self.is_current_process(connection.balancer_ref()) {
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

    /// Handles a migration: the client reconnects with the deployment's return probability, or else leaves.
    pub(super) fn migrate_client(&mut self, client: usize) {
        self.result.migrations += 1;
        self.client_states[client].migrated = true;
        if self.rng.random::<f64>() >= self.deployment.return_probability {
            self.client_states[client].phase = ClientPhase::Finished;
        } else {
            self.reconnect_client(client);
        }
    }

    /// Schedules the reconnect of a client whose connection broke or was migrated.
    pub(super) fn reconnect_client(&mut self, client: usize) {
        let state = &mut self.client_states[client];
        state.phase = ClientPhase::Disconnected;
        state.reconnecting = true;
        state.quick_retries_left = QUICK_RETRIES;
        state.request_number += 1;
        let request_number = state.request_number;
        let delay = self.rng.random_range(RECONNECT_DELAY);
        self.schedule(self.now + delay, Event::ClientConnects { client, request_number });
    }

    /// Schedules the retry of a client whose request was rejected or failed: after `retry_after_duration`, or
    /// after a random delay if that is 0.
    pub(super) fn reject_client(&mut self, client: usize, retry_after_duration: VirtualDuration) {
        self.result.rejected += 1;
        let state = &mut self.client_states[client];
        let quick_retries_used_up = state.quick_retries_left == 0;
        state.quick_retries_left = state.quick_retries_left.saturating_sub(1);
        state.phase = ClientPhase::Disconnected;
        state.request_number += 1;
        let request_number = state.request_number;
        let mut delay =
            if retry_after_duration > 0 { retry_after_duration } else { self.rng.random_range(RETRY_DELAY) };
        if quick_retries_used_up {
            delay += self.rng.random_range(SLOW_RETRY_DELAY);
        }
        self.schedule(self.now + delay, Event::ClientConnects { client, request_number });
    }
}

impl ClientPhase {
    /// Returns the client's connection at a balancer, requested or established.
    pub(super) fn connection(self) -> Option<ConnectionRef> {
        match self {
            ClientPhase::Requesting(connection) | ClientPhase::Connected { connection, .. } => {
                Some(connection)
            }
            ClientPhase::Disconnected | ClientPhase::Finished => None,
        }
    }
}
