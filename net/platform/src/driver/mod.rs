//! Connects the dispatcher to the network: feeds it inputs and runs the commands that it returns.
//!
//! - this file: the driver's state, the input loop and the worker list.
//! - `calls`: calls, from acceptance to response.
//! - `commands`: the dispatcher's commands.
//! - `connections`: connections to workers and their events.

mod calls;
mod commands;
mod connections;

use crate::call::CallContext;
use crate::limits::ServingLimits;
use crate::reasons::ReasonCounters;
use crate::worker_connection::WorkerConnection;
use crate::worker_pool::WorkerPool;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tansy_dispatch::{
    AttemptOutcome, CallId, ControlRequestId, Counters, Dispatcher, Input, InputQueue,
    InvariantChecker, Trailers, Violation, WorkerState,
};
use tansy_net_sockets::clock::UnixClock;
use tansy_net_sockets::lag::Lag;
use tansy_net_sockets::Spawner;
use tansy_platform::request::RequestId;
use tansy_platform::EndpointChange;
use tansyrouter::Time;

/// Added to the event loop's sleep: a timer expires only once the timer wheel's next tick has begun.
const TIMER_SLACK_MICROS: u64 = 50;

/// An attempt that has not ended, and the connection that carries it.
struct OpenAttempt {
    context: Rc<CallContext>,
    connection: Rc<WorkerConnection>,
}

struct State {
    dispatcher: Dispatcher,
    inputs: InputQueue,
    next_call: u64,
    /// Unanswered calls.
    calls: HashMap<CallId, Rc<CallContext>>,
    /// Attempts that have not ended, by call; the call may already be answered.
    attempts: HashMap<CallId, OpenAttempt>,
    request_ids: HashSet<RequestId>,
    control: HashMap<ControlRequestId, Rc<WorkerConnection>>,
    pools: HashMap<String, Rc<WorkerPool>>,
    addresses: HashMap<String, SocketAddr>,
}

/// Runs the dispatcher of one front end.
pub struct Driver {
    /// Spawns the front end's tasks.
    pub spawner: Spawner,
    /// The serving limits.
    pub limits: ServingLimits,
    /// Connections to workers that are open or being established.
    worker_connections: Cell<usize>,
    /// The number of connections to workers started so far.
    next_serial: Cell<u64>,
    epoch: Instant,
    /// Reads and applies worker list updates that have arrived but that the event loop has not reported.
    endpoint_reader: RefCell<Option<Rc<dyn Fn()>>>,
    /// Frees the descriptor of a client's connection.
    client_connection_freer: RefCell<Option<Rc<dyn Fn()>>>,
    /// Whether `endpoint_reader` has run in this turn of the event loop.
    endpoints_read: Cell<bool>,
    state: RefCell<State>,
    /// Detects stalls of the event loop.
    pub lag: Rc<Lag>,
    /// The wall clock, used to compute how long ago workers started.
    pub unix_clock: UnixClock,
    /// Counts closed connections, refused requests and retried attempts by reason.
    pub reasons: ReasonCounters,
    /// Checks the dispatcher's invariants at run time.
    invariants: RefCell<InvariantChecker>,
}

impl Driver {
    /// Creates a driver whose dispatcher clock starts at `epoch`.
    pub fn new(
        spawner: Spawner,
        dispatcher: Dispatcher,
        limits: ServingLimits,
        epoch: Instant,
    ) -> Rc<Driver> {
        let state = RefCell::new(State {
            dispatcher,
            inputs: InputQueue::default(),
            next_call: 0,
            calls: HashMap::new(),
            attempts: HashMap::new(),
            request_ids: HashSet::new(),
            control: HashMap::new(),
            pools: HashMap::new(),
            addresses: HashMap::new(),
        });
        Rc::new(Driver {
            spawner,
            limits,
            worker_connections: Cell::new(0),
            next_serial: Cell::new(0),
            epoch,
            endpoint_reader: RefCell::new(None),
            client_connection_freer: RefCell::new(None),
            endpoints_read: Cell::new(false),
            state,
            lag: Rc::new(Lag::new(Instant::now())),
            unix_clock: UnixClock::new(),
            reasons: ReasonCounters::default(),
            invariants: RefCell::default(),
        })
    }

    /// The current time on the dispatcher's clock.
    pub fn now(&self) -> Time {
        Time(i64::try_from(self.epoch.elapsed().as_micros()).unwrap_or(i64::MAX))
    }
    /// Time until the dispatcher's next timer. The caller sleeps no longer, and calls [`Driver::on_turn_end`] after
    /// each turn of the event loop.
    pub fn next_timer_in(&self) -> Option<Duration> {
        let due = self.state.borrow().dispatcher.next_due()?;
        Some(Duration::from_micros(
            due.since(self.now()).max(0) as u64 + TIMER_SLACK_MICROS,
        ))
    }
    /// Runs the dispatcher's timers that are due; called after each turn of the event loop.
    pub fn on_turn_end(self: &Rc<Self>) {
        self.endpoints_read.set(false);
        let due = self.state.borrow().dispatcher.next_due();
        if due.is_some_and(|due| due <= self.now()) {
            self.feed(Input::Tick);
        }
    }
    /// Calls `read` with the dispatcher.
    pub fn with_dispatcher<T>(&self, read: impl FnOnce(&Dispatcher) -> T) -> T {
        read(&self.state.borrow().dispatcher)
    }
    /// The counters and the number of open calls.
    pub fn counters(&self) -> (Counters, u64) {
        self.with_dispatcher(|dispatcher| {
            (
                dispatcher.counters().clone(),
                dispatcher.open_calls() as u64,
            )
        })
    }
    /// Sizes of the tables, for logs and tests: calls, request ids, control requests, worker pools.
    pub fn table_sizes(&self) -> [usize; 4] {
        let state = self.state.borrow();
        [
            state.calls.len().max(state.attempts.len()),
            state.request_ids.len(),
            state.control.len(),
            state.pools.len(),
        ]
    }

    /// The number of unanswered calls of which nothing has been sent to a worker. Visits every call.
    pub fn unsent_calls(&self) -> usize {
        let state = self.state.borrow();
        let is_unsent = |call: &&Rc<CallContext>| call.used_connections.borrow().is_empty();
        state.calls.values().filter(is_unsent).count()
    }

    /// Sets the function that reads and applies pending worker list updates.
    pub fn set_endpoint_reader(&self, read: Rc<dyn Fn()>) {
        *self.endpoint_reader.borrow_mut() = Some(read);
    }
    /// Sets the function that frees the descriptor of a client's connection.
    pub fn set_client_connection_freer(&self, free: Rc<dyn Fn()>) {
        *self.client_connection_freer.borrow_mut() = Some(free);
    }
    /// Frees the descriptor of a client's connection, if there is one to free.
    fn free_client_connection(&self) {
        let free = self.client_connection_freer.borrow().clone();
        if let Some(free) = free {
            free();
        }
    }
    /// Applies pending worker list updates, at most once per turn of the event loop. After a stall of the loop, an
    /// update that drains a worker may be unread while a message to that worker is ready to be sent.
    fn read_endpoint_updates(&self) {
        let read = self.endpoint_reader.borrow().clone();
        if let Some(read) = read.filter(|_| !self.endpoints_read.replace(true)) {
            read();
        }
    }
    /// Applies the complete worker list (`full`) or changes to it.
    pub fn on_endpoint_list(self: &Rc<Self>, full: bool, changes: Vec<EndpointChange>) {
        {
            let mut state = self.state.borrow_mut();
            if full {
                state.addresses.clear();
            }
            for change in &changes {
                let name = change.endpoint.name.clone();
                state.addresses.insert(name, change.address);
            }
        }
        let list: Vec<_> = changes.into_iter().map(|change| change.endpoint).collect();
        for worker in &list {
            tracing::debug!(worker = %worker.name, state = ?worker.state, age = ?worker.age, "worker is listed");
            self.invariants
                .borrow_mut()
                .on_worker_state(&worker.name, worker.state == WorkerState::Ready);
        }
        let removed: Vec<String> = list
            .iter()
            .filter(|worker| worker.state == WorkerState::Gone)
            .map(|worker| worker.name.clone())
            .collect();
        self.feed(Input::Workers {
            full,
            workers: list,
        });
        let mut state = self.state.borrow_mut();
        for name in removed {
            state.addresses.remove(&name);
        }
    }

    /// Feeds the dispatcher an input and runs the resulting commands. Inputs fed meanwhile are queued and processed
    /// in order.
    pub fn feed(self: &Rc<Self>, input: Input) {
        if !self.state.borrow_mut().inputs.push(input) {
            return;
        }
        let mut commands = Vec::new();
        loop {
            let now = self.now();
            {
                let mut state = self.state.borrow_mut();
                let Some(input) = state.inputs.take() else {
                    return;
                };
                state.dispatcher.step(now, input, &mut commands);
            }
            for command in commands.drain(..) {
                self.run_command(command);
            }
        }
    }

    fn feed_control_ended(
        self: &Rc<Self>,
        request: ControlRequestId,
        outcome: AttemptOutcome,
        trailers: Trailers,
    ) {
        self.feed(Input::ControlRequestEnded {
            request,
            outcome,
            trailers,
        });
    }

    fn log_violations(&self, violations: &[Violation], call: CallId) {
        for violation in violations {
            tracing::error!(
                ?violation,
                call = call.0,
                "invariant violated: this is a bug in the front end"
            );
        }
    }
    /// The number of invariant violations so far.
    pub fn violations(&self) -> u64 {
        self.invariants.borrow().total_violations()
    }
}
