//! The listener: which connections are accepted, and how it comes to an end.

use super::connection::{ClientConnection, ConnectionContext};
use super::session::run_session;
use super::table::ClientTable;
use crate::driver::Driver;
use calloop::generic::Generic;
use calloop::{Interest, Mode, PostAction, RegistrationToken};
use std::cell::{Cell, RefCell};
use std::io;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tansy_net_sockets::socket::{is_out_of_descriptors, Socket};

/// Connections accepted in one turn.
const ACCEPTS_PER_TURN: usize = 16;
/// With no descriptor left, the listener pauses for so long.
const PAUSE: Duration = Duration::from_millis(20);

/// The listener and its connections.
pub struct ClientListener {
    driver: Rc<Driver>,
    context: Rc<ConnectionContext>,
    paused: Cell<bool>,
    /// Connections may wait in the kernel's queue since then: not all of them were accepted the last time.
    unaccepted_since: Cell<Option<Instant>>,
    listener: RefCell<Option<Rc<TcpListener>>>,
    token: Cell<Option<RegistrationToken>>,
}

/// Where accepting stopped.
#[derive(PartialEq, Eq)]
enum Accepted {
    /// The queue is empty.
    All,
    /// After a turn's share.
    Share,
    /// There is no room.
    Full,
}

impl ClientListener {
    /// Serves a listening socket.
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
            listener: RefCell::new(Some(listener.clone())),
            token: Cell::new(None),
        });
        let source = Generic::new(listener, Interest::READ, Mode::Level);
        let inner = clients.clone();
        let token = driver
            .spawner
            .handle()
            .insert_source(source, move |_, _, ()| {
                if inner.accept() != Accepted::Full {
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
    /// Connections that are open.
    pub fn len(&self) -> usize {
        self.table().len()
    }
    /// Whether none is.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
    /// Takes no new connection beyond those that the kernel has accepted, and no new request on those that wait for
    /// one. False: not all of the former are accepted yet, and it is to be called again after a turn of the loop.
    pub fn stop_accepting(self: &Rc<Self>) -> bool {
        self.table().close();
        let accepted = self.accept();
        self.table().shed_waiting();
        if accepted != Accepted::All {
            return false;
        }
        if let Some(token) = self.token.take() {
            self.driver.spawner.handle().remove(token);
        }
        self.listener.take();
        true
    }

    /// Accepts what waits, up to a turn's share. What is left waits since the queue was last known to be empty.
    fn accept(self: &Rc<Self>) -> Accepted {
        let arrived = self.driver.lag.earliest_arrival(Instant::now());
        let waiting_since = self.unaccepted_since.get().unwrap_or(arrived);
        let accepted = self.accept_share(waiting_since);
        let is_left = accepted != Accepted::All;
        self.unaccepted_since.set(is_left.then_some(waiting_since));
        accepted
    }

    fn accept_share(self: &Rc<Self>, waiting_since: Instant) -> Accepted {
        let Some(listener) = self.listener.borrow().clone() else {
            return Accepted::All;
        };
        for _ in 0..ACCEPTS_PER_TURN {
            if self.table().is_full() && !self.table().make_room() {
                return Accepted::Full;
            }
            match listener.accept() {
                Ok((socket, _)) => {
                    let _ = socket.set_nodelay(true);
                    let Ok(socket) = Socket::new(self.driver.spawner.handle(), socket) else {
                        return Accepted::Full;
                    };
                    self.serve(socket, waiting_since);
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Accepted::All,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) if error.kind() == io::ErrorKind::ConnectionAborted => {}
                // A readable listener must not turn the loop meanwhile.
                Err(error) => {
                    tracing::warn!(%error, "accepting rests");
                    if is_out_of_descriptors(&error) {
                        self.table().make_room();
                    }
                    return Accepted::Full;
                }
            }
        }
        Accepted::Share
    }

    /// Accepts nothing for a while.
    fn pause(self: &Rc<Self>) {
        if !self.paused.replace(true) {
            let clients = self.clone();
            self.driver.spawner.spawn(async move {
                clients.driver.spawner.sleep(PAUSE).await;
                clients.paused.set(false);
                let Some(token) = clients.token.get() else {
                    return;
                };
                if let Err(error) = clients.driver.spawner.handle().enable(&token) {
                    tracing::warn!(%error, "accepting rests on");
                    clients.pause();
                }
            });
        }
    }

    fn serve(self: &Rc<Self>, socket: Socket, waiting_since: Instant) {
        let (id, entry) = self.table().insert();
        let clients = self.clone();
        self.driver.spawner.spawn(async move {
            let context = clients.context.clone();
            let connection = ClientConnection::new(context, entry.clone(), socket, waiting_since);
            let reason = run_session(clients.driver.clone(), connection).await;
            clients.driver.reasons.count_closed(reason);
            tracing::debug!(
                connection = id,
                reason = reason.as_str(),
                "a client's connection is closed"
            );
            clients.table().remove(id, &entry);
        });
    }
}
