//! Admission rate: fewer new connections are let in while what all servers share is slow.

use super::*;

/// What is left of the admission rate after a slow set-up, at most.
const MAX_DECREASE_FACTOR: f64 = 0.5;
/// The rate does not rise within this part of a slow start after a failed set-up.
const RISE_PAUSE_DIVISOR: u64 = 4;

/// A set-up that erred or was not answered.
pub(super) struct FailedSetup {
    server: ServerId,
    at: Time,
}

pub(super) struct AdmissionRate {
    /// The share of new connections that is admitted, from 0 to 1.
    pub(super) share: f64,
    /// From when on the share is still to rise.
    raised_until: Time,
    last_decrease: Option<Time>,
    /// The last failed set-up, if none succeeded after it.
    pub(super) last_failed_setup: Option<FailedSetup>,
}

impl AdmissionRate {
    pub(super) fn new(now: Time) -> AdmissionRate {
        AdmissionRate { share: 1.0, raised_until: now, last_decrease: None, last_failed_setup: None }
    }

    /// Admits fewer: set-ups are slow (0 if only that is known), or fail alike at several servers.
    pub(super) fn decrease(&mut self, now: Time, setup_time: Micros, settings: &Settings) {
        self.raise(now, settings);
        let hold = settings.slow_setup_hold();
        if self.last_decrease.is_none_or(|at| now.since(at) >= hold) {
            self.last_decrease = Some(now);
            self.share *= MAX_DECREASE_FACTOR.min(settings.setup_objective_ratio(setup_time));
        }
        // Risen again between two cuts, it would never get low enough for a store that bears little.
        self.raised_until = now.plus(hold);
    }

    /// Raises the share evenly within a slow start: a queue longer than clients wait stays if more is let in.
    pub(super) fn raise(&mut self, now: Time, settings: &Settings) {
        let full_rise = settings.slow_start_duration.max(Micros(1));
        let pause = full_rise / RISE_PAUSE_DIVISOR;
        let is_paused = self.last_failed_setup.as_ref().is_some_and(|last| now.since(last.at) < pause);
        let since = if is_paused { now } else { self.raised_until };
        self.share = (self.share + now.since(since).as_f64() / full_rise.as_f64()).min(1.0);
        self.raised_until = self.raised_until.max(now);
    }
}

impl Balancer {
    /// Records a failed set-up; true if another server's failed not long before. One server that errs or does
    /// not answer may have a fault of its own; two have more in common.
    pub(super) fn record_failed_setup(&mut self, server: ServerId) -> bool {
        let last = self.admission.last_failed_setup.replace(FailedSetup { server, at: self.now });
        let within = self.settings.slow_start_duration;
        last.is_some_and(|last| last.server != server && self.now.since(last.at) <= within)
    }
}
