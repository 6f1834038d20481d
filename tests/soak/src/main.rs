//! `tansy-soak`: plays the fault soak over a range of seeds and tells what did not hold.

use clap::Parser;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;
use tansy_soak::{run, Options};

/// Randomized faults over real front-end processes on loopback, judged by invariants.
///
/// Exit codes: 0 if all held, 1 if something did not, 2 if a run could not be played.
#[derive(Parser)]
struct Arguments {
    /// The program of the front end.
    #[arg(long)]
    gateway: PathBuf,
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// How many seeds.
    #[arg(long, default_value_t = 1)]
    runs: u64,
    /// Front ends.
    #[arg(long, default_value_t = 12)]
    front_ends: usize,
    /// Workers.
    #[arg(long, default_value_t = 8)]
    workers: usize,
    /// Clients of each front end.
    #[arg(long, default_value_t = 4)]
    clients: usize,
    /// Seconds of trouble.
    #[arg(long, default_value_t = 15)]
    seconds: u64,
    /// Violations of each run that are shown with their timelines.
    #[arg(long, default_value_t = 3)]
    show: usize,
}

fn main() -> ExitCode {
    let a = Arguments::parse();
    let runtime = match tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(e) => return unplayable(&e.to_string()),
    };
    let mut held = true;
    for seed in a.seed..a.seed + a.runs {
        let options = Options {
            gateway: a.gateway.clone(),
            seed,
            front_ends: a.front_ends,
            workers: a.workers,
            clients: a.clients,
            span: Duration::from_secs(a.seconds),
        };
        match runtime.block_on(run(&options)) {
            Ok(outcome) => held &= tell(seed, &outcome, a.show),
            Err(e) => return unplayable(&e.to_string()),
        }
    }
    if held {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(1)
    }
}

fn unplayable(why: &str) -> ExitCode {
    eprintln!("the soak could not be played: {why}");
    ExitCode::from(2)
}

/// Prints what a run came to; whether all held. Logs of a run in which all held are removed.
fn tell(seed: u64, outcome: &tansy_soak::Outcome, show: usize) -> bool {
    let oracle = &outcome.oracle;
    let c = &oracle.counts;
    let sure = oracle.violations().iter().filter(|v| !v.doubtful).count();
    println!(
        "seed {seed}: {sure} violations, {} doubtful; {} sent, {:?}, {} left, {} excused, {} attempts, {} processes, \
         {} signals, {} troubles",
        oracle.violations().len() - sure,
        c.sent,
        c.statuses,
        c.left,
        c.excused,
        c.attempts,
        c.processes,
        c.signals,
        c.troubles
    );
    let mut kinds = std::collections::BTreeMap::new();
    for v in oracle.violations() {
        let (sure, doubtful) = kinds.entry(v.invariant).or_insert((0, 0));
        *if v.doubtful { doubtful } else { sure } += 1;
    }
    for (invariant, (sure, doubtful)) in &kinds {
        println!("  {invariant:?}: {sure}, doubtful {doubtful}");
        let examples = oracle
            .violations()
            .iter()
            .filter(|v| v.invariant == *invariant && !v.doubtful);
        for v in examples.take(show) {
            println!(
                "    {:9.3} s  {} {}",
                v.at.as_secs_f64(),
                v.id.map_or(String::new(), |id| format!("{id:016x}")),
                v.description
            );
            v.id.into_iter()
                .flat_map(|id| oracle.timeline(id))
                .for_each(|line| println!("      {line}"));
        }
    }
    if oracle.violations().is_empty() {
        let _ = std::fs::remove_dir_all(&outcome.folder);
    } else {
        println!("  logs: {}", outcome.folder.display());
    }
    sure == 0
}
