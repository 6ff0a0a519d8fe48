//! The table of open connections, with two indexes: their timers, and their attempts by server.
//!
//! The table owns the record of each client connection from its accept to its end. A connection has at most
//! one timer and at most one attempt. Both are private to this module, and every change of them updates the
//! index. Therefore
//!
//! - the earliest timer is found without a search over all connections;
//! - the connections at a server that drains or is removed are found without a search.
//!
//! Handlers read records, and change them only through methods of the table. All iteration is in
//! the order of connection numbers, or of servers and then connection numbers, so that the same inputs give
//! the same effects in the same order.

use std::collections::{BTreeMap, BTreeSet};

use super::{ConnectionId, ConnectionRequest, PoolId, TransferredConnection};
use crate::{ClassId, ServerId, Time};

/// The phase of a connection between its accept and its end.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Phase {
    /// The client is connected, and its request has not arrived yet.
    AwaitingRequest,
    /// The request is admitted and not answered yet.
    Connecting,
    /// The connection was established before this process started, and its server has not accepted it again
    /// yet.
    Restoring {
        /// No attempt is made after this time.
        deadline: Time,
        /// The server at which the connection was established.
        server: ServerId,
    },
    /// The server has accepted the connection: lines are relayed in both directions.
    Established,
}

/// One attempt to set up a connection at a server.
#[derive(Clone, Copy, Debug)]
pub(super) struct Attempt {
    /// Counted from 0 for each connection.
    pub(super) number: u32,
    pub(super) server: ServerId,
    /// Time at which the request was written in full.
    pub(super) forwarded_at: Option<Time>,
    /// Time by which the server has to accept.
    pub(super) acceptance_deadline: Time,
    /// Time by which the request has to be written in full. `None` if that is not limited.
    pub(super) forwarding_deadline: Option<Time>,
}

impl Attempt {
    /// Returns whether the request is written in full.
    pub(super) fn is_forwarded(&self) -> bool {
        self.forwarded_at.is_some()
    }

    /// Returns the earliest deadline of an attempt that is not connected to its server yet.
    pub(super) fn earliest_deadline(&self, connect_deadline: Time) -> Time {
        let deadline = self.acceptance_deadline.min(connect_deadline);
        earliest(self.forwarding_deadline, deadline)
    }
}

/// The record of one client's connection.
pub(super) struct ClientConnection {
    pub(super) pool: PoolId,
    pub(super) class: Option<ClassId>,
    pub(super) request: ConnectionRequest,
    /// The load that the server reported last for this connection.
    pub(super) load: Option<f64>,
    pub(super) phase: Phase,
    /// Number of attempts opened so far.
    pub(super) attempts: u32,
    pub(super) connected_at: Time,
    /// Time at which the connection will be migrated, if that is scheduled.
    pub(super) migrate_at: Option<Time>,
    /// Time at which the first line that the server has not answered was forwarded. `None` if there is no
    /// such line.
    pub(super) awaiting_server_since: Option<Time>,
    attempt: Option<Attempt>,
    timer: Option<Time>,
}

impl ClientConnection {
    /// Returns the record of a connection that was just accepted.
    pub(super) fn new(pool: PoolId, now: Time) -> ClientConnection {
        ClientConnection {
            pool,
            class: None,
            request: ConnectionRequest::default(),
            load: None,
            phase: Phase::AwaitingRequest,
            attempts: 0,
            connected_at: now,
            migrate_at: None,
            awaiting_server_since: None,
            attempt: None,
            timer: None,
        }
    }

    /// Returns the record of a connection that the predecessor of a hot restart established. `class` is the
    /// class that its request names in this process's configuration.
    pub(super) fn transferred(
        pool: PoolId,
        now: Time,
        class: Option<ClassId>,
        established: TransferredConnection,
    ) -> ClientConnection {
        ClientConnection {
            class,
            request: established.request,
            phase: Phase::Established,
            awaiting_server_since: established.awaiting_server_since,
            ..ClientConnection::new(pool, now)
        }
    }

    /// Returns whether a server may have run the request, and the client has no answer yet. An earlier attempt
    /// may have run as well.
    pub(super) fn may_have_run_unanswered(&self) -> bool {
        let was_forwarded = self.attempts > 1 || self.attempt().is_some_and(|attempt| attempt.is_forwarded());
        was_forwarded && self.phase == Phase::Connecting
    }

    /// Returns the attempt that is in flight or accepted.
    pub(super) fn attempt(&self) -> Option<Attempt> {
        self.attempt
    }

    /// Returns the time at which the timer fires, if it is set.
    pub(super) fn timer(&self) -> Option<Time> {
        self.timer
    }
}

/// A connection and the server of its attempt.
#[derive(Clone, Copy, Debug)]
pub(super) struct ConnectionAtServer {
    pub(super) connection: ConnectionId,
    pub(super) server: ServerId,
}

/// An entry of the timer index, ordered by time and then by connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ConnectionTimer {
    deadline: Time,
    connection: ConnectionId,
}

/// A key of the server index: a server of one pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct PoolServer {
    pool: PoolId,
    server: ServerId,
}

/// All open connections, indexed by timer and by server.
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

    /// Removes a connection, its timer and its attempt. The returned record still contains the attempt.
    pub(super) fn remove(&mut self, id: ConnectionId) -> Option<ClientConnection> {
        let attempt = self.remove_attempt(id);
        self.set_timer(id, None);
        let mut connection = self.connections.remove(&id)?;
        connection.attempt = attempt;
        Some(connection)
    }

    pub(super) fn get(&self, id: ConnectionId) -> Option<&ClientConnection> {
        self.connections.get(&id)
    }

    /// Returns the connection if it is established.
    pub(super) fn get_established(&self, id: ConnectionId) -> Option<&ClientConnection> {
        self.get(id).filter(|connection| connection.phase == Phase::Established)
    }

    /// Returns the connection if no request has arrived on it yet.
    pub(super) fn get_awaiting_request(&self, id: ConnectionId) -> Option<&ClientConnection> {
        self.get(id).filter(|connection| connection.phase == Phase::AwaitingRequest)
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

    /// Returns the ids of all connections, ascending.
    pub(super) fn ids(&self) -> Vec<ConnectionId> {
        self.connections.keys().copied().collect()
    }

    /// Returns the ids of established connections, ascending.
    pub(super) fn established_ids(&self) -> Vec<ConnectionId> {
        let established =
            self.connections.iter().filter(|(_, connection)| connection.phase == Phase::Established);
        established.map(|(&id, _)| id).collect()
    }

    pub(super) fn pool_of(&self, id: ConnectionId) -> Option<PoolId> {
        self.get(id).map(|connection| connection.pool)
    }

    // ---- Events of a connection ----

    /// Records the class that a connection's request names. `None` means a class that is not configured.
    pub(super) fn record_class(&mut self, id: ConnectionId, class: Option<ClassId>) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.class = class;
        }
    }

    /// Records an admitted request, and stops the request timer.
    pub(super) fn record_admission(&mut self, id: ConnectionId, request: &ConnectionRequest) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.request = request.clone();
        }
        self.set_timer(id, None);
    }

    /// Records that a connection is established, and the time of its migration if that is known already.
    pub(super) fn record_established(&mut self, id: ConnectionId, migrate_at: Option<Time>) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.phase = Phase::Established;
            connection.migrate_at = migrate_at;
        }
    }

    /// Schedules the migration of a connection, unless it is already scheduled for an earlier time.
    pub(super) fn schedule_migration(&mut self, id: ConnectionId, migrate_at: Time) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.migrate_at = Some(earliest(connection.migrate_at, migrate_at));
        }
    }

    /// Records a line that was forwarded to the server.
    pub(super) fn record_forwarded_line(&mut self, now: Time, id: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.awaiting_server_since.get_or_insert(now);
        }
    }

    /// Records that the server of an established connection has sent bytes. They count as its answer to all
    /// lines that were forwarded before.
    pub(super) fn record_server_activity(&mut self, id: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(&id) {
            if connection.phase == Phase::Established {
                connection.awaiting_server_since = None;
            }
        }
    }

    /// Records the load that the server has reported for a connection.
    pub(super) fn record_load(&mut self, id: ConnectionId, load: f64) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.load = Some(load);
        }
    }

    /// Moves a connection to another phase.
    pub(super) fn set_phase(&mut self, id: ConnectionId, phase: Phase) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.phase = phase;
        }
    }

    // ---- Timers ----

    /// Replaces a connection's timer, or stops it.
    pub(super) fn set_timer(&mut self, id: ConnectionId, deadline: Option<Time>) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        if let Some(replaced) = std::mem::replace(&mut connection.timer, deadline) {
            self.timers.remove(&ConnectionTimer { deadline: replaced, connection: id });
        }
        if let Some(deadline) = deadline {
            self.timers.insert(ConnectionTimer { deadline, connection: id });
        }
    }

    /// Returns the time at which the earliest timer fires.
    pub(super) fn next_timer(&self) -> Option<Time> {
        self.timers.first().map(|timer| timer.deadline)
    }

    /// Stops the earliest timer if it has expired, and returns its connection.
    pub(super) fn pop_expired_timer(&mut self, now: Time) -> Option<ConnectionId> {
        let id = self.timers.first().filter(|timer| timer.deadline <= now)?.connection;
        self.set_timer(id, None);
        Some(id)
    }

    // ---- Attempts ----

    /// Adds the next attempt of a connection, and returns it. An earlier attempt has to be removed first.
    pub(super) fn begin_attempt(
        &mut self,
        id: ConnectionId,
        server: ServerId,
        acceptance_deadline: Time,
        forwarding_deadline: Option<Time>,
    ) -> Option<Attempt> {
        let connection = self.connections.get_mut(&id)?;
        let number = connection.attempts;
        let attempt =
            Attempt { number, server, forwarded_at: None, acceptance_deadline, forwarding_deadline };
        connection.attempts += 1;
        connection.attempt = Some(attempt);
        let server = PoolServer { pool: connection.pool, server };
        self.by_server.entry(server).or_default().insert(id);
        Some(attempt)
    }

    /// Removes and returns a connection's attempt.
    pub(super) fn remove_attempt(&mut self, id: ConnectionId) -> Option<Attempt> {
        let connection = self.connections.get_mut(&id)?;
        let attempt = connection.attempt.take()?;
        let server = PoolServer { pool: connection.pool, server: attempt.server };
        if let Some(connections) = self.by_server.get_mut(&server) {
            connections.remove(&id);
            if connections.is_empty() {
                self.by_server.remove(&server);
            }
        }
        Some(attempt)
    }

    /// Returns the connection's attempt if it has this number. Reports of an earlier attempt that arrive late
    /// are recognised by this.
    pub(super) fn attempt(&self, id: ConnectionId, number: u32) -> Option<Attempt> {
        self.get(id)?.attempt.filter(|attempt| attempt.number == number)
    }

    /// Records that an attempt's request is written in full. Returns false if that was recorded before or the
    /// attempt has ended.
    pub(super) fn mark_forwarded(&mut self, now: Time, id: ConnectionId, number: u32) -> bool {
        let attempt = self.connections.get_mut(&id).and_then(|connection| connection.attempt.as_mut());
        let is_unforwarded = |attempt: &&mut Attempt| attempt.number == number && !attempt.is_forwarded();
        let Some(attempt) = attempt.filter(is_unforwarded) else { return false };
        attempt.forwarded_at = Some(now);
        true
    }

    /// Sets a deadline by which the request of a connection's attempt has to be written in full. An earlier
    /// deadline remains.
    pub(super) fn limit_forwarding(&mut self, id: ConnectionId, deadline: Time) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let is_connecting = connection.phase == Phase::Connecting;
        let attempt = connection.attempt.as_mut();
        let Some(attempt) = attempt.filter(|attempt| is_connecting && !attempt.is_forwarded()) else {
            return;
        };
        attempt.forwarding_deadline = Some(earliest(attempt.forwarding_deadline, deadline));
        let timer = earliest(connection.timer, deadline);
        self.set_timer(id, Some(timer));
    }

    /// Returns all connections with an attempt at a pool's servers, ordered by server and then by connection.
    pub(super) fn connections_with_attempt(
        &self,
        pool: PoolId,
    ) -> impl Iterator<Item = ConnectionAtServer> + '_ {
        let first = PoolServer { pool, server: ServerId(0) };
        let last = PoolServer { pool, server: ServerId(u32::MAX) };
        self.by_server.range(first..=last).flat_map(|(&PoolServer { server, .. }, connections)| {
            connections.iter().map(move |&connection| ConnectionAtServer { connection, server })
        })
    }
}

/// Returns the earlier of two deadlines, of which the first is optional.
fn earliest(existing: Option<Time>, deadline: Time) -> Time {
    existing.map_or(deadline, |existing| existing.min(deadline))
}
