//! The scenario `roll`: a rollout of a new program, then a baseline run without.

use super::arguments::{ArgumentError, Arguments};
use super::{exit_code, print_json, print_violations, CommandError};
use crate::defect::InjectedDefect;
use crate::rollout::{self, RolloutVerdict, ScenarioOptions, ScenarioReport};
use std::ops::RangeInclusive;
use std::path::Path;
use std::process::ExitCode;
use tansy_fleet::FleetError;
use tansy_rollout::Rollout;

const DEFAULT_FRONT_ENDS: usize = 12;
const DEFAULT_RATE: u64 = 400;
const FRONT_ENDS: RangeInclusive<usize> = 6..=48;
const ZONES: usize = 3;
/// Bounds of the baseline run's length, which otherwise is that of the rollout.
const BASELINE_SECONDS: RangeInclusive<f64> = 5.0..=60.0;

/// The printed result, with the field names that scripts read.
#[derive(serde::Serialize)]
struct ResultLine<'a> {
    scenario: &'static str,
    seed: u64,
    #[serde(rename = "plant")]
    defect: InjectedDefect,
    ok: bool,
    verdict: String,
    stages: usize,
    exposed_share: f64,
    lost: u64,
    #[serde(rename = "served")]
    served_share: f64,
    #[serde(rename = "served_plain")]
    baseline_served_share: Option<f64>,
    #[serde(rename = "breaches")]
    violations: usize,
    seconds: f64,
    killed: usize,
    #[serde(rename = "least_capacity")]
    min_capacity: f64,
    #[serde(rename = "why")]
    reason: &'a str,
}

/// Runs the scenario and prints its result.
pub(super) fn run(arguments: &Arguments) -> Result<ExitCode, CommandError> {
    let options = options(arguments)?;
    let report = rollout::run(&options)?;
    let baseline = run_baseline(arguments, &options, report.seconds)?;
    if let (Some(path), Some(rollout)) = (&arguments.report, &report.rollout) {
        if let Err(error) = write_page(path, rollout) {
            eprintln!("{}: {error}", path.display());
        }
    }
    let violations = print_violations(
        &report.violations,
        baseline.as_ref().map(|run| run.violations.as_slice()),
        arguments.max_printed,
    );
    for step in report.steps() {
        println!("step: {step}");
    }
    let ok = violations == 0 && report.verdict == expected_verdict(options.defect);
    print_json(&ResultLine {
        scenario: "roll",
        seed: options.seed,
        defect: options.defect,
        ok,
        verdict: report.verdict.to_string(),
        stages: report.stages(),
        exposed_share: report.exposed_share,
        lost: report.lost,
        served_share: report.served_share,
        baseline_served_share: baseline.map(|run| run.served_share),
        violations,
        seconds: report.seconds,
        killed: report.killed,
        min_capacity: report.min_capacity,
        reason: report.reason(),
    });
    Ok(exit_code(ok))
}

fn expected_verdict(defect: InjectedDefect) -> RolloutVerdict {
    if defect.is_harmless() {
        RolloutVerdict::Done
    } else {
        RolloutVerdict::Stopped
    }
}

fn options(arguments: &Arguments) -> Result<ScenarioOptions, ArgumentError> {
    let front_ends = arguments.front_ends.unwrap_or(DEFAULT_FRONT_ENDS);
    let min_stage_seconds = arguments.min_stage_seconds;
    let zones_are_equal = front_ends.is_multiple_of(ZONES);
    if !FRONT_ENDS.contains(&front_ends) || !zones_are_equal || min_stage_seconds == 0 {
        return Err(ArgumentError::RolloutSize {
            front_ends,
            min_stage_seconds,
        });
    }
    Ok(ScenarioOptions {
        seed: arguments.seed,
        defect: arguments.defect,
        front_ends,
        rate: arguments.rate.unwrap_or(DEFAULT_RATE),
        min_stage_seconds,
        old_program: arguments.old_program.clone(),
        max_seconds: arguments.max_seconds,
        baseline_seconds: None,
    })
}

/// Runs the scenario without a rollout, unless `--no-plain` is given.
fn run_baseline(
    arguments: &Arguments,
    options: &ScenarioOptions,
    seconds: f64,
) -> Result<Option<ScenarioReport>, CommandError> {
    if arguments.no_baseline {
        return Ok(None);
    }
    let seconds = seconds.clamp(*BASELINE_SECONDS.start(), *BASELINE_SECONDS.end());
    let options = ScenarioOptions {
        baseline_seconds: Some(seconds),
        defect: InjectedDefect::None,
        ..options.clone()
    };
    Ok(Some(rollout::run(&options)?))
}

/// Why the rollout's report page was not written.
#[derive(Debug, thiserror::Error)]
enum PageError {
    #[error(transparent)]
    Render(#[from] FleetError),
    #[error(transparent)]
    Write(#[from] std::io::Error),
}

fn write_page(path: &Path, rollout: &Rollout) -> Result<(), PageError> {
    let page = tansy_fleet::report::page(rollout)?;
    Ok(std::fs::write(path, page)?)
}
