//! Lists of workers over a fleet: drains first, whoever told them.
//!
//! Sources disagree and lag. What a front end acts on is merged from all lists that it or a sibling heard, by rules under
//! which the order and the number of times that something is heard change nothing:
//!
//! - A worker is a name at an address. A process of it is an incarnation: a later one supersedes all that was said of those
//!   before, the same one only ever goes from ready to draining to gone. So a drain told once holds for that process, and
//!   no older list makes it ready again; a worker that is to serve again starts again.
//! - Arrivals come by a list that is no older than the last one heard of its source. Drains and goings count from older
//!   lists as well.
//! - A full list that leaves out a worker tells that it is gone, where the same source had named it. What another source
//!   names stays.
//!
//! What is gone is kept, so that it can't come back by a late list, until [`Roll::forget`] is told that every front end
//! that may act has the list by which it left, and every source is past it.

use crate::log::Step;
use std::collections::BTreeMap;

/// A worker: a name at an address.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Worker {
    /// Its name.
    pub name: String,
    /// Where it listens, as the list writes it.
    pub address: String,
}

/// What is said of a process of a worker, from the least to the last word.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Standing {
    /// Takes work.
    Ready,
    /// Finishes what it has.
    Draining,
    /// Removed.
    Gone,
}

/// One line of a list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Line {
    /// Whose.
    pub worker: Worker,
    /// Which of its processes; a later one is larger.
    pub incarnation: u64,
    /// What is said.
    pub standing: Standing,
}

/// A list as a source told it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct List {
    /// Which source.
    pub source: u64,
    /// The source's own number of it.
    pub version: u64,
    /// Whether workers that it leaves out are not there.
    pub full: bool,
    /// Its lines.
    pub lines: Vec<Line>,
}

/// What is known of one worker: the last word of its last process that was heard of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Known {
    /// Which process.
    pub incarnation: u64,
    /// The last word.
    pub standing: Standing,
    /// The sources that named this process, with the version of the last list that did.
    named: BTreeMap<u64, u64>,
    /// The fleet's step at which it was found gone, as far as it was told here.
    gone: Option<Step>,
}

/// The merged list.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Roll {
    workers: BTreeMap<Worker, Known>,
    /// The last version heard of each source.
    sources: BTreeMap<u64, u64>,
}

impl Roll {
    /// Workers with what is known of them, those gone among them.
    pub fn workers(&self) -> impl Iterator<Item = (&Worker, &Known)> {
        self.workers.iter()
    }

    /// The last version heard of a source.
    pub fn version(&self, source: u64) -> u64 {
        self.sources.get(&source).copied().unwrap_or(0)
    }

    /// Takes a list. True: something changed.
    pub fn take(&mut self, list: &List) -> bool {
        let last = self.version(list.source);
        let current = list.version >= last;
        let mut changed = false;
        for line in &list.lines {
            let known = self.workers.get(&line.worker);
            let supersedes = known.is_none_or(|k| line.incarnation > k.incarnation);
            // Of a process that was not heard of, an older list is no witness: it may be long gone.
            if supersedes && !current {
                continue;
            }
            let known = Known {
                incarnation: line.incarnation,
                standing: line.standing,
                named: BTreeMap::from([(list.source, list.version)]),
                gone: None,
            };
            changed |= self.join(line.worker.clone(), known);
        }
        if list.full && current {
            let named: std::collections::BTreeSet<&Worker> = list.lines.iter().map(|l| &l.worker).collect();
            for (worker, known) in &mut self.workers {
                // Another source that named it, later than this one had, keeps it.
                let alone = known.named.len() == 1 && known.named.contains_key(&list.source);
                if !named.contains(worker) && alone && known.standing != Standing::Gone {
                    known.standing = Standing::Gone;
                    changed = true;
                } else if !named.contains(worker) && known.named.len() > 1 {
                    changed |= known.named.remove(&list.source).is_some();
                }
            }
        }
        if current {
            changed |= self.sources.insert(list.source, list.version) != Some(list.version);
        }
        changed
    }

    /// Joins what a sibling knows. True: something changed. One that was without a lease meanwhile may bring back what was
    /// forgotten: it takes over a sibling's roll and hears its sources anew, instead of merging its own.
    pub fn merge(&mut self, other: &Roll) -> bool {
        let mut changed = false;
        for (worker, known) in &other.workers {
            changed |= self.join(worker.clone(), known.clone());
        }
        for (source, version) in &other.sources {
            let own = self.sources.entry(*source).or_insert(0);
            changed |= version > own;
            *own = (*own).max(*version);
        }
        changed
    }

    fn join(&mut self, worker: Worker, new: Known) -> bool {
        let Some(old) = self.workers.get_mut(&worker) else {
            self.workers.insert(worker, new);
            return true;
        };
        if new.incarnation != old.incarnation {
            let later = new.incarnation > old.incarnation;
            if later {
                *old = new;
            }
            return later;
        }
        let before = old.clone();
        old.standing = old.standing.max(new.standing);
        for (source, version) in new.named {
            let own = old.named.entry(source).or_insert(version);
            *own = (*own).max(version);
        }
        old.gone = old.gone.max(new.gone);
        *old != before
    }

    /// Marks what is gone with the fleet's step of this moment, once it is told to others.
    pub fn mark(&mut self, step: Step) {
        let gone = self.workers.values_mut().filter(|k| k.standing == Standing::Gone && k.gone.is_none());
        gone.for_each(|k| k.gone = Some(step));
    }

    /// Forgets what was gone at a step before this one, which every front end that may act has reached, and of which all
    /// sources that named it have told a later list. Returns how many.
    pub fn forget(&mut self, reached: Step) -> usize {
        let (before, sources) = (self.workers.len(), &self.sources);
        let past = |k: &Known| k.named.iter().all(|(s, v)| sources.get(s).is_some_and(|last| last > v));
        self.workers.retain(|_, k| !(k.gone.is_some_and(|g| g < reached) && past(k)));
        before - self.workers.len()
    }
}
