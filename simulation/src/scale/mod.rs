//! Measurements of large fleets: the control traffic of front ends, relays and voters, and the time that changes take.
//!
//! A [`Tier`] says how the simulated processes discover each other. In the whole tier every process runs gossip and keeps its
//! own member list, so that memory grows with the square of the fleet size. In the hollow tier gossip is not simulated: all
//! processes share one directory, which is accurate but updated with a delay, and the traffic that gossip would cause
//! ([`IDLE_MEMBERSHIP_TRAFFIC`]) is added to the results. Leases, sessions, logs, drains and the audit are the same in both.
//!
//! The measurement begins some time after all front ends have joined; the time to join is reported separately.

mod directory;
mod failures;
mod measurement;
mod observe;
mod report;
mod results;
mod scenario;
mod scopes;
mod workload;

pub use report::{
    DeadSubscriberReport, FailureReport, PartitionReport, PartitionSide, Quantiles, ScaleReport,
};
pub use scenario::{ScaleScenario, Tier, REGION_NETWORK};

pub(crate) use directory::SharedDirectories;
pub(crate) use measurement::{ScaleEvent, ScaleMeasurement};

use crate::fault::{Time, SECOND};
use crate::fleet::{Simulation, SimulationOptions};

/// Delay in the hollow tier until the directory contains a started process; the same as the median in the whole tier.
const DETECTED_UP_AFTER: Time = SECOND * 35 / 100;
/// Delay in the hollow tier until the directory drops a crashed process; the same as the median in the whole tier.
const DETECTED_DOWN_AFTER: Time = SECOND * 32 / 10;
/// Interval between checks of the whole fleet.
const CHECK_INTERVAL: Time = SECOND / 4;
/// Time between the last join, or the setup of functions that follows it, and the start of the measurement.
const SETTLE_TIME: Time = 10 * SECOND;
/// Time limit for all front ends to join after the last start, and for setting up functions after that.
const START_LIMIT: Time = 180 * SECOND;
/// Processes started per second.
const STARTS_PER_SECOND: i64 = 1000;

/// The incarnations of a real process start from its start time in microseconds since 1970; a number of that magnitude
/// gives messages a realistic size.
pub(crate) const FIRST_INCARNATION: u64 = 1_796_000_000_000_000;
/// Real node ids are hashes of names; this bit gives simulated ids the same encoded size.
pub(crate) const WIDE_ID: u64 = 1 << 63;

/// Messages and bytes of membership per front end and second, sent and received, in the whole tier without restarts.
pub const IDLE_MEMBERSHIP_TRAFFIC: (f64, f64) = (8.1, 1118.0);
/// Messages and bytes of membership per front end and second that each restart per hour adds.
pub const MEMBERSHIP_TRAFFIC_PER_RESTART: (f64, f64) = (0.011, 2.1);

/// The period over which the processes of a fleet are started.
pub(crate) fn start_time(front_ends: usize) -> Time {
    (front_ends as i64 * SECOND / STARTS_PER_SECOND).max(SECOND / 2)
}

/// Simulates one fleet; [`SimulationOptions::scale`] must be set.
pub fn run(options: &SimulationOptions, seed: u64) -> ScaleReport {
    let mut simulation = Simulation::new(options, seed, &[]);
    simulation.run_events();
    simulation.into_scale_report()
}

/// Simulates the seeds `from..from + seeds` on `threads` threads. Returns the reports in the order of their seeds, each
/// with the elapsed real time in seconds.
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
