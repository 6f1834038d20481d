//! The final answer of a call, and the removal of the call once no attempt is in progress.

use super::entries::{AttemptTimeout, OpenCall};
use super::Dispatcher;
use crate::message::{Answer, CallId, Command, FailureReason};
use tansyrouter::{Event, Micros, Outcome, RequestId, Time, SECOND};

/// How long trailers may follow the last message before the attempt is cancelled, microseconds.
const TRAILERS_TIMEOUT: Micros = SECOND;

impl Dispatcher {
    /// Answers an admitted call. All answers to such calls go through here, so that each gets exactly one.
    pub(super) fn answer(&mut self, id: CallId, answer: Answer, commands: &mut Vec<Command>) {
        let Some(call) = self.calls.get_mut(&id).filter(|call| !call.answered) else {
            debug_assert!(false, "{id:?} is already answered or unknown");
            self.counters.guard_rejections += 1;
            return;
        };
        call.answered = true;
        match answer {
            Answer::Served => self.counters.served += 1,
            Answer::Refused { .. } => self.counters.refused += 1,
            Answer::WorkerStatus | Answer::Failed(_) | Answer::UnknownFunction => {
                self.counters.failed += 1
            }
        }
        let class = call.class;
        let arrived = call.arrived;
        commands.push(Command::Answer { call: id, answer });
        if answer == Answer::Served {
            if let Some(attempt) = call.attempt.as_mut() {
                let at = self.now.plus(TRAILERS_TIMEOUT);
                attempt.set_timeout(&mut self.timers, id, AttemptTimeout::Ended, at);
            }
        } else {
            self.cancel_attempt(id, Outcome::TimedOut, commands);
        }
        self.count_by_class(class, Some(answer), arrived);
        self.remove_if_done(id);
    }

    pub(super) fn on_client_left(&mut self, id: CallId, commands: &mut Vec<Command>) {
        if self.pending_lookups.remove(id) {
            self.counters.accepted += 1;
            self.counters.abandoned += 1;
            self.count_lookup_wait(Err(None), 0);
            return;
        }
        let Some(call) = self.calls.get_mut(&id).filter(|call| !call.answered) else {
            return;
        };
        call.answered = true;
        let class = call.class;
        let arrived = call.arrived;
        self.counters.abandoned += 1;
        self.count_by_class(class, None, arrived);
        let request = RequestId(id.0);
        self.notify_router(Event::ClientLeft { request }, commands);
        self.cancel_attempt(id, Outcome::Cancelled, commands);
        self.remove_if_done(id);
    }

    /// Removes a call that has ended and has no attempt in progress.
    pub(super) fn remove_if_done(&mut self, id: CallId) {
        let done = |call: &OpenCall| call.answered && call.attempt.is_none();
        if !self.calls.get(&id).is_some_and(done) {
            return;
        }
        if let Some(timer) = self.calls.remove(&id).and_then(|call| call.timer) {
            self.timers.clear(timer);
        }
    }

    /// Counts the end of a call under its class, an index of the router. Without an answer the client left.
    pub(super) fn count_by_class(&mut self, class: usize, answer: Option<Answer>, arrived: Time) {
        let Some(counters) = &mut self.class_counters else {
            return;
        };
        let name = self.class_names.get(class);
        let settings = self.config.settings.classes.get(class);
        if let (Some(name), Some(settings)) = (name, settings) {
            counters.record_answer(name, settings, answer, self.now.since(arrived));
        }
    }

    /// How long a refused client should wait before a retry. Without advice from the router this is the latency objective
    /// of the class: no worker could take the call within that time. Limited to the longest advice that clients follow.
    pub(super) fn retry_after(&self, id: CallId, advised: Micros) -> Micros {
        let settings = &self.config.settings;
        let objective = self
            .calls
            .get(&id)
            .map_or(0, |call| settings.classes[call.class].latency_objective);
        if advised > 0 { advised } else { objective }.min(settings.max_retry_after)
    }

    /// Why a call that the router has given up failed.
    pub(super) fn failure_reason(&self, call: &OpenCall) -> FailureReason {
        match call.last_outcome {
            _ if self.now >= call.deadline => FailureReason::Deadline,
            Some(Outcome::ConnectionLost | Outcome::ConnectFailed) => FailureReason::ConnectionLost,
            Some(Outcome::Error) => FailureReason::WorkerFailed,
            _ => FailureReason::Deadline,
        }
    }
}
