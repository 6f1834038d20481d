//! `tansy-sim size`: a fleet at its size.

use super::{lease_span, print_json, SeedArguments};
use crate::fault::{Time, SECOND};
use crate::fleet::SimulationOptions;
use crate::scale::{many, Quantiles, ScaleReport, ScaleScenario, Tier, REGION_NETWORK};
use serde::{Serialize, Serializer};
use std::process::ExitCode;

#[derive(clap::Args)]
pub(super) struct SizeArguments {
    /// Front ends, the voters among them; several sizes are simulated one after the other.
    #[arg(long, value_delimiter = ',', default_value = "300")]
    front_ends: Vec<usize>,
    /// Whether each front end finds the others itself.
    #[arg(long, value_enum, default_value = "whole")]
    tier: Tier,
    /// How many seeds.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    #[command(flatten)]
    seed_arguments: SeedArguments,
    #[command(flatten)]
    fleet: FleetArguments,
    /// One line of JSON for each size and seed.
    #[arg(long)]
    json: bool,
}

/// The fleet and what befalls it: taken from the command line, and printed with what was measured.
#[derive(Clone, clap::Args, Serialize)]
struct FleetArguments {
    /// How many of the front ends are voters, which keep the log: 1, 3, 5 or 7.
    #[arg(long = "seats", default_value_t = 5)]
    #[serde(rename = "seats")]
    voters: usize,
    /// Regions, 40 to 80 ms apart one way; inside one up to 3 ms.
    #[arg(long, default_value_t = 1)]
    regions: usize,
    /// Simulated time that is counted, once all act, seconds.
    #[arg(long, default_value_t = 60)]
    seconds: i64,
    /// Changes requested in an hour.
    #[arg(long, default_value_t = 0.0)]
    changes_hour: f64,
    /// One of so many is of a strict field; 0: none.
    #[arg(long, default_value_t = 4)]
    strict_every: usize,
    /// Changes requested at one moment beside these.
    #[arg(long, default_value_t = 0)]
    burst: usize,
    /// Processes that end without notice in an hour and are back after 2 to 10 s.
    #[arg(long = "away-hour", default_value_t = 0.0)]
    #[serde(rename = "away_hour")]
    restarts_per_hour: f64,
    /// Front ends that end without notice and for good when counting begins.
    #[arg(long, default_value_t = 0)]
    dead: usize,
    /// Regions that are partitioned from all others, from a fifth of the time on.
    #[arg(long = "cut-regions", default_value_t = 0)]
    #[serde(rename = "cut_regions")]
    partitioned_regions: usize,
    /// How long they are, seconds.
    #[arg(long = "cut-seconds", default_value_t = 3600)]
    #[serde(rename = "cut_seconds")]
    partition_seconds: i64,
    /// A session's length, seconds.
    #[arg(long = "stay", default_value_t = 3600)]
    #[serde(rename = "stay_seconds")]
    session: i64,
    /// A lease's length, milliseconds.
    #[arg(long, default_value_t = 600)]
    #[serde(rename = "lease_ms")]
    lease: i64,
    /// Functions in the settings, two fields each.
    #[arg(long, default_value_t = 0)]
    functions: usize,
    /// Changes go to single functions, of so many, by scope, instead of versions.
    #[arg(long, default_value_t = 0)]
    by_scope: usize,
    /// Changes come in even steps over four fifths of the time, at their rate.
    #[arg(long = "evenly")]
    #[serde(rename = "evenly", serialize_with = "as_number")]
    even_steps: bool,
    /// Share of the changes by scope that go to functions which a front end gets requests for.
    #[arg(long = "held", default_value_t = 0.0)]
    #[serde(rename = "held")]
    requested_share: f64,
    /// Share of them that go to functions which one that ended for good got requests for.
    #[arg(long = "held-by-dead", default_value_t = 0.0)]
    #[serde(rename = "held_by_dead")]
    requested_by_dead_share: f64,
    /// Front ends of one rack, which end at once, without notice and for good, at a fifth of the time.
    #[arg(long, default_value_t = 0, conflicts_with_all = ["zone", "rolling"])]
    rack: usize,
    /// One of so many zones ends then, and is back later.
    #[arg(long, default_value_t = 0, conflicts_with = "rolling")]
    zone: usize,
    /// After so long, seconds.
    #[arg(long, default_value_t = 20)]
    zone_seconds: i64,
    /// The rack or zone is that of the leader, else one without voters.
    #[arg(long = "with-root")]
    #[serde(rename = "with_root", serialize_with = "as_number")]
    with_leader: bool,
    /// Rolling restart from a fifth of the time on, in so many parts, each once the one before acts again.
    #[arg(long, default_value_t = 0)]
    rolling: usize,
    /// A part is away for so long, seconds; those that end notify the others.
    #[arg(long, default_value_t = 2)]
    rolling_seconds: i64,
}

/// A flag as recorded runs carry it: 0 or 1.
#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde gives serializers a reference"
)]
fn as_number<S: Serializer>(flag: &bool, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_u8(u8::from(*flag))
}

/// One line of JSON: what was asked for, and what was measured.
#[derive(Serialize)]
struct Line<'a> {
    tool: &'a str,
    command: String,
    tier: Tier,
    front_ends: usize,
    #[serde(flatten)]
    fleet: &'a FleetArguments,
    wall_seconds: f64,
    #[serde(flatten)]
    report: &'a ScaleReport,
}

/// A fleet of one size, as it is simulated.
struct Fleet {
    front_ends: usize,
    tier: Tier,
    arguments: FleetArguments,
}

pub(super) fn run(arguments: SizeArguments) -> ExitCode {
    let threads = arguments.seed_arguments.threads();
    let mut all_ok = true;
    for &front_ends in &arguments.front_ends {
        let fleet = Fleet::new(&arguments, front_ends);
        let options = fleet.options();
        let from = arguments.seed_arguments.from;
        for (report, wall_seconds) in many(&options, from, arguments.seeds, threads) {
            all_ok &= report.ok;
            if arguments.json {
                print_json(&fleet.json_line(&report, wall_seconds));
            } else {
                fleet.print_report(&report, wall_seconds);
            }
        }
    }
    ExitCode::from(u8::from(!all_ok))
}

fn seconds(seconds: i64) -> Time {
    seconds.clamp(0, 1_000_000) * SECOND
}

impl Fleet {
    /// Spans of what does not happen are 0.
    fn new(arguments: &SizeArguments, front_ends: usize) -> Fleet {
        let front_ends = front_ends.clamp(2, 1 << 16);
        let fleet = &arguments.fleet;
        let if_set = |set: bool, seconds: i64| if set { seconds } else { 0 };
        Fleet {
            front_ends,
            tier: arguments.tier,
            arguments: FleetArguments {
                voters: fleet.voters.clamp(1, front_ends),
                zone_seconds: if_set(fleet.zone > 0, fleet.zone_seconds),
                rolling_seconds: if_set(fleet.rolling > 0, fleet.rolling_seconds),
                partition_seconds: if_set(fleet.partitioned_regions > 0, fleet.partition_seconds),
                ..fleet.clone()
            },
        }
    }

    fn options(&self) -> SimulationOptions {
        let mut options = SimulationOptions {
            tier: self.tier,
            voters: self.arguments.voters,
            session: seconds(self.arguments.session.max(1)),
            scale: Some(self.scenario()),
            network: REGION_NETWORK,
            ..SimulationOptions::of(self.front_ends)
        };
        options.lease.span = lease_span(self.arguments.lease);
        options
    }

    /// What befalls the fleet once all act.
    fn scenario(&self) -> ScaleScenario {
        let arguments = &self.arguments;
        ScaleScenario {
            measured_span: seconds(arguments.seconds),
            regions: arguments.regions.max(1),
            changes_per_hour: arguments.changes_hour,
            strict_every: arguments.strict_every,
            burst: arguments.burst,
            restarts_per_hour: arguments.restarts_per_hour,
            dead: arguments.dead,
            partitioned_regions: arguments.partitioned_regions,
            partition_span: seconds(arguments.partition_seconds),
            functions: arguments.functions,
            by_scope: arguments.by_scope,
            even_steps: arguments.even_steps,
            requested_share: arguments.requested_share.clamp(0.0, 1.0),
            requested_by_dead_share: arguments.requested_by_dead_share.clamp(0.0, 1.0),
            rack: arguments.rack,
            zone: arguments.zone,
            zone_downtime: seconds(arguments.zone_seconds),
            with_leader: arguments.with_leader,
            rolling: arguments.rolling.min(self.front_ends),
            rolling_downtime: seconds(arguments.rolling_seconds),
        }
    }

    /// The command that runs one seed of this fleet again.
    fn command(&self, seed: u64) -> String {
        let arguments = &self.arguments;
        format!(
            "tansy-sim size --front-ends {} --tier {} --seats {} --seeds 1 --from {seed} --seconds {} --regions {} --changes-hour {} \
             --strict-every {} --burst {} --away-hour {} --dead {} --cut-regions {} --cut-seconds {} --stay {} --lease {} --functions {} \
             --by-scope {}{} --json",
            self.front_ends,
            format!("{:?}", self.tier).to_lowercase(),
            arguments.voters,
            arguments.seconds,
            arguments.regions,
            arguments.changes_hour,
            arguments.strict_every,
            arguments.burst,
            arguments.restarts_per_hour,
            arguments.dead,
            arguments.partitioned_regions,
            arguments.partition_seconds,
            arguments.session,
            arguments.lease,
            arguments.functions,
            arguments.by_scope,
            arguments.scenario_flags(),
        )
    }

    fn json_line<'a>(&'a self, report: &'a ScaleReport, wall_seconds: f64) -> Line<'a> {
        Line {
            tool: "virtual",
            command: self.command(report.seed),
            tier: self.tier,
            front_ends: self.front_ends,
            fleet: &self.arguments,
            wall_seconds,
            report,
        }
    }

    fn print_report(&self, report: &ScaleReport, wall_seconds: f64) {
        let in_force = |quantiles: &Option<Quantiles>| {
            quantiles.map_or("none".into(), |quantiles| {
                let Quantiles {
                    p50, p99, count, ..
                } = quantiles;
                format!("{p50} and {p99} ms of {count}")
            })
        };
        let verdict = if report.ok {
            "ok".into()
        } else {
            format!("{:?}", report.notes)
        };
        println!(
            "{} front ends, {:?}, seed {}: {:.0} bytes and {:.1} messages a front end a second ({:.0} and {:.1} at the \
             busiest relay, {:.0} and {:.0} at the busiest voter); in force plain {}, strict {}; {:.2}% of the time without a lease; \
             {wall_seconds:.1} s; {verdict}",
            self.front_ends,
            self.tier,
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
}

impl FleetArguments {
    /// The flags of a scenario, as far as they differ from their defaults.
    fn scenario_flags(&self) -> String {
        let all = [
            (self.even_steps, " --evenly".into()),
            (
                self.requested_share > 0.0,
                format!(" --held {}", self.requested_share),
            ),
            (
                self.requested_by_dead_share > 0.0,
                format!(" --held-by-dead {}", self.requested_by_dead_share),
            ),
            (self.rack > 0, format!(" --rack {}", self.rack)),
            (
                self.zone > 0,
                format!(" --zone {} --zone-seconds {}", self.zone, self.zone_seconds),
            ),
            (self.with_leader, " --with-root".into()),
            (
                self.rolling > 0,
                format!(
                    " --rolling {} --rolling-seconds {}",
                    self.rolling, self.rolling_seconds
                ),
            ),
        ];
        all.into_iter()
            .filter(|(is_set, _)| *is_set)
            .map(|(_, flag)| flag)
            .collect()
    }
}
