//! Random draws used by several decisions.

use std::hash::{BuildHasher, Hash};

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rustc_hash::FxBuildHasher;

use crate::types::Micros;

/// Largest number of doublings of a backoff.
const MAX_DOUBLINGS: u32 = 16;

/// Returns a random time between half and one and a half times `span`, so that balancers that failed at the
/// same time do not retry at the same time.
pub fn jittered(rng: &mut impl Rng, span: Micros) -> Micros {
    Micros::from_f64(span.as_f64() * rng.random_range(0.5..1.5))
}

/// Returns an exponential backoff with jitter: `initial`, doubled for each of `failures` consecutive
/// failures, up to `max`. The jitter is applied last.
pub fn jittered_backoff(rng: &mut impl Rng, initial: Micros, failures: u32, max: Micros) -> Micros {
    let doublings = failures.min(MAX_DOUBLINGS);
    jittered(rng, initial.saturating_mul(1 << doublings).min(max))
}

/// Returns an exponentially distributed number of mean 1 that is the same for equal keys at every balancer
/// whose build has the same versions of the hash and the generator.
pub fn exponential_for(key: impl Hash) -> f64 {
    // The hash alone is not uniform for consecutive ids.
    let uniform: f64 = Pcg64Mcg::seed_from_u64(FxBuildHasher.hash_one(key)).random();
    -(1.0 - uniform).ln()
}

/// Draws one of the items at random, in proportion to its weight. Returns `None` if no weight is above 0.
pub fn draw_weighted<'a, T>(rng: &mut impl Rng, items: &'a [T], weight: impl Fn(&T) -> f64) -> Option<&'a T> {
    let total_weight: f64 = items.iter().map(&weight).sum();
    let mut remaining = if total_weight > 0.0 { rng.random_range(0.0..total_weight) } else { return None };
    let drawn = items.iter().find(|item| {
        remaining -= weight(item);
        remaining < 0.0
    });
    // Rounding errors may leave a positive remainder after the last item.
    drawn.or(items.last())
}
