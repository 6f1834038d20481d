//! Detection of workers that are silent or lose connections ("suspects"), and the probes that clear them.

use super::attempt::EndedAttempt;
use super::random::with_jitter;
use super::workers::Worker;
use super::{Router, CHECK_INTERVAL};
use crate::{Action, Effect, Micros, Outcome, RequestId, Time, WorkerId, WorkerState, SECOND};

/// A worker becomes suspect when its silence, summed over its pending calls, exceeds this many usual answer times.
pub(super) const SILENCE_THRESHOLD: f64 = 10.0;

/// Upper bound of the probe interval of a suspect.
const MAX_PROBE_INTERVAL: Micros = 4 * SECOND;

/// A trial call is left at a suspect for this many usual answer times before it may be cancelled.
const TRIAL_ANSWER_TIMES: f64 = 2.0;

/// An event that comes more than this many check intervals after the timer was due shows that this process has
/// stalled.
const STALL_INTERVALS: Micros = 5;

impl Worker {
    /// Marks a worker as suspect. `probe_after` is 0 after a lost connection, otherwise the delay before the first
    /// probe.
    ///
    /// # Departure from the base algorithm
    ///
    /// A lost connection says little about a worker that accepts the next one, so the worker is probed at once and
    /// cleared by an answer, unless it has answered no call since it was last suspect.
    ///
    /// Trade-off: a worker that often closes connections keeps receiving calls.
    pub(super) fn mark_suspect(&mut self, now: Time, probe_after: Micros) {
        if self.suspect {
            return;
        }
        self.suspect = true;
        self.trial_allowed = false;
        self.unresponsive = probe_after > 0 || self.last_answer <= self.suspect_since;
        self.suspect_since = now;
        self.probe_interval = probe_after.max(CHECK_INTERVAL);
        self.next_probe = now.plus(self.probe_interval);
    }

    /// Handles the end of a probe, or of a request that serves as one.
    ///
    /// # Departure from the base algorithm
    ///
    /// Once the process of an unresponsive worker answers a probe, the worker may get one safe call or one load as a
    /// trial. Without it, the worker would never be cleared.
    ///
    /// Trade-off: if the worker is still stuck, the trial call is delayed.
    fn on_probe_result(&mut self, answered: bool) {
        self.suspect &= self.unresponsive || !answered;
        self.trial_allowed |= answered;
    }
}

impl Router {
    /// Restarts the measurement of silence at all workers if this process has stalled.
    ///
    /// # Departure from the base algorithm
    ///
    /// After a stall of this process or a suspension of its machine, answers may be waiting unread, so silence is no
    /// evidence against workers.
    ///
    /// Trade-off: a silent worker is detected later by the length of the stall.
    pub(super) fn reset_silence_after_stall(&mut self, now: Time) {
        let stalled = |due: Time| now.since(due) > STALL_INTERVALS * CHECK_INTERVAL;
        if self.timer_at.is_some_and(stalled) {
            for worker in self.workers.values_mut() {
                worker.last_answer = now;
            }
        }
    }

    /// Handles the end of a probe, or of a request that shows just as well whether the worker process answers.
    pub(super) fn on_probe_result(&mut self, worker_id: WorkerId, answered: bool) {
        if let Some(worker) = self.workers.get_mut(&worker_id) {
            worker.on_probe_result(answered);
        }
    }

    /// Updates the health of a worker from the outcome of an attempt.
    pub(super) fn update_health(&mut self, now: Time, ended: &EndedAttempt, outcome: Outcome) {
        let Some(worker) = self.workers.get_mut(&ended.worker) else {
            return;
        };
        match outcome {
            Outcome::ConnectFailed | Outcome::ConnectionLost => worker.mark_suspect(now, 0),
            Outcome::TimedOut | Outcome::Cancelled | Outcome::NotSent => {}
            Outcome::Served | Outcome::Error | Outcome::Rejected | Outcome::NotLoaded => {
                worker.last_answer = now;
                worker.suspect &= !ended.ran;
                worker.last_load_ineffective &= outcome != Outcome::Served;
            }
        }
    }

    /// Marks silent workers as suspect, probes suspects, and cancels calls at workers that do not respond.
    pub(super) fn check_health(&mut self, now: Time, actions: &mut Vec<Action>) {
        let answer_time = self.usual_answer_time();
        self.mark_silent_workers(now, answer_time);
        let suspects = self.workers.iter().filter(|(_, worker)| worker.suspect);
        let suspects: Vec<WorkerId> = suspects.map(|(id, _)| *id).collect();
        let to_probe = self.next_to_probe(now);
        for worker_id in suspects {
            if to_probe == Some(worker_id) {
                self.probe_suspect(now, worker_id, answer_time, actions);
            }
            self.cancel_stuck_attempts(now, worker_id, answer_time, actions);
        }
    }

    fn mark_silent_workers(&mut self, now: Time, answer_time: f64) {
        let silent = self.workers.iter().filter(|(_, worker)| {
            !worker.suspect
                && !worker.unanswered.is_empty()
                && self.silence(worker, now, answer_time) > SILENCE_THRESHOLD
        });
        let silent: Vec<WorkerId> = silent.map(|(id, _)| *id).collect();
        for worker_id in silent {
            if let Some(worker) = self.workers.get_mut(&worker_id) {
                worker.mark_suspect(now, answer_time as Micros);
            }
        }
    }

    /// Returns the silence of a worker in usual answer times, summed over its pending calls: one long call proves
    /// little, several unanswered ones prove more. A call counts for less the more
    /// attempts it has had.
    ///
    /// # Departure from the base algorithm
    ///
    /// Silence shorter than the check interval is ignored: with many fast calls in flight, answers may wait that long
    /// to be read.
    ///
    /// Trade-off: a worker that only stops answering very short calls is detected one check later.
    fn silence(&self, worker: &Worker, now: Time, answer_time: f64) -> f64 {
        let evidence = worker.unanswered.iter().filter_map(|(sent_at, id)| {
            let request = self.requests.get(id)?;
            let silence = now.since((*sent_at).max(worker.last_answer)) as f64;
            let usual = answer_time.max(self.expected_service(request).time);
            let attempts = request.attempts.len().max(1) as f64;
            (silence > CHECK_INTERVAL as f64).then(|| silence / usual / attempts)
        });
        evidence.sum::<f64>()
    }

    /// Returns the suspect to probe now, if any.
    ///
    /// # Departure from the base algorithm
    ///
    /// At most one probe per usual answer time is sent, to the suspect whose probe is most overdue. Otherwise the
    /// loss of a zone would cause a probe to each of its workers at once.
    ///
    /// Trade-off: a worker that has recovered waits for its probe.
    fn next_to_probe(&self, now: Time) -> Option<WorkerId> {
        if now < self.next_probe {
            return None;
        }
        let due = self.workers.iter().filter(|(_, worker)| {
            worker.suspect && now >= worker.next_probe && worker.entry.state == WorkerState::Ready
        });
        due.min_by_key(|(_, worker)| worker.next_probe)
            .map(|(id, _)| *id)
    }

    /// Checks whether a suspect answers: with a probe if these are allowed, else by querying its instances, else by
    /// allowing a trial call.
    fn probe_suspect(
        &mut self,
        now: Time,
        worker_id: WorkerId,
        answer_time: f64,
        actions: &mut Vec<Action>,
    ) {
        let Some(worker) = self.workers.get_mut(&worker_id) else {
            return;
        };
        self.next_probe = now.plus(answer_time as Micros);
        worker.next_probe = now.plus(with_jitter(self.seed, now, worker.probe_interval));
        worker.probe_interval = (worker.probe_interval * 2).min(MAX_PROBE_INTERVAL);
        if self.settings.may_probe {
            actions.push(Action::Probe { worker: worker_id });
            return;
        }
        let mut functions = self.functions.iter();
        let known_there =
            functions.find(|(_, function)| function.instances.contains_key(&worker_id));
        match known_there {
            Some((function, _)) if self.settings.may_load => actions.push(Action::Load {
                worker: worker_id,
                function: *function,
                instances: 0,
            }),
            _ => worker.trial_allowed = true,
        }
    }

    /// Cancels the calls at an unresponsive worker that may be attempted elsewhere. A trial call is kept for
    /// [`TRIAL_ANSWER_TIMES`].
    fn cancel_stuck_attempts(
        &mut self,
        now: Time,
        worker_id: WorkerId,
        answer_time: f64,
        actions: &mut Vec<Action>,
    ) {
        let Some(worker) = self.workers.get(&worker_id) else {
            return;
        };
        if !worker.unresponsive || !self.settings.may_cancel {
            return;
        }
        let on_trial = |sent_at: Time| {
            sent_at > worker.suspect_since
                && (now.since(sent_at) as f64) < TRIAL_ANSWER_TIMES * answer_time
        };
        let stuck = worker.unanswered.iter().filter(|(sent_at, request_id)| {
            !on_trial(*sent_at) && self.may_cancel_attempt(*request_id)
        });
        for key in stuck.copied().collect::<Vec<_>>() {
            let request_id = key.1;
            let request = self.requests.get(&request_id);
            let attempts = request.map(|request| request.attempts.len());
            actions.push(Action::Cancel {
                request: request_id,
                attempt: attempts.map_or(0, |count| count as u32 - 1),
            });
            if let Some(worker) = self.workers.get_mut(&worker_id) {
                worker.unanswered.remove(&key);
            }
        }
    }

    /// Whether the pending attempt of a request may be cancelled in favor of an attempt at another worker.
    fn may_cancel_attempt(&self, request_id: RequestId) -> bool {
        self.requests.get(&request_id).is_some_and(|request| {
            !request.streaming
                && !request.concluded
                && request.attempts.len() < self.settings.max_attempts as usize
                && self.settings.classes[request.class].effect == Effect::Safe
        })
    }
}
