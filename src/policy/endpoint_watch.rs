//! The watch on the endpoint list: when to ask for it again, and for how long what it brought may be used.
//!
//! A watch that has fallen silent looks like one on which nothing happens. What it misses counts as notified
//! [`NOTIFICATION_TIMEOUT`] after it fell silent, and from then on each listed server may be one that drains.
//! So a list is a lease: each answer of discovery renews it, and without one it expires. Where discovery is
//! down nothing changes that could count, and the old list stays in use.

use super::*;

/// What discovery changes counts as notified after this long, whether or not it arrived.
const NOTIFICATION_TIMEOUT: Micros = Micros::from_secs(6);
/// After so many failures in a row the wait for the endpoint list grows no more.
const MAX_BACKOFF_FAILURES: u32 = 6;

/// Whether the endpoint list may have missed changes that count.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Lease {
    /// No watch tells: there never was an answer, or the watch ended, as it does when discovery goes down.
    #[default]
    Unwatched,
    /// Discovery has answered, and what it lists later comes on a watch.
    Confirmed { at: Time },
    /// The watch gave no answer when it was due.
    Silent { since: Time, discovery_is_up: bool },
}

impl Lease {
    fn expires_at(self) -> Option<Time> {
        match self {
            Lease::Confirmed { at: since } | Lease::Silent { since, discovery_is_up: true } => {
                Some(since.plus(NOTIFICATION_TIMEOUT))
            }
            Lease::Unwatched | Lease::Silent { discovery_is_up: false, .. } => None,
        }
    }
}

/// The state of the watch.
#[derive(Default)]
pub(super) struct EndpointWatch {
    /// When to ask for the endpoint list again.
    pub(super) due: Option<Time>,
    consecutive_failures: u32,
    lease: Lease,
}

impl EndpointWatch {
    /// A watch that is to be opened at `due`.
    pub(super) fn opening_at(due: Option<Time>) -> EndpointWatch {
        EndpointWatch { due, ..EndpointWatch::default() }
    }

    pub(super) fn on_list_applied(&mut self) {
        self.consecutive_failures = 0;
    }
}

impl Balancer {
    pub(super) fn on_endpoint_list_confirmed(&mut self) {
        self.endpoint_watch.lease = Lease::Confirmed { at: self.now };
    }

    /// Where lists are pushed, the agent is silent as well while discovery is down: that is assumed until it
    /// answers.
    pub(super) fn on_endpoint_watch_silent(&mut self, since: Time) {
        let discovery_is_up = !self.settings.endpoints_pushed;
        let since = match self.endpoint_watch.lease {
            Lease::Confirmed { at: earlier } | Lease::Silent { since: earlier, .. } => since.min(earlier),
            Lease::Unwatched => since,
        };
        self.endpoint_watch.lease = Lease::Silent { since, discovery_is_up };
    }

    /// Asks again after a growing, jittered wait, the longer the more balancers may have failed as well:
    /// calls are served in turn, and calls that come again before that delay each other without end.
    pub(super) fn on_endpoint_watch_failed(&mut self, failure: WatchFailure) {
        self.note_failure_in_lease(failure);
        if self.settings.poll_required {
            let Backoff { initial, max } = self.settings.endpoint_watch_backoff();
            let failures = self.endpoint_watch.consecutive_failures.min(MAX_BACKOFF_FAILURES);
            let wait = jittered_backoff(&mut self.rng, initial, failures, max);
            self.endpoint_watch.consecutive_failures += 1;
            self.endpoint_watch.due = Some(self.now.plus(wait));
        }
    }

    fn note_failure_in_lease(&mut self, failure: WatchFailure) {
        let Lease::Silent { discovery_is_up, .. } = &mut self.endpoint_watch.lease else {
            self.endpoint_watch.lease = Lease::Unwatched;
            return;
        };
        *discovery_is_up = match failure {
            WatchFailure::Unreachable => false,
            WatchFailure::Unanswered => !self.settings.endpoints_pushed,
            WatchFailure::Rejected => true,
        };
    }

    /// Until when the endpoint list may be used; none where it does not expire.
    pub fn endpoint_list_expires_at(&self) -> Option<Time> {
        self.endpoint_watch.lease.expires_at()
    }

    pub(super) fn endpoint_list_time_left(&self) -> Option<Micros> {
        self.endpoint_list_expires_at().map(|at| at.since(self.now))
    }

    pub(super) fn is_endpoint_list_expired(&self) -> bool {
        self.endpoint_list_time_left() == Some(Micros::ZERO)
    }
}
