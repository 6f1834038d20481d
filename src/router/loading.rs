//! Requests to load: how many may be in progress, the limit on them, and the delay after those without effect.

use super::*;

/// Loads in hand a worker, by all front ends together, at first: workers run few at a time.
pub(super) const LOADS_AT_WORKER: usize = 3;

/// Least time between two orders after one in vain, over all workers that have left nothing since.
pub(super) const VAIN_PACE: Span = SECOND / 20;

/// How often the wait after an order in vain doubles at one place, from half a second.
pub(super) const VAIN_DOUBLES: u32 = 4;

/// How an order ended, after what time, with how many instances.
pub(super) type Told = (Outcome, Span, u32);

/// Loads in hand, and how loads go: their times are over the told time of a load where that is told.
#[derive(Default)]
pub(super) struct Loads {
    pub(super) took: Typical,
    pub(super) out: usize,
    pub(super) window: f64,
    pub(super) next: Time,
    pub(super) next_vain: Time,
    pub(super) vain: bool,
    pub(super) orders: VecDeque<Time>,
}

impl Router {
    /// A load where the function has fewer places than its cap; where siblings may keep it, only once a call
    /// there found it missing.
    pub(super) fn grow(
        &mut self,
        now: Time,
        id: RequestId,
        fid: FunctionId,
        out: &mut Vec<Action>,
    ) {
        let allowed = self.ration(now);
        let (direct, request) = (!self.set.may_order, self.requests.get(&id));
        let room = |w: &Worker| {
            let sendable = !direct || request.is_some_and(|r| self.may_send(r, w, now));
            sendable && !(now < self.loads.next_vain && (w.vain || self.loads.vain))
        };
        let Some(f) = self.functions.get(&fid) else {
            return;
        };
        // EXCEPTION: loads in hand are few over all front ends; a share under one comes in turns of its own.
        // Holds for a release of many functions, a slow store, an empty zone. Harm: loads wait with us then.
        let (window, wait, out_now) = (self.loads.window, self.load_wait(f), self.loads.out);
        let turn =
            (out_now as f64) < window && window >= 1.0 || out_now == 0 && now >= self.loads.next;
        let best = |less: f64, rest: Span| {
            let missed = |id: &WorkerId| {
                f.places
                    .get(id)
                    .and_then(|p| p.missed)
                    .map(|t| now.since(t))
            };
            let fits = |id: &WorkerId| {
                missed(id).map_or(request.is_some() || !self.shared(), |ago| ago >= rest)
            };
            let known = self.gaps(fid, now, less, room).into_iter().filter(fits);
            let own = known
                .filter_map(|id| Some((self.claim(fid, id, self.workers.get(&id)?, true), id)));
            own.max_by(|a, b| a.0.total_cmp(&b.0)).map(|o| o.1)
        };
        let load = if direct || allowed && turn {
            best(1.0, 0)
        } else {
            None
        };
        // EXCEPTION: where a miss would load, what siblings keep is asked for, at no load. Harm: the price.
        let asks = self.set.siblings > 1 && !direct && !self.shared() && load.is_none();
        let ask = || best(1.0, wait).or_else(|| best(0.0, self.set.idle_life));
        let Some(wid) = load.or_else(|| asks.then(ask)?) else {
            return;
        };
        if direct {
            return self.send(now, id, wid, out);
        }
        if self.loads.vain || self.workers.get(&wid).is_some_and(|w| w.vain) {
            self.loads.next_vain = now.plus(VAIN_PACE);
        }
        let p = self
            .functions
            .entry(fid)
            .or_default()
            .places
            .entry(wid)
            .or_default();
        if load.is_some() {
            p.ordered = Some(now);
            self.workers.entry(wid).and_modify(|w| w.trial = false);
            self.loads.out += 1;
            self.loads.orders.push_back(now);
            self.loads.next =
                now.plus((wait as f64 / window.max(1.0 / self.set.siblings as f64)) as Span);
        } else {
            p.missed = Some(now);
        }
        out.push(Action::Load {
            worker: wid,
            function: fid,
            instances: load.is_some() as u32,
        });
    }

    /// How long a load of this function should take now.
    pub(super) fn load_wait(&self, f: &Function) -> Span {
        let mean = self.loads.took.mean;
        let untold = if mean > 0.0 { mean } else { SECOND as f64 };
        let usual = f.told_load.map_or(untold, |t| t as f64 * mean.max(1.0));
        usual.min(self.set.order_timeout as f64).max(SWEEP as f64) as Span
    }

    /// Rule 5: orders in the window, this one included, within the free part and the share of arrivals.
    pub(super) fn ration(&mut self, now: Time) -> bool {
        let period = self.set.ration.map_or(0, |r| r.period);
        let old = self
            .arrivals
            .partition_point(|t| now.since(*t) >= period - self.set.tick);
        self.arrivals.drain(..old);
        let old = self
            .loads
            .orders
            .partition_point(|t| now.since(*t) > period + self.set.tick);
        self.loads.orders.drain(..old);
        let given = self.loads.orders.len() as f64 + 1.0;
        self.set
            .ration
            .is_none_or(|r| given <= r.free + r.part * self.arrivals.len() as f64)
    }

    pub(super) fn on_order(
        &mut self,
        now: Time,
        (wid, fid): (WorkerId, FunctionId),
        told: Told,
        out: &mut Vec<Action>,
    ) {
        let (o, took, n) = told;
        self.on_test(wid, matches!(o, Served | TurnedAway | Error));
        // EXCEPTION: an order counts, from when it left, though its connection ends. Where a miss says so, a
        // call goes and sees; an end at once makes a suspect. Harm: a worker that died costs an attempt.
        let due = o == ConnectionLost && self.shared() && took > self.set.connect_timeout;
        let Some(f) = self.functions.get_mut(&fid) else {
            return;
        };
        let p = f.places.entry(wid).or_default();
        let (left, ordered) = (p.ordered, p.ordered.take().is_some());
        if o != ConnectionLost {
            (p.copies, p.warm, p.told, p.touched) = (n, n > 0, n > 0, now);
            p.missed = p.missed.filter(|_| n == 0);
            p.barred_until = if o == Served {
                now
            } else {
                now.plus(SECOND / 2)
            };
        }
        (p.warm, p.touched) = left
            .filter(|_| due)
            .map_or((p.warm, p.touched), |t| (true, t.max(p.touched)));
        let told_load = f.told_load;
        if n > 0 {
            self.workers.entry(wid).and_modify(|w| w.vain = false);
            self.loads.vain = false;
        } else if o != ConnectionLost && (ordered || o != Served) {
            self.in_vain(now, wid, fid, false);
        }
        self.loads.out -= (ordered && self.loads.out > 0) as usize;
        if ordered && !due && matches!(o, ConnectFailed | ConnectionLost | TimedOut) {
            let gap = if o == TimedOut {
                self.set.connect_timeout
            } else {
                0
            };
            self.workers
                .entry(wid)
                .and_modify(|w| Self::suspect(w, now, gap));
        }
        if ordered && o == Served && took > self.set.connect_timeout {
            self.loads
                .took
                .add(took as f64 / told_load.map_or(1.0, |t| t as f64));
        } else if ordered && o == Served && n > 0 {
            self.loads.next = now; // It stood already: no load was made.
        }
        self.pump(now, fid, out);
    }

    /// EXCEPTION: an order that left no instance, or one told done whose first call missed, bars its place,
    /// from the second in a row for twice as long each time. Workers where that was the last word get their
    /// next orders one by one, and so do all while it was the last word of any. Else one that answers at once
    /// and wrongly is ordered at the loop's speed. Harm: one mended without a restart is found seconds later.
    pub(super) fn in_vain(&mut self, now: Time, wid: WorkerId, fid: FunctionId, missed: bool) {
        let Some(p) = self
            .functions
            .get_mut(&fid)
            .and_then(|f| f.places.get_mut(&wid))
        else {
            return;
        };
        let before = p.vain;
        p.vain = before.saturating_add(1);
        if before > 0 {
            let gap = (SECOND / 2) << (before - 1).min(VAIN_DOUBLES);
            p.barred_until = p.barred_until.max(now.plus(spread(self.seed, now, gap)));
        }
        if before > 0 || !missed {
            (self.loads.next_vain, self.loads.vain) = (now.plus(VAIN_PACE), true);
            self.workers.entry(wid).and_modify(|w| w.vain = true);
        }
    }
}
