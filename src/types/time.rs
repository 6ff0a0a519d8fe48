//! Moments and lengths of time.

/// A moment on the host's clock, in microseconds from an arbitrary origin.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Time(pub u64);

/// A length of time in microseconds.
pub type Micros = u64;

impl Time {
    /// The moment `span` later; the last representable one if that is beyond it.
    pub fn plus(self, span: Micros) -> Time {
        Time(self.0.saturating_add(span))
    }

    /// Microseconds from `earlier` to this moment; 0 if `earlier` lies ahead.
    pub fn since(self, earlier: Time) -> Micros {
        self.0.saturating_sub(earlier.0)
    }
}
