//! Every decision of the router. Its interface - settings, events, actions, ids - is `src/api.rs`.
//!
//! Ordinary path: among workers believed to hold a warm instance with a free lane, the one that this front
//! end used least recently; else a load, under a per-function cap; else the call is held for a returning run.
//! What departs from it is marked EXCEPTION, with the symptom it answers and where it could harm.

use crate::api::{Outcome::*, *};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::ops::Bound::Excluded;

/// How often held calls and silent workers are looked over, microseconds. Well under any human-scale aim.
const SWEEP: Span = 20_000;
/// Functions that one look serves at most.
const SWEPT: usize = 128;
/// A place takes at least so many calls at a time, however little the workers carry.
const LEAST_PLACE: f64 = 0.5;
/// Part of the idle life after which a belief lapses: the rest covers travel and late sweeps.
const LAPSE: f64 = 0.9;
/// Loads in hand a worker, by all front ends together, at first: workers run few at a time.
const LOADS_AT_WORKER: usize = 3;
/// Silence of a worker that is a symptom, in usual answer times summed over the calls that wait there.
const PATIENCE: f64 = 10.0;
/// Answers under which a worker is presumed to be as its kind, and a kind as all.
const FEW: f64 = 4.0;
/// Weight of one sample in slow averages.
const GAIN: f64 = 0.1;
/// Idle lives after its last call that a function is remembered: its instances are long gone by then.
const FORGET: Span = 4;
/// Idle lives over which a function's rate is taken: with many siblings each sees few calls of it.
const RATE_LIVES: Span = 2;
/// Calls that all front ends together still let a worker have when it answers badly.
const LEAST_LIMIT: f64 = 2.0;
/// What is left of a limit, on sends or on loads, when what it bounds goes badly.
const CUT: f64 = 0.8;
/// Calls in flight a worker is given at first; learned from there.
const FIRST_LIMIT: f64 = 4.0;
/// Least time between two orders after one in vain, over all workers that have left nothing since.
const VAIN_PACE: Span = SECOND / 20;
/// How often the wait after an order in vain doubles at one place, from half a second.
const VAIN_DOUBLES: u32 = 4;
/// Share of its cores at work under which a worker is told to be idle.
const IDLE: f64 = 0.5;
const ALL: usize = usize::MAX; // All kinds of workers together, among the kinds.
/// Guess of a service time before any answer, as a part of the class's aim.
const FIRST_SERVICE: f64 = 0.2;

struct Attempt {
    to: WorkerEntry,
    sent: Time,
    /// Whether it may have run, once that is known.
    ran: Option<bool>,
}

#[derive(Default)]
struct Request {
    class: usize,
    function: FunctionId,
    aim_at: Time,
    deadline: Time,
    hint: Option<Span>,
    attempts: Vec<Attempt>,
    streaming: bool,
    concluded: bool,
    line: Option<Turn>,
}

/// A held call's place in its function's line: rank, aim.
type Turn = (u8, Time, RequestId);

impl Request {
    fn pending(&self) -> bool {
        self.attempts.iter().any(|a| a.ran.is_none())
    }
}

#[derive(Default)]
struct Worker {
    entry: WorkerEntry,
    in_flight: usize,
    limit: f64,
    cut_at: Time,
    heard: Time,
    out: BTreeSet<(Time, RequestId)>,
    last: Option<Time>,
    sends: Recent,
    pace: Pace,
    credit: f64,
    credit_at: Time,
    left: Option<Time>,
    suspect: bool,
    /// Suspected for its silence, not for a lost connection, and since when.
    mute: bool,
    since: Time,
    next_test: Time,
    test_gap: Span,
    trial: bool,
    vain: bool,
}

/// How an order ended, after what time, with how many instances.
type Told = (Outcome, Span, u32);

/// What this front end believes of one function at one worker.
#[derive(Default)]
struct Place {
    warm: bool,
    copies: u32,
    in_flight: u32,
    last_send: Option<Time>,
    touched: Time,
    ordered: Option<Time>,
    /// When a call there found it missing, or it was asked for, since it last stood.
    missed: Option<Time>,
    barred_until: Time,
    /// Told by an order that it stands, and no call has been served there since.
    told: bool,
    /// Orders in vain in a row.
    vain: u32,
}

#[derive(Default)]
struct Function {
    lanes: u32,
    told_load: Option<Span>,
    class: usize,
    service: Option<f64>,
    mean_hint: f64,
    calls: Recent,
    /// How many places it needs, by the calls of all front ends that answers tell of.
    width: f64,
    places: BTreeMap<WorkerId, Place>,
    line: BTreeSet<Turn>,
    /// Those of its line that were sent before: whether they may be again changes with time.
    again: BTreeSet<Turn>,
    /// The largest hint in its line, since it was last empty.
    heaviest: Span,
    /// The workers by this function's claim at strength one, as of one reading of the list.
    order: RefCell<(u64, Vec<(f64, WorkerId)>)>,
}

/// A mean and a mean deviation, both in microseconds.
#[derive(Default, Clone, Copy)]
struct Typical {
    mean: f64,
    dev: f64,
}

impl Typical {
    fn add(&mut self, x: f64) {
        if self.mean == 0.0 {
            *self = Typical {
                mean: x,
                dev: x / 2.0,
            };
        } else {
            self.dev += GAIN * ((x - self.mean).abs() - self.dev);
            self.mean += GAIN * (x - self.mean);
        }
    }
}

/// A sum that decays over `memory`.
#[derive(Default, Clone, Copy)]
struct Recent {
    sum: f64,
    at: Time,
}

impl Recent {
    fn add(&mut self, now: Time, x: f64, memory: f64) {
        *self = Recent {
            sum: x + self.sum * (-(now.since(self.at) as f64) / memory).exp(),
            at: now,
        };
    }
}

/// Lately: times taken over those expected, summed, and their number.
#[derive(Default, Clone, Copy)]
struct Pace(Recent, Recent);

impl Pace {
    fn add(&mut self, now: Time, ratio: f64, memory: f64) {
        self.0.add(now, ratio, memory);
        self.1.add(now, 1.0, memory);
    }
    /// What its slowness is never under, whatever is presumed: that is no less than one's own.
    fn least(&self) -> f64 {
        Some(self.0.sum / self.1.sum)
            .filter(|r| *r >= 0.0)
            .unwrap_or(1.0)
    }
    fn slowness(&self, presumed: f64) -> f64 {
        (self.0.sum + FEW * presumed) / (self.1.sum + FEW)
    }
}

/// Loads in hand, and how loads go: their times are over the told time of a load where that is told.
#[derive(Default)]
struct Loads {
    took: Typical,
    out: usize,
    window: f64,
    next: Time,
    next_vain: Time,
    vain: bool,
    orders: VecDeque<Time>,
}

/// One front end's decisions. See the crate's example. The default knows nothing and has default settings.
#[derive(Default)]
pub struct Router {
    set: Settings,
    seed: u64,
    workers: BTreeMap<WorkerId, Worker>,
    functions: BTreeMap<FunctionId, Function>,
    requests: BTreeMap<RequestId, Request>,
    waiting: BTreeSet<FunctionId>,
    deadlines: BTreeSet<(Time, RequestId)>,
    services: BTreeMap<usize, f64>,
    answers: Typical,
    kinds: BTreeMap<usize, Pace>,
    loads: Loads,
    arrivals: VecDeque<Time>,
    /// Work of calls served over the sizes of the workers there were then.
    work: Recent,
    /// Shares of their cores that answering workers told to be at work.
    busy: Pace,
    next_tidy: Time,
    next_test: Time,
    shares: f64,
    ready: f64,
    readings: u64,
    largest: f64,
    /// No more than any worker's slowness, since the last sweep.
    quickest: f64,
    began: Time,
    next_sweep: Time,
    swept: usize,
    timer_at: Option<Time>,
    listed_at: Time,
}

impl Router {
    /// A router that knows nothing yet. The seed is for its random numbers.
    pub fn new(set: Settings, seed: u64, now: Time) -> Result<Router, BadSettings> {
        let listed_at = now.plus(-set.ask_within);
        let mut new = Router {
            seed,
            next_sweep: now,
            listed_at,
            began: now,
            ..Router::default()
        };
        new.change(set).map(|()| new)
    }

    /// Other settings from here on; beliefs stay. Classes that open requests name must keep their places.
    pub fn change(&mut self, set: Settings) -> Result<(), BadSettings> {
        let last = self.requests.values().map(|r| r.class).max().unwrap_or(0);
        if set.classes.len() <= last || set.siblings == 0 || set.max_attempts == 0 {
            return Err(BadSettings(
                "no class of requests, no front end or no attempt".into(),
            ));
        } else if set.classes.iter().any(|c| c.aim <= 0 || c.deadline <= 0) {
            return Err(BadSettings("an aim or deadline not above zero".into()));
        }
        (self.set, self.readings) = (set, self.readings + 1);
        Ok(())
    }

    /// Takes one event and adds to `out` what is to be done, in order.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        // EXCEPTION: after a stall of our own, silence says nothing about the workers: their clocks start
        // anew. Also right for a suspended machine. Harm: a silent worker is found that much later.
        if self.timer_at.is_some_and(|t| now.since(t) > 5 * SWEEP) {
            self.workers.values_mut().for_each(|w| w.heard = now);
        }
        match event {
            Event::Workers { kind, entries } => self.on_list(now, kind, entries),
            Event::Arrival(a) => self.on_arrival(now, a, out),
            Event::Timer { .. } => {}
            Event::StreamBegan { request, .. } => {
                if let Some(r) = self.requests.get_mut(&request) {
                    r.streaming = true;
                    self.deadlines.remove(&(r.deadline, request));
                }
            }
            Event::AttemptDone(d) => self.on_done(now, d, out),
            Event::Departed { request } => self.conclude(request),
            Event::ProbeDone {
                worker, outcome, ..
            } => self.on_test(worker, outcome == Served),
            Event::OrderDone {
                worker,
                function,
                outcome,
                latency,
                instances,
            } => self.on_order(now, (worker, function), (outcome, latency, instances), out),
        }
        self.answer_due(now, out);
        if now >= self.next_sweep {
            self.sweep(now, out);
            self.next_sweep = now.plus(SWEEP);
        }
        let calm = self.waiting.is_empty() && self.requests.is_empty();
        let at = if calm {
            now.plus(SECOND)
        } else {
            self.next_sweep
        };
        if self.timer_at.is_none_or(|t| t <= now || t > at) {
            self.timer_at = Some(at);
            out.push(Action::SetTimer { at, token: 0 });
        }
    }

    // ---- Workers ----

    fn on_list(&mut self, now: Time, kind: ListKind, entries: Vec<WorkerEntry>) {
        if kind == ListKind::Failed {
            self.listed_at = self.listed_at.plus(-self.set.ask_within / 4);
            return;
        }
        if matches!(kind, ListKind::Full | ListKind::Cached) {
            let named: BTreeSet<WorkerId> = entries.iter().map(|e| e.worker).collect();
            let omitted = self
                .workers
                .iter_mut()
                .filter(|(id, _)| !named.contains(id));
            omitted.for_each(|(_, w)| {
                (w.entry.state, w.left) = (WorkerState::Gone, w.left.or(Some(now)))
            });
        }
        let siblings = self.set.siblings as u64;
        for mut e in entries {
            e.share = if e.share.is_finite() && e.share > 0.0 {
                e.share
            } else {
                1.0
            };
            let id = e.worker;
            let known = self
                .workers
                .get(&id)
                .is_some_and(|w| e.started <= w.entry.started);
            let mut w = self.workers.remove(&id).unwrap_or_default();
            w.left = (e.state != WorkerState::Ready).then(|| w.left.unwrap_or(now));
            w.entry = e;
            if !known {
                // A restart voids what was believed of the process before it (see `alive`), good or bad.
                let places = self
                    .functions
                    .values_mut()
                    .filter_map(|f| f.places.get_mut(&id));
                places
                    .filter(|p| p.vain > 0)
                    .for_each(|p| (p.vain, p.barred_until) = (0, now));
                let (entry, left, in_flight, out) = (w.entry, w.left, w.in_flight, w.out);
                w = Worker {
                    entry,
                    left,
                    in_flight,
                    out,
                    limit: FIRST_LIMIT,
                    ..Worker::default()
                };
                (w.heard, w.credit_at) = (now, now);
                let turn = (mix(id.0) % siblings + self.set.me as u64 % siblings) % siblings;
                let first = self.service(0) * turn as f64 / siblings as f64;
                w.credit = self
                    .cold_rate(&w, now)
                    .map_or(0.0, |r| first.max(r * self.set.fall_after as f64));
            }
            self.workers.insert(id, w);
        }
        self.shares = self.ready().map(|(_, w)| w.entry.share).sum();
        self.ready = self.ready().count() as f64;
        self.largest = self.ready().map(|(_, w)| w.entry.share).fold(0.0, f64::max);
        self.readings += 1;
        if self.loads.window == 0.0 {
            self.loads.window = self.ready * LOADS_AT_WORKER as f64 / siblings as f64;
        }
    }

    fn ready(&self) -> impl Iterator<Item = (&WorkerId, &Worker)> {
        self.workers
            .iter()
            .filter(|(_, w)| w.entry.state == WorkerState::Ready)
    }

    /// EXCEPTION (rule 4): a worker told to have started lately is sent no more than my share of half the
    /// multiple of its present capacity (what one of its size and kind could carry, at least one core), as a
    /// credit that grows with time; saved and new together never pass the multiple. Where that is less than
    /// a call, front ends start at other parts of one by their numbers. Harm: it warms more slowly.
    fn cold_rate(&self, w: &Worker, now: Time) -> Option<f64> {
        let age = Some(now.since(w.entry.started?)).filter(|age| *age < self.set.warm_up)?;
        let from = (age - self.set.fall_after).max(0) as f64 / self.set.warm_up.max(1) as f64;
        let part = self.set.cold_from + (1.0 - self.set.cold_from) * from;
        let could = self.work.sum / self.filled(now) / self.busy.least().clamp(IDLE, 1.0);
        let slower = (self.slowness(w.entry.kind) / self.slowness(ALL)).max(1.0);
        let seen = could / slower * w.entry.share;
        Some(self.set.fall_multiple * part * seen.max(1.0 / self.set.siblings as f64) / 2.0)
    }

    /// The credit of a cold worker now, for a call of this weight; none: it is warm.
    fn cold_credit(&self, w: &Worker, weight: f64, now: Time) -> Option<f64> {
        let rate = self.cold_rate(w, now)?;
        let most = (rate * self.set.fall_after as f64).max(weight);
        let since = now.since(w.credit_at).max(0);
        let mean = self.cold_rate(w, now.plus(-since / 2))?;
        Some((w.credit + mean * since as f64).min(most))
    }

    /// EXCEPTION: the listed size over how slowly it answers, as far as seen, else its kind: workers that
    /// have few cores, age or jam get less. With all alike it changes nothing. Harm: chance in few answers.
    fn strength(&self, w: &Worker) -> f64 {
        w.entry.share / w.pace.slowness(self.slowness(w.entry.kind))
    }

    /// How slowly a kind of worker answers, as far as seen.
    fn slowness(&self, kind: usize) -> f64 {
        self.kinds.get(&kind).map_or(1.0, |k| k.slowness(1.0))
    }

    /// How much of a function belongs at a worker: the same order at every front end, or an own one of each.
    fn claim(&self, f: FunctionId, id: WorkerId, w: &Worker, own: bool) -> f64 {
        rendezvous(
            if own {
                FunctionId(mix(f.0 ^ self.set.me as u64))
            } else {
                f
            },
            id,
            self.strength(w),
        )
    }

    /// Whether a worker may take new work at all: what every send and every load order passes.
    fn open(w: &Worker) -> bool {
        w.entry.state == WorkerState::Ready && !w.suspect
    }

    // ---- Ledger ----

    /// The gate of rules 1 and 2 for every send, with the room and health of the worker.
    fn may_send(&self, r: &Request, w: &Worker, now: Time) -> bool {
        let owed = !r.concluded && !r.streaming && now < r.deadline && !r.pending();
        let safe = self.set.classes[r.class].effect == Effect::Safe;
        let trial = w.entry.state == WorkerState::Ready && w.suspect && w.trial && safe;
        let weight = self.service(r.class);
        owed && (Self::open(w) || trial)
            && (w.in_flight as f64) < w.limit.max(1.0)
            && Self::rest(w, weight, now) <= 0.0
            && self.cold_credit(w, weight, now).is_none_or(|c| c >= weight)
            && self.repeatable(r, Some(&w.entry), now)
    }

    /// How long a worker must rest yet for a limit under one call, where a call takes so long.
    fn rest(w: &Worker, service: f64, now: Time) -> f64 {
        let since = w.last.map_or(f64::MAX, |t| now.since(t) as f64);
        Some(service / w.limit - since)
            .filter(|_| w.limit < 1.0)
            .unwrap_or(0.0)
    }

    /// Rule 2: whether a further attempt is allowed, at this worker or (none) anywhere.
    fn repeatable(&self, r: &Request, to: Option<&WorkerEntry>, now: Time) -> bool {
        let class = &self.set.classes[r.class];
        let mut ran = r.attempts.iter().filter(|a| a.ran != Some(false));
        let in_group = |a: &Attempt, group: Group| match (group, to) {
            (Group::Zone, Some(e)) => a.to.zone == e.zone,
            (Group::Cell, Some(e)) => a.to.cell == e.cell,
            _ => true,
        };
        let effect = match class.effect {
            Effect::Safe => true,
            Effect::Unsafe => ran.next().is_none(),
            // The margin covers the way to the worker, a connection made anew included.
            Effect::Keyed { group, window } => ran.all(|a| {
                in_group(a, group) && now.since(a.sent) < window - 2 * self.set.connect_timeout
            }),
        };
        effect && r.attempts.len() < self.set.max_attempts as usize
    }

    fn may_refuse(&self, r: &Request) -> bool {
        let effect = self.set.classes[r.class].effect;
        matches!(
            effect,
            Effect::Safe
                | Effect::Keyed {
                    group: Group::All,
                    ..
                }
        ) || r.attempts.iter().all(|a| a.ran == Some(false))
    }

    /// EXCEPTION (rule 1): what can't be held until the next sweep is answered at once, also what comes with
    /// no time left, as after a stall of ours. A pending attempt may answer until the very end.
    fn answer_due(&mut self, now: Time, out: &mut Vec<Action>) {
        let soon = now.plus(2 * self.set.tick + SWEEP);
        let due = self.deadlines.range(..(soon, RequestId(u64::MAX)));
        let over = due
            .filter(|(at, id)| *at <= now || self.requests.get(id).is_some_and(|r| !r.pending()));
        over.map(|k| k.1)
            .collect::<Vec<_>>()
            .into_iter()
            .for_each(|id| self.finish(id, out));
    }

    fn finish(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get(&id).filter(|r| !r.concluded) else {
            return;
        };
        let refuse = Action::Refuse {
            request: id,
            stay_away: 0,
        };
        out.push(if self.may_refuse(r) {
            refuse
        } else {
            Action::Fail { request: id }
        });
        self.conclude(id);
    }

    fn conclude(&mut self, id: RequestId) {
        self.unline(id);
        if let Some(r) = self.requests.get_mut(&id) {
            r.concluded = true;
            self.deadlines.remove(&(r.deadline, id));
            if !r.pending() {
                self.requests.remove(&id);
            }
        }
    }

    fn unline(&mut self, id: RequestId) {
        let Some(r) = self.requests.get_mut(&id) else {
            return;
        };
        let (Some(turn), Some(f)) = (r.line.take(), self.functions.get_mut(&r.function)) else {
            return;
        };
        f.line.remove(&turn);
        f.again.remove(&turn);
        if f.line.is_empty() {
            f.heaviest = 0;
            self.waiting.remove(&r.function);
        }
    }

    fn enline(&mut self, id: RequestId, now: Time) {
        self.unline(id);
        let Some(r) = self.requests.get(&id) else {
            return;
        };
        let late = now
            .since(r.aim_at)
            .saturating_add(self.expected(r).0 as Span)
            > 0;
        let (turn, fid) = ((2 * late as u8, r.aim_at, id), r.function);
        if let (Some(r), Some(f)) = (self.requests.get_mut(&id), self.functions.get_mut(&fid)) {
            r.line = Some(turn);
            f.line.insert(turn);
            f.heaviest = f.heaviest.max(r.hint.unwrap_or(0));
            f.again.extend((!r.attempts.is_empty()).then_some(turn));
            self.waiting.insert(fid);
        }
    }

    fn on_arrival(&mut self, now: Time, a: Arrival, out: &mut Vec<Action>) {
        if self.requests.contains_key(&a.request) {
            return;
        }
        let class = a.class.min(self.set.classes.len() - 1);
        self.arrivals
            .extend((self.set.ration.is_some() && self.set.may_order).then_some(now));
        let memory = self.memory();
        let f = self.functions.entry(a.function).or_default();
        f.lanes = a.lanes.max(1);
        f.told_load = a.load_time.filter(|t| *t > 0);
        f.class = class;
        f.calls.add(now, 1.0, memory);
        let hint = a.work_hint.filter(|h| *h > 0);
        if let Some(h) = hint {
            f.mean_hint += if f.mean_hint == 0.0 {
                h as f64
            } else {
                GAIN * (h as f64 - f.mean_hint)
            };
        }
        let c = &self.set.classes[class];
        let aim = c
            .aim
            .saturating_add((c.aim_stretch * hint.unwrap_or(0) as f64) as Span);
        let deadline = now.plus(a.budget.max(0));
        let aim_at = now.plus(aim.min(c.deadline)).min(deadline);
        let r = Request {
            class,
            function: a.function,
            aim_at,
            deadline,
            hint,
            ..Request::default()
        };
        self.requests.insert(a.request, r);
        self.deadlines.insert((deadline, a.request));
        self.enline(a.request, now);
        self.pump(now, a.function, out);
    }

    /// What this call should take on a warm lane, microseconds, and its weight among its function's calls.
    fn expected(&self, r: &Request) -> (f64, f64) {
        let f = self.functions.get(&r.function);
        let base = f.and_then(|f| f.service).unwrap_or(self.service(r.class));
        let mean = f.map_or(0.0, |f| f.mean_hint);
        let weight = r
            .hint
            .filter(|_| mean > 0.0)
            .map_or(1.0, |h| h as f64 / mean);
        (base * weight, weight)
    }

    /// What calls of a class take on a warm lane, microseconds.
    fn service(&self, class: usize) -> f64 {
        let guess = || self.set.classes[class].aim as f64 * FIRST_SERVICE;
        self.services.get(&class).copied().unwrap_or_else(guess)
    }

    /// What an answer usually takes of late, queues and chance included.
    fn answer_time(&self) -> f64 {
        let seen = self.answers.mean + self.answers.dev;
        Some(seen)
            .filter(|s| *s > 0.0)
            .unwrap_or(2.0 * self.service(0))
    }

    fn on_done(&mut self, now: Time, d: AttemptDone, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get_mut(&d.request) else {
            return;
        };
        let Some(a) = r.attempts.get_mut(d.attempt as usize) else {
            return;
        };
        if a.ran.replace(!d.outcome.never_ran()).is_some() {
            return;
        }
        let (wid, sent, fid, class) = (a.to.worker, a.sent, r.function, r.class);
        let owed = !r.concluded && !d.concluded;
        let (usual, weight) = self
            .requests
            .get(&d.request)
            .map_or((0.0, 1.0), |r| self.expected(r));
        let (aim, memory, filled) = (
            self.set.classes[class].aim as f64,
            self.memory(),
            self.filled(now),
        );
        if let Some(w) = self.workers.get_mut(&wid) {
            w.out.remove(&(sent, d.request));
            w.in_flight = w.in_flight.saturating_sub(1);
            let took = d.latency.max(0) as f64;
            let heard = !matches!(d.outcome, TimedOut | Cancelled | NotSent);
            let lost = matches!(d.outcome, ConnectFailed | ConnectionLost);
            let ran = matches!(d.outcome, Served | Error);
            let warm = matches!(d.note, Note::Warm | Note::Silent);
            if lost {
                Self::suspect(w, now, 0);
            } else if heard {
                (w.heard, w.suspect) = (now, w.suspect && !ran);
                w.vain &= d.outcome != Served;
            }
            // EXCEPTION: what a worker holds of ours is bounded by what comes back in good time, whatever
            // slows it: siblings' calls, few cores, ageing, a jam. With many siblings that is under one call:
            // the part of the time that one may be there (`rest`). Harm: it gives up some room to chance.
            // Not by what one with idle cores takes: those calls are long, or it is slow whatever it holds.
            let busy = d.report.and_then(|r| r.busy);
            busy.into_iter().for_each(|b| self.busy.add(now, b, memory));
            let idle = busy.is_some_and(|b| b < IDLE);
            let slow = ran && warm && took > aim / 2.0 && took > 2.0 * usual && !idle;
            if ran && warm {
                let ratio = took / usual.max(1.0);
                w.pace.add(now, ratio, memory);
                self.quickest = self.quickest.min(ratio);
                let mut add = |kind| self.kinds.entry(kind).or_default().add(now, ratio, memory);
                add(w.entry.kind);
                add(ALL);
            }
            let bad = slow || matches!(d.outcome, TurnedAway | TimedOut);
            if bad && now.since(w.cut_at) > usual as Span {
                let used = if w.in_flight > 0 {
                    w.limit
                } else {
                    (usual * w.sends.sum / filled).min(1.0)
                };
                let least = (LEAST_LIMIT / self.set.siblings as f64).min(1.0);
                (w.limit, w.cut_at) = ((w.limit.min(used) * CUT).max(least), now);
            } else if !bad && ran && w.in_flight as f64 + 1.5 >= w.limit {
                w.limit += (1.0 / w.limit).min(GAIN * w.limit);
            }
        }
        let takes = self.functions.get(&fid).map_or(1.0, |f| self.takes(f, now));
        let (served, most) = (self.service(class), self.ready.max(1.0));
        if let Some(f) = self.functions.get_mut(&fid) {
            if let (Some(c), Served | TurnedAway) = (d.crowd, d.outcome) {
                let step = 1.0 + 2.0 * GAIN * ((c as f64 / takes) - 1.0);
                f.width = (f.width.max(1.0) * step).clamp(1.0, most);
            }
            let p = f.places.entry(wid).or_default();
            p.in_flight = p.in_flight.saturating_sub(1);
            let boast = d.outcome == NotLoaded && p.told;
            p.told &= d.outcome != Served && !boast;
            match d.outcome {
                Served => {
                    (p.vain, p.warm, p.missed, p.touched) = (0, true, None, now);
                    p.copies = p.copies.max(1);
                    if matches!(d.note, Note::Warm | Note::Silent) {
                        let x = d.latency.max(1) as f64 / weight;
                        self.answers.add(d.latency.max(1) as f64);
                        // A low estimate: falls fast, rises slowly, so that queues weigh little.
                        let step = |old: f64| {
                            old + (x - old) * if x < old { 2.0 * GAIN } else { GAIN / 2.0 }
                        };
                        f.service = Some(f.service.map_or(x, step));
                        self.services.insert(class, step(served));
                    }
                    let work = self.services.get(&class).copied().unwrap_or(served);
                    self.work.add(
                        now,
                        if self.shares > 0.0 {
                            work / self.shares
                        } else {
                            0.0
                        },
                        memory,
                    );
                }
                NotLoaded => (p.warm, p.missed) = (false, Some(now)),
                ConnectFailed => p.warm = false,
                TurnedAway | TimedOut | Cancelled => p.barred_until = now.plus(usual as Span),
                _ => {}
            }
            if boast {
                self.in_vain(now, wid, fid, true);
            }
        }
        let request = self.requests.get(&d.request);
        let again = request.is_some_and(|r| now < r.deadline && self.repeatable(r, None, now));
        match (owed, again) {
            (false, _) => self.conclude(d.request),
            (true, true) => self.enline(d.request, now),
            (true, false) => self.finish(d.request, out),
        }
        self.pump(now, fid, out);
    }

    // ---- Pick, hold, load ----

    /// Serves a function's line as far as its places go, and loads where they do not.
    fn pump(&mut self, now: Time, fid: FunctionId, out: &mut Vec<Action>) {
        let mut after = (0, Time(i64::MIN), RequestId(0));
        let mut sent = false;
        while let Some(turn) = self
            .functions
            .get(&fid)
            .and_then(|f| f.line.range(after..).next().copied())
        {
            let Some(r) = self.requests.get(&turn.2) else {
                break;
            };
            let fresh = r.attempts.is_empty();
            if let Some(w) = self.pick(r, now) {
                self.send(now, turn.2, w, out);
                sent = true;
            } else {
                self.grow(now, turn.2, fid, out);
                // What a repeat may not do, the next one may; what a first try can't, none can.
                if fresh {
                    return;
                }
            }
            after = (turn.0, turn.1, RequestId(turn.2 .0.saturating_add(1)));
        }
        if sent && self.set.may_order {
            self.grow(now, RequestId(u64::MAX), fid, out);
        }
    }

    /// Time over which the rate of a function is taken.
    fn memory(&self) -> f64 {
        (self.set.idle_life.max(SECOND) * RATE_LIVES) as f64
    }

    /// How far a sum over that time has filled since our own start; half an idle life at least, for chance.
    fn filled(&self, now: Time) -> f64 {
        let memory = self.memory();
        let filled = memory * (1.0 - (-(now.since(self.began) as f64) / memory).exp());
        filled.max(self.set.idle_life.max(SECOND) as f64 / 2.0)
    }

    /// Its places with their workers.
    fn seats<'a>(
        &'a self,
        f: &'a Function,
    ) -> impl Iterator<Item = (WorkerId, &'a Place, &'a Worker)> {
        f.places
            .iter()
            .filter_map(|(id, p)| Some((*id, p, self.workers.get(id)?)))
    }

    fn alive(&self, w: &Worker, p: &Place, now: Time) -> bool {
        let reborn = w.entry.started.is_some_and(|t| t > p.touched);
        let fresh = now.since(p.touched) < (self.set.idle_life as f64 * LAPSE) as Span;
        p.warm && !reborn && (p.in_flight > 0 || fresh)
    }

    /// Silent for long, or at rest for it: it does not count as a place, so that another may be loaded.
    fn stuck(&self, w: &Worker, p: &Place, now: Time) -> bool {
        let last = p.last_send.map_or(p.touched, |t| t.max(p.touched));
        let silent =
            p.in_flight > 0 && now.since(last) as f64 > PATIENCE / 2.0 * self.answer_time();
        let bad = Self::rest(w, self.service(0), now) > self.answer_time();
        now < p.barred_until || silent || bad
    }

    /// The mechanism: the least recently used of the warm places with a free lane. A call about to miss its
    /// aim is held like any other: sent on to a queue it made others late too.
    /// EXCEPTION: what belongs at a home place is presumed kept there by the siblings until an answer says
    /// otherwise; asking first would cost a probe of each front end for each function. Harm: a call that is
    /// not served there has lost one attempt and the time of the way.
    fn pick(&self, r: &Request, now: Time) -> Option<WorkerId> {
        let f = self.functions.get(&r.function)?;
        let lane =
            |p: &Place| p.warm && p.in_flight < p.copies.max(1) * f.lanes && now >= p.barred_until;
        let free = self
            .seats(f)
            .filter(|(_, p, w)| lane(p) && self.alive(w, p, now))
            .map(|s| s.0);
        let spare = self.shared() && r.attempts.len() + 2 < self.set.max_attempts as usize;
        let kept = if spare {
            self.gaps(r.function, now, 0.0, |_| true)
        } else {
            Vec::new()
        };
        let missed = |p: &Place| {
            p.missed
                .is_some_and(|t| now.since(t) < 3 * self.load_wait(f))
        };
        let kept = kept
            .into_iter()
            .filter(|id| !f.places.get(id).is_some_and(missed));
        let aged = free.chain(kept).filter_map(|id| {
            let w = self.workers.get(&id).filter(|w| self.may_send(r, w, now))?;
            let unused = || (1, self.claim(r.function, id, w, true));
            let last = f.places.get(&id).and_then(|p| p.last_send);
            Some((
                last.map_or_else(unused, |t| (0, now.since(t) as f64 * self.strength(w))),
                id,
            ))
        });
        aged.max_by(|a, b| a.0 .0.cmp(&b.0 .0).then(a.0 .1.total_cmp(&b.0 .1)))
            .map(|(_, w)| w)
    }

    /// Whether siblings are likely to keep instances that a call finds for the asking.
    fn shared(&self) -> bool {
        self.set.siblings > 1 && self.set.may_order && self.set.when_absent == WhenAbsent::Miss
    }

    /// Calls that one place takes at a time: its lanes, but no more than a worker's usual load, by all.
    fn takes(&self, f: &Function, now: Time) -> f64 {
        let all = self.work.sum / self.filled(now) * self.set.siblings as f64 * self.shares;
        (all / self.ready.max(1.0))
            .max(LEAST_PLACE)
            .min(f.lanes as f64)
    }

    /// How many places a function may have: by the crowds told, else by its calls and each sibling's.
    /// Loads go by one place less, or by the calls before the one just here: presuming costs little.
    fn cap(&self, f: &Function, now: Time, less: f64) -> usize {
        if self.set.tells_crowd && self.shared() {
            return (f.width.max(1.0) - less) as usize + 1;
        }
        let service = f.service.unwrap_or(self.service(f.class));
        let each = service * self.set.siblings as f64 / self.filled(now) / self.takes(f, now);
        1 + ((f.calls.sum - less).max(0.0) * each) as usize
    }

    /// Where a function with fewer places than its cap may get one: at home, on workers that all front ends
    /// name for it (rendezvous hashing over function and worker, weighted by size).
    fn gaps(
        &self,
        fid: FunctionId,
        now: Time,
        less: f64,
        room: impl Fn(&Worker) -> bool,
    ) -> Vec<WorkerId> {
        let Some(f) = self.functions.get(&fid) else {
            return Vec::new();
        };
        let (cap, wait) = (self.cap(f, now, less), self.load_wait(f));
        let ordered = |p: &Place| p.ordered.is_some_and(|t| now.since(t) < 3 * wait);
        let taken = |w: &Worker, p: &Place| self.alive(w, p, now) || ordered(p);
        let weight = self.service(f.class);
        let able = |w: &Worker| {
            !self.shared() || self.cold_credit(w, weight, now).is_none_or(|c| c >= weight)
        };
        let has = |w: &Worker, p: &Place| {
            Self::open(w) && !self.stuck(w, p, now) && taken(w, p) && able(w)
        };
        let have = self
            .seats(f)
            .filter(|(_, p, w)| has(w, p))
            .take(cap)
            .count();
        if have >= cap || have as f64 >= self.ready {
            return Vec::new();
        }
        let out =
            |w: &Worker, p: &Place| self.stuck(w, p, now) || p.ordered.is_some() && !taken(w, p);
        let at = |id: &WorkerId, so: &dyn Fn(&Worker, &Place) -> bool| {
            self.workers
                .get(id)
                .zip(f.places.get(id))
                .is_some_and(|(w, p)| so(w, p))
        };
        let may = |id: &WorkerId, w: &Worker| {
            (!w.suspect || w.trial) && able(w) && room(w) && !at(id, &out)
        };
        self.home(fid, cap, may)
            .into_iter()
            .filter(|id| !at(id, &taken))
            .collect()
    }

    fn send(&mut self, now: Time, id: RequestId, wid: WorkerId, out: &mut Vec<Action>) {
        self.unline(id);
        let Some(r) = self.requests.get(&id) else {
            return;
        };
        let (weight, memory) = (self.service(r.class), self.memory());
        let credit = self
            .workers
            .get(&wid)
            .and_then(|w| self.cold_credit(w, weight, now));
        let (Some(r), Some(w)) = (self.requests.get_mut(&id), self.workers.get_mut(&wid)) else {
            return;
        };
        let to = w.entry.clone();
        r.attempts.push(Attempt {
            to,
            sent: now,
            ran: None,
        });
        (w.credit, w.credit_at) = (credit.unwrap_or(0.0) - weight, now);
        w.in_flight += 1;
        w.out.insert((now, id));
        (w.trial, w.last) = (false, Some(now));
        w.sends.add(now, 1.0, memory);
        if let Some(f) = self.functions.get_mut(&r.function) {
            let p = f.places.entry(wid).or_default();
            p.in_flight += 1;
            p.last_send = Some(now);
        }
        out.push(Action::Send {
            request: id,
            worker: wid,
            give_up: None,
        });
    }

    /// A load where the function has fewer places than its cap; where siblings may keep it, only once a call
    /// there found it missing.
    fn grow(&mut self, now: Time, id: RequestId, fid: FunctionId, out: &mut Vec<Action>) {
        let allowed = self.ration(now);
        let (direct, request) = (!self.set.may_order, self.requests.get(&id));
        let room = |w: &Worker| {
            let sendable = !direct || request.is_some_and(|r| self.may_send(r, w, now));
            sendable && !(now < self.loads.next_vain && (w.vain || self.loads.vain))
        };
        let Some(f) = self.functions.get(&fid) else {
            return;
        };
        // EXCEPTION: loads in hand are few over all front ends; a share under one comes in turns of its own.
        // Holds for a release of many functions, a slow store, an empty zone. Harm: loads wait with us then.
        let (window, wait, out_now) = (self.loads.window, self.load_wait(f), self.loads.out);
        let turn =
            (out_now as f64) < window && window >= 1.0 || out_now == 0 && now >= self.loads.next;
        let best = |less: f64, rest: Span| {
            let missed = |id: &WorkerId| {
                f.places
                    .get(id)
                    .and_then(|p| p.missed)
                    .map(|t| now.since(t))
            };
            let fits = |id: &WorkerId| {
                missed(id).map_or(request.is_some() || !self.shared(), |ago| ago >= rest)
            };
            let known = self.gaps(fid, now, less, room).into_iter().filter(fits);
            let own = known
                .filter_map(|id| Some((self.claim(fid, id, self.workers.get(&id)?, true), id)));
            own.max_by(|a, b| a.0.total_cmp(&b.0)).map(|o| o.1)
        };
        let load = if direct || allowed && turn {
            best(1.0, 0)
        } else {
            None
        };
        // EXCEPTION: where a miss would load, what siblings keep is asked for, at no load. Harm: the price.
        let asks = self.set.siblings > 1 && !direct && !self.shared() && load.is_none();
        let ask = || best(1.0, wait).or_else(|| best(0.0, self.set.idle_life));
        let Some(wid) = load.or_else(|| asks.then(ask)?) else {
            return;
        };
        if direct {
            return self.send(now, id, wid, out);
        }
        if self.loads.vain || self.workers.get(&wid).is_some_and(|w| w.vain) {
            self.loads.next_vain = now.plus(VAIN_PACE);
        }
        let p = self
            .functions
            .entry(fid)
            .or_default()
            .places
            .entry(wid)
            .or_default();
        if load.is_some() {
            p.ordered = Some(now);
            self.workers.entry(wid).and_modify(|w| w.trial = false);
            self.loads.out += 1;
            self.loads.orders.push_back(now);
            self.loads.next =
                now.plus((wait as f64 / window.max(1.0 / self.set.siblings as f64)) as Span);
        } else {
            p.missed = Some(now);
        }
        out.push(Action::Load {
            worker: wid,
            function: fid,
            instances: load.is_some() as u32,
        });
    }

    /// The highest claims of a function, so many, among the workers that may have it. Strength is little more
    /// than one for most, so that the order at strength one ends the search early; it changes nothing.
    fn home(
        &self,
        fid: FunctionId,
        size: usize,
        may: impl Fn(&WorkerId, &Worker) -> bool,
    ) -> Vec<WorkerId> {
        let Some(f) = self.functions.get(&fid) else {
            return Vec::new();
        };
        let mut order = f.order.borrow_mut();
        if order.0 != self.readings {
            let ranked = self.ready().map(|(id, _)| (rendezvous(fid, *id, 1.0), *id));
            *order = (self.readings, ranked.collect());
            order.1.sort_by(|a, b| b.0.total_cmp(&a.0));
        }
        let strongest = self.largest / self.quickest * 1.000_001;
        let mut home: Vec<(f64, WorkerId)> = Vec::new();
        for &(claim, id) in &order.1 {
            if home.len() >= size && home.last().is_some_and(|l| l.0 > claim * strongest) {
                break;
            }
            let Some(w) = self.workers.get(&id).filter(|w| may(&id, w)) else {
                continue;
            };
            let own = (self.claim(fid, id, w, false), id);
            let at = home.partition_point(|h| h.0 > own.0 || h.0 == own.0 && h.1 < own.1);
            home.insert(at, own);
            home.truncate(size);
        }
        home.into_iter().map(|h| h.1).collect()
    }

    /// How long a load of this function should take now.
    fn load_wait(&self, f: &Function) -> Span {
        let mean = self.loads.took.mean;
        let untold = if mean > 0.0 { mean } else { SECOND as f64 };
        let usual = f.told_load.map_or(untold, |t| t as f64 * mean.max(1.0));
        usual.min(self.set.order_timeout as f64).max(SWEEP as f64) as Span
    }

    /// Rule 5: orders in the window, this one included, within the free part and the share of arrivals.
    fn ration(&mut self, now: Time) -> bool {
        let period = self.set.ration.map_or(0, |r| r.period);
        let old = self
            .arrivals
            .partition_point(|t| now.since(*t) >= period - self.set.tick);
        self.arrivals.drain(..old);
        let old = self
            .loads
            .orders
            .partition_point(|t| now.since(*t) > period + self.set.tick);
        self.loads.orders.drain(..old);
        let given = self.loads.orders.len() as f64 + 1.0;
        self.set
            .ration
            .is_none_or(|r| given <= r.free + r.part * self.arrivals.len() as f64)
    }

    fn on_order(
        &mut self,
        now: Time,
        (wid, fid): (WorkerId, FunctionId),
        told: Told,
        out: &mut Vec<Action>,
    ) {
        let (o, took, n) = told;
        self.on_test(wid, matches!(o, Served | TurnedAway | Error));
        // EXCEPTION: an order counts, from when it left, though its connection ends. Where a miss says so, a
        // call goes and sees; an end at once makes a suspect. Harm: a worker that died costs an attempt.
        let due = o == ConnectionLost && self.shared() && took > self.set.connect_timeout;
        let Some(f) = self.functions.get_mut(&fid) else {
            return;
        };
        let p = f.places.entry(wid).or_default();
        let (left, ordered) = (p.ordered, p.ordered.take().is_some());
        if o != ConnectionLost {
            (p.copies, p.warm, p.told, p.touched) = (n, n > 0, n > 0, now);
            p.missed = p.missed.filter(|_| n == 0);
            p.barred_until = if o == Served {
                now
            } else {
                now.plus(SECOND / 2)
            };
        }
        (p.warm, p.touched) = left
            .filter(|_| due)
            .map_or((p.warm, p.touched), |t| (true, t.max(p.touched)));
        let told_load = f.told_load;
        if n > 0 {
            self.workers.entry(wid).and_modify(|w| w.vain = false);
            self.loads.vain = false;
        } else if o != ConnectionLost && (ordered || o != Served) {
            self.in_vain(now, wid, fid, false);
        }
        self.loads.out -= (ordered && self.loads.out > 0) as usize;
        if ordered && !due && matches!(o, ConnectFailed | ConnectionLost | TimedOut) {
            let gap = if o == TimedOut {
                self.set.connect_timeout
            } else {
                0
            };
            self.workers
                .entry(wid)
                .and_modify(|w| Self::suspect(w, now, gap));
        }
        if ordered && o == Served && took > self.set.connect_timeout {
            self.loads
                .took
                .add(took as f64 / told_load.map_or(1.0, |t| t as f64));
        } else if ordered && o == Served && n > 0 {
            self.loads.next = now; // It stood already: no load was made.
        }
        self.pump(now, fid, out);
    }

    /// EXCEPTION: an order that left no instance, or one told done whose first call missed, bars its place,
    /// from the second in a row for twice as long each time. Workers where that was the last word get their
    /// next orders one by one, and so do all while it was the last word of any. Else one that answers at once
    /// and wrongly is ordered at the loop's speed. Harm: one mended without a restart is found seconds later.
    fn in_vain(&mut self, now: Time, wid: WorkerId, fid: FunctionId, missed: bool) {
        let Some(p) = self
            .functions
            .get_mut(&fid)
            .and_then(|f| f.places.get_mut(&wid))
        else {
            return;
        };
        let before = p.vain;
        p.vain = before.saturating_add(1);
        if before > 0 {
            let gap = (SECOND / 2) << (before - 1).min(VAIN_DOUBLES);
            p.barred_until = p.barred_until.max(now.plus(spread(self.seed, now, gap)));
        }
        if before > 0 || !missed {
            (self.loads.next_vain, self.loads.vain) = (now.plus(VAIN_PACE), true);
            self.workers.entry(wid).and_modify(|w| w.vain = true);
        }
    }

    // ---- Health ----

    /// EXCEPTION: a lost connection (no gap) says little of a worker whose next one answers: tested at once,
    /// that clears it, unless no call was answered since the last. Harm: one that cuts often is given calls.
    fn suspect(w: &mut Worker, now: Time, gap: Span) {
        if !w.suspect {
            (w.suspect, w.trial) = (true, false);
            (w.mute, w.since) = (gap > 0 || w.heard <= w.since, now);
            (w.test_gap, w.next_test) = (gap.max(SWEEP), now.plus(gap.max(SWEEP)));
        }
    }

    fn on_test(&mut self, wid: WorkerId, heard: bool) {
        let told = |w: &mut Worker| {
            (w.suspect, w.trial) = (w.suspect && (w.mute || !heard), w.trial || heard)
        };
        self.workers.entry(wid).and_modify(told);
    }

    fn sweep(&mut self, now: Time, out: &mut Vec<Action>) {
        let paces = self
            .workers
            .values()
            .map(|w| &w.pace)
            .chain(self.kinds.values());
        self.quickest = paces.map(Pace::least).fold(1.0, f64::min);
        if now >= self.next_tidy {
            self.next_tidy = now.plus(SECOND);
            // What was called once, long ago, is forgotten, or one-off functions would fill our memory.
            let long = self
                .set
                .idle_life
                .saturating_mul(FORGET)
                .max(self.set.order_timeout);
            let last = |p: &Place| p.touched.max(p.last_send.unwrap_or(p.touched));
            let stays =
                |p: &Place| p.in_flight > 0 || p.ordered.is_some() || now.since(last(p)) <= long;
            self.functions
                .values_mut()
                .for_each(|f| f.places.retain(|_, p| stays(p)));
            let used = |f: &Function| !f.line.is_empty() || !f.places.is_empty();
            self.functions
                .retain(|_, f| used(f) || now.since(f.calls.at) < long);
            let gone = |w: &Worker| w.entry.state == WorkerState::Gone && w.in_flight == 0;
            self.workers
                .retain(|_, w| !gone(w) || w.left.is_some_and(|t| now.since(t) < long));
        }
        if !self.set.list_pushed && now.since(self.listed_at) > self.set.ask_within / 2 {
            out.push(Action::Subscribe);
            self.listed_at = now;
        }
        self.watch(now, out);
        // Held calls: those now late step back. EXCEPTION: while calls that can be in time wait for a lane
        // (not a load), late ones are refused: they would make the next late. Harm: their small worth.
        let contended = self
            .waiting
            .iter()
            .filter_map(|f| self.functions.get(f))
            .any(|f| {
                let timely = f.line.first().is_some_and(|t| t.0 < 2);
                timely && self.seats(f).any(|(_, p, w)| self.alive(w, p, now))
            });
        let mut heads = Vec::new();
        for fid in self.waiting.iter().copied().collect::<Vec<_>>() {
            for turn in self.looked_over(fid, now) {
                let Some(r) = self.requests.get(&turn.2) else {
                    continue;
                };
                let past = |t: Time, span: f64| now.since(t) as f64 + span > 0.0;
                let expected = self.expected(r).0;
                let late = past(r.aim_at, expected);
                let lost = past(r.deadline, expected)
                    || late && self.set.classes[r.class].late_worth <= 0.0
                    || !self.repeatable(r, None, now);
                let tight = past(r.aim_at, expected.max(self.answer_time()));
                if lost || tight && contended {
                    self.finish(turn.2, out);
                } else if late && turn.0 < 2 {
                    self.enline(turn.2, now);
                }
            }
            heads.extend(
                self.functions
                    .get(&fid)
                    .and_then(|f| f.line.first())
                    .map(|t| (*t, fid)),
            );
        }
        heads.sort();
        // EXCEPTION: no more than so many functions at one look, in turns. With very many it would last until
        // after the next is due, and nothing else be done. Harm: some are looked over later.
        let (n, skip) = (
            heads.len(),
            if heads.len() > SWEPT {
                self.swept % heads.len()
            } else {
                0
            },
        );
        self.swept = skip + SWEPT;
        let turns = heads.into_iter().cycle().skip(skip).take(n.min(SWEPT));
        turns.for_each(|(_, fid)| self.pump(now, fid, out));
    }

    /// Those of a function's line that a sweep may find late, lost or not to be sent again, in their order. A
    /// first try whose aim is further off than any answer takes is none of these.
    fn looked_over(&self, fid: FunctionId, now: Time) -> Vec<Turn> {
        let Some(f) = self.functions.get(&fid) else {
            return Vec::new();
        };
        let slowest = (0..self.set.classes.len())
            .map(|c| self.service(c))
            .fold(0.0, f64::max);
        let heavy = if f.mean_hint > 0.0 {
            f.heaviest as f64 / f.mean_hint
        } else {
            1.0
        };
        let longest = (f.service.unwrap_or(slowest) * heavy.max(1.0)).max(self.answer_time());
        let near = (
            0,
            now.plus((longest as Span).saturating_add(2)),
            RequestId(u64::MAX),
        );
        let mut turns: Vec<Turn> = f.line.range(..=near).copied().collect();
        turns.extend(
            f.again
                .range((Excluded(near), Excluded((2, Time(i64::MIN), RequestId(0))))),
        );
        turns.extend(f.line.range((2, Time(i64::MIN), RequestId(0))..));
        turns
    }

    /// Looks for workers that answer nothing though their peers do, tests the suspects, and frees from them
    /// the calls that may be repeated.
    fn watch(&mut self, now: Time, out: &mut Vec<Action>) {
        let unit = self.answer_time();
        // The evidence adds up over all that waits there: one long call alone proves little, several that all
        // keep silent prove more. A call that was already taken from one suspect counts less.
        let silent = |w: &Worker| {
            let evidence = w.out.iter().filter_map(|(sent, id)| {
                let r = self.requests.get(id)?;
                let age = now.since((*sent).max(w.heard)) as f64;
                // EXCEPTION: silence shorter than our own looks is none: with many fast calls out, answers
                // wait unread that long. Harm: a worker silent for very short calls is found a look later.
                (age > SWEEP as f64)
                    .then(|| age / unit.max(self.expected(r).0) / r.attempts.len().max(1) as f64)
            });
            evidence.sum::<f64>() > PATIENCE
        };
        let found = self
            .workers
            .iter()
            .filter(|(_, w)| !w.suspect && !w.out.is_empty() && silent(w));
        for id in found.map(|(id, _)| *id).collect::<Vec<_>>() {
            self.workers
                .entry(id)
                .and_modify(|w| Self::suspect(w, now, unit as Span));
        }
        // All tests together are paced, the longest due first: a lost zone would cost a probe a worker.
        let suspects = self.workers.iter().filter(|(_, w)| w.suspect);
        let due = suspects
            .clone()
            .filter(|(_, w)| now >= w.next_test && w.entry.state == WorkerState::Ready);
        let test = due
            .min_by_key(|(_, w)| w.next_test)
            .map(|(id, _)| *id)
            .filter(|_| now >= self.next_test);
        for wid in suspects.map(|(id, _)| *id).collect::<Vec<_>>() {
            let Some(w) = self.workers.get_mut(&wid) else {
                continue;
            };
            if test == Some(wid) {
                self.next_test = now.plus(unit as Span);
                w.next_test = now.plus(spread(self.seed, now, w.test_gap));
                w.test_gap = (w.test_gap * 2).min(4 * SECOND);
                let asked = self
                    .functions
                    .iter()
                    .find(|(_, f)| f.places.contains_key(&wid))
                    .map(|f| *f.0);
                if self.set.may_probe {
                    out.push(Action::Probe { worker: wid });
                } else if let (true, Some(function)) = (self.set.may_order, asked) {
                    out.push(Action::Load {
                        worker: wid,
                        function,
                        instances: 0,
                    });
                } else {
                    w.trial = true;
                }
            }
            let (requests, classes, most) = (
                &self.requests,
                &self.set.classes,
                self.set.max_attempts as usize,
            );
            // What was sent as a trial has the time that an answer takes.
            let tried = |t: Time| t > w.since && (now.since(t) as f64) < 2.0 * unit;
            let stuck = w.out.iter().filter(|(sent, id)| {
                let r = requests
                    .get(id)
                    .filter(|r| !r.streaming && !r.concluded && r.attempts.len() < most);
                let safe = r.is_some_and(|r| classes[r.class].effect == Effect::Safe);
                w.mute && !tried(*sent) && self.set.may_cancel && safe
            });
            for key in stuck.copied().collect::<Vec<_>>() {
                let attempt = requests
                    .get(&key.1)
                    .map_or(0, |r| r.attempts.len() as u32 - 1);
                out.push(Action::Cancel {
                    request: key.1,
                    attempt,
                });
                w.out.remove(&key);
            }
        }
    }
}

/// A gap, or up to half as much more, by chance.
fn spread(seed: u64, now: Time, gap: Span) -> Span {
    gap + (mix(seed ^ mix(now.0 as u64)) % (gap.max(0) as u64 / 2 + 1)) as Span
}

fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Highest for the worker where this function belongs: every front end finds the same order without asking.
fn rendezvous(f: FunctionId, w: WorkerId, share: f64) -> f64 {
    let h = mix(f.0 ^ mix(w.0.wrapping_add(0x9e37_79b9_7f4a_7c15)));
    let unit = ((h >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    -share / unit.ln()
}
