//! Letters between hollow front ends: one connection for each direction between two of their processes, whoever writes to
//! whom. A connection for each pair of front ends, as real ones have it, would be a million sockets for a thousand.
//!
//! A letter goes as its length and its receiver's place in the fleet, four bytes each, then its bytes.

use calloop::generic::Generic;
use calloop::{Interest, Mode, PostAction};
use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::task::{Poll, Waker};
use tansy_fleet_wire::MAX_MESSAGE_BYTES;
use tansy_net_sockets::socket::Socket;
use tansy_net_sockets::{Spawner, Yield};

const HEAD: usize = 8;
/// Bytes on their way to one process; letters beyond are dropped, as a network drops them.
const ON_THE_WAY: usize = 4 * MAX_MESSAGE_BYTES;

/// Takes a letter for the front end at this place.
pub type Take = Rc<dyn Fn(u32, &[u8])>;

#[derive(Default)]
struct Way {
    queue: RefCell<Vec<u8>>,
    waker: RefCell<Option<Waker>>,
    over: Cell<bool>,
}

/// The ways to all processes of hollow front ends.
pub struct Mesh {
    ways: Vec<Rc<Way>>,
    dropped: Cell<u64>,
}

impl Mesh {
    /// Connects to each of these, this process itself among them.
    pub fn connect(spawner: &Spawner, to: &[SocketAddr]) -> Mesh {
        let way = |address: &SocketAddr| {
            let way = Rc::new(Way::default());
            let (spawner2, address, kept) = (spawner.clone(), *address, way.clone());
            spawner.spawn(async move {
                // A process that has ended takes no letters; its front ends are down.
                let _ = write(&spawner2, address, &kept).await;
                kept.over.set(true);
                kept.queue.take();
            });
            way
        };
        Mesh {
            ways: to.iter().map(way).collect(),
            dropped: Cell::new(0),
        }
    }

    /// Sends a letter to the front end at this place, which is in that process.
    pub fn send(&self, process: usize, to: u32, letter: &[u8]) {
        let way = self.ways.get(process).filter(|w| !w.over.get());
        let room = way.filter(|w| w.queue.borrow().len() + HEAD + letter.len() <= ON_THE_WAY);
        let (Some(way), Ok(length)) = (room, u32::try_from(letter.len())) else {
            return self.dropped.set(self.dropped.get() + 1);
        };
        let mut queue = way.queue.borrow_mut();
        queue.extend(length.to_be_bytes());
        queue.extend(to.to_be_bytes());
        queue.extend(letter);
        way.waker
            .borrow_mut()
            .take()
            .into_iter()
            .for_each(Waker::wake);
    }

    /// Letters that were dropped.
    pub fn dropped(&self) -> u64 {
        self.dropped.get()
    }
}

async fn write(spawner: &Spawner, address: SocketAddr, way: &Way) -> io::Result<()> {
    let socket = Socket::connect(spawner.handle(), address)?;
    poll_fn(|cx| socket.poll_connected(cx)).await?;
    let mut chunk = Vec::new();
    loop {
        chunk.clear();
        poll_fn(|cx| {
            let mut queue = way.queue.borrow_mut();
            if queue.is_empty() {
                *way.waker.borrow_mut() = Some(cx.waker().clone());
                return Poll::Pending;
            }
            std::mem::swap(&mut chunk, &mut *queue);
            Poll::Ready(())
        })
        .await;
        let mut sent = 0;
        while sent < chunk.len() {
            sent += poll_fn(|cx| socket.poll_write(cx, &chunk[sent..])).await?;
        }
    }
}

/// Takes connections and the letters on them.
pub fn listen(spawner: &Spawner, listener: TcpListener, take: Take) -> io::Result<()> {
    listener.set_nonblocking(true)?;
    let (me, source) = (
        spawner.clone(),
        Generic::new(listener, Interest::READ, Mode::Level),
    );
    let inserted = spawner
        .handle()
        .insert_source(source, move |_, listener, ()| {
            while let Ok((socket, _)) = listener.accept() {
                let _ = socket.set_nodelay(true);
                if let Ok(socket) = Socket::new(me.handle(), socket) {
                    let take = take.clone();
                    me.spawn(async move { drop(read(&socket, &take).await) });
                }
            }
            Ok(PostAction::Continue)
        });
    inserted
        .map(|_| ())
        .map_err(|e| io::Error::other(e.to_string()))
}

async fn read(socket: &Socket, take: &Take) -> io::Result<()> {
    let (mut held, mut buffer, mut others) = (Vec::new(), vec![0; 64 * 1024], Yield::new());
    loop {
        let n = poll_fn(|cx| {
            std::task::ready!(others.poll(cx));
            socket.poll_read(cx, &mut buffer)
        });
        let n = n.await?;
        if n == 0 {
            return Ok(());
        }
        held.extend_from_slice(&buffer[..n]);
        let mut at = 0;
        while let Some((to, end)) = frame(&held[at..])? {
            take(to, &held[at + HEAD..at + end]);
            at += end;
        }
        held.drain(..at);
    }
}

/// Whom the first letter is for, and where it ends; none: it has not come whole.
fn frame(bytes: &[u8]) -> io::Result<Option<(u32, usize)>> {
    let Some(([a, b, c, d], rest)) = bytes.split_first_chunk::<4>() else {
        return Ok(None);
    };
    let length = u32::from_be_bytes([*a, *b, *c, *d]) as usize;
    if length > MAX_MESSAGE_BYTES {
        return Err(io::Error::other("a letter longer than any"));
    }
    let Some((to, _)) = rest.split_first_chunk::<4>() else {
        return Ok(None);
    };
    Ok((bytes.len() >= HEAD + length).then_some((u32::from_be_bytes(*to), HEAD + length)))
}
