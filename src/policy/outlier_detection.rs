//! Outlier detection: a server that fails is ejected for a while and comes back by single trials.
//!
//! **What is decided.** Whether a server may be selected at all, whatever its free slots are.
//!
//! **Inputs.** The outcome of each attempt and when it was sent. Every outcome is a failure but: success, not
//! sent, and cancelled after its request was answered or its connection established. An established
//! connection that breaks is one, and so is an attempt without an answer when its request has to be answered.
//!
//! **Rule.** A failure adds two to the server's failure count, up to 16; an established connection takes one
//! away. A failure ejects the server for the connect timeout, doubled for each of the count, up to the
//! duration of a slow start, and then times a random 0.5 to 1.5. After that it gets one attempt at a time: a
//! trial. Each trial begins a new ejection, so that trials are at least that far apart. At a count of 0 the
//! server is selected as before. Failures of attempts that were sent before the last failure count as one
//! with it.
//!
//! **Why.** A server that drops what it has accepted always shows free slots and would get every connection.
//! A failure counts twice what a success takes away, so that a server which accepts and then drops does not
//! pass for healthy.
//!
//! The metric `ejected` counts these servers, and those that are full and had a recent fault: see
//! [`Balancer::is_avoided`](crate::Balancer::is_avoided).

use rand::Rng;

use crate::bookkeeping::jittered_backoff;
use crate::types::{LearnedState, Micros, Outcome, Settings, Time};

/// What a failure adds to the count; a success takes one away.
const FAILURE_STEP: u32 = 2;
/// The highest failure count; a hot restart hands over no higher one.
pub const MAX_FAILURES: u32 = 16;

/// Whether the outcome of an attempt counts as a failure of its server. A cancelled attempt does, if its
/// request was still owed an answer.
pub fn is_server_failure(outcome: Outcome, was_established: bool, is_answered: bool) -> bool {
    match outcome {
        Outcome::Ok | Outcome::NotSent => false,
        Outcome::Cancelled => !was_established && !is_answered,
        _ => true,
    }
}

/// How long ejections last.
#[derive(Clone, Copy, Debug)]
pub struct EjectionTimes {
    /// The time that is doubled for each count of a failure.
    pub initial: Micros,
    /// The longest, before jitter.
    pub max: Micros,
}

impl EjectionTimes {
    /// The times that follow from the settings.
    pub fn from_settings(settings: &Settings) -> EjectionTimes {
        let initial = settings.connect_timeout;
        EjectionTimes { initial, max: settings.slow_start_duration.max(initial) }
    }
}

/// The failures of one server, and its ejection.
#[derive(Clone, Copy, Debug, Default)]
pub struct OutlierDetector {
    failures: u32,
    last_failure: Option<Time>,
    ejected_until: Time,
}

impl OutlierDetector {
    /// What another process has learned.
    pub fn from_learned(learned: &LearnedState) -> OutlierDetector {
        let LearnedState { failure_score: failures, last_failure, ejected_until, .. } = *learned;
        OutlierDetector { failures, last_failure, ejected_until }
    }

    /// The failure count: two for each failure, less one for each success since.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// When the server last failed.
    pub fn last_failure(&self) -> Option<Time> {
        self.last_failure
    }

    /// Before this time a server with failures gets no trial.
    pub fn ejected_until(&self) -> Time {
        self.ejected_until
    }

    /// Whether the server has failures that no success has made up for. Its next attempt is a trial.
    pub fn has_failures(&self) -> bool {
        self.failures > 0
    }

    /// Whether the server may be selected: it has no failures, or may have a trial.
    pub fn is_eligible(&self, now: Time, is_connecting: bool) -> bool {
        !self.has_failures() || (!is_connecting && now >= self.ejected_until)
    }

    /// An attempt that was sent at `sent_at` failed: ejects the server.
    pub fn on_failure(&mut self, now: Time, sent_at: Time, times: EjectionTimes, rng: &mut impl Rng) {
        let is_known = self.last_failure.is_some_and(|at| sent_at <= at);
        if is_known {
            return;
        }
        self.last_failure = Some(now);
        self.failures = (self.failures + FAILURE_STEP).min(MAX_FAILURES);
        self.eject(now, times, rng);
    }

    /// An attempt starts; if it is a trial, the next one has to wait.
    pub fn on_attempt_started(&mut self, now: Time, times: EjectionTimes, rng: &mut impl Rng) {
        if self.has_failures() {
            self.eject(now, times, rng);
        }
    }

    /// A connection was established.
    pub fn on_established(&mut self) {
        self.failures = self.failures.saturating_sub(1);
    }

    fn eject(&mut self, now: Time, times: EjectionTimes, rng: &mut impl Rng) {
        let wait = jittered_backoff(rng, times.initial, self.failures, times.max);
        self.ejected_until = now.plus(wait);
    }
}
