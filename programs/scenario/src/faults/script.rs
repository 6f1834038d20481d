//! What goes wrong, and when: moments as parts of the scenario's time, so that a short run has all of it too.

use super::process_group::ProcessGroup;
use crate::error::ScenarioError;
use tansy_audit::Link;

/// One fault, or its end.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FaultStep {
    /// A worker's fault, as its control port calls it.
    WorkerFault(usize, &'static str),
    /// The proxy ends all connections from one front end to a worker.
    CutLink(usize, usize),
    /// The proxy pauses all that passes between one front end and a worker, or lets it go on.
    SetLinkPaused(usize, usize, bool),
    /// A front end's endpoint list says that a worker drains, or takes work.
    SetDraining(usize, usize, bool),
    /// A worker restarts, empty and cold.
    RestartWorker(usize),
    /// A front end is killed.
    KillFrontEnd(usize),
    /// It is started again.
    RestartFrontEnd(usize),
}

/// Every fault: when (a part of the scenario's time, 0 to 1) and which.
pub const ALL_FAULTS_SCRIPT: &[(f64, FaultStep)] = &[
    (0.10, FaultStep::WorkerFault(0, "silent")),
    (0.20, FaultStep::WorkerFault(0, "clear")),
    (0.22, FaultStep::CutLink(0, 1)),
    (0.23, FaultStep::CutLink(1, 4)),
    (0.24, FaultStep::CutLink(0, 0)),
    (0.25, FaultStep::CutLink(1, 5)),
    (0.26, FaultStep::CutLink(0, 3)),
    (0.27, FaultStep::CutLink(1, 1)),
    // One front end reads of a drain at once, the other late.
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

/// A zone comes back cold, all its workers at once.
pub const COLD_ZONE_SCRIPT: &[(f64, FaultStep)] = &[
    (0.35, FaultStep::RestartWorker(3)),
    (0.35, FaultStep::RestartWorker(4)),
    (0.35, FaultStep::RestartWorker(5)),
];

/// Performs a step.
///
/// # Errors
/// A process or the proxy does not do what it is asked for.
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
