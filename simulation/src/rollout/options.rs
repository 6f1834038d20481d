//! What is simulated: the change, the rule that decides, and the plan.

use serde::Serialize;
use tansy_rollout::{InconclusivePolicy, RolloutPlan, Target};

/// What the change does to a front end that runs it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub enum Regression {
    /// Nothing.
    None,
    /// It loses this share more of its requests.
    All(f64),
    /// The same, in one class alone.
    Class(f64),
    /// The same, in one zone alone.
    Zone(f64),
    /// The same, from two minutes after its start.
    Late(f64),
    /// This share more of its answers is slow.
    Slow(f64),
    /// It rejects this share at once, answers the rest faster, and what it rejects falls to its unchanged siblings.
    Shed(f64),
    /// It takes a megabyte more each so many seconds.
    Leak(f64),
    /// Nothing; but a zone is lost for a minute in the middle of the first analysis.
    ZoneLost,
    /// Nothing; but traffic doubles in the middle of it.
    Doubles,
}

/// How it is decided whether the change does worse.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub enum DecisionRule {
    /// The product's canary analysis.
    Verdict,
    /// Fixed: over a stage, the changed side's loss exceeds the unchanged side's by this share.
    Threshold(f64),
    /// Fixed: the changed side's loss exceeds the fleet's loss before the change by this share.
    OwnPast(f64),
}

/// What is simulated.
#[derive(Clone, Debug, Serialize)]
pub struct RolloutOptions {
    /// Front ends.
    #[serde(rename = "fronts")]
    pub front_ends: usize,
    /// Zones.
    pub zones: usize,
    /// Requests a second at a front end of mean traffic.
    pub rate: f64,
    /// The share that is usually lost.
    pub loss: f64,
    /// The change.
    #[serde(rename = "harm")]
    pub regression: Regression,
    /// The rule.
    pub rule: DecisionRule,
    /// Seconds that a stage lasts at least.
    #[serde(rename = "least")]
    pub shortest_stage: u64,
    /// Seconds that a stage lasts at most.
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

/// The plan of a simulation: one front end of each zone, then a fifth, half, all.
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
