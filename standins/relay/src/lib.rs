//! A fault proxy between processes: it records what passes, and cuts or pauses connections on demand.
//!
//! It changes no byte. What it records is read by `tansy-audit`; it checks nothing itself.

mod forward;

use calloop::generic::Generic;
use calloop::{Interest, Mode, PostAction};
use forward::{Forwarder, CHUNK};
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

/// Where the connections of a listener go, and the faults that apply to them.
struct Route {
    target: Cell<SocketAddr>,
    /// Counts cuts: a connection ends when it has changed.
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

    /// Wakes a task when a fault is set or cleared.
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

/// A fault proxy with its recording.
pub struct FaultProxy {
    spawner: Spawner,
    epoch: Instant,
    /// Connections so far.
    connections: Cell<u64>,
    entries: RefCell<Vec<Entry>>,
    routes: RefCell<BTreeMap<Link, Rc<Route>>>,
}

impl FaultProxy {
    /// A proxy without routes.
    pub fn new(spawner: Spawner) -> Rc<FaultProxy> {
        Rc::new(FaultProxy {
            spawner,
            epoch: Instant::now(),
            connections: Cell::new(0),
            entries: RefCell::new(Vec::new()),
            routes: RefCell::new(BTreeMap::new()),
        })
    }

    /// Microseconds since the recording began.
    pub fn now(&self) -> i64 {
        i64::try_from(self.epoch.elapsed().as_micros()).unwrap_or(i64::MAX)
    }

    /// Takes out what was recorded so far.
    pub fn take_entries(&self) -> Vec<Entry> {
        std::mem::take(&mut self.entries.borrow_mut())
    }

    /// Records an event that no socket shows.
    pub fn mark(&self, mark: Mark) {
        self.record(0, Event::Mark(mark));
    }

    /// Records an event that no socket shows, of a moment that has passed.
    pub fn mark_at(&self, at: i64, mark: Mark) {
        self.entries.borrow_mut().push(Entry {
            at,
            connection: 0,
            event: Event::Mark(mark),
        });
    }

    /// Leads connections to a new listener on to a target; gives the listener's address.
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

    /// Ends all connections of a route.
    pub fn cut(&self, link: Link) {
        if let Some(route) = self.routes.borrow().get(&link) {
            route.cuts.set(route.cuts.get() + 1);
            route.wake();
        }
    }

    /// Pauses what passes on a route, both ways, or lets it go on.
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

    /// Connects to the route's target, and forwards until one side or the proxy ends the connection.
    async fn forward(self: Rc<Self>, link: Link, route: Rc<Route>, near: TcpStream) {
        let connection = self.connections.get() + 1;
        self.connections.set(connection);
        let Some((near, far)) = self.connect(&route, near) else {
            return;
        };
        self.record(connection, Event::Open(link));
        let cuts = route.cuts.get();
        // The audit is of what the front end did and what it could know: its end of the proxy is recorded.
        let front_connects = matches!(link, Link::Worker { .. });
        // What front ends write to each other is not audited, and would be most of the recording.
        let is_recorded = !matches!(link, Link::Peer { .. });
        let mut forwarders = [
            Forwarder::new(true, front_connects),
            Forwarder::new(false, !front_connects),
        ];
        let mut chunk = vec![0; CHUNK];
        let ended_by = poll_fn(|cx| {
            route.register(cx);
            if route.cuts.get() != cuts {
                return Poll::Ready(None);
            }
            for forwarder in &mut forwarders {
                let from_client = forwarder.from_client;
                let (from, to) = match from_client {
                    true => (&near, &far),
                    false => (&far, &near),
                };
                let mut on_passed = |bytes: &[u8]| {
                    if is_recorded {
                        self.record(connection, Event::Bytes(from_client, bytes.to_vec()));
                    }
                };
                let paused = route.paused.get();
                let ended = forwarder.poll(from, to, paused, &mut chunk, cx, &mut on_passed);
                if ended.is_some() {
                    return Poll::Ready(ended);
                }
            }
            Poll::Pending
        })
        .await;
        self.record(connection, Event::Close(ended_by));
    }

    /// The sockets of both sides. On loopback a connection is made or refused at once.
    fn connect(&self, route: &Route, near: TcpStream) -> Option<(Socket, Socket)> {
        let far = TcpStream::connect(route.target.get()).ok()?;
        let _ = near.set_nodelay(true).and_then(|()| far.set_nodelay(true));
        let handle = self.spawner.handle();
        let near = Socket::new(handle, near);
        let far = Socket::new(handle, far);
        near.ok().zip(far.ok())
    }
}
