//! Call counters of a front end, and the difference between two samples of them.

use hdrhistogram::Histogram;
use std::collections::BTreeMap;

/// Significant digits of a latency histogram, which takes about 20 kB for latencies of up to a minute.
const LATENCY_DIGITS: u8 = 2;

/// Counters of the completed calls of one class since the process started. They never decrease while the process runs.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestCounters {
    /// Completed calls.
    pub requested: u64,
    /// Calls that a worker answered.
    pub served: u64,
    /// Calls that were rejected before any worker ran them.
    pub rejected: u64,
    /// Calls that failed.
    pub failed: u64,
    /// Total value that the calls would have had if answered in time; at most 1 for each call.
    pub value_requested: f64,
    /// Total value of the answers.
    pub value_served: f64,
    /// Latency of served calls from arrival to the final answer, in microseconds.
    pub latency: Histogram<u64>,
}

impl Default for RequestCounters {
    fn default() -> RequestCounters {
        let latency =
            Histogram::new(LATENCY_DIGITS).expect("the number of digits is in the allowed range");
        RequestCounters {
            requested: 0,
            served: 0,
            rejected: 0,
            failed: 0,
            value_requested: 0.0,
            value_served: 0.0,
            latency,
        }
    }
}

impl RequestCounters {
    /// Adds other counters.
    pub fn add(&mut self, other: &RequestCounters) {
        self.requested += other.requested;
        self.served += other.served;
        self.rejected += other.rejected;
        self.failed += other.failed;
        self.value_requested += other.value_requested;
        self.value_served += other.value_served;
        // Both histograms resize automatically, so adding cannot fail.
        let _ = self.latency.add(&other.latency);
    }

    /// The difference from an earlier sample of the same process.
    pub fn since(&self, earlier: &RequestCounters) -> RequestCounters {
        let mut latency = self.latency.clone();
        if latency.subtract(&earlier.latency).is_err() {
            latency.reset();
        }
        RequestCounters {
            requested: self.requested.saturating_sub(earlier.requested),
            served: self.served.saturating_sub(earlier.served),
            rejected: self.rejected.saturating_sub(earlier.rejected),
            failed: self.failed.saturating_sub(earlier.failed),
            value_requested: (self.value_requested - earlier.value_requested).max(0.0),
            value_served: (self.value_served - earlier.value_served).max(0.0),
            latency,
        }
    }

    /// Number of served calls with a latency above `threshold` microseconds.
    pub fn slower_than(&self, threshold: u64) -> u64 {
        self.latency
            .len()
            .saturating_sub(self.latency.count_between(0, threshold))
    }
}

/// One sample of a front end.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FrontEndReport {
    /// Name of the front end.
    pub name: String,
    /// Zone of the front end.
    pub zone: String,
    /// Whether the front end has the change: it runs the new program, or applies the new settings.
    pub is_canary: bool,
    /// Identifies the process. A later process has a larger number, and its counters begin at 0.
    pub incarnation: u64,
    /// Seconds since the process began to serve.
    pub uptime_seconds: f64,
    /// Counters by class.
    pub classes: BTreeMap<String, RequestCounters>,
    /// Memory in use by the process, in megabytes.
    pub memory_mb: f64,
    /// Number of times that a runtime check of the front end blocked an action. Such an action is always a defect.
    pub guard_interventions: u64,
}
