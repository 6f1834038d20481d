//! Routing decisions, one concern per file. The public interface - settings, events, actions, identifiers - is in the
//! modules next to this one.
//!
//! # Base algorithm
//!
//! A call goes to a worker that is believed to have a warm instance with a free lane; among several, to the one that
//! this front end used least recently ([`selection`]). If there is none, the router requests a load of the function,
//! unless enough workers have it already ([`loading`]). Until a lane is free, the call waits in a queue ([`queue`]).
//! `docs/design.md` names the source of the algorithm.
//!
//! # Departures from the base algorithm
//!
//! A function that departs from the base algorithm says why, and at what cost, in a section of its doc comment headed
//! "Departure from the base algorithm". Search for this heading to find all of them.

mod attempt;
mod concurrency;
mod estimate;
mod health;
mod instances;
mod loading;
mod queue;
mod random;
mod request;
mod retention;
mod retry;
mod selection;
mod shedding;
mod workers;

use self::estimate::{DecayingMean, DecayingSum, LatencyEstimate, ServiceTimeRatio};
use self::instances::{Function, Instance};
use self::loading::{LoadResult, LoadState, LoadTurn};
use self::request::Request;
pub use self::retention::FunctionTableSizes;
use self::retention::IdleFunctions;
use self::shedding::ShedKey;
use self::workers::Worker;
use crate::{
    Action, Event, FunctionId, InvalidSettings, Micros, Outcome, RequestId, Settings, Time,
    WorkerId, WorkerState, SECOND,
};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Interval of the checks of queued calls and silent workers, in microseconds. It is far below the latency objectives
/// of calls that people wait for.
const CHECK_INTERVAL: Micros = 20_000;

/// Interval of the removal of unused state.
const CLEANUP_INTERVAL: Micros = SECOND;

/// Timer interval while no request is open.
const IDLE_TIMER_INTERVAL: Micros = SECOND;

/// State of a function that has had no calls for this many idle timeouts is removed; its instances are unloaded long
/// before.
const FORGET_AFTER_IDLE_TIMEOUTS: Micros = 4;

/// Routes the calls of one front end. The crate documentation has an example. `Router::default()` has the default
/// settings and knows no workers.
#[derive(Default)]
pub struct Router {
    settings: Settings,
    seed: u64,
    started_at: Time,
    /// Incremented at each change of the worker list or the settings.
    configuration_revision: u64,

    workers: BTreeMap<WorkerId, Worker>,
    functions: BTreeMap<FunctionId, Function>,
    idle_functions: IdleFunctions,
    requests: BTreeMap<RequestId, Request>,
    /// Functions whose queues are not empty.
    functions_waiting: BTreeSet<FunctionId>,
    /// Functions with queued calls that were never sent, in the order in which these are refused for their connections.
    shed_order: BTreeSet<ShedKey>,
    /// Requests that are neither answered nor streaming, by deadline.
    deadlines: BTreeSet<(Time, RequestId)>,
    loads: LoadState,
    /// Arrival times of the requests in the current period of the load budget.
    recent_arrivals: VecDeque<Time>,

    total_size: f64,
    largest_size: f64,
    ready_count: f64,
    list_requested_at: Time,

    /// Service time of each class in a warm lane, in microseconds, as a low estimate.
    class_service_times: BTreeMap<usize, f64>,
    answer_times: LatencyEstimate,
    /// Observed over expected service time, for each kind of worker and for all kinds together.
    kind_ratios: BTreeMap<usize, ServiceTimeRatio>,
    /// A lower bound of the slowness of every worker.
    lowest_slowness: f64,
    /// Work of served calls, divided by the total size of the workers when they were served.
    recent_work: DecayingSum,
    /// Core utilization that workers report with their answers.
    core_utilization: DecayingMean,

    next_check: Time,
    next_cleanup: Time,
    next_probe: Time,
    /// For each turn, the index of the function with which the next check starts.
    check_offsets: [usize; LoadTurn::COUNT],
    timer_at: Option<Time>,
}

impl Router {
    /// Creates a router without workers. `seed` seeds its random numbers.
    pub fn new(settings: Settings, seed: u64, now: Time) -> Result<Router, InvalidSettings> {
        let mut router = Router {
            seed,
            next_check: now,
            list_requested_at: now.plus(-settings.max_list_poll_interval),
            started_at: now,
            ..Router::default()
        };
        router.update_settings(settings)?;
        Ok(router)
    }

    /// Replaces the settings and keeps all learned state. The classes of open requests must keep their indexes.
    pub fn update_settings(&mut self, settings: Settings) -> Result<(), InvalidSettings> {
        let classes_in_use = self.requests.values().map(|request| request.class);
        let last_class = classes_in_use.max().unwrap_or(0);
        if settings.classes.len() <= last_class
            || settings.front_ends == 0
            || settings.max_attempts == 0
        {
            return Err(InvalidSettings(
                "no classes, too few for the open requests, no front ends or no attempts".into(),
            ));
        }
        let mut classes = settings.classes.iter();
        if classes.any(|class| class.latency_objective <= 0 || class.deadline <= 0) {
            return Err(InvalidSettings(
                "a latency objective or deadline is not above zero".into(),
            ));
        }
        self.settings = settings;
        self.configuration_revision += 1;
        Ok(())
    }

    /// Handles one event and appends the resulting actions to `actions`, in the order in which to carry them out.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        self.reset_silence_after_stall(now);
        self.on_event(now, event, actions);
        self.answer_overdue(now, actions);
        if now >= self.next_check {
            self.on_timer(now, actions);
            self.next_check = now.plus(CHECK_INTERVAL);
        }
        self.set_timer(now, actions);
    }

    fn on_event(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Workers { kind, entries } => self.on_worker_list(now, kind, entries),
            Event::Arrival(arrival) => self.on_arrival(now, arrival, actions),
            Event::Timer { .. } => {}
            Event::StreamStarted { request, .. } => self.on_stream_start(request),
            Event::AttemptEnded(result) => self.on_attempt_result(now, result, actions),
            Event::ClientLeft { request } => self.close_request(request),
            Event::CapacityNeeded { only_unlikely } => {
                self.shed_waiting_call(only_unlikely, actions);
            }
            Event::ProbeEnded {
                worker, outcome, ..
            } => self.on_probe_result(worker, outcome == Outcome::Served),
            Event::LoadEnded {
                worker,
                function,
                outcome,
                latency,
                instances,
            } => {
                let result = LoadResult {
                    worker,
                    function,
                    outcome,
                    latency,
                    instances,
                };
                self.on_load_result(now, result, actions);
            }
        }
    }

    /// Periodic work; runs when a check is due, whichever event comes then.
    fn on_timer(&mut self, now: Time, actions: &mut Vec<Action>) {
        self.update_lowest_slowness();
        if now >= self.next_cleanup {
            self.next_cleanup = now.plus(CLEANUP_INTERVAL);
            self.forget_unused(now);
        }
        self.request_list_if_due(now, actions);
        self.check_health(now, actions);
        self.check_queues(now, actions);
    }

    /// Requests a timer for the next check, unless a pending timer fires no later.
    fn set_timer(&mut self, now: Time, actions: &mut Vec<Action>) {
        let idle = self.functions_waiting.is_empty() && self.requests.is_empty();
        let at = if idle {
            now.plus(IDLE_TIMER_INTERVAL)
        } else {
            self.next_check
        };
        if self.timer_at.is_none_or(|set| set <= now || set > at) {
            self.timer_at = Some(at);
            actions.push(Action::SetTimer { at, token: 0 });
        }
    }

    fn request_list_if_due(&mut self, now: Time, actions: &mut Vec<Action>) {
        let since_request = now.since(self.list_requested_at);
        if !self.settings.list_pushed && since_request > self.settings.max_list_poll_interval / 2 {
            actions.push(Action::Subscribe);
            self.list_requested_at = now;
        }
    }

    /// Removes functions, instances and workers that have been unused for long, so that functions that are called
    /// only once do not accumulate.
    fn forget_unused(&mut self, now: Time) {
        let idle_timeout = self.settings.idle_timeout;
        let idle_period = idle_timeout.saturating_mul(FORGET_AFTER_IDLE_TIMEOUTS);
        let forget_after = idle_period.max(self.settings.load_timeout);
        let instance_in_use = |instance: &Instance| {
            instance.in_flight > 0
                || instance.load_requested.is_some()
                || now.since(instance.last_activity()) <= forget_after
        };
        let function_in_use = |function: &Function| {
            function.is_in_use()
                || !function.instances.is_empty()
                || now.since(function.recent_calls.updated_at) < forget_after
        };
        let worker_in_use = |worker: &Worker| {
            worker.entry.state != WorkerState::Gone
                || worker.in_flight > 0
                || worker
                    .left_at
                    .is_some_and(|at| now.since(at) < forget_after)
        };
        for function in self.functions.values_mut() {
            function
                .instances
                .retain(|_, instance| instance_in_use(instance));
        }
        self.functions.retain(|id, function| {
            let keep = function_in_use(function);
            if !keep {
                self.idle_functions.remove(*id, function);
            }
            keep
        });
        self.workers.retain(|_, worker| worker_in_use(worker));
    }
}
