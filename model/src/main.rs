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
    /// Changes in stages: how often one that harms is stopped, and one that changes nothing.
    Roll(RollArguments),
}

#[derive(clap::Args)]
struct RollArguments {
    /// Rolls of each sort.
    #[arg(long, default_value_t = 200)]
    rolls: u64,
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    from: u64,
    /// Threads; the outcome does not depend on it.
    #[arg(long, default_value_t = 0)]
    threads: usize,
    /// Front ends.
    #[arg(long, default_value_t = 30)]
    front_ends: usize,
    /// Calls a second at a front end of mean traffic.
    #[arg(long, default_value_t = 40.0)]
    rate: f64,
    /// Rolls of nothing changed alone.
    #[arg(long)]
    null: bool,
    /// Beside them the two plain rules: a fixed threshold on the difference, and on the difference to the own past.
    #[arg(long)]
    plain: bool,
    /// One line of JSON for each sort.
    #[arg(long)]
    json: bool,
    /// Draws the share stopped against the loss into this file (SVG).
    #[arg(long)]
    plot: Option<std::path::PathBuf>,
}

/// So many threads; 0: as many as there are cores.
fn threads_or_all(threads: usize) -> usize {
    if threads > 0 {
        return threads;
    }
    std::thread::available_parallelism().map_or(1, |n| n.get())
}

fn roll(a: RollArguments) -> ExitCode {
    use tansy_model::roll::{many, Harm, Play, Rule};
    let threads = threads_or_all(a.threads);
    let harms: Vec<Harm> = match a.null {
        true => vec![Harm::None],
        false => vec![
            Harm::None,
            Harm::All(0.03),
            Harm::All(0.05),
            Harm::All(0.1),
            Harm::All(0.2),
            Harm::Class(0.1),
            Harm::Zone(0.05),
            Harm::Late(0.05),
            Harm::Slow(0.03),
            Harm::Shed(0.05),
            Harm::Leak(1.0),
            Harm::ZoneLost,
            Harm::Doubles,
        ],
    };
    let rules = match a.plain {
        true => vec![Rule::Verdict, Rule::Threshold(0.01), Rule::OwnPast(0.01)],
        false => vec![Rule::Verdict],
    };
    let mut played = Vec::new();
    for rule in rules {
        for harm in &harms {
            let play = Play { fronts: a.front_ends, rate: a.rate, harm: *harm, rule, ..Play::default() };
            let s = many(&play, a.from, a.rolls, threads);
            if a.json {
                println!("{}", serde_json::to_string(&s).unwrap_or_default());
            } else {
                let stages: Vec<String> = s.stages.iter().map(|x| format!("{:.0}%", x * 100.0)).collect();
                println!(
                    "{rule:?} {harm:?}: {} rolls, {:.2}% stopped, in stages {}; after {} s (median), {} s (90 of 100); {:.2}% of the \
                     calls met it; done after {} s; {:?}",
                    s.rolls, s.stopped * 100.0, stages.join(" "), s.seconds[0], s.seconds[1], s.exposed * 100.0, s.done_seconds, s.why
                );
            }
            played.push(s);
        }
    }
    if let Some(Err(e)) = a.plot.map(|path| tansy_model::plot::stopped(&path, &played)) {
        eprintln!("{e}");
        return ExitCode::from(2);
    }
    ExitCode::SUCCESS
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
    let what = match Arguments::parse().what {
        What::Roll(a) => return roll(a),
        what => what,
    };
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
    } = what
    else {
        return ExitCode::SUCCESS;
    };
    let threads = threads_or_all(threads);
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
