//! The mechanism: which warm instance serves a call, and the workers that a function belongs on.

use super::*;

impl Router {
    /// How much of a function belongs at a worker: the same order at every front end, or an own one of each.
    pub(super) fn affinity(&self, f: FunctionId, id: WorkerId, w: &Worker, own: bool) -> f64 {
        rendezvous(
            if own {
                FunctionId(mix(f.0 ^ self.settings.me as u64))
            } else {
                f
            },
            id,
            self.capacity_weight(w),
        )
    }

    /// The gate of rules 1 and 2 for every send, with the room and health of the worker.
    pub(super) fn may_send(&self, r: &Request, w: &Worker, now: Time) -> bool {
        let owed = !r.concluded && !r.streaming && now < r.deadline && !r.pending();
        let safe = self.settings.classes[r.class].effect == Effect::Safe;
        let trial = w.entry.state == WorkerState::Ready && w.suspect && w.trial_allowed && safe;
        let weight = self.service_time(r.class);
        owed && (Self::accepts_work(w) || trial)
            && (w.in_flight as f64) < w.concurrency_limit.max(1.0)
            && Self::pacing_delay(w, weight, now) <= 0.0
            && self
                .slow_start_credit(w, weight, now)
                .is_none_or(|c| c >= weight)
            && self.may_attempt_again(r, Some(&w.entry), now)
    }

    /// The mechanism: the least recently used of the warm places with a free lane. A call about to miss its
    /// aim is held like any other: sent on to a queue it made others late too.
    /// EXCEPTION: what belongs at a home place is presumed kept there by the siblings until an answer says
    /// otherwise; asking first would cost a probe of each front end for each function. Harm: a call that is
    /// not served there has lost one attempt and the time of the way.
    pub(super) fn select_worker(&self, r: &Request, now: Time) -> Option<WorkerId> {
        let f = self.functions.get(&r.function)?;
        let lane = |p: &Instance| {
            p.warm && p.in_flight < p.count.max(1) * f.lanes && now >= p.excluded_until
        };
        let free = self
            .instances_with_workers(f)
            .filter(|(_, p, w)| lane(p) && self.is_warm(w, p, now))
            .map(|s| s.0);
        let spare = self.siblings_may_have_loaded()
            && r.attempts.len() + 2 < self.settings.max_attempts as usize;
        let kept = if spare {
            self.missing_instances(r.function, now, 0.0, |_| true)
        } else {
            Vec::new()
        };
        let missed = |p: &Instance| {
            p.missed_at
                .is_some_and(|t| now.since(t) < 3 * self.expected_load_time(f))
        };
        let kept = kept
            .into_iter()
            .filter(|id| !f.instances.get(id).is_some_and(missed));
        let aged = free.chain(kept).filter_map(|id| {
            let w = self.workers.get(&id).filter(|w| self.may_send(r, w, now))?;
            let unused = || (1, self.affinity(r.function, id, w, true));
            let last = f.instances.get(&id).and_then(|p| p.last_send);
            Some((
                last.map_or_else(unused, |t| {
                    (0, now.since(t) as f64 * self.capacity_weight(w))
                }),
                id,
            ))
        });
        aged.max_by(|a, b| a.0 .0.cmp(&b.0 .0).then(a.0 .1.total_cmp(&b.0 .1)))
            .map(|(_, w)| w)
    }

    /// Where a function with fewer places than its cap may get one: at home, on workers that all front ends
    /// name for it (rendezvous hashing over function and worker, weighted by size).
    pub(super) fn missing_instances(
        &self,
        function_id: FunctionId,
        now: Time,
        less: f64,
        room: impl Fn(&Worker) -> bool,
    ) -> Vec<WorkerId> {
        let Some(f) = self.functions.get(&function_id) else {
            return Vec::new();
        };
        let (cap, wait) = (self.instance_cap(f, now, less), self.expected_load_time(f));
        let ordered = |p: &Instance| p.load_requested.is_some_and(|t| now.since(t) < 3 * wait);
        let taken = |w: &Worker, p: &Instance| self.is_warm(w, p, now) || ordered(p);
        let weight = self.service_time(f.class);
        let able = |w: &Worker| {
            !self.siblings_may_have_loaded()
                || self
                    .slow_start_credit(w, weight, now)
                    .is_none_or(|c| c >= weight)
        };
        let has = |w: &Worker, p: &Instance| {
            Self::accepts_work(w) && !self.is_unresponsive(w, p, now) && taken(w, p) && able(w)
        };
        let have = self
            .instances_with_workers(f)
            .filter(|(_, p, w)| has(w, p))
            .take(cap)
            .count();
        if have >= cap || have as f64 >= self.ready_count {
            return Vec::new();
        }
        let out = |w: &Worker, p: &Instance| {
            self.is_unresponsive(w, p, now) || p.load_requested.is_some() && !taken(w, p)
        };
        let at = |id: &WorkerId, so: &dyn Fn(&Worker, &Instance) -> bool| {
            self.workers
                .get(id)
                .zip(f.instances.get(id))
                .is_some_and(|(w, p)| so(w, p))
        };
        let may = |id: &WorkerId, w: &Worker| {
            (!w.suspect || w.trial_allowed) && able(w) && room(w) && !at(id, &out)
        };
        self.preferred_workers(function_id, cap, may)
            .into_iter()
            .filter(|id| !at(id, &taken))
            .collect()
    }

    /// The highest claims of a function, so many, among the workers that may have it. Strength is little more
    /// than one for most, so that the order at strength one ends the search early; it changes nothing.
    pub(super) fn preferred_workers(
        &self,
        function_id: FunctionId,
        size: usize,
        may: impl Fn(&WorkerId, &Worker) -> bool,
    ) -> Vec<WorkerId> {
        let Some(f) = self.functions.get(&function_id) else {
            return Vec::new();
        };
        let mut order = f.affinity_order.borrow_mut();
        if order.0 != self.configuration_revision {
            let ranked = self
                .ready_workers()
                .map(|(id, _)| (rendezvous(function_id, *id, 1.0), *id));
            *order = (self.configuration_revision, ranked.collect());
            order.1.sort_by(|a, b| b.0.total_cmp(&a.0));
        }
        let strongest = self.largest_share / self.lowest_slowness * 1.000_001;
        let mut home: Vec<(f64, WorkerId)> = Vec::new();
        for &(claim, id) in &order.1 {
            if home.len() >= size && home.last().is_some_and(|l| l.0 > claim * strongest) {
                break;
            }
            let Some(w) = self.workers.get(&id).filter(|w| may(&id, w)) else {
                continue;
            };
            let own = (self.affinity(function_id, id, w, false), id);
            let at = home.partition_point(|h| h.0 > own.0 || h.0 == own.0 && h.1 < own.1);
            home.insert(at, own);
            home.truncate(size);
        }
        home.into_iter().map(|h| h.1).collect()
    }
}
