//! Counters of calls that wait for the lookup of their function, and their use in canary analysis.

mod support;

use std::collections::BTreeMap;
use support::lookup_fixture::{budgets_and_answers, call, fixture, known, Fixture};
use support::OK;
use tansy_canary::{AnalysisParameters, CanaryAnalysis, FrontEndReport, RequestCounters, Verdict};
use tansy_dispatch::class_counters::PENDING_LOOKUP;
use tansy_dispatch::pending_lookups::{MAX_PENDING_CALLS_PER_FUNCTION, MAX_WAIT};
use tansy_dispatch::{CallId, FunctionLookup, Input, Trailers};
use tansyrouter::SECOND;

/// Calls that waited for a lookup: ended, served, refused and failed calls, and the value of the answers.
fn pending_lookup_counters(fixture: &Fixture) -> [u64; 5] {
    let counts = fixture.dispatcher.class_counters().expect("enabled");
    let counters = counts
        .classes()
        .get(PENDING_LOOKUP)
        .expect("calls waited for a lookup");
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
fn every_end_of_a_lookup_wait_is_counted() {
    let mut fixture = fixture();
    fixture.dispatcher.enable_class_counters();
    // Proceeds, and later counts under its class as well.
    fixture.call_pending(1, Some(SECOND));
    fixture.resolve(300_000, known(0));
    assert_eq!(pending_lookup_counters(&fixture), [1, 1, 0, 0, 1]);
    // Refused at the longest wait, by the result of the lookup, at once by a lookup, and for lack of budget.
    fixture.call_pending(2, None);
    fixture.step_after(MAX_WAIT, Input::Tick);
    fixture.call_pending(3, None);
    fixture.resolve(10, FunctionLookup::Refused);
    fixture.step_after(
        0,
        Input::CallLookedUp {
            call: call(4, "f", None),
            lookup: FunctionLookup::Refused,
        },
    );
    fixture.call_pending(5, Some(0));
    assert_eq!(pending_lookup_counters(&fixture), [5, 1, 4, 0, 1]);
    // The function does not exist; the client leaves.
    fixture.call_pending(6, None);
    fixture.resolve(10, FunctionLookup::Unknown);
    fixture.call_pending(7, None);
    fixture.step_after(10, Input::ClientLeft { call: CallId(7) });
    assert_eq!(pending_lookup_counters(&fixture), [7, 1, 4, 2, 1]);
    // A call that did not wait counts under its class only.
    fixture.step_after(
        0,
        Input::CallLookedUp {
            call: call(8, "f", Some(SECOND)),
            lookup: known(1),
        },
    );
    assert_eq!(pending_lookup_counters(&fixture), [7, 1, 4, 2, 1]);
    // Too many calls of one function, and a shutdown.
    for id in 0..=MAX_PENDING_CALLS_PER_FUNCTION as u64 {
        fixture.call_pending(100 + id, None);
    }
    assert_eq!(pending_lookup_counters(&fixture), [8, 1, 5, 2, 1]);
    fixture.step_after(10, Input::Shutdown { grace: SECOND });
    fixture.call_pending(1000, None);
    assert_eq!(
        pending_lookup_counters(&fixture),
        [
            9 + MAX_PENDING_CALLS_PER_FUNCTION as u64,
            1,
            6 + MAX_PENDING_CALLS_PER_FUNCTION as u64,
            2,
            1
        ]
    );
    let counters = fixture.dispatcher.counters();
    assert_eq!(
        counters.refused,
        6 + MAX_PENDING_CALLS_PER_FUNCTION as u64,
        "the counters agree: {counters}"
    );
    let counts = fixture.dispatcher.class_counters().expect("enabled");
    assert!(
        counts.classes().keys().eq([PENDING_LOOKUP]),
        "no call of a class ended"
    );
}

/// The report of a front end: its counters, and a thousand served calls per slice.
fn report(
    index: usize,
    slice: u64,
    fixture: &Fixture,
    is_canary: bool,
    with_lookups: bool,
) -> FrontEndReport {
    let mut classes = BTreeMap::new();
    let counts = fixture.dispatcher.class_counters().expect("enabled");
    for (name, class_counters) in counts
        .classes()
        .iter()
        .filter(|(name, _)| with_lookups || *name != PENDING_LOOKUP)
    {
        let mut counters = RequestCounters {
            requested: class_counters.ended,
            served: class_counters.served,
            rejected: class_counters.refused,
            failed: class_counters.failed,
            value_requested: class_counters.possible_value,
            value_served: class_counters.value,
            ..RequestCounters::default()
        };
        counters
            .latency
            .add(&class_counters.latency)
            .expect("auto-resizing");
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
    counters
        .latency
        .record_n(20_000, calls)
        .expect("auto-resizing");
    classes
        .entry("safe".to_string())
        .or_default()
        .add(&counters);
    let (name, zone) = (format!("f{index}"), "z".to_string());
    FrontEndReport {
        name,
        zone,
        is_canary,
        incarnation: 1,
        uptime_seconds: 60.0 + slice as f64,
        classes,
        memory_mb: 20.0,
        guard_interventions: 0,
    }
}

/// Analyzes a canary. With `refuses_first_calls` it refuses the first call of each function, which is five in a thousand
/// calls of a slice. `with_lookups` includes the counters of calls that waited for a lookup.
fn analyze_canary(refuses_first_calls: bool, with_lookups: bool) -> (Verdict, Vec<String>) {
    let mut fixtures: Vec<Fixture> = (0..8).map(|_| fixture()).collect();
    fixtures
        .iter_mut()
        .for_each(|fixture| fixture.dispatcher.enable_class_counters());
    let is_canary = |n: usize| n < 3;
    let mut analysis = CanaryAnalysis::new(
        AnalysisParameters::default(),
        (0..8).filter(|n| is_canary(*n)).map(|n| format!("f{n}")),
    );
    let mut id = 0;
    for slice in 1..=60 {
        let analyzing = slice > 20;
        for (index, fixture) in fixtures.iter_mut().enumerate() {
            for _ in 0..5 {
                id += 1;
                fixture.call_pending(id, Some(SECOND));
                let lookup = if refuses_first_calls && analyzing && is_canary(index) {
                    FunctionLookup::Refused
                } else {
                    known(0)
                };
                let commands = fixture.resolve(20_000, lookup);
                if !budgets_and_answers(&commands).0.is_empty() {
                    let (call, attempt) = (CallId(id), 0);
                    fixture.step_after(0, Input::AttemptSent { call, attempt });
                    fixture.step_after(
                        10_000,
                        Input::ResponseMessage {
                            call,
                            attempt,
                            last: true,
                        },
                    );
                    fixture.step_after(
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
        let each = |(n, f)| report(n, slice, f, analyzing && is_canary(n), with_lookups);
        let reports: Vec<FrontEndReport> = fixtures.iter().enumerate().map(each).collect();
        analysis.observe(&reports, analyzing);
    }
    (
        analysis.verdict(),
        analysis
            .measurements()
            .into_iter()
            .map(|m| m.metric)
            .collect(),
    )
}

#[test]
fn canary_analysis_detects_refused_first_calls() {
    let (verdict, measured) = analyze_canary(true, true);
    assert!(
        matches!(&verdict, Verdict::Fail { reason } if reason.contains(PENDING_LOOKUP)),
        "{verdict:?} {measured:?}"
    );
    let (verdict, _) = analyze_canary(false, true);
    assert_eq!(verdict, Verdict::Pass, "a canary without defect");
    // The calls never had a class, so without their own counters the defect is invisible.
    let (verdict, _) = analyze_canary(true, false);
    assert_eq!(verdict, Verdict::Pass);
}
