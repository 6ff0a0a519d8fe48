//! The watch on the endpoint list: when discovery is called again after a failure.
//!
//! **What is decided.** The wait before the next call, in microseconds. How long a call may take, and when a
//! watch counts as silent, is decided in `src/types/watch_timing.rs`.
//!
//! **Inputs.** Failed calls; the settings' poll interval and the number of balancers.
//!
//! **Rule.** An exponential backoff with jitter, until a list or a change of it is applied; an answer without
//! a change does not end it. The first wait is the time in which discovery serves a call of every balancer,
//! the longest is twice that; both have bounds. Where lists are pushed to an agent, the waits are parts of
//! the drain grace.
//!
//! **Why.** Discovery serves calls one after the other. Where many balancers have failed together, calls that
//! come back before they can be served delay each other without end. What an agent on the balancer's own
//! machine has counts as notified whether or not a watch is open, so it is called within the drain grace.

use rand::Rng;

use crate::bookkeeping::jittered_backoff;
use crate::types::{Micros, Settings, Time};

/// After so many failures in a row the backoff grows no more.
const MAX_BACKOFF_FAILURES: u32 = 6;
/// Bounds of the first wait, as parts of the poll interval.
const MIN_INITIAL_WAIT_DIVISOR: u64 = 64;
const MAX_INITIAL_WAIT_DIVISOR: u64 = 4;
/// The longest wait, as a multiple of the time in which discovery serves a call of every balancer...
const LONGEST_WAIT_FACTOR: u64 = 2;
/// ...and its bounds. What discovery lists counts as notified 6 s after discovery can be reached again;
/// jitter makes a wait up to half as long again, and an answer may take 2 s.
const LONGEST_WAIT_LOWER_BOUND: Micros = Micros::from_secs(1);
const LONGEST_WAIT_UPPER_BOUND: Micros = Micros::from_millis(2500);
/// The first and the longest wait where endpoints are pushed to an agent, as parts of the drain grace.
const PUSHED_INITIAL_WAIT_DIVISOR: u64 = 8;
const PUSHED_LONGEST_WAIT_DIVISOR: u64 = 4;

/// The waits after failed calls, before jitter.
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
        let all_served = settings.discovery_service_time();
        let initial =
            all_served.clamp(interval / MIN_INITIAL_WAIT_DIVISOR, interval / MAX_INITIAL_WAIT_DIVISOR);
        let longest = all_served
            .saturating_mul(LONGEST_WAIT_FACTOR)
            .clamp(LONGEST_WAIT_LOWER_BOUND, LONGEST_WAIT_UPPER_BOUND);
        WatchBackoff { initial, max: longest.min(interval) }
    }
}

/// When discovery is called for the endpoint list.
#[derive(Clone, Copy, Debug)]
pub struct EndpointWatch {
    /// When the next call is made; none while one is under way.
    next_call_at: Option<Time>,
    consecutive_failures: u32,
}

impl EndpointWatch {
    /// A watch that is opened at `next_call_at`; none where lists come without a call.
    pub fn new(next_call_at: Option<Time>) -> EndpointWatch {
        EndpointWatch { next_call_at, consecutive_failures: 0 }
    }

    /// When the next call is made; none while one is under way, or where lists come without a call.
    pub fn next_call_at(&self) -> Option<Time> {
        self.next_call_at
    }

    /// A list or a change of it was applied.
    pub fn on_list_applied(&mut self) {
        self.consecutive_failures = 0;
    }

    /// A call failed: the next follows after a backoff.
    pub fn on_call_failed(&mut self, now: Time, settings: &Settings, rng: &mut impl Rng) {
        if !settings.poll_required {
            return;
        }
        let WatchBackoff { initial, max } = WatchBackoff::from_settings(settings);
        let failures = self.consecutive_failures.min(MAX_BACKOFF_FAILURES);
        self.next_call_at = Some(now.plus(jittered_backoff(rng, initial, failures, max)));
        self.consecutive_failures += 1;
    }

    /// Whether a call is to be made now; from then on it is under way.
    pub fn begin_call(&mut self, now: Time) -> bool {
        self.next_call_at.take_if(|at| *at <= now).is_some()
    }
}
