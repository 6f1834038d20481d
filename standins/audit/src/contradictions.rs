//! Detects front ends that acted on contradicting settings at the same time.
//!
//! Versions of the settings differ for two observed functions, whose calls show which version a front end applied:
//!
//! - The class of the first function changes (a strict field) between two classes with different deadlines. The timeout
//!   passed to the worker with a call's first attempt shows the class.
//! - The class of the second function changes its effect between safe and unsafe (a joint field), and workers lose all its
//!   answers. A second attempt after one that may have run shows that the call was treated as safe.
//!
//! A front end applies its settings to a call between the call's arrival and the first attempt. The arrival is used for
//! calls under the old settings and the first attempt for calls under the new ones, so that the result is a lower bound
//! of the overlap. A stopped process handles calls that arrive meanwhile after it is resumed.

use crate::record::{Entry, Event, Mark};
use crate::report::{CallEnd, CallHistory};
use std::collections::BTreeMap;

/// The settings of the two observed functions in a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ObservedSettings {
    /// The deadline of the class of [`Observations::class_function`], microseconds.
    pub deadline: i64,
    /// Whether calls of [`Observations::lost_answers_function`] are safe to retry.
    pub safe: bool,
}

/// The observed functions, and their settings in each version.
#[derive(Clone, Debug)]
pub struct Observations {
    /// The function whose class changes.
    pub class_function: String,
    /// The function whose answers are lost.
    pub lost_answers_function: String,
    /// The observed settings of each version.
    pub settings_by_version: BTreeMap<u64, ObservedSettings>,
    /// The timeout passed to a worker is shorter than the class's deadline by at most this fraction.
    pub timeout_margin: f64,
}

/// How long front ends acted on contradicting settings.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Contradictions {
    /// Calls of the observed functions that showed which settings were applied.
    pub observed_calls: usize,
    /// Longest time for which two front ends applied different values of a strict field, microseconds; 0 if they never did.
    pub longest_strict: i64,
    /// Longest time after a stricter value of a joint field was in force at which a front end still applied the looser one,
    /// microseconds; 0 if none did.
    pub longest_joint: i64,
    /// A description of each contradiction.
    pub descriptions: Vec<String>,
}

/// Proposals and pauses, from the marks of a recording.
#[derive(Default)]
struct Timeline {
    /// Versions and the times of their proposals, in order.
    proposed: Vec<(u64, i64)>,
    /// When each version came into force.
    in_force: BTreeMap<u64, i64>,
    pauses: Vec<Pause>,
}

/// A period in which a front end's process was stopped.
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

    /// The earliest time at which the front end can have handled a call.
    fn earliest_decision(&self, call: &CallHistory) -> i64 {
        let pause = self
            .pauses
            .iter()
            .find(|pause| pause.front == call.front && pause.from <= call.at && call.at < pause.to);
        pause.map_or(call.at, |pause| pause.to)
    }
}

/// A call that shows which deadline its front end applied.
struct StrictEvidence<'a> {
    earliest_decision: i64,
    sent_at: i64,
    front: usize,
    deadline: i64,
    id: &'a str,
}

/// A call that shows that its front end treated it as safe.
struct LooseEvidence<'a> {
    earliest_decision: i64,
    front: usize,
    id: &'a str,
}

/// The calls of the observed functions that show which settings were applied.
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
            let earliest_decision = timeline.earliest_decision(call);
            if call.function == observations.class_function {
                let deadline = observations.deadline_of(timeout.unwrap_or(0));
                evidence
                    .strict
                    .extend(deadline.map(|deadline| StrictEvidence {
                        earliest_decision,
                        sent_at,
                        front: call.front,
                        deadline,
                        id: &call.id,
                    }));
            } else if call.function == observations.lost_answers_function {
                let may_have_run = call.attempts.iter().filter(|a| !a.2).count();
                if may_have_run > 1 {
                    evidence.loose.push(LooseEvidence {
                        earliest_decision,
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

    /// Calls under `deadline` that were handled in the window.
    fn by_deadline(
        &self,
        deadline: i64,
        from: i64,
        to: i64,
    ) -> impl Iterator<Item = &StrictEvidence<'a>> {
        self.strict.iter().filter(move |call| {
            call.deadline == deadline
                && call.earliest_decision >= from
                && call.earliest_decision < to
        })
    }
}

impl Observations {
    /// The deadline that a worker's timeout was derived from.
    fn deadline_of(&self, timeout: i64) -> Option<i64> {
        let timeout = timeout as f64;
        let matches_timeout = |settings: &&ObservedSettings| {
            let deadline = settings.deadline as f64;
            timeout <= deadline && timeout > deadline * (1.0 - self.timeout_margin)
        };
        self.settings_by_version
            .values()
            .find(matches_timeout)
            .map(|settings| settings.deadline)
    }
}

/// A proposed version, and the time from its proposal to the next one.
struct Proposal {
    version: u64,
    from: i64,
    to: i64,
}

/// Finds contradictions between the calls of different front ends. The fleet starts with version 1.
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
    let mut previous = 1;
    for ((version, from), to) in starts.zip(ends) {
        let old = observations.settings_by_version.get(&previous);
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
            previous = version;
        }
    }
    contradictions
}

impl Contradictions {
    /// Adds the time for which a front end still applied the old deadline after another had applied the new one.
    fn add_strict(
        &mut self,
        evidence: &Evidence<'_>,
        proposal: &Proposal,
        old: &ObservedSettings,
        new: &ObservedSettings,
    ) {
        let calls_under = |deadline| evidence.by_deadline(deadline, proposal.from, proposal.to);
        let Some(first_new) = calls_under(new.deadline).min_by_key(|call| call.sent_at) else {
            return;
        };
        let last_old = calls_under(old.deadline)
            .filter(|call| call.front != first_new.front)
            .max_by_key(|call| call.earliest_decision);
        let Some(last_old) = last_old.filter(|call| call.earliest_decision > first_new.sent_at)
        else {
            return;
        };
        self.longest_strict = self
            .longest_strict
            .max(last_old.earliest_decision - first_new.sent_at);
        self.descriptions.push(format!(
            "version {}: front end {} admitted {} under it at {:.3} s, front end {} admitted {} under the previous version at {:.3} s",
            proposal.version,
            first_new.front,
            first_new.id,
            first_new.sent_at as f64 / 1e6,
            last_old.front,
            last_old.id,
            last_old.earliest_decision as f64 / 1e6
        ));
    }

    /// Adds the time for which a front end still treated calls as safe after a version that makes them unsafe was in force.
    fn add_joint(&mut self, evidence: &Evidence<'_>, proposal: &Proposal, in_force: i64) {
        let late = evidence
            .loose
            .iter()
            .filter(|call| {
                call.earliest_decision > in_force && call.earliest_decision < proposal.to
            })
            .max_by_key(|call| call.earliest_decision);
        let Some(late) = late else {
            return;
        };
        self.longest_joint = self.longest_joint.max(late.earliest_decision - in_force);
        self.descriptions.push(format!(
            "version {} was in force at {:.3} s, front end {} admitted {} as safe at {:.3} s",
            proposal.version,
            in_force as f64 / 1e6,
            late.front,
            late.id,
            late.earliest_decision as f64 / 1e6
        ));
    }
}
