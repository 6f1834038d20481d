//! The list of workers: what is known of each, their states, and the slow start of those that started lately.

use super::*;

#[derive(Default)]
pub(super) struct Worker {
    pub(super) entry: WorkerEntry,
    pub(super) in_flight: usize,
    pub(super) concurrency_limit: f64,
    pub(super) limit_cut_at: Time,
    pub(super) last_answer: Time,
    pub(super) unanswered: BTreeSet<(Time, RequestId)>,
    pub(super) last_send: Option<Time>,
    pub(super) recent_sends: DecayingSum,
    pub(super) service_ratio: ServiceTimeRatio,
    pub(super) slow_start_credit: f64,
    pub(super) credit_updated_at: Time,
    pub(super) left_at: Option<Time>,
    pub(super) suspect: bool,
    /// Suspected for its silence, not for a lost connection, and since when.
    pub(super) unresponsive: bool,
    pub(super) suspect_since: Time,
    pub(super) next_probe: Time,
    pub(super) probe_interval: Span,
    pub(super) trial_allowed: bool,
    pub(super) last_load_ineffective: bool,
}

impl Router {
    pub(super) fn on_worker_list(&mut self, now: Time, kind: ListKind, entries: Vec<WorkerEntry>) {
        if kind == ListKind::Failed {
            self.list_requested_at = self.list_requested_at.plus(-self.settings.ask_within / 4);
            return;
        }
        if matches!(kind, ListKind::Full | ListKind::Cached) {
            let named: BTreeSet<WorkerId> = entries.iter().map(|e| e.worker).collect();
            let omitted = self
                .workers
                .iter_mut()
                .filter(|(id, _)| !named.contains(id));
            omitted.for_each(|(_, w)| {
                (w.entry.state, w.left_at) = (WorkerState::Gone, w.left_at.or(Some(now)))
            });
        }
        let siblings = self.settings.siblings as u64;
        for mut e in entries {
            e.share = if e.share.is_finite() && e.share > 0.0 {
                e.share
            } else {
                1.0
            };
            let id = e.worker;
            let known = self
                .workers
                .get(&id)
                .is_some_and(|w| e.started <= w.entry.started);
            let mut w = self.workers.remove(&id).unwrap_or_default();
            w.left_at = (e.state != WorkerState::Ready).then(|| w.left_at.unwrap_or(now));
            w.entry = e;
            if !known {
                // A restart voids what was believed of the process before it (see `alive`), good or bad.
                let places = self
                    .functions
                    .values_mut()
                    .filter_map(|f| f.instances.get_mut(&id));
                places
                    .filter(|p| p.ineffective_loads > 0)
                    .for_each(|p| (p.ineffective_loads, p.excluded_until) = (0, now));
                let (entry, left, in_flight, out) = (w.entry, w.left_at, w.in_flight, w.unanswered);
                w = Worker {
                    entry,
                    left_at: left,
                    in_flight,
                    unanswered: out,
                    concurrency_limit: INITIAL_LIMIT,
                    ..Worker::default()
                };
                (w.last_answer, w.credit_updated_at) = (now, now);
                let turn = (mix(id.0) % siblings + self.settings.me as u64 % siblings) % siblings;
                let first = self.service_time(0) * turn as f64 / siblings as f64;
                w.slow_start_credit = self
                    .slow_start_rate(&w, now)
                    .map_or(0.0, |r| first.max(r * self.settings.fall_after as f64));
            }
            self.workers.insert(id, w);
        }
        self.total_share = self.ready_workers().map(|(_, w)| w.entry.share).sum();
        self.ready_count = self.ready_workers().count() as f64;
        self.largest_share = self
            .ready_workers()
            .map(|(_, w)| w.entry.share)
            .fold(0.0, f64::max);
        self.configuration_revision += 1;
        if self.loads.window == 0.0 {
            self.loads.window = self.ready_count * LOADS_PER_WORKER as f64 / siblings as f64;
        }
    }

    pub(super) fn ready_workers(&self) -> impl Iterator<Item = (&WorkerId, &Worker)> {
        self.workers
            .iter()
            .filter(|(_, w)| w.entry.state == WorkerState::Ready)
    }

    /// EXCEPTION (rule 4): a worker told to have started lately is sent no more than my share of half the
    /// multiple of its present capacity (what one of its size and kind could carry, at least one core), as a
    /// credit that grows with time; saved and new together never pass the multiple. Where that is less than
    /// a call, front ends start at other parts of one by their numbers. Harm: it warms more slowly.
    pub(super) fn slow_start_rate(&self, w: &Worker, now: Time) -> Option<f64> {
        let age = Some(now.since(w.entry.started?)).filter(|age| *age < self.settings.warm_up)?;
        let from =
            (age - self.settings.fall_after).max(0) as f64 / self.settings.warm_up.max(1) as f64;
        let part = self.settings.cold_from + (1.0 - self.settings.cold_from) * from;
        let could = self.recent_work.sum
            / self.observed_window(now)
            / self.busy_cores.least().clamp(IDLE_CORE_SHARE, 1.0);
        let slower = (self.kind_slowness(w.entry.kind) / self.kind_slowness(ALL_KINDS)).max(1.0);
        let seen = could / slower * w.entry.share;
        Some(
            self.settings.fall_multiple * part * seen.max(1.0 / self.settings.siblings as f64)
                / 2.0,
        )
    }

    /// The credit of a cold worker now, for a call of this weight; none: it is warm.
    pub(super) fn slow_start_credit(&self, w: &Worker, weight: f64, now: Time) -> Option<f64> {
        let rate = self.slow_start_rate(w, now)?;
        let most = (rate * self.settings.fall_after as f64).max(weight);
        let since = now.since(w.credit_updated_at).max(0);
        let mean = self.slow_start_rate(w, now.plus(-since / 2))?;
        Some((w.slow_start_credit + mean * since as f64).min(most))
    }

    /// EXCEPTION: the listed size over how slowly it answers, as far as seen, else its kind: workers that
    /// have few cores, age or jam get less. With all alike it changes nothing. Harm: chance in few answers.
    pub(super) fn capacity_weight(&self, w: &Worker) -> f64 {
        w.entry.share / w.service_ratio.slowness(self.kind_slowness(w.entry.kind))
    }

    /// Whether a worker may take new work at all: what every send and every load order passes.
    pub(super) fn accepts_work(w: &Worker) -> bool {
        w.entry.state == WorkerState::Ready && !w.suspect
    }
}
