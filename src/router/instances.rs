//! What is believed to be loaded where: instances of functions, whether they can be used, and how many are needed.

use super::attempt::EndedAttempt;
use super::estimate::{DecayingSum, SMOOTHING};
use super::health::SILENCE_THRESHOLD;
use super::loading::FAILED_LOAD_EXCLUSION;
use super::queue::QueueKey;
use super::workers::Worker;
use super::Router;
use crate::{AttemptResult, FunctionId, Micros, MissPolicy, Outcome, Time, WorkerId};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};

/// An instance is taken to serve at least so many calls at a time, however little the workers carry.
const MIN_INSTANCE_CAPACITY: f64 = 0.5;

/// The part of its idle life after which an unused instance is no longer taken to be loaded. The rest covers the
/// way to the worker and late checks.
const TRUSTED_IDLE_LIFE: f64 = 0.9;

/// What this front end believes about the instances of one function at one worker.
#[derive(Default)]
pub(super) struct Instance {
    pub(super) warm: bool,
    /// Instances loaded at this worker, as far as it said.
    pub(super) count: u32,
    pub(super) in_flight: u32,
    pub(super) last_send: Option<Time>,
    /// When an answer last said whether it is loaded.
    pub(super) last_evidence: Time,
    /// When the load that is in progress was asked for.
    pub(super) load_requested: Option<Time>,
    /// When a call found it missing, or its worker was asked for it, since it was last known to be loaded.
    pub(super) missed_at: Option<Time>,
    /// Until when no call is sent there.
    pub(super) excluded_until: Time,
    /// A load was reported to be done and no call has been served there since.
    pub(super) load_unconfirmed: bool,
    /// Loads without effect in a row.
    pub(super) ineffective_loads: u32,
}

impl Instance {
    /// Whether its lanes have room for one more call.
    pub(super) fn has_free_lane(&self, function: &Function, now: Time) -> bool {
        self.warm
            && self.in_flight < self.count.max(1) * function.lanes
            && now >= self.excluded_until
    }

    /// When it was last used or heard of.
    pub(super) fn last_activity(&self) -> Time {
        self.last_send
            .map_or(self.last_evidence, |sent| sent.max(self.last_evidence))
    }

    /// The worker said how many instances are loaded there at the end of a load request.
    pub(super) fn on_reported_count(&mut self, now: Time, outcome: Outcome, count: u32) {
        let loaded = count > 0;
        self.count = count;
        self.warm = loaded;
        self.load_unconfirmed = loaded;
        self.last_evidence = now;
        if loaded {
            self.missed_at = None;
        }
        self.excluded_until = if outcome == Outcome::Served {
            now
        } else {
            now.plus(FAILED_LOAD_EXCLUSION)
        };
    }

    /// Takes it for loaded since the load was asked for, without a word from its worker.
    pub(super) fn presume_loaded(&mut self, load_requested: Time) {
        self.warm = true;
        self.last_evidence = self.last_evidence.max(load_requested);
    }

    /// An attempt ended there. Returns whether that shows a load reported as done to have had no effect.
    ///
    /// # Departure from the mechanism
    ///
    /// Reason: a call that was turned away, timed out or taken back shows a full queue, a stuck instance or a
    /// bad image; the instance rests for the time that a call takes.
    ///
    /// Harm: another instance is loaded meanwhile.
    fn on_attempt_end(&mut self, now: Time, outcome: Outcome, expected_time: f64) -> bool {
        self.in_flight = self.in_flight.saturating_sub(1);
        let load_was_ineffective = outcome == Outcome::NotLoaded && self.load_unconfirmed;
        self.load_unconfirmed &= outcome != Outcome::Served && !load_was_ineffective;
        match outcome {
            Outcome::Served => {
                self.ineffective_loads = 0;
                self.warm = true;
                self.missed_at = None;
                self.last_evidence = now;
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

/// What is known about a function.
#[derive(Default)]
pub(super) struct Function {
    /// Calls that one instance runs at a time.
    pub(super) lanes: u32,
    pub(super) stated_load_time: Option<Micros>,
    /// The class of its latest call.
    pub(super) class: usize,
    /// A low estimate of what a call of usual work takes in a warm lane, microseconds.
    pub(super) service_time: Option<f64>,
    pub(super) mean_work_hint: f64,
    pub(super) recent_calls: DecayingSum,
    /// Workers with instances that it needs, by the calls of all front ends that answers state.
    pub(super) estimated_instances: f64,
    pub(super) instances: BTreeMap<WorkerId, Instance>,
    /// Its calls that wait.
    pub(super) queue: BTreeSet<QueueKey>,
    /// Those in the queue that have been attempted: whether they may be again changes with time.
    pub(super) queued_retries: BTreeSet<QueueKey>,
    /// The largest work hint in the queue since it was last empty.
    pub(super) largest_queued_hint: Micros,
    pub(super) affinity_order: RefCell<AffinityOrder>,
}

/// The ready workers by a function's affinity to them, the sizes of workers left aside.
#[derive(Default)]
pub(super) struct AffinityOrder {
    /// The revision of list and settings that it was made for.
    pub(super) revision: u64,
    pub(super) workers: Vec<(f64, WorkerId)>,
}

impl Router {
    /// The instances of a function whose workers are known, with these workers.
    pub(super) fn instances_with_workers<'a>(
        &'a self,
        function: &'a Function,
    ) -> impl Iterator<Item = (WorkerId, &'a Instance, &'a Worker)> {
        function
            .instances
            .iter()
            .filter_map(|(id, instance)| Some((*id, instance, self.workers.get(id)?)))
    }

    /// What is believed about a function at a worker, made anew if there is nothing yet.
    pub(super) fn instance_mut(
        &mut self,
        function_id: FunctionId,
        worker_id: WorkerId,
    ) -> &mut Instance {
        let function = self.functions.entry(function_id).or_default();
        function.instances.entry(worker_id).or_default()
    }

    /// What is believed about a function at a worker, if there is anything.
    pub(super) fn known_instance_mut(
        &mut self,
        function_id: FunctionId,
        worker_id: WorkerId,
    ) -> Option<&mut Instance> {
        let function = self.functions.get_mut(&function_id)?;
        function.instances.get_mut(&worker_id)
    }

    /// Whether an instance is taken to be loaded: seen so in the present life of its worker's process, and used
    /// within its idle life.
    pub(super) fn is_warm(&self, worker: &Worker, instance: &Instance, now: Time) -> bool {
        let started = worker.entry.started;
        let restarted = started.is_some_and(|started| started > instance.last_evidence);
        let trusted = (self.settings.idle_timeout as f64 * TRUSTED_IDLE_LIFE) as Micros;
        let recent = now.since(instance.last_evidence) < trusted;
        instance.warm && !restarted && (instance.in_flight > 0 || recent)
    }

    /// Whether an instance is silent, excluded or paced for so long that it does not count as one.
    ///
    /// # Departure from the mechanism
    ///
    /// Reason: a stuck instance, or one whose worker may be sent little, would keep another from being loaded.
    ///
    /// Harm: another instance is loaded.
    pub(super) fn is_unresponsive(&self, worker: &Worker, instance: &Instance, now: Time) -> bool {
        let answer_time = self.usual_answer_time();
        let silence = now.since(instance.last_activity()) as f64;
        let silent = instance.in_flight > 0 && silence > SILENCE_THRESHOLD / 2.0 * answer_time;
        let paced = worker.pacing_delay(self.service_time(0), now) > answer_time;
        now < instance.excluded_until || silent || paced
    }

    /// Whether siblings are likely to have loaded instances that a call finds just by being sent there.
    pub(super) fn siblings_may_have_loaded(&self) -> bool {
        self.settings.front_ends > 1
            && self.settings.may_load
            && self.settings.miss_policy == MissPolicy::Miss
    }

    /// Calls that one instance serves at a time: its lanes, but no more than the usual load of a worker by all
    /// front ends.
    pub(super) fn instance_capacity(&self, function: &Function, now: Time) -> f64 {
        let fleet_load = self.recent_work.sum / self.observed_window(now)
            * self.settings.front_ends as f64
            * self.total_share;
        (fleet_load / self.ready_count.max(1.0))
            .max(MIN_INSTANCE_CAPACITY)
            .min(function.lanes as f64)
    }

    /// How many workers may have a function loaded: by the calls at workers where answers state them, else by
    /// its own calls and as many of each sibling. `fewer` calls or instances are left out of the count: loads
    /// leave out the call that is just here, which is no evidence of others.
    pub(super) fn instance_cap(&self, function: &Function, now: Time, fewer: f64) -> usize {
        if self.settings.reports_concurrency && self.siblings_may_have_loaded() {
            return (function.estimated_instances.max(1.0) - fewer) as usize + 1;
        }
        let service_time = function
            .service_time
            .unwrap_or(self.service_time(function.class));
        let instances_per_call = service_time * self.settings.front_ends as f64
            / self.observed_window(now)
            / self.instance_capacity(function, now);
        1 + ((function.recent_calls.sum - fewer).max(0.0) * instances_per_call) as usize
    }

    /// Learns how many workers need a function from the number of its calls that an answer states.
    ///
    /// # Departure from the mechanism
    ///
    /// Reason: answers state what all front ends send, free of charge; own calls times siblings were ten times
    /// the need. The estimate moves by a fifth of what that number is over or under an instance's capacity.
    ///
    /// Harm: it is slow to learn from few answers.
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

    /// Updates what is believed about the instance that an attempt was sent to.
    pub(super) fn update_instance(&mut self, now: Time, ended: &EndedAttempt, outcome: Outcome) {
        let Some(function) = self.functions.get_mut(&ended.function) else {
            return;
        };
        let instance = function.instances.entry(ended.worker).or_default();
        if instance.on_attempt_end(now, outcome, ended.expected.time) {
            self.load_without_effect(now, ended.worker, ended.function, true);
        }
    }
}
