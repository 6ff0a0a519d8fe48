//! Calls of admin clients, and the replies to them.
//!
//! Their encoding is in `src/protocol/admin.rs`, except for the texts of [`AdminRejection`].

use super::store::WriteError;
use super::Metrics;

/// A call of an operator at the admin endpoint.
#[derive(Clone, Debug, PartialEq)]
pub enum AdminCall {
    /// Asks whether this process can serve.
    Ready,
    /// Requests the metrics.
    Metrics,
    /// Excludes the server of this name.
    Exclude(String),
    /// Readmits the server of this name.
    Readmit(String),
}

/// The reply to an [`AdminCall`].
#[derive(Clone, Debug, PartialEq)]
pub enum AdminResponse {
    /// The process is ready, or the change took effect.
    Yes,
    /// The process is not ready, or the change was rejected.
    No(AdminRejection),
    /// The metrics as they are now.
    Metrics(Metrics),
}

/// Why a call is answered with no. The texts go over the wire and are part of the admin protocol.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AdminRejection {
    /// A graceful shutdown has begun.
    #[error("leaving")]
    ShuttingDown,
    /// The successor of a hot restart serves.
    #[error("another process serves in its place")]
    ReplacedBySuccessor,
    /// The fronts do not listen yet.
    #[error("not listening yet")]
    NotListening,
    /// Some pool has no endpoint list yet.
    #[error("no routing table yet")]
    NoEndpointList,
    /// Exclusions are not accepted before the fronts listen.
    #[error("not ready yet")]
    NotReady,
    /// No endpoint list ever named this server.
    #[error("no host {0} was ever listed")]
    UnknownServer(String),
    /// The replicated map cannot take the exclusion.
    #[error("the store is full")]
    NotStored(#[source] WriteError),
    /// The process ended before it replied.
    #[error("no answer")]
    NoReply,
    /// The line is no call. The text says what is expected.
    #[error("{0}")]
    InvalidCall(String),
}
