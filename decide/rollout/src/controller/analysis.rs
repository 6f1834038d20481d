//! The analysis of a stage, as the controller feeds it.

use crate::state::Rollout;
use tansy_canary::{
    AnalysisParameters, CanaryAnalysis, FrontEndReport, Measurement, UnplannedExit,
};

/// Crashes in a row that fail a stage.
const CRASH_LOOP: u32 = 3;

/// The analysis in progress, and the value of [`Rollout::analyses`] that it belongs to.
#[derive(Clone, Debug)]
pub(super) struct RunningAnalysis {
    number: u64,
    pub(super) analysis: CanaryAnalysis,
    /// Crashes of the stage that it was given.
    crashes_seen: usize,
}

/// How much of the value of all calls is lost to the change.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ValueLost {
    lost: f64,
    total: f64,
}

impl RunningAnalysis {
    pub(super) fn new(rollout: &Rollout) -> RunningAnalysis {
        RunningAnalysis {
            number: u64::from(rollout.analyses),
            analysis: CanaryAnalysis::new(analysis_parameters(rollout), stage_names(rollout)),
            crashes_seen: 0,
        }
    }

    /// Goes on to the analysis of the present stage, if it is still that of an earlier one.
    pub(super) fn set_number(&mut self, rollout: &Rollout) {
        let number = u64::from(rollout.analyses);
        if self.number != number {
            self.number = number;
            self.analysis
                .next(stage_names(rollout), error_share(rollout));
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
        error: error_share(rollout),
        relevant_loss: plan.relevant_loss,
        tolerated_loss: plan.tolerated_loss,
        warm_up: plan.warm_up_seconds as f64,
        memory: plan.memory_limit_mb as f64,
        ..AnalysisParameters::default()
    }
}

/// This analysis' part of the plan's probability of error. The parts are those of the series of inverse squares, so that they add up to
/// the whole however many analyses are begun.
fn error_share(rollout: &Rollout) -> f64 {
    let number = f64::from(rollout.analyses.max(1));
    rollout.plan.error_probability * 6.0
        / (std::f64::consts::PI * std::f64::consts::PI * number * number)
}

impl ValueLost {
    /// The value that the new side certainly lost, beside the value of all calls.
    pub(super) fn of(reports: &[FrontEndReport], measurements: &[Measurement]) -> ValueLost {
        let wanted = |new_only: bool| -> f64 {
            reports
                .iter()
                .filter(|report| report.is_canary || !new_only)
                .flat_map(|report| report.classes.values())
                .map(|counters| counters.value_requested)
                .sum()
        };
        let share = measurements
            .iter()
            .find(|measurement| measurement.metric == "service")
            .map_or(0.0, |service| (service.loss - service.half_width).max(0.0));
        ValueLost {
            lost: share * wanted(true),
            total: wanted(false),
        }
    }

    /// In words, if more than this share is lost.
    pub(super) fn excess(&self, allowed: f64) -> Option<String> {
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
