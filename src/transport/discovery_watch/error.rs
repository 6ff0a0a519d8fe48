//! Errors of calls to discovery.

use std::io::{self, ErrorKind};
use std::time::Duration;

use thiserror::Error;

use crate::protocol::http::HttpError;
use crate::protocol::json::DecodeError;

/// HTTP statuses of a service that is down, or of a gateway before it.
const UNAVAILABLE_STATUSES: [u16; 3] = [502, 503, 504];

/// Why a call to discovery failed.
#[derive(Debug, Error)]
pub(super) enum DiscoveryError {
    /// Discovery did not answer before the timeout of the call.
    #[error("discovery did not answer within {} ms", .call_timeout.as_millis())]
    TimedOut {
        /// Timeout of the call.
        call_timeout: Duration,
    },
    /// No connection was established in time.
    #[error("no connection to discovery was established within {} ms", .timeout.as_millis())]
    NotConnected {
        /// Timeout of the connect, or of the call.
        timeout: Duration,
    },
    /// The connection cannot be established.
    #[error("cannot connect to discovery: {0}")]
    Connect(#[source] io::Error),
    /// A read or write on the connection failed before the answer.
    #[error("connection to discovery failed: {0}")]
    Socket(#[from] io::Error),
    /// A read on the connection failed in the middle of the answer.
    #[error("connection to discovery failed after {received} bytes of an incomplete answer: {source}")]
    Interrupted {
        /// Bytes of the answer that were received.
        received: usize,
        /// Error of the read.
        source: io::Error,
    },
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
    /// Returns the error of a read that failed after `received` bytes of the answer.
    pub(super) fn reading(source: io::Error, received: usize) -> DiscoveryError {
        match received {
            0 => DiscoveryError::Socket(source),
            received => DiscoveryError::Interrupted { received, source },
        }
    }

    /// Returns whether calls fail in this way while discovery is down. They also do so while it is overloaded.
    pub(super) fn may_be_outage(&self) -> bool {
        match self {
            DiscoveryError::Socket(_) | DiscoveryError::Closed { received: 0 } => true,
            DiscoveryError::Status { status } => UNAVAILABLE_STATUSES.contains(status),
            // Other connect errors can be caused by transient faults of this machine.
            DiscoveryError::Connect(error) => {
                matches!(error.kind(), ErrorKind::HostUnreachable | ErrorKind::NetworkUnreachable)
            }
            _ => false,
        }
    }
}
