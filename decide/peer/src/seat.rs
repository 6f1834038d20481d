//! A seat's part: the log, held before it is told, and the steps that a change takes.

use crate::{Command, Note};
use std::collections::VecDeque;
use std::net::SocketAddr;
use tansy_agree::lease::{Member, Terms, Time};
use tansy_agree::log::{Applied, Entry, Log, Phase, Refused, State, Step};
use tansy_agree::member::Front;
use tansy_agree::rule::Schema;
use tansy_agree::stay::{self, Register};

/// Requests that wait for the disk.
const WAITING: usize = 64;
/// A change of strict fields that has gone joint, so that calls are refused for it, is given up after this time.
const PATIENCE: Time = 10_000_000;
/// How often it is looked at who has left the roster, and whether a change goes on.
const LOOK: Time = 50_000;

/// Why a request for an entry came to nothing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The log refuses it.
    Log(Refused),
    /// Another front end keeps the log.
    NotSeat {
        /// Where that is reached.
        seat: SocketAddr,
    },
    /// Too many requests wait.
    Busy,
    /// It can't be held.
    Disk(String),
}

impl std::fmt::Display for Refusal {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Refusal::Log(r) => write!(f, "{r}"),
            Refusal::NotSeat { seat } => write!(f, "this front end keeps no log: ask the seat at {seat}"),
            Refusal::Busy => write!(f, "{WAITING} requests wait for the seat's disk: try again later"),
            Refusal::Disk(why) => {
                write!(f, "the seat's disk does not take it: {why}; mend it and start the seat again")
            }
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
}

struct Pending {
    entry: Entry,
    request: Option<u64>,
}

pub(crate) struct Keeper {
    log: Log,
    register: Register,
    /// The first is with the disk, if `writing`.
    waiting: VecDeque<Pending>,
    writing: bool,
    broken: Option<String>,
    joint_since: Option<(Step, Time)>,
    next_look: Time,
}

impl Keeper {
    pub(crate) fn new(log: Log, terms: Terms, now: Time) -> Keeper {
        let register = Register::new(terms, log.roster().map(|(m, _)| m), now);
        Keeper {
            log,
            register,
            waiting: VecDeque::new(),
            writing: false,
            broken: None,
            joint_since: None,
            next_look: now,
        }
    }

    pub(crate) fn log(&self) -> &Log {
        &self.log
    }

    pub(crate) fn next(&self) -> Time {
        self.next_look
    }

    /// A stay for one that the roster lists; another is put on it first, and gets one when it asks again.
    pub(crate) fn stay(&mut self, now: Time, ask: stay::Ask, name: String) -> Option<stay::Grant> {
        if self.log.lists(ask.from) {
            // One about whom it is being written that it left gets none: it would not be waited for.
            let leaves = |p: &Pending| matches!(&p.entry, Entry::Leave { member } if *member == ask.from);
            let leaving = self.waiting.iter().any(leaves);
            return if leaving { None } else { self.register.grant(now, ask) };
        }
        let joins = |p: &Pending| matches!(&p.entry, Entry::Join { member, .. } if *member == ask.from);
        if self.broken.is_none() && !self.waiting.iter().any(joins) && self.waiting.len() < WAITING {
            self.waiting.push_back(Pending {
                entry: Entry::Join { member: ask.from, name, at: ask.at },
                request: None,
            });
        }
        None
    }

    /// Whether it may hold a stay already.
    pub(crate) fn hosts(&self, member: Member) -> bool {
        self.register.hosts(member)
    }

    /// It acts no more.
    pub(crate) fn gone(&mut self, member: Member) {
        if self.broken.is_none() && self.waiting.len() < WAITING {
            self.waiting.push_back(Pending { entry: Entry::Leave { member }, request: None });
        }
    }

    pub(crate) fn request(&mut self, request: u64, entry: Entry, out: &mut Vec<Command>) {
        let refusal = match &self.broken {
            Some(why) => Refusal::Disk(why.clone()),
            None if self.waiting.len() >= WAITING => Refusal::Busy,
            None => return self.waiting.push_back(Pending { entry, request: Some(request) }),
        };
        out.push(Command::Answer { request, outcome: Err(refusal) });
    }

    /// The first entry is held, or can't be. The state, if the fleet is to hear of another.
    pub(crate) fn held(
        &mut self,
        now: Time,
        done: Result<(), String>,
        out: &mut Vec<Command>,
    ) -> Option<State> {
        if !std::mem::take(&mut self.writing) {
            return None;
        }
        if let Err(why) = done {
            // What became of the entry is not known until the file is read again; nothing is told of it.
            for p in self.waiting.drain(..) {
                let outcome = Err(Refusal::Disk(why.clone()));
                out.extend(p.request.map(|request| Command::Answer { request, outcome }));
            }
            out.push(Command::Note(Note::Disk { why: why.clone() }));
            self.broken = Some(why);
            return None;
        }
        let p = self.waiting.pop_front()?;
        let before = self.log.state().step;
        let outcome = self.log.apply(p.entry.clone()).map_err(Refusal::Log);
        match p.entry {
            Entry::Leave { member } if !self.log.lists(member) => self.register.dismiss(member),
            Entry::Join { member, at, .. } if outcome.is_ok() => self.register.joined(now, member, at),
            _ => {}
        }
        out.extend(p.request.map(|request| Command::Answer { request, outcome }));
        let state = self.log.state();
        let joint = matches!(state.next, Some((_, Phase::Joint)));
        self.joint_since = joint.then_some((state.step, now)).map(|new| match self.joint_since {
            Some(old) if old.0 == new.0 => old,
            _ => new,
        });
        (state.step != before).then(|| state.clone())
    }

    /// Whether the change may take its next step.
    fn reached(&self, now: Time, front: &Front<State>, schema: &Schema) -> bool {
        let step = self.log.state().step;
        front.reached(now, step) && (!self.log.strict(schema) || self.register.reached(step))
    }

    pub(crate) fn waits(&self, now: Time, front: &Front<State>, schema: &Schema) -> Option<Waits> {
        let step = self.log.state().step;
        let strict = self.log.strict(schema);
        let stays = if strict { self.register.behind(step).collect() } else { Vec::new() };
        self.log.unsettled().then(|| Waits { leases: !front.reached(now, step), stays })
    }

    /// Enters what the time has come for, and hands the next entry to the disk.
    pub(crate) fn go_on(&mut self, now: Time, front: &Front<State>, schema: &Schema, out: &mut Vec<Command>) {
        let own = |entry| Pending { entry, request: None };
        if now >= self.next_look {
            self.next_look = now + LOOK;
            let out_of: Vec<Member> = self.register.out(now).collect();
            for member in out_of {
                if self.log.lists(member) && self.waiting.len() < WAITING {
                    let leaves = |p: &Pending| matches!(&p.entry, Entry::Leave { member: m } if *m == member);
                    if !self.waiting.iter().any(leaves) {
                        self.waiting.push_back(own(Entry::Leave { member }));
                    }
                } else if !self.log.lists(member) {
                    self.register.dismiss(member);
                }
            }
        }
        if self.waiting.is_empty() && self.broken.is_none() && self.log.unsettled() {
            let step = self.log.state().step;
            if self.reached(now, front, schema) {
                self.waiting.push_back(own(Entry::Advance { from: step }));
            } else if self.joint_since.is_some_and(|(s, t)| s == step && now - t >= PATIENCE) {
                let version = self.log.state().latest();
                let behind = self.register.behind(step).collect();
                out.push(Command::Note(Note::GivenUp { version: version.0, behind }));
                self.waiting.push_back(own(Entry::Abandon { version }));
            }
        }
        while !self.writing {
            let Some(p) = self.waiting.front() else { return };
            // What changes nothing needs no disk.
            match self.log.clone().apply(p.entry.clone()) {
                Ok(Applied::Again(v)) => {
                    let outcome = Ok(Applied::Again(v));
                    out.extend(p.request.map(|request| Command::Answer { request, outcome }));
                    self.waiting.pop_front();
                }
                Ok(_) => {
                    self.writing = true;
                    out.push(Command::Hold { entry: p.entry.clone() });
                }
                Err(e) => {
                    let outcome = Err(Refusal::Log(e));
                    out.extend(p.request.map(|request| Command::Answer { request, outcome }));
                    self.waiting.pop_front();
                }
            }
        }
    }
}
