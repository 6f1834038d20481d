//! Whether two front ends acted on rules that contradict each other, from what passed on the sockets.
//!
//! Two functions bear witness. Of one, versions name one of two classes in turn (a strict field), whose deadlines differ:
//! the time that a worker is given with a call's first attempt shows by which class the front end took the call. Of the
//! other, the class's effect is safe and unsafe in turn (a joint field), and workers lose every answer: a second attempt
//! after one that may have run shows that the front end took the call as safe.
//!
//! A front end decides on a call between its arrival and its first attempt. Of the old rule the arrival is taken, of the
//! new one the attempt, so that what is found is the least time for which both were acted on. While a process is stopped it
//! decides nothing: what arrived then was decided after it woke.

use crate::judge::{End, History};
use crate::record::{Entry, Mark, What};
use std::collections::BTreeMap;

/// What a version says of the two witnesses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Says {
    /// Microseconds of the deadline of the first witness's class.
    pub deadline: i64,
    /// Calls of the second may be repeated.
    pub safe: bool,
}

/// The witnesses, and what versions say of them.
#[derive(Clone, Debug)]
pub struct Witnesses {
    /// The function whose class changes.
    pub flip: String,
    /// The function whose answers are lost.
    pub lost: String,
    /// By version.
    pub says: BTreeMap<u64, Says>,
    /// A deadline as a worker is told of it is less than the class's by at most this part.
    pub reserve: f64,
}

/// What was found.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Found {
    /// Calls of the witnesses that showed a rule.
    pub shown: usize,
    /// Longest time for which two front ends acted on a strict field's two values, microseconds; 0: never.
    pub strict: i64,
    /// Longest time after a stricter value was in force at which a front end took a call by the looser one; 0: never.
    pub joint: i64,
    /// In words, where either is above zero.
    pub told: Vec<String>,
}

struct Marks {
    proposed: Vec<(u64, i64)>,
    in_force: BTreeMap<u64, i64>,
    stops: Vec<(usize, i64, i64)>,
}

fn marks(entries: &[Entry]) -> Marks {
    let mut m = Marks {
        proposed: Vec::new(),
        in_force: BTreeMap::new(),
        stops: Vec::new(),
    };
    let mut stopped: BTreeMap<usize, i64> = BTreeMap::new();
    for e in entries {
        match &e.what {
            What::Mark(Mark::Proposed { version }) => m.proposed.push((*version, e.at)),
            What::Mark(Mark::InForce { version }) => drop(m.in_force.insert(*version, e.at)),
            What::Mark(Mark::Stopped { front }) => drop(stopped.insert(*front, e.at)),
            What::Mark(Mark::Woken { front } | Mark::Killed { front }) => {
                m.stops
                    .extend(stopped.remove(front).map(|from| (*front, from, e.at)));
            }
            _ => {}
        }
    }
    m
}

/// Judges the witnesses' calls. The fleet begins with version 1.
pub fn versions(entries: &[Entry], calls: &[History], witnesses: &Witnesses) -> Found {
    let m = marks(entries);
    let decided_from = |c: &History| {
        let stop = m
            .stops
            .iter()
            .find(|(f, from, to)| *f == c.front && *from <= c.at && c.at < *to);
        stop.map_or(c.at, |s| s.2)
    };
    let mut found = Found::default();
    // When each rule was shown, by whom: from the arrival on, at the attempt at the latest.
    let mut strict: Vec<(i64, i64, usize, i64, &str)> = Vec::new();
    let mut loose: Vec<(i64, usize, &str)> = Vec::new();
    for c in calls {
        let Some((sent, told, _)) = c.attempts.first().copied() else {
            continue;
        };
        if c.function == witnesses.flip {
            let fits = |s: &&Says| {
                let told = told.unwrap_or(0) as f64;
                told <= s.deadline as f64 && told > s.deadline as f64 * (1.0 - witnesses.reserve)
            };
            if let Some(s) = witnesses.says.values().find(fits) {
                strict.push((decided_from(c), sent, c.front, s.deadline, &c.id));
            }
        } else if c.function == witnesses.lost {
            let ran = c.attempts.iter().filter(|a| !a.2).count();
            if ran > 1 {
                loose.push((decided_from(c), c.front, &c.id));
            }
            found.shown += usize::from(ran > 1 || c.end == End::Failed);
        }
    }
    found.shown += strict.len();
    let ends = m.proposed.iter().skip(1).map(|p| p.1).chain([i64::MAX]);
    let mut before = 1;
    for ((version, from), to) in m.proposed.iter().zip(ends) {
        let (Some(old), Some(new)) = (witnesses.says.get(&before), witnesses.says.get(version))
        else {
            continue;
        };
        let of = |rule: i64| {
            strict
                .iter()
                .filter(move |s| s.3 == rule && s.0 >= *from && s.0 < to)
        };
        let first_new = of(new.deadline).min_by_key(|s| s.1);
        if let (Some(new_by), false) = (first_new, old.deadline == new.deadline) {
            let last_old = of(old.deadline)
                .filter(|s| s.2 != new_by.2)
                .max_by_key(|s| s.0);
            if let Some(old_by) = last_old.filter(|o| o.0 > new_by.1) {
                found.strict = found.strict.max(old_by.0 - new_by.1);
                found.told.push(format!(
                    "version {version}: front end {} took {} by it at {:.3} s, front end {} took {} by the one before at {:.3} s",
                    new_by.2, new_by.4, new_by.1 as f64 / 1e6, old_by.2, old_by.4, old_by.0 as f64 / 1e6
                ));
            }
        }
        if let (Some(force), false) = (m.in_force.get(version), new.safe) {
            let late = loose
                .iter()
                .filter(|l| l.0 > *force && l.0 < to)
                .max_by_key(|l| l.0);
            if let Some((at, front, id)) = late {
                found.joint = found.joint.max(at - force);
                found.told.push(format!(
                    "version {version} is in force at {:.3} s: front end {front} took {id} as safe at {:.3} s",
                    *force as f64 / 1e6,
                    *at as f64 / 1e6
                ));
            }
        }
        if m.in_force.contains_key(version) {
            before = *version;
        }
    }
    found
}
