//! `tansy-sim size`: measures control traffic and change latency of large fleets.

use super::{lease_span, print_json, SeedArguments};
use crate::fault::{Time, SECOND};
use crate::fleet::SimulationOptions;
use crate::scale::{many, Quantiles, ScaleReport, ScaleScenario, Tier, REGION_NETWORK};
use serde::{Serialize, Serializer};
use std::process::ExitCode;

#[derive(clap::Args)]
pub(super) struct SizeArguments {
    /// Number of front ends, voters included; several sizes are simulated one after the other.
    #[arg(long, value_delimiter = ',', default_value = "300")]
    front_ends: Vec<usize>,
    /// How front ends discover each other.
    #[arg(long, value_enum, default_value = "whole")]
    tier: Tier,
    /// Number of seeds.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    #[command(flatten)]
    seed_arguments: SeedArguments,
    #[command(flatten)]
    fleet: FleetArguments,
    /// Prints one line of JSON for each size and seed.
    #[arg(long)]
    json: bool,
}

/// The fleet and its scenario, as given on the command line and repeated in the JSON output.
#[derive(Clone, clap::Args, Serialize)]
struct FleetArguments {
    /// Number of voters, which keep the replicated log: 1, 3, 5 or 7.
    #[arg(long = "seats", default_value_t = 5)]
    #[serde(rename = "seats")]
    voters: usize,
    /// Number of regions; one-way transit takes 40 to 80 ms between regions and up to 3 ms within one.
    #[arg(long, default_value_t = 1)]
    regions: usize,
    /// Length of the measurement in simulated seconds, after all front ends have joined.
    #[arg(long, default_value_t = 60)]
    seconds: i64,
    /// Changes requested per hour.
    #[arg(long, default_value_t = 0.0)]
    changes_hour: f64,
    /// One change in this many is of a strict field; 0 for none.
    #[arg(long, default_value_t = 4)]
    strict_every: usize,
    /// Number of further changes requested at the same moment.
    #[arg(long, default_value_t = 0)]
    burst: usize,
    /// Processes that crash per hour and restart after 2 to 10 s.
    #[arg(long = "away-hour", default_value_t = 0.0)]
    #[serde(rename = "away_hour")]
    restarts_per_hour: f64,
    /// Number of front ends that crash permanently when the measurement begins.
    #[arg(long, default_value_t = 0)]
    dead: usize,
    /// Number of regions isolated from all others, starting at a fifth of the measurement.
    #[arg(long = "cut-regions", default_value_t = 0)]
    #[serde(rename = "cut_regions")]
    partitioned_regions: usize,
    /// Duration of the partition in seconds.
    #[arg(long = "cut-seconds", default_value_t = 3600)]
    #[serde(rename = "cut_seconds")]
    partition_seconds: i64,
    /// Session duration in seconds.
    #[arg(long = "stay", default_value_t = 3600)]
    #[serde(rename = "stay_seconds")]
    session: i64,
    /// Lease duration in milliseconds.
    #[arg(long, default_value_t = 600)]
    #[serde(rename = "lease_ms")]
    lease: i64,
    /// Number of functions in the settings, with two fields each.
    #[arg(long, default_value_t = 0)]
    functions: usize,
    /// Number of functions changed individually by scope; 0 to change versions instead.
    #[arg(long, default_value_t = 0)]
    by_scope: usize,
    /// Spaces the changes evenly over the first four fifths of the measurement.
    #[arg(long = "evenly")]
    #[serde(rename = "evenly", serialize_with = "as_number")]
    even_steps: bool,
    /// Share of the scope changes that affect functions for which some front end receives requests.
    #[arg(long = "held", default_value_t = 0.0)]
    #[serde(rename = "held")]
    requested_share: f64,
    /// Share of the scope changes that affect functions for which a permanently crashed front end received requests.
    #[arg(long = "held-by-dead", default_value_t = 0.0)]
    #[serde(rename = "held_by_dead")]
    requested_by_dead_share: f64,
    /// Number of front ends in one rack, all of which crash permanently at a fifth of the measurement.
    #[arg(long, default_value_t = 0, conflicts_with_all = ["zone", "rolling"])]
    rack: usize,
    /// Number of zones, one of which crashes at a fifth of the measurement and restarts later.
    #[arg(long, default_value_t = 0, conflicts_with = "rolling")]
    zone: usize,
    /// Time until the crashed zone restarts, in seconds.
    #[arg(long, default_value_t = 20)]
    zone_seconds: i64,
    /// Crashes the rack or zone of the leader instead of one without voters.
    #[arg(long = "with-root")]
    #[serde(rename = "with_root", serialize_with = "as_number")]
    with_leader: bool,
    /// Number of batches of a rolling restart that starts at a fifth of the measurement; each batch waits until the previous
    /// one has joined again.
    #[arg(long, default_value_t = 0)]
    rolling: usize,
    /// Downtime of each batch in seconds; its processes shut down gracefully.
    #[arg(long, default_value_t = 2)]
    rolling_seconds: i64,
}

/// Serializes a flag as 0 or 1, the format of recorded runs.
#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde gives serializers a reference"
)]
fn as_number<S: Serializer>(flag: &bool, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_u8(u8::from(*flag))
}

/// The JSON output for one size and seed: the arguments and the measurements.
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

/// A fleet of one size with its normalized arguments.
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
    /// Clamps the arguments and sets the durations of unused events to 0.
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

    /// The scenario that starts once all front ends have joined.
    fn scenario(&self) -> ScaleScenario {
        let arguments = &self.arguments;
        ScaleScenario {
            measured_span: seconds(arguments.seconds),
            regions: arguments.regions.max(1),
            changes_per_hour: arguments.changes_hour,
            strict_every: arguments.strict_every,
            burst: arguments.burst,
            restarts_per_hour: arguments.restarts_per_hour,
            permanent_crashes: arguments.dead,
            partitioned_regions: arguments.partitioned_regions,
            partition_span: seconds(arguments.partition_seconds),
            functions: arguments.functions,
            scoped_functions: arguments.by_scope,
            even_steps: arguments.even_steps,
            requested_share: arguments.requested_share.clamp(0.0, 1.0),
            requested_by_dead_share: arguments.requested_by_dead_share.clamp(0.0, 1.0),
            rack_size: arguments.rack,
            zones: arguments.zone,
            zone_downtime: seconds(arguments.zone_seconds),
            with_leader: arguments.with_leader,
            rolling_batches: arguments.rolling.min(self.front_ends),
            rolling_downtime: seconds(arguments.rolling_seconds),
        }
    }

    /// The command line that reproduces one seed of this fleet.
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
    /// The scenario flags that differ from their defaults.
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
