//! Events for the router, and the execution of its actions.

use super::entries::{ControlKind, TimerEvent};
use super::Dispatcher;
use crate::message::{Answer, CallId, Command, FailureReason};
use tansyrouter::{Action, Event, FunctionId, Outcome};

impl Dispatcher {
    /// Passes an event to the router and executes the resulting actions in order.
    pub(super) fn notify_router(&mut self, event: Event, commands: &mut Vec<Command>) {
        let mut actions = std::mem::take(&mut self.actions);
        self.router.handle(self.now, event, &mut actions);
        for action in actions.drain(..) {
            self.perform(action, commands);
        }
        self.actions = actions;
    }

    /// Has the router refuse a waiting call, as another client needs what it holds.
    pub(super) fn shed_waiting_call(&mut self, only_unlikely: bool, commands: &mut Vec<Command>) {
        self.notify_router(Event::CapacityNeeded { only_unlikely }, commands);
    }

    fn perform(&mut self, action: Action, commands: &mut Vec<Command>) {
        match action {
            Action::Send {
                request,
                worker,
                abandon_at,
            } => self.send_attempt(CallId(request.0), worker, abandon_at, commands),
            Action::Reject {
                request,
                retry_after,
            } => {
                let id = CallId(request.0);
                let retry_after = self.retry_after(id, retry_after);
                self.answer(id, Answer::Refused { retry_after }, commands)
            }
            Action::Shed { request } => {
                let id = CallId(request.0);
                let retry_after = self.retry_after(id, 0);
                commands.push(Command::CloseAfterAnswer { call: id });
                self.answer(id, Answer::Refused { retry_after }, commands)
            }
            Action::Fail { request } => {
                let id = CallId(request.0);
                let reason = self
                    .calls
                    .get(&id)
                    .map_or(FailureReason::Deadline, |call| self.failure_reason(call));
                self.answer(id, Answer::Failed(reason), commands)
            }
            Action::Cancel { request, attempt } => {
                let id = CallId(request.0);
                let current = self.calls.get(&id).and_then(|call| call.attempt.as_ref());
                if current.is_some_and(|current| current.number == attempt) {
                    self.cancel_attempt(id, Outcome::Cancelled, commands);
                }
            }
            Action::Probe { worker } => {
                self.send_control_request(ControlKind::Probe, worker, FunctionId(0), 0, commands)
            }
            Action::Load {
                worker,
                function,
                instances,
            } => {
                self.send_control_request(ControlKind::Load, worker, function, instances, commands)
            }
            Action::Unload { worker, function } => {
                self.send_control_request(ControlKind::Unload, worker, function, 0, commands)
            }
            Action::SetTimer { at, token } => {
                self.timers.set(at.0, TimerEvent::Router(token));
            }
            Action::FetchList => commands.push(Command::FetchWorkerList),
            Action::Subscribe => commands.push(Command::SubscribeWorkerList),
        }
    }
}
