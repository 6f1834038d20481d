//! What a simulation is run with.

use tansyrouter::{Micros, SECOND};

/// Microseconds of a millisecond.
pub const MS: Micros = SECOND / 1000;
/// Cores of a worker.
pub const CORES: usize = 3;
/// Work of a call, on average.
pub const WORK: Micros = 130 * MS;
/// Functions that are called.
pub const FUNCTIONS: u64 = 48;
/// An instance without calls is unloaded after this time.
pub const IDLE_LIFE: Micros = 12 * SECOND;
/// The window in which calls at a cold worker are counted.
pub const OVERLOAD_WINDOW: Micros = 3 * SECOND;
/// When workers start cold.
pub const START: Micros = 16 * SECOND;
/// Windows counted of each scenario.
pub const WINDOWS: usize = 10_000;
/// From a front end to a worker.
pub const NETWORK_DELAY: Micros = MS / 2;
/// The time of a call.
pub const CALL_TIMEOUT: Micros = 2500 * MS;

/// A fleet, its traffic, and what happens to it.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    /// Front ends that share nothing.
    pub front_ends: usize,
    /// Workers at the beginning.
    pub workers: usize,
    /// Workers that start cold at the same time, in the place of others.
    pub cold_workers: usize,
    /// A fifth of the front ends have four times the traffic of the rest.
    pub uneven_traffic: bool,
    /// Front ends learn of the start within this time.
    pub notice_spread: Micros,
    /// So many front ends in a hundred start anew, one after the other, while the workers are cold.
    pub restarted_percent: usize,
    /// Classes of twice and half the work.
    pub two_classes: bool,
    /// Share of all cores that calls ask for.
    pub utilization: f64,
    /// How long a worker is cold.
    pub warm_up: Micros,
    /// The part of its speed with which a cold worker starts.
    pub cold_from: f64,
    /// What a cold worker may get over what it can do.
    pub overload_multiple: f64,
    /// Speed of the second half of the workers, a kind of their own, over that of the others.
    pub second_kind_speed: f64,
    /// The workers that did not start are lost so long after the start.
    pub lost_after: Option<Micros>,
    /// What the check has to find.
    pub defect: Option<InjectedDefect>,
}

/// Credits and rates that are not the router's.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum InjectedDefect {
    /// Each front end gives twice what it may.
    Doubled,
    /// A front end that starts anew takes itself for the only one.
    RenewedWhole,
}

impl Default for Scenario {
    fn default() -> Scenario {
        Scenario {
            front_ends: 30,
            workers: 12,
            cold_workers: 2,
            uneven_traffic: false,
            notice_spread: 0,
            restarted_percent: 0,
            two_classes: false,
            utilization: 0.55,
            warm_up: 9 * SECOND,
            cold_from: 0.36,
            overload_multiple: 4.0,
            second_kind_speed: 1.0,
            lost_after: None,
            defect: None,
        }
    }
}

impl Scenario {
    /// The kind of a worker: the second half of them, and those that come in their place, are of the second kind.
    pub fn kind(&self, worker: u64) -> usize {
        let workers = self.workers as u64;
        (worker % workers >= workers / 2) as usize
    }

    /// The mean work of a call of this class.
    pub fn mean_work(&self, class: usize) -> Micros {
        [if self.two_classes { WORK / 2 } else { WORK }, 2 * WORK][class]
    }

    /// How many calls of mean work a call of this class counts for.
    pub fn call_weight(&self, class: usize) -> f64 {
        if self.two_classes {
            [0.5, 2.0][class]
        } else {
            1.0
        }
    }
}
