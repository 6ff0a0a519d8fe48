//! Effects: what the reducer asks the driver to do outside of its state.

use std::net::SocketAddr;

use super::store::{AddressedReplicaMessage, Entry};
use super::{
    AdminClientId, AdminResponse, Answer, ConnectionId, EstablishedConnection, HandoverState, LogEvent,
    PoolId,
};
use crate::peers::GossipMessage;
use crate::{Micros, ServerId};

/// One action of the driver. Effects are executed in the order in which they are returned.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Connect to a server and send the request.
    OpenAttempt {
        /// The connection.
        connection: ConnectionId,
        /// Number of the attempt.
        attempt: u32,
        /// The server's address.
        address: String,
        /// How long the server may take to accept. The request carries it, too.
        timeout: Micros,
    },
    /// Close the attempt in flight.
    CloseAttempt {
        /// The connection.
        connection: ConnectionId,
    },
    /// Send an answer to the client, then end both sides.
    Answer {
        /// The connection.
        connection: ConnectionId,
        /// The answer.
        answer: Answer,
    },
    /// Read once more from a client whose handshake timeout has passed, and feed
    /// [`super::Input::HandshakeTimedOut`] if there is no request.
    CheckHandshake {
        /// The connection.
        connection: ConnectionId,
    },
    /// Close all sockets of a connection at once.
    AbortConnection {
        /// The connection.
        connection: ConnectionId,
    },
    /// Open or close the accept gate of the fronts.
    SetAccepting {
        /// Whether connections are accepted from now on. Otherwise they stay in the listeners' queues.
        open: bool,
    },
    /// Send an observation to the other balancers of the tier.
    BroadcastGossip(GossipMessage),
    /// Check a server's health, and feed [`super::Input::ProbeCompleted`] once.
    ProbeServer {
        /// The server's pool.
        pool: PoolId,
        /// The server.
        server: ServerId,
        /// Its address.
        address: String,
        /// Names under which its report may carry the utilisation. The first one that the report contains is used.
        names: Vec<&'static str>,
        /// How long the connect and the answer may take together.
        timeout: Micros,
    },
    /// Resume the watch on a pool's endpoint list, beginning with the changes since the last answer.
    WatchEndpoints {
        /// The pool.
        pool: PoolId,
    },
    /// Stop the watch on a pool's endpoint list and start one at another address, which begins with a snapshot.
    WatchEndpointsAt {
        /// The pool.
        pool: PoolId,
        /// Address of the discovery service.
        discovery: SocketAddr,
    },
    /// Send a message to another replica, or to the sender of a command.
    SendReplicaMessage(AddressedReplicaMessage),
    /// Store an entry of the replicated map on disk.
    PersistEntry {
        /// Its key.
        key: String,
        /// The entry.
        entry: Entry,
    },
    /// Send this process's state to its successor.
    ExportState(Box<HandoverState>),
    /// Transfer an established connection to the successor as soon as it is between two lines.
    TransferConnection {
        /// The connection.
        connection: ConnectionId,
        /// Its pool.
        pool: PoolId,
        /// The state with which the successor continues it.
        established: EstablishedConnection,
    },
    /// Send an exclusion or readmission to the peer process.
    ShareExclusion {
        /// The admin client whose reply waits for the acknowledgement.
        admin_client: AdminClientId,
        /// Name of the server.
        server: String,
        /// Whether it is excluded now.
        excluded: bool,
    },
    /// Store the names of the servers that an operator excluded on disk.
    PersistExclusions(Vec<String>),
    /// Reply to an admin client.
    AdminReply {
        /// The client.
        admin_client: AdminClientId,
        /// The reply.
        reply: AdminResponse,
    },
    /// Write a line to the log.
    Log(LogEvent),
    /// The graceful shutdown is complete: the process may exit.
    Exit,
}
