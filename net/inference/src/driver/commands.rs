//! Executes the dispatcher's commands.

use super::{Driver, DriverState};
use crate::answers;
use crate::attempts::{run_attempt, Attempt};
use crate::call::{CallContext, CancelSignal};
use crate::control::{run_control_request, ControlMessage};
use std::rc::Rc;
use tansy_dispatch::{Answer, AttemptOutcome, CallId, Command, ControlRequestId, Input, Trailers};
use tansy_frames::grpc::frame;
use tansy_inference::amend;
use tansy_net_grpc::link::Link;

impl Driver {
    pub(super) fn execute(self: &Rc<Self>, command: Command) {
        match command {
            Command::SendAttempt {
                call,
                attempt,
                worker,
                budget,
            } => self.send_attempt(call, attempt, &worker, budget),
            Command::CancelAttempt { call, .. } => {
                self.signal_attempt(call, CancelSignal::cancel);
            }
            Command::ConfirmSent { call, .. } => {
                self.signal_attempt(call, CancelSignal::confirm);
            }
            Command::ForwardMessage { call } => self.forward_message(call),
            // The end of a call's stream frees what it holds.
            Command::CloseAfterAnswer { .. } => {}
            Command::Answer { call, answer } => self.answer(call, answer),
            Command::Probe { request, worker } => {
                self.send_control_request(request, &worker, ControlMessage::probe());
            }
            Command::Load {
                request,
                worker,
                function,
                instances,
            } => {
                let message = ControlMessage::load(&function, instances);
                self.send_control_request(request, &worker, message);
            }
            Command::Unload {
                request,
                worker,
                function,
            } => self.send_control_request(request, &worker, ControlMessage::unload(&function)),
            Command::RecallUnsent { request } => {
                self.signal_control_request(request, CancelSignal::confirm);
            }
            Command::CancelControlRequest { request } => {
                self.signal_control_request(request, CancelSignal::cancel);
            }
            Command::DropConnection { worker } => self.drop_connection(&worker),
            Command::RetireWorker { worker } => self.retire_worker(&worker),
            Command::ReportLoadFailures {
                worker,
                function,
                outcome,
                failed_loads,
            } => {
                tracing::warn!(%worker, %function, status = %outcome, count = failed_loads,
                    "load request left no instance (an OK reply must carry tansy-instances); backing off load requests of this function to this worker");
            }
            Command::FetchWorkerList | Command::SubscribeWorkerList => self.repeat_worker_list(),
        }
    }

    fn send_attempt(self: &Rc<Self>, id: CallId, number: u32, worker: &str, budget: i64) {
        let call_and_link = {
            let mut state = self.state.borrow_mut();
            let link = self.link(&mut state, worker);
            state.calls.get(&id).cloned().zip(link)
        };
        let Some((call, link)) = call_and_link else {
            return self.feed(Input::AttemptEnded {
                call: id,
                attempt: number,
                outcome: AttemptOutcome::NeverLeft,
                trailers: Trailers::default(),
            });
        };
        let signal = Rc::new(CancelSignal::default());
        self.state.borrow_mut().attempts.insert(id, signal.clone());
        let attempt = Attempt {
            call,
            number,
            budget,
            max_message_bytes: self.options.clients.message_bytes,
        };
        self.spawner
            .spawn(run_attempt(self.clone(), attempt, link, signal));
    }

    fn send_control_request(
        self: &Rc<Self>,
        id: ControlRequestId,
        worker: &str,
        message: ControlMessage,
    ) {
        let link = self.link(&mut self.state.borrow_mut(), worker);
        let Some(link) = link else {
            return self.feed(Input::ControlRequestEnded {
                request: id,
                outcome: AttemptOutcome::NeverLeft,
                trailers: Trailers::default(),
            });
        };
        let signal = Rc::new(CancelSignal::default());
        self.state
            .borrow_mut()
            .control_requests
            .insert(id, signal.clone());
        self.spawner
            .spawn(run_control_request(self.clone(), id, message, link, signal));
    }

    fn signal_attempt(&self, call: CallId, send: fn(&CancelSignal)) {
        if let Some(signal) = self.state.borrow().attempts.get(&call) {
            send(signal);
        }
    }

    fn signal_control_request(&self, request: ControlRequestId, send: fn(&CancelSignal)) {
        if let Some(signal) = self.state.borrow().control_requests.get(&request) {
            send(signal);
        }
    }

    fn forward_message(&self, call: CallId) {
        if let Some(call) = self.state.borrow().calls.get(&call) {
            if let Some(message) = call.staged.borrow_mut().take() {
                call.responses.push(message);
            }
        }
    }

    fn answer(&self, call: CallId, answer: Answer) {
        let call = self.state.borrow_mut().calls.remove(&call);
        if let Some(call) = call {
            finish(&call, answer);
        }
    }

    fn retire_worker(&self, worker: &str) {
        let link = self.state.borrow_mut().links.remove(worker);
        if let Some(link) = link {
            link.retire();
        }
    }

    fn drop_connection(&self, worker: &str) {
        let link = self.state.borrow().links.get(worker).cloned();
        if let Some(link) = link {
            tracing::info!(%worker, "dropping a connection that accepts no data");
            link.drop_connection();
        }
    }

    /// Feeds the current worker list again. The host pushes changes by itself, so that nothing has to be fetched.
    fn repeat_worker_list(self: &Rc<Self>) {
        let workers = self
            .state
            .borrow()
            .workers
            .iter()
            .map(|worker| worker.record.clone())
            .collect();
        self.feed(Input::Workers {
            full: true,
            workers,
        });
    }

    fn link(&self, state: &mut DriverState, worker: &str) -> Option<Rc<Link>> {
        let address = *state.addresses.get(worker)?;
        let new_link = || Link::new(self.spawner.clone(), address, self.options.workers);
        let links = &mut state.links;
        let link = links.entry(worker.to_string()).or_insert_with(new_link);
        Some(link.clone())
    }
}

/// Sends a call's final answer to its client.
fn finish(call: &CallContext, answer: Answer) {
    let trailers = call.trailers.borrow();
    if call.unary {
        if let (Answer::Served, Some(message)) = (answer, call.staged.borrow_mut().take()) {
            call.responses.push(message);
        }
        let status = answers::unary_trailers(answer, &call.model, trailers.as_ref());
        call.responses.set_status(status);
    } else if let Some(error) = answers::stream_error(answer, &call.model, trailers.as_ref()) {
        let message = amend::stream_error(
            &call.model,
            &call.request_id,
            error.text,
            error.retry_after_ms,
        );
        call.responses.push(frame(&message));
    } else if !call.complete.get() {
        let message = amend::empty_final_response(&call.model, &call.request_id);
        call.responses.push(frame(&message));
    }
    tracing::debug!(
        call = call.id.0, function = %call.model, id = %call.request_id, answer = ?answer, "answered"
    );
    call.responses.call_answered(call.id);
}
