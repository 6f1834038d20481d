//! What a front end counted of its calls, and the difference between two looks at it.

use hdrhistogram::Histogram;
use std::collections::BTreeMap;

/// Final answers of one class since a process began. Counts only grow while the process lives.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestCounters {
    /// Calls that ended.
    pub requested: u64,
    /// Answered by a worker.
    pub served: u64,
    /// Refused: nothing ran.
    pub rejected: u64,
    /// Failed.
    pub failed: u64,
    /// What the calls would have been worth, answered in time; a call's most is 1.
    pub wanted: f64,
    /// What the answers were worth.
    pub worth: f64,
    /// Microseconds from arrival to the final answer, of served calls.
    pub latency: Histogram<u64>,
}

impl Default for RequestCounters {
    fn default() -> RequestCounters {
        // Grown as needed: some 20 kB for a minute.
        let latency = Histogram::new(2).expect("two digits are allowed");
        RequestCounters {
            requested: 0,
            served: 0,
            rejected: 0,
            failed: 0,
            wanted: 0.0,
            worth: 0.0,
            latency,
        }
    }
}

impl RequestCounters {
    /// Adds another's counts.
    pub fn add(&mut self, other: &RequestCounters) {
        self.requested += other.requested;
        self.served += other.served;
        self.rejected += other.rejected;
        self.failed += other.failed;
        self.wanted += other.wanted;
        self.worth += other.worth;
        // Both resize by themselves.
        let _ = self.latency.add(&other.latency);
    }

    /// What came since an earlier look at the same process.
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
            wanted: (self.wanted - before.wanted).max(0.0),
            worth: (self.worth - before.worth).max(0.0),
            latency,
        }
    }

    /// Served calls that took longer than so many microseconds.
    pub fn slower(&self, than: u64) -> u64 {
        self.latency
            .len()
            .saturating_sub(self.latency.count_between(0, than))
    }
}

/// One look at a front end.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FrontEndReport {
    /// Its name.
    pub name: String,
    /// Where it stands.
    pub zone: String,
    /// It runs the new program, or acts on the new settings.
    pub new: bool,
    /// Its process; a later one has a larger number, and its counts begin at 0.
    pub incarnation: u64,
    /// Seconds for which it has acted.
    pub up: f64,
    /// By class, since its process began.
    pub classes: BTreeMap<String, RequestCounters>,
    /// Megabytes.
    pub memory: f64,
    /// Times that a guard held something back, which never happens unless something is wrong.
    pub guarded: u64,
}
