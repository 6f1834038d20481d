//! Command-line arguments: the measurement and its size.

use crate::measure::allowed_mb;
use crate::{inputs, BenchError};
use clap::builder::TypedValueParser;
use clap::{Args as Arguments, ValueEnum};

/// A measurement. `value(name)` sets its name on the command line and in recorded runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Measurement {
    /// Memory and step times of the decision module, by functions called and instances known to it.
    #[value(name = "module")]
    DecisionModule,
    /// Memory and step times of the dispatcher, including the decision module, under a steady workload.
    #[value(name = "ledger")]
    Dispatcher,
    /// Time that a cold start spends in the front end.
    #[value(name = "cold_start")]
    ColdStart,
    /// A change of one function, from the replicated state to the applied settings.
    #[value(name = "terms")]
    SettingsChange,
    /// Applying changed settings to a dispatcher.
    #[value(name = "adopt")]
    ApplySettings,
    /// The lease grant message that carries the settings.
    #[value(name = "letter")]
    GrantMessage,
    /// Maximum number of functions whose settings fit into one grant, and whose log fits into one message to a voter.
    #[value(name = "largest")]
    LargestMessage,
    /// The replicated log at a voter, with the version history that it keeps.
    #[value(name = "log")]
    ReplicatedLog,
    /// A voter's log file.
    #[value(name = "file")]
    VoterFile,
    /// Membership as one front end knows it.
    #[value(name = "members")]
    Membership,
    /// The lease tree of members.
    #[value(name = "view")]
    LeaseTopology,
    /// The roster in the log, and the leader's sessions.
    #[value(name = "roster")]
    Roster,
    /// The settings file with a list of workers.
    #[value(name = "list")]
    EndpointListFile,
    /// The worker list in the dispatcher and the decision module.
    #[value(name = "listed")]
    EndpointListUpdate,
    /// The worker list as sent by the platform's coordinator.
    #[value(name = "platform_list")]
    PlatformList,
    /// The table of drained workers.
    #[value(name = "leaving")]
    DrainTable,
    /// The scope catalog at a voter: functions whose settings change independently.
    #[value(name = "catalog")]
    ScopeCatalog,
    /// A voter's log file with the scope catalog.
    #[value(name = "catalog_file")]
    CatalogFile,
    /// A front end's scope subscriptions.
    #[value(name = "holding")]
    ScopeSubscriptions,
    /// The leader's table of scope subscriptions.
    #[value(name = "holders")]
    SubscriptionTable,
    /// Load on workers from all front ends of a small fleet.
    #[value(name = "workers")]
    WorkerLoad,
    /// Cost to a rollout controller of observing all front ends.
    #[value(name = "steer")]
    RolloutController,
    /// Duration of a rollout over all front ends.
    #[value(name = "roll")]
    Rollout,
}

impl Measurement {
    /// The name on the command line and in the output.
    pub(crate) fn name(self) -> String {
        self.to_possible_value()
            .map_or_else(String::new, |value| value.get_name().to_string())
    }
}

/// Parses a number within a range as a `usize`.
macro_rules! size_in {
    ($range:expr) => {
        clap::value_parser!(u32)
            .range($range)
            .map(|size| size as usize)
    };
}

/// The measurement and its size.
#[derive(Clone, Debug, Arguments)]
pub struct Args {
    /// Run all measurements at all sizes of the campaign; takes several minutes.
    #[arg(long, conflicts_with_all = ["what", "functions", "instances", "front_ends", "seed", "changes", "held", "unlisted", "miss"])]
    pub all: bool,
    /// The measurement to run.
    #[arg(
        id = "what",
        long = "what",
        value_name = "WHAT",
        value_enum,
        required_unless_present = "all"
    )]
    pub measurement: Option<Measurement>,
    /// Number of functions.
    #[arg(long, default_value_t = 1000, value_parser = size_in!(1..=1_000_000))]
    pub functions: usize,
    /// Number of warm instances, 100 per worker; for worker lists, the number of workers.
    #[arg(long, default_value_t = 10_000, value_parser = size_in!(1..=4_000_000))]
    pub instances: usize,
    /// Number of front ends in the fleet.
    #[arg(long, default_value_t = 15_000, value_parser = size_in!(2..=100_000))]
    pub front_ends: usize,
    /// Number of changes applied to the log and to a voter's file.
    #[arg(long, default_value_t = 256, value_parser = size_in!(1..=2_000))]
    pub changes: usize,
    /// Number of scopes that each front end subscribes to.
    #[arg(id = "held", long = "held", value_name = "HELD", default_value_t = 100, value_parser = size_in!(1..=4_096))]
    pub subscriptions: usize,
    /// Leave functions out of the settings; each call describes its function.
    #[arg(long)]
    pub unlisted: bool,
    /// For `workers`: a call of a function that is not loaded is a miss, and only load requests load it.
    #[arg(long)]
    pub miss: bool,
    /// Seed of the random number generators.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Measure in this process instead of a child process.
    #[arg(id = "here", long = "here", hide = true)]
    pub in_process: bool,
}

impl Args {
    /// Arguments for a measurement at the default size.
    pub fn of(measurement: Measurement) -> Args {
        Args {
            all: false,
            measurement: Some(measurement),
            functions: 1000,
            instances: 10_000,
            front_ends: 15_000,
            changes: 256,
            subscriptions: 100,
            unlisted: false,
            miss: false,
            seed: 1,
            in_process: false,
        }
    }

    /// The measurement and its size as command-line arguments.
    pub(crate) fn command_line(&self) -> Vec<String> {
        let mut words = Vec::new();
        if let Some(measurement) = self.measurement {
            words.extend(["--what".to_string(), measurement.name()]);
        }
        let sizes = [
            ("--functions", self.functions as u64),
            ("--instances", self.instances as u64),
            ("--front-ends", self.front_ends as u64),
            ("--changes", self.changes as u64),
            ("--held", self.subscriptions as u64),
            ("--seed", self.seed),
        ];
        words.extend(
            sizes
                .into_iter()
                .flat_map(|(name, size)| [name.to_string(), size.to_string()]),
        );
        words.extend(self.unlisted.then(|| "--unlisted".to_string()));
        words.extend(self.miss.then(|| "--miss".to_string()));
        words
    }

    /// Upper estimate of the memory that the measurement needs, in MB.
    fn needed_mb(&self) -> f64 {
        let Some(measurement) = self.measurement else {
            return 0.0;
        };
        self.needed_bytes(measurement) as f64 / 1e6
    }

    fn needed_bytes(&self, measurement: Measurement) -> usize {
        use Measurement::*;
        let (functions, instances) = (self.functions, self.instances);
        let (front_ends, versions) = (self.front_ends, self.changes.min(256));
        let workers = instances.div_ceil(inputs::INSTANCES_PER_WORKER);
        match measurement {
            DecisionModule => {
                functions * (1_600 + 24 * workers) + instances * 400 + workers * 2_000
            }
            // Each called function keeps a ranking of all workers.
            Dispatcher if self.unlisted => functions * (3_000 + 24 * workers) + workers * 3_000,
            Dispatcher | ColdStart => {
                functions * 3_000 + functions.min(4_000) * 24 * workers + workers * 3_000
            }
            SettingsChange => functions * 40_000,
            ApplySettings | ScopeCatalog | CatalogFile => functions * 4_000,
            GrantMessage => functions * 6_000,
            LargestMessage => 500_000_000,
            ReplicatedLog | VoterFile => functions * versions * 3_000,
            Membership | LeaseTopology | Roster => front_ends * 4_000,
            EndpointListFile => instances * 10_000,
            EndpointListUpdate => instances * 1_500 + functions * 2_000,
            PlatformList | DrainTable => instances * 2_000,
            ScopeSubscriptions => functions * 200 + self.subscriptions * 4_000,
            SubscriptionTable => functions * 200 + front_ends * (1_000 + self.subscriptions * 200),
            // Each front end keeps a ranking of all workers for each recently called function.
            WorkerLoad => {
                front_ends * functions.min(1_500) * (4_000 + 24 * workers)
                    + front_ends * workers * 1_500
                    + instances * 2_000
            }
            // Counters of each front end: received, stored, and of every baseline slice.
            RolloutController => front_ends * 1_200_000,
            Rollout => front_ends * 200_000,
        }
    }

    /// Rejects a size that may need more than half of the machine's memory.
    pub(crate) fn check_size(&self) -> Result<(), BenchError> {
        let (needed_mb, allowed_mb) = (self.needed_mb(), allowed_mb());
        if needed_mb <= allowed_mb {
            return Ok(());
        }
        Err(BenchError::TooLarge {
            arguments: self.command_line().join(" "),
            needed_mb,
            allowed_mb,
        })
    }
}

/// Formats a command-line error as a single line, without the usage text.
pub fn one_line(error: &clap::Error) -> String {
    let text = error.to_string();
    let lines: Vec<&str> = text
        .lines()
        .map(str::trim)
        .take_while(|line| !line.starts_with("Usage:") && !line.starts_with("For more"))
        .filter(|line| !line.is_empty())
        .collect();
    lines.join("; ").trim_start_matches("error: ").to_string()
}
