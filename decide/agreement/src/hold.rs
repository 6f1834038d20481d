//! Which scopes a front end holds: those that it may act on, and whose changes wait for it.
//!
//! A front end **wants** a scope from the root, which writes down that it holds it and answers with the scope as it is at a
//! step. It acts on it once it acts on that step itself, and is told what moves after it with its lease. What it lets **go**
//! of it acts on no more before it tells. The root's side is [`crate::stay::Register`].
//!
//! What the two know of each other may never differ such that the root takes it for less than it holds:
//!
//! - Letters are numbered, and the root takes them in that order only; it leaves out those that come late.
//! - An answer counts for what is wanted since a letter that is no later than the one that it answers.
//! - A letter that tells all that is held tells what is wanted too, since the answer to that may be under way.
//! - Whenever the root forgot what it knew of this front end it takes it for a holder of everything, and begins a later
//!   [`Epoch`] with it. Letters and answers of another epoch are not taken, and a front end goes on to later ones alone.

use crate::lease::{Member, Time};
use crate::log::{State, Step};
use crate::rule::{Fields, Schema};
use crate::scope::{number, Acts, Scoped, NAME};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Scopes that one front end holds, those that it wants among them.
pub const HELD: usize = 4096;
/// Scopes wanted in one letter.
pub const WANTS: usize = 256;
/// Scopes let go in one letter.
pub const DROPS: usize = 4096;
/// What nobody called for so long is let go.
pub const IDLE: Time = 600_000_000;
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
pub struct Epoch {
    /// The term in which the root leads.
    pub term: u64,
    /// Counts up within it.
    pub count: u64,
}

impl Epoch {
    /// The one after it.
    pub fn next(self) -> Epoch {
        Epoch {
            count: self.count.saturating_add(1),
            ..self
        }
    }
}

/// A front end tells the root what it wants and what it let go.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Want {
    /// Who.
    pub from: Member,
    /// In which epoch.
    pub epoch: Epoch,
    /// Its letters count up.
    pub seq: u64,
    /// It acts on this step from before it wrote, never on an earlier one again.
    pub at: Step,
    /// Scopes that it wants; at most [`WANTS`].
    pub scopes: Vec<String>,
    /// The numbers of those that it let go; at most [`DROPS`].
    pub drops: Vec<u64>,
    /// The numbers of all that it may hold beside what it wants with this letter; at most [`HELD`].
    pub all: Option<Vec<u64>>,
}

/// The root's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// Whom it is for.
    pub to: Member,
    /// In which epoch.
    pub epoch: Epoch,
    /// The letter that was taken; none: none was, since all that is held has to be told first.
    pub seq: Option<u64>,
    /// The step that the scopes are of.
    pub at: Step,
    /// Scopes that it is written down for; none: there is no such function.
    pub scopes: Vec<(String, Option<Scoped>)>,
}

/// What is done with a call of a function.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// No function is agreed on one by one: the versions say all.
    Versions,
    /// It is served by these settings of its function.
    Acts(Fields),
    /// There is no such function.
    Unknown,
    /// It is refused.
    Refused(Why),
    /// The root is asked: the call waits for that.
    Wait,
}

/// Why a call is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Why {
    /// Its function's settings are just being changed.
    Changing,
    /// This front end has no stay.
    NoStay,
    /// No function has a name of this length.
    Name,
    /// Too many functions are waited for.
    Full,
}

impl std::fmt::Display for Why {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Why::Changing => write!(
                f,
                "the function's settings are being changed: try again in a second"
            ),
            Why::NoStay => write!(
                f,
                "this front end has not heard from the fleet for long: try another"
            ),
            Why::Name => write!(
                f,
                "the function's name is over {NAME} bytes long, which none is"
            ),
            Why::Full => write!(
                f,
                "{HELD} functions are asked for at once here: try again in a second"
            ),
        }
    }
}

#[derive(Clone, Debug)]
struct Held {
    scoped: Scoped,
    /// It may be acted on from this step on.
    from: Step,
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
pub struct Bounds {
    /// So many scopes, those that it wants among them; at most [`HELD`].
    pub held: usize,
    /// What nobody called for so long is let go, microseconds.
    pub idle: Time,
}

impl Default for Bounds {
    fn default() -> Bounds {
        Bounds {
            held: HELD,
            idle: IDLE,
        }
    }
}

/// A front end's side.
#[derive(Clone, Debug)]
pub struct Holding {
    bounds: Bounds,
    me: Member,
    began: bool,
    epoch: Epoch,
    seq: u64,
    told: Told,
    /// What is held is right as of this step.
    step: Step,
    held: BTreeMap<String, Held>,
    wanted: BTreeMap<String, Wanted>,
    /// How many of them share a number.
    numbers: BTreeMap<u64, u32>,
    /// Let go, with the first letter that told it.
    drops: BTreeMap<u64, Option<u64>>,
    last: Time,
    next: Time,
    sweep: Time,
    unanswered: u32,
    changes: u64,
    squeezed: u64,
    contested: Step,
}

impl Holding {
    /// Nothing is held yet.
    pub fn new(me: Member, bounds: Bounds, now: Time) -> Holding {
        Holding {
            bounds: Bounds {
                held: bounds.held.clamp(1, HELD),
                ..bounds
            },
            me,
            began: false,
            epoch: Epoch::default(),
            seq: 0,
            told: Told::Yes,
            step: Step(0),
            held: BTreeMap::new(),
            wanted: BTreeMap::new(),
            numbers: BTreeMap::new(),
            drops: BTreeMap::new(),
            last: now - PACE,
            next: Time::MAX,
            sweep: now + SWEEP,
            unanswered: 0,
            changes: 0,
            squeezed: 0,
            contested: Step(0),
        }
    }

    /// Whether there are scopes, as far as it knows.
    pub fn began(&self) -> bool {
        self.began || self.epoch > Epoch::default()
    }

    /// How many scopes are held.
    pub fn held(&self) -> usize {
        self.held.len()
    }

    /// How many are wanted.
    pub fn wanted(&self) -> usize {
        self.wanted.len()
    }

    /// How many were let go since there was no room for others.
    pub fn squeezed(&self) -> u64 {
        self.squeezed
    }

    /// Counts up whenever a call might be answered otherwise than before.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// Bytes that what is held takes, about.
    pub fn weight(&self) -> usize {
        let held: usize = self
            .held
            .iter()
            .map(|(name, h)| 2 * name.len() + 64 + h.scoped.weight())
            .sum();
        held + self
            .wanted
            .keys()
            .map(|name| 2 * name.len() + 64)
            .sum::<usize>()
            + 24 * self.drops.len()
    }

    /// The last step in which a scope that the root may wait for went into a change of strict fields: it is to be told that
    /// this step is acted on.
    pub fn contested(&self) -> Step {
        self.contested
    }

    /// Whether such a change goes on.
    pub fn awaited(&self, schema: &Schema) -> bool {
        let held = |(name, h): (&String, &Held)| {
            h.scoped.next().is_some() && h.scoped.strict(schema, name)
        };
        self.wanted.values().any(|w| w.joint) || self.held.iter().any(held)
    }

    /// What it acts on of a scope, without a call of it; none: it may not act on it. `lease`: whether its lease lives.
    pub fn acts(&self, schema: &Schema, scope: &str, lease: bool) -> Option<Acts> {
        let held = self.held.get(scope).filter(|h| h.from <= self.step)?;
        let acts = if lease {
            held.scoped.acts(schema, scope)
        } else {
            held.scoped.apart(schema, scope)
        };
        Some(acts)
    }

    /// A call of a function arrives; `lease`: whether its lease lives, while its stay does.
    pub fn called(&mut self, now: Time, schema: &Schema, scope: &str, lease: bool) -> Call {
        if scope.len() > NAME {
            return Call::Refused(Why::Name);
        }
        if let Some(held) = self.held.get_mut(scope) {
            held.called = now;
            return match self.acts(schema, scope, lease) {
                None => Call::Wait,
                Some(Acts { refused: true, .. }) => Call::Refused(Why::Changing),
                Some(Acts {
                    fields: Some(fields),
                    ..
                }) => Call::Acts(fields),
                Some(Acts { fields: None, .. }) => Call::Unknown,
            };
        }
        if let Some(wanted) = self.wanted.get_mut(scope) {
            wanted.called = now;
            return Call::Wait;
        }
        if !self.room() {
            return Call::Refused(Why::Full);
        }
        self.wanted.insert(
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
        Call::Wait
    }

    /// Makes room for one more, by what was called least recently.
    fn room(&mut self) -> bool {
        if self.held.len() + self.wanted.len() < self.bounds.held {
            return true;
        }
        let mut oldest: Vec<(Time, String)> = self
            .held
            .iter()
            .map(|(name, h)| (h.called, name.clone()))
            .collect();
        oldest.sort_unstable();
        oldest.truncate((self.bounds.held / ROOM).max(1));
        self.squeezed += oldest.len() as u64;
        oldest.iter().for_each(|(_, name)| self.let_go(name));
        !oldest.is_empty()
    }

    fn count(&mut self, scope: &str) {
        let number = number(scope);
        *self.numbers.entry(number).or_insert(0) += 1;
        self.drops.remove(&number);
    }

    /// Acts on it no more, and tells.
    fn let_go(&mut self, scope: &str) {
        let held = self.held.remove(scope).is_some();
        let sent = self.wanted.remove(scope).map(|w| w.since.is_some());
        if !held && sent.is_none() {
            return;
        }
        let number = number(scope);
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
        if self.drops.len() > DROPS {
            // All that is left is told instead.
            self.drops.clear();
            self.told = Told::No;
        }
    }

    /// Something is to be told.
    fn soon(&mut self, now: Time) {
        self.next = self.next.min(now.max(self.last + PACE));
    }

    /// Another root is seen: what it knows of this front end is asked for at once, if any root ever did.
    pub fn rooted(&mut self, now: Time) {
        if self.epoch > Epoch::default() {
            self.told = Told::No;
            self.unanswered = 0;
            self.soon(now);
        }
    }

    /// Its stay ran out: others may have gone on without it since. It lets go of all that it held, and what was asked before is not
    /// answered by what the root said then. Has to come before another stay is taken up.
    pub fn lapsed(&mut self, now: Time) {
        let held: Vec<String> = self.held.keys().cloned().collect();
        held.iter().for_each(|name| self.let_go(name));
        for w in self.wanted.values_mut() {
            (w.since, w.sent) = (None, Time::MIN);
        }
        if !held.is_empty() || !self.wanted.is_empty() {
            self.changes += 1;
            self.soon(now);
        }
    }

    /// What is acted on is at a later step. Has to come before anything is told of that step.
    pub fn follow(&mut self, now: Time, state: &State, schema: &Schema) {
        if state.step <= self.step {
            return;
        }
        let (before, known) = (self.step, state.moves.from());
        self.step = state.step;
        self.changes += 1;
        if state.scopes_since.is_some() && !self.began() {
            // No change goes on before all have said so.
            (self.began, self.told) = (true, Told::No);
            self.soon(now);
        }
        // What moved meanwhile is not known of these.
        let forgotten = |h: &Held| {
            let right_at = h.from.max(before);
            right_at < known && right_at < state.step
        };
        if before < known {
            let gone: Vec<String> = self
                .held
                .iter()
                .filter(|(_, h)| forgotten(h))
                .map(|(name, _)| name.clone())
                .collect();
            gone.iter().for_each(|name| self.let_go(name));
            if !gone.is_empty() {
                self.soon(now);
            }
        }
        for m in state.moves.since(before.max(known)).into_iter().flatten() {
            let held = self.held.get_mut(&m.scope).filter(|h| m.step > h.from);
            let wanted = self.wanted.get_mut(&m.scope);
            if held.is_none() && wanted.is_none() {
                continue;
            }
            let joint = m.to.strict(schema, &m.scope);
            if let Some(held) = held {
                held.scoped = m.to.clone();
            }
            if let Some(wanted) = wanted {
                wanted.joint = joint;
            }
            if joint {
                self.contested = self.contested.max(m.step);
            }
        }
    }

    /// Takes an answer. `state`: what is acted on.
    pub fn granted(&mut self, now: Time, reply: Reply, state: Option<&State>, schema: &Schema) {
        if let Some(state) = state {
            self.follow(now, state, schema);
        }
        if reply.to != self.me || reply.epoch < self.epoch {
            return;
        }
        if reply.epoch > self.epoch {
            // The root knows nothing of this front end, whatever else it says.
            (self.epoch, self.told, self.unanswered) = (reply.epoch, Told::No, 0);
            self.drops.clear();
            for w in self.wanted.values_mut() {
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
            let Some(wanted) = self.wanted.get_mut(&name) else {
                continue;
            };
            if wanted.since.is_none_or(|since| since > seq) {
                continue;
            }
            let mut held = Held {
                scoped: scoped.unwrap_or_default(),
                from: reply.at,
                called: wanted.called,
            };
            if reply.at < self.step {
                // What moved since has to be known.
                let known = state.filter(|s| s.step == self.step);
                let Some(moves) = known.and_then(|s| s.moves.since(reply.at)) else {
                    (wanted.since, wanted.sent) = (None, Time::MIN);
                    self.soon(now);
                    continue;
                };
                if let Some(m) = moves.filter(|m| m.scope == name).last() {
                    held.scoped = m.to.clone();
                }
                held.from = self.step;
            }
            if let (Some(since), true) = (
                held.scoped.standing.since(),
                held.scoped.strict(schema, &name),
            ) {
                self.contested = self.contested.max(since);
            }
            self.wanted.remove(&name);
            self.held.insert(name, held);
            self.changes += 1;
        }
    }

    /// What time brings: what was not called lately is let go; a letter, if one is to be sent. `stay`: whether its stay
    /// lives; without one nothing is asked for. `at`: the step that is acted on.
    pub fn tick(&mut self, now: Time, at: Step, stay: bool) -> Option<Want> {
        if now >= self.sweep {
            self.sweep = now + SWEEP;
            let idle = self
                .held
                .iter()
                .filter(|(_, h)| now.saturating_sub(h.called) >= self.bounds.idle);
            let uncalled = self
                .wanted
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
        if now < self.next {
            return None;
        }
        let nothing = self.told == Told::Yes && self.wanted.is_empty() && self.drops.is_empty();
        if nothing {
            self.next = Time::MAX;
            return None;
        }
        let (most, doublings) = (UNANSWERED.0, UNANSWERED.1);
        let wait = AGAIN << (self.unanswered / most).min(doublings);
        self.next = now + wait;
        stay.then(|| self.letter(now, at, wait))
    }

    fn letter(&mut self, now: Time, at: Step, wait: Time) -> Want {
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
                    .wanted
                    .iter()
                    .filter(|(_, w)| w.since.is_some())
                    .map(|(name, _)| name);
                let all: BTreeSet<u64> = self
                    .held
                    .keys()
                    .chain(asked)
                    .map(|name| number(name))
                    .collect();
                Some(all.into_iter().collect())
            }
        };
        let mut due: Vec<(Time, &String)> = self
            .wanted
            .iter()
            .filter(|(_, w)| w.sent.saturating_add(wait) <= now)
            .map(|(name, w)| (w.sent, name))
            .collect();
        due.sort_unstable();
        let more = due.len() > WANTS;
        due.truncate(WANTS);
        let scopes: Vec<String> = due.into_iter().map(|(_, name)| name.clone()).collect();
        for name in &scopes {
            if let Some(w) = self.wanted.get_mut(name) {
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
        Want {
            from: self.me,
            epoch: self.epoch,
            seq,
            at,
            scopes,
            drops,
            all,
        }
    }

    /// When [`Holding::tick`] has something to do.
    pub fn next(&self) -> Time {
        self.next.min(self.sweep)
    }
}
