//! `tansy-sim agree`: simulates agreement on settings under faults.

use super::{lease_span, plot_or_fail, print_json, SeedArguments};
use crate::fleet::{
    faults, many, run as simulate, shortest_faults, InjectedDefect, SimulationOptions,
    SimulationSummary,
};
use std::path::PathBuf;
use std::process::ExitCode;

#[derive(clap::Args)]
pub(super) struct AgreeArguments {
    /// Number of front ends, voters included; several sizes are simulated one after the other.
    #[arg(long, value_delimiter = ',', default_value = "7")]
    front_ends: Vec<usize>,
    /// Number of voters, which keep the replicated log: 1, 3, 5 or 7.
    #[arg(long = "seats", default_value_t = 1)]
    voters: usize,
    /// Number of further front ends that may become voters.
    #[arg(long, default_value_t = 0)]
    spares: usize,
    /// Number of voter replacements.
    #[arg(long, default_value_t = 0)]
    replacements: usize,
    /// Number of seeds.
    #[arg(long, default_value_t = 1000)]
    seeds: u64,
    #[command(flatten)]
    seed_arguments: SeedArguments,
    /// Injects a defect, which the audit should detect.
    #[arg(long)]
    plant: Option<InjectedDefect>,
    /// Simulates only this seed; if it has a violation, prints a minimal list of faults that reproduces one.
    #[arg(long)]
    seed: Option<u64>,
    /// Disables all faults except lost and duplicated messages.
    #[arg(long)]
    quiet: bool,
    /// Number of functions whose settings are changed by scope, in addition to the versions.
    #[arg(long, default_value_t = 0)]
    scopes: usize,
    /// Lease duration in milliseconds.
    #[arg(long, default_value_t = 600)]
    lease: i64,
    /// Prints one line of JSON for each size.
    #[arg(long)]
    json: bool,
    /// Plots the time until a change is in force against the fleet size into this SVG file.
    #[arg(long)]
    plot: Option<PathBuf>,
}

pub(super) fn run(arguments: AgreeArguments) -> ExitCode {
    let threads = arguments.seed_arguments.threads();
    let mut any_violation = false;
    let mut summaries = Vec::new();
    for &front_ends in &arguments.front_ends {
        let options = options(&arguments, front_ends);
        if let Some(seed) = arguments.seed {
            any_violation |= run_one(&options, seed);
            continue;
        }
        let summary = many(
            &options,
            arguments.seed_arguments.from,
            arguments.seeds,
            threads,
        );
        any_violation |= !summary.violations.is_empty();
        if arguments.json {
            print_json(&summary);
        } else {
            print_summary(&summary, arguments.scopes > 0);
        }
        summaries.push(summary);
    }
    let plotted = plot_or_fail(arguments.plot, |path| {
        crate::plot::versions_in_force(path, &summaries)
    });
    match plotted {
        Ok(()) => ExitCode::from(u8::from(any_violation)),
        Err(code) => code,
    }
}

fn options(arguments: &AgreeArguments, front_ends: usize) -> SimulationOptions {
    let mut options = SimulationOptions {
        defect: arguments.plant,
        quiet: arguments.quiet,
        voters: arguments.voters.clamp(1, front_ends.max(2)),
        spares: arguments.spares,
        replacements: arguments.replacements,
        scopes: arguments.scopes,
        ..SimulationOptions::of(front_ends.max(2))
    };
    options.lease.span = lease_span(arguments.lease);
    options
}

/// Simulates one seed and returns whether it has a violation; if so, prints a minimal list of faults that reproduces one.
fn run_one(options: &SimulationOptions, seed: u64) -> bool {
    let result = simulate(options, seed);
    print_json(&result);
    if result.violations.is_empty() {
        return false;
    }
    let shortest = shortest_faults(options, seed);
    println!(
        "{} of {} faults are enough:",
        shortest.len(),
        faults(options, seed).len()
    );
    for fault in shortest {
        println!("  {fault:?}");
    }
    true
}

fn print_summary(summary: &SimulationSummary, with_scopes: bool) {
    println!(
        "{} front ends, {} seeds: {} with violations; {} versions in force, {} voters replaced, after {} ms (median), {} ms (99th), {} ms at most; \
         {:.2}% of the time without a lease, {:.2}% without a session; {:.1} messages and {:.0} bytes a front end a second, {:.0} messages at the voters",
        summary.front_ends,
        summary.seeds,
        summary.violations.len(),
        summary.in_force,
        summary.replaced,
        summary.in_force_ms[0],
        summary.in_force_ms[1],
        summary.in_force_ms[2],
        summary.without_lease * 100.0,
        summary.without_session * 100.0,
        summary.messages,
        summary.bytes,
        summary.voter_messages,
    );
    if with_scopes {
        println!(
            "{} changes of scopes in force, {} abandoned",
            summary.scopes_in_force, summary.scopes_reverted
        );
    }
    for (seed, violation) in summary.violations.iter().take(5) {
        println!("  seed {seed}: {violation}");
    }
}
