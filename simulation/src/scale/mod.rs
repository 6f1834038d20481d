//! A fleet at its size: what control costs a front end, a relay and a voter, and how long changes take.
//!
//! Two tiers simulate the same processes. In the **whole** one each finds the others by gossip and keeps a member list of its
//! own, which takes memory with the square of the fleet. In the **hollow** one all are given one directory that is true but
//! late; leases, sessions, logs, drains and the audit are the same. What gossip would take is added there as measured in the
//! whole tier ([`IDLE_MEMBERSHIP_TRAFFIC`]).
//!
//! Measurement begins once all front ends act, and some time after; what the start took is reported separately.

mod directory;
mod losses;
mod measurement;
mod observe;
mod report;
mod results;
mod scenario;
mod scopes;
mod workload;

pub use report::{
    DeadHolderReport, LossReport, PartitionReport, PartitionSide, Quantiles, ScaleReport,
};
pub use scenario::{ScaleScenario, Tier, REGION_NETWORK};

pub(crate) use directory::SharedDirectories;
pub(crate) use measurement::{ScaleEvent, ScaleMeasurement};

use crate::fault::{Time, SECOND};
use crate::fleet::{Simulation, SimulationOptions};

/// Time after which the directory has a process that began: the median of whole fleets of 100 and 300 in seven regions.
const DETECTED_UP_AFTER: Time = SECOND * 35 / 100;
/// Time after which it no longer has one that ended without notice, likewise.
const DETECTED_DOWN_AFTER: Time = SECOND * 32 / 10;
/// Time between two looks at the whole fleet.
const CHECK_INTERVAL: Time = SECOND / 4;
/// All act for so long before anything is counted.
const SETTLE_TIME: Time = 10 * SECOND;
/// The whole fleet has to act after this time, beside the time in which it is started.
const START_LIMIT: Time = 180 * SECOND;
/// Processes that are started in a second.
const STARTS_PER_SECOND: i64 = 1000;

/// Processes of a fleet at its size count their incarnations from the microseconds since 1970, as real ones do.
pub(crate) const FIRST_INCARNATION: u64 = 1_796_000_000_000_000;
/// Their names are hashes: this bit gives a node id as many bytes.
pub(crate) const WIDE_ID: u64 = 1 << 63;

/// Messages and bytes of membership a front end a second, in and out, in a whole fleet in which nobody comes or goes: the
/// same at 100 and at 300 (8.1, and 1114 to 1119; three seeds each).
pub const IDLE_MEMBERSHIP_TRAFFIC: (f64, f64) = (8.1, 1118.0);
/// What each process that ends and comes back in an hour adds: at 100 1.7 and 1.8 bytes, at 300 1.9 and 2.2 (600 an hour, two
/// seeds each); taken as the same at every size.
pub const MEMBERSHIP_TRAFFIC_PER_RESTART: (f64, f64) = (0.011, 2.1);

/// Time in which the processes of a fleet are started.
pub(crate) fn start_time(front_ends: usize) -> Time {
    (front_ends as i64 * SECOND / STARTS_PER_SECOND).max(SECOND / 2)
}

/// Simulates one fleet; [`SimulationOptions::scale`] has to be set.
pub fn run(options: &SimulationOptions, seed: u64) -> ScaleReport {
    let mut simulation = Simulation::new(options, seed, &[]);
    simulation.run_events();
    simulation.into_scale_report()
}

/// Simulates seeds `from` to `from + seeds` on so many threads, in their order. With each the seconds it took.
pub fn many(
    options: &SimulationOptions,
    from: u64,
    seeds: u64,
    threads: usize,
) -> Vec<(ScaleReport, f64)> {
    let mut reports = crate::run_seeds(from, seeds, threads, |seed| {
        let began = std::time::Instant::now();
        let report = run(options, seed);
        (report, began.elapsed().as_secs_f64())
    });
    reports.sort_by_key(|(report, _)| report.seed);
    reports
}
