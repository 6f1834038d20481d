//! What is believed to be loaded where: instances of functions, whether they can be used, and how many are needed.

use super::*;

/// A place takes at least so many calls at a time, however little the workers carry.
pub(super) const MIN_INSTANCE_CAPACITY: f64 = 0.5;

/// Part of the idle life after which a belief lapses: the rest covers travel and late sweeps.
pub(super) const TRUSTED_IDLE_LIFE: f64 = 0.9;

/// What this front end believes of one function at one worker.
#[derive(Default)]
pub(super) struct Instance {
    pub(super) warm: bool,
    pub(super) count: u32,
    pub(super) in_flight: u32,
    pub(super) last_send: Option<Time>,
    pub(super) last_evidence: Time,
    pub(super) load_requested: Option<Time>,
    /// When a call there found it missing, or it was asked for, since it last stood.
    pub(super) missed_at: Option<Time>,
    pub(super) excluded_until: Time,
    /// Told by an order that it stands, and no call has been served there since.
    pub(super) load_unconfirmed: bool,
    /// Orders in vain in a row.
    pub(super) ineffective_loads: u32,
}

#[derive(Default)]
pub(super) struct Function {
    pub(super) lanes: u32,
    pub(super) stated_load_time: Option<Span>,
    pub(super) class: usize,
    pub(super) service_time: Option<f64>,
    pub(super) mean_work_hint: f64,
    pub(super) recent_calls: DecayingSum,
    /// How many places it needs, by the calls of all front ends that answers tell of.
    pub(super) estimated_instances: f64,
    pub(super) instances: BTreeMap<WorkerId, Instance>,
    pub(super) queue: BTreeSet<QueueKey>,
    /// Those of its line that were sent before: whether they may be again changes with time.
    pub(super) queued_retries: BTreeSet<QueueKey>,
    /// The largest hint in its line, since it was last empty.
    pub(super) largest_queued_hint: Span,
    /// The workers by this function's claim at strength one, as of one reading of the list.
    pub(super) affinity_order: RefCell<(u64, Vec<(f64, WorkerId)>)>,
}

impl Router {
    /// Its places with their workers.
    pub(super) fn instances_with_workers<'a>(
        &'a self,
        f: &'a Function,
    ) -> impl Iterator<Item = (WorkerId, &'a Instance, &'a Worker)> {
        f.instances
            .iter()
            .filter_map(|(id, p)| Some((*id, p, self.workers.get(id)?)))
    }

    pub(super) fn is_warm(&self, w: &Worker, p: &Instance, now: Time) -> bool {
        let reborn = w.entry.started.is_some_and(|t| t > p.last_evidence);
        let fresh = now.since(p.last_evidence)
            < (self.settings.idle_life as f64 * TRUSTED_IDLE_LIFE) as Span;
        p.warm && !reborn && (p.in_flight > 0 || fresh)
    }

    /// Silent for long, or at rest for it: it does not count as a place, so that another may be loaded.
    pub(super) fn is_unresponsive(&self, w: &Worker, p: &Instance, now: Time) -> bool {
        let last = p
            .last_send
            .map_or(p.last_evidence, |t| t.max(p.last_evidence));
        let silent = p.in_flight > 0
            && now.since(last) as f64 > SILENCE_THRESHOLD / 2.0 * self.usual_answer_time();
        let bad = Self::pacing_delay(w, self.service_time(0), now) > self.usual_answer_time();
        now < p.excluded_until || silent || bad
    }

    /// Whether siblings are likely to keep instances that a call finds for the asking.
    pub(super) fn siblings_may_have_loaded(&self) -> bool {
        self.settings.siblings > 1
            && self.settings.may_order
            && self.settings.when_absent == WhenAbsent::Miss
    }

    /// Calls that one place takes at a time: its lanes, but no more than a worker's usual load, by all.
    pub(super) fn instance_capacity(&self, f: &Function, now: Time) -> f64 {
        let all = self.recent_work.sum / self.observed_window(now)
            * self.settings.siblings as f64
            * self.total_share;
        (all / self.ready_count.max(1.0))
            .max(MIN_INSTANCE_CAPACITY)
            .min(f.lanes as f64)
    }

    /// How many places a function may have: by the crowds told, else by its calls and each sibling's.
    /// Loads go by one place less, or by the calls before the one just here: presuming costs little.
    pub(super) fn instance_cap(&self, f: &Function, now: Time, less: f64) -> usize {
        if self.settings.tells_crowd && self.siblings_may_have_loaded() {
            return (f.estimated_instances.max(1.0) - less) as usize + 1;
        }
        let service = f.service_time.unwrap_or(self.service_time(f.class));
        let each = service * self.settings.siblings as f64
            / self.observed_window(now)
            / self.instance_capacity(f, now);
        1 + ((f.recent_calls.sum - less).max(0.0) * each) as usize
    }
}
