//! The dispatcher, including the decision module, as the system under test.

use super::system::{execute_immediately, LoadRequest, Output, SentAttempt, SystemUnderTest};
use super::UTILIZATION;
use crate::inputs::{self, TIMER_SLACK};
use std::collections::BTreeMap;
use tansy_dispatch::{
    Answer, AttemptOutcome, CacheStatus, CallId, Command, ControlRequestId, Dispatcher, Input,
    LoadReport, ResponseStage, Trailers,
};
use tansyrouter::{Micros, Time};

const SERVED: AttemptOutcome = AttemptOutcome::Status {
    code: 0,
    stage: ResponseStage::Last,
};

/// A dispatcher, driven by the workload.
pub struct DispatcherAdapter {
    dispatcher: Dispatcher,
    function_names: Vec<String>,
    function_indices: BTreeMap<String, usize>,
    /// Whether calls describe their functions because the settings do not list them.
    unlisted: bool,
    commands: Vec<Command>,
}

impl DispatcherAdapter {
    /// Wraps a dispatcher that receives calls of these functions, described by the calls if `unlisted`.
    pub fn new(
        dispatcher: Dispatcher,
        function_names: Vec<String>,
        unlisted: bool,
    ) -> DispatcherAdapter {
        DispatcherAdapter {
            dispatcher,
            function_indices: inputs::function_indices(&function_names),
            function_names,
            unlisted,
            commands: Vec::new(),
        }
    }

    /// Adds a function that has not been called before and returns its index.
    pub fn add_function(&mut self, name: String) -> usize {
        let index = self.function_names.len();
        self.function_indices.insert(name.clone(), index);
        self.function_names.push(name);
        index
    }

    /// Replaces the dispatcher.
    pub fn replace(&mut self, dispatcher: Dispatcher) {
        self.dispatcher = dispatcher;
    }

    /// Names of the functions that are called.
    pub fn function_names(&self) -> &[String] {
        &self.function_names
    }

    /// The wrapped dispatcher.
    pub fn dispatcher(&self) -> &Dispatcher {
        &self.dispatcher
    }

    /// Applies an input before the workload starts, and executes its outputs immediately.
    pub fn apply(&mut self, now: Micros, input: Input) {
        let mut outputs = Vec::new();
        self.step(now, input, &mut outputs);
        execute_immediately(self, now, outputs);
    }

    fn step(&mut self, now: Micros, input: Input, outputs: &mut Vec<Output>) {
        self.dispatcher.step(Time(now), input, &mut self.commands);
        let function_indices = &self.function_indices;
        let commands = self.commands.drain(..);
        outputs.extend(commands.filter_map(|command| output(now, command, function_indices)));
    }
}

fn output(
    now: Micros,
    command: Command,
    function_indices: &BTreeMap<String, usize>,
) -> Option<Output> {
    match command {
        Command::SendAttempt {
            call,
            attempt,
            worker,
            ..
        } => Some(Output::Send(SentAttempt {
            call: call.0,
            attempt,
            worker: inputs::worker_number(&worker),
            sent_at: now,
            warm: true,
        })),
        Command::Load {
            request,
            worker,
            function,
            instances,
        } => Some(Output::Load(LoadRequest {
            id: request.0,
            worker: inputs::worker_number(&worker),
            function: function_indices.get(&function).copied().unwrap_or(0),
            instances,
            sent_at: now,
        })),
        Command::Answer { call, answer } => Some(Output::CallEnded {
            call: call.0,
            served: answer == Answer::Served,
        }),
        _ => None,
    }
}

impl SystemUnderTest for DispatcherAdapter {
    fn on_call(&mut self, now: Micros, call: u64, function: usize, outputs: &mut Vec<Output>) {
        let Some(name) = self.function_names.get(function) else {
            return;
        };
        let shape = self.unlisted.then(|| inputs::function_shape(1));
        let input = Input::Call(inputs::call(call, name, 0, shape));
        self.step(now, input, outputs);
    }

    fn on_served(&mut self, now: Micros, sent: SentAttempt, outputs: &mut Vec<Output>) {
        let cache_status = if sent.warm {
            CacheStatus::Warm
        } else {
            CacheStatus::StartedLoad
        };
        let trailers = Trailers {
            cache_status,
            report: Some(LoadReport {
                busy: Some(UTILIZATION),
                ..LoadReport::default()
            }),
            ..Trailers::default()
        };
        let (call, attempt) = (CallId(sent.call), sent.attempt);
        let message = Input::ResponseMessage {
            call,
            attempt,
            last: true,
        };
        self.step(now, message, outputs);
        let ended = Input::AttemptEnded {
            call,
            attempt,
            outcome: SERVED,
            trailers,
        };
        self.step(now, ended, outputs);
    }

    fn on_load_ended(
        &mut self,
        now: Micros,
        request: LoadRequest,
        instances: u32,
        outputs: &mut Vec<Output>,
    ) {
        let input = Input::ControlRequestEnded {
            request: ControlRequestId(request.id),
            outcome: SERVED,
            trailers: Trailers {
                instances: Some(instances),
                ..Trailers::default()
            },
        };
        self.step(now, input, outputs);
    }

    fn on_timer(&mut self, now: Micros, outputs: &mut Vec<Output>) {
        self.step(now, Input::Tick, outputs);
    }

    fn next_timer(&self) -> Option<Micros> {
        // The timer wheel may tick up to `TIMER_SLACK` after the due time.
        let due = self.dispatcher.next_due();
        due.map(|due| due.0 + TIMER_SLACK)
    }
}
