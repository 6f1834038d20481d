//! Functions that are agreed on one by one, in whole front ends in virtual time. After every event what each acts on is held
//! against what is agreed on: whoever has a stay acts on no other strict field than the one in force, and binds as much.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::SocketAddr;
use tansy_agreement::compatibility::{
    contradictions, AffectedCalls, Compatibility, EffectiveRules, ExpiredLeasePolicy, Fields,
    Restrictiveness, Schema, Value,
};
use tansy_agreement::lease::LeaseTiming;
use tansy_agreement::log::{ApplyOutcome, EntryRejection, Log, LogEntry, Revision};
use tansy_agreement::scope::{
    qualified_fields, ScopePhase, ScopeRecord, ScopeTransaction, ScopeUpdate, MAX_HISTORY_BYTES,
};
use tansy_agreement::subscription::{Admission, RejectReason, MAX_SUBSCRIPTIONS};
use tansy_consensus::PersistentState;
use tansy_fleet_node::{
    Command, FleetEvent, FleetNode, FleetNodeConfig, Leader, MessageBody, RecoveredState,
    RequestRejection,
};
use tansy_membership::{GossipTiming, NodeId};

const SECOND: i64 = 1_000_000;
const STAY: i64 = 60 * SECOND;

fn id(n: usize) -> u64 {
    n as u64 + 1
}

fn address(n: usize) -> SocketAddr {
    ([10, 0, 0, n as u8], 7000).into()
}

fn schema() -> Schema {
    let least = || {
        Compatibility::Joint(
            Restrictiveness::Smallest,
            ExpiredLeasePolicy::Strictest(Value::Int(1)),
        )
    };
    let all = [
        ("worker.max_attempts", least()),
        ("functions.*.class", Compatibility::Strict),
        ("functions.*.lanes", least()),
        ("functions.*.memory", Compatibility::Free),
    ];
    Schema::new(all)
}

fn fields(class: &str, lanes: i64) -> Fields {
    let all = [
        ("class", Value::Text(class.into())),
        ("lanes", Value::Int(lanes)),
        ("memory", Value::Bytes(1 << 28)),
    ];
    all.into_iter().map(|(p, v)| (p.to_string(), v)).collect()
}

fn change(scope: &str, base: Revision, fields: Option<Fields>) -> ScopeUpdate {
    ScopeUpdate {
        scope: scope.into(),
        base,
        fields,
    }
}

struct Fleet {
    now: i64,
    all: Vec<Option<FleetNode>>,
    incarnations: Vec<u64>,
    seats: usize,
    disks: Vec<PersistentState>,
    mail: BinaryHeap<Reverse<(i64, u64)>>,
    letters: BTreeMap<u64, (usize, NodeId, Leader, MessageBody)>,
    count: u64,
    cut: BTreeSet<(usize, usize)>,
    /// How late letters are, microseconds, and of a hundred how many are lost.
    late: i64,
    lost: u32,
    answers: BTreeMap<u64, Vec<Result<ApplyOutcome, RequestRejection>>>,
    notes: Vec<(usize, FleetEvent)>,
    rng: fastrand::Rng,
    /// Functions that are judged, and the latest that is agreed on of each.
    judged: BTreeMap<String, (Revision, ScopeRecord)>,
    /// What came of letters with functions: the step that they are of, and the one that their reader had.
    granted: Vec<(usize, Revision, Revision)>,
}

impl Fleet {
    fn new(size: usize, seats: usize, seed: u64) -> Fleet {
        let mut fleet = Fleet {
            now: 0,
            seats,
            all: Vec::new(),
            incarnations: vec![0; size],
            disks: vec![PersistentState::default(); seats],
            mail: BinaryHeap::new(),
            letters: BTreeMap::new(),
            count: 0,
            cut: BTreeSet::new(),
            late: 20_000,
            lost: 0,
            answers: BTreeMap::new(),
            notes: Vec::new(),
            rng: fastrand::Rng::with_seed(seed),
            judged: BTreeMap::new(),
            granted: Vec::new(),
        };
        fleet.all.resize_with(size, || None);
        (0..size).for_each(|n| fleet.start(n));
        fleet.run(6.0);
        fleet
    }

    fn start(&mut self, n: usize) {
        self.incarnations[n] += 1;
        let setup = FleetNodeConfig {
            fleet: 7,
            name: format!("f{n}"),
            node: NodeId::new(id(n), self.incarnations[n], address(n)),
            voters: (0..self.seats).map(|n| (id(n), address(n))).collect(),
            lease: LeaseTiming {
                span: SECOND * 6 / 10,
                drift_ppm: 1_000,
            },
            session: LeaseTiming {
                span: STAY,
                drift_ppm: 1_000,
            },
            gossip: GossipTiming::default(),
            schema: schema(),
            seed: self.rng.u64(..),
        };
        let first = Fields::from([("worker.max_attempts".to_string(), Value::Int(4))]);
        let held = self.disks.get(n).map(|d| RecoveredState {
            persistent: d.clone(),
            initial_fields: first,
        });
        self.all[n] = Some(FleetNode::new(setup, held, self.now).expect("what it held"));
    }

    fn act<R: Default>(
        &mut self,
        n: usize,
        act: impl FnOnce(&mut FleetNode, i64, &mut Vec<Command>) -> R,
    ) -> R {
        let mut out = Vec::new();
        let now = self.now;
        let Some(peer) = &mut self.all[n] else {
            return R::default();
        };
        let result = act(peer, now, &mut out);
        // What it acts on has to be right before anything that it tells leaves.
        self.judge();
        self.carry_out(n, out);
        result
    }

    fn carry_out(&mut self, n: usize, out: Vec<Command>) {
        let (now, mut then) = (self.now, Vec::new());
        let Some((from, root)) = self.all[n]
            .as_ref()
            .map(|p| (p.setup().node.clone(), p.leader()))
        else {
            return;
        };
        for command in out {
            let command = match command {
                Command::SendToVoter { to, bytes } => Command::Send {
                    to: address(to as usize - 1),
                    body: MessageBody::Consensus(bytes),
                },
                command => command,
            };
            match command {
                Command::SendToVoter { .. } => {}
                Command::Send { to, body } => {
                    let to = (0..self.all.len())
                        .find(|n| address(*n) == to)
                        .expect("a known address");
                    if !self.cut.contains(&(n, to)) && self.rng.u32(0..100) >= self.lost {
                        self.count += 1;
                        self.letters
                            .insert(self.count, (to, from.clone(), root, body));
                        let late = self.rng.i64(200..self.late);
                        self.mail.push(Reverse((now + late, self.count)));
                    }
                }
                Command::Persist {
                    record,
                    snapshot: whole,
                } => {
                    match whole {
                        Some(whole) => {
                            self.disks[n] = PersistentState {
                                snapshot: Some(whole),
                                records: Vec::new(),
                            }
                        }
                        None => self.disks[n].records.push(record),
                    }
                    let peer = self.all[n].as_mut().expect("it runs");
                    peer.on_persisted(now, Ok(()), &mut then);
                }
                Command::Respond { request, outcome } => {
                    self.answers.entry(request).or_default().push(outcome)
                }
                Command::Notify(note) => self.notes.push((n, note)),
            }
        }
        if !then.is_empty() {
            self.carry_out(n, then);
        }
    }

    fn run(&mut self, seconds: f64) {
        let until = self.now + (seconds * SECOND as f64) as i64;
        while self.now < until {
            let tick = self
                .all
                .iter()
                .flatten()
                .map(FleetNode::next_deadline)
                .min()
                .unwrap_or(until);
            let mail = self.mail.peek().map_or(until, |m| m.0 .0);
            self.now = tick.min(mail).min(until).max(self.now);
            while let Some(Reverse((_, id))) =
                self.mail.peek().copied().filter(|m| m.0 .0 <= self.now)
            {
                self.mail.pop();
                let (to, from, root, body) = self.letters.remove(&id).expect("a letter");
                if let MessageBody::SubscribeReply(r) = &body {
                    let step = self.step(to);
                    self.granted
                        .extend((!r.scopes.is_empty()).then_some((to, r.revision, step)));
                }
                self.act(to, |p, now, out| p.on_message(now, &from, root, body, out));
            }
            for n in 0..self.all.len() {
                if self.all[n]
                    .as_ref()
                    .is_some_and(|p| p.next_deadline() <= self.now)
                {
                    self.act(n, |p, now, out| p.tick(now, out));
                }
            }
        }
    }

    /// Runs until this holds; at most some seconds.
    fn until(&mut self, seconds: f64, holds: impl Fn(&Fleet) -> bool) -> bool {
        let end = self.now + (seconds * SECOND as f64) as i64;
        while self.now < end && !holds(self) {
            self.run(0.002);
        }
        holds(self)
    }

    /// The step that one acts on.
    fn step(&self, n: usize) -> Revision {
        let peer = self.all[n].as_ref();
        peer.and_then(|p| p.active_state(self.now).state)
            .map_or(Revision(0), |s| s.revision)
    }

    /// The log, as the seat that knows most of it has it.
    fn log(&self) -> &Log {
        let all = self.all.iter().flatten().filter_map(FleetNode::agreed);
        all.max_by_key(|a| a.0).expect("a seat that runs").1
    }

    fn scoped(&self, scope: &str) -> ScopeRecord {
        self.log().catalog().get(scope).cloned().unwrap_or_default()
    }

    fn root(&self) -> Option<usize> {
        self.all
            .iter()
            .position(|p| p.as_ref().is_some_and(|p| p.log().is_some()))
    }

    fn ask(&mut self, request: u64, changes: Vec<ScopeUpdate>) {
        let asked = ScopeTransaction {
            id: request,
            updates: changes,
            reason: "a test".into(),
        };
        let entry = LogEntry::UpdateScopes {
            transactions: vec![asked],
        };
        let root = self.root().expect("a root");
        self.act(root, |p, now, out| p.request(now, request, entry, out));
    }

    /// Sets a function and waits for that.
    fn set(&mut self, request: u64, scope: &str, to: Option<Fields>) {
        self.judged.entry(scope.to_string()).or_default();
        let base = self.scoped(scope).revision;
        self.ask(request, vec![change(scope, base, to.clone())]);
        let settled = |f: &Fleet| {
            f.scoped(scope).fields == to && f.scoped(scope).phase == ScopePhase::Settled
        };
        assert!(
            self.until(10.0, settled),
            "{scope}: {:?} {:?}",
            self.scoped(scope),
            self.answers.get(&request)
        );
    }

    fn call(&mut self, n: usize, scope: &str) -> Option<Admission> {
        self.act(n, |p, now, out| Some(p.admit(now, scope, out)))
    }

    fn isolate(&mut self, n: usize) {
        let others: Vec<usize> = (0..self.all.len()).filter(|o| *o != n).collect();
        others
            .into_iter()
            .for_each(|o| self.cut.extend([(n, o), (o, n)]));
    }

    /// Holds what each acts on against what is agreed on.
    fn judge(&mut self) {
        let step = self
            .all
            .iter()
            .flatten()
            .filter_map(FleetNode::agreed)
            .max_by_key(|a| a.0);
        if let Some((_, log)) = step {
            for (name, known) in &mut self.judged {
                if log.state().revision >= known.0 {
                    *known = (
                        log.state().revision,
                        log.catalog().get(name).cloned().unwrap_or_default(),
                    );
                }
            }
        }
        for (n, peer) in self
            .all
            .iter()
            .enumerate()
            .filter_map(|(n, p)| Some((n, p.as_ref()?)))
        {
            for (name, (step, agreed)) in &self.judged {
                let Some(acts) = peer
                    .effective_settings(self.now, name)
                    .filter(|a| !a.rejected)
                else {
                    continue;
                };
                let all = |f: &Option<Fields>| {
                    f.as_ref()
                        .map_or_else(Fields::new, |f| qualified_fields(name, f))
                };
                let wrong = contradictions(
                    &schema(),
                    &all(&agreed.fields),
                    &EffectiveRules::from_fields(&all(&acts.fields)),
                );
                let mine = |w: &&(String, AffectedCalls)| matches!(&w.1, AffectedCalls::Function(f) if f == name);
                // Without a lease the joint fields are the strictest, which bind as much as any.
                assert!(
                    !wrong.iter().any(|w| mine(&w)),
                    "{} us: f{n} acts on {name} as {acts:?} at {:?}, agreed at {step:?} is {agreed:?}",
                    self.now,
                    self.step(n)
                );
            }
        }
    }
}

fn class(call: Option<Admission>) -> String {
    match call {
        Some(Admission::Admit(f)) => format!("{}", f["class"]).replace('"', ""),
        other => format!("{other:?}"),
    }
}

/// Calls until it is answered otherwise than by waiting.
fn answered(f: &mut Fleet, n: usize, scope: &str) -> String {
    for _ in 0..250 {
        match f.call(n, scope) {
            Some(Admission::Wait) => f.run(0.002),
            call => return class(call),
        }
    }
    "waits".into()
}

#[test]
fn a_function_is_asked_for_once_and_changed_where_it_is_held() {
    let mut f = Fleet::new(6, 1, 1);
    assert_eq!(
        f.call(2, "a"),
        Some(Admission::Unscoped),
        "nothing is agreed on one by one yet"
    );
    f.set(1, "a", Some(fields("chat", 4)));
    assert_eq!(answered(&mut f, 2, "a"), "chat");
    assert_eq!(answered(&mut f, 0, "a"), "chat", "the root too");
    assert_eq!(answered(&mut f, 3, "none"), "Some(Unknown)");
    let asked = f.granted.len();
    assert_eq!(answered(&mut f, 2, "a"), "chat");
    f.set(2, "a", Some(fields("batch", 2)));
    f.set(3, "none", Some(fields("chat", 1)));
    f.run(1.0);
    assert_eq!(
        (answered(&mut f, 2, "a"), answered(&mut f, 0, "a")),
        ("batch".into(), "batch".into())
    );
    assert_eq!(
        answered(&mut f, 3, "none"),
        "chat",
        "that there was none is held as well"
    );
    assert_eq!(f.granted.len(), asked, "what moves is told with the lease");
    assert_eq!(f.log().state().versions_revision, Revision(1));
}

#[test]
fn a_holder_that_dies_holds_up_its_own_functions_alone() {
    for seed in 0..20 {
        let mut f = Fleet::new(6, 1, seed);
        f.set(1, "a", Some(fields("chat", 4)));
        f.set(2, "b", Some(fields("chat", 4)));
        assert_eq!(
            (answered(&mut f, 4, "a"), answered(&mut f, 3, "b")),
            ("chat".into(), "chat".into())
        );
        f.all[4] = None;
        let (a, b) = (f.scoped("a").revision, f.scoped("b").revision);
        f.ask(3, vec![change("a", a, Some(fields("batch", 4)))]);
        f.ask(4, vec![change("b", b, Some(fields("batch", 4)))]);
        let begun = f.now;
        assert!(
            f.until(3.0, |f| f.scoped("b").fields == Some(fields("batch", 4))),
            "seed {seed}: {:?}",
            f.scoped("b")
        );
        assert!(matches!(f.scoped("a").phase, ScopePhase::Joint { .. }));
        let waits = f.all[0]
            .as_ref()
            .and_then(|p| p.change_blockers(f.now))
            .expect("a change goes on");
        assert_eq!(
            waits
                .scopes
                .iter()
                .map(|(n, w)| (n.as_str(), w.len()))
                .collect::<Vec<_>>(),
            [("a", 1)]
        );
        // A joint field waits for leases alone, which the dead has none of.
        assert!(
            f.until(12.0, |f| f.scoped("a").phase == ScopePhase::Settled),
            "seed {seed}"
        );
        assert!(f.now - begun >= 10 * SECOND, "seed {seed}");
        assert_eq!(
            f.scoped("a").fields,
            Some(fields("chat", 4)),
            "given up alone"
        );
        assert!(f
            .notes
            .iter()
            .any(|(_, n)| matches!(n, FleetEvent::ScopeChangesAbandoned { scopes, .. } if scopes == &["a"])));
        f.set(5, "a", Some(fields("chat", 2)));
        assert_eq!(answered(&mut f, 3, "b"), "batch");
        // Once it is over, or its stay is out, it is not waited for.
        f.start(4);
        f.run(3.0);
        f.set(6, "a", Some(fields("batch", 2)));
        assert_eq!(answered(&mut f, 4, "a"), "batch");
    }
}

#[test]
fn of_two_changes_of_one_function_one_is_refused_whole() {
    for first in [0, 1] {
        let mut f = Fleet::new(4, 1, 3);
        f.set(1, "b", Some(fields("chat", 4)));
        let b = f.scoped("b").revision;
        let one = vec![
            change("a", Revision(0), Some(fields("chat", 1))),
            change("b", b, Some(fields("batch", 1))),
        ];
        let two = vec![
            change("c", Revision(0), Some(fields("chat", 1))),
            change("b", b, Some(fields("bulk", 1))),
        ];
        let (one, two) = if first == 0 { (one, two) } else { (two, one) };
        f.ask(2, one.clone());
        f.ask(3, two.clone());
        f.run(0.15);
        f.ask(4, two.clone());
        f.run(5.0);
        assert!(
            matches!(f.answers[&2][..], [Ok(ApplyOutcome::ScopesChanged { .. })]),
            "{:?}",
            f.answers[&2]
        );
        for request in [3, 4] {
            let busy =
                RequestRejection::Log(EntryRejection::ScopeChangeInProgress { scope: "b".into() });
            assert_eq!(f.answers[&request], [Err(busy)]);
        }
        assert_eq!(f.scoped("b").fields, one[1].fields);
        assert_eq!(f.scoped(&one[0].scope).fields, one[0].fields);
        assert_eq!(
            f.scoped(&two[0].scope),
            ScopeRecord::default(),
            "nothing of it is half done"
        );
        f.ask(5, two);
        f.run(0.5);
        let Err(RequestRejection::Log(EntryRejection::StaleScopeBase { scope, revision })) =
            &f.answers[&5][0]
        else {
            panic!()
        };
        assert_eq!((scope.as_str(), *revision), ("b", f.scoped("b").revision));
    }
}

#[test]
fn a_first_call_in_the_moment_of_a_change_is_right_in_every_order() {
    let mut orders = BTreeSet::new();
    for seed in 0..1000 {
        let mut f = Fleet::new(5, 1, seed);
        f.set(1, "a", Some(fields("chat", 4)));
        (f.late, f.lost) = (60_000, 5);
        let base = f.scoped("a").revision;
        // The change first, or the call.
        let wait = f.rng.f64() * 0.15;
        let to = f.rng.bool().then(|| fields("batch", 2));
        f.granted.clear();
        if f.rng.bool() {
            f.ask(2, vec![change("a", base, to.clone())]);
            f.run(wait);
            f.call(3, "a");
        } else {
            f.call(3, "a");
            f.run(wait / 3.0);
            f.ask(2, vec![change("a", base, to.clone())]);
        }
        let done = |f: &Fleet| {
            f.scoped("a").phase == ScopePhase::Settled && f.scoped("a").revision != base
        };
        assert!(
            f.until(20.0, done),
            "seed {seed}: {:?} {:?} {:?}",
            f.scoped("a"),
            f.answers,
            f.notes.last()
        );
        f.run(2.0);
        let joint = f
            .log()
            .catalog()
            .transaction_result(2)
            .expect("it was taken")
            .revision;
        orders.extend(
            f.granted
                .iter()
                .filter(|g| g.0 == 3)
                .map(|(_, at, step)| (*at < joint, *step < joint, step < at)),
        );
        let want = to.map_or("Some(Unknown)", |_| "batch");
        assert_eq!(answered(&mut f, 3, "a"), want, "seed {seed}");
    }
    // Entered before or after the want was, answered before or after the step came through the tree.
    let all = [(true, true), (true, false), (false, true), (false, false)];
    let seen: BTreeSet<(bool, bool)> = orders.iter().map(|o| (o.0, o.1)).collect();
    assert_eq!(seen, all.into(), "{orders:?}");
}

#[test]
fn a_function_removed_while_it_is_held_is_gone_everywhere() {
    let mut f = Fleet::new(5, 1, 9);
    f.set(1, "a", Some(fields("chat", 4)));
    for n in 1..4 {
        assert_eq!(answered(&mut f, n, "a"), "chat");
    }
    f.set(2, "a", None);
    f.run(1.0);
    for n in 1..5 {
        assert_eq!(answered(&mut f, n, "a"), "Some(Unknown)");
    }
    assert_eq!(f.log().catalog().get("a"), None, "it takes no place");
    f.set(3, "a", Some(fields("bulk", 1)));
    f.run(1.0);
    assert_eq!(answered(&mut f, 2, "a"), "bulk");
}

#[test]
fn one_cut_off_goes_on_with_what_it_holds_and_is_waited_for_in_that_alone() {
    let mut f = Fleet::new(6, 1, 4);
    f.set(1, "a", Some(fields("chat", 4)));
    f.set(2, "b", Some(fields("chat", 4)));
    assert_eq!(
        (answered(&mut f, 4, "a"), answered(&mut f, 2, "a")),
        ("chat".into(), "chat".into())
    );
    f.isolate(4);
    f.run(2.0);
    let Some(Admission::Admit(apart)) = f.call(4, "a") else {
        panic!("it goes on")
    };
    assert_eq!(
        (&apart["class"], &apart["lanes"]),
        (&Value::Text("chat".into()), &Value::Int(1))
    );
    assert_eq!(
        f.call(4, "b"),
        Some(Admission::Wait),
        "another it can't know"
    );
    f.set(3, "b", Some(fields("batch", 2)));
    f.set(4, "c", Some(fields("batch", 2)));
    let a = f.scoped("a").revision;
    f.ask(5, vec![change("a", a, Some(fields("bulk", 4)))]);
    f.run(12.0);
    assert_eq!(
        f.scoped("a").fields,
        Some(fields("chat", 4)),
        "a change of it is given up"
    );
    assert_eq!(class(f.call(4, "a")), "chat");
    f.run(60.0);
    assert_eq!(
        f.call(4, "a"),
        Some(Admission::Reject(RejectReason::NoSession)),
        "its stay is out"
    );
    f.set(6, "a", Some(fields("bulk", 4)));
    f.cut.clear();
    f.run(5.0);
    assert_eq!(
        (answered(&mut f, 4, "a"), answered(&mut f, 4, "b")),
        ("bulk".into(), "batch".into())
    );
}

#[test]
fn a_burst_of_changes_comes_in_force_in_few_steps() {
    let mut f = Fleet::new(8, 1, 5);
    f.set(10_000, "x", Some(fields("chat", 4)));
    let before = f.log().state().revision;
    // Five hundred in a minute, the half of them within a second.
    let mut taken = 0;
    for n in 0..500u64 {
        f.ask(
            n + 1,
            vec![change(
                &format!("f{n}"),
                Revision(0),
                Some(fields("chat", 1 + n as i64)),
            )],
        );
        if n % 25 == 0 {
            let at = 1 + (n as usize / 25) % 7;
            f.call(at, &format!("f{n}"));
            taken += 1;
        }
        f.run(if n < 250 { 0.004 } else { 0.236 });
    }
    f.run(5.0);
    let refused: Vec<_> = f
        .answers
        .values()
        .flatten()
        .filter(|a| a.is_err())
        .collect();
    assert!(refused.is_empty(), "{:?}", refused.first());
    assert_eq!(f.log().catalog().all().len(), 501);
    assert!(f
        .log()
        .catalog()
        .all()
        .values()
        .all(|s| s.phase == ScopePhase::Settled));
    let steps = f.log().state().revision.0 - before.0;
    assert!(steps < 700, "{steps} steps of {} and more", 500 * 2 + taken);
    for n in (0..500).step_by(25) {
        assert_eq!(answered(&mut f, 1 + (n / 25) % 7, &format!("f{n}")), "chat");
    }
}

#[test]
fn a_seat_lost_with_changes_under_way_loses_and_doubles_none() {
    for seed in 0..6 {
        let mut f = Fleet::new(7, 3, seed);
        f.set(10_000, "x", Some(fields("chat", 4)));
        for n in 0..7 {
            answered(&mut f, n, "x");
        }
        let all: Vec<u64> = (1..=200).collect();
        let wanted = |n: u64| {
            vec![change(
                &format!("f{n}"),
                Revision(0),
                Some(fields("chat", n as i64)),
            )]
        };
        all.iter().for_each(|n| f.ask(*n, wanted(*n)));
        let wait = f.rng.f64() * 0.6;
        f.run(wait);
        let lost = f.root().expect("a root");
        f.all[lost] = None;
        assert!(
            f.until(10.0, |f| f.root().is_some()),
            "seed {seed}: another leads"
        );
        // Whoever got no answer asks again, with the same id.
        let mut left: Vec<u64> = all.clone();
        for _ in 0..40 {
            f.run(1.0);
            let taken = |f: &Fleet, n: u64| f.log().catalog().transaction_result(n).is_some();
            left.retain(|n| !taken(&f, *n));
            if left.is_empty() && f.log().catalog().open().next().is_none() {
                break;
            }
            left.iter().for_each(|n| f.ask(*n, wanted(*n)));
        }
        assert!(
            left.is_empty(),
            "seed {seed}: {} came to no end",
            left.len()
        );
        let catalog = f.log().catalog();
        for n in &all {
            let r = catalog.transaction_result(*n).expect("it was taken");
            assert_eq!(
                (r.joint, r.in_force + r.reverted),
                (0, 1),
                "seed {seed}: {n}"
            );
            let there = catalog.get(&format!("f{n}")).and_then(|s| s.fields.clone());
            assert_eq!(
                there,
                (r.in_force == 1).then(|| fields("chat", *n as i64)),
                "seed {seed}: {n}"
            );
        }
    }
}

#[test]
fn a_front_end_that_holds_a_hundred_of_340_000_takes_what_a_hundred_need() {
    let mut f = Fleet::new(3, 1, 6);
    let name = |n: usize| format!("function-{n:06}");
    const ALL: usize = 340_000;
    const PART: usize = 2_000;
    for (request, from) in (0..ALL).step_by(PART).enumerate() {
        let one = |n| {
            change(
                &name(n),
                Revision(0),
                Some(fields("chat", 1 + n as i64 % 8)),
            )
        };
        f.ask(request as u64 + 1, (from..from + PART).map(one).collect());
        f.run(0.4);
    }
    f.run(10.0);
    assert_eq!(
        f.log().catalog().all().len(),
        ALL,
        "{:?}",
        f.answers.values().flatten().find(|a| a.is_err())
    );
    for n in 0..100 {
        assert_eq!(answered(&mut f, 2, &name(n * 3_000)), "chat");
    }
    let peer = f.all[2].as_ref().expect("it runs");
    assert_eq!(peer.subscription_count(), 100);
    let moves = peer
        .active_state(f.now)
        .state
        .map_or(0, |s| s.history.memory_bytes());
    assert!(moves <= MAX_HISTORY_BYTES, "{moves}");
    assert!(
        peer.subscription_bytes() - moves < 100 * 500,
        "{}",
        peer.subscription_bytes()
    );
    let scope = name(3_000);
    f.set(9_999, &scope, Some(fields("batch", 1)));
    f.run(1.0);
    assert_eq!(answered(&mut f, 2, &scope), "batch");
}

#[test]
fn one_that_calls_for_everything_holds_a_bounded_part_and_says_so() {
    let mut f = Fleet::new(3, 1, 7);
    let one = |n: usize| change(&format!("f{n}"), Revision(0), Some(fields("chat", 1)));
    f.ask(1, (0..2_500).map(one).collect());
    f.run(2.0);
    f.ask(2, (2_500..5_000).map(one).collect());
    f.run(3.0);
    assert_eq!(f.log().catalog().all().len(), 5_000);
    for n in 0..5_000 {
        let call = f.call(2, &format!("f{n}"));
        assert_ne!(call, Some(Admission::Unscoped));
        f.run(0.001);
    }
    f.run(1.0);
    assert_eq!(answered(&mut f, 2, "f4999"), "chat");
    let holds = f.all[2]
        .as_ref()
        .map(FleetNode::subscription_count)
        .expect("it runs");
    assert!(
        holds > MAX_SUBSCRIPTIONS / 2 && holds <= MAX_SUBSCRIPTIONS,
        "{holds}"
    );
    assert!(f.notes.iter().any(|(n, note)| *n == 2
        && matches!(note, FleetEvent::SubscriptionsEvicted { total, .. } if *total > 0)));
    // Those called longest ago went first, and may be had again.
    assert_eq!(answered(&mut f, 2, "f0"), "chat");
}

#[test]
fn a_joint_field_binds_all_that_hold_leases_before_it_is_in_force() {
    for seed in 0..40 {
        let mut f = Fleet::new(12, 1, seed);
        f.set(1, "a", Some(fields("chat", 8)));
        (1..12).for_each(|n| assert_eq!(answered(&mut f, n, "a"), "chat"));
        (f.late, f.lost) = (150_000, 10);
        for (request, lanes) in [(2, 2), (3, 6), (4, 1)] {
            f.set(request, "a", Some(fields("chat", lanes)));
        }
    }
}
