//! The coordinator's long poll: one is always out, and what breaks or stalls is asked again at once, from the last
//! event that came whole.

use crate::hub::{unix_ms, Hub};
use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::net::SocketAddr;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;
use tansy_http1::{Limits, Reader};
use tansy_net_sockets::{socket::Socket, within};
use tansy_platform::{List, Updates};

/// Bounds of one reply.
const REPLY: Limits = Limits { head: 8 * 1024, body: 1024 * 1024 };
/// The coordinator may hold a poll for so long, ...
const WAIT: Duration = Duration::from_millis(1000);
/// ... and its reply is whole so much later: then it has stopped.
const LATE: Duration = Duration::from_millis(300);
/// Between two tries that fail at once.
const PAUSE: Duration = Duration::from_millis(50);
/// Between two lines on one that can't be reached.
const TELL_EVERY: Duration = Duration::from_secs(10);

/// The poll.
pub struct Coordinator {
    hub: Rc<Hub>,
    list: RefCell<List>,
    address: Cell<SocketAddr>,
    moves: Cell<u64>,
    waker: RefCell<Option<Waker>>,
}

impl Coordinator {
    /// Starts with the events that are known.
    pub fn start(hub: Rc<Hub>, list: List, address: SocketAddr, known: &Updates) -> Rc<Coordinator> {
        let list = RefCell::new(list);
        let c = Coordinator {
            hub,
            list,
            address: Cell::new(address),
            moves: Cell::new(0),
            waker: RefCell::new(None),
        };
        let c = Rc::new(c);
        c.take(known);
        let task = c.clone();
        c.hub.spawner.spawn(async move { task.run().await });
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

    fn take(&self, updates: &Updates) {
        let changes = self.list.borrow_mut().take(updates, unix_ms());
        for (whole, list) in changes {
            self.hub.list(whole, list);
        }
    }

    async fn run(&self) {
        // A coordinator that is gone is told of at once, and then seldom.
        let mut next_tell = std::time::Instant::now();
        loop {
            let moves = self.moves.get();
            let address = self.address.get();
            let began = std::time::Instant::now();
            if let Err(e) = self.connection(address, moves).await {
                if began >= next_tell || began.elapsed() > PAUSE {
                    next_tell = began + TELL_EVERY;
                    tracing::info!(%address, error = %e, index = self.index(), "the coordinator is asked again");
                }
            }
            if self.moves.get() == moves && began.elapsed() < PAUSE {
                self.hub.spawner.sleep(PAUSE).await;
            }
        }
    }

    /// Polls on one connection until it breaks, stalls or is moved.
    async fn connection(&self, address: SocketAddr, moves: u64) -> Result<(), String> {
        let socket = Socket::connect(self.hub.spawner.handle(), address).map_err(|e| e.to_string())?;
        let limit = self.hub.spawner.sleep(self.hub.setup.connect_within);
        let up = self.unless_moved(moves, |cx| socket.poll_connected(cx));
        match within(limit, up).await {
            None => return Err("no connection in time".into()),
            Some(None) => return Ok(()),
            Some(Some(up)) => up.map_err(|e| e.to_string())?,
        }
        let mut reader = Reader::answers(REPLY);
        loop {
            let mut out = Vec::new();
            let target = format!("/v2/stream?follow={}&wait_ms={}", self.index(), WAIT.as_millis());
            tansy_http1::get(&mut out, &target, &address.to_string());
            let limit = self.hub.spawner.sleep(WAIT + LATE);
            let exchange = self.exchange(&socket, &out, &mut reader, moves);
            let (updates, keep) = match within(limit, exchange).await {
                None => return Err("no whole reply in time".into()),
                Some(Ok(None)) => return Ok(()),
                Some(Ok(Some(reply))) => reply,
                Some(Err(e)) => return Err(e),
            };
            self.take(&updates);
            if !keep {
                return Ok(());
            }
        }
    }

    async fn exchange(
        &self,
        socket: &Socket,
        mut out: &[u8],
        reader: &mut Reader,
        moves: u64,
    ) -> Result<Option<(Updates, bool)>, String> {
        while !out.is_empty() {
            let Some(written) = self.unless_moved(moves, |cx| socket.poll_write(cx, out)).await else {
                return Ok(None);
            };
            out = &out[written.map_err(|e| e.to_string())?..];
        }
        let mut buffer = vec![0u8; 16 * 1024];
        loop {
            let Some(read) = self.unless_moved(moves, |cx| socket.poll_read(cx, &mut buffer)).await else {
                return Ok(None);
            };
            match read.map_err(|e| e.to_string())? {
                0 => return Err("it ended the connection".into()),
                n => reader.take(&buffer[..n]),
            }
            let read = |m: tansy_http1::Message<'_>| match m.status {
                200 => {
                    serde_json::from_slice::<Updates>(m.body).map(|u| (u, m.keep)).map_err(|e| e.to_string())
                }
                other => Err(format!("status {other}")),
            };
            if let Some(reply) = reader.message(read).map_err(|e| e.to_string())? {
                reader.next();
                return reply.map(Some);
            }
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
