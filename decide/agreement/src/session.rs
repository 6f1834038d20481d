//! Stays: long leases for what must never be two things at once.
//!
//! A front end that loses its lease takes the stricter side of joint fields, which costs little. Strict fields have no
//! stricter side but to refuse every call that they touch, and some touch all: a seat that is away for a second would stop
//! the whole service. So a front end acts on strict fields by a stay instead, which is long, and which it gets from the
//! seat itself; and a change of a strict field waits for every front end on the roster. What a cut-off front end costs is
//! that such changes wait for it, until its stay is out, it starts anew under its name, or an operator dismisses it.
//!
//! The root knows with each stay which scopes its holder acts on ([`crate::subscription`]), so that the change of one waits for those
//! alone; whoever has not told is taken for a holder of all.
//!
//! Counted as leases are: by the holder from before it asked, by the seat from when it granted.

use crate::lease::{LeaseTiming, Member, Time};
use crate::log::Revision;
use crate::scope::scope_number;
use crate::subscription::{ResyncEpoch, SubscribeRequest, MAX_SUBSCRIPTIONS};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Asks that a holder remembers.
const ASKS: usize = 4;

/// A holder asks the seat for a stay, and tells the step that it acts on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionRequest {
    /// Who.
    pub from: Member,
    /// Its asks count up.
    pub seq: u64,
    /// It acts on this step from before it asked, never on an earlier one again.
    pub revision: Revision,
    /// It knows scopes, and acts on none that it does not hold. Programs from before there were any do not.
    pub supports_scopes: bool,
}

/// The seat's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionGrant {
    /// Who asked.
    pub to: Member,
    /// Which ask.
    pub seq: u64,
    /// Length, counted from before that ask.
    pub span: i64,
}

/// A holder's stay.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Session {
    terms: LeaseTiming,
    me: Member,
    seq: u64,
    asks: VecDeque<(u64, Time)>,
    until: Option<Time>,
}

impl Session {
    /// None yet. `terms.span`: the length of a stay.
    pub fn new(terms: LeaseTiming, me: Member) -> Session {
        Session {
            terms,
            me,
            seq: 0,
            asks: VecDeque::new(),
            until: None,
        }
    }

    /// An ask, to be sent at once.
    pub fn request(&mut self, now: Time, at: Revision) -> SessionRequest {
        self.seq += 1;
        self.asks.push_back((self.seq, now));
        if self.asks.len() > ASKS {
            self.asks.pop_front();
        }
        SessionRequest {
            from: self.me,
            seq: self.seq,
            revision: at,
            supports_scopes: true,
        }
    }

    /// Takes a grant.
    pub fn on_grant(&mut self, grant: SessionGrant) {
        let asked = self
            .asks
            .iter()
            .find(|(seq, _)| *seq == grant.seq)
            .map(|a| a.1);
        if let (Some(asked), true) = (asked, grant.to == self.me) {
            let until =
                asked.saturating_add(self.terms.holder_span(grant.span.min(self.terms.span)));
            self.until = Some(self.until.map_or(until, |u| u.max(until)));
        }
    }

    /// What is left of it.
    pub fn remaining(&self, now: Time) -> i64 {
        self.until.map_or(0, |u| u.saturating_sub(now).max(0))
    }
}

/// What one on the roster may hold of functions that are changed one by one.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Holds {
    /// It has not told: any.
    Unknown,
    /// Those of these numbers.
    Named(BTreeSet<u64>),
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct Guest {
    at: Revision,
    out: Time,
    /// It said that it knows scopes.
    aware: bool,
    holds: Holds,
    /// Since when what it holds is known.
    epoch: ResyncEpoch,
    /// The last letter of that epoch that was taken.
    last: u64,
}

impl Guest {
    fn new(at: Revision, out: Time, epoch: ResyncEpoch) -> Guest {
        Guest {
            at,
            out,
            aware: false,
            holds: Holds::Unknown,
            epoch,
            last: 0,
        }
    }
}

/// What became of a letter about scopes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubscribeOutcome {
    /// Its writer is not on the roster.
    Stranger,
    /// It has to tell first all that it holds, in this epoch.
    Untold(ResyncEpoch),
    /// A later one was taken, or it is out of bounds.
    Late,
    /// It is written down.
    Taken,
}

/// The seat's side: what is known of those on the roster.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SessionTable {
    terms: LeaseTiming,
    guests: BTreeMap<Member, Guest>,
    epoch: ResyncEpoch,
    /// Who holds what, by the scope's number and the holder's name.
    holders: BTreeSet<(u64, u64)>,
    /// Those of whom it is not known, by name.
    unknown: BTreeSet<u64>,
}

impl SessionTable {
    /// Of a seat that starts: whoever is on the roster may have got a stay a moment ago, is at no step that is known, and
    /// holds any scope.
    pub fn new(
        terms: LeaseTiming,
        roster: impl IntoIterator<Item = Member>,
        now: Time,
    ) -> SessionTable {
        SessionTable::begin(terms, roster, now, ResyncEpoch::default().next())
    }

    /// The same with the epoch that it begins; it has to be later than any that a register of this fleet had.
    pub fn begin(
        terms: LeaseTiming,
        roster: impl IntoIterator<Item = Member>,
        now: Time,
        epoch: ResyncEpoch,
    ) -> SessionTable {
        let out = now.saturating_add(terms.granter_span(terms.span));
        let guests: BTreeMap<Member, Guest> = roster
            .into_iter()
            .map(|m| (m, Guest::new(Revision(0), out, epoch)))
            .collect();
        let unknown = guests.keys().map(|m| m.id).collect();
        SessionTable {
            terms,
            guests,
            epoch,
            holders: BTreeSet::new(),
            unknown,
        }
    }

    /// The last epoch that it began.
    pub fn epoch(&self) -> ResyncEpoch {
        self.epoch
    }

    /// Grants a stay to one that the log's roster lists. The fleet has waited for it since it joined, so that it may go on
    /// from whatever step it tells.
    pub fn grant(&mut self, now: Time, ask: SessionRequest) -> Option<SessionGrant> {
        let out = now.saturating_add(self.terms.granter_span(self.terms.span));
        let guest = self.guests.get_mut(&ask.from)?;
        guest.at = guest.at.max(ask.revision);
        guest.out = guest.out.max(out);
        guest.aware |= ask.supports_scopes;
        Some(SessionGrant {
            to: ask.from,
            seq: ask.seq,
            span: self.terms.span,
        })
    }

    /// Whether it may hold a stay.
    pub fn contains(&self, member: Member) -> bool {
        self.guests.contains_key(&member)
    }

    /// It is on the roster no more: that it left is held, or that a later process of its name joined.
    pub fn remove(&mut self, member: Member) {
        let Some(guest) = self.guests.remove(&member) else {
            return;
        };
        self.unknown.remove(&member.id);
        if let Holds::Named(all) = guest.holds {
            for n in all {
                self.holders.remove(&(n, member.id));
            }
        }
    }

    /// That it joined, at this step, is held. Those of its name before it are over.
    pub fn on_join(&mut self, now: Time, member: Member, at: Revision) {
        let before: Vec<Member> = self
            .guests
            .keys()
            .filter(|m| m.id == member.id)
            .copied()
            .collect();
        before.into_iter().for_each(|m| self.remove(m));
        let out = now.saturating_add(self.terms.granter_span(self.terms.span));
        self.epoch = self.epoch.next();
        self.guests.insert(member, Guest::new(at, out, self.epoch));
        self.unknown.insert(member.id);
    }

    /// Whether nobody who may hold a stay is behind this step. One whose stay is out counts until that it left is held:
    /// a seat that starts again would not know else that it had gone on without it.
    pub fn all_at_least(&self, step: Revision) -> bool {
        self.behind(step).next().is_none()
    }

    /// Who may hold a stay and is not known to be as far as this step.
    pub fn behind(&self, step: Revision) -> impl Iterator<Item = Member> + '_ {
        self.guests
            .iter()
            .filter(move |(_, g)| g.at < step)
            .map(|(m, _)| *m)
    }

    /// Those whose stay is out: they are to leave the roster.
    pub fn expired(&self, now: Time) -> impl Iterator<Item = Member> + '_ {
        self.guests
            .iter()
            .filter(move |(_, g)| g.out <= now)
            .map(|(m, _)| *m)
    }

    /// One that has not said that it knows scopes.
    pub fn without_scope_support(&self) -> Option<Member> {
        self.guests.iter().find(|(_, g)| !g.aware).map(|(m, _)| *m)
    }

    /// The epoch in which it has to tell all that it holds, if it has not.
    pub fn awaiting_resync(&self, member: Member) -> Option<ResyncEpoch> {
        self.guests
            .get(&member)
            .filter(|g| g.holds == Holds::Unknown)
            .map(|g| g.epoch)
    }

    /// Takes what a front end tells of the scopes that it holds. Only after [`SubscribeOutcome::Taken`] it may be answered with them.
    pub fn on_subscribe(&mut self, want: &SubscribeRequest) -> SubscribeOutcome {
        let Some(guest) = self.guests.get_mut(&want.from) else {
            return SubscribeOutcome::Stranger;
        };
        // Whatever became of the rest, this is true of it.
        guest.at = guest.at.max(want.revision);
        if want.epoch != guest.epoch {
            return SubscribeOutcome::Untold(guest.epoch);
        }
        if want.seq <= guest.last {
            return SubscribeOutcome::Late;
        }
        let id = want.from.id;
        match (&mut guest.holds, &want.full_list) {
            (Holds::Unknown, None) => return SubscribeOutcome::Untold(guest.epoch),
            (holds, Some(all)) => {
                if let Holds::Named(before) = holds {
                    for n in before.iter() {
                        self.holders.remove(&(*n, id));
                    }
                }
                *holds = Holds::Named(all.iter().copied().collect());
                self.holders.extend(all.iter().map(|n| (*n, id)));
                self.unknown.remove(&id);
            }
            (Holds::Named(_), None) => {}
        }
        guest.last = want.seq;
        if let Holds::Named(named) = &mut guest.holds {
            for n in &want.unsubscribed {
                named.remove(n);
                self.holders.remove(&(*n, id));
            }
            if named.len() + want.scopes.len() > 2 * MAX_SUBSCRIPTIONS {
                return SubscribeOutcome::Late;
            }
            for n in want.scopes.iter().map(|s| scope_number(s)) {
                named.insert(n);
                self.holders.insert((n, id));
            }
        }
        SubscribeOutcome::Taken
    }

    /// Who may act on a scope of this number and is not known to be as far as this step. Whoever has not told what it holds
    /// counts, whatever step it is at: it may not know yet that there are scopes.
    pub fn subscribers_behind(
        &self,
        scope: u64,
        step: Revision,
    ) -> impl Iterator<Item = Member> + '_ {
        let guest = |id| {
            let all = Member { id, incarnation: 0 }..=Member {
                id,
                incarnation: u64::MAX,
            };
            self.guests.range(all).next()
        };
        let named = self
            .holders
            .range((scope, 0)..=(scope, u64::MAX))
            .filter_map(move |(_, id)| guest(*id));
        let unknown = self.unknown.iter().filter_map(move |id| guest(*id));
        unknown
            .chain(named.filter(move |(_, g)| g.at < step))
            .map(|(m, _)| *m)
    }

    /// How many holdings are written down.
    pub fn subscription_count(&self) -> usize {
        self.holders.len()
    }
}
