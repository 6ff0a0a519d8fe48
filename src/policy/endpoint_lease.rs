//! The lease on the endpoint list: for how long the list may be used without an answer of discovery.
//!
//! **What is decided.** Whether the list has expired. While it has, new requests and retries are refused with
//! [`RefusalReason::EndpointListExpired`](crate::RefusalReason::EndpointListExpired), nobody is migrated for
//! load and no server is probed; established connections stay. An attempt whose request is not written before
//! the list expires is taken back.
//!
//! **Inputs.** Each answer of discovery, with or without a change (a confirmation); a watch that gave no
//! answer when one was expected, with the time of its call; a failed call, with what it shows of discovery.
//!
//! **Rule.** A confirmation begins a lease of 6 s. A watch that falls silent leaves the lease to run out,
//! counted from the earlier of its call and the last confirmation. The list does not expire
//!
//! - before discovery has answered at all;
//! - after a failed call on a watch that was not silent: a watch also ends so when discovery goes down. It is
//!   opened anew after a backoff;
//! - while a silent watch has an explanation: calls are refused or not connected, or, where lists are pushed,
//!   the agent gives no answer.
//!
//! **Why.** A watch that has fallen silent looks like one on which nothing happens. Whatever discovery lists
//! counts as notified 6 s later, whether or not it arrived; from then on each listed server may be one that
//! drains. While discovery is down it lists nothing new, and the old list is as good as any.

use crate::types::{Micros, Time, WatchFailure};

/// What discovery lists counts as notified after this time, whether or not it arrived.
pub const NOTIFICATION_TIMEOUT: Micros = Micros::from_secs(6);

/// Whether the endpoint list may have missed changes that count as notified.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointLease {
    /// Nothing expires: there was no answer yet, or the watch has ended, as it does when discovery goes down.
    #[default]
    Unwatched,
    /// Discovery has answered, and what it lists later comes on a watch.
    Confirmed {
        /// When it answered.
        at: Time,
    },
    /// The watch gave no answer when one was expected.
    Silent {
        /// From when on changes may be missing.
        since: Time,
        /// Whether discovery is taken to run.
        discovery_is_up: bool,
    },
}

impl EndpointLease {
    /// Discovery has answered.
    pub fn on_confirmed(&mut self, now: Time) {
        *self = EndpointLease::Confirmed { at: now };
    }

    /// The watch whose call was made at `called_at` gave no answer. Where lists are pushed to an agent, the
    /// agent is silent while discovery is down: that is assumed until the agent answers.
    pub fn on_watch_silent(&mut self, called_at: Time, is_pushed: bool) {
        let since = match *self {
            EndpointLease::Confirmed { at: earlier } | EndpointLease::Silent { since: earlier, .. } => {
                called_at.min(earlier)
            }
            EndpointLease::Unwatched => called_at,
        };
        *self = EndpointLease::Silent { since, discovery_is_up: !is_pushed };
    }

    /// A call failed. A silent watch stays silent, but the failure shows whether discovery runs; any other
    /// watch has ended.
    pub fn on_watch_failed(&mut self, failure: WatchFailure, is_pushed: bool) {
        let EndpointLease::Silent { discovery_is_up, .. } = self else {
            *self = EndpointLease::Unwatched;
            return;
        };
        *discovery_is_up = match failure {
            WatchFailure::Unreachable => false,
            WatchFailure::Unanswered => !is_pushed,
            WatchFailure::Rejected => true,
        };
    }

    /// Until when the list may be used; none where it does not expire.
    pub fn expires_at(self) -> Option<Time> {
        match self {
            EndpointLease::Confirmed { at: since }
            | EndpointLease::Silent { since, discovery_is_up: true } => {
                Some(since.plus(NOTIFICATION_TIMEOUT))
            }
            EndpointLease::Unwatched | EndpointLease::Silent { discovery_is_up: false, .. } => None,
        }
    }

    /// How long the list may still be used; none where it does not expire.
    pub fn time_left(self, now: Time) -> Option<Micros> {
        self.expires_at().map(|at| at.since(now))
    }

    /// Whether the list may not be used.
    pub fn is_expired(self, now: Time) -> bool {
        self.time_left(now) == Some(Micros::ZERO)
    }
}
