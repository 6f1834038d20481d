//! Load on workers from many front ends: the dispatchers of a small fleet and a shared pool of simulated workers, in virtual
//! time.
//!
//! The dispatchers are the real ones; the workers follow the simple rules in `serving.rs`. The fleet represents a larger one
//! with the same ratio of functions and instances to front ends, since each front end receives calls at the same rate.

mod cold_starts;
mod commands;
mod events;
mod front_end;
mod measurement;
mod serving;
mod worker;

pub use cold_starts::ColdStartStatistics;
pub use events::ControlRequestKind;
pub(crate) use measurement::worker_load;

use crate::connections::{ConnectionPool, KeepAlivePolicy};
use crate::inputs::{self, FunctionPopularity, INSTANCES_PER_WORKER};
use crate::measure::Distribution;
use crate::{Args, BenchError};
use events::{Event, EventQueue};
use front_end::SimulatedFrontEnd;
use std::collections::BTreeMap;
use tansy_dispatch::{AttemptOutcome, Command, Counters, Input, ResponseStage};
use tansyrouter::{Micros, SECOND};
use worker::SimulatedWorker;

/// One-way delay between a front end and a worker.
const NETWORK_DELAY: Micros = 1_000;
/// Time that a worker takes to run a call.
const WORK_TIME: Micros = 20_000;

const SERVED: AttemptOutcome = AttemptOutcome::Status {
    code: 0,
    stage: ResponseStage::Last,
};
const UNAVAILABLE: AttemptOutcome = AttemptOutcome::Status {
    code: 14,
    stage: ResponseStage::Nothing,
};

/// Connection limits of a site's workers.
struct Site {
    /// Output field for the site's figures.
    output_name: &'static str,
    /// Idle time after which workers close a connection.
    worker_idle_timeout: Micros,
    /// Concurrent streams per connection.
    max_streams: u32,
}

const SITES: [Site; 2] = [
    Site {
        output_name: "connections_12s",
        worker_idle_timeout: 12 * SECOND,
        max_streams: 1,
    },
    Site {
        output_name: "connections_20s",
        worker_idle_timeout: 20 * SECOND,
        max_streams: 8,
    },
];

impl Site {
    /// Front ends close an idle connection after three quarters of the workers' idle timeout.
    fn keep_alive(&self) -> KeepAlivePolicy {
        KeepAlivePolicy {
            idle_timeout: Some(self.worker_idle_timeout / 4 * 3),
            max_streams: self.max_streams,
        }
    }
}

/// Requests that a worker received from all front ends, and loads that it started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WorkerCounters {
    /// Attempts.
    pub attempts: u64,
    /// Control requests, by [`ControlRequestKind`].
    pub control_requests: [u64; ControlRequestKind::COUNT],
    /// Loads that the worker started.
    pub loads: u64,
}

/// Call counts since the measurement began.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallCounters {
    /// All calls.
    pub total: u64,
    /// Calls of functions that the same front end had called within the idle life of an instance.
    pub known_to_front_end: u64,
    /// Calls of functions that any front end had called within the idle life of an instance.
    pub known_to_fleet: u64,
    /// Calls that were answered without being served.
    pub unserved: u64,
}

/// A fleet of front ends and its workers in virtual time.
pub struct WorkerSimulation {
    queue: EventQueue,
    function_names: Vec<String>,
    function_indices: BTreeMap<String, usize>,
    popularity: FunctionPopularity,
    front_ends: Vec<SimulatedFrontEnd>,
    workers: Vec<SimulatedWorker>,
    /// By function: number of instances that are loaded or being loaded.
    instance_counts: Vec<u32>,
    /// By function: time of the last call from any front end.
    last_called: Vec<Option<Micros>>,
    rejects_misses: bool,
    idle_life: Micros,
    /// Connections under each keep-alive policy: the program's own, then that of each of [`SITES`].
    connections: Vec<ConnectionPool>,
    /// Buffer for the commands of a step, reused between steps.
    commands: Vec<Command>,
    calls: CallCounters,
    cold_starts: ColdStartStatistics,
    /// Wall time of steps that take a call.
    decision_time: Distribution,
}

impl WorkerSimulation {
    /// Creates a fleet without connections and loaded instances.
    pub fn new(args: &Args) -> Result<WorkerSimulation, BenchError> {
        let function_names = inputs::function_names(args.functions, args.seed);
        let workers = args.instances.div_ceil(INSTANCES_PER_WORKER).max(1);
        let front_ends: Result<Vec<SimulatedFrontEnd>, BenchError> = (0..args.front_ends)
            .map(|index| SimulatedFrontEnd::new(args, index))
            .collect();
        let mut simulation = WorkerSimulation {
            queue: EventQueue::default(),
            function_indices: inputs::function_indices(&function_names),
            function_names,
            popularity: FunctionPopularity::new(args.functions, args.seed),
            front_ends: front_ends?,
            workers: (0..workers).map(|_| SimulatedWorker::default()).collect(),
            instance_counts: vec![0; args.functions],
            last_called: vec![None; args.functions],
            rejects_misses: args.miss,
            idle_life: front_end::settings(args, 0).idle_timeout,
            connections: connection_pools(workers),
            commands: Vec::new(),
            calls: CallCounters::default(),
            cold_starts: ColdStartStatistics::default(),
            decision_time: Distribution::default(),
        };
        simulation.list_workers();
        Ok(simulation)
    }

    /// Gives each front end the worker list and schedules its first call.
    fn list_workers(&mut self) {
        let listed: Vec<_> = (0..self.workers.len()).map(inputs::worker_record).collect();
        for front_end in 0..self.front_ends.len() {
            let list = Input::Workers {
                full: true,
                workers: listed.clone(),
            };
            self.step_dispatcher(front_end, list);
            self.schedule_next_call(front_end);
        }
    }

    /// Runs the simulation for this virtual time.
    pub fn run(&mut self, duration: Micros) {
        let end = self.queue.now() + duration;
        while let Some(event) = self.queue.pop_until(end) {
            self.on_event(event);
        }
    }

    fn on_event(&mut self, event: Event) {
        match event {
            Event::CallArrives { front_end } => self.on_call(front_end),
            Event::TimerDue { front_end, due } => self.on_timer(front_end, due),
            Event::AttemptArrives {
                worker,
                function,
                id,
            } => self.on_attempt(worker, function, id),
            Event::ControlRequestArrives {
                worker,
                function,
                id,
                kind,
            } => self.on_control_request(worker, function, id, kind),
            Event::InstanceLoaded { worker, function } => self.on_instance_loaded(worker, function),
            Event::CallFinished {
                worker,
                function,
                request,
            } => self.on_call_finished(worker, function, request),
            Event::IdleTimeout {
                worker,
                function,
                idle_since,
            } => self.on_idle_timeout(worker, function, idle_since),
            Event::AttemptSent(id) => self.on_attempt_sent(id),
            Event::AttemptEnded {
                id,
                outcome,
                trailers,
            } => self.on_attempt_ended(id, outcome, trailers),
            Event::ControlRequestEnded {
                id,
                outcome,
                trailers,
            } => self.on_control_request_ended(id, outcome, trailers),
        }
    }

    /// Starts a measurement, discarding earlier counts.
    pub fn start_measurement(&mut self) {
        let now = self.queue.now();
        for worker in &mut self.workers {
            worker.counters = WorkerCounters::default();
        }
        for pool in &mut self.connections {
            pool.start_measurement(now);
        }
        self.calls = CallCounters::default();
        self.cold_starts = ColdStartStatistics::default();
        self.decision_time = Distribution::default();
    }

    /// Makes every n-th worker stop answering.
    pub fn silence(&mut self, each_nth: usize) {
        let silenced = self.workers.iter_mut().step_by(each_nth.max(1));
        silenced.for_each(|worker| worker.silent = true);
    }

    /// Counters of each worker since the measurement began.
    pub fn worker_counters(&self) -> Vec<WorkerCounters> {
        self.workers.iter().map(|worker| worker.counters).collect()
    }

    /// Counters of each front end since its start.
    pub fn dispatcher_counters(&self) -> Vec<Counters> {
        let front_ends = self.front_ends.iter();
        front_ends
            .map(|front_end| front_end.dispatcher.counters().clone())
            .collect()
    }

    /// Numbers of control requests and attempts in flight to a worker.
    pub fn in_flight(&self) -> (u64, u64) {
        self.queue.in_flight()
    }

    /// Number of streams that the front ends have open.
    pub fn open_streams(&self) -> u64 {
        let streams = |f: &SimulatedFrontEnd| f.attempts.len() + f.control_requests.len();
        self.front_ends.iter().map(streams).sum::<usize>() as u64
    }

    /// Connections under each keep-alive policy: the program's own, then that of each site.
    pub fn connections(&self) -> &[ConnectionPool] {
        &self.connections
    }
}

/// A pool for the program's own policy, which keeps every connection, and one for each site.
fn connection_pools(workers: usize) -> Vec<ConnectionPool> {
    let keep_all = KeepAlivePolicy {
        idle_timeout: None,
        max_streams: u32::MAX,
    };
    let sites = SITES.iter().map(Site::keep_alive);
    std::iter::once(keep_all)
        .chain(sites)
        .map(|policy| ConnectionPool::new(workers, policy))
        .collect()
}
