//! Long odd but legal event sequences with a fixed seed, judged by a checker that knows the rules and nothing
//! of the router.

use std::collections::{BTreeMap, VecDeque};
use tansyrouter::*;

const MS: i64 = 1_000;

struct Call {
    effect: Effect,
    deadline: Time,
    budget_at_start: bool,
    attempts: Vec<(WorkerId, Time, Option<Outcome>)>,
    over: bool,
}

/// The five rules, kept by their wording.
struct Checker {
    set: Settings,
    calls: BTreeMap<RequestId, Call>,
    barred: BTreeMap<WorkerId, Time>,
    entries: BTreeMap<WorkerId, WorkerEntry>,
    orders: VecDeque<Time>,
    arrivals: VecDeque<Time>,
}

impl Checker {
    #[expect(
        clippy::too_many_lines,
        reason = "one table or one history, read from top to bottom"
    )]
    fn action(&mut self, now: Time, a: &Action) {
        match a {
            Action::Send {
                request, worker, ..
            } => {
                self.no_bar(now, *worker);
                let entry = self
                    .entries
                    .get(worker)
                    .expect("a worker that a list named");
                let c = self.calls.get_mut(request).expect("a known call");
                assert!(!c.over, "rule 1: sent after its end");
                assert!(
                    c.attempts.iter().all(|x| x.2.is_some()),
                    "rule 2: two attempts out at once"
                );
                assert!(c.attempts.len() < self.set.max_attempts as usize);
                for (w, sent, outcome) in &c.attempts {
                    if outcome.unwrap().never_ran() {
                        continue;
                    }
                    match c.effect {
                        Effect::Safe => {}
                        Effect::Unsafe => panic!("rule 2: an unsafe call sent again"),
                        Effect::Keyed { group, window } => {
                            assert!(now.since(*sent) < window, "rule 2: out of its window");
                            let first = &self.entries[w];
                            assert!(match group {
                                Group::All => true,
                                Group::Zone => first.zone == entry.zone,
                                Group::Cell => first.cell == entry.cell,
                            });
                        }
                    }
                }
                c.attempts.push((*worker, now, None));
            }
            Action::Reject { request, .. } => {
                let c = self.calls.get_mut(request).expect("a known call");
                assert!(!c.over, "rule 1: answered twice");
                let clean = c
                    .attempts
                    .iter()
                    .all(|x| x.2.is_some_and(Outcome::never_ran));
                let all = matches!(
                    c.effect,
                    Effect::Safe
                        | Effect::Keyed {
                            group: Group::All,
                            ..
                        }
                );
                assert!(clean || all, "rule 2: refused though it may have run");
                c.over = true;
            }
            Action::Fail { request } => {
                let c = self.calls.get_mut(request).expect("a known call");
                assert!(!c.over, "rule 1: answered twice");
                c.over = true;
            }
            Action::Load {
                worker, instances, ..
            } if *instances > 0 => {
                self.no_bar(now, *worker);
                self.orders.push_back(now);
                if let Some(r) = self.set.load_budget {
                    let inside = |q: &VecDeque<Time>| {
                        q.iter().filter(|t| now.since(**t) < r.period).count() as f64
                    };
                    assert!(
                        inside(&self.orders) <= r.free + r.arrival_share * inside(&self.arrivals),
                        "rule 5"
                    );
                }
            }
            Action::Cancel { request, attempt } => {
                assert!((*attempt as usize) < self.calls[request].attempts.len());
            }
            _ => {}
        }
    }
    fn no_bar(&self, now: Time, w: WorkerId) {
        let told = self.barred.get(&w);
        assert!(
            told.is_none_or(|t| now.since(*t) <= self.set.drain_grace),
            "rule 3: work for a leaving worker"
        );
    }
    fn overdue(&self, now: Time) {
        for c in self.calls.values().filter(|c| !c.over && c.budget_at_start) {
            assert!(
                now.since(c.deadline) <= self.set.answer_slack,
                "rule 1: no answer in time"
            );
        }
    }
}

fn settings(rng: &mut fastrand::Rng) -> Settings {
    let groups = [Group::All, Group::Zone, Group::Cell];
    let class = |effect, rng: &mut fastrand::Rng| Class {
        latency_objective: 500 * MS,
        objective_per_work: 0.0,
        deadline: 3_000 * MS,
        effect,
        priority_weight: 1.0,
        late_weight: if rng.bool() { 0.2 } else { 0.0 },
        streamed: false,
    };
    let keyed = Effect::Keyed {
        group: groups[rng.usize(0..3)],
        window: rng.i64(0..3_000) * MS,
    };
    Settings {
        front_ends: rng.usize(1..4),
        classes: vec![
            class(Effect::Safe, rng),
            class(keyed, rng),
            class(Effect::Unsafe, rng),
        ],
        may_cancel: rng.bool(),
        may_probe: rng.bool(),
        may_load: rng.u8(0..4) > 0,
        miss_policy: if rng.bool() {
            MissPolicy::Load
        } else {
            MissPolicy::Miss
        },
        max_attempts: rng.u32(1..6),
        load_budget: rng.bool().then(|| LoadBudget {
            free: rng.f64() * 3.0,
            arrival_share: rng.f64(),
            period: 2_000 * MS,
        }),
        drain_grace: 0,
        ..Settings::default()
    }
}

#[test]
#[expect(
    clippy::too_many_lines,
    reason = "one table or one history, read from top to bottom"
)]
fn odd_legal_sequences_break_no_rule() {
    let mut rng = fastrand::Rng::with_seed(20_261_128);
    let (mut sends, mut answers) = (0, 0);
    for round in 0..24 {
        let set = settings(&mut rng);
        let mut now = Time(rng.i64(-5_000..5_000) * MS);
        let mut router = Router::new(set.clone(), round, now).unwrap();
        let mut check = Checker {
            set: set.clone(),
            calls: BTreeMap::new(),
            barred: BTreeMap::new(),
            entries: BTreeMap::new(),
            orders: VecDeque::new(),
            arrivals: VecDeque::new(),
        };
        let mut orders: Vec<(WorkerId, FunctionId)> = Vec::new();
        let mut next = 0u64;
        for step in 0..2_000u64 {
            now = now.plus(rng.i64(0..4) * MS);
            let worker = WorkerId(rng.u64(0..8));
            let event = match if step == 0 { 0 } else { rng.u8(0..100) } {
                0..=3 => {
                    let kind = if rng.bool() {
                        ListKind::Full
                    } else {
                        ListKind::Changes
                    };
                    let named: Vec<u64> = (0..8).filter(|_| rng.u8(0..3) > 0).collect();
                    let entries: Vec<WorkerEntry> = named
                        .iter()
                        .map(|i| WorkerEntry {
                            worker: WorkerId(*i),
                            kind: 0,
                            cell: i / 2,
                            zone: (*i % 2) as usize,
                            state: match rng.u8(0..6) {
                                0 => WorkerState::Draining,
                                1 => WorkerState::Gone,
                                _ => WorkerState::Ready,
                            },
                            started: rng.bool().then(|| now.plus(-rng.i64(0..20_000) * MS)),
                            share: [1.0, 2.0, 0.0, f64::NAN][rng.usize(0..4)],
                        })
                        .collect();
                    if kind == ListKind::Full {
                        for w in check.entries.keys().filter(|w| !named.contains(&w.0)) {
                            check.barred.entry(*w).or_insert(now);
                        }
                    }
                    for e in &entries {
                        check.entries.insert(e.worker, e.clone());
                        if e.state == WorkerState::Ready {
                            check.barred.remove(&e.worker);
                        } else {
                            check.barred.entry(e.worker).or_insert(now);
                        }
                    }
                    Event::Workers { kind, entries }
                }
                4..=40 => {
                    next += 1;
                    let class = rng.usize(0..3);
                    let budget = [0, 2, 40, 800, 3_000][rng.usize(0..5)] * MS;
                    let call = Call {
                        effect: set.classes[class].effect,
                        deadline: now.plus(budget),
                        budget_at_start: true,
                        attempts: Vec::new(),
                        over: false,
                    };
                    check.calls.insert(RequestId(next), call);
                    check.arrivals.push_back(now);
                    Event::Arrival(Arrival {
                        request: RequestId(next),
                        function: FunctionId(rng.u64(0..12)),
                        class,
                        tenant: rng.usize(0..3),
                        budget,
                        work_hint: rng.bool().then(|| rng.i64(-5..500) * MS),
                        lanes: rng.u32(0..3),
                        memory_mb: f64::NAN,
                        load_time: rng.bool().then(|| rng.i64(-5..900) * MS),
                        repeat: false,
                    })
                }
                41..=70 => {
                    let out: Vec<(RequestId, u32, WorkerId, Time)> = check
                        .calls
                        .iter()
                        .flat_map(|(id, c)| {
                            let pending =
                                c.attempts.iter().enumerate().filter(|(_, a)| a.2.is_none());
                            pending
                                .map(|(n, a)| (*id, n as u32, a.0, a.1))
                                .collect::<Vec<_>>()
                        })
                        .collect();
                    let Some((request, attempt, worker, sent)) =
                        (!out.is_empty()).then(|| out[rng.usize(0..out.len())])
                    else {
                        continue;
                    };
                    let outcome = [
                        Outcome::Served,
                        Outcome::Served,
                        Outcome::Error,
                        Outcome::Rejected,
                        Outcome::TimedOut,
                        Outcome::ConnectFailed,
                        Outcome::ConnectionLost,
                        Outcome::Cancelled,
                        Outcome::NotSent,
                        Outcome::NotLoaded,
                    ][rng.usize(0..10)];
                    let call = check.calls.get_mut(&request).unwrap();
                    call.attempts[attempt as usize].2 = Some(outcome);
                    call.over |= outcome == Outcome::Served;
                    Event::AttemptEnded(AttemptResult {
                        request,
                        attempt,
                        worker,
                        outcome,
                        concluded: call.over,
                        latency: now.since(sent),
                        instance_status: InstanceStatus::Warm,
                        concurrency: Some(rng.u32(0..4)),
                        report: Some(LoadReport {
                            queued: Some(f64::NAN),
                            ..LoadReport::default()
                        }),
                    })
                }
                71..=84 => {
                    let Some((worker, function)) = orders.pop() else {
                        continue;
                    };
                    let outcome = [
                        Outcome::Served,
                        Outcome::Error,
                        Outcome::Rejected,
                        Outcome::TimedOut,
                    ][rng.usize(0..4)];
                    let instances = if outcome == Outcome::Served {
                        rng.u32(0..3)
                    } else {
                        0
                    };
                    Event::LoadEnded {
                        worker,
                        function,
                        outcome,
                        latency: rng.i64(-3..900) * MS,
                        instances,
                    }
                }
                85 => {
                    let request = RequestId(rng.u64(0..next.max(1) + 3));
                    if let Some(c) = check.calls.get_mut(&request) {
                        c.over = true;
                    }
                    Event::ClientLeft { request }
                }
                86 => Event::ProbeEnded {
                    worker,
                    outcome: Outcome::Served,
                    latency: -1,
                    report: None,
                },
                87 => Event::StreamStarted {
                    request: RequestId(u64::MAX),
                    attempt: 7,
                },
                _ => Event::Timer { token: rng.u64(..) },
            };
            let mut out = Vec::new();
            router.handle(now, event, &mut out);
            for a in &out {
                check.action(now, a);
                sends += matches!(a, Action::Send { .. }) as u64;
                answers += matches!(a, Action::Reject { .. } | Action::Fail { .. }) as u64;
                if let Action::Load {
                    worker, function, ..
                } = a
                {
                    orders.push((*worker, *function));
                }
            }
            check.overdue(now);
        }
    }
    assert!(
        sends > 500 && answers > 2_000,
        "the sequences reach the rules: {sends} {answers}"
    );
}
