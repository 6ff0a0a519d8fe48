//! The lease on the endpoint list: until when the list may be used without an answer of discovery.
//!
//! **What is decided.** Whether the list has expired. While it is expired, new requests and retries are
//! refused with [`RefusalReason::EndpointListExpired`](crate::RefusalReason::EndpointListExpired), no
//! connection is migrated for load, and no server is probed. Established connections are kept. An attempt
//! whose request is not written before the list expires is withdrawn.
//!
//! **Inputs.** The start of the watch; each answer of discovery, with or without a change (a confirmation);
//! a watch without an answer when one was expected; a failed call, with the state of discovery that the
//! failure indicates; a new address of discovery; the lease of a predecessor. Each with its time and the time
//! of its call, in microseconds.
//!
//! **Rule.** The list expires a fixed time after the last time until which it is known to lack no change.
//! The fixed time is 6 s, and 4 s from a change of discovery's address to the first answer there. The change
//! of the address itself limits the lease to 4 s. The successor of a hot restart continues the lease of its
//! predecessor, for 2 s at most until an answer or an outage. The time until which the list is known to lack
//! no change is
//!
//! - the last answer, or the start of the watch before there is one;
//! - if it is later, and no change may have been missed since the answer, the last call whose failure shows
//!   that discovery is down;
//! - if the watch became silent, the call of the watch, if it is earlier. While an outage explains the
//!   silence, the lease counts from the last call that shows the outage.
//!
//! After a call that waited before it failed, discovery is assumed to run. Only an answer then extends the
//! lease.
//! No failure makes a list that expires one that does not. The section "The lease on the endpoint list" of
//! `docs/design.md` has a table of all states and events. A host that reports neither the start of a watch
//! nor an answer nor a silent watch has a list that does not expire.
//!
//! **Why.** A silent watch looks the same as a watch without changes, and an overloaded discovery fails calls
//! with the same answers as one that is down. Each change that discovery lists counts as notified 6 s later,
//! whether or not it has arrived here. From then on each server of the old list may be draining, and attempts
//! at a draining server must end within the drain grace. While discovery is down it lists no changes, so no
//! newer list exists than the old one. An overloaded discovery lets a call wait for its turn before the call
//! fails. A discovery that is down may do so too, and its list then expires: an overload that is taken for an
//! outage would send requests to draining servers, while the reverse only refuses them.

use crate::types::{EndpointLeaseState, ListContinuity, Micros, Time, WatchFailure};

/// Time after which a change that discovery lists counts as notified, whether or not it has arrived.
pub const NOTIFICATION_TIMEOUT: Micros = Micros::from_secs(6);
/// Time after a change of discovery's address from which the changes that it lists there count as notified.
pub const NEW_ADDRESS_NOTIFICATION_TIMEOUT: Micros = Micros::from_secs(4);
/// Time after the start of a hot restart's successor from which the changes that discovery lists count as
/// notified there.
pub const HOT_RESTART_NOTIFICATION_TIMEOUT: Micros = Micros::from_secs(2);

/// The lease on the endpoint list, and the evidence by which it may be extended.
#[derive(Clone, Copy, Debug)]
pub struct EndpointLease {
    /// Time at which the list expires; none if it does not.
    expires_at: Option<Time>,
    continuity: ListContinuity,
    /// Time until which an outage of discovery explains the silence of the watch. It has no effect unless
    /// the watch is silent.
    outage_expires_at: Option<Time>,
    /// Time for which a call that shows an outage extends the lease.
    extension: Micros,
}

impl Default for EndpointLease {
    /// Creates the lease of a list that does not expire.
    fn default() -> EndpointLease {
        EndpointLease {
            expires_at: None,
            continuity: ListContinuity::Continuous,
            outage_expires_at: None,
            extension: NOTIFICATION_TIMEOUT,
        }
    }
}

impl EndpointLease {
    /// Limits the lease when the first watch on the list starts. The list may be a cached one of unknown age.
    pub fn on_watch_started(&mut self, now: Time) {
        self.limit_to(now.plus(NOTIFICATION_TIMEOUT));
    }

    /// Renews the lease when discovery has answered.
    pub fn on_confirmed(&mut self, now: Time) {
        let expires_at = Some(now.plus(NOTIFICATION_TIMEOUT));
        *self = EndpointLease { expires_at, ..EndpointLease::default() };
    }

    /// Records that the watch whose call was made at `called_at` had no answer. Where lists are pushed to an
    /// agent (`is_pushed`), the agent is silent while discovery is down. Discovery is then assumed to be down
    /// until a call shows the opposite.
    pub fn on_watch_silent(&mut self, now: Time, called_at: Time, is_pushed: bool) {
        self.limit_to(called_at.plus(NOTIFICATION_TIMEOUT));
        self.record_silence();
        if is_pushed {
            self.record_outage(now);
        }
    }

    /// Records a failed call that was made at `called_at`.
    pub fn on_call_failed(&mut self, now: Time, failure: WatchFailure, called_at: Time, is_pushed: bool) {
        let is_silent = self.continuity == ListContinuity::Silent;
        match failure {
            WatchFailure::Unreachable => self.record_outage(called_at),
            WatchFailure::Unavailable if !is_silent => self.record_outage(called_at),
            WatchFailure::Unanswered if is_pushed => self.record_outage(now),
            WatchFailure::Unanswered => self.record_silence(),
            WatchFailure::WatchEnded => {}
            WatchFailure::Unavailable | WatchFailure::Rejected => {
                self.continuity = ListContinuity::Interrupted;
            }
        }
    }

    /// Limits the lease when discovery has a new address.
    pub fn on_address_changed(&mut self, now: Time) {
        self.limit_to(now.plus(NEW_ADDRESS_NOTIFICATION_TIMEOUT));
        self.extension = NEW_ADDRESS_NOTIFICATION_TIMEOUT;
    }

    /// Continues the lease of the predecessor of a hot restart; none if the predecessor did not report it.
    pub fn on_hot_restart(&mut self, now: Time, predecessor: Option<EndpointLeaseState>) {
        self.limit_to(now.plus(HOT_RESTART_NOTIFICATION_TIMEOUT));
        if let Some(EndpointLeaseState { expires_at, continuity }) = predecessor {
            self.limit_to(expires_at);
            self.continuity = continuity;
        }
    }

    /// Returns the lease for the successor of a hot restart; none if the list does not expire. An outage that
    /// explains the silence of a watch is not included, because the successor's first call shows it again.
    pub fn state(self) -> Option<EndpointLeaseState> {
        Some(EndpointLeaseState { expires_at: self.expires_at?, continuity: self.continuity })
    }

    /// Returns the time until which the list may be used; none if it does not expire.
    pub fn expires_at(self) -> Option<Time> {
        let expires_at = self.expires_at?;
        match self.continuity {
            ListContinuity::Silent => self.outage_expires_at.max(Some(expires_at)),
            ListContinuity::Continuous | ListContinuity::Interrupted => Some(expires_at),
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

    /// Extends the lease of a list that lacks no change, because discovery was down at `at`. The lease of a
    /// list whose watch is silent is extended as long as the outage explains the silence.
    fn record_outage(&mut self, at: Time) {
        let extended = at.plus(self.extension);
        match self.continuity {
            ListContinuity::Continuous => {
                self.expires_at = self.expires_at.map(|earlier| earlier.max(extended));
            }
            ListContinuity::Silent => self.outage_expires_at = Some(extended),
            ListContinuity::Interrupted => {}
        }
    }

    fn limit_to(&mut self, limit: Time) {
        self.expires_at = Some(self.expires_at.map_or(limit, |earlier| earlier.min(limit)));
        self.outage_expires_at = self.outage_expires_at.map(|earlier| earlier.min(limit));
    }

    /// Records that an outage does not explain the missing answer of a call.
    fn record_silence(&mut self) {
        self.outage_expires_at = None;
        if self.continuity == ListContinuity::Continuous {
            self.continuity = ListContinuity::Silent;
        }
    }
}
