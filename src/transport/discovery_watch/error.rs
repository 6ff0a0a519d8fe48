//! Errors of calls to discovery, and how the reducer classifies them.

use std::io;
use std::time::Duration;

use thiserror::Error;

use crate::protocol::http::HttpError;
use crate::protocol::json::DecodeError;
use crate::WatchFailure;

/// Why a call to discovery failed.
#[derive(Debug, Error)]
pub(super) enum DiscoveryError {
    /// Discovery did not answer before the timeout of the call.
    #[error("discovery did not answer within {} ms", .call_timeout.as_millis())]
    TimedOut {
        /// Timeout of the call.
        call_timeout: Duration,
    },
    /// No connection was established before the timeout of the call.
    #[error("no connection to discovery was established within {} ms", .call_timeout.as_millis())]
    NotConnected {
        /// Timeout of the call, which includes the connect.
        call_timeout: Duration,
    },
    /// The connection cannot be established.
    #[error("cannot connect to discovery: {0}")]
    Connect(#[source] io::Error),
    /// A read or write on the connection failed.
    #[error("connection to discovery failed: {0}")]
    Socket(#[from] io::Error),
    /// Discovery closed the connection before its answer was complete.
    #[error("discovery closed the connection after {received} bytes of an incomplete answer")]
    Closed {
        /// Bytes of the answer that were received.
        received: usize,
    },
    /// The HTTP status of the answer is not 200.
    #[error("discovery answered with HTTP status {status}")]
    Status {
        /// HTTP status of the answer.
        status: u16,
    },
    /// The answer is not a valid HTTP response.
    #[error("{0}")]
    Malformed(#[source] HttpError),
    /// The answer is longer than the memory of the process allows.
    #[error("discovery: response of at least {received} bytes exceeds the limit of {limit}")]
    TooLong {
        /// Bytes of the answer that were received.
        received: usize,
        /// Limit of the length, in bytes.
        limit: usize,
    },
    /// The body of the answer is not a valid endpoint list.
    #[error("{0}")]
    InvalidList(#[source] DecodeError),
    /// The answer contains a delta, but the call requested a snapshot. There is no list that the delta could
    /// be applied to.
    #[error("discovery answered with a delta of generation {generation} where a snapshot was requested")]
    UnexpectedDelta {
        /// Generation of the list after the delta.
        generation: u64,
    },
}

impl DiscoveryError {
    /// Classifies the error for the reducer. Discovery counts as unreachable only if there is no other
    /// explanation for the error: most connect errors can be caused by transient faults of this machine.
    pub(super) fn watch_failure(&self) -> WatchFailure {
        match self {
            DiscoveryError::NotConnected { .. } => WatchFailure::Unreachable,
            DiscoveryError::Connect(error) if error.kind() == io::ErrorKind::ConnectionRefused => {
                WatchFailure::Unreachable
            }
            DiscoveryError::TimedOut { .. } => WatchFailure::Unanswered,
            _ => WatchFailure::Rejected,
        }
    }
}
