//! Why a call to discovery failed, and what that shows of discovery.

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
    #[error("discovery hung up")]
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
    /// The answer holds changes, and there is no list that they could apply to.
    #[error("discovery: changes where the whole list was asked for")]
    UnexpectedChanges,
}

impl DiscoveryError {
    /// What the error shows of discovery. Only what nothing but its absence explains counts as that: other
    /// errors of a connect may be this machine's own, and pass in a moment.
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
