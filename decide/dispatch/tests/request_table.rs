//! The dispatcher under random histories: the rules, the counters, and the same commands again from the record.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use tansy_dispatch::record::{replay, RecordedStep};
use tansy_dispatch::{
    Answer, AttemptOutcome, CacheStatus, Call, CallId, Command, ControlRequestId, DispatchConfig,
    Dispatcher, FunctionSpec, Input, NeverRan, ResponseStage, Trailers, WorkerRecord,
};
use tansyrouter::{Class, Effect, Group, Settings, Time, SECOND};

const NAMES: [&str; 4] = ["safe", "keyed", "unsafe", "stream"];

fn config(seed: u64) -> DispatchConfig {
    let class = |effect, streamed| Class {
        aim: SECOND / 2,
        aim_stretch: 0.0,
        deadline: 2 * SECOND,
        effect,
        worth: 1.0,
        late_worth: 0.5,
        streamed,
    };
    let keyed = Effect::Keyed {
        group: Group::All,
        window: 30 * SECOND,
    };
    let classes = vec![
        class(Effect::Safe, false),
        class(keyed, false),
        class(Effect::Unsafe, false),
        class(Effect::Safe, true),
    ];
    let function = |(n, name): (usize, &&str)| FunctionSpec {
        name: name.to_string(),
        class: n,
        lanes: 2,
        memory_mb: 100.0,
        load_time: Some(50_000),
        versions: vec![],
    };
    DispatchConfig {
        settings: Settings {
            classes,
            may_probe: true,
            drain_grace: SECOND / 2,
            ..Settings::default()
        },
        classes: NAMES.map(str::to_string).to_vec(),
        tenants: vec![],
        zones: vec!["z".into()],
        functions: NAMES.iter().enumerate().map(function).collect(),
        max_call_time: 60 * SECOND,
        seed,
    }
}

fn record(n: usize, state: u8) -> WorkerRecord {
    WorkerRecord {
        name: format!("w{n}"),
        kind: 0,
        cell: 0,
        zone: 0,
        state,
        age: None,
        relative_size: 1.0,
    }
}

#[derive(Default)]
struct World {
    now: i64,
    rng: fastrand::Rng,
    open: BTreeMap<CallId, (usize, i64)>,
    attempts: BTreeMap<CallId, (u32, bool)>,
    ran: BTreeSet<CallId>,
    answered: BTreeMap<CallId, Answer>,
    requests: VecDeque<ControlRequestId>,
    draining: BTreeSet<String>,
    began: BTreeSet<CallId>,
    next: u64,
    steps: Vec<RecordedStep>,
}

impl World {
    fn step(&mut self, dispatcher: &mut Dispatcher, input: Input) {
        let mut commands = Vec::new();
        dispatcher.step(Time(self.now), input.clone(), &mut commands);
        for c in &commands {
            self.check(c);
        }
        self.steps.push(RecordedStep {
            at: self.now,
            input,
            commands,
        });
        let open = self
            .open
            .keys()
            .filter(|c| !self.answered.contains_key(c))
            .count();
        assert!(
            dispatcher.counters().balances(open as u64),
            "{} with {open} open",
            dispatcher.counters()
        );
    }

    fn check(&mut self, c: &Command) {
        match c {
            Command::SendAttempt {
                call,
                attempt,
                worker,
                ..
            } => {
                assert!(
                    !self.answered.contains_key(call),
                    "an attempt after the answer of {call:?}"
                );
                assert!(
                    !self.attempts.contains_key(call),
                    "two attempts of {call:?}"
                );
                assert!(
                    !self.draining.contains(worker),
                    "an attempt at {worker}, which drains"
                );
                let class = self.open[call].0;
                assert!(
                    class != 2 || !self.ran.contains(call),
                    "an unsafe call again: {call:?}"
                );
                self.attempts.insert(*call, (*attempt, false));
            }
            Command::Answer { call, answer } => {
                assert!(
                    self.answered.insert(*call, *answer).is_none(),
                    "a second answer to {call:?}"
                );
                let (class, due) = self.open[call];
                assert!(
                    self.now <= due,
                    "{call:?} is answered {} us late",
                    self.now - due
                );
                let may_have_run = self.ran.contains(call) || self.attempts.contains_key(call);
                if class == 2 && matches!(answer, Answer::Refused { .. }) {
                    assert!(
                        !may_have_run,
                        "an unsafe call that may have run is refused: {call:?}"
                    );
                }
            }
            Command::ForwardMessage { call } => assert!(
                !self.answered.contains_key(call),
                "a piece after the answer"
            ),
            Command::CancelAttempt { call, .. } => {
                if let Some(a) = self.attempts.get_mut(call) {
                    a.1 = true;
                }
            }
            Command::Probe { request, .. }
            | Command::Load { request, .. }
            | Command::Unload { request, .. } => self.requests.push_back(*request),
            _ => {}
        }
    }

    /// Lets time pass; time-outs come when they are due, as a loop would have them.
    fn pass(&mut self, dispatcher: &mut Dispatcher, to: i64) {
        while let Some(due) = dispatcher.next_due().filter(|t| t.0 < to) {
            self.now = self.now.max(due.0);
            self.step(dispatcher, Input::Tick);
            if dispatcher.next_due().is_some_and(|t| t <= due) {
                break;
            }
        }
        self.now = to;
    }

    fn turn(&mut self, dispatcher: &mut Dispatcher) {
        let to = self.now + self.rng.i64(0..8_000);
        self.pass(dispatcher, to);
        let stage = [
            ResponseStage::Nothing,
            ResponseStage::Headers,
            ResponseStage::Messages,
        ][self.rng.usize(..3)];
        match self.rng.u32(..100) {
            0..=34 => {
                self.next += 1;
                let (id, class) = (CallId(self.next), self.rng.usize(..4));
                let budget = self.rng.bool().then(|| self.rng.i64(0..1_500_000));
                self.open
                    .insert(id, (class, self.now + budget.unwrap_or(2 * SECOND)));
                let call = Call {
                    id,
                    function: NAMES[class].into(),
                    class: None,
                    tenant: 0,
                    budget,
                    work_hint: None,
                    repeat: false,
                    shape: None,
                    unknown_names: false,
                    waited: 0,
                };
                self.step(dispatcher, Input::Call(call));
            }
            35..=79 => {
                let keys: Vec<CallId> = self.attempts.keys().copied().collect();
                let Some(call) = keys.get(self.rng.usize(..keys.len().max(1))).copied() else {
                    return;
                };
                let (attempt, withdrawn) = self.attempts[&call];
                let streaming = self.open[&call].0 == 3 && !withdrawn;
                if streaming && self.rng.bool() {
                    let last = self.rng.u32(..4) == 0;
                    self.began.insert(call);
                    return self.step(
                        dispatcher,
                        Input::ResponseMessage {
                            call,
                            attempt,
                            last,
                        },
                    );
                }
                let mut trailers = Trailers {
                    cache_status: CacheStatus::Warm,
                    ..Trailers::default()
                };
                let outcome = match self.rng.u32(..20) {
                    _ if withdrawn => AttemptOutcome::Cancelled,
                    0 => AttemptOutcome::ConnectRefused,
                    1 => AttemptOutcome::NeverLeft,
                    2 => AttemptOutcome::GoawayBelow,
                    3 => AttemptOutcome::Reset {
                        code: self.rng.u32(..14),
                        stage,
                    },
                    4 => AttemptOutcome::ConnectionCut { stage },
                    5 => AttemptOutcome::NoTrailers { stage },
                    6 => {
                        trailers.never_ran = Some(NeverRan::NotLoaded);
                        AttemptOutcome::Status {
                            code: 14,
                            stage: ResponseStage::Headers,
                        }
                    }
                    7 => AttemptOutcome::Status {
                        code: self.rng.u8(1..17),
                        stage,
                    },
                    _ => AttemptOutcome::Status {
                        code: 0,
                        stage: ResponseStage::Messages,
                    },
                };
                if self.began.contains(&call)
                    && matches!(
                        outcome,
                        AttemptOutcome::ConnectRefused | AttemptOutcome::NeverLeft
                    )
                {
                    return;
                }
                self.attempts.remove(&call);
                // What has run, judged here by the words of the specifications, not by the table under test.
                let proof = match outcome {
                    AttemptOutcome::ConnectRefused
                    | AttemptOutcome::NeverLeft
                    | AttemptOutcome::GoawayBelow => true,
                    AttemptOutcome::Reset { code, stage } => {
                        code == 7 && stage == ResponseStage::Nothing
                    }
                    AttemptOutcome::Status { .. } => trailers.never_ran.is_some(),
                    _ => false,
                };
                if !proof {
                    self.ran.insert(call);
                }
                self.step(
                    dispatcher,
                    Input::AttemptEnded {
                        call,
                        attempt,
                        outcome,
                        trailers,
                    },
                );
            }
            80..=84 => {
                let open: Vec<CallId> = self
                    .open
                    .keys()
                    .filter(|c| !self.answered.contains_key(c))
                    .copied()
                    .collect();
                if let Some(call) = open.get(self.rng.usize(..open.len().max(1))).copied() {
                    self.answered.insert(call, Answer::Served);
                    self.step(dispatcher, Input::ClientLeft { call });
                }
            }
            85..=87 => {
                let states: Vec<u8> = (0..4).map(|_| u8::from(self.rng.u32(..5) == 0)).collect();
                let drains = (0..4).filter(|n| states[*n] > 0).map(|n| format!("w{n}"));
                self.draining = drains.collect();
                let list = (0..4).map(|n| record(n, states[n])).collect();
                self.step(
                    dispatcher,
                    Input::Workers {
                        full: true,
                        workers: list,
                    },
                );
            }
            _ => {
                let Some(request) = self.requests.pop_front() else {
                    return;
                };
                let (outcome, trailers) = if self.rng.u32(..10) == 0 {
                    (
                        AttemptOutcome::ConnectionCut {
                            stage: ResponseStage::Nothing,
                        },
                        Trailers::default(),
                    )
                } else {
                    let trailers = Trailers {
                        instances: Some(1),
                        ..Trailers::default()
                    };
                    (
                        AttemptOutcome::Status {
                            code: 0,
                            stage: ResponseStage::Headers,
                        },
                        trailers,
                    )
                };
                self.step(
                    dispatcher,
                    Input::ControlRequestEnded {
                        request,
                        outcome,
                        trailers,
                    },
                );
            }
        }
    }

    fn run(seed: u64, turns: usize) -> World {
        let mut dispatcher =
            Dispatcher::new(config(seed), Time(0)).expect("settings that make sense");
        let mut world = World {
            rng: fastrand::Rng::with_seed(seed),
            ..World::default()
        };
        let list = (0..4).map(|n| record(n, 0)).collect();
        world.step(
            &mut dispatcher,
            Input::Workers {
                full: true,
                workers: list,
            },
        );
        (0..turns).for_each(|_| world.turn(&mut dispatcher));
        // The end: every client's time passes.
        for _ in 0..400 {
            let to = world.now + 10_000;
            world.pass(&mut dispatcher, to);
            world.step(&mut dispatcher, Input::Tick);
        }
        let unanswered: Vec<_> = world
            .open
            .keys()
            .filter(|c| !world.answered.contains_key(c))
            .collect();
        assert!(unanswered.is_empty(), "seed {seed}: {unanswered:?}");
        assert_eq!(dispatcher.counters().guard_rejections, 0, "seed {seed}");
        world
    }
}

#[test]
fn the_rules_hold_in_random_histories() {
    let mut served = 0;
    for seed in 0..60 {
        let world = World::run(seed, 400);
        served += world
            .answered
            .values()
            .filter(|a| **a == Answer::Served)
            .count();
    }
    assert!(
        served > 1000,
        "the histories are of calls that get somewhere: {served}"
    );
}

#[test]
fn a_record_plays_again_to_the_same_bytes_twice_and_alone() {
    let lines =
        |steps: &[RecordedStep]| steps.iter().map(RecordedStep::to_line).collect::<Vec<_>>();
    let recorded = lines(&World::run(7, 600).steps);
    let read = || {
        recorded
            .iter()
            .map(|l| RecordedStep::parse(l).expect("a recorded step"))
    };
    let mut first = Dispatcher::new(config(7), Time(0)).expect("settings that make sense");
    let once: Vec<RecordedStep> = replay(&mut first, read()).collect();
    assert_eq!(lines(&once), recorded);
    // Beside another front end in the same process, step by step, as alone.
    let (mut a, mut b) = (
        Dispatcher::new(config(7), Time(0)).expect("good"),
        Dispatcher::new(config(8), Time(0)).expect("good"),
    );
    let other = World::run(8, 600).steps;
    let mut beside = Vec::new();
    for (n, step) in read().enumerate() {
        beside.extend(replay(&mut a, std::iter::once(step)));
        if let Some(s) = other.get(n) {
            replay(&mut b, std::iter::once(s.clone())).for_each(drop);
        }
    }
    assert_eq!(lines(&beside), recorded);
}

fn call(n: u64, function: &str, budget: i64) -> Input {
    Input::Call(Call {
        id: CallId(n),
        function: function.into(),
        class: None,
        tenant: 0,
        budget: Some(budget),
        work_hint: None,
        repeat: false,
        shape: None,
        unknown_names: false,
        waited: 0,
    })
}

fn answers(commands: &[Command]) -> Vec<(u64, Answer)> {
    let one = |c: &Command| match c {
        Command::Answer { call, answer } => Some((call.0, *answer)),
        _ => None,
    };
    commands.iter().filter_map(one).collect()
}

#[test]
fn refusals_say_when_to_try_again() {
    let mut config = config(1);
    config.settings.max_held = 2;
    config.settings.max_stay_away = SECOND / 4;
    let mut dispatcher = Dispatcher::new(config, Time(0)).expect("settings that make sense");
    let mut commands = Vec::new();
    // No worker is known: one call has no time, two are held, the next is one too many, then the front end closes.
    dispatcher.step(Time(0), call(1, "unsafe", 0), &mut commands);
    dispatcher.step(Time(1), call(2, "unsafe", SECOND), &mut commands);
    dispatcher.step(Time(2), call(3, "unsafe", SECOND), &mut commands);
    dispatcher.step(Time(3), call(4, "unsafe", SECOND), &mut commands);
    dispatcher.step(
        Time(4),
        Input::Shutdown { grace: SECOND / 10 },
        &mut commands,
    );
    dispatcher.step(Time(5), call(5, "unsafe", SECOND), &mut commands);
    let quarter = Answer::Refused {
        retry_after: SECOND / 4,
    };
    assert_eq!(
        answers(&commands),
        [
            (1, quarter),
            (4, quarter),
            (5, Answer::Refused { retry_after: 0 })
        ]
    );
    commands.clear();
    dispatcher.step(Time(SECOND / 5), Input::Tick, &mut commands);
    let failed = Answer::Failed(tansy_dispatch::FailureReason::ShuttingDown);
    assert_eq!(
        answers(&commands),
        [(2, failed), (3, failed)],
        "what is held fails when the time to close is over"
    );
    assert!(dispatcher.is_idle());
}

#[test]
fn a_connection_that_takes_nothing_is_dropped_and_the_call_goes_elsewhere() {
    let mut dispatcher = Dispatcher::new(config(1), Time(0)).expect("settings that make sense");
    let mut commands = Vec::new();
    let connect = dispatcher.config().settings.connect_timeout;
    let list = vec![record(0, 0)];
    dispatcher.step(
        Time(0),
        Input::Workers {
            full: true,
            workers: list,
        },
        &mut commands,
    );
    dispatcher.step(Time(0), call(1, "unsafe", 2 * SECOND), &mut commands);
    let request = commands.iter().find_map(|c| match c {
        Command::Load { request, .. } => Some(*request),
        _ => None,
    });
    let trailers = Trailers {
        instances: Some(1),
        ..Trailers::default()
    };
    let outcome = AttemptOutcome::Status {
        code: 0,
        stage: ResponseStage::Headers,
    };
    commands.clear();
    dispatcher.step(
        Time(1000),
        Input::ControlRequestEnded {
            request: request.expect("a load first"),
            outcome,
            trailers,
        },
        &mut commands,
    );
    assert!(
        commands
            .iter()
            .any(|c| matches!(c, Command::SendAttempt { attempt: 0, .. })),
        "{commands:?}"
    );
    let mut at = |t: i64, expected: &str| {
        let mut commands = Vec::new();
        dispatcher.step(Time(t), Input::Tick, &mut commands);
        assert!(
            commands
                .iter()
                .any(|c| format!("{c:?}").starts_with(expected)),
            "{expected} at {t}: {commands:?}"
        );
    };
    at(1000 + connect + 500, "ConfirmSent");
    at(1000 + 2 * connect + 1000, "DropConnection");
    // Nothing of it can leave any more, and nothing had left: it is sent again though it must not run twice.
    let (call, attempt) = (CallId(1), 0);
    commands.clear();
    let now = Time(1000 + 2 * connect + 2000);
    dispatcher.step(
        now,
        Input::AttemptEnded {
            call,
            attempt,
            outcome: AttemptOutcome::NeverLeft,
            trailers: Trailers::default(),
        },
        &mut commands,
    );
    assert!(answers(&commands).is_empty(), "{commands:?}");
    assert_eq!(dispatcher.counters().dropped_connections, 1);
}

#[test]
fn a_stream_may_last_longer_than_a_connection_may_take() {
    let mut dispatcher = Dispatcher::new(config(1), Time(0)).expect("settings that make sense");
    let mut commands = Vec::new();
    let connect = dispatcher.config().settings.connect_timeout;
    dispatcher.step(
        Time(0),
        Input::Workers {
            full: true,
            workers: vec![record(0, 0)],
        },
        &mut commands,
    );
    dispatcher.step(Time(0), call(1, "stream", 2 * SECOND), &mut commands);
    let request = commands.iter().find_map(|c| match c {
        Command::Load { request, .. } => Some(*request),
        _ => None,
    });
    let trailers = Trailers {
        instances: Some(1),
        ..Trailers::default()
    };
    let outcome = AttemptOutcome::Status {
        code: 0,
        stage: ResponseStage::Headers,
    };
    dispatcher.step(
        Time(1000),
        Input::ControlRequestEnded {
            request: request.expect("a load first"),
            outcome,
            trailers,
        },
        &mut commands,
    );
    let message = |last| Input::ResponseMessage {
        call: CallId(1),
        attempt: 0,
        last,
    };
    dispatcher.step(Time(2000), message(false), &mut commands);
    commands.clear();
    for t in 1..20 {
        dispatcher.step(Time(t * connect / 4), Input::Tick, &mut commands);
    }
    let withdrawn = |c: &Command| {
        matches!(
            c,
            Command::CancelAttempt { .. } | Command::Answer { .. } | Command::DropConnection { .. }
        )
    };
    assert!(!commands.iter().any(withdrawn), "{commands:?}");
    dispatcher.step(Time(5 * connect), message(true), &mut commands);
    assert_eq!(answers(&commands), [(1, Answer::Served)]);
}

fn call_with_shape(n: u64, function: &str) -> Input {
    let shape = tansy_dispatch::FunctionShape {
        lanes: 1,
        memory_mb: 50.0,
        load_time: None,
    };
    match call(n, function, SECOND) {
        Input::Call(call) => Input::Call(Call {
            shape: Some(shape),
            class: Some(0),
            ..call
        }),
        other => other,
    }
}

#[test]
fn a_load_that_has_not_left_is_recalled_when_its_worker_drains() {
    let mut dispatcher = Dispatcher::new(config(1), Time(0)).expect("settings that make sense");
    let mut commands = Vec::new();
    dispatcher.step(
        Time(0),
        Input::Workers {
            full: true,
            workers: vec![record(0, 0)],
        },
        &mut commands,
    );
    dispatcher.step(Time(1), call_with_shape(1, "new"), &mut commands);
    let load = commands.iter().find_map(|c| match c {
        Command::Load {
            request,
            instances: 1,
            function,
            ..
        } if function == "new" => Some(*request),
        _ => None,
    });
    let request = load.expect("a function that a call described is loaded");
    commands.clear();
    dispatcher.step(
        Time(2),
        Input::Workers {
            full: false,
            workers: vec![record(0, 1)],
        },
        &mut commands,
    );
    assert!(
        commands.contains(&Command::RecallUnsent { request }),
        "{commands:?}"
    );
    commands.clear();
    dispatcher.step(
        Time(3),
        Input::ControlRequestEnded {
            request,
            outcome: AttemptOutcome::NeverLeft,
            trailers: Trailers::default(),
        },
        &mut commands,
    );
    assert!(
        !commands.iter().any(|c| matches!(c, Command::Load { .. })),
        "nothing is loaded there: {commands:?}"
    );
}

#[test]
fn functions_no_longer_called_and_workers_that_are_gone_are_forgotten() {
    let mut dispatcher = Dispatcher::new(config(1), Time(0)).expect("settings that make sense");
    let named = dispatcher.name_counts().0;
    let mut now = 0;
    let (mut most, mut commands) = ((0, 0), Vec::new());
    for n in 0..400u64 {
        // Ever new functions, and a worker that is replaced by a new one each time.
        let list = vec![record(n as usize, 0)];
        dispatcher.step(
            Time(now),
            Input::Workers {
                full: true,
                workers: list,
            },
            &mut commands,
        );
        dispatcher.step(
            Time(now),
            call_with_shape(n, &format!("f{n}")),
            &mut commands,
        );
        for c in std::mem::take(&mut commands) {
            if let Command::Load { request, .. } = c {
                let trailers = Trailers {
                    instances: Some(1),
                    ..Trailers::default()
                };
                let outcome = AttemptOutcome::Status {
                    code: 0,
                    stage: ResponseStage::Last,
                };
                dispatcher.step(
                    Time(now),
                    Input::ControlRequestEnded {
                        request,
                        outcome,
                        trailers,
                    },
                    &mut commands,
                );
            }
        }
        for c in std::mem::take(&mut commands) {
            if let Command::SendAttempt { call, attempt, .. } = c {
                let outcome = AttemptOutcome::Status {
                    code: 0,
                    stage: ResponseStage::Last,
                };
                dispatcher.step(
                    Time(now),
                    Input::AttemptEnded {
                        call,
                        attempt,
                        outcome,
                        trailers: Trailers::default(),
                    },
                    &mut commands,
                );
            }
        }
        now += SECOND;
        let names = dispatcher.name_counts();
        most = (most.0.max(names.0 - named), most.1.max(names.1));
    }
    assert!(
        dispatcher.counters().served > 300,
        "{}",
        dispatcher.counters()
    );
    let kept = (4 * dispatcher.config().settings.idle_life / SECOND) as usize + 10;
    assert!(
        most.0 <= kept && most.1 <= 3,
        "{most:?} of 400 functions and workers"
    );
}
