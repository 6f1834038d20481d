//! Open calls and their attempts, control requests, timers and guards.
//!
//! A call is open from its [`Input::Call`] until its only [`Command::Answer`], or until its client leaves. An attempt is in
//! progress from its [`Command::SendAttempt`] until its [`Input::AttemptEnded`]. The router learns of the end only then, so
//! it does not start another attempt while the earlier one may still be running at a worker.
//!
//! - `admission`: from the arrival of a call to its event for the router.
//! - `answers`: the final answer of a call, and the removal of the call.
//! - `attempts`: sending, cancelling and ending attempts.
//! - `control_requests`: probes, loads and unloads.
//! - `entries`: the entries of the table.
//! - `functions`: functions learned from calls, and the removal of unused names.
//! - [`guards`]: checks whether an attempt or a control request may be sent.
//! - `lookups`: calls of functions whose settings must be looked up first.
//! - `queries`: read access to a dispatcher.
//! - `routing`: events for the router, and its actions.
//! - `settings`: changes of the settings.
//! - `timers`: handling of due timers.
//! - `workers`: the worker list.

mod admission;
mod answers;
mod attempts;
mod control_requests;
mod entries;
mod functions;
pub mod guards;
mod lookups;
mod queries;
mod routing;
mod settings;
mod timers;
mod workers;

use crate::class_counters::ClassCounterTable;
use crate::config::{ConfigError, ConflictingScopes, DispatchConfig, FunctionSpec};
use crate::counters::Counters;
use crate::load_failures::LoadFailures;
use crate::message::{CallId, Command, ControlRequestId, Input};
use crate::names::NameTable;
use crate::pending_lookups::PendingLookups;
use entries::{ControlRequest, FunctionActivity, OpenCall, TimerEvent, UndeliverableLoad};
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use tansy_timer_wheel::Wheel;
use tansyrouter::{
    Action, Event, FunctionId, ListKind, Micros, Router, Time, WorkerId, WorkerState, SECOND,
};

/// Resolution of the timers, microseconds.
const TIMER_TICK: Micros = 500;
/// Interval at which unused names of functions and workers are removed, microseconds.
const CLEANUP_INTERVAL: Micros = SECOND;

/// The dispatcher of one front end.
pub struct Dispatcher {
    router: Router,
    /// The configuration in force, with the classes in the order of the router.
    config: DispatchConfig,
    /// For each class of the settings, its index in the router.
    class_indices: Vec<usize>,
    /// Names of the classes of the router.
    class_names: Vec<String>,
    conflicting: ConflictingScopes,
    scheduled: VecDeque<settings::ScheduledSettings>,
    now: Time,
    function_names: NameTable,
    function_specs: HashMap<FunctionId, FunctionSpec>,
    /// Functions learned from calls.
    learned_functions: HashSet<FunctionId>,
    next_cleanup: Time,
    /// The number of learned functions that the last removal of unused names left.
    learned_after_cleanup: usize,
    undeliverable_loads: Vec<UndeliverableLoad>,
    worker_names: NameTable,
    worker_states: BTreeMap<WorkerId, WorkerState>,
    worker_starts: BTreeMap<WorkerId, Time>,
    calls: HashMap<CallId, OpenCall>,
    pending_lookups: PendingLookups,
    control_requests: BTreeMap<ControlRequestId, ControlRequest>,
    function_activity: BTreeMap<FunctionId, FunctionActivity>,
    load_failures: LoadFailures,
    next_control_request: u64,
    timers: Wheel<TimerEvent>,
    counters: Counters,
    class_counters: Option<Box<ClassCounterTable>>,
    shutting_down: bool,
    /// Buffers that are reused between steps to avoid allocations.
    actions: Vec<Action>,
    due_timers: Vec<TimerEvent>,
}

impl Dispatcher {
    /// Creates a dispatcher without workers.
    pub fn new(config: DispatchConfig, now: Time) -> Result<Dispatcher, ConfigError> {
        let router =
            Router::new(config.settings.clone(), config.seed, now).map_err(ConfigError::Router)?;
        config.check()?;
        let mut function_names = NameTable::default();
        let mut function_specs = HashMap::new();
        for spec in &config.functions {
            let id = function_names
                .intern(&spec.name)
                .map_err(ConfigError::NameCollision)?;
            function_specs.insert(FunctionId(id), spec.clone());
        }
        Ok(Dispatcher {
            router,
            class_indices: (0..config.classes.len()).collect(),
            class_names: config.classes.clone(),
            conflicting: ConflictingScopes::default(),
            scheduled: VecDeque::new(),
            now,
            function_names,
            function_specs,
            learned_functions: HashSet::new(),
            next_cleanup: now,
            learned_after_cleanup: 0,
            undeliverable_loads: Vec::new(),
            worker_names: NameTable::default(),
            worker_states: BTreeMap::new(),
            worker_starts: BTreeMap::new(),
            calls: HashMap::new(),
            pending_lookups: PendingLookups::default(),
            control_requests: BTreeMap::new(),
            function_activity: BTreeMap::new(),
            load_failures: LoadFailures::default(),
            next_control_request: 0,
            timers: Wheel::new(now.0, TIMER_TICK),
            counters: Counters::default(),
            class_counters: None,
            shutting_down: false,
            actions: Vec::new(),
            due_timers: Vec::new(),
            config,
        })
    }

    /// Handles one input and appends the resulting commands in order. A `now` before that of an earlier step counts as
    /// that earlier time.
    pub fn step(&mut self, now: Time, input: Input, commands: &mut Vec<Command>) {
        self.now = self.now.max(now);
        self.apply_due_settings();
        self.run_due_timers(commands);
        self.expire_pending_lookups(commands);
        self.on_input(input, commands);
        self.report_undeliverable_loads(commands);
        self.remove_unused_names_if_due();
    }

    fn on_input(&mut self, input: Input, commands: &mut Vec<Command>) {
        match input {
            Input::Workers { full, workers } => self.on_worker_list(full, workers, commands),
            Input::WorkerListFailed => {
                let event = Event::Workers {
                    kind: ListKind::Failed,
                    entries: Vec::new(),
                };
                self.notify_router(event, commands);
            }
            Input::Call(call) => self.on_call(call, commands),
            Input::AttemptSent { call, attempt } => self.on_attempt_sent(call, attempt),
            Input::ResponseMessage {
                call,
                attempt,
                last,
            } => self.on_response_message(call, attempt, last, commands),
            Input::AttemptEnded {
                call,
                attempt,
                outcome,
                trailers,
            } => self.on_attempt_ended(call, attempt, outcome, trailers, commands),
            Input::ClientLeft { call } => self.on_client_left(call, commands),
            Input::ControlRequestEnded {
                request,
                outcome,
                trailers,
            } => self.on_control_request_ended(request, outcome, trailers, commands),
            Input::CallWithoutCapacity(call) => self.refuse_for_capacity(&call, commands),
            Input::ConnectionNeeded { only_unlikely } => {
                self.shed_waiting_call(only_unlikely, commands);
            }
            Input::Tick => {}
            Input::Shutdown { grace } => {
                self.shutting_down = true;
                let at = self.now.plus(grace);
                self.timers.set(at.0, TimerEvent::ShutdownGraceOver);
                self.close_pending_lookups(commands);
            }
            Input::CallLookedUp { call, lookup } => self.on_call_looked_up(call, lookup, commands),
            Input::FunctionResolved { function, lookup } => {
                self.on_function_resolved(&function, lookup, commands)
            }
        }
    }
}
