//! `tansy-lab`: plays fleets of front ends in virtual time.

use clap::{Parser, Subcommand, ValueEnum};
use std::process::ExitCode;
use tansy_model::agree::{faults, many, run, script, Plant, Play};

/// Fleets of front ends in virtual time.
#[derive(Parser)]
struct Arguments {
    #[command(subcommand)]
    what: What,
}

#[derive(Subcommand)]
enum What {
    /// Versions of settings through kills, pauses, cuts and clocks of different rates. Ends with 1 if a run broke.
    Agree {
        /// Front ends, the seat among them; several sizes are played one after the other.
        #[arg(long, value_delimiter = ',', default_value = "7")]
        front_ends: Vec<usize>,
        /// How many of them keep the log: 1, 3, 5 or 7.
        #[arg(long, default_value_t = 1)]
        seats: usize,
        /// Front ends beside them that may become seats.
        #[arg(long, default_value_t = 0)]
        spares: usize,
        /// How often one of these is to take over from a seat.
        #[arg(long, default_value_t = 0)]
        replacements: usize,
        /// How many seeds.
        #[arg(long, default_value_t = 1000)]
        seeds: u64,
        /// The first of them.
        #[arg(long, default_value_t = 1)]
        from: u64,
        /// Threads; the outcome does not depend on it.
        #[arg(long, default_value_t = 0)]
        threads: usize,
        /// Plants a mistake: the runs should break.
        #[arg(long)]
        plant: Option<Mistake>,
        /// Plays one seed alone, and if it breaks, tells the shortest script of faults with which it does.
        #[arg(long)]
        seed: Option<u64>,
        /// No faults but lost and doubled messages.
        #[arg(long)]
        quiet: bool,
        /// A lease's length, milliseconds.
        #[arg(long, default_value_t = 600)]
        lease: i64,
        /// One line of JSON for each size.
        #[arg(long)]
        json: bool,
        /// Draws the time to force against the fleet's size into this file (SVG).
        #[arg(long)]
        plot: Option<std::path::PathBuf>,
    },
}

#[derive(Clone, Copy, ValueEnum)]
enum Mistake {
    /// A lease is counted from its answer.
    CountedFromAnswer,
    /// No joint step.
    NoJoint,
    /// Told before it is synced.
    Unsynced,
    /// Clocks out of bound.
    WildClock,
    /// Strict changes don't wait.
    NoRoster,
}

fn plant(m: Mistake) -> Plant {
    match m {
        Mistake::CountedFromAnswer => Plant::CountedFromAnswer,
        Mistake::NoJoint => Plant::NoJoint,
        Mistake::Unsynced => Plant::Unsynced,
        Mistake::WildClock => Plant::WildClock,
        Mistake::NoRoster => Plant::NoRoster,
    }
}

fn main() -> ExitCode {
    let What::Agree {
        front_ends,
        seats,
        spares,
        replacements,
        seeds,
        from,
        threads,
        plant: mistake,
        seed,
        quiet,
        lease,
        json,
        plot,
    } = Arguments::parse().what;
    let threads =
        if threads > 0 { threads } else { std::thread::available_parallelism().map_or(1, |n| n.get()) };
    let (mut broken, mut played) = (false, Vec::new());
    for fronts in front_ends {
        let seats = seats.clamp(1, fronts.max(2));
        let mut play =
            Play { plant: mistake.map(plant), quiet, seats, spares, replacements, ..Play::of(fronts.max(2)) };
        play.terms.span = lease.clamp(1, 3_600_000) * 1000;
        if let Some(seed) = seed {
            let outcome = run(&play, seed);
            println!("{}", serde_json::to_string(&outcome).unwrap_or_default());
            if !outcome.broken.is_empty() {
                let short = script(&play, seed);
                println!("{} of {} faults are enough:", short.len(), faults(&play, seed).len());
                short.iter().for_each(|f| println!("  {f:?}"));
                broken = true;
            }
            continue;
        }
        let sum = many(&play, from, seeds, threads);
        broken |= !sum.broken.is_empty();
        played.push(sum.clone());
        if json {
            println!("{}", serde_json::to_string(&sum).unwrap_or_default());
            continue;
        }
        println!(
            "{} front ends, {} seeds: {} broke; {} versions in force, {} seats replaced, after {} ms (median), {} ms (99th), {} ms at most; \
             {:.2}% of the time without a lease, {:.2}% without a stay; {:.1} messages and {:.0} bytes a front end a second, {:.0} at the seat",
            sum.fronts,
            sum.seeds,
            sum.broken.len(),
            sum.in_force,
            sum.replaced,
            sum.force_ms[0],
            sum.force_ms[1],
            sum.force_ms[2],
            sum.lapsed * 100.0,
            sum.stayless * 100.0,
            sum.messages,
            sum.bytes,
            sum.seat_messages,
        );
        sum.broken.iter().take(5).for_each(|(seed, what)| println!("  seed {seed}: {what}"));
    }
    if let Some(Err(e)) = plot.map(|path| tansy_model::plot::in_force(&path, &played)) {
        eprintln!("{e}");
        return ExitCode::from(2);
    }
    ExitCode::from(u8::from(broken))
}
