//! A front end's part in the fleet: it holds a lease, lends it on to those below it, and says what it acts on.
//!
//! Parents are chosen without asking anyone: each orders the members that it knows by one hash, the seat first, and asks
//! the one that stands where its own place divided by [`FAN_OUT`] points. So the seat answers [`FAN_OUT`] front ends however large
//! the fleet is, and a step reaches all over a few links. Views may differ: a lease that goes round in a ring can only
//! shrink, and who sees its lease shrink, or hears nothing, asks one nearer to the seat.

use crate::lease::{
    LeaseGrant, LeaseGranter, LeaseHolder, LeaseRequest, LeaseTiming, Member, Time, Versioned,
};
use crate::log::Revision;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Front ends that one grants leases to.
pub const FAN_OUT: usize = 8;
/// Those it lets in beside them, while their own parents are away or views differ. Its own are never kept out by these: a
/// seat that whoever has no parent yet could fill would keep out the very ones that would be parents.
const MORE: usize = 2 * FAN_OUT;
/// Asks in a lease's length.
const ASKS_A_SPAN: i64 = 4;

/// What passes between two members. `D`: how one step follows from another, [`Versioned::Delta`] of `S`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum LeaseMessage<S, D = ()> {
    /// For a lease.
    Request(LeaseRequest),
    /// A lease.
    Grant(LeaseGrant<S, D>),
    /// A step was taken: ask for it.
    Revision(Revision),
    /// To one that granted a lease before another did: what an ask tells, without asking.
    Acknowledge {
        /// Who tells.
        from: Member,
        /// No live lease below it, nor its own, is for a step before this one.
        revision: Revision,
    },
}

/// Messages and whom they are for.
type Letters<S> = Vec<(u64, LeaseMessage<S, <S as Versioned>::Delta>)>;

/// Names in the order that all would find, kept in it as names come and go. Copies are cheap until one of them changes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RendezvousOrder {
    /// By what [`spread`] makes of a name, which no two share.
    ranked: Arc<Vec<(u64, u64)>>,
}

impl RendezvousOrder {
    /// Adds a name. False: it was there.
    pub fn insert(&mut self, name: u64) -> bool {
        let place = self.place(name);
        if let Err(at) = place {
            Arc::make_mut(&mut self.ranked).insert(at, (spread(name), name));
        }
        place.is_err()
    }

    /// Takes a name out. False: it was not there.
    pub fn remove(&mut self, name: u64) -> bool {
        let place = self.place(name);
        if let Ok(at) = place {
            Arc::make_mut(&mut self.ranked).remove(at);
        }
        place.is_ok()
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.ranked.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.ranked.is_empty()
    }

    /// Where a name stands, or would.
    fn place(&self, name: u64) -> Result<usize, usize> {
        self.ranked.binary_search_by_key(&spread(name), |r| r.0)
    }
}

impl FromIterator<u64> for RendezvousOrder {
    fn from_iter<I: IntoIterator<Item = u64>>(names: I) -> RendezvousOrder {
        let mut ranked: Vec<(u64, u64)> = names.into_iter().map(|n| (spread(n), n)).collect();
        ranked.sort_unstable();
        ranked.dedup();
        RendezvousOrder {
            ranked: Arc::new(ranked),
        }
    }
}

/// The members that one knows, the seat among them, in the order that all would find.
#[derive(Clone, Debug, Default)]
pub struct LeaseTopology {
    seat: u64,
    order: RendezvousOrder,
    /// Where the seat stands in the order, if it does: in the view it is the first of all.
    seat_at: Option<usize>,
}

impl LeaseTopology {
    /// Of these names, the seat's first.
    pub fn new(seat: u64, names: impl IntoIterator<Item = u64>) -> LeaseTopology {
        LeaseTopology::with_order(seat, names.into_iter().collect())
    }

    /// Of names that are in order already.
    pub fn with_order(seat: u64, order: RendezvousOrder) -> LeaseTopology {
        let seat_at = order.place(seat).ok();
        LeaseTopology {
            seat,
            order,
            seat_at,
        }
    }

    /// Whom a member asks, at its n-th choice in a row: its parent, that one's parent, and so on up to the seat.
    pub fn parent(&self, me: u64, choice: u32) -> Option<u64> {
        let mut place = self.place(me)?;
        for _ in 0..=choice {
            place = place.checked_sub(1)? / FAN_OUT;
            if place == 0 {
                break;
            }
        }
        self.at(place)
    }

    /// The choice after this one. After the seat it goes round from its own parent: the seat is gone, or has no room.
    fn further(&self, me: u64, choice: u32) -> u32 {
        match self.parent(me, choice) {
            Some(parent) if parent != self.seat => choice.saturating_add(1),
            _ => 0,
        }
    }

    fn place(&self, name: u64) -> Option<usize> {
        if name == self.seat {
            return Some(0);
        }
        let at = self.order.place(name).ok()?;
        Some(at + usize::from(self.seat_at.is_none_or(|s| s > at)))
    }

    fn at(&self, place: usize) -> Option<u64> {
        let Some(at) = place.checked_sub(1) else {
            return Some(self.seat);
        };
        let at = at + usize::from(self.seat_at.is_some_and(|s| s <= at));
        self.order.ranked.get(at).map(|r| r.1)
    }
}

impl PartialEq for LeaseTopology {
    /// The same members under the same seat; that seat counts as one of them, whether it is known or not.
    fn eq(&self, other: &LeaseTopology) -> bool {
        if self.seat != other.seat {
            return false;
        }
        if Arc::ptr_eq(&self.order.ranked, &other.order.ranked) {
            return true;
        }
        let others = |v: &LeaseTopology| v.order.len() - usize::from(v.seat_at.is_some());
        let same = |place| self.at(place) == other.at(place);
        others(self) == others(other) && (1..=others(self)).all(same)
    }
}
impl Eq for LeaseTopology {}

/// Spreads names over the order. Each step can be undone, so that no two names come to the same.
fn spread(x: u64) -> u64 {
    let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// One front end, or the seat of a fleet that has one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseNode<S> {
    terms: LeaseTiming,
    member: Member,
    view: LeaseTopology,
    right: LeaseSource<S>,
    granter: LeaseGranter,
    next_ask: Time,
    /// Incarnations that it heard last by a name; it answers and tells these.
    heard: BTreeMap<u64, u64>,
    /// The step that it told the one above last.
    told: Revision,
    /// Time from its last ask that was answered to the answer.
    way: Time,
    /// Who granted to it lately, and when last: those wait for what it reaches until that lease is out.
    granted: BTreeMap<u64, Time>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum LeaseSource<S> {
    /// The seat's own: what the log says, for as long as it holds the seat.
    Leader { state: S, until: Time },
    /// One lent by a parent, at the n-th choice.
    Granted {
        holder: LeaseHolder<S>,
        choice: u32,
        unanswered: u32,
    },
}

/// The part of a lease's length that one asks after the one above is renewed, so that it is not before it now and then.
const AFTER: i64 = 64;
/// Asks unanswered after which the next nearer to the seat is asked.
const PATIENCE: u32 = 2;

impl<S: Versioned> LeaseNode<S> {
    /// A front end that starts from nothing.
    pub fn new(terms: LeaseTiming, me: Member, view: LeaseTopology, now: Time) -> LeaseNode<S> {
        let right = LeaseSource::Granted {
            holder: LeaseHolder::new(terms, me),
            choice: 0,
            unanswered: 0,
        };
        LeaseNode::with(terms, me, view, right, None, now)
    }

    /// One that was the root until now and knows this; leases that it lent are out with its right, which whoever is the
    /// root next waits for.
    pub fn with_state(
        terms: LeaseTiming,
        me: Member,
        view: LeaseTopology,
        state: S,
        now: Time,
    ) -> LeaseNode<S> {
        let right = LeaseSource::Granted {
            holder: LeaseHolder::with_state(terms, me, state),
            choice: 0,
            unanswered: 0,
        };
        LeaseNode::with(terms, me, view, right, None, now)
    }

    /// The seat's right lasts for longer.
    pub fn extend_leader_lease(&mut self, now: Time, to: Time, out: &mut Letters<S>) {
        match &mut self.right {
            LeaseSource::Leader { until, .. } if to > *until => *until = to,
            _ => return,
        }
        self.renew(now, out);
    }

    /// Its own right was renewed. Those below ask as often as it does, so that one that asked just before would get the
    /// shortest lease each time, and of several links in a row none at all: they get the rest.
    fn renew(&mut self, now: Time, out: &mut Letters<S>) {
        let (left, Some(step)) = (
            self.remaining(now),
            self.known_state().map(Versioned::revision),
        ) else {
            return;
        };
        for (to, seq, span) in self.granter.extend_live_leases(now, step, left) {
            out.push((
                to.id,
                LeaseMessage::Grant(LeaseGrant {
                    to,
                    seq,
                    span,
                    revision: step,
                    state: None,
                    delta: None,
                }),
            ));
        }
    }

    /// The seat, with what its log says. It takes no step that changes rules before all that an earlier process of it may
    /// have granted is out.
    pub fn leader(
        terms: LeaseTiming,
        member: Member,
        view: LeaseTopology,
        state: S,
        until: Time,
        now: Time,
    ) -> LeaseNode<S> {
        LeaseNode::with(
            terms,
            member,
            view,
            LeaseSource::Leader { state, until },
            Some(now),
            now,
        )
    }

    fn with(
        terms: LeaseTiming,
        member: Member,
        view: LeaseTopology,
        right: LeaseSource<S>,
        before: Option<Time>,
        now: Time,
    ) -> LeaseNode<S> {
        LeaseNode {
            terms,
            member,
            view,
            right,
            granter: LeaseGranter::new(terms, FAN_OUT + MORE, before),
            next_ask: now,
            heard: BTreeMap::new(),
            told: Revision(0),
            way: 0,
            granted: BTreeMap::new(),
        }
    }

    /// Who it is.
    pub fn member(&self) -> Member {
        self.member
    }

    /// Other members are known now.
    pub fn update_topology(&mut self, view: LeaseTopology) {
        if let (
            LeaseSource::Granted {
                choice, unanswered, ..
            },
            true,
        ) = (&mut self.right, self.view != view)
        {
            (*choice, *unanswered) = (0, 0);
        }
        self.view = view;
    }

    /// What it acts on at this time; none: it holds no live lease, and acts by [`crate::compatibility::rules_after_expiry`].
    pub fn active_state(&self, now: Time) -> Option<&S> {
        match &self.right {
            LeaseSource::Leader { state, until } => Some(state).filter(|_| now < *until),
            LeaseSource::Granted { holder, .. } => holder.active_state(now),
        }
    }

    /// What it knows last.
    pub fn known_state(&self) -> Option<&S> {
        match &self.right {
            LeaseSource::Leader { state, .. } => Some(state),
            LeaseSource::Granted { holder, .. } => holder.known_state(),
        }
    }

    /// What is left of its right to act, and to lend.
    pub fn remaining(&self, now: Time) -> i64 {
        match &self.right {
            LeaseSource::Leader { until, .. } => until.saturating_sub(now).max(0),
            LeaseSource::Granted { holder, .. } => holder.remaining(now),
        }
    }

    /// Whether no live lease of the fleet is for a step before this one; only the seat can say, and of the step alone that
    /// it acts on itself: its log may be ahead of it.
    pub fn all_at_least(&self, now: Time, step: Revision) -> bool {
        matches!(&self.right, LeaseSource::Leader { state, .. } if state.revision() == step)
            && self.granter.all_at_least(now, step)
    }

    /// The same for what does not wait for the last step: it acts on this step or a later one itself.
    pub fn all_past(&self, now: Time, step: Revision) -> bool {
        matches!(&self.right, LeaseSource::Leader { state, .. } if state.revision() >= step)
            && self.granter.all_at_least(now, step)
    }

    /// The seat's log has taken a step.
    pub fn on_state_change(&mut self, now: Time, new: S, out: &mut Letters<S>) {
        if let LeaseSource::Leader { state, .. } = &mut self.right {
            *state = new;
        }
        self.announce_revision(now, out);
    }

    /// Tells those below that there is a step to ask for.
    fn announce_revision(&self, now: Time, out: &mut Letters<S>) {
        if let Some(step) = self.known_state().map(Versioned::revision) {
            out.extend(
                self.granter
                    .children(now)
                    .map(|m| (m.id, LeaseMessage::Revision(step))),
            );
        }
    }

    /// What time brings: asks.
    pub fn tick(&mut self, now: Time, out: &mut Letters<S>) {
        if now >= self.next_ask {
            self.ask(now, out);
        }
    }

    /// When [`LeaseNode::tick`] has something to do.
    pub fn next_deadline(&self) -> Time {
        match self.right {
            LeaseSource::Leader { .. } => Time::MAX,
            LeaseSource::Granted { .. } => self.next_ask,
        }
    }

    fn ask(&mut self, now: Time, out: &mut Letters<S>) {
        let LeaseSource::Granted {
            holder,
            choice,
            unanswered,
        } = &mut self.right
        else {
            return;
        };
        let out_after = 2 * self.terms.span;
        self.granted
            .retain(|_, at| now.saturating_sub(*at) < out_after);
        self.next_ask = now.saturating_add(self.terms.span / ASKS_A_SPAN);
        if *unanswered >= PATIENCE {
            (*choice, *unanswered) = (self.view.further(self.member.id, *choice), 0);
        }
        let Some(parent) = self.view.parent(self.member.id, *choice) else {
            return;
        };
        *unanswered += 1;
        let ask = holder.request(now, self.granter.oldest_live_revision(now));
        self.told = ask.acknowledged;
        out.push((parent, LeaseMessage::Request(ask)));
        let others = self.granted.keys().filter(|g| **g != parent);
        out.extend(others.map(|g| {
            (
                *g,
                LeaseMessage::Acknowledge {
                    from: ask.from,
                    revision: ask.acknowledged,
                },
            )
        }));
        // Who had to go further up asks its own parent all the while, and goes back to it once it grants.
        let own = self
            .view
            .parent(self.member.id, 0)
            .filter(|p| *choice > 0 && *p != parent);
        out.extend(own.map(|p| {
            (
                p,
                LeaseMessage::Request(holder.request(now, self.granter.oldest_live_revision(now))),
            )
        }));
    }

    /// Takes a message from a member of this name.
    pub fn on_message(
        &mut self,
        now: Time,
        from: u64,
        message: LeaseMessage<S, S::Delta>,
        out: &mut Letters<S>,
    ) {
        match message {
            LeaseMessage::Request(ask)
                if ask.from.id == from && ask.from.incarnation >= self.heard(from) =>
            {
                self.heard.insert(from, ask.from.incarnation);
                if self.heard.len() > 4 * MORE {
                    let live: Vec<u64> = self.granter.children(now).map(|m| m.id).collect();
                    self.heard.retain(|id, _| live.contains(id));
                }
                let own = self.view.parent(from, 0) == Some(self.member.id);
                let strange = |m: &Member| {
                    *m != ask.from && self.view.parent(m.id, 0) != Some(self.member.id)
                };
                if !own && self.granter.children(now).filter(strange).count() >= MORE {
                    return;
                }
                let left = self.remaining(now);
                let state = match &self.right {
                    LeaseSource::Leader { state, .. } => Some(state),
                    LeaseSource::Granted { holder, .. } => holder.known_state(),
                };
                let grant = state.and_then(|s| self.granter.grant(now, &ask, s, left));
                out.extend(grant.map(|g| (from, LeaseMessage::Grant(g))));
                self.acknowledge_upward(now, out);
            }
            LeaseMessage::Request(_) => {}
            LeaseMessage::Acknowledge {
                from: member,
                revision: at,
            } if member.id == from => {
                self.granter.acknowledge(member, at);
                self.acknowledge_upward(now, out);
            }
            LeaseMessage::Acknowledge { .. } => {}
            LeaseMessage::Grant(grant) => {
                let LeaseSource::Granted {
                    holder,
                    choice,
                    unanswered,
                } = &mut self.right
                else {
                    return;
                };
                let asked_one = self.view.parent(self.member.id, *choice) == Some(from);
                self.granted.insert(from, now);
                let before = holder.remaining(now);
                let asked = holder.sent_request(grant.seq);
                let later = holder.on_grant(grant);
                let grown = holder.remaining(now) > before;
                // What is over before the next answer is none, nor is what the own parent says beside the one asked.
                if asked_one && holder.remaining(now) >= self.terms.span / ASKS_A_SPAN {
                    *unanswered = 0;
                }
                // A lease that doesn't grow any more is lent out of one that isn't renewed, or goes round in a ring.
                let poor = holder.remaining(now) < self.terms.span / 2;
                if poor && !grown && asked_one {
                    *choice = self.view.further(self.member.id, *choice);
                } else if !poor && grown && self.view.parent(self.member.id, 0) == Some(from) {
                    *choice = 0;
                }
                match asked {
                    Some((at, false)) => self.way = now - at,
                    // The one above was renewed just now: from here on it is asked shortly after that.
                    Some((_, true)) if grown && !later && asked_one => {
                        self.ask(now, out);
                        self.next_ask +=
                            self.terms.span / AFTER - self.way.clamp(0, self.terms.span / 8);
                    }
                    _ => {}
                }
                if later {
                    self.announce_revision(now, out);
                    // The step is reached here, which the one above waits for.
                    self.ask(now, out);
                }
                if grown {
                    self.renew(now, out);
                }
            }
            LeaseMessage::Revision(step) => {
                if self.known_state().is_none_or(|s| s.revision() < step) {
                    self.ask(now, out);
                }
            }
        }
    }

    /// When the last one below has come as far as this one, the one above is told at once: it waits for that.
    fn acknowledge_upward(&mut self, now: Time, out: &mut Letters<S>) {
        let own = self.known_state().map_or(Revision(0), Versioned::revision);
        let at = self
            .granter
            .oldest_live_revision(now)
            .map_or(own, |l| l.min(own));
        if at > self.told {
            self.ask(now, out);
        }
    }

    fn heard(&self, name: u64) -> u64 {
        self.heard.get(&name).copied().unwrap_or(0)
    }
}
