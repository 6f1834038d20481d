//! The command line: what to measure, and at which size.

use crate::measure::allowed_mb;
use crate::{inputs, BenchError};
use clap::builder::TypedValueParser;
use clap::{Args as Arguments, ValueEnum};

/// What is measured. The names on the command line and in recorded runs are those of `value(name)`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Measurement {
    /// The decision module: by functions that were called, and by instances that it believes in.
    #[value(name = "module")]
    DecisionModule,
    /// The dispatcher with the decision module in it, under a steady workload.
    #[value(name = "ledger")]
    Dispatcher,
    /// The share of a cold start that is spent in the front end.
    #[value(name = "cold_start")]
    ColdStart,
    /// One change of one function, from the replicated state to applied settings.
    #[value(name = "terms")]
    SettingsChange,
    /// Applying new settings alone.
    #[value(name = "adopt")]
    ApplySettings,
    /// The lease grant message that carries the settings.
    #[value(name = "letter")]
    GrantMessage,
    /// The most functions whose settings fit into one grant, or whose log fits into one message to a voter.
    #[value(name = "largest")]
    LargestMessage,
    /// The replicated log at a voter, with as many versions as it keeps.
    #[value(name = "log")]
    ReplicatedLog,
    /// A voter's file.
    #[value(name = "file")]
    VoterFile,
    /// Membership.
    #[value(name = "members")]
    Membership,
    /// The tree of members by which leases are requested.
    #[value(name = "view")]
    LeaseTopology,
    /// The roster in the log, and sessions.
    #[value(name = "roster")]
    Roster,
    /// The text of a list of workers.
    #[value(name = "list")]
    EndpointListFile,
    /// The list as the dispatcher and the decision module store it.
    #[value(name = "listed")]
    EndpointListUpdate,
    /// The list as the platform's coordinator sends it.
    #[value(name = "platform_list")]
    PlatformList,
    /// Workers that leave.
    #[value(name = "leaving")]
    DrainTable,
    /// The catalog of functions that are agreed on one by one, at a voter.
    #[value(name = "catalog")]
    ScopeCatalog,
    /// A voter's file with such a catalog.
    #[value(name = "catalog_file")]
    CatalogFile,
    /// A front end's subscriptions to such functions.
    #[value(name = "holding")]
    ScopeSubscriptions,
    /// The leader's table of those subscriptions.
    #[value(name = "holders")]
    SubscriptionTable,
    /// The load on workers from all front ends of a small fleet.
    #[value(name = "workers")]
    WorkerLoad,
    /// What one observation of all front ends costs a rollout controller.
    #[value(name = "steer")]
    RolloutController,
    /// How long a rollout over all front ends lasts.
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

/// What to measure, and at which size. Without --all one size is measured.
#[derive(Clone, Debug, Arguments)]
pub struct Args {
    /// Measure everything that the page needs, size by size; some minutes.
    #[arg(long, conflicts_with_all = ["what", "functions", "instances", "front_ends", "seed", "changes", "held", "unlisted", "miss"])]
    pub all: bool,
    /// What to measure.
    #[arg(
        id = "what",
        long = "what",
        value_name = "WHAT",
        value_enum,
        required_unless_present = "all"
    )]
    pub measurement: Option<Measurement>,
    /// Functions that are known.
    #[arg(long, default_value_t = 1000, value_parser = size_in!(1..=1_000_000))]
    pub functions: usize,
    /// Warm instances, 100 at each worker; of the lists of workers: workers that are listed.
    #[arg(long, default_value_t = 10_000, value_parser = size_in!(1..=4_000_000))]
    pub instances: usize,
    /// Front ends of the fleet.
    #[arg(long, default_value_t = 15_000, value_parser = size_in!(2..=100_000))]
    pub front_ends: usize,
    /// Changes that the log and a voter's file have taken.
    #[arg(long, default_value_t = 256, value_parser = size_in!(1..=2_000))]
    pub changes: usize,
    /// Functions that a front end subscribes to of those that are agreed on one by one.
    #[arg(id = "held", long = "held", value_name = "HELD", default_value_t = 100, value_parser = size_in!(1..=4_096))]
    pub subscriptions: usize,
    /// The settings name no function: calls describe theirs.
    #[arg(long)]
    pub unlisted: bool,
    /// Of `workers`: a call of what a worker lacks is a miss; only load requests load.
    #[arg(long)]
    pub miss: bool,
    /// Of names, calls and draws.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Measure in this process.
    #[arg(id = "here", long = "here", hide = true)]
    pub in_process: bool,
}

impl Args {
    /// The arguments of a measurement at its default size.
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

    /// The measurement and its size as words of a command line.
    pub(crate) fn words(&self) -> Vec<String> {
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

    /// Upper estimate of the MB that the measurement holds: no less than was measured at the sizes of the campaign.
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
        let workers = instances.div_ceil(inputs::WARM);
        match measurement {
            DecisionModule => {
                functions * (1_600 + 24 * workers) + instances * 400 + workers * 2_000
            }
            // Each function that was called ranks all workers.
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
            // Each front end ranks all workers for each function that it was called for lately.
            WorkerLoad => {
                front_ends * functions.min(1_500) * (4_000 + 24 * workers)
                    + front_ends * workers * 1_500
                    + instances * 2_000
            }
            // Counters of each front end: as received, as stored, and of every slice before the change.
            RolloutController => front_ends * 1_200_000,
            Rollout => front_ends * 200_000,
        }
    }

    /// Refuses a size that would use more than half of the machine's memory.
    pub(crate) fn check_size(&self) -> Result<(), BenchError> {
        let (needed_mb, allowed_mb) = (self.needed_mb(), allowed_mb());
        if needed_mb <= allowed_mb {
            return Ok(());
        }
        Err(BenchError::TooLarge {
            arguments: self.words().join(" "),
            needed_mb,
            allowed_mb,
        })
    }
}

/// What is wrong with arguments, in one line: what, where, and what would be right.
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
