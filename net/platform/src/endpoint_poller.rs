//! Long polling of the coordinator. Each poll is followed by another one, which starts from the last event that was fully
//! received. A short pause separates them if the first ended quickly without events.
//!
//! A poll that times out is still awaited while the next one is outstanding. With the new poll alone, a slow coordinator
//! would take as long again to answer; with the old poll alone, a coordinator that has stopped would never answer.

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

/// Limits of one reply. An outage followed by a rollout of thousands of workers produces several megabytes of events.
const REPLY_LIMITS: Limits = Limits {
    head: 8 * 1024,
    body: 4 * 1024 * 1024,
};
/// The longest time that the coordinator holds a poll without events.
const POLL_WAIT: Duration = Duration::from_millis(1000);
/// Additional time for a reply to arrive before the next poll is sent on another connection.
const REPLY_MARGIN: Duration = Duration::from_millis(300);
/// Additional time that a late poll is awaited. Together with [`POLL_WAIT`] and [`REPLY_MARGIN`], a poll is awaited for up
/// to 7 s.
const OVERDUE_TIMEOUT: Duration = Duration::from_millis(5700);
/// Pause after the first quick poll without events; it doubles up to [`MAX_PAUSE`].
const MIN_PAUSE: Duration = Duration::from_millis(50);
/// The longest pause, which bounds the delay of events once the coordinator is available again. No pause follows a
/// poll that took longer.
const MAX_PAUSE: Duration = Duration::from_millis(200);
/// Number of registered wakers at which all are woken, which drops those of ended tasks. Only the tasks of the current and
/// the overdue poll wait, so most wakers are then stale.
const MAX_WAKERS: usize = 8;
/// Minimum time between log messages about failures within [`MAX_PAUSE`]; slower failures are always logged.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Why a poll failed.
#[derive(Debug, thiserror::Error)]
pub enum PollError {
    /// The connection was not established in time.
    #[error("connecting timed out")]
    ConnectTimedOut,
    /// The connection is gone.
    #[error("not connected")]
    NotConnected,
    /// The coordinator closed the connection.
    #[error("the coordinator closed the connection")]
    Closed,
    /// The reply was not complete in time.
    #[error("the reply timed out")]
    ReplyTimedOut,
    /// A system call failed.
    #[error("I/O error: {0}")]
    Io(#[from] io::Error),
    /// The reply is not a valid HTTP message.
    #[error("invalid HTTP reply: {0}")]
    Http(#[from] tansy_http1::ParseError),
    /// The reply's status is not 200.
    #[error("unexpected HTTP status {0}")]
    Status(u16),
    /// The reply's body is not a list of events.
    #[error("invalid list of events: {0}")]
    Body(#[from] serde_json::Error),
}

/// A connection to the coordinator with an outstanding poll.
struct PollConnection {
    socket: Socket,
    reader: Reader,
    /// The poll's result, if [`EndpointPoller::read_pending`] read it before the task that awaits the poll ran.
    ended: Option<Result<Reply, PollError>>,
}

/// A complete reply whose events have been applied.
#[derive(Clone, Copy)]
struct Reply {
    keep_alive: bool,
    has_events: bool,
}

/// Follows the worker list of the coordinator.
pub struct EndpointPoller {
    driver: Rc<Driver>,
    list: RefCell<EndpointList>,
    address: Cell<SocketAddr>,
    /// The number of address changes. Connection attempts, polls and pauses that began before the last change end.
    address_changes: Cell<u64>,
    current: RefCell<Option<PollConnection>>,
    /// The oldest late poll and its connection.
    overdue: RefCell<Option<PollConnection>>,
    /// Wakers of tasks that wait for a reply or an address change.
    wakers: RefCell<Vec<Waker>>,
}

impl EndpointPoller {
    /// Starts polling, with the list initialized from `known` events.
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
            address_changes: Cell::new(0),
            current: RefCell::new(None),
            overdue: RefCell::new(None),
            wakers: RefCell::new(Vec::new()),
        });
        poller.apply(known);
        let (task, weak) = (poller.clone(), Rc::downgrade(&poller));
        let spawner = &poller.driver.spawner;
        spawner.spawn(async move { task.run().await });
        poller.driver.set_endpoint_reader(Rc::new(move || {
            let poller = weak.upgrade();
            poller.into_iter().for_each(|poller| poller.read_pending());
        }));
        poller
    }

    /// Polls another address from now on; event indexes continue.
    pub fn move_to(&self, address: SocketAddr, known: &EndpointUpdates) {
        self.apply(known);
        if self.address.replace(address) != address {
            self.address_changes.set(self.address_changes.get() + 1);
            self.wake();
        }
    }

    fn wake(&self) {
        self.wakers.take().into_iter().for_each(Waker::wake);
    }

    /// The index of the last event applied.
    pub fn index(&self) -> u64 {
        self.list.borrow().index()
    }

    /// Applies events and returns whether any of them was new.
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
        // The first failure and slow failures are always logged, other failures at intervals.
        let mut next_log = Instant::now();
        let mut pause = MIN_PAUSE;
        loop {
            let address_changes = self.address_changes.get();
            let address = self.address.get();
            let started_at = Instant::now();
            let ended = self
                .poll_on_connection(address, address_changes, &mut pause)
                .await;
            self.current.take();
            if let Err(error) = ended {
                if started_at >= next_log || started_at.elapsed() > MAX_PAUSE {
                    next_log = started_at + LOG_INTERVAL;
                    tracing::info!(%address, %error, index = self.index(), "coordinator poll failed; retrying");
                }
            }
            self.back_off(started_at, address_changes, &mut pause).await;
        }
    }

    /// Pauses if less than [`MAX_PAUSE`] has passed since the start of a poll without events, or of a connection that has
    /// ended. Otherwise resets the pause.
    async fn back_off(&self, started_at: Instant, address_changes: u64, pause: &mut Duration) {
        if started_at.elapsed() >= MAX_PAUSE {
            *pause = MIN_PAUSE;
            return;
        }
        let limit = self.driver.spawner.sleep(*pause);
        *pause = (*pause * 2).min(MAX_PAUSE);
        within(
            limit,
            self.until_address_change(address_changes, |_| Poll::<()>::Pending),
        )
        .await;
    }

    /// Polls on one connection until it breaks, times out or the address changes.
    async fn poll_on_connection(
        self: &Rc<Self>,
        address: SocketAddr,
        address_changes: u64,
        pause: &mut Duration,
    ) -> Result<(), PollError> {
        let Some(socket) = self.connect(address, address_changes).await? else {
            return Ok(());
        };
        *self.current.borrow_mut() = Some(PollConnection {
            socket,
            reader: Reader::for_responses(REPLY_LIMITS),
            ended: None,
        });
        loop {
            let started_at = Instant::now();
            let mut request = Vec::new();
            let target = format!(
                "/v2/stream?follow={}&wait_ms={}",
                self.index(),
                POLL_WAIT.as_millis()
            );
            tansy_http1::write_get(&mut request, &target, &address.to_string());
            let limit = self.driver.spawner.sleep(POLL_WAIT + REPLY_MARGIN);
            let reply = match within(limit, self.exchange(&request, address_changes)).await {
                None => {
                    self.await_overdue(address_changes);
                    return Err(PollError::ReplyTimedOut);
                }
                Some(None) => return Ok(()),
                Some(Some(reply)) => reply?,
            };
            if !reply.has_events {
                self.back_off(started_at, address_changes, pause).await;
            } else {
                *pause = MIN_PAUSE;
            }
            if !reply.keep_alive || self.address_changes.get() != address_changes {
                return Ok(());
            }
        }
    }

    /// Connects to the coordinator; none if the address has changed.
    async fn connect(
        &self,
        address: SocketAddr,
        address_changes: u64,
    ) -> Result<Option<Socket>, PollError> {
        let socket = Socket::connect(self.driver.spawner.handle(), address)?;
        let limit = self
            .driver
            .spawner
            .sleep(self.driver.limits.connect_timeout);
        let connected = self.until_address_change(address_changes, |cx| socket.poll_connected(cx));
        match within(limit, connected).await {
            None => Err(PollError::ConnectTimedOut),
            Some(None) => Ok(None),
            Some(Some(connected)) => {
                connected?;
                Ok(Some(socket))
            }
        }
    }

    /// Continues to await the current, late poll in the background. Does nothing if an older late poll is still awaited.
    fn await_overdue(self: &Rc<Self>, address_changes: u64) {
        if self.overdue.borrow().is_some() {
            return;
        }
        *self.overdue.borrow_mut() = self.current.take();
        let poller = self.clone();
        self.driver.spawner.spawn(async move {
            let reply = poller.until_address_change(address_changes, |cx| {
                poller.poll_reply(&poller.overdue, |connection, buffer| {
                    connection.socket.poll_read(cx, buffer)
                })
            });
            let limit = poller.driver.spawner.sleep(OVERDUE_TIMEOUT);
            let answered = matches!(within(limit, reply).await, Some(Some(Ok(_))));
            let index = poller.index();
            tracing::debug!(answered, index, "late coordinator poll ended");
            poller.overdue.take();
        });
    }

    /// Sends a poll and awaits its reply; none if the address has changed.
    async fn exchange(
        &self,
        mut request: &[u8],
        address_changes: u64,
    ) -> Option<Result<Reply, PollError>> {
        while !request.is_empty() {
            let write = |cx: &Context<'_>| match &*self.current.borrow() {
                Some(connection) => connection.socket.poll_write(cx, request),
                None => Poll::Ready(Err(io::ErrorKind::NotConnected.into())),
            };
            match self.until_address_change(address_changes, write).await? {
                Ok(count) => request = &request[count..],
                Err(error) => return Some(Err(error.into())),
            }
        }
        let read = |cx: &Context<'_>| {
            self.poll_reply(&self.current, |connection, buffer| {
                connection.socket.poll_read(cx, buffer)
            })
        };
        self.until_address_change(address_changes, read).await
    }

    /// Reads until the reply is complete or `read` has no more input. Resolves to the poll's result.
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

    /// Reads replies that have arrived but that the event loop has not reported. The driver calls this before it sends to
    /// a worker, at most once per iteration of the event loop.
    fn read_pending(&self) {
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

    /// Registers the task to be woken by an address change or by a reply that was read early.
    fn register_waker(&self, cx: &Context<'_>) {
        if self.wakers.borrow().len() >= MAX_WAKERS {
            // Drops the wakers of ended tasks; the others register again.
            self.wake();
        }
        let mut wakers = self.wakers.borrow_mut();
        if !wakers.iter().any(|waker| waker.will_wake(cx.waker())) {
            wakers.push(cx.waker().clone());
        }
    }

    /// Resolves to the output of `poll`, or to none once the address has changed.
    async fn until_address_change<T>(
        &self,
        address_changes: u64,
        mut poll: impl FnMut(&Context<'_>) -> Poll<T>,
    ) -> Option<T> {
        poll_fn(|cx| {
            if self.address_changes.get() != address_changes {
                return Poll::Ready(None);
            }
            self.register_waker(cx);
            poll(cx).map(Some)
        })
        .await
    }
}

/// Parses the reply at the front of the buffer and whether the connection is kept alive; none if it is incomplete.
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
