//! The open connections with their timers, and which of them have an attempt at which server.

use std::collections::{BTreeMap, BTreeSet};

use super::{ConnectionId, ConnectionRequest, PoolId};
use crate::{ClassId, ServerId, Time};

/// How far a connection has come.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Phase {
    /// Connected, without a request.
    Handshaking,
    /// Requested; the client waits for its answer.
    Connecting,
    /// Established at a server before this process started; attempts to set it up again there go on for a while.
    Restoring {
        /// When the attempts end.
        until: Time,
        /// The server.
        server: ServerId,
    },
    /// The server accepted: lines go both ways.
    Established,
}

/// One attempt to set up a connection at a server.
#[derive(Clone, Copy, Debug)]
pub(super) struct Attempt {
    /// Counted from 0 for each connection.
    pub(super) number: u32,
    pub(super) server: ServerId,
    /// Whether the request is written in full.
    pub(super) forwarded: bool,
    /// When the request was written in full; before that, when the attempt was opened.
    pub(super) since: Time,
    /// By when the server has to accept.
    pub(super) accept_by: Time,
    /// By when the request has to be written, where a server knows a repeated request for a limited time only,
    /// or where the endpoint list expires.
    pub(super) forward_by: Option<Time>,
}

/// One connection of a client. The table keeps its timer and its attempt in step with its indexes.
pub(super) struct ClientConnection {
    pub(super) pool: PoolId,
    pub(super) class: Option<ClassId>,
    pub(super) request: ConnectionRequest,
    /// The load in its server's last report.
    pub(super) load: Option<f64>,
    pub(super) phase: Phase,
    /// How many attempts were opened so far.
    pub(super) attempts: u32,
    pub(super) connected_at: Time,
    /// When it is to be migrated.
    pub(super) migrate_at: Option<Time>,
    /// When the first line went to the server that has not been answered since.
    pub(super) awaiting_server_since: Option<Time>,
    attempt: Option<Attempt>,
    timer: Option<Time>,
}

impl ClientConnection {
    /// A connection that was just accepted.
    pub(super) fn new(pool: PoolId, now: Time) -> ClientConnection {
        ClientConnection {
            pool,
            class: None,
            request: ConnectionRequest::default(),
            load: None,
            phase: Phase::Handshaking,
            attempts: 0,
            connected_at: now,
            migrate_at: None,
            awaiting_server_since: None,
            attempt: None,
            timer: None,
        }
    }

    /// The attempt in flight or accepted.
    pub(super) fn attempt(&self) -> Option<Attempt> {
        self.attempt
    }

    /// When its timer fires.
    pub(super) fn timer(&self) -> Option<Time> {
        self.timer
    }
}

/// A connection and the server at which its attempt is.
#[derive(Clone, Copy, Debug)]
pub(super) struct PlacedConnection {
    pub(super) connection: ConnectionId,
    pub(super) server: ServerId,
}

/// Ordered by time, and then by connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ConnectionTimer {
    due: Time,
    connection: ConnectionId,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct PoolServer {
    pool: PoolId,
    server: ServerId,
}

/// All open connections. Each has at most one timer and one attempt, which the indexes hold as long as it does.
#[derive(Default)]
pub(super) struct ConnectionTable {
    connections: BTreeMap<ConnectionId, ClientConnection>,
    timers: BTreeSet<ConnectionTimer>,
    by_server: BTreeMap<PoolServer, BTreeSet<ConnectionId>>,
}

impl ConnectionTable {
    pub(super) fn insert(&mut self, id: ConnectionId, connection: ClientConnection) {
        self.connections.insert(id, connection);
    }

    /// Removes a connection with its timer and its attempt, which the returned record still names.
    pub(super) fn remove(&mut self, id: ConnectionId) -> Option<ClientConnection> {
        let attempt = self.take_attempt(id);
        self.set_timer(id, None);
        let mut connection = self.connections.remove(&id)?;
        connection.attempt = attempt;
        Some(connection)
    }

    pub(super) fn get(&self, id: ConnectionId) -> Option<&ClientConnection> {
        self.connections.get(&id)
    }

    pub(super) fn get_mut(&mut self, id: ConnectionId) -> Option<&mut ClientConnection> {
        self.connections.get_mut(&id)
    }

    /// The connection, if it is established.
    pub(super) fn get_established(&self, id: ConnectionId) -> Option<&ClientConnection> {
        self.get(id).filter(|connection| connection.phase == Phase::Established)
    }

    /// The connection, if its client still has to send its request.
    pub(super) fn get_handshaking(&self, id: ConnectionId) -> Option<&ClientConnection> {
        self.get(id).filter(|connection| connection.phase == Phase::Handshaking)
    }

    pub(super) fn contains(&self, id: ConnectionId) -> bool {
        self.connections.contains_key(&id)
    }

    pub(super) fn len(&self) -> usize {
        self.connections.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    /// The ids of all connections, in their order.
    pub(super) fn ids(&self) -> Vec<ConnectionId> {
        self.connections.keys().copied().collect()
    }

    /// The ids of established connections, in their order.
    pub(super) fn established_ids(&self) -> Vec<ConnectionId> {
        let established =
            self.connections.iter().filter(|(_, connection)| connection.phase == Phase::Established);
        established.map(|(&id, _)| id).collect()
    }

    pub(super) fn pool_of(&self, id: ConnectionId) -> Option<PoolId> {
        self.get(id).map(|connection| connection.pool)
    }

    pub(super) fn set_phase(&mut self, id: ConnectionId, phase: Phase) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.phase = phase;
        }
    }

    // ---- Timers ----

    /// Sets a connection's one timer, or stops it.
    pub(super) fn set_timer(&mut self, id: ConnectionId, due: Option<Time>) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        if let Some(old) = std::mem::replace(&mut connection.timer, due) {
            self.timers.remove(&ConnectionTimer { due: old, connection: id });
        }
        if let Some(due) = due {
            self.timers.insert(ConnectionTimer { due, connection: id });
        }
    }

    /// When the first timer fires.
    pub(super) fn next_timer(&self) -> Option<Time> {
        self.timers.first().map(|timer| timer.due)
    }

    /// Stops the first timer that is due, and returns its connection.
    pub(super) fn pop_due_timer(&mut self, now: Time) -> Option<ConnectionId> {
        let id = self.timers.first().filter(|timer| timer.due <= now)?.connection;
        self.set_timer(id, None);
        Some(id)
    }

    // ---- Attempts ----

    /// Makes this the connection's attempt.
    pub(super) fn begin_attempt(&mut self, id: ConnectionId, attempt: Attempt) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        connection.attempt = Some(attempt);
        let place = PoolServer { pool: connection.pool, server: attempt.server };
        self.by_server.entry(place).or_default().insert(id);
    }

    /// Takes a connection's attempt from it.
    pub(super) fn take_attempt(&mut self, id: ConnectionId) -> Option<Attempt> {
        let connection = self.connections.get_mut(&id)?;
        let attempt = connection.attempt.take()?;
        let place = PoolServer { pool: connection.pool, server: attempt.server };
        if let Some(connections) = self.by_server.get_mut(&place) {
            connections.remove(&id);
            if connections.is_empty() {
                self.by_server.remove(&place);
            }
        }
        Some(attempt)
    }

    /// The connection's attempt, if it is the one of this number: late reports of an ended attempt must change
    /// nothing.
    pub(super) fn attempt(&self, id: ConnectionId, number: u32) -> Option<Attempt> {
        self.get(id)?.attempt.filter(|attempt| attempt.number == number)
    }

    /// Notes that an attempt's request is written in full; false if that was known, or the attempt has ended.
    pub(super) fn mark_forwarded(&mut self, now: Time, id: ConnectionId, number: u32) -> bool {
        let attempt = self.connections.get_mut(&id).and_then(|connection| connection.attempt.as_mut());
        let Some(attempt) = attempt.filter(|attempt| attempt.number == number && !attempt.forwarded) else {
            return false;
        };
        attempt.forwarded = true;
        attempt.since = now;
        true
    }

    /// Has an attempt whose request is not written yet given up at this time, if not sooner.
    pub(super) fn limit_forwarding(&mut self, id: ConnectionId, by: Time) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let is_pending = connection.phase == Phase::Connecting;
        let Some(attempt) = connection.attempt.as_mut().filter(|a| is_pending && !a.forwarded) else {
            return;
        };
        attempt.forward_by = Some(attempt.forward_by.map_or(by, |earlier| earlier.min(by)));
        let due = connection.timer.map_or(by, |earlier| earlier.min(by));
        self.set_timer(id, Some(due));
    }

    /// All connections with an attempt at a pool's servers, by server and then by connection.
    pub(super) fn placed(&self, pool: PoolId) -> impl Iterator<Item = PlacedConnection> + '_ {
        let first = PoolServer { pool, server: ServerId(0) };
        let last = PoolServer { pool, server: ServerId(u32::MAX) };
        self.by_server.range(first..=last).flat_map(|(place, connections)| {
            let server = place.server;
            connections.iter().map(move |&connection| PlacedConnection { connection, server })
        })
    }
}
