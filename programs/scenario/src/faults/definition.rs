//! Definitions of the fault scenarios: processes, load and script.

use super::script::{FaultStep, ALL_FAULTS_SCRIPT, COLD_ZONE_SCRIPT};
use std::ops::RangeInclusive;

/// A scenario that injects faults.
#[derive(Debug)]
pub struct FaultScenario {
    /// File name of the settings, for error messages.
    pub settings_name: &'static str,
    /// Text of the settings.
    pub settings_text: &'static str,
    /// Number of front ends.
    pub gateways: usize,
    /// Default number of workers.
    pub workers: usize,
    /// Default number of cores of a worker: seconds of work that it can do per second.
    pub cores: f64,
    /// Default number of calls per second.
    pub rate: u64,
    /// Range of a call's work.
    pub work_ms: RangeInclusive<i64>,
    /// Fault steps, each with its time as a share of the scenario's length (0 to 1).
    pub script: &'static [(f64, FaultStep)],
}

/// Every fault in turn, with two front ends.
pub const ALL_FAULTS: FaultScenario = FaultScenario {
    settings_name: "all_faults.cue",
    settings_text: include_str!("all_faults.cue"),
    gateways: 2,
    workers: 6,
    cores: 8.0,
    rate: 1400,
    work_ms: 5..=40,
    script: ALL_FAULTS_SCRIPT,
};

/// A zone of three workers restarts cold while four front ends have more load than the other zone can serve.
pub const COLD_ZONE: FaultScenario = FaultScenario {
    settings_name: "cold_zone.cue",
    settings_text: include_str!("cold_zone.cue"),
    gateways: 4,
    cores: 4.0,
    rate: 160,
    work_ms: 150..=250,
    script: COLD_ZONE_SCRIPT,
    ..ALL_FAULTS
};
