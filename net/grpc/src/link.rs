//! A link to one server: one connection, made when it is first needed and made anew after it ended.

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

/// Bounds of a link's connection.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Bytes that may wait unread for one stream: what a client that does not read costs.
    pub stream_window: u32,
    /// Bytes of headers accepted in one answer.
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

/// The largest window of HTTP/2.
const MAX_WINDOW: u32 = (1 << 31) - 1;
/// Cancelled streams that are remembered on one connection ...
const MAX_RESET_STREAMS: usize = 10_000;
/// ... and for how long.
const RESET_STREAM_MEMORY: Duration = Duration::from_secs(30);

/// An established connection.
#[derive(Clone)]
pub struct Connection {
    /// Opens streams.
    pub send: SendRequest<Bytes>,
    /// What has passed on it.
    pub traffic: Rc<RefCell<ConnectionTraffic>>,
}

/// Why there is no connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectError {
    /// Refused, unreachable, or ended in the handshake.
    Refused,
    /// Given up by us.
    Abandoned,
}

enum LinkState {
    Idle,
    Connecting {
        waiting: Vec<Waker>,
        attempt: u64,
    },
    Connected(Connection),
    /// The end of the last try, for those that waited for it.
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
    tries: RefCell<u64>,
}

impl Link {
    /// A link that is not connected yet.
    pub fn new(spawner: Spawner, address: SocketAddr, limits: Limits) -> Rc<Link> {
        Rc::new(Link {
            spawner,
            address,
            limits,
            state: RefCell::new(LinkState::Idle),
            tries: RefCell::new(0),
        })
    }

    /// The address of the server.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The connection, made first if there is none that takes streams.
    pub fn connection(self: &Rc<Self>) -> Connecting {
        let attempt = self.ensure_connecting();
        Connecting {
            link: self.clone(),
            attempt,
        }
    }

    /// Ends the connection at once: nothing more leaves on it; a try to connect is given up.
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

    /// Lets go of the connection: it closes once nothing is open on it.
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
                return *self.tries.borrow()
            }
            LinkState::Connecting { attempt, .. } => return *attempt,
            _ => {}
        }
        let attempt = {
            let mut tries = self.tries.borrow_mut();
            *tries += 1;
            *tries
        };
        *state = LinkState::Connecting {
            waiting: Vec::new(),
            attempt,
        };
        let link = self.clone();
        self.spawner.spawn(async move {
            let made = link.connect().await;
            if let Some(driver) = link.on_connected(attempt, made) {
                driver.run().await;
            }
        });
        attempt
    }

    /// A try to connect has ended; gives the driver of the connection, unless the try was abandoned meanwhile.
    fn on_connected(
        &self,
        attempt: u64,
        made: io::Result<(Connection, ConnectionDriver)>,
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
        let driver = match made {
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
            // Streams are bounded one by one; a slow one must not take the connection's window from the others.
            .initial_connection_window_size(MAX_WINDOW)
            .max_header_list_size(self.limits.header_bytes)
            .enable_push(false)
            // Of cancelled streams the answers may still be under way. What the library no longer remembers it takes for
            // a fault of the server, and after enough of them it would end the connection with all that is open on it.
            .max_concurrent_reset_streams(MAX_RESET_STREAMS)
            .reset_stream_duration(RESET_STREAM_MEMORY)
            .max_local_error_reset_streams(None)
            .handshake::<_, Bytes>(socket);
        let mut handshake = std::pin::pin!(handshake);
        let (send, connection) = poll_fn(|cx| {
            let made = handshake.as_mut().poll(cx);
            // What does not leave at once leaves with the driver's first turn.
            let _ = flusher.poll_flush(cx);
            made
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

/// Drives one connection to its end.
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
        let mut others = Yield::new();
        let ended = poll_fn(|cx| {
            ready!(others.poll(cx));
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
            tracing::debug!(%error, "a worker's connection ended");
        }
        // The socket goes first: from here on nothing can leave.
        drop((connection, flusher));
        traffic.borrow_mut().on_end();
    }
}

/// Whether a connection takes new streams.
fn is_usable(connection: &Connection) -> bool {
    let traffic = connection.traffic.borrow();
    !traffic.ended && !traffic.aborted && traffic.goaway.is_none()
}

/// Waits for a link's connection.
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
            // A later try is under way: the end of this one is past.
            _ => Poll::Ready(Err(ConnectError::Abandoned)),
        }
    }
}
