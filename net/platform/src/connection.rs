//! One connection to a worker. An attempt is known on it by its request's id; what comes for an id that is not open there is
//! let go.

use crate::call::Attempt;
use crate::hub::Hub;
use crate::outbox::{Message, Outbox};
use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};
use std::future::poll_fn;
use std::net::SocketAddr;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};
use tansy_dispatch::{AttemptOutcome, ControlRequestId, ResponseStage, Trailers};
use tansy_net_sockets::socket::{no_room, Socket};
use tansy_net_sockets::within;
use tansy_platform::call::RequestId;
use tansy_resp::{Limits, Reader};

/// Bytes of one answer's body, and of its other strings.
const ANSWER: Limits = Limits {
    string: 256 * 1024,
    strings: 4,
};
/// Bytes read in one turn of the loop from one connection.
const SHARE: usize = 64 * 1024;
/// Bytes that may wait for the kernel on one connection; more means that the worker takes nothing.
const OUTBOX: usize = 1024 * 1024;
/// Bytes of an attempt beside its body, about.
const ATTEMPT: usize = 256;
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

struct Open<T> {
    what: T,
    /// Its first byte has left.
    left: bool,
    /// When it was queued.
    at: Instant,
}

struct State {
    up: bool,
    ended: bool,
    /// No new request goes out on it; it closes once nothing is open.
    retired: bool,
    abort: Option<AttemptOutcome>,
    outbox: Outbox,
    calls: HashMap<RequestId, Open<Attempt>>,
    orders: HashMap<ControlRequestId, Open<()>>,
    /// Calls given up here, the latest last: another of the same id would be taken for them.
    given_up: VecDeque<RequestId>,
    heard: Instant,
    used: Instant,
    /// An answer has begun and not ended.
    partial: bool,
    waker: Option<Waker>,
}

/// One connection.
pub struct Connection {
    serial: u64,
    worker: String,
    carries: Carries,
    state: RefCell<State>,
}

impl Connection {
    /// One that is to be made; [`drive`] makes it.
    pub fn new(serial: u64, worker: &str, carries: Carries) -> Connection {
        let now = Instant::now();
        let state = State {
            up: false,
            ended: false,
            retired: false,
            abort: None,
            outbox: Outbox::default(),
            calls: HashMap::new(),
            orders: HashMap::new(),
            given_up: VecDeque::new(),
            heard: now,
            used: now,
            partial: false,
            waker: None,
        };
        Connection {
            serial,
            worker: worker.to_string(),
            carries,
            state: RefCell::new(state),
        }
    }

    /// Its number; never used twice.
    pub fn serial(&self) -> u64 {
        self.serial
    }
    /// Whether it has ended.
    pub fn ended(&self) -> bool {
        self.state.borrow().ended
    }
    /// Whether one more request may go out on it, with at most so many open at once. One that was idle for `fresh_for` may
    /// be closing at the other end.
    pub fn takes(&self, carries: Carries, streams: usize, fresh_for: Duration) -> bool {
        let s = self.state.borrow();
        let open = s.calls.len() + s.orders.len();
        let fresh = open > 0 || s.used.elapsed() < fresh_for;
        self.carries == carries && !s.retired && s.abort.is_none() && fresh && open < streams
    }
    /// Whether an attempt at this request was given up here: another's answer could not be told from its.
    pub fn gave_up(&self, id: &RequestId) -> bool {
        self.state.borrow().given_up.contains(id)
    }
    /// Whether it stands and carries nothing.
    pub fn idle(&self) -> bool {
        let s = self.state.borrow();
        !s.ended && s.abort.is_none() && s.calls.is_empty() && s.orders.is_empty()
    }
    /// Whether it has carried nothing for so long.
    pub fn idle_for(&self, span: Duration) -> bool {
        let s = self.state.borrow();
        s.calls.is_empty() && s.orders.is_empty() && s.used.elapsed() >= span
    }
    /// Whether it stopped in the middle of an answer, and has said nothing for so long.
    pub fn stopped_short(&self, span: Duration) -> bool {
        let s = self.state.borrow();
        s.partial && s.heard.elapsed() > span
    }

    fn wake(&self) {
        let waker = self.state.borrow_mut().waker.take();
        waker.into_iter().for_each(Waker::wake);
    }
    /// Ends at once.
    pub fn abort(&self, seen: AttemptOutcome) {
        self.state.borrow_mut().abort.get_or_insert(seen);
        self.wake();
    }
    /// Takes nothing new, and ends once nothing is open.
    pub fn retire(&self) {
        self.state.borrow_mut().retired = true;
        self.wake();
    }

    fn push(&self, message: Message, size: usize) {
        let mut s = self.state.borrow_mut();
        s.outbox.push(message, size);
        s.used = Instant::now();
        if s.outbox.bytes() > OUTBOX {
            s.abort.get_or_insert(AttemptOutcome::ConnectionCut {
                stage: ResponseStage::Nothing,
            });
        }
        drop(s);
        self.wake();
    }

    /// Sends an attempt.
    pub fn fire(&self, attempt: Attempt) {
        let id = attempt.io.asked.id;
        let size = ATTEMPT + attempt.io.body.len();
        let open = Open {
            what: attempt,
            left: false,
            at: Instant::now(),
        };
        self.state.borrow_mut().calls.insert(id, open);
        self.push(Message::Attempt(id), size);
    }
    /// Sends what has no answer.
    pub fn tell(&self, words: &[&[u8]]) {
        let mut bytes = Vec::new();
        tansy_resp::write(&mut bytes, words);
        let size = bytes.len();
        self.push(Message::Plain(bytes), size);
    }
    /// Sends an order; its tag follows the first word.
    pub fn order(&self, order: ControlRequestId, words: &[&str]) {
        let tag = format!("o{}", order.0);
        let mut all: Vec<&[u8]> = vec![
            words.first().map_or(&b""[..], |w| w.as_bytes()),
            tag.as_bytes(),
        ];
        all.extend(words.iter().skip(1).map(|w| w.as_bytes()));
        let mut bytes = Vec::new();
        tansy_resp::write(&mut bytes, &all);
        let size = bytes.len();
        self.state.borrow_mut().orders.insert(
            order,
            Open {
                what: (),
                left: false,
                at: Instant::now(),
            },
        );
        self.push(Message::Order(order, bytes), size);
    }

    /// Gives an attempt up. Some: how it ended, at once; none: it has ended already.
    pub fn withdraw(&self, id: &RequestId) -> Option<AttemptOutcome> {
        let open = {
            let mut s = self.state.borrow_mut();
            let open = s.calls.remove(id)?;
            if s.outbox.take_back(id) {
                return Some(AttemptOutcome::NeverLeft);
            }
            s.given_up.push_back(*id);
            if s.given_up.len() > GIVEN_UP {
                s.given_up.pop_front();
            }
            open
        };
        self.doubt(open.at);
        self.tell(&[b"never_mind", id]);
        Some(AttemptOutcome::Cancelled)
    }
    /// Whether an attempt has begun to leave; if not, it is taken back.
    pub fn confirm(&self, id: &RequestId) -> Result<(), AttemptOutcome> {
        let mut s = self.state.borrow_mut();
        if !s.outbox.take_back(id) {
            return Ok(());
        }
        s.calls.remove(id);
        Err(if s.up {
            AttemptOutcome::NeverLeft
        } else {
            AttemptOutcome::ConnectTimedOut
        })
    }
    /// Takes an order back if nothing of it has left; some: its end.
    pub fn recall(&self, order: ControlRequestId) -> Option<AttemptOutcome> {
        let mut s = self.state.borrow_mut();
        if !s.outbox.take_back_order(order) {
            return None;
        }
        s.orders.remove(&order);
        Some(AttemptOutcome::NeverLeft)
    }
    /// Gives an order up.
    pub fn withdraw_order(&self, order: ControlRequestId) -> AttemptOutcome {
        let (open, waited) = {
            let mut s = self.state.borrow_mut();
            (s.orders.remove(&order), s.outbox.take_back_order(order))
        };
        match open {
            Some(_) if waited => AttemptOutcome::NeverLeft,
            Some(o) => {
                self.doubt(o.at);
                AttemptOutcome::Cancelled
            }
            None => AttemptOutcome::Cancelled,
        }
    }

    /// Nothing was heard since what is given up was sent: the connection may lead nowhere, so it takes nothing new.
    fn doubt(&self, since: Instant) {
        let mut s = self.state.borrow_mut();
        s.retired |= s.heard <= since;
    }

    /// Asks the guards once more of each attempt and order that has not begun to leave, and takes back those that may not:
    /// they were chosen when the connection was not up, or the loop was behind.
    fn hold_back(&self, hub: &Rc<Hub>) {
        hub.hear_list();
        let waiting: Vec<RequestId> = self.state.borrow().outbox.attempts().collect();
        for id in waiting {
            let Some(attempt) = self.state.borrow().calls.get(&id).map(|o| o.what.clone()) else {
                continue;
            };
            let Err(denied) = hub.may_send(&attempt) else {
                continue;
            };
            // Its end may have taken it back already.
            let taken_back = {
                let mut s = self.state.borrow_mut();
                let open = s.calls.remove(&id).is_some();
                s.outbox.take_back(&id) && open
            };
            if taken_back {
                hub.held_back(&attempt, denied);
            }
        }
        let waiting: Vec<ControlRequestId> = self.state.borrow().outbox.orders().collect();
        for order in waiting {
            if hub.with_front(|f| f.may_send_control(order)).is_ok() {
                continue;
            }
            if let Some(seen) = self.recall(order) {
                hub.order_ended(order, seen, Trailers::default());
            }
        }
    }

    /// Sends what waits and may leave.
    fn flush(&self, hub: &Rc<Hub>, socket: &Socket, cx: &Context<'_>) -> std::io::Result<()> {
        self.hold_back(hub);
        let s = &mut *self.state.borrow_mut();
        if s.abort.is_some() {
            return Ok(());
        }
        let (calls, orders) = (&mut s.calls, &mut s.orders);
        // The same moment for all: what is told to a worker is checked against it.
        let now = hub.now();
        let patience = |a: &Attempt| {
            hub.with_front(|f| f.may_send(now, a.call, a.number))
                .unwrap_or(0)
        };
        let mut begun = Vec::new();
        let flushed = s.outbox.flush(
            |message| match message {
                Message::Attempt(id) => calls
                    .get(id)
                    .map_or(Vec::new(), |o| o.what.encode(&hub.setup, patience(&o.what))),
                Message::Order(_, bytes) | Message::Plain(bytes) => bytes.clone(),
            },
            |message| begun.push(message.clone()),
            |bytes| socket.poll_write(cx, bytes),
        );
        for message in begun {
            match message {
                Message::Attempt(id) => {
                    let Some(open) = calls.get_mut(&id) else {
                        continue;
                    };
                    open.left = true;
                    hub.sent(
                        now,
                        &open.what,
                        &self.worker,
                        patience(&open.what),
                        self.serial,
                    );
                }
                Message::Order(order, _) => {
                    let Some(open) = orders.get_mut(&order) else {
                        continue;
                    };
                    open.left = true;
                    hub.order_sent(order, &self.worker);
                }
                Message::Plain(_) => {}
            }
        }
        flushed
    }

    /// One turn: sends what waits, reads a share of what came.
    fn poll(
        &self,
        hub: &Rc<Hub>,
        socket: &Socket,
        reader: &mut Reader,
        cx: &Context<'_>,
    ) -> Poll<AttemptOutcome> {
        let cut = AttemptOutcome::ConnectionCut {
            stage: ResponseStage::Nothing,
        };
        {
            let mut s = self.state.borrow_mut();
            s.waker = Some(cx.waker().clone());
            if let Some(seen) = s.abort {
                return Poll::Ready(seen);
            }
        }
        let waits = !self.state.borrow().outbox.is_empty();
        if waits && self.flush(hub, socket, cx).is_err() {
            return Poll::Ready(cut);
        }
        {
            let s = self.state.borrow();
            if let Some(seen) = s.abort {
                return Poll::Ready(seen);
            }
            if s.retired && s.calls.is_empty() && s.orders.is_empty() && s.outbox.is_empty() {
                return Poll::Ready(AttemptOutcome::NeverLeft);
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
                    Err(_) => {
                        return Poll::Ready(AttemptOutcome::InvalidResponse {
                            stage: ResponseStage::Headers,
                        })
                    }
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
        let open = id.and_then(|id| take_left(&mut self.state.borrow_mut().calls, &id));
        if let Some(open) = open {
            return hub.answered(&open.what, answered.seen, answered.told, body.to_vec());
        }
        let order = tag
            .strip_prefix(b"o")
            .and_then(|t| std::str::from_utf8(t).ok()?.parse().ok())
            .map(ControlRequestId);
        let order = order.filter(|o| take_left(&mut self.state.borrow_mut().orders, o).is_some());
        if let Some(order) = order {
            hub.order_ended(order, answered.seen, answered.told);
        }
    }

    /// The connection has ended: so has all that was open on it.
    fn end(&self, hub: &Rc<Hub>, seen: AttemptOutcome) {
        let (mut calls, mut orders) = {
            let mut s = self.state.borrow_mut();
            s.ended = true;
            s.outbox.clear();
            let calls: Vec<_> = std::mem::take(&mut s.calls).into_values().collect();
            let orders: Vec<_> = std::mem::take(&mut s.orders).into_iter().collect();
            (calls, orders)
        };
        hub.connection_ended(&self.worker, self.serial, seen, calls.len() + orders.len());
        calls.sort_by_key(|o| o.what.call);
        orders.sort_by_key(|(o, _)| *o);
        let connected = !matches!(
            seen,
            AttemptOutcome::ConnectRefused | AttemptOutcome::ConnectTimedOut
        );
        let of = |left: bool| {
            if connected && !left {
                AttemptOutcome::NeverLeft
            } else {
                seen
            }
        };
        for open in calls {
            hub.attempt_ended(
                open.what.call,
                open.what.number,
                of(open.left),
                Trailers::default(),
            );
        }
        // Of an order whose connection ended nothing was heard, whatever ended the connection.
        let lost = |seen| match seen {
            AttemptOutcome::InvalidResponse { .. } => AttemptOutcome::ConnectionCut {
                stage: ResponseStage::Nothing,
            },
            other => other,
        };
        for (order, open) in orders {
            hub.order_ended(order, lost(of(open.left)), Trailers::default());
        }
    }
}

/// Takes what is open under this name. What has not left can't have been answered: that is noise.
fn take_left<K: Eq + std::hash::Hash, T>(
    open: &mut HashMap<K, Open<T>>,
    name: &K,
) -> Option<Open<T>> {
    open.get(name).filter(|o| o.left)?;
    open.remove(name)
}

/// Drives one connection from its making to its end.
pub async fn drive(hub: Rc<Hub>, address: SocketAddr, connection: Rc<Connection>) {
    let seen = run(&hub, address, &connection).await;
    hub.worker_connections
        .set(hub.worker_connections.get().saturating_sub(1));
    connection.end(&hub, seen);
}

async fn run(hub: &Rc<Hub>, address: SocketAddr, connection: &Rc<Connection>) -> AttemptOutcome {
    // An error of this machine says nothing of the worker; an idle connection makes room for the next.
    let failed = |e: std::io::Error| {
        if no_room(&e) {
            hub.spare();
            return AttemptOutcome::NeverLeft;
        }
        AttemptOutcome::ConnectRefused
    };
    let socket = match Socket::connect(hub.spawner.handle(), address) {
        Ok(socket) => socket,
        Err(e) => return failed(e),
    };
    let limit = hub.spawner.sleep(hub.setup.connect_within);
    let connected = poll_fn(|cx| {
        let mut s = connection.state.borrow_mut();
        if s.abort.is_some() {
            return Poll::Ready(Err(std::io::ErrorKind::ConnectionAborted.into()));
        }
        s.waker = Some(cx.waker().clone());
        socket.poll_connected(cx)
    });
    match within(limit, connected).await {
        None => return AttemptOutcome::ConnectTimedOut,
        Some(Err(e)) => return failed(e),
        Some(Ok(())) => connection.state.borrow_mut().up = true,
    }
    let mut reader = Reader::new(ANSWER);
    poll_fn(|cx| connection.poll(hub, &socket, &mut reader, cx)).await
}
