//! Clocks: a Unix clock that tolerates steps, and a monotonic clock that includes suspend.

use rustix::time::{clock_gettime, ClockId};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// A Unix clock for computing how long ago other processes started. The system clock may be stepped, or be wrong
/// until it is synchronized. This clock takes the earlier of the current system time and the system time at its
/// creation plus the time elapsed since, so that a step never overstates an age.
#[derive(Clone, Copy, Debug)]
pub struct UnixClock {
    start: Instant,
    start_ms: f64,
}

impl UnixClock {
    /// Starts from the current system time.
    pub fn new() -> UnixClock {
        UnixClock {
            start: Instant::now(),
            start_ms: system_ms(),
        }
    }
    /// Unix time in milliseconds; after a step of the system clock it may be behind, but not ahead.
    pub fn earliest_ms(&self) -> f64 {
        let since_start = self.start.elapsed().as_secs_f64() * 1e3;
        system_ms().min(self.start_ms + since_start)
    }
}

/// The system time, milliseconds since the Unix epoch.
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

/// Monotonic time in microseconds that includes the time in which the machine is suspended (`CLOCK_BOOTTIME`). Its
/// epoch is the boot of the machine, the same for all processes.
pub fn now() -> i64 {
    let time = clock_gettime(ClockId::Boottime);
    time.tv_sec
        .saturating_mul(1_000_000)
        .saturating_add(time.tv_nsec / 1000)
}
