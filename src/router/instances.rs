//! Which functions are believed to be loaded at which workers, and how many instances a function needs.

use super::attempt::EndedAttempt;
use super::estimate::{DecayingSum, SMOOTHING};
use super::health::SILENCE_THRESHOLD;
use super::loading::FAILED_LOAD_EXCLUSION;
use super::queue::QueueKey;
use super::shedding::ShedKey;
use super::workers::Worker;
use super::Router;
use crate::{AttemptResult, FunctionId, Micros, MissPolicy, Outcome, Time, WorkerId};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};

/// Lower bound of the estimated number of concurrent calls of an instance, however little work the workers do.
const MIN_INSTANCE_CAPACITY: f64 = 0.5;

/// Fraction of the idle timeout for which an unused instance is assumed to be loaded. The rest covers the time until
/// a call reaches the worker, and checks that run late.
const TRUSTED_IDLE_FRACTION: f64 = 0.9;

/// What this front end knows about the instances of one function at one worker.
#[derive(Default)]
pub(super) struct Instance {
    pub(super) warm: bool,
    /// Number of instances at this worker, as last reported.
    pub(super) count: u32,
    pub(super) in_flight: u32,
    pub(super) last_send: Option<Time>,
    /// When an answer last said whether an instance is loaded.
    pub(super) last_reported: Time,
    /// When the load in progress was requested.
    pub(super) load_requested: Option<Time>,
    /// When a call found it missing or its worker was queried for it, if it has not been found loaded since.
    pub(super) missed_at: Option<Time>,
    /// No call is sent there before this time.
    pub(super) excluded_until: Time,
    /// A load was reported as done and no call has been served there since.
    pub(super) load_unconfirmed: bool,
    /// Number of consecutive loads without effect.
    pub(super) ineffective_loads: u32,
}

impl Instance {
    /// Whether a lane is free.
    pub(super) fn has_free_lane(&self, function: &Function, now: Time) -> bool {
        self.warm
            && self.in_flight < self.count.max(1) * function.lanes
            && now >= self.excluded_until
    }

    /// Returns when it was last used or reported.
    pub(super) fn last_activity(&self) -> Time {
        self.last_send
            .map_or(self.last_reported, |sent| sent.max(self.last_reported))
    }

    /// Handles the number of instances that the worker reports at the end of a load request.
    pub(super) fn on_reported_count(&mut self, now: Time, outcome: Outcome, count: u32) {
        let loaded = count > 0;
        self.count = count;
        self.warm = loaded;
        self.load_unconfirmed = loaded;
        self.last_reported = now;
        if loaded {
            self.missed_at = None;
        }
        self.excluded_until = if outcome == Outcome::Served {
            now
        } else {
            now.plus(FAILED_LOAD_EXCLUSION)
        };
    }

    /// Assumes that it has been loaded since the load was requested, without a report of its worker.
    pub(super) fn presume_loaded(&mut self, load_requested: Time) {
        self.warm = true;
        self.last_reported = self.last_reported.max(load_requested);
    }

    /// Handles the end of an attempt. Returns whether it shows that a load reported as done had no effect.
    ///
    /// # Departure from the base algorithm
    ///
    /// A call that was rejected, timed out or was cancelled points to a full queue, a stuck instance or a broken
    /// image. The instance gets no calls for the expected time of a call.
    ///
    /// Trade-off: another instance may be loaded in the meantime.
    fn on_attempt_end(&mut self, now: Time, outcome: Outcome, expected_time: f64) -> bool {
        self.in_flight = self.in_flight.saturating_sub(1);
        let load_was_ineffective = outcome == Outcome::NotLoaded && self.load_unconfirmed;
        self.load_unconfirmed &= outcome != Outcome::Served && !load_was_ineffective;
        match outcome {
            Outcome::Served => {
                self.ineffective_loads = 0;
                self.warm = true;
                self.missed_at = None;
                self.last_reported = now;
            }
            Outcome::NotLoaded => {
                self.warm = false;
                self.missed_at = Some(now);
            }
            Outcome::ConnectFailed => self.warm = false,
            Outcome::Rejected | Outcome::TimedOut | Outcome::Cancelled => {
                self.excluded_until = now.plus(expected_time as Micros);
            }
            Outcome::Error | Outcome::ConnectionLost | Outcome::NotSent => {}
        }
        load_was_ineffective
    }
}

/// State of one function.
#[derive(Default)]
pub(super) struct Function {
    /// Calls that one instance runs at a time.
    pub(super) lanes: u32,
    pub(super) load_time_hint: Option<Micros>,
    /// The class of its latest call.
    pub(super) class: usize,
    /// Service time of a call of average work in a warm lane, in microseconds, as a low estimate.
    pub(super) service_time: Option<f64>,
    pub(super) mean_work_hint: f64,
    pub(super) recent_calls: DecayingSum,
    /// Requests that are open.
    pub(super) open_requests: usize,
    /// Loads in progress.
    pub(super) pending_loads: usize,
    /// A worker has served a call of it or reported an instance of it.
    pub(super) confirmed: bool,
    /// A worker has reported that a load of it failed, and no worker has confirmed it since.
    pub(super) load_failed: bool,
    /// It is one of the router's idle functions.
    pub(super) idle: bool,
    /// Estimated number of workers that need an instance, from the concurrency that answers report.
    pub(super) estimated_instances: f64,
    pub(super) instances: BTreeMap<WorkerId, Instance>,
    /// Its waiting calls.
    pub(super) queue: BTreeSet<QueueKey>,
    /// The queued calls that have been attempted before. Whether they may be retried changes with time.
    pub(super) queued_retries: BTreeSet<QueueKey>,
    /// The queued calls of which no attempt was ever sent.
    pub(super) unsent: BTreeSet<QueueKey>,
    /// Its position in the order in which waiting calls are refused for their connections.
    pub(super) shed_key: Option<ShedKey>,
    /// The largest work hint in the queue since it was last empty.
    pub(super) largest_queued_hint: Micros,
    pub(super) affinity_order: RefCell<AffinityOrder>,
}

/// The ready workers in the order of a function's affinity, without their sizes.
#[derive(Default)]
pub(super) struct AffinityOrder {
    /// The configuration revision for which the order was computed.
    pub(super) revision: u64,
    pub(super) workers: Vec<(f64, WorkerId)>,
}

impl Function {
    /// Records that a worker has the function.
    pub(super) fn confirm(&mut self) {
        self.confirmed = true;
        self.load_failed = false;
    }
}

impl Router {
    /// Iterates over the instances of a function whose workers are known, with these workers.
    pub(super) fn instances_with_workers<'a>(
        &'a self,
        function: &'a Function,
    ) -> impl Iterator<Item = (WorkerId, &'a Instance, &'a Worker)> {
        function
            .instances
            .iter()
            .filter_map(|(id, instance)| Some((*id, instance, self.workers.get(id)?)))
    }

    /// Returns the instance entry of a function at a worker; creates it if there is none.
    pub(super) fn instance_mut(
        &mut self,
        function_id: FunctionId,
        worker_id: WorkerId,
    ) -> &mut Instance {
        let function = self.functions.entry(function_id).or_default();
        function.instances.entry(worker_id).or_default()
    }

    /// Returns the instance entry of a function at a worker, if there is one.
    pub(super) fn known_instance_mut(
        &mut self,
        function_id: FunctionId,
        worker_id: WorkerId,
    ) -> Option<&mut Instance> {
        let function = self.functions.get_mut(&function_id)?;
        function.instances.get_mut(&worker_id)
    }

    /// Whether an instance is assumed to be loaded: it was reported as loaded since its worker process started, and
    /// has a call in flight or was reported within the idle timeout.
    pub(super) fn is_warm(&self, worker: &Worker, instance: &Instance, now: Time) -> bool {
        let started = worker.entry.started;
        let restarted = started.is_some_and(|started| started > instance.last_reported);
        let trusted = (self.settings.idle_timeout as f64 * TRUSTED_IDLE_FRACTION) as Micros;
        let recent = now.since(instance.last_reported) < trusted;
        instance.warm && !restarted && (instance.in_flight > 0 || recent)
    }

    /// Whether an instance is not counted as one because it is silent, excluded, or paced for longer than an answer
    /// takes.
    ///
    /// # Departure from the base algorithm
    ///
    /// A stuck instance, or one whose worker may be sent little, would otherwise prevent the load of another.
    ///
    /// Trade-off: an additional instance is loaded.
    pub(super) fn is_unresponsive(&self, worker: &Worker, instance: &Instance, now: Time) -> bool {
        let answer_time = self.usual_answer_time();
        let silence = now.since(instance.last_activity()) as f64;
        let silent = instance.in_flight > 0 && silence > SILENCE_THRESHOLD / 2.0 * answer_time;
        let paced = worker.pacing_delay(self.service_time(0), now) > answer_time;
        now < instance.excluded_until || silent || paced
    }

    /// Whether other front ends may have loaded instances that a call can find without risk, as a miss loads nothing.
    pub(super) fn others_may_have_loaded(&self) -> bool {
        self.settings.front_ends > 1
            && self.settings.may_load
            && self.settings.miss_policy == MissPolicy::Miss
    }

    /// Returns how many concurrent calls one instance serves: the number of its lanes, but no more than the mean load
    /// of a worker by all front ends.
    pub(super) fn instance_capacity(&self, function: &Function, now: Time) -> f64 {
        let fleet_load = self.recent_work.sum / self.observed_window(now)
            * self.settings.front_ends as f64
            * self.total_size;
        (fleet_load / self.ready_count.max(1.0))
            .max(MIN_INSTANCE_CAPACITY)
            .min(function.lanes as f64)
    }

    /// Returns the maximum number of workers that may have a function loaded. It is estimated from the concurrency
    /// that answers report, if they do, else from the calls at this front end, assuming as many at each other front
    /// end. `discount` is subtracted from the estimated instances or calls: before a load it leaves out the call that
    /// has just arrived, which does not show that there will be others.
    pub(super) fn instance_cap(&self, function: &Function, now: Time, discount: f64) -> usize {
        if self.settings.reports_concurrency && self.others_may_have_loaded() {
            return (function.estimated_instances.max(1.0) - discount) as usize + 1;
        }
        let service_time = function
            .service_time
            .unwrap_or(self.service_time(function.class));
        let instances_per_call = service_time * self.settings.front_ends as f64
            / self.observed_window(now)
            / self.instance_capacity(function, now);
        1 + ((function.recent_calls.sum - discount).max(0.0) * instances_per_call) as usize
    }

    /// Updates the number of workers that a function needs from the concurrency that an answer reports.
    ///
    /// # Departure from the base algorithm
    ///
    /// The reported concurrency covers the calls of all front ends at no cost, while the own calls times the number
    /// of front ends overestimate the need by far. The estimate changes by a fifth of the relative difference between
    /// the reported concurrency and the capacity of an instance.
    ///
    /// Trade-off: few answers change the estimate slowly.
    pub(super) fn learn_instance_demand(
        &mut self,
        now: Time,
        function_id: FunctionId,
        result: &AttemptResult,
    ) {
        let reached_worker = matches!(result.outcome, Outcome::Served | Outcome::Rejected);
        let Some(calls_at_worker) = result.concurrency.filter(|_| reached_worker) else {
            return;
        };
        let Some(function) = self.functions.get(&function_id) else {
            return;
        };
        let capacity = self.instance_capacity(function, now);
        let most = self.ready_count.max(1.0);
        let step = 1.0 + 2.0 * SMOOTHING * ((calls_at_worker as f64 / capacity) - 1.0);
        let estimate = (function.estimated_instances.max(1.0) * step).clamp(1.0, most);
        if let Some(function) = self.functions.get_mut(&function_id) {
            function.estimated_instances = estimate;
        }
    }

    /// Updates the instance to which an attempt was sent.
    pub(super) fn update_instance(&mut self, now: Time, ended: &EndedAttempt, outcome: Outcome) {
        let Some(function) = self.functions.get_mut(&ended.function) else {
            return;
        };
        if outcome == Outcome::Served {
            function.confirm();
        }
        let instance = function.instances.entry(ended.worker).or_default();
        if instance.on_attempt_end(now, outcome, ended.expected.time) {
            self.load_without_effect(now, ended.worker, ended.function, true);
        }
        self.update_shed_order(ended.function);
    }
}
