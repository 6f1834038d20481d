//! A seat's part: the log that the seats agree on, and the steps that a change takes while this one is the root.

use crate::changes::{scopes_wait, Changes};
use crate::{Command, Note};
use std::collections::VecDeque;
use std::net::SocketAddr;
use tansy_agreement::hold::Epoch;
use tansy_agreement::lease::{Member, Terms, Time};
use tansy_agreement::log::{Applied, Entry, Hand, Log, Phase, Refused, State, Step};
use tansy_agreement::member::Front;
use tansy_agreement::rule::Schema;
use tansy_agreement::stay::{self, Register};
use tansy_consensus::{Out, Seats};

/// Requests that wait.
pub(crate) const WAITING: usize = 512;
/// A change of strict fields that has gone joint, so that calls are refused for it, is given up after this time.
pub(crate) const PATIENCE: Time = 10_000_000;
/// One that is to become a seat and has not learnt the log after this time does not become one.
const LEARNING: Time = 30_000_000;
/// How often it is looked at who has left the roster, and whether a change goes on.
pub(crate) const LOOK: Time = 50_000;

/// Why a request for an entry came to nothing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The log refuses it.
    Log(Refused),
    /// Another front end leads.
    NotSeat {
        /// Where that is reached, as far as it is known.
        seat: SocketAddr,
    },
    /// Too many requests wait.
    Busy,
    /// It can't be held.
    Disk(String),
    /// Another front end leads by now: what became of it is not known here.
    Lost,
}

impl std::fmt::Display for Refusal {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Refusal::Log(r) => write!(f, "{r}"),
            Refusal::NotSeat { seat } => write!(f, "this front end does not lead the fleet: ask {seat}"),
            Refusal::Busy => write!(f, "{WAITING} requests wait: try again later"),
            Refusal::Disk(why) => {
                write!(f, "the seat's disk does not take it: {why}; mend it and start the seat again")
            }
            Refusal::Lost => write!(
                f,
                "another front end leads by now: ask again with the same id to learn what came of it"
            ),
        }
    }
}
impl std::error::Error for Refusal {}

/// What a change under way waits for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Waits {
    /// Some front end with a live lease is not known to have come as far.
    pub leases: bool,
    /// Those of the roster that are not; they matter where the change touches strict fields.
    pub stays: Vec<Member>,
    /// Functions that change one by one, and who holds each and is not known to have come as far; nobody: leases alone.
    pub scopes: Vec<(String, Vec<Member>)>,
}

pub(crate) struct Pending {
    pub(crate) entry: Entry,
    /// Whom to answer.
    pub(crate) asked: Asked,
}

/// Who asked for an entry.
pub(crate) enum Asked {
    /// Nobody.
    None,
    /// The request of this number.
    One(u64),
    /// For each of its requests for functions, by its place: the request of this number.
    Each(Vec<(usize, u64)>),
}

impl Asked {
    /// Answers all of them.
    pub(crate) fn answer(self, outcome: Result<Applied, Refusal>, out: &mut Vec<Command>) {
        match self {
            Asked::None => {}
            Asked::One(request) => out.push(Command::Answer { request, outcome }),
            Asked::Each(all) => {
                for (place, request) in all {
                    let outcome = match &outcome {
                        Ok(Applied::Changed { step, refused }) => {
                            match refused.iter().find(|(n, _)| *n == place) {
                                Some((_, why)) => Err(Refusal::Log(why.clone())),
                                None => Ok(Applied::Changed {
                                    step: *step,
                                    refused: Vec::new(),
                                }),
                            }
                        }
                        outcome => outcome.clone(),
                    };
                    out.push(Command::Answer { request, outcome });
                }
            }
        }
    }
}

pub(crate) struct Keeper {
    pub(crate) seats: Seats,
    terms: Terms,
    /// While it is the root: those that may hold stays.
    pub(crate) register: Option<Register>,
    /// The last epoch that a register of it began.
    epoch: Epoch,
    /// The first ones are proposed, as many as there are numbers.
    pub(crate) waiting: VecDeque<Pending>,
    proposed: VecDeque<u64>,
    pub(crate) broken: Option<String>,
    pub(crate) changes: Changes,
    joint_since: Option<(Step, Time)>,
    learns_since: Option<(u64, Time)>,
    next_look: Time,
}

impl Keeper {
    pub(crate) fn new(seats: Seats, terms: Terms, now: Time) -> Keeper {
        Keeper {
            seats,
            terms,
            register: None,
            epoch: Epoch::default(),
            waiting: VecDeque::new(),
            proposed: VecDeque::new(),
            broken: None,
            changes: Changes::default(),
            joint_since: None,
            learns_since: None,
            next_look: now,
        }
    }

    /// The log, as far as it is known to be agreed on.
    pub(crate) fn log(&self) -> Option<&Log> {
        self.seats.log()
    }

    pub(crate) fn applied(&self) -> u64 {
        self.seats.applied()
    }

    /// Who leads, by the term of that.
    pub(crate) fn leader(&self) -> Option<(u64, u64)> {
        self.seats.leader()
    }

    /// Until when this seat is the fleet's root.
    pub(crate) fn right(&self, now: Time) -> Option<Time> {
        self.seats.right(now)
    }

    pub(crate) fn next(&self) -> Time {
        let look = if self.register.is_some() {
            self.next_look
        } else {
            Time::MAX
        };
        self.seats.next().min(look)
    }

    pub(crate) fn tick(&mut self, now: Time, out: &mut Vec<Command>) {
        let mut all = Vec::new();
        self.seats.tick(now, &mut all);
        self.take(now, all, out);
    }

    pub(crate) fn hear(&mut self, now: Time, from: u64, bytes: &[u8], out: &mut Vec<Command>) {
        let mut all = Vec::new();
        self.seats.hear(from, bytes, &mut all);
        self.take(now, all, out);
    }

    /// The first record is held, or can't be.
    pub(crate) fn held(&mut self, now: Time, done: Result<(), String>, out: &mut Vec<Command>) {
        let mut all = Vec::new();
        self.seats.held(done.is_ok(), &mut all);
        if let Err(why) = done {
            // What became of the record is not known until the file is read again; nothing is told of it.
            self.fail(why, out);
        }
        self.take(now, all, out);
    }

    /// It takes no entry from here on.
    fn fail(&mut self, why: String, out: &mut Vec<Command>) {
        if self.broken.is_some() {
            return;
        }
        for p in self.waiting.drain(..) {
            p.asked.answer(Err(Refusal::Disk(why.clone())), out);
        }
        self.changes.end(&Refusal::Disk(why.clone()), out);
        self.proposed.clear();
        out.push(Command::Note(Note::Disk { why: why.clone() }));
        self.broken = Some(why);
    }

    fn take(&mut self, now: Time, all: Vec<Out>, out: &mut Vec<Command>) {
        for o in all {
            match o {
                Out::Send { to, bytes } => out.push(Command::Seat { to, bytes }),
                Out::Hold { record, whole } => out.push(Command::Hold { record, whole }),
                Out::Strange => {
                    let why =
                        "the agreed log holds what a later program wrote: finish the update of the programs";
                    self.fail(why.to_string(), out);
                }
                Out::Applied {
                    mine,
                    entry,
                    outcome,
                } => self.applied_one(now, mine, entry, outcome, out),
            }
        }
    }

    fn applied_one(
        &mut self,
        now: Time,
        mine: Option<u64>,
        entry: Entry,
        outcome: Result<Applied, Refused>,
        out: &mut Vec<Command>,
    ) {
        if let (Some(register), true) = (&mut self.register, outcome.is_ok()) {
            match entry {
                Entry::Leave { member } => register.dismiss(member),
                Entry::Join { member, at, .. } => register.joined(now, member, at),
                _ => {}
            }
        }
        if mine.is_some() && mine == self.proposed.front().copied() {
            self.proposed.pop_front();
            if let Some(p) = self.waiting.pop_front() {
                p.asked.answer(outcome.map_err(Refusal::Log), out);
            }
        }
    }

    /// It is the root from now on: whoever is on the roster may hold a stay.
    pub(crate) fn begin(&mut self, now: Time) {
        let roster = self
            .seats
            .log()
            .into_iter()
            .flat_map(Log::roster)
            .map(|(m, _)| m);
        let term = self.seats.leader().map_or(0, |l| l.0);
        // Of an earlier process of this seat there was none in this term.
        self.epoch = self.epoch.next().max(Epoch { term, count: 1 });
        self.register = Some(Register::begin(self.terms, roster, now, self.epoch));
        self.changes.begin();
        (self.joint_since, self.learns_since, self.next_look) = (None, None, now);
    }

    /// It is the root no more.
    pub(crate) fn end(&mut self, out: &mut Vec<Command>) {
        if let Some(register) = self.register.take() {
            self.epoch = register.epoch();
        }
        self.proposed.clear();
        for p in self.waiting.drain(..) {
            p.asked.answer(Err(Refusal::Lost), out);
        }
        self.changes.end(&Refusal::Lost, out);
    }

    /// A stay for one that the roster lists; another is put on it first, and gets one when it asks again.
    pub(crate) fn stay(&mut self, now: Time, ask: stay::Ask, name: String) -> Option<stay::Grant> {
        let scoped = self.scoped();
        let register = self.register.as_mut()?;
        let log = self.seats.log()?;
        // A program that does not know scopes would act on functions by the versions alone.
        if scoped && !ask.scopes {
            return None;
        }
        if log.lists(ask.from) {
            // One about whom it is being written that it left gets none: it would not be waited for.
            let leaves =
                |p: &Pending| matches!(&p.entry, Entry::Leave { member } if *member == ask.from);
            let leaving = self.waiting.iter().any(leaves);
            return if leaving {
                None
            } else {
                register.grant(now, ask)
            };
        }
        let joins =
            |p: &Pending| matches!(&p.entry, Entry::Join { member, .. } if *member == ask.from);
        if !self.waiting.iter().any(joins) {
            self.push(Entry::Join {
                member: ask.from,
                name,
                at: ask.at,
            });
        }
        None
    }

    /// Whether it may hold a stay already.
    pub(crate) fn hosts(&self, member: Member) -> bool {
        self.register.as_ref().is_some_and(|r| r.hosts(member))
    }

    /// It acts no more.
    pub(crate) fn gone(&mut self, member: Member) {
        if self.register.is_some() && self.log().is_some_and(|l| l.lists(member)) {
            self.push(Entry::Leave { member });
        }
    }

    pub(crate) fn push(&mut self, entry: Entry) {
        if self.broken.is_none() && self.waiting.len() < WAITING {
            self.waiting.push_back(Pending {
                entry,
                asked: Asked::None,
            });
        }
    }

    pub(crate) fn request(&mut self, request: u64, entry: Entry, out: &mut Vec<Command>) {
        let refusal = match &self.broken {
            Some(why) => Refusal::Disk(why.clone()),
            None if self.waiting.len() >= WAITING => Refusal::Busy,
            None => match entry {
                Entry::Change { mut requests } if requests.len() == 1 => {
                    let all = requests.pop().map(|r| self.changes.ask(request, r));
                    match all {
                        Some(false) => Refusal::Busy,
                        _ => return,
                    }
                }
                entry => {
                    return self.waiting.push_back(Pending {
                        entry,
                        asked: Asked::One(request),
                    })
                }
            },
        };
        out.push(Command::Answer {
            request,
            outcome: Err(refusal),
        });
    }

    /// Whether the change may take its next step.
    fn reached(&self, now: Time, log: &Log, front: &Front<State>, schema: &Schema) -> bool {
        let step = log.state().versions_at;
        let stays = || self.register.as_ref().is_some_and(|r| r.reached(step));
        front.reached_past(now, step) && (!log.strict(schema) || stays())
    }

    pub(crate) fn waits(&self, now: Time, front: &Front<State>, schema: &Schema) -> Option<Waits> {
        let (log, register) = (self.seats.log()?, self.register.as_ref()?);
        let step = log.state().versions_at;
        let stays = if log.strict(schema) {
            register.behind(step).collect()
        } else {
            Vec::new()
        };
        let scopes = scopes_wait(log, register, schema);
        let leases = log.unsettled() && !front.reached_past(now, step);
        (log.unsettled() || !scopes.is_empty()).then_some(Waits {
            leases,
            stays,
            scopes,
        })
    }

    /// Goes on with a seat's replacement: the new one learns the log, then both count, then the old one is out. Who is to
    /// go and leads hands over first.
    fn seat(&mut self, now: Time, out: &mut Vec<Command>) {
        let seating = self.seats.log().and_then(Log::seating);
        let Some(s) = seating.filter(|_| self.waiting.is_empty() && self.broken.is_none()) else {
            self.learns_since = self.learns_since.filter(|_| seating.is_some());
            return;
        };
        match s.hand {
            Hand::Learning if self.seats.caught_up(s.new) => {
                self.push(Entry::Swap {
                    new: s.new,
                    instead: s.instead,
                });
            }
            Hand::Learning => {
                let since = self
                    .learns_since
                    .filter(|l| l.0 == s.new)
                    .unwrap_or((s.new, now));
                self.learns_since = Some(since);
                if now - since.1 >= LEARNING {
                    out.push(Command::Note(Note::NotSeated { new: s.new }));
                    self.push(Entry::Unseat { new: s.new });
                }
            }
            Hand::Both if s.instead == self.seats.me() => {
                let mut all = Vec::new();
                self.seats.hand_over(s.new, &mut all);
                self.take(now, all, out);
            }
            Hand::Both => self.push(Entry::Seated { new: s.new }),
        }
    }

    /// Enters what the time has come for, and proposes the next entry; where it is the root.
    pub(crate) fn go_on(
        &mut self,
        now: Time,
        front: &Front<State>,
        schema: &Schema,
        out: &mut Vec<Command>,
    ) {
        let Some(register) = &self.register else {
            return;
        };
        if now >= self.next_look {
            self.next_look = now + LOOK;
            let leaves = |m: &Member| {
                self.waiting
                    .iter()
                    .any(|p| matches!(&p.entry, Entry::Leave { member } if member == m))
            };
            let gone: Vec<Member> = register.out(now).filter(|m| !leaves(m)).collect();
            gone.into_iter()
                .for_each(|member| self.push(Entry::Leave { member }));
        }
        let (Some(log), Some(register)) = (self.seats.log(), &self.register) else {
            return;
        };
        let state = log.state();
        let joint = matches!(state.next, Some((_, Phase::Joint)));
        self.joint_since = match self.joint_since {
            Some(since) if joint && since.0 == state.versions_at => Some(since),
            _ => joint.then_some((state.versions_at, now)),
        };
        if self.waiting.is_empty() && self.broken.is_none() && log.unsettled() {
            let from = state.versions_at;
            if self.reached(now, log, front, schema) {
                self.push(Entry::Advance { from });
            } else if self
                .joint_since
                .is_some_and(|(s, t)| s == from && now - t >= PATIENCE)
            {
                let version = state.latest();
                let behind = register.behind(from).collect();
                out.push(Command::Note(Note::GivenUp {
                    version: version.0,
                    behind,
                }));
                self.push(Entry::Abandon { version });
            }
        }
        self.seat(now, out);
        self.change(now, front, schema, out);
        loop {
            // Those who come and go don't wait for each other: 300 that start at once are on the roster together. All else
            // is judged by a log in which everything before it is applied.
            let at = self.proposed.len();
            let (Some(p), Some(log)) = (self.waiting.get(at), self.seats.log()) else {
                return;
            };
            let roster = |p: &Pending| matches!(p.entry, Entry::Join { .. } | Entry::Leave { .. });
            if at > 0 && !(roster(p) && self.waiting.iter().take(at).all(roster)) {
                return;
            }
            // What changes nothing needs no word among the seats.
            let answer = match log.judge(&p.entry) {
                Ok(Some(v)) => Ok(Applied::Again(v)),
                Err(e) => Err(Refusal::Log(e)),
                Ok(None) => {
                    let (entry, mut all) = (p.entry.clone(), Vec::new());
                    let Some(number) = self.seats.propose(entry, &mut all) else {
                        return;
                    };
                    self.proposed.push_back(number);
                    self.take(now, all, out);
                    continue;
                }
            };
            if let Some(p) = self.waiting.remove(at) {
                p.asked.answer(answer, out);
            }
        }
    }
}
