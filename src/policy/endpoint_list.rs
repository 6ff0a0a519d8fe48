//! The servers of the endpoint list: added, changed and removed servers.
//!
//! A server that has restarted is a new process. It has no connection of the previous process, and the
//! learned state of that process is discarded. A server that is gone and has no connection or attempt left is
//! removed when the next list, or change of it, is applied.

use std::collections::BTreeMap;

use super::request::Attempt;
use super::server::Server;
use crate::types::{EndpointEntry, EndpointState, ServerId, Time};

/// The servers of the endpoint list, and servers that are gone but still have connections or attempts.
#[derive(Debug, Default)]
pub struct ServerTable {
    by_id: BTreeMap<ServerId, Server>,
    /// Highest process number assigned so far.
    last_incarnation: u64,
}

impl ServerTable {
    /// Returns the number of servers, including servers that accept no new connections.
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Returns whether the table has no servers.
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    /// Returns a server; none if its id is unknown.
    pub fn get(&self, id: ServerId) -> Option<&Server> {
        self.by_id.get(&id)
    }

    /// Returns a server; none if its id is unknown.
    pub fn get_mut(&mut self, id: ServerId) -> Option<&mut Server> {
        self.by_id.get_mut(&id)
    }

    /// Returns the server of an attempt; none if a later process has replaced the process to which the
    /// attempt was sent.
    pub fn get_mut_for_attempt(&mut self, attempt: &Attempt) -> Option<&mut Server> {
        let server = self.by_id.get_mut(&attempt.endpoint.server);
        server.filter(|server| server.incarnation == attempt.incarnation)
    }

    /// Returns all servers, in the order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = &Server> + Clone {
        self.by_id.values()
    }

    /// Returns the servers that accept new connections, in the order of their ids.
    pub fn serving(&self) -> impl Iterator<Item = &Server> + Clone {
        self.by_id.values().filter(|server| server.is_serving())
    }

    /// Returns the servers that accept new connections, in the order of their ids.
    pub fn serving_mut(&mut self) -> impl Iterator<Item = &mut Server> {
        self.by_id.values_mut().filter(|server| server.is_serving())
    }

    /// Returns all servers whose ceiling is 0, in the order of their ids.
    pub fn with_zero_ceiling_mut(&mut self) -> impl Iterator<Item = &mut Server> {
        self.by_id.values_mut().filter(|server| server.limit.is_zero())
    }

    /// Returns the mean weight of the servers that accept new connections; 0 if there are none.
    pub fn mean_weight(&self) -> f64 {
        let weights = self.serving().map(|server| server.entry.valid_weight());
        weights.sum::<f64>() / self.serving().count().max(1) as f64
    }

    /// Replaces the whole list. A server that the new list does not name is gone.
    pub fn replace(&mut self, entries: &[EndpointEntry], now: Time) {
        self.by_id.values_mut().for_each(|server| server.entry.state = EndpointState::Gone);
        self.update(entries, now);
    }

    /// Applies changed entries of the list.
    pub fn update(&mut self, entries: &[EndpointEntry], now: Time) {
        entries.iter().for_each(|entry| self.update_entry(entry, now));
        self.by_id.retain(|_, server| !server.is_removable());
    }

    fn update_entry(&mut self, entry: &EndpointEntry, now: Time) {
        self.last_incarnation += 1;
        let new = Server::new(*entry, self.last_incarnation, now);
        match self.by_id.get_mut(&entry.server) {
            None => {
                self.by_id.insert(entry.server, new);
            }
            Some(server) if entry.started_at > server.entry.started_at => *server = new,
            Some(server) => {
                let is_same_start = entry.started_at == server.entry.started_at;
                server.slow_start.on_listed_again(entry.started_at, is_same_start, now);
                server.entry = *entry;
            }
        }
    }
}
