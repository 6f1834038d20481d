//! Rollouts over all front ends of a fleet, in virtual time: the cost of an observation to the rollout controller, and the
//! duration of a rollout. Replies are encoded and decoded as on the wire.

mod controller_cost;
mod duration;
mod fleet;

pub(crate) use controller_cost::controller_cost;
pub(crate) use duration::rollout_duration;

use crate::measure::OutputRecord;
use crate::{Args, BenchError};
use tansy_rollout::{Rollout, RolloutChange, RolloutPlan, RolloutRejection, Target, Time, SECOND};

/// Number of zones.
const ZONES: usize = 17;
/// Number of voters.
const VOTERS: usize = 5;
/// Interval between observations, as in `tansy-fleet up` and `tansy-fleet steer`.
const POLL_INTERVAL: Time = SECOND / 4;
/// Time from the request to restart a front end until it is ready again.
const RESTART_TIME: Time = 5 * SECOND;
/// Cumulative share of the fleet changed by each stage, as in `tansy-fleet rollout begin`.
const STAGES: [f64; 3] = [0.1, 0.3, 1.0];
/// Label of the new program.
const NEW_LABEL: &str = "new";
/// Name of the controller.
const CONTROLLER: &str = "steerer";

/// The plan for `front_ends` front ends: zones round-robin, voters last.
fn plan(front_ends: usize) -> RolloutPlan {
    let target = |number: usize| Target {
        name: format!("front-{number:05}"),
        zone: format!("zone-{}", number % ZONES),
        is_voter: number + VOTERS >= front_ends,
    };
    let mut stages = Vec::new();
    let mut begin = 0;
    for share in STAGES {
        let end = (share * front_ends as f64).ceil() as usize;
        let stage: Vec<Target> = (begin..end).map(target).collect();
        begin = end.max(begin);
        if !stage.is_empty() {
            stages.push(stage);
        }
    }
    RolloutPlan {
        stages,
        ..RolloutPlan::default()
    }
}

/// Begins a rollout of a new program.
fn begin_rollout(front_ends: usize) -> Result<Rollout, RolloutRejection> {
    let change = RolloutChange::Program {
        label: NEW_LABEL.into(),
        path: "/programs/new".into(),
    };
    Rollout::begin(1, change, plan(front_ends), "measured".into())
}

/// Notes in the output that the rollout was rejected.
fn add_rejection(rejection: &RolloutRejection, args: &Args, output: &mut OutputRecord) {
    output.count("refused", 1);
    output.add_note(format!(
        "a rollout over {} front ends is refused: {rejection}",
        args.front_ends
    ));
}

fn step_failed(rejection: RolloutRejection) -> BenchError {
    BenchError::failed("a step of the rollout", rejection)
}
