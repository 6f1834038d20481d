//! Changes of functions one by one, at the root: requests are put together into few entries, and each scope goes on once those
//! that it waits for have come as far.

use crate::seat::{Asked, Keeper, Pending, Refusal, LOOK, PATIENCE};
use crate::{Command, Note};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use tansy_agreement::hold::{Reply, Want};
use tansy_agreement::lease::{Member, Time};
use tansy_agreement::log::{Applied, Entry, Log, Refused, State, Step};
use tansy_agreement::member::Front;
use tansy_agreement::rule::Schema;
use tansy_agreement::scope::{number, ScopeRequest, Standing, CHANGES, REQUEST};
use tansy_agreement::stay::{Heard, Register};

/// Requests that wait to be put into an entry ...
const ASKED: usize = 4096;
/// ... and bytes of these.
const ASKED_BYTES: usize = 32 << 20;
/// Time between two entries of the same sort.
const EVERY: Time = 100_000;
/// Bytes of scopes in one answer.
const ANSWER: usize = 1 << 20;
/// Functions of which it is told whom they wait for.
const TOLD: usize = 64;

/// Requests that wait, and since when changes go on.
#[derive(Default)]
pub(crate) struct Changes {
    asked: VecDeque<(u64, ScopeRequest)>,
    weight: usize,
    next_entry: Time,
    next_look: Time,
    /// When this root saw first that scopes are joint since a step.
    joint: BTreeMap<Step, Time>,
}

impl Changes {
    pub(crate) fn begin(&mut self) {
        *self = Changes::default();
    }

    /// It is the root no more, or takes no entry.
    pub(crate) fn end(&mut self, why: &Refusal, out: &mut Vec<Command>) {
        for (request, _) in self.asked.drain(..) {
            out.push(Command::Answer {
                request,
                outcome: Err(why.clone()),
            });
        }
        self.begin();
    }

    /// A request waits. False: too many do.
    pub(crate) fn ask(&mut self, number: u64, request: ScopeRequest) -> bool {
        let weight = request.weight();
        let room = self.asked.len() < ASKED && self.weight + weight <= ASKED_BYTES;
        if room {
            self.weight += weight;
            self.asked.push_back((number, request));
        }
        room
    }

    /// Puts what can go together into one entry, in the order of asking; answers what comes to nothing.
    fn gather(&mut self, log: &Log, out: &mut Vec<Command>) -> Option<Pending> {
        let mut requests: Vec<ScopeRequest> = Vec::new();
        let mut each = Vec::new();
        let mut taken: BTreeSet<String> = BTreeSet::new();
        let mut weight = 0;
        while let Some((number, request)) = self.asked.pop_front() {
            let mine = request.weight();
            let same = |r: &ScopeRequest| r.id == request.id && r.id != 0;
            let overlap = || request.changes.iter().find(|c| taken.contains(&c.scope));
            let mut answer = |outcome| {
                out.push(Command::Answer {
                    request: number,
                    outcome,
                })
            };
            if let Some(place) = requests.iter().position(same) {
                each.push((place, number));
            } else if let Some(c) = overlap() {
                answer(Err(Refusal::Log(Refused::ScopeBusy {
                    scope: c.scope.clone(),
                })));
            } else {
                match log.judge_request(&request) {
                    Ok(Some(step)) => answer(Ok(Applied::Changed {
                        step,
                        refused: Vec::new(),
                    })),
                    Err(why) => answer(Err(Refusal::Log(why))),
                    Ok(None) => {
                        let full = taken.len() + request.changes.len() > CHANGES
                            || weight + mine > REQUEST;
                        if full && !requests.is_empty() {
                            self.asked.push_front((number, request));
                            break;
                        }
                        weight += mine;
                        taken.extend(request.changes.iter().map(|c| c.scope.clone()));
                        each.push((requests.len(), number));
                        requests.push(request);
                    }
                }
            }
            self.weight -= mine;
        }
        let any = !requests.is_empty();
        any.then_some(Pending {
            entry: Entry::Change { requests },
            asked: Asked::Each(each),
        })
    }
}

/// Functions that change, and who of those that hold one is not known to have come as far.
pub(crate) fn scopes_wait(
    log: &Log,
    register: &Register,
    schema: &Schema,
) -> Vec<(String, Vec<Member>)> {
    let joint = log
        .catalog()
        .open()
        .filter(|(_, s)| s.next().is_some())
        .take(TOLD);
    let one = |(name, s): (&str, &tansy_agreement::scope::Scoped)| {
        let since = s.standing.since().filter(|_| s.strict(schema, name));
        let behind = since.map(|since| register.holders_behind(number(name), since).collect());
        (name.to_string(), behind.unwrap_or_default())
    };
    joint.map(one).collect()
}

impl Keeper {
    /// Whether there are scopes, or are about to be: then only those may act that know them.
    pub(crate) fn scoped(&self) -> bool {
        let changes = |p: &Pending| matches!(p.entry, Entry::Change { .. });
        self.log().is_some_and(|l| l.catalog().since().is_some())
            || self.waiting.iter().any(changes)
    }

    /// Takes what a front end wants and holds; the answer, if there is one.
    pub(crate) fn want(&mut self, want: &Want) -> Option<Reply> {
        let leaves =
            |p: &Pending| matches!(&p.entry, Entry::Leave { member } if *member == want.from);
        if self.waiting.iter().any(leaves) {
            return None;
        }
        let log = self.seats.log()?;
        let (to, at) = (want.from, log.state().step);
        match self.register.as_mut()?.want(want) {
            Heard::Stranger | Heard::Late => None,
            Heard::Untold(epoch) => Some(Reply {
                to,
                epoch,
                seq: None,
                at,
                scopes: Vec::new(),
            }),
            Heard::Taken => {
                let mut weight = 0;
                let known = want
                    .scopes
                    .iter()
                    .map(|name| (name.clone(), log.catalog().get(name).cloned()));
                let fits = |(name, scoped): &(String, Option<tansy_agreement::scope::Scoped>)| {
                    weight += name.len() + scoped.as_ref().map_or(8, |s| s.weight());
                    weight <= ANSWER
                };
                // What does not fit is asked for again.
                let scopes = known.take_while(fits).collect();
                Some(Reply {
                    to,
                    epoch: want.epoch,
                    seq: Some(want.seq),
                    at,
                    scopes,
                })
            }
        }
    }

    /// What one is told that has not said what it holds, while there are scopes.
    pub(crate) fn untold(&self, member: Member) -> Option<Reply> {
        let at = self
            .log()
            .filter(|l| l.catalog().since().is_some())?
            .state()
            .step;
        let epoch = self.register.as_ref()?.untold(member)?;
        Some(Reply {
            to: member,
            epoch,
            seq: None,
            at,
            scopes: Vec::new(),
        })
    }

    /// Goes on with changes of functions.
    pub(crate) fn change(
        &mut self,
        now: Time,
        front: &Front<State>,
        schema: &Schema,
        out: &mut Vec<Command>,
    ) {
        if self.broken.is_some() {
            return;
        }
        let waits = |sort: fn(&Entry) -> bool| self.waiting.iter().any(|p| sort(&p.entry));
        let changing = waits(|e| matches!(e, Entry::Change { .. }));
        let going_on = waits(|e| matches!(e, Entry::Carry { .. } | Entry::Return { .. }));
        if !changing && now >= self.changes.next_entry && !self.changes.asked.is_empty() {
            self.enter(now, out);
        }
        if !going_on && now >= self.changes.next_look {
            self.carry(now, front, schema, out);
        }
    }

    /// Enters requests.
    fn enter(&mut self, now: Time, out: &mut Vec<Command>) {
        let (Some(log), Some(register)) = (self.seats.log(), &self.register) else {
            return;
        };
        // Whoever does not know scopes would not wait for them: all have to before there are any.
        let none_yet = log.catalog().since().is_none();
        if none_yet
            && self
                .waiting
                .iter()
                .any(|p| matches!(p.entry, Entry::Join { .. }))
        {
            // What the one that joins knows is not known yet.
            return;
        }
        let unaware = register.unaware().filter(|_| none_yet);
        if let Some(member) = unaware {
            let name = log
                .roster()
                .find(|(m, _)| *m == member)
                .map_or(String::new(), |(_, name)| name.into());
            return self
                .changes
                .end(&Refusal::Log(Refused::OldProgram { name }), out);
        }
        if let Some(pending) = self.changes.gather(log, out) {
            self.changes.next_entry = now + EVERY;
            self.waiting.push_back(pending);
        }
    }

    /// Enters what scopes have come to.
    fn carry(&mut self, now: Time, front: &Front<State>, schema: &Schema, out: &mut Vec<Command>) {
        self.changes.next_look = now + LOOK;
        let (Some(log), Some(register)) = (self.seats.log(), &self.register) else {
            return;
        };
        let mut leases: BTreeMap<Step, bool> = BTreeMap::new();
        let (mut force, mut settled, mut back) = (Vec::new(), Vec::new(), Vec::new());
        let (mut behind, mut weight) = (BTreeSet::new(), 0);
        for (name, s) in log.catalog().open() {
            let Some(since) = s.standing.since() else {
                continue;
            };
            // Nobody with a live lease is behind this step.
            let reached = *leases
                .entry(since)
                .or_insert_with(|| front.reached_past(now, since));
            let scope = || (name.to_string(), since);
            if !matches!(s.standing, Standing::Joint { .. }) {
                settled.extend((reached && settled.len() < CHANGES).then(scope));
                continue;
            }
            let seen = *self.changes.joint.entry(since).or_insert(now);
            let holders = || register.holders_behind(number(name), since);
            // Looked up first, since most changes wait for no holder.
            let free = holders().next().is_none() || !s.strict(schema, name);
            if weight > REQUEST || force.len() + back.len() >= CHANGES {
                continue;
            } else if reached && free {
                force.push(scope());
            } else if now - seen >= PATIENCE {
                if behind.len() < TOLD {
                    behind.extend(holders().take(TOLD));
                }
                back.push(scope());
            } else {
                continue;
            }
            weight += name.len() + s.weight();
        }
        self.changes
            .joint
            .retain(|step, _| leases.contains_key(step));
        if !back.is_empty() {
            let scopes = back
                .iter()
                .take(TOLD)
                .map(|(name, _)| name.clone())
                .collect();
            let behind = behind.into_iter().take(TOLD).collect();
            out.push(Command::Note(Note::ScopesGivenUp { scopes, behind }));
            self.push(Entry::Return { scopes: back });
        }
        if !(force.is_empty() && settled.is_empty()) {
            self.push(Entry::Carry { force, settled });
            self.changes.next_look = now + EVERY;
        }
    }
}
