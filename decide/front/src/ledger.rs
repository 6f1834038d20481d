//! The open calls and their attempts, the timers, the guards.
//!
//! A call is open from its `Call` input to its one `Answer` (or its client's leaving). An attempt is out from its
//! `Open` command to its `Ended` input; the module hears of its end only then, so a further attempt can't begin
//! while an earlier one may still be open for a worker.

use crate::account::{place, Account};
use crate::ids::{Collision, Names};
use crate::lacking::{Lack, Lacking};
use crate::outcome::{verdict, Report, Seen, Told};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use tansy_wheel::{Handle, Wheel};
use tansyrouter as module;
use tansyrouter::{
    Action, Event, FunctionId, ListKind, Outcome, RequestId, Router, Span, Time, WorkerId, WorkerState,
    SECOND,
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

/// A call's number at this front end; never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CallId(pub u64);

/// The number of a probe or an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct OrderId(pub u64);

/// A function that may be called.
#[derive(Clone, Debug, PartialEq)]
pub struct FunctionSpec {
    /// Its name on the wire: `model_name`.
    pub name: String,
    /// Its class's place in the settings, for calls that name none.
    pub class: usize,
    /// Calls that one instance runs at a time.
    pub lanes: u32,
    /// Memory of one instance, MB.
    pub memory_mb: f64,
    /// Usual time of a load, if known.
    pub load_time: Option<Span>,
    /// The versions that are named to clients.
    pub versions: Vec<String>,
}

/// What a call tells of its function, where functions are not named in the settings.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Shape {
    /// Calls that one instance runs at a time.
    pub lanes: u32,
    /// Memory of one instance, MB.
    pub memory_mb: f64,
    /// Usual time of a load, microseconds, if told.
    pub load_time: Option<Span>,
}

/// What a front is made of.
#[derive(Clone, Debug)]
pub struct Config {
    /// The module's settings.
    pub settings: module::Settings,
    /// Names of the classes, in the settings' order.
    pub classes: Vec<String>,
    /// Names of the tenants, in the settings' order.
    pub tenants: Vec<String>,
    /// Names of the zones; a zone's number is its place.
    pub zones: Vec<String>,
    /// The functions.
    pub functions: Vec<FunctionSpec>,
    /// A call may not take longer than this, whatever its client says.
    pub longest: Span,
    /// Seed of the module's random numbers.
    pub seed: u64,
}

/// A call as its protocol told it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Call {
    /// Its number.
    pub call: CallId,
    /// The function's name.
    pub function: String,
    /// Its class, if the call names one that exists; else the function's.
    pub class: Option<usize>,
    /// Its tenant; 0 if it names none.
    pub tenant: usize,
    /// What its client gives it, microseconds; none: the class's deadline.
    pub budget: Option<Span>,
    /// Its work, roughly, microseconds.
    pub hint: Option<Span>,
    /// The client marked it as a repeat.
    pub repeat: bool,
    /// What it tells of its function; a function that the settings don't name is learned from it.
    #[serde(default)]
    pub shape: Option<Shape>,
}

/// One line of a list of workers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Listed {
    /// The worker's name: the same at every front end.
    pub name: String,
    /// Its machine kind.
    pub kind: usize,
    /// Its cell.
    pub cell: u64,
    /// Its zone.
    pub zone: usize,
    /// `0` ready, `1` draining, `2` gone.
    pub state: u8,
    /// How long ago it started, microseconds, if told.
    pub age: Option<Span>,
    /// A figure to compare its size with others'.
    pub share: f64,
}

/// What a front is told.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Input {
    /// The whole list of workers (`whole`), or changes to it.
    Workers {
        /// A worker not named is gone.
        whole: bool,
        /// The entries.
        list: Vec<Listed>,
    },
    /// Asking for the list failed.
    ListFailed,
    /// A call came in.
    Call(Call),
    /// The HEADERS of an attempt have left: asked for by `Confirm`, and implied by whatever comes back.
    Opened {
        /// The call.
        call: CallId,
        /// The attempt.
        attempt: u32,
    },
    /// A piece of a streamed answer came.
    Piece {
        /// The call.
        call: CallId,
        /// The attempt.
        attempt: u32,
        /// It is the last one.
        last: bool,
    },
    /// An attempt ended: exactly one for each `Open`.
    Ended {
        /// The call.
        call: CallId,
        /// The attempt.
        attempt: u32,
        /// How.
        seen: Seen,
        /// What its trailers told.
        told: Told,
    },
    /// The client cancelled, or its connection ended.
    ClientLeft {
        /// The call.
        call: CallId,
    },
    /// A probe or order ended: exactly one for each.
    OrderEnded {
        /// Which.
        order: OrderId,
        /// How.
        seen: Seen,
        /// What its trailers told.
        told: Told,
    },
    /// Time has passed.
    Tick,
    /// Calls are no longer taken; those still open after `within` fail.
    Close {
        /// Microseconds from now.
        within: Span,
    },
}

/// Why a call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Why {
    /// Its time is up.
    Deadline,
    /// A worker's connection was lost while the call may have been running.
    Lost,
    /// A worker failed.
    Worker,
    /// The front end closes.
    Closing,
}

/// A final answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// What the attempt brought.
    Served,
    /// The worker's status as it came: the function's own verdict.
    Passed,
    /// Trying again is harmless.
    Refused {
        /// Advice to wait so long, microseconds; 0: none.
        stay_away: Span,
    },
    /// Nothing is promised.
    Failed(Why),
    /// No such function.
    Unknown,
}

/// What a front wants done, in this order.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Open an attempt: send the call's request to the worker.
    Open {
        /// The call.
        call: CallId,
        /// The attempt's number, from 0.
        attempt: u32,
        /// The worker's name.
        worker: String,
        /// What is left of the call's time, microseconds.
        budget: Span,
    },
    /// Close an attempt: reset its stream, then report its end.
    Withdraw {
        /// The call.
        call: CallId,
        /// The attempt.
        attempt: u32,
    },
    /// If the HEADERS of an attempt have left, say so (`Opened`); if not, withdraw it.
    Confirm {
        /// The call.
        call: CallId,
        /// The attempt.
        attempt: u32,
    },
    /// Pass the piece just told on to the client.
    Pass {
        /// The call.
        call: CallId,
    },
    /// Give the client its one final answer.
    Answer {
        /// The call.
        call: CallId,
        /// The answer.
        answer: Answer,
    },
    /// Ask a worker for its load.
    Probe {
        /// The probe.
        order: OrderId,
        /// The worker.
        worker: String,
    },
    /// Have a worker hold at least so many instances; 0 only asks.
    Load {
        /// The order.
        order: OrderId,
        /// The worker.
        worker: String,
        /// The function.
        function: String,
        /// How many.
        instances: u32,
    },
    /// Have a worker unload idle instances.
    Unload {
        /// The order.
        order: OrderId,
        /// The worker.
        worker: String,
        /// The function.
        function: String,
    },
    /// If nothing of an order has left, take it back, then report its end.
    Recall {
        /// Which.
        order: OrderId,
    },
    /// Give up on a probe or an order, then report its end.
    WithdrawOrder {
        /// Which.
        order: OrderId,
    },
    /// Drop the connection to a worker at once: it takes nothing.
    Drop {
        /// The worker.
        worker: String,
    },
    /// The worker has left: close its connection once nothing is open on it.
    Retire {
        /// The worker.
        worker: String,
    },
    /// Tell the operator: a worker's orders leave nothing.
    Tell {
        /// The worker.
        worker: String,
        /// The function of the last one.
        function: String,
        /// How that one ended.
        seen: Seen,
        /// Orders in vain since the last one that left an instance.
        count: u64,
    },
    /// Fetch the whole list once.
    FetchList,
    /// Have changes of the list sent from here on.
    Subscribe,
}

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
    deadline: Time,
    sent: u32,
    attempt: Option<Attempt>,
    answered: bool,
    last_end: Option<Outcome>,
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
    Order(OrderId),
    Close,
}

#[derive(Default)]
struct Believed {
    loading: u32,
    warm_at: Option<Time>,
}

/// The ledger of one front end.
pub struct Front {
    router: Router,
    config: Config,
    now: Time,
    functions: Names,
    specs: HashMap<FunctionId, FunctionSpec>,
    /// Functions learned from calls, and when they were last called, sent, ordered or heard of.
    learned: HashMap<FunctionId, Time>,
    next_tidy: Time,
    /// Orders that a guard held back; the module hears of their end.
    unsent: Vec<(WorkerId, FunctionId)>,
    workers: Names,
    states: BTreeMap<WorkerId, WorkerState>,
    started: BTreeMap<WorkerId, Time>,
    calls: HashMap<CallId, OpenCall>,
    order_list: BTreeMap<OrderId, Order>,
    believed: BTreeMap<FunctionId, Believed>,
    lacking: Lacking,
    next_order: u64,
    timers: Wheel<Due>,
    account: Account,
    closing: bool,
    actions: Vec<Action>,
    due: Vec<Due>,
}

/// Settings that can't make a front.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BadConfig {
    /// The module won't take them.
    Module(module::BadSettings),
    /// Two functions share a number.
    Collision(Collision),
    /// A function names a class that is not there.
    NoClass(String),
}

impl std::fmt::Display for BadConfig {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            BadConfig::Module(e) => e.fmt(f),
            BadConfig::Collision(e) => e.fmt(f),
            BadConfig::NoClass(name) => write!(f, "function {name:?} names a class that is not there"),
        }
    }
}
impl std::error::Error for BadConfig {}

impl Front {
    /// A front that knows no worker yet.
    pub fn new(config: Config, now: Time) -> Result<Front, BadConfig> {
        let router = Router::new(config.settings.clone(), config.seed, now).map_err(BadConfig::Module)?;
        let (mut functions, mut specs) = (Names::default(), HashMap::new());
        for f in &config.functions {
            if f.class >= config.settings.classes.len() {
                return Err(BadConfig::NoClass(f.name.clone()));
            }
            let id = FunctionId(functions.take(&f.name).map_err(BadConfig::Collision)?);
            specs.insert(id, f.clone());
        }
        Ok(Front {
            router,
            now,
            functions,
            specs,
            learned: HashMap::new(),
            next_tidy: now,
            unsent: Vec::new(),
            workers: Names::default(),
            states: BTreeMap::new(),
            started: BTreeMap::new(),
            calls: HashMap::new(),
            order_list: BTreeMap::new(),
            believed: BTreeMap::new(),
            lacking: Lacking::default(),
            next_order: 0,
            timers: Wheel::new(now.0, TICK),
            account: Account::default(),
            closing: false,
            actions: Vec::new(),
            due: Vec::new(),
            config,
        })
    }

    /// When [`Input::Tick`] is wanted at the latest.
    pub fn next_due(&self) -> Option<Time> {
        self.timers.next().map(Time)
    }
    /// The counts.
    pub fn account(&self) -> &Account {
        &self.account
    }
    /// Calls that are owed an answer.
    pub fn open(&self) -> usize {
        self.calls.values().filter(|c| !c.answered).count()
    }
    /// Whether nothing is left: no call, no attempt, no order.
    pub fn idle(&self) -> bool {
        self.calls.is_empty() && self.order_list.is_empty()
    }
    /// Its settings.
    pub fn config(&self) -> &Config {
        &self.config
    }
    /// Workers that take work.
    pub fn ready_workers(&self) -> usize {
        self.states.values().filter(|s| **s == WorkerState::Ready).count()
    }
    /// Whether calls are taken.
    pub fn ready(&self) -> bool {
        !self.closing && self.ready_workers() > 0
    }
    /// A function by name.
    pub fn function(&self, name: &str) -> Option<&FunctionSpec> {
        self.functions.find(name).and_then(|id| self.specs.get(&FunctionId(id)))
    }
    /// What is believed of each function, in the settings' order: its name, `READY`, `LOADING` or `UNAVAILABLE`.
    pub fn index(&self) -> Vec<(&FunctionSpec, &'static str)> {
        let state = |f: &FunctionSpec| {
            let b = self.functions.find(&f.name).and_then(|id| self.believed.get(&FunctionId(id)));
            let fresh = |t: Time| self.now.since(t) < self.config.settings.idle_life;
            match b {
                Some(b) if b.warm_at.is_some_and(fresh) => "READY",
                Some(b) if b.loading > 0 => "LOADING",
                _ => "UNAVAILABLE",
            }
        };
        self.config.functions.iter().map(|f| (f, state(f))).collect()
    }

    /// Takes one input; what is to be done is added to `out`, in order. Time that runs backwards stands still.
    pub fn step(&mut self, now: Time, input: Input, out: &mut Vec<Command>) {
        self.now = self.now.max(now);
        self.expire(out);
        match input {
            Input::Workers { whole, list } => self.on_list(whole, list, out),
            Input::ListFailed => {
                self.tell(Event::Workers { kind: ListKind::Failed, entries: Vec::new() }, out);
            }
            Input::Call(call) => self.on_call(call, out),
            Input::Opened { call, attempt } => self.on_opened(call, attempt),
            Input::Piece { call, attempt, last } => self.on_piece(call, attempt, last, out),
            Input::Ended { call, attempt, seen, told } => self.on_ended(call, attempt, seen, told, out),
            Input::ClientLeft { call } => self.on_left(call, out),
            Input::OrderEnded { order, seen, told } => self.on_order(order, seen, told, out),
            Input::Tick => {}
            Input::Close { within } => {
                self.closing = true;
                self.timers.set(self.now.plus(within).0, Due::Close);
            }
        }
        while let Some((worker, function)) = self.unsent.pop() {
            let outcome = Outcome::NotSent;
            self.tell(Event::OrderDone { worker, function, outcome, latency: 0, instances: 0 }, out);
        }
        if self.now >= self.next_tidy {
            self.next_tidy = self.now.plus(TIDY);
            self.tidy();
        }
    }

    /// Forgets learned functions that the module has forgotten, and workers that are gone and have nothing out.
    fn tidy(&mut self) {
        let settings = &self.config.settings;
        let long = settings.idle_life.saturating_mul(FORGET).max(settings.order_timeout) + FORGET_LATER;
        let mut busy: BTreeSet<u64> = self.calls.values().map(|c| c.function.0).collect();
        let mut holds: BTreeSet<u64> = self.states.keys().map(|w| w.0).collect();
        holds.extend(self.calls.values().filter_map(|c| c.attempt.as_ref()).map(|a| a.worker.0));
        for o in self.order_list.values() {
            busy.insert(o.function.0);
            holds.insert(o.worker.0);
        }
        let now = self.now;
        let (functions, specs, believed) = (&mut self.functions, &mut self.specs, &mut self.believed);
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
        let Some(shape) = call.shape else { return known };
        let id = match known {
            Some(id) => id,
            None => FunctionId(self.functions.take(&call.function).ok()?),
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
            (spec.lanes, spec.memory_mb, spec.load_time) = (shape.lanes, shape.memory_mb, shape.load_time);
        }
        Some(id)
    }

    fn used(&mut self, function: FunctionId) {
        if let Some(last) = self.learned.get_mut(&function) {
            *last = self.now;
        }
    }

    /// Functions and workers whose names are held.
    pub fn held(&self) -> (usize, usize) {
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
            Action::Send { request, worker, give_up } => {
                self.open_attempt(CallId(request.0), worker, give_up, out)
            }
            Action::Refuse { request, stay_away } => {
                let id = CallId(request.0);
                let stay_away = self.advice(id, stay_away);
                self.answer(id, Answer::Refused { stay_away }, out)
            }
            Action::Fail { request } => {
                let id = CallId(request.0);
                let why = self.calls.get(&id).map_or(Why::Deadline, |c| self.why(c));
                self.answer(id, Answer::Failed(why), out)
            }
            Action::Cancel { request, attempt } => {
                let id = CallId(request.0);
                if self.calls.get(&id).and_then(|c| c.attempt.as_ref()).is_some_and(|a| a.number == attempt) {
                    self.withdraw(id, Outcome::Cancelled, out);
                }
            }
            Action::Probe { worker } => self.order(OrderKind::Probe, worker, FunctionId(0), 0, out),
            Action::Load { worker, function, instances } => {
                self.order(OrderKind::Load, worker, function, instances, out)
            }
            Action::Unload { worker, function } => self.order(OrderKind::Unload, worker, function, 0, out),
            Action::SetTimer { at, token } => {
                self.timers.set(at.0, Due::Module(token));
            }
            Action::FetchList => out.push(Command::FetchList),
            Action::Subscribe => out.push(Command::Subscribe),
        }
    }

    /// How long a refused client should stay away. Where the module gives no advice it is the class's aim, as far as
    /// clients heed any: no worker could take the call within it, so none will before what waits now has passed.
    fn advice(&self, id: CallId, given: Span) -> Span {
        let settings = &self.config.settings;
        let aim = self.calls.get(&id).map_or(0, |c| settings.classes[c.class].aim);
        if given > 0 { given } else { aim }.min(settings.max_stay_away)
    }

    fn why(&self, call: &OpenCall) -> Why {
        match call.last_end {
            _ if self.now >= call.deadline => Why::Deadline,
            Some(Outcome::ConnectionLost | Outcome::ConnectFailed) => Why::Lost,
            Some(Outcome::Error) => Why::Worker,
            _ => Why::Deadline,
        }
    }

    // ---- Workers ----

    fn on_list(&mut self, whole: bool, list: Vec<Listed>, out: &mut Vec<Command>) {
        let mut entries = Vec::with_capacity(list.len());
        let mut named = BTreeSet::new();
        for l in list {
            // Two names with one number would be one worker for the module: the later one is left out.
            let Ok(id) = self.workers.take(&l.name) else { continue };
            let worker = WorkerId(id);
            let state = match l.state {
                0 => WorkerState::Ready,
                1 => WorkerState::Draining,
                _ => WorkerState::Gone,
            };
            let started = l.age.map(|age| self.since(worker, self.now.plus(-age.max(0))));
            named.insert(worker);
            self.note_state(worker, state, out);
            let share = l.share;
            entries.push(module::WorkerEntry {
                worker,
                kind: l.kind,
                cell: l.cell,
                zone: l.zone,
                state,
                started,
                share,
            });
        }
        if whole {
            let left: Vec<WorkerId> = self.states.keys().copied().filter(|w| !named.contains(w)).collect();
            for worker in left {
                self.note_state(worker, WorkerState::Gone, out);
            }
        }
        let kind = if whole { ListKind::Full } else { ListKind::Changes };
        self.tell(Event::Workers { kind, entries }, out);
    }

    /// A worker's start as one moment: its age, read at different times, wavers by the list's way, and a start
    /// that wavers would look like a restart.
    fn since(&mut self, worker: WorkerId, at: Time) -> Time {
        let known = self.started.get(&worker).copied();
        let start = known.filter(|t| at.since(*t).abs() < SECOND / 2).unwrap_or(at);
        self.started.insert(worker, start);
        start
    }

    fn note_state(&mut self, worker: WorkerId, state: WorkerState, out: &mut Vec<Command>) {
        let before = self.states.insert(worker, state);
        if state == WorkerState::Gone {
            if before.is_some_and(|b| b != WorkerState::Gone) {
                out.extend(self.name(worker).map(|worker| Command::Retire { worker }));
            }
            self.states.remove(&worker);
            self.lacking.forget(worker);
            self.started.remove(&worker);
        }
        if state != WorkerState::Ready {
            // Rule 3: an attempt that has not left yet may not leave late.
            let opening = self.calls.iter().filter(|(_, c)| {
                c.attempt.as_ref().is_some_and(|a| a.worker == worker && a.phase == Phase::Opening)
            });
            let mut opening: Vec<CallId> = opening.map(|(id, _)| *id).collect();
            opening.sort();
            for id in opening {
                self.confirm(id, out);
            }
            // Nor may an order to load; asking is free at any time.
            let loads = self.order_list.iter().filter(|(_, o)| o.worker == worker && o.instances > 0);
            out.extend(loads.map(|(order, _)| Command::Recall { order: *order }));
        }
    }

    fn name(&self, worker: WorkerId) -> Option<String> {
        self.workers.name(worker.0).map(str::to_string)
    }

    // ---- Calls ----

    fn on_call(&mut self, call: Call, out: &mut Vec<Command>) {
        let id = call.call;
        if self.calls.contains_key(&id) {
            return;
        }
        let spec = self.function_of(&call).and_then(|f| self.specs.get(&f));
        let Some(spec) = spec else {
            self.account.unknown += 1;
            out.push(Command::Answer { call: id, answer: Answer::Unknown });
            return;
        };
        self.account.taken += 1;
        // Nothing was sent for it: a refusal is right for every class. Another front end may take it at once while
        // this one closes; one that is full is full for a while.
        if self.closing || self.calls.len() >= self.config.settings.max_held {
            let full = self.config.settings.classes[spec.class].aim.min(self.config.settings.max_stay_away);
            let stay_away = if self.closing { 0 } else { full };
            self.account.refused += 1;
            out.push(Command::Answer { call: id, answer: Answer::Refused { stay_away } });
            return;
        }
        let class = call.class.filter(|c| *c < self.config.settings.classes.len()).unwrap_or(spec.class);
        let told = call.budget.unwrap_or(self.config.settings.classes[class].deadline);
        let told = told.clamp(0, self.config.longest);
        let budget = (told - (told / RESERVE_PART).clamp(RESERVE_LEAST, RESERVE_MOST)).max(0);
        let function = FunctionId(crate::ids::number(&spec.name));
        let arrival = module::Arrival {
            request: RequestId(id.0),
            function,
            class,
            tenant: call.tenant,
            budget,
            work_hint: call.hint,
            lanes: spec.lanes,
            memory_mb: spec.memory_mb,
            load_time: spec.load_time,
            repeat: call.repeat,
        };
        let deadline = self.now.plus(budget);
        let timer = Some(self.timers.set(deadline.0, Due::Deadline(id)));
        let open = OpenCall {
            function,
            class,
            deadline,
            sent: 0,
            attempt: None,
            answered: false,
            last_end: None,
            timer,
        };
        self.calls.insert(id, open);
        self.tell(Event::Arrival(arrival), out);
    }

    fn open_attempt(&mut self, id: CallId, worker: WorkerId, give_up: Option<Time>, out: &mut Vec<Command>) {
        let ready = self.states.get(&worker) == Some(&WorkerState::Ready);
        let name = self.workers.name(worker.0).map(str::to_string);
        let connect = self.config.settings.connect_timeout;
        let Some(c) = self.calls.get_mut(&id) else {
            self.account.guarded += 1;
            return;
        };
        let number = c.sent;
        c.sent += 1;
        // Guards of rules 1, 2 and 3 behind the module's own: what it never does is not done if it errs either.
        let may = !c.answered && c.attempt.is_none() && ready;
        let Some(name) = name.filter(|_| may) else {
            debug_assert!(false, "the module sent {id:?} to {worker:?}: answered {}", c.answered);
            self.account.guarded += 1;
            return;
        };
        let budget = c.deadline.since(self.now);
        let due = Due::Attempt(id, number, Until::Left);
        let timer = Some(self.timers.set(self.now.plus(connect).0, due));
        c.attempt =
            Some(Attempt { number, worker, sent: self.now, phase: Phase::Opening, began: false, timer });
        if let Some(at) = give_up {
            self.timers.set(at.0, Due::Attempt(id, number, Until::Ended));
        }
        self.account.attempts += 1;
        out.push(Command::Open { call: id, attempt: number, worker: name, budget });
    }

    fn on_opened(&mut self, id: CallId, attempt: u32) {
        let Some(a) = self.calls.get_mut(&id).and_then(|c| c.attempt.as_mut()) else { return };
        if a.number == attempt && matches!(a.phase, Phase::Opening | Phase::Confirming) {
            a.phase = Phase::Open;
            if let Some(timer) = a.timer.take() {
                self.timers.clear(timer);
            }
        }
    }

    fn on_piece(&mut self, id: CallId, attempt: u32, last: bool, out: &mut Vec<Command>) {
        let Some(c) = self.calls.get_mut(&id).filter(|c| !c.answered) else { return };
        let Some(a) = c.attempt.as_mut().filter(|a| a.number == attempt) else { return };
        if matches!(a.phase, Phase::Closing(_)) {
            return;
        }
        a.phase = Phase::Open;
        let first = !std::mem::replace(&mut a.began, true);
        self.account.pieces += 1;
        if first {
            self.tell(Event::StreamBegan { request: RequestId(id.0), attempt }, out);
        }
        out.push(Command::Pass { call: id });
        if last {
            self.answer(id, Answer::Served, out);
        }
    }

    fn on_ended(&mut self, id: CallId, attempt: u32, seen: Seen, told: Told, out: &mut Vec<Command>) {
        let Some(c) = self.calls.get_mut(&id) else { return };
        let Some(a) = c.attempt.take_if(|a| a.number == attempt) else { return };
        if let Some(timer) = a.timer {
            self.timers.clear(timer);
        }
        let verdict = verdict(seen, &told);
        let outcome = match a.phase {
            // Withdrawn: it may have run, unless its end proves otherwise.
            Phase::Closing(reason) if !verdict.outcome.never_ran() => reason,
            // Its client left before the connection stood: that says nothing of the worker.
            Phase::Closing(Outcome::Cancelled) if seen == Seen::ConnectTimedOut => Outcome::NotSent,
            _ => verdict.outcome,
        };
        c.last_end = Some(outcome);
        let (function, answered, began) = (c.function, c.answered, a.began);
        self.used(function);
        self.account.ends[place(outcome)] += 1;
        if outcome == Outcome::Served {
            self.believed.entry(function).or_default().warm_at = Some(self.now);
        }
        // An answer that has begun is its client's: no other may follow it, so an end in the middle is final.
        let ends = outcome == Outcome::Served || verdict.final_status || began;
        if !answered && ends {
            let answer = match outcome {
                Outcome::Served => Answer::Served,
                _ if verdict.final_status => Answer::Passed,
                Outcome::ConnectionLost => Answer::Failed(Why::Lost),
                Outcome::TimedOut | Outcome::Cancelled => Answer::Failed(Why::Deadline),
                _ => Answer::Failed(Why::Worker),
            };
            self.answer(id, answer, out);
        }
        let done = module::AttemptDone {
            request: RequestId(id.0),
            attempt,
            worker: a.worker,
            outcome,
            concluded: answered || ends,
            latency: self.now.since(a.sent),
            note: told.note.into(),
            crowd: told.crowd,
            report: told.report.map(Report::into),
        };
        self.tell(Event::AttemptDone(done), out);
        self.settle(id);
    }

    fn on_left(&mut self, id: CallId, out: &mut Vec<Command>) {
        let Some(c) = self.calls.get_mut(&id).filter(|c| !c.answered) else { return };
        c.answered = true;
        self.account.departed += 1;
        self.tell(Event::Departed { request: RequestId(id.0) }, out);
        self.withdraw(id, Outcome::Cancelled, out);
        self.settle(id);
    }

    /// The one place where a call is answered: rule 1's exactly once.
    fn answer(&mut self, id: CallId, answer: Answer, out: &mut Vec<Command>) {
        let Some(c) = self.calls.get_mut(&id).filter(|c| !c.answered) else {
            debug_assert!(false, "a second answer to {id:?}");
            self.account.guarded += 1;
            return;
        };
        c.answered = true;
        match answer {
            Answer::Served => self.account.served += 1,
            Answer::Refused { .. } => self.account.refused += 1,
            Answer::Passed | Answer::Failed(_) | Answer::Unknown => self.account.failed += 1,
        }
        out.push(Command::Answer { call: id, answer });
        if answer == Answer::Served {
            // Its trailers may lag, but not for ever.
            if let Some(a) = c.attempt.as_mut() {
                let due = Due::Attempt(id, a.number, Until::Ended);
                if let Some(timer) = a.timer.take() {
                    self.timers.clear(timer);
                }
                a.timer = Some(self.timers.set(self.now.plus(TRAILERS_WITHIN).0, due));
            }
        } else {
            self.withdraw(id, Outcome::TimedOut, out);
        }
        self.settle(id);
    }

    fn confirm(&mut self, id: CallId, out: &mut Vec<Command>) {
        let Some(a) = self.calls.get_mut(&id).and_then(|c| c.attempt.as_mut()) else { return };
        a.phase = Phase::Confirming;
        if let Some(timer) = a.timer.take() {
            self.timers.clear(timer);
        }
        let at = self.now.plus(self.config.settings.connect_timeout);
        a.timer = Some(self.timers.set(at.0, Due::Attempt(id, a.number, Until::Left)));
        out.push(Command::Confirm { call: id, attempt: a.number });
    }

    fn withdraw(&mut self, id: CallId, reason: Outcome, out: &mut Vec<Command>) {
        let Some(a) = self.calls.get_mut(&id).and_then(|c| c.attempt.as_mut()) else { return };
        if matches!(a.phase, Phase::Closing(_)) {
            return;
        }
        a.phase = Phase::Closing(reason);
        if let Some(timer) = a.timer.take() {
            self.timers.clear(timer);
        }
        // What can't leave in time for a connection won't leave at all.
        let at = self.now.plus(self.config.settings.connect_timeout);
        a.timer = Some(self.timers.set(at.0, Due::Attempt(id, a.number, Until::Closed)));
        out.push(Command::Withdraw { call: id, attempt: a.number });
    }

    /// Forgets a call that is owed nothing and has nothing out.
    fn settle(&mut self, id: CallId) {
        if self.calls.get(&id).is_some_and(|c| c.answered && c.attempt.is_none()) {
            if let Some(timer) = self.calls.remove(&id).and_then(|c| c.timer) {
                self.timers.clear(timer);
            }
        }
    }

    // ---- Orders ----

    fn order(
        &mut self,
        kind: OrderKind,
        worker: WorkerId,
        function: FunctionId,
        n: u32,
        out: &mut Vec<Command>,
    ) {
        let ready = self.states.get(&worker) == Some(&WorkerState::Ready);
        let settings = &self.config.settings;
        let (limit, connect) = (settings.order_timeout, settings.connect_timeout);
        let names = self.name(worker).zip(match kind {
            OrderKind::Probe => Some(String::new()),
            _ => self.functions.name(function.0).map(str::to_string),
        });
        let Some((worker_name, name)) = names.filter(|_| ready) else {
            // Rule 3 for orders, and an order that nobody takes must end for the module.
            self.account.guarded += 1;
            debug_assert!(ready, "an order to {worker:?}, which takes none");
            if kind == OrderKind::Load {
                self.unsent.push((worker, function));
            }
            return;
        };
        self.used(function);
        let order = OrderId(self.next_order);
        self.next_order += 1;
        let span = if kind == OrderKind::Probe { PROBE_TIMEOUTS * connect } else { limit };
        let timer = Some(self.timers.set(self.now.plus(span).0, Due::Order(order)));
        let o = Order { kind, worker, function, sent: self.now, instances: n, withdrawn: false, timer };
        self.order_list.insert(order, o);
        out.push(match kind {
            OrderKind::Probe => {
                self.account.probes += 1;
                Command::Probe { order, worker: worker_name }
            }
            OrderKind::Load => {
                if n > 0 {
                    self.account.loads += 1;
                    self.believed.entry(function).or_default().loading += 1;
                } else {
                    self.account.asks += 1;
                }
                Command::Load { order, worker: worker_name, function: name, instances: n }
            }
            OrderKind::Unload => {
                self.account.unloads += 1;
                Command::Unload { order, worker: worker_name, function: name }
            }
        });
    }

    fn on_order(&mut self, order: OrderId, seen: Seen, told: Told, out: &mut Vec<Command>) {
        let Some(o) = self.order_list.remove(&order) else { return };
        if let Some(timer) = o.timer {
            self.timers.clear(timer);
        }
        // The answer to an order or a probe is its status; it need not carry pieces.
        let outcome = match seen {
            Seen::Status { code: 0, .. } => Outcome::Served,
            _ if o.withdrawn => Outcome::TimedOut,
            _ => verdict(seen, &told).outcome,
        };
        let latency = self.now.since(o.sent);
        self.used(o.function);
        match o.kind {
            OrderKind::Probe => {
                let report = told.report.map(Report::into);
                self.tell(Event::ProbeDone { worker: o.worker, outcome, latency, report }, out);
            }
            OrderKind::Load => {
                let instances = told.instances.filter(|_| outcome == Outcome::Served).unwrap_or(0);
                let b = self.believed.entry(o.function).or_default();
                if o.instances > 0 {
                    b.loading = b.loading.saturating_sub(1);
                }
                if instances > 0 {
                    b.warm_at = Some(self.now);
                }
                let (worker, function) = (o.worker, o.function);
                if instances > 0 {
                    self.lacking.clear(worker);
                } else if o.instances > 0 || outcome != Outcome::Served {
                    self.in_vain(worker, function, seen, out);
                }
                self.tell(Event::OrderDone { worker, function, outcome, latency, instances }, out);
            }
            OrderKind::Unload => {}
        }
    }

    fn in_vain(&mut self, worker: WorkerId, function: FunctionId, seen: Seen, out: &mut Vec<Command>) {
        self.account.vain += 1;
        let told = self.lacking.vain(self.now, worker, function, seen);
        if let (Some(lack), Some((worker, function))) = (told, self.names_of(worker, function)) {
            out.push(Command::Tell { worker, function, seen, count: lack.count });
        }
    }

    fn names_of(&self, worker: WorkerId, function: FunctionId) -> Option<(String, String)> {
        self.name(worker).zip(self.functions.name(function.0).map(str::to_string))
    }

    /// Workers whose last order was in vain: their names, the function's, and what came of it.
    pub fn lacking(&self) -> impl Iterator<Item = (String, String, &Lack)> {
        self.lacking.iter().filter_map(|(w, l)| self.names_of(w, l.function).map(|(w, f)| (w, f, l)))
    }

    // ---- Time ----

    fn expire(&mut self, out: &mut Vec<Command>) {
        let mut due = std::mem::take(&mut self.due);
        self.timers.expire(self.now.0, |d| due.push(d));
        for d in due.drain(..) {
            match d {
                Due::Module(token) => self.tell(Event::Timer { token }, out),
                Due::Deadline(id) => self.on_deadline(id, out),
                Due::Attempt(id, number, until) => self.on_attempt_due(id, number, until, out),
                Due::Order(id) => self.on_order_due(id, out),
                Due::Close => {
                    let mut open: Vec<CallId> =
                        self.calls.iter().filter(|(_, c)| !c.answered).map(|(id, _)| *id).collect();
                    open.sort();
                    for id in open {
                        self.tell(Event::Departed { request: RequestId(id.0) }, out);
                        self.answer(id, Answer::Failed(Why::Closing), out);
                    }
                }
            }
        }
        self.due = due;
    }

    fn on_deadline(&mut self, id: CallId, out: &mut Vec<Command>) {
        let Some(c) = self.calls.get_mut(&id).filter(|c| !c.answered) else { return };
        c.timer = None;
        let streaming = c.attempt.as_ref().is_some_and(|a| a.began);
        if !streaming {
            // The module answers what is due whenever it is told anything; this is the moment.
            self.tell(Event::Timer { token: u64::MAX }, out);
        }
        // An answer that began to stream is out of the module's hands; so is what it left unanswered.
        if self.calls.get(&id).is_some_and(|c| !c.answered) {
            debug_assert!(streaming, "the module left {id:?} unanswered at its deadline");
            self.account.guarded += u64::from(!streaming);
            self.answer(id, Answer::Failed(Why::Deadline), out);
        }
    }

    fn on_attempt_due(&mut self, id: CallId, number: u32, until: Until, out: &mut Vec<Command>) {
        let Some(a) = self.calls.get_mut(&id).and_then(|c| c.attempt.as_mut()) else { return };
        if a.number != number {
            return;
        }
        match (until, a.phase) {
            // Most have left long ago, and asking for each at once would cost more than the answer is worth.
            (Until::Left, Phase::Opening) => self.confirm(id, out),
            (Until::Ended, Phase::Opening | Phase::Confirming | Phase::Open) => {
                self.withdraw(id, Outcome::TimedOut, out)
            }
            // A connection that takes nothing, not even a reset, is dropped, which ends all that is on it.
            (Until::Left, Phase::Confirming) | (Until::Closed, Phase::Closing(_)) => {
                a.timer = None;
                let worker = a.worker;
                self.account.drops += 1;
                out.extend(self.name(worker).map(|worker| Command::Drop { worker }));
            }
            (Until::Left, Phase::Open | Phase::Closing(_)) => {}
            (Until::Ended, Phase::Closing(_)) => {}
            (Until::Closed, Phase::Opening | Phase::Confirming | Phase::Open) => {}
        }
    }

    fn on_order_due(&mut self, id: OrderId, out: &mut Vec<Command>) {
        let Some(o) = self.order_list.get_mut(&id) else { return };
        o.timer = None;
        o.withdrawn = true;
        out.push(Command::WithdrawOrder { order: id });
    }

    /// The class of an open call, for logs.
    pub fn class_of(&self, id: CallId) -> Option<&str> {
        let class = self.calls.get(&id)?.class;
        self.config.classes.get(class).map(String::as_str)
    }
}
