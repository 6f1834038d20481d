//! Times and durations, in microseconds of a monotonic clock with an arbitrary origin.

/// A duration in microseconds.
pub type Micros = i64;

/// One second as a [`Micros`].
pub const SECOND: Micros = 1_000_000;

/// A time on the caller's monotonic clock, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Time(pub i64);

impl Time {
    /// Returns the time `span` later, or earlier if it is negative. Saturates.
    pub fn plus(self, span: Micros) -> Time {
        Time(self.0.saturating_add(span))
    }

    /// Returns the duration from `earlier` to this time. Saturates.
    pub fn since(self, earlier: Time) -> Micros {
        self.0.saturating_sub(earlier.0)
    }
}
