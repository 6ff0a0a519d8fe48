//! The log lines of the reducer. `src/transport/driver.rs` writes them, so its module path is their log
//! target.
//!
//! Each event is one line of the log, and `docs/oncall.md` has a row for each line. A test compares the rows
//! with the literals below.

use std::fmt;
use std::net::SocketAddr;

use tracing::Level;

use super::ConnectionId;
use crate::rebalance::HoldReason;
use crate::RefusalReason;

/// One line of the log. The text of each variant is one literal template.
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
    ProbesRefused {
        /// Name of the server.
        server: String,
    },
    /// A message for replicas arrived from an address that is not configured as another replica's. The line
    /// calls such a replica a configured peer.
    MessageFromUnknownReplica {
        /// Address of the sender.
        from: SocketAddr,
    },
    /// A write to the replicated map arrived from another machine.
    RemoteWriteIgnored {
        /// Address of the sender.
        from: SocketAddr,
    },
    /// A key of the replicated map has a new value. The line calls the map the store. A key `life/NAME`
    /// excludes the server NAME, `host/NAME` adds a server to the endpoint list, and `limit/connections` is
    /// the limit of connections.
    EntryStored {
        /// The key that was written.
        key: String,
        /// The new value of the key.
        value: String,
        /// Name of the node that wrote it.
        node: String,
    },
    /// A key of the replicated map was deleted.
    EntryDeleted {
        /// The key that was deleted.
        key: String,
        /// Name of the node that deleted it.
        node: String,
    },
    /// The successor of a hot restart accepts and serves clients.
    SuccessorReady,
    /// The successor of a hot restart ended, or the link to it broke.
    SuccessorLost,
    /// A graceful shutdown has begun. The line says "draining"; it concerns this process and not a draining
    /// server. Its number includes connections that are not established, which are migrated only if they
    /// are established during the shutdown.
    ShutdownStarted {
        /// Number of connections that are open at the start of the shutdown.
        connections: usize,
    },
    /// The balancer rejected or failed a request.
    RequestRefused {
        /// The connection of the request.
        connection: ConnectionId,
        /// The balancer's reason for the refusal.
        reason: RefusalReason,
    },
    /// The first request was refused because a pool's endpoint list has expired. The line is written then,
    /// not when the list expires. The requests are rejected, or failed where a retry may not be harmless.
    EndpointListExpired {
        /// Name of the pool's front.
        pool: &'static str,
    },
    /// Discovery has confirmed a list that had expired. Requests are placed again.
    EndpointListConfirmed {
        /// Name of the pool's front.
        pool: &'static str,
    },
    /// Migration for balance is on hold at a pool. The line says "paused".
    RebalancingPaused {
        /// Name of the pool's front.
        pool: &'static str,
        /// The reason for the hold.
        reason: HoldReason,
    },
    /// A hold of migration for balance has ended at a pool. The line is also written for a hold that began
    /// before the first migration, although its beginning is not logged.
    RebalancingResumed {
        /// Name of the pool's front.
        pool: &'static str,
    },
}

impl LogEvent {
    /// Returns the level at which the line is logged. Lines that are written once per request have the debug
    /// level.
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
            LogEvent::ProbesRefused { server } => {
                write!(formatter, "server {server} declines health checks")
            }
            LogEvent::MessageFromUnknownReplica { from } => {
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
                write!(formatter, "draining: {connections} connections to migrate")
            }
            LogEvent::RequestRefused { connection, reason } => {
                write!(formatter, "connection {} rejected or failed: {}", connection.0, reason.name())
            }
            LogEvent::EndpointListExpired { pool } => {
                write!(
                    formatter,
                    "{pool}: endpoint list expired, requests are rejected until discovery answers"
                )
            }
            LogEvent::EndpointListConfirmed { pool } => {
                write!(formatter, "{pool}: endpoint list confirmed, requests are placed again")
            }
            LogEvent::RebalancingPaused { pool, reason } => {
                write!(formatter, "{pool}: rebalancing paused: {reason}")
            }
            LogEvent::RebalancingResumed { pool } => {
                write!(formatter, "{pool}: rebalancing resumed")
            }
        }
    }
}
