//! The runs of `--all`, whose output docs/CAPACITY.md is generated from.

use crate::{Args, Measurement};

/// Instances of the fleet for which capacity is planned.
const TARGET_INSTANCES: usize = 1_300_000;
const KNOWN_FUNCTIONS: [usize; 5] = [1_000, 10_000, 40_000, 100_000, 340_000];
const WARM_INSTANCES: [usize; 4] = [40_000, 160_000, 400_000, TARGET_INSTANCES];
/// Functions of the fleet for which capacity is planned.
const TARGET_FUNCTIONS: usize = 340_000;

/// A list of runs, built from measurements at several sizes.
#[derive(Default)]
struct Campaign {
    runs: Vec<Args>,
}

impl Campaign {
    /// Adds a measurement at these sizes with three seeds each, or one seed at [`TARGET_INSTANCES`], the slowest size.
    fn add(&mut self, measurement: Measurement, sizes: &[usize], set: impl Fn(&mut Args, usize)) {
        for size in sizes {
            let seeds = if *size == TARGET_INSTANCES { 1 } else { 3 };
            for seed in 1..=seeds {
                let mut args = Args {
                    seed,
                    ..Args::of(measurement)
                };
                set(&mut args, *size);
                self.runs.push(args);
            }
        }
    }

    fn by_functions(&mut self, measurement: Measurement, sizes: &[usize]) {
        self.add(measurement, sizes, |args, size| args.functions = size);
    }

    fn by_instances(&mut self, measurement: Measurement, sizes: &[usize]) {
        self.add(measurement, sizes, |args, size| args.instances = size);
    }

    fn by_front_ends(&mut self, measurement: Measurement, sizes: &[usize]) {
        self.add(measurement, sizes, |args, size| args.front_ends = size);
    }

    /// The decision module, the dispatcher and cold starts.
    fn add_dispatch(&mut self) {
        use Measurement::*;
        self.by_functions(DecisionModule, &KNOWN_FUNCTIONS);
        self.by_instances(DecisionModule, &WARM_INSTANCES);
        self.by_functions(Dispatcher, &KNOWN_FUNCTIONS);
        self.by_instances(Dispatcher, &WARM_INSTANCES);
        self.add(Dispatcher, &KNOWN_FUNCTIONS[..4], |args, size| {
            (args.functions, args.unlisted) = (size, true)
        });
        // With few workers per front end hardly any cold call is sent, so this series uses more instances.
        self.add(ColdStart, &KNOWN_FUNCTIONS[..4], |args, size| {
            (args.functions, args.instances) = (size, 160_000)
        });
        self.by_instances(ColdStart, &WARM_INSTANCES);
        self.add(ColdStart, &[1_000, 4_000, 30_000, 60_000], |args, size| {
            (args.front_ends, args.instances) = (size, 160_000)
        });
    }

    /// Settings, the replicated log and membership.
    fn add_control_state(&mut self) {
        use Measurement::*;
        self.by_functions(SettingsChange, &[250, 1_000, 4_000, 8_000]);
        self.by_functions(ApplySettings, &[1_000, 4_000, 10_000, 40_000]);
        self.by_functions(GrantMessage, &[1_000, 4_000, 10_000, 40_000, 100_000]);
        self.by_functions(LargestMessage, &[1_000]);
        self.by_functions(ReplicatedLog, &[64, 125, 250, 500]);
        self.add(VoterFile, &[64, 125, 250, 500], |args, size| {
            (args.functions, args.changes) = (size, 60)
        });
        self.by_front_ends(Membership, &[250, 1_000, 4_000, 16_000]);
        self.by_front_ends(LeaseTopology, &[250, 1_000, 4_000, 16_000]);
        self.by_front_ends(Roster, &[250, 1_000, 4_000, 10_000, 16_000]);
    }

    /// Worker lists and drained workers.
    fn add_endpoints(&mut self) {
        use Measurement::*;
        self.by_instances(EndpointListFile, &[1_000, 4_000, 16_000, 64_000]);
        self.by_instances(
            EndpointListUpdate,
            &[1_000, 10_000, 100_000, 400_000, TARGET_INSTANCES],
        );
        self.by_instances(PlatformList, &[1_000, 4_000, 16_000]);
        self.by_instances(DrainTable, &[1_000, 4_000, 16_000, 40_000]);
    }

    /// Scopes: functions whose settings change independently.
    fn add_scopes(&mut self) {
        use Measurement::*;
        self.by_functions(ScopeCatalog, &KNOWN_FUNCTIONS);
        self.by_functions(CatalogFile, &KNOWN_FUNCTIONS);
        self.add(
            ScopeSubscriptions,
            &[100, 400, 1_000, 4_096],
            |args, size| (args.functions, args.subscriptions) = (TARGET_FUNCTIONS, size),
        );
        self.add(
            SubscriptionTable,
            &[250, 1_000, 4_000, 15_000],
            |args, size| (args.functions, args.front_ends) = (TARGET_FUNCTIONS, size),
        );
    }

    /// Load on workers from all front ends, and rollouts.
    fn add_fleets(&mut self) {
        use Measurement::*;
        for miss in [false, true] {
            self.add(WorkerLoad, &[10, 30, 100, 300], |args, size| {
                // Scaled down from the target fleet: 340,000 functions, 1,300,000 instances and 15,000 front ends.
                args.front_ends = size;
                args.functions = size * 340 / 15;
                args.instances = size * 1_300 / 15;
                args.miss = miss;
            });
        }
        self.by_front_ends(RolloutController, &[100, 300, 1_000, 3_750]);
        self.by_front_ends(Rollout, &[50, 100, 200, 400, 800]);
    }
}

/// All runs of the campaign, in the order of measurement.
pub(crate) fn campaign() -> Vec<Args> {
    let mut campaign = Campaign::default();
    campaign.add_dispatch();
    campaign.add_control_state();
    campaign.add_endpoints();
    campaign.add_scopes();
    campaign.add_fleets();
    campaign.runs
}
