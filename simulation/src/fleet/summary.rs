//! How a run went, and many runs together.

use super::{run, SimulationOptions};
use crate::scale::Quantiles;
use serde::Serialize;

/// How a run went.
#[derive(Clone, Debug, Default, Serialize)]
pub struct SimulationResult {
    /// Its seed.
    pub seed: u64,
    /// What the audit found, with its time; empty: nothing.
    #[serde(rename = "broken")]
    pub violations: Vec<String>,
    /// Versions that came in force.
    pub in_force: u64,
    /// Changes of single scopes that came in force.
    pub scopes_in_force: u64,
    /// Changes of single scopes that were abandoned.
    #[serde(rename = "scopes_back")]
    pub scopes_reverted: u64,
    /// Voters that were replaced.
    pub replaced: u64,
    /// From a proposal to force at every front end that can be reached, milliseconds each.
    #[serde(rename = "force_ms")]
    pub in_force_ms: Vec<u64>,
    /// Share of front ends' time up in which they had no live lease.
    #[serde(rename = "lapsed")]
    pub without_lease: f64,
    /// Share of it in which they had no live session.
    #[serde(rename = "stayless")]
    pub without_session: f64,
    /// Messages a front end a second.
    pub messages: f64,
    /// Bytes of messages a front end a second, by [`crate::message_size::message_size`].
    pub bytes: f64,
    /// Messages from or to the voters, a second.
    #[serde(rename = "seat_messages")]
    pub voter_messages: f64,
}

/// Many runs together.
#[derive(Clone, Debug, Serialize)]
pub struct SimulationSummary {
    /// Front ends.
    #[serde(rename = "fronts")]
    pub front_ends: usize,
    /// Runs.
    pub seeds: u64,
    /// Runs with a violation: the seed, and the first one.
    #[serde(rename = "broken")]
    pub violations: Vec<(u64, String)>,
    /// Versions that came in force.
    pub in_force: u64,
    /// Changes of single scopes that came in force.
    pub scopes_in_force: u64,
    /// Changes of single scopes that were abandoned.
    #[serde(rename = "scopes_back")]
    pub scopes_reverted: u64,
    /// Voters that were replaced.
    pub replaced: u64,
    /// From a proposal to force everywhere, milliseconds: median, 99th percentile, longest.
    #[serde(rename = "force_ms")]
    pub in_force_ms: [u64; 3],
    /// Share of time without a live lease.
    #[serde(rename = "lapsed")]
    pub without_lease: f64,
    /// Share of time without a live session.
    #[serde(rename = "stayless")]
    pub without_session: f64,
    /// Messages a front end a second.
    pub messages: f64,
    /// Bytes a front end a second.
    pub bytes: f64,
    /// Messages from or to the voters, a second.
    #[serde(rename = "seat_messages")]
    pub voter_messages: f64,
}

/// Simulates seeds `from` to `from + seeds` on so many threads. The summary does not depend on their number.
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
