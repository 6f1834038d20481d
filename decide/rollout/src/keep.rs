//! A supervisor's part: one process under each of its names.
//!
//! A name has a process or none. It is asked to end only while the roll lets it go, by a word of the roll that is not older
//! than [`SupervisorLimits::word`]: a supervisor that slept asks again before it touches anything. A process that ends by itself is
//! started again, after a pause that doubles, on the side where it was to be.

use crate::{Time, SECOND};
use std::collections::BTreeMap;

/// The number by which a process is known to whoever runs it.
pub type ProcessId = u32;

/// How long things may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SupervisorLimits {
    /// From the start to ready; longer: it is ended and started again.
    pub ready: Time,
    /// From the request to end to the end; longer: it is killed.
    pub drain: Time,
    /// The first pause after an end by itself, and the longest.
    pub pause: (Time, Time),
    /// One that was ready for so long is well again: the next pause is the first one.
    pub well: Time,
    /// A word of the roll counts for so long from before it was asked for.
    pub word: Time,
}

impl Default for SupervisorLimits {
    fn default() -> SupervisorLimits {
        SupervisorLimits {
            ready: 30 * SECOND,
            drain: 15 * SECOND,
            pause: (SECOND / 2, 30 * SECOND),
            well: 30 * SECOND,
            word: SECOND,
        }
    }
}

/// What is wanted of a name.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DesiredProcess {
    /// Which program, by its label.
    pub label: String,
    /// It may be asked to end, to be changed.
    pub may: bool,
}

/// How a process ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProcessExit {
    /// In words that are the same for the same sort of end.
    pub sort: String,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SupervisorCommand {
    /// Start a process, then call [`Supervisor::on_started`].
    Start {
        /// Under which name.
        name: String,
        /// Of which program.
        label: String,
    },
    /// Ask it to end (SIGTERM).
    End {
        /// Which.
        pid: ProcessId,
    },
    /// End it at once (SIGKILL).
    Kill {
        /// Which.
        pid: ProcessId,
    },
    /// Tell the roll that it ended by itself.
    Tell {
        /// Whose.
        name: String,
        /// Which process.
        pid: ProcessId,
        /// How.
        sort: String,
        /// How often lately.
        again: u32,
    },
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Child {
    /// None runs; the next may be started from this time on.
    None { from: Time },
    /// It was asked for; its number is not known yet.
    Asked,
    Runs {
        pid: ProcessId,
        label: String,
        since: Time,
        ready: Option<Time>,
    },
    /// It was asked to end.
    Ending {
        pid: ProcessId,
        by: Time,
        killed: bool,
        well: bool,
    },
}

#[derive(Clone, Debug)]
struct Name {
    child: Child,
    wanted: DesiredProcess,
    /// When the word that says so was asked for.
    word: Time,
    again: u32,
}

/// The names of one supervisor.
#[derive(Clone, Debug)]
pub struct Supervisor {
    limits: SupervisorLimits,
    names: BTreeMap<String, Name>,
    ends: bool,
}

impl Supervisor {
    /// These names, none of which has a process that is known, each to run this program until something else is heard.
    pub fn new(
        limits: SupervisorLimits,
        names: impl IntoIterator<Item = String>,
        label: &str,
    ) -> Supervisor {
        let one = |name| {
            let wanted = DesiredProcess {
                label: label.to_string(),
                may: false,
            };
            (
                name,
                Name {
                    child: Child::None { from: Time::MIN },
                    wanted,
                    word: Time::MIN,
                    again: 0,
                },
            )
        };
        Supervisor {
            limits,
            names: names.into_iter().map(one).collect(),
            ends: false,
        }
    }

    /// A process of an earlier supervisor that lives on.
    pub fn adopt(&mut self, now: Time, name: &str, pid: ProcessId, label: String) {
        if let Some(n) = self.names.get_mut(name) {
            n.child = Child::Runs {
                pid,
                label,
                since: now,
                ready: Some(now),
            };
        }
    }

    /// What the roll wants of a name, by a word that was asked for at this time.
    pub fn set_desired(&mut self, asked: Time, name: &str, wanted: DesiredProcess) {
        if let Some(n) = self.names.get_mut(name).filter(|n| asked >= n.word) {
            (n.wanted, n.word) = (wanted, asked);
        }
    }

    /// A process was started.
    pub fn on_started(&mut self, now: Time, name: &str, pid: ProcessId, label: String) {
        if let Some(n) = self.names.get_mut(name) {
            n.child = Child::Runs {
                pid,
                label,
                since: now,
                ready: None,
            };
        }
    }

    /// It could not be started.
    pub fn on_start_failed(
        &mut self,
        now: Time,
        name: &str,
        why: String,
        out: &mut Vec<SupervisorCommand>,
    ) {
        let limits = self.limits;
        if let Some(n) = self.names.get_mut(name) {
            n.fell(now, &limits, name, 0, why, out);
        }
    }

    /// A process serves.
    pub fn on_ready(&mut self, now: Time, name: &str) {
        if let Some(Child::Runs { ready, .. }) = self.names.get_mut(name).map(|n| &mut n.child) {
            ready.get_or_insert(now);
        }
    }

    /// A process has ended.
    pub fn on_exit(
        &mut self,
        now: Time,
        pid: ProcessId,
        how: ProcessExit,
        out: &mut Vec<SupervisorCommand>,
    ) {
        let limits = self.limits;
        for (name, n) in &mut self.names {
            match n.child.clone() {
                Child::Ending { pid: p, well, .. } if p == pid => {
                    // One that was not ready in time is tried again ever more slowly.
                    let pause = if well { 0 } else { n.pause(&limits) };
                    n.child = Child::None { from: now + pause };
                }
                Child::Runs { pid: p, ready, .. } if p == pid => {
                    if ready.is_some_and(|r| now - r >= limits.well) {
                        n.again = 0;
                    }
                    n.fell(now, &limits, name, pid, how.sort.clone(), out);
                }
                _ => {}
            }
        }
    }

    /// All are to end.
    pub fn shut_down(&mut self, now: Time, out: &mut Vec<SupervisorCommand>) {
        self.ends = true;
        let drain = self.limits.drain;
        for n in self.names.values_mut() {
            if let Child::Runs { pid, .. } = n.child {
                n.child = Child::Ending {
                    pid,
                    by: now + drain,
                    killed: false,
                    well: true,
                };
                out.push(SupervisorCommand::End { pid });
            }
        }
    }

    /// Whether no process is left.
    pub fn is_finished(&self) -> bool {
        self.names
            .values()
            .all(|n| matches!(n.child, Child::None { .. }))
    }

    /// The process of a name, and its program.
    pub fn process(&self, name: &str) -> Option<(ProcessId, Option<&str>)> {
        match &self.names.get(name)?.child {
            Child::Runs { pid, label, .. } => Some((*pid, Some(label))),
            Child::Ending { pid, .. } => Some((*pid, None)),
            Child::None { .. } | Child::Asked => None,
        }
    }

    /// What time brings.
    pub fn tick(&mut self, now: Time, out: &mut Vec<SupervisorCommand>) {
        let limits = self.limits;
        for (name, n) in &mut self.names {
            let fresh = now.saturating_sub(n.word) <= limits.word;
            match n.child.clone() {
                Child::None { from } if now >= from && !self.ends => {
                    n.child = Child::Asked;
                    out.push(SupervisorCommand::Start {
                        name: name.clone(),
                        label: n.wanted.label.clone(),
                    });
                }
                Child::Runs { pid, ref label, .. }
                    if *label != n.wanted.label && n.wanted.may && fresh =>
                {
                    n.child = Child::Ending {
                        pid,
                        by: now + limits.drain,
                        killed: false,
                        well: true,
                    };
                    out.push(SupervisorCommand::End { pid });
                }
                Child::Runs {
                    pid,
                    since,
                    ready: None,
                    ..
                } if now - since >= limits.ready => {
                    n.child = Child::Ending {
                        pid,
                        by: now,
                        killed: true,
                        well: false,
                    };
                    out.push(SupervisorCommand::Kill { pid });
                    n.again += 1;
                    out.push(SupervisorCommand::Tell {
                        name: name.clone(),
                        pid,
                        sort: "not ready in time".into(),
                        again: n.again,
                    });
                }
                Child::Ending {
                    pid,
                    by,
                    killed: false,
                    well,
                } if now >= by => {
                    n.child = Child::Ending {
                        pid,
                        by,
                        killed: true,
                        well,
                    };
                    out.push(SupervisorCommand::Kill { pid });
                }
                _ => {}
            }
        }
    }

    /// When [`Supervisor::tick`] has something to do, if nothing is heard before.
    pub fn next_deadline(&self) -> Time {
        let one = |n: &Name| match &n.child {
            Child::None { from } if !self.ends => *from,
            Child::Runs {
                since, ready: None, ..
            } => since + self.limits.ready,
            Child::Ending {
                by, killed: false, ..
            } => *by,
            _ => Time::MAX,
        };
        self.names.values().map(one).min().unwrap_or(Time::MAX)
    }
}

impl Name {
    /// It ended though nobody had asked it to.
    fn fell(
        &mut self,
        now: Time,
        limits: &SupervisorLimits,
        name: &str,
        pid: ProcessId,
        sort: String,
        out: &mut Vec<SupervisorCommand>,
    ) {
        self.again += 1;
        self.child = Child::None {
            from: now + self.pause(limits),
        };
        out.push(SupervisorCommand::Tell {
            name: name.to_string(),
            pid,
            sort,
            again: self.again,
        });
    }

    fn pause(&self, limits: &SupervisorLimits) -> Time {
        let doubled = limits
            .pause
            .0
            .saturating_mul(1 << self.again.saturating_sub(1).min(20));
        doubled.min(limits.pause.1)
    }
}
