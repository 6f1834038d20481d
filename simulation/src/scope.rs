//! Settings of functions by scope in a fleet that is played: who calls and changes what, and the audit of it.
//!
//! Each front end is judged against the agreed catalog, at every step of either. Under a lease it acts on the scope as it
//! stands, or as it stood one move before while that move is not settled; under its stay alone on nothing that contradicts
//! what is in force. Two front ends that both do so never differ in a strict field.

use crate::fault::{Time, SECOND};
use crate::fleet::{Event, PlantedDefect, Simulation};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use tansy_agreement::compatibility::{contradictions, EffectiveRules, Fields, Schema, Value};
use tansy_agreement::lease::Member;
use tansy_agreement::log::{ApplyOutcome, Log, LogEntry, Revision};
use tansy_agreement::scope::{
    qualified_fields, EffectiveSettings, ScopeCatalog, ScopeChange, ScopePhase, ScopeRecord,
    ScopeTransaction, ScopeUpdate,
};
use tansy_agreement::subscription::{ResyncEpoch, SubscribeRequest, IDLE_TIMEOUT};
use tansy_fleet_node::{Command, FleetEvent, FleetNode, Leader, MessageBody};
use tansy_membership::NodeId;

/// Calls a front end makes in a second.
const CALLS: i64 = 3;
/// Changes asked for in a run.
const CHANGES: usize = 40;

/// A scope as it is agreed on, and what may be acted on under a lease.
#[derive(Default)]
struct Stood {
    to: ScopeRecord,
    may: Vec<EffectiveSettings>,
}

/// What a front end was judged by last.
type Judged = (u64, u64, u64, bool, bool);

pub(crate) struct Scopes {
    pub(crate) rng: fastrand::Rng,
    pub(crate) names: Vec<String>,
    /// Those that each front end ever called.
    called: Vec<BTreeSet<usize>>,
    all: BTreeMap<String, Stood>,
    unsettled: BTreeSet<String>,
    step: Revision,
    /// Counts up with each move and settling.
    round: u64,
    judged: Vec<Option<Judged>>,
    /// By the number of entries.
    catalogs: BTreeMap<u64, ScopeCatalog>,
    /// Whether the catalogs of seats are held against each other, and changes have to end.
    compares: bool,
    asked: BTreeMap<u64, ScopeTransaction>,
    /// Requests that were answered well, with their step.
    taken: BTreeMap<u64, Revision>,
    /// Changes that went joint, by scope and the number that stands in their fields.
    joint: BTreeSet<(String, Option<i64>, Revision)>,
    pub(crate) in_force: u64,
    pub(crate) back: u64,
    /// Moves that the model has not looked at yet: step, number of the change, in force or back.
    pub(crate) ends: Vec<(Revision, Option<i64>, bool)>,
    /// Changes that came in force in these steps, but not everywhere yet, and one that was found behind.
    waiting: VecDeque<(Revision, usize)>,
    lags: usize,
    /// Drops that the root heard, by front end; for a mistake.
    drops: BTreeMap<Member, BTreeSet<u64>>,
}

/// The number of a change, which stands in its fields.
fn mark(fields: &Option<Fields>) -> Option<i64> {
    match fields.as_ref()?.get("memory")? {
        Value::Bytes(n) => Some(*n),
        _ => None,
    }
}

pub(crate) fn fields(class: &str, lanes: Option<i64>, number: i64) -> Fields {
    let all = [
        ("class", Value::Text(class.into())),
        ("memory", Value::Bytes(number)),
    ];
    let lanes = lanes.map(|n| ("lanes", Value::Int(n)));
    all.into_iter()
        .chain(lanes)
        .map(|(k, v)| (k.to_string(), v))
        .collect()
}

impl Scopes {
    pub(crate) fn new(scopes: usize, fronts: usize, seed: u64, compares: bool) -> Scopes {
        Scopes {
            rng: fastrand::Rng::with_seed(seed ^ 0x5c09e),
            names: (0..scopes).map(|n| format!("s{n:06}")).collect(),
            called: vec![BTreeSet::new(); fronts],
            all: BTreeMap::new(),
            unsettled: BTreeSet::new(),
            step: Revision(0),
            round: 0,
            judged: vec![None; fronts],
            catalogs: BTreeMap::new(),
            compares,
            asked: BTreeMap::new(),
            taken: BTreeMap::new(),
            joint: BTreeSet::new(),
            in_force: 0,
            back: 0,
            ends: Vec::new(),
            waiting: VecDeque::new(),
            lags: 0,
            drops: BTreeMap::new(),
        }
    }

    /// One of few that are called much, of all.
    pub(crate) fn skewed(&mut self) -> usize {
        let at = self.rng.f64().powi(3) * self.names.len() as f64;
        (at as usize).min(self.names.len().saturating_sub(1))
    }

    /// Those that are not there.
    pub(crate) fn missing(&self) -> impl Iterator<Item = String> + '_ {
        let there = |n: &&String| self.all.get(*n).is_some_and(|s| s.to.fields.is_some());
        self.names.iter().filter(move |n| !there(n)).cloned()
    }

    /// Whether no change goes on.
    pub(crate) fn settled(&self) -> bool {
        self.unsettled.is_empty()
    }

    /// A scope's name, and how it stands.
    pub(crate) fn known(&self, n: usize) -> Option<(String, ScopeRecord)> {
        let name = self.names.get(n)?;
        Some((
            name.clone(),
            self.all.get(name).map(|s| s.to.clone()).unwrap_or_default(),
        ))
    }

    /// The class in force of a scope.
    pub(crate) fn class(&self, scope: &str) -> String {
        match self
            .all
            .get(scope)
            .and_then(|s| s.to.fields.as_ref()?.get("class"))
        {
            Some(Value::Text(class)) => class.clone(),
            _ => "chat".into(),
        }
    }

    pub(crate) fn calls(&mut self, who: usize, scope: usize) -> String {
        self.called[who].insert(scope);
        self.names[scope].clone()
    }

    /// One of the functions that a front end drawn alike of these was called for.
    pub(crate) fn one_of_called(&mut self, of: &[usize]) -> Option<usize> {
        let called = of
            .get(self.rng.usize(0..of.len().max(1)))
            .map(|who| &self.called[*who])?;
        called
            .iter()
            .nth(self.rng.usize(0..called.len().max(1)))
            .copied()
    }

    /// Whether one of these was called for it.
    pub(crate) fn is_called(&self, by: &[usize], scope: usize) -> bool {
        by.iter().any(|who| self.called[*who].contains(&scope))
    }

    /// All seats have one catalog after as many entries.
    fn compare(&mut self, applied: u64, log: &Log) -> Option<String> {
        let known = self
            .catalogs
            .entry(applied)
            .or_insert_with(|| log.catalog().clone());
        (known != log.catalog()).then(|| format!("has another catalog after {applied} entries"))
    }

    /// Follows what is agreed on. Whether anything moved, and what is wrong.
    fn moved(&mut self, log: &Log, schema: &Schema) -> (bool, Vec<String>) {
        let (mut wrong, before) = (Vec::new(), self.round);
        let state = log.state();
        let Some(moves) = state.history.since(self.step) else {
            wrong.push(format!("has forgotten moves since step {}", self.step.0));
            return (false, wrong);
        };
        for m in moves {
            let stood = self.all.entry(m.scope.clone()).or_default();
            let was = std::mem::replace(&mut stood.to, m.record.clone());
            stood.may = vec![
                was.effective(schema, &m.scope),
                m.record.effective(schema, &m.scope),
            ];
            self.round += 1;
            self.unsettled.insert(m.scope.clone());
            let open = was.next().cloned();
            match &m.record.phase {
                ScopePhase::Joint { next, since } => {
                    let number = mark(next);
                    if open.is_some() || was.fields != m.record.fields {
                        wrong.push(format!(
                            "{} went joint in step {} out of turn",
                            m.scope, since.0
                        ));
                    }
                    let twice = self
                        .joint
                        .iter()
                        .any(|(s, n, _)| *s == m.scope && n.is_some() && *n == number);
                    if twice {
                        wrong.push(format!("{}: change {number:?} went joint twice", m.scope));
                    }
                    self.joint.insert((m.scope.clone(), number, *since));
                }
                ScopePhase::Settling { .. } => {
                    if open.as_ref() != Some(&m.record.fields) {
                        wrong.push(format!(
                            "{} came in force in step {} not from a change",
                            m.scope, m.revision.0
                        ));
                    }
                    self.in_force += 1;
                    self.ends.push((m.revision, mark(&m.record.fields), true));
                }
                ScopePhase::Reverting { .. } => {
                    if open.is_none() || was.fields != m.record.fields {
                        wrong.push(format!(
                            "{} went back in step {} not from a change",
                            m.scope, m.revision.0
                        ));
                    }
                    self.back += 1;
                    self.ends
                        .push((m.revision, open.as_ref().and_then(mark), false));
                }
                ScopePhase::Settled => wrong.push(format!("{} moved to settled", m.scope)),
            }
        }
        self.step = state.revision;
        let over = |name: &String| {
            log.catalog()
                .get(name)
                .is_none_or(|s| s.phase == ScopePhase::Settled)
        };
        let settled: Vec<String> = self.unsettled.iter().filter(|n| over(n)).cloned().collect();
        for name in settled {
            self.unsettled.remove(&name);
            self.round += 1;
            let Some(stood) = self.all.get_mut(&name) else {
                continue;
            };
            let there = log.catalog().get(&name).cloned().unwrap_or_default();
            if there.fields != stood.to.fields {
                wrong.push(format!("{name} is settled as what it was not"));
            }
            stood.may = vec![there.effective(schema, &name)];
            stood.to = there;
        }
        (self.round > before, wrong)
    }

    /// What is wrong with what a front end acts on.
    fn wrong(
        &self,
        schema: &Schema,
        scope: &str,
        acts: &EffectiveSettings,
        lease: bool,
    ) -> Option<String> {
        let none = Stood {
            to: ScopeRecord::default(),
            may: vec![EffectiveSettings::default()],
        };
        let stood = self.all.get(scope).unwrap_or(&none);
        let told = |why: &str| {
            Some(format!(
                "{scope}: acts on {acts:?}, {why}, agreed is {:?}",
                stood.to
            ))
        };
        if lease && !stood.may.contains(acts) {
            return told("with a lease");
        }
        if acts.rejected {
            return None;
        }
        match (&stood.to.fields, &acts.fields) {
            (Some(force), Some(mine)) => {
                let wrong = contradictions(
                    schema,
                    &qualified_fields(scope, force),
                    &EffectiveRules::from_fields(&qualified_fields(scope, mine)),
                );
                wrong.first().and_then(|(path, _)| told(path))
            }
            (None, None) => None,
            _ => told("which is there or not"),
        }
    }

    /// What never came to an end.
    fn close(&self, log: &Log) -> Vec<String> {
        let open = log
            .catalog()
            .open()
            .map(|(name, s)| format!("has {name} never ended: {:?}", s.phase));
        let lost = |(id, step): (&u64, &Revision)| match log.catalog().transaction_result(*id) {
            None => Some(format!("lost request {id} of step {}", step.0)),
            Some(r) if r.revision != *step => Some(format!(
                "has request {id} in step {}, was {}",
                r.revision.0, step.0
            )),
            Some(r) if r.joint > 0 => Some(format!("has request {id} open still")),
            Some(_) => None,
        };
        open.chain(self.taken.iter().filter_map(lost)).collect()
    }
}

impl Simulation<'_> {
    /// Plans calls and changes.
    pub(crate) fn scopes_begin(&mut self) {
        let Some(mut s) = self.scopes.take() else {
            return;
        };
        let end = self.options.faults_until + self.options.calm;
        for who in 0..self.options.front_ends {
            for _ in 0..end / SECOND * CALLS {
                let at = s.rng.i64(SECOND..end);
                self.schedule(
                    at,
                    Event::Request {
                        process: who,
                        expire: s.rng.u32(0..3) == 0,
                    },
                );
            }
        }
        for _ in 0..CHANGES {
            let at = s.rng.i64(2 * SECOND..self.options.faults_until);
            self.schedule(at, Event::ChangeScopes { again: None });
        }
        self.scopes = Some(s);
    }

    /// A front end is called. To forget: it is as if the last call of this scope were long ago.
    pub(crate) fn scope_call(&mut self, who: usize, forget: bool) {
        let Some(s) = &mut self.scopes else { return };
        let scope = s.rng.usize(0..s.names.len().max(1));
        let name = s.calls(who, scope);
        self.step_node(who, |p, now, out| {
            if !forget {
                p.admit(now, &name, out);
            } else if p.effective_settings(now, &name).is_some() {
                p.admit(now - IDLE_TIMEOUT, &name, out);
            }
        });
    }

    /// An operator changes one to three scopes, or asks again for what was asked before.
    pub(crate) fn scope_change(&mut self, again: Option<u64>) {
        let Some((root, _)) = self.leader() else {
            return;
        };
        let Some(s) = &mut self.scopes else { return };
        let request = again
            .and_then(|id| s.asked.get(&id).cloned())
            .unwrap_or_else(|| {
                let id = s.asked.len() as u64 + 1;
                let mut names = s.names.clone();
                s.rng.shuffle(&mut names);
                names.truncate(s.rng.usize(1..4));
                let changes = names.into_iter().enumerate().map(|(n, scope)| {
                    let known = s.all.get(&scope).map(|k| k.to.clone()).unwrap_or_default();
                    let gone = known.fields.is_some() && s.rng.u32(0..6) == 0;
                    let class = ["chat", "pay", "batch"][s.rng.usize(0..3)];
                    let lanes = (s.rng.u32(0..3) > 0).then(|| s.rng.i64(2..20));
                    let next = fields(class, lanes, (id * 4) as i64 + n as i64);
                    let stale = s.rng.u32(0..20) == 0;
                    let base = if stale { Revision(1) } else { known.revision };
                    ScopeUpdate {
                        scope,
                        base,
                        fields: (!gone).then_some(next),
                    }
                });
                let changes = changes.collect();
                ScopeTransaction {
                    id,
                    updates: changes,
                    reason: "a change".into(),
                }
            });
        let id = request.id;
        if s.asked.insert(id, request.clone()).is_none() && s.rng.u32(0..3) == 0 {
            let at = self.now + s.rng.i64(0..3 * SECOND);
            self.schedule(at, Event::ChangeScopes { again: Some(id) });
        }
        let entry = LogEntry::UpdateScopes {
            transactions: vec![request],
        };
        self.step_node(root, |p, now, out| p.request(now, id, entry, out));
    }

    /// What a front end tells of scopes.
    pub(crate) fn scopes_told(&mut self, who: usize, command: &Command) {
        match (command, &mut self.scopes) {
            (
                Command::Respond {
                    request,
                    outcome:
                        Ok(ApplyOutcome::ScopesChanged {
                            revision: step,
                            rejected: refused,
                        }),
                },
                Some(s),
            ) if refused.is_empty() && s.asked.contains_key(request) => {
                let first = *s.taken.entry(*request).or_insert(*step);
                if first != *step {
                    let told = format!("has request {request} in step {} and {}", first.0, step.0);
                    self.report_violation(who, told);
                }
            }
            (Command::Notify(FleetEvent::Leadership { live: true }), Some(_))
                if self.options.defect == Some(PlantedDefect::NoneHold) =>
            {
                self.none_hold(who);
            }
            _ => {}
        }
    }

    /// A mistake: the root that begins takes each on its roster for one that holds nothing.
    fn none_hold(&mut self, who: usize) {
        let Some(peer) = self.processes[who].node.as_ref() else {
            return;
        };
        let roster: Vec<Member> = peer
            .log()
            .into_iter()
            .flat_map(Log::roster)
            .map(|(m, _)| m)
            .collect();
        for member in roster.into_iter().filter(|m| m.id != who as u64 + 1) {
            let from = NodeId::new(
                member.id,
                member.incarnation,
                crate::fleet::address_of(member.id as usize - 1),
            );
            let want = |epoch, seq| SubscribeRequest {
                from: member,
                epoch,
                seq,
                revision: Revision(0),
                scopes: Vec::new(),
                unsubscribed: Vec::new(),
                full_list: Some(Vec::new()),
            };
            self.step_node(who, |p: &mut FleetNode, now, out| {
                let mut answers = Vec::new();
                p.on_message(
                    now,
                    &from,
                    Leader::default(),
                    MessageBody::Subscribe(want(ResyncEpoch::default(), 1)),
                    &mut answers,
                );
                let epoch = answers.iter().find_map(|c| match c {
                    Command::Send {
                        body: MessageBody::SubscribeReply(r),
                        ..
                    } => Some(r.epoch),
                    _ => None,
                });
                if let Some(epoch) = epoch {
                    p.on_message(
                        now,
                        &from,
                        Leader::default(),
                        MessageBody::Subscribe(want(epoch, 1)),
                        out,
                    );
                }
            });
        }
    }

    /// A mistake: a change comes in force once every lease was out or renewed, whoever holds the scope.
    pub(crate) fn carry_early(&mut self, scope: String, since: Revision) {
        let Some((root, _)) = self.leader() else {
            return;
        };
        let entry = LogEntry::AdvanceScopes {
            in_force: vec![(scope, since)],
            settled: Vec::new(),
        };
        self.step_node(root, |p, now, out| p.request(now, 0, entry, out));
    }

    /// A mistake: what was let go once is taken for let go with every later letter.
    pub(crate) fn late_drops(&mut self, body: &mut MessageBody) {
        if let (MessageBody::Subscribe(w), Some(s)) = (body, &mut self.scopes) {
            let known = s.drops.entry(w.from).or_default();
            let before: Vec<u64> = known.iter().copied().collect();
            known.extend(w.unsubscribed.iter().copied());
            w.unsubscribed.extend(before);
        }
    }

    /// Changes of single functions that are in force at every front end that runs, or were given up.
    pub(crate) fn scopes_reached(&mut self) {
        let (Some(s), Some(scale)) = (&mut self.scopes, &mut self.scale) else {
            return;
        };
        let number = |mark: Option<i64>| usize::try_from(mark? - 1).ok();
        for (step, mark, force) in s.ends.drain(..) {
            match number(mark) {
                Some(n) if force => s.waiting.push_back((step, n)),
                Some(n) => scale.given_up(n),
                None => {}
            }
        }
        while let Some((step, n)) = s.waiting.front().copied() {
            let behind = |who: &usize| self.processes[*who].is_behind(self.now, step);
            let many = self.processes.len();
            // Whoever was found behind is looked at first.
            match (0..many).map(|n| (s.lags + n) % many).find(behind) {
                Some(who) => return s.lags = who,
                None => {
                    s.waiting.pop_front();
                    scale.done(self.now, n);
                }
            }
        }
    }

    /// Holds a seat's catalog against the others'.
    pub(crate) fn scopes_compare(&mut self, who: usize, applied: u64) {
        let Some(s) = self.scopes.as_mut().filter(|s| s.compares) else {
            return;
        };
        let log = self.processes[who]
            .node
            .as_ref()
            .and_then(FleetNode::agreed)
            .map(|a| a.1);
        if let Some(told) = log.and_then(|log| s.compare(applied, log)) {
            self.report_violation(who, told);
        }
    }

    /// Follows a seat that applied more than any before. True: all are to be judged anew.
    pub(crate) fn scopes_moved(&mut self, who: usize) -> bool {
        let Some(s) = self.scopes.as_mut() else {
            return false;
        };
        let Some((_, log)) = self.processes[who]
            .node
            .as_ref()
            .and_then(FleetNode::agreed)
        else {
            return false;
        };
        let before = s.step;
        let (moved, wrong) = s.moved(log, &self.schema);
        let joint =
            |m: &&std::sync::Arc<ScopeChange>| matches!(m.record.phase, ScopePhase::Joint { .. });
        let early = self.options.defect == Some(PlantedDefect::NoHolders);
        let new = log
            .state()
            .history
            .since(before)
            .into_iter()
            .flatten()
            .filter(|m| early && joint(m));
        let new: Vec<(String, Revision)> = new.map(|m| (m.scope.clone(), m.revision)).collect();
        for (scope, since) in new {
            // By then no lease is for an earlier step.
            let at = self.now + 3 * self.options.lease.span;
            self.schedule(at, Event::AdvanceScope { scope, since });
        }
        wrong
            .into_iter()
            .for_each(|told| self.report_violation(who, told));
        moved
    }

    /// What this process would act on of each scope that it ever called.
    pub(crate) fn judge_scopes(&mut self, who: usize) {
        let p = &self.processes[who];
        let (Some(s), Some(peer), true) = (&mut self.scopes, p.node.as_ref(), p.is_running())
        else {
            return;
        };
        let now = p.local_time(self.now);
        let acting = peer.active_state(now);
        let (lease, stay) = (acting.lease > 0, acting.session > 0);
        let key = (s.round, p.incarnation, peer.scopes_changed(), lease, stay);
        if s.judged[who].replace(key) == Some(key) {
            return;
        }
        let acts = s.called[who]
            .iter()
            .filter_map(|n| Some((&s.names[*n], peer.effective_settings(now, &s.names[*n])?)));
        let wrong = acts.filter_map(|(name, acts)| s.wrong(&self.schema, name, &acts, lease));
        let wrong: Vec<String> = wrong.take(1).collect();
        wrong
            .into_iter()
            .for_each(|told| self.report_violation(who, told));
    }

    /// What never ended, once all faults are over.
    pub(crate) fn scopes_close(&mut self) {
        let Some(s) = self.scopes.as_ref().filter(|s| s.compares) else {
            return;
        };
        (self.result.scopes_in_force, self.result.scopes_reverted) = (s.in_force, s.back);
        let latest = self
            .processes
            .iter()
            .enumerate()
            .filter_map(|(n, p)| Some((n, p.node.as_ref()?.agreed()?)));
        let Some((who, (_, log))) = latest.max_by_key(|(_, (applied, _))| *applied) else {
            return;
        };
        let wrong = s.close(log);
        if self.result.violations.is_empty() {
            wrong
                .into_iter()
                .take(2)
                .for_each(|told| self.report_violation(who, told));
        }
    }
}

/// Time that replies about scopes take beside the way, where one older than its reader's step is to come about often.
pub(crate) const LATE: Time = SECOND * 3 / 10;
