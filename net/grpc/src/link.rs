//! A link to one server: a single connection, established on demand and re-established after it has ended.

use crate::io::{split, BufferedSocket, Flusher};
use crate::traffic::ConnectionTraffic;
use bytes::Bytes;
use h2::client::{Connection as HttpConnection, SendRequest};
use std::cell::RefCell;
use std::future::{poll_fn, Future};
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll, Waker};
use std::time::Duration;
use tansy_net_sockets::socket::Socket;
use tansy_net_sockets::{Spawner, Yield};

/// Limits of a link's connection.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Flow control window of a stream: the maximum number of unread bytes buffered for it.
    pub stream_window: u32,
    /// Maximum size of the headers of a response, bytes.
    pub header_bytes: u32,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            stream_window: 256 * 1024,
            header_bytes: 16 * 1024,
        }
    }
}

/// The largest flow control window of HTTP/2 (RFC 9113, section 6.9.1).
const MAX_WINDOW: u32 = (1 << 31) - 1;
/// Maximum number of reset streams remembered per connection.
const MAX_RESET_STREAMS: usize = 10_000;
/// How long a reset stream is remembered.
const RESET_STREAM_TTL: Duration = Duration::from_secs(30);

/// An established connection.
#[derive(Clone)]
pub struct Connection {
    /// Opens streams.
    pub send: SendRequest<Bytes>,
    /// The frames transferred on the connection.
    pub traffic: Rc<RefCell<ConnectionTraffic>>,
}

/// Why connecting failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectError {
    /// The connection was refused, the server is unreachable, or the handshake failed.
    Refused,
    /// The attempt was abandoned by the client.
    Abandoned,
}

enum LinkState {
    Idle,
    Connecting {
        waiting: Vec<Waker>,
        attempt: u64,
    },
    Connected(Connection),
    /// The result of the last attempt, for the tasks that wait for it.
    Failed {
        error: ConnectError,
        attempt: u64,
    },
}

/// A link to one server.
pub struct Link {
    spawner: Spawner,
    address: SocketAddr,
    limits: Limits,
    state: RefCell<LinkState>,
    attempts: RefCell<u64>,
}

impl Link {
    /// Creates a link that is not connected.
    pub fn new(spawner: Spawner, address: SocketAddr, limits: Limits) -> Rc<Link> {
        Rc::new(Link {
            spawner,
            address,
            limits,
            state: RefCell::new(LinkState::Idle),
            attempts: RefCell::new(0),
        })
    }

    /// The address of the server.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the connection, after establishing it if there is none that accepts streams.
    pub fn connection(self: &Rc<Self>) -> Connecting {
        let attempt = self.ensure_connecting();
        Connecting {
            link: self.clone(),
            attempt,
        }
    }

    /// Aborts the connection without sending anything more, or abandons the attempt to connect.
    pub fn drop_connection(&self) {
        let mut state = self.state.borrow_mut();
        match &mut *state {
            LinkState::Connected(connection) => {
                connection.traffic.borrow_mut().abort();
                *state = LinkState::Idle;
            }
            LinkState::Connecting { waiting, attempt } => {
                let waiting = std::mem::take(waiting);
                *state = LinkState::Failed {
                    error: ConnectError::Abandoned,
                    attempt: *attempt,
                };
                waiting.into_iter().for_each(Waker::wake);
            }
            LinkState::Idle | LinkState::Failed { .. } => {}
        }
    }

    /// Releases the connection, which closes once no stream is open on it.
    pub fn retire(&self) {
        let mut state = self.state.borrow_mut();
        if matches!(*state, LinkState::Connected(_)) {
            *state = LinkState::Idle;
        }
    }

    fn ensure_connecting(self: &Rc<Self>) -> u64 {
        let mut state = self.state.borrow_mut();
        match &*state {
            LinkState::Connected(connection) if is_usable(connection) => {
                return *self.attempts.borrow()
            }
            LinkState::Connecting { attempt, .. } => return *attempt,
            _ => {}
        }
        let attempt = {
            let mut attempts = self.attempts.borrow_mut();
            *attempts += 1;
            *attempts
        };
        *state = LinkState::Connecting {
            waiting: Vec::new(),
            attempt,
        };
        let link = self.clone();
        self.spawner.spawn(async move {
            let result = link.connect().await;
            if let Some(driver) = link.on_connected(attempt, result) {
                driver.run().await;
            }
        });
        attempt
    }

    /// Handles the end of an attempt to connect. Returns the driver of the connection, unless the attempt was
    /// abandoned.
    fn on_connected(
        &self,
        attempt: u64,
        result: io::Result<(Connection, ConnectionDriver)>,
    ) -> Option<ConnectionDriver> {
        let mut state = self.state.borrow_mut();
        let LinkState::Connecting {
            waiting,
            attempt: current,
        } = &mut *state
        else {
            return None;
        };
        if *current != attempt {
            return None;
        }
        let waiting = std::mem::take(waiting);
        let driver = match result {
            Ok((connection, driver)) => {
                *state = LinkState::Connected(connection);
                Some(driver)
            }
            Err(_) => {
                let error = ConnectError::Refused;
                *state = LinkState::Failed { error, attempt };
                None
            }
        };
        waiting.into_iter().for_each(Waker::wake);
        driver
    }

    async fn connect(&self) -> io::Result<(Connection, ConnectionDriver)> {
        let socket = Socket::connect(self.spawner.handle(), self.address)?;
        poll_fn(|cx| socket.poll_connected(cx)).await?;
        let traffic = Rc::new(RefCell::new(ConnectionTraffic::default()));
        let (socket, flusher) = split(socket, Some(traffic.clone()));
        let handshake = h2::client::Builder::new()
            .initial_window_size(self.limits.stream_window)
            // Streams have windows of their own; a slow stream must not exhaust the window of the connection.
            .initial_connection_window_size(MAX_WINDOW)
            .max_header_list_size(self.limits.header_bytes)
            .enable_push(false)
            // Responses to reset streams may still arrive. The library treats frames of forgotten streams as protocol
            // errors of the server, and would close the connection after several of them.
            .max_concurrent_reset_streams(MAX_RESET_STREAMS)
            .reset_stream_duration(RESET_STREAM_TTL)
            .max_local_error_reset_streams(None)
            .handshake::<_, Bytes>(socket);
        let mut handshake = std::pin::pin!(handshake);
        let (send, connection) = poll_fn(|cx| {
            let result = handshake.as_mut().poll(cx);
            // What cannot be sent now is sent by the driver.
            let _ = flusher.poll_flush(cx);
            result
        })
        .await
        .map_err(io::Error::other)?;
        let driver = ConnectionDriver {
            connection,
            flusher,
            traffic: traffic.clone(),
        };
        Ok((Connection { send, traffic }, driver))
    }
}

/// Drives a connection until it ends.
struct ConnectionDriver {
    connection: HttpConnection<BufferedSocket, Bytes>,
    flusher: Flusher,
    traffic: Rc<RefCell<ConnectionTraffic>>,
}

impl ConnectionDriver {
    async fn run(self) {
        let ConnectionDriver {
            mut connection,
            flusher,
            traffic,
        } = self;
        let mut yielder = Yield::new();
        let ended = poll_fn(|cx| {
            ready!(yielder.poll(cx));
            traffic.borrow_mut().set_driver(cx);
            if traffic.borrow().aborted {
                return Poll::Ready(Ok(()));
            }
            let ended = Pin::new(&mut connection).poll(cx).map_err(io::Error::other);
            match flusher.poll_flush(cx) {
                Poll::Ready(Err(error)) if ended.is_pending() => Poll::Ready(Err(error)),
                _ => ended,
            }
        });
        if let Err(error) = ended.await {
            tracing::debug!(%error, "connection to server ended");
        }
        // Drop the socket first, so that nothing more is sent.
        drop((connection, flusher));
        traffic.borrow_mut().on_end();
    }
}

/// Whether the connection accepts new streams.
fn is_usable(connection: &Connection) -> bool {
    let traffic = connection.traffic.borrow();
    !traffic.ended && !traffic.aborted && traffic.goaway.is_none()
}

/// Resolves to the link's connection.
pub struct Connecting {
    link: Rc<Link>,
    attempt: u64,
}

impl Future for Connecting {
    type Output = Result<Connection, ConnectError>;
    fn poll(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Self::Output> {
        match &mut *self.link.state.borrow_mut() {
            LinkState::Connected(connection) => Poll::Ready(Ok(connection.clone())),
            LinkState::Connecting {
                waiting, attempt, ..
            } if *attempt == self.attempt => {
                if !waiting.iter().any(|w| w.will_wake(cx.waker())) {
                    waiting.push(cx.waker().clone());
                }
                Poll::Pending
            }
            LinkState::Failed { error, attempt } if *attempt == self.attempt => {
                Poll::Ready(Err(*error))
            }
            // A newer attempt has replaced this one.
            _ => Poll::Ready(Err(ConnectError::Abandoned)),
        }
    }
}
