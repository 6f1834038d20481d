//! The mechanism: which warm instance serves a call, and the workers that a function belongs on.

use super::*;

impl Router {
    /// How much of a function belongs at a worker: the same order at every front end, or an own one of each.
    pub(super) fn claim(&self, f: FunctionId, id: WorkerId, w: &Worker, own: bool) -> f64 {
        rendezvous(
            if own {
                FunctionId(mix(f.0 ^ self.set.me as u64))
            } else {
                f
            },
            id,
            self.strength(w),
        )
    }

    /// The gate of rules 1 and 2 for every send, with the room and health of the worker.
    pub(super) fn may_send(&self, r: &Request, w: &Worker, now: Time) -> bool {
        let owed = !r.concluded && !r.streaming && now < r.deadline && !r.pending();
        let safe = self.set.classes[r.class].effect == Effect::Safe;
        let trial = w.entry.state == WorkerState::Ready && w.suspect && w.trial && safe;
        let weight = self.service(r.class);
        owed && (Self::open(w) || trial)
            && (w.in_flight as f64) < w.limit.max(1.0)
            && Self::rest(w, weight, now) <= 0.0
            && self.cold_credit(w, weight, now).is_none_or(|c| c >= weight)
            && self.repeatable(r, Some(&w.entry), now)
    }

    /// The mechanism: the least recently used of the warm places with a free lane. A call about to miss its
    /// aim is held like any other: sent on to a queue it made others late too.
    /// EXCEPTION: what belongs at a home place is presumed kept there by the siblings until an answer says
    /// otherwise; asking first would cost a probe of each front end for each function. Harm: a call that is
    /// not served there has lost one attempt and the time of the way.
    pub(super) fn pick(&self, r: &Request, now: Time) -> Option<WorkerId> {
        let f = self.functions.get(&r.function)?;
        let lane =
            |p: &Place| p.warm && p.in_flight < p.copies.max(1) * f.lanes && now >= p.barred_until;
        let free = self
            .seats(f)
            .filter(|(_, p, w)| lane(p) && self.alive(w, p, now))
            .map(|s| s.0);
        let spare = self.shared() && r.attempts.len() + 2 < self.set.max_attempts as usize;
        let kept = if spare {
            self.gaps(r.function, now, 0.0, |_| true)
        } else {
            Vec::new()
        };
        let missed = |p: &Place| {
            p.missed
                .is_some_and(|t| now.since(t) < 3 * self.load_wait(f))
        };
        let kept = kept
            .into_iter()
            .filter(|id| !f.places.get(id).is_some_and(missed));
        let aged = free.chain(kept).filter_map(|id| {
            let w = self.workers.get(&id).filter(|w| self.may_send(r, w, now))?;
            let unused = || (1, self.claim(r.function, id, w, true));
            let last = f.places.get(&id).and_then(|p| p.last_send);
            Some((
                last.map_or_else(unused, |t| (0, now.since(t) as f64 * self.strength(w))),
                id,
            ))
        });
        aged.max_by(|a, b| a.0 .0.cmp(&b.0 .0).then(a.0 .1.total_cmp(&b.0 .1)))
            .map(|(_, w)| w)
    }

    /// Where a function with fewer places than its cap may get one: at home, on workers that all front ends
    /// name for it (rendezvous hashing over function and worker, weighted by size).
    pub(super) fn gaps(
        &self,
        fid: FunctionId,
        now: Time,
        less: f64,
        room: impl Fn(&Worker) -> bool,
    ) -> Vec<WorkerId> {
        let Some(f) = self.functions.get(&fid) else {
            return Vec::new();
        };
        let (cap, wait) = (self.cap(f, now, less), self.load_wait(f));
        let ordered = |p: &Place| p.ordered.is_some_and(|t| now.since(t) < 3 * wait);
        let taken = |w: &Worker, p: &Place| self.alive(w, p, now) || ordered(p);
        let weight = self.service(f.class);
        let able = |w: &Worker| {
            !self.shared() || self.cold_credit(w, weight, now).is_none_or(|c| c >= weight)
        };
        let has = |w: &Worker, p: &Place| {
            Self::open(w) && !self.stuck(w, p, now) && taken(w, p) && able(w)
        };
        let have = self
            .seats(f)
            .filter(|(_, p, w)| has(w, p))
            .take(cap)
            .count();
        if have >= cap || have as f64 >= self.ready {
            return Vec::new();
        }
        let out =
            |w: &Worker, p: &Place| self.stuck(w, p, now) || p.ordered.is_some() && !taken(w, p);
        let at = |id: &WorkerId, so: &dyn Fn(&Worker, &Place) -> bool| {
            self.workers
                .get(id)
                .zip(f.places.get(id))
                .is_some_and(|(w, p)| so(w, p))
        };
        let may = |id: &WorkerId, w: &Worker| {
            (!w.suspect || w.trial) && able(w) && room(w) && !at(id, &out)
        };
        self.home(fid, cap, may)
            .into_iter()
            .filter(|id| !at(id, &taken))
            .collect()
    }

    /// The highest claims of a function, so many, among the workers that may have it. Strength is little more
    /// than one for most, so that the order at strength one ends the search early; it changes nothing.
    pub(super) fn home(
        &self,
        fid: FunctionId,
        size: usize,
        may: impl Fn(&WorkerId, &Worker) -> bool,
    ) -> Vec<WorkerId> {
        let Some(f) = self.functions.get(&fid) else {
            return Vec::new();
        };
        let mut order = f.order.borrow_mut();
        if order.0 != self.readings {
            let ranked = self.ready().map(|(id, _)| (rendezvous(fid, *id, 1.0), *id));
            *order = (self.readings, ranked.collect());
            order.1.sort_by(|a, b| b.0.total_cmp(&a.0));
        }
        let strongest = self.largest / self.quickest * 1.000_001;
        let mut home: Vec<(f64, WorkerId)> = Vec::new();
        for &(claim, id) in &order.1 {
            if home.len() >= size && home.last().is_some_and(|l| l.0 > claim * strongest) {
                break;
            }
            let Some(w) = self.workers.get(&id).filter(|w| may(&id, w)) else {
                continue;
            };
            let own = (self.claim(fid, id, w, false), id);
            let at = home.partition_point(|h| h.0 > own.0 || h.0 == own.0 && h.1 < own.1);
            home.insert(at, own);
            home.truncate(size);
        }
        home.into_iter().map(|h| h.1).collect()
    }
}
