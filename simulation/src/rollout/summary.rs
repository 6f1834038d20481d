//! The summary of many simulated rollouts.

use super::{run, RolloutOptions, RolloutResult};
use serde::Serialize;
use std::collections::BTreeMap;

/// The summary of many rollouts.
#[derive(Clone, Debug, Serialize)]
pub struct RolloutSummary {
    /// The simulated options.
    #[serde(rename = "play")]
    pub options: RolloutOptions,
    /// Number of rollouts.
    #[serde(rename = "rolls")]
    pub rollouts: u64,
    /// Share of the rollouts that were stopped.
    pub stopped: f64,
    /// Share of the stopped rollouts that ended in each stage.
    pub stages: Vec<f64>,
    /// Seconds until a stopped rollout was decided: median and 90th percentile.
    pub seconds: [u64; 2],
    /// Median, over the stopped rollouts, of the share of requests that reached changed front ends.
    pub exposed: f64,
    /// Median duration of the completed rollouts in seconds.
    pub done_seconds: u64,
    /// Number of stopped rollouts by reason, cut off at its first colon.
    #[serde(rename = "why")]
    pub reasons: BTreeMap<String, u64>,
}

/// Simulates the seeds `from..from + rollouts` on `threads` threads. The summary does not depend on the number of threads.
pub fn many(options: &RolloutOptions, from: u64, rollouts: u64, threads: usize) -> RolloutSummary {
    let mut results: Vec<(u64, RolloutResult)> =
        crate::run_seeds(from, rollouts, threads, |seed| (seed, run(options, seed)));
    results.sort_by_key(|(seed, _)| *seed);
    let with_end = |end: &str| -> Vec<&RolloutResult> {
        let all = results.iter().map(|(_, result)| result);
        all.filter(|result| result.end == end).collect()
    };
    let stopped = with_end("stopped");
    let stopped_count = stopped.len().max(1) as f64;
    let stages = (1..=4)
        .map(|stage| stopped.iter().filter(|r| r.stage == stage).count() as f64 / stopped_count)
        .collect();
    let seconds = |results: &[&RolloutResult]| results.iter().map(|r| r.seconds).collect();
    let exposed = stopped
        .iter()
        .map(|r| (1e6 * r.exposed / r.requests.max(1.0)) as u64)
        .collect();
    RolloutSummary {
        options: options.clone(),
        rollouts,
        stopped: stopped.len() as f64 / rollouts.max(1) as f64,
        stages,
        seconds: [0.5, 0.9].map(|q| quantile(seconds(&stopped), q)),
        exposed: quantile(exposed, 0.5) as f64 / 1e6,
        done_seconds: quantile(seconds(&with_end("done")), 0.5),
        reasons: count_reasons(&stopped),
    }
}

fn quantile(mut values: Vec<u64>, quantile: f64) -> u64 {
    values.sort();
    let index = ((values.len() as f64 - 1.0) * quantile).round().max(0.0) as usize;
    values.get(index).copied().unwrap_or(0)
}

fn count_reasons(stopped: &[&RolloutResult]) -> BTreeMap<String, u64> {
    let mut reasons = BTreeMap::new();
    for result in stopped {
        let reason = result.reason.split(':').next().unwrap_or("").to_string();
        *reasons.entry(reason).or_insert(0) += 1;
    }
    reasons
}
