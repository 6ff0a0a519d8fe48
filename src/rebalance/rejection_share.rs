//! Estimates the share of connection requests that are rejected.
//!
//! **Rule:** the counts of established connections and of rejected or failed connections decay exponentially
//! over [`DECAY_SECONDS`]. The share includes a prior of [`PRIOR_ANSWERS`] answers without a rejection.

/// Number of answers in the prior.
const PRIOR_ANSWERS: f64 = 4.0;
/// Time constant of the counts' decay.
const DECAY_SECONDS: f64 = 20.0;

/// Decaying counts of answers to connection requests.
#[derive(Debug, Default)]
pub(super) struct RejectionShare {
    established: f64,
    rejected: f64,
}

impl RejectionShare {
    pub(super) fn on_established(&mut self) {
        self.established += 1.0;
    }

    /// Records that a connection was rejected, or failed.
    pub(super) fn on_rejected(&mut self) {
        self.rejected += 1.0;
    }

    /// Returns the share of rejected requests, from 0 to 1.
    pub(super) fn get(&self) -> f64 {
        self.rejected / (self.established + self.rejected + PRIOR_ANSWERS)
    }

    pub(super) fn decay(&mut self, seconds: f64) {
        let factor = (-seconds / DECAY_SECONDS).exp();
        self.established *= factor;
        self.rejected *= factor;
    }
}
