//! Calls that wait for their function's settings: each has one end, in its time, and none once its client has left.

use std::collections::{BTreeMap, BTreeSet};
use tansy_canary::{Judge, Report, Tally, Terms as Judged, Verdict};
use tansy_dispatch::class_counters::PENDING_LOOKUP;
use tansy_dispatch::pending_lookups::{
    LookupResult, PendingLookups, WaitEnd, WaitRefusal, MAX_CALLS, MAX_CALLS_OF_FUNCTION, MAX_WAIT,
};
use tansy_dispatch::{
    Answer, AttemptOutcome, Call, CallId, Command, ConflictingScopes, DispatchConfig, Dispatcher,
    EffectiveConfig, FunctionLookup, FunctionShape, Input, ResponseStage, Trailers, WorkerRecord,
};
use tansyrouter::{Class, Effect, Settings, Span, Time, SECOND};

fn call(id: u64, function: &str, budget: Option<Span>) -> Call {
    Call {
        id: CallId(id),
        function: function.into(),
        class: None,
        tenant: 0,
        budget,
        work_hint: None,
        repeat: false,
        shape: None,
        unknown_names: false,
        waited: 0,
    }
}

/// What a history knows of a call that waits.
struct WaitingCall {
    function: usize,
    came: i64,
    until: i64,
}

/// Plays a random history; the number of releases and of refusals.
fn history(seed: u64) -> Result<(u64, u64), String> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let (mut lookups, mut now, mut next) = (PendingLookups::default(), 0i64, 0u64);
    let mut open: BTreeMap<CallId, WaitingCall> = BTreeMap::new();
    let (mut released, mut refused, mut closed) = (0, 0, false);
    for step in 0..400 {
        // Whoever drives it wakes for its limits.
        let mut to = now + rng.i64(0..60_000);
        to = lookups.next_due().map_or(to, |t| to.min(t.0));
        now = to;
        let mut ends = Vec::new();
        lookups.expire(Time(now), &mut ends);
        let due: Vec<CallId> = open
            .iter()
            .filter(|(_, call)| call.until <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in &due {
            let expired = |e: &WaitEnd| {
                *e == WaitEnd::Refuse {
                    call: *id,
                    reason: WaitRefusal::TimedOut,
                }
            };
            if !ends.iter().any(expired) {
                return Err(format!("{step}: {id:?} waits past its limit"));
            }
        }
        let mut expected = due;
        match rng.u32(0..100) {
            0..60 => {
                next += 1;
                let (function, max_wait) = (rng.usize(0..4), rng.i64(-5_000..2 * MAX_WAIT));
                let id = CallId(next);
                open.insert(
                    id,
                    WaitingCall {
                        function,
                        came: now,
                        until: now + max_wait.min(MAX_WAIT),
                    },
                );
                lookups.add(
                    Time(now),
                    call(next, &format!("f{function}"), None),
                    max_wait,
                    &mut ends,
                );
                if max_wait <= 0 || closed {
                    expected.push(id);
                }
            }
            60..75 => {
                let function = rng.usize(0..4);
                let result = if rng.bool() {
                    LookupResult::Proceed
                } else {
                    LookupResult::Refuse
                };
                let all = open
                    .iter()
                    .filter(|(id, call)| call.function == function && !expected.contains(id));
                let all: Vec<CallId> = all.map(|(id, _)| *id).collect();
                expected.extend(all);
                lookups.resolve(Time(now), &format!("f{function}"), result, &mut ends);
            }
            75..99 => {
                let n = if open.is_empty() {
                    0
                } else {
                    rng.usize(0..open.len())
                };
                if let Some(id) = open
                    .keys()
                    .nth(n)
                    .copied()
                    .filter(|id| !expected.contains(id))
                {
                    if !lookups.remove(id) || lookups.remove(id) {
                        return Err(format!("{step}: {id:?} left, and was there once"));
                    }
                    open.remove(&id);
                }
            }
            _ => {
                closed = true;
                expected = open.keys().copied().collect();
                lookups.close(&mut ends);
            }
        }
        let mut ended = Vec::new();
        for end in ends {
            let id = match &end {
                WaitEnd::Release { call, .. } => call.id,
                WaitEnd::Refuse { call, .. } => *call,
            };
            let Some(waiting) = open.remove(&id) else {
                return Err(format!("{step}: {id:?} ends, and is not there"));
            };
            match end {
                WaitEnd::Release { call, waited } => {
                    released += 1;
                    if now >= waiting.until
                        || waited != now - waiting.came
                        || call.function != format!("f{}", waiting.function)
                    {
                        return Err(format!(
                            "{step}: {call:?} goes on at {now}, having waited {waited}"
                        ));
                    }
                }
                WaitEnd::Refuse { .. } => refused += 1,
            }
            ended.push(id);
        }
        let functions: BTreeSet<String> = open
            .values()
            .map(|call| format!("f{}", call.function))
            .collect();
        if !lookups.functions().eq(functions.iter().map(String::as_str)) {
            return Err(format!(
                "{step}: {:?} wait",
                lookups.functions().collect::<Vec<_>>()
            ));
        }
        ended.sort();
        expected.sort();
        if ended != expected || lookups.len() != open.len() || lookups.is_empty() != open.is_empty()
        {
            return Err(format!(
                "{step}: {ended:?} ended, not {expected:?}; {} wait",
                lookups.len()
            ));
        }
    }
    Ok((released, refused))
}

#[test]
fn every_call_that_waits_has_one_end_in_its_time_and_none_after_its_client_left() {
    let (mut released, mut refused) = (0, 0);
    for seed in 0..300 {
        let (a, b) = history(seed).unwrap_or_else(|e| panic!("seed {seed}: {e}"));
        (released, refused) = (released + a, refused + b);
    }
    assert!(released > 1_000 && refused > 1_000, "{released} {refused}");
}

#[test]
fn no_more_calls_wait_than_there_is_room_for() {
    let (mut lookups, mut ends) = (PendingLookups::default(), Vec::new());
    for n in 0..=MAX_CALLS_OF_FUNCTION as u64 {
        lookups.add(Time(0), call(n, "hot", None), SECOND, &mut ends);
    }
    let full = |id| WaitEnd::Refuse {
        call: CallId(id),
        reason: WaitRefusal::Full,
    };
    assert_eq!(
        std::mem::take(&mut ends),
        [full(MAX_CALLS_OF_FUNCTION as u64)]
    );
    for n in 1000..1000 + MAX_CALLS as u64 {
        lookups.add(Time(0), call(n, &format!("f{n}"), None), SECOND, &mut ends);
    }
    assert_eq!(
        (lookups.len(), ends.len(), &ends[0]),
        (
            MAX_CALLS,
            MAX_CALLS_OF_FUNCTION,
            &full(1000 + (MAX_CALLS - MAX_CALLS_OF_FUNCTION) as u64)
        )
    );
    // There is room again.
    ends.clear();
    assert!(lookups.remove(CallId(1000)));
    lookups.add(Time(0), call(9999, "hot", None), SECOND, &mut ends);
    lookups.add(Time(0), call(9998, "cold", None), SECOND, &mut ends);
    assert_eq!((lookups.len(), ends), (MAX_CALLS, vec![full(9999)]));
}

#[test]
fn a_result_at_the_limit_comes_too_late() {
    for (at, late) in [(MAX_WAIT - 1, false), (MAX_WAIT, true)] {
        let (mut lookups, mut ends) = (PendingLookups::default(), Vec::new());
        lookups.add(Time(0), call(1, "f", None), SECOND, &mut ends);
        lookups.resolve(Time(at), "f", LookupResult::Proceed, &mut ends);
        let end = WaitEnd::Refuse {
            call: CallId(1),
            reason: WaitRefusal::TimedOut,
        };
        assert_eq!((ends.len(), ends[0] == end), (1, late), "{ends:?}");
    }
}

// ---- In the dispatcher ----

struct Scene {
    dispatcher: Dispatcher,
    now: i64,
}

const ABOUT: Span = SECOND / 2;

/// A front end with one worker, two classes and one function of the settings.
fn scene() -> Scene {
    let class = |effect, deadline| Class {
        aim: SECOND / 10,
        aim_stretch: 0.0,
        deadline,
        effect,
        worth: 1.0,
        late_worth: 0.5,
        streamed: false,
    };
    let config = DispatchConfig {
        settings: Settings {
            classes: vec![
                class(Effect::Safe, 3 * SECOND),
                class(Effect::Unsafe, SECOND),
            ],
            max_stay_away: SECOND,
            may_order: false,
            ..Settings::default()
        },
        classes: vec!["safe".into(), "unsafe".into()],
        tenants: vec![],
        zones: vec!["z".into()],
        functions: vec![],
        max_call_time: 60 * SECOND,
        seed: 1,
    };
    let mut scene = Scene {
        dispatcher: Dispatcher::new(config.clone(), Time(0)).expect("good settings"),
        now: 0,
    };
    let conflicting = ConflictingScopes {
        retry_after: ABOUT,
        ..ConflictingScopes::default()
    };
    scene
        .dispatcher
        .apply_settings(
            Time(0),
            EffectiveConfig {
                config,
                conflicting,
            },
            vec![],
        )
        .expect("good settings");
    let worker = WorkerRecord {
        name: "w".into(),
        kind: 0,
        cell: 0,
        zone: 0,
        state: 0,
        age: None,
        relative_size: 1.0,
    };
    scene.give(
        0,
        Input::Workers {
            full: true,
            workers: vec![worker],
        },
    );
    scene
}

impl Scene {
    fn give(&mut self, after: Span, input: Input) -> Vec<Command> {
        self.now += after;
        let mut commands = Vec::new();
        self.dispatcher.step(Time(self.now), input, &mut commands);
        assert!(
            self.dispatcher
                .counters()
                .balances(self.dispatcher.open_calls() as u64),
            "{}",
            self.dispatcher.counters()
        );
        commands
    }
    fn call_pending(&mut self, id: u64, budget: Option<Span>) -> Vec<Command> {
        self.give(
            0,
            Input::CallLookedUp {
                call: call(id, "f", budget),
                lookup: FunctionLookup::Pending,
            },
        )
    }
    fn resolve(&mut self, after: Span, lookup: FunctionLookup) -> Vec<Command> {
        self.give(
            after,
            Input::FunctionResolved {
                function: "f".into(),
                lookup,
            },
        )
    }
}

fn known(class: usize) -> FunctionLookup {
    FunctionLookup::Known {
        class,
        shape: FunctionShape {
            lanes: 4,
            memory_mb: 100.0,
            load_time: None,
        },
    }
}

/// Budgets of attempts and answers.
fn budgets_and_answers(commands: &[Command]) -> (Vec<Span>, Vec<Answer>) {
    let budgets = commands.iter().filter_map(|c| match c {
        Command::SendAttempt { budget, .. } => Some(*budget),
        _ => None,
    });
    let answers = commands.iter().filter_map(|c| match c {
        Command::Answer { answer, .. } => Some(*answer),
        _ => None,
    });
    (budgets.collect(), answers.collect())
}

const REFUSED: Answer = Answer::Refused { retry_after: ABOUT };

#[test]
fn a_call_that_waited_goes_on_with_what_is_left_of_its_time() {
    let mut scene = scene();
    assert_eq!(
        budgets_and_answers(&scene.call_pending(1, Some(SECOND))),
        (vec![], vec![])
    );
    assert!(
        scene.dispatcher.awaited_functions().eq(["f"])
            && !scene.dispatcher.is_idle()
            && scene.dispatcher.open_calls() == 0
    );
    // 20 ms are kept back for its answer's way.
    assert_eq!(
        budgets_and_answers(&scene.resolve(300_000, known(0))),
        (vec![680_000], vec![])
    );
    assert_eq!(
        (
            scene.dispatcher.pending_calls(),
            scene.dispatcher.open_calls()
        ),
        (0, 1)
    );
    // One that tells no time has its function's class's, less what it waited.
    scene.call_pending(2, None);
    scene.give(0, Input::ClientLeft { call: CallId(1) });
    let commands = scene.resolve(100_000, known(1));
    assert_eq!(budgets_and_answers(&commands).0, [880_000]);
    assert_eq!(scene.dispatcher.class_of(CallId(2)), Some("unsafe"));
    let a = scene.dispatcher.counters();
    assert_eq!((a.accepted, a.abandoned, a.guard_rejections), (2, 1, 0));
}

#[test]
fn a_call_looked_up_in_time_does_not_wait_and_one_that_names_its_class_keeps_it() {
    let mut scene = scene();
    let commands = scene.give(
        0,
        Input::CallLookedUp {
            call: call(1, "f", Some(SECOND)),
            lookup: known(1),
        },
    );
    assert_eq!(
        (
            budgets_and_answers(&commands).0,
            scene.dispatcher.class_of(CallId(1))
        ),
        (vec![980_000], Some("unsafe"))
    );
    assert!(
        !scene.dispatcher.is_configured("f"),
        "it is looked up each time"
    );
    let named = Call {
        class: Some(0),
        ..call(2, "f", Some(SECOND))
    };
    scene.give(
        0,
        Input::CallLookedUp {
            call: named,
            lookup: known(1),
        },
    );
    assert_eq!(scene.dispatcher.class_of(CallId(2)), Some("safe"));
    // What was learned of it once does not count once it is gone.
    let commands = scene.give(
        0,
        Input::CallLookedUp {
            call: call(3, "f", None),
            lookup: FunctionLookup::Unknown,
        },
    );
    assert_eq!(
        budgets_and_answers(&commands),
        (vec![], vec![Answer::UnknownFunction])
    );
    let commands = scene.give(
        0,
        Input::CallLookedUp {
            call: call(4, "f", None),
            lookup: FunctionLookup::Refused,
        },
    );
    assert_eq!(budgets_and_answers(&commands), (vec![], vec![REFUSED]));
    let a = scene.dispatcher.counters();
    assert_eq!(
        (a.accepted, a.refused, a.conflicting, a.unknown_function),
        (3, 1, 1, 1)
    );
}

#[test]
fn a_call_that_waits_is_refused_at_its_limit_and_no_later() {
    let mut scene = scene();
    for (id, budget, limit) in [
        (1, Some(10 * SECOND), MAX_WAIT),
        (2, Some(SECOND / 5), 187_500),
        (3, None, MAX_WAIT),
    ] {
        scene.call_pending(id, budget);
        assert!(
            scene
                .dispatcher
                .next_due()
                .is_some_and(|t| t <= Time(scene.now + limit)),
            "{id}"
        );
        assert_eq!(
            budgets_and_answers(&scene.give(limit - 1, Input::Tick)).1,
            []
        );
        assert_eq!(
            budgets_and_answers(&scene.give(1, Input::Tick)).1,
            [REFUSED],
            "{id}"
        );
        assert_eq!(
            budgets_and_answers(&scene.resolve(0, known(0))),
            (vec![], vec![]),
            "{id}"
        );
    }
    // What comes at the limit is too late as well, and one without time does not wait.
    scene.call_pending(4, Some(SECOND));
    assert_eq!(
        budgets_and_answers(&scene.resolve(MAX_WAIT, known(0))),
        (vec![], vec![REFUSED])
    );
    assert_eq!(
        budgets_and_answers(&scene.call_pending(5, Some(0))).1,
        [REFUSED]
    );
    let a = scene.dispatcher.counters();
    assert_eq!(
        (a.accepted, a.refused, a.conflicting, a.attempts),
        (5, 5, 5, 0)
    );
}

#[test]
fn a_client_that_left_a_close_and_an_end_without_a_function_end_a_wait() {
    let mut scene = scene();
    scene.call_pending(1, None);
    assert_eq!(scene.give(10, Input::ClientLeft { call: CallId(1) }), []);
    assert_eq!(
        budgets_and_answers(&scene.resolve(10, known(0))),
        (vec![], vec![])
    );
    scene.call_pending(2, None);
    assert_eq!(
        budgets_and_answers(&scene.resolve(10, FunctionLookup::Unknown)).1,
        [Answer::UnknownFunction]
    );
    scene.call_pending(3, None);
    assert_eq!(
        budgets_and_answers(&scene.resolve(10, FunctionLookup::Pending)).1,
        []
    );
    assert_eq!(
        budgets_and_answers(&scene.resolve(10, FunctionLookup::Refused)).1,
        [REFUSED]
    );
    scene.call_pending(4, None);
    let at_once = Answer::Refused { retry_after: 0 };
    assert_eq!(
        budgets_and_answers(&scene.give(10, Input::Shutdown { grace: SECOND })).1,
        [at_once]
    );
    assert_eq!(
        budgets_and_answers(&scene.call_pending(5, None)).1,
        [at_once]
    );
    assert_eq!(
        budgets_and_answers(&scene.resolve(10, known(0))),
        (vec![], vec![])
    );
    let a = scene.dispatcher.counters();
    assert_eq!(
        (
            a.accepted,
            a.abandoned,
            a.refused,
            a.conflicting,
            a.unknown_function
        ),
        (4, 1, 3, 1, 1)
    );
    assert!(scene.dispatcher.is_idle());
}

/// What a rollout compares: ends of calls that awaited settings, as served, refused and failed, and what they were worth.
fn awaited(scene: &Scene) -> [u64; 5] {
    let counts = scene.dispatcher.class_counters().expect("they are counted");
    let c = counts
        .classes()
        .get(PENDING_LOOKUP)
        .expect("some awaited settings");
    assert_eq!(
        (c.possible_value, c.latency.len()),
        (c.ended as f64, c.served)
    );
    [c.ended, c.served, c.refused, c.failed, c.value as u64]
}

#[test]
fn calls_that_wait_for_settings_are_counted_whatever_their_end() {
    let mut scene = scene();
    scene.dispatcher.enable_class_counters();
    // One goes on, and is one of its class as well.
    scene.call_pending(1, Some(SECOND));
    scene.resolve(300_000, known(0));
    assert_eq!(awaited(&scene), [1, 1, 0, 0, 1]);
    // Refused at its limit, by what was found, at once by that, and without any time.
    scene.call_pending(2, None);
    scene.give(MAX_WAIT, Input::Tick);
    scene.call_pending(3, None);
    scene.resolve(10, FunctionLookup::Refused);
    scene.give(
        0,
        Input::CallLookedUp {
            call: call(4, "f", None),
            lookup: FunctionLookup::Refused,
        },
    );
    scene.call_pending(5, Some(0));
    assert_eq!(awaited(&scene), [5, 1, 4, 0, 1]);
    // There is no such function; its client leaves.
    scene.call_pending(6, None);
    scene.resolve(10, FunctionLookup::Unknown);
    scene.call_pending(7, None);
    scene.give(10, Input::ClientLeft { call: CallId(7) });
    assert_eq!(awaited(&scene), [7, 1, 4, 2, 1]);
    // One that did not wait has its class alone.
    scene.give(
        0,
        Input::CallLookedUp {
            call: call(8, "f", Some(SECOND)),
            lookup: known(1),
        },
    );
    assert_eq!(awaited(&scene), [7, 1, 4, 2, 1]);
    // Too many of one function, and a close.
    for id in 0..=MAX_CALLS_OF_FUNCTION as u64 {
        scene.call_pending(100 + id, None);
    }
    assert_eq!(awaited(&scene), [8, 1, 5, 2, 1]);
    scene.give(10, Input::Shutdown { grace: SECOND });
    scene.call_pending(1000, None);
    assert_eq!(
        awaited(&scene),
        [
            9 + MAX_CALLS_OF_FUNCTION as u64,
            1,
            6 + MAX_CALLS_OF_FUNCTION as u64,
            2,
            1
        ]
    );
    let a = scene.dispatcher.counters();
    assert_eq!(
        a.refused,
        6 + MAX_CALLS_OF_FUNCTION as u64,
        "as in the account: {a}"
    );
    let counts = scene.dispatcher.class_counters().expect("they are counted");
    assert!(
        counts.classes().keys().eq([PENDING_LOOKUP]),
        "no call of a class has ended"
    );
}

/// What a rollout knows of a front end: its counts, beside a thousand calls a slice that all were served.
fn report(n: usize, slice: u64, scene: &Scene, new: bool, with_awaited: bool) -> Report {
    let mut classes = BTreeMap::new();
    let counts = scene.dispatcher.class_counters().expect("they are counted");
    for (name, c) in counts
        .classes()
        .iter()
        .filter(|(name, _)| with_awaited || *name != PENDING_LOOKUP)
    {
        let mut t = Tally {
            asked: c.ended,
            served: c.served,
            refused: c.refused,
            failed: c.failed,
            wanted: c.possible_value,
            worth: c.value,
            ..Tally::default()
        };
        t.latency.add(&c.latency).expect("it grows");
        classes.insert(name.clone(), t);
    }
    let calls = 1_000 * slice;
    let mut t = Tally {
        asked: calls,
        served: calls,
        wanted: calls as f64,
        worth: calls as f64,
        ..Tally::default()
    };
    t.latency.record_n(20_000, calls).expect("it grows");
    classes.entry("safe".to_string()).or_default().add(&t);
    let (name, zone) = (format!("f{n}"), "z".to_string());
    Report {
        name,
        zone,
        new,
        incarnation: 1,
        up: 60.0 + slice as f64,
        classes,
        memory: 20.0,
        guarded: 0,
    }
}

/// A rollout of a program that refuses every first call of a function, of which each front end has five in a slice of a thousand.
fn compare_rollout(breaks: bool, with_awaited: bool) -> (Verdict, Vec<String>) {
    let mut scenes: Vec<Scene> = (0..8).map(|_| scene()).collect();
    scenes
        .iter_mut()
        .for_each(|scene| scene.dispatcher.enable_class_counters());
    let new = |n: usize| n < 3;
    let mut judge = Judge::new(
        Judged::default(),
        (0..8).filter(|n| new(*n)).map(|n| format!("f{n}")),
    );
    let mut id = 0;
    for slice in 1..=60 {
        let judging = slice > 20;
        for (n, scene) in scenes.iter_mut().enumerate() {
            for _ in 0..5 {
                id += 1;
                scene.call_pending(id, Some(SECOND));
                let lookup = if breaks && judging && new(n) {
                    FunctionLookup::Refused
                } else {
                    known(0)
                };
                let commands = scene.resolve(20_000, lookup);
                if !budgets_and_answers(&commands).0.is_empty() {
                    let (call, attempt) = (CallId(id), 0);
                    scene.give(0, Input::AttemptSent { call, attempt });
                    scene.give(
                        10_000,
                        Input::ResponseMessage {
                            call,
                            attempt,
                            last: true,
                        },
                    );
                    let outcome = AttemptOutcome::Status {
                        code: 0,
                        stage: ResponseStage::Last,
                    };
                    scene.give(
                        0,
                        Input::AttemptEnded {
                            call,
                            attempt,
                            outcome,
                            trailers: Trailers::default(),
                        },
                    );
                }
            }
        }
        let each = |(n, scene)| report(n, slice, scene, judging && new(n), with_awaited);
        let reports: Vec<Report> = scenes.iter().enumerate().map(each).collect();
        judge.look(&reports, judging);
    }
    (
        judge.verdict(),
        judge.measured().into_iter().map(|m| m.what).collect(),
    )
}

#[test]
fn a_rollout_that_breaks_first_calls_is_recognized() {
    let (verdict, measured) = compare_rollout(true, true);
    assert!(
        matches!(&verdict, Verdict::Worse { why } if why.contains(PENDING_LOOKUP)),
        "{verdict:?} {measured:?}"
    );
    let (verdict, _) = compare_rollout(false, true);
    assert_eq!(verdict, Verdict::Fine, "one that breaks nothing");
    // Without these counts nothing shows: the calls were never of a class.
    let (verdict, _) = compare_rollout(true, false);
    assert_eq!(verdict, Verdict::Fine);
}
