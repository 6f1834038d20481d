//! Gives inputs to the ledger and carries out its commands.

use crate::answers;
use crate::attempts;
use crate::sink::Sink;
use bytes::Bytes;
use http::HeaderMap;
use std::cell::{Cell, OnceCell, RefCell};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::io::Write;
use std::net::SocketAddr;
use std::rc::Rc;
use std::task::{Context, Waker};
use std::time::Duration;
use tansy_dispatch::record::RecordedStep;
use tansy_dispatch::{
    Answer, AttemptOutcome, Call, CallId, Command, ConfigError, ControlRequestId, Counters,
    Dispatcher, EffectiveConfig, FunctionLookup, FunctionShape, Input, Trailers, WorkerRecord,
};
use tansy_frames::grpc::frame;
use tansy_inference::{amend, scan};
use tansy_net_grpc::link::{Limits as LinkLimits, Link};
use tansy_net_grpc::server::Limits;
use tansy_net_sockets::{clock, Spawner};
use tansyrouter::Time;

/// Metadata keys, and request parameters of the same names, in which a call tells what it is.
#[derive(Clone, Debug)]
pub struct Names {
    /// The class, by name.
    pub class: String,
    /// The tenant, by name.
    pub tenant: String,
    /// The work in milliseconds, roughly.
    pub work_ms: String,
}

impl Default for Names {
    fn default() -> Names {
        Names {
            class: "tansy-class".into(),
            tenant: "tansy-tenant".into(),
            work_ms: "tansy-work-ms".into(),
        }
    }
}

/// A worker and where it is.
#[derive(Clone, Debug, PartialEq)]
pub struct Worker {
    /// Its line in the list.
    pub listed: WorkerRecord,
    /// Its address.
    pub address: SocketAddr,
}

/// What is known of a function that the settings in use don't name.
#[derive(Clone, Debug, PartialEq)]
pub enum Looked {
    /// Its calls are taken so.
    Acts {
        /// Its class, by name.
        class: Rc<str>,
        /// Its shape.
        shape: FunctionShape,
    },
    /// Its calls are refused: front ends can't know that they agree on it.
    Refused,
    /// There is no such function.
    Unknown,
    /// It was asked for: its calls wait, until [`Hub::look_again`] finds more or their time is up.
    Wait,
}

/// Knows functions that the settings in use don't name. It is asked for each call of one, at the moment when that comes or
/// goes on, and by its own clock.
pub trait Lookup {
    /// What is known of this function now.
    fn look(&self, function: &str) -> Looked;
}

/// Bounds and names that are not the ledger's.
#[derive(Clone, Debug, Default)]
pub struct Setup {
    /// Of clients' connections.
    pub clients: Limits,
    /// Of workers' connections.
    pub workers: LinkLimits,
    /// Where calls tell what they are.
    pub names: Names,
}

/// A call on its way.
pub struct CallIo {
    /// Its number.
    pub id: CallId,
    /// The function's name.
    pub model: String,
    /// The client's id for it.
    pub request_id: String,
    /// The method's path.
    pub path: &'static str,
    /// The request, framed.
    pub body: Bytes,
    /// The client's metadata.
    pub metadata: HeaderMap,
    /// Whether it has one answer, not pieces.
    pub unary: bool,
    /// Where its answer goes.
    pub sink: Rc<Sink>,
    /// A piece or an answer that the ledger has been told of.
    pub staged: RefCell<Option<Bytes>>,
    /// The last piece has been passed on.
    pub complete: Cell<bool>,
    /// The trailers of the attempt that ended last.
    pub trailers: RefCell<Option<HeaderMap>>,
}

/// Asks a task to withdraw what it does.
#[derive(Default)]
pub struct Flag {
    set: Cell<bool>,
    confirm: Cell<bool>,
    waker: RefCell<Option<Waker>>,
}

impl Flag {
    fn raise(&self) {
        self.set.set(true);
        self.wake();
    }
    fn ask(&self) {
        self.confirm.set(true);
        self.wake();
    }
    /// Whether it was asked since the last time if its HEADERS have left.
    pub fn asked(&self) -> bool {
        self.confirm.take()
    }
    fn wake(&self) {
        self.waker
            .borrow_mut()
            .take()
            .into_iter()
            .for_each(Waker::wake);
    }
    /// Whether it is raised; wakes the task when it is.
    pub fn poll(&self, cx: &Context<'_>) -> bool {
        if !self.set.get() {
            let mut waker = self.waker.borrow_mut();
            if !waker.as_ref().is_some_and(|w| w.will_wake(cx.waker())) {
                *waker = Some(cx.waker().clone());
            }
        }
        self.set.get()
    }
}

struct State {
    front: Dispatcher,
    inputs: VecDeque<Input>,
    running: bool,
    next_call: u64,
    calls: HashMap<CallId, Rc<CallIo>>,
    attempts: HashMap<CallId, Rc<Flag>>,
    orders: HashMap<ControlRequestId, Rc<Flag>>,
    links: HashMap<String, Rc<Link>>,
    addresses: HashMap<String, SocketAddr>,
    record: Option<Box<dyn Write>>,
    list: Vec<Worker>,
}

/// One front end.
pub struct Hub {
    /// Starts its tasks.
    pub spawner: Spawner,
    /// Its bounds and names.
    pub setup: Setup,
    names: RefCell<Rc<Names>>,
    epoch: i64,
    state: RefCell<State>,
    lookup: OnceCell<Rc<dyn Lookup>>,
}

impl Hub {
    /// A hub around a ledger. `record` gets every step of the ledger as a line.
    pub fn new(
        spawner: Spawner,
        front: Dispatcher,
        setup: Setup,
        record: Option<Box<dyn Write>>,
    ) -> Rc<Hub> {
        let state = RefCell::new(State {
            front,
            inputs: VecDeque::new(),
            running: false,
            next_call: 0,
            calls: HashMap::new(),
            attempts: HashMap::new(),
            orders: HashMap::new(),
            links: HashMap::new(),
            addresses: HashMap::new(),
            record,
            list: Vec::new(),
        });
        let names = RefCell::new(Rc::new(setup.names.clone()));
        Rc::new(Hub {
            spawner,
            setup,
            names,
            epoch: clock::now(),
            state,
            lookup: OnceCell::new(),
        })
    }

    /// The ledger's clock.
    pub fn now(&self) -> Time {
        Time(clock::now() - self.epoch)
    }

    /// Where calls tell what they are.
    pub fn names(&self) -> Rc<Names> {
        self.names.borrow().clone()
    }

    /// Takes calls by these terms from now on, and by each of `ends` when so many microseconds have passed. On an error
    /// nothing changes.
    pub fn adopt(
        &self,
        terms: EffectiveConfig,
        names: Names,
        ends: Vec<(i64, EffectiveConfig)>,
    ) -> Result<(), ConfigError> {
        let now = self.now();
        let ends = ends
            .into_iter()
            .map(|(after, t)| (now.plus(after), t))
            .collect();
        self.state
            .borrow_mut()
            .front
            .apply_settings(now, terms, ends)?;
        *self.names.borrow_mut() = Rc::new(names);
        Ok(())
    }

    /// The terms hold for so long from now, one figure for each end. False: some have ended.
    pub fn renew(&self, ends: &[i64]) -> bool {
        let now = self.now();
        let ends: Vec<Time> = ends.iter().map(|after| now.plus(*after)).collect();
        self.state.borrow_mut().front.extend_expiry(now, &ends)
    }

    /// How long the loop may sleep before it has to call [`Hub::tick`].
    pub fn sleep(&self) -> Option<Duration> {
        let due = self.state.borrow().front.next_due()?;
        // A little past it, so that the wheel's tick has begun.
        Some(Duration::from_micros(
            due.since(self.now()).max(0) as u64 + 50,
        ))
    }

    /// Lets the ledger's timers run if one is due.
    pub fn tick(self: &Rc<Self>) {
        let due = self.state.borrow().front.next_due();
        if due.is_some_and(|t| t <= self.now()) {
            self.feed(Input::Tick);
        }
    }

    /// The whole list of workers.
    pub fn list(self: &Rc<Self>, workers: Vec<Worker>) {
        let mut retired = Vec::new();
        {
            let mut state = self.state.borrow_mut();
            state.addresses = workers
                .iter()
                .map(|w| (w.listed.name.clone(), w.address))
                .collect();
            // A worker that came back elsewhere is reached there, and no longer where it was.
            let State {
                links, addresses, ..
            } = &mut *state;
            links.retain(|name, link| {
                let same = addresses.get(name).is_none_or(|a| *a == link.address());
                if !same {
                    retired.push(link.clone());
                }
                same
            });
            state.list = workers.clone();
        }
        retired.iter().for_each(|l| l.retire());
        let list = workers.into_iter().map(|w| w.listed).collect();
        self.feed(Input::Workers {
            full: true,
            workers: list,
        });
    }

    /// Reads the ledger.
    pub fn with_front<T>(&self, f: impl FnOnce(&Dispatcher) -> T) -> T {
        f(&self.state.borrow().front)
    }

    /// Has final answers counted by class from now on.
    pub fn count(&self) {
        self.state.borrow_mut().front.enable_class_counters();
    }

    /// Has what is counted valued by these classes, by name, whatever the settings in use say.
    pub fn value_by(&self, classes: BTreeMap<String, tansyrouter::Class>) {
        self.state.borrow_mut().front.set_valuation_classes(classes);
    }

    /// The counts, and calls still open.
    pub fn account(&self) -> (Counters, u64) {
        let state = self.state.borrow();
        (
            state.front.counters().clone(),
            state.front.open_calls() as u64,
        )
    }

    /// Calls of functions that the settings in use don't name are looked up so from now on. Only the first counts.
    pub fn look_up_with(&self, lookup: Rc<dyn Lookup>) {
        let _ = self.lookup.set(lookup);
    }

    /// Looks again for what the calls that wait wait for.
    pub fn look_again(self: &Rc<Self>) {
        let functions: Vec<String> =
            self.with_front(|f| f.awaited_functions().map(str::to_string).collect());
        for function in functions {
            // A version may name it by now.
            let named = self.with_front(|f| {
                let s = f
                    .function(&function)
                    .filter(|_| f.is_configured(&function))?;
                let shape = FunctionShape {
                    lanes: s.lanes,
                    memory_mb: s.memory_mb,
                    load_time: s.load_time,
                };
                Some(FunctionLookup::Known {
                    class: s.class,
                    shape,
                })
            });
            match named.or_else(|| self.look(&function)) {
                None | Some(FunctionLookup::Pending) => {}
                Some(found) => self.feed(Input::FunctionResolved {
                    function,
                    lookup: found,
                }),
            }
        }
    }

    /// Whether calls of this function would be taken now, as far as its settings say; what is not known yet is asked for.
    pub fn knows(&self, function: &str) -> bool {
        self.with_front(|f| f.is_configured(function))
            || matches!(self.look(function), Some(FunctionLookup::Known { .. }))
    }

    /// What is known of a function; none: the settings in use name it, or nobody looks any up.
    fn look(&self, function: &str) -> Option<FunctionLookup> {
        let lookup = self.lookup.get()?;
        if self.with_front(|f| f.is_configured(function)) {
            return None;
        }
        Some(match lookup.look(function) {
            // A class that the settings in use don't have says nothing of what its calls are.
            Looked::Acts { class, shape } => self.with_front(|f| f.class_index(&class)).map_or(
                FunctionLookup::Refused,
                |class| FunctionLookup::Known { class, shape },
            ),
            Looked::Refused => FunctionLookup::Refused,
            Looked::Unknown => FunctionLookup::Unknown,
            Looked::Wait => FunctionLookup::Pending,
        })
    }

    /// Takes a call; its answer comes to its sink.
    pub fn call(self: &Rc<Self>, make: impl FnOnce(CallId) -> (CallIo, Call)) {
        let id = {
            let mut state = self.state.borrow_mut();
            state.next_call += 1;
            CallId(state.next_call)
        };
        let (io, call) = make(id);
        io.sink.opened(id);
        self.state.borrow_mut().calls.insert(id, Rc::new(io));
        self.feed(match self.look(&call.function) {
            None => Input::Call(call),
            Some(found) => Input::CallLookedUp {
                call,
                lookup: found,
            },
        });
    }

    /// The client of these calls has left.
    pub fn left(self: &Rc<Self>, calls: Vec<CallId>) {
        for call in calls {
            self.state.borrow_mut().calls.remove(&call);
            self.feed(Input::ClientLeft { call });
        }
    }

    /// Gives the ledger an input and carries out what it wants. Inputs that arise meanwhile follow in order.
    pub fn feed(self: &Rc<Self>, input: Input) {
        {
            let mut state = self.state.borrow_mut();
            state.inputs.push_back(input);
            if std::mem::replace(&mut state.running, true) {
                return;
            }
        }
        let mut commands = Vec::new();
        loop {
            let now = self.now();
            {
                let mut state = self.state.borrow_mut();
                let Some(input) = state.inputs.pop_front() else {
                    state.running = false;
                    return;
                };
                let recorded = state.record.is_some().then(|| input.clone());
                state.front.step(now, input, &mut commands);
                if let (Some(input), Some(record)) = (recorded, &mut state.record) {
                    let step = RecordedStep {
                        at: now.0,
                        input,
                        commands: commands.clone(),
                    };
                    if let Err(e) = writeln!(record, "{}", step.to_line()) {
                        tracing::error!(error = %e, "the record can't be written; recording ends");
                        state.record = None;
                    }
                }
            }
            for command in commands.drain(..) {
                self.carry_out(command);
            }
        }
    }

    fn carry_out(self: &Rc<Self>, command: Command) {
        match command {
            Command::SendAttempt {
                call,
                attempt,
                worker,
                budget,
            } => {
                let found = {
                    let mut state = self.state.borrow_mut();
                    let link = self.link(&mut state, &worker);
                    state.calls.get(&call).cloned().zip(link)
                };
                let Some((io, link)) = found else {
                    let (seen, told) = (AttemptOutcome::NeverLeft, Trailers::default());
                    return self.feed(Input::AttemptEnded {
                        call,
                        attempt,
                        outcome: seen,
                        trailers: told,
                    });
                };
                let flag = Rc::new(Flag::default());
                self.state.borrow_mut().attempts.insert(call, flag.clone());
                self.spawner.spawn(attempts::attempt(
                    self.clone(),
                    io,
                    attempt,
                    link,
                    budget,
                    flag,
                ));
            }
            Command::CancelAttempt { call, .. } => {
                if let Some(flag) = self.state.borrow().attempts.get(&call) {
                    flag.raise();
                }
            }
            Command::ConfirmSent { call, .. } => {
                if let Some(flag) = self.state.borrow().attempts.get(&call) {
                    flag.ask();
                }
            }
            Command::ForwardMessage { call } => {
                if let Some(io) = self.state.borrow().calls.get(&call) {
                    if let Some(piece) = io.staged.borrow_mut().take() {
                        io.sink.push(piece);
                    }
                }
            }
            Command::Answer { call, answer } => {
                let io = self.state.borrow_mut().calls.remove(&call);
                if let Some(io) = io {
                    finish(&io, answer);
                }
            }
            Command::Probe {
                request: order,
                worker,
            } => {
                self.start_order(order, &worker, attempts::OrderRequest::probe());
            }
            Command::Load {
                request: order,
                worker,
                function,
                instances,
            } => {
                self.start_order(
                    order,
                    &worker,
                    attempts::OrderRequest::load(&function, instances),
                );
            }
            Command::Unload {
                request: order,
                worker,
                function,
            } => {
                self.start_order(order, &worker, attempts::OrderRequest::unload(&function));
            }
            Command::RecallUnsent { request: order } => {
                if let Some(flag) = self.state.borrow().orders.get(&order) {
                    flag.ask();
                }
            }
            Command::CancelControlRequest { request: order } => {
                if let Some(flag) = self.state.borrow().orders.get(&order) {
                    flag.raise();
                }
            }
            Command::DropConnection { worker } => {
                let link = self.state.borrow().links.get(&worker).cloned();
                if let Some(link) = link {
                    tracing::info!(%worker, "its connection takes nothing and is dropped");
                    link.drop_connection();
                }
            }
            Command::RetireWorker { worker } => {
                let link = self.state.borrow_mut().links.remove(&worker);
                if let Some(link) = link {
                    link.retire();
                }
            }
            Command::ReportMissingFunction {
                worker,
                function,
                outcome: seen,
                failed_loads: count,
            } => {
                tracing::warn!(%worker, %function, status = %seen, count,
                    "a load order left no instance (an OK has to tell tansy-instances); orders there become rare");
            }
            // The list comes unasked here; asked for, it comes again as it stands.
            Command::FetchWorkerList | Command::SubscribeWorkerList => {
                let list = self
                    .state
                    .borrow()
                    .list
                    .iter()
                    .map(|w| w.listed.clone())
                    .collect();
                self.feed(Input::Workers {
                    full: true,
                    workers: list,
                });
            }
        }
    }

    fn link(&self, state: &mut State, worker: &str) -> Option<Rc<Link>> {
        let address = *state.addresses.get(worker)?;
        let fresh = || Link::new(self.spawner.clone(), address, self.setup.workers);
        Some(
            state
                .links
                .entry(worker.to_string())
                .or_insert_with(fresh)
                .clone(),
        )
    }

    fn start_order(
        self: &Rc<Self>,
        order: ControlRequestId,
        worker: &str,
        request: attempts::OrderRequest,
    ) {
        let link = self.link(&mut self.state.borrow_mut(), worker);
        let Some(link) = link else {
            let (seen, told) = (AttemptOutcome::NeverLeft, Trailers::default());
            return self.feed(Input::ControlRequestEnded {
                request: order,
                outcome: seen,
                trailers: told,
            });
        };
        let flag = Rc::new(Flag::default());
        self.state.borrow_mut().orders.insert(order, flag.clone());
        self.spawner
            .spawn(attempts::order(self.clone(), order, request, link, flag));
    }

    /// An attempt has ended.
    pub fn attempt_ended(
        self: &Rc<Self>,
        call: CallId,
        attempt: u32,
        seen: AttemptOutcome,
        told: Trailers,
    ) {
        self.state.borrow_mut().attempts.remove(&call);
        self.feed(Input::AttemptEnded {
            call,
            attempt,
            outcome: seen,
            trailers: told,
        });
    }

    /// An order has ended.
    pub fn order_ended(
        self: &Rc<Self>,
        order: ControlRequestId,
        seen: AttemptOutcome,
        told: Trailers,
    ) {
        self.state.borrow_mut().orders.remove(&order);
        self.feed(Input::ControlRequestEnded {
            request: order,
            outcome: seen,
            trailers: told,
        });
    }
}

/// Gives a call's client its final answer.
fn finish(io: &CallIo, answer: Answer) {
    let worker = io.trailers.borrow();
    if io.unary {
        if let (Answer::Served, Some(message)) = (answer, io.staged.borrow_mut().take()) {
            io.sink.push(message);
        }
        io.sink
            .end(answers::unary(answer, &io.model, worker.as_ref()));
    } else if let Some((text, advice)) = answers::streamed(answer, &io.model, worker.as_ref()) {
        let message = amend::stream_error(&io.model, &io.request_id, text, advice);
        io.sink.push(frame(&message));
    } else if !io.complete.get() {
        io.sink
            .push(frame(&amend::empty_final(&io.model, &io.request_id)));
    }
    tracing::debug!(call = io.id.0, function = %io.model, id = %io.request_id, answer = ?answer, "answered");
    io.sink.closed(io.id);
}

/// A piece as the client gets it: with its own id.
pub fn piece(io: &CallIo, message: &Bytes) -> Result<(Bytes, bool), String> {
    let read =
        scan::Piece::read(message).map_err(|e| format!("a piece that is no message: {e}"))?;
    if !read.error.is_empty() {
        return Err(format!("the worker reports: {}", read.error));
    }
    if read.id == io.request_id {
        return Ok((frame(message), read.last));
    }
    Ok((
        frame(&amend::piece(message, &io.request_id, read.last)),
        read.last,
    ))
}

/// A unary answer as the client gets it: with its own id.
pub fn response(io: &CallIo, message: &Bytes) -> Result<Bytes, String> {
    let id =
        scan::response_id(message).map_err(|e| format!("an answer that is no message: {e}"))?;
    Ok(if id == io.request_id {
        frame(message)
    } else {
        frame(&amend::response(message, &io.request_id))
    })
}
