//! Rule 4 for all front ends together: many routers that share nothing, a fleet whose workers start cold, and a check of
//! its own that counts what reached each cold worker. No bench and no sockets: an event queue and the module itself.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use tansyrouter::*;

const MS: Micros = SECOND / 1000;
/// Cores of a worker, and work of a call there, on average.
const CORES: usize = 3;
const WORK: Micros = 130 * MS;
const FUNCTIONS: u64 = 48;
const IDLE_LIFE: Micros = 12 * SECOND;
const FALL_AFTER: Micros = 3 * SECOND;
/// When workers start cold.
const START: Micros = 16 * SECOND;
/// Windows counted of each setting.
const WINDOWS: usize = 10_000;
/// From a front end to a worker.
const WAY: Micros = MS / 2;

/// One setting of the play.
#[derive(Clone, Copy, Debug)]
struct Play {
    siblings: usize,
    workers: usize,
    /// Workers that start cold at the same time, in the place of others.
    cold: usize,
    /// A fifth of the front ends have four times the traffic of the rest.
    uneven: bool,
    /// Front ends hear of the start within this time.
    told_over: Micros,
    /// So many front ends in a hundred start anew, one after the other, while the workers are cold.
    restarted: usize,
    /// Classes of twice and half the work.
    mixed: bool,
    /// Share of all cores asked for.
    load: f64,
    warm_up: Micros,
    cold_from: f64,
    multiple: f64,
    /// Speed of the second half of the workers, a kind of their own, over that of the others.
    speed: f64,
    /// The workers that did not start are lost so long after the start.
    lost_after: Option<Micros>,
    /// Credits and rates that are not the module's: what the check has to find.
    planted: Option<Planted>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Planted {
    /// Each front end gives twice what it may.
    Doubled,
    /// A front end that starts anew believes to be alone.
    RenewedWhole,
}

impl Default for Play {
    fn default() -> Play {
        Play {
            siblings: 30,
            workers: 12,
            cold: 2,
            uneven: false,
            told_over: 0,
            restarted: 0,
            mixed: false,
            load: 0.55,
            warm_up: 9 * SECOND,
            cold_from: 0.36,
            multiple: 4.0,
            speed: 1.0,
            lost_after: None,
            planted: None,
        }
    }
}

#[derive(Debug)]
enum Ev {
    Arrival,
    Timer(usize),
    /// A call reaches a worker.
    Reach {
        fe: usize,
        life: u32,
        request: RequestId,
        attempt: u32,
        worker: u64,
        function: u64,
        class: usize,
        work: Micros,
    },
    /// A worker is done with the first of its running calls that is due.
    Ran {
        worker: u64,
        serial: u64,
    },
    Told {
        fe: usize,
        life: u32,
        event: Event,
    },
    Loaded {
        fe: usize,
        life: u32,
        worker: u64,
        function: u64,
        sent: Time,
    },
    Start,
    Lost,
    Restart(usize),
}

struct Held {
    fe: usize,
    life: u32,
    request: RequestId,
    attempt: u32,
    function: u64,
    left: Micros,
    sent: Time,
    crowd: u32,
    serial: u64,
}

#[derive(Default)]
struct Worker {
    started: Option<Time>,
    gone: bool,
    loaded: HashMap<u64, Time>,
    running: Vec<Held>,
    waiting: Vec<Held>,
}

/// An open call at a front end: function, class, work, and attempts so far.
type Call = (u64, usize, Micros, u32);

struct World {
    play: Play,
    rng: fastrand::Rng,
    now: Time,
    queue: BinaryHeap<Reverse<(Time, u64, usize)>>,
    events: HashMap<usize, Ev>,
    serial: usize,
    /// Each with its life's number and when its timer is due.
    routers: Vec<(Router, u32, Option<Time>)>,
    workers: BTreeMap<u64, Worker>,
    calls: HashMap<(usize, u32, u64), Call>,
    next: u64,
    weights: Vec<f64>,
    /// What reached each cold worker: when, and how many calls of mean work it counts for.
    reached: BTreeMap<u64, Vec<(Time, f64)>>,
    answered: [u64; 2],
}

/// What one play came to.
#[derive(Debug, Default)]
struct Count {
    windows: usize,
    over: usize,
    /// Worst of (count - N - 2) / root N.
    worst: f64,
    /// What was sent to cold workers over what they may have, in the warm-up.
    used: f64,
    served: f64,
}

impl World {
    fn new(play: Play, seed: u64) -> World {
        let weights = (0..play.siblings)
            .map(|n| if play.uneven && n % 5 == 0 { 4.0 } else { 1.0 })
            .collect();
        let mut w = World {
            play,
            rng: fastrand::Rng::with_seed(seed),
            now: Time(0),
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            serial: 0,
            routers: Vec::new(),
            workers: (0..play.workers as u64)
                .map(|n| (n, Worker::default()))
                .collect(),
            calls: HashMap::new(),
            next: 0,
            weights,
            reached: BTreeMap::new(),
            answered: [0, 0],
        };
        for fe in 0..play.siblings {
            let router = w.router(fe, false);
            w.routers.push((router, 0, None));
            let entries = w.list();
            w.tell(
                fe,
                Event::Workers {
                    kind: ListKind::Full,
                    entries,
                },
            );
        }
        w.at(Time(0), Ev::Arrival);
        w.at(Time(START), Ev::Start);
        w
    }

    fn router(&mut self, fe: usize, again: bool) -> Router {
        let class = |work: Micros| Class {
            latency_objective: 6 * work,
            objective_per_work: 0.0,
            deadline: 2500 * MS,
            effect: Effect::Safe,
            priority_weight: 1.0,
            late_weight: 0.1,
            streamed: false,
        };
        let alone = again && self.play.planted == Some(Planted::RenewedWhole);
        let doubled = self.play.planted == Some(Planted::Doubled);
        let set = Settings {
            front_end: if alone { 0 } else { fe },
            front_ends: if alone { 1 } else { self.play.siblings },
            classes: if self.play.mixed {
                vec![class(WORK / 2), class(2 * WORK)]
            } else {
                vec![class(WORK)]
            },
            may_load: true,
            miss_policy: MissPolicy::Miss,
            idle_life: IDLE_LIFE,
            reports_concurrency: true,
            reports: Reports::Attached,
            slow_start_from: self.play.cold_from,
            slow_start_window: self.play.warm_up,
            overload_multiple: self.play.multiple * if doubled { 2.0 } else { 1.0 },
            overload_window: FALL_AFTER,
            drain_grace: SECOND / 4,
            ..Settings::default()
        };
        Router::new(set, self.rng.u64(..), self.now).expect("settings")
    }

    fn at(&mut self, at: Time, ev: Ev) {
        self.serial += 1;
        self.queue
            .push(Reverse((at, self.serial as u64, self.serial)));
        self.events.insert(self.serial, ev);
    }

    fn list(&self) -> Vec<WorkerEntry> {
        let entry = |(id, w): (&u64, &Worker)| WorkerEntry {
            worker: WorkerId(*id),
            kind: self.kind(*id),
            cell: *id,
            zone: 0,
            state: if w.gone {
                WorkerState::Gone
            } else {
                WorkerState::Ready
            },
            started: w.started,
            share: 1.0,
        };
        self.workers.iter().map(entry).collect()
    }

    #[expect(
        clippy::too_many_lines,
        reason = "one table or one history, read from top to bottom"
    )]
    fn tell(&mut self, fe: usize, event: Event) {
        let mut out = Vec::new();
        self.routers[fe].0.handle(self.now, event, &mut out);
        let life = self.routers[fe].1;
        for a in out {
            match a {
                Action::Send {
                    request, worker, ..
                } => {
                    let Some(c) = self.calls.get_mut(&(fe, life, request.0)) else {
                        continue;
                    };
                    let (function, class, work, attempt) = *c;
                    c.3 += 1;
                    let ev = Ev::Reach {
                        fe,
                        life,
                        request,
                        attempt,
                        worker: worker.0,
                        function,
                        class,
                        work,
                    };
                    self.at(self.now.plus(WAY), ev);
                }
                Action::Reject { request, .. } | Action::Fail { request } => {
                    self.calls.remove(&(fe, life, request.0));
                    self.answered[1] += 1;
                }
                Action::Load {
                    worker,
                    function,
                    instances,
                } => {
                    let took = if instances == 0 {
                        MS
                    } else {
                        400 * MS + self.rng.i64(0..400) * MS
                    };
                    let sent = self.now;
                    let loaded = Ev::Loaded {
                        fe,
                        life,
                        worker: worker.0,
                        function: function.0,
                        sent,
                    };
                    if instances > 0 {
                        self.at(self.now.plus(took), loaded);
                    } else {
                        let stands =
                            self.workers[&worker.0].loaded.contains_key(&function.0) as u32;
                        let done = Event::LoadEnded {
                            worker,
                            function,
                            outcome: Outcome::Served,
                            latency: took,
                            instances: stands,
                        };
                        self.at(
                            self.now.plus(took),
                            Ev::Told {
                                fe,
                                life,
                                event: done,
                            },
                        );
                    }
                }
                Action::SetTimer { at, .. } => {
                    let t = &mut self.routers[fe].2;
                    if t.is_none_or(|t| at < t) {
                        *t = Some(at);
                        self.at(at, Ev::Timer(fe));
                    }
                }
                _ => {}
            }
        }
    }

    /// Workers of the second kind, and those that come in their place.
    fn kind(&self, id: u64) -> usize {
        let n = self.play.workers as u64;
        (id % n >= n / 2) as usize
    }
    fn part(&self, id: u64, at: Time) -> f64 {
        let speed = [1.0, self.play.speed][self.kind(id)];
        let Some(started) = self.workers[&id].started else {
            return speed;
        };
        let age = at.since(started).clamp(0, self.play.warm_up) as f64 / self.play.warm_up as f64;
        speed * (self.play.cold_from + (1.0 - self.play.cold_from) * age)
    }

    fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.rng.f64()).ln()
    }

    fn arrival(&mut self) {
        let rate = self.play.load * (self.play.workers * CORES) as f64 / WORK as f64;
        let gap = self.exponential(1.0 / rate) as Micros;
        self.at(self.now.plus(gap.max(1)), Ev::Arrival);
        let mut pick = self.rng.f64() * self.weights.iter().sum::<f64>();
        let fe = self.weights.iter().position(|w| {
            pick -= w;
            pick < 0.0
        });
        let fe = fe.unwrap_or(0);
        // Few functions have most of the calls.
        let function = (FUNCTIONS as f64).powf(self.rng.f64()) as u64 - 1;
        // A third of the calls is of the heavy class: the mean is the same.
        let class = (self.play.mixed && self.rng.f64() < 1.0 / 3.0) as usize;
        let mean = [if self.play.mixed { WORK / 2 } else { WORK }, 2 * WORK][class];
        let work = self.exponential(mean as f64) as Micros + 1;
        self.next += 1;
        let (request, life) = (RequestId(self.next), self.routers[fe].1);
        self.calls
            .insert((fe, life, request.0), (function, class, work, 0));
        let arrival = Arrival {
            request,
            function: FunctionId(function),
            class,
            tenant: 0,
            budget: 2500 * MS,
            work_hint: None,
            lanes: 2,
            memory_mb: 400.0,
            load_time: None,
            repeat: false,
        };
        self.tell(fe, Event::Arrival(arrival));
    }

    fn fill(&mut self, id: u64) {
        let part = self.part(id, self.now);
        let now = self.now;
        let Some(w) = self.workers.get_mut(&id) else {
            return;
        };
        let mut began = Vec::new();
        while w.running.len() < CORES && !w.waiting.is_empty() {
            let held = w.waiting.remove(0);
            began.push((now.plus((held.left as f64 / part) as Micros), held.serial));
            w.running.push(held);
        }
        for (at, serial) in began {
            self.at(at, Ev::Ran { worker: id, serial });
        }
    }

    fn ended(&mut self, held: &Held, worker: u64, outcome: Outcome) {
        let busy = self.workers[&worker].running.len() as f64 / CORES as f64;
        let done = AttemptResult {
            request: held.request,
            attempt: held.attempt,
            worker: WorkerId(worker),
            outcome,
            concluded: outcome == Outcome::Served,
            latency: self.now.since(held.sent) + WAY,
            instance_status: if outcome == Outcome::Served {
                InstanceStatus::Warm
            } else {
                InstanceStatus::Silent
            },
            concurrency: Some(held.crowd),
            report: Some(LoadReport {
                utilization: Some(busy),
                ..LoadReport::default()
            }),
        };
        let event = Event::AttemptEnded(done);
        self.at(
            self.now.plus(WAY),
            Ev::Told {
                fe: held.fe,
                life: held.life,
                event,
            },
        );
    }

    #[expect(
        clippy::too_many_lines,
        reason = "one table or one history, read from top to bottom"
    )]
    fn step(&mut self, ev: Ev) {
        match ev {
            Ev::Arrival => self.arrival(),
            Ev::Timer(fe) => {
                if self.routers[fe].2 == Some(self.now) {
                    self.routers[fe].2 = None;
                    self.tell(fe, Event::Timer { token: 0 });
                }
            }
            Ev::Reach {
                fe,
                life,
                request,
                attempt,
                worker,
                function,
                class,
                work,
            } => {
                let mean = if self.play.mixed {
                    [0.5, 2.0][class]
                } else {
                    1.0
                };
                if self.workers[&worker].started.is_some() {
                    self.reached
                        .entry(worker)
                        .or_default()
                        .push((self.now, mean));
                }
                self.serial += 1;
                let (serial, sent, now) = (self.serial as u64, self.now.plus(-WAY), self.now);
                let Some(w) = self.workers.get_mut(&worker) else {
                    return;
                };
                let crowd = w
                    .running
                    .iter()
                    .chain(&w.waiting)
                    .filter(|h| h.function == function)
                    .count() as u32;
                let held = Held {
                    fe,
                    life,
                    request,
                    attempt,
                    function,
                    left: work,
                    sent,
                    crowd,
                    serial,
                };
                let fresh = w
                    .loaded
                    .get(&function)
                    .is_some_and(|t| now.since(*t) < IDLE_LIFE);
                let full = w.waiting.len() > 4 * CORES;
                if w.gone || !fresh {
                    return self.ended(&held, worker, Outcome::NotLoaded);
                } else if full {
                    return self.ended(&held, worker, Outcome::Rejected);
                }
                w.loaded.insert(function, now);
                w.waiting.push(held);
                self.fill(worker);
            }
            Ev::Ran { worker, serial } => {
                let Some(w) = self.workers.get_mut(&worker) else {
                    return;
                };
                let Some(at) = w.running.iter().position(|h| h.serial == serial) else {
                    return;
                };
                let held = w.running.swap_remove(at);
                self.ended(&held, worker, Outcome::Served);
                self.fill(worker);
            }
            Ev::Told { fe, life, event } => {
                if self.routers[fe].1 != life {
                    return;
                }
                if let Event::AttemptEnded(d) = &event {
                    let open = self.calls.contains_key(&(fe, life, d.request.0));
                    if d.outcome == Outcome::Served && open {
                        self.calls.remove(&(fe, life, d.request.0));
                        self.answered[0] += 1;
                    }
                }
                self.tell(fe, event);
            }
            Ev::Loaded {
                fe,
                life,
                worker,
                function,
                sent,
            } => {
                let now = self.now;
                let Some(w) = self.workers.get_mut(&worker) else {
                    return;
                };
                let instances = !w.gone as u32;
                if instances > 0 {
                    w.loaded.insert(function, now);
                }
                let event = Event::LoadEnded {
                    worker: WorkerId(worker),
                    function: FunctionId(function),
                    outcome: if instances > 0 {
                        Outcome::Served
                    } else {
                        Outcome::ConnectFailed
                    },
                    latency: now.since(sent),
                    instances,
                };
                self.step(Ev::Told { fe, life, event });
            }
            Ev::Start => {
                let (now, first) = (self.now, self.play.workers as u64);
                // Of both kinds in turns, the slow one first.
                for n in
                    (0..self.play.cold as u64).map(|n| (first / 2 * (n % 2 + 1) + n / 2) % first)
                {
                    self.workers.entry(n).or_default().gone = true;
                    self.workers.insert(
                        first + n,
                        Worker {
                            started: Some(now),
                            ..Worker::default()
                        },
                    );
                }
                for fe in 0..self.play.siblings {
                    let after = if self.play.told_over > 0 {
                        self.rng.i64(0..self.play.told_over)
                    } else {
                        0
                    };
                    let (life, entries) = (self.routers[fe].1, self.list());
                    let event = Event::Workers {
                        kind: ListKind::Full,
                        entries,
                    };
                    self.at(now.plus(after), Ev::Told { fe, life, event });
                }
                if let Some(after) = self.play.lost_after {
                    self.at(now.plus(after), Ev::Lost);
                }
                let restarted = self.play.siblings * self.play.restarted / 100;
                for n in 0..restarted {
                    let at = now.plus(self.play.warm_up / 2 * n as i64 / restarted as i64);
                    self.at(at, Ev::Restart(n * self.play.siblings / restarted));
                }
            }
            Ev::Lost => {
                self.workers
                    .values_mut()
                    .filter(|w| w.started.is_none())
                    .for_each(|w| w.gone = true);
                for fe in 0..self.play.siblings {
                    let entries = self.list();
                    self.tell(
                        fe,
                        Event::Workers {
                            kind: ListKind::Full,
                            entries,
                        },
                    );
                }
            }
            Ev::Restart(fe) => {
                let router = self.router(fe, true);
                let life = self.routers[fe].1 + 1;
                self.routers[fe] = (router, life, None);
                let entries = self.list();
                self.tell(
                    fe,
                    Event::Workers {
                        kind: ListKind::Full,
                        entries,
                    },
                );
            }
        }
    }

    fn run(mut self) -> Count {
        let end = Time(START + self.play.warm_up);
        while let Some(Reverse((at, _, n))) = self.queue.pop() {
            if at > end {
                break;
            }
            self.now = self.now.max(at);
            if let Some(ev) = self.events.remove(&n) {
                self.step(ev);
            }
        }
        self.judge()
    }

    /// Counts every window that begins with a call at a cold worker against what it may have then.
    fn judge(&self) -> Count {
        let per_s = CORES as f64 / WORK as f64;
        let mut result = Count {
            worst: f64::MIN,
            ..Count::default()
        };
        let (mut sent, mut allowed) = (0.0, 0.0);
        for (id, reached) in &self.reached {
            for (first, (from, _)) in reached.iter().enumerate() {
                let until = from.plus(FALL_AFTER);
                let count: f64 = reached[first..]
                    .iter()
                    .take_while(|r| r.0 <= until)
                    .map(|r| r.1)
                    .sum();
                let n = self.play.multiple * self.part(*id, *from) * per_s * FALL_AFTER as f64;
                result.windows += 1;
                result.over += (count > n + 2.0 * n.sqrt() + 2.0) as usize;
                result.worst = result.worst.max((count - n - 2.0) / n.sqrt());
            }
            sent += reached.iter().map(|r| r.1).sum::<f64>();
            let mean = self.play.multiple * (self.play.cold_from + 1.0) / 2.0;
            allowed += mean * per_s * self.play.warm_up as f64;
        }
        result.used = sent / allowed;
        result.served =
            self.answered[0] as f64 / (self.answered[0] + self.answered[1]).max(1) as f64;
        result
    }
}

/// Plays until so many windows were counted.
fn windows(play: Play, least: usize) -> Count {
    let mut all = Count {
        worst: f64::MIN,
        ..Count::default()
    };
    let mut plays = 0.0;
    for seed in 1.. {
        let c = World::new(play, seed).run();
        assert!(c.windows > 0, "{play:?}: nothing reached a cold worker");
        all.windows += c.windows;
        all.over += c.over;
        all.worst = all.worst.max(c.worst);
        (all.used, all.served, plays) = (all.used + c.used, all.served + c.served, plays + 1.0);
        if all.windows >= least {
            break;
        }
    }
    Count {
        used: all.used / plays,
        served: all.served / plays,
        ..all
    }
}

/// A room that comes back cold under more load than what is warm can bear.
fn room() -> Play {
    Play {
        cold: 11,
        load: 0.8,
        ..Play::default()
    }
}
/// Some start, and while they are cold all others are lost.
fn lost() -> Play {
    Play {
        cold: 4,
        load: 0.5,
        lost_after: Some(4 * SECOND),
        ..Play::default()
    }
}

/// All settings of a table keep to the bound in every window; the figures are printed for the table in the docs.
fn keep(table: &[(&str, Play)]) {
    for (name, play) in table {
        let c = windows(*play, WINDOWS);
        println!(
            "| {name} | {} | {} | {:.2} | {:.2} | {:.2} |",
            c.windows, c.over, c.worst, c.used, c.served
        );
        assert_eq!(c.over, 0, "{name}: {c:?}");
    }
}

#[test]
fn at_any_number_of_front_ends() {
    let of = |siblings| Play { siblings, ..room() };
    let table = [
        ("1", of(1)),
        ("2", of(2)),
        ("8", of(8)),
        ("20", of(20)),
        ("30", of(30)),
        ("64", of(64)),
        (
            "300 at 60 workers",
            Play {
                siblings: 300,
                workers: 60,
                cold: 20,
                load: 0.5,
                ..Play::default()
            },
        ),
    ];
    keep(&table);
}

#[test]
fn whoever_has_more_traffic_hears_late_or_starts_anew() {
    let table = [
        (
            "uneven",
            Play {
                uneven: true,
                ..room()
            },
        ),
        (
            "told over 3 s",
            Play {
                told_over: 3 * SECOND,
                ..room()
            },
        ),
        (
            "all restarted meanwhile",
            Play {
                restarted: 100,
                ..room()
            },
        ),
        (
            "8, all restarted",
            Play {
                siblings: 8,
                restarted: 100,
                ..room()
            },
        ),
        (
            "uneven, a third restarted, told late",
            Play {
                uneven: true,
                restarted: 33,
                told_over: SECOND,
                ..room()
            },
        ),
        (
            "restarted as the rest is lost",
            Play {
                restarted: 100,
                ..lost()
            },
        ),
    ];
    keep(&table);
}

#[test]
fn whatever_the_calls_and_the_workers_are() {
    let slow = Play {
        speed: 0.6,
        load: 0.65,
        ..room()
    };
    let table = [
        (
            "classes of 4 to 1 in work",
            Play {
                mixed: true,
                ..room()
            },
        ),
        ("half the workers slower by 0.6", slow),
        (
            "and classes of 4 to 1",
            Play {
                mixed: true,
                ..slow
            },
        ),
        (
            "slower, 8",
            Play {
                siblings: 8,
                ..slow
            },
        ),
        (
            "slower, 64",
            Play {
                siblings: 64,
                ..slow
            },
        ),
        (
            "long ramp from 0.1",
            Play {
                cold_from: 0.1,
                warm_up: 30 * SECOND,
                ..room()
            },
        ),
    ];
    keep(&table);
}

#[test]
fn when_all_calls_come_at_once_to_workers_that_had_few() {
    let long = Play {
        warm_up: 30 * SECOND,
        lost_after: Some(15 * SECOND),
        ..lost()
    };
    let table = [
        (
            "8",
            Play {
                siblings: 8,
                ..lost()
            },
        ),
        ("30", lost()),
        (
            "64",
            Play {
                siblings: 64,
                ..lost()
            },
        ),
        ("30, long ramp", long),
        (
            "64, long ramp",
            Play {
                siblings: 64,
                ..long
            },
        ),
        (
            "300 at 60 workers",
            Play {
                siblings: 300,
                workers: 60,
                cold: 20,
                ..lost()
            },
        ),
    ];
    keep(&table);
}

/// A multiple so low that the credit is what binds, not the workers' queues.
fn tight(play: Play) -> Play {
    Play {
        multiple: 1.5,
        ..play
    }
}

#[test]
fn where_nothing_but_the_credit_binds() {
    let slow = Play {
        speed: 0.6,
        load: 0.65,
        ..room()
    };
    let table = [
        ("1.5 times", tight(room())),
        (
            "8",
            tight(Play {
                siblings: 8,
                ..room()
            }),
        ),
        (
            "64",
            tight(Play {
                siblings: 64,
                ..room()
            }),
        ),
        (
            "uneven",
            tight(Play {
                uneven: true,
                ..room()
            }),
        ),
        (
            "all restarted",
            tight(Play {
                restarted: 100,
                ..room()
            }),
        ),
        ("slower", tight(slow)),
    ];
    keep(&table);
}

/// What workers were seen to carry together was carried by all there were then, not by those that are left.
#[test]
fn where_nothing_but_the_credit_binds_and_the_rest_is_lost() {
    let table = [
        ("30", tight(lost())),
        (
            "uneven",
            tight(Play {
                uneven: true,
                ..lost()
            }),
        ),
        (
            "slower",
            tight(Play {
                speed: 0.6,
                load: 0.4,
                ..lost()
            }),
        ),
        (
            "8",
            tight(Play {
                siblings: 8,
                ..lost()
            }),
        ),
        (
            "64",
            tight(Play {
                siblings: 64,
                ..lost()
            }),
        ),
        (
            "long ramp",
            tight(Play {
                warm_up: 30 * SECOND,
                ..lost()
            }),
        ),
    ];
    keep(&table);
}

/// The check itself: front ends that give twice what they may, and such as believe to be alone after a restart.
#[test]
fn what_is_planted_is_found() {
    let restarted = tight(Play {
        restarted: 100,
        ..room()
    });
    let table = [
        (
            "doubled",
            Play {
                planted: Some(Planted::Doubled),
                ..tight(room())
            },
        ),
        (
            "doubled, 8",
            Play {
                siblings: 8,
                planted: Some(Planted::Doubled),
                ..tight(room())
            },
        ),
        (
            "doubled, 64",
            Play {
                siblings: 64,
                planted: Some(Planted::Doubled),
                ..tight(room())
            },
        ),
        (
            "renewed",
            Play {
                planted: Some(Planted::RenewedWhole),
                ..restarted
            },
        ),
    ];
    for (name, play) in table {
        let c = windows(play, WINDOWS);
        println!(
            "| {name} | {} | {} | {:.2} | {:.2} | {:.2} |",
            c.windows, c.over, c.worst, c.used, c.served
        );
        assert!(c.over > 0, "{name}: {c:?}");
    }
}
