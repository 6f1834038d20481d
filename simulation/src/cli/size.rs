//! `tansy-sim size`: a fleet at its size.

use super::{print_json, threads_or_all};
use crate::fault::{Time, SECOND};
use crate::fleet::SimulationOptions;
use crate::scale::{many, Quantiles, ScaleReport, ScaleScenario, Tier, REGION_NETWORK};
use clap::ValueEnum;
use std::process::ExitCode;

#[derive(clap::Args)]
pub(super) struct SizeArguments {
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
    report: &'a ScaleReport,
}

/// The options of a run that depend on others, as they are played.
struct Resolved {
    front_ends: usize,
    voters: usize,
    zone_seconds: i64,
    rolling_seconds: i64,
    cut_seconds: i64,
}

impl Resolved {
    /// Spans of what does not happen are 0.
    fn of(arguments: &SizeArguments, front_ends: usize) -> Resolved {
        let front_ends = front_ends.clamp(2, 1 << 16);
        let if_set = |set: bool, seconds: i64| if set { seconds } else { 0 };
        Resolved {
            front_ends,
            voters: arguments.seats.clamp(1, front_ends),
            zone_seconds: if_set(arguments.zone > 0, arguments.zone_seconds),
            rolling_seconds: if_set(arguments.rolling > 0, arguments.rolling_seconds),
            cut_seconds: if_set(arguments.cut_regions > 0, arguments.cut_seconds),
        }
    }
}

impl From<SizeTier> for Tier {
    fn from(tier: SizeTier) -> Tier {
        match tier {
            SizeTier::Whole => Tier::Whole,
            SizeTier::Hollow => Tier::Hollow,
        }
    }
}

pub(super) fn run(arguments: SizeArguments) -> ExitCode {
    let threads = threads_or_all(arguments.threads);
    let mut all_ok = true;
    for &front_ends in &arguments.front_ends {
        let resolved = Resolved::of(&arguments, front_ends);
        let options = options(&arguments, &resolved);
        let runs = many(&options, arguments.from, arguments.seeds, threads);
        for (report, wall_seconds) in runs {
            all_ok &= report.ok;
            if arguments.json {
                print_json(&json_line(&arguments, &resolved, &report, wall_seconds));
            } else {
                print_report(&resolved, options.tier, &report, wall_seconds);
            }
        }
    }
    ExitCode::from(u8::from(!all_ok))
}

fn seconds(seconds: i64) -> Time {
    seconds.clamp(0, 1_000_000) * SECOND
}

fn options(arguments: &SizeArguments, resolved: &Resolved) -> SimulationOptions {
    let mut options = SimulationOptions {
        tier: arguments.tier.into(),
        voters: resolved.voters,
        session: seconds(arguments.stay.max(1)),
        scale: Some(scenario(arguments, resolved)),
        network: REGION_NETWORK,
        ..SimulationOptions::of(resolved.front_ends)
    };
    options.lease.span = arguments.lease.clamp(1, 3_600_000) * 1000;
    options
}

/// What befalls the fleet once all act.
fn scenario(arguments: &SizeArguments, resolved: &Resolved) -> ScaleScenario {
    ScaleScenario {
        counted: seconds(arguments.seconds),
        regions: arguments.regions.max(1),
        changes_hour: arguments.changes_hour,
        strict_every: arguments.strict_every,
        burst: arguments.burst,
        restarts_hour: arguments.away_hour,
        dead: arguments.dead,
        partitioned_regions: arguments.cut_regions,
        partition: seconds(resolved.cut_seconds),
        functions: arguments.functions,
        by_scope: arguments.by_scope,
        even_steps: arguments.evenly,
        requested: arguments.held.clamp(0.0, 1.0),
        requested_by_dead: arguments.held_by_dead.clamp(0.0, 1.0),
        rack: arguments.rack,
        zone: arguments.zone,
        zone_away: seconds(resolved.zone_seconds),
        with_leader: arguments.with_root,
        rolling: arguments.rolling.min(resolved.front_ends),
        rolling_away: seconds(resolved.rolling_seconds),
    }
}

/// The flags of a scenario, as far as they differ from their defaults.
fn scenario_flags(arguments: &SizeArguments) -> String {
    let all = [
        (arguments.evenly, " --evenly".into()),
        (arguments.held > 0.0, format!(" --held {}", arguments.held)),
        (
            arguments.held_by_dead > 0.0,
            format!(" --held-by-dead {}", arguments.held_by_dead),
        ),
        (arguments.rack > 0, format!(" --rack {}", arguments.rack)),
        (
            arguments.zone > 0,
            format!(
                " --zone {} --zone-seconds {}",
                arguments.zone, arguments.zone_seconds
            ),
        ),
        (arguments.with_root, " --with-root".into()),
        (
            arguments.rolling > 0,
            format!(
                " --rolling {} --rolling-seconds {}",
                arguments.rolling, arguments.rolling_seconds
            ),
        ),
    ];
    all.into_iter().filter(|o| o.0).map(|o| o.1).collect()
}

/// The command that runs one seed of these arguments again.
fn command(arguments: &SizeArguments, resolved: &Resolved, seed: u64) -> String {
    format!(
        "tansy-sim size --front-ends {} --tier {} --seats {} --seeds 1 --from {seed} --seconds {} --regions {} --changes-hour {} \
         --strict-every {} --burst {} --away-hour {} --dead {} --cut-regions {} --cut-seconds {} --stay {} --lease {} --functions {} \
         --by-scope {}{} --json",
        resolved.front_ends,
        format!("{:?}", Tier::from(arguments.tier)).to_lowercase(),
        resolved.voters,
        arguments.seconds,
        arguments.regions,
        arguments.changes_hour,
        arguments.strict_every,
        arguments.burst,
        arguments.away_hour,
        arguments.dead,
        arguments.cut_regions,
        resolved.cut_seconds,
        arguments.stay,
        arguments.lease,
        arguments.functions,
        arguments.by_scope,
        scenario_flags(arguments),
    )
}

fn json_line<'a>(
    arguments: &SizeArguments,
    resolved: &Resolved,
    report: &'a ScaleReport,
    wall_seconds: f64,
) -> Line<'a> {
    Line {
        tool: "virtual",
        command: command(arguments, resolved, report.seed),
        tier: arguments.tier.into(),
        front_ends: resolved.front_ends,
        seats: resolved.voters,
        regions: arguments.regions,
        seconds: arguments.seconds,
        changes_hour: arguments.changes_hour,
        strict_every: arguments.strict_every,
        burst: arguments.burst,
        away_hour: arguments.away_hour,
        dead: arguments.dead,
        cut_regions: arguments.cut_regions,
        cut_seconds: resolved.cut_seconds,
        stay_seconds: arguments.stay,
        lease_ms: arguments.lease,
        functions: arguments.functions,
        by_scope: arguments.by_scope,
        evenly: arguments.evenly.into(),
        held: arguments.held,
        held_by_dead: arguments.held_by_dead,
        rack: arguments.rack,
        zone: arguments.zone,
        zone_seconds: resolved.zone_seconds,
        with_root: arguments.with_root.into(),
        rolling: arguments.rolling,
        rolling_seconds: resolved.rolling_seconds,
        wall_seconds,
        report,
    }
}

fn print_report(resolved: &Resolved, tier: Tier, report: &ScaleReport, wall_seconds: f64) {
    let in_force = |quantiles: &Option<Quantiles>| {
        quantiles.map_or("none".into(), |q| {
            format!("{} and {} ms of {}", q.p50, q.p99, q.count)
        })
    };
    let verdict = if report.ok {
        "ok".into()
    } else {
        format!("{:?}", report.notes)
    };
    println!(
        "{} front ends, {tier:?}, seed {}: {:.0} bytes and {:.1} messages a front end a second ({:.0} and {:.1} at the \
         busiest relay, {:.0} and {:.0} at the busiest seat); in force plain {}, strict {}; {:.2}% of the time without a lease; \
         {wall_seconds:.1} s; {verdict}",
        resolved.front_ends,
        report.seed,
        report.control_bytes_s,
        report.control_messages_s,
        report.relay_bytes_s,
        report.relay_messages_s,
        report.voter_bytes_s,
        report.voter_messages_s,
        in_force(&report.plain_in_force_ms),
        in_force(&report.strict_in_force_ms),
        report.lease_lost * 100.0,
    );
}
