//! The connections to one worker. An attempt is known on its connection by its request's id; what comes for an id that
//! is not open there is let go.

use crate::hub::{Hub, Setup};
use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};
use std::future::poll_fn;
use std::net::SocketAddr;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};
use tansy_front::{CallId, OrderId, Seen, Stage, Told};
use tansy_net_sockets::socket::{no_room, Socket};
use tansy_net_sockets::within;
use tansy_platform::call::{Asked, RequestId};
use tansy_resp::{Limits, Reader};
use tansyrouter::Span;

/// Bytes of one answer's body, and of its other strings.
const ANSWER: Limits = Limits { string: 256 * 1024, strings: 4 };
/// Bytes read in one turn of the loop from one connection.
const SHARE: usize = 64 * 1024;
/// Bytes that may wait for the kernel on one connection; more means that the worker takes nothing.
const OUTBOX: usize = 1024 * 1024;
/// Ids of attempts given up on one connection that are remembered: an answer may still come for each.
const GIVEN_UP: usize = 128;

/// What a connection carries. An answer that can't be read ends all that is open on its connection; a load lasts much
/// longer than a call, and would mostly not live to its end beside them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Carries {
    /// Attempts.
    Calls,
    /// Orders and probes.
    Orders,
}

/// Which attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Job {
    /// Its call.
    pub call: CallId,
    /// Its number.
    pub attempt: u32,
}

struct Open<T> {
    what: T,
    /// Where its bytes begin and end in all that was ever queued on the connection.
    from: u64,
    to: u64,
    at: Instant,
}

struct State {
    up: bool,
    ended: bool,
    /// No new request goes out on it; it closes once nothing is open.
    retired: bool,
    abort: Option<Seen>,
    out: Vec<u8>,
    /// Of all bytes ever queued, those that the kernel took.
    sent: u64,
    queued: u64,
    calls: HashMap<RequestId, Open<Job>>,
    orders: HashMap<OrderId, Open<()>>,
    /// Calls given up here, the latest last: another of the same id would be taken for them.
    given_up: VecDeque<RequestId>,
    heard: Instant,
    used: Instant,
    /// An answer has begun and not ended.
    partial: bool,
    waker: Option<Waker>,
}

/// One connection.
pub struct Conn {
    serial: u64,
    carries: Carries,
    state: RefCell<State>,
}

/// The connections to one worker.
pub struct Link {
    address: SocketAddr,
    conns: RefCell<Vec<Rc<Conn>>>,
}

impl Link {
    /// Without a connection yet.
    pub fn new(address: SocketAddr) -> Rc<Link> {
        Rc::new(Link { address, conns: RefCell::new(Vec::new()) })
    }

    /// A connection for one more attempt at a call, none of those it used before; made if there is none. None: no room.
    pub fn pick_for(self: &Rc<Self>, hub: &Rc<Hub>, id: &RequestId, used: &[u64]) -> Option<Rc<Conn>> {
        self.pick(hub, Carries::Calls, |c| {
            !used.contains(&c.serial) && !c.state.borrow().given_up.contains(id)
        })
    }
    /// A connection for one more order; made if there is none. None: no room.
    pub fn pick_for_order(self: &Rc<Self>, hub: &Rc<Hub>) -> Option<Rc<Conn>> {
        self.pick(hub, Carries::Orders, |_| true)
    }

    fn pick(
        self: &Rc<Self>,
        hub: &Rc<Hub>,
        carries: Carries,
        fits: impl Fn(&Conn) -> bool,
    ) -> Option<Rc<Conn>> {
        self.conns.borrow_mut().retain(|c| !c.state.borrow().ended);
        let room = |c: &&Rc<Conn>| {
            let s = c.state.borrow();
            let open = s.calls.len() + s.orders.len();
            let fresh = open > 0 || s.used.elapsed() < fresh_for(&hub.setup);
            c.carries == carries
                && !s.retired
                && s.abort.is_none()
                && fresh
                && open < hub.setup.streams
                && fits(c)
        };
        if let Some(c) = self.conns.borrow().iter().find(room) {
            return Some(c.clone());
        }
        if hub.worker_connections.get() >= hub.setup.workers && !hub.spare() {
            return None;
        }
        let serial = hub.next_serial();
        let now = Instant::now();
        let state = State {
            up: false,
            ended: false,
            retired: false,
            abort: None,
            out: Vec::new(),
            sent: 0,
            queued: 0,
            calls: HashMap::new(),
            orders: HashMap::new(),
            given_up: VecDeque::new(),
            heard: now,
            used: now,
            partial: false,
            waker: None,
        };
        let conn = Rc::new(Conn { serial, carries, state: RefCell::new(state) });
        self.conns.borrow_mut().push(conn.clone());
        hub.worker_connections.set(hub.worker_connections.get() + 1);
        hub.spawner.spawn(drive(hub.clone(), self.address, conn.clone()));
        Some(conn)
    }

    /// Ends all connections at once.
    pub fn drop_now(&self) {
        self.conns.borrow().iter().for_each(|c| c.abort(Seen::Cut { stage: Stage::Nothing }));
    }
    /// The worker has left: its connections close once nothing is open on them.
    pub fn retire(&self) {
        self.conns.borrow().iter().for_each(|c| c.retire());
    }
    /// Closes an idle connection.
    pub fn spare(&self) -> bool {
        let conns = self.conns.borrow();
        let idle = conns.iter().find(|c| {
            let s = c.state.borrow();
            !s.ended && s.abort.is_none() && s.calls.is_empty() && s.orders.is_empty()
        });
        idle.is_some_and(|c| {
            c.abort(Seen::NeverLeft);
            true
        })
    }
    /// Closes what has been idle for long, and what stopped in the middle of an answer.
    pub fn look_over(&self, setup: &Setup) {
        for c in self.conns.borrow().iter() {
            let (idle, short) = {
                let s = c.state.borrow();
                let idle = s.calls.is_empty() && s.orders.is_empty() && s.used.elapsed() >= fresh_for(setup);
                (idle, s.partial && s.heard.elapsed() > setup.connect_within)
            };
            if short {
                c.abort(Seen::BadAnswer { stage: Stage::Headers });
            } else if idle {
                c.retire();
            }
        }
    }
}

/// A connection that was idle for most of the time after which the worker closes it may be closing now.
fn fresh_for(setup: &Setup) -> Duration {
    setup.idle * 3 / 4
}

impl Conn {
    /// Its number; never used twice.
    pub fn serial(&self) -> u64 {
        self.serial
    }

    fn wake(&self) {
        let waker = self.state.borrow_mut().waker.take();
        waker.into_iter().for_each(Waker::wake);
    }
    fn abort(&self, seen: Seen) {
        self.state.borrow_mut().abort.get_or_insert(seen);
        self.wake();
    }
    fn retire(&self) {
        self.state.borrow_mut().retired = true;
        self.wake();
    }

    fn write(&self, strings: &[&[u8]]) -> (u64, u64) {
        let mut s = self.state.borrow_mut();
        let (before, from) = (s.out.len(), s.queued);
        tansy_resp::write(&mut s.out, strings);
        s.queued += (s.out.len() - before) as u64;
        s.used = Instant::now();
        if s.out.len() > OUTBOX {
            s.abort.get_or_insert(Seen::Cut { stage: Stage::Nothing });
        }
        let to = s.queued;
        drop(s);
        self.wake();
        (from, to)
    }

    /// Sends an attempt.
    pub fn fire(&self, asked: &Asked, class: &str, body: &[u8], budget: Span, job: Job) {
        let fields = asked.fields(class, (budget / 1000).max(1));
        let (from, to) = self.write(&[b"fire", &asked.id, fields.as_bytes(), body]);
        let open = Open { what: job, from, to, at: Instant::now() };
        self.state.borrow_mut().calls.insert(asked.id, open);
    }
    /// Sends what has no answer.
    pub fn tell(&self, words: &[&str]) {
        self.write(&words.iter().map(|w| w.as_bytes()).collect::<Vec<_>>());
    }
    /// Sends an order; its tag follows the first word.
    pub fn order(&self, order: OrderId, words: &[&str]) {
        let tag = format!("o{}", order.0);
        let mut all: Vec<&[u8]> = vec![words.first().map_or(&b""[..], |w| w.as_bytes()), tag.as_bytes()];
        all.extend(words.iter().skip(1).map(|w| w.as_bytes()));
        let (from, to) = self.write(&all);
        self.state.borrow_mut().orders.insert(order, Open { what: (), from, to, at: Instant::now() });
    }

    /// Gives an attempt up. Some: how it ended, at once; none: it has ended already.
    pub fn withdraw(&self, id: &RequestId) -> Option<Seen> {
        let open = self.state.borrow_mut().calls.remove(id)?;
        if self.unsend(open.from, open.to) {
            return Some(Seen::NeverLeft);
        }
        self.doubt(open.at);
        {
            let mut s = self.state.borrow_mut();
            s.given_up.push_back(*id);
            if s.given_up.len() > GIVEN_UP {
                s.given_up.pop_front();
            }
        }
        self.write(&[b"never_mind", id]);
        Some(Seen::Withdrawn)
    }
    /// Whether an attempt has begun to leave; if not, it is taken back.
    pub fn confirm(&self, id: &RequestId) -> Result<(), Seen> {
        let (from, to, up) = {
            let s = self.state.borrow();
            let Some(open) = s.calls.get(id) else { return Ok(()) };
            (open.from, open.to, s.up)
        };
        if !self.unsend(from, to) {
            return Ok(());
        }
        self.state.borrow_mut().calls.remove(id);
        Err(if up { Seen::NeverLeft } else { Seen::ConnectTimedOut })
    }
    /// Takes an order back if nothing of it has left; some: its end.
    pub fn recall(&self, order: OrderId) -> Option<Seen> {
        let (from, to) = self.state.borrow().orders.get(&order).map(|o| (o.from, o.to))?;
        if !self.unsend(from, to) {
            return None;
        }
        self.state.borrow_mut().orders.remove(&order);
        Some(Seen::NeverLeft)
    }
    /// Gives an order up.
    pub fn withdraw_order(&self, order: OrderId) -> Seen {
        let open = self.state.borrow_mut().orders.remove(&order);
        match open {
            Some(o) if self.unsend(o.from, o.to) => Seen::NeverLeft,
            Some(o) => {
                self.doubt(o.at);
                Seen::Withdrawn
            }
            None => Seen::Withdrawn,
        }
    }

    /// Nothing was heard since what is given up was sent: the connection may lead nowhere, so it takes nothing new.
    fn doubt(&self, since: Instant) {
        let mut s = self.state.borrow_mut();
        s.retired |= s.heard <= since;
    }

    /// Asks once more of each attempt that has not begun to leave whether it may, and takes back those that may not: it
    /// was chosen when the connection was not up, or the loop was behind. Orders are recalled by what the list tells.
    fn hold_back(&self, hub: &Rc<Hub>) {
        hub.hear_list();
        let mut asked: Vec<Job> = Vec::new();
        loop {
            let next = {
                let s = self.state.borrow();
                let waits = s.calls.iter().filter(|(_, o)| o.from >= s.sent && !asked.contains(&o.what));
                waits.min_by_key(|(_, o)| o.from).map(|(id, o)| (*id, o.what))
            };
            let Some((id, job)) = next else { return };
            asked.push(job);
            if !hub.may_leave(job) {
                // Its end may have taken it back already.
                let open = self.state.borrow_mut().calls.remove(&id);
                if open.is_some_and(|o| self.unsend(o.from, o.to)) {
                    hub.attempt_ended(job.call, job.attempt, Seen::NeverLeft, Told::default());
                }
            }
        }
    }

    /// Takes bytes back of which none has left.
    fn unsend(&self, from: u64, to: u64) -> bool {
        let mut s = self.state.borrow_mut();
        if from < s.sent {
            return false;
        }
        let (sent, n) = (s.sent, to - from);
        s.out.drain((from - sent) as usize..(to - sent) as usize);
        s.queued -= n;
        for o in s.calls.values_mut().filter(|o| o.from >= to) {
            (o.from, o.to) = (o.from - n, o.to - n);
        }
        for o in s.orders.values_mut().filter(|o| o.from >= to) {
            (o.from, o.to) = (o.from - n, o.to - n);
        }
        true
    }

    /// One turn: sends what waits, reads a share of what came.
    fn poll(&self, hub: &Rc<Hub>, socket: &Socket, reader: &mut Reader, cx: &Context<'_>) -> Poll<Seen> {
        let cut = Seen::Cut { stage: Stage::Nothing };
        if !self.state.borrow().out.is_empty() {
            self.hold_back(hub);
        }
        {
            let mut s = self.state.borrow_mut();
            if let Some(seen) = s.abort {
                return Poll::Ready(seen);
            }
            s.waker = Some(cx.waker().clone());
            while !s.out.is_empty() {
                match socket.poll_write(cx, &s.out) {
                    Poll::Ready(Ok(n)) if n > 0 => {
                        s.sent += n as u64;
                        s.out.drain(..n);
                        s.out.shrink_to(4096);
                    }
                    Poll::Ready(_) => return Poll::Ready(cut),
                    Poll::Pending => break,
                }
            }
            if s.retired && s.calls.is_empty() && s.orders.is_empty() && s.out.is_empty() {
                return Poll::Ready(Seen::NeverLeft);
            }
        }
        let mut buffer = [0u8; 16 * 1024];
        let mut read = 0;
        loop {
            let n = match socket.poll_read(cx, &mut buffer) {
                Poll::Ready(Ok(n)) if n > 0 => n,
                Poll::Ready(_) => return Poll::Ready(cut),
                Poll::Pending => return Poll::Pending,
            };
            self.state.borrow_mut().heard = Instant::now();
            reader.take(&buffer[..n]);
            loop {
                match reader.array() {
                    Ok(Some(strings)) => self.take(hub, &strings),
                    Ok(None) => break,
                    Err(_) => return Poll::Ready(Seen::BadAnswer { stage: Stage::Headers }),
                }
            }
            self.state.borrow_mut().partial = reader.partial();
            read += n;
            if read >= SHARE {
                // The other connections come first.
                cx.waker().wake_by_ref();
                return Poll::Pending;
            }
        }
    }

    /// Takes one answer.
    fn take(&self, hub: &Rc<Hub>, strings: &[&[u8]]) {
        let part = |n: usize| strings.get(n).copied().unwrap_or(b"");
        let (tag, word, fields, body) = (part(0), part(1), part(2), part(3));
        let answered = tansy_platform::answer(word, fields, hub.setup.crowd);
        let id: Option<RequestId> = tag.try_into().ok();
        let open = id.and_then(|id| self.state.borrow_mut().calls.remove(&id));
        if let Some(open) = open {
            return hub.answered(open.what, answered.seen, answered.told, body.to_vec());
        }
        let order =
            tag.strip_prefix(b"o").and_then(|t| std::str::from_utf8(t).ok()?.parse().ok()).map(OrderId);
        if let Some(order) = order.filter(|o| self.state.borrow_mut().orders.remove(o).is_some()) {
            hub.order_ended(order, answered.seen, answered.told);
        }
    }

    /// The connection has ended: so has all that was open on it.
    fn end(&self, hub: &Rc<Hub>, seen: Seen) {
        let (mut calls, mut orders, sent) = {
            let mut s = self.state.borrow_mut();
            s.ended = true;
            s.out = Vec::new();
            let calls: Vec<_> = std::mem::take(&mut s.calls).into_iter().collect();
            let orders: Vec<_> = std::mem::take(&mut s.orders).into_iter().collect();
            (calls, orders, s.sent)
        };
        calls.sort_by_key(|(_, o)| o.what.call);
        orders.sort_by_key(|(o, _)| *o);
        let connected = !matches!(seen, Seen::ConnectRefused | Seen::ConnectTimedOut);
        let of = |from: u64| if connected && from >= sent { Seen::NeverLeft } else { seen };
        for (_, o) in calls {
            hub.attempt_ended(o.what.call, o.what.attempt, of(o.from), Told::default());
        }
        // Of an order whose connection ended nothing was heard, whatever ended the connection.
        let lost = |seen| {
            if matches!(seen, Seen::BadAnswer { .. }) {
                Seen::Cut { stage: Stage::Nothing }
            } else {
                seen
            }
        };
        for (order, o) in orders {
            hub.order_ended(order, lost(of(o.from)), Told::default());
        }
    }
}

/// Drives one connection from its making to its end.
async fn drive(hub: Rc<Hub>, address: SocketAddr, conn: Rc<Conn>) {
    let seen = run(&hub, address, &conn).await;
    hub.worker_connections.set(hub.worker_connections.get().saturating_sub(1));
    conn.end(&hub, seen);
}

async fn run(hub: &Rc<Hub>, address: SocketAddr, conn: &Rc<Conn>) -> Seen {
    let socket = match Socket::connect(hub.spawner.handle(), address) {
        Ok(socket) => socket,
        // That says nothing of the worker; an idle connection makes room for the next.
        Err(e) if no_room(&e) => {
            hub.spare();
            return Seen::NeverLeft;
        }
        Err(_) => return Seen::ConnectRefused,
    };
    let limit = hub.spawner.sleep(hub.setup.connect_within);
    let connected = poll_fn(|cx| {
        let mut s = conn.state.borrow_mut();
        if s.abort.is_some() {
            return Poll::Ready(Err(std::io::ErrorKind::ConnectionAborted.into()));
        }
        s.waker = Some(cx.waker().clone());
        socket.poll_connected(cx)
    });
    match within(limit, connected).await {
        None => return Seen::ConnectTimedOut,
        Some(Err(_)) => return Seen::ConnectRefused,
        Some(Ok(())) => conn.state.borrow_mut().up = true,
    }
    let mut reader = Reader::new(ANSWER);
    poll_fn(|cx| conn.poll(hub, &socket, &mut reader, cx)).await
}
