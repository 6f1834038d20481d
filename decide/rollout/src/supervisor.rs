//! The process supervisor of one machine: keeps at most one process for each of its front ends.
//!
//! Each front end is assigned a program. A running process is replaced by one of another program only if the assignment permits that
//! ([`DesiredProcess::may_replace`]) and is no older than [`SupervisorLimits::assignment_validity`]: a supervisor that was suspended has
//! to receive a new assignment before it acts. A process that crashes is restarted after an exponentially growing delay, with the program
//! that is assigned by then.

mod process;

use crate::{Time, SECOND};
use process::{ManagedProcess, ProcessState};
use std::collections::BTreeMap;

/// Doublings of the restart delay after which it no longer grows, to keep the shift from overflowing.
const MAX_DOUBLINGS: u32 = 20;

/// Process id of the operating system.
pub type ProcessId = u32;

/// Timeouts and restart delays of a supervisor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SupervisorLimits {
    /// Time from a process' start until it is ready; after that it is killed and restarted.
    pub start_timeout: Time,
    /// Time from SIGTERM until the process exits; after that it is killed.
    pub drain_timeout: Time,
    /// Restart delay after the first crash.
    pub first_restart_delay: Time,
    /// Maximum restart delay.
    pub max_restart_delay: Time,
    /// Once a process has been ready for this long, its front end's earlier crashes no longer count: the restart delay after its next
    /// crash is [`SupervisorLimits::first_restart_delay`].
    pub stable_after: Time,
    /// How long an assignment is valid, counted from the request for it.
    pub assignment_validity: Time,
}

impl Default for SupervisorLimits {
    fn default() -> SupervisorLimits {
        SupervisorLimits {
            start_timeout: 30 * SECOND,
            drain_timeout: 15 * SECOND,
            first_restart_delay: SECOND / 2,
            max_restart_delay: 30 * SECOND,
            stable_after: 30 * SECOND,
            assignment_validity: SECOND,
        }
    }
}

impl SupervisorLimits {
    /// The restart delay after this many consecutive crashes.
    fn restart_delay(&self, crashes: u32) -> Time {
        let doublings = crashes.saturating_sub(1).min(MAX_DOUBLINGS);
        let doubled = self.first_restart_delay.saturating_mul(1 << doublings);
        doubled.min(self.max_restart_delay)
    }
}

/// The program that is assigned to a front end.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DesiredProcess {
    /// The label of the program to run.
    pub label: String,
    /// Whether a process of another program may be terminated now.
    pub may_replace: bool,
}

/// How a process exited.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProcessExit {
    /// How it exited, such as `exit code 7`. Equal texts are exits of the same kind.
    pub kind: String,
}

/// A command for the caller to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SupervisorCommand {
    /// Start a process, then call [`Supervisor::on_started`] or [`Supervisor::on_start_failed`].
    Start {
        /// Name of the front end.
        name: String,
        /// Label of the program.
        label: String,
    },
    /// Ask a process to exit (SIGTERM).
    Terminate {
        /// The process id.
        pid: ProcessId,
    },
    /// Kill a process (SIGKILL).
    Kill {
        /// The process id.
        pid: ProcessId,
    },
    /// Report a crash to the rollout.
    ReportCrash {
        /// Name of the front end.
        name: String,
        /// The process id; 0 if the process could not be started.
        pid: ProcessId,
        /// How the process exited, or why it was not started.
        kind: String,
        /// Consecutive crashes of the front end, including this one.
        consecutive: u32,
    },
}

/// The supervisor's state machine: events in, [`SupervisorCommand`]s out.
#[derive(Clone, Debug)]
pub struct Supervisor {
    limits: SupervisorLimits,
    processes: BTreeMap<String, ManagedProcess>,
    shutting_down: bool,
}

impl Supervisor {
    /// Creates a supervisor of these front ends without processes. Each runs the program `label` until another one is assigned.
    pub fn new(
        limits: SupervisorLimits,
        names: impl IntoIterator<Item = String>,
        label: &str,
    ) -> Supervisor {
        let absent = |name| {
            let desired = DesiredProcess {
                label: label.to_string(),
                may_replace: false,
            };
            let process = ManagedProcess {
                state: ProcessState::Absent {
                    start_from: Time::MIN,
                },
                desired,
                desired_at: Time::MIN,
                crashes: 0,
            };
            (name, process)
        };
        Supervisor {
            limits,
            processes: names.into_iter().map(absent).collect(),
            shutting_down: false,
        }
    }

    /// Takes over a process that an earlier supervisor started, and counts it as ready.
    pub fn adopt(&mut self, now: Time, name: &str, pid: ProcessId, label: String) {
        self.set_running(now, name, pid, label, Some(now));
    }

    /// Sets the assignment of a front end. `requested_at` is the time of the request that it answers; if that is before the request for
    /// the present assignment, it is ignored.
    pub fn set_desired(&mut self, requested_at: Time, name: &str, desired: DesiredProcess) {
        let process = self.processes.get_mut(name);
        if let Some(process) = process.filter(|process| requested_at >= process.desired_at) {
            process.desired = desired;
            process.desired_at = requested_at;
        }
    }

    /// Records that a process was started.
    pub fn on_started(&mut self, now: Time, name: &str, pid: ProcessId, label: String) {
        self.set_running(now, name, pid, label, None);
    }

    /// Records that a process of the program `label` runs since `since`, and is ready since `ready`, if it is.
    fn set_running(
        &mut self,
        since: Time,
        name: &str,
        pid: ProcessId,
        label: String,
        ready: Option<Time>,
    ) {
        if let Some(process) = self.processes.get_mut(name) {
            process.state = ProcessState::Running {
                pid,
                label,
                since,
                ready,
            };
        }
    }

    /// Records that a process could not be started, which counts as a crash.
    pub fn on_start_failed(
        &mut self,
        now: Time,
        name: &str,
        reason: String,
        commands: &mut Vec<SupervisorCommand>,
    ) {
        if let Some(process) = self.processes.get_mut(name) {
            commands.push(process.on_crash(now, &self.limits, name, 0, reason));
        }
    }

    /// Records that a front end's process is ready.
    pub fn on_ready(&mut self, now: Time, name: &str) {
        let state = self
            .processes
            .get_mut(name)
            .map(|process| &mut process.state);
        if let Some(ProcessState::Running { ready, .. }) = state {
            ready.get_or_insert(now);
        }
    }

    /// Handles the exit of a process. The exit of one that the supervisor was not terminating counts as a crash.
    pub fn on_exit(
        &mut self,
        now: Time,
        exited: ProcessId,
        exit: ProcessExit,
        commands: &mut Vec<SupervisorCommand>,
    ) {
        let limits = &self.limits;
        for (name, process) in &mut self.processes {
            match process.state {
                ProcessState::Ending { pid, planned, .. } if pid == exited => {
                    // A process that was killed because it was not ready in time is restarted with the delay of a crash.
                    let delay = match planned {
                        true => 0,
                        false => limits.restart_delay(process.crashes),
                    };
                    process.state = ProcessState::Absent {
                        start_from: now + delay,
                    };
                }
                ProcessState::Running { pid, ready, .. } if pid == exited => {
                    if ready.is_some_and(|since| now - since >= limits.stable_after) {
                        process.crashes = 0;
                    }
                    commands.push(process.on_crash(now, limits, name, pid, exit.kind.clone()));
                }
                _ => {}
            }
        }
    }

    /// Terminates all processes and starts none from now on.
    pub fn shut_down(&mut self, now: Time, commands: &mut Vec<SupervisorCommand>) {
        self.shutting_down = true;
        for process in self.processes.values_mut() {
            if let ProcessState::Running { pid, .. } = process.state {
                commands.push(process.terminate(pid, now + self.limits.drain_timeout));
            }
        }
    }

    /// Whether no front end has a process, or one that is being started.
    pub fn is_finished(&self) -> bool {
        self.processes
            .values()
            .all(|process| matches!(process.state, ProcessState::Absent { .. }))
    }

    /// The process id of a front end's process, with the label of its program, or with `None` while it is being terminated.
    pub fn process(&self, name: &str) -> Option<(ProcessId, Option<&str>)> {
        match &self.processes.get(name)?.state {
            ProcessState::Running { pid, label, .. } => Some((*pid, Some(label))),
            ProcessState::Ending { pid, .. } => Some((*pid, None)),
            ProcessState::Absent { .. } | ProcessState::Starting => None,
        }
    }

    /// Issues the commands that are due.
    pub fn tick(&mut self, now: Time, commands: &mut Vec<SupervisorCommand>) {
        for (name, process) in &mut self.processes {
            process.tick(now, &self.limits, name, self.shutting_down, commands);
        }
    }

    /// When [`Supervisor::tick`] next has something to do, if nothing else happens before.
    pub fn next_deadline(&self) -> Time {
        let deadline = |process: &ManagedProcess| match &process.state {
            ProcessState::Absent { start_from } if !self.shutting_down => *start_from,
            ProcessState::Running {
                since, ready: None, ..
            } => since + self.limits.start_timeout,
            ProcessState::Ending {
                deadline,
                killed: false,
                ..
            } => *deadline,
            _ => Time::MAX,
        };
        let deadlines = self.processes.values().map(deadline);
        deadlines.min().unwrap_or(Time::MAX)
    }
}
