//! The state machine of one front end's process.

use super::{DesiredProcess, ProcessId, SupervisorCommand, SupervisorLimits};
use crate::Time;

/// The process of one front end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum ProcessState {
    /// No process; one may be started from this time on.
    Absent { start_from: Time },
    /// [`SupervisorCommand::Start`] was issued; the process id is not known yet.
    Starting,
    Running {
        pid: ProcessId,
        label: String,
        /// When it was started, or adopted.
        since: Time,
        /// When it became ready.
        ready: Option<Time>,
    },
    /// It was sent SIGTERM or SIGKILL and has not exited yet.
    Ending {
        pid: ProcessId,
        deadline: Time,
        killed: bool,
        /// Whether it is being replaced or shut down, rather than killed for not being ready in time; its successor starts without
        /// delay.
        planned: bool,
    },
}

#[derive(Clone, Debug)]
pub(super) struct ManagedProcess {
    pub(super) state: ProcessState,
    pub(super) desired: DesiredProcess,
    /// When `desired` was requested.
    pub(super) desired_at: Time,
    /// Consecutive crashes.
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
            ProcessState::Running { pid, label, .. }
                if self.needs_replacement(now, limits, label) =>
            {
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

    /// Whether a valid assignment has the process replaced by one of another program.
    fn needs_replacement(&self, now: Time, limits: &SupervisorLimits, label: &str) -> bool {
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

    /// Handles an exit without a request, or a failed start.
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
