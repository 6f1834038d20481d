//! What is believed to be loaded where: instances of functions, whether they can be used, and how many are needed.

use super::*;

/// A place takes at least so many calls at a time, however little the workers carry.
pub(super) const LEAST_PLACE: f64 = 0.5;

/// Part of the idle life after which a belief lapses: the rest covers travel and late sweeps.
pub(super) const LAPSE: f64 = 0.9;

/// What this front end believes of one function at one worker.
#[derive(Default)]
pub(super) struct Place {
    pub(super) warm: bool,
    pub(super) copies: u32,
    pub(super) in_flight: u32,
    pub(super) last_send: Option<Time>,
    pub(super) touched: Time,
    pub(super) ordered: Option<Time>,
    /// When a call there found it missing, or it was asked for, since it last stood.
    pub(super) missed: Option<Time>,
    pub(super) barred_until: Time,
    /// Told by an order that it stands, and no call has been served there since.
    pub(super) told: bool,
    /// Orders in vain in a row.
    pub(super) vain: u32,
}

#[derive(Default)]
pub(super) struct Function {
    pub(super) lanes: u32,
    pub(super) told_load: Option<Span>,
    pub(super) class: usize,
    pub(super) service: Option<f64>,
    pub(super) mean_hint: f64,
    pub(super) calls: Recent,
    /// How many places it needs, by the calls of all front ends that answers tell of.
    pub(super) width: f64,
    pub(super) places: BTreeMap<WorkerId, Place>,
    pub(super) line: BTreeSet<Turn>,
    /// Those of its line that were sent before: whether they may be again changes with time.
    pub(super) again: BTreeSet<Turn>,
    /// The largest hint in its line, since it was last empty.
    pub(super) heaviest: Span,
    /// The workers by this function's claim at strength one, as of one reading of the list.
    pub(super) order: RefCell<(u64, Vec<(f64, WorkerId)>)>,
}

impl Router {
    /// Its places with their workers.
    pub(super) fn seats<'a>(
        &'a self,
        f: &'a Function,
    ) -> impl Iterator<Item = (WorkerId, &'a Place, &'a Worker)> {
        f.places
            .iter()
            .filter_map(|(id, p)| Some((*id, p, self.workers.get(id)?)))
    }

    pub(super) fn alive(&self, w: &Worker, p: &Place, now: Time) -> bool {
        let reborn = w.entry.started.is_some_and(|t| t > p.touched);
        let fresh = now.since(p.touched) < (self.set.idle_life as f64 * LAPSE) as Span;
        p.warm && !reborn && (p.in_flight > 0 || fresh)
    }

    /// Silent for long, or at rest for it: it does not count as a place, so that another may be loaded.
    pub(super) fn stuck(&self, w: &Worker, p: &Place, now: Time) -> bool {
        let last = p.last_send.map_or(p.touched, |t| t.max(p.touched));
        let silent =
            p.in_flight > 0 && now.since(last) as f64 > PATIENCE / 2.0 * self.answer_time();
        let bad = Self::rest(w, self.service(0), now) > self.answer_time();
        now < p.barred_until || silent || bad
    }

    /// Whether siblings are likely to keep instances that a call finds for the asking.
    pub(super) fn shared(&self) -> bool {
        self.set.siblings > 1 && self.set.may_order && self.set.when_absent == WhenAbsent::Miss
    }

    /// Calls that one place takes at a time: its lanes, but no more than a worker's usual load, by all.
    pub(super) fn takes(&self, f: &Function, now: Time) -> f64 {
        let all = self.work.sum / self.filled(now) * self.set.siblings as f64 * self.shares;
        (all / self.ready.max(1.0))
            .max(LEAST_PLACE)
            .min(f.lanes as f64)
    }

    /// How many places a function may have: by the crowds told, else by its calls and each sibling's.
    /// Loads go by one place less, or by the calls before the one just here: presuming costs little.
    pub(super) fn cap(&self, f: &Function, now: Time, less: f64) -> usize {
        if self.set.tells_crowd && self.shared() {
            return (f.width.max(1.0) - less) as usize + 1;
        }
        let service = f.service.unwrap_or(self.service(f.class));
        let each = service * self.set.siblings as f64 / self.filled(now) / self.takes(f, now);
        1 + ((f.calls.sum - less).max(0.0) * each) as usize
    }
}
