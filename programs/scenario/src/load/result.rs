//! Results of the load generator.

use hdrhistogram::{CreationError, Histogram};

/// Maximum recorded latency; longer ones are recorded as this one.
const MAX_LATENCY_US: u64 = 60_000_000;
const LATENCY_SIGNIFICANT_DIGITS: u8 = 3;

/// Counters and latencies of the calls.
#[derive(Debug)]
pub struct LoadResult {
    /// Calls started.
    pub begun: u64,
    /// Calls answered in full.
    pub served: u64,
    /// Calls refused by a front end.
    pub refused: u64,
    /// Calls that ended with another error.
    pub failed: u64,
    /// Calls that the client cancelled.
    pub cancelled: u64,
    /// Calls without an answer: no connection, a lost one, or no answer by the end of the run.
    pub lost: u64,
    /// Microseconds until the last message of served calls.
    pub latency: Histogram<u64>,
    /// Microseconds until the first message of served calls.
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
