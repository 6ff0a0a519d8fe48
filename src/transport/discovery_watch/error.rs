//! Errors of calls to discovery, and how the reducer classifies them.

use std::io;

use thiserror::Error;

use crate::protocol::http::HttpError;
use crate::protocol::json::DecodeError;
use crate::WatchFailure;

/// Why a call to discovery failed.
#[derive(Debug, Error)]
pub(super) enum DiscoveryError {
    /// There was no answer in time.
    #[error("no answer in time")]
    TimedOut,
    /// The connection was not established in time.
    #[error("no connection in time")]
    NotConnected,
    /// The connection cannot be established.
    #[error("discovery: {0}")]
    Connect(#[source] io::Error),
    /// The connection broke.
    #[error("discovery: {0}")]
    Socket(#[from] io::Error),
    /// Discovery closed the connection before its answer was complete.
    #[error("discovery closed the connection")]
    Closed,
    /// The answer is not the list.
    #[error("discovery answered {status}")]
    Status {
        /// Its HTTP status.
        status: u16,
    },
    /// The answer cannot be read.
    #[error("{0}")]
    Malformed(#[source] HttpError),
    /// The endpoint list in the answer cannot be read.
    #[error("{0}")]
    InvalidList(#[source] DecodeError),
    /// The answer holds a delta, and there is no list that it could apply to.
    #[error("discovery: a delta where a snapshot was requested")]
    UnexpectedDelta,
}

impl DiscoveryError {
    /// Classifies the error for the reducer. Discovery counts as unreachable only where nothing else explains
    /// the error: most errors of a connect can be transient faults of this machine.
    pub(super) fn watch_failure(&self) -> WatchFailure {
        match self {
            DiscoveryError::NotConnected => WatchFailure::Unreachable,
            DiscoveryError::Connect(error) if error.kind() == io::ErrorKind::ConnectionRefused => {
                WatchFailure::Unreachable
            }
            DiscoveryError::TimedOut => WatchFailure::Unanswered,
            _ => WatchFailure::Rejected,
        }
    }
}
