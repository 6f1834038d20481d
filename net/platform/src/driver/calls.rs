//! Calls, from acceptance to response.

use super::Driver;
use crate::call::CallContext;
use crate::reasons::RefusalReason;
use crate::response_slot::ResponseSlot;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Instant;
use tansy_dispatch::{Answer, AttemptOutcome, Call, CallId, Input, Trailers};
use tansy_platform::request::{CallRequest, RequestId};
use tansyrouter::Micros;

impl Driver {
    /// Whether a call with this request id is open.
    pub fn is_request_open(&self, id: &RequestId) -> bool {
        self.state.borrow().request_ids.contains(id)
    }

    /// Accepts a call whose last byte arrived at `arrived`; the response is put into `slot`. Without a connection that
    /// can be kept for it, the call is refused.
    pub fn accept_call(
        self: &Rc<Self>,
        request: CallRequest,
        body: Vec<u8>,
        arrived: Instant,
        slot: &Rc<ResponseSlot>,
        has_connection: bool,
    ) -> CallId {
        let accepted_at = Instant::now();
        let waited = accepted_at.duration_since(arrived).as_micros();
        let waited = Micros::try_from(waited).unwrap_or(Micros::MAX);
        let now = self.now();
        let mut state = self.state.borrow_mut();
        state.next_call += 1;
        let id = CallId(state.next_call);
        let call = to_dispatcher_call(id, &request, waited);
        state.request_ids.insert(request.id);
        let deadline = now.plus(request.budget.saturating_sub(waited));
        let effect = state.dispatcher.class_effect(request.class);
        let context = CallContext {
            request,
            body,
            slot: slot.clone(),
            used_connections: RefCell::new(Vec::new()),
            response_body: RefCell::new(None),
            last_outcome: Cell::new(None),
            waited,
            accepted_at,
        };
        tracing::debug!(
            request = context.request_id(),
            call = id.0,
            waited,
            "request accepted"
        );
        state.calls.insert(id, Rc::new(context));
        drop(state);
        self.invariants
            .borrow_mut()
            .on_accepted(id, effect, deadline);
        self.feed(if has_connection {
            Input::Call(call)
        } else {
            Input::CallWithoutCapacity(call)
        });
        id
    }

    /// Has the dispatcher refuse a waiting call, as another client needs its connection.
    pub fn shed_waiting_call(self: &Rc<Self>, only_unlikely: bool) {
        self.feed(Input::ConnectionNeeded { only_unlikely });
    }

    /// Has the connection of a call's client end after its answer.
    pub(super) fn close_after_answer(&self, call: CallId) {
        let context = self.state.borrow().calls.get(&call).cloned();
        if let Some(context) = context {
            context.slot.close_after_response();
        }
    }

    /// Handles the departure of a call's client.
    pub fn on_client_left(self: &Rc<Self>, call: CallId) {
        self.invariants
            .borrow_mut()
            .on_client_left(self.now(), call);
        if let Some(context) = self.remove_call(call) {
            let request = context.request_id();
            tracing::debug!(request, call = call.0, "client disconnected");
        }
        self.feed(Input::ClientLeft { call });
    }

    /// Called before a client's connection is closed; a call that is still unanswered violates an invariant.
    pub fn on_client_closing(&self, call: CallId) {
        let violations = self.invariants.borrow_mut().on_connection_closed(call);
        self.log_violations(&violations, call);
    }

    /// Removes a call that needs no further answer; its attempt may still be open.
    fn remove_call(&self, call: CallId) -> Option<Rc<CallContext>> {
        let mut state = self.state.borrow_mut();
        let context = state.calls.remove(&call)?;
        state.request_ids.remove(&context.request.id);
        Some(context)
    }

    /// Sends a call's client its final response.
    pub(super) fn answer_call(&self, call: CallId, answer: Answer) {
        let violations = self.invariants.borrow_mut().on_answered(call);
        self.log_violations(&violations, call);
        let Some(context) = self.remove_call(call) else {
            return;
        };
        let after_ms = context.accepted_at.elapsed().as_millis() as u64;
        let request = context.request_id();
        let last = context.last_outcome.get();
        let attempts = context.used_connections.borrow().len();
        if let Answer::Refused { .. } = answer {
            let reason = RefusalReason::classify(attempts, context.waited, context.request.budget);
            self.reasons.count_refused(reason);
            let reason = reason.as_str();
            tracing::debug!(request, reason, attempts, last_outcome = ?last, after_ms, "request refused");
        } else {
            tracing::debug!(request, ?answer, attempts, last_outcome = ?last, after_ms, "request answered");
        }
        context.respond(answer);
    }

    /// Reports the end of an attempt to the dispatcher.
    pub(super) fn on_attempt_ended(
        self: &Rc<Self>,
        call: CallId,
        attempt: u32,
        outcome: AttemptOutcome,
        trailers: Trailers,
    ) {
        let never_ran = tansy_dispatch::outcome::classify(outcome, &trailers)
            .outcome
            .never_ran();
        self.invariants
            .borrow_mut()
            .on_attempt_ended(call, never_ran);
        if let Some(open) = self.state.borrow_mut().attempts.remove(&call) {
            let request = open.context.request_id();
            tracing::debug!(request, attempt, outcome = %outcome, never_ran, "attempt ended");
            open.context.last_outcome.set(Some(outcome));
        }
        self.feed(Input::AttemptEnded {
            call,
            attempt,
            outcome,
            trailers,
        });
    }
}

/// Converts a client's request into the dispatcher's input.
fn to_dispatcher_call(call: CallId, request: &CallRequest, waited: Micros) -> Call {
    Call {
        id: call,
        function: request.function.clone(),
        class: Some(request.class),
        tenant: 0,
        budget: Some(request.budget),
        work_hint: None,
        repeat: false,
        shape: Some(request.shape),
        unknown_names: false,
        waited,
    }
}
