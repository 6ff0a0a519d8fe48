//! Events that the rebalancer is notified of.

use super::ConnectionProperties;
use crate::{ConnectionId, Micros, ServerId};

/// A change of a connection, a server, the endpoint list or the configuration.
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
        properties: ConnectionProperties,
        /// Time from its request at the server to its establishment; none if it was established before.
        setup: Option<Micros>,
    },
    /// A connection reported its load.
    LoadReported {
        /// The connection.
        connection: ConnectionId,
        /// Microseconds of work a second.
        load: f64,
    },
    /// A server reported its message time.
    MessageTimeReported {
        /// The server.
        server: ServerId,
        /// How long a message takes there.
        took: Micros,
    },
    /// A requested connection was rejected, or failed.
    ConnectionRejected {
        /// The connection.
        connection: ConnectionId,
    },
    /// A connection has ended at this balancer.
    ConnectionEnded {
        /// The connection.
        connection: ConnectionId,
        /// Whether its client ended it, rather than a migration or a fault.
        natural: bool,
    },
    /// The endpoint list has changed.
    EndpointListChanged {
        /// Number of servers that it lists for use.
        ready: usize,
    },
    /// The endpoint list is unavailable.
    EndpointListLost,
    /// The endpoint list was received, with or without a change.
    EndpointListReceived,
    /// The configuration was reloaded.
    ConfigurationReloaded,
}
