//! How calls to discovery are timed: how often, how long each may take, and when a watch counts as silent.
//!
//! Discovery serves the calls of all balancers in turn, so most of it goes by how many they are.

use super::{Micros, Settings};

/// A first guess of how many calls discovery can serve in one poll interval.
const CALLS_PER_POLL_INTERVAL: u64 = 800;
/// Bounds of the time after the end of its hold in which a watch has to be answered. The shorter it is, the
/// more calls fit into the time after which what a silent watch misses counts; but where all balancers of a
/// large fleet give up calls that still wait for their turn, nothing that discovery does reaches anyone.
const MIN_WATCH_ANSWER_TIMEOUT: Micros = Micros::from_millis(500);
const MAX_WATCH_ANSWER_TIMEOUT: Micros = Micros::from_secs(2);
/// Bounds of the time that the call may take which opens a silent watch anew.
const MIN_WATCH_REOPENING_TIMEOUT: Micros = Micros::from_secs(2);
const MAX_WATCH_REOPENING_TIMEOUT: Micros = Micros::from_secs(5);
/// A watch that has fallen silent is opened anew after a random part of this: all balancers of a tier may find
/// out in one instant.
const MAX_WATCH_REOPENING_DELAY: Micros = Micros::from_millis(800);
impl Settings {
    /// A first guess of how long discovery takes to serve a call of each balancer.
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

    /// The longest delay before a watch that has fallen silent is opened anew. An agent on the balancer's own
    /// machine serves nobody else.
    pub(crate) fn max_watch_reopening_delay(&self) -> Micros {
        if self.endpoints_pushed {
            Micros::ZERO
        } else {
            MAX_WATCH_REOPENING_DELAY
        }
    }
}
