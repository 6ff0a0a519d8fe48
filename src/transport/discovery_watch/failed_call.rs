//! A failed call of discovery, and the state of discovery that the failure indicates.
//!
//! An overloaded discovery and one that is down fail calls with the same statuses and resets. A call that waits
//! before it fails may have waited for its turn, so discovery is assumed to run. A call that fails at once has not
//! waited, so discovery is assumed to be down. Both assumptions can be wrong: a discovery that is down may fail
//! calls late, and an overloaded one may reject them at once.

use std::io::ErrorKind;
use std::time::Duration;

use tokio::time::Instant;

use super::error::DiscoveryError;
use crate::WatchFailure;

/// Longest time from a request to a failure that counts as immediate.
pub(super) const MAX_IMMEDIATE_FAILURE_TIME: Duration = Duration::from_millis(300);

/// The exchange of a request and its answer.
#[derive(Clone, Copy, Debug)]
pub(super) struct Exchange {
    /// Time at which the exchange was started.
    pub(super) started_at: Instant,
    /// Whether the exchange continues a watch: its call is held, and directly follows a list or its changes.
    pub(super) continues_watch: bool,
    /// Whether the request was written, and then had no answer for [`MAX_IMMEDIATE_FAILURE_TIME`]. Time in
    /// which this process was held up does not count.
    pub(super) has_waited: bool,
}

impl Exchange {
    pub(super) fn start(continues_watch: bool) -> Exchange {
        Exchange { started_at: Instant::now(), continues_watch, has_waited: false }
    }
}

/// A call that failed.
#[derive(Debug)]
pub(super) struct FailedCall {
    pub(super) error: DiscoveryError,
    /// The exchange in which the call failed.
    pub(super) exchange: Exchange,
    /// Time from the start of that exchange to the failure.
    pub(super) waited: Duration,
}

impl FailedCall {
    /// Classifies the failure for the reducer.
    pub(super) fn watch_failure(&self) -> WatchFailure {
        match &self.error {
            DiscoveryError::NotConnected { .. } => WatchFailure::Unreachable,
            DiscoveryError::Connect(error) if error.kind() == ErrorKind::ConnectionRefused => {
                WatchFailure::Unreachable
            }
            DiscoveryError::TimedOut { .. } => WatchFailure::Unanswered,
            error if !error.may_be_outage() => WatchFailure::Rejected,
            _ if !self.exchange.has_waited => WatchFailure::Unavailable,
            _ if self.exchange.continues_watch => WatchFailure::WatchEnded,
            _ => WatchFailure::Rejected,
        }
    }
}
