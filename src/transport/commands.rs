//! Commands for the tasks that carry out effects.
//!
//! Only types live here: the tasks and the dispatcher of effects ([`driver`](super::driver)) import this
//! module, and neither imports the other.

use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use std::time::Duration;

use tokio::sync::oneshot;

use crate::routing::{AdminClientId, Answer, ConnectionId, EstablishedConnection, PoolId};
use crate::{Micros, ServerId};

/// A command for the task of one connection.
#[derive(Debug)]
pub(super) enum ConnectionCommand {
    /// Open an attempt.
    OpenAttempt {
        /// Number of the attempt, from 0.
        attempt: u32,
        /// Address of the server.
        address: String,
        /// How long the server has for its answer.
        wait: Micros,
    },
    /// Close the attempt.
    CloseAttempt,
    /// Send the client this answer, then close both sides in order.
    SendAnswer(Answer),
    /// Read what the client has sent by now; [`HandshakeTimedOut`](crate::routing::Input::HandshakeTimedOut)
    /// if that is no request.
    CheckHandshake,
    /// Close all sockets at once, whatever is left to write.
    Abort,
    /// Give up the sockets for the successor, if the connection is between two lines.
    Transfer(oneshot::Sender<TransferredConnection>),
}

/// A connection on its way to the successor.
#[derive(Debug)]
pub(super) struct TransferredConnection {
    /// The client's socket.
    pub client: OwnedFd,
    /// The attempt's socket.
    pub attempt: OwnedFd,
    /// State of the front, which the successor needs.
    pub front_state: Vec<u8>,
    /// What to send to the client if the successor cannot be reached.
    pub migration_notice: Vec<u8>,
}

/// A message for the peer process during a hot restart.
pub(super) enum PeerProcessMessage {
    /// An operator excluded or readmitted a server.
    ShareExclusion {
        /// The admin client that waits for the acknowledgement.
        admin_client: AdminClientId,
        /// Name of the server.
        server: String,
        /// Whether it is excluded, or else readmitted.
        excluded: bool,
    },
    /// An established connection goes to the successor.
    TransferConnection {
        /// Its id in this process.
        connection: ConnectionId,
        /// Its pool.
        pool: PoolId,
        /// What the reducer knows of it.
        established: Box<EstablishedConnection>,
    },
}

/// A server is to be asked for its load.
pub(super) struct ProbeCommand {
    /// The server's pool.
    pub pool: PoolId,
    /// The server.
    pub server: ServerId,
    /// Its address.
    pub address: String,
    /// Names under which its load report may hold the load, the best first.
    pub load_names: Vec<&'static str>,
    /// How long to wait for the report.
    pub timeout: Duration,
}

/// A command for the watches on endpoint lists.
pub(super) enum WatchCommand {
    /// Resume the watch of this pool after it was lost; what was missed comes first.
    Resume {
        /// The pool.
        pool: PoolId,
    },
    /// Start a watch, in the place of the pool's old one.
    Start {
        /// The pool.
        pool: PoolId,
        /// Address of discovery.
        discovery: SocketAddr,
        /// Generation of the endpoint list that is held; without one the whole list is requested.
        generation: Option<u64>,
    },
}
