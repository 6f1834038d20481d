//! What workers bear of front ends: the ledgers of a small fleet, the same pool of workers for all, in virtual time.
//!
//! The ledgers decide; what workers do here is simple: they load on a miss or on an order, some at a time, keep an instance
//! while it is used and for its idle life, and run so many calls of it at a time. The fleet is one of the size asked for at
//! a smaller scale if functions, instances and front ends are in the same proportion: each front end takes as many calls.

use crate::connections::{Connections, Keeping};
use crate::inputs::{self, Draw, CALLS_S, CLASSES, LOAD, WARM};
use crate::measure::{Distribution, OutputRecord};
use crate::{Args, BenchError};
use serde_json::json;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Instant;
use tansy_dispatch::{
    AttemptOutcome, CacheStatus, Call, CallId, Command, ControlRequestId, Counters, Dispatcher,
    FunctionShape, Input, LoadReport, NeverRan, ResponseStage, Trailers,
};
use tansyrouter::{Micros, MissPolicy, Reports, Settings, Time, SECOND};

/// Until the fleet is steady: more than connections stay idle and rates are remembered.
pub const STEADY: Micros = 20 * SECOND;
/// What is measured then.
pub const MEASURED: Micros = 10 * SECOND;
/// What is measured after it, with some workers silent.
pub const SILENT: Micros = 10 * SECOND;
/// One of so many workers falls silent.
const SILENT_OF: usize = 20;
/// The way to a worker, and back.
const WAY: Micros = 1_000;
/// A call's work.
const WORK: Micros = 20_000;
/// Calls that an instance runs at a time.
const LANES: u32 = 4;
/// Loads that a worker runs at a time, as the sites under `deploy/` have it.
const LOADS: usize = 4;
/// Instances that a worker has room for.
const ROOM: usize = 2 * WARM;
/// Calls that keep all cores of a worker at work.
const BUSY: f64 = 8.0;
/// Idle time after which a site's workers close a connection, of which front ends let three quarters pass; streams of one.
const SITES: [(&str, Micros, u32); 2] = [
    ("connections_12s", 12 * SECOND, 1),
    ("connections_20s", 20 * SECOND, 8),
];

/// Kinds of orders, by their place in [`Got::orders`].
pub const LOADED: usize = 0;
/// Asks: orders that want no instance.
pub const ASKED: usize = 1;
/// Unloads.
pub const UNLOADED: usize = 2;
/// Probes.
pub const PROBED: usize = 3;

/// What a worker got of all front ends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Got {
    /// Attempts.
    pub calls: u64,
    /// Orders by kind.
    pub orders: [u64; 4],
    /// Loads that it made.
    pub loads: u64,
}

#[derive(Clone, Copy)]
enum Job {
    Call {
        front: usize,
        call: u64,
        attempt: u32,
        note: CacheStatus,
    },
    Order {
        front: usize,
        order: u64,
    },
}

#[derive(Default)]
struct Instance {
    ready: bool,
    running: u32,
    waiting: VecDeque<Job>,
    idle_since: Micros,
}

#[derive(Default)]
struct Worker {
    instances: HashMap<usize, Instance>,
    loading: usize,
    to_load: VecDeque<usize>,
    running: u32,
    silent: bool,
    got: Got,
}

enum Event {
    Call(usize),
    Tick(usize, Micros),
    /// At a worker.
    Attempt {
        worker: usize,
        function: usize,
        front: usize,
        call: u64,
        attempt: u32,
    },
    Order {
        worker: usize,
        front: usize,
        order: u64,
        kind: usize,
        function: usize,
        instances: u32,
    },
    Loaded {
        worker: usize,
        function: usize,
    },
    Ran {
        worker: usize,
        function: usize,
        job: Job,
    },
    Idle {
        worker: usize,
        function: usize,
        since: Micros,
    },
    /// At a front end.
    Opened {
        front: usize,
        call: u64,
        attempt: u32,
    },
    Ended {
        front: usize,
        call: u64,
        attempt: u32,
        seen: AttemptOutcome,
        told: Trailers,
    },
    OrderEnded {
        front: usize,
        order: u64,
        seen: AttemptOutcome,
        told: Trailers,
    },
}

/// Streams that are open: the connection of each way to keep them.
struct Stream {
    worker: usize,
    function: usize,
    serials: Vec<u64>,
}

struct Member {
    front: Dispatcher,
    rng: fastrand::Rng,
    due: Option<Micros>,
    calls: u64,
    /// Calls that have no answer yet: function and when they came.
    open: HashMap<u64, (usize, Micros)>,
    attempts: HashMap<(u64, u32), Stream>,
    orders: HashMap<u64, Stream>,
    /// When it was called last for each function.
    called: HashMap<usize, Micros>,
    /// Calls of functions that stood nowhere, one of each function.
    cold: HashMap<usize, ColdCall>,
}

/// A call of a function that stood nowhere.
struct ColdCall {
    call: u64,
    came: Micros,
    /// When its order left, when the front end heard that it was carried out, when the last attempt left.
    ordered: Option<Micros>,
    loaded: Option<Micros>,
    sent: Option<Micros>,
}

/// What became of the calls of functions that stood nowhere.
#[derive(Default)]
pub struct ColdStarts {
    /// From the call to the order.
    pub order_wait: Distribution,
    /// From the order's answer to the attempt that was served.
    pub send_wait: Distribution,
    /// From the call to that attempt, less the time from the order to its answer.
    pub ours: Distribution,
    /// From the call to the answer.
    pub in_all: Distribution,
    /// Calls.
    pub calls: u64,
    /// Answered otherwise than served.
    pub unserved: u64,
}

impl ColdStarts {
    fn ends(&mut self, c: &ColdCall, now: Micros, served: bool) {
        let Some(sent) = c.sent.filter(|_| served) else {
            self.unserved += 1;
            return;
        };
        c.ordered
            .into_iter()
            .for_each(|at| self.order_wait.add_us(at - c.came));
        let loaded = c.loaded.filter(|at| *at <= sent);
        loaded
            .into_iter()
            .for_each(|at| self.send_wait.add_us(sent - at));
        let load = c.ordered.zip(loaded).map_or(0, |(from, to)| to - from);
        self.ours.add_us(sent - c.came - load);
        self.in_all.add_us(now - c.came);
    }
}

/// A fleet and its workers.
pub struct Play {
    now: Micros,
    count: u64,
    coming: BTreeMap<(Micros, u64), Event>,
    names: Vec<String>,
    places: HashMap<String, usize>,
    draw: Draw,
    members: Vec<Member>,
    workers: Vec<Worker>,
    /// Instances of each function that stand or are loaded.
    stand: Vec<u32>,
    /// When any front end called it last.
    called: Vec<Option<Micros>>,
    miss: bool,
    idle_life: Micros,
    links: Vec<Connections>,
    commands: Vec<Command>,
    /// Of calls since it is measured: all, those of functions that their own front end, or any, had called lately.
    pub taken: u64,
    /// See `taken`.
    pub known: (u64, u64),
    /// Answered otherwise than served.
    pub unserved: u64,
    /// See there.
    pub cold: ColdStarts,
    /// Wall time of the step that takes a call.
    pub decide: Distribution,
}

fn told() -> Trailers {
    Trailers::default()
}

const OK: AttemptOutcome = AttemptOutcome::Status {
    code: 0,
    stage: ResponseStage::Last,
};
const AWAY: AttemptOutcome = AttemptOutcome::Status {
    code: 14,
    stage: ResponseStage::Nothing,
};

impl Play {
    /// None of the workers has anything, and nobody is connected.
    pub fn new(args: &Args) -> Result<Play, BenchError> {
        let names = inputs::names(args.functions, args.seed);
        let workers = args.instances.div_ceil(WARM).max(1);
        // What is not said is as the settings have it without a word (settings/src/schema.cue).
        let settings = |me: usize| Settings {
            front_end: me,
            miss_policy: if args.miss {
                MissPolicy::Miss
            } else {
                MissPolicy::Load
            },
            may_probe: true,
            reports: Reports::Attached,
            ..inputs::settings(args.front_ends)
        };
        let listed: Vec<_> = (0..workers).map(inputs::listed).collect();
        let mut members = Vec::new();
        for me in 0..args.front_ends {
            let mut config =
                inputs::config(&[], args.front_ends, args.seed.wrapping_add(me as u64));
            config.settings = settings(me);
            let front = Dispatcher::new(config, Time(0))
                .map_err(|e| BenchError::failed("the ledger's settings", e))?;
            members.push(Member {
                front,
                rng: fastrand::Rng::with_seed(
                    args.seed.wrapping_mul(1_000_003).wrapping_add(me as u64),
                ),
                due: None,
                calls: 0,
                open: HashMap::new(),
                attempts: HashMap::new(),
                orders: HashMap::new(),
                called: HashMap::new(),
                cold: HashMap::new(),
            });
        }
        let ours = |idle: Micros| Some(idle / 4 * 3);
        let mut links = vec![Connections::new(
            workers,
            Keeping {
                idle: None,
                streams: u32::MAX,
            },
        )];
        let site = |(_, idle, streams)| {
            Connections::new(
                workers,
                Keeping {
                    idle: ours(idle),
                    streams,
                },
            )
        };
        links.extend(SITES.map(site));
        let mut play = Play {
            now: 0,
            count: 0,
            coming: BTreeMap::new(),
            places: names
                .iter()
                .enumerate()
                .map(|(n, name)| (name.clone(), n))
                .collect(),
            draw: Draw::new(args.functions, args.seed),
            members,
            workers: (0..workers).map(|_| Worker::default()).collect(),
            stand: vec![0; args.functions],
            called: vec![None; args.functions],
            miss: args.miss,
            idle_life: settings(0).idle_life,
            links,
            commands: Vec::new(),
            names,
            taken: 0,
            known: (0, 0),
            unserved: 0,
            cold: ColdStarts::default(),
            decide: Distribution::default(),
        };
        for n in 0..args.front_ends {
            play.step(
                n,
                Input::Workers {
                    full: true,
                    workers: listed.clone(),
                },
            );
            play.next_call(n);
        }
        Ok(play)
    }

    fn comes(&mut self, after: Micros, event: Event) {
        self.count += 1;
        self.coming
            .insert((self.now + after.max(0), self.count), event);
    }

    fn next_call(&mut self, front: usize) {
        let Some(m) = self.members.get_mut(front) else {
            return;
        };
        let gap = -(1.0 - m.rng.f64()).ln() / CALLS_S * 1e6;
        self.comes(gap as Micros, Event::Call(front));
    }

    /// Lets so much time pass.
    pub fn run(&mut self, span: Micros) {
        let end = self.now + span;
        while let Some((&(at, _), _)) = self.coming.first_key_value().filter(|(k, _)| k.0 <= end) {
            self.now = at;
            let Some((_, event)) = self.coming.pop_first() else {
                break;
            };
            self.happens(event);
        }
        self.now = end;
    }

    /// What was seen so far is left out.
    pub fn measure(&mut self) {
        self.workers.iter_mut().for_each(|w| w.got = Got::default());
        self.links.iter_mut().for_each(|l| l.measure(self.now));
        (self.taken, self.known, self.unserved) = (0, (0, 0), 0);
        (self.cold, self.decide) = Default::default();
    }

    /// Each n-th worker answers nothing from here on.
    pub fn silence(&mut self, of: usize) {
        self.workers
            .iter_mut()
            .step_by(of.max(1))
            .for_each(|w| w.silent = true);
    }

    /// What each worker got since it is measured, and whether it is silent.
    pub fn got(&self) -> Vec<(Got, bool)> {
        self.workers.iter().map(|w| (w.got, w.silent)).collect()
    }

    /// What each front end counted since its start.
    pub fn accounts(&self) -> Vec<Counters> {
        self.members
            .iter()
            .map(|m| m.front.counters().clone())
            .collect()
    }

    /// Orders and attempts on their way to a worker now.
    pub fn under_way(&self) -> (u64, u64) {
        let orders = |e: &&Event| matches!(e, Event::Order { .. });
        let attempts = |e: &&Event| matches!(e, Event::Attempt { .. });
        let all = || self.coming.values();
        (
            all().filter(orders).count() as u64,
            all().filter(attempts).count() as u64,
        )
    }

    /// Streams that are open by the front ends.
    pub fn streams(&self) -> u64 {
        self.members
            .iter()
            .map(|m| (m.attempts.len() + m.orders.len()) as u64)
            .sum()
    }

    /// Connections by the ways to keep them: as the program does, then as each site would have it.
    pub fn links(&mut self) -> &mut [Connections] {
        &mut self.links
    }

    // ---- Front ends ----

    fn step(&mut self, n: usize, input: Input) {
        let Some(m) = self.members.get_mut(n) else {
            return;
        };
        let mut commands = std::mem::take(&mut self.commands);
        m.front.step(Time(self.now), input, &mut commands);
        let due = m.front.next_due().map(|t| (t.0 + 500).max(self.now));
        let ticks = due.filter(|_| m.due != due);
        m.due = due;
        for command in commands.drain(..) {
            self.carry_out(n, command);
        }
        self.commands = commands;
        if let Some(at) = ticks {
            self.comes(at - self.now, Event::Tick(n, at));
        }
    }

    fn begin(&mut self, n: usize, worker: usize, function: usize) -> (Stream, Micros) {
        let now = self.now;
        let begun: Vec<(u64, bool)> = self
            .links
            .iter_mut()
            .map(|l| l.begin(now, n, worker))
            .collect();
        // A new one is made first, as the program makes it.
        let way = WAY
            + if begun.first().is_some_and(|b| b.1) {
                2 * WAY
            } else {
                0
            };
        (
            Stream {
                worker,
                function,
                serials: begun.into_iter().map(|b| b.0).collect(),
            },
            way,
        )
    }

    fn end(&mut self, n: usize, stream: &Stream) {
        for (link, serial) in self.links.iter_mut().zip(&stream.serials) {
            link.end(self.now, n, stream.worker, *serial);
        }
    }

    fn worker_of(name: &str) -> usize {
        name.rsplit('-')
            .next()
            .and_then(|n| n.parse().ok())
            .unwrap_or(0)
    }

    fn give(
        &mut self,
        n: usize,
        order: ControlRequestId,
        to: &str,
        kind: usize,
        function: usize,
        instances: u32,
    ) {
        let worker = Self::worker_of(to);
        let (stream, way) = self.begin(n, worker, function);
        if let Some(m) = self.members.get_mut(n) {
            m.orders.insert(order.0, stream);
        }
        self.comes(
            way,
            Event::Order {
                worker,
                front: n,
                order: order.0,
                kind,
                function,
                instances,
            },
        );
    }

    fn carry_out(&mut self, n: usize, command: Command) {
        match command {
            Command::SendAttempt {
                call,
                attempt,
                worker,
                ..
            } => {
                let worker = Self::worker_of(&worker);
                let Some(function) = self
                    .members
                    .get(n)
                    .and_then(|m| m.open.get(&call.0))
                    .map(|o| o.0)
                else {
                    return;
                };
                let (stream, way) = self.begin(n, worker, function);
                let Some(m) = self.members.get_mut(n) else {
                    return;
                };
                m.attempts.insert((call.0, attempt), stream);
                if let Some(c) = m.cold.get_mut(&function).filter(|c| c.call == call.0) {
                    c.sent = Some(self.now);
                }
                let (front, call) = (n, call.0);
                self.comes(
                    way,
                    Event::Attempt {
                        worker,
                        function,
                        front,
                        call,
                        attempt,
                    },
                );
            }
            Command::Load {
                request: order,
                worker,
                function,
                instances,
            } => {
                let function = self.places.get(&function).copied().unwrap_or(0);
                let now = self.now;
                let cold = self
                    .members
                    .get_mut(n)
                    .and_then(|m| m.cold.get_mut(&function));
                if let Some(c) = cold.filter(|_| instances > 0) {
                    c.ordered.get_or_insert(now);
                }
                let kind = if instances > 0 { LOADED } else { ASKED };
                self.give(n, order, &worker, kind, function, instances);
            }
            Command::Unload {
                request: order,
                worker,
                function,
            } => {
                let function = self.places.get(&function).copied().unwrap_or(0);
                self.give(n, order, &worker, UNLOADED, function, 0);
            }
            Command::Probe {
                request: order,
                worker,
            } => self.give(n, order, &worker, PROBED, 0, 0),
            Command::Answer { call, answer } => {
                let Some(m) = self.members.get_mut(n) else {
                    return;
                };
                let Some((function, _)) = m.open.remove(&call.0) else {
                    return;
                };
                let served = answer == tansy_dispatch::Answer::Served;
                self.unserved += u64::from(!served);
                if m.cold.get(&function).is_some_and(|c| c.call == call.0) {
                    let cold = m.cold.remove(&function);
                    cold.into_iter()
                        .for_each(|c| self.cold.ends(&c, self.now, served));
                }
            }
            Command::ConfirmSent { call, attempt } => {
                // It left at once, or waits for its connection, which is made soon.
                if self
                    .members
                    .get(n)
                    .is_some_and(|m| m.attempts.contains_key(&(call.0, attempt)))
                {
                    self.comes(
                        0,
                        Event::Opened {
                            front: n,
                            call: call.0,
                            attempt,
                        },
                    );
                }
            }
            Command::CancelAttempt { call, attempt } => {
                let (front, call, seen, told) = (n, call.0, AttemptOutcome::Cancelled, told());
                self.comes(
                    0,
                    Event::Ended {
                        front,
                        call,
                        attempt,
                        seen,
                        told,
                    },
                );
            }
            Command::CancelControlRequest { request: order } => {
                let (front, order, seen, told) = (n, order.0, AttemptOutcome::Cancelled, told());
                self.comes(
                    0,
                    Event::OrderEnded {
                        front,
                        order,
                        seen,
                        told,
                    },
                );
            }
            Command::ForwardMessage { .. }
            | Command::RecallUnsent { .. }
            | Command::DropConnection { .. }
            | Command::RetireWorker { .. }
            | Command::ReportMissingFunction { .. }
            | Command::FetchWorkerList
            | Command::SubscribeWorkerList => {}
        }
    }

    fn call(&mut self, n: usize) {
        self.next_call(n);
        let (now, lately) = (self.now, self.idle_life);
        let Some(m) = self.members.get_mut(n) else {
            return;
        };
        let function = self.draw.next(&mut m.rng);
        m.calls += 1;
        let number = m.calls;
        m.open.insert(number, (function, now));
        let fresh = |at: Option<Micros>| u64::from(at.is_some_and(|at| now - at < lately));
        let any = self.called.get_mut(function).and_then(|c| c.replace(now));
        self.taken += 1;
        self.known.0 += fresh(m.called.insert(function, now));
        self.known.1 += fresh(any);
        if self.stand.get(function).is_some_and(|s| *s == 0) {
            self.cold.calls += 1;
            let call = ColdCall {
                call: number,
                came: now,
                ordered: None,
                loaded: None,
                sent: None,
            };
            m.cold.entry(function).or_insert(call);
        }
        let Some(name) = self.names.get(function) else {
            return;
        };
        let input = Input::Call(Call {
            id: CallId(number),
            function: name.clone(),
            class: Some(function % CLASSES),
            tenant: 0,
            budget: Some(5 * SECOND),
            work_hint: None,
            repeat: false,
            shape: Some(FunctionShape {
                lanes: LANES,
                memory_mb: 256.0,
                load_time: Some(LOAD),
            }),
            unknown_names: false,
            waited: 0,
        });
        let began = Instant::now();
        self.step(n, input);
        self.decide.add(began.elapsed());
    }

    // ---- Workers ----

    fn happens(&mut self, event: Event) {
        match event {
            Event::Call(n) => self.call(n),
            Event::Tick(n, at) => {
                if self.members.get(n).is_some_and(|m| m.due == Some(at)) {
                    self.members
                        .get_mut(n)
                        .into_iter()
                        .for_each(|m| m.due = None);
                    self.step(n, Input::Tick);
                }
            }
            Event::Attempt {
                worker,
                function,
                front,
                call,
                attempt,
            } => self.attempt(worker, function, front, call, attempt),
            Event::Order {
                worker,
                front,
                order,
                kind,
                function,
                instances,
            } => self.order(worker, front, order, kind, function, instances),
            Event::Loaded { worker, function } => self.loaded(worker, function),
            Event::Ran {
                worker,
                function,
                job,
            } => self.ran(worker, function, job),
            Event::Idle {
                worker,
                function,
                since,
            } => {
                let Some(w) = self.workers.get_mut(worker) else {
                    return;
                };
                let over = |i: &Instance| i.ready && i.running == 0 && i.idle_since == since;
                if w.instances.get(&function).is_some_and(over) {
                    self.remove(worker, function);
                }
            }
            Event::Opened {
                front,
                call,
                attempt,
            } => {
                if self
                    .members
                    .get(front)
                    .is_some_and(|m| m.attempts.contains_key(&(call, attempt)))
                {
                    self.step(
                        front,
                        Input::AttemptSent {
                            call: CallId(call),
                            attempt,
                        },
                    );
                }
            }
            Event::Ended {
                front,
                call,
                attempt,
                seen,
                told,
            } => {
                let Some(m) = self.members.get_mut(front) else {
                    return;
                };
                let Some(stream) = m.attempts.remove(&(call, attempt)) else {
                    return;
                };
                self.end(front, &stream);
                let call = CallId(call);
                if seen == OK {
                    self.step(
                        front,
                        Input::ResponseMessage {
                            call,
                            attempt,
                            last: true,
                        },
                    );
                }
                self.step(
                    front,
                    Input::AttemptEnded {
                        call,
                        attempt,
                        outcome: seen,
                        trailers: told,
                    },
                );
            }
            Event::OrderEnded {
                front,
                order,
                seen,
                told,
            } => {
                let now = self.now;
                let Some(m) = self.members.get_mut(front) else {
                    return;
                };
                let Some(stream) = m.orders.remove(&order) else {
                    return;
                };
                let cold = m
                    .cold
                    .get_mut(&stream.function)
                    .filter(|c| c.ordered.is_some());
                if let Some(c) = cold.filter(|_| told.instances.is_some_and(|i| i > 0)) {
                    c.loaded.get_or_insert(now);
                }
                self.end(front, &stream);
                self.step(
                    front,
                    Input::ControlRequestEnded {
                        request: ControlRequestId(order),
                        outcome: seen,
                        trailers: told,
                    },
                );
            }
        }
    }

    fn remove(&mut self, worker: usize, function: usize) {
        let Some(w) = self.workers.get_mut(worker) else {
            return;
        };
        if w.instances.remove(&function).is_some() {
            if let Some(stand) = self.stand.get_mut(function) {
                *stand -= 1;
            }
        }
    }

    /// Whether there is room for one more, after one that is idle made it.
    fn room(&mut self, worker: usize) -> bool {
        let Some(w) = self.workers.get(worker) else {
            return false;
        };
        if w.instances.len() < ROOM {
            return true;
        }
        let idle = w
            .instances
            .iter()
            .filter(|(_, i)| i.ready && i.running == 0);
        let oldest = idle
            .min_by_key(|(f, i)| (i.idle_since, **f))
            .map(|(f, _)| *f);
        oldest.is_some_and(|f| {
            self.remove(worker, f);
            true
        })
    }

    /// Begins to load, with what waits for it; whether there was room.
    fn load(&mut self, worker: usize, function: usize, job: Job) -> bool {
        if !self.room(worker) {
            return false;
        }
        let Some(w) = self.workers.get_mut(worker) else {
            return false;
        };
        w.got.loads += 1;
        w.instances.insert(
            function,
            Instance {
                waiting: VecDeque::from([job]),
                ..Instance::default()
            },
        );
        w.to_load.push_back(function);
        if let Some(stand) = self.stand.get_mut(function) {
            *stand += 1;
        }
        self.loads(worker);
        true
    }

    fn loads(&mut self, worker: usize) {
        let Some(w) = self.workers.get_mut(worker) else {
            return;
        };
        let mut begun = Vec::new();
        while w.loading < LOADS {
            let Some(function) = w.to_load.pop_front() else {
                break;
            };
            w.loading += 1;
            begun.push(function);
        }
        begun
            .into_iter()
            .for_each(|function| self.comes(LOAD, Event::Loaded { worker, function }));
    }

    fn report(&self, worker: usize) -> Option<LoadReport> {
        let w = self.workers.get(worker)?;
        let busy = Some((f64::from(w.running) / BUSY).min(1.0));
        Some(LoadReport {
            busy,
            loads: Some((w.loading + w.to_load.len()) as f64),
            ..LoadReport::default()
        })
    }

    fn answers(&mut self, worker: usize, job: Job, seen: AttemptOutcome, told: Trailers) {
        if self.workers.get(worker).is_none_or(|w| w.silent) {
            return;
        }
        let told = Trailers {
            report: self.report(worker),
            ..told
        };
        match job {
            Job::Call {
                front,
                call,
                attempt,
                note,
            } => {
                let told = Trailers {
                    cache_status: note,
                    ..told
                };
                self.comes(
                    WAY,
                    Event::Ended {
                        front,
                        call,
                        attempt,
                        seen,
                        told,
                    },
                );
            }
            Job::Order { front, order } => self.comes(
                WAY,
                Event::OrderEnded {
                    front,
                    order,
                    seen,
                    told,
                },
            ),
        }
    }

    fn attempt(&mut self, worker: usize, function: usize, front: usize, call: u64, attempt: u32) {
        let Some(w) = self.workers.get_mut(worker) else {
            return;
        };
        w.got.calls += 1;
        if w.silent {
            return;
        }
        let job = |note| Job::Call {
            front,
            call,
            attempt,
            note,
        };
        let found = w
            .instances
            .get(&function)
            .map(|i| (i.ready, i.running < LANES));
        match found {
            Some((true, true)) => self.runs(worker, function, job(CacheStatus::Warm)),
            Some((ready, _)) => {
                let note = if ready {
                    CacheStatus::Warm
                } else {
                    CacheStatus::AwaitedLoad
                };
                if let Some(i) = w.instances.get_mut(&function) {
                    i.waiting.push_back(job(note));
                }
            }
            None if self.miss => {
                let told = Trailers {
                    never_ran: Some(NeverRan::NotLoaded),
                    ..told()
                };
                self.answers(worker, job(CacheStatus::Unreported), AWAY, told);
            }
            None => {
                if !self.load(worker, function, job(CacheStatus::StartedLoad)) {
                    let told = Trailers {
                        never_ran: Some(NeverRan::TurnedAway),
                        ..told()
                    };
                    self.answers(worker, job(CacheStatus::Unreported), AWAY, told);
                }
            }
        }
    }

    fn runs(&mut self, worker: usize, function: usize, job: Job) {
        let Some(w) = self.workers.get_mut(worker) else {
            return;
        };
        let Some(i) = w.instances.get_mut(&function) else {
            return;
        };
        (w.running, i.running) = (w.running + 1, i.running + 1);
        self.comes(
            WORK,
            Event::Ran {
                worker,
                function,
                job,
            },
        );
    }

    fn ran(&mut self, worker: usize, function: usize, job: Job) {
        self.answers(worker, job, OK, told());
        let Some(w) = self.workers.get_mut(worker) else {
            return;
        };
        let Some(i) = w.instances.get_mut(&function) else {
            return;
        };
        (w.running, i.running) = (w.running.saturating_sub(1), i.running.saturating_sub(1));
        self.goes_on(worker, function);
    }

    /// Runs what waits for an instance, as far as its lanes go; one with nothing to run is idle from here on.
    fn goes_on(&mut self, worker: usize, function: usize) {
        loop {
            let Some(i) = self
                .workers
                .get_mut(worker)
                .and_then(|w| w.instances.get_mut(&function))
            else {
                return;
            };
            let free = i.running < LANES;
            let Some(job) = free.then(|| i.waiting.pop_front()).flatten() else {
                break;
            };
            match job {
                Job::Call { .. } => self.runs(worker, function, job),
                Job::Order { .. } => self.answers(
                    worker,
                    job,
                    OK,
                    Trailers {
                        instances: Some(1),
                        ..told()
                    },
                ),
            }
        }
        self.idles(worker, function);
    }

    fn idles(&mut self, worker: usize, function: usize) {
        let (now, life) = (self.now, self.idle_life);
        let Some(i) = self
            .workers
            .get_mut(worker)
            .and_then(|w| w.instances.get_mut(&function))
        else {
            return;
        };
        if i.ready && i.running == 0 {
            i.idle_since = now;
            self.comes(
                life,
                Event::Idle {
                    worker,
                    function,
                    since: now,
                },
            );
        }
    }

    fn loaded(&mut self, worker: usize, function: usize) {
        let Some(w) = self.workers.get_mut(worker) else {
            return;
        };
        w.loading = w.loading.saturating_sub(1);
        if let Some(i) = w.instances.get_mut(&function) {
            i.ready = true;
        }
        self.loads(worker);
        self.goes_on(worker, function);
    }

    fn order(
        &mut self,
        worker: usize,
        front: usize,
        order: u64,
        kind: usize,
        function: usize,
        instances: u32,
    ) {
        let Some(w) = self.workers.get_mut(worker) else {
            return;
        };
        if let Some(count) = w.got.orders.get_mut(kind) {
            *count += 1;
        }
        if w.silent {
            return;
        }
        let job = Job::Order { front, order };
        let ready = w.instances.get(&function).map(|i| i.ready);
        let stand = |n: u32| Trailers {
            instances: Some(n),
            ..told()
        };
        match (kind, ready) {
            (LOADED, Some(false)) => {
                if let Some(i) = w.instances.get_mut(&function) {
                    i.waiting.push_back(job);
                }
            }
            (LOADED, None) if instances > 0 => {
                if !self.load(worker, function, job) {
                    let told = Trailers {
                        never_ran: Some(NeverRan::TurnedAway),
                        ..told()
                    };
                    self.answers(worker, job, AWAY, told);
                }
            }
            (LOADED, Some(true)) => {
                self.idles(worker, function);
                self.answers(worker, job, OK, stand(1));
            }
            (UNLOADED, Some(true)) => {
                if w.instances.get(&function).is_some_and(|i| i.running == 0) {
                    self.remove(worker, function);
                }
                self.answers(worker, job, OK, stand(0));
            }
            (PROBED, _) => self.answers(worker, job, OK, told()),
            _ => self.answers(worker, job, OK, stand(u32::from(ready == Some(true)))),
        }
    }
}

/// Connections, orders and probes at a worker, and the cold starts of all, in a steady fleet; then with silent workers.
pub fn workers(args: &Args, output: &mut OutputRecord) -> Result<(), BenchError> {
    let mut play = Play::new(args)?;
    play.run(STEADY);
    play.measure();
    play.run(MEASURED);
    let seconds = MEASURED as f64 / 1e6;
    let got = play.got();
    let workers = got.len().max(1) as f64;
    output.count("workers", got.len());
    output.count("miss", usize::from(args.miss));
    output.figure("steady_s", STEADY as f64 / 1e6);
    output.figure("measured_s", seconds);
    output.figure("seldom", inputs::seldom(&play.draw.shares()));
    for (name, link) in ["connections"]
        .into_iter()
        .chain(SITES.map(|s| s.0))
        .zip(&mut play.links)
    {
        let (mean, most, opened_s) = link.seen(play.now);
        output.insert(
            name,
            json!({"mean": four(mean), "most": most, "opened_s": four(opened_s)}),
        );
    }
    let each = |name: &str, of: &dyn Fn(&Got) -> u64, output: &mut OutputRecord| {
        let all = || got.iter().map(|(g, _)| of(g));
        let most = all().max().unwrap_or(0) as f64;
        let mean = all().sum::<u64>() as f64 / workers;
        output.insert(
            name,
            json!({"mean": four(mean / seconds), "most": four(most / seconds)}),
        );
    };
    each("calls_s", &|g| g.calls, output);
    each("load_orders_s", &|g| g.orders[LOADED], output);
    each("asks_s", &|g| g.orders[ASKED], output);
    each("unloads_s", &|g| g.orders[UNLOADED], output);
    each("probes_s", &|g| g.orders[PROBED], output);
    each("orders_s", &|g| g.orders.iter().sum(), output);
    each("loads_s", &|g| g.loads, output);
    output.figure(
        "fleet_loads_s",
        got.iter().map(|g| g.0.loads).sum::<u64>() as f64 / seconds,
    );
    let share = |n: u64| n as f64 / play.taken.max(1) as f64;
    output.count("calls", play.taken as usize);
    output.count("unserved", play.unserved as usize);
    output.figure("known_own", share(play.known.0));
    output.figure("known_any", share(play.known.1));
    output.figure("cold_share", share(play.cold.calls));
    output.count("cold_calls", play.cold.calls as usize);
    output.count("cold_served", play.cold.in_all.count() as usize);
    output.count("cold_ordered", play.cold.order_wait.count() as usize);
    output.count("cold_unserved", play.cold.unserved as usize);
    output.insert("order_wait_ms", play.cold.order_wait.ms());
    output.insert("send_wait_ms", play.cold.send_wait.ms());
    output.insert("ours_ms", play.cold.ours.ms());
    output.insert("cold_ms", play.cold.in_all.ms());
    output.insert("decide_us", play.decide.us());
    // Some workers fall silent.
    play.silence(SILENT_OF);
    play.measure();
    play.run(SILENT);
    let got: Vec<Got> = play
        .got()
        .into_iter()
        .filter(|g| g.1)
        .map(|g| g.0)
        .collect();
    let all = || got.iter().map(|g| g.orders[PROBED]);
    let (mean, most) = (
        all().sum::<u64>() as f64 / got.len().max(1) as f64,
        all().max().unwrap_or(0) as f64,
    );
    let silent_s = SILENT as f64 / 1e6;
    output.count("silent", got.len());
    output.insert(
        "silent_probes_s",
        json!({"mean": four(mean / silent_s), "most": four(most / silent_s)}),
    );
    output.figure("silent_unserved", share_of(play.unserved, play.taken));
    Ok(())
}

fn share_of(n: u64, of: u64) -> f64 {
    n as f64 / of.max(1) as f64
}

fn four(x: f64) -> f64 {
    crate::measure::rounded(x)
}
