//! Moments and lengths of time, in microseconds of one monotonic clock with an arbitrary zero.

/// A length of time in microseconds.
pub type Span = i64;

/// One second as a [`Span`].
pub const SECOND: Span = 1_000_000;

/// A moment on the caller's monotonic clock, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Time(pub i64);

impl Time {
    /// The moment `span` later (earlier, if negative); saturates at the ends of the clock.
    pub fn plus(self, span: Span) -> Time {
        Time(self.0.saturating_add(span))
    }

    /// The time from `earlier` to this moment; saturates.
    pub fn since(self, earlier: Time) -> Span {
        self.0.saturating_sub(earlier.0)
    }
}
