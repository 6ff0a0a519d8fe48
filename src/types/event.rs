//! Events that the host reports to the balancer.

use super::{
    ClassId, EndpointEntry, GroupHash, GroupId, LoadReport, Measurement, Micros, RequestId, ServerId,
    TenantId, Time,
};

/// Result of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The server answered the request: it established the connection, or sent its own final answer. For an
    /// established connection: it ended normally.
    Ok,
    /// The server answered with an error. The request may have run.
    Error,
    /// The server rejected the request without running it.
    Rejected,
    /// The server did not answer within the timeout. The request may have run.
    TimedOut,
    /// The request was not written in full: no connection to the server could be opened in time, or the
    /// connection broke before.
    ConnectFailed,
    /// The connection broke: the server dropped it, or the server was lost. The request may have run.
    Reset,
    /// The attempt was cancelled. For an established connection: it ended without a fault of the server, for
    /// example because the client left or was asked to reconnect. The request may have run.
    Cancelled,
    /// The request was never sent.
    NotSent,
}

impl Outcome {
    /// Returns whether this outcome proves that the attempt had no effect.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent)
    }
}

/// State of discovery that a failed call for the endpoint list indicates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchFailure {
    /// Discovery is down: it refuses connections, or connections are not established.
    Unreachable,
    /// The call failed at once, as calls do while discovery is down: with an answer that a service sends when
    /// it is unavailable, or because the connection broke before an answer.
    Unavailable,
    /// A call that discovery held failed in the same way, after a while. Either discovery has gone down, or
    /// only this call was ended.
    WatchEnded,
    /// Discovery accepted the call and did not answer in time.
    Unanswered,
    /// Any other failure: the call had to wait before it failed, or the answer cannot be used. Discovery is
    /// assumed to run, and may have listed changes.
    Rejected,
}

/// Event that the host reports. The host reports events in the order in which they happen.
#[derive(Clone, Copy, Debug)]
pub enum Event<'a> {
    /// Complete endpoint list; at startup possibly a cached one. A server missing from it is gone.
    EndpointListReplaced(&'a [EndpointEntry]),
    /// Changed entries of the endpoint list.
    EndpointListChanged(&'a [EndpointEntry]),
    /// Discovery has answered: the endpoint list is up to date.
    EndpointListConfirmed,
    /// The host has begun to watch the endpoint list, which may be a cached one.
    EndpointWatchStarted,
    /// Discovery has a new address. Calls at the old address are not reported from now on.
    DiscoveryAddressChanged,
    /// A watch on the endpoint list was not answered when an answer was due.
    EndpointWatchSilent {
        /// Time at which the unanswered call was made.
        called_at: Time,
    },
    /// A call for the endpoint list failed, or the connection of a watch broke. The previous list is
    /// kept.
    EndpointWatchFailed {
        /// State of discovery that the failure indicates.
        failure: WatchFailure,
        /// Time at which the failed call was made, or was repeated on a new connection.
        called_at: Time,
    },
    /// A client requests a connection. The balancer answers the request at most once, by
    /// [`Action::Reject`](crate::Action::Reject) or [`Action::Fail`](crate::Action::Fail): not at all if a
    /// server answers it, or if the client leaves first.
    RequestArrived {
        /// Number of the new request.
        request: RequestId,
        /// Class of the request.
        class: ClassId,
        /// Tenant of the request, if any. No decision uses it.
        tenant: Option<TenantId>,
        /// Group of the connection, if any.
        group: Option<GroupId>,
        /// Usual load of the connection in microseconds of work per second; `None` if unknown.
        load: Option<f64>,
        /// Time at which the client stops waiting.
        deadline: Time,
    },
    /// A connection had been established before the balancer started. Its attempt 0 counts as sent.
    EstablishedConnectionAdded {
        /// Request from which the connection was established.
        request: RequestId,
        /// Class of the request.
        class: ClassId,
        /// Tenant of the request, if any. No decision uses it.
        tenant: Option<TenantId>,
        /// Group of the connection, if any.
        group: Option<GroupId>,
        /// Usual load of the connection in microseconds of work per second; `None` if unknown.
        load: Option<f64>,
        /// Server at which the connection is established.
        server: ServerId,
    },
    /// The connection of an attempt was established, which answers the request.
    ConnectionEstablished {
        /// Request that the attempt serves.
        request: RequestId,
        /// Number of the attempt, from 0.
        attempt: u32,
    },
    /// A load or a message time was measured on an established connection.
    ConnectionMeasured {
        /// Request from which the connection was established.
        request: RequestId,
        /// Measured value.
        measurement: Measurement,
    },
    /// An attempt ended. Each attempt ends with exactly one such event.
    AttemptEnded {
        /// Request that the attempt serves.
        request: RequestId,
        /// Number of the attempt, from 0.
        attempt: u32,
        /// Result of the attempt.
        outcome: Outcome,
        /// Whether the request has its final answer, by this event or an earlier one.
        answered: bool,
    },
    /// The client left. Its request needs no answer any more.
    ClientLeft {
        /// Request of the client.
        request: RequestId,
    },
    /// Another balancer observed a fault of a server.
    PeerObservation {
        /// Server that the observation is about.
        server: ServerId,
        /// Time that a message takes at the server; `None` if the server dropped a connection.
        message_time: Option<Micros>,
    },
    /// Another balancer observed a slow connection setup or a correlated failure, which is taken as a sign of
    /// a cause that all servers share.
    PeerObservedSlowSetups,
    /// Another balancer sent the groups of some of its established connections, drawn at random.
    PeerGroupSample(&'a [Option<GroupHash>]),
    /// A timer set by [`Action::SetTimer`](crate::Action::SetTimer) fired.
    TimerFired,
    /// A probe ended.
    ProbeCompleted {
        /// Probed server.
        server: ServerId,
        /// Result of the probe.
        outcome: Outcome,
        /// Load report in the answer, if any.
        report: Option<LoadReport>,
    },
}
