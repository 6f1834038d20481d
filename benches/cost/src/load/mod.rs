//! Load generator for unary calls over a few connections: closed loop (fixed concurrency) or open loop (fixed rate).

mod call;
mod clients;

pub use call::response;
pub use clients::{hold_calls, run, SERVED_CALLS};

use hdrhistogram::Histogram;
use std::time::Duration;

/// Limit of concurrent calls at a fixed rate.
const MAX_OPEN_AT_RATE: usize = 100_000;

/// The load to generate.
#[derive(Clone, Copy)]
pub struct Load {
    /// Maximum number of concurrent calls.
    pub open: usize,
    /// Calls started per second; `None` runs a closed loop.
    pub rate: Option<u64>,
    pub duration: Duration,
    /// Number of functions to call in turn, named by [`function_names`](crate::programs::function_names).
    pub functions: usize,
}

impl Load {
    /// Keeps `open` concurrent calls of `echo`.
    pub fn closed(open: usize, duration: Duration) -> Load {
        Load {
            open,
            rate: None,
            duration,
            functions: 1,
        }
    }

    /// Starts `rate` calls of `echo` per second.
    pub fn at_rate(rate: u64, duration: Duration) -> Load {
        Load {
            open: MAX_OPEN_AT_RATE,
            rate: Some(rate),
            duration,
            functions: 1,
        }
    }

    /// The same load with another duration.
    pub fn with_duration(self, duration: Duration) -> Load {
        Load { duration, ..self }
    }
}

/// Results of a load.
pub struct Measurement {
    /// Calls that ended with status `OK`.
    pub served: u64,
    /// Calls that ended in any other way.
    pub failed: u64,
    duration: Duration,
    latencies: Histogram<u64>,
}

impl Measurement {
    /// Calls served per second.
    pub fn calls_per_second(&self) -> f64 {
        self.served as f64 / self.duration.as_secs_f64()
    }

    /// A latency quantile, in microseconds.
    pub fn latency_micros(&self, quantile: f64) -> f64 {
        self.latencies.value_at_quantile(quantile) as f64 / 1000.0
    }
}

/// The upper median, or 0 if `figures` is empty.
pub fn median(mut figures: Vec<f64>) -> f64 {
    figures.sort_by(f64::total_cmp);
    figures.get(figures.len() / 2).copied().unwrap_or(0.0)
}
