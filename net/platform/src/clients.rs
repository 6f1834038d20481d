//! The listener, and one task for each client's connection: a request at a time, in the page's exact form, answered or
//! turned away within the page's times.

use crate::hub::Hub;
use crate::reasons::CloseReason;
use calloop::generic::Generic;
use calloop::{Interest, Mode, PostAction, RegistrationToken};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::poll_fn;
use std::io;
use std::net::TcpListener;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};
use tansy_http1::{Limits, Message, Reader};
use tansy_net_sockets::socket::{no_descriptor, Socket};
use tansy_net_sockets::within;
use tansy_platform::call::{Asked, BadCall};
use tansyrouter::Span;

/// Bounds of one request: the page's 16 KiB of body, and a head well over any honest one.
const REQUEST: Limits = Limits { head: 4 * 1024, body: 16 * 1024 };
/// A connection's first request is whole by then: the page's 3 s, less the way of the answer.
const FIRST_WITHIN: Duration = Duration::from_millis(2300);
/// A request is whole so long after its first byte.
const WHOLE_WITHIN: Duration = Duration::from_millis(2000);
/// A first request that is found at the end of its time has at least so long to be whole.
const LEAST_WHOLE: Duration = Duration::from_millis(400);
/// A connection may be idle for so long: the page's 4 s, and the way of the client's close.
const IDLE: Duration = Duration::from_millis(5500);
/// A client takes its answer in this time.
const TAKEN_WITHIN: Duration = Duration::from_millis(1000);
/// What a client that was turned away still sends is read for so long, so that its answer is not reset away.
const LINGER: Duration = Duration::from_millis(500);
/// Bytes read in one turn of the loop from one connection.
const SHARE: usize = 16 * 1024;
/// Connections accepted in one turn.
const ACCEPTS: usize = 16;
/// With no descriptor left, the listener rests so long.
const REST: Duration = Duration::from_millis(20);
/// A request that is not whole may be shed for a new connection so long after its first byte: one that comes in two
/// pieces is whole by then.
const HALF_FOR: Duration = Duration::from_millis(250);

/// What came from a client while its call is open.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Heard {
    Nothing,
    More,
    Gone,
}

/// Status, advice to stay away (microseconds; 0: none) and body.
type Final = (u16, Span, Vec<u8>);

/// A call's final answer on its way to its client's task, and whether that client is still there for it.
pub struct Slot {
    answer: RefCell<Option<Final>>,
    waker: RefCell<Option<Waker>>,
    socket: Rc<Socket>,
    heard: Cell<Heard>,
}

impl Slot {
    fn new(socket: Rc<Socket>) -> Slot {
        let (answer, waker) = (RefCell::default(), RefCell::default());
        Slot { answer, waker, socket, heard: Cell::new(Heard::Nothing) }
    }

    fn hear(&self, read: io::Result<usize>) -> Heard {
        let heard = match read {
            Ok(n) if n > 0 => Heard::More,
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => Heard::Nothing,
            _ => Heard::Gone,
        };
        if heard != Heard::Nothing {
            self.heard.set(heard);
            self.waker.borrow_mut().take().into_iter().for_each(Waker::wake);
        }
        heard
    }

    /// Whether the client waits for its answer as far as this machine knows at this moment: its close may have come
    /// and the loop not have told of it yet.
    pub fn waits(&self) -> bool {
        self.heard.get() == Heard::Nothing
            && self.hear(self.socket.read_now(&mut [0u8; 256])) == Heard::Nothing
    }

    /// Gives the answer: status, advice to stay away (microseconds; 0: none) and body.
    pub fn give(&self, status: u16, stay_away: Span, body: Vec<u8>) {
        *self.answer.borrow_mut() = Some((status, stay_away, body));
        self.waker.borrow_mut().take().into_iter().for_each(Waker::wake);
    }
    /// Ready: the answer, or what came from the client instead.
    fn poll(&self, cx: &Context<'_>) -> Poll<Result<Final, Heard>> {
        if let Some(answer) = self.answer.borrow_mut().take() {
            return Poll::Ready(Ok(answer));
        }
        if self.heard.get() == Heard::Nothing {
            *self.waker.borrow_mut() = Some(cx.waker().clone());
            let read = std::task::ready!(self.socket.poll_read(cx, &mut [0u8; 256]));
            self.hear(read);
        }
        Poll::Ready(Err(self.heard.get()))
    }
}

/// What a connection is at, for choosing which to shed.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// It has never sent a byte.
    Silent,
    /// It has been answered and waits for its next request.
    Idle,
    /// Its request is not whole, since then.
    Half(Instant),
    /// Anything else.
    Busy,
}

struct Client {
    phase: Cell<Phase>,
    shed: Cell<bool>,
    waker: RefCell<Option<Waker>>,
}

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
        clients.token.set(Some(token.map_err(|e| io::Error::other(e.to_string()))?));
        Ok(clients)
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
        let waits = |c: &&Rc<Client>| matches!(c.phase.get(), Phase::Silent | Phase::Idle) && !c.shed.get();
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
        let Some(listener) = self.listener.borrow().clone() else { return Accepted::All };
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
        let of = |phase| open.values().find(|c| c.phase.get() == phase && !c.shed.get());
        let half = || {
            let since = |c: &&Rc<Client>| match c.phase.get() {
                Phase::Half(since) if !c.shed.get() && since.elapsed() >= HALF_FOR => Some(since),
                _ => None,
            };
            open.values().filter(|c| since(c).is_some()).min_by_key(since)
        };
        let client = of(Phase::Silent).or_else(|| of(Phase::Idle)).or_else(half);
        client.map(|c| self.shed(c)).is_some()
    }

    fn shed(&self, client: &Client) {
        client.shed.set(true);
        self.shedding.set(self.shedding.get() + 1);
        client.waker.borrow_mut().take().into_iter().for_each(Waker::wake);
    }

    /// A connection that was to be shed holds a request: it stays, and another has to go if there are too many.
    fn keep(&self, client: &Client) {
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
                let Some(token) = clients.token.get() else { return };
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
        let client =
            Client { phase: Cell::new(Phase::Silent), shed: Cell::new(false), waker: RefCell::new(None) };
        let client = Rc::new(client);
        self.open.borrow_mut().insert(id, client.clone());
        let clients = self.clone();
        self.hub.spawner.spawn(async move {
            let (socket, arrived) = (Rc::new(socket), Cell::new(waits_since));
            let accepted = Cell::new(Some(waits_since));
            let connection =
                Connection { clients: clients.clone(), client: client.clone(), socket, accepted, arrived };
            let reason = connection.run().await;
            clients.hub.reasons.closed(reason);
            tracing::debug!(connection = id, reason = reason.as_str(), "a client's connection is closed");
            if client.shed.get() {
                clients.shedding.set(clients.shedding.get().saturating_sub(1));
            }
            clients.open.borrow_mut().remove(&id);
        });
    }
}

struct Connection {
    clients: Rc<Clients>,
    client: Rc<Client>,
    socket: Rc<Socket>,
    /// What the kernel held when it was accepted can have come since then; none once that has been read.
    accepted: Cell<Option<Instant>>,
    /// The earliest moment at which the last bytes read can have come.
    arrived: Cell<Instant>,
}

/// What a request asks for.
enum Wanted {
    /// Whether the front end is up.
    Alive,
    /// A call, with its body.
    Call(Asked, Vec<u8>),
}

/// What waiting for a request came to.
enum Came {
    Request { wanted: Wanted, keep: bool },
    Bad(BadCall),
    Gone(CloseReason),
}

impl Connection {
    fn hub(&self) -> &Rc<Hub> {
        &self.clients.hub
    }

    /// Serves one request after another; why it came to an end.
    async fn run(self) -> CloseReason {
        let mut reader = Reader::requests(REQUEST);
        let mut first = true;
        loop {
            let came = self.next(&mut reader, std::mem::take(&mut first)).await;
            self.client.phase.set(Phase::Busy);
            let (wanted, keep) = match came {
                Came::Request { wanted, keep } => (wanted, keep),
                Came::Gone(reason) => return reason,
                Came::Bad(bad) => return self.turn_away(bad).await,
            };
            self.clients.keep(&self.client);
            let answer = match wanted {
                Wanted::Alive => (200, 0, Vec::new()),
                Wanted::Call(asked, body) => match self.call(asked, body).await {
                    Ok(answer) => answer,
                    Err(Heard::Nothing | Heard::Gone) => return CloseReason::ClientLeft,
                    Err(Heard::More) => {
                        let what = "a further request before the answer to the last";
                        return self.turn_away(BadCall { status: 400, what }).await;
                    }
                },
            };
            let keep = keep && !self.clients.closed.get();
            if !self.give(answer, keep).await {
                return CloseReason::NotTaken;
            }
            if !keep {
                self.linger().await;
                return CloseReason::LastAnswer;
            }
            self.client.phase.set(Phase::Idle);
        }
    }

    /// The next request. The first is whole in its time from the connection's start, a later one from its first byte.
    async fn next(&self, reader: &mut Reader, first: bool) -> Came {
        let began = Instant::now();
        let rest = if first { FIRST_WITHIN } else { IDLE };
        // What came before its time is turned away with its request: nothing is held here.
        if !(first && self.first_look(reader)) {
            let read = poll_fn(|cx| self.poll_read(cx, reader));
            let read = within(self.hub().spawner.sleep(rest), read).await;
            if !read.unwrap_or_else(|| self.last_look(reader)) {
                return Came::Gone(self.why_none(read.is_some(), first));
            }
        }
        let whole = if first { rest.saturating_sub(began.elapsed()).max(LEAST_WHOLE) } else { WHOLE_WITHIN };
        let limit = self.hub().spawner.sleep(whole);
        let late = BadCall { status: 408, what: "a request not whole in time" };
        within(limit, self.request(reader)).await.unwrap_or(Came::Bad(late))
    }

    /// The guard of closing: a connection is closed for its silence only if the kernel holds nothing of it either. Whether
    /// it holds something, which is then read.
    fn last_look(&self, reader: &mut Reader) -> bool {
        let mut buffer = [0u8; 8 * 1024];
        let n = self.socket.read_now(&mut buffer).unwrap_or(0);
        self.take(reader, &buffer[..n]);
        n > 0
    }

    /// Reads what came before the connection was accepted, which may be long ago; what comes later is new.
    fn first_look(&self, reader: &mut Reader) -> bool {
        let read = self.last_look(reader);
        self.accepted.set(None);
        read
    }

    fn why_none(&self, read: bool, first: bool) -> CloseReason {
        match (self.client.shed.get(), read, first) {
            (true, ..) => CloseReason::GaveWay,
            (_, true, _) => CloseReason::ClientLeft,
            (_, false, true) => CloseReason::Silent,
            (_, false, false) => CloseReason::Idle,
        }
    }

    /// Has a call answered; an error: what came from the client instead.
    async fn call(&self, asked: Asked, body: Vec<u8>) -> Result<Final, Heard> {
        let slot = Rc::new(Slot::new(self.socket.clone()));
        let call = self.hub().call(asked, body, self.arrived.get(), &slot);
        let answer = poll_fn(|cx| slot.poll(cx)).await;
        if answer.is_err() {
            self.hub().left(call);
        }
        self.hub().closes(call);
        answer
    }

    /// Writes an answer; whether it was taken.
    async fn give(&self, (status, wait, body): Final, keep: bool) -> bool {
        let extra =
            if wait > 0 { format!("Retry-After-Ms: {}\r\n", (wait + 999) / 1000) } else { String::new() };
        let mut out = Vec::new();
        tansy_http1::answer(&mut out, status, &extra, &body, keep);
        self.write(&out).await
    }

    /// Reads one piece; ready: whether there was one. A connection that is shed has none but what the machine holds.
    fn poll_read(&self, cx: &Context<'_>, reader: &mut Reader) -> Poll<bool> {
        if self.client.shed.get() {
            return Poll::Ready(self.last_look(reader));
        }
        let mut buffer = [0u8; 8 * 1024];
        *self.client.waker.borrow_mut() = Some(cx.waker().clone());
        let n = std::task::ready!(self.socket.poll_read(cx, &mut buffer)).unwrap_or(0);
        self.take(reader, &buffer[..n]);
        Poll::Ready(n > 0)
    }

    /// Takes bytes that were read.
    fn take(&self, reader: &mut Reader, bytes: &[u8]) {
        if bytes.is_empty() {
            return;
        }
        let now = Instant::now();
        let accepted = self.accepted.get().unwrap_or(now);
        self.arrived.set(self.hub().lag.arrived(now).min(accepted));
        if reader.is_empty() {
            self.client.phase.set(Phase::Half(now));
            self.clients.keep(&self.client);
        }
        reader.take(bytes);
    }

    /// Reads until a request is whole, or can't be one.
    async fn request(&self, reader: &mut Reader) -> Came {
        let mut share = 0;
        poll_fn(move |cx| loop {
            if !reader.is_empty() {
                let read = reader.message(|m| (self.wanted(&m), m.keep));
                let came = match read {
                    Ok(Some((Ok(wanted), keep))) => {
                        if reader.beyond() > 0 {
                            Came::Bad(BadCall {
                                status: 400,
                                what: "a request before the answer to the last",
                            })
                        } else {
                            reader.next();
                            Came::Request { wanted, keep }
                        }
                    }
                    Ok(Some((Err(bad), _))) => Came::Bad(bad),
                    Err(bad) => {
                        Came::Bad(BadCall { status: bad.status(), what: "not a message of the protocol" })
                    }
                    Ok(None) => {
                        if share >= SHARE {
                            // The other connections come first.
                            share = 0;
                            cx.waker().wake_by_ref();
                            return Poll::Pending;
                        }
                        let held = reader.len();
                        match std::task::ready!(self.poll_read(cx, reader)) {
                            true => share += reader.len() - held,
                            false if self.client.shed.get() => {
                                let what = "a request not whole when its place was needed";
                                return Poll::Ready(Came::Bad(BadCall { status: 408, what }));
                            }
                            false => return Poll::Ready(Came::Gone(CloseReason::ClientLeft)),
                        }
                        continue;
                    }
                };
                return Poll::Ready(came);
            }
            if !std::task::ready!(self.poll_read(cx, reader)) {
                return Poll::Ready(Came::Gone(CloseReason::ClientLeft));
            }
        })
        .await
    }

    fn wanted(&self, m: &Message<'_>) -> Result<Wanted, BadCall> {
        if m.method == "GET" && m.target == "/alive" {
            return if m.body.is_empty() {
                Ok(Wanted::Alive)
            } else {
                Err(BadCall { status: 400, what: "a body; want none" })
            };
        }
        let asked = self.hub().setup.shapes.read(m.method, m.target, |name| m.one(name))?;
        if self.hub().is_open(&asked.id) {
            return Err(BadCall { status: 409, what: "X-Request-Id of a request that is open" });
        }
        Ok(Wanted::Call(asked, m.body.to_vec()))
    }

    async fn write(&self, mut bytes: &[u8]) -> bool {
        let written = async {
            while !bytes.is_empty() {
                match poll_fn(|cx| self.socket.poll_write(cx, bytes)).await {
                    Ok(n) if n > 0 => bytes = &bytes[n..],
                    _ => return false,
                }
            }
            true
        };
        within(self.hub().spawner.sleep(TAKEN_WITHIN), written).await.unwrap_or(false)
    }

    async fn turn_away(&self, bad: BadCall) -> CloseReason {
        tracing::debug!(status = bad.status, what = bad.what, "a client is turned away");
        let mut out = Vec::new();
        tansy_http1::answer(&mut out, bad.status, "", bad.what.as_bytes(), false);
        if self.write(&out).await {
            self.linger().await;
        }
        CloseReason::BadRequest
    }

    /// Ends our side, and reads what still comes for a while: closing on unread input would reset the answer away.
    async fn linger(&self) {
        if self.socket.shutdown().is_err() {
            return;
        }
        let drained = poll_fn(|cx| {
            let mut buffer = [0u8; SHARE];
            match std::task::ready!(self.socket.poll_read(cx, &mut buffer)) {
                Ok(n) if n > 0 => {
                    cx.waker().wake_by_ref();
                    Poll::Pending
                }
                _ => Poll::Ready(()),
            }
        });
        within(self.hub().spawner.sleep(LINGER), drained).await;
    }
}
