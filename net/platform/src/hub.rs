//! The hub: gives the ledger its inputs and carries out its commands.

use crate::call::{finish, Attempt, CallIo};
use crate::client::Slot;
use crate::connection::Connection;
use crate::link::Link;
use crate::reasons::{Reasons, RefusalReason};
use crate::setup::Setup;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tansy_dispatch::{
    Answer, AttemptOutcome, Call, CallId, Command, ControlRequestId, Counters, DenialReason,
    Dispatcher, Input, InvariantChecker, Trailers, Violation,
};
use tansy_net_sockets::clock::UnixClock;
use tansy_net_sockets::lag::Lag;
use tansy_net_sockets::Spawner;
use tansy_platform::call::{Asked, RequestId};
use tansy_platform::list::Change;
use tansyrouter::{Span, Time};

struct State {
    front: Dispatcher,
    inputs: VecDeque<Input>,
    running: bool,
    next_call: u64,
    calls: HashMap<CallId, Rc<CallIo>>,
    attempts: HashMap<CallId, Rc<CallIo>>,
    open: HashSet<RequestId>,
    orders: HashMap<ControlRequestId, Rc<Connection>>,
    links: HashMap<String, Rc<Link>>,
    addresses: HashMap<String, SocketAddr>,
}

/// One front end.
pub struct Hub {
    /// Starts its tasks.
    pub spawner: Spawner,
    /// Its bounds.
    pub setup: Setup,
    /// Connections to workers that stand or are being made.
    pub worker_connections: Cell<usize>,
    /// Connections to workers that were ever begun.
    serials: Cell<u64>,
    epoch: Instant,
    /// The list's watch, to be heard before anything leaves; and whether it was in this turn of the loop.
    watch: RefCell<Option<Rc<dyn Fn()>>>,
    heard: Cell<bool>,
    state: RefCell<State>,
    /// Whether the loop was held up, and since when.
    pub lag: Lag,
    /// The wall clock, as far as starts of workers are told by it.
    pub unix: UnixClock,
    /// How often connections were closed, requests refused and attempts repeated, by the reason.
    pub reasons: Reasons,
    /// The rules, checked at run time.
    invariants: RefCell<InvariantChecker>,
}

impl Hub {
    /// A hub around a ledger that starts now.
    pub fn new(spawner: Spawner, front: Dispatcher, setup: Setup, epoch: Instant) -> Rc<Hub> {
        let state = RefCell::new(State {
            front,
            inputs: VecDeque::new(),
            running: false,
            next_call: 0,
            calls: HashMap::new(),
            attempts: HashMap::new(),
            open: HashSet::new(),
            orders: HashMap::new(),
            links: HashMap::new(),
            addresses: HashMap::new(),
        });
        Rc::new(Hub {
            spawner,
            setup,
            worker_connections: Cell::new(0),
            serials: Cell::new(0),
            epoch,
            watch: RefCell::new(None),
            heard: Cell::new(false),
            state,
            lag: Lag::new(Instant::now()),
            unix: UnixClock::new(),
            reasons: Reasons::default(),
            invariants: RefCell::default(),
        })
    }

    /// What takes up the events of the list that this machine holds.
    pub fn watch(&self, hear: Rc<dyn Fn()>) {
        *self.watch.borrow_mut() = Some(hear);
    }
    /// The list's events that have come are taken before what the loop does next, once a turn: after a stall of ours a
    /// send may be ready before the drain that forbids it is read.
    pub fn hear_list(&self) {
        let watch = self.watch.borrow().clone();
        if let Some(hear) = watch.filter(|_| !self.heard.replace(true)) {
            hear();
        }
    }

    /// A number for a connection to a worker; never given twice.
    pub fn next_serial(&self) -> u64 {
        self.serials.set(self.serials.get() + 1);
        self.serials.get()
    }
    /// The ledger's clock.
    pub fn now(&self) -> Time {
        Time(i64::try_from(self.epoch.elapsed().as_micros()).unwrap_or(i64::MAX))
    }
    /// How long the loop may sleep; [`Hub::tick`] is called after each turn of it.
    pub fn sleep(&self) -> Option<Duration> {
        let due = self.state.borrow().front.next_due()?;
        // A little past it, so that the wheel's tick has begun.
        Some(Duration::from_micros(
            due.since(self.now()).max(0) as u64 + 50,
        ))
    }
    /// A turn of the loop has ended: the ledger's timers run if one is due.
    pub fn tick(self: &Rc<Self>) {
        self.heard.set(false);
        let due = self.state.borrow().front.next_due();
        if due.is_some_and(|t| t <= self.now()) {
            self.feed(Input::Tick);
        }
    }
    /// Reads the ledger.
    pub fn with_front<T>(&self, f: impl FnOnce(&Dispatcher) -> T) -> T {
        f(&self.state.borrow().front)
    }
    /// The counts, and calls still open.
    pub fn account(&self) -> (Counters, u64) {
        self.with_front(|f| (f.counters().clone(), f.open_calls() as u64))
    }
    /// Sizes of what is held, for logs and tests: calls, ids, orders, links.
    pub fn held(&self) -> [usize; 4] {
        let s = self.state.borrow();
        [
            s.calls.len().max(s.attempts.len()),
            s.open.len(),
            s.orders.len(),
            s.links.len(),
        ]
    }

    /// Changes of the list of workers.
    pub fn list(self: &Rc<Self>, whole: bool, changes: Vec<Change>) {
        {
            let mut s = self.state.borrow_mut();
            if whole {
                s.addresses.clear();
            }
            for c in &changes {
                s.addresses.insert(c.listed.name.clone(), c.address);
            }
        }
        let list: Vec<_> = changes.into_iter().map(|c| c.listed).collect();
        for l in &list {
            tracing::debug!(worker = %l.name, state = l.state, age = ?l.age, "a worker is listed");
            self.invariants
                .borrow_mut()
                .on_worker_state(&l.name, l.state == 0);
        }
        let gone: Vec<String> = list
            .iter()
            .filter(|l| l.state > 1)
            .map(|l| l.name.clone())
            .collect();
        self.feed(Input::Workers {
            full: whole,
            workers: list,
        });
        let mut s = self.state.borrow_mut();
        for name in gone {
            s.addresses.remove(&name);
        }
    }

    /// Whether a request of this id is open.
    pub fn is_open(&self, id: &RequestId) -> bool {
        self.state.borrow().open.contains(id)
    }

    /// Takes a call that came whole at `arrived`; its answer comes to its slot.
    pub fn call(
        self: &Rc<Self>,
        asked: Asked,
        body: Vec<u8>,
        arrived: Instant,
        slot: &Rc<Slot>,
    ) -> CallId {
        let taken = Instant::now();
        let waited = Span::try_from(taken.duration_since(arrived).as_micros()).unwrap_or(Span::MAX);
        let now = self.now();
        let mut s = self.state.borrow_mut();
        s.next_call += 1;
        let id = CallId(s.next_call);
        let call = Call {
            id,
            function: asked.function.clone(),
            class: Some(asked.class),
            tenant: 0,
            budget: Some(asked.budget),
            work_hint: None,
            repeat: false,
            shape: Some(asked.shape),
            unknown_names: false,
            waited,
        };
        s.open.insert(asked.id);
        let deadline = now.plus(asked.budget.saturating_sub(waited));
        let effect = s.front.class_effect(asked.class);
        let io = CallIo {
            asked,
            body,
            slot: slot.clone(),
            used: RefCell::new(Vec::new()),
            at: RefCell::new(None),
            staged: RefCell::new(None),
            last_end: Cell::new(None),
            waited,
            taken,
        };
        tracing::debug!(
            request = io.request(),
            call = id.0,
            waited,
            "a request is taken"
        );
        s.calls.insert(id, Rc::new(io));
        drop(s);
        self.invariants
            .borrow_mut()
            .on_accepted(id, effect, deadline);
        self.feed(Input::Call(call));
        id
    }

    /// The client of a call has left.
    pub fn left(self: &Rc<Self>, call: CallId) {
        self.invariants
            .borrow_mut()
            .on_client_left(self.now(), call);
        if let Some(io) = self.close(call) {
            tracing::debug!(request = io.request(), call = call.0, "the client has left");
        }
        self.feed(Input::ClientLeft { call });
    }

    /// This side ends a client's connection while its call may be open.
    pub fn closes(&self, call: CallId) {
        let violated = self.invariants.borrow_mut().on_connection_closed(call);
        self.violated(&violated, call);
    }

    /// Lets go of a call that is owed nothing; its attempt may still be out.
    fn close(&self, call: CallId) -> Option<Rc<CallIo>> {
        let mut s = self.state.borrow_mut();
        let io = s.calls.remove(&call)?;
        s.open.remove(&io.asked.id);
        Some(io)
    }

    /// Gives the ledger an input and carries out what it wants. Inputs that arise meanwhile follow in order.
    pub fn feed(self: &Rc<Self>, input: Input) {
        {
            let mut s = self.state.borrow_mut();
            s.inputs.push_back(input);
            if std::mem::replace(&mut s.running, true) {
                return;
            }
        }
        let mut commands = Vec::new();
        loop {
            let now = self.now();
            {
                let mut s = self.state.borrow_mut();
                let Some(input) = s.inputs.pop_front() else {
                    s.running = false;
                    return;
                };
                s.front.step(now, input, &mut commands);
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
                ..
            } => self.open(call, attempt, &worker),
            Command::CancelAttempt { call, attempt } => {
                let conn = self.attempt(call);
                if let Some((io, conn)) = conn {
                    if let Some(seen) = conn.withdraw(&io.asked.id) {
                        self.attempt_ended(call, attempt, seen, Trailers::default());
                    }
                }
            }
            Command::ConfirmSent { call, attempt } => {
                let Some((io, conn)) = self.attempt(call) else {
                    return;
                };
                match conn.confirm(&io.asked.id) {
                    Ok(()) => self.feed(Input::AttemptSent { call, attempt }),
                    Err(seen) => self.attempt_ended(call, attempt, seen, Trailers::default()),
                }
            }
            // Answers are held whole.
            Command::ForwardMessage { .. } => {}
            Command::Answer { call, answer } => self.answer(call, answer),
            Command::Probe {
                request: order,
                worker,
            } => self.order(order, &worker, &["there"]),
            Command::Load {
                request: order,
                worker,
                function,
                instances,
            } => {
                let fields = format!("asset={function},replicas={instances}");
                self.order(order, &worker, &["provision", &fields]);
            }
            Command::Unload {
                request: order,
                worker,
                function,
            } => {
                if let Some(conn) = self.link(&worker).and_then(|l| l.pick_for_order(self)) {
                    conn.tell(&[b"retire", function.as_bytes()]);
                }
                // There is no answer to it.
                let (seen, told) = (AttemptOutcome::NeverLeft, Trailers::default());
                self.feed(Input::ControlRequestEnded {
                    request: order,
                    outcome: seen,
                    trailers: told,
                });
            }
            Command::RecallUnsent { request: order } => {
                let conn = self.state.borrow().orders.get(&order).cloned();
                if let Some(seen) = conn.and_then(|conn| conn.recall(order)) {
                    self.order_ended(order, seen, Trailers::default());
                }
            }
            Command::CancelControlRequest { request: order } => {
                let conn = self.state.borrow().orders.get(&order).cloned();
                if let Some(conn) = conn {
                    let seen = conn.withdraw_order(order);
                    self.order_ended(order, seen, Trailers::default());
                }
            }
            Command::DropConnection { worker } => {
                let link = self.state.borrow().links.get(&worker).cloned();
                if let Some(link) = link {
                    link.drop_now();
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
                tracing::warn!(%worker, %function, status = %seen, count, "a load order left no instance");
            }
            // The list comes unasked.
            Command::FetchWorkerList | Command::SubscribeWorkerList => {}
        }
    }

    /// Sends an attempt on a connection to its worker.
    fn open(self: &Rc<Self>, call: CallId, number: u32, worker: &str) {
        let io = self.state.borrow().calls.get(&call).cloned();
        let connection = io.as_ref().and_then(|io| {
            let link = self.link(worker)?;
            let used = io.used.borrow();
            link.pick_for(self, &io.asked.id, &used)
        });
        let Some((io, connection)) = io.zip(connection) else {
            let (seen, told) = (AttemptOutcome::NeverLeft, Trailers::default());
            return self.feed(Input::AttemptEnded {
                call,
                attempt: number,
                outcome: seen,
                trailers: told,
            });
        };
        if let Some(last) = io.last_end.get() {
            self.reasons.repeated(last);
            tracing::debug!(request = io.request(), attempt = number, %worker, last = %last, "a request is repeated");
        }
        io.used.borrow_mut().push(connection.serial());
        *io.at.borrow_mut() = Some(connection.clone());
        self.state.borrow_mut().attempts.insert(call, io.clone());
        connection.fire(Attempt { call, number, io });
    }

    /// Gives a call's client its final answer.
    fn answer(&self, call: CallId, answer: Answer) {
        let violated = self.invariants.borrow_mut().on_answered(call);
        self.violated(&violated, call);
        let Some(io) = self.close(call) else { return };
        let after_ms = io.taken.elapsed().as_millis() as u64;
        let (last, attempts) = (io.last_end.get(), io.used.borrow().len());
        if let Answer::Refused { .. } = answer {
            let reason = RefusalReason::of(attempts, io.waited, io.asked.budget);
            self.reasons.refused(reason);
            let reason = reason.as_str();
            tracing::debug!(
                request = io.request(),
                reason,
                attempts,
                ?last,
                after_ms,
                "refused"
            );
        } else {
            tracing::debug!(
                request = io.request(),
                ?answer,
                attempts,
                ?last,
                after_ms,
                "answered"
            );
        }
        finish(&io, answer);
    }

    fn violated(&self, violations: &[Violation], call: CallId) {
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

    fn attempt(&self, call: CallId) -> Option<(Rc<CallIo>, Rc<Connection>)> {
        let io = self.state.borrow().attempts.get(&call).cloned()?;
        let conn = io.at.borrow().clone()?;
        Some((io, conn))
    }

    fn link(self: &Rc<Self>, worker: &str) -> Option<Rc<Link>> {
        let mut s = self.state.borrow_mut();
        let address = *s.addresses.get(worker)?;
        let link = s
            .links
            .entry(worker.to_string())
            .or_insert_with(|| Link::new(worker, address));
        Some(link.clone())
    }

    fn order(self: &Rc<Self>, order: ControlRequestId, worker: &str, words: &[&str]) {
        let Some(conn) = self.link(worker).and_then(|l| l.pick_for_order(self)) else {
            let (seen, told) = (AttemptOutcome::NeverLeft, Trailers::default());
            return self.feed(Input::ControlRequestEnded {
                request: order,
                outcome: seen,
                trailers: told,
            });
        };
        self.state.borrow_mut().orders.insert(order, conn.clone());
        conn.order(order, words);
    }

    /// Whether an attempt may be sent now, asked as its bytes are about to leave: what this machine holds of the client is
    /// heard first, and a client that has left is the ledger's to know.
    pub fn may_send(self: &Rc<Self>, attempt: &Attempt) -> Result<Span, DenialReason> {
        let open = self.state.borrow().calls.contains_key(&attempt.call);
        if open && !attempt.io.slot.waits() {
            self.left(attempt.call);
        }
        self.with_front(|f| f.may_send(self.now(), attempt.call, attempt.number))
    }
    /// An attempt was taken back as it was about to leave.
    pub fn held_back(self: &Rc<Self>, attempt: &Attempt, denied: DenialReason) {
        let reason = denied.as_str();
        tracing::debug!(
            request = attempt.io.request(),
            attempt = attempt.number,
            reason,
            "held back"
        );
        self.attempt_ended(
            attempt.call,
            attempt.number,
            AttemptOutcome::NeverLeft,
            Trailers::default(),
        );
    }
    /// The first byte of an attempt has left.
    pub fn sent(
        &self,
        now: Time,
        attempt: &Attempt,
        worker: &str,
        patience: Span,
        connection: u64,
    ) {
        let (request, number) = (attempt.io.request(), attempt.number);
        tracing::debug!(request, attempt = number, %worker, patience, connection, "sent");
        let violated =
            self.invariants
                .borrow_mut()
                .on_attempt_sent(now, attempt.call, worker, patience);
        self.violated(&violated, attempt.call);
    }
    /// The first byte of an order has left.
    pub fn order_sent(&self, order: ControlRequestId, worker: &str) {
        if self.with_front(|f| f.is_load(order)) {
            let violated = self.invariants.borrow_mut().on_load_sent(worker);
            for violation in violated {
                tracing::error!(?violation, order = order.0, %worker, "a rule does not hold: a defect of this program");
            }
        }
    }
    /// A connection to a worker has ended with so much open on it.
    pub fn connection_ended(
        &self,
        worker: &str,
        connection: u64,
        seen: AttemptOutcome,
        open: usize,
    ) {
        self.reasons.disconnected(seen);
        tracing::debug!(%worker, connection, reason = %seen, open, "a connection to a worker has ended");
    }

    /// An answer has come for an attempt.
    pub fn answered(
        self: &Rc<Self>,
        attempt: &Attempt,
        seen: AttemptOutcome,
        told: Trailers,
        body: Vec<u8>,
    ) {
        *attempt.io.staged.borrow_mut() = Some(body);
        self.attempt_ended(attempt.call, attempt.number, seen, told);
    }
    /// An attempt has ended.
    pub fn attempt_ended(
        self: &Rc<Self>,
        call: CallId,
        attempt: u32,
        seen: AttemptOutcome,
        told: Trailers,
    ) {
        let never_ran = tansy_dispatch::outcome::classify(seen, &told)
            .outcome
            .never_ran();
        self.invariants
            .borrow_mut()
            .on_attempt_ended(call, never_ran);
        if let Some(io) = self.state.borrow_mut().attempts.remove(&call) {
            tracing::debug!(request = io.request(), attempt, seen = %seen, never_ran, "an attempt has ended");
            io.at.borrow_mut().take();
            io.last_end.set(Some(seen));
        }
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

    /// Looks over the connections to workers: idle ones close before the worker closes them, answers that stopped
    /// short end.
    pub fn look_over(self: &Rc<Self>) {
        let links: Vec<_> = self.state.borrow().links.values().cloned().collect();
        links.iter().for_each(|l| l.look_over(&self.setup));
    }
    /// Closes one idle connection to a worker, to make room for another.
    pub fn spare(&self) -> bool {
        let links: Vec<_> = self.state.borrow().links.values().cloned().collect();
        links.iter().any(|l| l.spare())
    }
}
