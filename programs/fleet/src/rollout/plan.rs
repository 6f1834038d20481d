//! The plan of a rollout: read from a file, and divided into stages.

use crate::error::read_file;
use crate::machine::sample;
use crate::{FleetError, Session};
use serde::Deserialize;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::path::Path;
use tansy_rollout::{InconclusivePolicy, RolloutPlan, Target};

/// The file of a plan; what is left out takes its default.
#[derive(Deserialize, Default)]
#[serde(deny_unknown_fields)]
struct PlanFile {
    at_once: Option<usize>,
    least: Option<u64>,
    longest: Option<u64>,
    ready: Option<u64>,
    slice: Option<u64>,
    spend: Option<f64>,
    error: Option<f64>,
    matters: Option<f64>,
    accept: Option<f64>,
    warm_up: Option<u64>,
    memory: Option<u64>,
    undecided: Option<InconclusivePolicy>,
}

/// The plan of a file, without stages; the default plan without a file.
pub(super) fn read(path: Option<&Path>) -> Result<RolloutPlan, FleetError> {
    let Some(path) = path else {
        return Ok(RolloutPlan::default());
    };
    let text = read_file(path)?;
    let file: PlanFile = toml::from_str(&text).map_err(|error| FleetError::file(path, error))?;
    let default = RolloutPlan::default();
    Ok(RolloutPlan {
        max_unavailable: file.at_once.unwrap_or(default.max_unavailable),
        min_stage_seconds: file.least.unwrap_or(default.min_stage_seconds),
        max_stage_seconds: file.longest.unwrap_or(default.max_stage_seconds),
        ready_timeout_seconds: file.ready.unwrap_or(default.ready_timeout_seconds),
        sample_seconds: file.slice.unwrap_or(default.sample_seconds),
        max_value_lost: file.spend.unwrap_or(default.max_value_lost),
        error_probability: file.error.unwrap_or(default.error_probability),
        relevant_loss: file.matters.unwrap_or(default.relevant_loss),
        tolerated_loss: file.accept.unwrap_or(default.tolerated_loss),
        warm_up_seconds: file.warm_up.unwrap_or(default.warm_up_seconds),
        memory_limit_mb: file.memory.unwrap_or(default.memory_limit_mb),
        inconclusive: file.undecided.unwrap_or(default.inconclusive),
        stages: default.stages,
    })
}

/// All front ends of the fleet, each of which has to answer.
pub(super) fn targets(session: &mut Session) -> Result<Vec<Target>, FleetError> {
    let status = session.client.status(session.at)?;
    let addresses: Vec<SocketAddr> = status
        .other_members
        .iter()
        .chain(&status.process)
        .filter_map(|process| process.address.parse().ok())
        .collect();
    let mut targets: Vec<Target> = sample(&mut session.client, &addresses, |_| false)
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
            "{} of {} front ends answer: look at `status` first",
            targets.len(),
            addresses.len()
        )));
    }
    Ok(targets)
}

/// Divides front ends into stages by the share of the fleet that is changed by the end of each. Zones take turns, and voters come last,
/// so that no stage takes more of one zone than of another.
pub fn stages(targets: Vec<Target>, shares: &[f64]) -> Result<Vec<Vec<Target>>, FleetError> {
    let rising = shares.windows(2).all(|pair| pair[0] < pair[1])
        && shares.iter().all(|share| *share > 0.0 && *share <= 1.0);
    if !rising || shares.is_empty() {
        return Err(FleetError::Invalid(format!(
            "--stages {shares:?}: want shares over 0 and up to 1, each more than the one before"
        )));
    }
    let count = targets.len();
    let mut ordered = by_zones_in_turn(targets).into_iter();
    let mut stages = Vec::new();
    let mut staged = 0;
    for share in shares {
        let end = ((share * count as f64).ceil() as usize).clamp(staged + 1, count.max(staged + 1));
        let stage: Vec<Target> = ordered.by_ref().take(end - staged).collect();
        staged = end;
        if !stage.is_empty() {
            stages.push(stage);
        }
    }
    Ok(stages)
}

fn by_zones_in_turn(targets: Vec<Target>) -> Vec<Target> {
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
