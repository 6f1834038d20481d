//! The latencies that are counted of served calls, for the comparison of front ends.

use std::collections::VecDeque;
use tansy_dispatch::{
    AttemptOutcome, CacheStatus, Call, CallId, Command, DispatchConfig, Dispatcher, FunctionSpec,
    Input, ResponseStage, Trailers, WorkerRecord,
};
use tansyrouter::{Class, Effect, Settings, Time, SECOND};

fn config() -> DispatchConfig {
    let class = Class {
        aim: SECOND / 2,
        aim_stretch: 0.0,
        deadline: 2 * SECOND,
        effect: Effect::Safe,
        worth: 1.0,
        late_worth: 0.5,
        streamed: false,
    };
    let function = FunctionSpec {
        name: "f".into(),
        class: 0,
        lanes: 2,
        memory_mb: 100.0,
        load_time: Some(50_000),
        versions: vec![],
    };
    DispatchConfig {
        settings: Settings {
            classes: vec![class],
            ..Settings::default()
        },
        classes: vec!["c".into()],
        tenants: vec![],
        zones: vec!["z".into()],
        functions: vec![function],
        max_call_time: 60 * SECOND,
        seed: 1,
    }
}

/// Calls that a worker answers after so long each; what was counted of them.
fn counted(took: &[i64]) -> hdrhistogram::Histogram<u64> {
    let mut dispatcher = Dispatcher::new(config(), Time(0)).expect("right settings");
    dispatcher.enable_class_counters();
    let record = WorkerRecord {
        name: "w".into(),
        kind: 0,
        cell: 0,
        zone: 0,
        state: 0,
        age: None,
        relative_size: 1.0,
    };
    let mut commands = Vec::new();
    let mut now = 1;
    dispatcher.step(
        Time(now),
        Input::Workers {
            full: true,
            workers: vec![record],
        },
        &mut commands,
    );
    let warm = Trailers {
        cache_status: CacheStatus::Warm,
        instances: Some(1),
        ..Trailers::default()
    };
    let outcome = AttemptOutcome::Status {
        code: 0,
        stage: ResponseStage::Messages,
    };
    for (n, took) in took.iter().enumerate() {
        let (began, call) = (now, CallId(n as u64 + 1));
        let call = Call {
            id: call,
            function: "f".into(),
            class: None,
            tenant: 0,
            budget: None,
            work_hint: None,
            repeat: false,
            shape: None,
            unknown_names: false,
            waited: 0,
        };
        dispatcher.step(Time(now), Input::Call(call), &mut commands);
        let mut pending: VecDeque<Command> = commands.drain(..).collect();
        let mut answered = false;
        while !answered {
            let Some(command) = pending.pop_front() else {
                now = dispatcher.next_due().map_or(now, |t| t.0.max(now));
                dispatcher.step(Time(now), Input::Tick, &mut commands);
                pending.extend(commands.drain(..));
                continue;
            };
            let input = match command {
                Command::Load { request, .. } => Input::ControlRequestEnded {
                    request,
                    outcome,
                    trailers: warm,
                },
                Command::SendAttempt { call, attempt, .. } => {
                    now = began + took;
                    Input::AttemptEnded {
                        call,
                        attempt,
                        outcome,
                        trailers: warm,
                    }
                }
                Command::Answer { .. } => {
                    answered = true;
                    continue;
                }
                _ => continue,
            };
            dispatcher.step(Time(now), input, &mut commands);
            pending.extend(commands.drain(..));
        }
        now += 1;
    }
    dispatcher.class_counters().expect("counted").classes()["c"]
        .latency
        .clone()
}

#[test]
fn latencies_are_counted_as_they_were() {
    let latency = counted(&[20_000, 20_000, 20_000, 300_000]);
    assert_eq!(latency.len(), 4);
    let near = |q: f64, expected: u64| {
        let counted = latency.value_at_quantile(q);
        assert!(
            counted.abs_diff(expected) <= expected / 50,
            "quantile {q}: {counted} us, {expected} us expected"
        );
    };
    near(0.5, 20_000);
    near(1.0, 300_000);
}
