//! Changes of functions one by one, at the root: requests are put together into few entries, and each scope goes on once those
//! that it waits for have come as far.

use crate::seat::{Asked, ChangeController, Pending, RequestRejection, LOOK, PATIENCE};
use crate::{Command, FleetEvent};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use tansy_agreement::compatibility::Schema;
use tansy_agreement::lease::{Member, Time};
use tansy_agreement::lease_tree::LeaseNode;
use tansy_agreement::log::{ApplyOutcome, EntryRejection, FleetState, Log, LogEntry, Revision};
use tansy_agreement::scope::{
    scope_number, ScopePhase, ScopeTransaction, MAX_TRANSACTION_BYTES, MAX_UPDATES_PER_TRANSACTION,
};
use tansy_agreement::session::{SessionTable, SubscribeOutcome};
use tansy_agreement::subscription::{SubscribeReply, SubscribeRequest};

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
pub(crate) struct PendingChanges {
    asked: VecDeque<(u64, ScopeTransaction)>,
    weight: usize,
    next_entry: Time,
    next_look: Time,
    /// When this root saw first that scopes are joint since a step.
    joint: BTreeMap<Revision, Time>,
}

impl PendingChanges {
    pub(crate) fn begin(&mut self) {
        *self = PendingChanges::default();
    }

    /// It is the root no more, or takes no entry.
    pub(crate) fn end(&mut self, why: &RequestRejection, out: &mut Vec<Command>) {
        for (request, _) in self.asked.drain(..) {
            out.push(Command::Respond {
                request,
                outcome: Err(why.clone()),
            });
        }
        self.begin();
    }

    /// A request waits. False: too many do.
    pub(crate) fn ask(&mut self, number: u64, request: ScopeTransaction) -> bool {
        let weight = request.encoded_len();
        let room = self.asked.len() < ASKED && self.weight + weight <= ASKED_BYTES;
        if room {
            self.weight += weight;
            self.asked.push_back((number, request));
        }
        room
    }

    /// Puts what can go together into one entry, in the order of asking; answers what comes to nothing.
    fn gather(&mut self, log: &Log, out: &mut Vec<Command>) -> Option<Pending> {
        let mut requests: Vec<ScopeTransaction> = Vec::new();
        let mut each = Vec::new();
        let mut taken: BTreeSet<String> = BTreeSet::new();
        let mut weight = 0;
        while let Some((number, request)) = self.asked.pop_front() {
            let mine = request.encoded_len();
            let same = |r: &ScopeTransaction| r.id == request.id && r.id != 0;
            let overlap = || request.updates.iter().find(|c| taken.contains(&c.scope));
            let mut answer = |outcome| {
                out.push(Command::Respond {
                    request: number,
                    outcome,
                })
            };
            if let Some(place) = requests.iter().position(same) {
                each.push((place, number));
            } else if let Some(c) = overlap() {
                answer(Err(RequestRejection::Log(
                    EntryRejection::ScopeChangeInProgress {
                        scope: c.scope.clone(),
                    },
                )));
            } else {
                match log.validate_transaction(&request) {
                    Ok(Some(step)) => answer(Ok(ApplyOutcome::ScopesChanged {
                        revision: step,
                        rejected: Vec::new(),
                    })),
                    Err(why) => answer(Err(RequestRejection::Log(why))),
                    Ok(None) => {
                        let full = taken.len() + request.updates.len()
                            > MAX_UPDATES_PER_TRANSACTION
                            || weight + mine > MAX_TRANSACTION_BYTES;
                        if full && !requests.is_empty() {
                            self.asked.push_front((number, request));
                            break;
                        }
                        weight += mine;
                        taken.extend(request.updates.iter().map(|c| c.scope.clone()));
                        each.push((requests.len(), number));
                        requests.push(request);
                    }
                }
            }
            self.weight -= mine;
        }
        let any = !requests.is_empty();
        any.then_some(Pending {
            entry: LogEntry::UpdateScopes {
                transactions: requests,
            },
            asked: Asked::Each(each),
        })
    }
}

/// Functions that change, and who of those that hold one is not known to have come as far.
pub(crate) fn scopes_wait(
    log: &Log,
    register: &SessionTable,
    schema: &Schema,
) -> Vec<(String, Vec<Member>)> {
    let joint = log
        .catalog()
        .open()
        .filter(|(_, s)| s.next().is_some())
        .take(TOLD);
    let one = |(name, s): (&str, &tansy_agreement::scope::ScopeRecord)| {
        let since = s.phase.since().filter(|_| s.strict(schema, name));
        let behind = since.map(|since| {
            register
                .subscribers_behind(scope_number(name), since)
                .collect()
        });
        (name.to_string(), behind.unwrap_or_default())
    };
    joint.map(one).collect()
}

impl ChangeController {
    /// Whether there are scopes, or are about to be: then only those may act that know them.
    pub(crate) fn scoped(&self) -> bool {
        let changes = |p: &Pending| matches!(p.entry, LogEntry::UpdateScopes { .. });
        self.log().is_some_and(|l| l.catalog().since().is_some())
            || self.waiting.iter().any(changes)
    }

    /// Takes what a front end wants and holds; the answer, if there is one.
    pub(crate) fn want(&mut self, want: &SubscribeRequest) -> Option<SubscribeReply> {
        let leaves =
            |p: &Pending| matches!(&p.entry, LogEntry::Leave { member } if *member == want.from);
        if self.waiting.iter().any(leaves) {
            return None;
        }
        let log = self.seats.log()?;
        let (to, at) = (want.from, log.state().revision);
        match self.register.as_mut()?.on_subscribe(want) {
            SubscribeOutcome::Stranger | SubscribeOutcome::Late => None,
            SubscribeOutcome::Untold(epoch) => Some(SubscribeReply {
                to,
                epoch,
                seq: None,
                revision: at,
                scopes: Vec::new(),
            }),
            SubscribeOutcome::Taken => {
                let mut weight = 0;
                let known = want
                    .scopes
                    .iter()
                    .map(|name| (name.clone(), log.catalog().get(name).cloned()));
                let fits =
                    |(name, scoped): &(String, Option<tansy_agreement::scope::ScopeRecord>)| {
                        weight += name.len() + scoped.as_ref().map_or(8, |s| s.memory_bytes());
                        weight <= ANSWER
                    };
                // What does not fit is asked for again.
                let scopes = known.take_while(fits).collect();
                Some(SubscribeReply {
                    to,
                    epoch: want.epoch,
                    seq: Some(want.seq),
                    revision: at,
                    scopes,
                })
            }
        }
    }

    /// What one is told that has not said what it holds, while there are scopes.
    pub(crate) fn untold(&self, member: Member) -> Option<SubscribeReply> {
        let at = self
            .log()
            .filter(|l| l.catalog().since().is_some())?
            .state()
            .revision;
        let epoch = self.register.as_ref()?.awaiting_resync(member)?;
        Some(SubscribeReply {
            to: member,
            epoch,
            seq: None,
            revision: at,
            scopes: Vec::new(),
        })
    }

    /// Goes on with changes of functions.
    pub(crate) fn change(
        &mut self,
        now: Time,
        front: &LeaseNode<FleetState>,
        schema: &Schema,
        out: &mut Vec<Command>,
    ) {
        if self.broken.is_some() {
            return;
        }
        let waits = |sort: fn(&LogEntry) -> bool| self.waiting.iter().any(|p| sort(&p.entry));
        let changing = waits(|e| matches!(e, LogEntry::UpdateScopes { .. }));
        let going_on = waits(|e| {
            matches!(
                e,
                LogEntry::AdvanceScopes { .. } | LogEntry::RevertScopes { .. }
            )
        });
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
                .any(|p| matches!(p.entry, LogEntry::Join { .. }))
        {
            // What the one that joins knows is not known yet.
            return;
        }
        let unaware = register.without_scope_support().filter(|_| none_yet);
        if let Some(member) = unaware {
            let name = log
                .roster()
                .find(|(m, _)| *m == member)
                .map_or(String::new(), |(_, name)| name.into());
            return self.changes.end(
                &RequestRejection::Log(EntryRejection::UnsupportedByMember { name }),
                out,
            );
        }
        if let Some(pending) = self.changes.gather(log, out) {
            self.changes.next_entry = now + EVERY;
            self.waiting.push_back(pending);
        }
    }

    /// Enters what scopes have come to.
    fn carry(
        &mut self,
        now: Time,
        front: &LeaseNode<FleetState>,
        schema: &Schema,
        out: &mut Vec<Command>,
    ) {
        self.changes.next_look = now + LOOK;
        let (Some(log), Some(register)) = (self.seats.log(), &self.register) else {
            return;
        };
        let mut leases: BTreeMap<Revision, bool> = BTreeMap::new();
        let (mut force, mut settled, mut back) = (Vec::new(), Vec::new(), Vec::new());
        let (mut behind, mut weight) = (BTreeSet::new(), 0);
        for (name, s) in log.catalog().open() {
            let Some(since) = s.phase.since() else {
                continue;
            };
            // Nobody with a live lease is behind this step.
            let reached = *leases
                .entry(since)
                .or_insert_with(|| front.all_past(now, since));
            let scope = || (name.to_string(), since);
            if !matches!(s.phase, ScopePhase::Joint { .. }) {
                settled
                    .extend((reached && settled.len() < MAX_UPDATES_PER_TRANSACTION).then(scope));
                continue;
            }
            let seen = *self.changes.joint.entry(since).or_insert(now);
            let holders = || register.subscribers_behind(scope_number(name), since);
            // Looked up first, since most changes wait for no holder.
            let free = holders().next().is_none() || !s.strict(schema, name);
            if weight > MAX_TRANSACTION_BYTES
                || force.len() + back.len() >= MAX_UPDATES_PER_TRANSACTION
            {
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
            weight += name.len() + s.memory_bytes();
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
            out.push(Command::Notify(FleetEvent::ScopeChangesAbandoned {
                scopes,
                behind,
            }));
            self.push(LogEntry::RevertScopes { scopes: back });
        }
        if !(force.is_empty() && settled.is_empty()) {
            self.push(LogEntry::AdvanceScopes {
                in_force: force,
                settled,
            });
            self.changes.next_look = now + EVERY;
        }
    }
}
