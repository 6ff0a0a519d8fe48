//! Clients that this balancer has migrated, until they reconnect.
//!
//! **Decided:** how many slots are still expected to arrive, whether a request comes from a migrated client, and how
//! long such a client is disconnected on average (part of the cost of a migration).
//!
//! **Inputs:** migrations with the client's flow key and slots; requests with their flow keys.
//!
//! **Rule:** a client with a key is recognised by it, for [`RECONNECT_TIMEOUT`]. A client without one counts as
//! reconnected after twice the mean disconnected time, an exponentially weighted mean over recognised clients. Of
//! several balancers' clients most reconnect to another one; after the timeout they count as placed there.

use std::collections::{BTreeMap, BTreeSet};

use crate::{ConnectionId, Micros, Time};

/// The most disconnected clients that are remembered, each of those with and those without a key.
const MAX_CLIENTS: usize = 4096;
/// A client that has not reconnected by then has left, or is at another balancer.
const RECONNECT_TIMEOUT: Micros = Micros::from_secs(5);
/// Initial mean time for which a migrated client is disconnected, in microseconds.
const INITIAL_MEAN_MICROS: f64 = 700_000.0;
/// Number of reconnections over which the mean is taken.
const MEAN_RECONNECTIONS: f64 = 16.0;

#[derive(Clone, Copy, Debug)]
struct DisconnectedClient {
    since: Time,
    slots: f64,
}

/// The disconnected clients, and the connections of those that have returned.
#[derive(Debug)]
pub(super) struct DisconnectedClients {
    by_key: BTreeMap<u64, DisconnectedClient>,
    /// Clients that cannot be recognised when they reconnect.
    without_key: Vec<DisconnectedClient>,
    mean_micros: f64,
    /// Connections of clients that have reconnected here.
    returned: BTreeSet<ConnectionId>,
}

impl DisconnectedClients {
    pub(super) fn new() -> DisconnectedClients {
        DisconnectedClients {
            by_key: BTreeMap::new(),
            without_key: Vec::new(),
            mean_micros: INITIAL_MEAN_MICROS,
            returned: BTreeSet::new(),
        }
    }

    pub(super) fn on_migrated(&mut self, now: Time, key: Option<u64>, slots: f64) {
        let client = DisconnectedClient { since: now, slots };
        match key {
            Some(key) if self.by_key.len() < MAX_CLIENTS => drop(self.by_key.insert(key, client)),
            _ if self.without_key.len() < MAX_CLIENTS => self.without_key.push(client),
            _ => {}
        }
    }

    /// A client requests a connection. Returns whether it is one that this balancer migrated.
    pub(super) fn on_requested(&mut self, now: Time, connection: ConnectionId, key: Option<u64>) -> bool {
        let Some(client) = key.and_then(|key| self.by_key.remove(&key)) else { return false };
        let disconnected = now.since(client.since).as_f64();
        self.mean_micros += (disconnected - self.mean_micros) / MEAN_RECONNECTIONS;
        self.returned.insert(connection);
        true
    }

    /// A connection was rejected or failed. Returns whether its client had returned from a migration.
    pub(super) fn on_rejected(&mut self, connection: ConnectionId) -> bool {
        self.returned.remove(&connection)
    }

    pub(super) fn on_ended(&mut self, connection: ConnectionId) {
        self.returned.remove(&connection);
    }

    /// Forgets clients after their timeout. Returns the number of those with a key.
    pub(super) fn expire(&mut self, now: Time) -> usize {
        let before = self.by_key.len();
        self.by_key.retain(|_, client| now.since(client.since) < RECONNECT_TIMEOUT);
        let timeout_without_key = Micros::from_f64(self.mean_micros) * 2;
        self.without_key.retain(|client| now.since(client.since) < timeout_without_key);
        before - self.by_key.len()
    }

    /// Slots that disconnected clients will occupy when they reconnect.
    pub(super) fn expected_slots(&self) -> f64 {
        self.by_key.values().chain(&self.without_key).map(|client| client.slots).sum()
    }

    /// Mean time for which a migrated client is disconnected, in seconds.
    pub(super) fn mean_disconnected_seconds(&self) -> f64 {
        self.mean_micros / 1e6
    }
}
