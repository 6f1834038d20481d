//! Attempts of a request at workers: sending them and handling their results.

use super::estimate::ExpectedService;
use super::request::Attempt;
use super::Router;
use crate::{
    Action, AttemptResult, FunctionId, InstanceStatus, Outcome, RequestId, Time, WorkerId,
};

/// An ended attempt and what was expected of it.
pub(super) struct EndedAttempt {
    pub(super) worker: WorkerId,
    pub(super) function: FunctionId,
    pub(super) class: usize,
    /// The client is still waiting for an answer.
    pub(super) answer_owed: bool,
    /// The function ran, successfully or not.
    pub(super) ran: bool,
    /// The response does not say that the call waited for a load.
    pub(super) warm: bool,
    /// Time from send to end, in microseconds.
    pub(super) duration: f64,
    pub(super) expected: ExpectedService,
}

impl Router {
    /// Handles the end of an attempt: updates the estimates, then requeues, answers or closes its request.
    pub(super) fn on_attempt_result(
        &mut self,
        now: Time,
        result: AttemptResult,
        actions: &mut Vec<Action>,
    ) {
        let Some(ended) = self.close_attempt(&result) else {
            return;
        };
        self.update_health(now, &ended, result.outcome);
        self.learn_slowness(now, &ended, &result);
        self.update_concurrency_limit(now, &ended, &result);
        self.learn_instance_demand(now, ended.function, &result);
        self.learn_service_time(now, &ended, &result);
        self.update_instance(now, &ended, result.outcome);
        self.requeue_or_finish(now, result.request, &ended, actions);
        self.dispatch_queue(now, ended.function, actions);
    }

    /// Marks an attempt as ended and frees its place at the worker. Returns `None` if the attempt is unknown or had
    /// already ended.
    fn close_attempt(&mut self, result: &AttemptResult) -> Option<EndedAttempt> {
        let request = self.requests.get_mut(&result.request)?;
        let attempt = request.attempts.get_mut(result.attempt as usize)?;
        let may_have_run = !result.outcome.never_ran();
        if attempt.ended_may_have_run.replace(may_have_run).is_some() {
            return None;
        }
        let worker_id = attempt.worker.worker;
        let pending = (attempt.sent_at, result.request);
        if let Some(worker) = self.workers.get_mut(&worker_id) {
            worker.unanswered.remove(&pending);
            worker.in_flight = worker.in_flight.saturating_sub(1);
        }
        let request = self.requests.get(&result.request)?;
        Some(EndedAttempt {
            worker: worker_id,
            function: request.function,
            class: request.class,
            answer_owed: !request.concluded && !result.concluded,
            ran: matches!(result.outcome, Outcome::Served | Outcome::Error),
            warm: matches!(
                result.instance_status,
                InstanceStatus::Warm | InstanceStatus::Unreported
            ),
            duration: result.latency.max(0) as f64,
            expected: self.expected_service(request),
        })
    }

    /// Closes the request if no answer is owed, requeues it if it may be retried, and answers it otherwise.
    fn requeue_or_finish(
        &mut self,
        now: Time,
        request_id: RequestId,
        ended: &EndedAttempt,
        actions: &mut Vec<Action>,
    ) {
        let may_retry = self.requests.get(&request_id).is_some_and(|request| {
            now < request.deadline && self.may_attempt_again(request, None, now)
        });
        if !ended.answer_owed {
            self.close_request(request_id);
        } else if may_retry {
            self.enqueue(request_id, now);
        } else {
            self.answer_unserved(request_id, actions);
        }
    }

    /// Sends a request to a worker as its next attempt.
    pub(super) fn send(
        &mut self,
        now: Time,
        request_id: RequestId,
        worker_id: WorkerId,
        actions: &mut Vec<Action>,
    ) {
        self.dequeue(request_id);
        let Some(class) = self.requests.get(&request_id).map(|request| request.class) else {
            return;
        };
        let call_weight = self.service_time(class);
        let rate_window = self.rate_window();
        let credit = self
            .workers
            .get(&worker_id)
            .and_then(|worker| self.slow_start_credit(worker, call_weight, now));
        let Some(request) = self.requests.get_mut(&request_id) else {
            return;
        };
        let Some(worker) = self.workers.get_mut(&worker_id) else {
            return;
        };
        request.attempts.push(Attempt {
            worker: worker.entry.clone(),
            sent_at: now,
            ended_may_have_run: None,
        });
        worker.slow_start_credit = credit.unwrap_or(0.0) - call_weight;
        worker.credit_updated_at = now;
        worker.in_flight += 1;
        worker.unanswered.insert((now, request_id));
        worker.trial_allowed = false;
        worker.last_send = Some(now);
        worker.recent_sends.add(now, 1.0, rate_window);
        if let Some(function) = self.functions.get_mut(&request.function) {
            let instance = function.instances.entry(worker_id).or_default();
            instance.in_flight += 1;
            instance.last_send = Some(now);
        }
        actions.push(Action::Send {
            request: request_id,
            worker: worker_id,
            abandon_at: None,
        });
    }
}
