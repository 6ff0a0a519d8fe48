//! The lease on the endpoint list: for how long the list may be used without an answer of discovery.
//!
//! **What is decided.** Whether the list has expired. While it is expired, new requests and retries are
//! refused with [`RefusalReason::EndpointListExpired`](crate::RefusalReason::EndpointListExpired), no
//! connection is migrated for load, and no server is probed. Established connections are kept. An attempt
//! whose request is not written before the list expires is withdrawn.
//!
//! **Inputs.** Each answer of discovery, with or without a change (a confirmation); a watch without an answer
//! when one was expected, with the time of its call; a failed call, with the state of discovery that the
//! failure indicates.
//!
//! **Rule.** A confirmation starts a lease of 6 s. A watch that becomes silent does not renew the lease,
//! which then counts from the earlier of the watch's call and the last confirmation. The list does not expire
//!
//! - before the first answer of discovery, unless a watch becomes silent;
//! - after a failed call on a watch that was not silent. A watch also fails in this way when discovery goes
//!   down; it is then reopened after a backoff;
//! - while the silence of a watch has an explanation: calls are refused or not connected, or, where lists are
//!   pushed to an agent, the agent does not answer.
//!
//! **Why.** A silent watch looks the same as a watch without changes. Each change that discovery lists
//! counts as notified 6 s later, whether or not it has arrived here. From then on each server of the old list
//! may be draining, and attempts at a draining server must end within the drain grace. While discovery is
//! down it lists no changes, so no newer list exists than the old one.

use crate::types::{Micros, Time, WatchFailure};

/// Time after which a change that discovery lists counts as notified, whether or not it has arrived.
pub const NOTIFICATION_TIMEOUT: Micros = Micros::from_secs(6);

/// State of the lease: whether the endpoint list may lack changes that count as notified.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointLease {
    /// The list does not expire: discovery has not answered yet, or a call failed while the watch was not
    /// silent, which also happens when discovery goes down.
    #[default]
    Inactive,
    /// Discovery has answered, and later changes arrive on a watch.
    Confirmed {
        /// Time of the answer.
        at: Time,
    },
    /// The watch had no answer when one was expected.
    Silent {
        /// Time from which changes may be missing.
        since: Time,
        /// Whether discovery is assumed to be running.
        discovery_is_up: bool,
    },
}

impl EndpointLease {
    /// Starts a lease when discovery has answered.
    pub fn on_confirmed(&mut self, now: Time) {
        *self = EndpointLease::Confirmed { at: now };
    }

    /// Records that the watch whose call was made at `called_at` had no answer. Where lists are pushed to an
    /// agent (`is_pushed`), the agent is silent while discovery is down. Discovery is then assumed to be down
    /// until the agent answers.
    pub fn on_watch_silent(&mut self, called_at: Time, is_pushed: bool) {
        let since = match *self {
            EndpointLease::Confirmed { at: earlier } | EndpointLease::Silent { since: earlier, .. } => {
                called_at.min(earlier)
            }
            EndpointLease::Inactive => called_at,
        };
        *self = EndpointLease::Silent { since, discovery_is_up: !is_pushed };
    }

    /// Records a failed call. A silent watch is still silent, but the failure shows whether discovery is
    /// running. Any other watch has ended.
    pub fn on_watch_failed(&mut self, failure: WatchFailure, is_pushed: bool) {
        let EndpointLease::Silent { discovery_is_up, .. } = self else {
            *self = EndpointLease::Inactive;
            return;
        };
        *discovery_is_up = match failure {
            WatchFailure::Unreachable => false,
            WatchFailure::Unanswered => !is_pushed,
            WatchFailure::Rejected => true,
        };
    }

    /// Returns the time until which the list may be used; none if it does not expire.
    pub fn expires_at(self) -> Option<Time> {
        match self {
            EndpointLease::Confirmed { at: since }
            | EndpointLease::Silent { since, discovery_is_up: true } => {
                Some(since.plus(NOTIFICATION_TIMEOUT))
            }
            EndpointLease::Inactive | EndpointLease::Silent { discovery_is_up: false, .. } => None,
        }
    }

    /// Returns the time for which the list may still be used; none if it does not expire.
    pub fn time_left(self, now: Time) -> Option<Micros> {
        self.expires_at().map(|at| at.since(now))
    }

    /// Returns whether the list has expired and must not be used.
    pub fn is_expired(self, now: Time) -> bool {
        self.time_left(now) == Some(Micros::ZERO)
    }
}
