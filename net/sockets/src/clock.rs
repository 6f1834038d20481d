//! Clocks: for ages of what other processes started, and for spans that go on while the machine sleeps.

use rustix::time::{clock_gettime, ClockId};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// The Unix clock, for ages of what other processes started. It may be stepped in service, or be wrong at the start and
/// set right: the earlier is taken of what it shows now and of what it showed at the start plus the time since, so that a
/// step makes nothing older than it is.
#[derive(Clone, Copy, Debug)]
pub struct UnixClock {
    start: Instant,
    start_ms: f64,
}

impl UnixClock {
    /// From now on.
    pub fn new() -> UnixClock {
        UnixClock {
            start: Instant::now(),
            start_ms: system_ms(),
        }
    }
    /// Milliseconds of the Unix clock, rather too early than too late.
    pub fn earliest_ms(&self) -> f64 {
        let since_start = self.start.elapsed().as_secs_f64() * 1e3;
        system_ms().min(self.start_ms + since_start)
    }
}

/// The system's clock, milliseconds.
fn system_ms() -> f64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0.0, |span| span.as_secs_f64() * 1e3)
}

impl Default for UnixClock {
    fn default() -> UnixClock {
        UnixClock::new()
    }
}

/// Microseconds of a clock that goes on while the machine sleeps and is never set; its zero is arbitrary, and the same for
/// all processes of one machine until that starts anew.
pub fn now() -> i64 {
    let time = clock_gettime(ClockId::Boottime);
    time.tv_sec
        .saturating_mul(1_000_000)
        .saturating_add(time.tv_nsec / 1000)
}
