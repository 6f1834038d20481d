//! What is counted of served calls for whoever compares front ends.

use std::collections::VecDeque;
use tansy_dispatch::{
    Call, CallId, Command, Config, Front, FunctionSpec, Input, Listed, Note, Seen, Stage, Told,
};
use tansyrouter::{Class, Effect, Settings, Time, SECOND};

fn config() -> Config {
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
    Config {
        settings: Settings {
            classes: vec![class],
            ..Settings::default()
        },
        classes: vec!["c".into()],
        tenants: vec![],
        zones: vec!["z".into()],
        functions: vec![function],
        longest: 60 * SECOND,
        seed: 1,
    }
}

/// Calls that a worker answers after so long each; what was counted of them.
fn counted(took: &[i64]) -> hdrhistogram::Histogram<u64> {
    let mut front = Front::new(config(), Time(0)).expect("right settings");
    front.count();
    let listed = Listed {
        name: "w".into(),
        kind: 0,
        cell: 0,
        zone: 0,
        state: 0,
        age: None,
        share: 1.0,
    };
    let mut out = Vec::new();
    let mut now = 1;
    front.step(
        Time(now),
        Input::Workers {
            whole: true,
            list: vec![listed],
        },
        &mut out,
    );
    let warm = Told {
        note: Note::Warm,
        instances: Some(1),
        ..Told::default()
    };
    let seen = Seen::Status {
        code: 0,
        stage: Stage::Pieces,
    };
    for (n, took) in took.iter().enumerate() {
        let (began, call) = (now, CallId(n as u64 + 1));
        let call = Call {
            call,
            function: "f".into(),
            class: None,
            tenant: 0,
            budget: None,
            hint: None,
            repeat: false,
            shape: None,
            unlisted: false,
            waited: 0,
        };
        front.step(Time(now), Input::Call(call), &mut out);
        let mut todo: VecDeque<Command> = out.drain(..).collect();
        let mut answered = false;
        while !answered {
            let Some(command) = todo.pop_front() else {
                now = front.next_due().map_or(now, |t| t.0.max(now));
                front.step(Time(now), Input::Tick, &mut out);
                todo.extend(out.drain(..));
                continue;
            };
            let input = match command {
                Command::Load { order, .. } => Input::OrderEnded {
                    order,
                    seen,
                    told: warm,
                },
                Command::Open { call, attempt, .. } => {
                    now = began + took;
                    Input::Ended {
                        call,
                        attempt,
                        seen,
                        told: warm,
                    }
                }
                Command::Answer { .. } => {
                    answered = true;
                    continue;
                }
                _ => continue,
            };
            front.step(Time(now), input, &mut out);
            todo.extend(out.drain(..));
        }
        now += 1;
    }
    front.counts().expect("counted").classes()["c"]
        .latency
        .clone()
}

#[test]
fn latencies_are_told_as_they_were() {
    let latency = counted(&[20_000, 20_000, 20_000, 300_000]);
    assert_eq!(latency.len(), 4);
    let near = |q: f64, want: u64| {
        let told = latency.value_at_quantile(q);
        assert!(
            told.abs_diff(want) <= want / 50,
            "quantile {q}: {told} us, {want} us wanted"
        );
    };
    near(0.5, 20_000);
    near(1.0, 300_000);
}
