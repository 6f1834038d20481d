//! Every decision of the router, by concern. Its interface - settings, events, actions, identifiers - stands in
//! the modules beside this one.
//!
//! Ordinary path: among workers believed to hold a warm instance with a free lane, the one that this front
//! end used least recently; else a load, under a per-function cap; else the call is held for a returning run.
//! What departs from it is marked EXCEPTION, with the symptom it answers and where it could harm.

mod attempt;
mod concurrency;
mod estimate;
mod health;
mod instances;
mod loading;
mod queue;
mod random;
mod request;
mod retry;
mod selection;
mod workers;

use self::concurrency::{CUT, FIRST_LIMIT, IDLE, LEAST_LIMIT};
use self::estimate::{Pace, Recent, Typical, ALL, GAIN};
use self::health::PATIENCE;
use self::instances::{Function, Place};
use self::loading::{Loads, LOADS_AT_WORKER};
use self::queue::{Turn, SWEPT};
use self::random::{mix, rendezvous, spread};
use self::request::{Attempt, Request};
use self::workers::Worker;
use crate::{Outcome::*, *};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::ops::Bound::Excluded;

/// How often held calls and silent workers are looked over, microseconds. Well under any human-scale aim.
const SWEEP: Span = 20_000;

/// Idle lives after its last call that a function is remembered: its instances are long gone by then.
const FORGET: Span = 4;

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
}
