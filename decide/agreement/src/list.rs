//! Workers that leave, as the whole fleet was told: drains first, whoever heard of one.
//!
//! Front ends hear of workers by lists of their own, which disagree and lag. Arrivals may lag; that a worker drains or is
//! gone is told on by whoever hears it, and never taken back for that process of it:
//!
//! - A worker is a name at an address. A process of it is an incarnation: a later one supersedes all that was said of those
//!   before; of the same one only the last word counts, from ready over draining to gone. So a drain told once holds for
//!   that process, and no older list makes it ready again; a worker that is to serve again is listed with a later one.
//! - What is told joins in any order, any number of times, to the same.
//! - What is gone is kept for a stated time, so that a late list can't bring it back.

use crate::lease::Time;
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
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Line {
    /// Whose.
    pub worker: Worker,
    /// Which of its processes; a later one is larger.
    pub incarnation: u64,
    /// What is said.
    pub standing: Standing,
}

/// Workers of which leaving is remembered at most; more than any installation has.
pub const LEAVING: usize = 20_000;
/// For so long what was told is kept after it was last told: longer than any list may lag.
pub const KEPT_FOR: Time = 24 * 3_600_000_000;

#[derive(Clone, Debug, PartialEq, Eq)]
struct Word {
    incarnation: u64,
    standing: Standing,
    heard: Time,
}

/// What was told of workers that leave.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Leaving {
    words: BTreeMap<Worker, Word>,
}

impl Leaving {
    /// Takes lines that somebody told. Those that tell anything new are returned, to be told on.
    pub fn hear(&mut self, now: Time, lines: impl IntoIterator<Item = Line>) -> Vec<Line> {
        let mut new = Vec::new();
        for line in lines {
            if line.standing == Standing::Ready {
                continue;
            }
            let word = Word {
                incarnation: line.incarnation,
                standing: line.standing,
                heard: now,
            };
            let full = self.words.len() >= LEAVING;
            match self.words.get_mut(&line.worker) {
                Some(k) if (k.incarnation, k.standing) < (word.incarnation, word.standing) => {
                    *k = word
                }
                Some(k) => {
                    // Told again it is remembered anew, and that is no news.
                    if (k.incarnation, k.standing) == (word.incarnation, word.standing) {
                        k.heard = k.heard.max(now);
                    }
                    continue;
                }
                None if full => continue,
                None => drop(self.words.insert(line.worker.clone(), word)),
            }
            new.push(line);
        }
        new
    }

    /// What a process of a worker is to be taken for, where a list says this of it.
    pub fn standing(&self, worker: &Worker, incarnation: u64, listed: Standing) -> Standing {
        match self.words.get(worker) {
            // The one process ended before the other began.
            Some(w) if w.incarnation > incarnation => Standing::Gone,
            Some(w) if w.incarnation == incarnation => w.standing.max(listed),
            _ => listed,
        }
    }

    /// All that is remembered.
    pub fn lines(&self) -> impl Iterator<Item = Line> + '_ {
        self.words.iter().map(|(worker, w)| Line {
            worker: worker.clone(),
            incarnation: w.incarnation,
            standing: w.standing,
        })
    }

    /// Forgets what nobody has told for [`KEPT_FOR`].
    pub fn forget(&mut self, now: Time) {
        self.words
            .retain(|_, w| now.saturating_sub(w.heard) < KEPT_FOR);
    }
}
