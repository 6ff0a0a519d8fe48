//! Inputs: what happened outside of the reducer. Each has one handler, `State::on_…`.

use std::net::SocketAddr;

use super::store::{Entry, ReplicaMessage};
use super::{
    AdminCall, AdminClientId, AttemptOutcome, Budget, ConnectionId, ConnectionRequest, Endpoint,
    EstablishedConnection, HandoverState, PoolConfig, PoolId, ProbeEnd,
};
use crate::peers::GossipMessage;
use crate::ServerId;
use crate::{Micros, WatchFailure};

/// One thing that happened.
#[derive(Clone, Debug)]
pub enum Input {
    /// A client connected to a pool's front.
    ClientConnected {
        /// The new connection.
        connection: ConnectionId,
        /// The pool whose front it is.
        pool: PoolId,
    },
    /// A client requested a connection.
    ConnectionRequested {
        /// The connection.
        connection: ConnectionId,
        /// What it requested.
        request: ConnectionRequest,
    },
    /// All that a client has sent was read after its handshake timeout, and there was no request: see
    /// [`super::Effect::CheckHandshake`].
    HandshakeTimedOut {
        /// The connection.
        connection: ConnectionId,
    },
    /// A client closed its connection.
    ClientDisconnected {
        /// The connection.
        connection: ConnectionId,
    },
    /// All sockets of a connection are closed.
    SocketsClosed {
        /// The connection.
        connection: ConnectionId,
    },
    /// An attempt's request is written in full.
    RequestForwarded {
        /// The connection.
        connection: ConnectionId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// The server accepted an attempt. Lines are relayed in both directions from now on.
    AttemptAccepted {
        /// The connection.
        connection: ConnectionId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// An attempt ended.
    AttemptEnded {
        /// The connection.
        connection: ConnectionId,
        /// Number of the attempt.
        attempt: u32,
        /// How it ended.
        end: AttemptOutcome,
    },
    /// A client's line was forwarded to the server of an established connection.
    LineForwarded {
        /// The connection.
        connection: ConnectionId,
    },
    /// The server of an established connection sent something.
    ServerActivity {
        /// The connection.
        connection: ConnectionId,
    },
    /// The server sent a load report for a connection.
    LoadReported {
        /// The connection.
        connection: ConnectionId,
        /// The connection's load in microseconds of work a second. Where the settings have servers report that, it may
        /// also be the time that a message takes at the server, in milliseconds.
        load: f64,
    },
    /// The state that an earlier process stored was read.
    StateRestored {
        /// Entries of the replicated map, by key.
        entries: Vec<(String, Entry)>,
        /// Names of servers that an operator excluded without a replicated map.
        excluded_by_operator: Vec<String>,
    },
    /// An endpoint list of before the start was read. It may be out of date.
    CachedEndpoints {
        /// The pool.
        pool: PoolId,
        /// All servers of the list.
        endpoints: Vec<Endpoint>,
    },
    /// Discovery sent an update of an endpoint list, or the operator's file was read.
    EndpointsUpdated {
        /// The pool.
        pool: PoolId,
        /// Whether the update is a snapshot of the list, or else a delta.
        is_snapshot: bool,
        /// The listed or changed servers.
        endpoints: Vec<Endpoint>,
    },
    /// Another balancer of the tier sent an observation.
    GossipReceived {
        /// The pool that it concerns.
        pool: PoolId,
        /// The message.
        message: GossipMessage,
    },
    /// A health check of a server ended.
    ProbeCompleted {
        /// The server's pool.
        pool: PoolId,
        /// The server.
        server: ServerId,
        /// How it ended.
        end: ProbeEnd,
    },
    /// The watch on a pool's endpoint list broke, or could not be established.
    EndpointWatchLost {
        /// The pool.
        pool: PoolId,
        /// What is known of discovery by that.
        failure: WatchFailure,
    },
    /// A poll of a pool's endpoint list had no answer in time. The driver repeats it.
    EndpointWatchSilent {
        /// The pool.
        pool: PoolId,
        /// How long ago the poll was sent.
        called_ago: Micros,
    },
    /// A message of another replica or of an operator's command arrived.
    ReplicaMessage {
        /// Its sender.
        from: SocketAddr,
        /// The message.
        message: ReplicaMessage,
    },
    /// The configuration was read again.
    ConfigurationChanged {
        /// The pools, in their old order.
        pools: Vec<PoolConfig>,
        /// The other replicas.
        peers: Vec<SocketAddr>,
        /// The limits of all fronts together.
        budget: Budget,
    },
    /// The fronts listen.
    Listening,
    /// A successor started and requests this process's state.
    SuccessorStarted,
    /// The successor serves.
    SuccessorReady,
    /// The successor has the sockets of an established connection.
    ConnectionTransferred {
        /// The connection.
        connection: ConnectionId,
    },
    /// The predecessor's state arrived.
    ImportState(Box<HandoverState>),
    /// An established connection arrived from the predecessor.
    ConnectionReceived {
        /// Its id in this process.
        connection: ConnectionId,
        /// Its pool.
        pool: PoolId,
        /// The state with which the predecessor transferred it.
        established: EstablishedConnection,
    },
    /// The peer process of a hot restart ended, or the link to it broke.
    PeerProcessLost,
    /// An operator excluded or readmitted a server at the peer process.
    ExclusionShared {
        /// Name of the server.
        server: String,
        /// Whether it is excluded now.
        excluded: bool,
    },
    /// The peer process has applied an exclusion that was shared with it.
    ExclusionAcknowledged {
        /// The admin client whose reply waits for the acknowledgement.
        admin_client: AdminClientId,
    },
    /// An admin client called.
    AdminRequest {
        /// The client, for the reply.
        admin_client: AdminClientId,
        /// The call.
        call: AdminCall,
    },
    /// A graceful shutdown was requested.
    ShutdownRequested,
    /// The time of [`super::State::next_deadline`] has been reached.
    TimerFired,
}
