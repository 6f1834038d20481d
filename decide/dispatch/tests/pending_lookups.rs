//! Calls that wait for their function's settings: each has one end, in its time, and none once its client has left.

use std::collections::{BTreeMap, BTreeSet};
use tansy_canary::{
    AnalysisParameters as Judged, CanaryAnalysis, FrontEndReport, RequestCounters, Verdict,
};
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
struct Open {
    function: usize,
    came: i64,
    until: i64,
}

/// Plays a random history; the number of releases and of refusals.
fn history(seed: u64) -> Result<(u64, u64), String> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let (mut parked, mut now, mut next) = (PendingLookups::default(), 0i64, 0u64);
    let mut open: BTreeMap<CallId, Open> = BTreeMap::new();
    let (mut released, mut refused, mut closed) = (0, 0, false);
    for step in 0..400 {
        // Whoever drives it wakes for the limits that it tells.
        let mut to = now + rng.i64(0..60_000);
        to = parked.next_due().map_or(to, |t| to.min(t.0));
        now = to;
        let mut out = Vec::new();
        parked.expire(Time(now), &mut out);
        let due: Vec<CallId> = open
            .iter()
            .filter(|(_, o)| o.until <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in &due {
            let ends = |e: &WaitEnd| {
                *e == WaitEnd::Refuse {
                    call: *id,
                    reason: WaitRefusal::TimedOut,
                }
            };
            if !out.iter().any(ends) {
                return Err(format!("{step}: {id:?} waits past its limit"));
            }
        }
        let mut wanted = due;
        match rng.u32(0..100) {
            0..60 => {
                next += 1;
                let (function, own) = (rng.usize(0..4), rng.i64(-5_000..2 * MAX_WAIT));
                let id = CallId(next);
                open.insert(
                    id,
                    Open {
                        function,
                        came: now,
                        until: now + own.min(MAX_WAIT),
                    },
                );
                parked.add(
                    Time(now),
                    call(next, &format!("f{function}"), None),
                    own,
                    &mut out,
                );
                if own <= 0 || closed {
                    wanted.push(id);
                }
            }
            60..75 => {
                let function = rng.usize(0..4);
                let learned = if rng.bool() {
                    LookupResult::Proceed
                } else {
                    LookupResult::Refuse
                };
                let all = open
                    .iter()
                    .filter(|(id, o)| o.function == function && !wanted.contains(id));
                let all: Vec<CallId> = all.map(|(id, _)| *id).collect();
                wanted.extend(all);
                parked.resolve(Time(now), &format!("f{function}"), learned, &mut out);
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
                    .filter(|id| !wanted.contains(id))
                {
                    if !parked.remove(id) || parked.remove(id) {
                        return Err(format!("{step}: {id:?} left, and was there once"));
                    }
                    open.remove(&id);
                }
            }
            _ => {
                closed = true;
                wanted = open.keys().copied().collect();
                parked.close(&mut out);
            }
        }
        let mut got = Vec::new();
        for end in out {
            let id = match &end {
                WaitEnd::Release { call, .. } => call.id,
                WaitEnd::Refuse { call, .. } => *call,
            };
            let Some(o) = open.remove(&id) else {
                return Err(format!("{step}: {id:?} ends, and is not there"));
            };
            match end {
                WaitEnd::Release { call, waited } => {
                    released += 1;
                    if now >= o.until
                        || waited != now - o.came
                        || call.function != format!("f{}", o.function)
                    {
                        return Err(format!(
                            "{step}: {call:?} goes on at {now}, having waited {waited}"
                        ));
                    }
                }
                WaitEnd::Refuse { .. } => refused += 1,
            }
            got.push(id);
        }
        let functions: BTreeSet<String> =
            open.values().map(|o| format!("f{}", o.function)).collect();
        if !parked.functions().eq(functions.iter().map(String::as_str)) {
            return Err(format!(
                "{step}: {:?} wait",
                parked.functions().collect::<Vec<_>>()
            ));
        }
        got.sort();
        wanted.sort();
        if got != wanted || parked.len() != open.len() || parked.is_empty() != open.is_empty() {
            return Err(format!(
                "{step}: {got:?} ended, not {wanted:?}; {} wait",
                parked.len()
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
fn no_more_wait_than_there_is_room_for() {
    let (mut parked, mut out) = (PendingLookups::default(), Vec::new());
    for n in 0..=MAX_CALLS_OF_FUNCTION as u64 {
        parked.add(Time(0), call(n, "hot", None), SECOND, &mut out);
    }
    let full = |id| WaitEnd::Refuse {
        call: CallId(id),
        reason: WaitRefusal::Full,
    };
    assert_eq!(
        std::mem::take(&mut out),
        [full(MAX_CALLS_OF_FUNCTION as u64)]
    );
    for n in 1000..1000 + MAX_CALLS as u64 {
        parked.add(Time(0), call(n, &format!("f{n}"), None), SECOND, &mut out);
    }
    assert_eq!(
        (parked.len(), out.len(), &out[0]),
        (
            MAX_CALLS,
            MAX_CALLS_OF_FUNCTION,
            &full(1000 + (MAX_CALLS - MAX_CALLS_OF_FUNCTION) as u64)
        )
    );
    // There is room again.
    out.clear();
    assert!(parked.remove(CallId(1000)));
    parked.add(Time(0), call(9999, "hot", None), SECOND, &mut out);
    parked.add(Time(0), call(9998, "cold", None), SECOND, &mut out);
    assert_eq!((parked.len(), out), (MAX_CALLS, vec![full(9999)]));
}

#[test]
fn what_is_learned_at_the_limit_comes_too_late() {
    for (at, late) in [(MAX_WAIT - 1, false), (MAX_WAIT, true)] {
        let (mut parked, mut out) = (PendingLookups::default(), Vec::new());
        parked.add(Time(0), call(1, "f", None), SECOND, &mut out);
        parked.resolve(Time(at), "f", LookupResult::Proceed, &mut out);
        let end = WaitEnd::Refuse {
            call: CallId(1),
            reason: WaitRefusal::TimedOut,
        };
        assert_eq!((out.len(), out[0] == end), (1, late), "{out:?}");
    }
}

// ---- In the ledger ----

struct Scene {
    front: Dispatcher,
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
    let mut s = Scene {
        front: Dispatcher::new(config.clone(), Time(0)).expect("good settings"),
        now: 0,
    };
    let contested = ConflictingScopes {
        retry_after: ABOUT,
        ..ConflictingScopes::default()
    };
    s.front
        .apply_settings(
            Time(0),
            EffectiveConfig {
                config,
                conflicting: contested,
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
    s.give(
        0,
        Input::Workers {
            full: true,
            workers: vec![worker],
        },
    );
    s
}

impl Scene {
    fn give(&mut self, after: Span, input: Input) -> Vec<Command> {
        self.now += after;
        let mut out = Vec::new();
        self.front.step(Time(self.now), input, &mut out);
        assert!(
            self.front
                .counters()
                .balances(self.front.open_calls() as u64),
            "{}",
            self.front.counters()
        );
        out
    }
    fn park(&mut self, id: u64, budget: Option<Span>) -> Vec<Command> {
        self.give(
            0,
            Input::CallLookedUp {
                call: call(id, "f", budget),
                lookup: FunctionLookup::Pending,
            },
        )
    }
    fn found(&mut self, after: Span, found: FunctionLookup) -> Vec<Command> {
        self.give(
            after,
            Input::FunctionResolved {
                function: "f".into(),
                lookup: found,
            },
        )
    }
}

fn acts(class: usize) -> FunctionLookup {
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
fn seen(out: &[Command]) -> (Vec<Span>, Vec<Answer>) {
    let opened = out.iter().filter_map(|c| match c {
        Command::SendAttempt { budget, .. } => Some(*budget),
        _ => None,
    });
    let answers = out.iter().filter_map(|c| match c {
        Command::Answer { answer, .. } => Some(*answer),
        _ => None,
    });
    (opened.collect(), answers.collect())
}

const REFUSED: Answer = Answer::Refused { retry_after: ABOUT };

#[test]
fn a_call_that_waited_goes_on_with_what_is_left_of_its_time() {
    let mut s = scene();
    assert_eq!(seen(&s.park(1, Some(SECOND))), (vec![], vec![]));
    assert!(
        s.front.awaited_functions().eq(["f"]) && !s.front.is_idle() && s.front.open_calls() == 0
    );
    // 20 ms are kept back for its answer's way.
    assert_eq!(seen(&s.found(300_000, acts(0))), (vec![680_000], vec![]));
    assert_eq!((s.front.pending_calls(), s.front.open_calls()), (0, 1));
    // One that tells no time has its function's class's, less what it waited.
    s.park(2, None);
    s.give(0, Input::ClientLeft { call: CallId(1) });
    let out = s.found(100_000, acts(1));
    assert_eq!(seen(&out).0, [880_000]);
    assert_eq!(s.front.class_of(CallId(2)), Some("unsafe"));
    let a = s.front.counters();
    assert_eq!((a.accepted, a.abandoned, a.guard_rejections), (2, 1, 0));
}

#[test]
fn a_call_looked_up_in_time_does_not_wait_and_one_that_names_its_class_keeps_it() {
    let mut s = scene();
    let out = s.give(
        0,
        Input::CallLookedUp {
            call: call(1, "f", Some(SECOND)),
            lookup: acts(1),
        },
    );
    assert_eq!(
        (seen(&out).0, s.front.class_of(CallId(1))),
        (vec![980_000], Some("unsafe"))
    );
    assert!(!s.front.is_configured("f"), "it is looked up each time");
    let named = Call {
        class: Some(0),
        ..call(2, "f", Some(SECOND))
    };
    s.give(
        0,
        Input::CallLookedUp {
            call: named,
            lookup: acts(1),
        },
    );
    assert_eq!(s.front.class_of(CallId(2)), Some("safe"));
    // What was learned of it once does not count once it is gone.
    let out = s.give(
        0,
        Input::CallLookedUp {
            call: call(3, "f", None),
            lookup: FunctionLookup::Unknown,
        },
    );
    assert_eq!(seen(&out), (vec![], vec![Answer::UnknownFunction]));
    let out = s.give(
        0,
        Input::CallLookedUp {
            call: call(4, "f", None),
            lookup: FunctionLookup::Refused,
        },
    );
    assert_eq!(seen(&out), (vec![], vec![REFUSED]));
    let a = s.front.counters();
    assert_eq!(
        (a.accepted, a.refused, a.conflicting, a.unknown_function),
        (3, 1, 1, 1)
    );
}

#[test]
fn a_call_that_waits_is_refused_at_its_limit_and_no_later() {
    let mut s = scene();
    for (id, budget, limit) in [
        (1, Some(10 * SECOND), MAX_WAIT),
        (2, Some(SECOND / 5), 187_500),
        (3, None, MAX_WAIT),
    ] {
        s.park(id, budget);
        assert!(
            s.front.next_due().is_some_and(|t| t <= Time(s.now + limit)),
            "{id}"
        );
        assert_eq!(seen(&s.give(limit - 1, Input::Tick)).1, []);
        assert_eq!(seen(&s.give(1, Input::Tick)).1, [REFUSED], "{id}");
        assert_eq!(seen(&s.found(0, acts(0))), (vec![], vec![]), "{id}");
    }
    // What comes at the limit is too late as well, and one without time does not wait.
    s.park(4, Some(SECOND));
    assert_eq!(seen(&s.found(MAX_WAIT, acts(0))), (vec![], vec![REFUSED]));
    assert_eq!(seen(&s.park(5, Some(0))).1, [REFUSED]);
    let a = s.front.counters();
    assert_eq!(
        (a.accepted, a.refused, a.conflicting, a.attempts),
        (5, 5, 5, 0)
    );
}

#[test]
fn a_client_that_left_a_close_and_an_end_without_a_function_end_a_wait() {
    let mut s = scene();
    s.park(1, None);
    assert_eq!(s.give(10, Input::ClientLeft { call: CallId(1) }), []);
    assert_eq!(seen(&s.found(10, acts(0))), (vec![], vec![]));
    s.park(2, None);
    assert_eq!(
        seen(&s.found(10, FunctionLookup::Unknown)).1,
        [Answer::UnknownFunction]
    );
    s.park(3, None);
    assert_eq!(seen(&s.found(10, FunctionLookup::Pending)).1, []);
    assert_eq!(seen(&s.found(10, FunctionLookup::Refused)).1, [REFUSED]);
    s.park(4, None);
    let at_once = Answer::Refused { retry_after: 0 };
    assert_eq!(
        seen(&s.give(10, Input::Shutdown { grace: SECOND })).1,
        [at_once]
    );
    assert_eq!(seen(&s.park(5, None)).1, [at_once]);
    assert_eq!(seen(&s.found(10, acts(0))), (vec![], vec![]));
    let a = s.front.counters();
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
    assert!(s.front.is_idle());
}

/// What a roll compares: ends of calls that awaited settings, as served, refused and failed, and what they were worth.
fn awaited(s: &Scene) -> [u64; 5] {
    let counts = s.front.class_counters().expect("they are counted");
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
    let mut s = scene();
    s.front.enable_class_counters();
    // One goes on, and is one of its class as well.
    s.park(1, Some(SECOND));
    s.found(300_000, acts(0));
    assert_eq!(awaited(&s), [1, 1, 0, 0, 1]);
    // Refused at its limit, by what was found, at once by that, and without any time.
    s.park(2, None);
    s.give(MAX_WAIT, Input::Tick);
    s.park(3, None);
    s.found(10, FunctionLookup::Refused);
    s.give(
        0,
        Input::CallLookedUp {
            call: call(4, "f", None),
            lookup: FunctionLookup::Refused,
        },
    );
    s.park(5, Some(0));
    assert_eq!(awaited(&s), [5, 1, 4, 0, 1]);
    // There is no such function; its client leaves.
    s.park(6, None);
    s.found(10, FunctionLookup::Unknown);
    s.park(7, None);
    s.give(10, Input::ClientLeft { call: CallId(7) });
    assert_eq!(awaited(&s), [7, 1, 4, 2, 1]);
    // One that did not wait has its class alone.
    s.give(
        0,
        Input::CallLookedUp {
            call: call(8, "f", Some(SECOND)),
            lookup: acts(1),
        },
    );
    assert_eq!(awaited(&s), [7, 1, 4, 2, 1]);
    // Too many of one function, and a close.
    for id in 0..=MAX_CALLS_OF_FUNCTION as u64 {
        s.park(100 + id, None);
    }
    assert_eq!(awaited(&s), [8, 1, 5, 2, 1]);
    s.give(10, Input::Shutdown { grace: SECOND });
    s.park(1000, None);
    assert_eq!(
        awaited(&s),
        [
            9 + MAX_CALLS_OF_FUNCTION as u64,
            1,
            6 + MAX_CALLS_OF_FUNCTION as u64,
            2,
            1
        ]
    );
    let a = s.front.counters();
    assert_eq!(
        a.refused,
        6 + MAX_CALLS_OF_FUNCTION as u64,
        "as in the account: {a}"
    );
    let counts = s.front.class_counters().expect("they are counted");
    assert!(
        counts.classes().keys().eq([PENDING_LOOKUP]),
        "no call of a class has ended"
    );
}

/// What a roll is told of a front end: its counts, beside a thousand calls a slice that all were served.
fn report(n: usize, slice: u64, s: &Scene, new: bool, with_awaited: bool) -> FrontEndReport {
    let mut classes = BTreeMap::new();
    let counts = s.front.class_counters().expect("they are counted");
    for (name, c) in counts
        .classes()
        .iter()
        .filter(|(name, _)| with_awaited || *name != PENDING_LOOKUP)
    {
        let mut t = RequestCounters {
            requested: c.ended,
            served: c.served,
            rejected: c.refused,
            failed: c.failed,
            wanted: c.possible_value,
            worth: c.value,
            ..RequestCounters::default()
        };
        t.latency.add(&c.latency).expect("it grows");
        classes.insert(name.clone(), t);
    }
    let held = 1_000 * slice;
    let mut t = RequestCounters {
        requested: held,
        served: held,
        wanted: held as f64,
        worth: held as f64,
        ..RequestCounters::default()
    };
    t.latency.record_n(20_000, held).expect("it grows");
    classes.entry("safe".to_string()).or_default().add(&t);
    let (name, zone) = (format!("f{n}"), "z".to_string());
    FrontEndReport {
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

/// A roll to a program that refuses every first call of a function, of which each front end has five in a slice of a thousand.
fn roll(breaks: bool, with_awaited: bool) -> (Verdict, Vec<String>) {
    let mut scenes: Vec<Scene> = (0..8).map(|_| scene()).collect();
    scenes
        .iter_mut()
        .for_each(|s| s.front.enable_class_counters());
    let new = |n: usize| n < 3;
    let mut judge = CanaryAnalysis::new(
        Judged::default(),
        (0..8).filter(|n| new(*n)).map(|n| format!("f{n}")),
    );
    let mut id = 0;
    for slice in 1..=60 {
        let judging = slice > 20;
        for (n, s) in scenes.iter_mut().enumerate() {
            for _ in 0..5 {
                id += 1;
                s.park(id, Some(SECOND));
                let found = if breaks && judging && new(n) {
                    FunctionLookup::Refused
                } else {
                    acts(0)
                };
                let out = s.found(20_000, found);
                if !seen(&out).0.is_empty() {
                    let (call, attempt) = (CallId(id), 0);
                    s.give(0, Input::AttemptSent { call, attempt });
                    s.give(
                        10_000,
                        Input::ResponseMessage {
                            call,
                            attempt,
                            last: true,
                        },
                    );
                    let seen = AttemptOutcome::Status {
                        code: 0,
                        stage: ResponseStage::Last,
                    };
                    s.give(
                        0,
                        Input::AttemptEnded {
                            call,
                            attempt,
                            outcome: seen,
                            trailers: Trailers::default(),
                        },
                    );
                }
            }
        }
        let each = |(n, s)| report(n, slice, s, judging && new(n), with_awaited);
        let reports: Vec<FrontEndReport> = scenes.iter().enumerate().map(each).collect();
        judge.observe(&reports, judging);
    }
    (
        judge.verdict(),
        judge.measurements().into_iter().map(|m| m.what).collect(),
    )
}

#[test]
fn a_roll_that_breaks_first_calls_is_seen() {
    let (classify, what) = roll(true, true);
    assert!(
        matches!(&classify, Verdict::Worse { why } if why.contains(PENDING_LOOKUP)),
        "{classify:?} {what:?}"
    );
    let (classify, _) = roll(false, true);
    assert_eq!(classify, Verdict::Fine, "one that breaks nothing");
    // Without these counts nothing shows: the calls were never of a class.
    let (classify, _) = roll(true, false);
    assert_eq!(classify, Verdict::Fine);
}
