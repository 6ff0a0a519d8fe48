//! Calls of admin clients, and the replies to them.
//!
//! `src/protocol/admin.rs` encodes them; only the texts of [`AdminRejection`] are defined here.

use super::store::WriteError;
use super::Metrics;

/// A call of an operator at the admin endpoint.
#[derive(Clone, Debug, PartialEq)]
pub enum AdminCall {
    /// Requests the readiness of this process.
    Readiness,
    /// Requests the current metrics.
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
    /// Metrics at the time of the call.
    Metrics(Metrics),
}

/// Reason for the answer `NO`. The texts are sent to the admin client and are part of the admin protocol.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AdminRejection {
    /// A graceful shutdown has begun. "Leaving" means shutting down.
    #[error("leaving")]
    ShuttingDown,
    /// The successor of a hot restart serves. It is the other process in the text.
    #[error("another process serves in its place")]
    ReplacedBySuccessor,
    /// The fronts do not listen yet.
    #[error("not listening yet")]
    NotListening,
    /// At least one pool has no endpoint list yet. The text calls the list a routing table.
    #[error("no routing table yet")]
    NoEndpointList,
    /// The replicated map is receiving the entries that this process missed before its start.
    #[error("the store is not caught up with its peers yet")]
    CatchingUp,
    /// Exclusions are not accepted before the fronts listen. The condition is that of
    /// [`AdminRejection::NotListening`], which answers a call for the readiness.
    #[error("not ready yet")]
    ExclusionsNotAccepted,
    /// No endpoint list has ever contained a server of this name. The text calls the server a host.
    #[error("no host {0} was ever listed")]
    UnknownServer(String),
    /// The replicated map rejected the exclusion. The text names a full map for each [`WriteError`]; the map
    /// may instead have rejected the entry as invalid, for example because the server's name is too long.
    #[error("the store is full")]
    NotStored(#[source] WriteError),
    /// The process ended before it replied.
    #[error("no answer")]
    NoReply,
    /// The line is not a valid call. The text names the valid ones.
    #[error("{0}")]
    InvalidCall(String),
}
