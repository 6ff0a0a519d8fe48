//! A server: an M/M/1 queue with processor sharing, and a backlog of work.

use std::collections::BTreeMap;

use crate::deployment::VirtualTime;

/// Time of a message on an idle server, in microseconds.
const SERVICE_MICROS: f64 = 5_000.0;
/// Work of one setup, in seconds of the server's whole capacity over its capacity in mean connections.
const SETUP_WORK_SECONDS: f64 = 0.4;
/// Load of a group at its server beside that of its connections, in mean connections.
pub const GROUP_OVERHEAD_LOADS: f64 = 3.0;
/// Seconds of queued work from which on a server rejects new connections...
const REJECTING_BACKLOG_SECONDS: f64 = 0.5;
/// ...and drops established ones.
const DROPPING_BACKLOG_SECONDS: f64 = 3.0;
/// The most connections of a server, over its capacity.
const MAX_CONNECTIONS_FACTOR: f64 = 2.5;
/// Share of its capacity that a server has when it starts.
const INITIAL_WARMTH: f64 = 0.34;
/// Share of its capacity that it gains while it warms up.
const WARMTH_GROWTH: f64 = 0.66;
/// Time until a started server has all its capacity.
const SLOW_START_MICROS: f64 = 8_800_000.0;
/// The highest utilisation that message times are computed for: avoids a division by zero.
const MAX_UTILISATION: f64 = 0.98;

/// A connection that is established or being set up.
#[derive(Clone, Copy, Debug)]
struct ServerConnection {
    /// 1 is the load of a mean connection.
    load: f64,
    group: Option<u64>,
}

/// One server.
#[derive(Debug)]
pub struct Server {
    /// Capacity when it is warm, in mean connections.
    pub capacity: f64,
    /// Its process runs.
    pub up: bool,
    /// It accepts no new connections.
    pub draining: bool,
    /// Numbers its processes.
    pub incarnation: u64,
    /// When the process started, if it did during the day.
    pub started: Option<VirtualTime>,
    /// Connections by client.
    connections: BTreeMap<usize, ServerConnection>,
    /// Number of each group's connections.
    groups: BTreeMap<u64, usize>,
    load: f64,
    backlog_seconds: f64,
}

impl Server {
    /// A warm server without connections.
    pub fn new(capacity: f64) -> Server {
        Server {
            capacity,
            up: true,
            draining: false,
            incarnation: 0,
            started: None,
            connections: BTreeMap::new(),
            groups: BTreeMap::new(),
            load: 0.0,
            backlog_seconds: 0.0,
        }
    }

    /// Its process ends. Returns the clients that were connected.
    pub fn die(&mut self) -> Vec<usize> {
        let clients = self.clients().collect();
        *self = Server { up: false, incarnation: self.incarnation, ..Server::new(self.capacity) };
        clients
    }

    /// Its process starts, in slow start.
    pub fn start(&mut self, now: VirtualTime) {
        let incarnation = self.incarnation + 1;
        *self = Server { incarnation, started: Some(now), ..Server::new(self.capacity) };
    }

    /// Clients with a connection that is established or being set up.
    pub fn clients(&self) -> impl Iterator<Item = usize> + '_ {
        self.connections.keys().copied()
    }

    /// Number of connections that are established or being set up.
    pub fn connection_count(&self) -> usize {
        self.connections.len()
    }

    /// Share of its capacity that it has now: a third at the start, all after 8.8 s.
    pub fn warmth(&self, now: VirtualTime) -> f64 {
        let grown = self.started.map_or(1.0, |at| (now - at) as f64 / SLOW_START_MICROS);
        (INITIAL_WARMTH + WARMTH_GROWTH * grown).min(1.0)
    }

    /// Whether it rejects a new connection.
    pub fn rejects_new_connections(&self) -> bool {
        self.draining
            || self.backlog_seconds > REJECTING_BACKLOG_SECONDS
            || self.connections.len() as f64 >= self.capacity * MAX_CONNECTIONS_FACTOR
    }

    /// Begins to set a connection up.
    pub fn add_connection(&mut self, now: VirtualTime, client: usize, load: f64, group: Option<u64>) {
        self.connections.insert(client, ServerConnection { load, group });
        self.load += load;
        if let Some(group) = group {
            *self.groups.entry(group).or_default() += 1;
        }
        self.backlog_seconds += SETUP_WORK_SECONDS / (self.capacity * self.warmth(now));
    }

    /// Removes a client's connection, if it has one.
    pub fn remove_connection(&mut self, client: usize) {
        let Some(ServerConnection { load, group }) = self.connections.remove(&client) else { return };
        self.load = if self.connections.is_empty() { 0.0 } else { self.load - load };
        if let Some(group) = group {
            self.remove_group_member(group);
        }
    }

    fn remove_group_member(&mut self, group: u64) {
        let Some(count) = self.groups.get_mut(&group) else { return };
        *count -= 1;
        if *count == 0 {
            self.groups.remove(&group);
        }
    }

    /// Load over capacity.
    pub fn utilisation(&self, now: VirtualTime) -> f64 {
        let group_load = self.groups.len() as f64 * GROUP_OVERHEAD_LOADS;
        (self.load + group_load) / (self.capacity * self.warmth(now))
    }

    /// Serves for a time.
    pub fn advance(&mut self, now: VirtualTime, seconds: f64) {
        self.backlog_seconds = (self.backlog_seconds + (self.utilisation(now) - 1.0) * seconds).max(0.0);
    }

    /// Whether it drops established connections now.
    pub fn drops_connections(&self) -> bool {
        self.backlog_seconds > DROPPING_BACKLOG_SECONDS
    }

    /// The mean time of a message, in microseconds.
    pub fn message_micros(&self, now: VirtualTime) -> f64 {
        SERVICE_MICROS / (1.0 - self.utilisation(now).min(MAX_UTILISATION)) + self.backlog_seconds * 1e6
    }

    /// Share of messages within an objective, in microseconds.
    pub fn share_within(&self, now: VirtualTime, objective_micros: f64) -> f64 {
        1.0 - (-objective_micros / self.message_micros(now)).exp()
    }
}
