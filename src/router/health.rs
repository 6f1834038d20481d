//! Suspicion of workers that are silent or lose connections, and the probes that clear them.

use super::*;

/// Silence of a worker that is a symptom, in usual answer times summed over the calls that wait there.
pub(super) const PATIENCE: f64 = 10.0;

impl Router {
    /// EXCEPTION: a lost connection (no gap) says little of a worker whose next one answers: tested at once,
    /// that clears it, unless no call was answered since the last. Harm: one that cuts often is given calls.
    pub(super) fn suspect(w: &mut Worker, now: Time, gap: Span) {
        if !w.suspect {
            (w.suspect, w.trial) = (true, false);
            (w.mute, w.since) = (gap > 0 || w.heard <= w.since, now);
            (w.test_gap, w.next_test) = (gap.max(SWEEP), now.plus(gap.max(SWEEP)));
        }
    }

    pub(super) fn on_test(&mut self, wid: WorkerId, heard: bool) {
        let told = |w: &mut Worker| {
            (w.suspect, w.trial) = (w.suspect && (w.mute || !heard), w.trial || heard)
        };
        self.workers.entry(wid).and_modify(told);
    }

    /// Looks for workers that answer nothing though their peers do, tests the suspects, and frees from them
    /// the calls that may be repeated.
    pub(super) fn watch(&mut self, now: Time, out: &mut Vec<Action>) {
        let unit = self.answer_time();
        // The evidence adds up over all that waits there: one long call alone proves little, several that all
        // keep silent prove more. A call that was already taken from one suspect counts less.
        let silent = |w: &Worker| {
            let evidence = w.out.iter().filter_map(|(sent, id)| {
                let r = self.requests.get(id)?;
                let age = now.since((*sent).max(w.heard)) as f64;
                // EXCEPTION: silence shorter than our own looks is none: with many fast calls out, answers
                // wait unread that long. Harm: a worker silent for very short calls is found a look later.
                (age > SWEEP as f64)
                    .then(|| age / unit.max(self.expected(r).0) / r.attempts.len().max(1) as f64)
            });
            evidence.sum::<f64>() > PATIENCE
        };
        let found = self
            .workers
            .iter()
            .filter(|(_, w)| !w.suspect && !w.out.is_empty() && silent(w));
        for id in found.map(|(id, _)| *id).collect::<Vec<_>>() {
            self.workers
                .entry(id)
                .and_modify(|w| Self::suspect(w, now, unit as Span));
        }
        // All tests together are paced, the longest due first: a lost zone would cost a probe a worker.
        let suspects = self.workers.iter().filter(|(_, w)| w.suspect);
        let due = suspects
            .clone()
            .filter(|(_, w)| now >= w.next_test && w.entry.state == WorkerState::Ready);
        let test = due
            .min_by_key(|(_, w)| w.next_test)
            .map(|(id, _)| *id)
            .filter(|_| now >= self.next_test);
        for wid in suspects.map(|(id, _)| *id).collect::<Vec<_>>() {
            let Some(w) = self.workers.get_mut(&wid) else {
                continue;
            };
            if test == Some(wid) {
                self.next_test = now.plus(unit as Span);
                w.next_test = now.plus(spread(self.seed, now, w.test_gap));
                w.test_gap = (w.test_gap * 2).min(4 * SECOND);
                let asked = self
                    .functions
                    .iter()
                    .find(|(_, f)| f.places.contains_key(&wid))
                    .map(|f| *f.0);
                if self.set.may_probe {
                    out.push(Action::Probe { worker: wid });
                } else if let (true, Some(function)) = (self.set.may_order, asked) {
                    out.push(Action::Load {
                        worker: wid,
                        function,
                        instances: 0,
                    });
                } else {
                    w.trial = true;
                }
            }
            let (requests, classes, most) = (
                &self.requests,
                &self.set.classes,
                self.set.max_attempts as usize,
            );
            // What was sent as a trial has the time that an answer takes.
            let tried = |t: Time| t > w.since && (now.since(t) as f64) < 2.0 * unit;
            let stuck = w.out.iter().filter(|(sent, id)| {
                let r = requests
                    .get(id)
                    .filter(|r| !r.streaming && !r.concluded && r.attempts.len() < most);
                let safe = r.is_some_and(|r| classes[r.class].effect == Effect::Safe);
                w.mute && !tried(*sent) && self.set.may_cancel && safe
            });
            for key in stuck.copied().collect::<Vec<_>>() {
                let attempt = requests
                    .get(&key.1)
                    .map_or(0, |r| r.attempts.len() as u32 - 1);
                out.push(Action::Cancel {
                    request: key.1,
                    attempt,
                });
                w.out.remove(&key);
            }
        }
    }
}
