//! Client requests from arrival to their final answer.

use super::*;

pub(super) struct Attempt {
    pub(super) worker: WorkerEntry,
    pub(super) sent_at: Time,
    /// Whether it may have run, once that is known.
    pub(super) may_have_run: Option<bool>,
}

#[derive(Default)]
pub(super) struct Request {
    pub(super) class: usize,
    pub(super) function: FunctionId,
    pub(super) objective_at: Time,
    pub(super) deadline: Time,
    pub(super) work_hint: Option<Span>,
    pub(super) attempts: Vec<Attempt>,
    pub(super) streaming: bool,
    pub(super) concluded: bool,
    pub(super) queue_key: Option<QueueKey>,
}

impl Request {
    pub(super) fn pending(&self) -> bool {
        self.attempts.iter().any(|a| a.may_have_run.is_none())
    }
}

impl Router {
    pub(super) fn answer_unserved(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get(&id).filter(|r| !r.concluded) else {
            return;
        };
        let refuse = Action::Refuse {
            request: id,
            stay_away: 0,
        };
        out.push(if self.may_refuse(r) {
            refuse
        } else {
            Action::Fail { request: id }
        });
        self.close_request(id);
    }

    pub(super) fn close_request(&mut self, id: RequestId) {
        self.dequeue(id);
        if let Some(r) = self.requests.get_mut(&id) {
            r.concluded = true;
            self.deadlines.remove(&(r.deadline, id));
            if !r.pending() {
                self.requests.remove(&id);
            }
        }
    }

    pub(super) fn on_arrival(&mut self, now: Time, a: Arrival, out: &mut Vec<Action>) {
        if self.requests.contains_key(&a.request) {
            return;
        }
        let class = a.class.min(self.settings.classes.len() - 1);
        self.recent_arrivals
            .extend((self.settings.ration.is_some() && self.settings.may_order).then_some(now));
        let memory = self.rate_window();
        let f = self.functions.entry(a.function).or_default();
        f.lanes = a.lanes.max(1);
        f.stated_load_time = a.load_time.filter(|t| *t > 0);
        f.class = class;
        f.recent_calls.add(now, 1.0, memory);
        let hint = a.work_hint.filter(|h| *h > 0);
        if let Some(h) = hint {
            f.mean_work_hint += if f.mean_work_hint == 0.0 {
                h as f64
            } else {
                SMOOTHING * (h as f64 - f.mean_work_hint)
            };
        }
        let c = &self.settings.classes[class];
        let aim = c
            .aim
            .saturating_add((c.aim_stretch * hint.unwrap_or(0) as f64) as Span);
        let deadline = now.plus(a.budget.max(0));
        let aim_at = now.plus(aim.min(c.deadline)).min(deadline);
        let r = Request {
            class,
            function: a.function,
            objective_at: aim_at,
            deadline,
            work_hint: hint,
            ..Request::default()
        };
        self.requests.insert(a.request, r);
        self.deadlines.insert((deadline, a.request));
        self.enqueue(a.request, now);
        self.dispatch_queue(now, a.function, out);
    }
}
