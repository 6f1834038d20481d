//! Executes the commands of a front end's dispatcher in the simulation.

use super::events::{AttemptId, ControlId, ControlRequestKind, Event};
use super::WorkerSimulation;
use crate::inputs;
use tansy_dispatch::{Answer, AttemptOutcome, CallId, Command, ControlRequestId, Trailers};

impl WorkerSimulation {
    pub(super) fn execute(&mut self, front_end: usize, command: Command) {
        match command {
            Command::SendAttempt {
                call,
                attempt,
                worker,
                ..
            } => self.send_attempt(attempt_id(front_end, call, attempt), &worker),
            Command::Load {
                request,
                worker,
                function,
                instances,
            } => self.send_load(
                control_id(front_end, request),
                &worker,
                &function,
                instances,
            ),
            Command::Unload {
                request,
                worker,
                function,
            } => {
                self.send_unload(control_id(front_end, request), &worker, &function);
            }
            Command::Probe { request, worker } => {
                self.send_probe(control_id(front_end, request), &worker);
            }
            Command::Answer { call, answer } => {
                self.answer_client(front_end, call, answer == Answer::Served);
            }
            Command::ConfirmSent { call, attempt } => {
                self.confirm_sent(attempt_id(front_end, call, attempt));
            }
            Command::CancelAttempt { call, attempt } => {
                self.cancel_attempt(attempt_id(front_end, call, attempt));
            }
            Command::CancelControlRequest { request } => {
                self.cancel_control_request(control_id(front_end, request));
            }
            Command::ForwardMessage { .. }
            | Command::CloseAfterAnswer { .. }
            | Command::RecallUnsent { .. }
            | Command::DropConnection { .. }
            | Command::RetireWorker { .. }
            | Command::ReportLoadFailures { .. }
            | Command::FetchWorkerList
            | Command::SubscribeWorkerList => {}
        }
    }

    fn function_index(&self, name: &str) -> usize {
        self.function_indices.get(name).copied().unwrap_or(0)
    }

    fn send_attempt(&mut self, id: AttemptId, worker: &str) {
        let worker = inputs::worker_number(worker);
        let open_calls = &self.front_ends[id.front_end].open_calls;
        let Some(function) = open_calls.get(&id.call).copied() else {
            return;
        };
        let (stream, delay) = self.open_stream(id.front_end, worker, function);
        let now = self.queue.now();
        let front_end = &mut self.front_ends[id.front_end];
        front_end.attempts.insert((id.call, id.attempt), stream);
        let cold_start = front_end.cold_starts.get_mut(&function);
        if let Some(cold_start) = cold_start.filter(|c| c.call == id.call) {
            cold_start.sent = Some(now);
        }
        let event = Event::AttemptArrives {
            worker,
            function,
            id,
        };
        self.queue.schedule(delay, event);
    }

    /// Sends a load request, or a query if `instances` is 0.
    fn send_load(&mut self, id: ControlId, worker: &str, function: &str, instances: u32) {
        let function = self.function_index(function);
        if instances == 0 {
            self.send_control_request(id, worker, ControlRequestKind::Query, function);
            return;
        }
        let now = self.queue.now();
        let cold_starts = &mut self.front_ends[id.front_end].cold_starts;
        if let Some(cold_start) = cold_starts.get_mut(&function) {
            cold_start.load_requested.get_or_insert(now);
        }
        self.send_control_request(id, worker, ControlRequestKind::Load, function);
    }

    fn send_unload(&mut self, id: ControlId, worker: &str, function: &str) {
        let function = self.function_index(function);
        self.send_control_request(id, worker, ControlRequestKind::Unload, function);
    }

    /// Sends a probe. Probes have no function; index 0 is a placeholder.
    fn send_probe(&mut self, id: ControlId, worker: &str) {
        self.send_control_request(id, worker, ControlRequestKind::Probe, 0);
    }

    fn send_control_request(
        &mut self,
        id: ControlId,
        worker: &str,
        kind: ControlRequestKind,
        function: usize,
    ) {
        let worker = inputs::worker_number(worker);
        let (stream, delay) = self.open_stream(id.front_end, worker, function);
        let control_requests = &mut self.front_ends[id.front_end].control_requests;
        control_requests.insert(id.request, stream);
        let event = Event::ControlRequestArrives {
            worker,
            function,
            id,
            kind,
        };
        self.queue.schedule(delay, event);
    }

    fn answer_client(&mut self, front_end: usize, call: CallId, served: bool) {
        let now = self.queue.now();
        let front_end = &mut self.front_ends[front_end];
        let Some(function) = front_end.open_calls.remove(&call.0) else {
            return;
        };
        self.calls.unserved += u64::from(!served);
        let cold_start = front_end.cold_starts.get(&function);
        if cold_start.is_some_and(|cold_start| cold_start.call == call.0) {
            if let Some(cold_start) = front_end.cold_starts.remove(&function) {
                self.cold_starts.record(&cold_start, now, served);
            }
        }
    }

    /// Confirms that an attempt was sent. Connections are always established, so every attempt is sent.
    fn confirm_sent(&mut self, id: AttemptId) {
        let attempts = &self.front_ends[id.front_end].attempts;
        if attempts.contains_key(&(id.call, id.attempt)) {
            self.queue.schedule(0, Event::AttemptSent(id));
        }
    }

    fn cancel_attempt(&mut self, id: AttemptId) {
        let event = Event::AttemptEnded {
            id,
            outcome: AttemptOutcome::Cancelled,
            trailers: Trailers::default(),
        };
        self.queue.schedule(0, event);
    }

    fn cancel_control_request(&mut self, id: ControlId) {
        let event = Event::ControlRequestEnded {
            id,
            outcome: AttemptOutcome::Cancelled,
            trailers: Trailers::default(),
        };
        self.queue.schedule(0, event);
    }
}

fn attempt_id(front_end: usize, call: CallId, attempt: u32) -> AttemptId {
    AttemptId {
        front_end,
        call: call.0,
        attempt,
    }
}

fn control_id(front_end: usize, request: ControlRequestId) -> ControlId {
    ControlId {
        front_end,
        request: request.0,
    }
}
