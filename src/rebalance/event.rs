//! What the rebalancer is notified of, and the state of a server that it evaluates.

use super::view::Connection;
use crate::{ConnectionId, Micros, ServerId, Time};

/// Something that happened to a connection, a server or the configuration.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RebalanceEvent {
    /// A client asks for a connection.
    ConnectionRequested {
        /// The new connection.
        connection: ConnectionId,
        /// The key of its flow, if it has one.
        key: Option<u64>,
        /// Whether the client reports that it was migrated or that its connection broke.
        reconnecting: bool,
    },
    /// A connection is established.
    ConnectionEstablished {
        /// The connection.
        connection: ConnectionId,
        /// Its server and its properties.
        properties: Connection,
        /// Time since it was requested at the server; none for one that was established before.
        setup: Option<Micros>,
    },
    /// A connection reported its load.
    LoadReported {
        /// The connection.
        connection: ConnectionId,
        /// In microseconds of work a second.
        load: f64,
    },
    /// A server reported how long a message takes there.
    MessageTimeReported {
        /// The server.
        server: ServerId,
        /// The time of a message.
        took: Micros,
    },
    /// A connection that was requested was rejected, or failed.
    ConnectionRejected {
        /// The connection.
        connection: ConnectionId,
    },
    /// A connection has ended here.
    ConnectionEnded {
        /// The connection.
        connection: ConnectionId,
        /// Whether it came to its own end: it was neither migrated nor cut off.
        natural: bool,
    },
    /// The endpoint list has changed.
    EndpointListChanged {
        /// Number of servers that it lists for use.
        ready: usize,
    },
    /// The endpoint list cannot be had.
    EndpointListLost,
    /// The endpoint list was received, with or without a change.
    EndpointListReceived,
    /// The configuration was read again.
    ConfigurationReloaded,
}

/// A server, as the decision module and the endpoint list have it now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerSnapshot {
    /// The server.
    pub server: ServerId,
    /// It is listed for use and has not just failed.
    pub ready: bool,
    /// Slots held here.
    pub occupied_slots: f64,
    /// The most slots that may be held here.
    pub ceiling: f64,
    /// Its weight in the endpoint list.
    pub weight: f64,
    /// Share of its capacity that it surely has by now, 0 to 1.
    pub warmth: f64,
    /// When its process started, if not long ago.
    pub started: Option<Time>,
    /// When it last rejected, dropped or was slow, in this incarnation.
    pub last_fault: Option<Time>,
}
