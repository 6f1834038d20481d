//! A run as `--record` writes it: calls of four classes at four workers that answer in many ways.

use crate::fixture;
use std::collections::VecDeque;
use tansy_dispatch::record::RecordedStep;
use tansy_dispatch::{
    AttemptOutcome, CacheStatus, Call, CallId, Command, Dispatcher, Input, NeverRan, ResponseStage,
    Trailers, WorkerRecord, WorkerState,
};
use tansyrouter::Time;

/// Calls of the run.
const CALLS: u64 = 60;

/// A front end's dispatcher before the run.
pub fn front() -> Dispatcher {
    let settings = tansy_settings::parse_settings("run.cue", &fixture::text("run.cue"));
    let settings = settings.unwrap_or_else(|error| panic!("{error}"));
    Dispatcher::new(settings.dispatch, Time(0)).expect("settings that make sense")
}

pub(crate) fn listed(number: usize, state: WorkerState) -> WorkerRecord {
    WorkerRecord {
        name: format!("w{number}"),
        kind: 0,
        cell: 0,
        zone: 0,
        state,
        age: None,
        relative_size: 1.0,
    }
}

pub(crate) fn call(number: u64) -> Call {
    let functions = ["safe", "keyed", "unsafe", "stream"];
    Call {
        id: CallId(number),
        function: functions[number as usize % 4].into(),
        class: None,
        tenant: 0,
        budget: number.is_multiple_of(3).then_some(1_500_000),
        work_hint: None,
        repeat: false,
        shape: None,
        unknown_names: false,
        waited: 0,
    }
}

/// How the n-th attempt or control request ends.
fn end(number: usize) -> (AttemptOutcome, Trailers) {
    let trailers = Trailers {
        cache_status: CacheStatus::Warm,
        instances: Some(1),
        ..Trailers::default()
    };
    let (code, stage) = (14, ResponseStage::Headers);
    match number % 11 {
        1 => (AttemptOutcome::NeverLeft, Trailers::default()),
        3 => (AttemptOutcome::ConnectionCut { stage }, Trailers::default()),
        5 => {
            let never_ran = Some(NeverRan::TurnedAway);
            (
                AttemptOutcome::Status { code, stage },
                Trailers {
                    never_ran,
                    ..trailers
                },
            )
        }
        _ => {
            let (code, stage) = (0, ResponseStage::Messages);
            (AttemptOutcome::Status { code, stage }, trailers)
        }
    }
}

/// Calls at a dispatcher, and the ends of what it sends.
struct Recorder {
    dispatcher: Dispatcher,
    inputs: VecDeque<Input>,
    steps: Vec<RecordedStep>,
    now: i64,
    /// Calls that were made.
    calls: u64,
    /// Commands that were carried out.
    commands: usize,
}

impl Recorder {
    fn new() -> Recorder {
        let list = Input::Workers {
            full: true,
            workers: (0..4)
                .map(|number| listed(number, WorkerState::Ready))
                .collect(),
        };
        Recorder {
            dispatcher: front(),
            inputs: VecDeque::from([list]),
            steps: Vec::new(),
            now: 0,
            calls: 0,
            commands: 0,
        }
    }

    /// What is queued, else the next call, else the next timer of the first ten seconds.
    fn next_input(&mut self) -> Option<Input> {
        if let Some(input) = self.inputs.pop_front() {
            return Some(input);
        }
        if self.calls < CALLS {
            return Some(self.next_call());
        }
        let due = self.dispatcher.next_due();
        let due = due.filter(|due| due.0 < 10_000_000)?;
        self.now = self.now.max(due.0);
        Some(Input::Tick)
    }

    fn next_call(&mut self) -> Input {
        self.calls += 1;
        let number = self.calls;
        if number == CALLS / 2 {
            // One worker drains half-way.
            self.inputs.push_back(Input::Workers {
                full: false,
                workers: vec![listed(0, WorkerState::Draining)],
            });
        } else if number.is_multiple_of(13) {
            let call = CallId(number - 1);
            self.inputs.push_back(Input::ClientLeft { call });
        }
        Input::Call(call(number))
    }

    fn step(&mut self, input: Input) {
        let mut commands = Vec::new();
        self.dispatcher
            .step(Time(self.now), input.clone(), &mut commands);
        for command in &commands {
            self.carry_out(command);
        }
        self.steps.push(RecordedStep {
            at: self.now,
            input,
            commands,
        });
        self.now += 1_700;
    }

    /// Queues the end of what a command begins.
    fn carry_out(&mut self, command: &Command) {
        self.commands += 1;
        let (outcome, trailers) = end(self.commands);
        match *command {
            Command::SendAttempt { call, attempt, .. } => {
                self.inputs.push_back(Input::AttemptEnded {
                    call,
                    attempt,
                    outcome,
                    trailers,
                });
            }
            Command::Probe { request, .. }
            | Command::Load { request, .. }
            | Command::Unload { request, .. } => {
                self.inputs.push_back(Input::ControlRequestEnded {
                    request,
                    outcome,
                    trailers,
                });
            }
            _ => {}
        }
    }
}

/// The steps of the run, as the present program decides.
pub fn recorded() -> Vec<RecordedStep> {
    let mut recorder = Recorder::new();
    while let Some(input) = recorder.next_input() {
        recorder.step(input);
    }
    recorder.steps
}
