//! The task of one connection to a worker: connects, sends queued messages, reads answers, and reports each event to
//! the handler.

use super::events::{ConnectionEvent, ConnectionHandler};
use super::{Pending, WorkerConnection};
use crate::outbox::OutgoingMessage;
use std::collections::HashMap;
use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Instant;
use tansy_dispatch::{AttemptOutcome, ControlRequestId, ResponseStage, Trailers};
use tansy_net_sockets::socket::{is_out_of_resources, Socket};
use tansy_net_sockets::within;
use tansy_platform::request::RequestId;
use tansy_platform::{parse_answer, AnswerError, WorkerAnswer};
use tansy_resp::{Limits, ParseError, Reader};
use tansyrouter::Time;

/// Limits of one answer.
const ANSWER_LIMITS: Limits = Limits {
    string: 256 * 1024,
    strings: 4,
};
/// Maximum number of bytes read from one connection per turn of the event loop.
const MAX_READ_PER_TURN: usize = 64 * 1024;
/// The outcome of a connection that is lost before any part of an answer is known.
const CONNECTION_LOST: AttemptOutcome = AttemptOutcome::ConnectionCut {
    stage: ResponseStage::Nothing,
};
/// The outcome of a connection on which an answer cannot be read: where the next one starts is unknown.
const INVALID_ANSWER: AttemptOutcome = AttemptOutcome::InvalidResponse {
    stage: ResponseStage::Headers,
};
/// The outcome of a probe that was answered.
const PROBE_ANSWERED: AttemptOutcome = AttemptOutcome::Status {
    code: 0,
    stage: ResponseStage::Headers,
};

/// Why the bytes on a connection are not an answer.
#[derive(Debug, thiserror::Error)]
enum InvalidAnswer {
    /// They are not an array of strings.
    #[error(transparent)]
    Encoding(#[from] ParseError),
    /// The array is not an answer.
    #[error(transparent)]
    Form(#[from] AnswerError),
}

/// Runs a connection until it ends.
pub async fn run_connection<H: ConnectionHandler>(
    handler: Rc<H>,
    address: SocketAddr,
    connection: Rc<WorkerConnection>,
) {
    let outcome = connect_and_serve(&handler, address, &connection).await;
    connection.end(&handler, outcome);
}

async fn connect_and_serve<H: ConnectionHandler>(
    handler: &Rc<H>,
    address: SocketAddr,
    connection: &Rc<WorkerConnection>,
) -> AttemptOutcome {
    // A local shortage of resources says nothing about the worker.
    let failed = |error: io::Error| {
        if is_out_of_resources(&error) {
            handler.on_event(ConnectionEvent::OutOfResources);
            return AttemptOutcome::NeverLeft;
        }
        AttemptOutcome::ConnectRefused
    };
    let socket = match Socket::connect(handler.spawner().handle(), address) {
        Ok(socket) => socket,
        Err(error) => return failed(error),
    };
    let limit = handler.spawner().sleep(handler.limits().connect_timeout);
    let connected = poll_fn(|cx| {
        let mut state = connection.state.borrow_mut();
        if state.abort.is_some() {
            return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
        }
        state.waker = Some(cx.waker().clone());
        socket.poll_connected(cx)
    });
    match within(limit, connected).await {
        None => return AttemptOutcome::ConnectTimedOut,
        Some(Err(error)) => return failed(error),
        Some(Ok(())) => connection.state.borrow_mut().connected = true,
    }
    let mut reader = Reader::new(ANSWER_LIMITS);
    poll_fn(|cx| connection.poll(handler, &socket, &mut reader, cx)).await
}

impl WorkerConnection {
    /// Sends queued messages and reads available answers. Resolves to the outcome once the connection has ended.
    fn poll<H: ConnectionHandler>(
        &self,
        handler: &Rc<H>,
        socket: &Socket,
        reader: &mut Reader,
        cx: &Context<'_>,
    ) -> Poll<AttemptOutcome> {
        {
            let mut state = self.state.borrow_mut();
            state.waker = Some(cx.waker().clone());
            if let Some(outcome) = state.abort {
                return Poll::Ready(outcome);
            }
        }
        let has_queued = !self.state.borrow().outbox.is_empty();
        if has_queued && self.flush(handler, socket, cx).is_err() {
            return Poll::Ready(CONNECTION_LOST);
        }
        {
            let state = self.state.borrow();
            if let Some(outcome) = state.abort {
                return Poll::Ready(outcome);
            }
            let is_idle = state.attempts.is_empty() && state.control.is_empty();
            if state.retired && is_idle && state.outbox.is_empty() {
                return Poll::Ready(AttemptOutcome::NeverLeft);
            }
        }
        self.poll_answers(handler, socket, reader, cx)
    }

    /// Reads up to [`MAX_READ_PER_TURN`] bytes and reports each complete answer.
    fn poll_answers<H: ConnectionHandler>(
        &self,
        handler: &Rc<H>,
        socket: &Socket,
        reader: &mut Reader,
        cx: &Context<'_>,
    ) -> Poll<AttemptOutcome> {
        let mut buffer = [0u8; 16 * 1024];
        let mut bytes_read = 0;
        loop {
            let count = match socket.poll_read(cx, &mut buffer) {
                Poll::Ready(Ok(count)) if count > 0 => count,
                Poll::Ready(_) => return Poll::Ready(CONNECTION_LOST),
                Poll::Pending => return Poll::Pending,
            };
            self.state.borrow_mut().last_read = Instant::now();
            reader.push_bytes(&buffer[..count]);
            loop {
                match self.read_answer(handler, reader) {
                    Ok(true) => {}
                    Ok(false) => break,
                    Err(error) => {
                        let (worker, connection) = (&self.worker, self.serial);
                        tracing::debug!(%worker, connection, %error, "invalid answer from a worker");
                        return Poll::Ready(INVALID_ANSWER);
                    }
                }
            }
            self.state.borrow_mut().has_partial_answer = reader.has_partial();
            bytes_read += count;
            if bytes_read >= MAX_READ_PER_TURN {
                // Yield to the other connections.
                cx.waker().wake_by_ref();
                return Poll::Pending;
            }
        }
    }

    /// Reads and reports the next answer. Returns false if it is incomplete.
    fn read_answer<H: ConnectionHandler>(
        &self,
        handler: &Rc<H>,
        reader: &mut Reader,
    ) -> Result<bool, InvalidAnswer> {
        let Some(strings) = reader.next_array()? else {
            return Ok(false);
        };
        let answer = parse_answer(&strings, handler.limits().reports_concurrency)?;
        self.on_answer(handler, &answer);
        Ok(true)
    }

    /// Matches an answer to the open attempt or control request with its tag, and reports it. Answers to unknown tags
    /// are ignored.
    fn on_answer<H: ConnectionHandler>(&self, handler: &Rc<H>, answer: &WorkerAnswer<'_>) {
        let (tag, body) = (answer.tag, answer.body);
        let (outcome, trailers) = (answer.reply.outcome, answer.reply.trailers);
        let id: Option<RequestId> = tag.try_into().ok();
        let pending = id.and_then(|id| take_started(&mut self.state.borrow_mut().attempts, &id));
        if let Some(pending) = pending {
            return handler.on_event(ConnectionEvent::AttemptAnswered {
                attempt: &pending.request,
                outcome,
                trailers,
                body: body.to_vec(),
            });
        }
        let request = tag
            .strip_prefix(b"o")
            .and_then(|digits| std::str::from_utf8(digits).ok()?.parse().ok())
            .map(ControlRequestId)
            .filter(|id| take_started(&mut self.state.borrow_mut().control, id).is_some());
        if let Some(request) = request {
            let outcome = if answer.answers_probe {
                PROBE_ANSWERED
            } else {
                outcome
            };
            handler.on_event(ConnectionEvent::ControlEnded {
                request,
                outcome,
                trailers,
            });
        }
    }

    /// Repeats the checks of queued attempts and control requests, and cancels those that are no longer allowed. Time
    /// may have passed since they were queued: the connection was not established, or the event loop stalled.
    fn cancel_denied<H: ConnectionHandler>(&self, handler: &Rc<H>) {
        handler.before_sending();
        let queued: Vec<RequestId> = self.state.borrow().outbox.attempts().collect();
        for id in queued {
            let pending = self
                .state
                .borrow()
                .attempts
                .get(&id)
                .map(|pending| pending.request.clone());
            let Some(attempt) = pending else {
                continue;
            };
            let Err(reason) = handler.may_send(&attempt) else {
                continue;
            };
            // `may_send` may already have ended and cancelled this attempt.
            let cancelled = {
                let mut state = self.state.borrow_mut();
                let was_open = state.attempts.remove(&id).is_some();
                state.outbox.cancel_attempt(&id) && was_open
            };
            if cancelled {
                handler.on_event(ConnectionEvent::AttemptDenied {
                    attempt: &attempt,
                    reason,
                });
            }
        }
        let queued: Vec<ControlRequestId> = self.state.borrow().outbox.control_requests().collect();
        for request in queued {
            if handler.may_start(request) {
                continue;
            }
            if let Some(outcome) = self.recall_control(request) {
                handler.on_event(ConnectionEvent::ControlEnded {
                    request,
                    outcome,
                    trailers: Trailers::default(),
                });
            }
        }
    }

    /// Sends the queued messages that are still allowed.
    fn flush<H: ConnectionHandler>(
        &self,
        handler: &Rc<H>,
        socket: &Socket,
        cx: &Context<'_>,
    ) -> io::Result<()> {
        self.cancel_denied(handler);
        let state = &mut *self.state.borrow_mut();
        if state.abort.is_some() {
            return Ok(());
        }
        // One timestamp for the whole batch: each worker's time limit is computed and checked against it.
        let now = handler.now();
        let attempts = &state.attempts;
        let mut started = Vec::new();
        let flushed = state.outbox.flush(
            |message| match message {
                OutgoingMessage::Attempt(id) => attempts.get(id).map_or(Vec::new(), |pending| {
                    let patience = handler.patience(now, &pending.request);
                    pending.request.encode(handler.limits(), patience)
                }),
                OutgoingMessage::Control(_, bytes) | OutgoingMessage::Unacknowledged(bytes) => {
                    bytes.clone()
                }
            },
            |message| started.push(message.clone()),
            |bytes| socket.poll_write(cx, bytes),
        );
        for message in started {
            match message {
                OutgoingMessage::Attempt(id) => {
                    self.attempt_started(handler, state.attempts.get_mut(&id), now);
                }
                OutgoingMessage::Control(request, _) => {
                    self.control_started(handler, request, state.control.get_mut(&request));
                }
                OutgoingMessage::Unacknowledged(_) => {}
            }
        }
        flushed
    }

    fn attempt_started<H: ConnectionHandler>(
        &self,
        handler: &Rc<H>,
        pending: Option<&mut Pending<crate::call::Attempt>>,
        now: Time,
    ) {
        let Some(pending) = pending else { return };
        pending.started = true;
        handler.on_event(ConnectionEvent::AttemptStarted {
            attempt: &pending.request,
            now,
            patience: handler.patience(now, &pending.request),
            worker: &self.worker,
            connection: self.serial,
        });
    }

    fn control_started<H: ConnectionHandler>(
        &self,
        handler: &Rc<H>,
        request: ControlRequestId,
        pending: Option<&mut Pending<()>>,
    ) {
        let Some(pending) = pending else { return };
        pending.started = true;
        handler.on_event(ConnectionEvent::ControlStarted {
            request,
            worker: &self.worker,
        });
    }

    /// Ends the connection and all requests that are open on it.
    fn end<H: ConnectionHandler>(&self, handler: &Rc<H>, outcome: AttemptOutcome) {
        let (mut attempts, mut control) = {
            let mut state = self.state.borrow_mut();
            state.ended = true;
            state.outbox.clear();
            let attempts: Vec<_> = std::mem::take(&mut state.attempts).into_values().collect();
            let control: Vec<_> = std::mem::take(&mut state.control).into_iter().collect();
            (attempts, control)
        };
        handler.on_event(ConnectionEvent::Closed {
            worker: &self.worker,
            connection: self.serial,
            outcome,
            open_requests: attempts.len() + control.len(),
        });
        attempts.sort_by_key(|pending| pending.request.call);
        control.sort_by_key(|(request, _)| *request);
        for pending in attempts {
            handler.on_event(ConnectionEvent::AttemptLost {
                attempt: &pending.request,
                outcome: request_outcome(pending.started, outcome),
            });
        }
        for (request, pending) in control {
            // An unreadable answer on the connection is not an answer to the control request.
            let outcome = match request_outcome(pending.started, outcome) {
                AttemptOutcome::InvalidResponse { .. } => CONNECTION_LOST,
                other => other,
            };
            handler.on_event(ConnectionEvent::ControlEnded {
                request,
                outcome,
                trailers: Trailers::default(),
            });
        }
    }
}

/// The outcome of a request whose connection ended with `outcome`.
fn request_outcome(started: bool, outcome: AttemptOutcome) -> AttemptOutcome {
    let was_connected = !matches!(
        outcome,
        AttemptOutcome::ConnectRefused | AttemptOutcome::ConnectTimedOut
    );
    if was_connected && !started {
        AttemptOutcome::NeverLeft
    } else {
        outcome
    }
}

/// Removes a request by its key if it has been sent. A request that was not sent cannot have been answered, so an
/// answer to it is ignored.
fn take_started<K: Eq + std::hash::Hash, T>(
    open: &mut HashMap<K, Pending<T>>,
    key: &K,
) -> Option<Pending<T>> {
    open.get(key).filter(|pending| pending.started)?;
    open.remove(key)
}
