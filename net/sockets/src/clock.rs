//! A clock for what must end in time whatever the machine does.

use rustix::time::{clock_gettime, ClockId};

/// Microseconds of a clock that goes on while the machine sleeps and is never set; its zero is arbitrary, and the same for
/// all processes of one machine until that starts anew.
pub fn now() -> i64 {
    let t = clock_gettime(ClockId::Boottime);
    t.tv_sec.saturating_mul(1_000_000).saturating_add(t.tv_nsec / 1000)
}
