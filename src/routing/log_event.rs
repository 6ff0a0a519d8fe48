//! The log lines of the reducer. They are written by `src/transport/driver.rs`, which is their target.

//! Each event has one line, and `docs/oncall.md` a row for each line: a test compares the two, by the
//! literals below.

use std::fmt;
use std::net::SocketAddr;

use tracing::Level;

use super::ConnectionId;
use crate::rebalance::HoldReason;
use crate::RefusalReason;

/// One line of the log. Each variant has one literal template.
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
    /// A request is rejected or failed without a server.
    RequestRefused {
        /// Its connection.
        connection: ConnectionId,
        /// Why there was no server.
        reason: RefusalReason,
    },
    /// A pool's endpoint list has expired. Requests are rejected from now on.
    EndpointListExpired {
        /// Name of the pool's front.
        pool: &'static str,
    },
    /// Discovery has confirmed a list that had expired. Requests are placed again.
    EndpointListRestored {
        /// Name of the pool's front.
        pool: &'static str,
    },
    /// Migration for balance is paused at a pool.
    RebalancingPaused {
        /// Name of the pool's front.
        pool: &'static str,
        /// Why it is paused.
        reason: HoldReason,
    },
    /// Migration for balance is resumed at a pool.
    RebalancingResumed {
        /// Name of the pool's front.
        pool: &'static str,
    },
}

impl LogEvent {
    /// The level at which the line is logged. Lines that come with each request are logged at debug level.
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
            LogEvent::EndpointListRestored { pool } => {
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
