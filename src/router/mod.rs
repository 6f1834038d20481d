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

use self::concurrency::{IDLE_CORE_SHARE, INITIAL_LIMIT, LIMIT_DECREASE, MIN_FLEET_LIMIT};
use self::estimate::{DecayingSum, LatencyEstimate, ServiceTimeRatio, ALL_KINDS, SMOOTHING};
use self::health::SILENCE_THRESHOLD;
use self::instances::{Function, Instance};
use self::loading::{LoadState, LOADS_PER_WORKER};
use self::queue::{QueueKey, FUNCTIONS_PER_CHECK};
use self::random::{mix, rendezvous, spread};
use self::request::{Attempt, Request};
use self::workers::Worker;
use crate::{Outcome::*, *};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::ops::Bound::Excluded;

/// How often held calls and silent workers are looked over, microseconds. Well under any human-scale aim.
const CHECK_INTERVAL: Span = 20_000;

/// Idle lives after its last call that a function is remembered: its instances are long gone by then.
const FORGET_AFTER_IDLE_LIVES: Span = 4;

/// One front end's decisions. See the crate's example. The default knows nothing and has default settings.
#[derive(Default)]
pub struct Router {
    settings: Settings,
    seed: u64,
    workers: BTreeMap<WorkerId, Worker>,
    functions: BTreeMap<FunctionId, Function>,
    requests: BTreeMap<RequestId, Request>,
    functions_waiting: BTreeSet<FunctionId>,
    deadlines: BTreeSet<(Time, RequestId)>,
    class_service_times: BTreeMap<usize, f64>,
    answer_times: LatencyEstimate,
    kind_ratios: BTreeMap<usize, ServiceTimeRatio>,
    loads: LoadState,
    recent_arrivals: VecDeque<Time>,
    /// Work of calls served over the sizes of the workers there were then.
    recent_work: DecayingSum,
    /// Shares of their cores that answering workers told to be at work.
    busy_cores: ServiceTimeRatio,
    next_cleanup: Time,
    next_probe: Time,
    total_share: f64,
    ready_count: f64,
    configuration_revision: u64,
    largest_share: f64,
    /// No more than any worker's slowness, since the last sweep.
    lowest_slowness: f64,
    started_at: Time,
    next_check: Time,
    check_offset: usize,
    timer_at: Option<Time>,
    list_requested_at: Time,
}

impl Router {
    /// A router that knows nothing yet. The seed is for its random numbers.
    pub fn new(set: Settings, seed: u64, now: Time) -> Result<Router, BadSettings> {
        let listed_at = now.plus(-set.ask_within);
        let mut new = Router {
            seed,
            next_check: now,
            list_requested_at: listed_at,
            started_at: now,
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
        (self.settings, self.configuration_revision) = (set, self.configuration_revision + 1);
        Ok(())
    }

    /// Takes one event and adds to `out` what is to be done, in order.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        // EXCEPTION: after a stall of our own, silence says nothing about the workers: their clocks start
        // anew. Also right for a suspended machine. Harm: a silent worker is found that much later.
        if self
            .timer_at
            .is_some_and(|t| now.since(t) > 5 * CHECK_INTERVAL)
        {
            self.workers.values_mut().for_each(|w| w.last_answer = now);
        }
        match event {
            Event::Workers { kind, entries } => self.on_worker_list(now, kind, entries),
            Event::Arrival(a) => self.on_arrival(now, a, out),
            Event::Timer { .. } => {}
            Event::StreamBegan { request, .. } => {
                if let Some(r) = self.requests.get_mut(&request) {
                    r.streaming = true;
                    self.deadlines.remove(&(r.deadline, request));
                }
            }
            Event::AttemptDone(d) => self.on_attempt_result(now, d, out),
            Event::Departed { request } => self.close_request(request),
            Event::ProbeDone {
                worker, outcome, ..
            } => self.on_probe_result(worker, outcome == Served),
            Event::OrderDone {
                worker,
                function,
                outcome,
                latency,
                instances,
            } => self.on_load_result(now, (worker, function), (outcome, latency, instances), out),
        }
        self.answer_overdue(now, out);
        if now >= self.next_check {
            self.on_timer(now, out);
            self.next_check = now.plus(CHECK_INTERVAL);
        }
        let calm = self.functions_waiting.is_empty() && self.requests.is_empty();
        let at = if calm {
            now.plus(SECOND)
        } else {
            self.next_check
        };
        if self.timer_at.is_none_or(|t| t <= now || t > at) {
            self.timer_at = Some(at);
            out.push(Action::SetTimer { at, token: 0 });
        }
    }

    fn on_timer(&mut self, now: Time, out: &mut Vec<Action>) {
        let paces = self
            .workers
            .values()
            .map(|w| &w.service_ratio)
            .chain(self.kind_ratios.values());
        self.lowest_slowness = paces.map(ServiceTimeRatio::least).fold(1.0, f64::min);
        if now >= self.next_cleanup {
            self.next_cleanup = now.plus(SECOND);
            // What was called once, long ago, is forgotten, or one-off functions would fill our memory.
            let long = self
                .settings
                .idle_life
                .saturating_mul(FORGET_AFTER_IDLE_LIVES)
                .max(self.settings.order_timeout);
            let last = |p: &Instance| p.last_evidence.max(p.last_send.unwrap_or(p.last_evidence));
            let stays = |p: &Instance| {
                p.in_flight > 0 || p.load_requested.is_some() || now.since(last(p)) <= long
            };
            self.functions
                .values_mut()
                .for_each(|f| f.instances.retain(|_, p| stays(p)));
            let used = |f: &Function| !f.queue.is_empty() || !f.instances.is_empty();
            self.functions
                .retain(|_, f| used(f) || now.since(f.recent_calls.at) < long);
            let gone = |w: &Worker| w.entry.state == WorkerState::Gone && w.in_flight == 0;
            self.workers
                .retain(|_, w| !gone(w) || w.left_at.is_some_and(|t| now.since(t) < long));
        }
        if !self.settings.list_pushed
            && now.since(self.list_requested_at) > self.settings.ask_within / 2
        {
            out.push(Action::Subscribe);
            self.list_requested_at = now;
        }
        self.check_health(now, out);
        // Held calls: those now late step back. EXCEPTION: while calls that can be in time wait for a lane
        // (not a load), late ones are refused: they would make the next late. Harm: their small worth.
        let contended = self
            .functions_waiting
            .iter()
            .filter_map(|f| self.functions.get(f))
            .any(|f| {
                let timely = f.queue.first().is_some_and(|t| t.0 < 2);
                timely
                    && self
                        .instances_with_workers(f)
                        .any(|(_, p, w)| self.is_warm(w, p, now))
            });
        let mut heads = Vec::new();
        for function_id in self.functions_waiting.iter().copied().collect::<Vec<_>>() {
            for turn in self.calls_to_check(function_id, now) {
                let Some(r) = self.requests.get(&turn.2) else {
                    continue;
                };
                let past = |t: Time, span: f64| now.since(t) as f64 + span > 0.0;
                let expected = self.expected_service(r).0;
                let late = past(r.objective_at, expected);
                let lost = past(r.deadline, expected)
                    || late && self.settings.classes[r.class].late_worth <= 0.0
                    || !self.may_attempt_again(r, None, now);
                let tight = past(r.objective_at, expected.max(self.usual_answer_time()));
                if lost || tight && contended {
                    self.answer_unserved(turn.2, out);
                } else if late && turn.0 < 2 {
                    self.enqueue(turn.2, now);
                }
            }
            heads.extend(
                self.functions
                    .get(&function_id)
                    .and_then(|f| f.queue.first())
                    .map(|t| (*t, function_id)),
            );
        }
        heads.sort();
        // EXCEPTION: no more than so many functions at one look, in turns. With very many it would last until
        // after the next is due, and nothing else be done. Harm: some are looked over later.
        let (n, skip) = (
            heads.len(),
            if heads.len() > FUNCTIONS_PER_CHECK {
                self.check_offset % heads.len()
            } else {
                0
            },
        );
        self.check_offset = skip + FUNCTIONS_PER_CHECK;
        let turns = heads
            .into_iter()
            .cycle()
            .skip(skip)
            .take(n.min(FUNCTIONS_PER_CHECK));
        turns.for_each(|(_, function_id)| self.dispatch_queue(now, function_id, out));
    }
}
