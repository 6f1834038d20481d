//! The rules and the mechanism, tried through the public interface.

use tansyrouter::*;

const MS: i64 = 1_000;

fn worker(id: u64, state: WorkerState, started: Option<Time>) -> WorkerEntry {
    WorkerEntry {
        worker: WorkerId(id),
        state,
        started,
        share: 1.0,
        cell: id,
        zone: id as usize % 2,
        kind: 0,
    }
}

struct Harness {
    router: Router,
    now: Time,
    out: Vec<Action>,
}

impl Harness {
    fn new(set: Settings) -> Harness {
        Harness {
            router: Router::new(set, 1, Time(0)).unwrap(),
            now: Time(0),
            out: Vec::new(),
        }
    }
    fn handle(&mut self, event: Event) -> Vec<Action> {
        self.out.clear();
        self.router.handle(self.now, event, &mut self.out);
        self.out
            .iter()
            .filter(|a| !matches!(a, Action::SetTimer { .. }))
            .cloned()
            .collect()
    }
    fn worker_list(&mut self, kind: ListKind, entries: Vec<WorkerEntry>) -> Vec<Action> {
        self.handle(Event::Workers { kind, entries })
    }
    fn ready_workers(&mut self, n: u64) {
        let entries = (1..=n)
            .map(|i| worker(i, WorkerState::Ready, None))
            .collect();
        self.worker_list(ListKind::Full, entries);
    }
    fn arrive(&mut self, request: u64, function: u64, class: usize, budget: Micros) -> Vec<Action> {
        self.handle(Event::Arrival(Arrival {
            request: RequestId(request),
            function: FunctionId(function),
            class,
            tenant: 0,
            budget,
            work_hint: None,
            lanes: 1,
            memory_mb: 300.0,
            load_time: Some(500 * MS),
            repeat: false,
        }))
    }
    fn end_attempt(
        &mut self,
        request: u64,
        attempt: u32,
        worker: WorkerId,
        outcome: Outcome,
    ) -> Vec<Action> {
        self.handle(Event::AttemptEnded(AttemptResult {
            request: RequestId(request),
            attempt,
            worker,
            outcome,
            concluded: outcome == Outcome::Served,
            latency: 100 * MS,
            instance_status: InstanceStatus::Warm,
            concurrency: None,
            report: None,
        }))
    }
    fn served_after(
        &mut self,
        request: RequestId,
        worker: WorkerId,
        latency: Micros,
    ) -> Vec<Action> {
        self.served_with(request, worker, latency, None, None)
    }
    /// Served at the first attempt, with the calls of its function and the load that the worker tells of.
    fn served_with(
        &mut self,
        request: RequestId,
        worker: WorkerId,
        latency: Micros,
        crowd: Option<u32>,
        report: Option<LoadReport>,
    ) -> Vec<Action> {
        self.handle(Event::AttemptEnded(AttemptResult {
            request,
            attempt: 0,
            worker,
            outcome: Outcome::Served,
            concluded: true,
            latency,
            instance_status: InstanceStatus::Warm,
            concurrency: crowd,
            report,
        }))
    }
    fn end_load(&mut self, worker: WorkerId, function: u64, outcome: Outcome) -> Vec<Action> {
        let instances = (outcome == Outcome::Served) as u32;
        let function = FunctionId(function);
        self.handle(Event::LoadEnded {
            worker,
            function,
            outcome,
            latency: 500 * MS,
            instances,
        })
    }
    fn advance(&mut self, span: Micros) -> Vec<Action> {
        let mut all = Vec::new();
        let end = self.now.plus(span);
        while self.now < end {
            self.now = self.now.plus(10 * MS);
            all.extend(self.handle(Event::Timer { token: 0 }));
        }
        all
    }
    /// Brings a function up and has one call of it sent; tells where.
    fn load_and_send(&mut self, request: u64, function: u64, class: usize) -> WorkerId {
        let at =
            requested_load(&self.arrive(request, function, class, 5_000 * MS)).expect("a load");
        sent_to(&self.end_load(at, function, Outcome::Served)).expect("a send")
    }
    /// Has one call miss at its home until a load is ordered and the call held for it; tells where.
    fn miss_until_load(&mut self, request: u64, function: u64) -> WorkerId {
        let mut actions = self.arrive(request, function, 0, 2_000 * MS);
        let mut attempt = 0;
        loop {
            let to = sent_to(&actions);
            if let Some(to) = to {
                actions = self.end_attempt(request, attempt, to, Outcome::NotLoaded);
                attempt += 1;
            }
            if let Some(at) = requested_load(&actions) {
                if let Some(next) = sent_to(&actions) {
                    actions = self.end_attempt(request, attempt, next, Outcome::NotLoaded);
                }
                assert_eq!(sent_to(&actions), None, "held for its load");
                return at;
            }
            assert!(to.is_some(), "neither sent nor ordered");
        }
    }
}

fn requested_load(actions: &[Action]) -> Option<WorkerId> {
    actions.iter().find_map(|a| match a {
        Action::Load {
            worker,
            instances: 1..,
            ..
        } => Some(*worker),
        _ => None,
    })
}

fn sent_to(actions: &[Action]) -> Option<WorkerId> {
    actions.iter().find_map(|a| match a {
        Action::Send { worker, .. } => Some(*worker),
        _ => None,
    })
}

fn settings_with(effect: Effect) -> Settings {
    let mut s = Settings::default();
    s.classes[0].effect = effect;
    s.classes[0].late_weight = 0.1;
    s
}

#[test]
fn a_call_without_an_instance_is_held_for_a_load_and_sent_where_it_stands() {
    let mut b = Harness::new(settings_with(Effect::Safe));
    b.ready_workers(3);
    let at = b.load_and_send(1, 9, 0);
    b.end_attempt(1, 0, at, Outcome::Served);
    assert_eq!(
        sent_to(&b.arrive(2, 9, 0, 5_000 * MS)),
        Some(at),
        "a warm free lane is used"
    );
    assert_eq!(
        sent_to(&b.arrive(3, 9, 0, 5_000 * MS)),
        None,
        "with the lane taken the next one is held"
    );
    assert_eq!(
        sent_to(&b.end_attempt(2, 0, at, Outcome::Served)),
        Some(at),
        "the returning lane goes to the line"
    );
}

#[test]
fn held_calls_are_refused_before_their_own_budget_ends() {
    let mut b = Harness::new(settings_with(Effect::Unsafe));
    b.ready_workers(1);
    b.arrive(1, 9, 0, 300 * MS);
    let actions = b.advance(300 * MS);
    assert!(actions.contains(&Action::Reject {
        request: RequestId(1),
        stay_away: 0
    }));
}

#[test]
fn an_unsafe_call_that_may_have_run_fails_and_is_not_sent_again() {
    for o in [
        Outcome::Error,
        Outcome::TimedOut,
        Outcome::ConnectionLost,
        Outcome::Cancelled,
    ] {
        let mut b = Harness::new(settings_with(Effect::Unsafe));
        b.ready_workers(3);
        let at = b.load_and_send(1, 9, 0);
        let actions = b.end_attempt(1, 0, at, o);
        assert!(
            actions.contains(&Action::Fail {
                request: RequestId(1)
            }),
            "{o:?}: {actions:?}"
        );
        assert_eq!(sent_to(&actions), None);
    }
}

#[test]
fn an_unsafe_call_proven_not_run_is_sent_again() {
    for o in [
        Outcome::Rejected,
        Outcome::ConnectFailed,
        Outcome::NotLoaded,
        Outcome::NotSent,
    ] {
        let mut b = Harness::new(settings_with(Effect::Unsafe));
        b.ready_workers(3);
        let at = b.load_and_send(1, 9, 0);
        let mut actions = b.end_attempt(1, 0, at, o);
        assert!(
            !actions.contains(&Action::Fail {
                request: RequestId(1)
            }),
            "{o:?}"
        );
        if let Some(w) = requested_load(&actions) {
            actions = b.end_load(w, 9, Outcome::Served);
        }
        actions.extend(b.advance(1_000 * MS));
        assert!(sent_to(&actions).is_some(), "{o:?}");
    }
}

#[test]
fn a_draining_gone_or_omitted_worker_gets_nothing_new() {
    for how in 0..3 {
        let mut b = Harness::new(settings_with(Effect::Safe));
        b.ready_workers(1);
        let at = b.load_and_send(1, 9, 0);
        b.end_attempt(1, 0, at, Outcome::Served);
        let entries = match how {
            0 => vec![worker(1, WorkerState::Draining, None)],
            1 => vec![worker(1, WorkerState::Gone, None)],
            _ => Vec::new(),
        };
        b.worker_list(
            if how == 2 {
                ListKind::Full
            } else {
                ListKind::Changes
            },
            entries,
        );
        let mut actions = b.arrive(2, 9, 0, 2_000 * MS);
        actions.extend(b.arrive(3, 10, 0, 2_000 * MS));
        actions.extend(b.advance(2_000 * MS));
        assert_eq!(
            (sent_to(&actions), requested_load(&actions)),
            (None, None),
            "{how}"
        );
        b.worker_list(ListKind::Changes, vec![worker(1, WorkerState::Ready, None)]);
        assert_eq!(
            requested_load(&b.arrive(4, 11, 0, 2_000 * MS)),
            Some(WorkerId(1)),
            "back under the same id"
        );
    }
}

/// Sends to a worker that starts now, by all front ends of a deployment, each with many calls for it.
fn sends_to_a_cold_worker(siblings: usize, for_seconds: i64) -> usize {
    let mut sends = 0;
    for me in 0..siblings {
        let set = Settings {
            front_ends: siblings,
            front_end: me,
            may_load: false,
            max_attempts: 1,
            ..settings_with(Effect::Safe)
        };
        let mut b = Harness::new(set);
        b.now = Time(1_000 * MS);
        b.worker_list(
            ListKind::Full,
            vec![worker(1, WorkerState::Ready, Some(b.now))],
        );
        for request in 0..for_seconds as u64 * 5 {
            let mut actions = b.arrive(request, 20 + request, 0, 600 * MS);
            actions.extend(b.advance(200 * MS));
            for a in actions {
                if let Action::Send {
                    request, worker, ..
                } = a
                {
                    sends += 1;
                    b.end_attempt(request.0, 0, worker, Outcome::NotLoaded);
                }
            }
        }
    }
    sends
}

/// Full size: divided among a hundred, a budget lets nothing through for a whole warm-up; taken whole by each, it
/// pushes the worker over. A call weighs 0.2 s here (a fifth of the aim), misses too; the worker starts at 0.2 of
/// one core and may get twice what it can do within any 2 s.
#[test]
fn a_cold_worker_is_neither_pushed_over_nor_left_idle_at_any_number_of_front_ends() {
    for siblings in [1, 3, 30, 120] {
        let first = sends_to_a_cold_worker(siblings, 2);
        assert!(
            first as f64 * 0.2 <= 2.0 * 0.2 * 2.0 * 1.5,
            "{siblings}: {first} sends in the first 2 s"
        );
        let whole = sends_to_a_cold_worker(siblings, 9);
        assert!(
            whole >= 8,
            "{siblings}: {whole} sends in nine tenths of the warm-up"
        );
    }
}

#[test]
fn a_restarted_worker_is_taken_as_empty() {
    let mut b = Harness::new(Settings {
        front_ends: 3,
        ..settings_with(Effect::Safe)
    });
    b.ready_workers(1);
    let at = b.load_and_send(1, 9, 0);
    b.end_attempt(1, 0, at, Outcome::Served);
    b.now = b.now.plus(1_000 * MS);
    b.worker_list(
        ListKind::Changes,
        vec![worker(1, WorkerState::Ready, Some(b.now))],
    );
    b.now = b.now.plus(20_000 * MS);
    assert_eq!(sent_to(&b.arrive(2, 9, 0, 5_000 * MS)), None);
}

#[test]
fn load_orders_stay_within_the_ration() {
    let ration = Some(LoadBudget {
        free: 2.0,
        arrival_share: 0.25,
        period: 5_000 * MS,
    });
    let mut b = Harness::new(Settings {
        load_budget: ration,
        ..settings_with(Effect::Safe)
    });
    b.ready_workers(8);
    let mut orders = 0;
    for i in 0..40 {
        b.now = b.now.plus(10 * MS);
        let actions = b.arrive(i, 100 + i, 0, 5_000 * MS);
        if let Some(w) = requested_load(&actions) {
            orders += 1;
            b.end_load(w, 100 + i, Outcome::Served);
        }
        assert!(orders as f64 <= 2.0 + 0.25 * (i + 1) as f64);
    }
    assert!(orders > 5, "and are used: {orders}");
}

#[test]
fn settings_without_sense_are_an_error() {
    let none = Settings {
        classes: Vec::new(),
        ..Settings::default()
    };
    assert!(Router::new(none, 1, Time(0))
        .err()
        .unwrap()
        .to_string()
        .contains("no class"));
}

/// Incidents i7100b7 and i39140c: a stalled front end is handed calls whose time has already run out.
#[test]
fn a_call_without_time_left_is_answered_in_the_same_breath() {
    for effect in [Effect::Safe, Effect::Unsafe] {
        let mut b = Harness::new(settings_with(effect));
        b.ready_workers(1);
        for (i, budget) in [0, 3 * MS, -5].into_iter().enumerate() {
            let actions = b.arrive(i as u64, 9, 0, budget);
            let request = RequestId(i as u64);
            assert!(
                actions.contains(&Action::Reject {
                    request,
                    stay_away: 0
                }),
                "{actions:?}"
            );
        }
    }
}

/// Incident i7100b7: after a stall of our own, no worker is blamed for the silence.
#[test]
fn a_stall_of_our_own_blames_no_worker() {
    let mut b = Harness::new(settings_with(Effect::Safe));
    b.ready_workers(2);
    let at = b.load_and_send(1, 9, 0);
    b.end_attempt(1, 0, at, Outcome::Served);
    b.arrive(2, 9, 0, 5_000 * MS);
    b.now = b.now.plus(3_000 * MS);
    let actions = b.handle(Event::Timer { token: 0 });
    assert!(
        !actions.iter().any(|a| matches!(a, Action::Cancel { .. })),
        "{actions:?}"
    );
}

/// Incident i808d55: one place keeps silent while its worker answers for other functions.
#[test]
fn a_silent_place_rests_and_another_is_loaded() {
    let mut b = Harness::new(settings_with(Effect::Safe));
    b.ready_workers(3);
    let at = b.load_and_send(1, 9, 0);
    b.end_attempt(1, 0, at, Outcome::Served);
    assert_eq!(sent_to(&b.arrive(2, 9, 0, 3_000 * MS)), Some(at));
    let actions = b.end_attempt(2, 0, at, Outcome::TimedOut);
    assert_eq!(sent_to(&actions), None, "nothing goes back to it at once");
    assert!(
        requested_load(&actions).is_some_and(|w| w != at),
        "{actions:?}"
    );
}

/// Full size (quiet and i1431d9): by own count a lane is always free, so every front end sends to the one place that
/// all name first. A function with much traffic over all front ends has several homes, begun in an own order.
#[test]
fn a_busy_function_is_spread_over_several_homes_and_front_ends_begin_at_different_ones() {
    let mut firsts = std::collections::BTreeSet::new();
    for me in 0..12 {
        let mut b = Harness::new(Settings {
            front_ends: 100,
            front_end: me,
            ..settings_with(Effect::Safe)
        });
        b.ready_workers(10);
        let mut used = std::collections::BTreeSet::new();
        for i in 0..20 {
            let mut actions = b.arrive(i, 9, 0, 2_000 * MS);
            for _ in 0..8 {
                let load = actions.iter().find_map(|a| match a {
                    Action::Load { worker, .. } => Some(*worker),
                    _ => None,
                });
                if let Some(at) = sent_to(&actions) {
                    used.insert(at);
                    firsts.extend((used.len() == 2).then_some(at));
                    b.end_attempt(i, 0, at, Outcome::Served);
                }
                let Some(at) = load else { break };
                actions = b.end_load(at, 9, Outcome::Served);
            }
            b.advance(500 * MS);
        }
        assert!(used.len() >= 4, "front end {me} used {used:?}");
    }
    assert!(firsts.len() >= 4, "all begin at {firsts:?}");
}

/// A fleet at full size in which a call that finds nothing loaded says so.
fn one_of_a_hundred(me: usize) -> Settings {
    Settings {
        front_ends: 100,
        front_end: me,
        miss_policy: MissPolicy::Miss,
        reports_concurrency: true,
        ..settings_with(Effect::Safe)
    }
}

/// An answer to the only attempt of a call, with the calls of its function that the worker held.
fn served_among(b: &mut Harness, request: u64, worker: WorkerId, crowd: u32) -> Vec<Action> {
    b.served_with(RequestId(request), worker, 100 * MS, Some(crowd), None)
}

/// A release at full size: a hundred front ends with one load each in hand push the store over. The fleet takes few
/// a worker, so a front end's share comes in turns; what siblings had loaded is found by the call itself.
#[test]
fn loads_after_a_release_are_few_over_all_front_ends_and_standing_instances_are_found_by_the_call()
{
    let mut b = Harness::new(one_of_a_hundred(0));
    b.ready_workers(10);
    let (mut orders, mut found) = (0, 0);
    for i in 0..40 {
        let actions = b.arrive(i, 100 + i, 0, 2_000 * MS);
        assert_eq!(
            requested_load(&actions),
            None,
            "loaded before a call found it missing"
        );
        let at = sent_to(&actions).expect("presumed at its home");
        if i % 2 == 0 {
            orders += requested_load(&b.end_attempt(i, 0, at, Outcome::NotLoaded)).is_some() as u32;
        } else {
            found += 1;
            b.end_attempt(i, 0, at, Outcome::Served);
        }
        b.advance(50 * MS);
    }
    assert!(
        (1..=2).contains(&orders) && found == 20,
        "{orders} orders, {found} found in 2 s"
    );
}

/// Where a miss would load, a call must not go and see: what siblings had loaded is asked for, at no load.
#[test]
fn where_a_miss_would_load_standing_instances_are_found_by_asking() {
    let mut b = Harness::new(Settings {
        front_ends: 100,
        ..settings_with(Effect::Safe)
    });
    b.ready_workers(10);
    let (mut orders, mut asked) = (0, 0);
    for i in 0..40 {
        for a in b.arrive(i, 100 + i, 0, 2_000 * MS) {
            match a {
                Action::Load {
                    instances: 0,
                    worker,
                    ..
                } => {
                    asked += 1;
                    let found = b.end_load(worker, 100 + i, Outcome::Served);
                    assert_eq!(sent_to(&found), Some(worker), "a sibling had it loaded");
                    b.end_attempt(i, 0, worker, Outcome::Served);
                }
                Action::Load { .. } => orders += 1,
                a => panic!("{a:?} before anything is known to stand"),
            }
        }
        b.advance(50 * MS);
    }
    assert!(
        (1..=2).contains(&orders) && asked > 30,
        "{orders} orders, {asked} asked in 2 s"
    );
}

/// All front ends presume a function at the same place, so that the one that has it loaded is met by all.
#[test]
fn front_ends_presume_a_quiet_function_at_the_same_places() {
    let mut firsts = std::collections::BTreeSet::new();
    for me in 0..20 {
        let mut b = Harness::new(one_of_a_hundred(me));
        b.ready_workers(30);
        firsts.extend(sent_to(&b.arrive(1, 9, 0, 2_000 * MS)));
    }
    assert!(firsts.len() <= 2, "{firsts:?}");
}

/// A front end that sees few calls of a function learns from the crowd at its place that all send many.
#[test]
fn a_function_goes_to_more_places_as_answers_tell_of_a_crowd_and_not_without() {
    let places = |crowd: u32| {
        let mut b = Harness::new(one_of_a_hundred(3));
        b.ready_workers(10);
        let mut used = std::collections::BTreeSet::new();
        for i in 0..30 {
            let at = sent_to(&b.arrive(i, 9, 0, 2_000 * MS)).expect("presumed");
            used.insert(at);
            served_among(&mut b, i, at, crowd);
            b.advance(200 * MS);
        }
        used.len()
    };
    let (quiet, busy) = (places(0), places(20));
    assert!(
        quiet <= 2 && busy >= 6,
        "{quiet} places without a crowd, {busy} with one"
    );
}

/// What found nothing at the presumed places ends as a held call with a load, and never uses its last attempts so.
#[test]
fn a_call_that_misses_is_held_for_a_load_with_attempts_to_spare() {
    let mut b = Harness::new(one_of_a_hundred(0));
    b.ready_workers(10);
    // A busy function with many places, all of them unloaded since.
    for i in 10..40 {
        let at = sent_to(&b.arrive(i, 9, 0, 2_000 * MS)).expect("presumed");
        served_among(&mut b, i, at, 20);
    }
    b.advance(15 * SECOND);
    let (mut attempt, mut load) = (0, None);
    let mut actions = b.arrive(1, 9, 0, 3_000 * MS);
    while let Some(at) = sent_to(&actions) {
        actions = b.end_attempt(1, attempt, at, Outcome::NotLoaded);
        load = load.or(requested_load(&actions));
        attempt += 1;
    }
    assert!(
        (1..=2).contains(&attempt),
        "{attempt} attempts of four spent on presuming"
    );
    let at = load
        .or_else(|| requested_load(&b.advance(1_000 * MS)))
        .expect("a load");
    assert_eq!(sent_to(&b.end_load(at, 9, Outcome::Served)), Some(at));
}

/// Rolling change at full size: the place of a function is at a worker that started just now and has no credit for
/// a call. It is not waited for; another place is loaded.
#[test]
fn a_cold_place_without_credit_is_not_waited_for() {
    let mut set = settings_with(Effect::Safe);
    set.miss_policy = MissPolicy::Miss;
    (set.slow_start_window, set.front_ends) = (60 * SECOND, 6);
    let mut b = Harness::new(set);
    b.ready_workers(1);
    let at = sent_to(&b.arrive(1, 9, 0, 5_000 * MS)).expect("presumed");
    b.end_attempt(1, 0, at, Outcome::Served);
    b.advance(1_000 * MS);
    let entries = vec![
        worker(1, WorkerState::Ready, Some(b.now)),
        worker(2, WorkerState::Ready, None),
    ];
    b.worker_list(ListKind::Full, entries);
    // Until its credit is used up the cold one takes calls; then they go to the other one.
    let mut to = [0, 0];
    for i in 2..40 {
        let mut actions = b.arrive(i, 9, 0, 400 * MS);
        actions.extend(b.advance(20 * MS));
        while let Some(a) = actions.pop() {
            match a {
                Action::Load { worker, .. } => {
                    actions.extend(b.end_load(worker, 9, Outcome::Served))
                }
                Action::Send {
                    request, worker, ..
                } => {
                    to[worker.0 as usize - 1] += 1;
                    actions.extend(b.served_after(request, worker, 100 * MS));
                }
                _ => {}
            }
        }
    }
    assert!(to[1] > 30, "{to:?} sent to the cold and to the warm one");
}

/// A worker that tells to be half busy could carry twice what it is seen to carry: a cold one of its size gets so much.
#[test]
fn cold_workers_are_given_by_what_workers_could_carry() {
    let to_cold = |busy: f64| {
        let mut set = settings_with(Effect::Safe);
        (set.slow_start_window, set.front_ends) = (600 * SECOND, 2);
        let mut b = Harness::new(set);
        b.ready_workers(2);
        let report = Some(LoadReport {
            utilization: Some(busy),
            ..LoadReport::default()
        });
        let mut out: std::collections::VecDeque<(Time, RequestId, WorkerId)> = Default::default();
        let mut cold = 0;
        for i in 0..4000u64 {
            if i == 2000 {
                let mut entries: Vec<_> = (1..=2)
                    .map(|n| worker(n, WorkerState::Ready, None))
                    .collect();
                entries.push(worker(3, WorkerState::Ready, Some(b.now)));
                b.worker_list(ListKind::Full, entries);
            }
            let mut actions = b.arrive(i, i / 2_000 * 100 + i % 40, 0, 2_000 * MS);
            b.now = b.now.plus(10 * MS);
            actions.extend(b.handle(Event::Timer { token: 0 }));
            while out.front().is_some_and(|(at, ..)| *at <= b.now) {
                let (_, request, worker) = out.pop_front().expect("one is due");
                actions.extend(b.served_with(request, worker, 100 * MS, None, report));
            }
            while let Some(a) = actions.pop() {
                match a {
                    Action::Load {
                        worker, function, ..
                    } => actions.extend(b.end_load(worker, function.0, Outcome::Served)),
                    Action::Send {
                        request, worker, ..
                    } => {
                        cold += (worker.0 == 3) as u32;
                        out.push_back((b.now.plus(100 * MS), request, worker));
                    }
                    _ => {}
                }
            }
        }
        cold
    };
    let (full, half) = (to_cold(1.0), to_cold(0.5));
    assert!(
        half * 10 > full * 15,
        "{full} calls where workers are full, {half} where they are half busy"
    );
}

/// Slow answers at full size (ageing, few cores, a jam): a worker whose answers come late gets fewer calls.
#[test]
fn a_worker_that_answers_slowly_gets_less() {
    let mut b = Harness::new(Settings {
        front_ends: 3,
        ..settings_with(Effect::Safe)
    });
    b.ready_workers(2);
    let mut sends = [0, 0];
    for i in 0..120u64 {
        let mut actions = b.arrive(i, 9, 0, 4_000 * MS);
        b.now = b.now.plus(50 * MS);
        while let Some(a) = actions.pop() {
            match a {
                Action::Load { worker, .. } => {
                    actions.extend(b.end_load(worker, 9, Outcome::Served))
                }
                Action::Send {
                    request, worker, ..
                } => {
                    sends[worker.0 as usize - 1] += (i >= 60) as u32;
                    let latency = if worker.0 == 1 { 700 * MS } else { 70 * MS };
                    actions.extend(b.served_after(request, worker, latency));
                }
                _ => {}
            }
        }
    }
    assert!(sends[0] * 2 < sends[1], "{sends:?}");
}

/// Workers and functions that come and go for long leave nothing behind that acts: a worker that was gone for
/// minutes is as new when it returns, and one that the list forgot takes nothing.
#[test]
fn a_worker_gone_for_minutes_is_as_new_when_it_returns() {
    let mut b = Harness::new(settings_with(Effect::Safe));
    b.ready_workers(1);
    let at = b.load_and_send(1, 9, 0);
    b.end_attempt(1, 0, at, Outcome::Served);
    b.worker_list(ListKind::Changes, vec![worker(1, WorkerState::Gone, None)]);
    b.advance(120_000 * MS);
    b.end_attempt(1, 0, at, Outcome::TimedOut);
    assert_eq!(requested_load(&b.arrive(2, 9, 0, 1_000 * MS)), None);
    b.worker_list(ListKind::Changes, vec![worker(1, WorkerState::Ready, None)]);
    assert_eq!(requested_load(&b.arrive(3, 9, 0, 1_000 * MS)), Some(at));
}

/// A lost zone of many workers: without pacing each suspect costs probes on its own clock. All tests together are
/// paced, and each suspect still gets its turn.
#[test]
fn many_suspects_are_tested_in_turn_and_not_all_at_once() {
    let mut b = Harness::new(Settings {
        may_probe: true,
        ..settings_with(Effect::Safe)
    });
    b.ready_workers(30);
    let mut lost = std::collections::BTreeSet::new();
    for i in 0..400 {
        if let Some(at) = requested_load(&b.arrive(i, 100 + i, 0, 300 * MS)) {
            if sent_to(&b.end_load(at, 100 + i, Outcome::Served)).is_some() {
                b.end_attempt(i, 0, at, Outcome::ConnectFailed);
                lost.insert(at);
            }
        }
    }
    assert!(lost.len() > 25, "{} suspects", lost.len());
    let probed = |actions: &[Action]| -> Vec<WorkerId> {
        let probe = |a: &Action| {
            if let Action::Probe { worker } = a {
                Some(*worker)
            } else {
                None
            }
        };
        actions.iter().filter_map(probe).collect()
    };
    b.advance(1_000 * MS);
    let first = probed(&b.advance(5_000 * MS));
    assert!(
        (8..=16).contains(&first.len()),
        "{} probes in 5 s",
        first.len()
    );
    let all: std::collections::BTreeSet<WorkerId> =
        probed(&b.advance(30_000 * MS)).into_iter().collect();
    assert!(
        lost.is_subset(&all),
        "{} of {} tested",
        all.len(),
        lost.len()
    );
}

/// Odd settings and lists: own number outside the count, a very large count, an empty zone.
#[test]
fn an_own_number_outside_the_count_and_a_huge_count_still_serve() {
    for (me, siblings) in [
        (7, 1),
        (usize::MAX, 3),
        (0, 1_000_000),
        (usize::MAX, usize::MAX),
    ] {
        let mut b = Harness::new(Settings {
            front_end: me,
            front_ends: siblings,
            zone: 99,
            ..settings_with(Effect::Safe)
        });
        b.worker_list(ListKind::Full, Vec::new());
        b.arrive(1, 9, 0, 500 * MS);
        b.worker_list(
            ListKind::Full,
            vec![
                worker(1, WorkerState::Ready, Some(b.now)),
                worker(2, WorkerState::Ready, None),
            ],
        );
        let mut actions = b.arrive(2, 9, 0, 30_000 * MS);
        actions.extend(b.advance(30_000 * MS));
        let asked = actions.iter().any(|a| matches!(a, Action::Load { .. }));
        assert!(asked, "{me} of {siblings}: {actions:?}");
    }
}

#[test]
fn a_keyed_call_is_repeated_within_its_group_and_window_only() {
    for (group, window, late) in [
        (Group::Zone, 4_000, false),
        (Group::Cell, 4_000, false),
        (Group::All, 600, true),
    ] {
        let mut b = Harness::new(settings_with(Effect::Keyed {
            group,
            window: window * MS,
        }));
        b.ready_workers(4);
        let first = b.load_and_send(1, 9, 0);
        b.now = b.now.plus(if late { 300 * MS } else { 10 * MS });
        let mut actions = b.end_attempt(1, 0, first, Outcome::ConnectionLost);
        for _ in 0..60 {
            if let Some(w) = requested_load(&actions) {
                actions = b.end_load(w, 9, Outcome::Served);
            }
            if let Some(w) = sent_to(&actions) {
                assert!(!late, "out of its window");
                assert!(
                    w == first || group == Group::Zone && w.0 % 2 == first.0 % 2,
                    "{group:?}: {w:?}"
                );
                break;
            }
            b.now = b.now.plus(50 * MS);
            actions = b.handle(Event::Timer { token: 0 });
        }
        let refused = actions.iter().any(|a| matches!(a, Action::Reject { .. }));
        assert!(
            !refused || group == Group::All,
            "{group:?} may have run: no refusal"
        );
    }
}

#[test]
fn an_unsafe_call_is_never_taken_back_from_a_silent_worker() {
    for (effect, cancels) in [(Effect::Safe, true), (Effect::Unsafe, false)] {
        let mut b = Harness::new(settings_with(effect));
        b.ready_workers(3);
        let at = b.load_and_send(1, 9, 0);
        b.end_attempt(1, 0, at, Outcome::Served);
        b.arrive(2, 9, 0, 5_000 * MS);
        let actions = b.advance(4_000 * MS);
        assert_eq!(
            actions.iter().any(|a| matches!(a, Action::Cancel { .. })),
            cancels,
            "{effect:?}"
        );
    }
}

#[test]
fn a_departed_client_is_owed_nothing() {
    let mut b = Harness::new(settings_with(Effect::Safe));
    b.ready_workers(1);
    b.arrive(1, 9, 0, 500 * MS);
    b.handle(Event::ClientLeft {
        request: RequestId(1),
    });
    let actions = b.advance(1_000 * MS);
    assert!(
        !actions
            .iter()
            .any(|a| matches!(a, Action::Reject { .. } | Action::Fail { .. })),
        "{actions:?}"
    );
}

#[test]
fn huge_and_odd_numbers_do_not_panic() {
    let mut set = settings_with(Effect::Safe);
    set.classes[0].objective_per_work = 1e9;
    let mut b = Harness::new(set);
    b.ready_workers(2);
    for (i, (budget, hint)) in [(i64::MAX, i64::MAX), (i64::MIN, i64::MIN), (1, 0)]
        .into_iter()
        .enumerate()
    {
        b.handle(Event::Arrival(Arrival {
            request: RequestId(i as u64),
            function: FunctionId(1),
            class: 99,
            tenant: 99,
            budget,
            work_hint: Some(hint),
            lanes: 0,
            memory_mb: f64::NAN,
            load_time: Some(i64::MAX),
            repeat: true,
        }));
        b.end_load(WorkerId(1 + i as u64), 1, Outcome::Served);
    }
    b.end_attempt(77, 3, WorkerId(99), Outcome::Served);
    b.end_attempt(0, 0, WorkerId(1), Outcome::TimedOut);
    b.advance(1_000 * MS);
}

/// One worker, orders answered by `answer` as soon as they are given, calls likewise missed; counts the orders of
/// five seconds. `functions` functions have calls waiting all the time.
fn orders_in_five_seconds(
    set: Settings,
    workers: u64,
    functions: u64,
    answer: (Outcome, u32),
) -> usize {
    let mut b = Harness::new(set);
    b.ready_workers(workers);
    let (mut orders, mut next) = (0, 0);
    let mut todo = std::collections::VecDeque::new();
    while b.now < Time(5_000 * MS) {
        for f in 0..functions {
            next += 1;
            todo.extend(b.arrive(next, f, 0, 5_000 * MS));
        }
        todo.extend(b.handle(Event::Timer { token: 0 }));
        let mut steps = 0;
        while let Some(a) = todo.pop_front() {
            steps += 1;
            assert!(steps < 100_000, "orders at the loop's speed");
            match a {
                Action::Load {
                    worker,
                    function,
                    instances: wanted,
                } => {
                    orders += (wanted > 0) as usize;
                    let (outcome, instances) = answer;
                    let latency = 100;
                    todo.extend(b.handle(Event::LoadEnded {
                        worker,
                        function,
                        outcome,
                        latency,
                        instances,
                    }));
                }
                Action::Send {
                    request, worker, ..
                } => {
                    let d = AttemptResult {
                        request,
                        attempt: 0,
                        worker,
                        outcome: Outcome::NotLoaded,
                        concluded: true,
                        latency: 100,
                        instance_status: InstanceStatus::Silent,
                        concurrency: None,
                        report: None,
                    };
                    todo.extend(b.handle(Event::AttemptEnded(d)));
                }
                _ => {}
            }
        }
        b.now = b.now.plus(50 * MS);
    }
    orders
}

#[test]
fn orders_in_vain_wait_longer_each_time_at_a_place_and_are_paced_over_all() {
    for answer in [
        (Outcome::Served, 0),
        (Outcome::Error, 0),
        (Outcome::Rejected, 0),
        (Outcome::NotLoaded, 0),
    ] {
        // At one place: at once, once more, then after half a second to three quarters, twice that, four times.
        let n = orders_in_five_seconds(settings_with(Effect::Safe), 1, 1, answer);
        assert!((3..=6).contains(&n), "{answer:?}: {n}");
        let n = orders_in_five_seconds(settings_with(Effect::Safe), 1, 40, answer);
        assert!(
            (90..=102).contains(&n),
            "{answer:?}: {n} for many functions at one worker"
        );
        let n = orders_in_five_seconds(settings_with(Effect::Safe), 20, 40, answer);
        // Those in hand before the first answer, two a worker, then the pace.
        assert!((60..=142).contains(&n), "{answer:?}: {n} at twenty workers");
    }
    let n = orders_in_five_seconds(settings_with(Effect::Safe), 1, 1, (Outcome::Served, 1));
    assert!((3..=6).contains(&n), "told done and missed: {n}");
}

#[test]
fn a_call_served_or_a_restart_clears_what_was_in_vain() {
    for restart in [false, true] {
        let mut b = Harness::new(settings_with(Effect::Safe));
        b.ready_workers(1);
        let mut at = requested_load(&b.arrive(1, 9, 0, 60_000 * MS)).expect("a load");
        for _ in 0..4 {
            let mut next = b.end_load(at, 9, Outcome::Error);
            while requested_load(&next).is_none() {
                next = b.advance(10 * MS);
            }
            at = requested_load(&next).unwrap();
        }
        let since = b.now;
        let next = if restart {
            b.end_load(at, 9, Outcome::Error);
            let now = b.now;
            b.worker_list(
                ListKind::Full,
                vec![worker(1, WorkerState::Ready, Some(now))],
            );
            b.advance(60 * MS)
        } else {
            assert_eq!(sent_to(&b.end_load(at, 9, Outcome::Served)), Some(at));
            b.end_attempt(1, 0, at, Outcome::Served);
            // It lapses; the next order fails once, and is given again at once as after a first failure.
            b.advance(20_000 * MS);
            assert!(requested_load(&b.arrive(2, 9, 0, 60_000 * MS)).is_some());
            b.end_load(at, 9, Outcome::Error);
            b.advance(600 * MS)
        };
        assert!(
            requested_load(&next).is_some(),
            "restart {restart}, {} us on",
            b.now.since(since)
        );
    }
}

#[test]
#[expect(
    clippy::too_many_lines,
    reason = "one table or one history, read from top to bottom"
)]
fn with_thousands_waiting_late_lost_and_repeated_calls_are_still_found_in_their_order() {
    // Calls with hints from light to heavy wait on one busy lane; some come back from a worker that is cut off.
    let mut set = settings_with(Effect::Safe);
    set.classes[0].latency_objective = 2 * SECOND;
    set.classes[0].deadline = 6 * SECOND;
    let mut b = Harness::new(set);
    b.ready_workers(2);
    let (mut ended, mut next) = (std::collections::BTreeMap::new(), 0u64);
    let mut began = std::collections::BTreeMap::new();
    let mut out: Vec<(RequestId, WorkerId, u32)> = Vec::new();
    let mut attempts: std::collections::BTreeMap<RequestId, u32> = Default::default();
    let mut rng = fastrand::Rng::with_seed(5);
    for step in 0..900 {
        let mut actions = Vec::new();
        if step < 300 {
            for _ in 0..10 {
                next += 1;
                began.insert(RequestId(next), b.now);
                actions.extend(b.handle(Event::Arrival(Arrival {
                    request: RequestId(next),
                    function: FunctionId(next % 3),
                    class: 0,
                    tenant: 0,
                    budget: rng.i64(1_000..6_000) * MS,
                    work_hint: Some(rng.i64(1..200) * MS),
                    lanes: 2,
                    memory_mb: 300.0,
                    load_time: Some(50 * MS),
                    repeat: false,
                })));
            }
        }
        if !out.is_empty() {
            let (request, worker, attempt) = out.remove(0);
            let outcome = *rng
                .choice(&[Outcome::Served, Outcome::Served, Outcome::Rejected])
                .unwrap();
            let concluded = outcome == Outcome::Served;
            if concluded {
                ended.insert(request, b.now);
            }
            let (latency, note) = (20 * MS, InstanceStatus::Warm);
            let d = AttemptResult {
                request,
                attempt,
                worker,
                outcome,
                concluded,
                latency,
                instance_status: note,
                concurrency: None,
                report: None,
            };
            actions.extend(b.handle(Event::AttemptEnded(d)));
        }
        b.now = b.now.plus(10 * MS);
        actions.extend(b.handle(Event::Timer { token: 0 }));
        while let Some(a) = actions.pop() {
            match a {
                Action::Load {
                    worker, function, ..
                } => {
                    actions.extend(b.end_load(worker, function.0, Outcome::Served));
                }
                Action::Send {
                    request, worker, ..
                } => {
                    let n = attempts.entry(request).or_default();
                    out.push((request, worker, *n));
                    *n += 1;
                }
                Action::Reject { request, .. } | Action::Fail { request } => {
                    assert!(
                        ended.insert(request, b.now).is_none(),
                        "{request:?} ended twice"
                    );
                }
                _ => {}
            }
        }
    }
    assert_eq!(ended.len() as u64, next, "every call has an end");
    let late = ended
        .iter()
        .filter(|(r, at)| at.since(began[r]) > 6 * SECOND)
        .count();
    assert_eq!(late, 0, "none after its client's time");
}

#[test]
fn a_held_call_ends_when_it_can_no_longer_be_of_use_and_not_at_its_deadline() {
    // Too late for any worth, behind calls whose aims are further off.
    let mut set = settings_with(Effect::Safe);
    (
        set.classes[0].late_weight,
        set.classes[0].latency_objective,
        set.classes[0].deadline,
    ) = (0.0, SECOND, 30 * SECOND);
    set.classes.push(Class {
        latency_objective: 20 * SECOND,
        ..set.classes[0].clone()
    });
    let mut b = Harness::new(set);
    b.ready_workers(1);
    for n in 2..200 {
        b.arrive(n, 9, 1, 30_000 * MS);
    }
    b.arrive(1, 9, 0, 30_000 * MS);
    let refused = Action::Reject {
        request: RequestId(1),
        stay_away: 0,
    };
    assert!(
        !b.advance(500 * MS).contains(&refused),
        "half of its aim is left"
    );
    let actions = b.advance(500 * MS);
    assert_eq!(
        actions
            .iter()
            .filter(|a| matches!(a, Action::Reject { .. }))
            .collect::<Vec<_>>(),
        [&refused]
    );

    // Sent once, and from a moment on not to be sent again, with its aim far off.
    let mut set = settings_with(Effect::Keyed {
        group: Group::Zone,
        window: 3 * SECOND,
    });
    (set.classes[0].latency_objective, set.classes[0].deadline) = (5 * SECOND, 60 * SECOND);
    let mut b = Harness::new(set);
    b.ready_workers(1);
    let at = b.load_and_send(1, 9, 0);
    b.arrive(2, 9, 0, 60_000 * MS);
    b.end_attempt(1, 0, at, Outcome::ConnectionLost);
    let failed = Action::Fail {
        request: RequestId(1),
    };
    assert!(
        !b.advance(2_000 * MS).contains(&failed),
        "it may be sent again yet"
    );
    assert!(
        b.advance(600 * MS).contains(&failed),
        "its window, less two connect time-outs, is over"
    );
}

#[test]
fn with_very_many_functions_waiting_each_is_looked_over_in_its_turn() {
    let (workers, functions) = (300, 600);
    let mut b = Harness::new(settings_with(Effect::Safe));
    b.ready_workers(workers);
    let none = (1..=workers)
        .map(|i| worker(i, WorkerState::Draining, None))
        .collect();
    b.worker_list(ListKind::Full, none);
    for f in 0..functions {
        assert_eq!(
            requested_load(&b.arrive(f + 1, f, 0, 60_000 * MS)),
            None,
            "no worker to load it"
        );
    }
    // Once there are workers again, only a look can find that a function may be loaded.
    b.ready_workers(workers);
    let (mut looked, mut most) = (std::collections::BTreeSet::new(), 0);
    for _ in 0..12 {
        let before = looked.len();
        looked.extend(b.advance(20 * MS).iter().filter_map(|a| match a {
            Action::Load { function, .. } => Some(*function),
            _ => None,
        }));
        most = most.max(looked.len() - before);
    }
    assert_eq!(
        looked.len() as u64,
        functions,
        "looked over within twelve looks"
    );
    assert!(
        most < functions as usize / 2,
        "{most} of {functions} in one look"
    );
}

#[test]
fn a_list_that_fails_at_once_is_asked_for_seldom() {
    let set = Settings {
        list_pushed: false,
        max_list_poll_interval: SECOND,
        ..settings_with(Effect::Safe)
    };
    let mut b = Harness::new(set);
    b.ready_workers(1);
    let (mut asked, mut todo) = (0, Vec::new());
    while b.now < Time(5_000 * MS) {
        b.now = b.now.plus(10 * MS);
        todo.extend(b.handle(Event::Timer { token: 0 }));
        while let Some(a) = todo.pop() {
            if matches!(a, Action::Subscribe | Action::FetchList) {
                asked += 1;
                assert!(asked < 1_000, "asked at the loop's speed");
                todo.extend(b.worker_list(ListKind::Failed, Vec::new()));
            }
        }
    }
    // At most once a quarter of the time within which it is to be asked for, and never not.
    assert!((5..=20).contains(&asked), "{asked} in 5 s");
}

fn asked_worker(actions: &[Action]) -> Option<WorkerId> {
    actions.iter().find_map(|a| match a {
        Action::Load {
            worker,
            instances: 0,
            ..
        } => Some(*worker),
        _ => None,
    })
}

/// One worker with one function that has served at 100 ms.
fn served_once() -> (Harness, WorkerId) {
    let mut b = Harness::new(settings_with(Effect::Safe));
    b.now = Time(10 * SECOND);
    b.ready_workers(1);
    let at = b.load_and_send(1, 9, 0);
    b.now = b.now.plus(100 * MS);
    b.end_attempt(1, 0, at, Outcome::Served);
    (b, at)
}

/// Answers the next ask for a worker's instances, as one that stands.
fn answer_next(b: &mut Harness, at: WorkerId) -> Vec<Action> {
    let asks = (0..200).any(|_| asked_worker(&b.advance(10 * MS)) == Some(at));
    assert!(asks, "a suspect that is never asked");
    b.end_load(at, 9, Outcome::Served)
}

#[test]
fn a_trial_of_a_suspect_has_the_time_that_an_answer_takes() {
    let (mut b, at) = served_once();
    // Silence: a call is taken back, and the worker gets no further one.
    assert_eq!(sent_to(&b.arrive(2, 9, 0, 5_000 * MS)), Some(at));
    let taken_back =
        |actions: &[Action]| actions.iter().any(|a| matches!(a, Action::Cancel { .. }));
    assert!(taken_back(&b.advance(3_000 * MS)));
    b.end_attempt(2, 0, at, Outcome::Cancelled);
    assert_eq!(sent_to(&b.arrive(3, 9, 0, 400 * MS)), None);
    b.advance(400 * MS);
    // Its process answers: one call is tried, and left there for as long as an answer takes.
    answer_next(&mut b, at);
    let trial = b.arrive(4, 9, 0, 5_000 * MS);
    assert_eq!(sent_to(&trial), Some(at));
    assert!(
        !taken_back(&b.advance(100 * MS)),
        "taken back before it could be answered"
    );
    assert_eq!(
        sent_to(&b.arrive(5, 9, 0, 5_000 * MS)),
        None,
        "one trial at a time"
    );
    let next = b.end_attempt(4, 0, at, Outcome::Served);
    assert_eq!(
        sent_to(&next),
        Some(at),
        "a trial that was served clears the worker"
    );
}

#[test]
fn a_lost_connection_is_cleared_by_the_next_answer_but_not_twice_in_a_second() {
    let (mut b, at) = served_once();
    assert_eq!(sent_to(&b.arrive(2, 9, 0, 5_000 * MS)), Some(at));
    assert_eq!(
        sent_to(&b.end_attempt(2, 0, at, Outcome::ConnectionLost)),
        None
    );
    let began = b.now;
    let actions = answer_next(&mut b, at);
    assert!(
        b.now.since(began) <= 60 * MS,
        "asked only after {} us",
        b.now.since(began)
    );
    assert_eq!(
        sent_to(&actions),
        Some(at),
        "its process answers: the call goes there again"
    );
    // Again at once: this time a call has to be served before there is more than one.
    b.end_attempt(2, 1, at, Outcome::ConnectionLost);
    let mut actions = answer_next(&mut b, at);
    actions.extend((20..24).flat_map(|id| b.arrive(id, 9, 0, 5_000 * MS)));
    let sends = actions
        .iter()
        .filter(|a| matches!(a, Action::Send { .. }))
        .count();
    assert!(
        sends <= 1,
        "{sends} sent to one that loses every connection"
    );
}

/// Answers that are slow now and then, one call at a time: what a worker with idle cores is given stays as it was, what
/// one with busy cores is given is cut.
#[test]
fn slow_answers_of_a_worker_with_idle_cores_do_not_cut_what_it_is_given() {
    for (busy, most) in [(Some(0.2), 4), (Some(0.9), 1), (None, 1)] {
        let mut set = settings_with(Effect::Safe);
        (set.front_ends, set.may_load) = (3, true);
        let mut b = Harness::new(set);
        b.now = Time(10 * SECOND);
        b.ready_workers(1);
        for n in 0..8 {
            let at = sent_to(&b.arrive(n, 9, 0, 5_000 * MS));
            let at = at.unwrap_or_else(|| {
                sent_to(&b.end_load(WorkerId(1), 9, Outcome::Served)).expect("a send")
            });
            let latency = if n % 4 == 3 { 900 * MS } else { 100 * MS };
            b.now = b.now.plus(latency);
            b.handle(Event::AttemptEnded(AttemptResult {
                request: RequestId(n),
                attempt: 0,
                worker: at,
                outcome: Outcome::Served,
                concluded: true,
                latency,
                instance_status: InstanceStatus::Warm,
                concurrency: None,
                report: Some(LoadReport {
                    utilization: busy,
                    ..LoadReport::default()
                }),
            }));
            b.advance(400 * MS);
        }
        // Four functions with one lane each: how many calls it is given at once.
        let mut sends = 0;
        for f in 20..24 {
            let mut actions = b.arrive(100 + f, f, 0, 5_000 * MS);
            if requested_load(&actions).is_some() {
                actions = b.end_load(WorkerId(1), f, Outcome::Served);
            }
            sends += sent_to(&actions).is_some() as u32;
        }
        assert_eq!(sends, most, "busy {busy:?}");
    }
}

#[test]
fn an_order_whose_connection_is_lost_is_not_in_vain() {
    let (mut b, at) = served_once();
    let first = requested_load(&b.arrive(2, 10, 0, 5_000 * MS));
    assert_eq!(first, Some(at));
    b.end_load(at, 10, Outcome::ConnectionLost);
    // It is given again as soon as the worker answers, well within the half second of a place that is barred.
    let mut actions = answer_next(&mut b, at);
    actions.extend(b.advance(60 * MS));
    assert_eq!(requested_load(&actions), Some(at));
    // And what stood there stands: a call goes to it.
    assert_eq!(sent_to(&b.arrive(3, 9, 0, 5_000 * MS)), Some(at));
}

/// Orders outlast connections that end when nothing passes on them, and stand all the same: where a miss says so a call
/// goes and sees, and the worker is no suspect. Else each order is given again elsewhere, and each worker is shut out.
#[test]
fn an_order_whose_connection_ends_long_after_it_left_is_taken_to_stand() {
    for (latency, stands) in [(500 * MS, true), (MS, false)] {
        let mut b = Harness::new(one_of_a_hundred(0));
        b.ready_workers(10);
        let at = b.miss_until_load(1, 9);
        let (function, outcome) = (FunctionId(9), Outcome::ConnectionLost);
        let told = Event::LoadEnded {
            worker: at,
            function,
            outcome,
            latency,
            instances: 0,
        };
        let actions = b.handle(told);
        assert_eq!(
            sent_to(&actions) == Some(at),
            stands,
            "{latency}: {actions:?}"
        );
        assert_eq!(requested_load(&actions), None, "{latency}: ordered again");
        let asks = (0..20).any(|_| asked_worker(&b.advance(10 * MS)).is_some());
        assert_eq!(asks, !stands, "{latency}: its worker is tested");
    }
}

/// What is taken to stand is as old as its order: a process that started after the order left never got it, so that
/// a call there goes in vain. With a short warm-up nothing else keeps the call away.
#[test]
fn an_order_that_left_before_its_worker_started_again_is_not_taken_to_stand() {
    for restarts in [false, true] {
        let mut set = one_of_a_hundred(0);
        set.slow_start_window = 50 * MS;
        let mut b = Harness::new(set);
        b.ready_workers(10);
        let at = b.miss_until_load(1, 9);
        b.advance(200 * MS);
        if restarts {
            b.worker_list(
                ListKind::Changes,
                vec![worker(at.0, WorkerState::Ready, Some(b.now))],
            );
        }
        b.advance(300 * MS);
        let (function, outcome) = (FunctionId(9), Outcome::ConnectionLost);
        let told = Event::LoadEnded {
            worker: at,
            function,
            outcome,
            latency: 500 * MS,
            instances: 0,
        };
        let actions = b.handle(told);
        assert_eq!(
            sent_to(&actions) == Some(at),
            !restarts,
            "{restarts}: {actions:?}"
        );
    }
}

#[test]
fn a_suspect_that_holds_nothing_warm_is_tried_by_a_load() {
    let (mut b, at) = served_once();
    assert_eq!(sent_to(&b.arrive(2, 9, 0, 5_000 * MS)), Some(at));
    b.advance(3_000 * MS);
    b.end_attempt(2, 0, at, Outcome::Cancelled);
    // Its instances idle out while it is suspected; then it answers again.
    b.advance(20_000 * MS);
    b.arrive(3, 11, 0, 9_000 * MS);
    let mut actions = answer_next(&mut b, at);
    actions.extend(b.advance(100 * MS));
    assert_eq!(
        requested_load(&actions),
        Some(at),
        "no load, and so no call, would ever go there"
    );
    assert_eq!(sent_to(&b.end_load(at, 11, Outcome::Served)), Some(at));
}
