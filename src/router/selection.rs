//! The mechanism: which warm instance serves a call, and which workers a function belongs on.

use super::instances::{AffinityOrder, Function, Instance};
use super::random::{mix, rendezvous};
use super::request::Request;
use super::workers::Worker;
use super::Router;
use crate::{Effect, FunctionId, Micros, Time, WorkerId};

/// A load that was asked for counts as an instance for so many times the expected time of a load, and an instance
/// that was missed is not presumed to be there for as long.
const LOAD_TIME_MARGIN: Micros = 3;

/// Attempts that a call must have left, this one included, to be sent where an instance is only presumed.
const ATTEMPTS_FOR_PRESUMPTION: usize = 2;

/// Covers rounding in the bound that ends the search for preferred workers.
const ROUNDING_MARGIN: f64 = 1.000_001;

/// How long a candidate has not been used. The most idle one is selected: of those never used, if there are any,
/// the one with the highest affinity.
#[derive(Clone, Copy)]
struct Idleness {
    never_used: bool,
    amount: f64,
}

impl Idleness {
    fn compare(&self, other: &Idleness) -> std::cmp::Ordering {
        let by_use = self.never_used.cmp(&other.never_used);
        by_use.then(self.amount.total_cmp(&other.amount))
    }
}

/// What a function needs at one moment.
struct Demand<'a> {
    function_id: FunctionId,
    function: &'a Function,
    now: Time,
    /// How many workers may have it loaded.
    cap: usize,
    load_time: Micros,
    /// What one of its calls counts for at a worker in slow start.
    call_weight: f64,
}

impl Demand<'_> {
    /// Whether a load was asked for and may still be in progress.
    fn is_loading(&self, instance: &Instance) -> bool {
        let requested = instance.load_requested;
        requested.is_some_and(|at| self.now.since(at) < LOAD_TIME_MARGIN * self.load_time)
    }
}

impl Router {
    /// How much a function belongs at a worker: the same at every front end.
    fn affinity(&self, function_id: FunctionId, worker: &Worker) -> f64 {
        rendezvous(
            function_id,
            worker.entry.worker,
            self.capacity_weight(worker),
        )
    }

    /// The same with an order of this front end's own, so that siblings begin at different workers.
    pub(super) fn own_affinity(&self, function_id: FunctionId, worker: &Worker) -> f64 {
        let salted = FunctionId(mix(function_id.0 ^ self.settings.front_end_index as u64));
        self.affinity(salted, worker)
    }

    /// What every send has to pass: rules 1 and 2, and the room and health of the worker.
    pub(super) fn may_send(&self, request: &Request, worker: &Worker, now: Time) -> bool {
        let owed = !request.concluded
            && !request.streaming
            && now < request.deadline
            && !request.has_pending_attempt();
        let safe = self.settings.classes[request.class].effect == Effect::Safe;
        let as_trial = worker.allows_trial() && safe;
        let call_weight = self.service_time(request.class);
        owed && (worker.accepts_work() || as_trial)
            && worker.has_spare_concurrency(call_weight, now)
            && self.has_slow_start_credit(worker, call_weight, now)
            && self.may_attempt_again(request, Some(&worker.entry), now)
    }

    /// The mechanism: the least recently used of the warm instances with a free lane, so that the idle time of
    /// each instance is renewed (the LCS rule as rebuilt by Sachan and Somdev, 2025; see `docs/design.md`). A call
    /// that is about to miss its objective waits like any other: sent on to the queue of a worker, it made others
    /// late too.
    pub(super) fn select_worker(&self, request: &Request, now: Time) -> Option<WorkerId> {
        let function = self.functions.get(&request.function)?;
        let free = self
            .instances_with_workers(function)
            .filter(|(_, instance, worker)| {
                instance.has_free_lane(function, now) && self.is_warm(worker, instance, now)
            })
            .map(|(worker_id, _, _)| worker_id);
        let presumed = self.presumed_instances(request, function, now);
        let candidates = free.chain(presumed).filter_map(|worker_id| {
            let worker = self.workers.get(&worker_id)?;
            self.may_send(request, worker, now).then(|| {
                (
                    self.idleness(request.function, function, worker, now),
                    worker_id,
                )
            })
        });
        candidates
            .max_by(|(left, _), (right, _)| left.compare(right))
            .map(|(_, worker_id)| worker_id)
    }

    fn idleness(
        &self,
        function_id: FunctionId,
        function: &Function,
        worker: &Worker,
        now: Time,
    ) -> Idleness {
        let instance = function.instances.get(&worker.entry.worker);
        match instance.and_then(|instance| instance.last_send) {
            Some(last_send) => Idleness {
                never_used: false,
                amount: now.since(last_send) as f64 * self.capacity_weight(worker),
            },
            None => Idleness {
                never_used: true,
                amount: self.own_affinity(function_id, worker),
            },
        }
    }

    /// The workers where an instance is presumed though this front end has not seen it.
    ///
    /// # Departure from the mechanism
    ///
    /// Reason: what belongs on a preferred worker is presumed to be kept there by the siblings until an answer
    /// says otherwise. Asking first would cost a probe of each front end for each function.
    ///
    /// Harm: a call that is not served there has lost one attempt and the time of the way.
    fn presumed_instances(
        &self,
        request: &Request,
        function: &Function,
        now: Time,
    ) -> Vec<WorkerId> {
        let attempts = request.attempts.len() + ATTEMPTS_FOR_PRESUMPTION;
        let can_spare_attempt = attempts < self.settings.max_attempts as usize;
        if !self.siblings_may_have_loaded() || !can_spare_attempt {
            return Vec::new();
        }
        let load_time = self.expected_load_time(function);
        let missed = |worker_id: &WorkerId| {
            let instance = function.instances.get(worker_id);
            let missed_at = instance.and_then(|instance| instance.missed_at);
            missed_at.is_some_and(|at| now.since(at) < LOAD_TIME_MARGIN * load_time)
        };
        let mut presumed = self.missing_instances(request.function, now, 0.0, |_| true);
        presumed.retain(|worker_id| !missed(worker_id));
        presumed
    }

    /// The preferred workers where a function with fewer instances than its cap has none; `fewer` as for
    /// [`Router::instance_cap`].
    pub(super) fn missing_instances(
        &self,
        function_id: FunctionId,
        now: Time,
        fewer: f64,
        is_eligible: impl Fn(&Worker) -> bool,
    ) -> Vec<WorkerId> {
        let Some(function) = self.functions.get(&function_id) else {
            return Vec::new();
        };
        let demand = Demand {
            function_id,
            function,
            now,
            cap: self.instance_cap(function, now, fewer),
            load_time: self.expected_load_time(function),
            call_weight: self.service_time(function.class),
        };
        let usable = self
            .instances_with_workers(function)
            .filter(|(_, instance, worker)| self.counts_as_instance(&demand, worker, instance))
            .take(demand.cap)
            .count();
        if usable >= demand.cap || usable as f64 >= self.ready_count {
            return Vec::new();
        }
        let mut preferred = self.preferred_workers(&demand, |worker| {
            self.may_host(&demand, worker) && is_eligible(worker)
        });
        preferred.retain(|worker_id| !self.is_loaded_or_loading(&demand, worker_id));
        preferred
    }

    /// Whether an instance can serve calls now or soon.
    fn counts_as_instance(&self, demand: &Demand, worker: &Worker, instance: &Instance) -> bool {
        worker.accepts_work()
            && !self.is_unresponsive(worker, instance, demand.now)
            && (self.is_warm(worker, instance, demand.now) || demand.is_loading(instance))
            && self.counts_in_slow_start(demand, worker)
    }

    fn is_loaded_or_loading(&self, demand: &Demand, worker_id: &WorkerId) -> bool {
        let worker = self.workers.get(worker_id);
        let instance = demand.function.instances.get(worker_id);
        worker.zip(instance).is_some_and(|(worker, instance)| {
            self.is_warm(worker, instance, demand.now) || demand.is_loading(instance)
        })
    }

    /// Whether a worker may be named as one where an instance is or could be.
    fn may_host(&self, demand: &Demand, worker: &Worker) -> bool {
        let spoiled = |instance: &Instance| {
            let load_overdue = instance.load_requested.is_some()
                && !self.is_warm(worker, instance, demand.now)
                && !demand.is_loading(instance);
            self.is_unresponsive(worker, instance, demand.now) || load_overdue
        };
        let instance = demand.function.instances.get(&worker.entry.worker);
        (!worker.suspect || worker.trial_allowed)
            && self.counts_in_slow_start(demand, worker)
            && !instance.is_some_and(spoiled)
    }

    /// Whether a worker in slow start could be sent a call of this function.
    ///
    /// # Departure from the mechanism
    ///
    /// Reason: calls waited for the credit of a starting worker that came once in seconds. Where siblings'
    /// instances are found by the call itself, a worker whose credit is under a call neither counts as having
    /// an instance nor is named for one.
    ///
    /// Harm: its instances are loaded again elsewhere.
    fn counts_in_slow_start(&self, demand: &Demand, worker: &Worker) -> bool {
        !self.siblings_may_have_loaded()
            || self.has_slow_start_credit(worker, demand.call_weight, demand.now)
    }

    /// The workers with the highest affinities to a function among those that may host it, as many as its cap.
    /// The weights of most workers are little over one, so that the order without weights ends the search early;
    /// the result is the same as that of a full search.
    fn preferred_workers(
        &self,
        demand: &Demand,
        may_host: impl Fn(&Worker) -> bool,
    ) -> Vec<WorkerId> {
        let mut order = demand.function.affinity_order.borrow_mut();
        self.refresh_affinity_order(demand.function_id, &mut order);
        let largest_weight = self.largest_share / self.lowest_slowness * ROUNDING_MARGIN;
        let mut preferred: Vec<(f64, WorkerId)> = Vec::new();
        for &(unweighted, worker_id) in &order.workers {
            let bound = unweighted * largest_weight;
            let full = preferred.len() >= demand.cap;
            if full && preferred.last().is_some_and(|(lowest, _)| *lowest > bound) {
                break;
            }
            let worker = self.workers.get(&worker_id);
            let Some(worker) = worker.filter(|worker| may_host(worker)) else {
                continue;
            };
            let affinity = self.affinity(demand.function_id, worker);
            let position = preferred.partition_point(|(higher, id)| {
                *higher > affinity || *higher == affinity && *id < worker_id
            });
            preferred.insert(position, (affinity, worker_id));
            preferred.truncate(demand.cap);
        }
        preferred.into_iter().map(|(_, id)| id).collect()
    }

    /// Ranks the ready workers anew if the list or the settings have changed since the last time.
    fn refresh_affinity_order(&self, function_id: FunctionId, order: &mut AffinityOrder) {
        if order.revision == self.configuration_revision {
            return;
        }
        let ranked = self
            .ready_workers()
            .map(|(id, _)| (rendezvous(function_id, *id, 1.0), *id));
        order.revision = self.configuration_revision;
        order.workers = ranked.collect();
        order
            .workers
            .sort_by(|left, right| right.0.total_cmp(&left.0));
    }
}
