//! The plan of a rollout: its file, and the division of the fleet into stages.

use crate::error::read_file;
use crate::machine::sample;
use crate::{CommandContext, FleetError};
use serde::Deserialize;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::path::Path;
use tansy_rollout::{InconclusivePolicy, RolloutPlan, Target};

/// The file of a plan. Missing fields have the values of [`RolloutPlan::default`].
#[derive(Deserialize, Default)]
#[serde(deny_unknown_fields)]
struct PlanFile {
    #[serde(rename = "at_once")]
    max_unavailable: Option<usize>,
    #[serde(rename = "least")]
    min_stage_seconds: Option<u64>,
    #[serde(rename = "longest")]
    max_stage_seconds: Option<u64>,
    #[serde(rename = "ready")]
    ready_timeout_seconds: Option<u64>,
    #[serde(rename = "slice")]
    sample_seconds: Option<u64>,
    #[serde(rename = "spend")]
    max_value_lost: Option<f64>,
    #[serde(rename = "error")]
    error_probability: Option<f64>,
    #[serde(rename = "matters")]
    relevant_loss: Option<f64>,
    #[serde(rename = "accept")]
    tolerated_loss: Option<f64>,
    #[serde(rename = "warm_up")]
    warm_up_seconds: Option<u64>,
    #[serde(rename = "memory")]
    memory_limit_mb: Option<u64>,
    #[serde(rename = "undecided")]
    inconclusive: Option<InconclusivePolicy>,
}

/// Reads a plan without stages from a file. Without a file it is the default plan.
pub(super) fn read(path: Option<&Path>) -> Result<RolloutPlan, FleetError> {
    let Some(path) = path else {
        return Ok(RolloutPlan::default());
    };
    let text = read_file(path)?;
    let file: PlanFile = toml::from_str(&text).map_err(|error| FleetError::file(path, error))?;
    let default = RolloutPlan::default();
    Ok(RolloutPlan {
        max_unavailable: file.max_unavailable.unwrap_or(default.max_unavailable),
        min_stage_seconds: file.min_stage_seconds.unwrap_or(default.min_stage_seconds),
        max_stage_seconds: file.max_stage_seconds.unwrap_or(default.max_stage_seconds),
        ready_timeout_seconds: file
            .ready_timeout_seconds
            .unwrap_or(default.ready_timeout_seconds),
        sample_seconds: file.sample_seconds.unwrap_or(default.sample_seconds),
        max_value_lost: file.max_value_lost.unwrap_or(default.max_value_lost),
        error_probability: file.error_probability.unwrap_or(default.error_probability),
        relevant_loss: file.relevant_loss.unwrap_or(default.relevant_loss),
        tolerated_loss: file.tolerated_loss.unwrap_or(default.tolerated_loss),
        warm_up_seconds: file.warm_up_seconds.unwrap_or(default.warm_up_seconds),
        memory_limit_mb: file.memory_limit_mb.unwrap_or(default.memory_limit_mb),
        inconclusive: file.inconclusive.unwrap_or(default.inconclusive),
        stages: default.stages,
    })
}

/// All front ends of the fleet. It fails if one does not answer.
pub(super) fn targets(context: &mut CommandContext) -> Result<Vec<Target>, FleetError> {
    let status = context.client.status(context.front_end)?;
    let addresses: Vec<SocketAddr> = status
        .other_members
        .iter()
        .chain(&status.process)
        .filter_map(|process| process.address.parse().ok())
        .collect();
    let mut targets: Vec<Target> = sample(&mut context.client, &addresses, |_| false)
        .into_iter()
        .map(|(front_end, is_voter)| Target {
            name: front_end.report.name,
            zone: front_end.report.zone,
            is_voter,
        })
        .collect();
    targets.sort();
    if targets.len() < addresses.len() {
        return Err(FleetError::Unreachable(format!(
            "only {} of {} front ends answer; see `status`",
            targets.len(),
            addresses.len()
        )));
    }
    Ok(targets)
}

/// Divides front ends into stages. `shares`: the share of the fleet that is changed by the end of each stage. Stages are filled from
/// all zones in turn, so that no zone changes much faster than the others, and with the voters of each zone last.
pub fn stages(targets: Vec<Target>, shares: &[f64]) -> Result<Vec<Vec<Target>>, FleetError> {
    let is_increasing = shares.windows(2).all(|pair| pair[0] < pair[1])
        && shares.iter().all(|share| *share > 0.0 && *share <= 1.0);
    if !is_increasing || shares.is_empty() {
        return Err(FleetError::Invalid(format!(
            "--stages {shares:?}: shares must be greater than 0, at most 1, and increasing"
        )));
    }
    let count = targets.len();
    let mut ordered = interleave_zones(targets).into_iter();
    let mut stages = Vec::new();
    let mut assigned = 0;
    for share in shares {
        let end =
            ((share * count as f64).ceil() as usize).clamp(assigned + 1, count.max(assigned + 1));
        let stage: Vec<Target> = ordered.by_ref().take(end - assigned).collect();
        assigned = end;
        if !stage.is_empty() {
            stages.push(stage);
        }
    }
    Ok(stages)
}

/// Orders front ends by taking one from each zone in turn, voters after the others of their zone.
fn interleave_zones(targets: Vec<Target>) -> Vec<Target> {
    let (others, voters): (Vec<Target>, Vec<Target>) =
        targets.into_iter().partition(|target| !target.is_voter);
    let mut zones: BTreeMap<String, VecDeque<Target>> = BTreeMap::new();
    for target in others.into_iter().chain(voters) {
        zones
            .entry(target.zone.clone())
            .or_default()
            .push_back(target);
    }
    let mut ordered = Vec::new();
    while zones.values().any(|zone| !zone.is_empty()) {
        ordered.extend(zones.values_mut().filter_map(VecDeque::pop_front));
    }
    ordered
}
