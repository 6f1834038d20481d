//! The options of a simulated rollout: regression, decision rule and plan.

use serde::Serialize;
use tansy_rollout::{InconclusivePolicy, RolloutPlan, Target};

/// The effect of the change on a front end that runs it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub enum Regression {
    /// No effect.
    None,
    /// The front end loses this additional share of its requests.
    All(f64),
    /// As `All`, but only in one class.
    Class(f64),
    /// As `All`, but only in one zone.
    Zone(f64),
    /// As `All`, but only from two minutes after the start of the front end.
    Late(f64),
    /// An additional share of the answers is slow.
    Slow(f64),
    /// The front end immediately rejects this share of its requests, which shifts that load to unchanged front ends.
    Shed(f64),
    /// The front end leaks one megabyte per this many seconds.
    Leak(f64),
    /// No effect, but a zone fails for a minute during the analysis of the first stage.
    ZoneLost,
    /// No effect, but traffic doubles during the analysis of the first stage.
    Doubles,
}

/// The rule that decides whether the change is a regression.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub enum DecisionRule {
    /// The production canary analysis.
    Verdict,
    /// Fixed threshold: over a stage, the loss of changed front ends exceeds that of unchanged ones by this share.
    Threshold(f64),
    /// Fixed threshold: over a stage, the loss of changed front ends exceeds the fleet's loss before the change by this share.
    OwnPast(f64),
}

/// The options of a simulated rollout.
#[derive(Clone, Debug, Serialize)]
pub struct RolloutOptions {
    /// Number of front ends.
    #[serde(rename = "fronts")]
    pub front_ends: usize,
    /// Number of zones.
    pub zones: usize,
    /// Median request rate of a front end, per second.
    pub rate: f64,
    /// Median share of requests that a front end normally loses.
    pub loss: f64,
    /// The effect of the change.
    #[serde(rename = "harm")]
    pub regression: Regression,
    /// The decision rule.
    pub rule: DecisionRule,
    /// Minimum duration of a stage in seconds.
    #[serde(rename = "least")]
    pub shortest_stage: u64,
    /// Maximum duration of a stage in seconds.
    #[serde(rename = "longest")]
    pub longest_stage: u64,
}

impl Default for RolloutOptions {
    fn default() -> RolloutOptions {
        RolloutOptions {
            front_ends: 30,
            zones: 3,
            rate: 40.0,
            loss: 0.02,
            regression: Regression::None,
            rule: DecisionRule::Verdict,
            shortest_stage: 120,
            longest_stage: 600,
        }
    }
}

/// The rollout plan: one front end of each zone, then a fifth of the fleet, half of it, and all of it.
pub fn plan(options: &RolloutOptions) -> RolloutPlan {
    let target = |index: usize| Target {
        name: format!("f{index}"),
        zone: format!("z{}", index % options.zones),
        is_voter: index < 3,
    };
    let stage_ends = [
        options.zones,
        options.front_ends / 5,
        options.front_ends / 2,
        options.front_ends,
    ];
    let mut from = 0;
    let stages = stage_ends.into_iter().filter_map(|to| {
        let stage: Vec<Target> = (from..to.max(from)).map(target).collect();
        from = to.max(from);
        (!stage.is_empty()).then_some(stage)
    });
    RolloutPlan {
        stages: stages.collect(),
        min_stage_seconds: options.shortest_stage,
        max_stage_seconds: options.longest_stage,
        inconclusive: InconclusivePolicy::Pass,
        max_value_lost: 0.5,
        ..RolloutPlan::default()
    }
}
