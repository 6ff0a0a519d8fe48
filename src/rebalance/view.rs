//! What this balancer knows of established connections and of their servers, for rebalancing.

use std::collections::{BTreeMap, BTreeSet};

use super::absent::AbsentClients;
use super::lifetime::LifetimeEstimator;
use super::slow_reports::SlowReports;
use super::RebalanceContext;
use crate::{ConnectionId, Micros, ServerId, Time};

/// A group costs its server so many slots beyond those of its connections.
pub const GROUP_SLOTS: f64 = 3.0;
/// The most slots that one connection counts for: an outlier among the reported loads must not dominate the rest.
const MAX_CONNECTION_SLOTS: f64 = 32.0;

/// An established connection's properties.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Connection {
    /// Its server.
    pub server: ServerId,
    /// Its class's number.
    pub class: u16,
    /// Its group.
    pub group: Option<u64>,
    /// The load that it reported last, in microseconds of work a second.
    pub load: Option<f64>,
    /// The flow's key, by which its client is recognised when it comes back.
    pub key: Option<u64>,
}

/// An established connection, with its history here.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EstablishedConnection {
    /// Its properties.
    pub properties: Connection,
    /// When it was established.
    pub since: Time,
    /// Whether its client came back from a migration or a break.
    pub reconnected: bool,
}

/// An established connection that is in no group.
#[derive(Clone, Copy, Debug)]
pub struct SingleConnection {
    /// Its id.
    pub id: ConnectionId,
    /// What is known of it.
    pub connection: EstablishedConnection,
}

/// A server's connections, by what can be moved on its own.
#[derive(Debug, Default)]
pub struct ServerUnits {
    /// Connections in no group.
    pub singles: Vec<SingleConnection>,
    /// Groups, with their connections at this server.
    pub groups: BTreeMap<u64, Vec<ConnectionId>>,
}

/// How much of what a server holds is explained by random placement.
#[derive(Clone, Copy, Debug)]
pub struct PlacementNoise {
    /// Standard deviation of the slots held, if its connections were placed at random.
    pub deviation: f64,
    /// Share of its connections that are there with others of their group.
    pub grouped_share: f64,
}

#[derive(Debug, Default)]
struct ServerState {
    connections: BTreeSet<ConnectionId>,
    slow_reports: SlowReports,
}

/// Sum and number of the loads of established connections that have reported one.
#[derive(Debug, Default)]
struct LoadTotal {
    sum: f64,
    count: usize,
}

impl LoadTotal {
    fn add(&mut self, load: f64) {
        self.sum += load;
        self.count += 1;
    }

    fn remove(&mut self, load: f64) {
        self.sum -= load;
        self.count -= 1;
    }

    fn mean(&self) -> f64 {
        self.sum / self.count.max(1) as f64
    }
}

/// The connections, groups and servers that are known, and the clients on their way.
#[derive(Debug)]
pub struct View {
    connections: BTreeMap<ConnectionId, EstablishedConnection>,
    servers: BTreeMap<ServerId, ServerState>,
    /// Number of each group's connections at each server.
    groups: BTreeMap<u64, BTreeMap<ServerId, usize>>,
    loads: LoadTotal,
    absent: AbsentClients,
    /// Connections of clients that came back from a migration by this balancer.
    returned: BTreeSet<ConnectionId>,
    /// Connections of clients that came back from a break or a migration, whoever migrated them.
    reconnecting: BTreeSet<ConnectionId>,
    lifetime: LifetimeEstimator,
    message_objective: Micros,
}

impl View {
    pub(super) fn new(now: Time, context: &RebalanceContext) -> View {
        View {
            connections: BTreeMap::new(),
            servers: BTreeMap::new(),
            groups: BTreeMap::new(),
            loads: LoadTotal::default(),
            absent: AbsentClients::new(),
            returned: BTreeSet::new(),
            reconnecting: BTreeSet::new(),
            lifetime: LifetimeEstimator::new(now),
            message_objective: context.message_objective,
        }
    }

    pub(super) fn configure(&mut self, context: &RebalanceContext) {
        self.message_objective = context.message_objective;
    }

    /// A client asks for a connection. Whether it is one that this balancer migrated.
    pub(super) fn on_requested(
        &mut self,
        now: Time,
        connection: ConnectionId,
        key: Option<u64>,
        reconnecting: bool,
    ) -> bool {
        let returned = self.absent.remove_returned(now, key);
        if returned {
            self.returned.insert(connection);
        }
        if returned || reconnecting {
            self.reconnecting.insert(connection);
        }
        returned
    }

    /// A connection was rejected or failed: whether its client had come back from a migration by this balancer.
    pub(super) fn on_rejected(&mut self, connection: ConnectionId) -> bool {
        self.returned.remove(&connection)
    }

    pub(super) fn on_established(&mut self, now: Time, id: ConnectionId, properties: Connection) {
        self.remove(now, id);
        if let Some(load) = properties.load {
            self.loads.add(load);
        }
        self.servers.entry(properties.server).or_default().connections.insert(id);
        if let Some(group) = properties.group {
            *self.groups.entry(group).or_default().entry(properties.server).or_default() += 1;
        }
        let reconnected = self.reconnecting.contains(&id);
        self.connections.insert(id, EstablishedConnection { properties, since: now, reconnected });
    }

    pub(super) fn on_load_reported(&mut self, connection: ConnectionId, load: f64) {
        let Some(connection) = self.connections.get_mut(&connection) else { return };
        match connection.properties.load.replace(load) {
            Some(old) => self.loads.sum += load - old,
            None => self.loads.add(load),
        }
    }

    pub(super) fn on_message_time_reported(&mut self, now: Time, server: ServerId, took: Micros) {
        // A server without connections, which may not even be listed, must not take up memory.
        let Some(server) = self.servers.get_mut(&server) else { return };
        server.slow_reports.record(now, took, self.message_objective);
    }

    pub(super) fn on_ended(&mut self, now: Time, connection: ConnectionId, natural: bool) {
        if self.remove(now, connection) && natural {
            self.lifetime.on_natural_end();
        }
        self.returned.remove(&connection);
        self.reconnecting.remove(&connection);
    }

    /// Forgets a connection; whether it was established.
    fn remove(&mut self, now: Time, id: ConnectionId) -> bool {
        self.lifetime.advance(now, self.connections.len());
        let Some(EstablishedConnection { properties, .. }) = self.connections.remove(&id) else {
            return false;
        };
        if let Some(load) = properties.load {
            self.loads.remove(load);
        }
        self.remove_from_server(properties.server, id);
        if let Some(group) = properties.group {
            self.remove_from_group(group, properties.server);
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

    fn remove_from_group(&mut self, group: u64, server: ServerId) {
        let Some(servers) = self.groups.get_mut(&group) else { return };
        if let Some(count) = servers.get_mut(&server) {
            *count -= 1;
        }
        servers.retain(|_, count| *count > 0);
        if servers.is_empty() {
            self.groups.remove(&group);
        }
    }

    /// A connection's client is asked to come back elsewhere.
    pub(super) fn on_migrated(&mut self, now: Time, connection: ConnectionId) {
        let Some(properties) = self.connections.get(&connection).map(|connection| connection.properties)
        else {
            return;
        };
        let slots = self.slots(&properties);
        self.absent.add(now, properties.key, slots);
    }

    /// Forgets clients that have been absent for too long; how many of them could have been recognised.
    pub(super) fn expire_absent(&mut self, now: Time) -> usize {
        self.absent.expire(now)
    }

    /// Slots of clients on their way. Of several balancers' clients most come back to another one: what is absent for
    /// longer than usual is placed there by now.
    pub fn absent_slots(&self) -> f64 {
        self.absent.slots()
    }

    /// Number of established connections.
    pub fn established(&self) -> usize {
        self.connections.len()
    }

    /// The estimated mean lifetime of a connection, in seconds.
    pub fn mean_lifetime_seconds(&self, now: Time) -> f64 {
        self.lifetime.mean_seconds(now, self.connections.len())
    }

    /// How long a migrated client is absent on average, in seconds.
    pub fn mean_absence_seconds(&self) -> f64 {
        self.absent.mean_absence_seconds()
    }

    /// Slots of a connection: its load over the mean of all.
    pub fn slots(&self, properties: &Connection) -> f64 {
        let mean = self.loads.mean();
        match properties.load {
            Some(load) if mean > 0.0 => (load / mean).clamp(0.0, MAX_CONNECTION_SLOTS),
            _ => 1.0,
        }
    }

    /// How long messages take at a server that has been slow for a while, in microseconds.
    pub fn sustained_message_time(&self, now: Time, server: ServerId) -> Option<Micros> {
        self.servers.get(&server)?.slow_reports.sustained_message_time(now)
    }

    /// Whether a server recently reported that it is slow, for however short a while.
    pub fn reported_slow(&self, now: Time, server: ServerId) -> bool {
        self.servers.get(&server).is_some_and(|server| server.slow_reports.any_recent(now))
    }

    /// A server's single connections, and its groups with their members.
    pub fn units(&self, server: ServerId) -> ServerUnits {
        let mut units = ServerUnits::default();
        for id in self.servers.get(&server).into_iter().flat_map(|server| &server.connections) {
            let Some(connection) = self.connections.get(id).copied() else { continue };
            match connection.properties.group {
                Some(group) => units.groups.entry(group).or_default().push(*id),
                None => units.singles.push(SingleConnection { id: *id, connection }),
            }
        }
        units
    }

    /// An established connection.
    pub fn connection(&self, connection: ConnectionId) -> Option<EstablishedConnection> {
        self.connections.get(&connection).copied()
    }

    /// Number of a group's connections at other servers.
    pub fn group_members_elsewhere(&self, group: u64, server: ServerId) -> usize {
        let servers = self.groups.get(&group).into_iter().flatten();
        servers.filter(|(other, _)| **other != server).map(|(_, count)| count).sum()
    }

    /// The noise of random placement at a server. What is placed at random are single connections and groups: a
    /// compound Poisson sum has the variance of its units' squares.
    pub fn placement_noise(&self, server: ServerId) -> PlacementNoise {
        let ServerUnits { singles, groups } = self.units(server);
        let mut variance = 0.0;
        variance +=
            singles.iter().map(|single| self.slots(&single.connection.properties).powi(2)).sum::<f64>();
        let mut total_members = singles.len();
        let mut grouped_members = 0;
        for members in groups.values() {
            let known = members.iter().filter_map(|id| self.connections.get(id));
            let slots: f64 = known.map(|connection| self.slots(&connection.properties)).sum();
            let several = members.len() > 1;
            variance += (slots + if several { GROUP_SLOTS } else { 0.0 }).powi(2);
            total_members += members.len();
            grouped_members += if several { members.len() } else { 0 };
        }
        PlacementNoise {
            deviation: variance.sqrt(),
            grouped_share: grouped_members as f64 / total_members.max(1) as f64,
        }
    }
}
