//! Requests to load: how many may be in progress, the limit on them, and the delay after those without effect.

use super::*;

/// Loads in hand a worker, by all front ends together, at first: workers run few at a time.
pub(super) const LOADS_PER_WORKER: usize = 3;

/// Least time between two orders after one in vain, over all workers that have left nothing since.
pub(super) const INEFFECTIVE_LOAD_INTERVAL: Span = SECOND / 20;

/// How often the wait after an order in vain doubles at one place, from half a second.
pub(super) const MAX_BACKOFF_DOUBLINGS: u32 = 4;

/// How an order ended, after what time, with how many instances.
pub(super) type LoadResult = (Outcome, Span, u32);

/// Loads in hand, and how loads go: their times are over the told time of a load where that is told.
#[derive(Default)]
pub(super) struct LoadState {
    pub(super) durations: LatencyEstimate,
    pub(super) in_progress: usize,
    pub(super) window: f64,
    pub(super) next_turn: Time,
    pub(super) next_after_ineffective: Time,
    pub(super) last_ineffective: bool,
    pub(super) recent: VecDeque<Time>,
}

impl Router {
    /// A load where the function has fewer places than its cap; where siblings may keep it, only once a call
    /// there found it missing.
    pub(super) fn load_more(
        &mut self,
        now: Time,
        id: RequestId,
        function_id: FunctionId,
        out: &mut Vec<Action>,
    ) {
        let allowed = self.within_load_budget(now);
        let (direct, request) = (!self.settings.may_order, self.requests.get(&id));
        let room = |w: &Worker| {
            let sendable = !direct || request.is_some_and(|r| self.may_send(r, w, now));
            sendable
                && !(now < self.loads.next_after_ineffective
                    && (w.last_load_ineffective || self.loads.last_ineffective))
        };
        let Some(f) = self.functions.get(&function_id) else {
            return;
        };
        // EXCEPTION: loads in hand are few over all front ends; a share under one comes in turns of its own.
        // Holds for a release of many functions, a slow store, an empty zone. Harm: loads wait with us then.
        let (window, wait, out_now) = (
            self.loads.window,
            self.expected_load_time(f),
            self.loads.in_progress,
        );
        let turn = (out_now as f64) < window && window >= 1.0
            || out_now == 0 && now >= self.loads.next_turn;
        let best = |less: f64, rest: Span| {
            let missed = |id: &WorkerId| {
                f.instances
                    .get(id)
                    .and_then(|p| p.missed_at)
                    .map(|t| now.since(t))
            };
            let fits = |id: &WorkerId| {
                missed(id).map_or(
                    request.is_some() || !self.siblings_may_have_loaded(),
                    |ago| ago >= rest,
                )
            };
            let known = self
                .missing_instances(function_id, now, less, room)
                .into_iter()
                .filter(fits);
            let own = known.filter_map(|id| {
                Some((
                    self.affinity(function_id, id, self.workers.get(&id)?, true),
                    id,
                ))
            });
            own.max_by(|a, b| a.0.total_cmp(&b.0)).map(|o| o.1)
        };
        let load = if direct || allowed && turn {
            best(1.0, 0)
        } else {
            None
        };
        // EXCEPTION: where a miss would load, what siblings keep is asked for, at no load. Harm: the price.
        let asks = self.settings.siblings > 1
            && !direct
            && !self.siblings_may_have_loaded()
            && load.is_none();
        let ask = || best(1.0, wait).or_else(|| best(0.0, self.settings.idle_life));
        let Some(worker_id) = load.or_else(|| asks.then(ask)?) else {
            return;
        };
        if direct {
            return self.send(now, id, worker_id, out);
        }
        if self.loads.last_ineffective
            || self
                .workers
                .get(&worker_id)
                .is_some_and(|w| w.last_load_ineffective)
        {
            self.loads.next_after_ineffective = now.plus(INEFFECTIVE_LOAD_INTERVAL);
        }
        let p = self
            .functions
            .entry(function_id)
            .or_default()
            .instances
            .entry(worker_id)
            .or_default();
        if load.is_some() {
            p.load_requested = Some(now);
            self.workers
                .entry(worker_id)
                .and_modify(|w| w.trial_allowed = false);
            self.loads.in_progress += 1;
            self.loads.recent.push_back(now);
            self.loads.next_turn =
                now.plus((wait as f64 / window.max(1.0 / self.settings.siblings as f64)) as Span);
        } else {
            p.missed_at = Some(now);
        }
        out.push(Action::Load {
            worker: worker_id,
            function: function_id,
            instances: load.is_some() as u32,
        });
    }

    /// How long a load of this function should take now.
    pub(super) fn expected_load_time(&self, f: &Function) -> Span {
        let mean = self.loads.durations.mean;
        let untold = if mean > 0.0 { mean } else { SECOND as f64 };
        let usual = f
            .stated_load_time
            .map_or(untold, |t| t as f64 * mean.max(1.0));
        usual
            .min(self.settings.order_timeout as f64)
            .max(CHECK_INTERVAL as f64) as Span
    }

    /// Rule 5: orders in the window, this one included, within the free part and the share of arrivals.
    pub(super) fn within_load_budget(&mut self, now: Time) -> bool {
        let period = self.settings.ration.map_or(0, |r| r.period);
        let old = self
            .recent_arrivals
            .partition_point(|t| now.since(*t) >= period - self.settings.tick);
        self.recent_arrivals.drain(..old);
        let old = self
            .loads
            .recent
            .partition_point(|t| now.since(*t) > period + self.settings.tick);
        self.loads.recent.drain(..old);
        let given = self.loads.recent.len() as f64 + 1.0;
        self.settings
            .ration
            .is_none_or(|r| given <= r.free + r.part * self.recent_arrivals.len() as f64)
    }

    pub(super) fn on_load_result(
        &mut self,
        now: Time,
        (worker_id, function_id): (WorkerId, FunctionId),
        told: LoadResult,
        out: &mut Vec<Action>,
    ) {
        let (o, took, n) = told;
        self.on_probe_result(worker_id, matches!(o, Served | TurnedAway | Error));
        // EXCEPTION: an order counts, from when it left, though its connection ends. Where a miss says so, a
        // call goes and sees; an end at once makes a suspect. Harm: a worker that died costs an attempt.
        let due = o == ConnectionLost
            && self.siblings_may_have_loaded()
            && took > self.settings.connect_timeout;
        let Some(f) = self.functions.get_mut(&function_id) else {
            return;
        };
        let p = f.instances.entry(worker_id).or_default();
        let (left, ordered) = (p.load_requested, p.load_requested.take().is_some());
        if o != ConnectionLost {
            (p.count, p.warm, p.load_unconfirmed, p.last_evidence) = (n, n > 0, n > 0, now);
            p.missed_at = p.missed_at.filter(|_| n == 0);
            p.excluded_until = if o == Served {
                now
            } else {
                now.plus(SECOND / 2)
            };
        }
        (p.warm, p.last_evidence) = left.filter(|_| due).map_or((p.warm, p.last_evidence), |t| {
            (true, t.max(p.last_evidence))
        });
        let told_load = f.stated_load_time;
        if n > 0 {
            self.workers
                .entry(worker_id)
                .and_modify(|w| w.last_load_ineffective = false);
            self.loads.last_ineffective = false;
        } else if o != ConnectionLost && (ordered || o != Served) {
            self.load_without_effect(now, worker_id, function_id, false);
        }
        self.loads.in_progress -= (ordered && self.loads.in_progress > 0) as usize;
        if ordered && !due && matches!(o, ConnectFailed | ConnectionLost | TimedOut) {
            let gap = if o == TimedOut {
                self.settings.connect_timeout
            } else {
                0
            };
            self.workers
                .entry(worker_id)
                .and_modify(|w| Self::mark_suspect(w, now, gap));
        }
        if ordered && o == Served && took > self.settings.connect_timeout {
            self.loads
                .durations
                .add(took as f64 / told_load.map_or(1.0, |t| t as f64));
        } else if ordered && o == Served && n > 0 {
            self.loads.next_turn = now; // It stood already: no load was made.
        }
        self.dispatch_queue(now, function_id, out);
    }

    /// EXCEPTION: an order that left no instance, or one told done whose first call missed, bars its place,
    /// from the second in a row for twice as long each time. Workers where that was the last word get their
    /// next orders one by one, and so do all while it was the last word of any. Else one that answers at once
    /// and wrongly is ordered at the loop's speed. Harm: one mended without a restart is found seconds later.
    pub(super) fn load_without_effect(
        &mut self,
        now: Time,
        worker_id: WorkerId,
        function_id: FunctionId,
        missed: bool,
    ) {
        let Some(p) = self
            .functions
            .get_mut(&function_id)
            .and_then(|f| f.instances.get_mut(&worker_id))
        else {
            return;
        };
        let before = p.ineffective_loads;
        p.ineffective_loads = before.saturating_add(1);
        if before > 0 {
            let gap = (SECOND / 2) << (before - 1).min(MAX_BACKOFF_DOUBLINGS);
            p.excluded_until = p.excluded_until.max(now.plus(spread(self.seed, now, gap)));
        }
        if before > 0 || !missed {
            (
                self.loads.next_after_ineffective,
                self.loads.last_ineffective,
            ) = (now.plus(INEFFECTIVE_LOAD_INTERVAL), true);
            self.workers
                .entry(worker_id)
                .and_modify(|w| w.last_load_ineffective = true);
        }
    }
}
