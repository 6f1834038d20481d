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
pub struct Endpoint {
    /// Its name.
    pub name: String,
    /// Where it listens, as the list writes it.
    pub address: String,
}

/// What is said of a process of a worker, from the least to the last word.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum EndpointState {
    /// Takes work.
    Ready,
    /// Finishes what it has.
    Draining,
    /// Removed.
    Gone,
}

/// One line of a list.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointRecord {
    /// Whose.
    pub endpoint: Endpoint,
    /// Which of its processes; a later one is larger.
    pub incarnation: u64,
    /// What is said.
    pub state: EndpointState,
}

/// Workers of which leaving is remembered at most; more than any installation has.
pub const MAX_DRAINS: usize = 20_000;
/// For so long what was told is kept after it was last told: longer than any list may lag.
pub const DRAIN_RETENTION: Time = 24 * 3_600_000_000;

#[derive(Clone, Debug, PartialEq, Eq)]
struct Word {
    incarnation: u64,
    standing: EndpointState,
    heard: Time,
}

/// What was told of workers that leave.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DrainTable {
    words: BTreeMap<Endpoint, Word>,
}

impl DrainTable {
    /// Takes lines that somebody told. Those that tell anything new are returned, to be told on.
    pub fn merge(
        &mut self,
        now: Time,
        lines: impl IntoIterator<Item = EndpointRecord>,
    ) -> Vec<EndpointRecord> {
        let mut new = Vec::new();
        for line in lines {
            if line.state == EndpointState::Ready {
                continue;
            }
            let word = Word {
                incarnation: line.incarnation,
                standing: line.state,
                heard: now,
            };
            let full = self.words.len() >= MAX_DRAINS;
            match self.words.get_mut(&line.endpoint) {
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
                None => drop(self.words.insert(line.endpoint.clone(), word)),
            }
            new.push(line);
        }
        new
    }

    /// What a process of a worker is to be taken for, where a list says this of it.
    pub fn state_of(
        &self,
        worker: &Endpoint,
        incarnation: u64,
        listed: EndpointState,
    ) -> EndpointState {
        match self.words.get(worker) {
            // The one process ended before the other began.
            Some(w) if w.incarnation > incarnation => EndpointState::Gone,
            Some(w) if w.incarnation == incarnation => w.standing.max(listed),
            _ => listed,
        }
    }

    /// All that is remembered.
    pub fn records(&self) -> impl Iterator<Item = EndpointRecord> + '_ {
        self.words.iter().map(|(worker, w)| EndpointRecord {
            endpoint: worker.clone(),
            incarnation: w.incarnation,
            state: w.standing,
        })
    }

    /// Forgets what nobody has told for [`DRAIN_RETENTION`].
    pub fn expire(&mut self, now: Time) {
        self.words
            .retain(|_, w| now.saturating_sub(w.heard) < DRAIN_RETENTION);
    }
}
