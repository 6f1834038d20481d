//! Leases: who may act on which step, until when by its own clock.
//!
//! A holder counts from **before it asked**, a granter from when it granted, each on its own monotonic clock, each with the
//! stated bound on how far clock rates differ on its own side. So a lease ends at its holder before its granter takes it
//! to be out, whatever the network does to the messages, and however long either was paused.
//!
//! Leases nest: who relays grants no longer than what is left of its own, so that its granter's waiting covers all below.

use crate::revision::Revision;
use std::collections::{BTreeMap, VecDeque};

pub use crate::member::{Member, Time};

const MILLION: i64 = 1_000_000;

/// What leases rest on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseTiming {
    /// A lease's length, microseconds.
    pub span: i64,
    /// Bound on the error of any clock's rate, parts in a million.
    pub drift_ppm: i64,
}

impl LeaseTiming {
    /// How long a holder counts a lease of this length: under it by any clock within the bound.
    pub fn holder_span(&self, span: i64) -> i64 {
        span.max(0) - scaled(span, self.drift_ppm)
    }
    /// After how long a granter takes it to be out.
    pub fn granter_span(&self, span: i64) -> i64 {
        span.max(0).saturating_add(scaled(span, self.drift_ppm))
    }
    /// What may be lent on of a lease that ends in so long by one's own clock.
    pub fn sublease_span(&self, left: i64) -> i64 {
        (left - scaled(left, 2 * self.drift_ppm)).clamp(0, self.span)
    }
}

/// So many parts of a million, rounded up.
fn scaled(span: i64, ppm: i64) -> i64 {
    let parts = i128::from(span.max(0)) * i128::from(ppm.clamp(0, MILLION));
    i64::try_from((parts + i128::from(MILLION) - 1) / i128::from(MILLION)).unwrap_or(i64::MAX)
}

/// What a lease is for: something that has a step. Where it remembers how it came there from a step of a little while ago,
/// whoever has that is told this alone.
pub trait Versioned: Clone {
    /// How a later step follows from one before it.
    type Delta: Clone + std::fmt::Debug + PartialEq + Eq;
    /// Its step.
    fn revision(&self) -> Revision;
    /// The last step that can't be told as a delta.
    fn snapshot_revision(&self) -> Revision {
        self.revision()
    }
    /// It without what deltas are made of.
    fn without_history(&self) -> Self {
        self.clone()
    }
    /// What one that has this step is told, beside what changed up to [`Versioned::snapshot_revision`]; none: too much was forgotten.
    fn delta_since(&self, _has: Revision) -> Option<Self::Delta> {
        None
    }
    /// Takes such a delta up. False: it does not follow on this, and nothing is done.
    fn apply_delta(&mut self, _delta: &Self::Delta) -> bool {
        false
    }
    /// The whole that takes this one's place; what was remembered before is kept with it, where `delta` follows on it.
    fn replace_with_snapshot(&mut self, whole: Self, _delta: Option<&Self::Delta>) {
        *self = whole;
    }
}

impl Versioned for Revision {
    type Delta = ();
    fn revision(&self) -> Revision {
        *self
    }
}

/// A holder asks for a lease, and tells thereby how far it and all below it are.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeaseRequest {
    /// Who asks.
    pub from: Member,
    /// Its asks count up.
    pub seq: u64,
    /// No live lease below it, nor its own, is for a step before this one.
    pub acknowledged: Revision,
    /// The step that it has itself.
    pub known: Revision,
    /// It reads deltas. Programs from before there were any do not.
    pub accepts_deltas: bool,
}

/// A granter answers one ask. `D`: how one step follows from another, [`Versioned::Delta`] of `S`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeaseGrant<S, D = ()> {
    /// Who asked.
    pub to: Member,
    /// Which ask.
    pub seq: u64,
    /// Length, counted by the holder from before that ask.
    pub span: i64,
    /// The step that it is for.
    pub revision: Revision,
    /// What is to be acted on, unless the ask said that it is there, or the delta says all of it.
    pub state: Option<S>,
    /// What leads there from the step that the ask said.
    pub delta: Option<D>,
}

/// The part of a lease's length by which a granter's own has to grow before it answers an ask once more.
const WORTH: i64 = 32;
/// Asks that a holder remembers; a grant to an older one is of no use any more.
const ASKS: usize = 8;

/// One that acts under a lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseHolder<S> {
    terms: LeaseTiming,
    me: Member,
    seq: u64,
    asks: VecDeque<Asked>,
    state: Option<S>,
    until: Option<Time>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Asked {
    seq: u64,
    at: Time,
    answered: bool,
}

impl<S: Versioned> LeaseHolder<S> {
    /// One that knows nothing and holds no lease.
    pub fn new(terms: LeaseTiming, me: Member) -> LeaseHolder<S> {
        LeaseHolder {
            terms,
            me,
            seq: 0,
            asks: VecDeque::new(),
            state: None,
            until: None,
        }
    }

    /// The same, knowing this from before; it holds no lease for it.
    pub fn with_state(terms: LeaseTiming, me: Member, state: S) -> LeaseHolder<S> {
        LeaseHolder {
            state: Some(state),
            ..LeaseHolder::new(terms, me)
        }
    }

    /// What it knows last, acted on or not.
    pub fn known_state(&self) -> Option<&S> {
        self.state.as_ref()
    }

    /// What it acts on at this time; none: it holds no live lease.
    pub fn active_state(&self, now: Time) -> Option<&S> {
        self.state.as_ref().filter(|_| self.remaining(now) > 0)
    }

    /// What is left of its lease.
    pub fn remaining(&self, now: Time) -> i64 {
        self.until.map_or(0, |u| u.saturating_sub(now).max(0))
    }

    /// The step that it has; the zeroth before any.
    pub fn revision(&self) -> Revision {
        self.state.as_ref().map_or(Revision(0), Versioned::revision)
    }

    /// An ask, to be sent at once. `below`: the least step of a live lease that it granted itself, if any.
    pub fn request(&mut self, now: Time, below: Option<Revision>) -> LeaseRequest {
        self.seq += 1;
        self.asks.push_back(Asked {
            seq: self.seq,
            at: now,
            answered: false,
        });
        if self.asks.len() > ASKS {
            self.asks.pop_front();
        }
        let has = self.revision();
        LeaseRequest {
            from: self.me,
            seq: self.seq,
            acknowledged: below.map_or(has, |b| b.min(has)),
            known: has,
            accepts_deltas: true,
        }
    }

    /// When the ask of this number was sent, if it is remembered, and whether it was answered.
    pub fn sent_request(&self, seq: u64) -> Option<(Time, bool)> {
        self.asks
            .iter()
            .find(|a| a.seq == seq)
            .map(|a| (a.at, a.answered))
    }

    /// Takes a grant. True: it now acts on, or knows of, a later step than before.
    pub fn on_grant(&mut self, grant: LeaseGrant<S, S::Delta>) -> bool {
        let asked = self.asks.iter_mut().find(|a| a.seq == grant.seq);
        let (Some(asked), true) = (asked, grant.to == self.me) else {
            return false;
        };
        asked.answered = true;
        let asked = asked.at;
        let later = grant.revision > self.revision();
        let delta = grant.delta.as_ref();
        match grant.state.filter(|s| s.revision() == grant.revision) {
            Some(whole) if later => match &mut self.state {
                Some(state) => state.replace_with_snapshot(whole, delta),
                None => self.state = Some(whole),
            },
            // A lease for a step that it doesn't have would be one for what it can't act on.
            None if later => {
                let followed = match (&mut self.state, delta) {
                    (Some(state), Some(delta)) => {
                        state.apply_delta(delta) && state.revision() >= grant.revision
                    }
                    _ => false,
                };
                if !followed {
                    return false;
                }
            }
            _ => {}
        }
        let until = asked.saturating_add(self.terms.holder_span(grant.span.min(self.terms.span)));
        self.until = Some(self.until.map_or(until, |u| u.max(until)));
        later
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Child {
    /// No live lease of it is for a step before this one.
    at: Revision,
    /// When its leases are all out, whatever it got of them.
    out: Time,
    /// Its last ask, and the step that it had then.
    asked: (u64, Revision),
    /// When that was answered first, and what it was granted for it.
    since: Time,
    span: i64,
}

/// One that grants leases.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseGranter {
    terms: LeaseTiming,
    children: BTreeMap<Member, Child>,
    /// Until then leases may live that someone granted before, under the same right, and that it knows nothing of.
    quiet: Option<Time>,
    most: usize,
}

impl LeaseGranter {
    /// One that grants to so many at a time. `before`: leases may live that it knows nothing of, since its right is one
    /// that was there before its process, or had by another.
    pub fn new(terms: LeaseTiming, most: usize, before: Option<Time>) -> LeaseGranter {
        let quiet = before.map(|now| now.saturating_add(terms.granter_span(terms.span)));
        LeaseGranter {
            terms,
            children: BTreeMap::new(),
            quiet,
            most,
        }
    }

    /// Answers an ask out of a right that lasts for `left` more by its own clock. None: it has none to give, or too many
    /// hold one already.
    pub fn grant<S: Versioned>(
        &mut self,
        now: Time,
        ask: &LeaseRequest,
        state: &S,
        left: i64,
    ) -> Option<LeaseGrant<S, S::Delta>> {
        self.forget(now);
        let (span, step) = (self.terms.sublease_span(left), state.revision());
        let full = self.children.len() >= self.most && !self.children.contains_key(&ask.from);
        if span == 0 || full {
            return None;
        }
        let out = now.saturating_add(self.terms.granter_span(span));
        // A lease of this granter comes with this step, so that a first one is for no earlier step; of several the
        // holder may have got the first alone.
        let asked = (ask.seq, ask.known);
        let new = Child {
            at: step,
            out,
            asked,
            since: now,
            span,
        };
        let child = self.children.entry(ask.from).or_insert(new);
        child.at = child.at.max(ask.acknowledged.min(step));
        child.out = child.out.max(out);
        (child.asked, child.since, child.span) = (asked, now, span);
        let delta = if ask.accepts_deltas && ask.known < step {
            state.delta_since(ask.known)
        } else {
            None
        };
        let whole = ask.known < step && (delta.is_none() || ask.known < state.snapshot_revision());
        let state = whole.then(|| state.without_history());
        Some(LeaseGrant {
            to: ask.from,
            seq: ask.seq,
            span,
            revision: step,
            state,
            delta,
        })
    }

    /// Its own right was renewed and lasts for `left` more: answers the last asks once more that got much less of it, as
    /// far as who asked has this step. Such a lease is counted from before that ask, as the first one was.
    pub fn extend_live_leases(
        &mut self,
        now: Time,
        step: Revision,
        left: i64,
    ) -> Vec<(Member, u64, i64)> {
        let span = self.terms.sublease_span(left);
        let more = (self.terms.span / WORTH).max(1);
        let due =
            |c: &Child| c.out > now && c.asked.1 >= step && span >= c.span.saturating_add(more);
        let mut again = Vec::new();
        for (member, child) in self.children.iter_mut().filter(|(_, c)| due(c)) {
            child.out = child
                .out
                .max(child.since.saturating_add(self.terms.granter_span(span)));
            child.span = span;
            again.push((*member, child.asked.0, span));
        }
        again
    }

    /// A member that may hold a lease tells, without asking for one, that none below it is for a step before this.
    pub fn acknowledge(&mut self, from: Member, at: Revision) {
        if let Some(child) = self.children.get_mut(&from) {
            child.at = child.at.max(at);
        }
    }

    /// The least step for which a lease that it granted may live; none: there is no such lease.
    pub fn oldest_live_revision(&self, now: Time) -> Option<Revision> {
        self.children
            .values()
            .filter(|c| c.out > now)
            .map(|c| c.at)
            .min()
    }

    /// Whether no lease may live for a step before this one: what a step that changes rules waits for.
    pub fn all_at_least(&self, now: Time, step: Revision) -> bool {
        self.quiet.is_none_or(|q| now >= q)
            && self.oldest_live_revision(now).is_none_or(|l| l >= step)
    }

    /// Who may hold a lease.
    pub fn children(&self, now: Time) -> impl Iterator<Item = Member> + '_ {
        self.children
            .iter()
            .filter(move |(_, c)| c.out > now)
            .map(|(m, _)| *m)
    }

    fn forget(&mut self, now: Time) {
        self.children.retain(|_, c| c.out > now);
    }
}
