//! The process supervisor of one machine: at most one process for each of its front ends.
//!
//! A process is asked to end only while the rollout releases its front end, and only by an assignment no older than
//! [`SupervisorLimits::assignment_validity`]: a supervisor that was suspended has to read the rollout again before it acts. A process
//! that crashes is restarted after an exponentially growing delay, with the program that is assigned by then.

mod process;

use crate::{Time, SECOND};
use process::{ManagedProcess, ProcessState};
use std::collections::BTreeMap;

/// The operating system's number of a process.
pub type ProcessId = u32;

/// Limits on how long things may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SupervisorLimits {
    /// From the start to ready; a process that takes longer is killed and started again.
    pub start_timeout: Time,
    /// From the request to end to the end; a process that takes longer is killed.
    pub drain_timeout: Time,
    /// The delay of the restart after a first crash.
    pub first_restart_delay: Time,
    /// The longest delay of a restart.
    pub max_restart_delay: Time,
    /// A process that was ready for so long counts as stable: the delay after its crash is the first one again.
    pub stable_after: Time,
    /// How long an assignment is valid, counted from before the rollout was asked for it.
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
    /// The delay of the restart after so many crashes in a row.
    fn restart_delay(&self, crashes: u32) -> Time {
        let doublings = crashes.saturating_sub(1).min(20);
        let doubled = self.first_restart_delay.saturating_mul(1 << doublings);
        doubled.min(self.max_restart_delay)
    }
}

/// What the rollout assigns to a front end.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DesiredProcess {
    /// The label of the program to run.
    pub label: String,
    /// A process of another program may be asked to end now.
    pub may_replace: bool,
}

/// How a process ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProcessExit {
    /// In words; equal texts are ends of the same kind.
    pub kind: String,
}

/// What the caller is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SupervisorCommand {
    /// Start a process, then call [`Supervisor::on_started`] or [`Supervisor::on_start_failed`].
    Start {
        /// The front end.
        name: String,
        /// The label of the program.
        label: String,
    },
    /// Ask a process to end (SIGTERM).
    Terminate {
        /// The process.
        pid: ProcessId,
    },
    /// End a process at once (SIGKILL).
    Kill {
        /// The process.
        pid: ProcessId,
    },
    /// Report a crash to the rollout.
    ReportCrash {
        /// The front end.
        name: String,
        /// The process; 0 if it could not be started.
        pid: ProcessId,
        /// How it ended.
        kind: String,
        /// Crashes in a row, this one included.
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
    /// A supervisor of these front ends, none of which has a known process, each to run this program until another is assigned.
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

    /// Takes over a running process of an earlier supervisor.
    pub fn adopt(&mut self, now: Time, name: &str, pid: ProcessId, label: String) {
        self.set_running(now, name, pid, label, Some(now));
    }

    /// Sets what the rollout assigns to a front end, as answered to a question asked at this time.
    pub fn set_desired(&mut self, asked: Time, name: &str, desired: DesiredProcess) {
        let process = self.processes.get_mut(name);
        if let Some(process) = process.filter(|process| asked >= process.desired_at) {
            process.desired = desired;
            process.desired_at = asked;
        }
    }

    /// A process was started.
    pub fn on_started(&mut self, now: Time, name: &str, pid: ProcessId, label: String) {
        self.set_running(now, name, pid, label, None);
    }

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

    /// A process could not be started.
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

    /// A process is ready.
    pub fn on_ready(&mut self, now: Time, name: &str) {
        let state = self
            .processes
            .get_mut(name)
            .map(|process| &mut process.state);
        if let Some(ProcessState::Running { ready, .. }) = state {
            ready.get_or_insert(now);
        }
    }

    /// A process has ended.
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
                    // One that was not ready in time is started again ever more slowly.
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

    /// Ends all processes and starts none from now on.
    pub fn shut_down(&mut self, now: Time, commands: &mut Vec<SupervisorCommand>) {
        self.shutting_down = true;
        for process in self.processes.values_mut() {
            if let ProcessState::Running { pid, .. } = process.state {
                commands.push(process.terminate(pid, now + self.limits.drain_timeout));
            }
        }
    }

    /// Whether no process is left.
    pub fn is_finished(&self) -> bool {
        self.processes
            .values()
            .all(|process| matches!(process.state, ProcessState::Absent { .. }))
    }

    /// The process of a front end, and the label of its program unless it is ending.
    pub fn process(&self, name: &str) -> Option<(ProcessId, Option<&str>)> {
        match &self.processes.get(name)?.state {
            ProcessState::Running { pid, label, .. } => Some((*pid, Some(label))),
            ProcessState::Ending { pid, .. } => Some((*pid, None)),
            ProcessState::Absent { .. } | ProcessState::Starting => None,
        }
    }

    /// Does what is due at this time.
    pub fn tick(&mut self, now: Time, commands: &mut Vec<SupervisorCommand>) {
        for (name, process) in &mut self.processes {
            process.tick(now, &self.limits, name, self.shutting_down, commands);
        }
    }

    /// When [`Supervisor::tick`] has something to do, unless an event comes first.
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
