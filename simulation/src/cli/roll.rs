//! `tansy-sim roll`: simulates staged rollouts.

use super::{plot_or_fail, print_json, SeedArguments};
use crate::rollout::{many, DecisionRule, Regression, RolloutOptions, RolloutSummary};
use std::path::PathBuf;
use std::process::ExitCode;

#[derive(clap::Args)]
pub(super) struct RollArguments {
    /// Number of rollouts for each combination of rule and regression.
    #[arg(long, default_value_t = 200)]
    rolls: u64,
    #[command(flatten)]
    seed_arguments: SeedArguments,
    /// Number of front ends.
    #[arg(long, default_value_t = 30)]
    front_ends: usize,
    /// Median request rate of a front end, per second.
    #[arg(long, default_value_t = 40.0)]
    rate: f64,
    /// Simulates only changes without a regression.
    #[arg(long)]
    null: bool,
    /// Also simulates two fixed threshold rules: on the difference between changed and unchanged front ends, and on the
    /// difference from the loss before the change.
    #[arg(long)]
    plain: bool,
    /// Prints one line of JSON for each combination of rule and regression.
    #[arg(long)]
    json: bool,
    /// Plots the share of stopped rollouts against the loss into this SVG file.
    #[arg(long)]
    plot: Option<PathBuf>,
}

/// The simulated regressions.
const REGRESSIONS: [Regression; 13] = [
    Regression::None,
    Regression::All(0.03),
    Regression::All(0.05),
    Regression::All(0.1),
    Regression::All(0.2),
    Regression::Class(0.1),
    Regression::Zone(0.05),
    Regression::Late(0.05),
    Regression::Slow(0.03),
    Regression::Shed(0.05),
    Regression::Leak(1.0),
    Regression::ZoneLost,
    Regression::Doubles,
];

/// The simulated decision rules; without `--plain` only the first.
const RULES: [DecisionRule; 3] = [
    DecisionRule::Verdict,
    DecisionRule::Threshold(0.01),
    DecisionRule::OwnPast(0.01),
];

pub(super) fn run(arguments: RollArguments) -> ExitCode {
    let threads = arguments.seed_arguments.threads();
    let regressions = if arguments.null {
        &REGRESSIONS[..1]
    } else {
        &REGRESSIONS[..]
    };
    let rules = if arguments.plain {
        &RULES[..]
    } else {
        &RULES[..1]
    };
    let mut summaries = Vec::new();
    for rule in rules {
        for regression in regressions {
            let options = RolloutOptions {
                front_ends: arguments.front_ends,
                rate: arguments.rate,
                regression: *regression,
                rule: *rule,
                ..RolloutOptions::default()
            };
            let summary = many(
                &options,
                arguments.seed_arguments.from,
                arguments.rolls,
                threads,
            );
            if arguments.json {
                print_json(&summary);
            } else {
                print_summary(&summary);
            }
            summaries.push(summary);
        }
    }
    let plotted = plot_or_fail(arguments.plot, |path| {
        crate::plot::stopped_rollouts(path, &summaries)
    });
    plotted.err().unwrap_or(ExitCode::SUCCESS)
}

fn print_summary(summary: &RolloutSummary) {
    let RolloutOptions {
        rule, regression, ..
    } = summary.options;
    let stages: Vec<String> = summary
        .stages
        .iter()
        .map(|share| format!("{:.0}%", share * 100.0))
        .collect();
    println!(
        "{rule:?} {regression:?}: {} rollouts, {:.2}% stopped, in stages {}; after {} s (median), {} s (90 of 100); {:.2}% of the \
         requests reached it; done after {} s; {:?}",
        summary.rollouts,
        summary.stopped * 100.0,
        stages.join(" "),
        summary.seconds[0],
        summary.seconds[1],
        summary.exposed * 100.0,
        summary.done_seconds,
        summary.reasons
    );
}
