//! What the reducer logs.

use std::fmt;
use std::net::SocketAddr;

use tracing::Level;

use super::ConnectionId;
use crate::rebalance::HoldReason;
use crate::RefusalReason;

/// One line of the log. The on-call page lists the texts below: keep one literal template for each variant.
#[derive(Clone, Debug, PartialEq)]
pub enum LogEvent {
    /// An operator excluded a server.
    ServerExcluded {
        /// Name of the server.
        server: String,
    },
    /// An operator readmitted a server.
    ServerReadmitted {
        /// Name of the server.
        server: String,
    },
    /// A server answered that it must not be probed.
    ProbesDeclined {
        /// Name of the server.
        server: String,
    },
    /// A message for replicas came from an address that is not configured as a peer.
    MessageFromUnknownPeer {
        /// Its sender.
        from: SocketAddr,
    },
    /// A write to the replicated map came from another machine.
    RemoteWriteIgnored {
        /// Its sender.
        from: SocketAddr,
    },
    /// The replicated map has a new value.
    EntryStored {
        /// The key.
        key: String,
        /// Its value.
        value: String,
        /// Name of the node that wrote it.
        node: String,
    },
    /// A key of the replicated map was deleted.
    EntryDeleted {
        /// The key.
        key: String,
        /// Name of the node that deleted it.
        node: String,
    },
    /// The successor of a hot restart serves.
    SuccessorReady,
    /// The successor of a hot restart ended.
    SuccessorLost,
    /// A graceful shutdown has begun.
    ShutdownStarted {
        /// Connections that are open now.
        connections: usize,
    },
    /// A request is answered without a server.
    RequestRefused {
        /// Its connection.
        connection: ConnectionId,
        /// Why.
        reason: RefusalReason,
    },
    /// A pool's endpoint list is too old to be used: requests are refused from now on.
    EndpointListExpired {
        /// Name of the pool's front.
        pool: &'static str,
    },
    /// Discovery has answered, and requests are placed again.
    EndpointListRestored {
        /// Name of the pool's front.
        pool: &'static str,
    },
    /// No connection of a pool is migrated for balance from now on.
    RebalancingHeld {
        /// Name of the pool's front.
        pool: &'static str,
        /// Why not.
        reason: HoldReason,
    },
    /// Connections of a pool may be migrated for balance again.
    RebalancingResumed {
        /// Name of the pool's front.
        pool: &'static str,
    },
}

impl LogEvent {
    /// The level at which the line is logged: what comes with each request is for debugging.
    pub(crate) fn level(&self) -> Level {
        match self {
            LogEvent::RequestRefused { .. } => Level::DEBUG,
            _ => Level::INFO,
        }
    }
}

impl fmt::Display for LogEvent {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LogEvent::ServerExcluded { server } => {
                write!(formatter, "server {server} excluded by an operator")
            }
            LogEvent::ServerReadmitted { server } => {
                write!(formatter, "server {server} readmitted by an operator")
            }
            LogEvent::ProbesDeclined { server } => {
                write!(formatter, "server {server} declines health checks")
            }
            LogEvent::MessageFromUnknownPeer { from } => {
                write!(formatter, "ignored a message from {from}, which is not a configured peer")
            }
            LogEvent::RemoteWriteIgnored { from } => {
                write!(formatter, "ignored a write from {from}: only this machine may write")
            }
            LogEvent::EntryStored { key, value, node } => {
                write!(formatter, "store: {key} is {value}, written by {node}")
            }
            LogEvent::EntryDeleted { key, node } => {
                write!(formatter, "store: {key} deleted by {node}")
            }
            LogEvent::SuccessorReady => {
                write!(formatter, "successor is ready: established connections are transferred to it")
            }
            LogEvent::SuccessorLost => {
                write!(formatter, "successor is gone: this process accepts connections again")
            }
            LogEvent::ShutdownStarted { connections } => {
                write!(formatter, "leaving: {connections} connections to migrate")
            }
            LogEvent::RequestRefused { connection, reason } => {
                write!(formatter, "connection {} refused: {}", connection.0, reason.name())
            }
            LogEvent::EndpointListExpired { pool } => {
                write!(
                    formatter,
                    "{pool}: endpoint list expired, requests are refused until discovery answers"
                )
            }
            LogEvent::EndpointListRestored { pool } => {
                write!(formatter, "{pool}: endpoint list confirmed, requests are placed again")
            }
            LogEvent::RebalancingHeld { pool, reason } => {
                write!(formatter, "{pool}: rebalancing held: {reason}")
            }
            LogEvent::RebalancingResumed { pool } => {
                write!(formatter, "{pool}: rebalancing may go on")
            }
        }
    }
}
