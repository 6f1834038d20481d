//! Changes of the settings: their effect on open calls, and the expiry of a lease.

mod support;

use support::{class, worker, worker_list};
use tansy_dispatch::{
    Answer, AttemptOutcome, Call, CallId, Command, ConflictingScopes, DispatchConfig, Dispatcher,
    EffectiveConfig, FunctionSpec, Input, ResponseStage, Trailers, WorkerState,
};
use tansyrouter::{Class, Effect, Settings, Time, SECOND};

/// A configuration with these classes, each with one function of the same name.
fn config(classes: &[(&str, Effect)]) -> DispatchConfig {
    let function = |(class, (name, _)): (usize, &(&str, Effect))| FunctionSpec {
        name: name.to_string(),
        class,
        lanes: 8,
        memory_mb: 100.0,
        load_time: Some(1_000),
        versions: vec![],
    };
    let class_settings: Vec<Class> = classes
        .iter()
        .map(|(_, effect)| class(*effect, SECOND, 20 * SECOND))
        .collect();
    DispatchConfig {
        settings: Settings {
            classes: class_settings,
            max_retry_after: SECOND,
            may_load: false,
            ..Settings::default()
        },
        classes: classes.iter().map(|(name, _)| name.to_string()).collect(),
        tenants: vec!["acme".into()],
        zones: vec!["z".into()],
        functions: classes.iter().enumerate().map(function).collect(),
        max_call_time: 60 * SECOND,
        seed: 1,
    }
}

struct Fixture {
    dispatcher: Dispatcher,
    now: i64,
    calls: u64,
}

impl Fixture {
    /// A dispatcher with two workers.
    fn new(config: DispatchConfig) -> Fixture {
        let mut fixture = Fixture {
            dispatcher: Dispatcher::new(config, Time(0)).expect("valid settings"),
            now: 0,
            calls: 0,
        };
        fixture.step(worker_list(vec![
            worker("w0", WorkerState::Ready),
            worker("w1", WorkerState::Ready),
        ]));
        fixture
    }

    fn step(&mut self, input: Input) -> Vec<Command> {
        self.now += 1_000;
        let mut commands = Vec::new();
        self.dispatcher.step(Time(self.now), input, &mut commands);
        commands
    }

    fn call(&mut self, function: &str) -> (CallId, Vec<Command>) {
        self.call_as(function, None, false)
    }

    fn call_as(
        &mut self,
        function: &str,
        class: Option<usize>,
        unknown_names: bool,
    ) -> (CallId, Vec<Command>) {
        self.calls += 1;
        let call = CallId(self.calls);
        let input = Input::Call(Call {
            class,
            unknown_names,
            ..support::call(self.calls, function)
        });
        (call, self.step(input))
    }

    /// Ends an attempt with a lost connection, so that it may have run. Returns the commands until the call is sent again or
    /// answered.
    fn lose_attempt(&mut self, call: CallId, attempt: u32) -> Vec<Command> {
        let outcome = AttemptOutcome::ConnectionCut {
            stage: ResponseStage::Nothing,
        };
        let mut commands = self.step(Input::AttemptEnded {
            call,
            attempt,
            outcome,
            trailers: Trailers::default(),
        });
        for _ in 0..200 {
            if commands
                .iter()
                .any(|c| sends(c, call) || answer_to(c, call).is_some())
            {
                break;
            }
            self.now += 10_000;
            commands.extend(self.step(Input::Tick));
        }
        commands
    }

    fn serve_attempt(&mut self, call: CallId, attempt: u32) -> Vec<Command> {
        let outcome = AttemptOutcome::Status {
            code: 0,
            stage: ResponseStage::Messages,
        };
        self.step(Input::AttemptEnded {
            call,
            attempt,
            outcome,
            trailers: Trailers::default(),
        })
    }

    fn apply_settings(&mut self, settings: impl Into<EffectiveConfig>) {
        self.dispatcher
            .apply_settings(Time(self.now), settings.into(), vec![])
            .expect("valid settings");
    }
}

fn sends(command: &Command, call: CallId) -> bool {
    matches!(command, Command::SendAttempt { call: sent, .. } if *sent == call)
}

fn answer_to(command: &Command, call: CallId) -> Option<Answer> {
    match command {
        Command::Answer {
            call: answered,
            answer,
        } if *answered == call => Some(*answer),
        _ => None,
    }
}

#[test]
fn a_call_keeps_the_effect_in_force_when_it_arrived() {
    for (old, new, is_retried) in [
        (Effect::Safe, Effect::Unsafe, true),
        (Effect::Unsafe, Effect::Safe, false),
    ] {
        let mut fixture = Fixture::new(config(&[("a", old)]));
        let (before, commands) = fixture.call("a");
        assert!(commands.iter().any(|c| sends(c, before)), "{commands:?}");
        fixture.apply_settings(config(&[("a", new)]));
        let (after, commands) = fixture.call("a");
        assert!(commands.iter().any(|c| sends(c, after)), "{commands:?}");
        let commands = fixture.lose_attempt(before, 0);
        assert_eq!(
            commands.iter().any(|c| sends(c, before)),
            is_retried,
            "{old:?} before {new:?}: {commands:?}"
        );
        let commands = fixture.lose_attempt(after, 0);
        assert_eq!(
            commands.iter().any(|c| sends(c, after)),
            !is_retried,
            "{new:?} after {old:?}: {commands:?}"
        );
    }
}

#[test]
fn indices_of_classes_are_reused_once_their_calls_have_ended() {
    let mut fixture = Fixture::new(config(&[("a", Effect::Safe), ("b", Effect::Unsafe)]));
    for round in 0..500 {
        let (call, commands) = fixture.call("a");
        assert!(
            commands.iter().any(|c| sends(c, call)),
            "{round}: {commands:?}"
        );
        let effect = if round % 2 == 0 {
            Effect::Unsafe
        } else {
            Effect::Safe
        };
        fixture.apply_settings(config(&[("b", Effect::Unsafe), ("a", effect)]));
        assert_eq!(fixture.dispatcher.class_of(call), Some("a"));
        let commands = fixture.serve_attempt(call, 0);
        assert!(
            commands
                .iter()
                .any(|c| answer_to(c, call) == Some(Answer::Served)),
            "{round}: {commands:?}"
        );
    }
    assert!(
        fixture.dispatcher.config().settings.classes.len() <= 3,
        "{}",
        fixture.dispatcher.config().settings.classes.len()
    );
    assert_eq!(fixture.dispatcher.counters().guard_rejections, 0);
}

#[test]
fn a_class_is_found_by_name_after_its_index_changed() {
    let mut fixture = Fixture::new(config(&[("a", Effect::Safe), ("b", Effect::Unsafe)]));
    let (open, _) = fixture.call("b");
    fixture.apply_settings(config(&[("b", Effect::Safe), ("a", Effect::Safe)]));
    // The call names class b, which is safe now.
    let named_class = fixture.dispatcher.class_index("b");
    let (call, commands) = fixture.call_as("a", named_class, false);
    assert!(commands.iter().any(|c| sends(c, call)));
    let commands = fixture.lose_attempt(call, 0);
    assert!(commands.iter().any(|c| sends(c, call)), "{commands:?}");
    let commands = fixture.lose_attempt(open, 0);
    assert!(!commands.iter().any(|c| sends(c, open)), "{commands:?}");
    assert_eq!(fixture.dispatcher.class_index("none"), None);
    assert_eq!(fixture.dispatcher.tenant_index("acme"), Some(0));
}

#[test]
fn an_omitted_function_is_unknown_but_its_open_calls_are_served() {
    let mut fixture = Fixture::new(config(&[("a", Effect::Safe), ("b", Effect::Safe)]));
    let (open, _) = fixture.call("b");
    fixture.apply_settings(config(&[("a", Effect::Safe)]));
    let (call, commands) = fixture.call("b");
    assert_eq!(
        commands.iter().find_map(|c| answer_to(c, call)),
        Some(Answer::UnknownFunction)
    );
    let commands = fixture.lose_attempt(open, 0);
    assert!(commands.iter().any(|c| sends(c, open)), "{commands:?}");
    let commands = fixture.serve_attempt(open, 1);
    assert_eq!(
        commands.iter().find_map(|c| answer_to(c, open)),
        Some(Answer::Served)
    );
    // A later version defines the function again, after the names of unused functions were removed.
    fixture.apply_settings(config(&[("b", Effect::Safe)]));
    for _ in 0..100 {
        fixture.now += SECOND;
        fixture.step(Input::Tick);
    }
    let (call, commands) = fixture.call("b");
    assert!(commands.iter().any(|c| sends(c, call)), "{commands:?}");
}

#[test]
fn only_conflicting_calls_are_refused() {
    let mut fixture = Fixture::new(config(&[("a", Effect::Safe), ("b", Effect::Safe)]));
    let conflicting = |change: fn(&mut ConflictingScopes)| {
        let mut conflicting = ConflictingScopes {
            retry_after: SECOND / 2,
            ..ConflictingScopes::default()
        };
        change(&mut conflicting);
        EffectiveConfig {
            config: config(&[("a", Effect::Safe), ("b", Effect::Safe)]),
            conflicting,
        }
    };
    let refused = Some(Answer::Refused {
        retry_after: SECOND / 2,
    });
    type Case = (fn(&mut ConflictingScopes), [bool; 2]);
    let cases: [Case; 4] = [
        (|c| c.all = true, [true, true]),
        (|c| assert!(c.classes.insert("a".into())), [true, false]),
        (|c| assert!(c.functions.insert("b".into())), [false, true]),
        (|c| assert!(c.tenants.insert("acme".into())), [true, true]),
    ];
    for (n, (change, expected)) in cases.into_iter().enumerate() {
        fixture.apply_settings(conflicting(change));
        for (function, expected) in ["a", "b"].into_iter().zip(expected) {
            let (call, commands) = fixture.call(function);
            let got = commands.iter().find_map(|c| answer_to(c, call));
            assert_eq!(got == refused, expected, "{n} {function}: {commands:?}");
            assert_eq!(
                commands.iter().any(|c| sends(c, call)),
                !expected,
                "{n} {function}: {commands:?}"
            );
            fixture.serve_attempt(call, 0);
        }
    }
    assert_eq!(fixture.dispatcher.counters().conflicting, 6);
    // A call with unknown names is refused only if a version that is not known here may define them.
    let (call, commands) = fixture.call_as("a", None, true);
    assert_eq!(
        commands.iter().find_map(|c| answer_to(c, call)),
        refused,
        "the tenant still conflicts"
    );
    fixture.apply_settings(conflicting(|c| c.unknown_names = true));
    let (call, commands) = fixture.call_as("a", None, true);
    assert_eq!(commands.iter().find_map(|c| answer_to(c, call)), refused);
    let (call, commands) = fixture.call_as("a", None, false);
    assert!(commands.iter().any(|c| sends(c, call)));
}

#[test]
fn an_expired_lease_takes_effect_at_the_next_input() {
    let mut fixture = Fixture::new(config(&[("a", Effect::Safe)]));
    let after = || EffectiveConfig {
        conflicting: ConflictingScopes {
            all: true,
            ..ConflictingScopes::default()
        },
        config: config(&[("a", Effect::Safe)]),
    };
    let settings = || EffectiveConfig::from(config(&[("a", Effect::Safe)]));
    let until = Time(fixture.now + SECOND);
    fixture
        .dispatcher
        .apply_settings(Time(fixture.now), settings(), vec![(until, after())])
        .expect("valid settings");
    let (call, commands) = fixture.call("a");
    assert!(commands.iter().any(|c| sends(c, call)));
    assert!(fixture
        .dispatcher
        .extend_expiry(Time(fixture.now), &[until.plus(SECOND)]));
    assert!(
        fixture
            .dispatcher
            .extend_expiry(Time(fixture.now), &[until]),
        "an earlier expiry does not shorten the lease"
    );
    assert_eq!(fixture.dispatcher.next_expiry(), Some(until.plus(SECOND)));
    fixture.now = until.plus(SECOND).0 - 2_000;
    let (call, commands) = fixture.call("a");
    assert!(
        commands.iter().any(|c| sends(c, call)),
        "the lease is still valid"
    );
    // The first input after the expiry is a call.
    fixture.now = until.plus(SECOND).0;
    let (call, commands) = fixture.call("a");
    assert!(
        matches!(
            commands.iter().find_map(|c| answer_to(c, call)),
            Some(Answer::Refused { .. })
        ),
        "{commands:?}"
    );
    assert!(
        !fixture
            .dispatcher
            .extend_expiry(Time(fixture.now), &[until.plus(9 * SECOND)]),
        "expired settings must be applied again"
    );
    fixture.apply_settings(settings());
    let (call, commands) = fixture.call("a");
    assert!(commands.iter().any(|c| sends(c, call)));
    // A lease that has expired when it is applied takes effect at once.
    fixture
        .dispatcher
        .apply_settings(
            Time(fixture.now),
            settings(),
            vec![(Time(fixture.now), after())],
        )
        .expect("valid settings");
    let (call, commands) = fixture.call("a");
    assert!(!commands.iter().any(|c| sends(c, call)), "{commands:?}");
}

#[test]
fn invalid_settings_change_nothing() {
    let mut fixture = Fixture::new(config(&[("a", Effect::Safe)]));
    let mut no_classes = config(&[]);
    no_classes.functions.clear();
    let mut no_deadline = config(&[("a", Effect::Safe)]);
    no_deadline.settings.classes[0].deadline = 0;
    let mut unknown_class = config(&[("a", Effect::Safe)]);
    unknown_class.functions[0].class = 1;
    let mut missing_class_name = config(&[("a", Effect::Safe)]);
    missing_class_name.classes.clear();
    for invalid in [no_classes, no_deadline, unknown_class, missing_class_name] {
        assert!(fixture
            .dispatcher
            .apply_settings(Time(fixture.now), invalid.clone().into(), vec![])
            .is_err());
        let valid = config(&[("a", Effect::Unsafe)]).into();
        let lease = vec![(Time(fixture.now + SECOND), EffectiveConfig::from(invalid))];
        assert!(
            fixture
                .dispatcher
                .apply_settings(Time(fixture.now), valid, lease)
                .is_err(),
            "scheduled settings are checked as well"
        );
    }
    let (call, _) = fixture.call("a");
    let commands = fixture.lose_attempt(call, 0);
    assert!(
        commands.iter().any(|c| sends(c, call)),
        "the class is still safe: {commands:?}"
    );
}
