//! A ledger without sockets for the benches: calls in, attempts answered, orders carried out at once.

use std::collections::VecDeque;
use tansy_dispatch::{
    AttemptOutcome, CacheStatus, Call, CallId, Command, DispatchConfig, Dispatcher, FunctionSpec,
    Input, ResponseStage, Trailers, WorkerRecord,
};
use tansyrouter::{Class, Effect, Settings, Time, SECOND};

/// Of the ledger's clock between two calls, microseconds.
const APART: i64 = 70;

/// A ledger, what it has sent, and the counts.
pub struct Run {
    pub front: Dispatcher,
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
        let config = DispatchConfig {
            settings: Settings {
                classes: vec![class],
                max_held: 1_000_000,
                ..Settings::default()
            },
            classes: vec!["c".into()],
            tenants: Vec::new(),
            zones: vec!["z".into()],
            functions: (0..functions).map(function).collect(),
            max_call_time: 10 * aim * SECOND,
            seed: 1,
        };
        let mut front = Dispatcher::new(config, Time(0)).expect("settings that make sense");
        let worker = |n: usize| WorkerRecord {
            name: format!("w{n}"),
            kind: 0,
            cell: 0,
            zone: 0,
            state: 0,
            age: None,
            relative_size: 1.0,
        };
        let list = (0..workers).map(worker).collect();
        front.step(
            Time(0),
            Input::Workers {
                full: true,
                workers: list,
            },
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
                Command::SendAttempt { call, attempt, .. } => self.out.push_back((call, attempt)),
                Command::Load { request: order, .. } | Command::Probe { request: order, .. } => {
                    orders.push(order)
                }
                _ => {}
            }
        }
        for order in orders {
            let told = Trailers {
                instances: Some(1),
                ..Trailers::default()
            };
            let seen = AttemptOutcome::Status {
                code: 0,
                stage: ResponseStage::Headers,
            };
            self.step(Input::ControlRequestEnded {
                request: order,
                outcome: seen,
                trailers: told,
            });
        }
    }
    /// One call in.
    pub fn call(&mut self) {
        self.next += 1;
        let n = self.next;
        let call = Call {
            id: CallId(n),
            function: format!(
                "function-{}",
                n.wrapping_mul(7919) as usize % self.functions
            ),
            class: None,
            tenant: 0,
            budget: None,
            work_hint: None,
            repeat: false,
            shape: None,
            unknown_names: false,
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
            let told = Trailers {
                cache_status: CacheStatus::Warm,
                ..Trailers::default()
            };
            let seen = AttemptOutcome::Status {
                code: 0,
                stage: ResponseStage::Messages,
            };
            self.step(Input::AttemptEnded {
                call,
                attempt,
                outcome: seen,
                trailers: told,
            });
        }
    }
}
