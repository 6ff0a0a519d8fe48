//! Events that the reducer reports to the rebalancer.

use super::ConnectionProperties;
use crate::{ConnectionId, Micros, ServerId};

/// A change of a connection, a server, the endpoint list or the configuration.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RebalanceEvent {
    /// A client requests a connection.
    ConnectionRequested {
        /// Requested connection.
        connection: ConnectionId,
        /// Hash of the client's key, by which a migrated client is recognised; `None` if the request has
        /// none.
        key: Option<u64>,
        /// Whether the client reports that it was migrated, or that its previous connection broke.
        reports_reconnection: bool,
    },
    /// A connection was established.
    ConnectionEstablished {
        /// Established connection.
        connection: ConnectionId,
        /// Server of the connection, and its other properties.
        properties: ConnectionProperties,
        /// Time from the request at the server to the establishment. `None` if the connection had been
        /// established before this balancer started.
        setup_time: Option<Micros>,
    },
    /// A connection reported its load.
    LoadReported {
        /// Connection that reported the load.
        connection: ConnectionId,
        /// Load in microseconds of work per second.
        load: f64,
    },
    /// A server reported its message time.
    MessageTimeReported {
        /// Server that sent the report.
        server: ServerId,
        /// Time that a message takes at the server.
        message_time: Micros,
    },
    /// A requested connection was rejected, or failed.
    ConnectionRejected {
        /// Requested connection.
        connection: ConnectionId,
    },
    /// A connection has ended at this balancer.
    ConnectionEnded {
        /// Connection that ended.
        connection: ConnectionId,
        /// Whether the connection ended normally, rather than by a migration or a fault: the client left, or
        /// the server closed the connection cleanly.
        ended_by_client: bool,
    },
    /// The endpoint list has changed.
    EndpointListChanged {
        /// Number of servers that the list shows as ready.
        ready_servers: usize,
    },
    /// The endpoint list is unavailable.
    EndpointListLost,
    /// The endpoint list was received, with or without a change.
    EndpointListReceived,
    /// The configuration was reloaded.
    ConfigurationReloaded,
}
