//! Calls that wait: their order, their deadlines, and the shedding of those that are too late.

use super::*;

/// Functions that one look serves at most.
pub(super) const SWEPT: usize = 128;

/// A held call's place in its function's line: rank, aim.
pub(super) type Turn = (u8, Time, RequestId);

impl Router {
    /// EXCEPTION (rule 1): what can't be held until the next sweep is answered at once, also what comes with
    /// no time left, as after a stall of ours. A pending attempt may answer until the very end.
    pub(super) fn answer_due(&mut self, now: Time, out: &mut Vec<Action>) {
        let soon = now.plus(2 * self.set.tick + SWEEP);
        let due = self.deadlines.range(..(soon, RequestId(u64::MAX)));
        let over = due
            .filter(|(at, id)| *at <= now || self.requests.get(id).is_some_and(|r| !r.pending()));
        over.map(|k| k.1)
            .collect::<Vec<_>>()
            .into_iter()
            .for_each(|id| self.finish(id, out));
    }

    pub(super) fn unline(&mut self, id: RequestId) {
        let Some(r) = self.requests.get_mut(&id) else {
            return;
        };
        let (Some(turn), Some(f)) = (r.line.take(), self.functions.get_mut(&r.function)) else {
            return;
        };
        f.line.remove(&turn);
        f.again.remove(&turn);
        if f.line.is_empty() {
            f.heaviest = 0;
            self.waiting.remove(&r.function);
        }
    }

    pub(super) fn enline(&mut self, id: RequestId, now: Time) {
        self.unline(id);
        let Some(r) = self.requests.get(&id) else {
            return;
        };
        let late = now
            .since(r.aim_at)
            .saturating_add(self.expected(r).0 as Span)
            > 0;
        let (turn, fid) = ((2 * late as u8, r.aim_at, id), r.function);
        if let (Some(r), Some(f)) = (self.requests.get_mut(&id), self.functions.get_mut(&fid)) {
            r.line = Some(turn);
            f.line.insert(turn);
            f.heaviest = f.heaviest.max(r.hint.unwrap_or(0));
            f.again.extend((!r.attempts.is_empty()).then_some(turn));
            self.waiting.insert(fid);
        }
    }

    /// Serves a function's line as far as its places go, and loads where they do not.
    pub(super) fn pump(&mut self, now: Time, fid: FunctionId, out: &mut Vec<Action>) {
        let mut after = (0, Time(i64::MIN), RequestId(0));
        let mut sent = false;
        while let Some(turn) = self
            .functions
            .get(&fid)
            .and_then(|f| f.line.range(after..).next().copied())
        {
            let Some(r) = self.requests.get(&turn.2) else {
                break;
            };
            let fresh = r.attempts.is_empty();
            if let Some(w) = self.pick(r, now) {
                self.send(now, turn.2, w, out);
                sent = true;
            } else {
                self.grow(now, turn.2, fid, out);
                // What a repeat may not do, the next one may; what a first try can't, none can.
                if fresh {
                    return;
                }
            }
            after = (turn.0, turn.1, RequestId(turn.2 .0.saturating_add(1)));
        }
        if sent && self.set.may_order {
            self.grow(now, RequestId(u64::MAX), fid, out);
        }
    }

    /// Those of a function's line that a sweep may find late, lost or not to be sent again, in their order. A
    /// first try whose aim is further off than any answer takes is none of these.
    pub(super) fn looked_over(&self, fid: FunctionId, now: Time) -> Vec<Turn> {
        let Some(f) = self.functions.get(&fid) else {
            return Vec::new();
        };
        let slowest = (0..self.set.classes.len())
            .map(|c| self.service(c))
            .fold(0.0, f64::max);
        let heavy = if f.mean_hint > 0.0 {
            f.heaviest as f64 / f.mean_hint
        } else {
            1.0
        };
        let longest = (f.service.unwrap_or(slowest) * heavy.max(1.0)).max(self.answer_time());
        let near = (
            0,
            now.plus((longest as Span).saturating_add(2)),
            RequestId(u64::MAX),
        );
        let mut turns: Vec<Turn> = f.line.range(..=near).copied().collect();
        turns.extend(
            f.again
                .range((Excluded(near), Excluded((2, Time(i64::MIN), RequestId(0))))),
        );
        turns.extend(f.line.range((2, Time(i64::MIN), RequestId(0))..));
        turns
    }
}
