//! One client connection: reads and parses requests within their time limits, writes responses, and rejects invalid
//! input. How a request is answered is left to [`super::session`].

use super::rejection::Rejection;
use super::table::{ClientEntry, ClientTable, Phase};
use crate::reasons::CloseReason;
use crate::response_slot::FinalResponse;
use std::cell::Cell;
use std::future::poll_fn;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};
use tansy_http1::{Limits, Message, Reader};
use tansy_net_sockets::lag::Lag;
use tansy_net_sockets::{socket::Socket, within, Spawner};
use tansy_platform::CallRequest;

/// Limits of one request. The protocol allows a body of 16 KiB; valid heads are far smaller than the limit.
const REQUEST_LIMITS: Limits = Limits {
    head: 4 * 1024,
    body: 16 * 1024,
};
/// Time limit for a connection's first request. The protocol sets 3 s; the difference leaves time to deliver the
/// response.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(2300);
/// Time limit for a complete request, from its first byte.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2000);
/// Minimum time to complete a first request whose first byte arrives late within [`FIRST_REQUEST_TIMEOUT`].
const MIN_REQUEST_TIMEOUT: Duration = Duration::from_millis(400);
/// Idle time limit between requests. The protocol sets 4 s; the difference leaves time for the client's close to
/// arrive.
const IDLE_TIMEOUT: Duration = Duration::from_millis(5500);
/// Time limit for a client to read its response.
const WRITE_TIMEOUT: Duration = Duration::from_millis(1000);
/// Time limit for draining a client's input after the last response. Closing with unread input would reset the
/// connection and could discard the response.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum number of bytes read from one connection per turn of the event loop.
const MAX_READ_PER_TURN: usize = 16 * 1024;

/// State shared by the connections of one listener.
pub struct ConnectionContext {
    /// Spawns tasks and timeouts.
    pub spawner: Spawner,
    /// Detects stalls of the event loop.
    pub lag: Rc<Lag>,
    /// The open client connections.
    pub table: Rc<ClientTable>,
}

/// A valid request.
pub enum ClientRequest {
    /// A health check of the front end.
    Alive,
    /// A call, with its body.
    Call(CallRequest, Vec<u8>),
}

/// The result of waiting for a request.
pub enum Incoming {
    /// A valid request.
    Request {
        /// The request.
        request: ClientRequest,
        /// Whether the client keeps the connection open.
        keep_alive: bool,
    },
    /// Invalid input, to be rejected.
    Invalid(Rejection),
    /// No request arrived; the connection ends.
    Ended(CloseReason),
}

/// Converts a complete HTTP message to a request, or returns why it is rejected.
pub type ParseRequest<'a> = &'a dyn Fn(&Message<'_>) -> Result<ClientRequest, Rejection>;

/// An open client connection.
pub struct ClientConnection {
    context: Rc<ConnectionContext>,
    entry: Rc<ClientEntry>,
    socket: Rc<Socket>,
    /// The earliest arrival time of input that was received before the connection was accepted; none once that input
    /// has been read.
    queued_since: Cell<Option<Instant>>,
    /// The earliest possible arrival time of the last bytes read.
    arrived: Cell<Instant>,
}

impl ClientConnection {
    /// Creates a connection whose input may have waited in the kernel since `queued_since`.
    pub fn new(
        context: Rc<ConnectionContext>,
        entry: Rc<ClientEntry>,
        socket: Socket,
        queued_since: Instant,
    ) -> ClientConnection {
        ClientConnection {
            context,
            entry,
            socket: Rc::new(socket),
            queued_since: Cell::new(Some(queued_since)),
            arrived: Cell::new(queued_since),
        }
    }

    /// Creates a reader for the requests of a connection.
    pub fn reader() -> Reader {
        Reader::for_requests(REQUEST_LIMITS)
    }
    /// The open client connections.
    pub fn table(&self) -> &Rc<ClientTable> {
        &self.context.table
    }
    /// This connection's entry in the table.
    pub fn entry(&self) -> &Rc<ClientEntry> {
        &self.entry
    }
    /// Changes the connection's phase.
    pub fn set_phase(&self, phase: Phase) {
        self.table().set_phase(&self.entry, phase);
    }
    /// The connection's socket.
    pub fn socket(&self) -> &Rc<Socket> {
        &self.socket
    }
    /// The earliest possible arrival time of the last request.
    pub fn arrived(&self) -> Instant {
        self.arrived.get()
    }

    /// Waits for the next request. The time limit of the first request counts from the start of the connection, that
    /// of later ones from their first byte.
    pub async fn next_request(
        &self,
        reader: &mut Reader,
        is_first: bool,
        parse: ParseRequest<'_>,
    ) -> Incoming {
        let started_at = Instant::now();
        let first_byte_timeout = if is_first {
            FIRST_REQUEST_TIMEOUT
        } else {
            IDLE_TIMEOUT
        };
        // The reader is empty here: a request that is followed by further bytes is rejected.
        if !(is_first && self.read_queued(reader)) {
            let read = poll_fn(|cx| self.poll_read(cx, reader));
            let read = within(self.context.spawner.sleep(first_byte_timeout), read).await;
            if !read.unwrap_or_else(|| self.read_buffered(reader)) {
                return Incoming::Ended(self.close_reason(read.is_some(), is_first));
            }
        }
        let request_timeout = if is_first {
            first_byte_timeout
                .saturating_sub(started_at.elapsed())
                .max(MIN_REQUEST_TIMEOUT)
        } else {
            REQUEST_TIMEOUT
        };
        let limit = self.context.spawner.sleep(request_timeout);
        within(limit, self.read_request(reader, parse))
            .await
            .unwrap_or(Incoming::Invalid(Rejection::TooSlow))
    }

    /// Reads the input that the kernel holds, and returns whether there was any. A connection is closed for
    /// inactivity only if there is none.
    fn read_buffered(&self, reader: &mut Reader) -> bool {
        let mut buffer = [0u8; 8 * 1024];
        let count = self.socket.read_now(&mut buffer).unwrap_or(0);
        self.on_bytes(reader, &buffer[..count]);
        count > 0
    }

    /// Reads input that arrived before the connection was accepted. Later input counts as new.
    fn read_queued(&self, reader: &mut Reader) -> bool {
        let read = self.read_buffered(reader);
        self.queued_since.set(None);
        read
    }

    /// Why a connection without a request is closed.
    fn close_reason(&self, read_ended: bool, is_first: bool) -> CloseReason {
        match (self.entry.is_evicted(), read_ended, is_first) {
            (true, ..) => CloseReason::Evicted,
            (_, true, _) => CloseReason::ClientLeft,
            (_, false, true) => CloseReason::Silent,
            (_, false, false) => CloseReason::Idle,
        }
    }

    /// Reads available input, and resolves to whether there was any. If the connection is being evicted, only reads
    /// what the kernel already holds.
    fn poll_read(&self, cx: &Context<'_>, reader: &mut Reader) -> Poll<bool> {
        if self.entry.is_evicted() {
            return Poll::Ready(self.read_buffered(reader));
        }
        let mut buffer = [0u8; 8 * 1024];
        self.entry.set_waker(cx.waker());
        let count = std::task::ready!(self.socket.poll_read(cx, &mut buffer)).unwrap_or(0);
        self.on_bytes(reader, &buffer[..count]);
        Poll::Ready(count > 0)
    }

    /// Passes bytes to the reader, and updates the arrival time and the phase.
    fn on_bytes(&self, reader: &mut Reader, bytes: &[u8]) {
        if bytes.is_empty() {
            return;
        }
        let now = Instant::now();
        let queued_since = self.queued_since.get().unwrap_or(now);
        self.arrived
            .set(self.context.lag.earliest_arrival(now).min(queued_since));
        if reader.is_empty() {
            self.set_phase(Phase::PartialRequest);
            self.table().cancel_eviction(&self.entry);
        }
        reader.push_bytes(bytes);
    }

    /// Reads until a request is complete or invalid.
    async fn read_request(&self, reader: &mut Reader, parse: ParseRequest<'_>) -> Incoming {
        let mut bytes_read = 0;
        poll_fn(move |cx| loop {
            if reader.is_empty() {
                if !std::task::ready!(self.poll_read(cx, reader)) {
                    return Poll::Ready(Incoming::Ended(CloseReason::ClientLeft));
                }
                continue;
            }
            if let Some(incoming) = take_request(reader, parse) {
                return Poll::Ready(incoming);
            }
            if bytes_read >= MAX_READ_PER_TURN {
                // Yield to the other connections.
                bytes_read = 0;
                cx.waker().wake_by_ref();
                return Poll::Pending;
            }
            let buffered = reader.len();
            if std::task::ready!(self.poll_read(cx, reader)) {
                bytes_read += reader.len() - buffered;
                continue;
            }
            return Poll::Ready(if self.entry.is_evicted() {
                Incoming::Invalid(Rejection::Evicted)
            } else {
                Incoming::Ended(CloseReason::ClientLeft)
            });
        })
        .await
    }

    /// Writes a response and returns whether the client took all of it in time.
    pub async fn write_response(&self, response: FinalResponse, keep_alive: bool) -> bool {
        let retry_after = response.retry_after;
        let extra = if retry_after > 0 {
            format!("Retry-After-Ms: {}\r\n", (retry_after + 999) / 1000)
        } else {
            String::new()
        };
        let mut bytes = Vec::new();
        tansy_http1::write_response(
            &mut bytes,
            response.status,
            &extra,
            &response.body,
            keep_alive,
        );
        self.write(&bytes).await
    }

    async fn write(&self, mut bytes: &[u8]) -> bool {
        let written = async {
            while !bytes.is_empty() {
                match poll_fn(|cx| self.socket.poll_write(cx, bytes)).await {
                    Ok(count) if count > 0 => bytes = &bytes[count..],
                    _ => return false,
                }
            }
            true
        };
        within(self.context.spawner.sleep(WRITE_TIMEOUT), written)
            .await
            .unwrap_or(false)
    }

    /// Writes an error response and lingers.
    pub async fn reject(&self, rejection: Rejection) -> CloseReason {
        let (status, reason) = (rejection.status(), rejection.to_string());
        tracing::debug!(status, reason = reason.as_str(), "client rejected");
        let mut bytes = Vec::new();
        tansy_http1::write_response(&mut bytes, status, "", reason.as_bytes(), false);
        if self.write(&bytes).await {
            self.linger().await;
        }
        CloseReason::BadRequest
    }

    /// Shuts down the sending side and drains the client's input for a limited time, unless the connection is evicted.
    /// Closing with unread input would reset the connection and could discard the response.
    pub async fn linger(&self) {
        if self.socket.shutdown().is_err() || self.entry.is_evicted() {
            return;
        }
        self.set_phase(Phase::Closing);
        let drained = poll_fn(|cx| {
            let mut buffer = [0u8; MAX_READ_PER_TURN];
            if self.entry.is_evicted() {
                return Poll::Ready(());
            }
            self.entry.set_waker(cx.waker());
            match std::task::ready!(self.socket.poll_read(cx, &mut buffer)) {
                Ok(count) if count > 0 => {
                    cx.waker().wake_by_ref();
                    Poll::Pending
                }
                _ => Poll::Ready(()),
            }
        });
        within(self.context.spawner.sleep(LINGER_TIMEOUT), drained).await;
    }
}

/// Takes the request at the front of the buffer; none if it is incomplete.
fn take_request(reader: &mut Reader, parse: ParseRequest<'_>) -> Option<Incoming> {
    match reader.message(|message| (parse(&message), message.keep_alive)) {
        Ok(Some((Ok(request), keep_alive))) => {
            if reader.trailing_bytes() > 0 {
                return Some(Incoming::Invalid(Rejection::Pipelined));
            }
            reader.discard_message();
            Some(Incoming::Request {
                request,
                keep_alive,
            })
        }
        Ok(Some((Err(rejection), _))) => Some(Incoming::Invalid(rejection)),
        Ok(None) => None,
        Err(error) => Some(Incoming::Invalid(Rejection::Http(error))),
    }
}
