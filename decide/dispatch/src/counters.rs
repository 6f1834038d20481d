//! Counters of calls, attempts and control requests.

use serde::Serialize;
use tansyrouter::Outcome;

/// Counters since the start of the process. `/account` and the JSON form use keys that differ from the field names.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counters {
    /// Calls accepted.
    #[serde(rename = "taken")]
    pub accepted: u64,
    /// Calls answered by a worker.
    pub served: u64,
    /// Calls refused: nothing ran, or running twice is harmless.
    pub refused: u64,
    /// Calls that failed and may have run.
    pub failed: u64,
    /// Calls abandoned by their clients.
    #[serde(rename = "departed")]
    pub abandoned: u64,
    /// Calls of functions that do not exist; these are not accepted.
    #[serde(rename = "unknown")]
    pub unknown_function: u64,
    /// Attempts sent.
    pub attempts: u64,
    /// Ended attempts by [`Outcome`]; see [`outcome_index`].
    #[serde(rename = "ends")]
    pub attempt_outcomes: [u64; 9],
    /// Response messages forwarded to clients.
    #[serde(rename = "pieces")]
    pub messages: u64,
    /// Loads sent, except queries of 0 instances.
    pub loads: u64,
    /// Loads that left no instance, and queries that failed.
    #[serde(rename = "vain")]
    pub loads_without_effect: u64,
    /// Loads of 0 instances, which only query how many are loaded.
    #[serde(rename = "asks")]
    pub instance_queries: u64,
    /// Unloads sent.
    pub unloads: u64,
    /// Probes sent.
    pub probes: u64,
    /// Worker connections dropped because nothing could be sent on them.
    #[serde(rename = "drops")]
    pub dropped_connections: u64,
    /// Refused calls whose settings conflict between versions or are not known.
    #[serde(rename = "contested")]
    pub conflicting: u64,
    /// Actions of the router that a guard rejected; nonzero indicates a defect.
    #[serde(rename = "guarded")]
    pub guard_rejections: u64,
}

/// The index of an outcome in [`Counters::attempt_outcomes`].
pub fn outcome_index(outcome: Outcome) -> usize {
    match outcome {
        Outcome::Served => 0,
        Outcome::Error => 1,
        Outcome::Rejected => 2,
        Outcome::TimedOut => 3,
        Outcome::ConnectFailed => 4,
        Outcome::ConnectionLost => 5,
        Outcome::Cancelled => 6,
        Outcome::NotSent => 7,
        Outcome::NotLoaded => 8,
    }
}

impl Counters {
    /// Whether every accepted call was answered or abandoned, or is one of the `open` calls.
    pub fn balances(&self, open: u64) -> bool {
        self.accepted == self.served + self.refused + self.failed + self.abandoned + open
    }
}

impl std::fmt::Display for Counters {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "taken={} served={} refused={} failed={} departed={} unknown={} attempts={} pieces={} loads={} vain={} asks={} \
             unloads={} probes={} drops={} guarded={} contested={}",
            self.accepted,
            self.served,
            self.refused,
            self.failed,
            self.abandoned,
            self.unknown_function,
            self.attempts,
            self.messages,
            self.loads,
            self.loads_without_effect,
            self.instance_queries,
            self.unloads,
            self.probes,
            self.dropped_connections,
            self.guard_rejections,
            self.conflicting
        )
    }
}
