//! The coordinator's long poll: one is always out, and what breaks or stalls is asked again soon, from the last event
//! that came whole.

use crate::hub::Hub;
use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};
use tansy_http1::{Limits, Reader};
use tansy_net_sockets::{socket::Socket, within};
use tansy_platform::{List, Updates};

/// Bounds of one reply.
const REPLY: Limits = Limits { head: 8 * 1024, body: 1024 * 1024 };
/// The coordinator may hold a poll for so long, ...
const WAIT: Duration = Duration::from_millis(1000);
/// ... and its reply is whole so much later: then it has stopped.
const LATE: Duration = Duration::from_millis(300);
/// Between two polls that end soon and bring nothing, the first time; it doubles, ...
const PAUSE: Duration = Duration::from_millis(50);
/// ... up to this: what a coordinator that is back has to tell waits no longer. A poll that took as long has paced itself.
const MOST_PAUSE: Duration = Duration::from_millis(200);
/// Between two lines on one that can't be reached.
const TELL_EVERY: Duration = Duration::from_secs(10);

/// A connection to the coordinator with one poll out.
struct Watch {
    socket: Socket,
    reader: Reader,
    /// How the poll ended, once it has.
    ended: Option<Result<Reply, String>>,
}

/// A whole reply, taken.
#[derive(Clone, Copy)]
struct Reply {
    keep: bool,
    /// It told of later events.
    news: bool,
}

/// The poll.
pub struct Coordinator {
    hub: Rc<Hub>,
    list: RefCell<List>,
    address: Cell<SocketAddr>,
    moves: Cell<u64>,
    watch: RefCell<Option<Watch>>,
    waker: RefCell<Option<Waker>>,
}

impl Coordinator {
    /// Starts with the events that are known.
    pub fn start(hub: Rc<Hub>, list: List, address: SocketAddr, known: &Updates) -> Rc<Coordinator> {
        let c = Rc::new(Coordinator {
            hub,
            list: RefCell::new(list),
            address: Cell::new(address),
            moves: Cell::new(0),
            watch: RefCell::new(None),
            waker: RefCell::new(None),
        });
        c.take(known);
        let (task, early) = (c.clone(), Rc::downgrade(&c));
        c.hub.spawner.spawn(async move { task.run().await });
        c.hub.watch(Rc::new(move || early.upgrade().into_iter().for_each(|c| c.hear())));
        c
    }

    /// Asks at another address from here on; the numbers go on.
    pub fn move_to(&self, address: SocketAddr, known: &Updates) {
        self.take(known);
        if self.address.replace(address) != address {
            self.moves.set(self.moves.get() + 1);
            self.waker.borrow_mut().take().into_iter().for_each(Waker::wake);
        }
    }

    /// The last event held.
    pub fn index(&self) -> u64 {
        self.list.borrow().index()
    }

    /// Whether there was a later event.
    fn take(&self, updates: &Updates) -> bool {
        let before = self.index();
        let changes = self.list.borrow_mut().take(updates, self.hub.unix.now_ms());
        for (whole, list) in changes {
            self.hub.list(whole, list);
        }
        self.index() > before
    }

    async fn run(&self) {
        // A coordinator that is gone is told of at once, and then seldom.
        let mut next_tell = Instant::now();
        let mut pause = PAUSE;
        loop {
            let moves = self.moves.get();
            let address = self.address.get();
            let began = Instant::now();
            let ended = self.connection(address, moves, &mut pause).await;
            self.watch.take();
            if let Err(e) = ended {
                if began >= next_tell || began.elapsed() > MOST_PAUSE {
                    next_tell = began + TELL_EVERY;
                    tracing::info!(%address, error = %e, index = self.index(), "the coordinator is asked again");
                }
            }
            self.pace(began, moves, &mut pause).await;
        }
    }

    /// Rests after what ended soon and brought nothing.
    async fn pace(&self, began: Instant, moves: u64, pause: &mut Duration) {
        if began.elapsed() >= MOST_PAUSE {
            *pause = PAUSE;
            return;
        }
        let rest = self.hub.spawner.sleep(*pause);
        *pause = (*pause * 2).min(MOST_PAUSE);
        within(rest, self.unless_moved(moves, |_| Poll::<()>::Pending)).await;
    }

    /// Polls on one connection until it breaks, stalls or is moved.
    async fn connection(&self, address: SocketAddr, moves: u64, pause: &mut Duration) -> Result<(), String> {
        let socket = Socket::connect(self.hub.spawner.handle(), address).map_err(|e| e.to_string())?;
        let limit = self.hub.spawner.sleep(self.hub.setup.connect_within);
        let up = self.unless_moved(moves, |cx| socket.poll_connected(cx));
        match within(limit, up).await {
            None => return Err("no connection in time".into()),
            Some(None) => return Ok(()),
            Some(Some(up)) => up.map_err(|e| e.to_string())?,
        }
        *self.watch.borrow_mut() = Some(Watch { socket, reader: Reader::answers(REPLY), ended: None });
        loop {
            let began = Instant::now();
            let mut out = Vec::new();
            let target = format!("/v2/stream?follow={}&wait_ms={}", self.index(), WAIT.as_millis());
            tansy_http1::get(&mut out, &target, &address.to_string());
            let limit = self.hub.spawner.sleep(WAIT + LATE);
            let reply = match within(limit, self.exchange(&out, moves)).await {
                None => return Err("no whole reply in time".into()),
                Some(None) => return Ok(()),
                Some(Some(reply)) => reply?,
            };
            if !reply.news {
                self.pace(began, moves, pause).await;
            } else {
                *pause = PAUSE;
            }
            if !reply.keep || self.moves.get() != moves {
                return Ok(());
            }
        }
    }

    /// One poll and its reply; none: the address has changed.
    async fn exchange(&self, mut out: &[u8], moves: u64) -> Option<Result<Reply, String>> {
        while !out.is_empty() {
            let write = |cx: &Context<'_>| match &*self.watch.borrow() {
                Some(w) => w.socket.poll_write(cx, out),
                None => Poll::Ready(Err(io::ErrorKind::NotConnected.into())),
            };
            match self.unless_moved(moves, write).await? {
                Ok(n) => out = &out[n..],
                Err(e) => return Some(Err(e.to_string())),
            }
        }
        self.unless_moved(moves, |cx| self.poll_reply(|w, buffer| w.socket.poll_read(cx, buffer))).await
    }

    /// Reads as far as `read` gives something; ready: how the poll ended.
    fn poll_reply(
        &self,
        read: impl Fn(&Watch, &mut [u8]) -> Poll<io::Result<usize>>,
    ) -> Poll<Result<Reply, String>> {
        let mut buffer = [0u8; 16 * 1024];
        loop {
            let updates = {
                let mut watch = self.watch.borrow_mut();
                let Some(w) = watch.as_mut() else { return Poll::Ready(Err("no connection".into())) };
                if let Some(ended) = w.ended.take() {
                    return Poll::Ready(ended);
                }
                match std::task::ready!(read(w, &mut buffer)) {
                    Ok(0) => return Poll::Ready(Err("it ended the connection".into())),
                    Ok(n) => w.reader.take(&buffer[..n]),
                    Err(e) => return Poll::Ready(Err(e.to_string())),
                }
                let parsed = w.reader.message(|m| match m.status {
                    200 => serde_json::from_slice(m.body).map(|u| (u, m.keep)).map_err(|e| e.to_string()),
                    other => Err(format!("status {other}")),
                });
                match parsed {
                    Ok(None) => continue,
                    Ok(Some(updates)) => {
                        w.reader.next();
                        updates
                    }
                    Err(e) => Err(e.to_string()),
                }
            };
            let taken = |(updates, keep): (Updates, bool)| Reply { keep, news: self.take(&updates) };
            return Poll::Ready(updates.map(taken));
        }
    }

    /// Takes up what this machine holds of the reply, whether or not the loop has told of it.
    fn hear(&self) {
        let heard = self.poll_reply(|w, buffer| match w.socket.read_now(buffer) {
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => Poll::Pending,
            read => Poll::Ready(read),
        });
        if let (Poll::Ready(ended), Some(w)) = (heard, self.watch.borrow_mut().as_mut()) {
            w.ended = Some(ended);
            self.waker.borrow_mut().take().into_iter().for_each(Waker::wake);
        }
    }

    /// The poll's outcome, or none once the address has changed.
    async fn unless_moved<T>(&self, moves: u64, mut poll: impl FnMut(&Context<'_>) -> Poll<T>) -> Option<T> {
        poll_fn(|cx| {
            if self.moves.get() != moves {
                return Poll::Ready(None);
            }
            *self.waker.borrow_mut() = Some(cx.waker().clone());
            poll(cx).map(Some)
        })
        .await
    }
}
