//! A front end's day in virtual time: calls come by a skewed draw, workers answer, siblings keep what is called often.
//! The module alone and the whole ledger are driven the same way; each of their steps is timed by the wall clock.

use crate::inputs::{self, FunctionPopularity, CALLS_S, CLASSES, LOAD};
use crate::measure::Distribution;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::time::{Duration, Instant};
use tansy_dispatch::{
    AttemptOutcome, Call, CallId, Command, ControlRequestId, Dispatcher, FunctionShape, Input,
    ResponseStage, Trailers,
};
use tansyrouter::{
    Action, Arrival, AttemptResult, Event, FunctionId, InstanceStatus, LoadReport, Micros, Outcome,
    RequestId, Router, Time, WorkerId, SECOND,
};

/// A call's work at a worker, and the way there and back.
const WORK: Micros = 20_000;
/// The way of an order that only asks.
const ASK: Micros = 2_000;
/// Share of its cores at work that a worker tells.
const BUSY: f64 = 0.6;

/// An attempt that was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Sent {
    call: u64,
    attempt: u32,
    worker: usize,
    at: Micros,
    warm: bool,
}

/// An order that was given.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Order {
    number: u64,
    worker: usize,
    function: usize,
    wanted: u32,
    at: Micros,
}

/// What a machine wants.
pub enum Want {
    /// An attempt.
    Send(Sent),
    /// An order.
    Order(Order),
    /// A call ended; whether it was served.
    End(u64, bool),
}

/// The module, or the ledger around it.
pub trait Machine {
    /// A call of a function comes.
    fn call(&mut self, now: Micros, call: u64, function: usize, out: &mut Vec<Want>);
    /// An attempt was served.
    fn served(&mut self, now: Micros, sent: Sent, out: &mut Vec<Want>);
    /// An order was carried out; so many instances stand.
    fn ordered(&mut self, now: Micros, order: Order, stand: u32, out: &mut Vec<Want>);
    /// Time has passed.
    fn tick(&mut self, now: Micros, out: &mut Vec<Want>);
    /// When it wants to be told of time.
    fn due(&self) -> Option<Micros>;
}

/// What it wants is done at once, and what follows of that.
fn settle<M: Machine>(machine: &mut M, now: Micros, mut wants: Vec<Want>) {
    while let Some(want) = wants.pop() {
        match want {
            Want::Send(sent) => machine.served(now, sent, &mut wants),
            Want::Order(order) => machine.ordered(now, order, order.wanted, &mut wants),
            Want::End(..) => {}
        }
    }
}

/// The decision module.
pub struct Module {
    router: Router,
    actions: Vec<Action>,
    due: Option<Micros>,
}

impl Module {
    /// Around a router that knows its workers.
    pub fn new(router: Router) -> Module {
        Module {
            router,
            actions: Vec::new(),
            due: Some(0),
        }
    }

    /// An event before the day: what it leads to is done at once.
    pub fn tell(&mut self, now: Micros, event: Event) {
        let mut wants = Vec::new();
        self.handle(now, event, &mut wants);
        settle(self, now, wants);
    }

    fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Want>) {
        self.router.handle(Time(now), event, &mut self.actions);
        for action in self.actions.drain(..) {
            match action {
                Action::Send {
                    request, worker, ..
                } => {
                    let worker = worker.0 as usize;
                    out.push(Want::Send(Sent {
                        call: request.0,
                        attempt: 0,
                        worker,
                        at: now,
                        warm: true,
                    }));
                }
                Action::Load {
                    worker,
                    function,
                    instances,
                } => out.push(Want::Order(Order {
                    number: 0,
                    worker: worker.0 as usize,
                    function: function.0 as usize,
                    wanted: instances,
                    at: now,
                })),
                Action::Reject { request, .. } | Action::Fail { request } => {
                    out.push(Want::End(request.0, false));
                }
                Action::SetTimer { at, .. } => self.due = Some(at.0),
                _ => {}
            }
        }
    }
}

/// A call as the module is told of it.
pub fn arrival(call: u64, function: usize) -> Arrival {
    Arrival {
        request: RequestId(call),
        function: FunctionId(function as u64),
        class: function % CLASSES,
        tenant: 0,
        budget: 5 * SECOND,
        work_hint: None,
        lanes: 1,
        memory_mb: 256.0,
        load_time: Some(LOAD),
        repeat: false,
    }
}

impl Machine for Module {
    fn call(&mut self, now: Micros, call: u64, function: usize, out: &mut Vec<Want>) {
        self.handle(now, Event::Arrival(arrival(call, function)), out);
    }

    fn served(&mut self, now: Micros, sent: Sent, out: &mut Vec<Want>) {
        let done = AttemptResult {
            request: RequestId(sent.call),
            attempt: sent.attempt,
            worker: WorkerId(sent.worker as u64),
            outcome: Outcome::Served,
            concluded: true,
            latency: now - sent.at,
            instance_status: if sent.warm {
                InstanceStatus::Warm
            } else {
                InstanceStatus::BeganLoad
            },
            concurrency: None,
            report: Some(LoadReport {
                utilization: Some(BUSY),
                ..LoadReport::default()
            }),
        };
        self.handle(now, Event::AttemptEnded(done), out);
        out.push(Want::End(sent.call, true));
    }

    fn ordered(&mut self, now: Micros, order: Order, stand: u32, out: &mut Vec<Want>) {
        let event = Event::LoadEnded {
            worker: WorkerId(order.worker as u64),
            function: FunctionId(order.function as u64),
            outcome: Outcome::Served,
            latency: now - order.at,
            instances: stand,
        };
        self.handle(now, event, out);
    }

    fn tick(&mut self, now: Micros, out: &mut Vec<Want>) {
        self.due = None;
        self.handle(now, Event::Timer { token: 0 }, out);
    }

    fn due(&self) -> Option<Micros> {
        self.due
    }
}

/// The ledger.
pub struct Ledger {
    front: Dispatcher,
    names: Vec<String>,
    places: BTreeMap<String, usize>,
    /// Calls tell of their functions, which the settings do not name.
    unlisted: bool,
    commands: Vec<Command>,
}

impl Ledger {
    /// Around a front that knows its workers; functions beyond the settings' ones are told of by their calls.
    pub fn new(front: Dispatcher, names: Vec<String>, unlisted: bool) -> Ledger {
        let places = inputs::function_indices(&names);
        Ledger {
            front,
            names,
            places,
            unlisted,
            commands: Vec::new(),
        }
    }

    /// A function that nobody has called before.
    pub fn add(&mut self, name: String) -> usize {
        self.places.insert(name.clone(), self.names.len());
        self.names.push(name);
        self.names.len() - 1
    }

    /// Another front in its place.
    pub fn replace(&mut self, front: Dispatcher) {
        self.front = front;
    }

    /// The functions that are called.
    pub fn names(&self) -> &[String] {
        &self.names
    }

    /// The ledger itself.
    pub fn front(&self) -> &Dispatcher {
        &self.front
    }

    /// An input before the day: what it leads to is done at once.
    pub fn tell(&mut self, now: Micros, input: Input) {
        let mut wants = Vec::new();
        self.step(now, input, &mut wants);
        settle(self, now, wants);
    }

    fn step(&mut self, now: Micros, input: Input, out: &mut Vec<Want>) {
        self.front.step(Time(now), input, &mut self.commands);
        let worker = |name: &str| {
            name.rsplit('-')
                .next()
                .and_then(|n| n.parse().ok())
                .unwrap_or(0)
        };
        for command in self.commands.drain(..) {
            match command {
                Command::SendAttempt {
                    call,
                    attempt,
                    worker: name,
                    ..
                } => {
                    let worker = worker(&name);
                    out.push(Want::Send(Sent {
                        call: call.0,
                        attempt,
                        worker,
                        at: now,
                        warm: true,
                    }));
                }
                Command::Load {
                    request: order,
                    worker: name,
                    function,
                    instances,
                } => out.push(Want::Order(Order {
                    number: order.0,
                    worker: worker(&name),
                    function: self.places.get(&function).copied().unwrap_or(0),
                    wanted: instances,
                    at: now,
                })),
                Command::Answer { call, answer } => {
                    out.push(Want::End(call.0, answer == tansy_dispatch::Answer::Served));
                }
                _ => {}
            }
        }
    }
}

/// A call as the ledger is told of it.
pub fn call(call: u64, function: &str, unlisted: bool) -> Input {
    let shape = FunctionShape {
        lanes: 1,
        memory_mb: 256.0,
        load_time: Some(LOAD),
    };
    Input::Call(Call {
        id: CallId(call),
        function: function.to_string(),
        class: Some(0),
        tenant: 0,
        budget: Some(5 * SECOND),
        work_hint: None,
        repeat: false,
        shape: unlisted.then_some(shape),
        unknown_names: false,
        waited: 0,
    })
}

const SERVED: AttemptOutcome = AttemptOutcome::Status {
    code: 0,
    stage: ResponseStage::Last,
};

impl Machine for Ledger {
    fn call(&mut self, now: Micros, number: u64, function: usize, out: &mut Vec<Want>) {
        let Some(name) = self.names.get(function) else {
            return;
        };
        let input = call(number, name, self.unlisted);
        self.step(now, input, out);
    }

    fn served(&mut self, now: Micros, sent: Sent, out: &mut Vec<Want>) {
        let note = if sent.warm {
            tansy_dispatch::CacheStatus::Warm
        } else {
            tansy_dispatch::CacheStatus::StartedLoad
        };
        let report = tansy_dispatch::LoadReport {
            busy: Some(BUSY),
            ..Default::default()
        };
        let told = Trailers {
            cache_status: note,
            report: Some(report),
            ..Trailers::default()
        };
        let (call, attempt) = (CallId(sent.call), sent.attempt);
        self.step(
            now,
            Input::ResponseMessage {
                call,
                attempt,
                last: true,
            },
            out,
        );
        self.step(
            now,
            Input::AttemptEnded {
                call,
                attempt,
                outcome: SERVED,
                trailers: told,
            },
            out,
        );
    }

    fn ordered(&mut self, now: Micros, order: Order, stand: u32, out: &mut Vec<Want>) {
        let told = Trailers {
            instances: Some(stand),
            ..Trailers::default()
        };
        self.step(
            now,
            Input::ControlRequestEnded {
                request: ControlRequestId(order.number),
                outcome: SERVED,
                trailers: told,
            },
            out,
        );
    }

    fn tick(&mut self, now: Micros, out: &mut Vec<Want>) {
        self.step(now, Input::Tick, out);
    }

    fn due(&self) -> Option<Micros> {
        // The wheel's tick has begun then.
        self.front.next_due().map(|t| t.0 + 500)
    }
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Comes {
    Call,
    Cold,
    Served(Sent),
    Ordered(Order, u32),
}

/// What became of the calls of functions that no worker had.
#[derive(Default)]
pub struct Cold {
    /// Virtual time from the call to the order that loads.
    pub order_wait: Distribution,
    /// Virtual time from the load's end to the send.
    pub send_wait: Distribution,
    /// Virtual time from the call to the send.
    pub in_all: Distribution,
    /// Wall time of the ledger's steps from the call to the order, and of the one that sends.
    pub order: Distribution,
    /// See `order`.
    pub send: Distribution,
    /// Answered without a send.
    pub refused: u64,
}

struct ColdCall {
    at: Micros,
    loaded: Option<Micros>,
    ordered: bool,
}

/// The day.
pub struct Day<M> {
    /// What is measured.
    pub machine: M,
    draw: FunctionPopularity,
    /// Which functions siblings call so often that they stand somewhere whenever they are looked for.
    kept: Vec<bool>,
    /// What was loaded for this front end, and until when it stands.
    warm: HashMap<(usize, usize), Micros>,
    coming: BinaryHeap<Reverse<(Micros, u64, Comes)>>,
    count: u64,
    calls: u64,
    open: HashMap<u64, usize>,
    rng: fastrand::Rng,
    now: Micros,
    /// Wall times: of the step that takes a call.
    pub decide: Distribution,
    /// Of one that takes an answer.
    pub told: Distribution,
    /// Of one that only time brings.
    pub tick: Distribution,
    in_ticks: Duration,
    since: Micros,
    ended: u64,
    /// Calls that were not served.
    pub unserved: u64,
    /// Calls of functions that no worker has.
    pub cold: Cold,
    waiting: BTreeMap<usize, ColdCall>,
    /// Gives a function that nobody has called yet.
    fresh: Option<fn(&mut M, u64) -> usize>,
    gap: Micros,
}

impl<M: Machine> Day<M> {
    /// One of so many front ends, whose calls are drawn like this.
    pub fn new(machine: M, draw: FunctionPopularity, front_ends: usize, seed: u64) -> Day<M> {
        // A function stands somewhere if the fleet calls it at least once in the time that an idle instance stays.
        let life = 10.0;
        let kept = draw
            .shares()
            .iter()
            .map(|s| s * CALLS_S * front_ends as f64 * life >= 1.0)
            .collect();
        let mut day = Day {
            machine,
            draw,
            kept,
            warm: HashMap::new(),
            coming: BinaryHeap::new(),
            count: 0,
            calls: 0,
            open: HashMap::new(),
            rng: fastrand::Rng::with_seed(seed),
            now: 0,
            decide: Distribution::default(),
            told: Distribution::default(),
            tick: Distribution::default(),
            in_ticks: Duration::ZERO,
            since: 0,
            ended: 0,
            unserved: 0,
            cold: Cold::default(),
            waiting: BTreeMap::new(),
            fresh: None,
            gap: 0,
        };
        day.comes(0, Comes::Call);
        day
    }

    /// From now on functions that nobody has called yet are called as well, so many in a second.
    pub fn cold_calls(&mut self, each_s: f64, fresh: fn(&mut M, u64) -> usize) {
        (self.fresh, self.gap) = (Some(fresh), (SECOND as f64 / each_s) as Micros);
        self.comes(self.gap, Comes::Cold);
    }

    /// The moment.
    pub fn now(&self) -> Micros {
        self.now
    }

    /// Begins at another moment than 0.
    pub fn begin(&mut self, now: Micros) {
        self.now = now;
        self.coming.clear();
        self.comes(0, Comes::Call);
    }

    fn comes(&mut self, after: Micros, what: Comes) {
        self.count += 1;
        self.coming
            .push(Reverse((self.now + after.max(0), self.count, what)));
    }

    /// What was measured so far is left out.
    pub fn forget(&mut self) {
        (self.decide, self.told, self.tick) = Default::default();
        (self.in_ticks, self.since, self.ended, self.unserved) = (Duration::ZERO, self.now, 0, 0);
        self.cold = Cold::default();
    }

    /// Percent of a core that ticks took since then.
    pub fn tick_cpu(&self) -> f64 {
        let virtual_s = (self.now - self.since).max(1) as f64 / 1e6;
        self.in_ticks.as_secs_f64() / virtual_s * 100.0
    }

    /// Calls that ended since then.
    pub fn ended(&self) -> u64 {
        self.ended
    }

    /// Lets so much time pass.
    pub fn run(&mut self, span: Micros) {
        let end = self.now + span;
        let mut out = Vec::new();
        loop {
            let due = self.machine.due();
            let next = self.coming.peek().map(|Reverse(e)| e.0);
            let Some(at) = due.into_iter().chain(next).min().filter(|at| *at <= end) else {
                break;
            };
            self.now = self.now.max(at);
            if due.is_some_and(|d| d <= self.now) {
                let began = Instant::now();
                self.machine.tick(self.now, &mut out);
                let took = began.elapsed();
                self.tick.add(took);
                self.in_ticks += took;
                self.carry_out(&mut out, took);
                continue;
            }
            let Some(Reverse((_, _, what))) = self.coming.pop() else {
                break;
            };
            match what {
                Comes::Call => {
                    let function = self.draw.next(&mut self.rng);
                    let gap = -(1.0 - self.rng.f64()).ln() / CALLS_S * 1e6;
                    self.comes(gap as Micros, Comes::Call);
                    let took = self.call(function, &mut out);
                    self.decide.add(took);
                    self.carry_out(&mut out, took);
                }
                Comes::Cold => {
                    let Some(fresh) = self.fresh else { continue };
                    let function = fresh(&mut self.machine, self.count);
                    self.comes(self.gap, Comes::Cold);
                    self.waiting.insert(
                        function,
                        ColdCall {
                            at: self.now,
                            loaded: None,
                            ordered: false,
                        },
                    );
                    let took = self.call(function, &mut out);
                    self.carry_out(&mut out, took);
                }
                Comes::Served(sent) => {
                    let began = Instant::now();
                    self.machine.served(self.now, sent, &mut out);
                    let took = began.elapsed();
                    self.told.add(took);
                    self.carry_out(&mut out, took);
                }
                Comes::Ordered(order, stand) => {
                    if order.wanted > 0 {
                        self.warm
                            .insert((order.worker, order.function), self.now + 10 * SECOND);
                        let now = self.now;
                        self.waiting
                            .entry(order.function)
                            .and_modify(|c| c.loaded = Some(now));
                    }
                    let began = Instant::now();
                    self.machine.ordered(self.now, order, stand, &mut out);
                    let took = began.elapsed();
                    self.told.add(took);
                    self.carry_out(&mut out, took);
                }
            }
        }
        self.now = end;
    }

    fn call(&mut self, function: usize, out: &mut Vec<Want>) -> Duration {
        self.calls += 1;
        self.open.insert(self.calls, function);
        let began = Instant::now();
        self.machine.call(self.now, self.calls, function, out);
        began.elapsed()
    }

    fn stands(&self, worker: usize, function: usize) -> bool {
        let kept = self.kept.get(function).copied().unwrap_or(false);
        kept || self
            .warm
            .get(&(worker, function))
            .is_some_and(|until| *until > self.now)
    }

    fn carry_out(&mut self, out: &mut Vec<Want>, took: Duration) {
        for want in out.drain(..) {
            match want {
                Want::Send(mut sent) => {
                    let Some(function) = self.open.get(&sent.call).copied() else {
                        continue;
                    };
                    sent.warm = self.stands(sent.worker, function);
                    if let Some(c) = self.waiting.remove(&function) {
                        // One that was sent to a sibling's instance, or without a load, is no cold start.
                        if let Some(loaded) = c.loaded {
                            self.cold.send_wait.add_us(self.now - loaded);
                            self.cold.in_all.add_us(self.now - c.at);
                            self.cold.send.add(took);
                        }
                    }
                    self.warm
                        .insert((sent.worker, function), self.now + 10 * SECOND);
                    self.comes(WORK + if sent.warm { 0 } else { LOAD }, Comes::Served(sent));
                }
                Want::Order(order) => {
                    if let Some(c) = self
                        .waiting
                        .get_mut(&order.function)
                        .filter(|_| order.wanted > 0)
                    {
                        if !std::mem::replace(&mut c.ordered, true) {
                            self.cold.order_wait.add_us(self.now - c.at);
                            self.cold.order.add(took);
                        }
                    }
                    let stands = self.stands(order.worker, order.function);
                    let after = if order.wanted > 0 && !stands {
                        LOAD
                    } else {
                        ASK
                    };
                    let stand = u32::from(stands || order.wanted > 0);
                    self.comes(after, Comes::Ordered(order, stand));
                }
                Want::End(call, served) => {
                    self.ended += 1;
                    self.unserved += u64::from(!served);
                    if let Some(function) = self.open.remove(&call) {
                        if self.waiting.remove(&function).is_some() {
                            self.cold.refused += 1;
                        }
                    }
                }
            }
        }
    }
}
