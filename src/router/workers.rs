//! The list of workers: what is known of each, their states, and the slow start of those that started lately.

use super::*;

#[derive(Default)]
pub(super) struct Worker {
    pub(super) entry: WorkerEntry,
    pub(super) in_flight: usize,
    pub(super) limit: f64,
    pub(super) cut_at: Time,
    pub(super) heard: Time,
    pub(super) out: BTreeSet<(Time, RequestId)>,
    pub(super) last: Option<Time>,
    pub(super) sends: Recent,
    pub(super) pace: Pace,
    pub(super) credit: f64,
    pub(super) credit_at: Time,
    pub(super) left: Option<Time>,
    pub(super) suspect: bool,
    /// Suspected for its silence, not for a lost connection, and since when.
    pub(super) mute: bool,
    pub(super) since: Time,
    pub(super) next_test: Time,
    pub(super) test_gap: Span,
    pub(super) trial: bool,
    pub(super) vain: bool,
}

impl Router {
    pub(super) fn on_list(&mut self, now: Time, kind: ListKind, entries: Vec<WorkerEntry>) {
        if kind == ListKind::Failed {
            self.listed_at = self.listed_at.plus(-self.set.ask_within / 4);
            return;
        }
        if matches!(kind, ListKind::Full | ListKind::Cached) {
            let named: BTreeSet<WorkerId> = entries.iter().map(|e| e.worker).collect();
            let omitted = self
                .workers
                .iter_mut()
                .filter(|(id, _)| !named.contains(id));
            omitted.for_each(|(_, w)| {
                (w.entry.state, w.left) = (WorkerState::Gone, w.left.or(Some(now)))
            });
        }
        let siblings = self.set.siblings as u64;
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
            w.left = (e.state != WorkerState::Ready).then(|| w.left.unwrap_or(now));
            w.entry = e;
            if !known {
                // A restart voids what was believed of the process before it (see `alive`), good or bad.
                let places = self
                    .functions
                    .values_mut()
                    .filter_map(|f| f.places.get_mut(&id));
                places
                    .filter(|p| p.vain > 0)
                    .for_each(|p| (p.vain, p.barred_until) = (0, now));
                let (entry, left, in_flight, out) = (w.entry, w.left, w.in_flight, w.out);
                w = Worker {
                    entry,
                    left,
                    in_flight,
                    out,
                    limit: FIRST_LIMIT,
                    ..Worker::default()
                };
                (w.heard, w.credit_at) = (now, now);
                let turn = (mix(id.0) % siblings + self.set.me as u64 % siblings) % siblings;
                let first = self.service(0) * turn as f64 / siblings as f64;
                w.credit = self
                    .cold_rate(&w, now)
                    .map_or(0.0, |r| first.max(r * self.set.fall_after as f64));
            }
            self.workers.insert(id, w);
        }
        self.shares = self.ready().map(|(_, w)| w.entry.share).sum();
        self.ready = self.ready().count() as f64;
        self.largest = self.ready().map(|(_, w)| w.entry.share).fold(0.0, f64::max);
        self.readings += 1;
        if self.loads.window == 0.0 {
            self.loads.window = self.ready * LOADS_AT_WORKER as f64 / siblings as f64;
        }
    }

    pub(super) fn ready(&self) -> impl Iterator<Item = (&WorkerId, &Worker)> {
        self.workers
            .iter()
            .filter(|(_, w)| w.entry.state == WorkerState::Ready)
    }

    /// EXCEPTION (rule 4): a worker told to have started lately is sent no more than my share of half the
    /// multiple of its present capacity (what one of its size and kind could carry, at least one core), as a
    /// credit that grows with time; saved and new together never pass the multiple. Where that is less than
    /// a call, front ends start at other parts of one by their numbers. Harm: it warms more slowly.
    pub(super) fn cold_rate(&self, w: &Worker, now: Time) -> Option<f64> {
        let age = Some(now.since(w.entry.started?)).filter(|age| *age < self.set.warm_up)?;
        let from = (age - self.set.fall_after).max(0) as f64 / self.set.warm_up.max(1) as f64;
        let part = self.set.cold_from + (1.0 - self.set.cold_from) * from;
        let could = self.work.sum / self.filled(now) / self.busy.least().clamp(IDLE, 1.0);
        let slower = (self.slowness(w.entry.kind) / self.slowness(ALL)).max(1.0);
        let seen = could / slower * w.entry.share;
        Some(self.set.fall_multiple * part * seen.max(1.0 / self.set.siblings as f64) / 2.0)
    }

    /// The credit of a cold worker now, for a call of this weight; none: it is warm.
    pub(super) fn cold_credit(&self, w: &Worker, weight: f64, now: Time) -> Option<f64> {
        let rate = self.cold_rate(w, now)?;
        let most = (rate * self.set.fall_after as f64).max(weight);
        let since = now.since(w.credit_at).max(0);
        let mean = self.cold_rate(w, now.plus(-since / 2))?;
        Some((w.credit + mean * since as f64).min(most))
    }

    /// EXCEPTION: the listed size over how slowly it answers, as far as seen, else its kind: workers that
    /// have few cores, age or jam get less. With all alike it changes nothing. Harm: chance in few answers.
    pub(super) fn strength(&self, w: &Worker) -> f64 {
        w.entry.share / w.pace.slowness(self.slowness(w.entry.kind))
    }

    /// Whether a worker may take new work at all: what every send and every load order passes.
    pub(super) fn open(w: &Worker) -> bool {
        w.entry.state == WorkerState::Ready && !w.suspect
    }
}
