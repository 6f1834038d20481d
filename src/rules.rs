//! Every decision of the router. Its interface - settings, events, actions, ids - is `src/api.rs`.
//!
//! Ordinary path: among workers believed to hold a warm instance with a free lane, the one that this front
//! end used least recently; else a load, under a per-function cap; else the call is held for a returning run.
//! What departs from it is marked EXCEPTION, with the symptom it answers and where it could harm.

use crate::api::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// How often held calls and silent workers are looked over, microseconds. Well under any human-scale aim.
const SWEEP: Span = 10_000;
/// Instances beyond the first, per unit of measured concurrency; 1.5 was measured and was no better.
const HEADROOM: f64 = 1.0;
/// Part of the idle life after which a belief lapses: the rest covers travel and late sweeps.
const LAPSE: f64 = 0.9;
/// Loads of ours in hand at one worker: workers run few at a time, and siblings order there too.
const LOADS_AT_WORKER: usize = 2;
/// A load that takes so many times the quick ones is slow: the store is crowded or ill.
const SLOW_LOAD: f64 = 4.0;
/// Silence of a worker that is a symptom, in usual answer times (mean and deviation) summed over the calls
/// that wait there: were answer times exponential, one silence in e^6, about 400, would be chance.
const PATIENCE: f64 = 10.0;
/// Weight of one sample in slow averages.
const GAIN: f64 = 0.1;
/// Idle lives after its last call that a function is remembered: its instances are long gone by then.
const FORGET: Span = 4;
/// Calls in flight a worker is given at first; learned from there.
const FIRST_LIMIT: f64 = 4.0;
/// Guess of a service time before any answer, as a part of the class's aim.
const FIRST_SERVICE: f64 = 0.2;

/// What is known of an attempt's effect.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Fate {
    Pending,
    NeverRan,
    MayHaveRun,
}

struct Attempt {
    worker: WorkerId,
    zone: usize,
    cell: u64,
    sent: Time,
    fate: Fate,
    cancelled: bool,
}

#[derive(Default)]
struct Request {
    class: usize,
    function: FunctionId,
    aim_at: Time,
    deadline: Time,
    over_quota: bool,
    hint: Option<Span>,
    attempts: Vec<Attempt>,
    streaming: bool,
    concluded: bool,
    line: Option<(u8, Time)>,
}

impl Request {
    fn pending(&self) -> bool {
        self.attempts.iter().any(|a| a.fate == Fate::Pending)
    }
    fn never_ran(&self) -> bool {
        self.attempts.iter().all(|a| a.fate == Fate::NeverRan)
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
    sends: VecDeque<(Time, f64)>,
    suspect: bool,
    next_test: Time,
    test_gap: Span,
    trial: bool,
    loads: usize,
}

/// What this front end believes of one function at one worker.
#[derive(Default)]
struct Place {
    warm: bool,
    copies: u32,
    in_flight: u32,
    last_send: Time,
    touched: Time,
    ordered: Option<Time>,
    others: u32,
    others_until: Time,
    barred_until: Time,
    silences: u32,
}

#[derive(Default)]
struct Function {
    lanes: u32,
    told_load: Option<Span>,
    class: usize,
    service: Option<f64>,
    mean_hint: f64,
    rate: f64,
    rate_at: Time,
    places: BTreeMap<WorkerId, Place>,
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
            *self = Typical { mean: x, dev: x / 2.0 };
        } else {
            self.dev += GAIN * ((x - self.mean).abs() - self.dev);
            self.mean += GAIN * (x - self.mean);
        }
    }
}

/// Loads in hand, and how loads go: their times are over the told time of a load where that is told.
#[derive(Default)]
struct Loads {
    took: Typical,
    low: f64,
    out: usize,
    window: f64,
    cut: Time,
    orders: VecDeque<Time>,
}

/// One front end's decisions. See the crate's example.
pub struct Router {
    set: Settings,
    rng: fastrand::Rng,
    workers: BTreeMap<WorkerId, Worker>,
    functions: BTreeMap<FunctionId, Function>,
    requests: BTreeMap<RequestId, Request>,
    line: BTreeSet<(u8, Time, RequestId)>,
    deadlines: BTreeSet<(Time, RequestId)>,
    ghosts: Vec<(Time, FunctionId, WorkerId)>,
    class_service: Vec<f64>,
    buckets: Vec<(f64, Time)>,
    answers: Typical,
    loads: Loads,
    arrivals: VecDeque<Time>,
    work_done: f64,
    carried: f64,
    carried_at: Time,
    next_sweep: Time,
    timer_at: Option<Time>,
    listed_at: Time,
    last_event: Time,
}

impl Router {
    /// A router that knows nothing yet. The seed is for its random numbers.
    pub fn new(set: Settings, seed: u64, now: Time) -> Result<Router, BadSettings> {
        let faults = [
            (set.classes.is_empty(), "no class of requests"),
            (set.classes.iter().any(|c| c.aim <= 0 || c.deadline <= 0), "an aim or deadline not above zero"),
            (set.siblings == 0, "no front end, not even this one"),
            (set.max_attempts == 0, "no attempt allowed"),
        ];
        if let Some((_, why)) = faults.iter().find(|f| f.0) {
            return Err(BadSettings(why.to_string()));
        }
        Ok(Router {
            rng: fastrand::Rng::with_seed(seed),
            workers: BTreeMap::new(),
            functions: BTreeMap::new(),
            requests: BTreeMap::new(),
            line: BTreeSet::new(),
            deadlines: BTreeSet::new(),
            ghosts: Vec::new(),
            class_service: set.classes.iter().map(|c| c.aim as f64 * FIRST_SERVICE).collect(),
            buckets: set.tenants.iter().map(|t| (t.quota_per_s, now)).collect(),
            answers: Typical::default(),
            loads: Loads { cut: now, ..Loads::default() },
            arrivals: VecDeque::new(),
            work_done: 0.0,
            carried: 0.0,
            carried_at: now,
            next_sweep: now,
            timer_at: None,
            listed_at: now.plus(-set.ask_within),
            last_event: now,
            set,
        })
    }

    /// Takes one event and adds to `out` what is to be done, in order.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        // EXCEPTION: after a stall of our own, silence says nothing about the workers: their clocks start
        // anew. Also right for a suspended machine. Harm: a silent worker is found that much later.
        if now.since(self.last_event) > 5 * SWEEP {
            self.workers.values_mut().for_each(|w| w.heard = now);
        }
        self.last_event = now;
        match event {
            Event::Workers { kind, entries } => self.on_list(now, kind, entries),
            Event::Arrival(a) => self.on_arrival(now, a),
            Event::Timer { .. } => {}
            Event::StreamBegan { request, .. } => {
                if let Some(r) = self.requests.get_mut(&request) {
                    r.streaming = true;
                    self.deadlines.remove(&(r.deadline, request));
                }
            }
            Event::AttemptDone(d) => self.on_done(now, d, out),
            Event::Departed { request } => self.conclude(request),
            Event::ProbeDone { worker, outcome, .. } => self.on_test(worker, outcome == Outcome::Served),
            Event::OrderDone { worker, function, outcome, latency, instances } => {
                self.on_order(now, worker, function, outcome, latency, instances)
            }
        }
        self.answer_due(now, out);
        self.pump(now, out);
        if now >= self.next_sweep {
            self.sweep(now, out);
            self.next_sweep = now.plus(SWEEP);
        }
        if self.timer_at.is_none_or(|t| t <= now) {
            self.timer_at = Some(self.next_sweep);
            out.push(Action::SetTimer { at: self.next_sweep, token: 0 });
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
            let omitted = self.workers.iter_mut().filter(|(id, _)| !named.contains(id));
            omitted.for_each(|(_, w)| w.entry.state = WorkerState::Gone);
        }
        for mut e in entries {
            if !(e.share.is_finite() && e.share > 0.0) {
                e.share = 1.0;
            }
            let id = e.worker;
            let before = self.workers.get(&id).map(|w| w.entry.started);
            let since = e.started.unwrap_or(now);
            let w = self.workers.entry(id).or_default();
            if before.is_none_or(|b| e.started > b) {
                // A restart voids what was believed of the process before it, not what came after.
                (w.suspect, w.limit, w.cut_at, w.heard) = (false, FIRST_LIMIT, now, now);
                let places = self.functions.values_mut().filter_map(|f| f.places.get_mut(&id));
                places.filter(|p| p.touched < since).for_each(|p| p.warm = false);
            }
            w.entry = e;
        }
        let ready = self.ready().count() as f64;
        self.loads.window = self.loads.window.max(ready * LOADS_AT_WORKER as f64 / self.set.siblings as f64);
    }

    fn ready(&self) -> impl Iterator<Item = (&WorkerId, &Worker)> {
        self.workers.iter().filter(|(_, w)| w.entry.state == WorkerState::Ready)
    }

    /// EXCEPTION: when most workers look bad the trouble is shared (the store, our own view), and
    /// shunning them all would turn it into an outage of our making: suspicion is then set aside. Harm: a
    /// true loss of most workers is met with sends into the void until the list tells.
    fn retreat(&self) -> bool {
        let (all, bad) = self.ready().fold((0, 0), |(a, b), (_, w)| (a + 1, b + w.suspect as usize));
        2 * bad > all
    }

    /// EXCEPTION (rule 4): a worker told to have started lately gets, in any window of `fall_after`, no more
    /// than the multiple of its present capacity. Capacity is my own share of what a worker of its size was
    /// seen to carry, at least one core split among the siblings: a lower bound, whatever the siblings do.
    fn cold_room(&self, w: &Worker, weight: f64, now: Time) -> bool {
        let Some(started) = w.entry.started else { return true };
        let age = now.since(started);
        if age >= self.set.warm_up {
            return true;
        }
        let from = (age - self.set.fall_after).max(0) as f64 / self.set.warm_up.max(1) as f64;
        let part = self.set.cold_from + (1.0 - self.set.cold_from) * from;
        let shares: f64 = self.ready().map(|(_, w)| w.entry.share).sum();
        let seen = self.carried * w.entry.share / shares.max(w.entry.share);
        let mine = seen.max(1.0 / self.set.siblings as f64);
        let budget = self.set.fall_multiple * part * mine * self.set.fall_after as f64;
        let since = now.plus(-self.set.fall_after).max(started);
        let spent: f64 = w.sends.iter().filter(|s| s.0 >= since).map(|s| s.1).sum();
        spent + weight <= budget
    }

    /// Whether a worker may take new work at all: what every send and every load order passes.
    fn open(&self, id: WorkerId, retreat: bool) -> bool {
        let Some(w) = self.workers.get(&id) else { return false };
        w.entry.state == WorkerState::Ready && (!w.suspect || retreat)
    }

    // ---- Ledger ----

    /// The gate of rules 1 and 2 for every send, with the room and health of the worker.
    fn may_send(&self, r: &Request, wid: WorkerId, retreat: bool, now: Time) -> bool {
        let Some(w) = self.workers.get(&wid) else { return false };
        let class = &self.set.classes[r.class];
        if r.concluded || r.streaming || now >= r.deadline || r.pending() {
            return false;
        }
        let ready = w.entry.state == WorkerState::Ready;
        let trial = ready && w.suspect && w.trial && class.effect == Effect::Safe;
        // Half the room is for calls within their tenant's quota only: what is over it yields first.
        let room = if r.over_quota { w.limit / 2.0 } else { w.limit };
        if !(self.open(wid, retreat) || trial) || w.in_flight as f64 >= room.max(1.0) {
            return false;
        }
        if !self.cold_room(w, self.class_service[r.class], now) {
            return false;
        }
        self.repeatable(r, Some(&w.entry), now)
    }

    /// Rule 2: whether a further attempt is allowed, at this worker or (none) anywhere.
    fn repeatable(&self, r: &Request, to: Option<&WorkerEntry>, now: Time) -> bool {
        let class = &self.set.classes[r.class];
        let mut ran = r.attempts.iter().filter(|a| a.fate != Fate::NeverRan);
        let in_group = |a: &Attempt, group: Group| match (group, to) {
            (Group::Zone, Some(e)) => a.zone == e.zone,
            (Group::Cell, Some(e)) => a.cell == e.cell,
            _ => true,
        };
        let effect = match class.effect {
            Effect::Safe => true,
            Effect::Unsafe => ran.next().is_none(),
            // The margin covers the way to the worker, a connection made anew included.
            Effect::Keyed { group, window } => {
                ran.all(|a| in_group(a, group) && now.since(a.sent) < window - 2 * self.set.connect_timeout)
            }
        };
        effect && r.attempts.len() < self.set.max_attempts as usize
    }

    fn may_refuse(&self, r: &Request) -> bool {
        match self.set.classes[r.class].effect {
            Effect::Safe => true,
            Effect::Keyed { group: Group::All, .. } => true,
            _ => r.never_ran(),
        }
    }

    /// EXCEPTION (rule 1): what can't be held until the next sweep is answered at once: held calls near
    /// their end, and calls that come with no time left, as after a stall of this front end. A pending
    /// attempt may answer until the very end. Harm: a call refused some milliseconds early.
    fn answer_due(&mut self, now: Time, out: &mut Vec<Action>) {
        let soon = now.plus(2 * self.set.tick + SWEEP);
        let due = self.deadlines.range(..(soon, RequestId(u64::MAX)));
        let over = due.filter(|(at, id)| *at <= now || self.requests.get(id).is_some_and(|r| !r.pending()));
        for id in over.map(|k| k.1).collect::<Vec<_>>() {
            self.finish(id, out);
        }
    }

    fn finish(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get(&id).filter(|r| !r.concluded) else { return };
        let refuse = Action::Refuse { request: id, stay_away: 0 };
        out.push(if self.may_refuse(r) { refuse } else { Action::Fail { request: id } });
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
        if let Some((rank, at)) = self.requests.get_mut(&id).and_then(|r| r.line.take()) {
            self.line.remove(&(rank, at, id));
        }
    }

    fn enline(&mut self, id: RequestId, now: Time) {
        self.unline(id);
        let Some(r) = self.requests.get(&id) else { return };
        let late = now.since(r.aim_at).saturating_add(self.expected(r) as Span) > 0;
        let rank = 2 * late as u8 + r.over_quota as u8;
        let key = (rank, r.aim_at);
        if let Some(r) = self.requests.get_mut(&id) {
            r.line = Some(key);
        }
        self.line.insert((key.0, key.1, id));
    }

    fn on_arrival(&mut self, now: Time, a: Arrival) {
        if self.requests.contains_key(&a.request) {
            return;
        }
        let class = a.class.min(self.set.classes.len() - 1);
        self.arrivals.push_back(now);
        let new = || Function { rate_at: now, ..Function::default() };
        let f = self.functions.entry(a.function).or_insert_with(new);
        f.lanes = a.lanes.max(1);
        f.told_load = a.load_time.filter(|t| *t > 0);
        f.class = class;
        // The rate: a sum that decays over the idle life, the time that an unused instance stays.
        let life = self.set.idle_life.max(SECOND) as f64;
        f.rate *= (-(now.since(f.rate_at) as f64) / life).exp();
        f.rate += 1.0;
        f.rate_at = now;
        let hint = a.work_hint.filter(|h| *h > 0);
        if let Some(h) = hint {
            f.mean_hint += if f.mean_hint == 0.0 { h as f64 } else { GAIN * (h as f64 - f.mean_hint) };
        }
        let mut over_quota = false;
        if let (Some(t), Some(b)) = (self.set.tenants.get(a.tenant), self.buckets.get_mut(a.tenant)) {
            // A second's worth of quota may come at once; my share of it is one sibling's.
            let mine = (t.quota_per_s / self.set.siblings as f64).max(0.0);
            b.0 = (b.0 + mine * now.since(b.1) as f64 / SECOND as f64).min(mine.max(1.0));
            b.1 = now;
            over_quota = b.0 < 1.0;
            b.0 -= if over_quota { 0.0 } else { 1.0 };
        }
        let c = &self.set.classes[class];
        let stretch = if c.aim_stretch.is_finite() { c.aim_stretch } else { 0.0 };
        let aim = c.aim.saturating_add((stretch * hint.unwrap_or(0) as f64) as Span);
        let deadline = now.plus(a.budget.max(0));
        // A client that leaves before the aim sets the aim.
        let aim_at = now.plus(aim.min(c.deadline)).min(deadline);
        let function = a.function;
        let r = Request { class, function, aim_at, deadline, over_quota, hint, ..Request::default() };
        self.requests.insert(a.request, r);
        self.deadlines.insert((deadline, a.request));
        self.enline(a.request, now);
    }

    /// What this call should take on a warm lane, microseconds.
    fn expected(&self, r: &Request) -> f64 {
        let Some(f) = self.functions.get(&r.function) else { return self.class_service[r.class] };
        let base = f.service.unwrap_or(self.class_service[r.class]);
        match r.hint {
            Some(h) if f.mean_hint > 0.0 => base * h as f64 / f.mean_hint,
            _ => base,
        }
    }

    /// What an answer usually takes of late, queues and chance included.
    fn answer_time(&self) -> f64 {
        let first = 2.0 * self.class_service[0];
        if self.answers.mean > 0.0 {
            self.answers.mean + self.answers.dev
        } else {
            first
        }
    }

    fn on_done(&mut self, now: Time, d: AttemptDone, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get_mut(&d.request) else { return };
        let Some(a) = r.attempts.get_mut(d.attempt as usize) else { return };
        if a.fate != Fate::Pending {
            return;
        }
        let (wid, sent) = (a.worker, a.sent);
        a.fate = if d.outcome.never_ran() { Fate::NeverRan } else { Fate::MayHaveRun };
        let (fid, class) = (r.function, r.class);
        let owed = !r.concluded && !d.concluded;
        let usual = self.requests.get(&d.request).map_or(0.0, |r| self.expected(r));
        let aim = self.set.classes[class].aim as f64;
        if let Some(w) = self.workers.get_mut(&wid) {
            w.out.remove(&(sent, d.request));
            w.in_flight = w.in_flight.saturating_sub(1);
            let took = d.latency.max(0) as f64;
            let heard = !matches!(d.outcome, Outcome::TimedOut | Outcome::Cancelled | Outcome::NotSent);
            let lost = matches!(d.outcome, Outcome::ConnectFailed | Outcome::ConnectionLost);
            let ran = matches!(d.outcome, Outcome::Served | Outcome::Error);
            let warm = matches!(d.note, Note::Warm | Note::Silent);
            if lost {
                Self::suspect(w, now, self.set.connect_timeout);
            } else if heard {
                w.heard = now;
                w.suspect &= !ran;
            }
            // What a worker holds of ours is bounded by what comes back in good time, whatever slows it:
            // siblings' calls, few cores, memory, a jam. Harm: it gives up some room to chance.
            let slow = ran && warm && took > aim / 2.0 && took > 2.0 * usual;
            if slow || matches!(d.outcome, Outcome::TurnedAway | Outcome::TimedOut) {
                if now.since(w.cut_at) > usual as Span {
                    w.limit = (w.limit * 0.8).max(1.0);
                    w.cut_at = now;
                }
            } else if ran && w.in_flight as f64 + 1.5 >= w.limit {
                w.limit += 1.0 / w.limit.max(1.0);
            }
        }
        if let Some(f) = self.functions.get_mut(&fid) {
            let lanes = f.lanes;
            let p = f.places.entry(wid).or_default();
            let goes_on = matches!(d.outcome, Outcome::TimedOut | Outcome::Cancelled);
            if goes_on {
                // The work may go on: it holds its lane for about as long again.
                self.ghosts.push((now.plus(usual as Span), fid, wid));
                // EXCEPTION: a place that answered nothing since this call went there rests, longer each
                // time, whatever its worker does otherwise: a stuck instance, a bad image. Harm: a jammed
                // place rests too, and loads are ordered elsewhere.
                if p.touched <= sent {
                    p.silences += 1;
                    let rest = SECOND.saturating_mul(1 << p.silences.min(6));
                    p.barred_until = now.plus(rest.min(self.set.idle_life));
                }
            } else {
                p.in_flight = p.in_flight.saturating_sub(1);
            }
            match d.outcome {
                Outcome::Served => {
                    p.warm = true;
                    p.copies = p.copies.max(1);
                    p.touched = now;
                    p.silences = 0;
                    if let Some(c) = d.crowd {
                        p.others = c.saturating_sub(p.in_flight);
                        p.others_until = now.plus(usual as Span);
                    }
                    if matches!(d.note, Note::Warm | Note::Silent) {
                        let mut x = d.latency.max(1) as f64;
                        if let (Some(r), true) = (self.requests.get(&d.request), f.mean_hint > 0.0) {
                            x *= r.hint.map_or(1.0, |h| f.mean_hint / h as f64);
                        }
                        self.answers.add(d.latency.max(1) as f64);
                        // A low estimate: falls fast, rises slowly, so that queues weigh little.
                        let step = |old: f64| old + (x - old) * if x < old { 2.0 * GAIN } else { GAIN / 2.0 };
                        f.service = Some(f.service.map_or(x, step));
                        let old = self.class_service[class];
                        self.class_service[class] = step(old);
                    }
                    self.work_done += self.class_service[class];
                }
                Outcome::NotLoaded | Outcome::ConnectFailed | Outcome::ConnectionLost => p.warm = false,
                Outcome::TurnedAway => {
                    p.barred_until = now.plus(usual as Span);
                    p.others = lanes;
                    p.others_until = p.barred_until;
                }
                _ => {}
            }
        }
        let request = self.requests.get(&d.request);
        let again = request.is_some_and(|r| now < r.deadline && self.repeatable(r, None, now));
        match (owed, again) {
            (false, _) => self.conclude(d.request),
            (true, true) => self.enline(d.request, now),
            (true, false) => self.finish(d.request, out),
        }
    }

    // ---- Pick, hold, load ----

    fn pump(&mut self, now: Time, out: &mut Vec<Action>) {
        let mut full: BTreeSet<FunctionId> = BTreeSet::new();
        let retreat = self.retreat();
        let ids: Vec<RequestId> = self.line.iter().map(|k| k.2).collect();
        for id in ids {
            let Some(r) = self.requests.get(&id) else { continue };
            let fresh = r.attempts.is_empty();
            let fid = r.function;
            if fresh && full.contains(&fid) {
                continue;
            }
            if let Some(w) = self.pick(r, retreat, now) {
                self.send(now, id, w, out);
            } else {
                self.grow(now, id, fid, retreat, out);
                if fresh && self.requests.get(&id).is_some_and(|r| r.line.is_some()) {
                    full.insert(fid);
                }
            }
        }
    }

    fn alive(&self, p: &Place, now: Time) -> bool {
        p.warm && (p.in_flight > 0 || now.since(p.touched) < (self.set.idle_life as f64 * LAPSE) as Span)
    }

    /// Silent for long, or at rest for it: it does not count as a place, so that another may be loaded.
    fn stuck(&self, p: &Place, now: Time) -> bool {
        let silent = now.since(p.last_send.max(p.touched)) as f64;
        now < p.barred_until || p.in_flight > 0 && silent > PATIENCE / 2.0 * self.answer_time()
    }

    /// The mechanism: the least recently used of the warm places with a free lane.
    /// A call about to miss its aim is held like any other: sent on to a queue it made others late too.
    fn pick(&self, r: &Request, retreat: bool, now: Time) -> Option<WorkerId> {
        let f = self.functions.get(&r.function)?;
        let warm = || {
            f.places.iter().filter(|(w, p)| {
                let sound = p.silences == 0 || self.set.classes[r.class].effect == Effect::Safe;
                self.alive(p, now) && now >= p.barred_until && sound && self.may_send(r, **w, retreat, now)
            })
        };
        let free = |p: &Place| {
            let others = if now < p.others_until { p.others } else { 0 };
            p.in_flight + others < p.copies.max(1) * f.lanes
        };
        warm().filter(|(_, p)| free(p)).min_by_key(|(_, p)| p.last_send).map(|(w, _)| *w)
    }

    fn send(&mut self, now: Time, id: RequestId, wid: WorkerId, out: &mut Vec<Action>) {
        self.unline(id);
        let (Some(r), Some(w)) = (self.requests.get_mut(&id), self.workers.get_mut(&wid)) else { return };
        r.attempts.push(Attempt {
            worker: wid,
            zone: w.entry.zone,
            cell: w.entry.cell,
            sent: now,
            fate: Fate::Pending,
            cancelled: false,
        });
        w.in_flight += 1;
        w.trial = false;
        w.out.insert((now, id));
        w.sends.push_back((now, self.class_service[r.class]));
        while w.sends.front().is_some_and(|s| now.since(s.0) > self.set.fall_after) {
            w.sends.pop_front();
        }
        if let Some(f) = self.functions.get_mut(&r.function) {
            let p = f.places.entry(wid).or_default();
            p.in_flight += 1;
            p.last_send = now;
        }
        out.push(Action::Send { request: id, worker: wid, give_up: None });
    }

    /// A load where the function lacks lanes: under its cap, within the ration, at the place that every front
    /// end would name for it (rendezvous hashing over function and worker, weighted by size).
    fn grow(&mut self, now: Time, id: RequestId, fid: FunctionId, retreat: bool, out: &mut Vec<Action>) {
        let allowed = self.ration(now);
        let (Some(f), Some(r)) = (self.functions.get(&fid), self.requests.get(&id)) else { return };
        let service = f.service.unwrap_or(self.class_service[f.class]);
        let life = self.set.idle_life.max(SECOND) as f64;
        // The siblings take about as much of it and name the same places, so the places are shared by all.
        let busy = f.rate / life * service * self.set.siblings as f64;
        let cap = 1 + (HEADROOM * busy / f.lanes as f64) as usize;
        let wait = self.load_wait(f);
        let have = f
            .places
            .iter()
            .filter(|(w, p)| {
                self.open(**w, retreat)
                    && !self.stuck(p, now)
                    && (self.alive(p, now) || p.ordered.is_some_and(|t| now.since(t) < 3 * wait))
            })
            .count();
        if have >= cap {
            return;
        }
        let direct = !self.set.may_order;
        if !direct && (self.loads.out as f64 >= self.loads.window.max(1.0) || !allowed) {
            return;
        }
        let mut best: Option<(f64, WorkerId)> = None;
        for (wid, w) in self.ready() {
            let place = f.places.get(wid);
            let taken =
                place.is_some_and(|p| self.alive(p, now) || p.ordered.is_some() || now < p.barred_until);
            if taken || !self.open(*wid, retreat) || w.loads >= LOADS_AT_WORKER {
                continue;
            }
            if direct && !self.may_send(r, *wid, retreat, now) {
                continue;
            }
            let score = rendezvous(fid, *wid, w.entry.share);
            if best.is_none_or(|b| score > b.0) {
                best = Some((score, *wid));
            }
        }
        let Some((_, wid)) = best else { return };
        if direct {
            self.send(now, id, wid, out);
        } else if let (Some(f), Some(w)) = (self.functions.get_mut(&fid), self.workers.get_mut(&wid)) {
            f.places.entry(wid).or_default().ordered = Some(now);
            w.loads += 1;
            self.loads.out += 1;
            self.loads.orders.push_back(now);
            out.push(Action::Load { worker: wid, function: fid, instances: 1 });
        }
    }

    /// How long a load of this function should take now.
    fn load_wait(&self, f: &Function) -> Span {
        let usual = match (f.told_load, self.loads.took.mean) {
            (Some(t), mean) => t as f64 * mean.max(1.0),
            (None, mean) if mean > 0.0 => mean,
            _ => SECOND as f64,
        };
        usual.min(self.set.order_timeout as f64) as Span
    }

    /// Rule 5: orders in the window, this one included, within the free part and the share of arrivals.
    fn ration(&mut self, now: Time) -> bool {
        let period = self.set.ration.map_or(0, |r| r.period);
        while self.arrivals.front().is_some_and(|t| now.since(*t) >= period - self.set.tick) {
            self.arrivals.pop_front();
        }
        while self.loads.orders.front().is_some_and(|t| now.since(*t) > period + self.set.tick) {
            self.loads.orders.pop_front();
        }
        let Some(r) = self.set.ration else { return true };
        self.loads.orders.len() as f64 + 1.0 <= r.free + r.part * self.arrivals.len() as f64
    }

    fn on_order(&mut self, now: Time, wid: WorkerId, fid: FunctionId, o: Outcome, took: Span, n: u32) {
        let heard = matches!(o, Outcome::Served | Outcome::TurnedAway | Outcome::Error);
        self.on_test(wid, heard);
        let Some(f) = self.functions.get_mut(&fid) else { return };
        let p = f.places.entry(wid).or_default();
        let ordered = p.ordered.take().is_some();
        p.copies = n;
        p.warm = n > 0;
        p.touched = now;
        if o != Outcome::Served {
            p.barred_until = now.plus(SECOND / 2);
        }
        if !ordered {
            return;
        }
        self.loads.out = self.loads.out.saturating_sub(1);
        if let Some(w) = self.workers.get_mut(&wid) {
            w.loads = w.loads.saturating_sub(1);
            if matches!(o, Outcome::ConnectFailed | Outcome::ConnectionLost | Outcome::TimedOut) {
                Self::suspect(w, now, self.set.connect_timeout);
            }
        }
        // EXCEPTION: loads in hand are bounded by how they go, as sends are: a store that fails or slows is
        // not pushed further. Harm: after a release of many functions loads queue with us.
        let x = took.max(0) as f64 / f.told_load.map_or(1.0, |t| t as f64);
        let loaded = o == Outcome::Served && took > self.set.connect_timeout;
        if loaded {
            self.loads.took.add(x);
            let old = if self.loads.low > 0.0 { self.loads.low } else { x };
            self.loads.low = old + (x - old) * if x < old { 2.0 * GAIN } else { GAIN / 10.0 };
        }
        if o == Outcome::Error || loaded && x > SLOW_LOAD * self.loads.low {
            if now.since(self.loads.cut) > SECOND {
                self.loads.window = (self.loads.window * 0.8).max(1.0);
                self.loads.cut = now;
            }
        } else if loaded {
            self.loads.window += 1.0 / self.loads.window.max(1.0);
        }
    }

    // ---- Health ----

    fn suspect(w: &mut Worker, now: Time, gap: Span) {
        if !w.suspect {
            w.suspect = true;
            w.trial = false;
            w.test_gap = gap.max(SWEEP);
            w.next_test = now.plus(w.test_gap);
        }
    }

    fn on_test(&mut self, wid: WorkerId, heard: bool) {
        if let Some(w) = self.workers.get_mut(&wid) {
            w.trial |= heard && w.suspect;
        }
    }

    fn sweep(&mut self, now: Time, out: &mut Vec<Action>) {
        for i in (0..self.ghosts.len()).rev() {
            if self.ghosts[i].0 <= now {
                let (_, fid, wid) = self.ghosts.swap_remove(i);
                if let Some(p) = self.functions.get_mut(&fid).and_then(|f| f.places.get_mut(&wid)) {
                    p.in_flight = p.in_flight.saturating_sub(1);
                }
            }
        }
        if now.since(self.carried_at) >= SECOND {
            let rate = self.work_done / now.since(self.carried_at) as f64;
            self.carried = rate.max(self.carried * 0.99);
            self.work_done = 0.0;
            self.carried_at = now;
            // What was called once, long ago, is forgotten, or one-off functions would fill our memory.
            let long = self.set.idle_life.saturating_mul(FORGET).max(self.set.order_timeout);
            let used = |p: &Place| p.in_flight > 0 || p.ordered.is_some();
            self.functions.retain(|_, f| now.since(f.rate_at) < long || f.places.values().any(used));
        }
        if !self.set.list_pushed && now.since(self.listed_at) > self.set.ask_within / 2 {
            out.push(Action::Subscribe);
            self.listed_at = now;
        }
        self.watch(now, out);
        // Held calls: those now late step back; those that can't earn any more are refused.
        // EXCEPTION: while calls that can still be in time wait for a lane or for room (not for a load), the
        // late ones are refused: serving them would make the next ones late too. Harm: their small worth.
        let contended = self.line.iter().any(|(rank, _, id)| {
            let f = self.requests.get(id).and_then(|r| self.functions.get(&r.function));
            *rank < 2 && f.is_some_and(|f| f.places.values().any(|p| self.alive(p, now)))
        });
        let ids: Vec<RequestId> = self.line.iter().map(|k| k.2).collect();
        for id in ids {
            let Some(r) = self.requests.get(&id) else { continue };
            let late = now.since(r.aim_at).saturating_add(self.expected(r) as Span) > 0;
            let lost = now.since(r.deadline).saturating_add(self.expected(r) as Span) > 0;
            let worthless = self.set.classes[r.class].late_worth <= 0.0 && late;
            let tight = now.since(r.aim_at) as f64 + self.expected(r).max(self.answer_time()) > 0.0;
            if lost || worthless || (tight || r.over_quota) && contended || !self.repeatable(r, None, now) {
                self.finish(id, out);
            } else if late && r.line.is_some_and(|l| l.0 < 2) {
                self.enline(id, now);
            }
        }
    }

    /// Looks for workers that answer nothing though their peers do, tests the suspects, and frees from them
    /// the calls that may be repeated.
    fn watch(&mut self, now: Time, out: &mut Vec<Action>) {
        let unit = self.answer_time();
        let ids: Vec<WorkerId> = self.workers.keys().copied().collect();
        for wid in &ids {
            let Some(w) = self.workers.get(wid) else { continue };
            // The evidence adds up over all that waits there: one long call alone proves little, several
            // that all keep silent prove more. A call that was already taken from one suspect counts less.
            let evidence = w.out.iter().filter_map(|(sent, id)| {
                let r = self.requests.get(id)?;
                let age = now.since((*sent).max(w.heard)) as f64;
                Some(age / unit.max(self.expected(r)) / r.attempts.len().max(1) as f64)
            });
            if !w.suspect && evidence.sum::<f64>() > PATIENCE {
                if let Some(w) = self.workers.get_mut(wid) {
                    Self::suspect(w, now, unit as Span);
                }
            }
        }
        let retreat = self.retreat();
        for wid in ids {
            let Some(w) = self.workers.get_mut(&wid) else { continue };
            if !w.suspect {
                continue;
            }
            let stuck: Vec<RequestId> = w.out.iter().map(|o| o.1).collect();
            if now >= w.next_test && w.entry.state == WorkerState::Ready {
                // A little chance, so that siblings do not all ask at once.
                w.next_test = now.plus(w.test_gap + (w.test_gap as f64 * self.rng.f64() / 2.0) as Span);
                w.test_gap = (w.test_gap * 2).min(4 * SECOND);
                let asked = self.functions.iter().find(|(_, f)| f.places.contains_key(&wid)).map(|f| *f.0);
                if self.set.may_probe {
                    out.push(Action::Probe { worker: wid });
                } else if let (true, Some(function)) = (self.set.may_order, asked) {
                    out.push(Action::Load { worker: wid, function, instances: 0 });
                } else {
                    w.trial = true;
                }
            }
            if retreat || !self.set.may_cancel {
                continue;
            }
            for id in stuck {
                let Some(r) = self.requests.get_mut(&id) else { continue };
                let safe = self.set.classes[r.class].effect == Effect::Safe;
                let more = r.attempts.len() < self.set.max_attempts as usize;
                let (streaming, concluded) = (r.streaming, r.concluded);
                if let Some(a) = r.attempts.last_mut() {
                    if safe && more && !streaming && !concluded && !a.cancelled && a.fate == Fate::Pending {
                        a.cancelled = true;
                        let attempt = r.attempts.len() as u32 - 1;
                        out.push(Action::Cancel { request: id, attempt });
                    }
                }
            }
        }
    }
}

/// Highest for the worker where this function belongs: every front end finds the same order without asking.
fn rendezvous(f: FunctionId, w: WorkerId, share: f64) -> f64 {
    let mix = |mut x: u64| {
        x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        x ^ (x >> 31)
    };
    let h = mix(f.0 ^ mix(w.0.wrapping_add(0x9e37_79b9_7f4a_7c15)));
    let unit = ((h >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    -share / unit.ln()
}
