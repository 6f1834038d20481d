//! The coordinator's long poll: one is always out, and what breaks or stalls is asked again soon, from the last event
//! that came whole. A poll that takes too long is waited for beside the next: a coordinator that is slow or crowded takes as
//! long over that one, and one that has stopped never answers the first.

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

/// Bounds of one reply: an outage and a roll of some thousand workers leave some megabytes of events.
const REPLY: Limits = Limits {
    head: 8 * 1024,
    body: 4 * 1024 * 1024,
};
/// The coordinator may hold a poll for so long, ...
const WAIT: Duration = Duration::from_millis(1000);
/// ... and its reply is whole so much later: then the next is asked on another connection.
const LATE: Duration = Duration::from_millis(300);
/// A poll that is late is waited for so long yet: an event counts as told 7 s after it happened, whatever becomes of polls.
const OVERDUE_WITHIN: Duration = Duration::from_millis(5700);
/// Between two polls that end soon and bring nothing, the first time; it doubles, ...
const PAUSE: Duration = Duration::from_millis(50);
/// ... up to this: what a coordinator that is back has to tell waits no longer. A poll that took as long has paced itself.
const MOST_PAUSE: Duration = Duration::from_millis(200);
/// Tasks that wait at once: the poll's own, and one for a poll that is late; beyond that some have ended.
const WAKERS: usize = 8;
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
    /// The oldest poll that is late, on its connection.
    overdue: RefCell<Option<Watch>>,
    /// Tasks that wait for a reply or a move.
    wakers: RefCell<Vec<Waker>>,
}

impl Coordinator {
    /// Starts with the events that are known.
    pub fn start(
        hub: Rc<Hub>,
        list: List,
        address: SocketAddr,
        known: &Updates,
    ) -> Rc<Coordinator> {
        let c = Rc::new(Coordinator {
            hub,
            list: RefCell::new(list),
            address: Cell::new(address),
            moves: Cell::new(0),
            watch: RefCell::new(None),
            overdue: RefCell::new(None),
            wakers: RefCell::new(Vec::new()),
        });
        c.take(known);
        let (task, early) = (c.clone(), Rc::downgrade(&c));
        c.hub.spawner.spawn(async move { task.run().await });
        c.hub.watch(Rc::new(move || {
            early.upgrade().into_iter().for_each(|c| c.hear())
        }));
        c
    }

    /// Asks at another address from here on; the numbers go on.
    pub fn move_to(&self, address: SocketAddr, known: &Updates) {
        self.take(known);
        if self.address.replace(address) != address {
            self.moves.set(self.moves.get() + 1);
            self.wake();
        }
    }

    fn wake(&self) {
        self.wakers.take().into_iter().for_each(Waker::wake);
    }

    /// The last event held.
    pub fn index(&self) -> u64 {
        self.list.borrow().index()
    }

    /// Whether there was a later event.
    fn take(&self, updates: &Updates) -> bool {
        let before = self.index();
        let changes = self
            .list
            .borrow_mut()
            .take(updates, self.hub.unix.earliest_ms());
        for (whole, list) in changes {
            self.hub.list(whole, list);
        }
        self.index() > before
    }

    async fn run(self: &Rc<Self>) {
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
    async fn connection(
        self: &Rc<Self>,
        address: SocketAddr,
        moves: u64,
        pause: &mut Duration,
    ) -> Result<(), String> {
        let socket =
            Socket::connect(self.hub.spawner.handle(), address).map_err(|e| e.to_string())?;
        let limit = self.hub.spawner.sleep(self.hub.setup.connect_within);
        let up = self.unless_moved(moves, |cx| socket.poll_connected(cx));
        match within(limit, up).await {
            None => return Err("no connection in time".into()),
            Some(None) => return Ok(()),
            Some(Some(up)) => up.map_err(|e| e.to_string())?,
        }
        *self.watch.borrow_mut() = Some(Watch {
            socket,
            reader: Reader::answers(REPLY),
            ended: None,
        });
        loop {
            let began = Instant::now();
            let mut out = Vec::new();
            let target = format!(
                "/v2/stream?follow={}&wait_ms={}",
                self.index(),
                WAIT.as_millis()
            );
            tansy_http1::get(&mut out, &target, &address.to_string());
            let limit = self.hub.spawner.sleep(WAIT + LATE);
            let reply = match within(limit, self.exchange(&out, moves)).await {
                None => {
                    self.keep_overdue(moves);
                    return Err("no whole reply in time".into());
                }
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

    /// Waits on for the poll that is late, unless an older one is waited for already.
    fn keep_overdue(self: &Rc<Self>, moves: u64) {
        if self.overdue.borrow().is_some() {
            return;
        }
        *self.overdue.borrow_mut() = self.watch.take();
        let coordinator = self.clone();
        self.hub.spawner.spawn(async move {
            let reply = coordinator.unless_moved(moves, |cx| {
                coordinator.poll_reply(&coordinator.overdue, |w, buffer| {
                    w.socket.poll_read(cx, buffer)
                })
            });
            let limit = coordinator.hub.spawner.sleep(OVERDUE_WITHIN);
            let answered = matches!(within(limit, reply).await, Some(Some(Ok(_))));
            let index = coordinator.index();
            tracing::debug!(answered, index, "a late poll of the coordinator has ended");
            coordinator.overdue.take();
        });
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
        let read = |cx: &Context<'_>| {
            self.poll_reply(&self.watch, |w, buffer| w.socket.poll_read(cx, buffer))
        };
        self.unless_moved(moves, read).await
    }

    /// Reads as far as `read` gives something; ready: how the poll ended.
    fn poll_reply(
        &self,
        watch: &RefCell<Option<Watch>>,
        read: impl Fn(&Watch, &mut [u8]) -> Poll<io::Result<usize>>,
    ) -> Poll<Result<Reply, String>> {
        let mut buffer = [0u8; 16 * 1024];
        loop {
            let updates = {
                let mut watch = watch.borrow_mut();
                let Some(w) = watch.as_mut() else {
                    return Poll::Ready(Err("no connection".into()));
                };
                if let Some(ended) = w.ended.take() {
                    return Poll::Ready(ended);
                }
                match std::task::ready!(read(w, &mut buffer)) {
                    Ok(0) => return Poll::Ready(Err("it ended the connection".into())),
                    Ok(n) => w.reader.take(&buffer[..n]),
                    Err(e) => return Poll::Ready(Err(e.to_string())),
                }
                let parsed = w.reader.message(|m| match m.status {
                    200 => serde_json::from_slice(m.body)
                        .map(|u| (u, m.keep))
                        .map_err(|e| e.to_string()),
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
            let taken = |(updates, keep): (Updates, bool)| Reply {
                keep,
                news: self.take(&updates),
            };
            return Poll::Ready(updates.map(taken));
        }
    }

    /// Takes up what this machine holds of replies, whether or not the loop has told of it.
    fn hear(&self) {
        for watch in [&self.overdue, &self.watch] {
            let heard = self.poll_reply(watch, |w, buffer| match w.socket.read_now(buffer) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => Poll::Pending,
                read => Poll::Ready(read),
            });
            if let (Poll::Ready(ended), Some(w)) = (heard, watch.borrow_mut().as_mut()) {
                w.ended = Some(ended);
                self.wake();
            }
        }
    }

    /// Has the task woken by a move or a reply that is heard early.
    fn wait(&self, cx: &Context<'_>) {
        if self.wakers.borrow().len() >= WAKERS {
            // Those of tasks that have ended are let go of; the others ask again.
            self.wake();
        }
        let mut wakers = self.wakers.borrow_mut();
        if !wakers.iter().any(|w| w.will_wake(cx.waker())) {
            wakers.push(cx.waker().clone());
        }
    }

    /// The poll's outcome, or none once the address has changed.
    async fn unless_moved<T>(
        &self,
        moves: u64,
        mut poll: impl FnMut(&Context<'_>) -> Poll<T>,
    ) -> Option<T> {
        poll_fn(|cx| {
            if self.moves.get() != moves {
                return Poll::Ready(None);
            }
            self.wait(cx);
            poll(cx).map(Some)
        })
        .await
    }
}
