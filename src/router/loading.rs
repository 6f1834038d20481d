//! Requests to load: when one may be given, and what follows from how it ended.

use super::estimate::LatencyEstimate;
use super::instances::Function;
use super::random::with_jitter;
use super::request::Request;
use super::workers::Worker;
use super::{Router, CHECK_INTERVAL};
use crate::{Action, FunctionId, Micros, Outcome, RequestId, Time, WorkerId, SECOND};
use std::collections::VecDeque;

/// Loads in progress for each worker, by all front ends together: workers run few at a time.
pub(super) const LOADS_PER_WORKER: usize = 3;

/// How long no call is sent to an instance whose load failed.
pub(super) const FAILED_LOAD_EXCLUSION: Micros = SECOND / 2;

/// Least time between two load requests to workers whose last one had no effect.
const INEFFECTIVE_LOAD_INTERVAL: Micros = SECOND / 20;

/// The backoff of an instance after the second load without effect in a row; it doubles with each further one.
const LOAD_BACKOFF: Micros = SECOND / 2;

/// How often that backoff doubles at most.
const MAX_BACKOFF_DOUBLINGS: u32 = 4;

/// How a load request ended.
#[derive(Clone, Copy)]
pub(super) struct LoadResult {
    pub(super) worker: WorkerId,
    pub(super) function: FunctionId,
    pub(super) outcome: Outcome,
    pub(super) latency: Micros,
    /// Instances that the worker reports as loaded.
    pub(super) instances: u32,
}

/// The load requests of this front end.
#[derive(Default)]
pub(super) struct LoadState {
    /// What loads take: microseconds, or multiples of the stated load time where there is one.
    durations: LatencyEstimate,
    in_progress: usize,
    /// How many may be in progress at a time; under one where there are many siblings.
    pub(super) window: f64,
    /// When the next one may start where the window is under one.
    next_turn: Time,
    /// When the next one may start at a worker whose last one had no effect.
    next_after_ineffective: Time,
    /// The last one that ended had no effect.
    last_ineffective: bool,
    /// When those within the period of the budget were given.
    recent: VecDeque<Time>,
}

impl Router {
    /// Asks for a load where the function has fewer instances than its cap, or sends the call along where only
    /// calls load. `request_id` is the call that waits for it, if there is one.
    pub(super) fn load_more(
        &mut self,
        now: Time,
        request_id: Option<RequestId>,
        function_id: FunctionId,
        actions: &mut Vec<Action>,
    ) {
        let within_budget = self.within_load_budget(now);
        let Some(function) = self.functions.get(&function_id) else {
            return;
        };
        let load_time = self.expected_load_time(function);
        let request = request_id.and_then(|id| self.requests.get(&id));
        let candidate = |fewer: f64, retry_after: Micros| {
            self.load_candidate(now, request, function_id, fewer, retry_after)
        };
        if !self.settings.may_load {
            if let (Some(worker_id), Some(request_id)) = (candidate(1.0, 0), request_id) {
                self.send(now, request_id, worker_id, actions);
            }
            return;
        }
        let may_load = within_budget && self.has_load_slot(now);
        let load_at = may_load.then(|| candidate(1.0, 0)).flatten();
        if let Some(worker_id) = load_at {
            self.request_load(now, worker_id, function_id, load_time, actions);
        } else if self.must_ask_siblings_instances() {
            let idle_timeout = self.settings.idle_timeout;
            let ask_at = candidate(1.0, load_time).or_else(|| candidate(0.0, idle_timeout));
            if let Some(worker_id) = ask_at {
                self.ask_for_instances(now, worker_id, function_id, actions);
            }
        }
    }

    /// Whether one more load may be in progress.
    ///
    /// # Departure from the mechanism
    ///
    /// Reason: loads in progress are few over all front ends, which holds for a release of many functions, a
    /// slow store and an empty zone. Where a front end's share of them is under one, it has turns of its own.
    ///
    /// Harm: loads wait here then.
    fn has_load_slot(&self, now: Time) -> bool {
        let loads = &self.loads;
        let within_window = (loads.in_progress as f64) < loads.window && loads.window >= 1.0;
        within_window || loads.in_progress == 0 && now >= loads.next_turn
    }

    /// Whether what siblings have loaded is found only by asking for it.
    ///
    /// # Departure from the mechanism
    ///
    /// Reason: where a miss would load, a call can't be sent to see whether siblings keep an instance; the
    /// worker is asked instead, without a load.
    ///
    /// Harm: the price of a probe.
    fn must_ask_siblings_instances(&self) -> bool {
        self.settings.front_ends > 1 && !self.siblings_may_have_loaded()
    }

    /// The worker where a function is to be loaded or asked for next. Where siblings may have loaded it, only
    /// one where a call found it missing, or one for a call that waits. A worker where it was missed less than
    /// `retry_after` ago is left out; `fewer` is as for [`Router::instance_cap`].
    fn load_candidate(
        &self,
        now: Time,
        request: Option<&Request>,
        function_id: FunctionId,
        fewer: f64,
        retry_after: Micros,
    ) -> Option<WorkerId> {
        let function = self.functions.get(&function_id)?;
        let calls_load = !self.settings.may_load;
        let can_take_load = |worker: &Worker| {
            let sendable =
                !calls_load || request.is_some_and(|call| self.may_send(call, worker, now));
            sendable && !self.must_pace_loads(worker, now)
        };
        let unseen_is_enough = request.is_some() || !self.siblings_may_have_loaded();
        let is_due = |worker_id: &WorkerId| {
            let instance = function.instances.get(worker_id);
            let missed_at = instance.and_then(|instance| instance.missed_at);
            missed_at.map_or(unseen_is_enough, |at| now.since(at) >= retry_after)
        };
        self.missing_instances(function_id, now, fewer, can_take_load)
            .into_iter()
            .filter(is_due)
            .filter_map(|id| Some((self.own_affinity(function_id, self.workers.get(&id)?), id)))
            .max_by(|(left, _), (right, _)| left.total_cmp(right))
            .map(|(_, id)| id)
    }

    /// Whether a load at this worker must wait because the last ones had no effect.
    fn must_pace_loads(&self, worker: &Worker, now: Time) -> bool {
        now < self.loads.next_after_ineffective
            && (worker.last_load_ineffective || self.loads.last_ineffective)
    }

    /// Has a worker load one instance.
    fn request_load(
        &mut self,
        now: Time,
        worker_id: WorkerId,
        function_id: FunctionId,
        load_time: Micros,
        actions: &mut Vec<Action>,
    ) {
        self.pace_ineffective_loads(now, worker_id);
        let least_window = 1.0 / self.settings.front_ends as f64;
        let turn_length = (load_time as f64 / self.loads.window.max(least_window)) as Micros;
        self.loads.in_progress += 1;
        self.loads.recent.push_back(now);
        self.loads.next_turn = now.plus(turn_length);
        if let Some(worker) = self.workers.get_mut(&worker_id) {
            worker.trial_allowed = false;
        }
        self.instance_mut(function_id, worker_id).load_requested = Some(now);
        actions.push(Action::Load {
            worker: worker_id,
            function: function_id,
            instances: 1,
        });
    }

    /// Asks a worker for the instances it has, without a load.
    fn ask_for_instances(
        &mut self,
        now: Time,
        worker_id: WorkerId,
        function_id: FunctionId,
        actions: &mut Vec<Action>,
    ) {
        self.pace_ineffective_loads(now, worker_id);
        self.instance_mut(function_id, worker_id).missed_at = Some(now);
        actions.push(Action::Load {
            worker: worker_id,
            function: function_id,
            instances: 0,
        });
    }

    /// Delays the next load where the last ones had no effect, as one is asked for now.
    fn pace_ineffective_loads(&mut self, now: Time, worker_id: WorkerId) {
        let worker = self.workers.get(&worker_id);
        let at_worker = worker.is_some_and(|worker| worker.last_load_ineffective);
        if self.loads.last_ineffective || at_worker {
            self.loads.next_after_ineffective = now.plus(INEFFECTIVE_LOAD_INTERVAL);
        }
    }

    /// How long a load of this function should take now.
    pub(super) fn expected_load_time(&self, function: &Function) -> Micros {
        let mean = self.loads.durations.mean;
        let expected = match function.stated_load_time {
            Some(stated) => stated as f64 * mean.max(1.0),
            None if mean > 0.0 => mean,
            None => SECOND as f64,
        };
        let longest = self.settings.load_timeout as f64;
        expected.min(longest).max(CHECK_INTERVAL as f64) as Micros
    }

    /// Rule 5: whether the load requests of the period, one more included, are within the free number and the
    /// share of arrivals.
    fn within_load_budget(&mut self, now: Time) -> bool {
        let tick = self.settings.tick;
        let period = self.settings.load_budget.map_or(0, |budget| budget.period);
        let arrivals = &mut self.recent_arrivals;
        let expired = arrivals.partition_point(|at| now.since(*at) >= period - tick);
        arrivals.drain(..expired);
        let loads = &mut self.loads.recent;
        let expired = loads.partition_point(|at| now.since(*at) > period + tick);
        loads.drain(..expired);
        let given = loads.len() as f64 + 1.0;
        let received = arrivals.len() as f64;
        self.settings
            .load_budget
            .is_none_or(|budget| given <= budget.free + budget.arrival_share * received)
    }

    /// A load request ended: learns from it and serves the function's queue.
    pub(super) fn on_load_result(
        &mut self,
        now: Time,
        result: LoadResult,
        actions: &mut Vec<Action>,
    ) {
        use Outcome::{ConnectFailed, ConnectionLost, Error, Rejected, Served, TimedOut};
        let answered = matches!(result.outcome, Served | Rejected | Error);
        self.on_probe_result(result.worker, answered);
        let Some(function) = self.functions.get_mut(&result.function) else {
            return;
        };
        let instance = function.instances.entry(result.worker).or_default();
        let load_requested = instance.load_requested.take();
        if result.outcome != ConnectionLost {
            instance.on_reported_count(now, result.outcome, result.instances);
        }
        self.note_load_effect(now, &result, load_requested.is_some());
        if let Some(requested_at) = load_requested {
            self.loads.in_progress = self.loads.in_progress.saturating_sub(1);
            let presumed = self.presume_loaded_after_lost_connection(&result, requested_at);
            let failed = matches!(result.outcome, ConnectFailed | ConnectionLost | TimedOut);
            if failed && !presumed {
                self.suspect_after_failed_load(now, &result);
            }
            self.learn_load_time(now, &result);
        }
        self.dispatch_queue(now, result.function, actions);
    }

    /// Takes an instance for loaded, from when the load was asked for, though the connection of the load request
    /// ended. Returns whether it does.
    ///
    /// # Departure from the mechanism
    ///
    /// Reason: connections close sooner than stated, which a load outlasts; each load was asked for again
    /// elsewhere, and each worker became suspect. Where a miss says so, a call goes and sees. A connection that
    /// ends at once makes a suspect.
    ///
    /// Harm: a worker that died meanwhile costs one attempt.
    fn presume_loaded_after_lost_connection(
        &mut self,
        result: &LoadResult,
        requested_at: Time,
    ) -> bool {
        let presumed = result.outcome == Outcome::ConnectionLost
            && self.siblings_may_have_loaded()
            && result.latency > self.settings.connect_timeout;
        if presumed {
            if let Some(instance) = self.known_instance_mut(result.function, result.worker) {
                instance.presume_loaded(requested_at);
            }
        }
        presumed
    }

    /// Notes whether a load request left an instance. Without a load requested here, the end of asking for
    /// instances counts only if it failed.
    fn note_load_effect(&mut self, now: Time, result: &LoadResult, load_requested: bool) {
        if result.instances > 0 {
            if let Some(worker) = self.workers.get_mut(&result.worker) {
                worker.last_load_ineffective = false;
            }
            self.loads.last_ineffective = false;
        } else if result.outcome != Outcome::ConnectionLost
            && (load_requested || result.outcome != Outcome::Served)
        {
            self.load_without_effect(now, result.worker, result.function, false);
        }
    }

    fn suspect_after_failed_load(&mut self, now: Time, result: &LoadResult) {
        let probe_after = if result.outcome == Outcome::TimedOut {
            self.settings.connect_timeout
        } else {
            0
        };
        if let Some(worker) = self.workers.get_mut(&result.worker) {
            worker.mark_suspect(now, probe_after);
        }
    }

    /// Learns what loads take from one that succeeded.
    fn learn_load_time(&mut self, now: Time, result: &LoadResult) {
        if result.outcome != Outcome::Served {
            return;
        }
        if result.latency > self.settings.connect_timeout {
            let function = self.functions.get(&result.function);
            let stated = function.and_then(|function| function.stated_load_time);
            let unit = stated.map_or(1.0, |time| time as f64);
            self.loads.durations.add(result.latency as f64 / unit);
        } else if result.instances > 0 {
            // It was loaded already: the next load need not wait for this one.
            self.loads.next_turn = now;
        }
    }

    /// A load left no instance, or (`missed_by_call`) the first call after one reported as done found none.
    ///
    /// # Departure from the mechanism
    ///
    /// Reason: a worker that answers at once and wrongly would be asked for loads without pause. From the second
    /// load without effect in a row its instance is excluded, for twice as long each time. Workers whose last
    /// load had no effect are asked for the next ones one by one, and so are all while that is how the last load
    /// at any of them ended.
    ///
    /// Harm: a worker that is mended without a restart is found seconds later.
    pub(super) fn load_without_effect(
        &mut self,
        now: Time,
        worker_id: WorkerId,
        function_id: FunctionId,
        missed_by_call: bool,
    ) {
        let seed = self.seed;
        let Some(instance) = self.known_instance_mut(function_id, worker_id) else {
            return;
        };
        let before = instance.ineffective_loads;
        instance.ineffective_loads = before.saturating_add(1);
        if before > 0 {
            let backoff = LOAD_BACKOFF << (before - 1).min(MAX_BACKOFF_DOUBLINGS);
            let until = now.plus(with_jitter(seed, now, backoff));
            instance.excluded_until = instance.excluded_until.max(until);
        }
        if before > 0 || !missed_by_call {
            self.loads.next_after_ineffective = now.plus(INEFFECTIVE_LOAD_INTERVAL);
            self.loads.last_ineffective = true;
            if let Some(worker) = self.workers.get_mut(&worker_id) {
                worker.last_load_ineffective = true;
            }
        }
    }
}
