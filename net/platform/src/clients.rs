//! The listener: which connections are accepted, which give way, and how it comes to an end.

use crate::client::{Client, Connection, Phase};
use crate::hub::Hub;
use calloop::generic::Generic;
use calloop::{Interest, Mode, PostAction, RegistrationToken};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::TcpListener;
use std::rc::Rc;
use std::task::Waker;
use std::time::{Duration, Instant};
use tansy_net_sockets::socket::{no_descriptor, Socket};

/// Connections accepted in one turn.
const ACCEPTS: usize = 16;
/// With no descriptor left, the listener rests so long.
const REST: Duration = Duration::from_millis(20);
/// A request that is not whole may be shed for a new connection so long after its first byte: one that comes in two
/// pieces is whole by then.
const HALF_FOR: Duration = Duration::from_millis(250);

/// The listener and its connections.
pub struct Clients {
    hub: Rc<Hub>,
    open: RefCell<BTreeMap<u64, Rc<Client>>>,
    next: Cell<u64>,
    shedding: Cell<usize>,
    resting: Cell<bool>,
    /// Connections may wait in the kernel's queue since then: not all of them were accepted the last time.
    unaccepted_since: Cell<Option<Instant>>,
    closed: Cell<bool>,
    listener: RefCell<Option<Rc<TcpListener>>>,
    token: Cell<Option<RegistrationToken>>,
}

/// Where accepting stopped.
#[derive(PartialEq, Eq)]
enum Accepted {
    /// All that waited.
    All,
    /// After a turn's share.
    Share,
    /// There is no room.
    Full,
}

impl Clients {
    /// Serves a listener.
    pub fn start(hub: Rc<Hub>, listener: TcpListener) -> io::Result<Rc<Clients>> {
        listener.set_nonblocking(true)?;
        let listener = Rc::new(listener);
        let clients = Rc::new(Clients {
            hub: hub.clone(),
            open: RefCell::new(BTreeMap::new()),
            next: Cell::new(0),
            shedding: Cell::new(0),
            resting: Cell::new(false),
            unaccepted_since: Cell::new(None),
            closed: Cell::new(false),
            listener: RefCell::new(Some(listener.clone())),
            token: Cell::new(None),
        });
        let source = Generic::new(listener, Interest::READ, Mode::Level);
        let inner = clients.clone();
        let token = hub.spawner.handle().insert_source(source, move |_, _, ()| {
            if inner.accept() != Accepted::Full {
                return Ok(PostAction::Continue);
            }
            inner.rest();
            Ok(PostAction::Disable)
        });
        clients
            .token
            .set(Some(token.map_err(|e| io::Error::other(e.to_string()))?));
        Ok(clients)
    }

    /// Where its calls go.
    pub fn hub(&self) -> &Rc<Hub> {
        &self.hub
    }
    /// Whether it takes no new request on connections that are answered.
    pub fn closed(&self) -> bool {
        self.closed.get()
    }
    /// Connections that are open.
    pub fn len(&self) -> usize {
        self.open.borrow().len()
    }
    /// Whether none is.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
    /// Takes no new connection beyond those that the machine has taken for us, and no new request on those that wait
    /// for one. False: not all of these are accepted yet, and it is to be called again after a turn of the loop.
    pub fn close(self: &Rc<Self>) -> bool {
        self.closed.set(true);
        let accepted = self.accept();
        let open: Vec<_> = self.open.borrow().values().cloned().collect();
        let waits =
            |c: &&Rc<Client>| matches!(c.phase.get(), Phase::Silent | Phase::Idle) && !c.shed.get();
        open.iter().filter(waits).for_each(|c| self.shed(c));
        if accepted != Accepted::All {
            return false;
        }
        if let Some(token) = self.token.take() {
            self.hub.spawner.handle().remove(token);
        }
        self.listener.take();
        true
    }

    /// Accepts what waits, up to a turn's share. What is left waits since the queue was last known to be empty.
    fn accept(self: &Rc<Self>) -> Accepted {
        let came = self.hub.lag.arrived(Instant::now());
        let waits_since = self.unaccepted_since.get().unwrap_or(came);
        let accepted = self.accept_since(waits_since);
        let left = accepted != Accepted::All;
        self.unaccepted_since.set(left.then_some(waits_since));
        accepted
    }

    fn accept_since(self: &Rc<Self>, waits_since: Instant) -> Accepted {
        let Some(listener) = self.listener.borrow().clone() else {
            return Accepted::All;
        };
        for _ in 0..ACCEPTS {
            if self.len() >= self.hub.setup.clients + self.shedding.get() && !self.make_room() {
                return Accepted::Full;
            }
            match listener.accept() {
                Ok((socket, _)) => {
                    let _ = socket.set_nodelay(true);
                    let Ok(socket) = Socket::new(self.hub.spawner.handle(), socket) else {
                        return Accepted::Full;
                    };
                    self.serve(socket, waits_since);
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Accepted::All,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) if e.kind() == io::ErrorKind::ConnectionAborted => {}
                // A readable listener must not turn the loop meanwhile.
                Err(e) => {
                    tracing::warn!(error = %e, "accepting rests");
                    if no_descriptor(&e) {
                        self.make_room();
                    }
                    return Accepted::Full;
                }
            }
        }
        Accepted::Share
    }

    /// Sheds a connection: the oldest that never sent a byte, else the oldest idle one, else the one whose request has
    /// been in the making for longest, if that is long.
    fn make_room(&self) -> bool {
        let open = self.open.borrow();
        let of = |phase| {
            open.values()
                .find(|c| c.phase.get() == phase && !c.shed.get())
        };
        let half = || {
            let since = |c: &&Rc<Client>| match c.phase.get() {
                Phase::Half(since) if !c.shed.get() && since.elapsed() >= HALF_FOR => Some(since),
                _ => None,
            };
            open.values()
                .filter(|c| since(c).is_some())
                .min_by_key(since)
        };
        let client = of(Phase::Silent).or_else(|| of(Phase::Idle)).or_else(half);
        client.map(|c| self.shed(c)).is_some()
    }

    fn shed(&self, client: &Client) {
        client.shed.set(true);
        self.shedding.set(self.shedding.get() + 1);
        client
            .waker
            .borrow_mut()
            .take()
            .into_iter()
            .for_each(Waker::wake);
    }

    /// A connection that was to be shed holds a request: it stays, and another has to go if there are too many.
    pub fn keep(&self, client: &Client) {
        if client.shed.take() {
            self.shedding.set(self.shedding.get().saturating_sub(1));
            if self.len() > self.hub.setup.clients + self.shedding.get() {
                self.make_room();
            }
        }
    }

    fn rest(self: &Rc<Self>) {
        if !self.resting.replace(true) {
            let clients = self.clone();
            self.hub.spawner.spawn(async move {
                clients.hub.spawner.sleep(REST).await;
                clients.resting.set(false);
                let Some(token) = clients.token.get() else {
                    return;
                };
                if let Err(e) = clients.hub.spawner.handle().enable(&token) {
                    tracing::warn!(error = %e, "accepting rests on");
                    clients.rest();
                }
            });
        }
    }

    fn serve(self: &Rc<Self>, socket: Socket, waits_since: Instant) {
        let id = self.next.get();
        self.next.set(id + 1);
        let client = Client::new();
        self.open.borrow_mut().insert(id, client.clone());
        let clients = self.clone();
        self.hub.spawner.spawn(async move {
            let connection = Connection::new(clients.clone(), client.clone(), socket, waits_since);
            let reason = connection.run().await;
            clients.hub.reasons.closed(reason);
            tracing::debug!(
                connection = id,
                reason = reason.as_str(),
                "a client's connection is closed"
            );
            if client.shed.get() {
                clients
                    .shedding
                    .set(clients.shedding.get().saturating_sub(1));
            }
            clients.open.borrow_mut().remove(&id);
        });
    }
}
