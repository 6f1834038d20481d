//! Waiting for a state that another thread or process reaches by itself.

use std::fmt::Display;
use std::time::{Duration, Instant};

/// Repeats a check until it succeeds, and gives its result. The check's error is the state that was found instead.
///
/// # Panics
///
/// With the last state, if the check still fails after this time.
#[track_caller]
pub fn poll_until<T, S: Display>(within: Duration, mut check: impl FnMut() -> Result<T, S>) -> T {
    let end = Instant::now() + within;
    loop {
        match check() {
            Ok(result) => return result,
            Err(state) => assert!(Instant::now() < end, "still not, after {within:?}: {state}"),
        }
        std::thread::yield_now();
    }
}
