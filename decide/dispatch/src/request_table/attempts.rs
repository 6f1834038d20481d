//! Sending, confirming, cancelling and ending attempts.

use super::entries::{Attempt, AttemptPhase, AttemptTimeout, TimerEvent};
use super::Dispatcher;
use crate::counters::outcome_index;
use crate::message::{Answer, CallId, Command, FailureReason};
use crate::outcome::{classify, AttemptOutcome, LoadReport, Trailers};
use tansyrouter::{AttemptResult, Event, Outcome, RequestId, Time, WorkerId};

impl Attempt {
    /// The outcome reported to the router, from the observed end of the attempt and its classification.
    fn outcome_for_router(&self, observed: AttemptOutcome, classified: Outcome) -> Outcome {
        match self.phase {
            // A cancelled attempt may have run, unless its end proves otherwise.
            AttemptPhase::Closing(reason) if !classified.never_ran() => reason,
            // The client left before the connection was established, which says nothing about the worker.
            AttemptPhase::Closing(Outcome::Cancelled)
                if observed == AttemptOutcome::ConnectTimedOut =>
            {
                Outcome::NotSent
            }
            _ => classified,
        }
    }
}

/// The final answer to a call that ends with its attempt.
fn final_answer(outcome: Outcome, final_status: bool) -> Answer {
    match outcome {
        Outcome::Served => Answer::Served,
        _ if final_status => Answer::WorkerStatus,
        Outcome::ConnectionLost => Answer::Failed(FailureReason::ConnectionLost),
        Outcome::TimedOut | Outcome::Cancelled => Answer::Failed(FailureReason::Deadline),
        _ => Answer::Failed(FailureReason::WorkerFailed),
    }
}

impl Dispatcher {
    pub(super) fn send_attempt(
        &mut self,
        id: CallId,
        worker: WorkerId,
        abandon_at: Option<Time>,
        commands: &mut Vec<Command>,
    ) {
        let name = self.worker_name(worker);
        let connect_timeout = self.config.settings.connect_timeout;
        // Checked again here, so that an error of the router cannot cause a forbidden attempt.
        let permitted = self.may_start_attempt(id, worker);
        let Some(call) = self.calls.get_mut(&id) else {
            self.counters.guard_rejections += 1;
            return;
        };
        let number = call.attempts_sent;
        call.attempts_sent += 1;
        let Some(name) = name.filter(|_| permitted.is_ok()) else {
            debug_assert!(
                false,
                "the router must not send {id:?} to {worker:?}: {permitted:?}"
            );
            self.counters.guard_rejections += 1;
            return;
        };
        let budget = call.deadline.since(self.now);
        let attempt = call.attempt.insert(Attempt::new(number, worker, self.now));
        let headers_due = self.now.plus(connect_timeout);
        attempt.set_timeout(
            &mut self.timers,
            id,
            AttemptTimeout::HeadersSent,
            headers_due,
        );
        if let Some(at) = abandon_at {
            let abandon = TimerEvent::Attempt {
                call: id,
                attempt: number,
                timeout: AttemptTimeout::Ended,
            };
            self.timers.set(at.0, abandon);
        }
        self.counters.attempts += 1;
        commands.push(Command::SendAttempt {
            call: id,
            attempt: number,
            worker: name,
            budget,
        });
    }

    pub(super) fn on_attempt_sent(&mut self, id: CallId, number: u32) {
        let Some(attempt) = self.calls.get_mut(&id).and_then(|c| c.attempt.as_mut()) else {
            return;
        };
        let is_unconfirmed = matches!(
            attempt.phase,
            AttemptPhase::Opening | AttemptPhase::Confirming
        );
        if attempt.number == number && is_unconfirmed {
            attempt.phase = AttemptPhase::Open;
            if let Some(timer) = attempt.timer.take() {
                self.timers.clear(timer);
            }
        }
    }

    pub(super) fn on_response_message(
        &mut self,
        id: CallId,
        number: u32,
        last: bool,
        commands: &mut Vec<Command>,
    ) {
        let Some(call) = self.calls.get_mut(&id).filter(|call| !call.answered) else {
            return;
        };
        let Some(attempt) = call.attempt.as_mut().filter(|a| a.number == number) else {
            return;
        };
        if matches!(attempt.phase, AttemptPhase::Closing(_)) {
            return;
        }
        attempt.phase = AttemptPhase::Open;
        let first = !std::mem::replace(&mut attempt.response_began, true);
        self.counters.messages += 1;
        if first {
            let event = Event::StreamStarted {
                request: RequestId(id.0),
                attempt: number,
            };
            self.notify_router(event, commands);
        }
        commands.push(Command::ForwardMessage { call: id });
        if last {
            self.answer(id, Answer::Served, commands);
        }
    }

    pub(super) fn on_attempt_ended(
        &mut self,
        id: CallId,
        number: u32,
        observed: AttemptOutcome,
        trailers: Trailers,
        commands: &mut Vec<Command>,
    ) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let Some(attempt) = call.attempt.take_if(|attempt| attempt.number == number) else {
            return;
        };
        if let Some(timer) = attempt.timer {
            self.timers.clear(timer);
        }
        let classified = classify(observed, &trailers);
        let outcome = attempt.outcome_for_router(observed, classified.outcome);
        call.last_outcome = Some(outcome);
        if !outcome.never_ran() {
            call.may_have_run_since.get_or_insert(attempt.sent);
        }
        let answered = call.answered;
        let function = call.function;
        self.counters.attempt_outcomes[outcome_index(outcome)] += 1;
        if outcome == Outcome::Served {
            let now = self.now;
            if let Some(activity) = self.activity_mut(function) {
                activity.warm_at = Some(now);
            }
        }
        // Once a response has started, the client cannot receive another one, so the end of this attempt is final.
        let ends_call =
            outcome == Outcome::Served || classified.final_status || attempt.response_began;
        if !answered && ends_call {
            self.answer(id, final_answer(outcome, classified.final_status), commands);
        }
        let result = AttemptResult {
            request: RequestId(id.0),
            attempt: number,
            worker: attempt.worker,
            outcome,
            concluded: answered || ends_call,
            latency: self.now.since(attempt.sent),
            instance_status: trailers.cache_status.into(),
            concurrency: trailers.concurrent_calls,
            report: trailers.report.map(LoadReport::into),
        };
        self.notify_router(Event::AttemptEnded(result), commands);
        self.remove_if_done(id);
    }

    /// Asks the driver whether the HEADERS of a call's attempt were sent.
    pub(super) fn confirm_attempt(&mut self, id: CallId, commands: &mut Vec<Command>) {
        let Some(number) =
            self.enter_phase(id, AttemptPhase::Confirming, AttemptTimeout::HeadersSent)
        else {
            return;
        };
        commands.push(Command::ConfirmSent {
            call: id,
            attempt: number,
        });
    }

    /// Cancels a call's attempt, if one is in progress that is not being cancelled yet.
    pub(super) fn cancel_attempt(
        &mut self,
        id: CallId,
        reason: Outcome,
        commands: &mut Vec<Command>,
    ) {
        let Some(number) =
            self.enter_phase(id, AttemptPhase::Closing(reason), AttemptTimeout::ResetSent)
        else {
            return;
        };
        commands.push(Command::CancelAttempt {
            call: id,
            attempt: number,
        });
    }

    /// Moves a call's attempt to a phase that must end within the connect timeout, and returns the number of the attempt.
    /// Does nothing if the attempt is already being cancelled.
    fn enter_phase(
        &mut self,
        id: CallId,
        phase: AttemptPhase,
        timeout: AttemptTimeout,
    ) -> Option<u32> {
        let at = self.now.plus(self.config.settings.connect_timeout);
        let attempt = self.calls.get_mut(&id)?.attempt.as_mut()?;
        if matches!(attempt.phase, AttemptPhase::Closing(_)) {
            return None;
        }
        attempt.phase = phase;
        attempt.set_timeout(&mut self.timers, id, timeout, at);
        Some(attempt.number)
    }
}
