//! How long calls to discovery may take, and when a watch on the endpoint list counts as silent.
//!
//! A watch is a call that discovery holds until something changes or a time is over, and then answers.
//! Discovery serves the calls of all balancers one after the other, so the more balancers there are, the
//! longer an answer may take. The time-outs grow with an estimate of that, between bounds. When a failed call
//! is repeated is decided in `src/policy/endpoint_watch.rs`.

use super::{Micros, Settings};

/// An estimate of how many calls discovery can serve in one poll interval.
const CALLS_PER_POLL_INTERVAL: u64 = 800;
/// Bounds of the time after the end of its hold in which a watch has to be answered. Where it is short, more
/// calls fit into the lease of the endpoint list. Where it is too short, all balancers of a large fleet
/// abandon calls that still wait to be served, and no answer of discovery reaches any of them.
const MIN_WATCH_ANSWER_TIMEOUT: Micros = Micros::from_millis(500);
const MAX_WATCH_ANSWER_TIMEOUT: Micros = Micros::from_secs(2);
/// Bounds of the time that the call may take which opens a silent watch anew.
const MIN_WATCH_REOPENING_TIMEOUT: Micros = Micros::from_secs(2);
const MAX_WATCH_REOPENING_TIMEOUT: Micros = Micros::from_secs(5);
/// A silent watch is opened anew after a random part of this: all balancers of a tier may notice at once.
const MAX_WATCH_REOPENING_DELAY: Micros = Micros::from_millis(800);

impl Settings {
    /// An estimate of how long discovery takes to serve a call of each balancer.
    pub(crate) fn discovery_service_time(&self) -> Micros {
        self.poll_interval.saturating_mul(self.balancers.into()) / CALLS_PER_POLL_INTERVAL
    }

    /// How long after the end of its hold a watch may go without an answer before it counts as silent.
    pub(crate) fn watch_answer_timeout(&self) -> Micros {
        if self.endpoints_pushed {
            return MIN_WATCH_ANSWER_TIMEOUT;
        }
        self.discovery_service_time().clamp(MIN_WATCH_ANSWER_TIMEOUT, MAX_WATCH_ANSWER_TIMEOUT)
    }

    /// How long the call may take that opens a silent watch anew.
    pub(crate) fn watch_reopening_timeout(&self) -> Micros {
        self.discovery_service_time().clamp(MIN_WATCH_REOPENING_TIMEOUT, MAX_WATCH_REOPENING_TIMEOUT)
    }

    /// The longest delay before a silent watch is opened anew. An agent on the balancer's own machine serves
    /// no other balancer, and needs none.
    pub(crate) fn max_watch_reopening_delay(&self) -> Micros {
        if self.endpoints_pushed {
            Micros::ZERO
        } else {
            MAX_WATCH_REOPENING_DELAY
        }
    }
}
