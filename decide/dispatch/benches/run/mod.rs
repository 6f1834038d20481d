//! A ledger without sockets for the benches: calls in, attempts answered, orders carried out at once.

use std::collections::VecDeque;
use tansy_dispatch::{
    Call, CallId, Command, Config, Front, FunctionSpec, Input, Listed, Note, Seen, Stage, Told,
};
use tansyrouter::{Class, Effect, Settings, Time, SECOND};

/// Of the ledger's clock between two calls, microseconds.
const APART: i64 = 70;

/// A ledger, what it has sent, and the counts.
pub struct Run {
    pub front: Front,
    now: i64,
    pub next: u64,
    functions: usize,
    out: VecDeque<(CallId, u32)>,
    commands: Vec<Command>,
    pub steps: u64,
}

impl Run {
    /// So many functions of so many lanes, workers, and an aim in seconds.
    pub fn new(functions: usize, workers: usize, lanes: u32, aim: i64) -> Run {
        let class = Class {
            aim: aim * SECOND,
            aim_stretch: 0.0,
            deadline: 5 * aim * SECOND,
            effect: Effect::Safe,
            worth: 1.0,
            late_worth: 0.0,
            streamed: false,
        };
        let function = |n: usize| FunctionSpec {
            name: format!("function-{n}"),
            class: 0,
            lanes,
            memory_mb: 300.0,
            load_time: Some(100_000),
            versions: vec!["1".into()],
        };
        let config = Config {
            settings: Settings {
                classes: vec![class],
                max_held: 1_000_000,
                ..Settings::default()
            },
            classes: vec!["c".into()],
            tenants: Vec::new(),
            zones: vec!["z".into()],
            functions: (0..functions).map(function).collect(),
            longest: 10 * aim * SECOND,
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
        let list = (0..workers).map(worker).collect();
        front.step(
            Time(0),
            Input::Workers { whole: true, list },
            &mut Vec::new(),
        );
        let (out, commands) = (VecDeque::new(), Vec::new());
        Run {
            front,
            now: 0,
            next: 0,
            functions,
            out,
            commands,
            steps: 0,
        }
    }
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
            let told = Told {
                instances: Some(1),
                ..Told::default()
            };
            let seen = Seen::Status {
                code: 0,
                stage: Stage::Headers,
            };
            self.step(Input::OrderEnded { order, seen, told });
        }
    }
    /// One call in.
    pub fn call(&mut self) {
        self.next += 1;
        let n = self.next;
        let call = Call {
            call: CallId(n),
            function: format!(
                "function-{}",
                n.wrapping_mul(7919) as usize % self.functions
            ),
            class: None,
            tenant: 0,
            budget: None,
            hint: None,
            repeat: false,
            shape: None,
            unlisted: false,
            waited: 0,
        };
        self.step(Input::Call(call));
    }
    /// One call in, and the oldest one out is answered, if more than so many are.
    pub fn turn(&mut self, keep: usize) {
        self.now += APART;
        self.call();
        let oldest = if self.out.len() > keep {
            self.out.pop_front()
        } else {
            None
        };
        if let Some((call, attempt)) = oldest {
            let told = Told {
                note: Note::Warm,
                ..Told::default()
            };
            let seen = Seen::Status {
                code: 0,
                stage: Stage::Pieces,
            };
            self.step(Input::Ended {
                call,
                attempt,
                seen,
                told,
            });
        }
    }
}
