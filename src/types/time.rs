//! Points in time and durations.

use std::ops::{Add, AddAssign, Div, Mul, Sub};

const MICROS_PER_MILLI: u64 = 1_000;
const MICROS_PER_SECOND: u64 = 1_000_000;

/// Point in time on the host's clock, in microseconds from an arbitrary origin.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Time(pub u64);

/// Duration in whole microseconds.
///
/// Unlike [`std::time::Duration`] it has the same resolution as [`Time`], so that a division rounds in the
/// same way on every host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Micros(pub u64);

impl Time {
    /// Returns the time `span` later, limited to the last representable time.
    pub fn plus(self, span: Micros) -> Time {
        Time(self.0.saturating_add(span.0))
    }

    /// Returns the duration from `earlier` to this time, or zero if `earlier` is in the future.
    pub fn since(self, earlier: Time) -> Micros {
        Micros(self.0.saturating_sub(earlier.0))
    }
}

impl Time {
    /// Returns the time `span` earlier, limited to the origin.
    pub fn minus(self, span: Micros) -> Time {
        Time(self.0.saturating_sub(span.0))
    }
}

impl Micros {
    /// Duration of zero.
    pub const ZERO: Micros = Micros(0);
    /// Longest representable duration.
    pub const MAX: Micros = Micros(u64::MAX);

    /// Creates a duration from milliseconds, limited to the longest representable duration.
    pub const fn from_millis(millis: u64) -> Micros {
        Micros(millis.saturating_mul(MICROS_PER_MILLI))
    }

    /// Creates a duration from seconds, limited to the longest representable duration.
    pub const fn from_secs(seconds: u64) -> Micros {
        Micros(seconds.saturating_mul(MICROS_PER_SECOND))
    }

    /// Returns the duration in whole microseconds, for a product or a ratio.
    pub fn as_f64(self) -> f64 {
        self.0 as f64
    }

    /// Creates a duration from microseconds, rounded down; zero for a negative number.
    pub fn from_f64(micros: f64) -> Micros {
        Micros(micros as u64)
    }

    /// Returns the duration in milliseconds, rounded down.
    pub const fn as_millis(self) -> u64 {
        self.0 / MICROS_PER_MILLI
    }

    /// Returns the duration in milliseconds, rounded up, so that a client that waits for this time does not
    /// retry early.
    pub const fn as_millis_ceil(self) -> u64 {
        self.0.div_ceil(MICROS_PER_MILLI)
    }

    /// Returns the duration in seconds, rounded up.
    pub const fn as_secs_ceil(self) -> u64 {
        self.0.div_ceil(MICROS_PER_SECOND)
    }

    /// Returns how many times `span` fits into the duration. `span` must not be zero.
    pub const fn count_of(self, span: Micros) -> u64 {
        self.0 / span.0
    }

    /// Returns whether the duration is zero.
    pub const fn is_zero(self) -> bool {
        self.0 == 0
    }

    /// Returns the duration less `other`, limited to zero.
    pub const fn saturating_sub(self, other: Micros) -> Micros {
        Micros(self.0.saturating_sub(other.0))
    }

    /// Returns `factor` times the duration, limited to the longest representable duration.
    pub const fn saturating_mul(self, factor: u64) -> Micros {
        Micros(self.0.saturating_mul(factor))
    }
}

impl Add for Micros {
    type Output = Micros;

    fn add(self, other: Micros) -> Micros {
        Micros(self.0 + other.0)
    }
}

impl AddAssign for Micros {
    fn add_assign(&mut self, other: Micros) {
        self.0 += other.0;
    }
}

impl Sub for Micros {
    type Output = Micros;

    fn sub(self, other: Micros) -> Micros {
        Micros(self.0 - other.0)
    }
}

impl Mul<u64> for Micros {
    type Output = Micros;

    fn mul(self, factor: u64) -> Micros {
        Micros(self.0 * factor)
    }
}

impl Mul<Micros> for u64 {
    type Output = Micros;

    fn mul(self, span: Micros) -> Micros {
        Micros(self * span.0)
    }
}

impl Div<u64> for Micros {
    type Output = Micros;

    fn div(self, divisor: u64) -> Micros {
        Micros(self.0 / divisor)
    }
}

impl From<Micros> for std::time::Duration {
    fn from(span: Micros) -> std::time::Duration {
        std::time::Duration::from_micros(span.0)
    }
}
