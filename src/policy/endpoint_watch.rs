//! The watch on the endpoint list: when discovery is called again after a failure.
//!
//! **What is decided.** The wait before the next call, in microseconds. The timeout of a call, and the time
//! after which a watch counts as silent, are decided in `src/types/watch_timing.rs`.
//!
//! **Inputs.** Failed calls; from the settings: whether lists need a call, whether they are pushed to an
//! agent, the poll interval, the number of balancers and the drain grace.
//!
//! **Rule.** The first call is made at creation. Where lists arrive without a call, there is none. The wait
//! after a failed call is an exponential backoff with jitter. It is reset when a list or a change of it is
//! applied; an answer without a change does not reset it. The first wait is the time in which discovery
//! serves a call of every balancer, and the longest wait is twice that time; both are bounded. Where lists
//! are pushed to an agent, the waits are fractions of the drain grace.
//!
//! **Why.** Discovery serves calls one after the other. When the calls of many balancers have failed at the
//! same time, calls that are repeated before discovery can serve them delay each other without end. Where
//! lists are pushed, each change that the agent on the balancer's own machine has received counts as
//! notified, whether or not a watch is open. The agent is therefore called within the drain grace.

use rand::Rng;

use crate::bookkeeping::jittered_backoff;
use crate::types::{Micros, Settings, Time};

/// Number of failures in a row after which the backoff does not grow further.
const MAX_BACKOFF_FAILURES: u32 = 6;
/// Divisor of the poll interval that gives the lower bound of the first wait.
const MIN_INITIAL_WAIT_DIVISOR: u64 = 64;
/// Divisor of the poll interval that gives the upper bound of the first wait.
const MAX_INITIAL_WAIT_DIVISOR: u64 = 4;
/// Ratio of the longest wait to the time in which discovery serves a call of every balancer.
const LONGEST_WAIT_FACTOR: u64 = 2;
/// Lower bound of the longest wait.
const LONGEST_WAIT_LOWER_BOUND: Micros = Micros::from_secs(1);
/// Upper bound of the longest wait. After discovery has run again, a change that it lists counts as notified
/// 6 s later ([`NOTIFICATION_TIMEOUT`](super::endpoint_lease::NOTIFICATION_TIMEOUT)). Jitter lengthens a wait
/// by up to a half, and an answer may take 2 s.
const LONGEST_WAIT_UPPER_BOUND: Micros = Micros::from_millis(2500);
/// Divisor of the drain grace that gives the first wait where endpoints are pushed to an agent.
const PUSHED_INITIAL_WAIT_DIVISOR: u64 = 8;
/// Divisor of the drain grace that gives the longest wait where endpoints are pushed to an agent.
const PUSHED_LONGEST_WAIT_DIVISOR: u64 = 4;

/// Waits after failed calls, before jitter.
#[derive(Clone, Copy, Debug, PartialEq)]
struct WatchBackoff {
    initial: Micros,
    max: Micros,
}

impl WatchBackoff {
    fn from_settings(settings: &Settings) -> WatchBackoff {
        if settings.endpoints_pushed {
            return WatchBackoff {
                initial: settings.drain_grace / PUSHED_INITIAL_WAIT_DIVISOR,
                max: settings.drain_grace / PUSHED_LONGEST_WAIT_DIVISOR,
            };
        }
        let interval = settings.poll_interval;
        let service_time = settings.discovery_service_time();
        let initial =
            service_time.clamp(interval / MIN_INITIAL_WAIT_DIVISOR, interval / MAX_INITIAL_WAIT_DIVISOR);
        let longest = service_time
            .saturating_mul(LONGEST_WAIT_FACTOR)
            .clamp(LONGEST_WAIT_LOWER_BOUND, LONGEST_WAIT_UPPER_BOUND);
        WatchBackoff { initial, max: longest.min(interval) }
    }
}

/// Schedule of the calls of discovery for the endpoint list.
#[derive(Clone, Copy, Debug)]
pub struct EndpointWatch {
    /// Time of the next call; none while a call is in flight, or where lists arrive without a call.
    next_call_at: Option<Time>,
    consecutive_failures: u32,
}

impl EndpointWatch {
    /// Creates a watch whose first call is made at `next_call_at`; none where lists arrive without a call.
    pub fn new(next_call_at: Option<Time>) -> EndpointWatch {
        EndpointWatch { next_call_at, consecutive_failures: 0 }
    }

    /// Returns the time of the next call; none while a call is in flight, or where lists arrive without a
    /// call.
    pub fn next_call_at(&self) -> Option<Time> {
        self.next_call_at
    }

    /// Resets the backoff when a list or a change of it was applied.
    pub fn on_list_applied(&mut self) {
        self.consecutive_failures = 0;
    }

    /// Schedules the next call after a backoff when a call failed.
    pub fn on_call_failed(&mut self, now: Time, settings: &Settings, rng: &mut impl Rng) {
        if !settings.poll_required {
            return;
        }
        let WatchBackoff { initial, max } = WatchBackoff::from_settings(settings);
        let failures = self.consecutive_failures.min(MAX_BACKOFF_FAILURES);
        self.next_call_at = Some(now.plus(jittered_backoff(rng, initial, failures, max)));
        self.consecutive_failures += 1;
    }

    /// Returns whether a call is due. A due call counts as in flight from then on.
    pub fn begin_call(&mut self, now: Time) -> bool {
        self.next_call_at.take_if(|at| *at <= now).is_some()
    }
}
