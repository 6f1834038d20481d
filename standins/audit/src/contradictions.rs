//! Whether two front ends acted on contradicting settings, from what passed on the sockets.
//!
//! Two functions are observed. Of one, versions name one of two classes in turn (a strict field), whose deadlines differ:
//! the timeout that a worker is given with a call's first attempt shows by which class the front end took the call. Of the
//! other, the class's effect is safe and unsafe in turn (a joint field), and workers lose every answer: a second attempt
//! after one that may have run shows that the front end took the call as safe.
//!
//! A front end decides on a call between its arrival and its first attempt. Of the old settings the arrival is taken, of
//! the new ones the attempt, so that what is measured is the least time for which both were acted on. While a process is
//! stopped it decides nothing: what arrived then was decided after it was resumed.

use crate::record::{Entry, Event, Mark};
use crate::report::{CallEnd, CallHistory};
use std::collections::BTreeMap;

/// What a version of the settings claims of the two observed functions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ObservedSettings {
    /// The deadline of the first function's class, microseconds.
    pub deadline: i64,
    /// Calls of the second may be repeated.
    pub safe: bool,
}

/// The observed functions, and what versions claim of them.
#[derive(Clone, Debug)]
pub struct Observations {
    /// The function whose class changes.
    pub class_function: String,
    /// The function whose answers are lost.
    pub lost_answers_function: String,
    /// By version.
    pub settings_by_version: BTreeMap<u64, ObservedSettings>,
    /// A timeout as a worker is given it is less than the class's deadline by at most this part.
    pub timeout_margin: f64,
}

/// How long front ends contradicted each other.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Contradictions {
    /// Calls of the observed functions that showed which settings were acted on.
    pub observed_calls: usize,
    /// Longest time for which two front ends acted on a strict field's two values, microseconds; 0: never.
    pub longest_strict: i64,
    /// Longest time after a stricter value was in force at which a front end took a call by the looser one; 0: never.
    pub longest_joint: i64,
    /// In words, where either is above zero.
    pub descriptions: Vec<String>,
}

/// What the marks say of versions and of stopped processes.
#[derive(Default)]
struct Timeline {
    /// Versions in the order of their proposals, and when.
    proposed: Vec<(u64, i64)>,
    in_force: BTreeMap<u64, i64>,
    pauses: Vec<Pause>,
}

/// While a front end's process did nothing.
struct Pause {
    front: usize,
    from: i64,
    to: i64,
}

impl Timeline {
    fn read(entries: &[Entry]) -> Timeline {
        let mut timeline = Timeline::default();
        let mut stopped: BTreeMap<usize, i64> = BTreeMap::new();
        for entry in entries {
            let Event::Mark(mark) = &entry.event else {
                continue;
            };
            match *mark {
                Mark::Proposed { version } => timeline.proposed.push((version, entry.at)),
                Mark::InForce { version } => {
                    timeline.in_force.insert(version, entry.at);
                }
                Mark::Stopped { front } => {
                    stopped.insert(front, entry.at);
                }
                Mark::Resumed { front } | Mark::Killed { front } => {
                    let to = entry.at;
                    let from = stopped.remove(&front);
                    let pause = from.map(|from| Pause { front, from, to });
                    timeline.pauses.extend(pause);
                }
                _ => {}
            }
        }
        timeline
    }

    /// The earliest time at which the front end can have decided on a call.
    fn decided_from(&self, call: &CallHistory) -> i64 {
        let pause = self
            .pauses
            .iter()
            .find(|pause| pause.front == call.front && pause.from <= call.at && call.at < pause.to);
        pause.map_or(call.at, |pause| pause.to)
    }
}

/// A call that shows by which deadline its front end took it.
struct StrictEvidence<'a> {
    decided_from: i64,
    sent_at: i64,
    front: usize,
    deadline: i64,
    id: &'a str,
}

/// A call that shows that its front end took it as safe.
struct LooseEvidence<'a> {
    decided_from: i64,
    front: usize,
    id: &'a str,
}

/// What the observed functions' calls show.
#[derive(Default)]
struct Evidence<'a> {
    strict: Vec<StrictEvidence<'a>>,
    loose: Vec<LooseEvidence<'a>>,
    observed_calls: usize,
}

impl<'a> Evidence<'a> {
    fn collect(
        calls: &'a [CallHistory],
        observations: &Observations,
        timeline: &Timeline,
    ) -> Evidence<'a> {
        let mut evidence = Evidence::default();
        for call in calls {
            let Some((sent_at, timeout, _)) = call.attempts.first().copied() else {
                continue;
            };
            let decided_from = timeline.decided_from(call);
            if call.function == observations.class_function {
                let deadline = observations.deadline_of(timeout.unwrap_or(0));
                evidence
                    .strict
                    .extend(deadline.map(|deadline| StrictEvidence {
                        decided_from,
                        sent_at,
                        front: call.front,
                        deadline,
                        id: &call.id,
                    }));
            } else if call.function == observations.lost_answers_function {
                let may_have_run = call.attempts.iter().filter(|a| !a.2).count();
                if may_have_run > 1 {
                    evidence.loose.push(LooseEvidence {
                        decided_from,
                        front: call.front,
                        id: &call.id,
                    });
                }
                evidence.observed_calls +=
                    usize::from(may_have_run > 1 || call.end == CallEnd::Failed);
            }
        }
        evidence.observed_calls += evidence.strict.len();
        evidence
    }

    /// Calls by that deadline, decided in the window.
    fn by_deadline(
        &self,
        deadline: i64,
        from: i64,
        to: i64,
    ) -> impl Iterator<Item = &StrictEvidence<'a>> {
        self.strict.iter().filter(move |call| {
            call.deadline == deadline && call.decided_from >= from && call.decided_from < to
        })
    }
}

impl Observations {
    /// The deadline that a worker's timeout comes from.
    fn deadline_of(&self, timeout: i64) -> Option<i64> {
        let timeout = timeout as f64;
        let fits = |claim: &&ObservedSettings| {
            let deadline = claim.deadline as f64;
            timeout <= deadline && timeout > deadline * (1.0 - self.timeout_margin)
        };
        self.settings_by_version
            .values()
            .find(fits)
            .map(|claim| claim.deadline)
    }
}

/// A proposed version, until the next proposal.
struct Proposal {
    version: u64,
    from: i64,
    to: i64,
}

/// Compares the observed functions' calls with the versions' claims. The fleet begins with version 1.
pub fn find_contradictions(
    entries: &[Entry],
    calls: &[CallHistory],
    observations: &Observations,
) -> Contradictions {
    let timeline = Timeline::read(entries);
    let evidence = Evidence::collect(calls, observations, &timeline);
    let mut contradictions = Contradictions {
        observed_calls: evidence.observed_calls,
        ..Contradictions::default()
    };
    let starts = timeline.proposed.iter().copied();
    let ends = starts.clone().skip(1).map(|next| next.1).chain([i64::MAX]);
    let mut before = 1;
    for ((version, from), to) in starts.zip(ends) {
        let old = observations.settings_by_version.get(&before);
        let (Some(old), Some(new)) = (old, observations.settings_by_version.get(&version)) else {
            continue;
        };
        let proposal = Proposal { version, from, to };
        if old.deadline != new.deadline {
            contradictions.add_strict(&evidence, &proposal, old, new);
        }
        let in_force = timeline.in_force.get(&version).copied();
        if let Some(in_force) = in_force {
            if !new.safe {
                contradictions.add_joint(&evidence, &proposal, in_force);
            }
            before = version;
        }
    }
    contradictions
}

impl Contradictions {
    /// A front end took a call by the old deadline after another had taken one by the new.
    fn add_strict(
        &mut self,
        evidence: &Evidence<'_>,
        proposal: &Proposal,
        old: &ObservedSettings,
        new: &ObservedSettings,
    ) {
        let by = |deadline| evidence.by_deadline(deadline, proposal.from, proposal.to);
        let Some(first_new) = by(new.deadline).min_by_key(|call| call.sent_at) else {
            return;
        };
        let last_old = by(old.deadline)
            .filter(|call| call.front != first_new.front)
            .max_by_key(|call| call.decided_from);
        let Some(last_old) = last_old.filter(|call| call.decided_from > first_new.sent_at) else {
            return;
        };
        self.longest_strict = self
            .longest_strict
            .max(last_old.decided_from - first_new.sent_at);
        self.descriptions.push(format!(
            "version {}: front end {} admitted {} under it at {:.3} s, front end {} admitted {} under the one before at {:.3} s",
            proposal.version,
            first_new.front,
            first_new.id,
            first_new.sent_at as f64 / 1e6,
            last_old.front,
            last_old.id,
            last_old.decided_from as f64 / 1e6
        ));
    }

    /// A front end took a call as safe after a version that says otherwise was in force.
    fn add_joint(&mut self, evidence: &Evidence<'_>, proposal: &Proposal, in_force: i64) {
        let late = evidence
            .loose
            .iter()
            .filter(|call| call.decided_from > in_force && call.decided_from < proposal.to)
            .max_by_key(|call| call.decided_from);
        let Some(late) = late else {
            return;
        };
        self.longest_joint = self.longest_joint.max(late.decided_from - in_force);
        self.descriptions.push(format!(
            "version {} is in force at {:.3} s: front end {} admitted {} as safe at {:.3} s",
            proposal.version,
            in_force as f64 / 1e6,
            late.front,
            late.id,
            late.decided_from as f64 / 1e6
        ));
    }
}
