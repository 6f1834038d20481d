//! What a front end counted of its calls, and the difference between two samples of it.

use hdrhistogram::Histogram;
use std::collections::BTreeMap;

/// Final answers to calls of one class since the process began. Counts only grow while the process lives.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestCounters {
    /// Calls that ended.
    pub requested: u64,
    /// Answered by a worker.
    pub served: u64,
    /// Rejected: nothing ran.
    pub rejected: u64,
    /// Failed.
    pub failed: u64,
    /// The value of the calls had they been answered in time; that of one call is 1 at most.
    pub value_requested: f64,
    /// The value of the answers.
    pub value_served: f64,
    /// Microseconds from the arrival to the final answer, of served calls.
    pub latency: Histogram<u64>,
}

impl Default for RequestCounters {
    fn default() -> RequestCounters {
        // It grows as needed, to some 20 kB for latencies up to a minute.
        let latency = Histogram::new(2).expect("two digits are allowed");
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
    /// Adds the counts of another.
    pub fn add(&mut self, other: &RequestCounters) {
        self.requested += other.requested;
        self.served += other.served;
        self.rejected += other.rejected;
        self.failed += other.failed;
        self.value_requested += other.value_requested;
        self.value_served += other.value_served;
        // Both histograms resize automatically, so that adding can't fail.
        let _ = self.latency.add(&other.latency);
    }

    /// What was counted since an earlier sample of the same process.
    pub fn since(&self, before: &RequestCounters) -> RequestCounters {
        let mut latency = self.latency.clone();
        if latency.subtract(&before.latency).is_err() {
            latency.reset();
        }
        RequestCounters {
            requested: self.requested.saturating_sub(before.requested),
            served: self.served.saturating_sub(before.served),
            rejected: self.rejected.saturating_sub(before.rejected),
            failed: self.failed.saturating_sub(before.failed),
            value_requested: (self.value_requested - before.value_requested).max(0.0),
            value_served: (self.value_served - before.value_served).max(0.0),
            latency,
        }
    }

    /// Served calls that took longer than this many microseconds.
    pub fn slower(&self, threshold: u64) -> u64 {
        self.latency
            .len()
            .saturating_sub(self.latency.count_between(0, threshold))
    }
}

/// One sample of a front end.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FrontEndReport {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Whether it is on the new side: runs the new program, or acts on the new settings.
    pub is_canary: bool,
    /// The process; a later one has a larger number, and its counts begin at 0.
    pub incarnation: u64,
    /// Seconds since it began to serve.
    pub uptime_seconds: f64,
    /// The counts by class.
    pub classes: BTreeMap<String, RequestCounters>,
    /// Memory in use, in megabytes.
    pub memory_mb: f64,
    /// Times that an internal guard prevented something, which happens only by a defect.
    pub guard_interventions: u64,
}
