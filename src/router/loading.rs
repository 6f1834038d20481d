//! Load requests: when they are sent, and how their results are handled.

use super::estimate::LatencyEstimate;
use super::instances::Function;
use super::random::with_jitter;
use super::request::Request;
use super::workers::Worker;
use super::{Router, CHECK_INTERVAL};
use crate::{Action, FunctionId, Micros, Outcome, RequestId, Time, WorkerId, SECOND};
use std::collections::VecDeque;

/// Maximum number of loads in progress per worker, over all front ends: workers run only a few at a time.
pub(super) const LOADS_PER_WORKER: usize = 3;

/// How long no call is sent to an instance after its load failed.
pub(super) const FAILED_LOAD_EXCLUSION: Micros = SECOND / 2;

/// Minimum interval between load requests to workers whose last one had no effect.
const INEFFECTIVE_LOAD_INTERVAL: Micros = SECOND / 20;

/// Backoff of an instance after the second consecutive load without effect; doubles with each further one.
const LOAD_BACKOFF: Micros = SECOND / 2;

/// For how long functions are loaded in turns after a load failed of a function that no worker is known to have.
const LOAD_TURNS_PERIOD: Micros = SECOND / 5;

/// Maximum number of doublings of the backoff.
const MAX_BACKOFF_DOUBLINGS: u32 = 4;

/// When functions whose calls wait may be loaded, the earliest first.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum LoadTurn {
    /// A worker is known to have the function.
    Confirmed,
    /// No load of it has failed.
    Untried,
    /// A worker has reported that a load of it failed.
    Failed,
}

impl LoadTurn {
    /// The number of turns.
    pub(super) const COUNT: usize = 3;
}

impl Function {
    pub(super) fn load_turn(&self) -> LoadTurn {
        if self.confirmed {
            LoadTurn::Confirmed
        } else if self.load_failed {
            LoadTurn::Failed
        } else {
            LoadTurn::Untried
        }
    }
}

/// The result of a load request.
#[derive(Clone, Copy)]
pub(super) struct LoadResult {
    pub(super) worker: WorkerId,
    pub(super) function: FunctionId,
    pub(super) outcome: Outcome,
    pub(super) latency: Micros,
    /// Number of instances that the worker reports as loaded.
    pub(super) instances: u32,
}

/// State of the load requests of this front end.
#[derive(Default)]
pub(super) struct LoadState {
    /// Load durations: in microseconds, or relative to the load time hint if there is one.
    durations: LatencyEstimate,
    in_progress: usize,
    /// This front end's share of the loads that may be in progress. If it is below one, as with many front ends, the
    /// front end runs one load at a time and starts at most one per interval.
    pub(super) window: f64,
    /// When the next load may start if the window is below one.
    next_slot_at: Time,
    /// When the next load may start at a worker whose last one had no effect.
    next_after_ineffective: Time,
    /// The last load that ended had no effect.
    last_ineffective: bool,
    /// Until when functions are loaded in turns.
    turns_until: Time,
    /// Functions are being served in the order of their turns.
    in_turn: bool,
    /// A function that no worker is known to have was denied a load since the last turns began.
    contended: bool,
    /// The times at which the load requests in the current period of the load budget were sent.
    recent: VecDeque<Time>,
}

impl LoadState {
    /// The turn of a function. All functions have the first unless loads of unconfirmed functions failed lately.
    pub(super) fn turn(&self, function: &Function, now: Time) -> LoadTurn {
        if now < self.turns_until {
            function.load_turn()
        } else {
            LoadTurn::Confirmed
        }
    }

    /// Called before functions are served in the order of their turns.
    pub(super) fn begin_turns(&mut self) {
        self.in_turn = true;
        self.contended = false;
    }

    /// Called after functions were served in the order of their turns.
    pub(super) fn end_turns(&mut self) {
        self.in_turn = false;
    }

    /// Whether a function with this turn may not be loaded before its turn comes.
    ///
    /// # Departure from the base algorithm
    ///
    /// Callers choose the names of functions, and may call ever new ones. A function whose load failed is loaded again
    /// only in its turn. So is a function that no worker is known to have, while other such functions wait for a load.
    ///
    /// Trade-off: such a load waits for the next check.
    fn awaits_turn(&self, turn: LoadTurn) -> bool {
        let out_of_turn = match turn {
            LoadTurn::Confirmed => false,
            LoadTurn::Untried => self.contended,
            LoadTurn::Failed => true,
        };
        out_of_turn && !self.in_turn
    }

    /// Whether loads are spaced, as the last one had no effect, and the next one is not due.
    fn are_paced(&self, now: Time) -> bool {
        self.last_ineffective && now < self.next_after_ineffective
    }
}

impl Router {
    /// Requests a load if the function has fewer instances than its cap and a load may start at a worker. Otherwise
    /// queries the instances of a worker, if only a query finds those that other front ends have loaded. If load
    /// requests are not allowed, sends the call to a worker, which loads the function for it. `request_id` is the call
    /// that waits for the load, if there is one.
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
        let candidate = |discount: f64, retry_after: Micros| {
            self.load_candidate(now, request, function_id, discount, retry_after)
        };
        if !self.settings.may_load {
            if let (Some(worker_id), Some(request_id)) = (candidate(1.0, 0), request_id) {
                self.send(now, request_id, worker_id, actions);
            }
            return;
        }
        let turn = self.loads.turn(function, now);
        let has_slot = within_budget && self.has_load_slot(now, turn);
        let may_load = has_slot && !self.loads.awaits_turn(turn);
        let is_denied = !may_load || self.loads.are_paced(now);
        let contends = turn == LoadTurn::Untried && function.pending_loads == 0;
        let load_at = may_load.then(|| candidate(1.0, 0)).flatten();
        if let Some(worker_id) = load_at {
            return self.request_load(now, worker_id, function_id, load_time, actions);
        }
        let ask_at = if self.must_query_instances() {
            let idle_timeout = self.settings.idle_timeout;
            candidate(1.0, load_time).or_else(|| candidate(0.0, idle_timeout))
        } else {
            None
        };
        self.loads.contended |= contends && is_denied && request_id.is_some();
        if let Some(worker_id) = ask_at {
            self.query_instances(now, worker_id, function_id, actions);
        }
    }

    /// Whether another load may be in progress.
    ///
    /// # Departure from the base algorithm
    ///
    /// The number of loads in progress is limited over all front ends. This bounds the load on the function store after
    /// a release of many functions, when the store is slow, or when a zone starts empty. A front end whose share is
    /// below one may start one load per interval. Functions whose loads failed leave half of the loads to others.
    ///
    /// Trade-off: loads wait for their interval.
    fn has_load_slot(&self, now: Time, turn: LoadTurn) -> bool {
        let loads = &self.loads;
        let window = match turn {
            LoadTurn::Failed => loads.window / 2.0,
            LoadTurn::Confirmed | LoadTurn::Untried => loads.window,
        };
        let within_window = (loads.in_progress as f64) < window && window >= 1.0;
        within_window || loads.in_progress == 0 && now >= loads.next_slot_at
    }

    /// Whether instances loaded by other front ends are found only by a query.
    ///
    /// # Departure from the base algorithm
    ///
    /// If a worker loads the function when a call finds no instance, a call cannot be sent just to see whether an
    /// instance exists. The worker is queried for its instances instead, which loads nothing.
    ///
    /// Trade-off: the cost of the query.
    fn must_query_instances(&self) -> bool {
        self.settings.front_ends > 1 && !self.others_may_have_loaded()
    }

    /// Selects the worker at which to load a function, or to query for the function's instances. If no call waits and
    /// other front ends may have loaded the function, only workers with a recorded miss qualify. A worker whose last
    /// miss is less than `retry_after` ago does not qualify; a query counts as a miss until an instance is found.
    /// `discount` is that of [`Router::instance_cap`].
    fn load_candidate(
        &self,
        now: Time,
        request: Option<&Request>,
        function_id: FunctionId,
        discount: f64,
        retry_after: Micros,
    ) -> Option<WorkerId> {
        let function = self.functions.get(&function_id)?;
        let calls_load = !self.settings.may_load;
        let can_take_load = |worker: &Worker| {
            let sendable =
                !calls_load || request.is_some_and(|call| self.may_send(call, worker, now));
            sendable && !self.must_pace_loads(worker, now)
        };
        let miss_not_required = request.is_some() || !self.others_may_have_loaded();
        let is_due = |worker_id: &WorkerId| {
            let instance = function.instances.get(worker_id);
            let missed_at = instance.and_then(|instance| instance.missed_at);
            missed_at.map_or(miss_not_required, |at| now.since(at) >= retry_after)
        };
        self.missing_instances(function_id, now, discount, can_take_load)
            .into_iter()
            .filter(is_due)
            .filter_map(|id| Some((self.own_affinity(function_id, self.workers.get(&id)?), id)))
            .max_by(|(left, _), (right, _)| left.total_cmp(right))
            .map(|(_, id)| id)
    }

    /// Whether a load at this worker has to wait because recent loads had no effect.
    fn must_pace_loads(&self, worker: &Worker, now: Time) -> bool {
        now < self.loads.next_after_ineffective
            && (worker.last_load_ineffective || self.loads.last_ineffective)
    }

    /// Requests a worker to load one instance.
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
        let slot_interval = (load_time as f64 / self.loads.window.max(least_window)) as Micros;
        self.loads.in_progress += 1;
        self.loads.recent.push_back(now);
        self.loads.next_slot_at = now.plus(slot_interval);
        if let Some(worker) = self.workers.get_mut(&worker_id) {
            worker.trial_allowed = false;
        }
        self.start_use(function_id);
        let instance = self.instance_mut(function_id, worker_id);
        let is_first = instance.load_requested.replace(now).is_none();
        if let Some(function) = self.functions.get_mut(&function_id) {
            function.pending_loads += usize::from(is_first);
        }
        self.update_shed_order(function_id);
        actions.push(Action::Load {
            worker: worker_id,
            function: function_id,
            instances: 1,
        });
    }

    /// Queries the instances of a worker without loading any.
    fn query_instances(
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

    /// Delays the next load if this one follows loads without effect.
    fn pace_ineffective_loads(&mut self, now: Time, worker_id: WorkerId) {
        let worker = self.workers.get(&worker_id);
        let at_worker = worker.is_some_and(|worker| worker.last_load_ineffective);
        if self.loads.last_ineffective || at_worker {
            self.loads.next_after_ineffective = now.plus(INEFFECTIVE_LOAD_INTERVAL);
        }
    }

    /// Returns the expected duration of a load of this function.
    pub(super) fn expected_load_time(&self, function: &Function) -> Micros {
        let mean = self.loads.durations.mean;
        let expected = match function.load_time_hint {
            Some(stated) => stated as f64 * mean.max(1.0),
            None if mean > 0.0 => mean,
            None => SECOND as f64,
        };
        let longest = self.settings.load_timeout as f64;
        expected.min(longest).max(CHECK_INTERVAL as f64) as Micros
    }

    /// Whether one more load request stays within the load budget of the period: the base number plus the share of
    /// arrivals. Loads expire a tick later and arrivals a tick earlier, so that the budget also holds when recorded
    /// times deviate by up to a tick.
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

    /// Handles the end of a load request: updates the estimates and dispatches the queue of the function.
    pub(super) fn on_load_result(
        &mut self,
        now: Time,
        result: LoadResult,
        actions: &mut Vec<Action>,
    ) {
        use Outcome::{ConnectFailed, ConnectionLost, Error, Rejected, Served, TimedOut};
        let answered = matches!(result.outcome, Served | Rejected | Error);
        self.on_probe_result(result.worker, answered);
        self.start_use(result.function);
        let Some(function) = self.functions.get_mut(&result.function) else {
            return;
        };
        if result.instances > 0 {
            function.confirm();
        } else if result.outcome == Error && !function.confirmed {
            function.load_failed = true;
            self.loads.turns_until = now.plus(LOAD_TURNS_PERIOD);
        }
        let instance = function.instances.entry(result.worker).or_default();
        let load_requested = instance.load_requested.take();
        if load_requested.is_some() {
            function.pending_loads = function.pending_loads.saturating_sub(1);
        }
        if result.outcome != ConnectionLost {
            instance.on_reported_count(now, result.outcome, result.instances);
        }
        self.record_load_effect(now, &result, load_requested.is_some());
        if let Some(requested_at) = load_requested {
            self.loads.in_progress = self.loads.in_progress.saturating_sub(1);
            let presumed = self.presume_loaded_after_lost_connection(&result, requested_at);
            let failed = matches!(result.outcome, ConnectFailed | ConnectionLost | TimedOut);
            if failed && !presumed {
                self.suspect_after_failed_load(now, &result);
            }
            self.learn_load_time(now, &result);
        }
        self.update_shed_order(result.function);
        self.dispatch_queue(now, result.function, actions);
        self.end_use(result.function);
    }

    /// Decides whether an instance is presumed to be loaded although the connection of its load request was lost;
    /// records and returns the decision.
    ///
    /// # Departure from the base algorithm
    ///
    /// Connections may be closed while a long load is in progress. Treating each of these loads as failed repeats it
    /// elsewhere and makes the worker suspect. Where a miss loads nothing, a call is sent to find out instead. A
    /// connection that is lost within the connect timeout still makes the worker suspect.
    ///
    /// Trade-off: if the worker has died, one attempt is lost.
    fn presume_loaded_after_lost_connection(
        &mut self,
        result: &LoadResult,
        requested_at: Time,
    ) -> bool {
        let presumed = result.outcome == Outcome::ConnectionLost
            && self.others_may_have_loaded()
            && result.latency > self.settings.connect_timeout;
        if presumed {
            if let Some(instance) = self.known_instance_mut(result.function, result.worker) {
                instance.presume_loaded(requested_at);
            }
        }
        presumed
    }

    /// Records whether the worker has an instance after a load request or query. Without one, the request or
    /// query counts as a load without effect, unless the connection was lost or the worker served a query.
    fn record_load_effect(&mut self, now: Time, result: &LoadResult, load_requested: bool) {
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

    /// Updates the load duration from a successful load.
    fn learn_load_time(&mut self, now: Time, result: &LoadResult) {
        if result.outcome != Outcome::Served {
            return;
        }
        if result.latency > self.settings.connect_timeout {
            let function = self.functions.get(&result.function);
            let stated = function.and_then(|function| function.load_time_hint);
            let unit = stated.map_or(1.0, |time| time as f64);
            self.loads.durations.add(result.latency as f64 / unit);
        } else if result.instances > 0 {
            // The instance was already loaded, so the next load need not wait.
            self.loads.next_slot_at = now;
        }
    }

    /// Handles a load that left no instance, or, if `missed_by_call`, one that was reported as done but missed by the
    /// first call after it.
    ///
    /// # Departure from the base algorithm
    ///
    /// A worker that falsely reports the end of loads at once would receive load requests without pause. From the
    /// second consecutive load without effect, the instance is excluded with exponential backoff. Further loads are
    /// spaced by [`INEFFECTIVE_LOAD_INTERVAL`] at workers whose last load had no effect, and at all workers while the
    /// load that ended last, at whichever worker, had no effect.
    ///
    /// Trade-off: a worker that is repaired without a restart is used again only seconds later.
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
