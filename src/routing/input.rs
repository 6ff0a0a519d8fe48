//! What happens outside of the reducer.

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
    /// All that the client has sent was read, and there was no request: see [`super::Effect::CheckHandshake`].
    HandshakeTimedOut {
        /// The connection.
        connection: ConnectionId,
    },
    /// A client left.
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
    /// The server accepted: lines are forwarded both ways from here on.
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
    /// A line went to the server of an established connection.
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
        /// Its load in microseconds of work a second; or, where the settings have servers report that, the
        /// milliseconds that a message takes there.
        load: f64,
    },
    /// What an earlier process stored was read back.
    StateRestored {
        /// Entries of the replicated map, by key.
        entries: Vec<(String, Entry)>,
        /// Servers excluded by an operator, where no replicated map holds that.
        excluded_by_operator: Vec<String>,
    },
    /// An endpoint list from before the start, which may be out of date.
    CachedEndpoints {
        /// The pool.
        pool: PoolId,
        /// All servers of the list.
        endpoints: Vec<Endpoint>,
    },
    /// Discovery sent an endpoint list or a change of it.
    EndpointsUpdated {
        /// The pool.
        pool: PoolId,
        /// Whether this is the whole list, or only what changed.
        is_snapshot: bool,
        /// The servers listed or changed.
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
        /// What that shows of discovery.
        failure: WatchFailure,
    },
    /// A call that watches a pool's endpoint list was not answered when it was due; it is made anew.
    EndpointWatchSilent {
        /// The pool.
        pool: PoolId,
        /// How long ago the call was made.
        called_ago: Micros,
    },
    /// Another replica, or an operator's command, sent this.
    ReplicaMessage {
        /// Its sender.
        from: SocketAddr,
        /// The message.
        gossip: ReplicaMessage,
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
    /// The sockets of an established connection are with the successor.
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
        /// What the predecessor knew of it.
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
    /// The peer process has taken in an exclusion that was shared with it.
    ExclusionAcknowledged {
        /// The admin client that waits for that.
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
    /// The time of [`super::State::next_due`] has come.
    TimerFired,
}
