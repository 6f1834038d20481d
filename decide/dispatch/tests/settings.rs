//! Versions of the settings at one front end: what a call that came before a change may do after it, and what comes when a
//! lease runs out.

use tansy_dispatch::{
    Answer, AttemptOutcome, Call, CallId, Command, ConflictingScopes, DispatchConfig, Dispatcher,
    EffectiveConfig, FunctionSpec, Input, ResponseStage, Trailers, WorkerRecord,
};
use tansyrouter::{Class, Effect, Settings, Time, SECOND};

fn class(effect: Effect, deadline: i64) -> Class {
    Class {
        aim: SECOND,
        aim_stretch: 0.0,
        deadline,
        effect,
        worth: 1.0,
        late_worth: 0.5,
        streamed: false,
    }
}

/// Functions of the same names as the classes, each of its own class.
fn config(classes: &[(&str, Effect)]) -> DispatchConfig {
    let function = |(n, (name, _)): (usize, &(&str, Effect))| FunctionSpec {
        name: name.to_string(),
        class: n,
        lanes: 8,
        memory_mb: 100.0,
        load_time: Some(1_000),
        versions: vec![],
    };
    let list: Vec<Class> = classes
        .iter()
        .map(|(_, e)| class(*e, 20 * SECOND))
        .collect();
    DispatchConfig {
        settings: Settings {
            classes: list,
            max_stay_away: SECOND,
            may_order: false,
            ..Settings::default()
        },
        classes: classes.iter().map(|c| c.0.to_string()).collect(),
        tenants: vec!["acme".into()],
        zones: vec!["z".into()],
        functions: classes.iter().enumerate().map(function).collect(),
        max_call_time: 60 * SECOND,
        seed: 1,
    }
}

struct Scene {
    front: Dispatcher,
    now: i64,
    calls: u64,
}

impl Scene {
    /// A front end with two workers.
    fn new(config: DispatchConfig) -> Scene {
        let mut s = Scene {
            front: Dispatcher::new(config, Time(0)).expect("settings that make sense"),
            now: 0,
            calls: 0,
        };
        let worker = |n: usize| WorkerRecord {
            name: format!("w{n}"),
            kind: 0,
            cell: 0,
            zone: 0,
            state: 0,
            age: None,
            relative_size: 1.0,
        };
        s.give(Input::Workers {
            full: true,
            workers: vec![worker(0), worker(1)],
        });
        s
    }

    fn give(&mut self, input: Input) -> Vec<Command> {
        self.now += 1_000;
        let mut out = Vec::new();
        self.front.step(Time(self.now), input, &mut out);
        out
    }

    fn call(&mut self, function: &str) -> (CallId, Vec<Command>) {
        self.take(function, None, false)
    }

    fn take(
        &mut self,
        function: &str,
        class: Option<usize>,
        unknown_names: bool,
    ) -> (CallId, Vec<Command>) {
        self.calls += 1;
        let call = CallId(self.calls);
        let input = Input::Call(Call {
            id: call,
            function: function.into(),
            class,
            tenant: 0,
            budget: None,
            work_hint: None,
            repeat: false,
            shape: None,
            unknown_names,
            waited: 0,
        });
        (call, self.give(input))
    }

    /// A call's attempt is lost on the way after it may have run; what comes of it until it is sent again or answered.
    fn lose(&mut self, call: CallId, attempt: u32) -> Vec<Command> {
        let seen = AttemptOutcome::ConnectionCut {
            stage: ResponseStage::Nothing,
        };
        let mut out = self.give(Input::AttemptEnded {
            call,
            attempt,
            outcome: seen,
            trailers: Trailers::default(),
        });
        for _ in 0..200 {
            if out
                .iter()
                .any(|c| opens(c, call) || answer(c, call).is_some())
            {
                break;
            }
            self.now += 10_000;
            out.extend(self.give(Input::Tick));
        }
        out
    }

    fn serve(&mut self, call: CallId, attempt: u32) -> Vec<Command> {
        let seen = AttemptOutcome::Status {
            code: 0,
            stage: ResponseStage::Messages,
        };
        self.give(Input::AttemptEnded {
            call,
            attempt,
            outcome: seen,
            trailers: Trailers::default(),
        })
    }

    fn apply_settings(&mut self, terms: impl Into<EffectiveConfig>) {
        self.front
            .apply_settings(Time(self.now), terms.into(), vec![])
            .expect("settings that make sense");
    }
}

fn opens(c: &Command, call: CallId) -> bool {
    matches!(c, Command::SendAttempt { call: c, .. } if *c == call)
}

fn answer(c: &Command, call: CallId) -> Option<Answer> {
    match c {
        Command::Answer { call: c, answer } if *c == call => Some(*answer),
        _ => None,
    }
}

#[test]
fn a_call_keeps_the_effect_that_it_came_under() {
    for (old, new, again) in [
        (Effect::Safe, Effect::Unsafe, true),
        (Effect::Unsafe, Effect::Safe, false),
    ] {
        let mut s = Scene::new(config(&[("a", old)]));
        let (before, out) = s.call("a");
        assert!(out.iter().any(|c| opens(c, before)), "{out:?}");
        s.apply_settings(config(&[("a", new)]));
        let (after, out) = s.call("a");
        assert!(out.iter().any(|c| opens(c, after)), "{out:?}");
        let out = s.lose(before, 0);
        assert_eq!(
            out.iter().any(|c| opens(c, before)),
            again,
            "{old:?} before {new:?}: {out:?}"
        );
        let out = s.lose(after, 0);
        assert_eq!(
            out.iter().any(|c| opens(c, after)),
            !again,
            "{new:?} after {old:?}: {out:?}"
        );
    }
}

#[test]
fn places_of_classes_are_used_again_once_their_calls_have_ended() {
    let mut s = Scene::new(config(&[("a", Effect::Safe), ("b", Effect::Unsafe)]));
    for n in 0..500 {
        let (call, out) = s.call("a");
        assert!(out.iter().any(|c| opens(c, call)), "{n}: {out:?}");
        let effect = if n % 2 == 0 {
            Effect::Unsafe
        } else {
            Effect::Safe
        };
        s.apply_settings(config(&[("b", Effect::Unsafe), ("a", effect)]));
        assert_eq!(s.front.class_of(call), Some("a"));
        let out = s.serve(call, 0);
        assert!(
            out.iter().any(|c| answer(c, call) == Some(Answer::Served)),
            "{n}: {out:?}"
        );
    }
    assert!(
        s.front.config().settings.classes.len() <= 3,
        "{}",
        s.front.config().settings.classes.len()
    );
    assert_eq!(s.front.counters().guard_rejections, 0);
}

#[test]
fn a_class_is_found_by_its_name_wherever_the_module_has_it() {
    let mut s = Scene::new(config(&[("a", Effect::Safe), ("b", Effect::Unsafe)]));
    let (open, _) = s.call("b");
    s.apply_settings(config(&[("b", Effect::Safe), ("a", Effect::Safe)]));
    // Named by the call itself: b is safe by now.
    let b = s.front.class_index("b");
    let (call, out) = s.take("a", b, false);
    assert!(out.iter().any(|c| opens(c, call)));
    let out = s.lose(call, 0);
    assert!(out.iter().any(|c| opens(c, call)), "{out:?}");
    let out = s.lose(open, 0);
    assert!(!out.iter().any(|c| opens(c, open)), "{out:?}");
    assert_eq!(s.front.class_index("none"), None);
    assert_eq!(s.front.tenant_index("acme"), Some(0));
}

#[test]
fn a_function_that_a_version_leaves_out_is_unknown_but_its_open_calls_end_well() {
    let mut s = Scene::new(config(&[("a", Effect::Safe), ("b", Effect::Safe)]));
    let (open, _) = s.call("b");
    s.apply_settings(config(&[("a", Effect::Safe)]));
    let (call, out) = s.call("b");
    assert_eq!(
        out.iter().find_map(|c| answer(c, call)),
        Some(Answer::UnknownFunction)
    );
    let out = s.lose(open, 0);
    assert!(out.iter().any(|c| opens(c, open)), "{out:?}");
    let out = s.serve(open, 1);
    assert_eq!(
        out.iter().find_map(|c| answer(c, open)),
        Some(Answer::Served)
    );
    // Back in a later version, it is known as before, also after what is not called was forgotten.
    s.apply_settings(config(&[("b", Effect::Safe)]));
    for _ in 0..100 {
        s.now += SECOND;
        s.give(Input::Tick);
    }
    let (call, out) = s.call("b");
    assert!(out.iter().any(|c| opens(c, call)), "{out:?}");
}

#[test]
fn contested_calls_are_refused_at_once_and_no_others() {
    let mut s = Scene::new(config(&[("a", Effect::Safe), ("b", Effect::Safe)]));
    let contested = |change: fn(&mut ConflictingScopes)| {
        let mut contested = ConflictingScopes {
            retry_after: SECOND / 2,
            ..ConflictingScopes::default()
        };
        change(&mut contested);
        EffectiveConfig {
            config: config(&[("a", Effect::Safe), ("b", Effect::Safe)]),
            conflicting: contested,
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
    for (n, (change, wanted)) in cases.into_iter().enumerate() {
        s.apply_settings(contested(change));
        for (function, wanted) in ["a", "b"].into_iter().zip(wanted) {
            let (call, out) = s.call(function);
            let got = out.iter().find_map(|c| answer(c, call));
            assert_eq!(got == refused, wanted, "{n} {function}: {out:?}");
            assert_eq!(
                out.iter().any(|c| opens(c, call)),
                !wanted,
                "{n} {function}: {out:?}"
            );
            s.serve(call, 0);
        }
    }
    assert_eq!(s.front.counters().conflicting, 6);
    // What names a class that is not known is refused only where a version that can't be known may have it.
    let (call, out) = s.take("a", None, true);
    assert_eq!(
        out.iter().find_map(|c| answer(c, call)),
        refused,
        "the tenant is contested still"
    );
    s.apply_settings(contested(|c| c.unknown_names = true));
    let (call, out) = s.take("a", None, true);
    assert_eq!(out.iter().find_map(|c| answer(c, call)), refused);
    let (call, out) = s.take("a", None, false);
    assert!(out.iter().any(|c| opens(c, call)));
}

#[test]
fn a_lease_that_ran_out_binds_at_the_very_next_input() {
    let mut s = Scene::new(config(&[("a", Effect::Safe)]));
    let after = || EffectiveConfig {
        conflicting: ConflictingScopes {
            all: true,
            ..ConflictingScopes::default()
        },
        config: config(&[("a", Effect::Safe)]),
    };
    let terms = || EffectiveConfig::from(config(&[("a", Effect::Safe)]));
    let until = Time(s.now + SECOND);
    s.front
        .apply_settings(Time(s.now), terms(), vec![(until, after())])
        .expect("good settings");
    let (call, out) = s.call("a");
    assert!(out.iter().any(|c| opens(c, call)));
    assert!(s.front.extend_expiry(Time(s.now), &[until.plus(SECOND)]));
    assert!(
        s.front.extend_expiry(Time(s.now), &[until]),
        "an older end is no shorter lease"
    );
    assert_eq!(s.front.next_expiry(), Some(until.plus(SECOND)));
    s.now = until.plus(SECOND).0 - 2_000;
    let (call, out) = s.call("a");
    assert!(out.iter().any(|c| opens(c, call)), "still within it");
    // Stopped for a while, and woken by a call that waited.
    s.now = until.plus(SECOND).0;
    let (call, out) = s.call("a");
    assert!(
        matches!(
            out.iter().find_map(|c| answer(c, call)),
            Some(Answer::Refused { .. })
        ),
        "{out:?}"
    );
    assert!(
        !s.front
            .extend_expiry(Time(s.now), &[until.plus(9 * SECOND)]),
        "it has to be taken up anew"
    );
    s.apply_settings(terms());
    let (call, out) = s.call("a");
    assert!(out.iter().any(|c| opens(c, call)));
    // One that is over when it comes binds at once.
    s.front
        .apply_settings(Time(s.now), terms(), vec![(Time(s.now), after())])
        .expect("good settings");
    let (call, out) = s.call("a");
    assert!(!out.iter().any(|c| opens(c, call)), "{out:?}");
}

#[test]
fn settings_that_make_no_sense_change_nothing() {
    let mut s = Scene::new(config(&[("a", Effect::Safe)]));
    let mut none = config(&[]);
    none.functions.clear();
    let mut timeless = config(&[("a", Effect::Safe)]);
    timeless.settings.classes[0].deadline = 0;
    let mut lost = config(&[("a", Effect::Safe)]);
    lost.functions[0].class = 1;
    let mut unnamed = config(&[("a", Effect::Safe)]);
    unnamed.classes.clear();
    for bad in [none, timeless, lost, unnamed] {
        assert!(s
            .front
            .apply_settings(Time(s.now), bad.clone().into(), vec![])
            .is_err());
        let good = config(&[("a", Effect::Unsafe)]).into();
        let lease = vec![(Time(s.now + SECOND), EffectiveConfig::from(bad))];
        assert!(
            s.front.apply_settings(Time(s.now), good, lease).is_err(),
            "what comes after has to make sense too"
        );
    }
    let (call, _) = s.call("a");
    let out = s.lose(call, 0);
    assert!(
        out.iter().any(|c| opens(c, call)),
        "it is safe still: {out:?}"
    );
}
