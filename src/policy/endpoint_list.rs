//! The servers of the endpoint list: new, changed and removed ones.
//!
//! A server that has started anew is another process: it holds no connection of the one before, and nothing
//! that was learned of that one is taken over. A server that is gone is forgotten once nothing is held there.

use std::collections::BTreeMap;

use super::request::Attempt;
use super::server::Server;
use crate::types::{EndpointEntry, EndpointState, ServerId, Time};

/// The servers of the endpoint list, and those that are gone but still hold something.
#[derive(Debug, Default)]
pub struct ServerTable {
    by_id: BTreeMap<ServerId, Server>,
    /// The number of the newest server process.
    last_incarnation: u64,
}

impl ServerTable {
    /// The number of servers, with those that take no new connections.
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    /// A server, if it is known.
    pub fn get(&self, id: ServerId) -> Option<&Server> {
        self.by_id.get(&id)
    }

    /// A server, if it is known.
    pub fn get_mut(&mut self, id: ServerId) -> Option<&mut Server> {
        self.by_id.get_mut(&id)
    }

    /// The server of an attempt, if the process that it was sent to still runs.
    pub fn of_attempt(&mut self, attempt: &Attempt) -> Option<&mut Server> {
        let server = self.by_id.get_mut(&attempt.endpoint.server);
        server.filter(|server| server.incarnation == attempt.incarnation)
    }

    /// All servers, in the order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = &Server> + Clone {
        self.by_id.values()
    }

    /// The servers that take new connections, in the order of their ids.
    pub fn serving(&self) -> impl Iterator<Item = &Server> + Clone {
        self.by_id.values().filter(|server| server.is_serving())
    }

    /// The servers that take new connections, in the order of their ids.
    pub fn serving_mut(&mut self) -> impl Iterator<Item = &mut Server> {
        self.by_id.values_mut().filter(|server| server.is_serving())
    }

    /// All servers whose concurrency limit is 0, in the order of their ids.
    pub fn without_limit_mut(&mut self) -> impl Iterator<Item = &mut Server> {
        self.by_id.values_mut().filter(|server| server.limit.is_zero())
    }

    /// The mean weight of the servers that take new connections; 0 if there are none.
    pub fn mean_weight(&self) -> f64 {
        let weights = self.serving().map(|server| server.entry.valid_weight());
        weights.sum::<f64>() / self.serving().count().max(1) as f64
    }

    /// Takes over a whole list: a server that it does not name is gone.
    pub fn replace(&mut self, entries: &[EndpointEntry], now: Time) {
        self.by_id.values_mut().for_each(|server| server.entry.state = EndpointState::Gone);
        self.update(entries, now);
    }

    /// Takes over changed entries of the list.
    pub fn update(&mut self, entries: &[EndpointEntry], now: Time) {
        entries.iter().for_each(|entry| self.update_entry(entry, now));
        self.by_id.retain(|_, server| !server.is_forgettable());
    }

    fn update_entry(&mut self, entry: &EndpointEntry, now: Time) {
        self.last_incarnation += 1;
        let new = Server::new(*entry, self.last_incarnation, now);
        match self.by_id.get_mut(&entry.server) {
            None => {
                self.by_id.insert(entry.server, new);
            }
            Some(server) if entry.started > server.entry.started => *server = new,
            Some(server) => {
                let is_same_start = entry.started == server.entry.started;
                server.slow_start.on_listed_again(entry.started, is_same_start, now);
                server.entry = *entry;
            }
        }
    }
}
