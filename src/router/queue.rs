//! Calls that wait: their order, their deadlines, and the shedding of those that are too late.

use super::*;

/// Functions that one look serves at most.
pub(super) const FUNCTIONS_PER_CHECK: usize = 128;

/// A held call's place in its function's line: rank, aim.
pub(super) type QueueKey = (u8, Time, RequestId);

impl Router {
    /// EXCEPTION (rule 1): what can't be held until the next sweep is answered at once, also what comes with
    /// no time left, as after a stall of ours. A pending attempt may answer until the very end.
    pub(super) fn answer_overdue(&mut self, now: Time, out: &mut Vec<Action>) {
        let soon = now.plus(2 * self.settings.tick + CHECK_INTERVAL);
        let due = self.deadlines.range(..(soon, RequestId(u64::MAX)));
        let over = due
            .filter(|(at, id)| *at <= now || self.requests.get(id).is_some_and(|r| !r.pending()));
        over.map(|k| k.1)
            .collect::<Vec<_>>()
            .into_iter()
            .for_each(|id| self.answer_unserved(id, out));
    }

    pub(super) fn dequeue(&mut self, id: RequestId) {
        let Some(r) = self.requests.get_mut(&id) else {
            return;
        };
        let (Some(turn), Some(f)) = (r.queue_key.take(), self.functions.get_mut(&r.function))
        else {
            return;
        };
        f.queue.remove(&turn);
        f.queued_retries.remove(&turn);
        if f.queue.is_empty() {
            f.largest_queued_hint = 0;
            self.functions_waiting.remove(&r.function);
        }
    }

    pub(super) fn enqueue(&mut self, id: RequestId, now: Time) {
        self.dequeue(id);
        let Some(r) = self.requests.get(&id) else {
            return;
        };
        let late = now
            .since(r.objective_at)
            .saturating_add(self.expected_service(r).0 as Span)
            > 0;
        let (turn, function_id) = ((2 * late as u8, r.objective_at, id), r.function);
        if let (Some(r), Some(f)) = (
            self.requests.get_mut(&id),
            self.functions.get_mut(&function_id),
        ) {
            r.queue_key = Some(turn);
            f.queue.insert(turn);
            f.largest_queued_hint = f.largest_queued_hint.max(r.work_hint.unwrap_or(0));
            f.queued_retries
                .extend((!r.attempts.is_empty()).then_some(turn));
            self.functions_waiting.insert(function_id);
        }
    }

    /// Serves a function's line as far as its places go, and loads where they do not.
    pub(super) fn dispatch_queue(
        &mut self,
        now: Time,
        function_id: FunctionId,
        out: &mut Vec<Action>,
    ) {
        let mut after = (0, Time(i64::MIN), RequestId(0));
        let mut sent = false;
        while let Some(turn) = self
            .functions
            .get(&function_id)
            .and_then(|f| f.queue.range(after..).next().copied())
        {
            let Some(r) = self.requests.get(&turn.2) else {
                break;
            };
            let fresh = r.attempts.is_empty();
            if let Some(w) = self.select_worker(r, now) {
                self.send(now, turn.2, w, out);
                sent = true;
            } else {
                self.load_more(now, turn.2, function_id, out);
                // What a repeat may not do, the next one may; what a first try can't, none can.
                if fresh {
                    return;
                }
            }
            after = (turn.0, turn.1, RequestId(turn.2 .0.saturating_add(1)));
        }
        if sent && self.settings.may_order {
            self.load_more(now, RequestId(u64::MAX), function_id, out);
        }
    }

    /// Those of a function's line that a sweep may find late, lost or not to be sent again, in their order. A
    /// first try whose aim is further off than any answer takes is none of these.
    pub(super) fn calls_to_check(&self, function_id: FunctionId, now: Time) -> Vec<QueueKey> {
        let Some(f) = self.functions.get(&function_id) else {
            return Vec::new();
        };
        let slowest = (0..self.settings.classes.len())
            .map(|c| self.service_time(c))
            .fold(0.0, f64::max);
        let heavy = if f.mean_work_hint > 0.0 {
            f.largest_queued_hint as f64 / f.mean_work_hint
        } else {
            1.0
        };
        let longest =
            (f.service_time.unwrap_or(slowest) * heavy.max(1.0)).max(self.usual_answer_time());
        let near = (
            0,
            now.plus((longest as Span).saturating_add(2)),
            RequestId(u64::MAX),
        );
        let mut turns: Vec<QueueKey> = f.queue.range(..=near).copied().collect();
        turns.extend(
            f.queued_retries
                .range((Excluded(near), Excluded((2, Time(i64::MIN), RequestId(0))))),
        );
        turns.extend(f.queue.range((2, Time(i64::MIN), RequestId(0))..));
        turns
    }
}
