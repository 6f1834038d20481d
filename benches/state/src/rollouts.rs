//! Rollouts over all front ends of a fleet, in virtual time: what an observation costs a rollout controller, and how long a
//! rollout lasts. Replies are the real messages, decoded as a controller does.

mod controller_cost;
mod duration;
mod fleet;

pub(crate) use controller_cost::controller_cost;
pub(crate) use duration::rollout_duration;

use crate::measure::OutputRecord;
use crate::{Args, BenchError};
use tansy_rollout::{Rollout, RolloutChange, RolloutPlan, RolloutRejection, Target, Time, SECOND};

/// Zones of the fleet.
const ZONES: usize = 17;
/// Voters of the fleet.
const VOTERS: usize = 5;
/// Between two observations, as `tansy-fleet up` and `tansy-fleet steer` make them.
const POLL_INTERVAL: Time = SECOND / 4;
/// From the request to restart a front end to its being ready again.
const RESTART_TIME: Time = 5 * SECOND;
/// Shares of the fleet that are changed by the end of each stage, as `tansy-fleet rollout begin` has them.
const STAGES: [f64; 3] = [0.1, 0.3, 1.0];
/// The label of the new program.
const NEW_LABEL: &str = "new";
/// The name of the controller.
const CONTROLLER: &str = "steerer";

/// The plan for so many front ends: all zones in turn, the voters last.
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

/// A rollout of a new program.
fn begin_rollout(front_ends: usize) -> Result<Rollout, RolloutRejection> {
    let change = RolloutChange::Program {
        label: NEW_LABEL.into(),
        path: "/programs/new".into(),
    };
    Rollout::begin(1, change, plan(front_ends), "measured".into())
}

/// Notes that a rollout over so many front ends is rejected.
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
