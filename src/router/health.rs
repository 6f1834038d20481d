//! Suspicion of workers that are silent or lose connections, and the probes that clear them.

use super::*;

/// Silence of a worker that is a symptom, in usual answer times summed over the calls that wait there.
pub(super) const SILENCE_THRESHOLD: f64 = 10.0;

impl Router {
    /// EXCEPTION: a lost connection (no gap) says little of a worker whose next one answers: tested at once,
    /// that clears it, unless no call was answered since the last. Harm: one that cuts often is given calls.
    pub(super) fn mark_suspect(w: &mut Worker, now: Time, gap: Span) {
        if !w.suspect {
            (w.suspect, w.trial_allowed) = (true, false);
            (w.unresponsive, w.suspect_since) = (gap > 0 || w.last_answer <= w.suspect_since, now);
            (w.probe_interval, w.next_probe) =
                (gap.max(CHECK_INTERVAL), now.plus(gap.max(CHECK_INTERVAL)));
        }
    }

    pub(super) fn on_probe_result(&mut self, worker_id: WorkerId, heard: bool) {
        let told = |w: &mut Worker| {
            (w.suspect, w.trial_allowed) = (
                w.suspect && (w.unresponsive || !heard),
                w.trial_allowed || heard,
            )
        };
        self.workers.entry(worker_id).and_modify(told);
    }

    /// Looks for workers that answer nothing though their peers do, tests the suspects, and frees from them
    /// the calls that may be repeated.
    pub(super) fn check_health(&mut self, now: Time, out: &mut Vec<Action>) {
        let unit = self.usual_answer_time();
        // The evidence adds up over all that waits there: one long call alone proves little, several that all
        // keep silent prove more. A call that was already taken from one suspect counts less.
        let silent = |w: &Worker| {
            let evidence = w.unanswered.iter().filter_map(|(sent, id)| {
                let r = self.requests.get(id)?;
                let age = now.since((*sent).max(w.last_answer)) as f64;
                // EXCEPTION: silence shorter than our own looks is none: with many fast calls out, answers
                // wait unread that long. Harm: a worker silent for very short calls is found a look later.
                (age > CHECK_INTERVAL as f64).then(|| {
                    age / unit.max(self.expected_service(r).0) / r.attempts.len().max(1) as f64
                })
            });
            evidence.sum::<f64>() > SILENCE_THRESHOLD
        };
        let found = self
            .workers
            .iter()
            .filter(|(_, w)| !w.suspect && !w.unanswered.is_empty() && silent(w));
        for id in found.map(|(id, _)| *id).collect::<Vec<_>>() {
            self.workers
                .entry(id)
                .and_modify(|w| Self::mark_suspect(w, now, unit as Span));
        }
        // All tests together are paced, the longest due first: a lost zone would cost a probe a worker.
        let suspects = self.workers.iter().filter(|(_, w)| w.suspect);
        let due = suspects
            .clone()
            .filter(|(_, w)| now >= w.next_probe && w.entry.state == WorkerState::Ready);
        let test = due
            .min_by_key(|(_, w)| w.next_probe)
            .map(|(id, _)| *id)
            .filter(|_| now >= self.next_probe);
        for worker_id in suspects.map(|(id, _)| *id).collect::<Vec<_>>() {
            let Some(w) = self.workers.get_mut(&worker_id) else {
                continue;
            };
            if test == Some(worker_id) {
                self.next_probe = now.plus(unit as Span);
                w.next_probe = now.plus(spread(self.seed, now, w.probe_interval));
                w.probe_interval = (w.probe_interval * 2).min(4 * SECOND);
                let asked = self
                    .functions
                    .iter()
                    .find(|(_, f)| f.instances.contains_key(&worker_id))
                    .map(|f| *f.0);
                if self.settings.may_probe {
                    out.push(Action::Probe { worker: worker_id });
                } else if let (true, Some(function)) = (self.settings.may_order, asked) {
                    out.push(Action::Load {
                        worker: worker_id,
                        function,
                        instances: 0,
                    });
                } else {
                    w.trial_allowed = true;
                }
            }
            let (requests, classes, most) = (
                &self.requests,
                &self.settings.classes,
                self.settings.max_attempts as usize,
            );
            // What was sent as a trial has the time that an answer takes.
            let tried = |t: Time| t > w.suspect_since && (now.since(t) as f64) < 2.0 * unit;
            let stuck = w.unanswered.iter().filter(|(sent, id)| {
                let r = requests
                    .get(id)
                    .filter(|r| !r.streaming && !r.concluded && r.attempts.len() < most);
                let safe = r.is_some_and(|r| classes[r.class].effect == Effect::Safe);
                w.unresponsive && !tried(*sent) && self.settings.may_cancel && safe
            });
            for key in stuck.copied().collect::<Vec<_>>() {
                let attempt = requests
                    .get(&key.1)
                    .map_or(0, |r| r.attempts.len() as u32 - 1);
                out.push(Action::Cancel {
                    request: key.1,
                    attempt,
                });
                w.unanswered.remove(&key);
            }
        }
    }
}
