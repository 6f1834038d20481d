//! Runs the dispatcher's commands.

use super::{Driver, OpenAttempt};
use crate::call::Attempt;
use crate::worker_connection::WorkerConnection;
use std::rc::Rc;
use tansy_dispatch::{AttemptOutcome, CallId, Command, ControlRequestId, Input, Trailers};
use tansy_platform::request::RequestId;

impl Driver {
    pub(super) fn run_command(self: &Rc<Self>, command: Command) {
        match command {
            Command::SendAttempt {
                call,
                attempt,
                worker,
                ..
            } => self.send_attempt(call, attempt, &worker),
            Command::CancelAttempt { call, attempt } => self.cancel_attempt(call, attempt),
            Command::ConfirmSent { call, attempt } => self.confirm_sent(call, attempt),
            // Answers have a single message, which is sent by `Answer`.
            Command::ForwardMessage { .. } => {}
            Command::Answer { call, answer } => self.answer_call(call, answer),
            Command::CloseAfterAnswer { call } => self.close_after_answer(call),
            Command::Probe { request, worker } => self.send_control(request, &worker, &["there"]),
            Command::Load {
                request,
                worker,
                function,
                instances,
            } => {
                let fields = format!("asset={function},replicas={instances}");
                self.send_control(request, &worker, &["provision", &fields]);
            }
            Command::Unload {
                request,
                worker,
                function,
            } => self.send_unload(request, &worker, &function),
            Command::RecallUnsent { request } => self.recall_control(request),
            Command::CancelControlRequest { request } => self.cancel_control(request),
            Command::DropConnection { worker } => self.abort_connections(&worker),
            Command::RetireWorker { worker } => self.retire_pool(&worker),
            Command::ReportLoadFailures {
                worker,
                function,
                outcome,
                failed_loads,
            } => {
                tracing::warn!(%worker, %function, status = %outcome, count = failed_loads, "load request left no instance loaded");
            }
            // The endpoint poller follows the list continuously.
            Command::FetchWorkerList | Command::SubscribeWorkerList => {}
        }
    }

    fn abort_connections(&self, worker: &str) {
        let pool = self.state.borrow().pools.get(worker).cloned();
        if let Some(pool) = pool {
            pool.abort_all();
        }
    }

    fn retire_pool(&self, worker: &str) {
        let pool = self.state.borrow_mut().pools.remove(worker);
        if let Some(pool) = pool {
            pool.retire();
        }
    }

    /// Sends an attempt on a connection to its worker.
    fn send_attempt(self: &Rc<Self>, call: CallId, number: u32, worker: &str) {
        let context = self.state.borrow().calls.get(&call).cloned();
        let connection = context.as_ref().and_then(|context| {
            let used = context.used_connections.borrow();
            self.connection_for_attempt(worker, &context.request.id, &used)
        });
        let Some((context, connection)) = context.zip(connection) else {
            return self.feed(Input::AttemptEnded {
                call,
                attempt: number,
                outcome: AttemptOutcome::NeverLeft,
                trailers: Trailers::default(),
            });
        };
        if let Some(last) = context.last_outcome.get() {
            self.reasons.count_retry(last);
            let request = context.request_id();
            tracing::debug!(request, attempt = number, %worker, last_outcome = %last, "retrying request");
        }
        context
            .used_connections
            .borrow_mut()
            .push(connection.serial());
        let open = OpenAttempt {
            context: context.clone(),
            connection: connection.clone(),
        };
        self.state.borrow_mut().attempts.insert(call, open);
        connection.send_attempt(Attempt {
            call,
            number,
            context,
        });
    }

    /// The request id of a call's open attempt, and the connection that carries it.
    fn find_open_attempt(&self, call: CallId) -> Option<(RequestId, Rc<WorkerConnection>)> {
        let state = self.state.borrow();
        let open = state.attempts.get(&call)?;
        Some((open.context.request.id, open.connection.clone()))
    }

    fn cancel_attempt(self: &Rc<Self>, call: CallId, attempt: u32) {
        if let Some((id, connection)) = self.find_open_attempt(call) {
            if let Some(outcome) = connection.cancel_attempt(&id) {
                self.on_attempt_ended(call, attempt, outcome, Trailers::default());
            }
        }
    }

    fn confirm_sent(self: &Rc<Self>, call: CallId, attempt: u32) {
        let Some((id, connection)) = self.find_open_attempt(call) else {
            return;
        };
        match connection.confirm_sent(&id) {
            Ok(()) => self.feed(Input::AttemptSent { call, attempt }),
            Err(outcome) => self.on_attempt_ended(call, attempt, outcome, Trailers::default()),
        }
    }

    fn send_control(self: &Rc<Self>, request: ControlRequestId, worker: &str, words: &[&str]) {
        let Some(connection) = self.connection_for_control(worker) else {
            return self.feed_control_ended(
                request,
                AttemptOutcome::NeverLeft,
                Trailers::default(),
            );
        };
        let mut state = self.state.borrow_mut();
        state.control.insert(request, connection.clone());
        drop(state);
        connection.send_control(request, words);
    }

    fn send_unload(self: &Rc<Self>, request: ControlRequestId, worker: &str, function: &str) {
        if let Some(connection) = self.connection_for_control(worker) {
            connection.send_unacknowledged(&[b"retire", function.as_bytes()]);
        }
        // Unload messages have no reply.
        self.feed_control_ended(request, AttemptOutcome::NeverLeft, Trailers::default());
    }

    fn recall_control(self: &Rc<Self>, request: ControlRequestId) {
        let connection = self.state.borrow().control.get(&request).cloned();
        if let Some(outcome) = connection.and_then(|connection| connection.recall_control(request))
        {
            self.on_control_ended(request, outcome, Trailers::default());
        }
    }

    fn cancel_control(self: &Rc<Self>, request: ControlRequestId) {
        let connection = self.state.borrow().control.get(&request).cloned();
        if let Some(connection) = connection {
            let outcome = connection.cancel_control(request);
            self.on_control_ended(request, outcome, Trailers::default());
        }
    }
}
