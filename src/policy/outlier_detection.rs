//! Outlier detection: a server that fails is ejected for a time and is then readmitted by single trials.
//!
//! **What is decided.** Whether a server may be selected at all, whatever its free slots are.
//!
//! **Inputs.** The outcome of each attempt and the time at which it was sent. Every outcome is a failure
//! except success, not sent, and cancelled after the request was answered or the connection established. An
//! established connection that breaks is a failure. An attempt without an answer at the deadline of its
//! request is a failure, too.
//!
//! **Rule.** A failure adds two to the server's failure score, up to 16; an established connection subtracts
//! one. A failure ejects the server for the connect timeout, doubled once for each point of the score, up to
//! the duration of a slow start, and then multiplied by a random factor from 0.5 to 1.5. After the ejection
//! the server receives one attempt at a time, a trial. Each trial starts a new ejection, so that trials are
//! at least that far apart. At a score of 0 the server is selected normally again. Failures of attempts that
//! were sent before the last failure count as one with it.
//!
//! **Why.** A server that drops the connections that it has accepted always has free slots and would receive
//! every connection. A failure adds twice what a success subtracts, so that a server that accepts and then
//! drops is not treated as healthy.
//!
//! The metric `ejected` counts these servers, and those that are full and had a recent fault: see
//! [`Balancer::counts_as_ejected`](crate::Balancer::counts_as_ejected).

use rand::Rng;

use crate::bookkeeping::jittered_backoff;
use crate::types::{LearnedState, Micros, Outcome, Settings, Time};

/// Points that a failure adds to the failure score; a success subtracts one.
const FAILURE_SCORE_STEP: u32 = 2;
/// Highest failure score. A hot restart hands over no higher one.
pub const MAX_FAILURE_SCORE: u32 = 16;

/// Returns whether the outcome of an attempt counts as a failure of its server. A cancelled attempt counts if
/// its connection was not established and its request had no answer yet.
pub fn is_server_failure(outcome: Outcome, was_established: bool, is_answered: bool) -> bool {
    match outcome {
        Outcome::Ok | Outcome::NotSent => false,
        Outcome::Cancelled => !was_established && !is_answered,
        _ => true,
    }
}

/// Durations of ejections, before jitter.
#[derive(Clone, Copy, Debug)]
pub struct EjectionTimes {
    /// Duration that is doubled once for each point of the failure score.
    pub initial: Micros,
    /// Longest duration.
    pub max: Micros,
}

impl EjectionTimes {
    /// Derives the durations from the connect timeout and the duration of a slow start.
    pub fn from_settings(settings: &Settings) -> EjectionTimes {
        let initial = settings.connect_timeout;
        EjectionTimes { initial, max: settings.slow_start_duration.max(initial) }
    }
}

/// Failure score and ejection of one server.
#[derive(Clone, Copy, Debug, Default)]
pub struct OutlierDetector {
    failure_score: u32,
    last_failure: Option<Time>,
    ejected_until: Time,
}

impl OutlierDetector {
    /// Restores the state that another process has learned.
    pub fn from_learned(learned: &LearnedState) -> OutlierDetector {
        let LearnedState { failure_score, last_failure, ejected_until, .. } = *learned;
        OutlierDetector { failure_score, last_failure, ejected_until }
    }

    /// Returns the failure score: two points for each failure, less one for each success since.
    pub fn failure_score(&self) -> u32 {
        self.failure_score
    }

    /// Returns the time of the server's last failure.
    pub fn last_failure(&self) -> Option<Time> {
        self.last_failure
    }

    /// Returns the time before which a server with failures receives no trial.
    pub fn ejected_until(&self) -> Time {
        self.ejected_until
    }

    /// Returns whether the failure score is above 0. The next attempt at the server is then a trial.
    pub fn has_failures(&self) -> bool {
        self.failure_score > 0
    }

    /// Returns whether the server may be selected: it has no failures, or a trial is allowed now.
    pub fn is_eligible(&self, now: Time, is_connecting: bool) -> bool {
        !self.has_failures() || (!is_connecting && now >= self.ejected_until)
    }

    /// Ejects the server when an attempt that was sent at `sent_at` failed. A failure of an attempt that was
    /// sent before the last failure is already counted.
    pub fn on_failure(&mut self, now: Time, sent_at: Time, times: EjectionTimes, rng: &mut impl Rng) {
        let is_already_counted = self.last_failure.is_some_and(|at| sent_at <= at);
        if is_already_counted {
            return;
        }
        self.last_failure = Some(now);
        self.failure_score = (self.failure_score + FAILURE_SCORE_STEP).min(MAX_FAILURE_SCORE);
        self.eject(now, times, rng);
    }

    /// Starts a new ejection if the attempt that starts is a trial: the next trial has to wait.
    pub fn on_attempt_started(&mut self, now: Time, times: EjectionTimes, rng: &mut impl Rng) {
        if self.has_failures() {
            self.eject(now, times, rng);
        }
    }

    /// Subtracts one point from the failure score when a connection was established.
    pub fn on_established(&mut self) {
        self.failure_score = self.failure_score.saturating_sub(1);
    }

    fn eject(&mut self, now: Time, times: EjectionTimes, rng: &mut impl Rng) {
        let wait = jittered_backoff(rng, times.initial, self.failure_score, times.max);
        self.ejected_until = now.plus(wait);
    }
}
