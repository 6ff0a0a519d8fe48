//! Admission rate: fewer new requests are admitted while a resource that all servers share is slow.
//!
//! **What is decided.** Whether a new request is admitted, or refused at once with
//! [`RefusalReason::AdmissionRate`](crate::RefusalReason::AdmissionRate); and whether the failure of an
//! attempt is correlated with the failure of another server. A request with a correlated failure ends with
//! [`RefusalReason::CorrelatedFailure`](crate::RefusalReason::CorrelatedFailure) (`shared_fault` in log and
//! metrics) and is not retried.
//!
//! **Inputs.** The time from an attempt to its established connection, compared with the tightest setup
//! objective of all classes (microseconds); attempts that ended with an error or without an answer; peers'
//! observations of slow or correlated setups.
//!
//! **Rule.** The rate is the share of new requests that is admitted, from 0 to 1.
//!
//! - A setup at this balancer that takes longer than the objective halves the rate. A peer's
//!   observation of slow or correlated setups also halves the rate.
//! - Failures at two servers within the duration of a slow start, with no connection established in between,
//!   are correlated. They multiply the rate by a half, or by the objective over the time of the failed
//!   attempt if that is less.
//! - The rate is cut at most once in two setup objectives, because requests that were admitted before the cut
//!   are still being set up.
//! - After the last slow setup or correlated failure, here or at a peer, the rate is constant for two
//!   objectives, whether or not that observation cut it. It then rises linearly, from 0 to 1 in the duration
//!   of a slow start. After any failed setup, correlated or not, it does not rise until a quarter of that
//!   duration has passed or a setup has succeeded, whichever is first.
//!
//! **Why.** The session store behind all servers processes setups in a queue. Once setups wait in the queue
//! for longer than clients do, every setup completes too late and the queue does not become shorter. A single
//! failing server may have a fault of its own. Two failing servers indicate a shared cause, and a retry at a
//! third server would only join the same queue.

use rand::Rng;

use crate::types::{Micros, ServerId, Settings, Time};

/// Highest factor by which a cut multiplies the rate.
const MAX_REMAINING_FACTOR: f64 = 0.5;
/// Divisor of a slow start's duration that gives the time after a failed setup in which the rate does not
/// rise.
const RISE_PAUSE_DIVISOR: u64 = 4;

/// An attempt that ended with an error or without an answer.
#[derive(Clone, Copy, Debug)]
struct FailedSetup {
    server: ServerId,
    at: Time,
}

/// Share of new requests that is admitted.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRate {
    /// From 0 to 1, as of `updated_at`.
    share: f64,
    /// Time up to which `share` includes the rise; in the future while a cut delays the rise.
    updated_at: Time,
    last_decrease: Option<Time>,
    /// The last failed setup; none if a setup has succeeded since.
    last_failed_setup: Option<FailedSetup>,
}

impl AdmissionRate {
    /// Creates a rate that admits every request.
    pub fn new(now: Time) -> AdmissionRate {
        AdmissionRate { share: 1.0, updated_at: now, last_decrease: None, last_failed_setup: None }
    }

    /// Returns the admitted share of new requests at the last request or decrease, from 0 to 1.
    pub fn share(&self) -> f64 {
        self.share
    }

    /// Decides whether a new request is admitted.
    pub fn admits(&mut self, now: Time, settings: &Settings, rng: &mut impl Rng) -> bool {
        self.raise(now, settings);
        self.share >= 1.0 || rng.random_bool(self.share)
    }

    /// Records a successful setup, and decreases the rate if the setup was slow. Returns whether it was slow.
    pub fn on_setup_succeeded(&mut self, now: Time, setup_time: Micros, settings: &Settings) -> bool {
        self.last_failed_setup = None;
        let objective = settings.setup_objective();
        let is_slow = !objective.is_zero() && setup_time > objective;
        if is_slow {
            self.on_slow_setups(now, settings);
        }
        is_slow
    }

    /// Decreases the rate when setups are slow at this balancer or at a peer, by an unknown extent.
    pub fn on_slow_setups(&mut self, now: Time, settings: &Settings) {
        self.decrease(now, MAX_REMAINING_FACTOR, settings);
    }

    /// Records a setup that failed after `setup_time`, and decreases the rate if the failure is correlated
    /// with a recent failure at another server. Returns whether it is correlated.
    pub fn on_setup_failed(
        &mut self,
        now: Time,
        server: ServerId,
        setup_time: Micros,
        settings: &Settings,
    ) -> bool {
        let last = self.last_failed_setup.replace(FailedSetup { server, at: now });
        let window = settings.slow_start_duration;
        let is_correlated = last.is_some_and(|last| last.server != server && now.since(last.at) <= window);
        if is_correlated {
            let factor = MAX_REMAINING_FACTOR.min(settings.setup_objective_ratio(setup_time));
            self.decrease(now, factor, settings);
        }
        is_correlated
    }

    fn decrease(&mut self, now: Time, factor: f64, settings: &Settings) {
        self.raise(now, settings);
        let validity = settings.slow_setup_validity();
        if self.last_decrease.is_none_or(|at| now.since(at) >= validity) {
            self.last_decrease = Some(now);
            self.share *= factor;
        }
        // Each observation postpones the rise. If the rate rose between two cuts, it would never become low
        // enough.
        self.updated_at = now.plus(validity);
    }

    fn raise(&mut self, now: Time, settings: &Settings) {
        let full_rise = settings.slow_start_duration.max(Micros(1));
        let pause = full_rise / RISE_PAUSE_DIVISOR;
        let is_paused = self.last_failed_setup.is_some_and(|last| now.since(last.at) < pause);
        let since = if is_paused { now } else { self.updated_at };
        self.share = (self.share + now.since(since).as_f64() / full_rise.as_f64()).min(1.0);
        self.updated_at = self.updated_at.max(now);
    }
}
