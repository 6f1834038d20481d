//! A clock for what must end in time whatever the machine does.

use rustix::time::{clock_gettime, ClockId};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// The Unix clock as it stood at the start, which goes on by the monotonic clock: one that is stepped meanwhile makes no span
/// longer or shorter.
#[derive(Clone, Copy, Debug)]
pub struct UnixClock {
    start: Instant,
    start_ms: f64,
}

impl UnixClock {
    /// Set by the system's clock now.
    pub fn new() -> UnixClock {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        UnixClock { start: Instant::now(), start_ms: since.map_or(0.0, |d| d.as_secs_f64() * 1e3) }
    }
    /// Milliseconds of the Unix clock.
    pub fn now_ms(&self) -> f64 {
        self.start_ms + self.start.elapsed().as_secs_f64() * 1e3
    }
}

impl Default for UnixClock {
    fn default() -> UnixClock {
        UnixClock::new()
    }
}

/// Microseconds of a clock that goes on while the machine sleeps and is never set; its zero is arbitrary, and the same for
/// all processes of one machine until that starts anew.
pub fn now() -> i64 {
    let t = clock_gettime(ClockId::Boottime);
    t.tv_sec.saturating_mul(1_000_000).saturating_add(t.tv_nsec / 1000)
}
