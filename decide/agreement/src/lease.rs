//! Leases: who may act on which step, until when by its own clock.
//!
//! A holder counts from **before it asked**, a granter from when it granted, each on its own monotonic clock, each with the
//! stated bound on how far clock rates differ on its own side. So a lease ends at its holder before its granter takes it
//! to be out, whatever the network does to the messages, and however long either was paused.
//!
//! Leases nest: who relays grants no longer than what is left of its own, so that its granter's waiting covers all below.

use crate::log::{State, Step};
use crate::scope::Delta;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Microseconds of the caller's monotonic clock, which must go on while the machine sleeps.
pub type Time = i64;

const MILLION: i64 = 1_000_000;

/// What leases rest on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Terms {
    /// A lease's length, microseconds.
    pub span: i64,
    /// Bound on the error of any clock's rate, parts in a million.
    pub ppm: i64,
}

impl Terms {
    /// How long a holder counts a lease of this length: under it by any clock within the bound.
    pub fn held(&self, span: i64) -> i64 {
        span.max(0) - scaled(span, self.ppm)
    }
    /// After how long a granter takes it to be out.
    pub fn out(&self, span: i64) -> i64 {
        span.max(0).saturating_add(scaled(span, self.ppm))
    }
    /// What may be lent on of a lease that ends in so long by one's own clock.
    pub fn lent(&self, left: i64) -> i64 {
        (left - scaled(left, 2 * self.ppm)).clamp(0, self.span)
    }
}

/// So many parts of a million, rounded up.
fn scaled(span: i64, ppm: i64) -> i64 {
    let parts = i128::from(span.max(0)) * i128::from(ppm.clamp(0, MILLION));
    i64::try_from((parts + i128::from(MILLION) - 1) / i128::from(MILLION)).unwrap_or(i64::MAX)
}

/// A front end's process: a name that comes back is another one with a larger incarnation.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Member {
    /// Its name's number.
    pub id: u64,
    /// Which of its processes.
    pub incarnation: u64,
}

/// What a lease is for: something that has a step. Where it remembers how it came there from a step of a little while ago,
/// whoever has that is told this alone.
pub trait Stepped: Clone {
    /// How a later step follows from one before it.
    type Delta: Clone + std::fmt::Debug + PartialEq + Eq;
    /// Its step.
    fn step(&self) -> Step;
    /// The last step that can't be told as a delta.
    fn whole_at(&self) -> Step {
        self.step()
    }
    /// It without what deltas are made of.
    fn bare(&self) -> Self {
        self.clone()
    }
    /// What one that has this step is told, beside what changed up to [`Stepped::whole_at`]; none: too much was forgotten.
    fn since(&self, _has: Step) -> Option<Self::Delta> {
        None
    }
    /// Takes such a delta up. False: it does not follow on this, and nothing is done.
    fn follow(&mut self, _delta: &Self::Delta) -> bool {
        false
    }
    /// The whole that takes this one's place; what was remembered before is kept with it, where `delta` follows on it.
    fn replace(&mut self, whole: Self, _delta: Option<&Self::Delta>) {
        *self = whole;
    }
}

impl Stepped for Step {
    type Delta = ();
    fn step(&self) -> Step {
        *self
    }
}

impl Stepped for State {
    type Delta = Delta;
    fn step(&self) -> Step {
        self.step
    }
    fn whole_at(&self) -> Step {
        self.versions_at
    }
    fn bare(&self) -> State {
        State::bare(self)
    }
    fn since(&self, has: Step) -> Option<Delta> {
        State::since(self, has)
    }
    fn follow(&mut self, delta: &Delta) -> bool {
        State::follow(self, delta)
    }
    fn replace(&mut self, whole: State, delta: Option<&Delta>) {
        let follows = delta.is_some_and(|d| d.to == whole.step && State::follow(self, d));
        let moves = follows.then(|| std::mem::take(&mut self.moves));
        *self = whole;
        if let Some(moves) = moves {
            self.moves = moves;
        }
    }
}

/// A holder asks for a lease, and tells thereby how far it and all below it are.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ask {
    /// Who asks.
    pub from: Member,
    /// Its asks count up.
    pub seq: u64,
    /// No live lease below it, nor its own, is for a step before this one.
    pub at: Step,
    /// The step that it has itself.
    pub has: Step,
    /// It reads deltas. Programs from before there were any do not.
    pub deltas: bool,
}

/// A granter answers one ask. `D`: how one step follows from another, [`Stepped::Delta`] of `S`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Grant<S, D = ()> {
    /// Who asked.
    pub to: Member,
    /// Which ask.
    pub seq: u64,
    /// Length, counted by the holder from before that ask.
    pub span: i64,
    /// The step that it is for.
    pub step: Step,
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
pub struct Holder<S> {
    terms: Terms,
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

impl<S: Stepped> Holder<S> {
    /// One that knows nothing and holds no lease.
    pub fn new(terms: Terms, me: Member) -> Holder<S> {
        Holder {
            terms,
            me,
            seq: 0,
            asks: VecDeque::new(),
            state: None,
            until: None,
        }
    }

    /// The same, knowing this from before; it holds no lease for it.
    pub fn knowing(terms: Terms, me: Member, state: S) -> Holder<S> {
        Holder {
            state: Some(state),
            ..Holder::new(terms, me)
        }
    }

    /// What it knows last, acted on or not.
    pub fn known(&self) -> Option<&S> {
        self.state.as_ref()
    }

    /// What it acts on at this time; none: it holds no live lease.
    pub fn acts(&self, now: Time) -> Option<&S> {
        self.state.as_ref().filter(|_| self.left(now) > 0)
    }

    /// What is left of its lease.
    pub fn left(&self, now: Time) -> i64 {
        self.until.map_or(0, |u| u.saturating_sub(now).max(0))
    }

    /// The step that it has; the zeroth before any.
    pub fn step(&self) -> Step {
        self.state.as_ref().map_or(Step(0), Stepped::step)
    }

    /// An ask, to be sent at once. `below`: the least step of a live lease that it granted itself, if any.
    pub fn ask(&mut self, now: Time, below: Option<Step>) -> Ask {
        self.seq += 1;
        self.asks.push_back(Asked {
            seq: self.seq,
            at: now,
            answered: false,
        });
        if self.asks.len() > ASKS {
            self.asks.pop_front();
        }
        let has = self.step();
        Ask {
            from: self.me,
            seq: self.seq,
            at: below.map_or(has, |b| b.min(has)),
            has,
            deltas: true,
        }
    }

    /// When the ask of this number was sent, if it is remembered, and whether it was answered.
    pub fn asked(&self, seq: u64) -> Option<(Time, bool)> {
        self.asks
            .iter()
            .find(|a| a.seq == seq)
            .map(|a| (a.at, a.answered))
    }

    /// Takes a grant. True: it now acts on, or knows of, a later step than before.
    pub fn granted(&mut self, grant: Grant<S, S::Delta>) -> bool {
        let asked = self.asks.iter_mut().find(|a| a.seq == grant.seq);
        let (Some(asked), true) = (asked, grant.to == self.me) else {
            return false;
        };
        asked.answered = true;
        let asked = asked.at;
        let later = grant.step > self.step();
        let delta = grant.delta.as_ref();
        match grant.state.filter(|s| s.step() == grant.step) {
            Some(whole) if later => match &mut self.state {
                Some(state) => state.replace(whole, delta),
                None => self.state = Some(whole),
            },
            // A lease for a step that it doesn't have would be one for what it can't act on.
            None if later => {
                let followed = match (&mut self.state, delta) {
                    (Some(state), Some(delta)) => state.follow(delta) && state.step() >= grant.step,
                    _ => false,
                };
                if !followed {
                    return false;
                }
            }
            _ => {}
        }
        let until = asked.saturating_add(self.terms.held(grant.span.min(self.terms.span)));
        self.until = Some(self.until.map_or(until, |u| u.max(until)));
        later
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Child {
    /// No live lease of it is for a step before this one.
    at: Step,
    /// When its leases are all out, whatever it got of them.
    out: Time,
    /// Its last ask, and the step that it had then.
    asked: (u64, Step),
    /// When that was answered first, and what it was granted for it.
    since: Time,
    span: i64,
}

/// One that grants leases.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Granter {
    terms: Terms,
    children: BTreeMap<Member, Child>,
    /// Until then leases may live that someone granted before, under the same right, and that it knows nothing of.
    quiet: Option<Time>,
    most: usize,
}

impl Granter {
    /// One that grants to so many at a time. `before`: leases may live that it knows nothing of, since its right is one
    /// that was there before its process, or had by another.
    pub fn new(terms: Terms, most: usize, before: Option<Time>) -> Granter {
        let quiet = before.map(|now| now.saturating_add(terms.out(terms.span)));
        Granter {
            terms,
            children: BTreeMap::new(),
            quiet,
            most,
        }
    }

    /// Answers an ask out of a right that lasts for `left` more by its own clock. None: it has none to give, or too many
    /// hold one already.
    pub fn grant<S: Stepped>(
        &mut self,
        now: Time,
        ask: &Ask,
        state: &S,
        left: i64,
    ) -> Option<Grant<S, S::Delta>> {
        self.forget(now);
        let (span, step) = (self.terms.lent(left), state.step());
        let full = self.children.len() >= self.most && !self.children.contains_key(&ask.from);
        if span == 0 || full {
            return None;
        }
        let out = now.saturating_add(self.terms.out(span));
        // A lease of this granter comes with this step, so that a first one is for no earlier step; of several the
        // holder may have got the first alone.
        let asked = (ask.seq, ask.has);
        let new = Child {
            at: step,
            out,
            asked,
            since: now,
            span,
        };
        let child = self.children.entry(ask.from).or_insert(new);
        child.at = child.at.max(ask.at.min(step));
        child.out = child.out.max(out);
        (child.asked, child.since, child.span) = (asked, now, span);
        let delta = if ask.deltas && ask.has < step {
            state.since(ask.has)
        } else {
            None
        };
        let whole = ask.has < step && (delta.is_none() || ask.has < state.whole_at());
        let state = whole.then(|| state.bare());
        Some(Grant {
            to: ask.from,
            seq: ask.seq,
            span,
            step,
            state,
            delta,
        })
    }

    /// Its own right was renewed and lasts for `left` more: answers the last asks once more that got much less of it, as
    /// far as who asked has this step. Such a lease is counted from before that ask, as the first one was.
    pub fn renewed(&mut self, now: Time, step: Step, left: i64) -> Vec<(Member, u64, i64)> {
        let span = self.terms.lent(left);
        let more = (self.terms.span / WORTH).max(1);
        let due =
            |c: &Child| c.out > now && c.asked.1 >= step && span >= c.span.saturating_add(more);
        let mut again = Vec::new();
        for (member, child) in self.children.iter_mut().filter(|(_, c)| due(c)) {
            child.out = child
                .out
                .max(child.since.saturating_add(self.terms.out(span)));
            child.span = span;
            again.push((*member, child.asked.0, span));
        }
        again
    }

    /// A member that may hold a lease tells, without asking for one, that none below it is for a step before this.
    pub fn told(&mut self, from: Member, at: Step) {
        if let Some(child) = self.children.get_mut(&from) {
            child.at = child.at.max(at);
        }
    }

    /// The least step for which a lease that it granted may live; none: there is no such lease.
    pub fn least(&self, now: Time) -> Option<Step> {
        self.children
            .values()
            .filter(|c| c.out > now)
            .map(|c| c.at)
            .min()
    }

    /// Whether no lease may live for a step before this one: what a step that changes rules waits for.
    pub fn reached(&self, now: Time, step: Step) -> bool {
        self.quiet.is_none_or(|q| now >= q) && self.least(now).is_none_or(|l| l >= step)
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
