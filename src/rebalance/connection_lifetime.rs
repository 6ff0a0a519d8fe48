//! Estimates the mean lifetime of a connection.
//!
//! **Rule:** the estimate is the total time for which connections were established, divided by the number of
//! natural ends. This is the maximum likelihood estimate of an exponential lifetime from right-censored data.
//! It includes a prior of [`PRIOR_ENDS`] ends after [`PRIOR_LIFETIME_SECONDS`] each. An end is natural if the
//! client ended the connection.

use crate::Time;

/// Number of natural ends in the prior.
const PRIOR_ENDS: f64 = 3.0;
/// Mean lifetime in the prior.
const PRIOR_LIFETIME_SECONDS: f64 = 30.0;

/// Sums from which the mean lifetime is estimated.
#[derive(Debug)]
pub(super) struct LifetimeEstimator {
    /// Total time for which connections were established, summed over all connections up to `updated`.
    connection_seconds: f64,
    updated: Time,
    natural_ends: f64,
}

impl LifetimeEstimator {
    pub(super) fn new(now: Time) -> LifetimeEstimator {
        LifetimeEstimator { connection_seconds: 0.0, updated: now, natural_ends: 0.0 }
    }

    /// Adds the time since the last call, during which `established` connections existed.
    pub(super) fn advance(&mut self, now: Time, established: usize) {
        self.connection_seconds = self.connection_seconds_until(now, established);
        self.updated = now;
    }

    pub(super) fn on_natural_end(&mut self) {
        self.natural_ends += 1.0;
    }

    /// Returns the estimated mean lifetime, in seconds.
    pub(super) fn mean_seconds(&self, now: Time, established: usize) -> f64 {
        let observed_seconds = self.connection_seconds_until(now, established);
        (observed_seconds + PRIOR_LIFETIME_SECONDS * PRIOR_ENDS) / (self.natural_ends + PRIOR_ENDS)
    }

    fn connection_seconds_until(&self, now: Time, established: usize) -> f64 {
        self.connection_seconds + now.since(self.updated).as_f64() / 1e6 * established as f64
    }
}
