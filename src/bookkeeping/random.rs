//! Random draws that several decisions share.

use std::hash::{BuildHasher, Hash};

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rustc_hash::FxBuildHasher;

use crate::types::Micros;

/// The most doublings of a backoff.
const MAX_DOUBLINGS: u32 = 16;

/// Half to one and a half times `span`: balancers that failed together must not return together.
pub fn jittered(rng: &mut impl Rng, span: Micros) -> Micros {
    Micros::from_f64(span.as_f64() * rng.random_range(0.5..1.5))
}

/// An exponential backoff: `initial`, doubled with each of `failures` failures in a row, up to `max`, and
/// jittered.
pub fn jittered_backoff(rng: &mut impl Rng, initial: Micros, failures: u32, max: Micros) -> Micros {
    let doublings = failures.min(MAX_DOUBLINGS);
    jittered(rng, initial.saturating_mul(1 << doublings).min(max))
}

/// A number with exponential distribution of mean 1, the same for equal keys at every balancer.
pub fn exponential_for(key: impl Hash) -> f64 {
    // The hash alone is not uniform for ids that follow one another.
    let uniform: f64 = Pcg64Mcg::seed_from_u64(FxBuildHasher.hash_one(key)).random();
    -(1.0 - uniform).ln()
}

/// One of the items at random, in proportion to its weight; none if no weight is above 0.
pub fn draw_weighted<'a, T>(rng: &mut impl Rng, items: &'a [T], weight: impl Fn(&T) -> f64) -> Option<&'a T> {
    let total: f64 = items.iter().map(&weight).sum();
    let mut remaining = if total > 0.0 { rng.random_range(0.0..total) } else { return None };
    let drawn = items.iter().find(|item| {
        remaining -= weight(item);
        remaining < 0.0
    });
    // Rounding may leave a remainder after the last item.
    drawn.or(items.last())
}
