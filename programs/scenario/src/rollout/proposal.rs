//! Starts the rollout.

use super::cluster::Cluster;
use super::options::ScenarioOptions;
use super::{zone_of, VOTERS, ZONES};
use crate::error::ScenarioError;
use crate::fleet;
use std::time::{Duration, Instant};
use tansy_fleet::processes::program_label;
use tansy_fleet::rollout::stages;
use tansy_fleet_wire::encode_rollout_entry;
use tansy_fleet_wire::pb::enter_request::Entry;
use tansy_rollout::{InconclusivePolicy, RolloutChange, RolloutEntry, RolloutPlan, Target};

/// Cumulative share of the front ends that run the new program after each stage.
const STAGE_SHARES: [f64; 3] = [0.25, 0.5, 1.0];
/// Maximum time until a leader accepts the rollout.
const BEGIN_TIMEOUT: Duration = Duration::from_secs(10);
/// Reason text in the rollout's entry.
const REASON: &str = "the day's";

impl Cluster {
    /// Starts the rollout of the new program.
    pub fn begin_rollout(&mut self, options: &ScenarioOptions) -> Result<(), ScenarioError> {
        let path = self.folder.new_program();
        let entry = RolloutEntry::Begin {
            id: 1 + options.seed,
            change: RolloutChange::Program {
                label: program_label(&path).map_err(ScenarioError::file(&path))?,
                path: path.display().to_string(),
            },
            plan: plan(options)?,
            reason: REASON.into(),
        };
        let voters = self.peers[..VOTERS].to_vec();
        let deadline = Instant::now() + BEGIN_TIMEOUT;
        while Instant::now() < deadline {
            let Some((leader, _)) = fleet::find_leader(&mut self.client, &voters) else {
                continue;
            };
            let entry = Entry::Rollout(encode_rollout_entry(&entry, None));
            if self.client.enter(leader, entry).is_ok() {
                return Ok(());
            }
        }
        Err(ScenarioError::RolloutNotStarted { voters })
    }
}

fn plan(options: &ScenarioOptions) -> Result<RolloutPlan, ScenarioError> {
    let target = |front: usize| Target {
        name: format!("f{front}"),
        zone: ZONES[zone_of(front)].into(),
        is_voter: front < VOTERS,
    };
    let targets = (0..options.front_ends).map(target).collect();
    Ok(RolloutPlan {
        stages: stages(targets, &STAGE_SHARES)?,
        min_stage_seconds: options.min_stage_seconds,
        max_stage_seconds: 4 * options.min_stage_seconds,
        ready_timeout_seconds: 25,
        sample_seconds: 1,
        warm_up_seconds: 3,
        relevant_loss: 0.02,
        tolerated_loss: 0.1,
        max_value_lost: 0.2,
        memory_limit_mb: 400,
        inconclusive: InconclusivePolicy::Hold,
        ..RolloutPlan::default()
    })
}
