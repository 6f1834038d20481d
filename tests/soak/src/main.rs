//! `tansy-soak`: runs the fault soak over a range of seeds, and prints the invariants that were violated.

use clap::Parser;
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;
use tansy_soak::oracle::{Oracle, Violation};
use tansy_soak::{run, Options, SoakOutcome};

/// Runs real front-end processes on loopback under randomized faults, and checks invariants.
///
/// Exit codes: 0 if all invariants hold, 1 if one is violated, 2 if a run failed.
#[derive(Parser)]
struct Arguments {
    /// Path of the front end's program.
    #[arg(long)]
    gateway: PathBuf,
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of runs, each with the next seed.
    #[arg(long, default_value_t = 1)]
    runs: u64,
    /// Number of front ends.
    #[arg(long, default_value_t = 12)]
    front_ends: usize,
    /// Number of workers.
    #[arg(long, default_value_t = 8)]
    workers: usize,
    /// Clients of each front end.
    #[arg(long, default_value_t = 4)]
    clients: usize,
    /// Seconds for which faults are injected.
    #[arg(long, default_value_t = 15)]
    seconds: u64,
    /// Violations of each invariant that are printed with their timelines.
    #[arg(long, default_value_t = 3)]
    show: usize,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let runtime = match tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(error) => return failed_run(&error),
    };
    let mut all_hold = true;
    for seed in arguments.seed..arguments.seed + arguments.runs {
        let options = Options {
            gateway: arguments.gateway.clone(),
            seed,
            front_ends: arguments.front_ends,
            workers: arguments.workers,
            clients: arguments.clients,
            duration: Duration::from_secs(arguments.seconds),
        };
        match runtime.block_on(run(&options)) {
            Ok(outcome) => all_hold &= print_outcome(seed, &outcome, arguments.show),
            Err(error) => return failed_run(&error),
        }
    }
    if all_hold {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(1)
    }
}

fn failed_run(error: &dyn std::fmt::Display) -> ExitCode {
    eprintln!("the soak could not go on: {error}");
    ExitCode::from(2)
}

/// Prints the counts and violations of a run, and removes the logs of a run without violations. Returns whether all invariants hold,
/// doubtful violations aside.
fn print_outcome(seed: u64, outcome: &SoakOutcome, show: usize) -> bool {
    let oracle = &outcome.oracle;
    let certain = oracle.violations().iter().filter(|v| !v.doubtful).count();
    print_counts(seed, oracle, certain);
    let mut kinds = BTreeMap::new();
    for violation in oracle.violations() {
        let (certain, doubtful) = kinds.entry(violation.invariant).or_insert((0, 0));
        *if violation.doubtful {
            doubtful
        } else {
            certain
        } += 1;
    }
    for (invariant, (certain, doubtful)) in &kinds {
        println!("  {invariant:?}: {certain}, doubtful {doubtful}");
        let examples = oracle
            .violations()
            .iter()
            .filter(|v| v.invariant == *invariant && !v.doubtful);
        for violation in examples.take(show) {
            print_violation(oracle, violation);
        }
    }
    if oracle.violations().is_empty() {
        let _ = std::fs::remove_dir_all(&outcome.folder);
    } else {
        println!("  logs: {}", outcome.folder.display());
    }
    certain == 0
}

fn print_counts(seed: u64, oracle: &Oracle, certain: usize) {
    let counts = &oracle.counts;
    println!(
        "seed {seed}: {certain} violations, {} doubtful; {} sent, {:?}, {} disconnected, {} excused, {} attempts, {} processes, \
         {} signals, {} fault changes",
        oracle.violations().len() - certain,
        counts.sent,
        counts.statuses,
        counts.disconnected,
        counts.excused,
        counts.attempts,
        counts.processes,
        counts.signals,
        counts.fault_changes
    );
}

/// Prints a violation and the timeline of its request.
fn print_violation(oracle: &Oracle, violation: &Violation) {
    println!(
        "    {:9.3} s  {} {}",
        violation.at.as_secs_f64(),
        violation
            .id
            .map_or(String::new(), |id| format!("{id:016x}")),
        violation.description
    );
    let timeline = violation.id.map(|id| oracle.timeline(id));
    for line in timeline.into_iter().flatten() {
        println!("      {line}");
    }
}
