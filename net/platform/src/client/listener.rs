//! The listener: accepts client connections, and stops accepting at shutdown.

use super::accept_queue::AcceptQueue;
use super::capacity::{free_any_connection, free_connection, free_spare_connection};
use super::connection::{ClientConnection, ConnectionContext};
use super::session::run_session;
use super::table::{ClientCounts, ClientTable};
use crate::driver::Driver;
use calloop::generic::Generic;
use calloop::{Interest, Mode, PostAction, RegistrationToken};
use std::cell::{Cell, RefCell};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tansy_net_sockets::accept_queue;
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
    queue: RefCell<AcceptQueue>,
    address: SocketAddr,
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
            table: Rc::new(ClientTable::new(driver.limits.max_client_connections)),
        });
        let clients = Rc::new(ClientListener {
            driver: driver.clone(),
            context,
            paused: Cell::new(false),
            queue: RefCell::default(),
            address: listener.local_addr()?,
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
        clients.serve_descriptor_requests();
        clients
            .token
            .set(Some(token.map_err(|e| io::Error::other(e.to_string()))?));
        Ok(clients)
    }

    /// Frees connections of clients when the driver has no descriptor for a connection to a worker.
    fn serve_descriptor_requests(self: &Rc<Self>) {
        let clients = Rc::downgrade(self);
        self.driver.set_client_connection_freer(Rc::new(move || {
            if let Some(clients) = clients.upgrade() {
                free_spare_connection(&clients.driver, clients.table());
            }
        }));
    }

    fn table(&self) -> &Rc<ClientTable> {
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
        self.queue.borrow().age(Instant::now())
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
        self.queue.borrow_mut().begin(arrived);
        let stop = self.accept_batch();
        let mut queue = self.queue.borrow_mut();
        if stop == AcceptStop::QueueEmpty {
            queue.on_empty();
        } else {
            queue.on_more(Instant::now(), || accept_queue::length(self.address));
        }
        stop
    }

    /// Frees connections for one that was accepted. If there are none to free, it is above the capacity.
    fn make_room(&self) {
        let table = self.table();
        while table.is_full() && free_connection(&self.driver, table) {}
    }

    /// Why accepting stops when there is no connection left above the capacity: until those that are being evicted have
    /// ended, or for lack of capacity.
    fn stop_for_eviction(&self) -> AcceptStop {
        let table = self.table();
        if table.evicting() > 0 || free_any_connection(&self.driver, table) {
            AcceptStop::TurnLimit
        } else {
            AcceptStop::NoCapacity
        }
    }

    fn accept_batch(self: &Rc<Self>) -> AcceptStop {
        let Some(listener) = self.listener.borrow().clone() else {
            return AcceptStop::QueueEmpty;
        };
        for _ in 0..MAX_ACCEPTS_PER_TURN {
            if self.table().is_exhausted() {
                return self.stop_for_eviction();
            }
            match listener.accept() {
                Ok((socket, _)) => {
                    let _ = socket.set_nodelay(true);
                    let queued_since = self.queue.borrow_mut().on_accepted(Instant::now());
                    let Ok(socket) = Socket::new(self.driver.spawner.handle(), socket) else {
                        return AcceptStop::NoCapacity;
                    };
                    self.make_room();
                    self.serve(socket, queued_since);
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    return AcceptStop::QueueEmpty
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) if error.kind() == io::ErrorKind::ConnectionAborted => {}
                // The listener stays readable; pausing keeps the event loop from spinning.
                Err(error) => {
                    return self.on_accept_error(&error);
                }
            }
        }
        AcceptStop::TurnLimit
    }

    /// Frees a connection if there is no descriptor for another one, and tells why accepting stops.
    fn on_accept_error(&self, error: &io::Error) -> AcceptStop {
        let frees = is_out_of_descriptors(error) && free_any_connection(&self.driver, self.table());
        if frees {
            return AcceptStop::TurnLimit;
        }
        tracing::warn!(%error, "cannot accept connections; pausing");
        AcceptStop::NoCapacity
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
        let entry = self.table().insert();
        let clients = self.clone();
        self.driver.spawner.spawn(async move {
            let context = clients.context.clone();
            let connection = ClientConnection::new(context, entry.clone(), socket, queued_since);
            let reason = run_session(clients.driver.clone(), connection).await;
            clients.driver.reasons.count_closed(reason);
            tracing::debug!(
                connection = entry.id(),
                reason = reason.as_str(),
                "client connection closed"
            );
            clients.table().remove(&entry);
        });
    }
}
