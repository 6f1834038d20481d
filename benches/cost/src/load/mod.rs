//! The load: unary calls on a few connections, a fixed number open at once, or so many a second whatever comes back.

mod call;
mod clients;

pub use call::response;
pub use clients::{hold, run, SERVED_CALLS};

use hdrhistogram::Histogram;
use std::time::Duration;

/// Calls open at once, at most, when so many a second are started.
const MAX_OPEN_AT_RATE: usize = 100_000;

/// What load is put on a port.
#[derive(Clone, Copy)]
pub struct Load {
    /// Calls open at once, at most.
    pub open: usize,
    /// Calls a second; none: as many as come back.
    pub rate: Option<u64>,
    /// For how long.
    pub span: Duration,
    /// Functions that are called in turn: `echo`, or `f0`, `f1` and so on.
    pub functions: usize,
}

impl Load {
    /// So many calls of `echo` open at once.
    pub fn closed(open: usize, span: Duration) -> Load {
        Load {
            open,
            rate: None,
            span,
            functions: 1,
        }
    }

    /// So many calls of `echo` a second.
    pub fn at_rate(rate: u64, span: Duration) -> Load {
        Load {
            open: MAX_OPEN_AT_RATE,
            rate: Some(rate),
            span,
            functions: 1,
        }
    }

    /// The same for another time.
    pub fn for_span(self, span: Duration) -> Load {
        Load { span, ..self }
    }
}

/// What came of a load.
pub struct Measurement {
    /// Calls that were served.
    pub served: u64,
    /// Calls that were not.
    pub failed: u64,
    span: Duration,
    latencies: Histogram<u64>,
}

impl Measurement {
    /// Calls served a second.
    pub fn calls_per_second(&self) -> f64 {
        self.served as f64 / self.span.as_secs_f64()
    }

    /// A quantile of the latencies, microseconds.
    pub fn latency_micros(&self, quantile: f64) -> f64 {
        self.latencies.value_at_quantile(quantile) as f64 / 1000.0
    }
}

/// The middle of some figures, 0 if there are none.
pub fn median(mut figures: Vec<f64>) -> f64 {
    figures.sort_by(f64::total_cmp);
    figures.get(figures.len() / 2).copied().unwrap_or(0.0)
}
