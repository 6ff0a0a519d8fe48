//! Estimates the mean lifetime of a connection.

use crate::Time;

/// Ends that the initial guess of the mean lifetime counts for.
const PRIOR_ENDS: f64 = 3.0;
/// The initial guess, in seconds.
const PRIOR_LIFETIME_SECONDS: f64 = 30.0;

/// Natural ends over the time that connections were established: the estimate of an exponential lifetime from
/// censored data.
#[derive(Debug)]
pub(super) struct LifetimeEstimator {
    /// Sum of the time that connections were established, up to `updated`.
    connection_seconds: f64,
    updated: Time,
    natural_ends: f64,
}

impl LifetimeEstimator {
    pub(super) fn new(now: Time) -> LifetimeEstimator {
        LifetimeEstimator { connection_seconds: 0.0, updated: now, natural_ends: 0.0 }
    }

    /// Counts the time since the last call, in which so many connections were established.
    pub(super) fn advance(&mut self, now: Time, established: usize) {
        self.connection_seconds = self.connection_seconds_until(now, established);
        self.updated = now;
    }

    pub(super) fn on_natural_end(&mut self) {
        self.natural_ends += 1.0;
    }

    /// The mean lifetime, in seconds.
    pub(super) fn mean_seconds(&self, now: Time, established: usize) -> f64 {
        let observed = self.connection_seconds_until(now, established);
        (observed + PRIOR_LIFETIME_SECONDS * PRIOR_ENDS) / (self.natural_ends + PRIOR_ENDS)
    }

    fn connection_seconds_until(&self, now: Time, established: usize) -> f64 {
        self.connection_seconds + now.since(self.updated).as_f64() / 1e6 * established as f64
    }
}
