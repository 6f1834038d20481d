//! A TCP proxy for tests that records the traffic between processes, and closes or pauses connections on demand.
//!
//! Bytes are forwarded unchanged. The recording is checked by `tansy-audit`.

mod forward;

use calloop::generic::Generic;
use calloop::{Interest, Mode, PostAction};
use forward::{Forwarder, CHUNK_BYTES};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::poll_fn;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::Instant;
use tansy_audit::{Entry, Event, Link, Mark};
use tansy_net_sockets::socket::Socket;
use tansy_net_sockets::Spawner;

/// The target of a listener's connections, and the faults that apply to them.
struct Route {
    target: Cell<SocketAddr>,
    /// Number of cuts so far. A connection ends when the number changes.
    cuts: Cell<u64>,
    paused: Cell<bool>,
    wakers: RefCell<Vec<Waker>>,
}

impl Route {
    fn new(target: SocketAddr) -> Route {
        Route {
            target: Cell::new(target),
            cuts: Cell::new(0),
            paused: Cell::new(false),
            wakers: RefCell::new(Vec::new()),
        }
    }

    /// Registers a task to be woken when a fault is set or cleared.
    fn register(&self, cx: &Context<'_>) {
        let mut wakers = self.wakers.borrow_mut();
        if !wakers.iter().any(|waker| waker.will_wake(cx.waker())) {
            wakers.push(cx.waker().clone());
        }
    }

    fn wake(&self) {
        self.wakers.borrow_mut().drain(..).for_each(Waker::wake);
    }
}

/// A fault proxy and its recording.
pub struct FaultProxy {
    spawner: Spawner,
    epoch: Instant,
    /// Number of accepted connections.
    accepted: Cell<u64>,
    entries: RefCell<Vec<Entry>>,
    routes: RefCell<BTreeMap<Link, Rc<Route>>>,
}

impl FaultProxy {
    /// Creates a proxy without routes.
    pub fn new(spawner: Spawner) -> Rc<FaultProxy> {
        Rc::new(FaultProxy {
            spawner,
            epoch: Instant::now(),
            accepted: Cell::new(0),
            entries: RefCell::new(Vec::new()),
            routes: RefCell::new(BTreeMap::new()),
        })
    }

    /// Time since the start of the recording, microseconds.
    pub fn now(&self) -> i64 {
        i64::try_from(self.epoch.elapsed().as_micros()).unwrap_or(i64::MAX)
    }

    /// Removes and returns the entries recorded so far.
    pub fn take_entries(&self) -> Vec<Entry> {
        std::mem::take(&mut self.entries.borrow_mut())
    }

    /// Records an event that sockets don't show.
    pub fn mark(&self, mark: Mark) {
        self.record(0, Event::Mark(mark));
    }

    /// Records an earlier event that sockets don't show, at the given time of the recording.
    pub fn mark_at(&self, at: i64, mark: Mark) {
        self.entries.borrow_mut().push(Entry {
            at,
            connection: 0,
            event: Event::Mark(mark),
        });
    }

    /// Creates a listener whose connections are forwarded to a target, and returns its address.
    pub fn route(self: &Rc<Self>, link: Link, target: SocketAddr) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let route = Rc::new(Route::new(target));
        self.routes.borrow_mut().insert(link, route.clone());
        let proxy = self.clone();
        let source = Generic::new(listener, Interest::READ, Mode::Level);
        let inserted = self
            .spawner
            .handle()
            .insert_source(source, move |_, listener, ()| {
                while let Ok((socket, _)) = listener.accept() {
                    let task = proxy.clone().forward(link, route.clone(), socket);
                    proxy.spawner.spawn(task);
                }
                Ok(PostAction::Continue)
            });
        inserted
            .map(|_| address)
            .map_err(|error| io::Error::other(error.to_string()))
    }

    /// Closes all connections of a route.
    pub fn cut(&self, link: Link) {
        if let Some(route) = self.routes.borrow().get(&link) {
            route.cuts.set(route.cuts.get() + 1);
            route.wake();
        }
    }

    /// Pauses or resumes forwarding on a route in both directions.
    pub fn set_paused(&self, link: Link, paused: bool) {
        if let Some(route) = self.routes.borrow().get(&link) {
            route.paused.set(paused);
            route.wake();
        }
    }

    fn record(&self, connection: u64, event: Event) {
        let at = self.now();
        self.entries.borrow_mut().push(Entry {
            at,
            connection,
            event,
        });
    }

    /// Connects to the route's target, and forwards until one side or the proxy closes the connection.
    async fn forward(self: Rc<Self>, link: Link, route: Rc<Route>, client: TcpStream) {
        let connection = self.accepted.get() + 1;
        self.accepted.set(connection);
        let Some((client, server)) = self.connect(&route, client) else {
            return;
        };
        self.record(connection, Event::Open(link));
        let cuts = route.cuts.get();
        // Bytes are recorded when the front end sends or receives them, because the audit concerns what the front end did and knew.
        let front_end_connects = matches!(link, Link::Worker { .. });
        // Traffic between front ends is not audited, and would be most of the recording.
        let is_recorded = !matches!(link, Link::Peer { .. });
        let mut forwarders = [
            Forwarder::new(true, front_end_connects),
            Forwarder::new(false, !front_end_connects),
        ];
        let mut chunk = vec![0; CHUNK_BYTES];
        let ended_by = poll_fn(|cx| {
            route.register(cx);
            if route.cuts.get() != cuts {
                return Poll::Ready(None);
            }
            for forwarder in &mut forwarders {
                let from_client = forwarder.from_client;
                let (from, to) = match from_client {
                    true => (&client, &server),
                    false => (&server, &client),
                };
                let mut record_bytes = |bytes: &[u8]| {
                    if is_recorded {
                        self.record(connection, Event::Bytes(from_client, bytes.to_vec()));
                    }
                };
                let paused = route.paused.get();
                let ended = forwarder.poll(from, to, paused, &mut chunk, cx, &mut record_bytes);
                if ended.is_some() {
                    return Poll::Ready(ended);
                }
            }
            Poll::Pending
        })
        .await;
        self.record(connection, Event::Close(ended_by));
    }

    /// Connects to the target, and returns the sockets of both sides. The connect blocks, which is short on loopback.
    fn connect(&self, route: &Route, client: TcpStream) -> Option<(Socket, Socket)> {
        let server = TcpStream::connect(route.target.get()).ok()?;
        let _ = client
            .set_nodelay(true)
            .and_then(|()| server.set_nodelay(true));
        let handle = self.spawner.handle();
        let client = Socket::new(handle, client);
        let server = Socket::new(handle, server);
        client.ok().zip(server.ok())
    }
}
