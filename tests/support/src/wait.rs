//! Polling for a state that another thread or process reaches.

use std::fmt::Display;
use std::time::{Duration, Instant};

/// Repeats `check` until it succeeds, and returns its result. The error of `check` describes the state that it found.
///
/// # Panics
///
/// If `check` still fails after `within`. The message has the state that was found last.
#[track_caller]
pub fn poll_until<T, S: Display>(within: Duration, mut check: impl FnMut() -> Result<T, S>) -> T {
    let end = Instant::now() + within;
    loop {
        match check() {
            Ok(result) => return result,
            Err(state) => assert!(
                Instant::now() < end,
                "the check still fails after {within:?}: {state}"
            ),
        }
        std::thread::yield_now();
    }
}
