//! The command line of `tansy-sim` and of its former name `tansy-lab`.

use crate::fleet::{faults, many, run, shortest_faults, PlantedDefect, SimulationOptions};
use crate::size::{Quantiles, Size, Tier};
use clap::{Parser, Subcommand, ValueEnum};
use std::process::ExitCode;

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
        /// Functions that are changed by scope beside the versions.
        #[arg(long, default_value_t = 0)]
        scopes: usize,
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
    /// A fleet at its size: what control costs, and how long changes take. One line for each size and seed; ends with 1 if
    /// one was not ok.
    Size(SizeArguments),
}

#[derive(clap::Args)]
struct SizeArguments {
    /// Front ends, the seats among them; several sizes are played one after the other.
    #[arg(long, value_delimiter = ',', default_value = "300")]
    front_ends: Vec<usize>,
    /// Whether each finds the others itself.
    #[arg(long, value_enum, default_value = "whole")]
    tier: SizeTier,
    /// How many of them keep the log: 1, 3, 5 or 7.
    #[arg(long, default_value_t = 5)]
    seats: usize,
    /// How many seeds.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// The first of them.
    #[arg(long, default_value_t = 1)]
    from: u64,
    /// Threads, one for a seed; the outcome does not depend on it.
    #[arg(long, default_value_t = 0)]
    threads: usize,
    /// Simulated time that is counted, once all act, seconds.
    #[arg(long, default_value_t = 60)]
    seconds: i64,
    /// Regions, 40 to 80 ms apart one way; inside one up to 3 ms.
    #[arg(long, default_value_t = 1)]
    regions: usize,
    /// Changes asked for in an hour.
    #[arg(long, default_value_t = 0.0)]
    changes_hour: f64,
    /// One of so many is of a strict field; 0: none.
    #[arg(long, default_value_t = 4)]
    strict_every: usize,
    /// Changes asked for at one moment beside these.
    #[arg(long, default_value_t = 0)]
    burst: usize,
    /// Processes that end without a word in an hour and are back after 2 to 10 s.
    #[arg(long, default_value_t = 0.0)]
    away_hour: f64,
    /// Front ends that end without a word and for good when counting begins.
    #[arg(long, default_value_t = 0)]
    dead: usize,
    /// Regions that hear of no other, from a fifth of the time on.
    #[arg(long, default_value_t = 0)]
    cut_regions: usize,
    /// For so long, seconds.
    #[arg(long, default_value_t = 3600)]
    cut_seconds: i64,
    /// A stay's length, seconds.
    #[arg(long, default_value_t = 3600)]
    stay: i64,
    /// A lease's length, milliseconds.
    #[arg(long, default_value_t = 600)]
    lease: i64,
    /// Functions in the settings, two fields each.
    #[arg(long, default_value_t = 0)]
    functions: usize,
    /// Changes go to single functions, of so many, by scope, instead of versions.
    #[arg(long, default_value_t = 0)]
    by_scope: usize,
    /// Changes come in even steps over four fifths of the time, at their rate.
    #[arg(long)]
    evenly: bool,
    /// Share of the changes by scope that go to functions which a front end is called for.
    #[arg(long, default_value_t = 0.0)]
    held: f64,
    /// Share of them that go to functions which one that ended for good was called for.
    #[arg(long, default_value_t = 0.0)]
    held_by_dead: f64,
    /// Front ends of one rack, which end at once, without a word and for good, at a fifth of the time.
    #[arg(long, default_value_t = 0, conflicts_with_all = ["zone", "rolling"])]
    rack: usize,
    /// One of so many zones ends so then, and is back later.
    #[arg(long, default_value_t = 0, conflicts_with = "rolling")]
    zone: usize,
    /// After so long, seconds.
    #[arg(long, default_value_t = 20)]
    zone_seconds: i64,
    /// The rack or zone is that of the seat that leads, else one without seats.
    #[arg(long)]
    with_root: bool,
    /// Rolling restart from a fifth of the time on, in so many parts, each once the one before acts again.
    #[arg(long, default_value_t = 0)]
    rolling: usize,
    /// A part is away for so long, seconds; those that end tell the others.
    #[arg(long, default_value_t = 2)]
    rolling_seconds: i64,
    /// One line of JSON for each size and seed.
    #[arg(long)]
    json: bool,
}

#[derive(Clone, Copy, Debug, ValueEnum)]
enum SizeTier {
    /// Each finds the others itself.
    Whole,
    /// All are told who is there.
    Hollow,
}

/// What was asked for, beside what was measured.
#[derive(serde::Serialize)]
struct Line<'a> {
    tool: &'a str,
    command: String,
    tier: Tier,
    front_ends: usize,
    seats: usize,
    regions: usize,
    seconds: i64,
    changes_hour: f64,
    strict_every: usize,
    burst: usize,
    away_hour: f64,
    dead: usize,
    cut_regions: usize,
    cut_seconds: i64,
    stay_seconds: i64,
    lease_ms: i64,
    functions: usize,
    by_scope: usize,
    evenly: u8,
    held: f64,
    held_by_dead: f64,
    rack: usize,
    zone: usize,
    zone_seconds: i64,
    with_root: u8,
    rolling: usize,
    rolling_seconds: i64,
    wall_seconds: f64,
    #[serde(flatten)]
    report: &'a crate::size::Report,
}

/// The options of a scenario, as far as they differ from none.
fn scenario(a: &SizeArguments) -> String {
    let all = [
        (a.evenly, " --evenly".into()),
        (a.held > 0.0, format!(" --held {}", a.held)),
        (
            a.held_by_dead > 0.0,
            format!(" --held-by-dead {}", a.held_by_dead),
        ),
        (a.rack > 0, format!(" --rack {}", a.rack)),
        (
            a.zone > 0,
            format!(" --zone {} --zone-seconds {}", a.zone, a.zone_seconds),
        ),
        (a.with_root, " --with-root".into()),
        (
            a.rolling > 0,
            format!(
                " --rolling {} --rolling-seconds {}",
                a.rolling, a.rolling_seconds
            ),
        ),
    ];
    all.into_iter().filter(|o| o.0).map(|o| o.1).collect()
}

fn size(a: SizeArguments) -> ExitCode {
    let threads = threads_or_all(a.threads);
    let tier = match a.tier {
        SizeTier::Whole => Tier::Whole,
        SizeTier::Hollow => Tier::Hollow,
    };
    let seconds = |n: i64| n.clamp(0, 1_000_000) * crate::fault::SECOND;
    let mut ok = true;
    for &fronts in &a.front_ends {
        let fronts = fronts.clamp(2, 1 << 16);
        let seats = a.seats.clamp(1, fronts);
        let zone_seconds = if a.zone > 0 { a.zone_seconds } else { 0 };
        let rolling_seconds = if a.rolling > 0 { a.rolling_seconds } else { 0 };
        let cut_seconds = if a.cut_regions > 0 { a.cut_seconds } else { 0 };
        let size = Size {
            counted: seconds(a.seconds),
            regions: a.regions.max(1),
            changes_hour: a.changes_hour,
            strict_every: a.strict_every,
            burst: a.burst,
            away_hour: a.away_hour,
            dead: a.dead,
            cut_regions: a.cut_regions,
            cut: seconds(cut_seconds),
            functions: a.functions,
            by_scope: a.by_scope,
            evenly: a.evenly,
            held: a.held.clamp(0.0, 1.0),
            held_by_dead: a.held_by_dead.clamp(0.0, 1.0),
            rack: a.rack,
            zone: a.zone,
            zone_away: seconds(zone_seconds),
            with_root: a.with_root,
            rolling: a.rolling.min(fronts),
            rolling_away: seconds(rolling_seconds),
        };
        let mut play = SimulationOptions {
            tier,
            voters: seats,
            session: seconds(a.stay.max(1)),
            size: Some(size),
            ..SimulationOptions::of(fronts)
        };
        play.lease.span = a.lease.clamp(1, 3_600_000) * 1000;
        play.network = crate::size::WAYS;
        for (report, wall_seconds) in crate::size::many(&play, a.from, a.seeds, threads) {
            ok &= report.ok;
            let command = format!(
                "tansy-sim size --front-ends {fronts} --tier {} --seats {seats} --seeds 1 --from {} --seconds {} --regions {} \
                 --changes-hour {} --strict-every {} --burst {} --away-hour {} --dead {} --cut-regions {} --cut-seconds {cut_seconds} --stay {} \
                 --lease {} --functions {} --by-scope {}{} --json",
                format!("{tier:?}").to_lowercase(), report.seed, a.seconds, a.regions, a.changes_hour, a.strict_every, a.burst, a.away_hour,
                a.dead, a.cut_regions, a.stay, a.lease, a.functions, a.by_scope, scenario(&a)
            );
            let line = Line {
                tool: "virtual",
                command,
                tier,
                front_ends: fronts,
                seats,
                regions: a.regions,
                seconds: a.seconds,
                changes_hour: a.changes_hour,
                strict_every: a.strict_every,
                burst: a.burst,
                away_hour: a.away_hour,
                dead: a.dead,
                cut_regions: a.cut_regions,
                cut_seconds,
                stay_seconds: a.stay,
                lease_ms: a.lease,
                functions: a.functions,
                by_scope: a.by_scope,
                evenly: a.evenly.into(),
                held: a.held,
                held_by_dead: a.held_by_dead,
                rack: a.rack,
                zone: a.zone,
                zone_seconds,
                with_root: a.with_root.into(),
                rolling: a.rolling,
                rolling_seconds,
                wall_seconds,
                report: &report,
            };
            if a.json {
                println!("{}", serde_json::to_string(&line).unwrap_or_default());
                continue;
            }
            let ms = |q: &Option<Quantiles>| {
                q.map_or("none".into(), |q| {
                    format!("{} and {} ms of {}", q.p50, q.p99, q.count)
                })
            };
            println!(
                "{fronts} front ends, {tier:?}, seed {}: {:.0} bytes and {:.1} messages a front end a second ({:.0} and {:.1} at the \
                 busiest relay, {:.0} and {:.0} at the busiest seat); in force plain {}, strict {}; {:.2}% of the time without a lease; \
                 {wall_seconds:.1} s; {}",
                report.seed, report.control_bytes_s, report.control_messages_s, report.relay_bytes_s, report.relay_messages_s,
                report.seat_bytes_s, report.seat_messages_s, ms(&report.plain_in_force_ms), ms(&report.strict_in_force_ms),
                report.lease_lost * 100.0, if report.ok { "ok".into() } else { format!("{:?}", report.notes) }
            );
        }
    }
    ExitCode::from(u8::from(!ok))
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
    use crate::rollout::{many, DecisionRule, Regression, RolloutOptions};
    let threads = threads_or_all(a.threads);
    let regressions: Vec<Regression> = match a.null {
        true => vec![Regression::None],
        false => vec![
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
        ],
    };
    let rules = match a.plain {
        true => vec![
            DecisionRule::Verdict,
            DecisionRule::Threshold(0.01),
            DecisionRule::OwnPast(0.01),
        ],
        false => vec![DecisionRule::Verdict],
    };
    let mut played = Vec::new();
    for rule in rules {
        for regression in &regressions {
            let options = RolloutOptions {
                front_ends: a.front_ends,
                rate: a.rate,
                regression: *regression,
                rule,
                ..RolloutOptions::default()
            };
            let s = many(&options, a.from, a.rolls, threads);
            if a.json {
                println!("{}", serde_json::to_string(&s).unwrap_or_default());
            } else {
                let stages: Vec<String> = s
                    .stages
                    .iter()
                    .map(|x| format!("{:.0}%", x * 100.0))
                    .collect();
                println!(
                    "{rule:?} {regression:?}: {} rolls, {:.2}% stopped, in stages {}; after {} s (median), {} s (90 of 100); {:.2}% of the \
                     calls met it; done after {} s; {:?}",
                    s.rollouts, s.stopped * 100.0, stages.join(" "), s.seconds[0], s.seconds[1], s.exposed * 100.0, s.done_seconds, s.reasons
                );
            }
            played.push(s);
        }
    }
    if let Some(Err(e)) = a.plot.map(|path| crate::plot::stopped(&path, &played)) {
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
    /// Changes of scopes don't wait for holders.
    NoHolders,
    /// A root that begins knows of no holder.
    NoneHold,
    /// A reply older than the step is used.
    OldReply,
    /// Drops out of order.
    LateDrop,
}

fn plant(m: Mistake) -> PlantedDefect {
    match m {
        Mistake::CountedFromAnswer => PlantedDefect::CountedFromAnswer,
        Mistake::NoJoint => PlantedDefect::NoJoint,
        Mistake::Unsynced => PlantedDefect::Unsynced,
        Mistake::WildClock => PlantedDefect::WildClock,
        Mistake::NoRoster => PlantedDefect::NoRoster,
        Mistake::NoHolders => PlantedDefect::NoHolders,
        Mistake::NoneHold => PlantedDefect::NoneHold,
        Mistake::OldReply => PlantedDefect::OldReply,
        Mistake::LateDrop => PlantedDefect::LateDrop,
    }
}

/// Parses the command line of the process and runs the simulation it asks for.
pub fn main() -> ExitCode {
    let what = match Arguments::parse().what {
        What::Roll(a) => return roll(a),
        What::Size(a) => return size(a),
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
        scopes,
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
        let mut play = SimulationOptions {
            defect: mistake.map(plant),
            quiet,
            voters: seats,
            spares,
            replacements,
            scopes,
            ..SimulationOptions::of(fronts.max(2))
        };
        play.lease.span = lease.clamp(1, 3_600_000) * 1000;
        if let Some(seed) = seed {
            let outcome = run(&play, seed);
            println!("{}", serde_json::to_string(&outcome).unwrap_or_default());
            if !outcome.violations.is_empty() {
                let short = shortest_faults(&play, seed);
                println!(
                    "{} of {} faults are enough:",
                    short.len(),
                    faults(&play, seed).len()
                );
                short.iter().for_each(|f| println!("  {f:?}"));
                broken = true;
            }
            continue;
        }
        let sum = many(&play, from, seeds, threads);
        broken |= !sum.violations.is_empty();
        played.push(sum.clone());
        if json {
            println!("{}", serde_json::to_string(&sum).unwrap_or_default());
            continue;
        }
        println!(
            "{} front ends, {} seeds: {} broke; {} versions in force, {} seats replaced, after {} ms (median), {} ms (99th), {} ms at most; \
             {:.2}% of the time without a lease, {:.2}% without a stay; {:.1} messages and {:.0} bytes a front end a second, {:.0} at the seat",
            sum.front_ends,
            sum.seeds,
            sum.violations.len(),
            sum.in_force,
            sum.replaced,
            sum.in_force_ms[0],
            sum.in_force_ms[1],
            sum.in_force_ms[2],
            sum.without_lease * 100.0,
            sum.without_session * 100.0,
            sum.messages,
            sum.bytes,
            sum.voter_messages,
        );
        if scopes > 0 {
            println!(
                "{} changes of scopes in force, {} given up",
                sum.scopes_in_force, sum.scopes_reverted
            );
        }
        sum.violations
            .iter()
            .take(5)
            .for_each(|(seed, what)| println!("  seed {seed}: {what}"));
    }
    if let Some(Err(e)) = plot.map(|path| crate::plot::in_force(&path, &played)) {
        eprintln!("{e}");
        return ExitCode::from(2);
    }
    ExitCode::from(u8::from(broken))
}
