//! Which scopes a front end holds: those that it may act on, and whose changes wait for it.
//!
//! A front end **wants** a scope from the root, which writes down that it holds it and answers with the scope as it is at a
//! step. It acts on it once it acts on that step itself, and is told what moves after it with its lease. What it lets **go**
//! of it acts on no more before it tells. The root's side is [`crate::session::SessionTable`].
//!
//! What the two know of each other may never differ such that the root takes it for less than it holds:
//!
//! - Letters are numbered, and the root takes them in that order only; it leaves out those that come late.
//! - An answer counts for what is wanted since a letter that is no later than the one that it answers.
//! - A letter that tells all that is held tells what is wanted too, since the answer to that may be under way.
//! - Whenever the root forgot what it knew of this front end it takes it for a holder of everything, and begins a later
//!   [`ResyncEpoch`] with it. Letters and answers of another epoch are not taken, and a front end goes on to later ones alone.

use crate::compatibility::{Fields, Schema};
use crate::lease::{Member, Time};
use crate::log::{FleetState, Revision};
use crate::scope::{scope_number, EffectiveSettings, ScopeRecord, MAX_NAME_BYTES};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Scopes that one front end holds, those that it wants among them.
pub const MAX_SUBSCRIPTIONS: usize = 4096;
/// Scopes wanted in one letter.
pub const MAX_SCOPES_PER_REQUEST: usize = 256;
/// Scopes let go in one letter.
pub const MAX_UNSUBSCRIBES_PER_REQUEST: usize = 4096;
/// What nobody called for so long is let go.
pub const IDLE_TIMEOUT: Time = 600_000_000;
/// A want that no call waits for any more is given up after this time.
const UNCALLED: Time = 10_000_000;
/// What was not answered is told again after this time, the first few times; then ever less often.
const AGAIN: Time = 100_000;
/// Time between two letters.
const PACE: Time = 10_000;
/// Letters in a row without an answer after which the time between them doubles, and how often it does at most.
const UNANSWERED: (u32, u32) = (5, 5);
/// How often it is looked at what was not called lately.
const SWEEP: Time = 10_000_000;
/// The part of all that is let go at once when there is no room.
const ROOM: usize = 32;

/// Counts how often the root began anew with a front end, knowing nothing of what it holds.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct ResyncEpoch {
    /// The term in which the root leads.
    pub term: u64,
    /// Counts up within it.
    pub count: u64,
}

impl ResyncEpoch {
    /// The one after it.
    pub fn next(self) -> ResyncEpoch {
        ResyncEpoch {
            count: self.count.saturating_add(1),
            ..self
        }
    }
}

/// A front end tells the root what it wants and what it let go.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SubscribeRequest {
    /// Who.
    pub from: Member,
    /// In which epoch.
    pub epoch: ResyncEpoch,
    /// Its letters count up.
    pub seq: u64,
    /// It acts on this step from before it wrote, never on an earlier one again.
    pub revision: Revision,
    /// Scopes that it wants; at most [`MAX_SCOPES_PER_REQUEST`].
    pub scopes: Vec<String>,
    /// The numbers of those that it let go; at most [`MAX_UNSUBSCRIBES_PER_REQUEST`].
    pub unsubscribed: Vec<u64>,
    /// The numbers of all that it may hold beside what it wants with this letter; at most [`MAX_SUBSCRIPTIONS`].
    pub full_list: Option<Vec<u64>>,
}

/// The root's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SubscribeReply {
    /// Whom it is for.
    pub to: Member,
    /// In which epoch.
    pub epoch: ResyncEpoch,
    /// The letter that was taken; none: none was, since all that is held has to be told first.
    pub seq: Option<u64>,
    /// The step that the scopes are of.
    pub revision: Revision,
    /// Scopes that it is written down for; none: there is no such function.
    pub scopes: Vec<(String, Option<ScopeRecord>)>,
}

/// What is done with a call of a function.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// No function is agreed on one by one: the versions say all.
    Unscoped,
    /// It is served by these settings of its function.
    Admit(Fields),
    /// There is no such function.
    Unknown,
    /// It is refused.
    Reject(RejectReason),
    /// The root is asked: the call waits for that.
    Wait,
}

/// Why a call is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectReason {
    /// Its function's settings are just being changed.
    Changing,
    /// This front end has no stay.
    NoSession,
    /// No function has a name of this length.
    NameTooLong,
    /// Too many functions are waited for.
    TooManyPending,
}

impl std::fmt::Display for RejectReason {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            RejectReason::Changing => write!(
                f,
                "the function's settings are being changed: try again in a second"
            ),
            RejectReason::NoSession => write!(
                f,
                "this front end has not heard from the fleet for long: try another"
            ),
            RejectReason::NameTooLong => write!(
                f,
                "the function's name is over {MAX_NAME_BYTES} bytes long, which none is"
            ),
            RejectReason::TooManyPending => write!(
                f,
                "{MAX_SUBSCRIPTIONS} functions are asked for at once here: try again in a second"
            ),
        }
    }
}

#[derive(Clone, Debug)]
struct Held {
    scoped: ScopeRecord,
    /// It may be acted on from this step on.
    from: Revision,
    called: Time,
}

#[derive(Clone, Debug)]
struct Wanted {
    /// The first letter that asked for it.
    since: Option<u64>,
    sent: Time,
    called: Time,
    /// It moved into a change of strict fields; the root may wait for this front end.
    joint: bool,
}

/// Whether the root was told all that is held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Told {
    No,
    /// Every letter since this one told it.
    Since(u64),
    Yes,
}

/// How much a front end holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SubscriptionLimits {
    /// So many scopes, those that it wants among them; at most [`MAX_SUBSCRIPTIONS`].
    pub subscriptions: usize,
    /// What nobody called for so long is let go, microseconds.
    pub idle: Time,
}

impl Default for SubscriptionLimits {
    fn default() -> SubscriptionLimits {
        SubscriptionLimits {
            subscriptions: MAX_SUBSCRIPTIONS,
            idle: IDLE_TIMEOUT,
        }
    }
}

/// A front end's side.
#[derive(Clone, Debug)]
pub struct ScopeSubscriptions {
    bounds: SubscriptionLimits,
    me: Member,
    has_scopes: bool,
    epoch: ResyncEpoch,
    seq: u64,
    told: Told,
    /// What is held is right as of this step.
    step: Revision,
    len: BTreeMap<String, Held>,
    pending: BTreeMap<String, Wanted>,
    /// How many of them share a number.
    numbers: BTreeMap<u64, u32>,
    /// Let go, with the first letter that told it.
    drops: BTreeMap<u64, Option<u64>>,
    last: Time,
    next_deadline: Time,
    sweep: Time,
    unanswered: u32,
    changes: u64,
    evicted: u64,
    conflicting_revision: Revision,
}

impl ScopeSubscriptions {
    /// Nothing is held yet.
    pub fn new(me: Member, bounds: SubscriptionLimits, now: Time) -> ScopeSubscriptions {
        ScopeSubscriptions {
            bounds: SubscriptionLimits {
                subscriptions: bounds.subscriptions.clamp(1, MAX_SUBSCRIPTIONS),
                ..bounds
            },
            me,
            has_scopes: false,
            epoch: ResyncEpoch::default(),
            seq: 0,
            told: Told::Yes,
            step: Revision(0),
            len: BTreeMap::new(),
            pending: BTreeMap::new(),
            numbers: BTreeMap::new(),
            drops: BTreeMap::new(),
            last: now - PACE,
            next_deadline: Time::MAX,
            sweep: now + SWEEP,
            unanswered: 0,
            changes: 0,
            evicted: 0,
            conflicting_revision: Revision(0),
        }
    }

    /// Whether there are scopes, as far as it knows.
    pub fn has_scopes(&self) -> bool {
        self.has_scopes || self.epoch > ResyncEpoch::default()
    }

    /// How many scopes are held.
    pub fn len(&self) -> usize {
        self.len.len()
    }

    /// Whether there are no subscriptions.
    pub fn is_empty(&self) -> bool {
        self.len.is_empty()
    }

    /// How many are wanted.
    pub fn pending(&self) -> usize {
        self.pending.len()
    }

    /// How many were let go since there was no room for others.
    pub fn evicted(&self) -> u64 {
        self.evicted
    }

    /// Counts up whenever a call might be answered otherwise than before.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// Bytes that what is held takes, about.
    pub fn memory_bytes(&self) -> usize {
        let held: usize = self
            .len
            .iter()
            .map(|(name, h)| 2 * name.len() + 64 + h.scoped.memory_bytes())
            .sum();
        held + self
            .pending
            .keys()
            .map(|name| 2 * name.len() + 64)
            .sum::<usize>()
            + 24 * self.drops.len()
    }

    /// The last step in which a scope that the root may wait for went into a change of strict fields: it is to be told that
    /// this step is acted on.
    pub fn conflicting_revision(&self) -> Revision {
        self.conflicting_revision
    }

    /// Whether such a change goes on.
    pub fn delays_change(&self, schema: &Schema) -> bool {
        let held = |(name, h): (&String, &Held)| {
            h.scoped.next().is_some() && h.scoped.strict(schema, name)
        };
        self.pending.values().any(|w| w.joint) || self.len.iter().any(held)
    }

    /// What it acts on of a scope, without a call of it; none: it may not act on it. `lease`: whether its lease lives.
    pub fn effective_settings(
        &self,
        schema: &Schema,
        scope: &str,
        lease: bool,
    ) -> Option<EffectiveSettings> {
        let held = self.len.get(scope).filter(|h| h.from <= self.step)?;
        let acts = if lease {
            held.scoped.effective(schema, scope)
        } else {
            held.scoped.effective_without_lease(schema, scope)
        };
        Some(acts)
    }

    /// A call of a function arrives; `lease`: whether its lease lives, while its stay does.
    pub fn admit(&mut self, now: Time, schema: &Schema, scope: &str, lease: bool) -> Admission {
        if scope.len() > MAX_NAME_BYTES {
            return Admission::Reject(RejectReason::NameTooLong);
        }
        if let Some(held) = self.len.get_mut(scope) {
            held.called = now;
            return match self.effective_settings(schema, scope, lease) {
                None => Admission::Wait,
                Some(EffectiveSettings { rejected: true, .. }) => {
                    Admission::Reject(RejectReason::Changing)
                }
                Some(EffectiveSettings {
                    fields: Some(fields),
                    ..
                }) => Admission::Admit(fields),
                Some(EffectiveSettings { fields: None, .. }) => Admission::Unknown,
            };
        }
        if let Some(wanted) = self.pending.get_mut(scope) {
            wanted.called = now;
            return Admission::Wait;
        }
        if !self.room() {
            return Admission::Reject(RejectReason::TooManyPending);
        }
        self.pending.insert(
            scope.to_string(),
            Wanted {
                since: None,
                sent: Time::MIN,
                called: now,
                joint: false,
            },
        );
        self.count(scope);
        self.soon(now);
        Admission::Wait
    }

    /// Makes room for one more, by what was called least recently.
    fn room(&mut self) -> bool {
        if self.len.len() + self.pending.len() < self.bounds.subscriptions {
            return true;
        }
        let mut oldest: Vec<(Time, String)> = self
            .len
            .iter()
            .map(|(name, h)| (h.called, name.clone()))
            .collect();
        oldest.sort_unstable();
        oldest.truncate((self.bounds.subscriptions / ROOM).max(1));
        self.evicted += oldest.len() as u64;
        oldest.iter().for_each(|(_, name)| self.let_go(name));
        !oldest.is_empty()
    }

    fn count(&mut self, scope: &str) {
        let number = scope_number(scope);
        *self.numbers.entry(number).or_insert(0) += 1;
        self.drops.remove(&number);
    }

    /// Acts on it no more, and tells.
    fn let_go(&mut self, scope: &str) {
        let held = self.len.remove(scope).is_some();
        let sent = self.pending.remove(scope).map(|w| w.since.is_some());
        if !held && sent.is_none() {
            return;
        }
        let number = scope_number(scope);
        let left = self.numbers.get_mut(&number).map_or(0, |n| {
            *n -= 1;
            *n
        });
        if left == 0 {
            self.numbers.remove(&number);
            if held || sent == Some(true) {
                self.drops.insert(number, None);
            }
        }
        if self.drops.len() > MAX_UNSUBSCRIBES_PER_REQUEST {
            // All that is left is told instead.
            self.drops.clear();
            self.told = Told::No;
        }
    }

    /// Something is to be told.
    fn soon(&mut self, now: Time) {
        self.next_deadline = self.next_deadline.min(now.max(self.last + PACE));
    }

    /// Another root is seen: what it knows of this front end is asked for at once, if any root ever did.
    pub fn on_new_leader(&mut self, now: Time) {
        if self.epoch > ResyncEpoch::default() {
            self.told = Told::No;
            self.unanswered = 0;
            self.soon(now);
        }
    }

    /// Its stay ran out: others may have gone on without it since. It lets go of all that it held, and what was asked before is not
    /// answered by what the root said then. Has to come before another stay is taken up.
    pub fn on_session_expired(&mut self, now: Time) {
        let held: Vec<String> = self.len.keys().cloned().collect();
        held.iter().for_each(|name| self.let_go(name));
        for w in self.pending.values_mut() {
            (w.since, w.sent) = (None, Time::MIN);
        }
        if !held.is_empty() || !self.pending.is_empty() {
            self.changes += 1;
            self.soon(now);
        }
    }

    /// What is acted on is at a later step. Has to come before anything is told of that step.
    pub fn on_state(&mut self, now: Time, state: &FleetState, schema: &Schema) {
        if state.revision <= self.step {
            return;
        }
        let (before, known) = (self.step, state.history.from());
        self.step = state.revision;
        self.changes += 1;
        if state.scopes_since.is_some() && !self.has_scopes() {
            // No change goes on before all have said so.
            (self.has_scopes, self.told) = (true, Told::No);
            self.soon(now);
        }
        // What moved meanwhile is not known of these.
        let forgotten = |h: &Held| {
            let right_at = h.from.max(before);
            right_at < known && right_at < state.revision
        };
        if before < known {
            let gone: Vec<String> = self
                .len
                .iter()
                .filter(|(_, h)| forgotten(h))
                .map(|(name, _)| name.clone())
                .collect();
            gone.iter().for_each(|name| self.let_go(name));
            if !gone.is_empty() {
                self.soon(now);
            }
        }
        for m in state.history.since(before.max(known)).into_iter().flatten() {
            let held = self.len.get_mut(&m.scope).filter(|h| m.revision > h.from);
            let wanted = self.pending.get_mut(&m.scope);
            if held.is_none() && wanted.is_none() {
                continue;
            }
            let joint = m.record.strict(schema, &m.scope);
            if let Some(held) = held {
                held.scoped = m.record.clone();
            }
            if let Some(wanted) = wanted {
                wanted.joint = joint;
            }
            if joint {
                self.conflicting_revision = self.conflicting_revision.max(m.revision);
            }
        }
    }

    /// Takes an answer. `state`: what is acted on.
    pub fn on_reply(
        &mut self,
        now: Time,
        reply: SubscribeReply,
        state: Option<&FleetState>,
        schema: &Schema,
    ) {
        if let Some(state) = state {
            self.on_state(now, state, schema);
        }
        if reply.to != self.me || reply.epoch < self.epoch {
            return;
        }
        if reply.epoch > self.epoch {
            // The root knows nothing of this front end, whatever else it says.
            (self.epoch, self.told, self.unanswered) = (reply.epoch, Told::No, 0);
            self.drops.clear();
            for w in self.pending.values_mut() {
                (w.since, w.sent) = (None, Time::MIN);
            }
            return self.soon(now);
        }
        let Some(seq) = reply.seq.filter(|s| *s <= self.seq) else {
            return;
        };
        self.unanswered = 0;
        self.drops.retain(|_, first| first.is_none_or(|f| f > seq));
        if matches!(self.told, Told::Since(first) if first <= seq) {
            self.told = Told::Yes;
        }
        for (name, scoped) in reply.scopes {
            let Some(wanted) = self.pending.get_mut(&name) else {
                continue;
            };
            if wanted.since.is_none_or(|since| since > seq) {
                continue;
            }
            let mut held = Held {
                scoped: scoped.unwrap_or_default(),
                from: reply.revision,
                called: wanted.called,
            };
            if reply.revision < self.step {
                // What moved since has to be known.
                let known = state.filter(|s| s.revision == self.step);
                let Some(moves) = known.and_then(|s| s.history.since(reply.revision)) else {
                    (wanted.since, wanted.sent) = (None, Time::MIN);
                    self.soon(now);
                    continue;
                };
                if let Some(m) = moves.filter(|m| m.scope == name).last() {
                    held.scoped = m.record.clone();
                }
                held.from = self.step;
            }
            if let (Some(since), true) =
                (held.scoped.phase.since(), held.scoped.strict(schema, &name))
            {
                self.conflicting_revision = self.conflicting_revision.max(since);
            }
            self.pending.remove(&name);
            self.len.insert(name, held);
            self.changes += 1;
        }
    }

    /// What time brings: what was not called lately is let go; a letter, if one is to be sent. `stay`: whether its stay
    /// lives; without one nothing is asked for. `at`: the step that is acted on.
    pub fn tick(&mut self, now: Time, at: Revision, stay: bool) -> Option<SubscribeRequest> {
        if now >= self.sweep {
            self.sweep = now + SWEEP;
            let idle = self
                .len
                .iter()
                .filter(|(_, h)| now.saturating_sub(h.called) >= self.bounds.idle);
            let uncalled = self
                .pending
                .iter()
                .filter(|(_, w)| now.saturating_sub(w.called) >= UNCALLED);
            let gone: BTreeSet<String> = idle
                .map(|i| i.0.clone())
                .chain(uncalled.map(|w| w.0.clone()))
                .collect();
            gone.iter().for_each(|name| self.let_go(name));
            if !gone.is_empty() {
                self.soon(now);
            }
        }
        if now < self.next_deadline {
            return None;
        }
        let nothing = self.told == Told::Yes && self.pending.is_empty() && self.drops.is_empty();
        if nothing {
            self.next_deadline = Time::MAX;
            return None;
        }
        let (most, doublings) = (UNANSWERED.0, UNANSWERED.1);
        let wait = AGAIN << (self.unanswered / most).min(doublings);
        self.next_deadline = now + wait;
        stay.then(|| self.request(now, at, wait))
    }

    fn request(&mut self, now: Time, at: Revision, wait: Time) -> SubscribeRequest {
        self.seq += 1;
        self.last = now;
        self.unanswered = self.unanswered.saturating_add(1);
        let seq = self.seq;
        let all = match self.told {
            Told::Yes => None,
            Told::No | Told::Since(_) => {
                if self.told == Told::No {
                    self.told = Told::Since(seq);
                }
                let asked = self
                    .pending
                    .iter()
                    .filter(|(_, w)| w.since.is_some())
                    .map(|(name, _)| name);
                let all: BTreeSet<u64> = self
                    .len
                    .keys()
                    .chain(asked)
                    .map(|name| scope_number(name))
                    .collect();
                Some(all.into_iter().collect())
            }
        };
        let mut due: Vec<(Time, &String)> = self
            .pending
            .iter()
            .filter(|(_, w)| w.sent.saturating_add(wait) <= now)
            .map(|(name, w)| (w.sent, name))
            .collect();
        due.sort_unstable();
        let more = due.len() > MAX_SCOPES_PER_REQUEST;
        due.truncate(MAX_SCOPES_PER_REQUEST);
        let scopes: Vec<String> = due.into_iter().map(|(_, name)| name.clone()).collect();
        for name in &scopes {
            if let Some(w) = self.pending.get_mut(name) {
                w.sent = now;
                w.since.get_or_insert(seq);
            }
        }
        if more {
            self.soon(now);
        }
        let drops: Vec<u64> = self.drops.keys().copied().collect();
        self.drops.values_mut().for_each(|first| {
            first.get_or_insert(seq);
        });
        SubscribeRequest {
            from: self.me,
            epoch: self.epoch,
            seq,
            revision: at,
            scopes,
            unsubscribed: drops,
            full_list: all,
        }
    }

    /// When [`ScopeSubscriptions::tick`] has something to do.
    pub fn next_deadline(&self) -> Time {
        self.next_deadline.min(self.sweep)
    }
}
