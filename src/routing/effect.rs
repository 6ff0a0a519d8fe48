//! What the reducer wants done outside.

use std::net::SocketAddr;

use super::store::{AddressedReplicaMessage, Entry};
use super::{
    AdminClientId, AdminResponse, Answer, ConnectionId, EstablishedConnection, HandoverState, LogEvent,
    PoolId,
};
use crate::peers::GossipMessage;
use crate::{Micros, ServerId};

/// One thing to do. Effects are carried out in the order in which they are returned.
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
        /// How long the server may take, which it is sent along with the request.
        wait: Micros,
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
    /// Read once more from a client whose handshake is over its time, and feed
    /// [`super::Input::HandshakeTimedOut`] if there still is no request.
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
        /// Whether connections are accepted from now on; else they wait in the listeners' queues.
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
        /// Names under which its report may carry the load; the first that is there counts.
        names: Vec<&'static str>,
        /// How long to wait for the answer.
        wait: Micros,
    },
    /// Watch a pool's endpoint list, starting with what was missed.
    WatchEndpoints {
        /// The pool.
        pool: PoolId,
    },
    /// Stop the watch and start one at another address, which begins with the whole list.
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
        /// What the successor has to know of it.
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
