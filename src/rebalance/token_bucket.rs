//! Token bucket with additive increase and multiplicative decrease of its rate.
//!
//! One token allows the migration of one client. The rate follows Chiu and Jain (Analysis of the Increase and
//! Decrease Algorithms for Congestion Avoidance, 1989): balancers that share servers and a session store, but
//! do not know of each other, reach a fair and stable rate.

/// Initial rate, which is also the smallest rate.
const MIN_RATE_PER_SECOND: f64 = 0.25;
/// Increase of the rate in each second of successful migrations.
const RATE_INCREASE_PER_SECOND: f64 = 0.25;
/// Divisor by which the rate is decreased.
const RATE_DECREASE_DIVISOR: f64 = 2.0;
/// Largest rate, as a share of all established connections.
const MAX_MIGRATED_SHARE_PER_SECOND: f64 = 0.05;
/// Largest number of saved tokens, as seconds at the current rate, if that is more than [`MIN_SAVED_TOKENS`].
const MAX_SAVED_SECONDS: f64 = 4.0;
/// Lower bound of the largest number of saved tokens.
const MIN_SAVED_TOKENS: f64 = 2.0;

/// Saved tokens, and the rate at which tokens are added.
#[derive(Debug)]
pub(super) struct TokenBucket {
    max_rate_per_second: f64,
    rate_per_second: f64,
    tokens: f64,
}

impl TokenBucket {
    pub(super) fn new(max_rate_per_second: f64) -> TokenBucket {
        TokenBucket {
            max_rate_per_second,
            rate_per_second: MIN_RATE_PER_SECOND.min(max_rate_per_second),
            tokens: 1.0,
        }
    }

    pub(super) fn set_max_rate(&mut self, max_rate_per_second: f64) {
        self.max_rate_per_second = max_rate_per_second;
        self.rate_per_second = self.rate_per_second.min(max_rate_per_second);
    }

    /// Returns the number of tokens that are added per second.
    pub(super) fn rate_per_second(&self) -> f64 {
        self.rate_per_second.min(self.max_rate_per_second)
    }

    pub(super) fn tokens(&self) -> f64 {
        self.tokens
    }

    /// Returns the largest number of tokens that can be saved up.
    pub(super) fn max_tokens(&self) -> f64 {
        (self.rate_per_second * MAX_SAVED_SECONDS).max(MIN_SAVED_TOKENS)
    }

    /// Raises the rate after `seconds` of successful migrations.
    pub(super) fn increase_rate(&mut self, seconds: f64) {
        self.rate_per_second += RATE_INCREASE_PER_SECOND * seconds;
    }

    /// Adds the tokens for `seconds`, during which `established` connections existed.
    pub(super) fn refill(&mut self, seconds: f64, established: usize) {
        let share_limit = (established as f64 * MAX_MIGRATED_SHARE_PER_SECOND).max(MIN_RATE_PER_SECOND);
        self.rate_per_second = self.rate_per_second.min(self.max_rate_per_second.min(share_limit));
        self.tokens = (self.tokens + self.rate_per_second * seconds).min(self.max_tokens());
    }

    pub(super) fn spend(&mut self, clients: usize) {
        self.tokens -= clients as f64;
    }

    /// Divides the rate by [`RATE_DECREASE_DIVISOR`], down to the smallest rate, and empties the bucket.
    pub(super) fn decrease_rate(&mut self) {
        self.rate_per_second = (self.rate_per_second / RATE_DECREASE_DIVISOR)
            .max(MIN_RATE_PER_SECOND)
            .min(self.max_rate_per_second);
        self.tokens = 0.0;
    }

    /// Lowers the rate to the smallest rate and empties the bucket.
    pub(super) fn reset_rate(&mut self) {
        self.rate_per_second = MIN_RATE_PER_SECOND.min(self.max_rate_per_second);
        self.tokens = 0.0;
    }
}
