//! The scenario `agree`: a run with changes of the settings, then a baseline run without.

use super::arguments::{ArgumentError, Arguments};
use super::{exit_code, print_json, print_violations, CommandError};
use crate::agreement::{self, ScenarioOptions, ScenarioReport, CONTRADICTION_LIMIT};
use std::ops::RangeInclusive;
use std::process::ExitCode;

const DEFAULT_FRONT_ENDS: usize = 7;
const DEFAULT_RATE: u64 = 300;
const FRONT_ENDS: RangeInclusive<usize> = 3..=40;
const ROUNDS: RangeInclusive<usize> = 1..=1000;
const VOTERS: [usize; 4] = [1, 3, 5, 7];

/// The printed result, with the field names that scripts read.
#[derive(serde::Serialize)]
struct ResultLine<'a> {
    scenario: &'static str,
    seed: u64,
    ok: bool,
    #[serde(rename = "bound_ms")]
    limit_ms: u128,
    contradiction_ms: f64,
    #[serde(rename = "served")]
    served_share: f64,
    #[serde(rename = "served_plain")]
    baseline_served_share: Option<f64>,
    #[serde(rename = "breaches")]
    violations: usize,
    in_force: usize,
    not_in_force: usize,
    #[serde(rename = "force_ms")]
    in_force_ms: &'a [u64],
    killed: usize,
    #[serde(rename = "shown")]
    conclusive_calls: usize,
}

/// Runs the scenario and prints its result.
pub(super) fn run(arguments: &Arguments) -> Result<ExitCode, CommandError> {
    let options = options(arguments)?;
    let report = agreement::run(&options)?;
    let baseline = run_baseline(arguments, &options)?;
    let violations = print_violations(
        &report.violations,
        baseline.as_ref().map(|run| run.violations.as_slice()),
        arguments.max_printed,
    );
    // Without a change in force, or without conclusive calls, contradictions could not have been detected.
    let ok = violations == 0 && report.in_force > 0 && report.conclusive_calls > 0;
    let line = ResultLine {
        scenario: "agree",
        seed: options.seed,
        ok,
        limit_ms: CONTRADICTION_LIMIT.as_millis(),
        contradiction_ms: report.contradiction_ms(),
        served_share: report.served_share,
        baseline_served_share: baseline.map(|run| run.served_share),
        violations,
        in_force: report.in_force,
        not_in_force: report.not_in_force,
        in_force_ms: &report.in_force_ms,
        killed: report.killed,
        conclusive_calls: report.conclusive_calls,
    };
    if arguments.json {
        print_json(&line);
    } else {
        print_text(&line);
    }
    Ok(exit_code(ok))
}

fn options(arguments: &Arguments) -> Result<ScenarioOptions, ArgumentError> {
    let front_ends = arguments.front_ends.unwrap_or(DEFAULT_FRONT_ENDS);
    let (voters, rounds) = (arguments.voters, arguments.rounds);
    if !FRONT_ENDS.contains(&front_ends) || !ROUNDS.contains(&rounds) {
        return Err(ArgumentError::AgreementSize { front_ends, rounds });
    }
    if !VOTERS.contains(&voters) || voters > front_ends {
        return Err(ArgumentError::Voters { voters });
    }
    Ok(ScenarioOptions {
        seed: arguments.seed,
        front_ends,
        voters,
        rounds,
        rate: arguments.rate.unwrap_or(DEFAULT_RATE),
        changes: true,
        outsider: arguments.outsider,
        log_folder: arguments.log_folder.clone(),
    })
}

/// Runs the scenario without changes, unless `--no-plain` is given.
fn run_baseline(
    arguments: &Arguments,
    options: &ScenarioOptions,
) -> Result<Option<ScenarioReport>, CommandError> {
    if arguments.no_baseline {
        return Ok(None);
    }
    let options = ScenarioOptions {
        changes: false,
        log_folder: None,
        ..options.clone()
    };
    Ok(Some(agreement::run(&options)?))
}

fn print_text(line: &ResultLine<'_>) {
    println!(
        "changes: in force {} not {} ({:?} ms); contradiction {:.1} ms of {} allowed, shown by {} calls",
        line.in_force,
        line.not_in_force,
        line.in_force_ms,
        line.contradiction_ms,
        line.limit_ms,
        line.conclusive_calls
    );
    let baseline = line.baseline_served_share.map_or(String::new(), |share| {
        format!(", without changes {share:.4}")
    });
    println!(
        "served {:.4}{baseline}; killed {}",
        line.served_share, line.killed
    );
    if line.ok {
        println!("verdict: no rule broken");
    } else {
        println!("verdict: {} violations", line.violations);
    }
}
