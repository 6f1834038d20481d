//! Latencies of served calls in the class counters.

mod support;

use std::collections::VecDeque;
use support::{call, class, worker, worker_list};
use tansy_dispatch::{
    AttemptOutcome, CacheStatus, Command, DispatchConfig, Dispatcher, FunctionSpec, Input,
    ResponseStage, Trailers, WorkerState,
};
use tansyrouter::{Effect, Settings, Time, SECOND};

fn config() -> DispatchConfig {
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
            classes: vec![class(Effect::Safe, SECOND / 2, 2 * SECOND)],
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

/// Serves one call for each duration, in microseconds, and returns the latencies that were recorded.
fn recorded_latencies(durations: &[i64]) -> hdrhistogram::Histogram<u64> {
    let mut dispatcher = Dispatcher::new(config(), Time(0)).expect("valid settings");
    dispatcher.enable_class_counters();
    let mut commands = Vec::new();
    let mut now = 1;
    let list = worker_list(vec![worker("w", WorkerState::Ready)]);
    dispatcher.step(Time(now), list, &mut commands);
    let warm = Trailers {
        cache_status: CacheStatus::Warm,
        instances: Some(1),
        ..Trailers::default()
    };
    let outcome = AttemptOutcome::Status {
        code: 0,
        stage: ResponseStage::Messages,
    };
    for (index, duration) in durations.iter().enumerate() {
        let arrived = now;
        let call = call(index as u64 + 1, "f");
        dispatcher.step(Time(now), Input::Call(call), &mut commands);
        let mut queue: VecDeque<Command> = commands.drain(..).collect();
        let mut answered = false;
        while !answered {
            let Some(command) = queue.pop_front() else {
                now = dispatcher.next_due().map_or(now, |t| t.0.max(now));
                dispatcher.step(Time(now), Input::Tick, &mut commands);
                queue.extend(commands.drain(..));
                continue;
            };
            let input = match command {
                Command::Load { request, .. } => Input::ControlRequestEnded {
                    request,
                    outcome,
                    trailers: warm,
                },
                Command::SendAttempt { call, attempt, .. } => {
                    now = arrived + duration;
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
            queue.extend(commands.drain(..));
        }
        now += 1;
    }
    dispatcher.class_counters().expect("enabled").classes()["c"]
        .latency
        .clone()
}

#[test]
fn recorded_latencies_match_the_duration_of_calls() {
    let latency = recorded_latencies(&[20_000, 20_000, 20_000, 300_000]);
    assert_eq!(latency.len(), 4);
    let assert_near = |quantile: f64, expected: u64| {
        let recorded = latency.value_at_quantile(quantile);
        assert!(
            recorded.abs_diff(expected) <= expected / 50,
            "quantile {quantile}: {recorded} us, expected {expected} us"
        );
    };
    assert_near(0.5, 20_000);
    assert_near(1.0, 300_000);
}
