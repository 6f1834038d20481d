//! Listeners, connections of clients, and the messages that they send.

use crate::io::{ends, Flusher, Io};
use bytes::Bytes;
use calloop::generic::Generic;
use calloop::{Interest, Mode, PostAction, RegistrationToken};
use h2::server::SendResponse;
use h2::{RecvStream, SendStream};
use http::{HeaderMap, HeaderValue, Request, Response};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::Future;
use std::io;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::task::{Poll, Waker};
use std::time::Duration;
use tansy_frames::grpc::{encode_message, frame, Assembler, Code, FrameError};
use tansy_net_sockets::interrupt::Uninterrupted;
use tansy_net_sockets::socket::Socket;
use tansy_net_sockets::{within, Spawner, Yield};

/// Bounds of what clients may do.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Connections held at once; further ones wait in the kernel's queue.
    pub connections: usize,
    /// Streams on one connection.
    pub streams: u32,
    /// Bytes of headers in one request.
    pub header_bytes: u32,
    /// Bytes that may wait unread for one stream.
    pub stream_window: u32,
    /// Bytes of one message.
    pub message_bytes: usize,
    /// Time to send the connection's preface.
    pub preface_within: Duration,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            connections: 20_000,
            streams: 10_000,
            header_bytes: 16 * 1024,
            stream_window: 64 * 1024,
            message_bytes: 4 * 1024 * 1024,
            preface_within: Duration::from_secs(5),
        }
    }
}

/// After an error of accept the next try comes so much later.
const REST: Duration = Duration::from_millis(20);
/// Time for the last frames of a connection that ends.
const LAST_FRAMES: Duration = Duration::from_secs(1);

/// One request and the way to answer it.
pub type Handler = Rc<dyn Fn(Request<RecvStream>, SendResponse<Bytes>)>;

/// A listener's connections.
pub struct Server {
    spawner: Spawner,
    limits: Limits,
    handler: Handler,
    connections: Cell<usize>,
    closing: Cell<bool>,
    /// After an error of accept, until it is tried again.
    resting: Cell<bool>,
    cuts: Cell<u64>,
    sheds: Cell<u64>,
    /// Of the connections' drivers, by connection: each is found without a look at the others.
    wakers: RefCell<HashMap<u64, Waker>>,
    next: Cell<u64>,
    resume: RefCell<Option<calloop::ping::Ping>>,
    /// Until it is closed: the listener, and what waits for connections on it.
    listens: RefCell<Option<(Rc<TcpListener>, Vec<RegistrationToken>)>>,
}

impl Server {
    /// Serves the connections of a listener, each request by the handler.
    pub fn start(
        spawner: Spawner,
        listener: TcpListener,
        limits: Limits,
        handler: Handler,
    ) -> io::Result<Rc<Server>> {
        listener.set_nonblocking(true)?;
        let server = Rc::new(Server {
            spawner: spawner.clone(),
            limits,
            handler,
            connections: Cell::new(0),
            closing: Cell::new(false),
            resting: Cell::new(false),
            cuts: Cell::new(0),
            sheds: Cell::new(0),
            wakers: RefCell::new(HashMap::new()),
            next: Cell::new(0),
            resume: RefCell::new(None),
            listens: RefCell::new(None),
        });
        // A listener that is full is not read until a connection ends; the ping wakes it.
        let (ping, pinged) = calloop::ping::make_ping()?;
        *server.resume.borrow_mut() = Some(ping);
        let listener = Rc::new(listener);
        let inserted = |e: String| io::Error::other(e);
        let mut sources = Vec::new();
        let (a, b) = (server.clone(), listener.clone());
        let source = Generic::new(
            OwnedListener(listener.try_clone()?),
            Interest::READ,
            // Edge: what is left in the queue when the server is full is taken when a connection ends.
            Mode::Edge,
        );
        let accepts = spawner.handle().insert_source(source, move |_, _, ()| {
            a.accept(&b);
            Ok(PostAction::Continue)
        });
        sources.push(accepts.map_err(|e| inserted(e.to_string()))?);
        let (a, b) = (server.clone(), listener.clone());
        let pinged = Uninterrupted(pinged);
        let pinged = spawner
            .handle()
            .insert_source(pinged, move |(), _, ()| a.accept(&b));
        sources.push(pinged.map_err(|e| inserted(e.to_string()))?);
        *server.listens.borrow_mut() = Some((listener, sources));
        Ok(server)
    }

    fn wake_all(&self) {
        std::mem::take(&mut *self.wakers.borrow_mut())
            .into_values()
            .for_each(Waker::wake);
    }

    /// Takes no new connection, and tells clients to open no new stream; those open go on.
    ///
    /// Connections that the kernel has taken by now are served as the others; whoever comes later is turned away by the
    /// kernel, and knows at once to go elsewhere. Left in the queue, they would wait for an answer that never comes.
    pub fn close(self: &Rc<Self>) {
        if let Some((listener, sources)) = self.listens.borrow_mut().take() {
            self.accept(&listener);
            sources
                .into_iter()
                .for_each(|s| self.spawner.handle().remove(s));
        }
        self.closing.set(true);
        self.wake_all();
    }

    /// Ends every connection that stands at once, with all that is open on it.
    pub fn drop_connections(&self) {
        self.cuts.set(self.cuts.get() + 1);
        self.wake_all();
    }

    /// Tells the clients of the connections that stand to open no new stream there; new connections are taken.
    pub fn drain_connections(&self) {
        self.sheds.set(self.sheds.get() + 1);
        self.wake_all();
    }

    /// Connections that stand.
    pub fn connections(&self) -> usize {
        self.connections.get()
    }

    fn accept(self: &Rc<Self>, listener: &TcpListener) {
        while !self.closing.get() && self.connections.get() < self.limits.connections {
            match listener.accept() {
                Ok((socket, _)) => {
                    if let Err(e) = self.take(socket) {
                        tracing::warn!(error = %e, "a connection could not be taken");
                    }
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                // The call was interrupted, or the connection died in the queue: the next one may fare better.
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) if e.kind() == io::ErrorKind::ConnectionAborted => {}
                Err(e) => {
                    tracing::warn!(error = %e, "accepting rests");
                    return self.rest();
                }
            }
        }
    }

    /// Accepts again after a while: the listener is told by edges, and nobody else may come.
    fn rest(self: &Rc<Self>) {
        if self.resting.replace(true) {
            return;
        }
        let server = self.clone();
        self.spawner.spawn(async move {
            server.spawner.sleep(REST).await;
            server.resting.set(false);
            let listener = server.listens.borrow().as_ref().map(|l| l.0.clone());
            if let Some(listener) = listener {
                server.accept(&listener);
            }
        });
    }

    fn take(self: &Rc<Self>, socket: TcpStream) -> io::Result<()> {
        socket.set_nodelay(true)?;
        let (io, flusher) = ends(Socket::new(self.spawner.handle(), socket)?, None);
        self.connections.set(self.connections.get() + 1);
        let server = self.clone();
        self.spawner.spawn(async move {
            let number = server.next.replace(server.next.get() + 1);
            server.serve(number, io, &flusher).await;
            server.wakers.borrow_mut().remove(&number);
            // The last frames, if the other side takes them.
            let last = std::future::poll_fn(|cx| flusher.poll_flush(cx));
            within(server.spawner.sleep(LAST_FRAMES), last).await;
            server.connections.set(server.connections.get() - 1);
            if let Some(ping) = &*server.resume.borrow() {
                ping.ping();
            }
        });
        Ok(())
    }

    async fn serve(&self, number: u64, io: Io, flusher: &Flusher) {
        let limits = &self.limits;
        let handshake = h2::server::Builder::new()
            .initial_window_size(limits.stream_window)
            .initial_connection_window_size((1 << 31) - 1)
            .max_concurrent_streams(limits.streams)
            .max_header_list_size(limits.header_bytes)
            // Clients may cancel many calls at once; those that only open and cancel are still cut off.
            .max_concurrent_reset_streams(1000)
            .max_pending_accept_reset_streams(1000)
            .max_send_buffer_size(limits.stream_window as usize)
            .handshake::<_, Bytes>(io);
        let limit = self.spawner.sleep(limits.preface_within);
        let mut handshake = Box::pin(handshake);
        let made = std::future::poll_fn(|cx| {
            let made = handshake.as_mut().poll(cx);
            // What does not leave at once leaves with the next turn.
            let _ = flusher.poll_flush(cx);
            made
        });
        let Some(Ok(mut connection)) = within(limit, made).await else {
            tracing::debug!("a connection without a preface in time was closed");
            return;
        };
        let (mut told, mut others, mut waited) = (false, Yield::new(), false);
        let (cuts, sheds) = (self.cuts.get(), self.sheds.get());
        loop {
            let next = std::future::poll_fn(|cx| {
                if waited {
                    std::task::ready!(others.poll(cx));
                }
                if self.cuts.get() != cuts {
                    return Poll::Ready(None);
                }
                if (self.closing.get() || self.sheds.get() != sheds) && !told {
                    told = true;
                    connection.graceful_shutdown();
                }
                let next = connection.poll_accept(cx);
                // Of what has come in together, only the first waits for others.
                waited = next.is_pending();
                if waited && matches!(flusher.poll_flush(cx), Poll::Ready(Err(_))) {
                    return Poll::Ready(None);
                }
                if next.is_pending() {
                    let mut wakers = self.wakers.borrow_mut();
                    let known = wakers.get(&number).is_some_and(|w| w.will_wake(cx.waker()));
                    if !known {
                        wakers.insert(number, cx.waker().clone());
                    }
                }
                next
            });
            match next.await {
                Some(Ok((request, respond))) => (self.handler)(request, respond),
                Some(Err(e)) => {
                    tracing::debug!(error = %e, "a client's connection ended");
                    return;
                }
                None => return,
            }
        }
    }
}

/// Lets a listener be polled without giving it up.
struct OwnedListener(TcpListener);
impl std::os::fd::AsFd for OwnedListener {
    fn as_fd(&self) -> std::os::fd::BorrowedFd<'_> {
        self.0.as_fd()
    }
}

/// Why a request's messages ended early.
#[derive(Debug)]
pub enum StreamError {
    /// The client cancelled, or its connection ended.
    ClientLeft,
    /// What came is no message.
    Frame(FrameError),
    /// The stream ended within a message.
    Truncated,
    /// A unary request of two messages.
    SecondMessage,
}

/// The messages that a client sends on one stream.
pub struct Messages {
    body: RecvStream,
    assembler: Assembler,
}

impl Messages {
    /// Of a request's body, with a limit on one message.
    pub fn new(body: RecvStream, limit: usize) -> Messages {
        Messages {
            body,
            assembler: Assembler::new(limit),
        }
    }

    /// The one message of a unary request, read to the end of its stream: a client that ends it with a frame of its own
    /// must not find the stream closed. `None` if none came; a second one is an error.
    pub fn poll_one(
        &mut self,
        first: &mut Option<Bytes>,
        cx: &mut std::task::Context<'_>,
    ) -> Poll<Result<Option<Bytes>, StreamError>> {
        loop {
            match std::task::ready!(self.poll_next(cx)) {
                Ok(Some(message)) if first.is_none() => *first = Some(message),
                Ok(Some(_)) => return Poll::Ready(Err(StreamError::SecondMessage)),
                Ok(None) => return Poll::Ready(Ok(first.take())),
                Err(bad) => return Poll::Ready(Err(bad)),
            }
        }
    }

    /// The next message; `None` when the client has sent its last.
    pub fn poll_next(
        &mut self,
        cx: &mut std::task::Context<'_>,
    ) -> Poll<Result<Option<Bytes>, StreamError>> {
        loop {
            match self.assembler.next_message() {
                Ok(Some(message)) => return Poll::Ready(Ok(Some(message))),
                Ok(None) => {}
                Err(e) => return Poll::Ready(Err(StreamError::Frame(e))),
            }
            match self.body.poll_data(cx) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(Some(Ok(bytes))) => {
                    self.assembler.push(&bytes);
                    // Fails only on more than was read.
                    let _ = self.body.flow_control().release_capacity(bytes.len());
                }
                Poll::Ready(Some(Err(_))) => return Poll::Ready(Err(StreamError::ClientLeft)),
                Poll::Ready(None) if self.assembler.is_empty() => return Poll::Ready(Ok(None)),
                Poll::Ready(None) => return Poll::Ready(Err(StreamError::Truncated)),
            }
        }
    }
}

/// Sends bytes as far as the other side takes them, which are then taken off; ready when all are sent. An error: it has
/// gone.
pub fn poll_write(
    send: &mut SendStream<Bytes>,
    bytes: &mut Bytes,
    cx: &mut std::task::Context<'_>,
) -> Poll<Result<(), h2::Error>> {
    while !bytes.is_empty() {
        send.reserve_capacity(bytes.len());
        if send.capacity() == 0 {
            match std::task::ready!(send.poll_capacity(cx)) {
                Some(Ok(_)) if send.capacity() > 0 => {}
                Some(Ok(_)) => continue,
                Some(Err(e)) => return Poll::Ready(Err(e)),
                None => return Poll::Ready(Err(h2::Reason::CANCEL.into())),
            }
        }
        let part = bytes.split_to(send.capacity().min(bytes.len()));
        send.send_data(part, false)?;
    }
    Poll::Ready(Ok(()))
}

/// Response headers of gRPC.
pub fn head() -> Response<()> {
    let mut response = Response::new(());
    let kind = HeaderValue::from_static("application/grpc");
    response
        .headers_mut()
        .insert(http::header::CONTENT_TYPE, kind);
    response
}

/// Trailers with a status; `message` may be empty.
pub fn trailers(code: Code, message: &str) -> HeaderMap {
    let mut map = HeaderMap::with_capacity(4);
    map.insert("grpc-status", HeaderValue::from(u16::from(code.number())));
    if !message.is_empty() {
        if let Ok(value) = HeaderValue::from_str(&encode_message(message)) {
            map.insert("grpc-message", value);
        }
    }
    map
}

/// Answers a unary request: headers, one message, trailers.
pub fn answer(mut respond: SendResponse<Bytes>, message: &[u8], trailers: HeaderMap) {
    // Fails only if the client has gone.
    if let Ok(mut send) = respond.send_response(head(), false) {
        let _ = send
            .send_data(frame(message), false)
            .and_then(|()| send.send_trailers(trailers));
    }
}

/// Ends a stream with its status in the headers ("Trailers-Only").
pub fn refuse(respond: &mut SendResponse<Bytes>, trailers: HeaderMap) {
    let mut response = head();
    response.headers_mut().extend(trailers);
    // Fails only if the client has gone.
    let _ = respond.send_response(response, true);
}
