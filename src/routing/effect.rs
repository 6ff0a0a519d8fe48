//! Effects: the actions outside its state that the reducer asks the driver to execute.

use std::net::SocketAddr;

use super::store::{AddressedReplicaMessage, Entry};
use super::{
    AdminCallId, AdminResponse, Answer, ConnectionId, HandoverState, LogEvent, PoolId, TransferredConnection,
};
use crate::peers::GossipMessage;
use crate::{Micros, ServerId};

/// One action of the driver. Effects are executed in the order in which they are returned.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Connect to a server and send the request.
    OpenAttempt {
        /// The connection whose request is sent. It has no other attempt in flight.
        connection: ConnectionId,
        /// Number of the attempt, counted from 0 for each connection.
        attempt: u32,
        /// Address at which this balancer reaches the server; empty if the server is not listed any more.
        address: String,
        /// Time within which the server has to accept. The request also carries it.
        acceptance_timeout: Micros,
    },
    /// Close the connection's attempt, whether it is in flight or accepted.
    CloseAttempt {
        /// The connection to which the attempt belongs.
        connection: ConnectionId,
    },
    /// Send an answer to the client, then close both sides.
    Answer {
        /// The connection whose client is answered.
        connection: ConnectionId,
        /// The answer, which the front encodes in its protocol.
        answer: Answer,
    },
    /// Read once more from a client whose request timeout has passed, and feed
    /// [`super::Input::RequestTimedOut`] if there is no request.
    CheckRequestArrival {
        /// The connection without a request.
        connection: ConnectionId,
    },
    /// Close all sockets of a connection at once, without an answer.
    AbortConnection {
        /// The connection, whose record is already removed.
        connection: ConnectionId,
    },
    /// Open or close the accept gate of the fronts.
    SetAccepting {
        /// True to accept connections from now on, false to leave them in the listeners' queues.
        open: bool,
    },
    /// Send an observation to the other balancers of the tier.
    BroadcastGossip(GossipMessage),
    /// Check a server's health, and feed [`super::Input::ProbeCompleted`] once.
    ProbeServer {
        /// The server's pool.
        pool: PoolId,
        /// The server to probe.
        server: ServerId,
        /// Address at which this balancer reaches the server.
        address: String,
        /// Names of fields under which the report may carry the utilisation. The first one that the report
        /// contains is used.
        load_report_fields: Vec<&'static str>,
        /// Time within which the connect and the answer both have to be complete.
        timeout: Micros,
    },
    /// Resume the watch on a pool's endpoint list, beginning with the changes since the last answer.
    WatchEndpoints {
        /// The pool whose list is watched.
        pool: PoolId,
    },
    /// Stop the watch on a pool's endpoint list and start one at another address, which begins with a
    /// snapshot.
    WatchEndpointsAt {
        /// The pool whose list is watched.
        pool: PoolId,
        /// Address of the discovery service.
        discovery: SocketAddr,
    },
    /// Send a message to another replica, or to the sender of a command.
    SendReplicaMessage(AddressedReplicaMessage),
    /// Store an entry of the replicated map on disk.
    PersistEntry {
        /// Key of the entry.
        key: String,
        /// The entry to store; a tombstone where the key was deleted.
        entry: Entry,
    },
    /// Send this process's state to its successor.
    ExportState(Box<HandoverState>),
    /// Transfer an established connection to the successor as soon as it is between two lines, so that no
    /// line is partly relayed.
    TransferConnection {
        /// The connection's number in this process.
        connection: ConnectionId,
        /// The pool of the front at which the client connected.
        pool: PoolId,
        /// The state with which the successor continues it.
        established: TransferredConnection,
    },
    /// Tell the peer process of a hot restart that this process has admitted a request.
    ShareRequestId {
        /// Name of the pool.
        pool: &'static str,
        /// Id in the client's request.
        id: String,
    },
    /// Send an exclusion or readmission to the peer process.
    ShareExclusion {
        /// The admin call whose reply waits for the acknowledgement.
        admin_call: AdminCallId,
        /// Name of the server.
        server: String,
        /// True if the server was excluded, false if it was readmitted.
        excluded: bool,
    },
    /// Store the names of the servers that an operator excluded on disk.
    PersistExclusions(Vec<String>),
    /// Reply to an admin call.
    AdminReply {
        /// Number of the call that is answered.
        admin_call: AdminCallId,
        /// The reply, which the driver encodes and sends.
        reply: AdminResponse,
    },
    /// Write a line to the log.
    Log(LogEvent),
    /// The graceful shutdown is complete: the process may exit.
    Exit,
}
