//! Commands for the tasks that carry out effects.
//!
//! This module only defines types. The tasks and the dispatcher of effects ([`driver`](super::driver)) import
//! it, so that neither has to import the other.

use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use std::time::Duration;

use tokio::sync::oneshot;

use crate::routing::{AdminCallId, Answer, ConnectionId, PoolId, TransferredConnection};
use crate::{Micros, ServerId};

/// A command for the task of one connection.
#[derive(Debug)]
pub(super) enum ConnectionCommand {
    /// Connect to a server and send the request.
    OpenAttempt {
        /// Number of the attempt, from 0.
        attempt: u32,
        /// Address of the server, with its port.
        address: String,
        /// Timeout of the server's answer.
        acceptance_timeout: Micros,
    },
    /// Close the current attempt.
    CloseAttempt,
    /// Send an answer to the client, then close both sides in order.
    SendAnswer(Answer),
    /// Read the bytes that the client has sent so far, then feed
    /// [`RequestTimedOut`](crate::routing::Input::RequestTimedOut). The reducer ignores this input if the
    /// bytes completed the request.
    CheckRequestArrival,
    /// Close all sockets immediately. Pending bytes are dropped.
    Abort,
    /// Send the sockets through this channel for a transfer to the successor, if the connection is between
    /// two lines. The sender is dropped otherwise.
    Transfer(oneshot::Sender<TransferredSockets>),
}

/// The sockets and state of a connection that is being transferred to the successor.
#[derive(Debug)]
pub(super) struct TransferredSockets {
    /// Socket to the client.
    pub client: OwnedFd,
    /// Socket to the server that accepted the attempt.
    pub attempt: OwnedFd,
    /// State of the front's protocol, from which the successor continues the connection.
    pub front_state: Vec<u8>,
    /// Bytes that ask the client to reconnect. They are sent if the successor cannot be reached.
    pub migration_notice: Vec<u8>,
}

/// A message for the peer process during a hot restart.
pub(super) enum PeerProcessMessage {
    /// An operator excluded or readmitted a server.
    ShareExclusion {
        /// The admin call whose reply waits for the acknowledgement.
        admin_call: AdminCallId,
        /// Name of the server.
        server: String,
        /// True if the server was excluded, false if it was readmitted.
        excluded: bool,
    },
    /// This process has admitted a request.
    ShareRequestId {
        /// Name of the pool.
        pool: &'static str,
        /// Id in the client's request.
        id: String,
    },
    /// Transfers an established connection to the successor.
    TransferConnection {
        /// Id of the connection in this process.
        connection: ConnectionId,
        /// Pool of the connection's front.
        pool: PoolId,
        /// The reducer's state of the connection, from which the successor continues it.
        established: Box<TransferredConnection>,
    },
}

/// A command to request a server's load report.
pub(super) struct ProbeCommand {
    /// Pool of the server.
    pub pool: PoolId,
    /// Id of the server, which the result of the probe repeats.
    pub server: ServerId,
    /// Address of the server, with its port.
    pub address: String,
    /// Names of the report's fields that may hold the load, in order of preference.
    pub load_report_fields: Vec<&'static str>,
    /// Timeout of the probe, including the time to connect.
    pub timeout: Duration,
}

/// A command for the watches on endpoint lists.
pub(super) enum WatchCommand {
    /// Resume a pool's watch after it was lost. Discovery first sends the changes since the loss.
    Resume {
        /// Pool whose endpoint list is watched.
        pool: PoolId,
    },
    /// Start a pool's watch, and replace its old watch if it has one.
    Start {
        /// Pool whose endpoint list is watched.
        pool: PoolId,
        /// Address of discovery.
        discovery: SocketAddr,
        /// Generation of the endpoint list that this process has. If there is none, a snapshot is requested.
        generation: Option<u64>,
    },
}
