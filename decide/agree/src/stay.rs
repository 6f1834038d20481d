//! Stays: long leases for what must never be two things at once.
//!
//! A front end that loses its lease takes the stricter side of joint fields, which costs little. Strict fields have no
//! stricter side but to refuse every call that they touch, and some touch all: a seat that is away for a second would stop
//! the whole service. So a front end acts on strict fields by a stay instead, which is long, and which it gets from the
//! seat itself; and a change of a strict field waits for every front end on the roster. What a cut-off front end costs is
//! that such changes wait for it, until its stay is out, it starts anew under its name, or an operator dismisses it.
//!
//! Counted as leases are: by the holder from before it asked, by the seat from when it granted.

use crate::lease::{Member, Terms, Time};
use crate::log::Step;
use std::collections::{BTreeMap, VecDeque};

/// Asks that a holder remembers.
const ASKS: usize = 4;

/// A holder asks the seat for a stay, and tells the step that it acts on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ask {
    /// Who.
    pub from: Member,
    /// Its asks count up.
    pub seq: u64,
    /// It acts on this step from before it asked, never on an earlier one again.
    pub at: Step,
}

/// The seat's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Grant {
    /// Who asked.
    pub to: Member,
    /// Which ask.
    pub seq: u64,
    /// Length, counted from before that ask.
    pub span: i64,
}

/// A holder's stay.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stay {
    terms: Terms,
    me: Member,
    seq: u64,
    asks: VecDeque<(u64, Time)>,
    until: Option<Time>,
}

impl Stay {
    /// None yet. `terms.span`: the length of a stay.
    pub fn new(terms: Terms, me: Member) -> Stay {
        Stay { terms, me, seq: 0, asks: VecDeque::new(), until: None }
    }

    /// An ask, to be sent at once.
    pub fn ask(&mut self, now: Time, at: Step) -> Ask {
        self.seq += 1;
        self.asks.push_back((self.seq, now));
        if self.asks.len() > ASKS {
            self.asks.pop_front();
        }
        Ask { from: self.me, seq: self.seq, at }
    }

    /// Takes a grant.
    pub fn granted(&mut self, grant: Grant) {
        let asked = self.asks.iter().find(|(seq, _)| *seq == grant.seq).map(|a| a.1);
        if let (Some(asked), true) = (asked, grant.to == self.me) {
            let until = asked.saturating_add(self.terms.held(grant.span.min(self.terms.span)));
            self.until = Some(self.until.map_or(until, |u| u.max(until)));
        }
    }

    /// What is left of it.
    pub fn left(&self, now: Time) -> i64 {
        self.until.map_or(0, |u| u.saturating_sub(now).max(0))
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Guest {
    at: Step,
    out: Time,
}

/// The seat's side: what is known of those on the roster.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Register {
    terms: Terms,
    guests: BTreeMap<Member, Guest>,
}

impl Register {
    /// Of a seat that starts: whoever is on the roster may have got a stay a moment ago, and is at no step that is known.
    pub fn new(terms: Terms, roster: impl IntoIterator<Item = Member>, now: Time) -> Register {
        let out = now.saturating_add(terms.out(terms.span));
        Register { terms, guests: roster.into_iter().map(|m| (m, Guest { at: Step(0), out })).collect() }
    }

    /// Grants a stay to one that the log's roster lists. The fleet has waited for it since it joined, so that it may go on
    /// from whatever step it tells.
    pub fn grant(&mut self, now: Time, ask: Ask) -> Option<Grant> {
        let out = now.saturating_add(self.terms.out(self.terms.span));
        let guest = self.guests.get_mut(&ask.from)?;
        guest.at = guest.at.max(ask.at);
        guest.out = guest.out.max(out);
        Some(Grant { to: ask.from, seq: ask.seq, span: self.terms.span })
    }

    /// Whether it may hold a stay.
    pub fn hosts(&self, member: Member) -> bool {
        self.guests.contains_key(&member)
    }

    /// It is on the roster no more: that it left is held, or that a later process of its name joined.
    pub fn dismiss(&mut self, member: Member) {
        self.guests.remove(&member);
    }

    /// That it joined, at this step, is held. Those of its name before it are over.
    pub fn joined(&mut self, now: Time, member: Member, at: Step) {
        self.guests.retain(|m, _| m.id != member.id);
        let out = now.saturating_add(self.terms.out(self.terms.span));
        self.guests.insert(member, Guest { at, out });
    }

    /// Whether nobody who may hold a stay is behind this step. One whose stay is out counts until that it left is held:
    /// a seat that starts again would not know else that it had gone on without it.
    pub fn reached(&self, step: Step) -> bool {
        self.behind(step).next().is_none()
    }

    /// Who may hold a stay and is not known to be as far as this step.
    pub fn behind(&self, step: Step) -> impl Iterator<Item = Member> + '_ {
        self.guests.iter().filter(move |(_, g)| g.at < step).map(|(m, _)| *m)
    }

    /// Those whose stay is out: they are to leave the roster.
    pub fn out(&self, now: Time) -> impl Iterator<Item = Member> + '_ {
        self.guests.iter().filter(move |(_, g)| g.out <= now).map(|(m, _)| *m)
    }
}
