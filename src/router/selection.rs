//! The base algorithm: which warm instance serves a call, and which workers are preferred for a function.

use super::instances::{AffinityOrder, Function, Instance};
use super::random::{mix_bits, rendezvous_score};
use super::request::Request;
use super::workers::Worker;
use super::Router;
use crate::{Effect, FunctionId, Micros, Time, WorkerId};

/// For this many expected load times, a requested load counts as an instance, and a missed instance is not presumed
/// to be loaded.
const LOAD_TIME_MARGIN: Micros = 3;

/// Attempts that a call must have left, including this one, to be sent to an instance that is only presumed.
const ATTEMPTS_FOR_PRESUMPTION: usize = 2;

/// Covers rounding errors in the bound that ends the search for preferred workers.
const ROUNDING_MARGIN: f64 = 1.000_001;

/// How long a candidate has been idle. The most idle candidate is selected; one that was never used precedes the
/// others, the one with the highest affinity first.
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

/// The inputs of the selection for one function at one time.
struct Demand<'a> {
    function_id: FunctionId,
    function: &'a Function,
    now: Time,
    /// Maximum number of workers that may have it loaded.
    cap: usize,
    load_time: Micros,
    /// Weight of one of its calls against the slow start credit of a worker.
    call_weight: f64,
}

impl Demand<'_> {
    /// Whether a load was requested and may still be in progress.
    fn is_loading(&self, instance: &Instance) -> bool {
        let requested = instance.load_requested;
        requested.is_some_and(|at| self.now.since(at) < LOAD_TIME_MARGIN * self.load_time)
    }
}

impl Router {
    /// Returns the affinity of a function to a worker. It differs between front ends only by the slowness that they
    /// observe.
    fn affinity(&self, function_id: FunctionId, worker: &Worker) -> f64 {
        rendezvous_score(
            function_id,
            worker.entry.worker,
            self.capacity_weight(worker),
        )
    }

    /// Returns the affinity in an order specific to this front end, so that front ends start with different workers.
    pub(super) fn own_affinity(&self, function_id: FunctionId, worker: &Worker) -> f64 {
        let salted = FunctionId(mix_bits(
            function_id.0 ^ self.settings.front_end_index as u64,
        ));
        self.affinity(salted, worker)
    }

    /// Whether a request may be sent to a worker. Every send requires this: an answer is owed, no attempt is pending,
    /// another attempt is allowed, and the worker is healthy and has capacity.
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

    /// Selects the least recently used warm instance with a free lane, which renews the idle timeout of all instances
    /// in turn (LCS, as described by Sachan and Somdev, 2025; see `docs/design.md`). A call that is about to miss its
    /// objective also waits for a free lane: in the queue of a worker it would delay other calls.
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

    /// Returns the workers where an instance is presumed although this front end has not seen it.
    ///
    /// # Departure from the base algorithm
    ///
    /// An instance on a preferred worker is presumed to be kept loaded by other front ends until an answer says
    /// otherwise. Querying it first would cost one request per front end and function.
    ///
    /// Trade-off: a call that misses loses one attempt and a round trip.
    fn presumed_instances(
        &self,
        request: &Request,
        function: &Function,
        now: Time,
    ) -> Vec<WorkerId> {
        let attempts = request.attempts.len() + ATTEMPTS_FOR_PRESUMPTION;
        let can_spare_attempt = attempts < self.settings.max_attempts as usize;
        if !self.others_may_have_loaded() || !can_spare_attempt {
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

    /// Returns the preferred workers without an instance of a function that has fewer instances than
    /// [`Router::instance_cap`] allows, with the given `discount`.
    pub(super) fn missing_instances(
        &self,
        function_id: FunctionId,
        now: Time,
        discount: f64,
        is_eligible: impl Fn(&Worker) -> bool,
    ) -> Vec<WorkerId> {
        let Some(function) = self.functions.get(&function_id) else {
            return Vec::new();
        };
        let demand = Demand {
            function_id,
            function,
            now,
            cap: self.instance_cap(function, now, discount),
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

    /// Whether a worker can be returned as one that has, or could load, an instance.
    fn may_host(&self, demand: &Demand, worker: &Worker) -> bool {
        let unusable = |instance: &Instance| {
            let load_overdue = instance.load_requested.is_some()
                && !self.is_warm(worker, instance, demand.now)
                && !demand.is_loading(instance);
            self.is_unresponsive(worker, instance, demand.now) || load_overdue
        };
        let instance = demand.function.instances.get(&worker.entry.worker);
        (!worker.suspect || worker.trial_allowed)
            && self.counts_in_slow_start(demand, worker)
            && !instance.is_some_and(unusable)
    }

    /// Whether a worker in slow start could be sent a call of this function.
    ///
    /// # Departure from the base algorithm
    ///
    /// Applies where calls find instances loaded by other front ends. A worker whose slow start credit is less than
    /// one call neither counts as having an instance nor is returned as a candidate; calls would otherwise wait
    /// seconds for its credit.
    ///
    /// Trade-off: its instances are loaded again at other workers.
    fn counts_in_slow_start(&self, demand: &Demand, worker: &Worker) -> bool {
        !self.others_may_have_loaded()
            || self.has_slow_start_credit(worker, demand.call_weight, demand.now)
    }

    /// Returns the workers with the highest affinities to a function among those that may host it, up to its cap. The
    /// order without weights bounds the remaining affinities, so the search ends early with the result of a full
    /// search.
    fn preferred_workers(
        &self,
        demand: &Demand,
        may_host: impl Fn(&Worker) -> bool,
    ) -> Vec<WorkerId> {
        let mut order = demand.function.affinity_order.borrow_mut();
        self.refresh_affinity_order(demand.function_id, &mut order);
        let largest_weight = self.largest_size / self.lowest_slowness * ROUNDING_MARGIN;
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

    /// Recomputes the order of the ready workers if the list or the settings have changed.
    fn refresh_affinity_order(&self, function_id: FunctionId, order: &mut AffinityOrder) {
        if order.revision == self.configuration_revision {
            return;
        }
        let ranked = self
            .ready_workers()
            .map(|(id, _)| (rendezvous_score(function_id, *id, 1.0), *id));
        order.revision = self.configuration_revision;
        order.workers = Vec::with_capacity(self.ready_count as usize);
        order.workers.extend(ranked);
        order
            .workers
            .sort_by(|left, right| right.0.total_cmp(&left.0));
    }
}
