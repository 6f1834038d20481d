//! What the clients of a scenario observed.

use hdrhistogram::{CreationError, Histogram};

/// The longest latency that is counted as it is, microseconds.
const MAX_LATENCY_US: u64 = 60_000_000;
/// Significant digits of counted latencies.
const LATENCY_SIGNIFICANT_DIGITS: u8 = 3;

/// What the clients of a scenario observed.
#[derive(Debug)]
pub struct LoadResult {
    /// Calls begun.
    pub begun: u64,
    /// Answered in full.
    pub served: u64,
    /// Refused.
    pub refused: u64,
    /// Failed.
    pub failed: u64,
    /// Cancelled by plan.
    pub cancelled: u64,
    /// No connection, or it was lost.
    pub lost: u64,
    /// Microseconds until the last message, of served calls.
    pub latency: Histogram<u64>,
    /// Microseconds until the first message, of served streams.
    pub first_message: Histogram<u64>,
}

impl LoadResult {
    pub(super) fn new() -> Result<LoadResult, CreationError> {
        let histogram =
            || Histogram::new_with_bounds(1, MAX_LATENCY_US, LATENCY_SIGNIFICANT_DIGITS);
        Ok(LoadResult {
            begun: 0,
            served: 0,
            refused: 0,
            failed: 0,
            cancelled: 0,
            lost: 0,
            latency: histogram()?,
            first_message: histogram()?,
        })
    }

    /// Share of the calls that were served.
    pub fn served_share(&self) -> f64 {
        self.served as f64 / self.begun.max(1) as f64
    }
}
