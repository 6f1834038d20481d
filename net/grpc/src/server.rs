//! A listener and its client connections.

use crate::io::{split, BufferedSocket, Flusher};
use bytes::Bytes;
use calloop::generic::Generic;
use calloop::ping::{make_ping, Ping};
use calloop::{Interest, Mode, PostAction, RegistrationToken};
use h2::server::{Connection, SendResponse};
use h2::RecvStream;
use http::Request;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::{poll_fn, Future};
use std::io;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::task::{ready, Context, Poll, Waker};
use std::time::Duration;
use tansy_net_sockets::interrupt::IgnoreInterrupts;
use tansy_net_sockets::socket::Socket;
use tansy_net_sockets::{within, Spawner, Yield};

pub use crate::requests::{RequestMessages, StreamError};
pub use crate::responses::{
    poll_write, respond_trailers_only, respond_unary, response_headers, status_trailers,
};

/// Limits for clients.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum number of connections; further ones wait in the kernel's accept queue.
    pub connections: usize,
    /// Maximum number of concurrent streams per connection.
    pub streams: u32,
    /// Maximum size of the headers of a request, bytes.
    pub header_bytes: u32,
    /// Flow control window of a stream: the maximum number of unread bytes buffered for it.
    pub stream_window: u32,
    /// Maximum size of a message, bytes.
    pub message_bytes: usize,
    /// Time limit for the HTTP/2 handshake.
    pub preface_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            connections: 20_000,
            streams: 10_000,
            header_bytes: 16 * 1024,
            stream_window: 64 * 1024,
            message_bytes: 4 * 1024 * 1024,
            preface_timeout: Duration::from_secs(5),
        }
    }
}

/// Delay before accepting again after an error.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Time limit for flushing the last frames of a connection that ends.
const LAST_FRAMES_TIMEOUT: Duration = Duration::from_secs(1);
/// The largest flow control window of HTTP/2 (RFC 9113, section 6.9.1).
const MAX_WINDOW: u32 = (1 << 31) - 1;
/// Maximum number of reset streams remembered per connection.
const MAX_RESET_STREAMS: usize = 1000;

/// Handles a request; responds through the given handle.
pub type RequestHandler = Rc<dyn Fn(Request<RecvStream>, SendResponse<Bytes>)>;

/// The listener and its event sources.
struct Listening {
    listener: Rc<TcpListener>,
    sources: Vec<RegistrationToken>,
}

/// A listener and its open connections.
pub struct Server {
    spawner: Spawner,
    limits: Limits,
    handler: RequestHandler,
    connections: Cell<usize>,
    closing: Cell<bool>,
    /// Whether accepting is paused after an error.
    accept_paused: Cell<bool>,
    /// Number of calls of `drop_connections` and of `drain_connections`. A connection is affected if the number has
    /// risen since the connection began.
    drops: Cell<u64>,
    drains: Cell<u64>,
    /// Wakers of the connection drivers, by connection number.
    wakers: RefCell<HashMap<u64, Waker>>,
    next_connection: Cell<u64>,
    resume_accept: RefCell<Option<Ping>>,
    /// The open listener; none once the server is closed.
    listening: RefCell<Option<Listening>>,
}

impl Server {
    /// Starts serving the connections of a listener; `handler` is called with each request.
    pub fn start(
        spawner: Spawner,
        listener: TcpListener,
        limits: Limits,
        handler: RequestHandler,
    ) -> io::Result<Rc<Server>> {
        listener.set_nonblocking(true)?;
        let server = Rc::new(Server {
            spawner,
            limits,
            handler,
            connections: Cell::new(0),
            closing: Cell::new(false),
            accept_paused: Cell::new(false),
            drops: Cell::new(0),
            drains: Cell::new(0),
            wakers: RefCell::new(HashMap::new()),
            next_connection: Cell::new(0),
            resume_accept: RefCell::new(None),
            listening: RefCell::new(None),
        });
        server.listen(Rc::new(listener))?;
        Ok(server)
    }

    fn listen(self: &Rc<Self>, listener: Rc<TcpListener>) -> io::Result<()> {
        // At the connection limit the listener is not read; the ping resumes accepting when a connection ends.
        let (ping, ping_source) = make_ping()?;
        *self.resume_accept.borrow_mut() = Some(ping);
        let source = Generic::new(
            ListenerSource(listener.try_clone()?),
            Interest::READ,
            // Edge-triggered: connections left in the queue at the limit are accepted after the ping.
            Mode::Edge,
        );
        let handle = self.spawner.handle();
        let server = self.clone();
        let accepted = listener.clone();
        let readable = handle.insert_source(source, move |_, _, ()| {
            server.accept(&accepted);
            Ok(PostAction::Continue)
        });
        let readable = readable.map_err(|error| io::Error::other(error.to_string()))?;
        let server = self.clone();
        let accepted = listener.clone();
        let resumed = handle.insert_source(IgnoreInterrupts(ping_source), move |(), _, ()| {
            server.accept(&accepted);
        });
        let resumed = resumed.map_err(|error| io::Error::other(error.to_string()))?;
        *self.listening.borrow_mut() = Some(Listening {
            listener,
            sources: vec![readable, resumed],
        });
        Ok(())
    }

    fn wake_all(&self) {
        std::mem::take(&mut *self.wakers.borrow_mut())
            .into_values()
            .for_each(Waker::wake);
    }

    /// Stops accepting connections, and tells clients to open no new streams; open streams continue.
    ///
    /// Connections in the kernel's accept queue are accepted first. Later ones are refused by the kernel, so that
    /// their clients can try another server at once; left in the queue, they would never be answered.
    pub fn close(self: &Rc<Self>) {
        let listening = self.listening.borrow_mut().take();
        if let Some(listening) = listening {
            self.accept(&listening.listener);
            for source in listening.sources {
                self.spawner.handle().remove(source);
            }
        }
        self.closing.set(true);
        self.wake_all();
    }

    /// Ends all connections immediately, with all of their streams.
    pub fn drop_connections(&self) {
        self.drops.set(self.drops.get() + 1);
        self.wake_all();
    }

    /// Tells the clients of all connections to open no new streams on them; new connections are accepted.
    pub fn drain_connections(&self) {
        self.drains.set(self.drains.get() + 1);
        self.wake_all();
    }

    /// The number of open connections.
    pub fn connections(&self) -> usize {
        self.connections.get()
    }

    fn accept(self: &Rc<Self>, listener: &TcpListener) {
        while !self.closing.get() && self.connections.get() < self.limits.connections {
            match listener.accept() {
                Ok((socket, _)) => {
                    if let Err(error) = self.start_connection(socket) {
                        tracing::warn!(%error, "cannot serve accepted connection");
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                // The call was interrupted, or the connection was closed while queued: try the next one.
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) if error.kind() == io::ErrorKind::ConnectionAborted => {}
                Err(error) => {
                    tracing::warn!(%error, "cannot accept connections; pausing");
                    return self.pause_accepting();
                }
            }
        }
    }

    /// Accepts again after a delay. The listener is edge-triggered, so no event may report the connections left in
    /// the queue.
    fn pause_accepting(self: &Rc<Self>) {
        if self.accept_paused.replace(true) {
            return;
        }
        let server = self.clone();
        self.spawner.spawn(async move {
            server.spawner.sleep(ACCEPT_RETRY_DELAY).await;
            server.accept_paused.set(false);
            let listener = server
                .listening
                .borrow()
                .as_ref()
                .map(|listening| listening.listener.clone());
            if let Some(listener) = listener {
                server.accept(&listener);
            }
        });
    }

    fn start_connection(self: &Rc<Self>, socket: TcpStream) -> io::Result<()> {
        socket.set_nodelay(true)?;
        let (socket, flusher) = split(Socket::new(self.spawner.handle(), socket)?, None);
        self.connections.set(self.connections.get() + 1);
        let server = self.clone();
        self.spawner.spawn(async move {
            let number = server
                .next_connection
                .replace(server.next_connection.get() + 1);
            server.serve(number, socket, &flusher).await;
            server.wakers.borrow_mut().remove(&number);
            // Flush the last frames, if the client reads them.
            let last = poll_fn(|cx| flusher.poll_flush(cx));
            within(server.spawner.sleep(LAST_FRAMES_TIMEOUT), last).await;
            server.connections.set(server.connections.get() - 1);
            if let Some(ping) = &*server.resume_accept.borrow() {
                ping.ping();
            }
        });
        Ok(())
    }

    async fn serve(&self, number: u64, socket: BufferedSocket, flusher: &Flusher) {
        let Some(connection) = self.handshake(socket, flusher).await else {
            tracing::debug!("HTTP/2 handshake failed or timed out; connection closed");
            return;
        };
        let mut driver = ConnectionDriver {
            server: self,
            number,
            connection,
            flusher,
            drops: self.drops.get(),
            drains: self.drains.get(),
            draining: false,
            yielder: Yield::new(),
            yield_first: false,
        };
        loop {
            match poll_fn(|cx| driver.poll_request(cx)).await {
                Some(Ok((request, respond))) => (self.handler)(request, respond),
                Some(Err(error)) => {
                    tracing::debug!(%error, "client connection ended");
                    return;
                }
                None => return,
            }
        }
    }

    async fn handshake(
        &self,
        socket: BufferedSocket,
        flusher: &Flusher,
    ) -> Option<Connection<BufferedSocket, Bytes>> {
        let limits = &self.limits;
        let handshake = h2::server::Builder::new()
            .initial_window_size(limits.stream_window)
            .initial_connection_window_size(MAX_WINDOW)
            .max_concurrent_streams(limits.streams)
            .max_header_list_size(limits.header_bytes)
            // Clients may cancel many calls at once, but a client that does nothing but open and reset streams is
            // disconnected.
            .max_concurrent_reset_streams(MAX_RESET_STREAMS)
            .max_pending_accept_reset_streams(MAX_RESET_STREAMS)
            .max_send_buffer_size(limits.stream_window as usize)
            .handshake::<_, Bytes>(socket);
        let limit = self.spawner.sleep(limits.preface_timeout);
        let mut handshake = Box::pin(handshake);
        let completed = poll_fn(|cx| {
            let result = handshake.as_mut().poll(cx);
            // What cannot be sent now is sent by the driver.
            let _ = flusher.poll_flush(cx);
            result
        });
        within(limit, completed).await?.ok()
    }
}

type IncomingRequest = Result<(Request<RecvStream>, SendResponse<Bytes>), h2::Error>;

/// Drives a connection from the handshake to its end.
struct ConnectionDriver<'a> {
    server: &'a Server,
    number: u64,
    connection: Connection<BufferedSocket, Bytes>,
    flusher: &'a Flusher,
    /// The server's counts when the connection began.
    drops: u64,
    drains: u64,
    draining: bool,
    yielder: Yield,
    /// Whether to let other tasks run before the next poll.
    yield_first: bool,
}

impl ConnectionDriver<'_> {
    /// Resolves to the next request, or to `None` once the connection has ended.
    fn poll_request(&mut self, cx: &mut Context<'_>) -> Poll<Option<IncomingRequest>> {
        if self.yield_first {
            ready!(self.yielder.poll(cx));
        }
        if self.server.drops.get() != self.drops {
            return Poll::Ready(None);
        }
        let drain = self.server.closing.get() || self.server.drains.get() != self.drains;
        if drain && !self.draining {
            self.draining = true;
            self.connection.graceful_shutdown();
        }
        let next = self.connection.poll_accept(cx);
        // Of several requests that arrived together, only the first is preceded by a yield.
        self.yield_first = next.is_pending();
        if next.is_ready() {
            return next;
        }
        if matches!(self.flusher.poll_flush(cx), Poll::Ready(Err(_))) {
            return Poll::Ready(None);
        }
        let mut wakers = self.server.wakers.borrow_mut();
        let known = wakers.get(&self.number);
        if !known.is_some_and(|w| w.will_wake(cx.waker())) {
            wakers.insert(self.number, cx.waker().clone());
        }
        Poll::Pending
    }
}

/// Allows an owned listener to be registered as an event source.
struct ListenerSource(TcpListener);

impl std::os::fd::AsFd for ListenerSource {
    fn as_fd(&self) -> std::os::fd::BorrowedFd<'_> {
        self.0.as_fd()
    }
}
