//! Inputs: the events outside the reducer that change its state. Each has one handler, `State::on_…`.

use std::net::SocketAddr;

use super::store::{KeyedEntry, ReplicaMessage};
use super::{
    AdminCall, AdminCallId, AttemptOutcome, ConnectionId, ConnectionRequest, Endpoint, HandoverState,
    PoolConfig, PoolId, ProbeOutcome, ResourceLimits, TransferredConnection,
};
use crate::peers::GossipMessage;
use crate::ServerId;
use crate::{Micros, WatchFailure};

/// One event that the driver feeds to the reducer.
#[derive(Clone, Debug)]
pub enum Input {
    /// A client connected to a pool's front.
    ClientConnected {
        /// Number of the new connection, which the driver assigns and never uses twice.
        connection: ConnectionId,
        /// The pool of the front that accepted the client.
        pool: PoolId,
    },
    /// A client requested a connection.
    ConnectionRequested {
        /// The connection on which the request arrived.
        connection: ConnectionId,
        /// The request, parsed by the front's protocol.
        request: ConnectionRequest,
    },
    /// The request timeout has passed. The driver has read everything that the client sent, and the bytes
    /// contain no request: see [`super::Effect::CheckRequestArrival`].
    RequestTimedOut {
        /// The connection that was checked.
        connection: ConnectionId,
    },
    /// A client closed its connection.
    ClientDisconnected {
        /// The connection that the client closed.
        connection: ConnectionId,
    },
    /// All sockets of a connection are closed.
    SocketsClosed {
        /// The connection whose last socket was closed.
        connection: ConnectionId,
    },
    /// An attempt's request is written in full.
    RequestForwarded {
        /// The connection to which the attempt belongs.
        connection: ConnectionId,
        /// Number of the attempt, as in [`super::Effect::OpenAttempt`].
        attempt: u32,
    },
    /// The server accepted an attempt. Lines are relayed in both directions from now on.
    AttemptAccepted {
        /// The connection to which the attempt belongs.
        connection: ConnectionId,
        /// Number of the attempt, as in [`super::Effect::OpenAttempt`].
        attempt: u32,
    },
    /// An attempt ended.
    AttemptEnded {
        /// The connection to which the attempt belongs.
        connection: ConnectionId,
        /// Number of the attempt, as in [`super::Effect::OpenAttempt`].
        attempt: u32,
        /// How the attempt ended.
        outcome: AttemptOutcome,
    },
    /// A client's line was forwarded to the server of an established connection.
    LineForwarded {
        /// The connection whose client sent the line.
        connection: ConnectionId,
    },
    /// The server of an established connection sent bytes.
    ServerActivity {
        /// The connection whose server sent the bytes.
        connection: ConnectionId,
    },
    /// The server sent a load report for a connection.
    LoadReported {
        /// The connection that the report concerns.
        connection: ConnectionId,
        /// The connection's load in microseconds of work per second. Where the settings say that servers
        /// report message times, it may instead be the time that a message takes at the server, in
        /// milliseconds.
        value: f64,
    },
    /// The state that an earlier process stored was read.
    StoredStateRead {
        /// Entries of the replicated map.
        entries: Vec<KeyedEntry>,
        /// Names of servers that an operator excluded without a replicated map.
        excluded_by_operator: Vec<String>,
    },
    /// An endpoint list that was cached before the process started was read. It may be out of date.
    CachedEndpoints {
        /// The pool whose list was cached.
        pool: PoolId,
        /// All servers of the list.
        endpoints: Vec<Endpoint>,
    },
    /// Discovery sent an update of an endpoint list, or the operator's file was read.
    EndpointsUpdated {
        /// The pool whose list is updated.
        pool: PoolId,
        /// True for a snapshot of the whole list, false for a delta.
        is_snapshot: bool,
        /// All listed servers of a snapshot, or the changed servers of a delta.
        endpoints: Vec<Endpoint>,
    },
    /// Another balancer of the tier sent an observation.
    GossipReceived {
        /// The pool whose servers the observation concerns.
        pool: PoolId,
        /// The observation, with a sample of the sender's groups.
        message: GossipMessage,
    },
    /// A health check of a server ended.
    ProbeCompleted {
        /// The server's pool.
        pool: PoolId,
        /// The probed server.
        server: ServerId,
        /// How the probe ended, with the load report if the server sent one.
        outcome: ProbeOutcome,
    },
    /// The first watch on a pool's endpoint list starts.
    EndpointWatchStarted {
        /// The pool whose list is watched.
        pool: PoolId,
    },
    /// The watch on a pool's endpoint list broke, or could not be established.
    EndpointWatchLost {
        /// The pool whose list was watched.
        pool: PoolId,
        /// The state of discovery that the failure indicates.
        failure: WatchFailure,
        /// Time since the failed poll was sent, or was repeated on a new connection.
        polled_ago: Micros,
    },
    /// A poll of a pool's endpoint list had no answer in time. The driver repeats it.
    EndpointWatchSilent {
        /// The pool whose list was polled.
        pool: PoolId,
        /// Time since the unanswered poll was sent.
        polled_ago: Micros,
    },
    /// A message of another replica or of an operator's command arrived.
    ReplicaMessage {
        /// Address of the sender.
        from: SocketAddr,
        /// The decoded message.
        message: ReplicaMessage,
    },
    /// The configuration was read again.
    ConfigurationChanged {
        /// The pools, in their old order.
        pools: Vec<PoolConfig>,
        /// Addresses of the other replicas.
        other_replicas: Vec<SocketAddr>,
        /// The limits of all fronts together.
        resource_limits: ResourceLimits,
    },
    /// The listeners of all fronts are open.
    Listening,
    /// A successor started and requests this process's state.
    SuccessorStarted,
    /// The successor accepts and serves clients.
    SuccessorReady,
    /// The successor has received the sockets of an established connection.
    ConnectionTransferred {
        /// The connection's number in this process.
        connection: ConnectionId,
    },
    /// The predecessor's state arrived.
    ImportState(Box<HandoverState>),
    /// An established connection arrived from the predecessor.
    ConnectionReceived {
        /// The connection's number in this process.
        connection: ConnectionId,
        /// The pool of the front at which the client connected.
        pool: PoolId,
        /// The state with which the predecessor transferred it.
        established: TransferredConnection,
    },
    /// The peer process of a hot restart ended, or the link to it broke.
    PeerProcessLost,
    /// An operator excluded or readmitted a server at the peer process.
    ExclusionShared {
        /// Name of the server.
        server: String,
        /// True if the server was excluded, false if it was readmitted.
        excluded: bool,
    },
    /// The peer process of a hot restart has admitted a request.
    RequestIdShared {
        /// Name of the pool.
        pool: String,
        /// Id in the client's request.
        id: String,
    },
    /// The peer process has received an exclusion that was shared with it. It may have failed to apply it.
    ExclusionAcknowledged {
        /// The admin call whose reply waits for the acknowledgement.
        admin_call: AdminCallId,
    },
    /// An admin client sent a call.
    AdminRequest {
        /// Number that the driver assigned to the call, by which it routes the reply.
        admin_call: AdminCallId,
        /// The parsed call.
        call: AdminCall,
    },
    /// A graceful shutdown was requested.
    ShutdownRequested,
    /// The time of [`super::State::next_deadline`] has been reached.
    TimerFired,
}
