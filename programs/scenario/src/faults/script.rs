//! Scripts of the fault scenarios. Times are shares of the scenario's length, so that a run of any length has every step.

use super::process_group::ProcessGroup;
use crate::error::ScenarioError;
use tansy_audit::Link;

/// A fault, or the end of one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FaultStep {
    /// Sets a worker's fault, by its name on the control port.
    WorkerFault(usize, &'static str),
    /// Closes all connections from a front end to a worker.
    CutLink(usize, usize),
    /// Pauses or resumes the traffic between a front end and a worker.
    SetLinkPaused(usize, usize, bool),
    /// Changes a worker between draining and ready in a front end's endpoint list.
    SetDraining(usize, usize, bool),
    /// Restarts a worker without loaded functions.
    RestartWorker(usize),
    /// Kills a front end.
    KillFrontEnd(usize),
    /// Starts a killed front end again.
    RestartFrontEnd(usize),
}

/// Steps of the scenario with every fault, with their times.
pub const ALL_FAULTS_SCRIPT: &[(f64, FaultStep)] = &[
    (0.10, FaultStep::WorkerFault(0, "silent")),
    (0.20, FaultStep::WorkerFault(0, "clear")),
    (0.22, FaultStep::CutLink(0, 1)),
    (0.23, FaultStep::CutLink(1, 4)),
    (0.24, FaultStep::CutLink(0, 0)),
    (0.25, FaultStep::CutLink(1, 5)),
    (0.26, FaultStep::CutLink(0, 3)),
    (0.27, FaultStep::CutLink(1, 1)),
    // The front ends learn of the drain at different times.
    (0.28, FaultStep::SetDraining(0, 2, true)),
    (0.34, FaultStep::SetDraining(1, 2, true)),
    (0.42, FaultStep::SetDraining(0, 2, false)),
    (0.42, FaultStep::SetDraining(1, 2, false)),
    (0.44, FaultStep::RestartWorker(3)),
    (0.50, FaultStep::WorkerFault(5, "silent-after=1")),
    (0.58, FaultStep::WorkerFault(5, "clear")),
    (0.60, FaultStep::KillFrontEnd(1)),
    (0.66, FaultStep::RestartFrontEnd(1)),
    (0.70, FaultStep::SetLinkPaused(0, 4, true)),
    (0.76, FaultStep::SetLinkPaused(0, 4, false)),
    (0.78, FaultStep::WorkerFault(1, "refuse")),
    (0.82, FaultStep::WorkerFault(1, "clear")),
    (0.84, FaultStep::WorkerFault(2, "slow=8")),
    (0.92, FaultStep::WorkerFault(2, "clear")),
    (0.93, FaultStep::WorkerFault(4, "hollow")),
    (0.98, FaultStep::WorkerFault(4, "clear")),
];

/// Restarts all workers of a zone at once.
pub const COLD_ZONE_SCRIPT: &[(f64, FaultStep)] = &[
    (0.35, FaultStep::RestartWorker(3)),
    (0.35, FaultStep::RestartWorker(4)),
    (0.35, FaultStep::RestartWorker(5)),
];

/// Performs a step.
///
/// # Errors
/// A process or the proxy fails.
pub fn perform(group: &mut ProcessGroup, step: FaultStep) -> Result<(), ScenarioError> {
    match step {
        FaultStep::WorkerFault(worker, fault) => group.control(worker, &format!("/fault/{fault}")),
        FaultStep::CutLink(front, worker) => group.proxy().cut(Link::Worker { front, worker }),
        FaultStep::SetLinkPaused(front, worker, paused) => {
            let link = Link::Worker { front, worker };
            group.proxy().set_paused(link, paused)
        }
        FaultStep::SetDraining(front, worker, draining) => {
            group.set_draining(front, worker, draining)
        }
        FaultStep::RestartWorker(worker) => group.restart_worker(worker),
        FaultStep::KillFrontEnd(front) => group.kill_front_end(front),
        FaultStep::RestartFrontEnd(front) => group.restart_front_end(front),
    }
}
