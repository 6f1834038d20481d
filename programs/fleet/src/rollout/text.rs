//! Rollouts and plans as text.

use crate::report::verdict_text;
use tansy_rollout::{Rollout, RolloutChange, RolloutPhase, RolloutPlan, StageObservation};

/// Number of latest steps shown.
const MAX_STEPS: usize = 8;

/// The text of a plan.
pub(super) fn plan_text(plan: &RolloutPlan) -> String {
    let mut lines = Vec::new();
    for (number, stage) in plan.stages.iter().enumerate() {
        let names: Vec<String> = stage
            .iter()
            .map(|target| format!("{} ({})", target.name, target.zone))
            .collect();
        lines.push(format!("stage {}: {}", number + 1, names.join(", ")));
    }
    lines.push(format!(
        "each from {} to {} s; {} of a zone unavailable at once; stopped at a significant loss of {} points",
        plan.min_stage_seconds,
        plan.max_stage_seconds,
        plan.max_unavailable,
        plan.relevant_loss * 100.0
    ));
    lines.join("\n")
}

/// The text of a rollout: its state, the last observation of each stage, and the latest steps.
pub fn rollout_text(rollout: &Rollout) -> String {
    let mut lines = vec![headline(rollout)];
    if !rollout.reason.is_empty() {
        lines.push(format!("  {}", rollout.reason));
    }
    lines.push(progress(rollout));
    for observation in &rollout.observations {
        add_observation(&mut lines, observation);
    }
    let hidden = rollout.steps.len().saturating_sub(MAX_STEPS);
    let steps = rollout.steps.iter().skip(hidden);
    lines.extend(steps.map(|step| format!("  - {step}")));
    lines.join("\n")
}

fn headline(rollout: &Rollout) -> String {
    let change = match &rollout.change {
        RolloutChange::Program { label, path } => {
            format!("program {path} ({})", label.get(..12).unwrap_or(label))
        }
        RolloutChange::Settings => "settings".to_string(),
    };
    let phase = match rollout.phase {
        RolloutPhase::Changing => "changing front ends",
        RolloutPhase::Analysing => "under judgement",
        RolloutPhase::RollingBack => "going back",
        RolloutPhase::Completed => "done",
        RolloutPhase::RolledBack => "stopped: all are as they were",
    };
    format!(
        "roll {} of {change}: stage {} of {}, {phase}{}",
        rollout.id,
        rollout.stage + 1,
        rollout.plan.stages.len(),
        if rollout.paused { ", paused" } else { "" }
    )
}

fn progress(rollout: &Rollout) -> String {
    let released = if rollout.released.is_empty() {
        "none".to_string()
    } else {
        rollout
            .released
            .iter()
            .cloned()
            .collect::<Vec<_>>()
            .join(", ")
    };
    let controller = if rollout.controller.is_empty() {
        "none yet, run `tansy-fleet up` or `tansy-fleet steer`"
    } else {
        &rollout.controller
    };
    format!(
        "  changed {} of {}, in progress {released}; rollout controller: {controller}",
        rollout.changed.len(),
        rollout.plan.targets().count(),
    )
}

fn add_observation(lines: &mut Vec<String>, observation: &StageObservation) {
    lines.push(format!(
        "  stage {}, {} s, {}:",
        observation.stage + 1,
        observation.elapsed_seconds,
        verdict_text(observation)
    ));
    for measurement in &observation.measurements {
        lines.push(format!(
            "    {:<24} old {:>7.3}%  new {:>7.3}%  loss {:>+7.3} +- {:.3} points ({} slices)",
            measurement.metric,
            measurement.baseline_loss_rate * 100.0,
            measurement.canary_loss_rate * 100.0,
            measurement.loss * 100.0,
            measurement.half_width * 100.0,
            measurement.slices
        ));
    }
}
