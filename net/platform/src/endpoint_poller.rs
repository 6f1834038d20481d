//! The coordinator's long poll: one is always out, and what breaks or stalls is asked again soon, from the last event
//! that came whole. A poll that takes too long is waited for beside the next: a coordinator that is slow or crowded takes as
//! long over that one, and one that has stopped never answers the first.

use crate::driver::Driver;
use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};
use tansy_http1::{Limits, Reader};
use tansy_net_sockets::{socket::Socket, within};
use tansy_platform::{EndpointList, EndpointUpdates};

/// Limits of one reply: an outage and a rollout of some thousand workers leave some megabytes of events.
const REPLY: Limits = Limits {
    head: 8 * 1024,
    body: 4 * 1024 * 1024,
};
/// The coordinator may take so long over a poll, ...
const WAIT: Duration = Duration::from_millis(1000);
/// ... and its reply is whole so much later: then the next is asked on another connection.
const LATE: Duration = Duration::from_millis(300);
/// A poll that is late is waited for so long yet: an event counts as known 7 s after it happened, whatever becomes of polls.
const OVERDUE_WITHIN: Duration = Duration::from_millis(5700);
/// Between two polls that end soon and bring nothing, the first time; it doubles, ...
const FIRST_PAUSE: Duration = Duration::from_millis(50);
/// ... up to this: the events of a coordinator that is back wait no longer. A poll that took as long has paced itself.
const MAX_PAUSE: Duration = Duration::from_millis(200);
/// Tasks that wait at once: the poll's own, and one for a poll that is late; beyond that some have ended.
const MAX_WAKERS: usize = 8;
/// Between two log lines on a coordinator that can't be reached.
const LOG_EVERY: Duration = Duration::from_secs(10);

/// Why a poll ended without a reply.
#[derive(Debug, thiserror::Error)]
pub enum PollError {
    /// The connection was not established within the limit.
    #[error("no connection in time")]
    ConnectTimedOut,
    /// There is no connection any more.
    #[error("no connection")]
    NotConnected,
    /// The coordinator closed the connection.
    #[error("it ended the connection")]
    Closed,
    /// The reply was not whole within the limit.
    #[error("no whole reply in time")]
    ReplyTimedOut,
    /// A system call failed.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// The reply is no HTTP message.
    #[error("{0}")]
    Http(#[from] tansy_http1::ParseError),
    /// The reply has another status than 200.
    #[error("status {0}")]
    Status(u16),
    /// The reply's body is no list of events.
    #[error("{0}")]
    Body(#[from] serde_json::Error),
}

/// A connection to the coordinator with one poll out.
struct PollConnection {
    socket: Socket,
    reader: Reader,
    /// How the poll ended, if that was read before its task ran.
    ended: Option<Result<Reply, PollError>>,
}

/// A whole reply whose events have been taken.
#[derive(Clone, Copy)]
struct Reply {
    keep_alive: bool,
    has_events: bool,
}

/// Follows the list of workers.
pub struct EndpointPoller {
    driver: Rc<Driver>,
    list: RefCell<EndpointList>,
    address: Cell<SocketAddr>,
    /// Counts changes of the address; what waits for an earlier one ends.
    moves: Cell<u64>,
    current: RefCell<Option<PollConnection>>,
    /// The oldest poll that is late, on its connection.
    overdue: RefCell<Option<PollConnection>>,
    /// Tasks that wait for a reply or a move.
    wakers: RefCell<Vec<Waker>>,
}

impl EndpointPoller {
    /// Starts with the events that are known.
    pub fn start(
        driver: Rc<Driver>,
        list: EndpointList,
        address: SocketAddr,
        known: &EndpointUpdates,
    ) -> Rc<EndpointPoller> {
        let poller = Rc::new(EndpointPoller {
            driver,
            list: RefCell::new(list),
            address: Cell::new(address),
            moves: Cell::new(0),
            current: RefCell::new(None),
            overdue: RefCell::new(None),
            wakers: RefCell::new(Vec::new()),
        });
        poller.apply(known);
        let (task, early) = (poller.clone(), Rc::downgrade(&poller));
        let spawner = &poller.driver.spawner;
        spawner.spawn(async move { task.run().await });
        poller.driver.set_endpoint_reader(Rc::new(move || {
            let poller = early.upgrade();
            poller.into_iter().for_each(|poller| poller.read_early());
        }));
        poller
    }

    /// Asks at another address from here on; the numbers of events go on.
    pub fn move_to(&self, address: SocketAddr, known: &EndpointUpdates) {
        self.apply(known);
        if self.address.replace(address) != address {
            self.moves.set(self.moves.get() + 1);
            self.wake();
        }
    }

    fn wake(&self) {
        self.wakers.take().into_iter().for_each(Waker::wake);
    }

    /// The number of the last event that was taken.
    pub fn index(&self) -> u64 {
        self.list.borrow().index()
    }

    /// Takes events; whether there was a later one.
    fn apply(&self, updates: &EndpointUpdates) -> bool {
        let before = self.index();
        let changes = self
            .list
            .borrow_mut()
            .apply(updates, self.driver.unix_clock.earliest_ms());
        for (full, list) in changes {
            self.driver.on_endpoint_list(full, list);
        }
        self.index() > before
    }

    async fn run(self: &Rc<Self>) {
        // A coordinator that can't be reached is logged at once, and then seldom.
        let mut next_log = Instant::now();
        let mut pause = FIRST_PAUSE;
        loop {
            let moves = self.moves.get();
            let address = self.address.get();
            let began = Instant::now();
            let ended = self.poll_on_connection(address, moves, &mut pause).await;
            self.current.take();
            if let Err(error) = ended {
                if began >= next_log || began.elapsed() > MAX_PAUSE {
                    next_log = began + LOG_EVERY;
                    tracing::info!(%address, %error, index = self.index(), "the coordinator is asked again");
                }
            }
            self.pace(began, moves, &mut pause).await;
        }
    }

    /// Pauses after a poll that ended soon and brought nothing.
    async fn pace(&self, began: Instant, moves: u64, pause: &mut Duration) {
        if began.elapsed() >= MAX_PAUSE {
            *pause = FIRST_PAUSE;
            return;
        }
        let limit = self.driver.spawner.sleep(*pause);
        *pause = (*pause * 2).min(MAX_PAUSE);
        within(limit, self.unless_moved(moves, |_| Poll::<()>::Pending)).await;
    }

    /// Polls on one connection until it breaks, stalls or is moved.
    async fn poll_on_connection(
        self: &Rc<Self>,
        address: SocketAddr,
        moves: u64,
        pause: &mut Duration,
    ) -> Result<(), PollError> {
        let Some(socket) = self.connect(address, moves).await? else {
            return Ok(());
        };
        *self.current.borrow_mut() = Some(PollConnection {
            socket,
            reader: Reader::for_responses(REPLY),
            ended: None,
        });
        loop {
            let began = Instant::now();
            let mut request = Vec::new();
            let target = format!(
                "/v2/stream?follow={}&wait_ms={}",
                self.index(),
                WAIT.as_millis()
            );
            tansy_http1::write_get(&mut request, &target, &address.to_string());
            let limit = self.driver.spawner.sleep(WAIT + LATE);
            let reply = match within(limit, self.exchange(&request, moves)).await {
                None => {
                    self.keep_overdue(moves);
                    return Err(PollError::ReplyTimedOut);
                }
                Some(None) => return Ok(()),
                Some(Some(reply)) => reply?,
            };
            if !reply.has_events {
                self.pace(began, moves, pause).await;
            } else {
                *pause = FIRST_PAUSE;
            }
            if !reply.keep_alive || self.moves.get() != moves {
                return Ok(());
            }
        }
    }

    /// Connects; none: the address has changed.
    async fn connect(&self, address: SocketAddr, moves: u64) -> Result<Option<Socket>, PollError> {
        let socket = Socket::connect(self.driver.spawner.handle(), address)?;
        let limit = self
            .driver
            .spawner
            .sleep(self.driver.limits.connect_timeout);
        let connected = self.unless_moved(moves, |cx| socket.poll_connected(cx));
        match within(limit, connected).await {
            None => Err(PollError::ConnectTimedOut),
            Some(None) => Ok(None),
            Some(Some(connected)) => {
                connected?;
                Ok(Some(socket))
            }
        }
    }

    /// Waits on for the poll that is late, unless an older one is waited for already.
    fn keep_overdue(self: &Rc<Self>, moves: u64) {
        if self.overdue.borrow().is_some() {
            return;
        }
        *self.overdue.borrow_mut() = self.current.take();
        let poller = self.clone();
        self.driver.spawner.spawn(async move {
            let reply = poller.unless_moved(moves, |cx| {
                poller.poll_reply(&poller.overdue, |connection, buffer| {
                    connection.socket.poll_read(cx, buffer)
                })
            });
            let limit = poller.driver.spawner.sleep(OVERDUE_WITHIN);
            let answered = matches!(within(limit, reply).await, Some(Some(Ok(_))));
            let index = poller.index();
            tracing::debug!(answered, index, "a late poll of the coordinator has ended");
            poller.overdue.take();
        });
    }

    /// One poll and its reply; none: the address has changed.
    async fn exchange(&self, mut request: &[u8], moves: u64) -> Option<Result<Reply, PollError>> {
        while !request.is_empty() {
            let write = |cx: &Context<'_>| match &*self.current.borrow() {
                Some(connection) => connection.socket.poll_write(cx, request),
                None => Poll::Ready(Err(io::ErrorKind::NotConnected.into())),
            };
            match self.unless_moved(moves, write).await? {
                Ok(count) => request = &request[count..],
                Err(error) => return Some(Err(error.into())),
            }
        }
        let read = |cx: &Context<'_>| {
            self.poll_reply(&self.current, |connection, buffer| {
                connection.socket.poll_read(cx, buffer)
            })
        };
        self.unless_moved(moves, read).await
    }

    /// Reads as long as `read` gives something; ready: how the poll ended.
    fn poll_reply(
        &self,
        connection: &RefCell<Option<PollConnection>>,
        read: impl Fn(&PollConnection, &mut [u8]) -> Poll<io::Result<usize>>,
    ) -> Poll<Result<Reply, PollError>> {
        let mut buffer = [0u8; 16 * 1024];
        loop {
            let updates = {
                let mut connection = connection.borrow_mut();
                let Some(connection) = connection.as_mut() else {
                    return Poll::Ready(Err(PollError::NotConnected));
                };
                if let Some(ended) = connection.ended.take() {
                    return Poll::Ready(ended);
                }
                match std::task::ready!(read(connection, &mut buffer)) {
                    Ok(0) => return Poll::Ready(Err(PollError::Closed)),
                    Ok(count) => connection.reader.push_bytes(&buffer[..count]),
                    Err(error) => return Poll::Ready(Err(error.into())),
                }
                match parse_reply(&mut connection.reader) {
                    Ok(None) => continue,
                    Ok(Some(updates)) => Ok(updates),
                    Err(error) => Err(error),
                }
            };
            let applied = |(updates, keep_alive): (EndpointUpdates, bool)| Reply {
                keep_alive,
                has_events: self.apply(&updates),
            };
            return Poll::Ready(updates.map(applied));
        }
    }

    /// Reads replies that the kernel has, whether or not the loop has reported them.
    fn read_early(&self) {
        for connection in [&self.overdue, &self.current] {
            let reply = self.poll_reply(connection, |connection, buffer| {
                match connection.socket.read_now(buffer) {
                    Err(error) if error.kind() == io::ErrorKind::WouldBlock => Poll::Pending,
                    read => Poll::Ready(read),
                }
            });
            if let (Poll::Ready(ended), Some(connection)) =
                (reply, connection.borrow_mut().as_mut())
            {
                connection.ended = Some(ended);
                self.wake();
            }
        }
    }

    /// Has the task woken by a move, or by a reply that is read early.
    fn register_waker(&self, cx: &Context<'_>) {
        if self.wakers.borrow().len() >= MAX_WAKERS {
            // Those of tasks that have ended are dropped; the others register again.
            self.wake();
        }
        let mut wakers = self.wakers.borrow_mut();
        if !wakers.iter().any(|waker| waker.will_wake(cx.waker())) {
            wakers.push(cx.waker().clone());
        }
    }

    /// The outcome of `poll`, or none once the address has changed.
    async fn unless_moved<T>(
        &self,
        moves: u64,
        mut poll: impl FnMut(&Context<'_>) -> Poll<T>,
    ) -> Option<T> {
        poll_fn(|cx| {
            if self.moves.get() != moves {
                return Poll::Ready(None);
            }
            self.register_waker(cx);
            poll(cx).map(Some)
        })
        .await
    }
}

/// The whole reply at the front of what was read, and whether the connection goes on; none: more has to come.
fn parse_reply(reader: &mut Reader) -> Result<Option<(EndpointUpdates, bool)>, PollError> {
    let reply = reader.message(|message| match message.status {
        200 => Ok((serde_json::from_slice(message.body)?, message.keep_alive)),
        other => Err(PollError::Status(other)),
    });
    match reply? {
        None => Ok(None),
        Some(updates) => {
            reader.discard_message();
            updates.map(Some)
        }
    }
}
