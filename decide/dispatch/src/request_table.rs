//! The open calls and their attempts, the timers, the guards.
//!
//! A call is open from its `Call` input to its one `Answer` (or its client's leaving). An attempt is out from its
//! `Open` command to its `Ended` input; the module hears of its end only then, so a further attempt can't begin
//! while an earlier one may still be open for a worker.

mod calls;
mod control_requests;
pub mod guards;
mod lookups;
mod settings;
mod timers;
mod workers;

use crate::class_counters::ClassCounterTable;
use crate::config::{ConfigError, ConflictingScopes, DispatchConfig, FunctionSpec};
use crate::counters::{outcome_index, Counters};
use crate::message::{
    Answer, Call, CallId, Command, ControlRequestId, FailureReason, FunctionShape, Input,
    WorkerRecord,
};
use crate::missing_functions::{MissingFunction, MissingFunctions};
use crate::names::NameTable;
use crate::outcome::{classify, AttemptOutcome, LoadReport, Trailers};
use crate::pending_lookups::PendingLookups;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use tansy_timer_wheel::{Handle, Wheel};
use tansyrouter as module;
use tansyrouter::{
    Action, Effect, Event, FunctionId, ListKind, Outcome, RequestId, Router, Span, Time, WorkerId,
    WorkerState, SECOND,
};

/// Ticks of the timers, microseconds.
const TICK: Span = 500;
/// Part of a call's budget that is kept back for the answer's way to the client ...
const RESERVE_PART: Span = 16;
/// ... and the most that is, microseconds. A final answer has to arrive while the client still waits.
const RESERVE_MOST: Span = 20_000;
/// The least that is: a timer may be a tick late, and its answer has a way to go.
const RESERVE_LEAST: Span = 2 * TICK;
/// How long trailers may lag behind the last piece before their attempt is withdrawn.
const TRAILERS_WITHIN: Span = SECOND;
/// How often names of what is gone or no longer called are looked for.
const TIDY: Span = SECOND;
/// Idle lives over which a function may stay uncalled, and how much longer its name is kept than the module keeps it.
const FORGET: Span = 4;
const FORGET_LATER: Span = 5 * SECOND;
/// A probe may take so many connect time-outs.
const PROBE_TIMEOUTS: Span = 2;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Its HEADERS are on their way, or have left unasked.
    Opening,
    /// They were to be confirmed.
    Confirming,
    /// They have left.
    Open,
    /// It was withdrawn; the module hears this outcome when that has left.
    Closing(Outcome),
}

struct Attempt {
    number: u32,
    worker: WorkerId,
    sent: Time,
    phase: Phase,
    began: bool,
    timer: Option<Handle>,
}

struct OpenCall {
    function: FunctionId,
    class: usize,
    arrived: Time,
    deadline: Time,
    sent: u32,
    attempt: Option<Attempt>,
    answered: bool,
    last_end: Option<Outcome>,
    /// When the first of its attempts that may have run was chosen.
    ran_from: Option<Time>,
    timer: Option<Handle>,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum OrderKind {
    Probe,
    Load,
    Unload,
}

struct Order {
    kind: OrderKind,
    worker: WorkerId,
    function: FunctionId,
    sent: Time,
    instances: u32,
    withdrawn: bool,
    timer: Option<Handle>,
}

/// What an attempt's time-out waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Until {
    /// Its HEADERS leave.
    Left,
    /// It ends: the module gives it up, or its trailers lag.
    Ended,
    /// Its reset leaves.
    Closed,
}

#[derive(Clone, Copy, Debug)]
enum Due {
    Module(u64),
    Deadline(CallId),
    Attempt(CallId, u32, Until),
    Order(ControlRequestId),
    Close,
}

#[derive(Default)]
struct Believed {
    loading: u32,
    warm_at: Option<Time>,
}

/// The ledger of one front end.
pub struct Dispatcher {
    router: Router,
    /// The settings, with the module's own list of classes.
    config: DispatchConfig,
    /// The module's place of each class of the settings, and its name at each place of the module's.
    places: Vec<usize>,
    class_names: Vec<String>,
    conflicting: ConflictingScopes,
    ends: VecDeque<settings::End>,
    now: Time,
    functions: NameTable,
    specs: HashMap<FunctionId, FunctionSpec>,
    /// Functions learned from calls, and when they were last called, sent, ordered or heard of.
    learned: HashMap<FunctionId, Time>,
    next_tidy: Time,
    /// Orders that a guard held back; the module hears of their end.
    unsent: Vec<(WorkerId, FunctionId)>,
    workers: NameTable,
    states: BTreeMap<WorkerId, WorkerState>,
    started: BTreeMap<WorkerId, Time>,
    calls: HashMap<CallId, OpenCall>,
    parked: PendingLookups,
    order_list: BTreeMap<ControlRequestId, Order>,
    believed: BTreeMap<FunctionId, Believed>,
    lacking: MissingFunctions,
    next_order: u64,
    timers: Wheel<Due>,
    counters: Counters,
    counts: Option<Box<ClassCounterTable>>,
    closing: bool,
    actions: Vec<Action>,
    due: Vec<Due>,
}

impl Dispatcher {
    /// A front that knows no worker yet.
    pub fn new(config: DispatchConfig, now: Time) -> Result<Dispatcher, ConfigError> {
        let router =
            Router::new(config.settings.clone(), config.seed, now).map_err(ConfigError::Router)?;
        config.check()?;
        let (mut functions, mut specs) = (NameTable::default(), HashMap::new());
        for f in &config.functions {
            let id = FunctionId(
                functions
                    .intern(&f.name)
                    .map_err(ConfigError::NameCollision)?,
            );
            specs.insert(id, f.clone());
        }
        Ok(Dispatcher {
            router,
            places: (0..config.classes.len()).collect(),
            class_names: config.classes.clone(),
            conflicting: ConflictingScopes::default(),
            ends: VecDeque::new(),
            now,
            functions,
            specs,
            learned: HashMap::new(),
            next_tidy: now,
            unsent: Vec::new(),
            workers: NameTable::default(),
            states: BTreeMap::new(),
            started: BTreeMap::new(),
            calls: HashMap::new(),
            parked: PendingLookups::default(),
            order_list: BTreeMap::new(),
            believed: BTreeMap::new(),
            lacking: MissingFunctions::default(),
            next_order: 0,
            timers: Wheel::new(now.0, TICK),
            counters: Counters::default(),
            counts: None,
            closing: false,
            actions: Vec::new(),
            due: Vec::new(),
            config,
        })
    }

    /// When [`Input::Tick`] is wanted at the latest.
    pub fn next_due(&self) -> Option<Time> {
        [self.timers.next().map(Time), self.parked.next_due()]
            .into_iter()
            .flatten()
            .min()
    }
    /// The counts.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }
    /// Counts final answers by class from now on.
    pub fn enable_class_counters(&mut self) {
        self.counts.get_or_insert_default();
    }
    /// What is counted is valued by these classes, by name, whatever the settings in use say.
    pub fn set_valuation_classes(&mut self, classes: BTreeMap<String, module::Class>) {
        self.counts
            .get_or_insert_default()
            .set_valuation_classes(classes);
    }
    /// Final answers by class, if they are counted.
    pub fn class_counters(&self) -> Option<&ClassCounterTable> {
        self.counts.as_deref()
    }
    /// A call of the module's class ended, `arrived` then.
    fn counted(&mut self, class: usize, answer: Option<Answer>, arrived: Time) {
        let Some(counts) = &mut self.counts else {
            return;
        };
        if let (Some(name), Some(c)) = (
            self.class_names.get(class),
            self.config.settings.classes.get(class),
        ) {
            counts.record_answer(name, c, answer, self.now.since(arrived));
        }
    }
    /// Calls that were taken and are owed an answer.
    pub fn open_calls(&self) -> usize {
        self.calls.values().filter(|c| !c.answered).count()
    }
    /// Whether nothing is left: no call, no attempt, no order.
    pub fn is_idle(&self) -> bool {
        self.calls.is_empty() && self.parked.is_empty() && self.order_list.is_empty()
    }
    /// Its settings.
    pub fn config(&self) -> &DispatchConfig {
        &self.config
    }
    /// Workers that take work.
    pub fn ready_workers(&self) -> usize {
        self.states
            .values()
            .filter(|s| **s == WorkerState::Ready)
            .count()
    }
    /// Whether calls are taken.
    pub fn is_ready(&self) -> bool {
        !self.closing && !self.conflicting.all && self.ready_workers() > 0
    }
    /// A function by name.
    pub fn function(&self, name: &str) -> Option<&FunctionSpec> {
        self.functions
            .find(name)
            .and_then(|id| self.specs.get(&FunctionId(id)))
    }
    /// What is believed of each function, in the settings' order: its name, `READY`, `LOADING` or `UNAVAILABLE`.
    pub fn function_states(&self) -> Vec<(&FunctionSpec, &'static str)> {
        let state = |f: &FunctionSpec| {
            let b = self
                .functions
                .find(&f.name)
                .and_then(|id| self.believed.get(&FunctionId(id)));
            let fresh = |t: Time| self.now.since(t) < self.config.settings.idle_life;
            match b {
                Some(b) if b.warm_at.is_some_and(fresh) => "READY",
                Some(b) if b.loading > 0 => "LOADING",
                _ => "UNAVAILABLE",
            }
        };
        self.config
            .functions
            .iter()
            .map(|f| (f, state(f)))
            .collect()
    }

    /// Takes one input; what is to be done is added to `out`, in order. Time that runs backwards stands still.
    pub fn step(&mut self, now: Time, input: Input, out: &mut Vec<Command>) {
        self.now = self.now.max(now);
        self.lapse();
        self.expire(out);
        self.parked_due(out);
        match input {
            Input::Workers { full, workers } => self.on_list(full, workers, out),
            Input::WorkerListFailed => {
                self.tell(
                    Event::Workers {
                        kind: ListKind::Failed,
                        entries: Vec::new(),
                    },
                    out,
                );
            }
            Input::Call(call) => self.on_call(call, out),
            Input::AttemptSent { call, attempt } => self.on_opened(call, attempt),
            Input::ResponseMessage {
                call,
                attempt,
                last,
            } => self.on_piece(call, attempt, last, out),
            Input::AttemptEnded {
                call,
                attempt,
                outcome,
                trailers,
            } => self.on_ended(call, attempt, outcome, trailers, out),
            Input::ClientLeft { call } => self.on_left(call, out),
            Input::ControlRequestEnded {
                request,
                outcome,
                trailers,
            } => self.on_order(request, outcome, trailers, out),
            Input::Tick => {}
            Input::Shutdown { grace } => {
                self.closing = true;
                self.timers.set(self.now.plus(grace).0, Due::Close);
                self.close_parked(out);
            }
            Input::CallLookedUp { call, lookup } => self.on_looked(call, lookup, out),
            Input::FunctionResolved { function, lookup } => self.on_found(&function, lookup, out),
        }
        while let Some((worker, function)) = self.unsent.pop() {
            let outcome = Outcome::NotSent;
            self.tell(
                Event::OrderDone {
                    worker,
                    function,
                    outcome,
                    latency: 0,
                    instances: 0,
                },
                out,
            );
        }
        if self.now >= self.next_tidy {
            self.next_tidy = self.now.plus(TIDY);
            self.tidy();
        }
    }

    /// Forgets learned functions that the module has forgotten, and workers that are gone and have nothing out.
    fn tidy(&mut self) {
        let settings = &self.config.settings;
        let long = settings
            .idle_life
            .saturating_mul(FORGET)
            .max(settings.order_timeout)
            + FORGET_LATER;
        let mut busy: BTreeSet<u64> = self.calls.values().map(|c| c.function.0).collect();
        let mut holds: BTreeSet<u64> = self.states.keys().map(|w| w.0).collect();
        holds.extend(
            self.calls
                .values()
                .filter_map(|c| c.attempt.as_ref())
                .map(|a| a.worker.0),
        );
        for o in self.order_list.values() {
            busy.insert(o.function.0);
            holds.insert(o.worker.0);
        }
        let now = self.now;
        let (functions, specs, believed) =
            (&mut self.functions, &mut self.specs, &mut self.believed);
        self.learned.retain(|f, last| {
            let stays = busy.contains(&f.0) || now.since(*last) < long;
            if !stays {
                functions.forget(f.0);
                specs.remove(f);
                believed.remove(f);
            }
            stays
        });
        self.workers.retain(|id| holds.contains(&id));
    }

    /// The function of a call: one of the settings, or one that calls have told of.
    fn function_of(&mut self, call: &Call) -> Option<FunctionId> {
        let known = self.functions.find(&call.function).map(FunctionId);
        let Some(shape) = call.shape else {
            return known;
        };
        let id = match known {
            Some(id) => id,
            None => FunctionId(self.functions.intern(&call.function).ok()?),
        };
        if known.is_none() || self.learned.contains_key(&id) {
            self.learned.insert(id, self.now);
            let spec = self.specs.entry(id).or_insert_with(|| FunctionSpec {
                name: call.function.clone(),
                class: 0,
                lanes: shape.lanes,
                memory_mb: shape.memory_mb,
                load_time: shape.load_time,
                versions: Vec::new(),
            });
            (spec.lanes, spec.memory_mb, spec.load_time) =
                (shape.lanes, shape.memory_mb, shape.load_time);
        }
        Some(id)
    }

    fn used(&mut self, function: FunctionId) {
        if let Some(last) = self.learned.get_mut(&function) {
            *last = self.now;
        }
    }

    /// Functions and workers whose names are held.
    pub fn name_counts(&self) -> (usize, usize) {
        (self.functions.len(), self.workers.len())
    }

    // ---- To the module and back ----

    fn tell(&mut self, event: Event, out: &mut Vec<Command>) {
        let mut actions = std::mem::take(&mut self.actions);
        self.router.handle(self.now, event, &mut actions);
        for action in actions.drain(..) {
            self.act(action, out);
        }
        self.actions = actions;
    }

    fn act(&mut self, action: Action, out: &mut Vec<Command>) {
        match action {
            Action::Send {
                request,
                worker,
                give_up,
            } => self.open_attempt(CallId(request.0), worker, give_up, out),
            Action::Refuse { request, stay_away } => {
                let id = CallId(request.0);
                let stay_away = self.advice(id, stay_away);
                self.answer(
                    id,
                    Answer::Refused {
                        retry_after: stay_away,
                    },
                    out,
                )
            }
            Action::Fail { request } => {
                let id = CallId(request.0);
                let why = self
                    .calls
                    .get(&id)
                    .map_or(FailureReason::Deadline, |c| self.why(c));
                self.answer(id, Answer::Failed(why), out)
            }
            Action::Cancel { request, attempt } => {
                let id = CallId(request.0);
                if self
                    .calls
                    .get(&id)
                    .and_then(|c| c.attempt.as_ref())
                    .is_some_and(|a| a.number == attempt)
                {
                    self.withdraw(id, Outcome::Cancelled, out);
                }
            }
            Action::Probe { worker } => self.order(OrderKind::Probe, worker, FunctionId(0), 0, out),
            Action::Load {
                worker,
                function,
                instances,
            } => self.order(OrderKind::Load, worker, function, instances, out),
            Action::Unload { worker, function } => {
                self.order(OrderKind::Unload, worker, function, 0, out)
            }
            Action::SetTimer { at, token } => {
                self.timers.set(at.0, Due::Module(token));
            }
            Action::FetchList => out.push(Command::FetchWorkerList),
            Action::Subscribe => out.push(Command::SubscribeWorkerList),
        }
    }

    /// How long a refused client should stay away. Where the module gives no advice it is the class's aim, as far as
    /// clients heed any: no worker could take the call within it, so none will before what waits now has passed.
    fn advice(&self, id: CallId, given: Span) -> Span {
        let settings = &self.config.settings;
        let aim = self
            .calls
            .get(&id)
            .map_or(0, |c| settings.classes[c.class].aim);
        if given > 0 { given } else { aim }.min(settings.max_stay_away)
    }

    fn why(&self, call: &OpenCall) -> FailureReason {
        match call.last_end {
            _ if self.now >= call.deadline => FailureReason::Deadline,
            Some(Outcome::ConnectionLost | Outcome::ConnectFailed) => FailureReason::ConnectionLost,
            Some(Outcome::Error) => FailureReason::WorkerFailed,
            _ => FailureReason::Deadline,
        }
    }

    /// The class of an open call, for logs.
    pub fn class_of(&self, id: CallId) -> Option<&str> {
        let class = self.calls.get(&id)?.class;
        self.class_names.get(class).map(String::as_str)
    }
}
