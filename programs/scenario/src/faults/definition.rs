//! The scenarios that inject faults: processes, load and script of each.

use super::script::{FaultStep, ALL_FAULTS_SCRIPT, COLD_ZONE_SCRIPT};
use std::ops::RangeInclusive;

/// A scenario that injects faults.
#[derive(Debug)]
pub struct FaultScenario {
    /// Its settings' file name, for errors.
    pub settings_name: &'static str,
    /// Its settings' text.
    pub settings_text: &'static str,
    /// Front ends.
    pub gateways: usize,
    /// Workers, unless the command line says otherwise.
    pub workers: usize,
    /// Seconds of work that a worker does a second, likewise.
    pub cores: f64,
    /// Calls a second, likewise.
    pub rate: u64,
    /// Milliseconds of work of a call.
    pub work_ms: RangeInclusive<i64>,
    /// What goes wrong, and at which part of the scenario's time (0 to 1).
    pub script: &'static [(f64, FaultStep)],
}

/// Every fault in turn, two front ends.
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

/// A zone of three workers comes back cold, under more load than the warm zone can serve, from four front ends.
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
