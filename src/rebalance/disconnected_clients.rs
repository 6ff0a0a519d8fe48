//! Clients that this balancer has migrated and that have not reconnected yet.
//!
//! **Decided:** the number of slots that migrated clients will still occupy, whether a request is from a
//! migrated client, and the mean time for which such a client is disconnected (part of the cost of a
//! migration).
//!
//! **Inputs:** migrations with the client's key and slots; requests with their clients' keys.
//!
//! **Rule:** a client with a key is recognised by its key, for [`RECONNECT_TIMEOUT`]. A client without a
//! key counts as reconnected after twice the mean disconnected time, which is an exponentially weighted mean
//! over recognised clients. With several balancers, most clients reconnect to another balancer. After the
//! timeout they count as placed there.

use std::collections::{BTreeMap, BTreeSet};

use crate::{ConnectionId, Micros, Time};

/// Largest number of disconnected clients that are stored. It applies separately to clients with and without
/// a key.
const MAX_CLIENTS: usize = 4096;
/// Time after which a client that has not reconnected counts as having left, or as connected to another
/// balancer.
const RECONNECT_TIMEOUT: Micros = Micros::from_secs(5);
/// Initial value of the mean time for which a migrated client is disconnected, in microseconds.
const INITIAL_MEAN_MICROS: f64 = 700_000.0;
/// Number of reconnections over which the mean time is averaged.
const MEAN_RECONNECTIONS: f64 = 16.0;

#[derive(Clone, Copy, Debug)]
struct DisconnectedClient {
    since: Time,
    slots: f64,
}

/// Disconnected clients, and the connections of clients that have reconnected.
#[derive(Debug)]
pub(super) struct DisconnectedClients {
    by_key: BTreeMap<u64, DisconnectedClient>,
    /// Clients that cannot be recognised when they reconnect.
    without_key: Vec<DisconnectedClient>,
    mean_micros: f64,
    /// Connections by which migrated clients have reconnected here.
    reconnected: BTreeSet<ConnectionId>,
}

impl DisconnectedClients {
    pub(super) fn new() -> DisconnectedClients {
        DisconnectedClients {
            by_key: BTreeMap::new(),
            without_key: Vec::new(),
            mean_micros: INITIAL_MEAN_MICROS,
            reconnected: BTreeSet::new(),
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

    /// Records a request for a connection. Returns whether its client was migrated by this balancer.
    pub(super) fn on_requested(&mut self, now: Time, connection: ConnectionId, key: Option<u64>) -> bool {
        let Some(client) = key.and_then(|key| self.by_key.remove(&key)) else { return false };
        let disconnected_micros = now.since(client.since).as_f64();
        self.mean_micros += (disconnected_micros - self.mean_micros) / MEAN_RECONNECTIONS;
        self.reconnected.insert(connection);
        true
    }

    /// Records that a connection was rejected or failed. Returns whether its client had reconnected after a
    /// migration.
    pub(super) fn on_rejected(&mut self, connection: ConnectionId) -> bool {
        self.reconnected.remove(&connection)
    }

    pub(super) fn on_ended(&mut self, connection: ConnectionId) {
        self.reconnected.remove(&connection);
    }

    /// Removes clients whose timeout has passed. Returns the number of removed clients with a key.
    pub(super) fn expire(&mut self, now: Time) -> usize {
        let previous_count = self.by_key.len();
        self.by_key.retain(|_, client| now.since(client.since) < RECONNECT_TIMEOUT);
        let timeout_without_key = Micros::from_f64(self.mean_micros) * 2;
        self.without_key.retain(|client| now.since(client.since) < timeout_without_key);
        previous_count - self.by_key.len()
    }

    /// Returns the slots that disconnected clients will occupy when they reconnect.
    pub(super) fn expected_slots(&self) -> f64 {
        self.by_key.values().chain(&self.without_key).map(|client| client.slots).sum()
    }

    /// Returns the mean time for which a migrated client is disconnected, in seconds.
    pub(super) fn mean_disconnected_seconds(&self) -> f64 {
        self.mean_micros / 1e6
    }
}
