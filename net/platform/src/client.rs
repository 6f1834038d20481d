//! One client's connection: a request at a time, in the page's exact form, answered or turned away within the page's times.

use crate::clients::Clients;
use crate::hub::Hub;
use crate::reasons::CloseReason;
use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::io;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};
use tansy_http1::{Limits, Message, Reader};
use tansy_net_sockets::{socket::Socket, within};
use tansy_platform::call::{Asked, BadCall};
use tansyrouter::Span;

/// Bounds of one request: the page's 16 KiB of body, and a head well over any honest one.
const REQUEST: Limits = Limits {
    head: 4 * 1024,
    body: 16 * 1024,
};
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
        Slot {
            answer,
            waker,
            socket,
            heard: Cell::new(Heard::Nothing),
        }
    }

    fn hear(&self, read: io::Result<usize>) -> Heard {
        let heard = match read {
            Ok(n) if n > 0 => Heard::More,
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => Heard::Nothing,
            _ => Heard::Gone,
        };
        if heard != Heard::Nothing {
            self.heard.set(heard);
            self.waker
                .borrow_mut()
                .take()
                .into_iter()
                .for_each(Waker::wake);
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
        self.waker
            .borrow_mut()
            .take()
            .into_iter()
            .for_each(Waker::wake);
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
pub enum Phase {
    /// It has never sent a byte.
    Silent,
    /// It has been answered and waits for its next request.
    Idle,
    /// Its request is not whole, since then.
    Half(Instant),
    /// Anything else.
    Busy,
}

/// What the listener knows of a connection.
pub struct Client {
    /// What it is at.
    pub phase: Cell<Phase>,
    /// It is to close, unless the kernel holds something of it.
    pub shed: Cell<bool>,
    /// Its task, while that waits for bytes.
    pub waker: RefCell<Option<Waker>>,
}

impl Client {
    /// One that has sent nothing yet.
    pub fn new() -> Rc<Client> {
        let (phase, shed, waker) = (
            Cell::new(Phase::Silent),
            Cell::new(false),
            RefCell::new(None),
        );
        Rc::new(Client { phase, shed, waker })
    }
}

/// One connection, as long as it is served.
pub struct Connection {
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
    /// One that was accepted; what the kernel held of it then can have come since `waits_since`.
    pub fn new(
        clients: Rc<Clients>,
        client: Rc<Client>,
        socket: Socket,
        waits_since: Instant,
    ) -> Connection {
        let (accepted, arrived) = (Cell::new(Some(waits_since)), Cell::new(waits_since));
        Connection {
            clients,
            client,
            socket: Rc::new(socket),
            accepted,
            arrived,
        }
    }

    fn hub(&self) -> &Rc<Hub> {
        self.clients.hub()
    }

    /// Serves one request after another; why it came to an end.
    pub async fn run(self) -> CloseReason {
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
            let keep = keep && !self.clients.closed();
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
        let whole = if first {
            rest.saturating_sub(began.elapsed()).max(LEAST_WHOLE)
        } else {
            WHOLE_WITHIN
        };
        let limit = self.hub().spawner.sleep(whole);
        let late = BadCall {
            status: 408,
            what: "a request not whole in time",
        };
        within(limit, self.request(reader))
            .await
            .unwrap_or(Came::Bad(late))
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
        let extra = if wait > 0 {
            format!("Retry-After-Ms: {}\r\n", (wait + 999) / 1000)
        } else {
            String::new()
        };
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
                    Err(bad) => Came::Bad(BadCall {
                        status: bad.status(),
                        what: "not a message of the protocol",
                    }),
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
                Err(BadCall {
                    status: 400,
                    what: "a body; want none",
                })
            };
        }
        let asked = self
            .hub()
            .setup
            .shapes
            .read(m.method, m.target, |name| m.one(name))?;
        if self.hub().is_open(&asked.id) {
            return Err(BadCall {
                status: 409,
                what: "X-Request-Id of a request that is open",
            });
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
        within(self.hub().spawner.sleep(TAKEN_WITHIN), written)
            .await
            .unwrap_or(false)
    }

    async fn turn_away(&self, bad: BadCall) -> CloseReason {
        tracing::debug!(
            status = bad.status,
            what = bad.what,
            "a client is turned away"
        );
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
