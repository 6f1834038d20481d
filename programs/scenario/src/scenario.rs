//! The days that can be played: cast, load and script of each.

use crate::script::{Step, BAD_DAY, COLD_ROOM};
use std::ops::RangeInclusive;

/// A day.
#[derive(Debug)]
pub struct Scenario {
    /// Its settings' file name, for errors, and its text.
    pub settings: (&'static str, &'static str),
    /// Front ends.
    pub gateways: usize,
    /// Workers, unless the command line says otherwise.
    pub workers: usize,
    /// Seconds of work that a worker does a second, likewise.
    pub cores: f64,
    /// Calls a second, likewise.
    pub rate: u64,
    /// Milliseconds of work of a call.
    pub work: RangeInclusive<i64>,
    /// What goes wrong, and when.
    pub script: &'static [(f64, Step)],
}

/// Every fault in turn, two front ends.
pub const BAD: Scenario = Scenario {
    settings: ("day.cue", include_str!("day.cue")),
    gateways: 2,
    workers: 6,
    cores: 8.0,
    rate: 1400,
    work: 5..=40,
    script: BAD_DAY,
};

/// A room of three workers comes back cold, under more load than the warm room bears, from four front ends.
pub const COLD: Scenario = Scenario {
    settings: ("cold.cue", include_str!("cold.cue")),
    gateways: 4,
    workers: 6,
    cores: 4.0,
    rate: 160,
    work: 150..=250,
    script: COLD_ROOM,
};
