//! What is counted of calls that wait for their function's settings, and what a rollout makes of it.

mod support;

use std::collections::BTreeMap;
use support::lookup_scene::{budgets_and_answers, call, known, scene, Scene};
use support::OK;
use tansy_canary::{AnalysisParameters, CanaryAnalysis, FrontEndReport, RequestCounters, Verdict};
use tansy_dispatch::class_counters::PENDING_LOOKUP;
use tansy_dispatch::pending_lookups::{MAX_PENDING_CALLS_PER_FUNCTION, MAX_WAIT};
use tansy_dispatch::{CallId, FunctionLookup, Input, Trailers};
use tansyrouter::SECOND;

/// What a rollout compares: ends of calls that awaited settings, as served, refused and failed, and what they were worth.
fn awaited(scene: &Scene) -> [u64; 5] {
    let counts = scene.dispatcher.class_counters().expect("they are counted");
    let counters = counts
        .classes()
        .get(PENDING_LOOKUP)
        .expect("some awaited settings");
    assert_eq!(
        (counters.possible_value, counters.latency.len()),
        (counters.ended as f64, counters.served)
    );
    [
        counters.ended,
        counters.served,
        counters.refused,
        counters.failed,
        counters.value as u64,
    ]
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
    for id in 0..=MAX_PENDING_CALLS_PER_FUNCTION as u64 {
        scene.call_pending(100 + id, None);
    }
    assert_eq!(awaited(&scene), [8, 1, 5, 2, 1]);
    scene.give(10, Input::Shutdown { grace: SECOND });
    scene.call_pending(1000, None);
    assert_eq!(
        awaited(&scene),
        [
            9 + MAX_PENDING_CALLS_PER_FUNCTION as u64,
            1,
            6 + MAX_PENDING_CALLS_PER_FUNCTION as u64,
            2,
            1
        ]
    );
    let counters = scene.dispatcher.counters();
    assert_eq!(
        counters.refused,
        6 + MAX_PENDING_CALLS_PER_FUNCTION as u64,
        "as in the account: {counters}"
    );
    let counts = scene.dispatcher.class_counters().expect("they are counted");
    assert!(
        counts.classes().keys().eq([PENDING_LOOKUP]),
        "no call of a class has ended"
    );
}

/// What a rollout knows of a front end: its counts, beside a thousand calls a slice that all were served.
fn report(
    index: usize,
    slice: u64,
    scene: &Scene,
    new: bool,
    with_awaited: bool,
) -> FrontEndReport {
    let mut classes = BTreeMap::new();
    let counts = scene.dispatcher.class_counters().expect("they are counted");
    for (name, counted) in counts
        .classes()
        .iter()
        .filter(|(name, _)| with_awaited || *name != PENDING_LOOKUP)
    {
        let mut counters = RequestCounters {
            requested: counted.ended,
            served: counted.served,
            rejected: counted.refused,
            failed: counted.failed,
            value_requested: counted.possible_value,
            value_served: counted.value,
            ..RequestCounters::default()
        };
        counters.latency.add(&counted.latency).expect("it grows");
        classes.insert(name.clone(), counters);
    }
    let calls = 1_000 * slice;
    let mut counters = RequestCounters {
        requested: calls,
        served: calls,
        value_requested: calls as f64,
        value_served: calls as f64,
        ..RequestCounters::default()
    };
    counters.latency.record_n(20_000, calls).expect("it grows");
    classes
        .entry("safe".to_string())
        .or_default()
        .add(&counters);
    let (name, zone) = (format!("f{index}"), "z".to_string());
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

/// A rollout of a program that refuses every first call of a function, of which each front end has five in a slice of a thousand.
fn compare_rollout(breaks: bool, with_awaited: bool) -> (Verdict, Vec<String>) {
    let mut scenes: Vec<Scene> = (0..8).map(|_| scene()).collect();
    scenes
        .iter_mut()
        .for_each(|scene| scene.dispatcher.enable_class_counters());
    let new = |n: usize| n < 3;
    let mut judge = CanaryAnalysis::new(
        AnalysisParameters::default(),
        (0..8).filter(|n| new(*n)).map(|n| format!("f{n}")),
    );
    let mut id = 0;
    for slice in 1..=60 {
        let judging = slice > 20;
        for (index, scene) in scenes.iter_mut().enumerate() {
            for _ in 0..5 {
                id += 1;
                scene.call_pending(id, Some(SECOND));
                let lookup = if breaks && judging && new(index) {
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
                    scene.give(
                        0,
                        Input::AttemptEnded {
                            call,
                            attempt,
                            outcome: OK,
                            trailers: Trailers::default(),
                        },
                    );
                }
            }
        }
        let each = |(n, scene)| report(n, slice, scene, judging && new(n), with_awaited);
        let reports: Vec<FrontEndReport> = scenes.iter().enumerate().map(each).collect();
        judge.observe(&reports, judging);
    }
    (
        judge.verdict(),
        judge.measurements().into_iter().map(|m| m.metric).collect(),
    )
}

#[test]
fn a_rollout_that_breaks_first_calls_is_recognized() {
    let (verdict, measured) = compare_rollout(true, true);
    assert!(
        matches!(&verdict, Verdict::Fail { reason } if reason.contains(PENDING_LOOKUP)),
        "{verdict:?} {measured:?}"
    );
    let (verdict, _) = compare_rollout(false, true);
    assert_eq!(verdict, Verdict::Pass, "one that breaks nothing");
    // Without these counts nothing shows: the calls were never of a class.
    let (verdict, _) = compare_rollout(true, false);
    assert_eq!(verdict, Verdict::Pass);
}
