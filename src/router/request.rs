//! Client requests from arrival to their final answer.

use super::*;

pub(super) struct Attempt {
    pub(super) to: WorkerEntry,
    pub(super) sent: Time,
    /// Whether it may have run, once that is known.
    pub(super) ran: Option<bool>,
}

#[derive(Default)]
pub(super) struct Request {
    pub(super) class: usize,
    pub(super) function: FunctionId,
    pub(super) aim_at: Time,
    pub(super) deadline: Time,
    pub(super) hint: Option<Span>,
    pub(super) attempts: Vec<Attempt>,
    pub(super) streaming: bool,
    pub(super) concluded: bool,
    pub(super) line: Option<Turn>,
}

impl Request {
    pub(super) fn pending(&self) -> bool {
        self.attempts.iter().any(|a| a.ran.is_none())
    }
}

impl Router {
    pub(super) fn finish(&mut self, id: RequestId, out: &mut Vec<Action>) {
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
        self.conclude(id);
    }

    pub(super) fn conclude(&mut self, id: RequestId) {
        self.unline(id);
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
        let class = a.class.min(self.set.classes.len() - 1);
        self.arrivals
            .extend((self.set.ration.is_some() && self.set.may_order).then_some(now));
        let memory = self.memory();
        let f = self.functions.entry(a.function).or_default();
        f.lanes = a.lanes.max(1);
        f.told_load = a.load_time.filter(|t| *t > 0);
        f.class = class;
        f.calls.add(now, 1.0, memory);
        let hint = a.work_hint.filter(|h| *h > 0);
        if let Some(h) = hint {
            f.mean_hint += if f.mean_hint == 0.0 {
                h as f64
            } else {
                GAIN * (h as f64 - f.mean_hint)
            };
        }
        let c = &self.set.classes[class];
        let aim = c
            .aim
            .saturating_add((c.aim_stretch * hint.unwrap_or(0) as f64) as Span);
        let deadline = now.plus(a.budget.max(0));
        let aim_at = now.plus(aim.min(c.deadline)).min(deadline);
        let r = Request {
            class,
            function: a.function,
            aim_at,
            deadline,
            hint,
            ..Request::default()
        };
        self.requests.insert(a.request, r);
        self.deadlines.insert((deadline, a.request));
        self.enline(a.request, now);
        self.pump(now, a.function, out);
    }
}
