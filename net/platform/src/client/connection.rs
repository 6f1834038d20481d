//! One client's connection: requests in the protocol's exact form read within its times, responses written, and whatever
//! is not a valid request rejected. It knows nothing of what becomes of a request.

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

/// Limits of one request: the protocol's 16 KiB of body, and a head well over any honest one.
const REQUEST: Limits = Limits {
    head: 4 * 1024,
    body: 16 * 1024,
};
/// A connection's first request is whole by then: the protocol's 3 s, less the way of the answer.
const FIRST_WITHIN: Duration = Duration::from_millis(2300);
/// A request is whole so long after its first byte.
const WHOLE_WITHIN: Duration = Duration::from_millis(2000);
/// A first request that is found at the end of its time has at least so long to be whole.
const LEAST_WHOLE: Duration = Duration::from_millis(400);
/// A connection may be idle for so long: the protocol's 4 s, and the way of the client's close.
const IDLE: Duration = Duration::from_millis(5500);
/// A client reads its answer in this time.
const WRITTEN_WITHIN: Duration = Duration::from_millis(1000);
/// What a client that was rejected still sends is read for so long, so that its answer is not reset away.
const LINGER: Duration = Duration::from_millis(500);
/// Bytes read in one turn of the loop from one connection.
const READ_SHARE: usize = 16 * 1024;

/// What the connections of one listener share.
pub struct ConnectionContext {
    /// Time-outs.
    pub spawner: Spawner,
    /// Whether the loop was stalled, and since when.
    pub lag: Rc<Lag>,
    /// The open connections.
    pub table: ClientTable,
}

/// A valid request.
pub enum ClientRequest {
    /// Whether the front end is up.
    Alive,
    /// A call, with its body.
    Call(CallRequest, Vec<u8>),
}

/// What waiting for a request came to.
pub enum Incoming {
    /// A valid request.
    Request {
        /// What it asks for.
        request: ClientRequest,
        /// Whether its client keeps the connection.
        keep_alive: bool,
    },
    /// What is no valid request.
    Invalid(Rejection),
    /// No request: the connection ends.
    Ended(CloseReason),
}

/// Reads a message as a request, or says why it is none.
pub type ParseRequest<'a> = &'a dyn Fn(&Message<'_>) -> Result<ClientRequest, Rejection>;

/// One connection, as long as it is served.
pub struct ClientConnection {
    context: Rc<ConnectionContext>,
    entry: Rc<ClientEntry>,
    socket: Rc<Socket>,
    /// What the kernel held when it was accepted can have come since then; none once that has been read.
    waiting_since: Cell<Option<Instant>>,
    /// The earliest moment at which the last bytes read can have come.
    arrived: Cell<Instant>,
}

impl ClientConnection {
    /// One that was accepted; what the kernel held of it then can have come since `waiting_since`.
    pub fn new(
        context: Rc<ConnectionContext>,
        entry: Rc<ClientEntry>,
        socket: Socket,
        waiting_since: Instant,
    ) -> ClientConnection {
        ClientConnection {
            context,
            entry,
            socket: Rc::new(socket),
            waiting_since: Cell::new(Some(waiting_since)),
            arrived: Cell::new(waiting_since),
        }
    }

    /// A reader for its requests.
    pub fn reader() -> Reader {
        Reader::for_requests(REQUEST)
    }
    /// The open connections.
    pub fn table(&self) -> &ClientTable {
        &self.context.table
    }
    /// Its entry there.
    pub fn entry(&self) -> &ClientEntry {
        &self.entry
    }
    /// Its socket.
    pub fn socket(&self) -> &Rc<Socket> {
        &self.socket
    }
    /// The earliest moment at which the last request can have arrived.
    pub fn arrived(&self) -> Instant {
        self.arrived.get()
    }

    /// The next request. The first is whole in its time from the connection's start, a later one from its first byte.
    pub async fn next_request(
        &self,
        reader: &mut Reader,
        is_first: bool,
        parse: ParseRequest<'_>,
    ) -> Incoming {
        let began = Instant::now();
        let silence_limit = if is_first { FIRST_WITHIN } else { IDLE };
        // What came before its time is rejected with its request: nothing is buffered here.
        if !(is_first && self.read_accepted(reader)) {
            let read = poll_fn(|cx| self.poll_read(cx, reader));
            let read = within(self.context.spawner.sleep(silence_limit), read).await;
            if !read.unwrap_or_else(|| self.read_buffered(reader)) {
                return Incoming::Ended(self.silence_reason(read.is_some(), is_first));
            }
        }
        let whole_within = if is_first {
            silence_limit
                .saturating_sub(began.elapsed())
                .max(LEAST_WHOLE)
        } else {
            WHOLE_WITHIN
        };
        let limit = self.context.spawner.sleep(whole_within);
        within(limit, self.read_request(reader, parse))
            .await
            .unwrap_or(Incoming::Invalid(Rejection::TooSlow))
    }

    /// A connection is closed for its silence only if the kernel holds nothing of it either. Whether it holds something,
    /// which is then read.
    fn read_buffered(&self, reader: &mut Reader) -> bool {
        let mut buffer = [0u8; 8 * 1024];
        let count = self.socket.read_now(&mut buffer).unwrap_or(0);
        self.on_bytes(reader, &buffer[..count]);
        count > 0
    }

    /// Reads what came before the connection was accepted, which may be long ago; what comes later is new.
    fn read_accepted(&self, reader: &mut Reader) -> bool {
        let read = self.read_buffered(reader);
        self.waiting_since.set(None);
        read
    }

    /// Why the connection ends that brought no request.
    fn silence_reason(&self, was_read: bool, is_first: bool) -> CloseReason {
        match (self.entry.is_shed.get(), was_read, is_first) {
            (true, ..) => CloseReason::GaveWay,
            (_, true, _) => CloseReason::ClientLeft,
            (_, false, true) => CloseReason::Silent,
            (_, false, false) => CloseReason::Idle,
        }
    }

    /// Reads one piece; ready: whether there was one. A connection that is shed has none but what the kernel holds.
    fn poll_read(&self, cx: &Context<'_>, reader: &mut Reader) -> Poll<bool> {
        if self.entry.is_shed.get() {
            return Poll::Ready(self.read_buffered(reader));
        }
        let mut buffer = [0u8; 8 * 1024];
        *self.entry.waker.borrow_mut() = Some(cx.waker().clone());
        let count = std::task::ready!(self.socket.poll_read(cx, &mut buffer)).unwrap_or(0);
        self.on_bytes(reader, &buffer[..count]);
        Poll::Ready(count > 0)
    }

    /// Takes bytes that were read.
    fn on_bytes(&self, reader: &mut Reader, bytes: &[u8]) {
        if bytes.is_empty() {
            return;
        }
        let now = Instant::now();
        let waiting_since = self.waiting_since.get().unwrap_or(now);
        self.arrived
            .set(self.context.lag.earliest_arrival(now).min(waiting_since));
        if reader.is_empty() {
            self.entry.phase.set(Phase::PartialRequest(now));
            self.table().cancel_shedding(&self.entry);
        }
        reader.push_bytes(bytes);
    }

    /// Reads until a request is whole, or can't be one.
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
            if bytes_read >= READ_SHARE {
                // The other connections come first.
                bytes_read = 0;
                cx.waker().wake_by_ref();
                return Poll::Pending;
            }
            let buffered = reader.len();
            if std::task::ready!(self.poll_read(cx, reader)) {
                bytes_read += reader.len() - buffered;
                continue;
            }
            return Poll::Ready(if self.entry.is_shed.get() {
                Incoming::Invalid(Rejection::Shed)
            } else {
                Incoming::Ended(CloseReason::ClientLeft)
            });
        })
        .await
    }

    /// Writes a response; whether it was taken.
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
        within(self.context.spawner.sleep(WRITTEN_WITHIN), written)
            .await
            .unwrap_or(false)
    }

    /// Answers what is no valid request, and ends.
    pub async fn reject(&self, rejection: Rejection) -> CloseReason {
        let (status, reason) = (rejection.status(), rejection.to_string());
        tracing::debug!(status, what = reason.as_str(), "a client is turned away");
        let mut bytes = Vec::new();
        tansy_http1::write_response(&mut bytes, status, "", reason.as_bytes(), false);
        if self.write(&bytes).await {
            self.linger().await;
        }
        CloseReason::BadRequest
    }

    /// Ends our side, and reads what still comes for a while: closing on unread input would reset the answer away.
    pub async fn linger(&self) {
        if self.socket.shutdown().is_err() {
            return;
        }
        let drained = poll_fn(|cx| {
            let mut buffer = [0u8; READ_SHARE];
            match std::task::ready!(self.socket.poll_read(cx, &mut buffer)) {
                Ok(count) if count > 0 => {
                    cx.waker().wake_by_ref();
                    Poll::Pending
                }
                _ => Poll::Ready(()),
            }
        });
        within(self.context.spawner.sleep(LINGER), drained).await;
    }
}

/// The request at the front of what was read; none: more has to come.
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
