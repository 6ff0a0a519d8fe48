//! Moments and lengths of time.

use std::ops::{Add, AddAssign, Div, Mul, Sub};

const MICROS_PER_MILLI: u64 = 1_000;
const MICROS_PER_SECOND: u64 = 1_000_000;

/// A moment on the host's clock, in microseconds from an arbitrary origin.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Time(pub u64);

/// A length of time in whole microseconds.
///
/// Unlike [`std::time::Duration`] it has the resolution of [`Time`], so that a division rounds alike on every
/// host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Micros(pub u64);

impl Time {
    /// The moment `span` later; the last representable one if that is beyond it.
    pub fn plus(self, span: Micros) -> Time {
        Time(self.0.saturating_add(span.0))
    }

    /// The time from `earlier` to this moment; zero if `earlier` lies ahead.
    pub fn since(self, earlier: Time) -> Micros {
        Micros(self.0.saturating_sub(earlier.0))
    }
}

impl Time {
    /// The moment `span` earlier; the origin if that is before it.
    pub fn minus(self, span: Micros) -> Time {
        Time(self.0.saturating_sub(span.0))
    }
}

impl Micros {
    /// No time.
    pub const ZERO: Micros = Micros(0);
    /// The longest representable time.
    pub const MAX: Micros = Micros(u64::MAX);

    /// So many milliseconds; the longest representable time if that is longer.
    pub const fn from_millis(millis: u64) -> Micros {
        Micros(millis.saturating_mul(MICROS_PER_MILLI))
    }

    /// So many seconds; the longest representable time if that is longer.
    pub const fn from_secs(seconds: u64) -> Micros {
        Micros(seconds.saturating_mul(MICROS_PER_SECOND))
    }

    /// The time in whole microseconds, for a product or a ratio.
    pub fn as_f64(self) -> f64 {
        self.0 as f64
    }

    /// So many microseconds, rounded down; zero for a negative number.
    pub fn from_f64(micros: f64) -> Micros {
        Micros(micros as u64)
    }

    /// Whole milliseconds, rounded down.
    pub const fn as_millis(self) -> u64 {
        self.0 / MICROS_PER_MILLI
    }

    /// Whole milliseconds, rounded up: a client that waits so long has waited long enough.
    pub const fn as_millis_ceil(self) -> u64 {
        self.0.div_ceil(MICROS_PER_MILLI)
    }

    /// Whole seconds, rounded up.
    pub const fn as_secs_ceil(self) -> u64 {
        self.0.div_ceil(MICROS_PER_SECOND)
    }

    /// How often `span` fits into the time; `span` must not be zero.
    pub const fn count_of(self, span: Micros) -> u64 {
        self.0 / span.0
    }

    /// Whether it is no time at all.
    pub const fn is_zero(self) -> bool {
        self.0 == 0
    }

    /// The time less `other`, down to zero.
    pub const fn saturating_sub(self, other: Micros) -> Micros {
        Micros(self.0.saturating_sub(other.0))
    }

    /// So many times the time, up to the longest representable time.
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
