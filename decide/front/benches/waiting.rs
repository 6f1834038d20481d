//! A decision while calls wait: an event in, commands out, by calls waiting, functions and workers.
//!
//! Prints a table of microseconds an event. Calls come and are answered one for one, every 70 us of the ledger's clock,
//! so that its sweeps are in the figure; workers have too few lanes for what waits.

#![allow(missing_docs)]

use std::collections::VecDeque;
use std::time::{Duration, Instant};
use tansy_front::{
    Call, CallId, Command, Config, Front, FunctionSpec, Input, Listed, Note, Seen, Stage, Told,
};
use tansyrouter::{Class, Effect, Settings, Time, SECOND};

/// Time of one point.
const SPAN: Duration = Duration::from_millis(1500);
/// Of the ledger's clock between two calls, microseconds.
const APART: i64 = 70;

struct Run {
    front: Front,
    now: i64,
    next: u64,
    functions: usize,
    out: VecDeque<(CallId, u32)>,
    commands: Vec<Command>,
    steps: u64,
}

impl Run {
    fn new(functions: usize, workers: usize) -> Run {
        let class = Class {
            aim: 100 * SECOND,
            aim_stretch: 0.0,
            deadline: 200 * SECOND,
            effect: Effect::Safe,
            worth: 1.0,
            late_worth: 0.0,
            streamed: false,
        };
        let function = |n: usize| FunctionSpec {
            name: format!("function-{n}"),
            class: 0,
            lanes: 1,
            memory_mb: 300.0,
            load_time: Some(100_000),
            versions: vec!["1".into()],
        };
        let config = Config {
            settings: Settings { classes: vec![class], max_held: 1_000_000, ..Settings::default() },
            classes: vec!["c".into()],
            tenants: Vec::new(),
            zones: vec!["z".into()],
            functions: (0..functions).map(function).collect(),
            longest: 300 * SECOND,
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
        front.step(Time(0), Input::Workers { whole: true, list }, &mut Vec::new());
        let (out, commands) = (VecDeque::new(), Vec::new());
        Run { front, now: 0, next: 0, functions, out, commands, steps: 0 }
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
            let told = Told { instances: Some(1), ..Told::default() };
            let seen = Seen::Status { code: 0, stage: Stage::Headers };
            self.step(Input::OrderEnded { order, seen, told });
        }
    }
    fn call(&mut self) {
        self.next += 1;
        let n = self.next;
        let call = Call {
            call: CallId(n),
            function: format!("function-{}", n.wrapping_mul(7919) as usize % self.functions),
            class: None,
            tenant: 0,
            budget: None,
            hint: None,
            repeat: false,
        };
        self.step(Input::Call(call));
    }
    /// One call in, and the oldest one out is answered.
    fn turn(&mut self) {
        self.now += APART;
        self.call();
        if let Some((call, attempt)) = self.out.pop_front() {
            let told = Told { note: Note::Warm, ..Told::default() };
            let seen = Seen::Status { code: 0, stage: Stage::Pieces };
            self.step(Input::Ended { call, attempt, seen, told });
        }
    }
}

fn main() {
    let points: Vec<usize> = std::env::args().skip(1).filter_map(|a| a.parse().ok()).collect();
    let waiting = if points.is_empty() { vec![16, 256, 2_000, 20_000] } else { points };
    println!(
        "| functions | workers | {} |",
        waiting.iter().map(|n| format!("{n} open")).collect::<Vec<_>>().join(" | ")
    );
    println!("|---|---|{}", "---|".repeat(waiting.len()));
    for functions in [1, 50, 1_000] {
        for workers in [4, 400] {
            let mut row = format!("| {functions} | {workers} |");
            for open in &waiting {
                let mut run = Run::new(functions, workers);
                for _ in 0..*open {
                    run.call();
                }
                let settle = Instant::now();
                while settle.elapsed() < SPAN / 3 {
                    run.turn();
                }
                let (steps, began) = (run.steps, Instant::now());
                while began.elapsed() < SPAN {
                    run.turn();
                }
                let each = began.elapsed().as_secs_f64() * 1e6 / (run.steps - steps) as f64;
                row += &format!(" {each:.2} |");
            }
            println!("{row}");
        }
    }
}
