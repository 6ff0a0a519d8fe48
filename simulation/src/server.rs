//! Model of a server: an M/M/1 queue with processor sharing for messages, and a backlog of setups and of load
//! above the capacity. The backlog delays messages. Above one limit the server rejects new connections, and
//! above a higher limit it drops established connections.

use std::collections::BTreeMap;

use crate::deployment::VirtualTime;

/// Message time of an idle server, in microseconds.
const SERVICE_MICROS: f64 = 5_000.0;
/// Work of one setup, in seconds of the capacity that one mean connection occupies.
const SETUP_WORK_SECONDS: f64 = 0.4;
/// Load that a group adds to a server beyond the load of its connections, in mean connections.
pub const GROUP_OVERHEAD_LOADS: f64 = 3.0;
/// Backlog in seconds of work above which a server rejects new connections.
const REJECTING_BACKLOG_SECONDS: f64 = 0.5;
/// Backlog in seconds of work above which a server drops established connections.
const DROPPING_BACKLOG_SECONDS: f64 = 3.0;
/// Highest number of connections of a server, as a multiple of its capacity.
const MAX_CONNECTIONS_FACTOR: f64 = 2.5;
/// Share of its capacity that a server has at its start.
const INITIAL_WARMTH: f64 = 0.34;
/// Share of its capacity that a server gains during slow start.
const WARMTH_GROWTH: f64 = 0.66;
/// Duration from a server's start until it has its whole capacity, in microseconds.
const SLOW_START_MICROS: f64 = 8_800_000.0;
/// Upper bound of the utilisation from which message times are computed. It avoids a division by zero.
const MAX_UTILISATION: f64 = 0.98;

/// A connection that is established or being set up.
#[derive(Clone, Copy, Debug)]
struct ServerConnection {
    /// Load, 1 being about the mean.
    load: f64,
    group: Option<u64>,
}

/// State of a server.
#[derive(Debug)]
pub struct Server {
    /// Capacity after slow start, in mean connections.
    pub capacity: f64,
    /// Whether the process runs.
    pub up: bool,
    /// Whether the server is draining: it accepts no new connections.
    pub draining: bool,
    /// Number of the current process; each restart adds 1.
    pub incarnation: u64,
    /// Time at which the process started; `None` if it has run since before the day.
    pub started_at: Option<VirtualTime>,
    /// Connections, by the client's index.
    connections: BTreeMap<usize, ServerConnection>,
    /// Number of each group's connections.
    groups: BTreeMap<u64, usize>,
    /// Sum of the connections' loads.
    load: f64,
    /// Seconds that the server needs to process its queued work.
    backlog_seconds: f64,
}

impl Server {
    /// Creates a server without connections that is not in slow start.
    pub fn new(capacity: f64) -> Server {
        Server {
            capacity,
            up: true,
            draining: false,
            incarnation: 0,
            started_at: None,
            connections: BTreeMap::new(),
            groups: BTreeMap::new(),
            load: 0.0,
            backlog_seconds: 0.0,
        }
    }

    /// Ends the process. Returns the clients that were connected.
    pub fn die(&mut self) -> Vec<usize> {
        let clients = self.clients().collect();
        *self = Server { up: false, incarnation: self.incarnation, ..Server::new(self.capacity) };
        clients
    }

    /// Starts a new process, in slow start.
    pub fn start(&mut self, now: VirtualTime) {
        let incarnation = self.incarnation + 1;
        *self = Server { incarnation, started_at: Some(now), ..Server::new(self.capacity) };
    }

    /// Returns the clients with a connection that is established or being set up.
    pub fn clients(&self) -> impl Iterator<Item = usize> + '_ {
        self.connections.keys().copied()
    }

    /// Returns the number of connections that are established or being set up.
    pub fn connection_count(&self) -> usize {
        self.connections.len()
    }

    /// Returns the server's present share of its capacity: a third at its start, all of it after 8.8 s.
    pub fn warmth(&self, now: VirtualTime) -> f64 {
        let elapsed_share = self.started_at.map_or(1.0, |at| (now - at) as f64 / SLOW_START_MICROS);
        (INITIAL_WARMTH + WARMTH_GROWTH * elapsed_share).min(1.0)
    }

    /// Returns whether the server rejects new connections.
    pub fn rejects_new_connections(&self) -> bool {
        self.draining
            || self.backlog_seconds > REJECTING_BACKLOG_SECONDS
            || self.connections.len() as f64 >= self.capacity * MAX_CONNECTIONS_FACTOR
    }

    /// Adds a connection whose setup begins, and adds the setup's work to the backlog.
    pub fn add_connection(&mut self, now: VirtualTime, client: usize, load: f64, group: Option<u64>) {
        self.connections.insert(client, ServerConnection { load, group });
        self.load += load;
        if let Some(group) = group {
            *self.groups.entry(group).or_default() += 1;
        }
        self.backlog_seconds += SETUP_WORK_SECONDS / (self.capacity * self.warmth(now));
    }

    /// Removes a client's connection, if the client has one.
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

    /// Returns the load divided by the present capacity.
    pub fn utilisation(&self, now: VirtualTime) -> f64 {
        let group_load = self.groups.len() as f64 * GROUP_OVERHEAD_LOADS;
        (self.load + group_load) / (self.capacity * self.warmth(now))
    }

    /// Advances by `seconds`. The backlog grows by load above the capacity and shrinks by unused capacity.
    pub fn advance(&mut self, now: VirtualTime, seconds: f64) {
        self.backlog_seconds = (self.backlog_seconds + (self.utilisation(now) - 1.0) * seconds).max(0.0);
    }

    /// Returns whether the server drops established connections.
    pub fn drops_connections(&self) -> bool {
        self.backlog_seconds > DROPPING_BACKLOG_SECONDS
    }

    /// Returns the mean message time in microseconds.
    pub fn message_micros(&self, now: VirtualTime) -> f64 {
        SERVICE_MICROS / (1.0 - self.utilisation(now).min(MAX_UTILISATION)) + self.backlog_seconds * 1e6
    }

    /// Returns the share of messages within an objective in microseconds. Message times are exponentially
    /// distributed.
    pub fn share_within(&self, now: VirtualTime, objective_micros: f64) -> f64 {
        1.0 - (-objective_micros / self.message_micros(now)).exp()
    }
}
