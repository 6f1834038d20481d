//! A workload for the benches: passes calls to a dispatcher, answers its attempts and completes its control requests.

use std::collections::VecDeque;
use tansy_dispatch::{
    AttemptOutcome, CacheStatus, Call, CallId, Command, DispatchConfig, Dispatcher, FunctionSpec,
    Input, ResponseStage, Trailers, WorkerRecord, WorkerState,
};
use tansyrouter::{Class, Effect, Settings, Time, SECOND};

/// Simulated time between two calls, microseconds.
const CALL_INTERVAL: i64 = 70;

fn config(functions: usize, lanes: u32, objective_s: i64) -> DispatchConfig {
    let class = Class {
        latency_objective: objective_s * SECOND,
        objective_per_work: 0.0,
        deadline: 5 * objective_s * SECOND,
        effect: Effect::Safe,
        priority_weight: 1.0,
        late_weight: 0.0,
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
    DispatchConfig {
        settings: Settings {
            classes: vec![class],
            max_open_requests: 1_000_000,
            ..Settings::default()
        },
        classes: vec!["c".into()],
        tenants: Vec::new(),
        zones: vec!["z".into()],
        functions: (0..functions).map(function).collect(),
        max_call_time: 10 * objective_s * SECOND,
        seed: 1,
    }
}

fn worker(index: usize) -> WorkerRecord {
    WorkerRecord {
        name: format!("w{index}"),
        kind: 0,
        cell: 0,
        zone: 0,
        state: WorkerState::Ready,
        age: None,
        relative_size: 1.0,
    }
}

/// A dispatcher with its attempts in progress.
pub struct Workload {
    pub dispatcher: Dispatcher,
    now: i64,
    /// The number of calls so far; also the id of the last one.
    pub calls_made: u64,
    functions: usize,
    attempts: VecDeque<(CallId, u32)>,
    commands: Vec<Command>,
    /// The number of inputs so far.
    pub steps: u64,
}

impl Workload {
    /// Creates a workload of functions with this number of lanes, and a latency objective in seconds.
    pub fn new(functions: usize, workers: usize, lanes: u32, objective_s: i64) -> Workload {
        let config = config(functions, lanes, objective_s);
        let mut dispatcher = Dispatcher::new(config, Time(0)).expect("valid settings");
        let workers = (0..workers).map(worker).collect();
        let list = Input::Workers {
            full: true,
            workers,
        };
        dispatcher.step(Time(0), list, &mut Vec::new());
        Workload {
            dispatcher,
            now: 0,
            calls_made: 0,
            functions,
            attempts: VecDeque::new(),
            commands: Vec::new(),
            steps: 0,
        }
    }
    fn step(&mut self, input: Input) {
        self.steps += 1;
        self.dispatcher
            .step(Time(self.now), input, &mut self.commands);
        let mut requests = Vec::new();
        for command in self.commands.drain(..) {
            match command {
                Command::SendAttempt { call, attempt, .. } => {
                    self.attempts.push_back((call, attempt))
                }
                Command::Load { request, .. } | Command::Probe { request, .. } => {
                    requests.push(request)
                }
                _ => {}
            }
        }
        for request in requests {
            let trailers = Trailers {
                instances: Some(1),
                ..Trailers::default()
            };
            let outcome = AttemptOutcome::Status {
                code: 0,
                stage: ResponseStage::Headers,
            };
            self.step(Input::ControlRequestEnded {
                request,
                outcome,
                trailers,
            });
        }
    }
    /// Passes the next call to the dispatcher.
    pub fn call(&mut self) {
        self.calls_made += 1;
        let id = self.calls_made;
        let call = Call {
            id: CallId(id),
            function: format!(
                "function-{}",
                id.wrapping_mul(7919) as usize % self.functions
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
    /// Passes one call, and answers the oldest attempt if more than `open` attempts are in progress.
    pub fn call_and_answer(&mut self, open: usize) {
        self.now += CALL_INTERVAL;
        self.call();
        let oldest = if self.attempts.len() > open {
            self.attempts.pop_front()
        } else {
            None
        };
        if let Some((call, attempt)) = oldest {
            let trailers = Trailers {
                cache_status: CacheStatus::Warm,
                ..Trailers::default()
            };
            let outcome = AttemptOutcome::Status {
                code: 0,
                stage: ResponseStage::Messages,
            };
            self.step(Input::AttemptEnded {
                call,
                attempt,
                outcome,
                trailers,
            });
        }
    }
}
