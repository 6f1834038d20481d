//! The controller's canary analysis of the current stage.

use crate::state::Rollout;
use tansy_canary::{
    AnalysisParameters, CanaryAnalysis, FrontEndReport, Measurement, UnplannedExit,
};

/// Number of consecutive crashes of one front end from which the analysis counts a crash loop.
const CRASH_LOOP: u32 = 3;

/// The canary analysis of a stage. Its number is the value that [`Rollout::analyses`] had when it began.
#[derive(Clone, Debug)]
pub(super) struct StageAnalysis {
    number: u64,
    pub(super) analysis: CanaryAnalysis,
    /// Number of the stage's crashes already given to the analysis.
    crashes_seen: usize,
}

/// The value of calls lost to the change, and the value of all calls.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ValueLost {
    lost: f64,
    total: f64,
}

impl StageAnalysis {
    pub(super) fn new(rollout: &Rollout) -> StageAnalysis {
        StageAnalysis {
            number: u64::from(rollout.analyses),
            analysis: CanaryAnalysis::new(analysis_parameters(rollout), stage_names(rollout)),
            crashes_seen: 0,
        }
    }

    /// Begins a new analysis if the rollout has begun one since the last call.
    pub(super) fn begin_if_new(&mut self, rollout: &Rollout) {
        let number = u64::from(rollout.analyses);
        if self.number != number {
            self.number = number;
            self.analysis
                .begin_stage(stage_names(rollout), error_share(rollout));
            self.crashes_seen = 0;
        }
    }

    pub(super) fn add_crashes(&mut self, rollout: &Rollout) {
        for crash in rollout.crashes.iter().skip(self.crashes_seen) {
            self.analysis.on_unplanned_exit(UnplannedExit {
                name: crash.name.clone(),
                kind: crash.kind.clone(),
            });
            if crash.consecutive >= CRASH_LOOP {
                self.analysis.on_crash_loop(&crash.name, &crash.kind);
            }
        }
        self.crashes_seen = rollout.crashes.len();
    }
}

fn stage_names(rollout: &Rollout) -> impl Iterator<Item = String> + '_ {
    rollout
        .plan
        .targets_through(rollout.stage)
        .map(|target| target.name.clone())
}

fn analysis_parameters(rollout: &Rollout) -> AnalysisParameters {
    let plan = &rollout.plan;
    AnalysisParameters {
        error_probability: error_share(rollout),
        relevant_loss: plan.relevant_loss,
        tolerated_loss: plan.tolerated_loss,
        warm_up_seconds: plan.warm_up_seconds as f64,
        memory_limit_mb: plan.memory_limit_mb as f64,
        ..AnalysisParameters::default()
    }
}

/// The part of the plan's error probability that this analysis may use. The n-th analysis gets a share of 6/(π²n²): the shares of any
/// number of analyses add up to at most 1.
fn error_share(rollout: &Rollout) -> f64 {
    let number = f64::from(rollout.analyses.max(1));
    rollout.plan.error_probability * 6.0
        / (std::f64::consts::PI * std::f64::consts::PI * number * number)
}

impl ValueLost {
    /// Estimates the value lost by the canary group from the metric `service`. The loss is taken at the lower end of its confidence
    /// interval, and as at least 0, so that only a significant loss counts.
    pub(super) fn estimate(reports: &[FrontEndReport], measurements: &[Measurement]) -> ValueLost {
        let value_requested = |canary_only: bool| -> f64 {
            reports
                .iter()
                .filter(|report| report.is_canary || !canary_only)
                .flat_map(|report| report.classes.values())
                .map(|counters| counters.value_requested)
                .sum()
        };
        let share = measurements
            .iter()
            .find(|measurement| measurement.metric == "service")
            .map_or(0.0, |service| (service.loss - service.half_width).max(0.0));
        ValueLost {
            lost: share * value_requested(true),
            total: value_requested(false),
        }
    }

    /// The reason for a rollback if at least the share `allowed` is lost.
    pub(super) fn rollback_reason(&self, allowed: f64) -> Option<String> {
        let share = self.lost / self.total;
        (self.total > 0.0 && share >= allowed).then(|| {
            format!(
                "{:.2}% of all calls' worth is lost to it, {:.2}% may be",
                share * 100.0,
                allowed * 100.0
            )
        })
    }
}
