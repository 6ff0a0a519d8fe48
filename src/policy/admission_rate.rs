//! Admission rate: fewer new connections are admitted while what all servers share is slow.
//!
//! **What is decided.** Whether a new request is admitted or shed at once, with
//! [`RefusalReason::AdmissionRate`](crate::RefusalReason::AdmissionRate); and whether the failure of an
//! attempt is correlated with another server's, so that its request ends with
//! [`RefusalReason::CorrelatedFailure`](crate::RefusalReason::CorrelatedFailure) (`shared_fault` in log and
//! metrics) in place of a retry.
//!
//! **Inputs.** The time from an attempt to its established connection against the tightest set-up objective
//! of all classes (microseconds); attempts that had an error or no answer; other balancers' observations of
//! the same.
//!
//! **Rule.** The rate is the share of new requests that is admitted, from 0 to 1.
//!
//! - A set-up over its objective, here, halves it; so does a peer's observation of slow or correlated
//!   set-ups.
//! - Failures at two servers within the duration of a slow start, with no connection established in between,
//!   are correlated. They keep a half of it, or the objective over the time of the failed attempt if that is
//!   less.
//! - It is cut at most once in two set-up objectives, as what was admitted before is still being set up.
//! - Once two objectives have passed without another such observation, whether that cut the rate or not, it
//!   rises evenly, from 0 to 1 in the duration of a slow start. After a failed set-up it does not rise for a
//!   quarter of that duration, or until a set-up succeeds.
//!
//! **Why.** The session store behind all servers serves set-ups in a queue. Once the queue is longer than
//! clients wait, every set-up is in vain and the queue stays. One server that fails may have a fault of its
//! own; two have more in common, and a retry elsewhere would only join the same queue.

use rand::Rng;

use crate::types::{Micros, ServerId, Settings, Time};

/// A cut multiplies the rate by this, or by less.
const MAX_REMAINING_FACTOR: f64 = 0.5;
/// The rate does not rise within this part of a slow start's duration after a failed set-up.
const RISE_PAUSE_DIVISOR: u64 = 4;

/// An attempt that had an error or no answer.
#[derive(Clone, Copy, Debug)]
struct FailedSetup {
    server: ServerId,
    at: Time,
}

/// The share of new requests that is admitted.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRate {
    /// From 0 to 1, as of `updated_at`.
    share: f64,
    /// Up to when the rise is already counted in `share`; ahead of now while a cut holds the rise back.
    updated_at: Time,
    last_decrease: Option<Time>,
    /// The last failed set-up, if none succeeded after it.
    last_failed_setup: Option<FailedSetup>,
}

impl AdmissionRate {
    /// A rate at which every request is admitted.
    pub fn new(now: Time) -> AdmissionRate {
        AdmissionRate { share: 1.0, updated_at: now, last_decrease: None, last_failed_setup: None }
    }

    /// The share of new requests that was admitted at the last request or decrease, from 0 to 1.
    pub fn share(&self) -> f64 {
        self.share
    }

    /// Whether a new request is admitted.
    pub fn admits(&mut self, now: Time, settings: &Settings, rng: &mut impl Rng) -> bool {
        self.raise(now, settings);
        self.share >= 1.0 || rng.random_bool(self.share)
    }

    /// A set-up succeeded in `setup_time`. Returns whether it was slow, which decreases the rate.
    pub fn on_setup_succeeded(&mut self, now: Time, setup_time: Micros, settings: &Settings) -> bool {
        self.last_failed_setup = None;
        let objective = settings.setup_objective();
        let is_slow = !objective.is_zero() && setup_time > objective;
        if is_slow {
            self.on_slow_setups(now, settings);
        }
        is_slow
    }

    /// Set-ups are slow, here or at another balancer; how slow is not known.
    pub fn on_slow_setups(&mut self, now: Time, settings: &Settings) {
        self.decrease(now, MAX_REMAINING_FACTOR, settings);
    }

    /// A set-up failed after `setup_time`. Returns whether the failure is correlated with a recent one at
    /// another server, which decreases the rate.
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
        let hold = settings.slow_setup_hold();
        if self.last_decrease.is_none_or(|at| now.since(at) >= hold) {
            self.last_decrease = Some(now);
            self.share *= factor;
        }
        // Each observation postpones the rise: between two cuts the rate must not rise, or it would never be
        // low enough.
        self.updated_at = now.plus(hold);
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
