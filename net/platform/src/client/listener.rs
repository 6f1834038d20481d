//! The listener: accepts client connections, and stops accepting at shutdown.

use super::connection::{ClientConnection, ConnectionContext};
use super::session::run_session;
use super::table::{ClientCounts, ClientTable};
use crate::driver::Driver;
use calloop::generic::Generic;
use calloop::{Interest, Mode, PostAction, RegistrationToken};
use std::cell::{Cell, RefCell};
use std::io;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tansy_net_sockets::socket::{is_out_of_descriptors, Socket};

/// Maximum number of connections accepted per turn of the event loop.
const MAX_ACCEPTS_PER_TURN: usize = 16;
/// Delay before accepting again after an error or at the connection limit.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// The listener and its open connections.
pub struct ClientListener {
    driver: Rc<Driver>,
    context: Rc<ConnectionContext>,
    paused: Cell<bool>,
    /// Since when connections may have waited in the kernel's accept queue; none if the queue was emptied.
    unaccepted_since: Cell<Option<Instant>>,
    /// How often accepting stopped for want of a place or a descriptor.
    pauses: Cell<u64>,
    listener: RefCell<Option<Rc<TcpListener>>>,
    token: Cell<Option<RegistrationToken>>,
}

/// Why accepting stopped.
#[derive(PartialEq, Eq)]
enum AcceptStop {
    /// The accept queue is empty.
    QueueEmpty,
    /// [`MAX_ACCEPTS_PER_TURN`] connections were accepted.
    TurnLimit,
    /// The connection limit is reached and no connection can be evicted, or `accept` failed.
    NoCapacity,
}

impl ClientListener {
    /// Starts accepting connections from a listening socket.
    pub fn start(driver: Rc<Driver>, listener: TcpListener) -> io::Result<Rc<ClientListener>> {
        listener.set_nonblocking(true)?;
        let listener = Rc::new(listener);
        let context = Rc::new(ConnectionContext {
            spawner: driver.spawner.clone(),
            lag: driver.lag.clone(),
            table: ClientTable::new(driver.limits.max_client_connections),
        });
        let clients = Rc::new(ClientListener {
            driver: driver.clone(),
            context,
            paused: Cell::new(false),
            unaccepted_since: Cell::new(None),
            pauses: Cell::new(0),
            listener: RefCell::new(Some(listener.clone())),
            token: Cell::new(None),
        });
        let source = Generic::new(listener, Interest::READ, Mode::Level);
        let inner = clients.clone();
        let token = driver
            .spawner
            .handle()
            .insert_source(source, move |_, _, ()| {
                if inner.accept() != AcceptStop::NoCapacity {
                    return Ok(PostAction::Continue);
                }
                inner.pause();
                Ok(PostAction::Disable)
            });
        clients
            .token
            .set(Some(token.map_err(|e| io::Error::other(e.to_string()))?));
        Ok(clients)
    }

    fn table(&self) -> &ClientTable {
        &self.context.table
    }
    /// The number of open connections.
    pub fn len(&self) -> usize {
        self.table().len()
    }
    /// The open connections by phase.
    pub fn counts(&self) -> ClientCounts {
        self.table().counts()
    }
    /// How often accepting stopped for want of a place or a descriptor.
    pub fn pauses(&self) -> u64 {
        self.pauses.get()
    }
    /// The longest time that a connection in the kernel's accept queue may have waited.
    pub fn queue_age(&self) -> Duration {
        let since = self.unaccepted_since.get();
        since.map_or(Duration::ZERO, |since| since.elapsed())
    }
    /// Whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
    /// Stops accepting connections, except for those already in the kernel's accept queue, and closes connections
    /// that wait for a request. Returns false if the accept queue is not empty yet; call again after a turn of the
    /// event loop.
    pub fn stop_accepting(self: &Rc<Self>) -> bool {
        self.table().close();
        let stop = self.accept();
        self.table().evict_waiting();
        if stop != AcceptStop::QueueEmpty {
            return false;
        }
        if let Some(token) = self.token.take() {
            self.driver.spawner.handle().remove(token);
        }
        self.listener.take();
        true
    }

    /// Accepts queued connections, up to [`MAX_ACCEPTS_PER_TURN`]. Connections that remain have possibly waited since
    /// the queue was last known to be empty.
    fn accept(self: &Rc<Self>) -> AcceptStop {
        let arrived = self.driver.lag.earliest_arrival(Instant::now());
        let queued_since = self.unaccepted_since.get().unwrap_or(arrived);
        let stop = self.accept_batch(queued_since);
        let has_more = stop != AcceptStop::QueueEmpty;
        self.unaccepted_since.set(has_more.then_some(queued_since));
        stop
    }

    fn accept_batch(self: &Rc<Self>, queued_since: Instant) -> AcceptStop {
        let Some(listener) = self.listener.borrow().clone() else {
            return AcceptStop::QueueEmpty;
        };
        for _ in 0..MAX_ACCEPTS_PER_TURN {
            if self.table().is_full() && !self.table().evict_one() {
                return AcceptStop::NoCapacity;
            }
            match listener.accept() {
                Ok((socket, _)) => {
                    let _ = socket.set_nodelay(true);
                    let Ok(socket) = Socket::new(self.driver.spawner.handle(), socket) else {
                        return AcceptStop::NoCapacity;
                    };
                    self.serve(socket, queued_since);
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    return AcceptStop::QueueEmpty
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) if error.kind() == io::ErrorKind::ConnectionAborted => {}
                // The listener stays readable; pausing keeps the event loop from spinning.
                Err(error) => {
                    tracing::warn!(%error, "cannot accept connections; pausing");
                    if is_out_of_descriptors(&error) {
                        self.table().evict_one();
                    }
                    return AcceptStop::NoCapacity;
                }
            }
        }
        AcceptStop::TurnLimit
    }

    /// Stops accepting for [`ACCEPT_RETRY_DELAY`].
    fn pause(self: &Rc<Self>) {
        if !self.paused.replace(true) {
            self.pauses.set(self.pauses.get() + 1);
            let clients = self.clone();
            self.driver.spawner.spawn(async move {
                clients.driver.spawner.sleep(ACCEPT_RETRY_DELAY).await;
                clients.paused.set(false);
                let Some(token) = clients.token.get() else {
                    return;
                };
                if let Err(error) = clients.driver.spawner.handle().enable(&token) {
                    tracing::warn!(%error, "cannot resume accepting connections");
                    clients.pause();
                }
            });
        }
    }

    fn serve(self: &Rc<Self>, socket: Socket, queued_since: Instant) {
        let (id, entry) = self.table().insert();
        let clients = self.clone();
        self.driver.spawner.spawn(async move {
            let context = clients.context.clone();
            let connection = ClientConnection::new(context, entry.clone(), socket, queued_since);
            let reason = run_session(clients.driver.clone(), connection).await;
            clients.driver.reasons.count_closed(reason);
            tracing::debug!(
                connection = id,
                reason = reason.as_str(),
                "client connection closed"
            );
            clients.table().remove(id, &entry);
        });
    }
}
