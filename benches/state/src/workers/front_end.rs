//! The front ends of the simulation: their dispatchers, incoming calls, and results from workers.

use super::cold_starts::PendingColdStart;
use super::events::{AttemptId, ControlId, Event};
use super::worker::LANES;
use super::{WorkerSimulation, NETWORK_DELAY, SERVED};
use crate::inputs::{self, CLASSES, TIMER_SLACK};
use crate::{Args, BenchError};
use std::collections::HashMap;
use std::time::Instant;
use tansy_dispatch::{AttemptOutcome, CallId, ControlRequestId, Dispatcher, Input, Trailers};
use tansyrouter::{Micros, MissPolicy, Reports, Settings, Time};

/// An open stream to a worker, with its connection under each keep-alive policy.
pub(super) struct OpenStream {
    worker: usize,
    function: usize,
    connections: Vec<u64>,
}

/// A front end of the simulation.
pub(super) struct SimulatedFrontEnd {
    pub dispatcher: Dispatcher,
    rng: fastrand::Rng,
    next_timer: Option<Micros>,
    calls: u64,
    /// Functions of the unanswered calls.
    pub open_calls: HashMap<u64, usize>,
    pub attempts: HashMap<(u64, u32), OpenStream>,
    pub control_requests: HashMap<u64, OpenStream>,
    /// By function: time of the last call.
    last_called: HashMap<usize, Micros>,
    /// Pending cold starts, at most one per function.
    pub cold_starts: HashMap<usize, PendingColdStart>,
}

impl SimulatedFrontEnd {
    pub fn new(args: &Args, index: usize) -> Result<SimulatedFrontEnd, BenchError> {
        let number = index as u64;
        let seed = args.seed.wrapping_add(number);
        let mut config = inputs::config(&[], args.front_ends, seed);
        config.settings = settings(args, index);
        let dispatcher = Dispatcher::new(config, Time(0))
            .map_err(|e| BenchError::failed("the dispatcher's settings", e))?;
        let call_seed = args.seed.wrapping_mul(1_000_003).wrapping_add(number);
        Ok(SimulatedFrontEnd {
            dispatcher,
            rng: fastrand::Rng::with_seed(call_seed),
            next_timer: None,
            calls: 0,
            open_calls: HashMap::new(),
            attempts: HashMap::new(),
            control_requests: HashMap::new(),
            last_called: HashMap::new(),
            cold_starts: HashMap::new(),
        })
    }
}

/// Settings of one front end; others have the defaults of `settings/src/schema.cue`.
pub(super) fn settings(args: &Args, front_end: usize) -> Settings {
    let miss_policy = if args.miss {
        MissPolicy::Miss
    } else {
        MissPolicy::Load
    };
    Settings {
        front_end_index: front_end,
        miss_policy,
        may_probe: true,
        reports: Reports::Attached,
        ..inputs::settings(args.front_ends)
    }
}

impl WorkerSimulation {
    /// Feeds an input to a front end's dispatcher and executes the resulting commands.
    pub(super) fn step_dispatcher(&mut self, index: usize, input: Input) {
        let now = self.queue.now();
        let front_end = &mut self.front_ends[index];
        let mut commands = std::mem::take(&mut self.commands);
        front_end.dispatcher.step(Time(now), input, &mut commands);
        let due = front_end.dispatcher.next_due();
        let due = due.map(|due| (due.0 + TIMER_SLACK).max(now));
        let timer = due.filter(|_| front_end.next_timer != due);
        front_end.next_timer = due;
        for command in commands.drain(..) {
            self.execute(index, command);
        }
        self.commands = commands;
        if let Some(due) = timer {
            let event = Event::TimerDue {
                front_end: index,
                due,
            };
            self.queue.schedule(due - now, event);
        }
    }

    pub(super) fn on_timer(&mut self, index: usize, due: Micros) {
        if self.front_ends[index].next_timer == Some(due) {
            self.front_ends[index].next_timer = None;
            self.step_dispatcher(index, Input::Tick);
        }
    }

    pub(super) fn schedule_next_call(&mut self, index: usize) {
        let gap = inputs::call_gap(&mut self.front_ends[index].rng);
        let event = Event::CallArrives { front_end: index };
        self.queue.schedule(gap, event);
    }

    pub(super) fn on_call(&mut self, index: usize) {
        self.schedule_next_call(index);
        let now = self.queue.now();
        let front_end = &mut self.front_ends[index];
        let function = self.popularity.next(&mut front_end.rng);
        front_end.calls += 1;
        let number = front_end.calls;
        front_end.open_calls.insert(number, function);
        self.count_call(index, function);
        if self.instance_counts[function] == 0 {
            self.cold_starts.calls += 1;
            self.front_ends[index]
                .cold_starts
                .entry(function)
                .or_insert(PendingColdStart::new(number, now));
        }
        let name = &self.function_names[function];
        let shape = Some(inputs::function_shape(LANES));
        let call = inputs::call(number, name, function % CLASSES, shape);
        let input = Input::Call(call);
        let started = Instant::now();
        self.step_dispatcher(index, input);
        self.decision_time.add(started.elapsed());
    }

    /// Counts a call by whether this or any front end called the function within the idle life of an instance.
    fn count_call(&mut self, index: usize, function: usize) {
        let (now, idle_life) = (self.queue.now(), self.idle_life);
        let is_recent = |at: Option<Micros>| at.is_some_and(|at| now - at < idle_life);
        let by_front_end = self.front_ends[index].last_called.insert(function, now);
        let by_fleet = self.last_called[function].replace(now);
        self.calls.total += 1;
        self.calls.known_to_front_end += u64::from(is_recent(by_front_end));
        self.calls.known_to_fleet += u64::from(is_recent(by_fleet));
    }

    /// Opens a stream to a worker; returns it with the delay until a request on it arrives there.
    pub(super) fn open_stream(
        &mut self,
        front_end: usize,
        worker: usize,
        function: usize,
    ) -> (OpenStream, Micros) {
        let now = self.queue.now();
        let pools = self.connections.iter_mut();
        let started: Vec<_> = pools
            .map(|pool| pool.begin_stream(now, front_end, worker))
            .collect();
        // The first pool has the program's own policy; a new connection takes a round trip before the request is sent.
        let handshake = if started.first().is_some_and(|start| start.is_new) {
            2 * NETWORK_DELAY
        } else {
            0
        };
        let stream = OpenStream {
            worker,
            function,
            connections: started.into_iter().map(|start| start.connection).collect(),
        };
        (stream, NETWORK_DELAY + handshake)
    }

    fn close_stream(&mut self, front_end: usize, stream: &OpenStream) {
        let now = self.queue.now();
        for (pool, connection) in self.connections.iter_mut().zip(&stream.connections) {
            pool.end_stream(now, front_end, stream.worker, *connection);
        }
    }

    pub(super) fn on_attempt_sent(&mut self, id: AttemptId) {
        let front_end = &self.front_ends[id.front_end];
        if front_end.attempts.contains_key(&(id.call, id.attempt)) {
            let input = Input::AttemptSent {
                call: CallId(id.call),
                attempt: id.attempt,
            };
            self.step_dispatcher(id.front_end, input);
        }
    }

    pub(super) fn on_attempt_ended(
        &mut self,
        id: AttemptId,
        outcome: AttemptOutcome,
        trailers: Trailers,
    ) {
        let attempts = &mut self.front_ends[id.front_end].attempts;
        let Some(stream) = attempts.remove(&(id.call, id.attempt)) else {
            return;
        };
        self.close_stream(id.front_end, &stream);
        let (call, attempt) = (CallId(id.call), id.attempt);
        if outcome == SERVED {
            let last = true;
            let message = Input::ResponseMessage {
                call,
                attempt,
                last,
            };
            self.step_dispatcher(id.front_end, message);
        }
        let ended = Input::AttemptEnded {
            call,
            attempt,
            outcome,
            trailers,
        };
        self.step_dispatcher(id.front_end, ended);
    }

    pub(super) fn on_control_request_ended(
        &mut self,
        id: ControlId,
        outcome: AttemptOutcome,
        trailers: Trailers,
    ) {
        let now = self.queue.now();
        let front_end = &mut self.front_ends[id.front_end];
        let Some(stream) = front_end.control_requests.remove(&id.request) else {
            return;
        };
        let has_instance = trailers.instances.is_some_and(|count| count > 0);
        let cold_start = front_end.cold_starts.get_mut(&stream.function);
        if let Some(cold_start) = cold_start.filter(|c| has_instance && c.load_requested.is_some())
        {
            cold_start.load_answered.get_or_insert(now);
        }
        self.close_stream(id.front_end, &stream);
        let input = Input::ControlRequestEnded {
            request: ControlRequestId(id.request),
            outcome,
            trailers,
        };
        self.step_dispatcher(id.front_end, input);
    }
}
