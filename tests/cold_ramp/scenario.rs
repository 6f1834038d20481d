//! Scenarios and constants of the simulation.

use tansyrouter::{Micros, SECOND};

/// One millisecond in microseconds.
pub const MS: Micros = SECOND / 1000;
/// Cores of a worker.
pub const CORES: usize = 3;
/// Mean work of a call.
pub const MEAN_WORK: Micros = 130 * MS;
/// Number of functions.
pub const FUNCTIONS: u64 = 48;
/// Idle timeout of instances.
pub const IDLE_TIMEOUT: Micros = 12 * SECOND;
/// Length of the windows in which calls at a starting worker are counted.
pub const OVERLOAD_WINDOW: Micros = 3 * SECOND;
/// When the starting workers start.
pub const WORKERS_START_AT: Micros = 16 * SECOND;
/// Minimum number of windows counted for each scenario.
pub const MIN_WINDOWS: usize = 10_000;
/// Network delay between front ends and workers.
pub const NETWORK_DELAY: Micros = MS / 2;
/// Time budget of a call.
pub const CALL_TIMEOUT: Micros = 2500 * MS;

/// A fleet, its traffic, and the incidents during the simulation.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    /// Number of front ends.
    pub front_ends: usize,
    /// Number of workers at the beginning.
    pub workers: usize,
    /// Number of workers that start at the same time and replace others.
    pub starting_workers: usize,
    /// Whether a fifth of the front ends have four times the traffic of the others.
    pub uneven_traffic: bool,
    /// Front ends receive the list with the started workers after a random delay of up to this.
    pub max_list_delay: Micros,
    /// Percentage of front ends that restart one after the other during slow start.
    pub restarted_percent: usize,
    /// Whether there are two classes, with half and twice the work, instead of one.
    pub two_classes: bool,
    /// Work of arriving calls, as a fraction of all cores.
    pub utilization: f64,
    /// Length of slow start.
    pub slow_start_window: Micros,
    /// Fraction of its full speed with which a worker starts.
    pub slow_start_from: f64,
    /// Multiple of its present capacity that a starting worker may be sent.
    pub overload_multiple: f64,
    /// Speed of the second half of the workers, which are of a second kind, relative to the first kind.
    pub second_kind_speed: f64,
    /// The workers other than the started ones are lost this long after the start.
    pub others_lost_after: Option<Micros>,
    /// Defect that the measurement has to detect.
    pub defect: Option<InjectedDefect>,
}

/// A defect that is injected into the settings of the routers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum InjectedDefect {
    /// Each front end sends twice what it may.
    DoubledMultiple,
    /// A restarted front end assumes that it is the only one.
    AssumesToBeAlone,
}

impl Default for Scenario {
    fn default() -> Scenario {
        Scenario {
            front_ends: 30,
            workers: 12,
            starting_workers: 2,
            uneven_traffic: false,
            max_list_delay: 0,
            restarted_percent: 0,
            two_classes: false,
            utilization: 0.55,
            slow_start_window: 9 * SECOND,
            slow_start_from: 0.36,
            overload_multiple: 4.0,
            second_kind_speed: 1.0,
            others_lost_after: None,
            defect: None,
        }
    }
}

impl Scenario {
    /// Returns the kind of a worker. The second half of the workers, and those that replace them, are of the second
    /// kind.
    pub fn kind(&self, worker: u64) -> usize {
        let workers = self.workers as u64;
        (worker % workers >= workers / 2) as usize
    }

    /// Returns the mean work of a call of this class.
    pub fn mean_work(&self, class: usize) -> Micros {
        [
            if self.two_classes {
                MEAN_WORK / 2
            } else {
                MEAN_WORK
            },
            2 * MEAN_WORK,
        ][class]
    }

    /// Returns the weight of a call of this class, in calls of mean work.
    pub fn call_weight(&self, class: usize) -> f64 {
        if self.two_classes {
            [0.5, 2.0][class]
        } else {
            1.0
        }
    }
}
