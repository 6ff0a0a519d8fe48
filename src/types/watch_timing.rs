//! Timeouts of calls to discovery, and the time after which a watch on the endpoint list counts as silent.
//!
//! A watch is a call that discovery holds until the endpoint list changes or the hold time ends, and then
//! answers. Discovery serves the calls of all balancers one after the other, so an answer may take longer the
//! more balancers there are. The timeouts grow with an estimate of this service time, between bounds.
//! `src/policy/endpoint_watch.rs` decides when a failed call is repeated.

use super::{Micros, Settings};

/// Estimated number of calls that discovery can serve in one poll interval.
const CALLS_PER_POLL_INTERVAL: u64 = 800;
/// Bounds of the time, from the end of its hold time, within which a watch has to be answered. A short time
/// allows more calls within the lease of the endpoint list. If the time is too short, all balancers of a
/// large fleet abandon calls that discovery has not served yet, and no balancer receives an answer.
const MIN_WATCH_ANSWER_TIMEOUT: Micros = Micros::from_millis(500);
const MAX_WATCH_ANSWER_TIMEOUT: Micros = Micros::from_secs(2);
/// Bounds of the timeout of the call that reopens a silent watch.
const MIN_WATCH_REOPENING_TIMEOUT: Micros = Micros::from_secs(2);
const MAX_WATCH_REOPENING_TIMEOUT: Micros = Micros::from_secs(5);
/// Upper limit of the random delay before a silent watch is reopened: all balancers of a tier may detect the
/// silence at the same time.
const MAX_WATCH_REOPENING_DELAY: Micros = Micros::from_millis(800);

impl Settings {
    /// Returns an estimate of the time that discovery needs to serve one call of every balancer.
    pub(crate) fn discovery_service_time(&self) -> Micros {
        self.poll_interval.saturating_mul(self.balancers.into()) / CALLS_PER_POLL_INTERVAL
    }

    /// Returns the time, from the end of its hold time, after which an unanswered watch counts as silent.
    pub(crate) fn watch_answer_timeout(&self) -> Micros {
        if self.endpoints_pushed {
            return MIN_WATCH_ANSWER_TIMEOUT;
        }
        self.discovery_service_time().clamp(MIN_WATCH_ANSWER_TIMEOUT, MAX_WATCH_ANSWER_TIMEOUT)
    }

    /// Returns the timeout of the call that reopens a silent watch.
    pub(crate) fn watch_reopening_timeout(&self) -> Micros {
        self.discovery_service_time().clamp(MIN_WATCH_REOPENING_TIMEOUT, MAX_WATCH_REOPENING_TIMEOUT)
    }

    /// Returns the longest delay before a silent watch is reopened. An agent on the balancer's own machine
    /// serves no other balancer, so that no delay is needed.
    pub(crate) fn max_watch_reopening_delay(&self) -> Micros {
        if self.endpoints_pushed {
            Micros::ZERO
        } else {
            MAX_WATCH_REOPENING_DELAY
        }
    }
}
