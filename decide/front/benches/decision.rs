//! A decision: an event in, commands out, at 64 workers and 200 functions, warm, with some calls out.

// The macros of the bench library make functions without a word.
#![allow(missing_docs)]

use criterion::{criterion_group, criterion_main, Criterion};
use std::collections::VecDeque;
use tansy_front::{
    Call, CallId, Command, Config, Front, FunctionSpec, Input, Listed, Note, Seen, Stage, Told,
};
use tansyrouter::{Class, Effect, Settings, Time, SECOND};

const WORKERS: usize = 64;
const FUNCTIONS: usize = 200;

fn front() -> Front {
    let class = Class {
        aim: SECOND,
        aim_stretch: 0.0,
        deadline: 5 * SECOND,
        effect: Effect::Safe,
        worth: 1.0,
        late_worth: 0.0,
        streamed: false,
    };
    let function = |n: usize| FunctionSpec {
        name: format!("function-{n}"),
        class: 0,
        lanes: 4,
        memory_mb: 300.0,
        load_time: Some(100_000),
        versions: vec!["1".into()],
    };
    let config = Config {
        settings: Settings { classes: vec![class], ..Settings::default() },
        classes: vec!["c".into()],
        tenants: Vec::new(),
        zones: vec!["z".into()],
        functions: (0..FUNCTIONS).map(function).collect(),
        longest: 60 * SECOND,
        seed: 1,
    };
    let mut front = Front::new(config, Time(0)).expect("settings that make sense");
    let worker = |n: usize| Listed {
        name: format!("w{n}"),
        kind: 0,
        cell: 0,
        zone: 0,
        state: 0,
        age: None,
        share: 1.0,
    };
    let list = (0..WORKERS).map(worker).collect();
    front.step(Time(0), Input::Workers { whole: true, list }, &mut Vec::new());
    front
}

struct Run {
    front: Front,
    now: i64,
    next: u64,
    out: VecDeque<(CallId, u32)>,
    commands: Vec<Command>,
    steps: u64,
}

impl Run {
    fn step(&mut self, input: Input) {
        self.steps += 1;
        self.front.step(Time(self.now), input, &mut self.commands);
        let mut orders = Vec::new();
        for c in self.commands.drain(..) {
            match c {
                Command::Open { call, attempt, .. } => self.out.push_back((call, attempt)),
                Command::Load { order, .. } | Command::Probe { order, .. } => orders.push(order),
                _ => {}
            }
        }
        for order in orders {
            let told = Told { instances: Some(1), ..Told::default() };
            let seen = Seen::Status { code: 0, stage: Stage::Headers };
            self.step(Input::OrderEnded { order, seen, told });
        }
    }
    /// One call in, and the oldest one out is answered.
    fn turn(&mut self) {
        self.now += 70;
        self.next += 1;
        let n = self.next;
        let call = Call {
            call: CallId(n),
            function: format!("function-{}", n.wrapping_mul(7919) as usize % FUNCTIONS),
            class: None,
            tenant: 0,
            budget: None,
            hint: None,
            repeat: false,
        };
        self.step(Input::Call(call));
        if self.out.len() > 100 {
            if let Some((call, attempt)) = self.out.pop_front() {
                let told = Told { note: Note::Warm, ..Told::default() };
                let seen = Seen::Status { code: 0, stage: Stage::Pieces };
                self.step(Input::Ended { call, attempt, seen, told });
            }
        }
    }
}

fn decision(c: &mut Criterion) {
    let mut run =
        Run { front: front(), now: 0, next: 0, out: VecDeque::new(), commands: Vec::new(), steps: 0 };
    (0..200_000).for_each(|_| run.turn());
    let before = (run.next, run.steps);
    c.bench_function("a call in and one answered, 64 workers, 200 functions", |b| {
        b.iter(|| run.turn());
    });
    let (calls, steps) = (run.next - before.0, run.steps - before.1);
    println!("{:.2} events a call, {}", steps as f64 / calls.max(1) as f64, run.front.account());
}

criterion_group!(benches, decision);
criterion_main!(benches);
