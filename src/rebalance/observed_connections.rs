//! Established connections of the pool by server and by group, with the reports of the connections and their
//! servers.
//!
//! One slot is the mean load of the connections that are established now and have reported a load. The policy
//! counts slots by other means (`bookkeeping::connection_size`), so the two numbers of slots may differ. A
//! connection's load is in microseconds of work per second.
//! Memory is bounded by the number of open connections, because nothing is stored for a server without
//! connections.

use std::collections::{BTreeMap, BTreeSet};

use super::connection_lifetime::LifetimeEstimator;
use super::group_locations::GroupLocations;
use super::mean_load::MeanLoad;
use super::slow_message_reports::SlowMessageReports;
use crate::{ConnectionId, Micros, ServerId, Time};

/// Properties of an established connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ConnectionProperties {
    /// Server at which the connection is established.
    pub server: ServerId,
    /// Index of the class.
    pub class: u16,
    /// Group of the connection, if any.
    pub group: Option<u64>,
    /// Last reported load, in microseconds of work per second; `None` before the first report.
    pub load: Option<f64>,
    /// Hash of the client's key, by which it is recognised when it reconnects; `None` if unknown.
    pub key: Option<u64>,
}

/// Established connection, with its history at this balancer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EstablishedConnection {
    /// Properties of the connection.
    pub properties: ConnectionProperties,
    /// Time at which the connection was established.
    pub established_at: Time,
    /// Whether the client had reconnected after a migration or a broken connection.
    pub reconnected: bool,
}

/// Established connection without a group.
#[derive(Clone, Copy, Debug)]
pub(super) struct SingleConnection {
    pub(super) id: ConnectionId,
    pub(super) connection: EstablishedConnection,
}

/// Connections of a server, separated into single connections and groups.
#[derive(Debug, Default)]
pub(super) struct GroupedConnections {
    /// Connections without a group.
    pub(super) singles: Vec<SingleConnection>,
    /// Groups, with their connections at this server.
    pub(super) groups: BTreeMap<u64, Vec<ConnectionId>>,
}

#[derive(Debug, Default)]
struct ObservedServer {
    connections: BTreeSet<ConnectionId>,
    slow_message_reports: SlowMessageReports,
}

/// Established connections and their servers.
#[derive(Debug)]
pub(super) struct ObservedConnections {
    connections: BTreeMap<ConnectionId, EstablishedConnection>,
    servers: BTreeMap<ServerId, ObservedServer>,
    groups: GroupLocations,
    mean_load: MeanLoad,
    /// Connections whose clients report a migration or a broken connection, at this or another balancer.
    reconnecting: BTreeSet<ConnectionId>,
    lifetime: LifetimeEstimator,
    message_objective: Micros,
}

// ---- Events ----

impl ObservedConnections {
    pub(super) fn new(now: Time, message_objective: Micros) -> ObservedConnections {
        ObservedConnections {
            connections: BTreeMap::new(),
            servers: BTreeMap::new(),
            groups: GroupLocations::default(),
            mean_load: MeanLoad::default(),
            reconnecting: BTreeSet::new(),
            lifetime: LifetimeEstimator::new(now),
            message_objective,
        }
    }

    pub(super) fn set_message_objective(&mut self, message_objective: Micros) {
        self.message_objective = message_objective;
    }

    /// Records that the client of a requested connection was migrated before, or that its previous connection
    /// broke.
    pub(super) fn on_reconnecting(&mut self, connection: ConnectionId) {
        self.reconnecting.insert(connection);
    }

    pub(super) fn on_established(&mut self, now: Time, id: ConnectionId, properties: ConnectionProperties) {
        self.remove(now, id);
        if let Some(load) = properties.load {
            self.mean_load.add(load);
        }
        self.servers.entry(properties.server).or_default().connections.insert(id);
        if let Some(group) = properties.group {
            self.groups.add_member(group, properties.server);
        }
        let reconnected = self.reconnecting.contains(&id);
        self.connections.insert(id, EstablishedConnection { properties, established_at: now, reconnected });
    }

    pub(super) fn on_load_reported(&mut self, connection: ConnectionId, load: f64) {
        let Some(connection) = self.connections.get_mut(&connection) else { return };
        match connection.properties.load.replace(load) {
            Some(old) => self.mean_load.replace(old, load),
            None => self.mean_load.add(load),
        }
    }

    /// Records the message time of a server. The report is ignored if the server has no connections, in which
    /// case it may not even be in the endpoint list.
    pub(super) fn on_message_time_reported(&mut self, now: Time, server: ServerId, message_time: Micros) {
        let Some(server) = self.servers.get_mut(&server) else { return };
        server.slow_message_reports.record(now, message_time, self.message_objective);
    }

    /// Records the end of a connection.
    pub(super) fn on_ended(&mut self, now: Time, connection: ConnectionId, ended_by_client: bool) {
        if self.remove(now, connection) && ended_by_client {
            self.lifetime.on_natural_end();
        }
        self.reconnecting.remove(&connection);
    }

    /// Removes a connection. Returns whether it was established.
    fn remove(&mut self, now: Time, id: ConnectionId) -> bool {
        self.lifetime.advance(now, self.connections.len());
        let Some(EstablishedConnection { properties, .. }) = self.connections.remove(&id) else {
            return false;
        };
        if let Some(load) = properties.load {
            self.mean_load.remove(load);
        }
        self.remove_from_server(properties.server, id);
        if let Some(group) = properties.group {
            self.groups.remove_member(group, properties.server);
        }
        true
    }

    fn remove_from_server(&mut self, server_id: ServerId, connection: ConnectionId) {
        let Some(server) = self.servers.get_mut(&server_id) else { return };
        server.connections.remove(&connection);
        if server.connections.is_empty() {
            self.servers.remove(&server_id);
        }
    }
}

// ---- Queries ----

impl ObservedConnections {
    /// Returns the number of established connections.
    pub(super) fn established(&self) -> usize {
        self.connections.len()
    }

    /// Returns a connection if it is established.
    pub(super) fn get(&self, connection: ConnectionId) -> Option<EstablishedConnection> {
        self.connections.get(&connection).copied()
    }

    /// Returns the slots that a connection occupies.
    pub(super) fn slots_of(&self, properties: &ConnectionProperties) -> f64 {
        self.mean_load.slots_of(properties.load)
    }

    /// Returns the total slots of the given connections. Those that are not established are ignored.
    pub(super) fn total_slots_of(&self, connections: &[ConnectionId]) -> f64 {
        let established = connections.iter().filter_map(|id| self.connections.get(id));
        established.map(|connection| self.slots_of(&connection.properties)).sum()
    }

    /// Returns the connections at a server, separated into single connections and groups.
    pub(super) fn connections_at(&self, server: ServerId) -> GroupedConnections {
        let mut at_server = GroupedConnections::default();
        for id in self.servers.get(&server).into_iter().flat_map(|server| &server.connections) {
            let Some(connection) = self.connections.get(id).copied() else { continue };
            match connection.properties.group {
                Some(group) => at_server.groups.entry(group).or_default().push(*id),
                None => at_server.singles.push(SingleConnection { id: *id, connection }),
            }
        }
        at_server
    }

    /// Returns the number of the group's connections at servers other than `server`.
    pub(super) fn group_members_elsewhere(&self, group: u64, server: ServerId) -> usize {
        self.groups.members_elsewhere(group, server)
    }

    /// Returns the message time of a server that has been slow for several seconds.
    pub(super) fn sustained_message_time(&self, now: Time, server: ServerId) -> Option<Micros> {
        self.servers.get(&server)?.slow_message_reports.sustained_message_time(now)
    }

    /// Returns whether a server reported a slow message recently.
    pub(super) fn reported_slow(&self, now: Time, server: ServerId) -> bool {
        self.servers.get(&server).is_some_and(|server| server.slow_message_reports.any_recent(now))
    }

    /// Returns the estimated mean lifetime of a connection, in seconds.
    pub(super) fn mean_lifetime_seconds(&self, now: Time) -> f64 {
        self.lifetime.mean_seconds(now, self.connections.len())
    }
}
