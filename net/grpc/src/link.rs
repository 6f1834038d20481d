//! A link to one server: one connection, made when it is first needed and made anew after it ended.

use crate::io::{ends, Wire};
use bytes::Bytes;
use h2::client::SendRequest;
use std::cell::RefCell;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
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

/// Withdrawn streams that are remembered on one connection ...
const REMEMBERED: usize = 10_000;
/// ... and for how long.
const REMEMBERED_FOR: Duration = Duration::from_secs(30);

/// A connection that stands.
#[derive(Clone)]
pub struct Connection {
    /// Opens streams.
    pub send: SendRequest<Bytes>,
    /// What has passed on it.
    pub wire: Rc<RefCell<Wire>>,
}

/// Why there is no connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectError {
    /// Refused, unreachable, or ended in the handshake.
    Refused,
    /// Given up by us.
    Abandoned,
}

enum State {
    Idle,
    Connecting {
        waiting: Vec<Waker>,
        attempt: u64,
    },
    Up(Connection),
    /// The last try's end, for those that waited for it.
    Failed(ConnectError, u64),
}

/// A link to one server.
pub struct Link {
    spawner: Spawner,
    address: SocketAddr,
    limits: Limits,
    state: RefCell<State>,
    tries: RefCell<u64>,
}

impl Link {
    /// A link that is not connected yet.
    pub fn new(spawner: Spawner, address: SocketAddr, limits: Limits) -> Rc<Link> {
        Rc::new(Link {
            spawner,
            address,
            limits,
            state: RefCell::new(State::Idle),
            tries: RefCell::new(0),
        })
    }

    /// Where it leads.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The connection, made first if there is none that takes streams.
    pub fn connection(self: &Rc<Self>) -> Connected {
        let attempt = self.ensure();
        Connected {
            link: self.clone(),
            attempt,
        }
    }

    /// Ends the connection at once: nothing more leaves on it; a try to connect is given up.
    pub fn drop_connection(&self) {
        let mut state = self.state.borrow_mut();
        match &mut *state {
            State::Up(c) => {
                c.wire.borrow_mut().abort();
                *state = State::Idle;
            }
            State::Connecting { waiting, attempt } => {
                let (waiting, attempt) = (std::mem::take(waiting), *attempt);
                *state = State::Failed(ConnectError::Abandoned, attempt);
                waiting.into_iter().for_each(Waker::wake);
            }
            State::Idle | State::Failed(..) => {}
        }
    }

    /// Lets go of the connection: it closes once nothing is open on it.
    pub fn retire(&self) {
        let mut state = self.state.borrow_mut();
        if matches!(*state, State::Up(_)) {
            *state = State::Idle;
        }
    }

    fn ensure(self: &Rc<Self>) -> u64 {
        let mut state = self.state.borrow_mut();
        match &*state {
            State::Up(c) if usable(c) => return *self.tries.borrow(),
            State::Connecting { attempt, .. } => return *attempt,
            _ => {}
        }
        let attempt = {
            let mut tries = self.tries.borrow_mut();
            *tries += 1;
            *tries
        };
        *state = State::Connecting {
            waiting: Vec::new(),
            attempt,
        };
        let link = self.clone();
        self.spawner.spawn(async move {
            let made = link.connect().await;
            let mut driver = None;
            {
                let mut state = link.state.borrow_mut();
                let State::Connecting {
                    waiting,
                    attempt: current,
                    ..
                } = &mut *state
                else {
                    return;
                };
                if *current != attempt {
                    return;
                }
                let waiting = std::mem::take(waiting);
                *state = match made {
                    Ok((connection, drive)) => {
                        driver = Some(drive);
                        State::Up(connection)
                    }
                    Err(_) => State::Failed(ConnectError::Refused, attempt),
                };
                waiting.into_iter().for_each(Waker::wake);
            }
            if let Some(drive) = driver {
                drive.await;
            }
        });
        attempt
    }

    async fn connect(&self) -> io::Result<(Connection, impl Future<Output = ()>)> {
        let socket = Socket::connect(self.spawner.handle(), self.address)?;
        std::future::poll_fn(|cx| socket.poll_connected(cx)).await?;
        let wire = Rc::new(RefCell::new(Wire::default()));
        let (io, flusher) = ends(socket, Some(wire.clone()));
        let handshake = h2::client::Builder::new()
            .initial_window_size(self.limits.stream_window)
            // Streams are bounded one by one; a slow one must not take the connection's window from the others.
            .initial_connection_window_size((1 << 31) - 1)
            .max_header_list_size(self.limits.header_bytes)
            .enable_push(false)
            // Of withdrawn streams the answers may still be under way. What the library no longer remembers it takes for
            // a fault of the server, and after enough of them it would end the connection with all that is open on it.
            .max_concurrent_reset_streams(REMEMBERED)
            .reset_stream_duration(REMEMBERED_FOR)
            .max_local_error_reset_streams(None)
            .handshake::<_, Bytes>(io);
        let mut handshake = std::pin::pin!(handshake);
        let (send, mut connection) = std::future::poll_fn(|cx| {
            let made = handshake.as_mut().poll(cx);
            // What does not leave at once leaves with the driver's first turn.
            let _ = flusher.poll_flush(cx);
            made
        })
        .await
        .map_err(io::Error::other)?;
        let watch = wire.clone();
        let mut others = Yield::new();
        let drive = async move {
            let ended = std::future::poll_fn(|cx| {
                std::task::ready!(others.poll(cx));
                watch.borrow_mut().drive(cx);
                if watch.borrow().abort {
                    return Poll::Ready(Ok(()));
                }
                let ended = Pin::new(&mut connection).poll(cx).map_err(io::Error::other);
                match flusher.poll_flush(cx) {
                    Poll::Ready(Err(e)) if ended.is_pending() => Poll::Ready(Err(e)),
                    _ => ended,
                }
            });
            if let Err(e) = ended.await {
                tracing::debug!(error = %e, "a worker's connection ended");
            }
            // The socket goes first: from here on nothing can leave.
            drop((connection, flusher));
            watch.borrow_mut().end();
        };
        Ok((Connection { send, wire }, drive))
    }
}

fn usable(c: &Connection) -> bool {
    let w = c.wire.borrow();
    !w.cut && !w.abort && w.goaway.is_none()
}

/// Waits for a link's connection.
pub struct Connected {
    link: Rc<Link>,
    attempt: u64,
}

impl Future for Connected {
    type Output = Result<Connection, ConnectError>;
    fn poll(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Self::Output> {
        match &mut *self.link.state.borrow_mut() {
            State::Up(c) => Poll::Ready(Ok(c.clone())),
            State::Connecting {
                waiting, attempt, ..
            } if *attempt == self.attempt => {
                if !waiting.iter().any(|w| w.will_wake(cx.waker())) {
                    waiting.push(cx.waker().clone());
                }
                Poll::Pending
            }
            State::Failed(why, attempt) if *attempt == self.attempt => Poll::Ready(Err(*why)),
            // A later try runs: this one's end is past.
            _ => Poll::Ready(Err(ConnectError::Abandoned)),
        }
    }
}
