//! Selects connections to workers, and handles the events that they report.

use super::Driver;
use crate::call::Attempt;
use crate::limits::ServingLimits;
use crate::worker_connection::events::{ConnectionEvent, ConnectionHandler};
use crate::worker_connection::io::run_connection;
use crate::worker_connection::{ConnectionRole, WorkerConnection};
use crate::worker_pool::WorkerPool;
use std::rc::Rc;
use tansy_dispatch::{AttemptOutcome, CallId, ControlRequestId, DenialReason, Trailers};
use tansy_net_sockets::Spawner;
use tansy_platform::request::RequestId;
use tansyrouter::{Micros, Time};

impl Driver {
    /// Returns a connection for another attempt at a call, other than those in `used`; none if the connection limit
    /// is reached.
    pub(super) fn connection_for_attempt(
        self: &Rc<Self>,
        worker: &str,
        id: &RequestId,
        used: &[u64],
    ) -> Option<Rc<WorkerConnection>> {
        self.connection(worker, ConnectionRole::Calls, |connection| {
            !used.contains(&connection.serial()) && !connection.has_abandoned(id)
        })
    }
    /// Returns a connection for another control request; none if the connection limit is reached.
    pub(super) fn connection_for_control(
        self: &Rc<Self>,
        worker: &str,
    ) -> Option<Rc<WorkerConnection>> {
        self.connection(worker, ConnectionRole::Control, |_| true)
    }

    /// Returns a usable connection to a worker, starting a new one if necessary.
    fn connection(
        self: &Rc<Self>,
        worker: &str,
        role: ConnectionRole,
        is_usable: impl Fn(&WorkerConnection) -> bool,
    ) -> Option<Rc<WorkerConnection>> {
        let pool = self.pool(worker)?;
        if let Some(connection) = pool.find(role, &self.limits, is_usable) {
            return Some(connection);
        }
        if !self.make_room_for_connection(role) {
            return None;
        }
        self.next_serial.set(self.next_serial.get() + 1);
        let connection = pool.add(self.next_serial.get(), role);
        self.worker_connections
            .set(self.worker_connections.get() + 1);
        self.spawner.spawn(run_connection(
            self.clone(),
            pool.address(),
            connection.clone(),
        ));
        Some(connection)
    }

    /// Closes an idle connection if another one of this role would exceed a limit. Returns false if there is none to
    /// close. Load requests take long, so that their connections would otherwise leave none for calls.
    fn make_room_for_connection(&self, role: ConnectionRole) -> bool {
        let limits = &self.limits;
        if role == ConnectionRole::Control {
            let count = |pool: &Rc<WorkerPool>| pool.count(ConnectionRole::Control);
            let open: usize = self.pools().iter().map(count).sum();
            if open >= limits.max_control_connections {
                return self.close_idle_connection_of(ConnectionRole::Control);
            }
        }
        self.worker_connections.get() < limits.max_worker_connections
            || self.close_idle_connection()
    }

    fn pool(&self, worker: &str) -> Option<Rc<WorkerPool>> {
        let mut state = self.state.borrow_mut();
        let address = *state.addresses.get(worker)?;
        let pool = state
            .pools
            .entry(worker.to_string())
            .or_insert_with(|| WorkerPool::new(worker, address));
        Some(pool.clone())
    }

    /// The number of connections to workers that are open or being established.
    pub fn worker_connections(&self) -> usize {
        self.worker_connections.get()
    }
    fn pools(&self) -> Vec<Rc<WorkerPool>> {
        self.state.borrow().pools.values().cloned().collect()
    }
    /// Closes connections to workers that are idle, before the worker does, and those whose answer has stalled.
    pub fn maintain_connections(&self) {
        let pools = self.pools();
        pools.iter().for_each(|pool| pool.maintain(&self.limits));
    }
    /// Closes one idle connection to any worker to free its descriptor. Returns false if there is none.
    fn close_idle_connection(&self) -> bool {
        self.close_idle_connection_of(ConnectionRole::Control)
            || self.close_idle_connection_of(ConnectionRole::Calls)
    }
    fn close_idle_connection_of(&self, role: ConnectionRole) -> bool {
        let pools = self.pools();
        pools.iter().any(|pool| pool.close_idle_connection(role))
    }

    /// Handles the end of a control request.
    pub(super) fn on_control_ended(
        self: &Rc<Self>,
        request: ControlRequestId,
        outcome: AttemptOutcome,
        trailers: Trailers,
    ) {
        self.state.borrow_mut().control.remove(&request);
        self.feed_control_ended(request, outcome, trailers);
    }

    /// Handles an attempt that was cancelled just before it was sent.
    fn on_attempt_denied(self: &Rc<Self>, attempt: &Attempt, reason: DenialReason) {
        let reason = reason.as_str();
        let request = attempt.context.request_id();
        tracing::debug!(
            request,
            attempt = attempt.number,
            reason,
            "attempt denied before sending"
        );
        let outcome = AttemptOutcome::NeverLeft;
        self.on_attempt_ended(attempt.call, attempt.number, outcome, Trailers::default());
    }

    /// Checks invariants when the first byte of an attempt is sent.
    fn on_attempt_started(&self, now: Time, call: CallId, worker: &str, patience: Micros) {
        let mut invariants = self.invariants.borrow_mut();
        let violations = invariants.on_attempt_sent(now, call, worker, patience);
        drop(invariants);
        self.log_violations(&violations, call);
    }

    fn on_connection_closed(&self, outcome: AttemptOutcome) {
        let open = self.worker_connections.get();
        self.worker_connections.set(open.saturating_sub(1));
        self.reasons.count_disconnected(outcome);
    }

    /// Checks invariants when the first byte of a load request is sent.
    fn on_control_started(&self, request: ControlRequestId, worker: &str) {
        if self.with_dispatcher(|dispatcher| dispatcher.is_load(request)) {
            let violations = self.invariants.borrow_mut().on_load_sent(worker);
            for violation in violations {
                tracing::error!(?violation, request = request.0, %worker, "invariant violated: this is a bug in the front end");
            }
        }
    }
}

impl ConnectionHandler for Driver {
    fn spawner(&self) -> &Spawner {
        &self.spawner
    }
    fn limits(&self) -> &ServingLimits {
        &self.limits
    }
    fn now(&self) -> Time {
        Driver::now(self)
    }
    fn before_sending(self: &Rc<Self>) {
        self.read_endpoint_updates();
    }
    /// Reads the client's socket first, so that a client that has left is reported to the dispatcher before the
    /// check.
    fn may_send(self: &Rc<Self>, attempt: &Attempt) -> Result<Micros, DenialReason> {
        let is_open = self.state.borrow().calls.contains_key(&attempt.call);
        if is_open && !attempt.context.slot.is_client_waiting() {
            self.on_client_left(attempt.call);
        }
        self.with_dispatcher(|dispatcher| {
            dispatcher.may_send(self.now(), attempt.call, attempt.number)
        })
    }
    fn patience(&self, now: Time, attempt: &Attempt) -> Micros {
        self.with_dispatcher(|dispatcher| {
            dispatcher
                .may_send(now, attempt.call, attempt.number)
                .unwrap_or(0)
        })
    }
    fn may_start(&self, request: ControlRequestId) -> bool {
        self.with_dispatcher(|dispatcher| dispatcher.may_send_control(request).is_ok())
    }

    fn on_event(self: &Rc<Self>, event: ConnectionEvent<'_>) {
        match event {
            ConnectionEvent::AttemptStarted {
                attempt,
                now,
                patience,
                worker,
                connection,
            } => {
                let (request, number) = (attempt.context.request_id(), attempt.number);
                tracing::debug!(request, attempt = number, %worker, patience, connection, "attempt sent");
                self.on_attempt_started(now, attempt.call, worker, patience);
            }
            ConnectionEvent::AttemptDenied { attempt, reason } => {
                self.on_attempt_denied(attempt, reason);
            }
            ConnectionEvent::AttemptAnswered {
                attempt,
                outcome,
                trailers,
                body,
            } => {
                *attempt.context.response_body.borrow_mut() = Some(body);
                self.on_attempt_ended(attempt.call, attempt.number, outcome, trailers);
            }
            ConnectionEvent::AttemptLost { attempt, outcome } => {
                self.on_attempt_ended(attempt.call, attempt.number, outcome, Trailers::default());
            }
            ConnectionEvent::ControlStarted { request, worker } => {
                self.on_control_started(request, worker);
            }
            ConnectionEvent::ControlEnded {
                request,
                outcome,
                trailers,
            } => self.on_control_ended(request, outcome, trailers),
            ConnectionEvent::OutOfResources => {
                // Frees a descriptor for the next connection.
                if !self.close_idle_connection() {
                    self.free_client_connection();
                }
            }
            ConnectionEvent::Closed {
                worker,
                connection,
                outcome,
                open_requests,
            } => {
                self.on_connection_closed(outcome);
                tracing::debug!(%worker, connection, reason = %outcome, open = open_requests, "worker connection ended");
            }
        }
    }
}
