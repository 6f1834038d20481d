//! Handling of due timers.

use super::entries::{AttemptPhase, AttemptTimeout, TimerEvent};
use super::Dispatcher;
use crate::message::{Answer, CallId, Command, ControlRequestId, FailureReason};
use tansyrouter::{Event, Outcome, RequestId};

/// A token that the router never uses, for events that only tell it the time.
const NO_TOKEN: u64 = u64::MAX;

impl Dispatcher {
    pub(super) fn run_due_timers(&mut self, commands: &mut Vec<Command>) {
        let mut due = std::mem::take(&mut self.due_timers);
        self.timers.expire(self.now.0, |event| due.push(event));
        for event in due.drain(..) {
            match event {
                TimerEvent::Router(token) => self.notify_router(Event::Timer { token }, commands),
                TimerEvent::CallDeadline(id) => self.on_deadline(id, commands),
                TimerEvent::Attempt {
                    call,
                    attempt,
                    timeout,
                } => self.on_attempt_timeout(call, attempt, timeout, commands),
                TimerEvent::ControlRequest(id) => self.on_control_request_timeout(id, commands),
                TimerEvent::ShutdownGraceOver => self.fail_open_calls(commands),
            }
        }
        self.due_timers = due;
    }

    fn on_deadline(&mut self, id: CallId, commands: &mut Vec<Command>) {
        let Some(call) = self.calls.get_mut(&id).filter(|call| !call.answered) else {
            return;
        };
        call.timer = None;
        let streaming = call.attempt.as_ref().is_some_and(|a| a.response_began);
        if !streaming {
            // Any event makes the router answer the calls that are due.
            self.notify_router(Event::Timer { token: NO_TOKEN }, commands);
        }
        // The router no longer decides about a call whose response has started to stream.
        if self.calls.get(&id).is_some_and(|call| !call.answered) {
            debug_assert!(
                streaming,
                "the router did not answer {id:?} at its deadline"
            );
            self.counters.guard_rejections += u64::from(!streaming);
            self.answer(id, Answer::Failed(FailureReason::Deadline), commands);
        }
    }

    fn on_attempt_timeout(
        &mut self,
        id: CallId,
        number: u32,
        timeout: AttemptTimeout,
        commands: &mut Vec<Command>,
    ) {
        use AttemptPhase::{Closing, Confirming, Open, Opening};
        let Some(attempt) = self.calls.get_mut(&id).and_then(|c| c.attempt.as_mut()) else {
            return;
        };
        if attempt.number != number {
            return;
        }
        match (timeout, attempt.phase) {
            // Asked only now, because most HEADERS are sent long before this timeout.
            (AttemptTimeout::HeadersSent, Opening) => self.confirm_attempt(id, commands),
            (AttemptTimeout::Ended, Opening | Confirming | Open) => {
                self.cancel_attempt(id, Outcome::TimedOut, commands)
            }
            // The connection accepts no data, not even a reset. Dropping it ends all its streams.
            (AttemptTimeout::HeadersSent, Confirming) | (AttemptTimeout::ResetSent, Closing(_)) => {
                attempt.timer = None;
                let worker = attempt.worker;
                self.counters.dropped_connections += 1;
                let name = self.worker_name(worker);
                commands.extend(name.map(|worker| Command::DropConnection { worker }));
            }
            (AttemptTimeout::HeadersSent, Open | Closing(_)) => {}
            (AttemptTimeout::Ended, Closing(_)) => {}
            (AttemptTimeout::ResetSent, Opening | Confirming | Open) => {}
        }
    }

    fn on_control_request_timeout(&mut self, id: ControlRequestId, commands: &mut Vec<Command>) {
        let Some(request) = self.control_requests.get_mut(&id) else {
            return;
        };
        request.timer = None;
        request.cancelled = true;
        commands.push(Command::CancelControlRequest { request: id });
    }

    /// Fails all open calls when the grace period of the shutdown is over.
    fn fail_open_calls(&mut self, commands: &mut Vec<Command>) {
        let mut open: Vec<CallId> = self
            .calls
            .iter()
            .filter(|(_, call)| !call.answered)
            .map(|(id, _)| *id)
            .collect();
        open.sort();
        for id in open {
            let request = RequestId(id.0);
            self.notify_router(Event::ClientLeft { request }, commands);
            self.answer(id, Answer::Failed(FailureReason::ShuttingDown), commands);
        }
    }
}
