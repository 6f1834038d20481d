//! The driver: feeds the dispatcher its inputs and runs the commands that it returns.
//!
//! - this file: its state, the feeding loop, the list of workers.
//! - `calls`: calls from their acceptance to their response.
//! - `commands`: the dispatcher's commands.
//! - `connections`: connections to workers, and the events that they report.

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

/// The dispatcher's wheel fires with its next tick: the loop sleeps this much past a due time, so that the tick has begun.
const TIMER_TICK_MICROS: u64 = 50;

/// An attempt that has not ended, and the connection that it is on.
struct OpenAttempt {
    context: Rc<CallContext>,
    connection: Rc<WorkerConnection>,
}

struct State {
    dispatcher: Dispatcher,
    inputs: InputQueue,
    next_call: u64,
    /// Calls that are owed an answer.
    calls: HashMap<CallId, Rc<CallContext>>,
    /// Attempts that have not ended; their calls may be answered.
    attempts: HashMap<CallId, OpenAttempt>,
    request_ids: HashSet<RequestId>,
    control: HashMap<ControlRequestId, Rc<WorkerConnection>>,
    pools: HashMap<String, Rc<WorkerPool>>,
    addresses: HashMap<String, SocketAddr>,
}

/// Drives one front end.
pub struct Driver {
    /// Starts its tasks.
    pub spawner: Spawner,
    /// The limits it serves by.
    pub limits: ServingLimits,
    /// Connections to workers that stand or are being made.
    worker_connections: Cell<usize>,
    /// Connections to workers that were ever begun.
    next_serial: Cell<u64>,
    epoch: Instant,
    /// Applies the events of the endpoint list that have arrived.
    endpoint_poll: RefCell<Option<Rc<dyn Fn()>>>,
    /// Whether that was done in this turn of the loop.
    endpoints_polled: Cell<bool>,
    state: RefCell<State>,
    /// Whether the loop was stalled, and since when.
    pub lag: Rc<Lag>,
    /// The wall clock, for the ages of workers.
    pub unix_clock: UnixClock,
    /// How often connections were closed, requests refused and attempts repeated, by reason.
    pub reasons: ReasonCounters,
    /// The rules, checked at run time.
    invariants: RefCell<InvariantChecker>,
}

impl Driver {
    /// A driver of a dispatcher that starts now.
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
            endpoint_poll: RefCell::new(None),
            endpoints_polled: Cell::new(false),
            state,
            lag: Rc::new(Lag::new(Instant::now())),
            unix_clock: UnixClock::new(),
            reasons: ReasonCounters::default(),
            invariants: RefCell::default(),
        })
    }

    /// The dispatcher's clock.
    pub fn now(&self) -> Time {
        Time(i64::try_from(self.epoch.elapsed().as_micros()).unwrap_or(i64::MAX))
    }
    /// How long the loop may sleep; [`Driver::on_turn_end`] is called after each turn of it.
    pub fn next_timer_in(&self) -> Option<Duration> {
        let due = self.state.borrow().dispatcher.next_due()?;
        Some(Duration::from_micros(
            due.since(self.now()).max(0) as u64 + TIMER_TICK_MICROS,
        ))
    }
    /// A turn of the loop has ended: the dispatcher's timers run if one is due.
    pub fn on_turn_end(self: &Rc<Self>) {
        self.endpoints_polled.set(false);
        let due = self.state.borrow().dispatcher.next_due();
        if due.is_some_and(|due| due <= self.now()) {
            self.feed(Input::Tick);
        }
    }
    /// Reads the dispatcher.
    pub fn with_dispatcher<T>(&self, read: impl FnOnce(&Dispatcher) -> T) -> T {
        read(&self.state.borrow().dispatcher)
    }
    /// The counters, and calls still open.
    pub fn counters(&self) -> (Counters, u64) {
        self.with_dispatcher(|dispatcher| {
            (
                dispatcher.counters().clone(),
                dispatcher.open_calls() as u64,
            )
        })
    }
    /// Sizes of its tables, for logs and tests: calls, request ids, control requests, pools.
    pub fn table_sizes(&self) -> [usize; 4] {
        let state = self.state.borrow();
        [
            state.calls.len().max(state.attempts.len()),
            state.request_ids.len(),
            state.control.len(),
            state.pools.len(),
        ]
    }

    /// Sets what applies the events of the endpoint list that have arrived.
    pub fn set_endpoint_poll(&self, poll: Rc<dyn Fn()>) {
        *self.endpoint_poll.borrow_mut() = Some(poll);
    }
    /// Applies the events of the endpoint list that have arrived before what the loop does next, once a turn: after a
    /// stall, a message may be ready to be sent before the drain that forbids it is read.
    fn poll_endpoint_list(&self) {
        let poll = self.endpoint_poll.borrow().clone();
        if let Some(poll) = poll.filter(|_| !self.endpoints_polled.replace(true)) {
            poll();
        }
    }
    /// Takes the whole list of workers (`full`), or changes of it.
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
            tracing::debug!(worker = %worker.name, state = ?worker.state, age = ?worker.age, "a worker is listed");
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

    /// Feeds the dispatcher an input and runs its commands. Inputs that arise meanwhile follow in order.
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

    fn control_ended(
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
                "a rule does not hold: a defect of this program"
            );
        }
    }
    /// Violations of the rules that were counted.
    pub fn violations(&self) -> u64 {
        self.invariants.borrow().total_violations()
    }
}
