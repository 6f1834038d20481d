//! Every decision of the router, one concern a file. The interface - settings, events, actions, identifiers -
//! stands in the modules beside this one.
//!
//! # The mechanism
//!
//! Among workers that are believed to have a warm instance with a free lane, a call goes to the one that this
//! front end used least recently ([`selection`]); else the function is loaded, under a cap of its own
//! ([`loading`]); else the call waits for a lane ([`queue`]). `docs/design.md` names the source.
//!
//! # Departures from it
//!
//! Each departure is one function, whose comment has a section "Departure from the mechanism" with the symptom
//! that it answers and where it could do harm. A search for these words finds all of them.

mod attempt;
mod concurrency;
mod estimate;
mod health;
mod instances;
mod loading;
mod queue;
mod random;
mod request;
mod retry;
mod selection;
mod workers;

use self::estimate::{DecayingMean, DecayingSum, LatencyEstimate, ServiceTimeRatio};
use self::instances::{Function, Instance};
use self::loading::{LoadResult, LoadState};
use self::request::Request;
use self::workers::Worker;
use crate::{
    Action, Event, FunctionId, InvalidSettings, Micros, Outcome, RequestId, Settings, Time,
    WorkerId, WorkerState, SECOND,
};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// How often queued calls and silent workers are looked over, microseconds. Well under any objective that people
/// notice.
const CHECK_INTERVAL: Micros = 20_000;

/// How often the router looks over the state that it may forget.
const CLEANUP_INTERVAL: Micros = SECOND;

/// How often the timer runs while nothing is waiting.
const IDLE_TIMER_INTERVAL: Micros = SECOND;

/// Idle lives after its last call that a function is remembered: its instances are unloaded long before.
const FORGET_AFTER_IDLE_LIVES: Micros = 4;

/// The decisions of one front end. See the example of the crate. The default knows nothing and has the default
/// settings.
#[derive(Default)]
pub struct Router {
    settings: Settings,
    seed: u64,
    started_at: Time,
    /// Counts changes of the list of workers and of the settings.
    configuration_revision: u64,

    workers: BTreeMap<WorkerId, Worker>,
    functions: BTreeMap<FunctionId, Function>,
    requests: BTreeMap<RequestId, Request>,
    /// Functions with calls in their queues.
    functions_waiting: BTreeSet<FunctionId>,
    /// Requests that are owed an answer and are not streaming.
    deadlines: BTreeSet<(Time, RequestId)>,
    loads: LoadState,
    /// When the requests within the period of the load budget arrived.
    recent_arrivals: VecDeque<Time>,

    total_share: f64,
    largest_share: f64,
    ready_count: f64,
    list_requested_at: Time,

    /// Low estimates of what calls of each class take in a warm lane, microseconds.
    class_service_times: BTreeMap<usize, f64>,
    answer_times: LatencyEstimate,
    /// Service times over those expected, by kind of worker and for all kinds.
    kind_ratios: BTreeMap<usize, ServiceTimeRatio>,
    /// No more than the slowness of any worker.
    lowest_slowness: f64,
    /// Work of calls served, over the total share of the workers at that time.
    recent_work: DecayingSum,
    /// Shares of their cores that answering workers report as busy.
    busy_cores: DecayingMean,

    next_check: Time,
    next_cleanup: Time,
    next_probe: Time,
    /// Where the next check starts among the functions with queued calls.
    check_offset: usize,
    timer_at: Option<Time>,
}

impl Router {
    /// A router that knows nothing yet. The seed is for its random numbers.
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

    /// Replaces the settings; what was learned stays. Classes of open requests must keep their indexes.
    pub fn update_settings(&mut self, settings: Settings) -> Result<(), InvalidSettings> {
        let classes_in_use = self.requests.values().map(|request| request.class);
        let last_class = classes_in_use.max().unwrap_or(0);
        if settings.classes.len() <= last_class
            || settings.front_ends == 0
            || settings.max_attempts == 0
        {
            return Err(InvalidSettings(
                "no class of requests, no front end or no attempt".into(),
            ));
        }
        let mut classes = settings.classes.iter();
        if classes.any(|class| class.latency_objective <= 0 || class.deadline <= 0) {
            return Err(InvalidSettings("an aim or deadline not above zero".into()));
        }
        self.settings = settings;
        self.configuration_revision += 1;
        Ok(())
    }

    /// Takes one event and adds to `actions` what is to be done, in order.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        self.excuse_silence_after_stall(now);
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

    /// What is due at every check, whether a timer or another event came first.
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

    /// Asks for a timer at the next check, unless one that is set comes no later.
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

    /// Forgets functions, instances and workers that have been unused for long: functions that are called only
    /// once would fill the memory otherwise.
    fn forget_unused(&mut self, now: Time) {
        let idle_timeout = self.settings.idle_timeout;
        let idle_lives = idle_timeout.saturating_mul(FORGET_AFTER_IDLE_LIVES);
        let forget_after = idle_lives.max(self.settings.load_timeout);
        let instance_in_use = |instance: &Instance| {
            instance.in_flight > 0
                || instance.load_requested.is_some()
                || now.since(instance.last_activity()) <= forget_after
        };
        let function_in_use = |function: &Function| {
            !function.queue.is_empty()
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
        self.functions
            .retain(|_, function| function_in_use(function));
        self.workers.retain(|_, worker| worker_in_use(worker));
    }
}
