//! A listener and the connections of its clients.

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

/// Bounds of what clients may do.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Connections at once; further ones wait in the kernel's queue.
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

/// After an error of accept the next try comes so much later.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Time for the last frames of a connection that ends.
const LAST_FRAMES_TIMEOUT: Duration = Duration::from_secs(1);
/// The largest window of HTTP/2.
const MAX_WINDOW: u32 = (1 << 31) - 1;
/// Cancelled streams that are remembered on one connection.
const MAX_RESET_STREAMS: usize = 1000;

/// Takes one request and the way to answer it.
pub type RequestHandler = Rc<dyn Fn(Request<RecvStream>, SendResponse<Bytes>)>;

/// The listener, and what of the loop waits for connections on it.
struct Listening {
    listener: Rc<TcpListener>,
    sources: Vec<RegistrationToken>,
}

/// A listener's connections.
pub struct Server {
    spawner: Spawner,
    limits: Limits,
    handler: RequestHandler,
    connections: Cell<usize>,
    closing: Cell<bool>,
    /// After an error of accept, until it is tried again.
    accept_paused: Cell<bool>,
    /// Counts up each time that all connections are to be dropped, and that all are to be drained: a connection that
    /// began at a lower count is meant.
    drops: Cell<u64>,
    drains: Cell<u64>,
    /// Of the connections' drivers, by connection: each is found without a look at the others.
    wakers: RefCell<HashMap<u64, Waker>>,
    next_connection: Cell<u64>,
    resume: RefCell<Option<Ping>>,
    /// Until the server is closed.
    listening: RefCell<Option<Listening>>,
}

impl Server {
    /// Serves the connections of a listener, each request by the handler.
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
            resume: RefCell::new(None),
            listening: RefCell::new(None),
        });
        server.listen(Rc::new(listener))?;
        Ok(server)
    }

    fn listen(self: &Rc<Self>, listener: Rc<TcpListener>) -> io::Result<()> {
        // A listener that is full is not read until a connection ends; the ping wakes it.
        let (ping, pinged) = make_ping()?;
        *self.resume.borrow_mut() = Some(ping);
        let source = Generic::new(
            OwnedListener(listener.try_clone()?),
            Interest::READ,
            // Edge: what is left in the queue when the server is full is taken when a connection ends.
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
        let resumed = handle.insert_source(IgnoreInterrupts(pinged), move |(), _, ()| {
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

    /// Takes no new connection, and tells clients to open no new stream; those open go on.
    ///
    /// Connections that the kernel has taken by now are served as the others; whoever comes later is turned away by the
    /// kernel, and knows at once to go elsewhere. Left in the queue, they would wait for an answer that never comes.
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

    /// Ends every connection at once, with all that is open on it.
    pub fn drop_connections(&self) {
        self.drops.set(self.drops.get() + 1);
        self.wake_all();
    }

    /// Tells the clients of all connections to open no new stream there; new connections are taken.
    pub fn drain_connections(&self) {
        self.drains.set(self.drains.get() + 1);
        self.wake_all();
    }

    /// Connections at this moment.
    pub fn connections(&self) -> usize {
        self.connections.get()
    }

    fn accept(self: &Rc<Self>, listener: &TcpListener) {
        while !self.closing.get() && self.connections.get() < self.limits.connections {
            match listener.accept() {
                Ok((socket, _)) => {
                    if let Err(error) = self.start_connection(socket) {
                        tracing::warn!(%error, "a connection could not be taken");
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                // The call was interrupted, or the connection died in the queue: the next one may fare better.
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) if error.kind() == io::ErrorKind::ConnectionAborted => {}
                Err(error) => {
                    tracing::warn!(%error, "accepting rests");
                    return self.pause_accepting();
                }
            }
        }
    }

    /// Accepts again after a while: the listener is signalled by edges, and nobody else may come.
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
            // The last frames, if the other side takes them.
            let last = poll_fn(|cx| flusher.poll_flush(cx));
            within(server.spawner.sleep(LAST_FRAMES_TIMEOUT), last).await;
            server.connections.set(server.connections.get() - 1);
            if let Some(ping) = &*server.resume.borrow() {
                ping.ping();
            }
        });
        Ok(())
    }

    async fn serve(&self, number: u64, socket: BufferedSocket, flusher: &Flusher) {
        let Some(connection) = self.handshake(socket, flusher).await else {
            tracing::debug!("a connection without a preface in time was closed");
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
            others: Yield::new(),
            yields: false,
        };
        loop {
            match poll_fn(|cx| driver.poll_request(cx)).await {
                Some(Ok((request, respond))) => (self.handler)(request, respond),
                Some(Err(error)) => {
                    tracing::debug!(%error, "a client's connection ended");
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
            // Clients may cancel many calls at once; those that only open and cancel are still cut off.
            .max_concurrent_reset_streams(MAX_RESET_STREAMS)
            .max_pending_accept_reset_streams(MAX_RESET_STREAMS)
            .max_send_buffer_size(limits.stream_window as usize)
            .handshake::<_, Bytes>(socket);
        let limit = self.spawner.sleep(limits.preface_timeout);
        let mut handshake = Box::pin(handshake);
        let made = poll_fn(|cx| {
            let made = handshake.as_mut().poll(cx);
            // What does not leave at once leaves with the next turn.
            let _ = flusher.poll_flush(cx);
            made
        });
        within(limit, made).await?.ok()
    }
}

type IncomingRequest = Result<(Request<RecvStream>, SendResponse<Bytes>), h2::Error>;

/// Drives one connection from its handshake to its end.
struct ConnectionDriver<'a> {
    server: &'a Server,
    number: u64,
    connection: Connection<BufferedSocket, Bytes>,
    flusher: &'a Flusher,
    /// The server's counts when the connection began.
    drops: u64,
    drains: u64,
    draining: bool,
    others: Yield,
    /// Other tasks run before the next turn.
    yields: bool,
}

impl ConnectionDriver<'_> {
    /// The next request; `None`: the connection has ended.
    fn poll_request(&mut self, cx: &mut Context<'_>) -> Poll<Option<IncomingRequest>> {
        if self.yields {
            ready!(self.others.poll(cx));
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
        // Of what has come in together, only the first waits for others.
        self.yields = next.is_pending();
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

/// Lets a listener be polled without giving it up.
struct OwnedListener(TcpListener);

impl std::os::fd::AsFd for OwnedListener {
    fn as_fd(&self) -> std::os::fd::BorrowedFd<'_> {
        self.0.as_fd()
    }
}
