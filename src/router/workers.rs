//! Worker state, updates of the worker list, and the slow start of recently started workers.

use super::concurrency::{IDLE_UTILIZATION, INITIAL_LIMIT};
use super::estimate::{DecayingSum, ServiceTimeRatio, ALL_KINDS};
use super::loading::LOADS_PER_WORKER;
use super::random::mix_bits;
use super::Router;
use crate::{ListKind, Micros, RequestId, Time, WorkerEntry, WorkerId, WorkerState};
use std::collections::BTreeSet;

/// Divisor of the overload multiple in slow start. Saved and newly earned credit can be spent within one overload
/// window; with this margin their sum stays within the multiple.
const SLOW_START_MARGIN: f64 = 2.0;

/// State of one worker.
#[derive(Default)]
pub(super) struct Worker {
    pub(super) entry: WorkerEntry,
    /// When the list first reported it as draining or gone; `None` while it is ready.
    pub(super) left_at: Option<Time>,

    /// Attempts that have not ended.
    pub(super) in_flight: usize,
    /// Attempts whose answers are awaited: those in flight that were not cancelled.
    pub(super) unanswered: BTreeSet<(Time, RequestId)>,
    pub(super) concurrency_limit: f64,
    pub(super) limit_cut_at: Time,
    pub(super) last_send: Option<Time>,
    pub(super) recent_sends: DecayingSum,
    pub(super) last_answer: Time,
    /// Observed over expected service time.
    pub(super) service_ratio: ServiceTimeRatio,

    /// Slow start credit as of `credit_updated_at`: the work that it may still be sent, in microseconds.
    pub(super) slow_start_credit: f64,
    pub(super) credit_updated_at: Time,

    pub(super) suspect: bool,
    pub(super) suspect_since: Time,
    /// Suspect because of silence, not only because of a lost connection.
    pub(super) unresponsive: bool,
    pub(super) next_probe: Time,
    pub(super) probe_interval: Micros,
    /// This suspect may get one safe call or one load as a trial.
    pub(super) trial_allowed: bool,

    /// The last load at this worker left no instance loaded.
    pub(super) last_load_ineffective: bool,
}

impl Worker {
    /// Returns the state of a worker after its process restarted. Attempts sent to the previous process stay counted.
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

    /// Whether it may get new work. Every send and load requires this, except trials of suspects.
    pub(super) fn accepts_work(&self) -> bool {
        self.entry.state == WorkerState::Ready && !self.suspect
    }

    /// Whether it is a suspect that may get a trial call or load.
    pub(super) fn allows_trial(&self) -> bool {
        self.entry.state == WorkerState::Ready && self.suspect && self.trial_allowed
    }
}

impl Router {
    /// Applies a worker list or changes of it.
    pub(super) fn on_worker_list(&mut self, now: Time, kind: ListKind, entries: Vec<WorkerEntry>) {
        match kind {
            ListKind::Failed => {
                // Brings the next request for the list forward.
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
            self.reset_load_backoff(now, worker_id);
            worker = Worker::restarted(worker, now);
            worker.slow_start_credit = self.initial_credit(&worker, now);
        }
        self.workers.insert(worker_id, worker);
    }

    /// A restarted process has none of the instances of its predecessor ([`Router::is_warm`]); the load backoff that
    /// it earned is reset as well.
    fn reset_load_backoff(&mut self, now: Time, worker_id: WorkerId) {
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

    /// Updates the totals over ready workers and what is derived from them.
    fn update_fleet_size(&mut self) {
        let sizes = || {
            self.ready_workers()
                .map(|(_, worker)| worker.entry.relative_size)
        };
        let total_size = sizes().sum();
        let largest_size = sizes().fold(0.0, f64::max);
        let ready_count = self.ready_workers().count() as f64;
        self.total_size = total_size;
        self.largest_size = largest_size;
        self.ready_count = ready_count;
        self.configuration_revision += 1;
        if self.loads.window == 0.0 {
            let front_ends = self.settings.front_ends as u64;
            self.loads.window = ready_count * LOADS_PER_WORKER as f64 / front_ends as f64;
        }
    }

    pub(super) fn ready_workers(&self) -> impl Iterator<Item = (&WorkerId, &Worker)> {
        self.workers
            .iter()
            .filter(|(_, worker)| worker.entry.state == WorkerState::Ready)
    }

    /// Returns the work per microsecond that a worker in slow start may be sent; `None` if it is not in slow start.
    ///
    /// # Departure from the base algorithm
    ///
    /// A worker that started recently fails if all front ends together send it more than the overload multiple of its
    /// present capacity. This front end sends it no more than its share of half that multiple, as a credit that grows
    /// with time. The full capacity of the worker is estimated from workers of its size and kind, as the work that
    /// they serve divided by their utilization, and is at least one core. Where the credit is less than one call,
    /// front ends start with different fractions of a call so that they do not all send at once.
    ///
    /// Trade-off: the worker warms up more slowly. Wrong utilization reports change the rate by up to a factor of
    /// two.
    fn slow_start_rate(&self, worker: &Worker, now: Time) -> Option<f64> {
        let settings = &self.settings;
        let age = now.since(worker.entry.started?);
        if age >= settings.slow_start_window {
            return None;
        }
        let progress = (age - settings.overload_window).max(0) as f64
            / settings.slow_start_window.max(1) as f64;
        let warm_part = settings.slow_start_from + (1.0 - settings.slow_start_from) * progress;
        let busy = self
            .core_utilization
            .mean_or_one()
            .clamp(IDLE_UTILIZATION, 1.0);
        let carried = self.recent_work.sum / self.observed_window(now) / busy;
        let kind_slowness = self.kind_slowness(worker.entry.kind);
        let relative_slowness = (kind_slowness / self.kind_slowness(ALL_KINDS)).max(1.0);
        let capacity = carried / relative_slowness * worker.entry.relative_size;
        let one_core = 1.0 / settings.front_ends as f64;
        Some(settings.overload_multiple * warm_part * capacity.max(one_core) / SLOW_START_MARGIN)
    }

    /// Returns the present slow start credit of a worker, for calls of this weight; `None` if it is not in slow
    /// start.
    ///
    /// # Departure from the base algorithm
    ///
    /// The credit since its last update grows at the rate at the middle of that time. At the present, higher rate, a
    /// front end that has not sent anything for long would get too much.
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

    /// Whether slow start allows a call of this weight to be sent to the worker.
    pub(super) fn has_slow_start_credit(
        &self,
        worker: &Worker,
        call_weight: f64,
        now: Time,
    ) -> bool {
        self.slow_start_credit(worker, call_weight, now)
            .is_none_or(|credit| credit >= call_weight)
    }

    /// Returns the initial slow start credit of a worker. Front ends start with different fractions of a call, in an
    /// order that differs between workers.
    fn initial_credit(&self, worker: &Worker, now: Time) -> f64 {
        let front_ends = self.settings.front_ends as u64;
        let offset = mix_bits(worker.entry.worker.0) % front_ends;
        let position = (offset + self.settings.front_end_index as u64 % front_ends) % front_ends;
        let part_of_call = self.service_time(0) * position as f64 / front_ends as f64;
        self.slow_start_rate(worker, now).map_or(0.0, |rate| {
            part_of_call.max(rate * self.settings.overload_window as f64)
        })
    }

    /// Returns the size of a worker for selection and affinity.
    ///
    /// # Departure from the base algorithm
    ///
    /// The listed size is divided by the observed slowness of the worker, or of its kind while few answers are known,
    /// so that workers that are slow for any reason get fewer calls. If all are equally fast, nothing changes.
    ///
    /// Trade-off: with few answers, chance affects the weights.
    pub(super) fn capacity_weight(&self, worker: &Worker) -> f64 {
        let kind_slowness = self.kind_slowness(worker.entry.kind);
        worker.entry.relative_size / worker.service_ratio.slowness(kind_slowness)
    }
}
