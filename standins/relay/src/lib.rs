//! A relay between processes: it writes down what passes, and cuts or holds it up on demand.

use calloop::generic::Generic;
use calloop::{Interest, Mode, PostAction};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::poll_fn;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::task::{Poll, Waker};
use std::time::Instant;
use tansy_audit::{Entry, Event, Link, Mark};
use tansy_net_sockets::socket::Socket;
use tansy_net_sockets::Spawner;

/// Bytes read at a time.
const CHUNK: usize = 64 * 1024;
/// Bytes that are held up at most, each way of a connection.
const HELD: usize = 4 * 1024 * 1024;

struct Route {
    target: Cell<SocketAddr>,
    cuts: Cell<u64>,
    held: Cell<bool>,
    wakers: RefCell<Vec<Waker>>,
}

impl Route {
    fn wake(&self) {
        self.wakers.borrow_mut().drain(..).for_each(Waker::wake);
    }
}

/// A relay with its record.
pub struct Relay {
    spawner: Spawner,
    epoch: Instant,
    next: Cell<u64>,
    entries: RefCell<Vec<Entry>>,
    routes: RefCell<BTreeMap<Link, Rc<Route>>>,
}

impl Relay {
    /// A relay without routes.
    pub fn new(spawner: Spawner) -> Rc<Relay> {
        let (entries, routes) = (RefCell::new(Vec::new()), RefCell::new(BTreeMap::new()));
        Rc::new(Relay {
            spawner,
            epoch: Instant::now(),
            next: Cell::new(0),
            entries,
            routes,
        })
    }

    /// Microseconds since the record began.
    pub fn now(&self) -> i64 {
        i64::try_from(self.epoch.elapsed().as_micros()).unwrap_or(i64::MAX)
    }

    /// The record so far, taken out.
    pub fn take(&self) -> Vec<Entry> {
        std::mem::take(&mut self.entries.borrow_mut())
    }

    /// Writes down what no socket shows.
    pub fn mark(&self, mark: Mark) {
        self.write(0, Event::Mark(mark));
    }

    /// Writes down what no socket shows, of a moment that has passed.
    pub fn mark_at(&self, at: i64, mark: Mark) {
        self.entries.borrow_mut().push(Entry {
            at,
            connection: 0,
            event: Event::Mark(mark),
        });
    }

    /// Leads connections to a listener on to a target; gives the listener's address.
    pub fn route(self: &Rc<Self>, link: Link, target: SocketAddr) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let route = Rc::new(Route {
            target: Cell::new(target),
            cuts: Cell::new(0),
            held: Cell::new(false),
            wakers: RefCell::new(Vec::new()),
        });
        self.routes.borrow_mut().insert(link, route.clone());
        let relay = self.clone();
        let source = Generic::new(listener, Interest::READ, Mode::Level);
        let inserted = self
            .spawner
            .handle()
            .insert_source(source, move |_, listener, ()| {
                while let Ok((socket, _)) = listener.accept() {
                    let task = relay.clone().join(link, route.clone(), socket);
                    relay.spawner.spawn(task);
                }
                Ok(PostAction::Continue)
            });
        inserted
            .map(|_| address)
            .map_err(|e| io::Error::other(e.to_string()))
    }

    /// Ends all connections of a route.
    pub fn cut(&self, link: Link) {
        if let Some(r) = self.routes.borrow().get(&link) {
            r.cuts.set(r.cuts.get() + 1);
            r.wake();
        }
    }

    /// Holds up what passes on a route, both ways, or lets it go on.
    pub fn hold(&self, link: Link, held: bool) {
        if let Some(r) = self.routes.borrow().get(&link) {
            r.held.set(held);
            r.wake();
        }
    }

    fn write(&self, connection: u64, event: Event) {
        let at = self.now();
        self.entries.borrow_mut().push(Entry {
            at,
            connection,
            event,
        });
    }

    async fn join(self: Rc<Self>, link: Link, route: Rc<Route>, near: TcpStream) {
        let connection = self.next.get() + 1;
        self.next.set(connection);
        // Loopback: made or refused at once.
        let Ok(far) = TcpStream::connect(route.target.get()) else {
            return;
        };
        let _ = near.set_nodelay(true).and_then(|()| far.set_nodelay(true));
        let handle = self.spawner.handle();
        let (Ok(near), Ok(far)) = (Socket::new(handle, near), Socket::new(handle, far)) else {
            return;
        };
        self.write(connection, Event::Open(link));
        let cuts = route.cuts.get();
        // What counts is what the front end did and what it could know: its end of the relay is written down.
        let front_connects = matches!(link, Link::Worker { .. });
        // What front ends write to each other is not judged, and would be most of the record.
        let kept = !matches!(link, Link::Peer { .. });
        let mut ways = [
            Way::new(true, front_connects),
            Way::new(false, !front_connects),
        ];
        let mut chunk = vec![0; CHUNK];
        let by = poll_fn(|cx| {
            {
                let mut wakers = route.wakers.borrow_mut();
                if !wakers.iter().any(|w| w.will_wake(cx.waker())) {
                    wakers.push(cx.waker().clone());
                }
            }
            if route.cuts.get() != cuts {
                return Poll::Ready(None);
            }
            for way in &mut ways {
                let (from, to) = if way.up { (&near, &far) } else { (&far, &near) };
                let up = way.up;
                let mut passed = |bytes: &[u8]| {
                    if kept {
                        self.write(connection, Event::Bytes(up, bytes.to_vec()));
                    }
                };
                if let Some(ended_up) =
                    way.turn(from, to, route.held.get(), &mut chunk, cx, &mut passed)
                {
                    return Poll::Ready(Some(ended_up));
                }
            }
            Poll::Pending
        })
        .await;
        self.write(connection, Event::Close(by));
    }
}

/// One direction of a connection.
struct Way {
    up: bool,
    /// Written down when read, not when passed on.
    at_read: bool,
    waiting: Vec<u8>,
    sent: usize,
}

impl Way {
    fn new(up: bool, at_read: bool) -> Way {
        Way {
            up,
            at_read,
            waiting: Vec::new(),
            sent: 0,
        }
    }

    /// Reads and passes on as far as it goes; some: one side has ended (`true`: the one that connected).
    fn turn(
        &mut self,
        from: &Socket,
        to: &Socket,
        held: bool,
        chunk: &mut [u8],
        cx: &std::task::Context<'_>,
        passed: &mut impl FnMut(&[u8]),
    ) -> Option<bool> {
        loop {
            let mut moved = false;
            let unsent = self.waiting.len() - self.sent;
            if unsent < if held { HELD } else { CHUNK } {
                match from.poll_read(cx, chunk) {
                    Poll::Ready(Ok(n)) if n > 0 => {
                        self.waiting.drain(..std::mem::take(&mut self.sent));
                        self.waiting.extend_from_slice(&chunk[..n]);
                        if self.at_read {
                            passed(&chunk[..n]);
                        }
                        moved = true;
                    }
                    Poll::Ready(_) => return Some(self.up),
                    Poll::Pending => {}
                }
            }
            if !held && self.sent < self.waiting.len() {
                match to.poll_write(cx, &self.waiting[self.sent..]) {
                    Poll::Ready(Ok(n)) => {
                        if !self.at_read {
                            passed(&self.waiting[self.sent..self.sent + n]);
                        }
                        self.sent += n;
                        moved = true;
                    }
                    Poll::Ready(Err(_)) => return Some(!self.up),
                    Poll::Pending => {}
                }
            }
            if !moved {
                return None;
            }
        }
    }
}
