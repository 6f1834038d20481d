//! Versions of the settings at one front end: what a call that came before a change may do after it, and what comes when a
//! lease runs out.

mod support;

use support::{class, worker, worker_list};
use tansy_dispatch::{
    Answer, AttemptOutcome, Call, CallId, Command, ConflictingScopes, DispatchConfig, Dispatcher,
    EffectiveConfig, FunctionSpec, Input, ResponseStage, Trailers, WorkerState,
};
use tansyrouter::{Class, Effect, Settings, Time, SECOND};

/// Functions of the same names as the classes, each of its own class.
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

struct Scene {
    dispatcher: Dispatcher,
    now: i64,
    calls: u64,
}

impl Scene {
    /// A front end with two workers.
    fn new(config: DispatchConfig) -> Scene {
        let mut scene = Scene {
            dispatcher: Dispatcher::new(config, Time(0)).expect("settings that make sense"),
            now: 0,
            calls: 0,
        };
        scene.give(worker_list(vec![
            worker("w0", WorkerState::Ready),
            worker("w1", WorkerState::Ready),
        ]));
        scene
    }

    fn give(&mut self, input: Input) -> Vec<Command> {
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
        (call, self.give(input))
    }

    /// A call's attempt is lost on the way after it may have run; what comes of it until it is sent again or answered.
    fn lose(&mut self, call: CallId, attempt: u32) -> Vec<Command> {
        let outcome = AttemptOutcome::ConnectionCut {
            stage: ResponseStage::Nothing,
        };
        let mut commands = self.give(Input::AttemptEnded {
            call,
            attempt,
            outcome,
            trailers: Trailers::default(),
        });
        for _ in 0..200 {
            if commands
                .iter()
                .any(|c| sends(c, call) || answer(c, call).is_some())
            {
                break;
            }
            self.now += 10_000;
            commands.extend(self.give(Input::Tick));
        }
        commands
    }

    fn serve(&mut self, call: CallId, attempt: u32) -> Vec<Command> {
        let outcome = AttemptOutcome::Status {
            code: 0,
            stage: ResponseStage::Messages,
        };
        self.give(Input::AttemptEnded {
            call,
            attempt,
            outcome,
            trailers: Trailers::default(),
        })
    }

    fn apply_settings(&mut self, terms: impl Into<EffectiveConfig>) {
        self.dispatcher
            .apply_settings(Time(self.now), terms.into(), vec![])
            .expect("settings that make sense");
    }
}

fn sends(command: &Command, call: CallId) -> bool {
    matches!(command, Command::SendAttempt { call: sent, .. } if *sent == call)
}

fn answer(command: &Command, call: CallId) -> Option<Answer> {
    match command {
        Command::Answer {
            call: answered,
            answer,
        } if *answered == call => Some(*answer),
        _ => None,
    }
}

#[test]
fn a_call_keeps_the_effect_that_it_came_under() {
    for (old, new, again) in [
        (Effect::Safe, Effect::Unsafe, true),
        (Effect::Unsafe, Effect::Safe, false),
    ] {
        let mut scene = Scene::new(config(&[("a", old)]));
        let (before, commands) = scene.call("a");
        assert!(commands.iter().any(|c| sends(c, before)), "{commands:?}");
        scene.apply_settings(config(&[("a", new)]));
        let (after, commands) = scene.call("a");
        assert!(commands.iter().any(|c| sends(c, after)), "{commands:?}");
        let commands = scene.lose(before, 0);
        assert_eq!(
            commands.iter().any(|c| sends(c, before)),
            again,
            "{old:?} before {new:?}: {commands:?}"
        );
        let commands = scene.lose(after, 0);
        assert_eq!(
            commands.iter().any(|c| sends(c, after)),
            !again,
            "{new:?} after {old:?}: {commands:?}"
        );
    }
}

#[test]
fn indices_of_classes_are_used_again_once_their_calls_have_ended() {
    let mut scene = Scene::new(config(&[("a", Effect::Safe), ("b", Effect::Unsafe)]));
    for round in 0..500 {
        let (call, commands) = scene.call("a");
        assert!(
            commands.iter().any(|c| sends(c, call)),
            "{round}: {commands:?}"
        );
        let effect = if round % 2 == 0 {
            Effect::Unsafe
        } else {
            Effect::Safe
        };
        scene.apply_settings(config(&[("b", Effect::Unsafe), ("a", effect)]));
        assert_eq!(scene.dispatcher.class_of(call), Some("a"));
        let commands = scene.serve(call, 0);
        assert!(
            commands
                .iter()
                .any(|c| answer(c, call) == Some(Answer::Served)),
            "{round}: {commands:?}"
        );
    }
    assert!(
        scene.dispatcher.config().settings.classes.len() <= 3,
        "{}",
        scene.dispatcher.config().settings.classes.len()
    );
    assert_eq!(scene.dispatcher.counters().guard_rejections, 0);
}

#[test]
fn a_class_has_its_index_by_name_wherever_the_router_has_it() {
    let mut scene = Scene::new(config(&[("a", Effect::Safe), ("b", Effect::Unsafe)]));
    let (open, _) = scene.call("b");
    scene.apply_settings(config(&[("b", Effect::Safe), ("a", Effect::Safe)]));
    // Named by the call itself: b is safe by now.
    let named_class = scene.dispatcher.class_index("b");
    let (call, commands) = scene.call_as("a", named_class, false);
    assert!(commands.iter().any(|c| sends(c, call)));
    let commands = scene.lose(call, 0);
    assert!(commands.iter().any(|c| sends(c, call)), "{commands:?}");
    let commands = scene.lose(open, 0);
    assert!(!commands.iter().any(|c| sends(c, open)), "{commands:?}");
    assert_eq!(scene.dispatcher.class_index("none"), None);
    assert_eq!(scene.dispatcher.tenant_index("acme"), Some(0));
}

#[test]
fn a_function_that_a_version_omits_is_unknown_but_its_open_calls_end_well() {
    let mut scene = Scene::new(config(&[("a", Effect::Safe), ("b", Effect::Safe)]));
    let (open, _) = scene.call("b");
    scene.apply_settings(config(&[("a", Effect::Safe)]));
    let (call, commands) = scene.call("b");
    assert_eq!(
        commands.iter().find_map(|c| answer(c, call)),
        Some(Answer::UnknownFunction)
    );
    let commands = scene.lose(open, 0);
    assert!(commands.iter().any(|c| sends(c, open)), "{commands:?}");
    let commands = scene.serve(open, 1);
    assert_eq!(
        commands.iter().find_map(|c| answer(c, open)),
        Some(Answer::Served)
    );
    // Back in a later version, it is known as before, also after what is not called was forgotten.
    scene.apply_settings(config(&[("b", Effect::Safe)]));
    for _ in 0..100 {
        scene.now += SECOND;
        scene.give(Input::Tick);
    }
    let (call, commands) = scene.call("b");
    assert!(commands.iter().any(|c| sends(c, call)), "{commands:?}");
}

#[test]
fn conflicting_calls_are_refused_at_once_and_no_others() {
    let mut scene = Scene::new(config(&[("a", Effect::Safe), ("b", Effect::Safe)]));
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
        scene.apply_settings(conflicting(change));
        for (function, expected) in ["a", "b"].into_iter().zip(expected) {
            let (call, commands) = scene.call(function);
            let got = commands.iter().find_map(|c| answer(c, call));
            assert_eq!(got == refused, expected, "{n} {function}: {commands:?}");
            assert_eq!(
                commands.iter().any(|c| sends(c, call)),
                !expected,
                "{n} {function}: {commands:?}"
            );
            scene.serve(call, 0);
        }
    }
    assert_eq!(scene.dispatcher.counters().conflicting, 6);
    // What names a class that is not known is refused only where a version that can't be known may have it.
    let (call, commands) = scene.call_as("a", None, true);
    assert_eq!(
        commands.iter().find_map(|c| answer(c, call)),
        refused,
        "the tenant is contested still"
    );
    scene.apply_settings(conflicting(|c| c.unknown_names = true));
    let (call, commands) = scene.call_as("a", None, true);
    assert_eq!(commands.iter().find_map(|c| answer(c, call)), refused);
    let (call, commands) = scene.call_as("a", None, false);
    assert!(commands.iter().any(|c| sends(c, call)));
}

#[test]
fn a_lease_that_ran_out_binds_at_the_very_next_input() {
    let mut scene = Scene::new(config(&[("a", Effect::Safe)]));
    let after = || EffectiveConfig {
        conflicting: ConflictingScopes {
            all: true,
            ..ConflictingScopes::default()
        },
        config: config(&[("a", Effect::Safe)]),
    };
    let terms = || EffectiveConfig::from(config(&[("a", Effect::Safe)]));
    let until = Time(scene.now + SECOND);
    scene
        .dispatcher
        .apply_settings(Time(scene.now), terms(), vec![(until, after())])
        .expect("good settings");
    let (call, commands) = scene.call("a");
    assert!(commands.iter().any(|c| sends(c, call)));
    assert!(scene
        .dispatcher
        .extend_expiry(Time(scene.now), &[until.plus(SECOND)]));
    assert!(
        scene.dispatcher.extend_expiry(Time(scene.now), &[until]),
        "an older end is no shorter lease"
    );
    assert_eq!(scene.dispatcher.next_expiry(), Some(until.plus(SECOND)));
    scene.now = until.plus(SECOND).0 - 2_000;
    let (call, commands) = scene.call("a");
    assert!(commands.iter().any(|c| sends(c, call)), "still within it");
    // Stopped for a while, and woken by a call that waited.
    scene.now = until.plus(SECOND).0;
    let (call, commands) = scene.call("a");
    assert!(
        matches!(
            commands.iter().find_map(|c| answer(c, call)),
            Some(Answer::Refused { .. })
        ),
        "{commands:?}"
    );
    assert!(
        !scene
            .dispatcher
            .extend_expiry(Time(scene.now), &[until.plus(9 * SECOND)]),
        "it has to be taken up anew"
    );
    scene.apply_settings(terms());
    let (call, commands) = scene.call("a");
    assert!(commands.iter().any(|c| sends(c, call)));
    // One that is over when it comes binds at once.
    scene
        .dispatcher
        .apply_settings(Time(scene.now), terms(), vec![(Time(scene.now), after())])
        .expect("good settings");
    let (call, commands) = scene.call("a");
    assert!(!commands.iter().any(|c| sends(c, call)), "{commands:?}");
}

#[test]
fn settings_that_make_no_sense_change_nothing() {
    let mut scene = Scene::new(config(&[("a", Effect::Safe)]));
    let mut none = config(&[]);
    none.functions.clear();
    let mut timeless = config(&[("a", Effect::Safe)]);
    timeless.settings.classes[0].deadline = 0;
    let mut lost = config(&[("a", Effect::Safe)]);
    lost.functions[0].class = 1;
    let mut unnamed = config(&[("a", Effect::Safe)]);
    unnamed.classes.clear();
    for invalid in [none, timeless, lost, unnamed] {
        assert!(scene
            .dispatcher
            .apply_settings(Time(scene.now), invalid.clone().into(), vec![])
            .is_err());
        let good = config(&[("a", Effect::Unsafe)]).into();
        let lease = vec![(Time(scene.now + SECOND), EffectiveConfig::from(invalid))];
        assert!(
            scene
                .dispatcher
                .apply_settings(Time(scene.now), good, lease)
                .is_err(),
            "what comes after has to make sense too"
        );
    }
    let (call, _) = scene.call("a");
    let commands = scene.lose(call, 0);
    assert!(
        commands.iter().any(|c| sends(c, call)),
        "it is safe still: {commands:?}"
    );
}
