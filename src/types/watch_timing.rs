//! How calls to discovery are timed: how often, how long each may take, and when a watch counts as silent.
//!
//! Discovery serves the calls of all balancers in turn, so most of it goes by how many they are.

use super::{Micros, Settings};

/// A first guess of how many calls discovery can serve in one poll interval.
const CALLS_PER_POLL_INTERVAL: u64 = 800;
/// The longest wait after a failed call, as a multiple of the time in which discovery serves all balancers, and
/// its bounds. What discovery lists counts as notified 6 s after it can be reached again: a wait is jittered up
/// to half as much again, and an answer may take 2 s.
const MAX_WAIT_FACTOR: u64 = 2;
const MIN_MAX_WAIT: Micros = Micros::from_secs(1);
const MAX_MAX_WAIT: Micros = Micros::from_millis(2500);
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
/// Bounds of the first wait after a failed call, as parts of the poll interval.
const MIN_INITIAL_WAIT_DIVISOR: u64 = 64;
const MAX_INITIAL_WAIT_DIVISOR: u64 = 4;
/// The same where endpoints are pushed: the first and the longest wait, as parts of the drain grace.
const PUSHED_INITIAL_WAIT_DIVISOR: u64 = 8;
const PUSHED_MAX_WAIT_DIVISOR: u64 = 4;

/// Waits between failed calls for the endpoint list.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Backoff {
    /// The wait after the first failure.
    pub(crate) initial: Micros,
    /// The longest wait.
    pub(crate) max: Micros,
}

impl Settings {
    /// The waits after failed calls for the endpoint list. What an agent on the balancer's own machine has
    /// counts as notified, whether or not a watch is open; it has to be fetched within the drain grace. One
    /// discovery for all serves calls in turn, and calls that come too soon keep each other waiting.
    pub(crate) fn endpoint_watch_backoff(&self) -> Backoff {
        if self.endpoints_pushed {
            return Backoff {
                initial: self.drain_grace / PUSHED_INITIAL_WAIT_DIVISOR,
                max: self.drain_grace / PUSHED_MAX_WAIT_DIVISOR,
            };
        }
        let interval = self.poll_interval;
        let all_served = self.discovery_service_time();
        let initial =
            all_served.clamp(interval / MIN_INITIAL_WAIT_DIVISOR, interval / MAX_INITIAL_WAIT_DIVISOR);
        let max = all_served.saturating_mul(MAX_WAIT_FACTOR).clamp(MIN_MAX_WAIT, MAX_MAX_WAIT);
        Backoff { initial, max: max.min(interval) }
    }

    /// A first guess of how long discovery takes to serve a call of each balancer.
    fn discovery_service_time(&self) -> Micros {
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
