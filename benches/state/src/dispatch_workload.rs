//! The workload of one front end in virtual time: calls of functions by popularity, answers of workers, and other front
//! ends that keep popular functions loaded. Drives either the decision module alone or the whole dispatcher, and times each step
//! by the wall clock.
//!
//! These workers have neither queues nor limits; see [`crate::workers`] for a simulation with both.

mod cold_starts;
mod dispatcher;
mod router;
mod system;

pub use cold_starts::ColdStartTimes;
pub use dispatcher::DispatcherAdapter;
pub use router::{arrival, RouterAdapter};
pub use system::{LoadRequest, Output, SentAttempt, SystemUnderTest};

use crate::inputs::{self, FunctionPopularity, CALLS_PER_SECOND, LOAD_TIME};
use crate::measure::{timed, Distribution};
use cold_starts::PendingColdStart;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::time::Duration;
use tansyrouter::{Micros, SECOND};

/// Time of a call at a worker, including the network round trip.
const CALL_TIME: Micros = 20_000;
/// Time to answer a load request that needs no load.
const QUERY_TIME: Micros = 2_000;
/// Time for which an instance stays loaded after its last use.
const INSTANCE_IDLE_LIFE: Micros = 10 * SECOND;
/// The utilization that workers report.
const UTILIZATION: f64 = 0.6;

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    CallArrives,
    ColdCallArrives,
    AttemptServed(SentAttempt),
    LoadEnded {
        request: LoadRequest,
        instances: u32,
    },
}

enum Step {
    Timer,
    Event(Event),
}

/// Periodic calls of functions that have not been called before.
struct ColdCalls<S> {
    /// Time between two calls.
    interval: Micros,
    /// Adds a function to the system under test, named after a number, and returns its index.
    add_function: fn(&mut S, u64) -> usize,
}

/// Wall times of steps, by the kind of input.
#[derive(Default)]
pub struct StepTimes {
    /// Steps that take a call.
    pub call: Distribution,
    /// Steps that take an answer.
    pub answer: Distribution,
    /// Timer steps.
    pub timer: Distribution,
    in_timers: Duration,
}

/// The workload of one front end.
pub struct Workload<S> {
    /// The system under test.
    pub system: S,
    popularity: FunctionPopularity,
    /// By function: whether other front ends call it often enough to keep an instance loaded.
    always_warm: Vec<bool>,
    /// By worker and function: when an instance that this front end loaded or used stops being warm.
    warm_until: HashMap<(usize, usize), Micros>,
    events: BinaryHeap<Reverse<(Micros, u64, Event)>>,
    scheduled: u64,
    calls: u64,
    /// Functions of the unanswered calls.
    open_calls: HashMap<u64, usize>,
    rng: fastrand::Rng,
    now: Micros,
    measured_since: Micros,
    /// Wall times since the measurement began.
    pub step_times: StepTimes,
    /// Calls that ended since the measurement began.
    pub ended: u64,
    /// Calls that ended without being served since the measurement began.
    pub unserved: u64,
    /// Cold starts since the measurement began.
    pub cold_starts: ColdStartTimes,
    /// By function.
    pending_cold_starts: BTreeMap<usize, PendingColdStart>,
    cold_calls: Option<ColdCalls<S>>,
}

/// By function: whether the fleet calls it at least once per idle life of an instance, on average.
fn always_warm(popularity: &FunctionPopularity, front_ends: usize) -> Vec<bool> {
    let life_s = INSTANCE_IDLE_LIFE as f64 / 1e6;
    let shares = popularity.shares();
    shares
        .iter()
        .map(|share| share * CALLS_PER_SECOND * front_ends as f64 * life_s >= 1.0)
        .collect()
}

impl<S: SystemUnderTest> Workload<S> {
    /// Creates the workload of one of `front_ends` front ends.
    pub fn new(
        system: S,
        popularity: FunctionPopularity,
        front_ends: usize,
        seed: u64,
    ) -> Workload<S> {
        let mut workload = Workload {
            system,
            always_warm: always_warm(&popularity, front_ends),
            popularity,
            warm_until: HashMap::new(),
            events: BinaryHeap::new(),
            scheduled: 0,
            calls: 0,
            open_calls: HashMap::new(),
            rng: fastrand::Rng::with_seed(seed),
            now: 0,
            measured_since: 0,
            step_times: StepTimes::default(),
            ended: 0,
            unserved: 0,
            cold_starts: ColdStartTimes::default(),
            pending_cold_starts: BTreeMap::new(),
            cold_calls: None,
        };
        workload.schedule(0, Event::CallArrives);
        workload
    }

    /// Starts additional calls, at this rate, of functions that have not been called before.
    pub fn start_cold_calls(&mut self, per_second: f64, add_function: fn(&mut S, u64) -> usize) {
        let interval = (SECOND as f64 / per_second) as Micros;
        self.cold_calls = Some(ColdCalls {
            interval,
            add_function,
        });
        self.schedule(interval, Event::ColdCallArrives);
    }

    /// Restarts the workload at this virtual time.
    pub fn start_at(&mut self, now: Micros) {
        self.now = now;
        self.events.clear();
        self.schedule(0, Event::CallArrives);
    }

    fn schedule(&mut self, delay: Micros, event: Event) {
        self.scheduled += 1;
        let due = self.now + delay.max(0);
        self.events.push(Reverse((due, self.scheduled, event)));
    }

    /// Starts a measurement, discarding earlier figures.
    pub fn start_measurement(&mut self) {
        self.measured_since = self.now;
        self.step_times = StepTimes::default();
        self.cold_starts = ColdStartTimes::default();
        self.ended = 0;
        self.unserved = 0;
    }

    /// CPU use of timer steps since the measurement began, in percent of a core.
    pub fn timer_cpu_percent(&self) -> f64 {
        let virtual_s = (self.now - self.measured_since).max(1) as f64 / 1e6;
        self.step_times.in_timers.as_secs_f64() / virtual_s * 100.0
    }

    /// Runs the workload for this virtual time.
    pub fn run(&mut self, duration: Micros) {
        let end = self.now + duration;
        let mut outputs = Vec::new();
        while let Some(step) = self.next_step(end) {
            let took = match step {
                Step::Timer => self.on_timer(&mut outputs),
                Step::Event(event) => self.on_event(event, &mut outputs),
            };
            self.execute(&mut outputs, took);
        }
        self.now = end;
    }

    /// Returns the next step up to `end` and advances the clock to it. A timer precedes events of the same time.
    fn next_step(&mut self, end: Micros) -> Option<Step> {
        let timer = self.system.next_timer();
        let event = self.events.peek().map(|Reverse((due, ..))| *due);
        let next = timer.into_iter().chain(event).min();
        let due = next.filter(|due| *due <= end)?;
        self.now = self.now.max(due);
        if timer.is_some_and(|timer| timer <= self.now) {
            return Some(Step::Timer);
        }
        let Reverse((_, _, event)) = self.events.pop()?;
        Some(Step::Event(event))
    }

    fn on_timer(&mut self, outputs: &mut Vec<Output>) -> Duration {
        let ((), took) = timed(|| self.system.on_timer(self.now, outputs));
        self.step_times.timer.add(took);
        self.step_times.in_timers += took;
        took
    }

    /// Feeds an event to the system under test and returns the time taken.
    fn on_event(&mut self, event: Event, outputs: &mut Vec<Output>) -> Duration {
        match event {
            Event::CallArrives => self.on_call(outputs),
            Event::ColdCallArrives => self.on_cold_call(outputs),
            Event::AttemptServed(sent) => {
                let ((), took) = timed(|| self.system.on_served(self.now, sent, outputs));
                self.step_times.answer.add(took);
                took
            }
            Event::LoadEnded { request, instances } => {
                self.on_load_ended(request, instances, outputs)
            }
        }
    }

    fn on_call(&mut self, outputs: &mut Vec<Output>) -> Duration {
        let function = self.popularity.next(&mut self.rng);
        let gap = inputs::call_gap(&mut self.rng);
        self.schedule(gap, Event::CallArrives);
        let took = self.call(function, outputs);
        self.step_times.call.add(took);
        took
    }

    fn on_cold_call(&mut self, outputs: &mut Vec<Output>) -> Duration {
        let Some(cold_calls) = &self.cold_calls else {
            return Duration::ZERO;
        };
        let interval = cold_calls.interval;
        let function = (cold_calls.add_function)(&mut self.system, self.scheduled);
        self.schedule(interval, Event::ColdCallArrives);
        let pending = PendingColdStart::new(self.now);
        self.pending_cold_starts.insert(function, pending);
        self.call(function, outputs)
    }

    fn call(&mut self, function: usize, outputs: &mut Vec<Output>) -> Duration {
        self.calls += 1;
        let call = self.calls;
        self.open_calls.insert(call, function);
        let ((), took) = timed(|| self.system.on_call(self.now, call, function, outputs));
        took
    }

    fn on_load_ended(
        &mut self,
        request: LoadRequest,
        instances: u32,
        outputs: &mut Vec<Output>,
    ) -> Duration {
        if request.instances > 0 {
            self.keep_warm(request.worker, request.function);
            if let Some(pending) = self.pending_cold_starts.get_mut(&request.function) {
                pending.loaded = Some(self.now);
            }
        }
        let now = self.now;
        let system = &mut self.system;
        let ((), took) = timed(|| system.on_load_ended(now, request, instances, outputs));
        self.step_times.answer.add(took);
        took
    }

    fn keep_warm(&mut self, worker: usize, function: usize) {
        let until = self.now + INSTANCE_IDLE_LIFE;
        self.warm_until.insert((worker, function), until);
    }

    fn is_warm(&self, worker: usize, function: usize) -> bool {
        let always = self.always_warm.get(function).copied().unwrap_or(false);
        let until = self.warm_until.get(&(worker, function));
        always || until.is_some_and(|until| *until > self.now)
    }

    /// Executes the outputs of a step that took the wall time `took`.
    fn execute(&mut self, outputs: &mut Vec<Output>, took: Duration) {
        for output in outputs.drain(..) {
            match output {
                Output::Send(sent) => self.send(sent, took),
                Output::Load(request) => self.load(request, took),
                Output::CallEnded { call, served } => self.end_call(call, served),
            }
        }
    }

    fn send(&mut self, mut sent: SentAttempt, took: Duration) {
        let Some(function) = self.open_calls.get(&sent.call).copied() else {
            return;
        };
        sent.warm = self.is_warm(sent.worker, function);
        if let Some(pending) = self.pending_cold_starts.remove(&function) {
            self.cold_starts.record_send(&pending, self.now, took);
        }
        self.keep_warm(sent.worker, function);
        let load_time = if sent.warm { 0 } else { LOAD_TIME };
        self.schedule(CALL_TIME + load_time, Event::AttemptServed(sent));
    }

    fn load(&mut self, request: LoadRequest, took: Duration) {
        let wants_instance = request.instances > 0;
        let pending = self.pending_cold_starts.get_mut(&request.function);
        if let Some(pending) = pending.filter(|pending| wants_instance && !pending.load_requested) {
            pending.load_requested = true;
            self.cold_starts
                .record_load_request(pending, self.now, took);
        }
        let is_warm = self.is_warm(request.worker, request.function);
        let delay = if wants_instance && !is_warm {
            LOAD_TIME
        } else {
            QUERY_TIME
        };
        let instances = u32::from(is_warm || wants_instance);
        self.schedule(delay, Event::LoadEnded { request, instances });
    }

    fn end_call(&mut self, call: u64, served: bool) {
        self.ended += 1;
        self.unserved += u64::from(!served);
        let Some(function) = self.open_calls.remove(&call) else {
            return;
        };
        if self.pending_cold_starts.remove(&function).is_some() {
            self.cold_starts.rejected += 1;
        }
    }
}
