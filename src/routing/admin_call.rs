//! Calls of admin clients and the replies to them.

use std::fmt;

use super::Metrics;

/// What an operator calls for at the admin endpoint.
#[derive(Clone, Debug, PartialEq)]
pub enum AdminCall {
    /// Whether this process can serve.
    Ready,
    /// The metrics.
    Telemetry,
    /// Exclude the server of this name.
    Exclude(String),
    /// Readmit the server of this name.
    Include(String),
}

/// The reply to an [`AdminCall`].
#[derive(Clone, Debug, PartialEq)]
pub enum AdminResponse {
    /// The process is ready, or the change took effect.
    Yes,
    /// Not so, and why.
    No(AdminRejection),
    /// The metrics as they are now.
    Metrics(Metrics),
}

/// Why a call is answered with no. The texts go over the wire and are part of the admin protocol.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdminRejection {
    /// A graceful shutdown has begun.
    ShuttingDown,
    /// The successor of a hot restart serves.
    ReplacedBySuccessor,
    /// The fronts do not listen yet.
    NotListening,
    /// Some pool has no endpoint list yet.
    NoEndpointList,
    /// Exclusions are not taken before the fronts listen.
    NotReady,
    /// No endpoint list ever named this server.
    UnknownServer(String),
    /// The replicated map takes no more entries.
    StoreFull,
    /// The process ended before it replied.
    NoReply,
    /// The line is no call; the text says what is expected.
    InvalidCall(String),
}

impl fmt::Display for AdminRejection {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            AdminRejection::ShuttingDown => write!(formatter, "leaving"),
            AdminRejection::ReplacedBySuccessor => write!(formatter, "another process serves in its place"),
            AdminRejection::NotListening => write!(formatter, "not listening yet"),
            AdminRejection::NoEndpointList => write!(formatter, "no routing table yet"),
            AdminRejection::NotReady => write!(formatter, "not ready yet"),
            AdminRejection::UnknownServer(server) => write!(formatter, "no host {server} was ever listed"),
            AdminRejection::StoreFull => write!(formatter, "the store is full"),
            AdminRejection::NoReply => write!(formatter, "no answer"),
            AdminRejection::InvalidCall(expected) => write!(formatter, "{expected}"),
        }
    }
}
