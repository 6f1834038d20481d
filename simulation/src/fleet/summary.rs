//! Results of single runs and summaries over many.

use super::{run, SimulationOptions};
use crate::scale::Quantiles;
use serde::Serialize;

/// The result of a run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct SimulationResult {
    /// The seed of the run.
    pub seed: u64,
    /// The violations found by the audit, with their times.
    #[serde(rename = "broken")]
    pub violations: Vec<String>,
    /// Number of versions that came into force.
    pub in_force: u64,
    /// Number of scope changes that came into force.
    pub scopes_in_force: u64,
    /// Number of scope changes that were abandoned.
    #[serde(rename = "scopes_back")]
    pub scopes_reverted: u64,
    /// Number of voters that were replaced.
    pub replaced: u64,
    /// For each version, the time from its proposal until it is in force at every reachable front end, in milliseconds.
    #[serde(rename = "force_ms")]
    pub in_force_ms: Vec<u64>,
    /// Share of the front ends' uptime without a valid lease.
    #[serde(rename = "lapsed")]
    pub without_lease: f64,
    /// Share of the front ends' uptime without a valid session.
    #[serde(rename = "stayless")]
    pub without_session: f64,
    /// Messages per front end and second.
    pub messages: f64,
    /// Message bytes per front end and second, computed by [`crate::message_size::message_size`].
    pub bytes: f64,
    /// Messages from or to voters per second.
    #[serde(rename = "seat_messages")]
    pub voter_messages: f64,
}

/// A summary of many runs.
#[derive(Clone, Debug, Serialize)]
pub struct SimulationSummary {
    /// Number of front ends.
    #[serde(rename = "fronts")]
    pub front_ends: usize,
    /// Number of runs.
    pub seeds: u64,
    /// The seed and the first violation of each run that has one.
    #[serde(rename = "broken")]
    pub violations: Vec<(u64, String)>,
    /// Number of versions that came into force.
    pub in_force: u64,
    /// Number of scope changes that came into force.
    pub scopes_in_force: u64,
    /// Number of scope changes that were abandoned.
    #[serde(rename = "scopes_back")]
    pub scopes_reverted: u64,
    /// Number of voters that were replaced.
    pub replaced: u64,
    /// Time from a proposal until the version is in force everywhere, in milliseconds: median, 99th percentile, maximum.
    #[serde(rename = "force_ms")]
    pub in_force_ms: [u64; 3],
    /// Mean share of uptime without a valid lease.
    #[serde(rename = "lapsed")]
    pub without_lease: f64,
    /// Mean share of uptime without a valid session.
    #[serde(rename = "stayless")]
    pub without_session: f64,
    /// Messages per front end and second.
    pub messages: f64,
    /// Message bytes per front end and second.
    pub bytes: f64,
    /// Messages from or to voters per second.
    #[serde(rename = "seat_messages")]
    pub voter_messages: f64,
}

/// Simulates the seeds `from..from + seeds` on `threads` threads. The summary does not depend on the number of threads.
pub fn many(
    options: &SimulationOptions,
    from: u64,
    seeds: u64,
    threads: usize,
) -> SimulationSummary {
    let mut results = crate::run_seeds(from, seeds, threads, |seed| run(options, seed));
    results.sort_by_key(|result| result.seed);
    let in_force_ms: Vec<u64> = results
        .iter()
        .flat_map(|result| &result.in_force_ms)
        .copied()
        .collect();
    let in_force = Quantiles::of(&in_force_ms).unwrap_or_default();
    let mean = |of: fn(&SimulationResult) -> f64| {
        results.iter().map(of).sum::<f64>() / results.len().max(1) as f64
    };
    let sum = |of: fn(&SimulationResult) -> u64| results.iter().map(of).sum();
    let violations = results
        .iter()
        .filter_map(|result| Some((result.seed, result.violations.first()?.clone())));
    SimulationSummary {
        front_ends: options.front_ends,
        seeds,
        violations: violations.collect(),
        in_force: sum(|result| result.in_force),
        scopes_in_force: sum(|result| result.scopes_in_force),
        scopes_reverted: sum(|result| result.scopes_reverted),
        replaced: sum(|result| result.replaced),
        in_force_ms: [in_force.p50, in_force.p99, in_force.max].map(|ms| ms as u64),
        without_lease: mean(|result| result.without_lease),
        without_session: mean(|result| result.without_session),
        messages: mean(|result| result.messages),
        bytes: mean(|result| result.bytes),
        voter_messages: mean(|result| result.voter_messages),
    }
}
