//! A run as `--record` writes it: calls of four functions at four workers, with various outcomes.

use crate::fixture;
use std::collections::VecDeque;
use tansy_dispatch::record::RecordedStep;
use tansy_dispatch::{
    AttemptOutcome, CacheStatus, Call, CallId, Command, Dispatcher, Input, NeverRan, ResponseStage,
    Trailers, WorkerRecord, WorkerState,
};
use tansyrouter::Time;

/// Number of calls in the run.
const CALLS: u64 = 60;
/// Timers that are due later than this don't fire, microseconds.
const END_US: i64 = 10_000_000;

/// The dispatcher at the start of the run.
pub fn dispatcher() -> Dispatcher {
    let settings = tansy_settings::parse_settings("run.cue", &fixture::text("run.cue"));
    let settings = settings.unwrap_or_else(|error| panic!("{error}"));
    Dispatcher::new(settings.dispatch, Time(0)).expect("valid settings")
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

/// The outcome of the n-th command.
fn outcome(number: usize) -> (AttemptOutcome, Trailers) {
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

/// Feeds calls and the outcomes of commands to a dispatcher, and records the steps.
struct Recorder {
    dispatcher: Dispatcher,
    inputs: VecDeque<Input>,
    steps: Vec<RecordedStep>,
    now: i64,
    /// Number of calls so far.
    calls: u64,
    /// Number of commands so far.
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
            dispatcher: dispatcher(),
            inputs: VecDeque::from([list]),
            steps: Vec::new(),
            now: 0,
            calls: 0,
            commands: 0,
        }
    }

    /// The next queued input, else the next call, else a tick for the next timer until [`END_US`].
    fn next_input(&mut self) -> Option<Input> {
        if let Some(input) = self.inputs.pop_front() {
            return Some(input);
        }
        if self.calls < CALLS {
            return Some(self.next_call());
        }
        let due = self.dispatcher.next_due();
        let due = due.filter(|due| due.0 < END_US)?;
        self.now = self.now.max(due.0);
        Some(Input::Tick)
    }

    fn next_call(&mut self) -> Input {
        self.calls += 1;
        let number = self.calls;
        if number == CALLS / 2 {
            // A worker starts to drain in the middle of the run.
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

    /// Queues the outcome of a command.
    fn carry_out(&mut self, command: &Command) {
        self.commands += 1;
        let (outcome, trailers) = outcome(self.commands);
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

/// The steps of the run, with the decisions of the present version.
pub fn recorded() -> Vec<RecordedStep> {
    let mut recorder = Recorder::new();
    while let Some(input) = recorder.next_input() {
        recorder.step(input);
    }
    recorder.steps
}
