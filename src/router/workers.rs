//! The workers: what is known of each, the list of them, and the slow start of those that started lately.

use super::concurrency::{IDLE_CORE_SHARE, INITIAL_LIMIT};
use super::estimate::{DecayingSum, ServiceTimeRatio, ALL_KINDS};
use super::loading::LOADS_PER_WORKER;
use super::random::mix;
use super::Router;
use crate::{ListKind, Micros, RequestId, Time, WorkerEntry, WorkerId, WorkerState};
use std::collections::BTreeSet;

/// The part of the multiple that a starting worker bears that is used. Credit that was saved and credit that is
/// new together never pass the multiple.
const SLOW_START_MARGIN: f64 = 2.0;

/// What is known of a worker.
#[derive(Default)]
pub(super) struct Worker {
    pub(super) entry: WorkerEntry,
    /// When the list first said that it is draining or gone, while it does.
    pub(super) left_at: Option<Time>,

    /// Attempts that have not ended.
    pub(super) in_flight: usize,
    /// Those whose answers are still waited for: without those that were cancelled.
    pub(super) unanswered: BTreeSet<(Time, RequestId)>,
    pub(super) concurrency_limit: f64,
    pub(super) limit_cut_at: Time,
    pub(super) last_send: Option<Time>,
    pub(super) recent_sends: DecayingSum,
    pub(super) last_answer: Time,
    /// Its service times over those expected.
    pub(super) service_ratio: ServiceTimeRatio,

    /// Work that it may be sent in slow start, microseconds, as of `credit_updated_at`.
    pub(super) slow_start_credit: f64,
    pub(super) credit_updated_at: Time,

    pub(super) suspect: bool,
    pub(super) suspect_since: Time,
    /// Suspect for its silence, not only for a lost connection.
    pub(super) unresponsive: bool,
    pub(super) next_probe: Time,
    pub(super) probe_interval: Micros,
    /// A suspect whose process answers may get one safe call or one load.
    pub(super) trial_allowed: bool,

    /// The last load there left no instance.
    pub(super) last_load_ineffective: bool,
}

impl Worker {
    /// A worker whose process is new, with what the former process was sent.
    fn restarted(former: Worker, now: Time) -> Worker {
        Worker {
            entry: former.entry,
            left_at: former.left_at,
            in_flight: former.in_flight,
            unanswered: former.unanswered,
            concurrency_limit: INITIAL_LIMIT,
            last_answer: now,
            credit_updated_at: now,
            ..Worker::default()
        }
    }

    /// Whether it may get new work at all: every send and every load has to pass this, trials aside.
    pub(super) fn accepts_work(&self) -> bool {
        self.entry.state == WorkerState::Ready && !self.suspect
    }

    /// Whether it is a suspect that may get a trial.
    pub(super) fn allows_trial(&self) -> bool {
        self.entry.state == WorkerState::Ready && self.suspect && self.trial_allowed
    }
}

impl Router {
    /// Takes in a list of workers, or the changes of one.
    pub(super) fn on_worker_list(&mut self, now: Time, kind: ListKind, entries: Vec<WorkerEntry>) {
        match kind {
            ListKind::Failed => {
                // Asked for again soon.
                let earlier = -self.settings.max_list_poll_interval / 4;
                self.list_requested_at = self.list_requested_at.plus(earlier);
                return;
            }
            ListKind::Full | ListKind::Cached => self.remove_unlisted(now, &entries),
            ListKind::Changes => {}
        }
        for entry in entries {
            self.update_worker(now, entry);
        }
        self.update_fleet_size();
    }

    fn remove_unlisted(&mut self, now: Time, entries: &[WorkerEntry]) {
        let listed: BTreeSet<WorkerId> = entries.iter().map(|entry| entry.worker).collect();
        for (worker_id, worker) in &mut self.workers {
            if !listed.contains(worker_id) {
                worker.entry.state = WorkerState::Gone;
                worker.left_at = worker.left_at.or(Some(now));
            }
        }
    }

    fn update_worker(&mut self, now: Time, mut entry: WorkerEntry) {
        if !(entry.relative_size.is_finite() && entry.relative_size > 0.0) {
            entry.relative_size = 1.0;
        }
        let worker_id = entry.worker;
        let former = self.workers.remove(&worker_id);
        let same_process = former
            .as_ref()
            .is_some_and(|worker| entry.started <= worker.entry.started);
        let mut worker = former.unwrap_or_default();
        worker.left_at = if entry.state == WorkerState::Ready {
            None
        } else {
            Some(worker.left_at.unwrap_or(now))
        };
        worker.entry = entry;
        if !same_process {
            self.lift_load_backoff(now, worker_id);
            worker = Worker::restarted(worker, now);
            worker.slow_start_credit = self.initial_credit(&worker, now);
        }
        self.workers.insert(worker_id, worker);
    }

    /// A restart voids what was believed of the process before it, good ([`Router::is_warm`]) or bad.
    fn lift_load_backoff(&mut self, now: Time, worker_id: WorkerId) {
        for function in self.functions.values_mut() {
            let Some(instance) = function.instances.get_mut(&worker_id) else {
                continue;
            };
            if instance.ineffective_loads > 0 {
                instance.ineffective_loads = 0;
                instance.excluded_until = now;
            }
        }
    }

    /// The totals over ready workers, and what was derived from the list before.
    fn update_fleet_size(&mut self) {
        let shares = || {
            self.ready_workers()
                .map(|(_, worker)| worker.entry.relative_size)
        };
        let total_share = shares().sum();
        let largest_share = shares().fold(0.0, f64::max);
        let ready_count = self.ready_workers().count() as f64;
        self.total_share = total_share;
        self.largest_share = largest_share;
        self.ready_count = ready_count;
        self.configuration_revision += 1;
        if self.loads.window == 0.0 {
            let siblings = self.settings.front_ends as u64;
            self.loads.window = ready_count * LOADS_PER_WORKER as f64 / siblings as f64;
        }
    }

    pub(super) fn ready_workers(&self) -> impl Iterator<Item = (&WorkerId, &Worker)> {
        self.workers
            .iter()
            .filter(|(_, worker)| worker.entry.state == WorkerState::Ready)
    }

    /// The work per microsecond that a worker in slow start may be sent; none if it is not in slow start.
    ///
    /// # Departure from the mechanism
    ///
    /// Reason (rule 4): a worker that started lately is sent no more than this front end's share of half the
    /// multiple of its present capacity, as a credit that grows with time. Its full capacity is what one of its
    /// size and kind could carry, at least one core: what is carried, over how busy the workers report to be.
    /// Where the credit is less than a call, front ends begin at different parts of one by their numbers.
    ///
    /// Harm: it warms up more slowly. Wrong reports of busy cores change it by up to twice.
    fn slow_start_rate(&self, worker: &Worker, now: Time) -> Option<f64> {
        let settings = &self.settings;
        let age = now.since(worker.entry.started?);
        if age >= settings.slow_start_window {
            return None;
        }
        let progress = (age - settings.overload_window).max(0) as f64
            / settings.slow_start_window.max(1) as f64;
        let warm_part = settings.slow_start_from + (1.0 - settings.slow_start_from) * progress;
        let busy = self.busy_cores.mean_or_one().clamp(IDLE_CORE_SHARE, 1.0);
        let carried = self.recent_work.sum / self.observed_window(now) / busy;
        let kind_slowness = self.kind_slowness(worker.entry.kind);
        let relative_slowness = (kind_slowness / self.kind_slowness(ALL_KINDS)).max(1.0);
        let capacity = carried / relative_slowness * worker.entry.relative_size;
        let one_core = 1.0 / settings.front_ends as f64;
        Some(settings.overload_multiple * warm_part * capacity.max(one_core) / SLOW_START_MARGIN)
    }

    /// The slow start credit of a worker now, for a call of this weight; none if it is not in slow start.
    ///
    /// # Departure from the mechanism
    ///
    /// Reason: credit grows by the rate at the middle of the time since it was last updated. By the present,
    /// higher rate a front end that has sent nothing for long would count it back to the start.
    ///
    /// Harm: none seen.
    pub(super) fn slow_start_credit(
        &self,
        worker: &Worker,
        call_weight: f64,
        now: Time,
    ) -> Option<f64> {
        let rate = self.slow_start_rate(worker, now)?;
        let most = (rate * self.settings.overload_window as f64).max(call_weight);
        let elapsed = now.since(worker.credit_updated_at).max(0);
        let mean_rate = self.slow_start_rate(worker, now.plus(-elapsed / 2))?;
        Some((worker.slow_start_credit + mean_rate * elapsed as f64).min(most))
    }

    /// Whether a worker may be sent a call of this weight as far as slow start goes.
    pub(super) fn has_slow_start_credit(
        &self,
        worker: &Worker,
        call_weight: f64,
        now: Time,
    ) -> bool {
        self.slow_start_credit(worker, call_weight, now)
            .is_none_or(|credit| credit >= call_weight)
    }

    /// The credit that a worker starts with: front ends begin at different parts of a call, in an order that
    /// differs from worker to worker.
    fn initial_credit(&self, worker: &Worker, now: Time) -> f64 {
        let siblings = self.settings.front_ends as u64;
        let offset = mix(worker.entry.worker.0) % siblings;
        let turn = (offset + self.settings.front_end_index as u64 % siblings) % siblings;
        let part_of_call = self.service_time(0) * turn as f64 / siblings as f64;
        self.slow_start_rate(worker, now).map_or(0.0, |rate| {
            part_of_call.max(rate * self.settings.overload_window as f64)
        })
    }

    /// The size of a worker as far as selection and affinity go.
    ///
    /// # Departure from the mechanism
    ///
    /// Reason: the listed size over how slowly it answers, as far as observed, else its kind. Workers that have
    /// few cores, age or jam get less. With all alike it changes nothing.
    ///
    /// Harm: chance in few answers.
    pub(super) fn capacity_weight(&self, worker: &Worker) -> f64 {
        let kind_slowness = self.kind_slowness(worker.entry.kind);
        worker.entry.relative_size / worker.service_ratio.slowness(kind_slowness)
    }
}
