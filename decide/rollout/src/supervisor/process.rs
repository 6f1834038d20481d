//! The state machine of one front end's process.

use super::{DesiredProcess, ProcessId, SupervisorCommand, SupervisorLimits};
use crate::Time;

/// The process of one front end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum ProcessState {
    /// There is none; the next may be started from this time on.
    Absent { start_from: Time },
    /// A start was commanded; the process is not known yet.
    Starting,
    Running {
        pid: ProcessId,
        label: String,
        since: Time,
        ready: Option<Time>,
    },
    /// It was asked to end, or killed.
    Ending {
        pid: ProcessId,
        deadline: Time,
        killed: bool,
        /// It ends as planned: the next one is started without a delay.
        planned: bool,
    },
}

#[derive(Clone, Debug)]
pub(super) struct ManagedProcess {
    pub(super) state: ProcessState,
    pub(super) desired: DesiredProcess,
    /// When the rollout was asked for `desired`.
    pub(super) desired_at: Time,
    /// Crashes in a row.
    pub(super) crashes: u32,
}

impl ManagedProcess {
    pub(super) fn tick(
        &mut self,
        now: Time,
        limits: &SupervisorLimits,
        name: &str,
        shutting_down: bool,
        commands: &mut Vec<SupervisorCommand>,
    ) {
        match &self.state {
            ProcessState::Absent { start_from } if now >= *start_from && !shutting_down => {
                commands.push(self.start(name));
            }
            ProcessState::Running { pid, label, .. } if self.is_to_replace(now, limits, label) => {
                commands.push(self.terminate(*pid, now + limits.drain_timeout));
            }
            ProcessState::Running {
                pid,
                since,
                ready: None,
                ..
            } if now - since >= limits.start_timeout => {
                commands.extend(self.kill_unready(now, name, *pid));
            }
            ProcessState::Ending {
                pid,
                deadline,
                killed: false,
                planned,
            } if now >= *deadline => commands.push(self.kill(*pid, *deadline, *planned)),
            _ => {}
        }
    }

    /// Whether the process is to be replaced by one of the desired program, by an assignment that is still valid.
    fn is_to_replace(&self, now: Time, limits: &SupervisorLimits, label: &str) -> bool {
        let valid = now.saturating_sub(self.desired_at) <= limits.assignment_validity;
        label != self.desired.label && self.desired.may_replace && valid
    }

    fn start(&mut self, name: &str) -> SupervisorCommand {
        self.state = ProcessState::Starting;
        SupervisorCommand::Start {
            name: name.to_string(),
            label: self.desired.label.clone(),
        }
    }

    pub(super) fn terminate(&mut self, pid: ProcessId, deadline: Time) -> SupervisorCommand {
        self.state = ProcessState::Ending {
            pid,
            deadline,
            killed: false,
            planned: true,
        };
        SupervisorCommand::Terminate { pid }
    }

    fn kill(&mut self, pid: ProcessId, deadline: Time, planned: bool) -> SupervisorCommand {
        self.state = ProcessState::Ending {
            pid,
            deadline,
            killed: true,
            planned,
        };
        SupervisorCommand::Kill { pid }
    }

    /// Kills a process that did not become ready in time, which counts as a crash.
    fn kill_unready(&mut self, now: Time, name: &str, pid: ProcessId) -> [SupervisorCommand; 2] {
        let kill = self.kill(pid, now, false);
        self.crashes += 1;
        [
            kill,
            self.crash_report(name, pid, "not ready in time".into()),
        ]
    }

    /// The process ended without being asked to.
    pub(super) fn on_crash(
        &mut self,
        now: Time,
        limits: &SupervisorLimits,
        name: &str,
        pid: ProcessId,
        kind: String,
    ) -> SupervisorCommand {
        self.crashes += 1;
        self.state = ProcessState::Absent {
            start_from: now + limits.restart_delay(self.crashes),
        };
        self.crash_report(name, pid, kind)
    }

    fn crash_report(&self, name: &str, pid: ProcessId, kind: String) -> SupervisorCommand {
        SupervisorCommand::ReportCrash {
            name: name.to_string(),
            pid,
            kind,
            consecutive: self.crashes,
        }
    }
}
