//! A seat's part: the log that the seats agree on, and the steps that a change takes while this one is the root.

use crate::changes::{scopes_wait, PendingChanges};
use crate::{Command, FleetEvent};
use std::collections::VecDeque;
use std::net::SocketAddr;
use tansy_agreement::compatibility::Schema;
use tansy_agreement::lease::{LeaseTiming, Member, Time};
use tansy_agreement::lease_tree::LeaseNode;
use tansy_agreement::log::{
    ApplyOutcome, ChangePhase, EntryRejection, FleetState, Log, LogEntry, ReplacementPhase,
    Revision,
};
use tansy_agreement::session::{self, SessionTable};
use tansy_agreement::subscription::ResyncEpoch;
use tansy_consensus::{Effect, Replica};

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
pub enum RequestRejection {
    /// The log refuses it.
    Log(EntryRejection),
    /// Another front end leads.
    NotLeader {
        /// Where that is reached, as far as it is known.
        leader: SocketAddr,
    },
    /// Too many requests wait.
    Busy,
    /// It can't be held.
    Storage(String),
    /// Another front end leads by now: what became of it is not known here.
    LeadershipLost,
}

impl std::fmt::Display for RequestRejection {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            RequestRejection::Log(r) => write!(f, "{r}"),
            RequestRejection::NotLeader { leader: seat } => write!(f, "this front end does not lead the fleet: ask {seat}"),
            RequestRejection::Busy => write!(f, "{WAITING} requests wait: try again later"),
            RequestRejection::Storage(why) => {
                write!(f, "the seat's disk does not take it: {why}; mend it and start the seat again")
            }
            RequestRejection::LeadershipLost => write!(
                f,
                "another front end leads by now: ask again with the same id to learn what came of it"
            ),
        }
    }
}
impl std::error::Error for RequestRejection {}

/// What a change under way waits for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChangeBlockers {
    /// Some front end with a live lease is not known to have come as far.
    pub leases: bool,
    /// Those of the roster that are not; they matter where the change touches strict fields.
    pub sessions: Vec<Member>,
    /// Functions that change one by one, and who holds each and is not known to have come as far; nobody: leases alone.
    pub scopes: Vec<(String, Vec<Member>)>,
}

pub(crate) struct Pending {
    pub(crate) entry: LogEntry,
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
    pub(crate) fn answer(
        self,
        outcome: Result<ApplyOutcome, RequestRejection>,
        out: &mut Vec<Command>,
    ) {
        match self {
            Asked::None => {}
            Asked::One(request) => out.push(Command::Respond { request, outcome }),
            Asked::Each(all) => {
                for (place, request) in all {
                    let outcome = match &outcome {
                        Ok(ApplyOutcome::ScopesChanged {
                            revision: step,
                            rejected: refused,
                        }) => match refused.iter().find(|(n, _)| *n == place) {
                            Some((_, why)) => Err(RequestRejection::Log(why.clone())),
                            None => Ok(ApplyOutcome::ScopesChanged {
                                revision: *step,
                                rejected: Vec::new(),
                            }),
                        },
                        outcome => outcome.clone(),
                    };
                    out.push(Command::Respond { request, outcome });
                }
            }
        }
    }
}

pub(crate) struct ChangeController {
    pub(crate) seats: Replica,
    terms: LeaseTiming,
    /// While it is the root: those that may hold stays.
    pub(crate) register: Option<SessionTable>,
    /// The last epoch that a register of it began.
    epoch: ResyncEpoch,
    /// The first ones are proposed, as many as there are numbers.
    pub(crate) waiting: VecDeque<Pending>,
    proposed: VecDeque<u64>,
    pub(crate) broken: Option<String>,
    pub(crate) changes: PendingChanges,
    joint_since: Option<(Revision, Time)>,
    learns_since: Option<(u64, Time)>,
    next_look: Time,
}

impl ChangeController {
    pub(crate) fn new(seats: Replica, terms: LeaseTiming, now: Time) -> ChangeController {
        ChangeController {
            seats,
            terms,
            register: None,
            epoch: ResyncEpoch::default(),
            waiting: VecDeque::new(),
            proposed: VecDeque::new(),
            broken: None,
            changes: PendingChanges::default(),
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
        self.seats.leader_lease(now)
    }

    pub(crate) fn next(&self) -> Time {
        let look = if self.register.is_some() {
            self.next_look
        } else {
            Time::MAX
        };
        self.seats.next_deadline().min(look)
    }

    pub(crate) fn tick(&mut self, now: Time, out: &mut Vec<Command>) {
        let mut all = Vec::new();
        self.seats.tick(now, &mut all);
        self.take(now, all, out);
    }

    pub(crate) fn hear(&mut self, now: Time, from: u64, bytes: &[u8], out: &mut Vec<Command>) {
        let mut all = Vec::new();
        self.seats.on_message(from, bytes, &mut all);
        self.take(now, all, out);
    }

    /// The first record is held, or can't be.
    pub(crate) fn held(&mut self, now: Time, done: Result<(), String>, out: &mut Vec<Command>) {
        let mut all = Vec::new();
        self.seats.on_persisted(done.is_ok(), &mut all);
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
            p.asked
                .answer(Err(RequestRejection::Storage(why.clone())), out);
        }
        self.changes
            .end(&RequestRejection::Storage(why.clone()), out);
        self.proposed.clear();
        out.push(Command::Notify(FleetEvent::StorageFailed {
            cause: why.clone(),
        }));
        self.broken = Some(why);
    }

    fn take(&mut self, now: Time, all: Vec<Effect>, out: &mut Vec<Command>) {
        for o in all {
            match o {
                Effect::Send { to, bytes } => out.push(Command::SendToVoter { to, bytes }),
                Effect::Persist {
                    record,
                    snapshot: whole,
                } => out.push(Command::Persist {
                    record,
                    snapshot: whole,
                }),
                Effect::UnknownEntry => {
                    let why =
                        "the agreed log holds what a later program wrote: finish the update of the programs";
                    self.fail(why.to_string(), out);
                }
                Effect::Applied {
                    proposal: mine,
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
        entry: LogEntry,
        outcome: Result<ApplyOutcome, EntryRejection>,
        out: &mut Vec<Command>,
    ) {
        if let (Some(register), true) = (&mut self.register, outcome.is_ok()) {
            match entry {
                LogEntry::Leave { member } => register.remove(member),
                LogEntry::Join {
                    member,
                    revision: at,
                    ..
                } => register.on_join(now, member, at),
                _ => {}
            }
        }
        if mine.is_some() && mine == self.proposed.front().copied() {
            self.proposed.pop_front();
            if let Some(p) = self.waiting.pop_front() {
                p.asked.answer(outcome.map_err(RequestRejection::Log), out);
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
        self.epoch = self.epoch.next().max(ResyncEpoch { term, count: 1 });
        self.register = Some(SessionTable::begin(self.terms, roster, now, self.epoch));
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
            p.asked.answer(Err(RequestRejection::LeadershipLost), out);
        }
        self.changes.end(&RequestRejection::LeadershipLost, out);
    }

    /// A stay for one that the roster lists; another is put on it first, and gets one when it asks again.
    pub(crate) fn stay(
        &mut self,
        now: Time,
        ask: session::SessionRequest,
        name: String,
    ) -> Option<session::SessionGrant> {
        let scoped = self.scoped();
        let register = self.register.as_mut()?;
        let log = self.seats.log()?;
        // A program that does not know scopes would act on functions by the versions alone.
        if scoped && !ask.supports_scopes {
            return None;
        }
        if log.has_member(ask.from) {
            // One about whom it is being written that it left gets none: it would not be waited for.
            let leaves =
                |p: &Pending| matches!(&p.entry, LogEntry::Leave { member } if *member == ask.from);
            let leaving = self.waiting.iter().any(leaves);
            return if leaving {
                None
            } else {
                register.grant(now, ask)
            };
        }
        let joins =
            |p: &Pending| matches!(&p.entry, LogEntry::Join { member, .. } if *member == ask.from);
        if !self.waiting.iter().any(joins) {
            self.push(LogEntry::Join {
                member: ask.from,
                name,
                revision: ask.revision,
            });
        }
        None
    }

    /// Whether it may hold a stay already.
    pub(crate) fn hosts(&self, member: Member) -> bool {
        self.register.as_ref().is_some_and(|r| r.contains(member))
    }

    /// It acts no more.
    pub(crate) fn gone(&mut self, member: Member) {
        if self.register.is_some() && self.log().is_some_and(|l| l.has_member(member)) {
            self.push(LogEntry::Leave { member });
        }
    }

    pub(crate) fn push(&mut self, entry: LogEntry) {
        if self.broken.is_none() && self.waiting.len() < WAITING {
            self.waiting.push_back(Pending {
                entry,
                asked: Asked::None,
            });
        }
    }

    pub(crate) fn request(&mut self, request: u64, entry: LogEntry, out: &mut Vec<Command>) {
        let refusal = match &self.broken {
            Some(why) => RequestRejection::Storage(why.clone()),
            None if self.waiting.len() >= WAITING => RequestRejection::Busy,
            None => match entry {
                LogEntry::UpdateScopes {
                    transactions: mut requests,
                } if requests.len() == 1 => {
                    let all = requests.pop().map(|r| self.changes.ask(request, r));
                    match all {
                        Some(false) => RequestRejection::Busy,
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
        out.push(Command::Respond {
            request,
            outcome: Err(refusal),
        });
    }

    /// Whether the change may take its next step.
    fn reached(
        &self,
        now: Time,
        log: &Log,
        front: &LeaseNode<FleetState>,
        schema: &Schema,
    ) -> bool {
        let step = log.state().versions_revision;
        let stays = || self.register.as_ref().is_some_and(|r| r.all_at_least(step));
        front.all_past(now, step) && (!log.strict(schema) || stays())
    }

    pub(crate) fn waits(
        &self,
        now: Time,
        front: &LeaseNode<FleetState>,
        schema: &Schema,
    ) -> Option<ChangeBlockers> {
        let (log, register) = (self.seats.log()?, self.register.as_ref()?);
        let step = log.state().versions_revision;
        let stays = if log.strict(schema) {
            register.behind(step).collect()
        } else {
            Vec::new()
        };
        let scopes = scopes_wait(log, register, schema);
        let leases = log.has_open_changes() && !front.all_past(now, step);
        (log.has_open_changes() || !scopes.is_empty()).then_some(ChangeBlockers {
            leases,
            sessions: stays,
            scopes,
        })
    }

    /// Goes on with a seat's replacement: the new one learns the log, then both count, then the old one is out. Who is to
    /// go and leads hands over first.
    fn seat(&mut self, now: Time, out: &mut Vec<Command>) {
        let seating = self.seats.log().and_then(Log::voter_replacement);
        let Some(s) = seating.filter(|_| self.waiting.is_empty() && self.broken.is_none()) else {
            self.learns_since = self.learns_since.filter(|_| seating.is_some());
            return;
        };
        match s.phase {
            ReplacementPhase::Learning if self.seats.caught_up(s.new) => {
                self.push(LogEntry::EnterJointConsensus {
                    new: s.new,
                    replaced: s.replaced,
                });
            }
            ReplacementPhase::Learning => {
                let since = self
                    .learns_since
                    .filter(|l| l.0 == s.new)
                    .unwrap_or((s.new, now));
                self.learns_since = Some(since);
                if now - since.1 >= LEARNING {
                    out.push(Command::Notify(FleetEvent::VoterReplacementAbandoned {
                        new: s.new,
                    }));
                    self.push(LogEntry::CancelVoterReplacement { new: s.new });
                }
            }
            ReplacementPhase::JointConsensus if s.replaced == self.seats.id() => {
                let mut all = Vec::new();
                self.seats.transfer_leadership(s.new, &mut all);
                self.take(now, all, out);
            }
            ReplacementPhase::JointConsensus => {
                self.push(LogEntry::CompleteVoterReplacement { new: s.new })
            }
        }
    }

    /// Enters what the time has come for, and proposes the next entry; where it is the root.
    pub(crate) fn go_on(
        &mut self,
        now: Time,
        front: &LeaseNode<FleetState>,
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
                    .any(|p| matches!(&p.entry, LogEntry::Leave { member } if member == m))
            };
            let gone: Vec<Member> = register.expired(now).filter(|m| !leaves(m)).collect();
            gone.into_iter()
                .for_each(|member| self.push(LogEntry::Leave { member }));
        }
        let (Some(log), Some(register)) = (self.seats.log(), &self.register) else {
            return;
        };
        let state = log.state();
        let joint = matches!(state.next, Some((_, ChangePhase::Joint)));
        self.joint_since = match self.joint_since {
            Some(since) if joint && since.0 == state.versions_revision => Some(since),
            _ => joint.then_some((state.versions_revision, now)),
        };
        if self.waiting.is_empty() && self.broken.is_none() && log.has_open_changes() {
            let from = state.versions_revision;
            if self.reached(now, log, front, schema) {
                self.push(LogEntry::Advance { from });
            } else if self
                .joint_since
                .is_some_and(|(s, t)| s == from && now - t >= PATIENCE)
            {
                let version = state.latest();
                let behind = register.behind(from).collect();
                out.push(Command::Notify(FleetEvent::ChangeAbandoned {
                    version: version.0,
                    behind,
                }));
                self.push(LogEntry::Abandon { version });
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
            let roster =
                |p: &Pending| matches!(p.entry, LogEntry::Join { .. } | LogEntry::Leave { .. });
            if at > 0 && !(roster(p) && self.waiting.iter().take(at).all(roster)) {
                return;
            }
            // What changes nothing needs no word among the seats.
            let answer = match log.validate(&p.entry) {
                Ok(Some(v)) => Ok(ApplyOutcome::Duplicate(v)),
                Err(e) => Err(RequestRejection::Log(e)),
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
