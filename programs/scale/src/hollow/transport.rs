//! Messages between hollow front ends, over one connection for each direction between two of their processes.
//!
//! Real front ends have a connection for each pair of them; a thousand hollow ones would need a million sockets. A frame consists of the
//! message's length and the index of the receiving front end, four bytes each in network byte order, and the message.

use calloop::generic::Generic;
use calloop::{Interest, Mode, PostAction};
use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::task::{ready, Poll, Waker};
use tansy_fleet_wire::MAX_MESSAGE_BYTES;
use tansy_net_sockets::socket::Socket;
use tansy_net_sockets::{Spawner, Yield};

/// Size of a frame's header in bytes.
const HEADER_BYTES: usize = 8;
/// Maximum number of bytes queued for one process; messages that exceed it are dropped.
const MAX_QUEUED_BYTES: usize = 4 * MAX_MESSAGE_BYTES;
/// Size of the read buffer in bytes.
const READ_BYTES: usize = 64 * 1024;

/// Handles a message for the front end with this index.
pub(super) type MessageHandler = Rc<dyn Fn(u32, &[u8])>;

/// The outgoing connection to one process.
#[derive(Default)]
struct Connection {
    queue: RefCell<Vec<u8>>,
    waker: RefCell<Option<Waker>>,
    is_closed: Cell<bool>,
}

/// Outgoing connections to all processes of hollow front ends.
pub(super) struct HollowTransport {
    connections: Vec<Rc<Connection>>,
    dropped: Cell<u64>,
}

impl HollowTransport {
    /// Connects to each of these processes, including this one.
    pub(super) fn connect(spawner: &Spawner, processes: &[SocketAddr]) -> HollowTransport {
        let connect = |address: &SocketAddr| {
            let connection = Rc::new(Connection::default());
            let (writer, address, shared) = (spawner.clone(), *address, connection.clone());
            spawner.spawn(async move {
                // A failed connection means that the process has exited; messages to its front ends are dropped.
                let _ = write_queued(&writer, address, &shared).await;
                shared.is_closed.set(true);
                shared.queue.take();
            });
            connection
        };
        HollowTransport {
            connections: processes.iter().map(connect).collect(),
            dropped: Cell::new(0),
        }
    }

    /// Queues a message for a front end of the process with the given index, or drops it.
    pub(super) fn send(&self, process: usize, front_end: u32, message: &[u8]) {
        let frame_bytes = HEADER_BYTES + message.len();
        let connection = self
            .connections
            .get(process)
            .filter(|connection| !connection.is_closed.get())
            .filter(|connection| connection.queue.borrow().len() + frame_bytes <= MAX_QUEUED_BYTES);
        let (Some(connection), Ok(length)) = (connection, u32::try_from(message.len())) else {
            return self.dropped.set(self.dropped.get() + 1);
        };
        let mut queue = connection.queue.borrow_mut();
        queue.extend(length.to_be_bytes());
        queue.extend(front_end.to_be_bytes());
        queue.extend(message);
        if let Some(waker) = connection.waker.borrow_mut().take() {
            waker.wake();
        }
    }

    /// Returns the number of dropped messages.
    pub(super) fn dropped(&self) -> u64 {
        self.dropped.get()
    }
}

/// Connects to a process, and writes queued frames until the connection fails.
async fn write_queued(
    spawner: &Spawner,
    address: SocketAddr,
    connection: &Connection,
) -> io::Result<()> {
    let socket = Socket::connect(spawner.handle(), address)?;
    poll_fn(|cx| socket.poll_connected(cx)).await?;
    let mut chunk = Vec::new();
    loop {
        chunk.clear();
        poll_fn(|cx| {
            let mut queue = connection.queue.borrow_mut();
            if queue.is_empty() {
                *connection.waker.borrow_mut() = Some(cx.waker().clone());
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

/// Accepts connections, and passes their messages to `receive`.
pub(super) fn listen(
    spawner: &Spawner,
    listener: TcpListener,
    receive: MessageHandler,
) -> io::Result<()> {
    listener.set_nonblocking(true)?;
    let connection_spawner = spawner.clone();
    let source = Generic::new(listener, Interest::READ, Mode::Level);
    let inserted = spawner
        .handle()
        .insert_source(source, move |_, listener, ()| {
            while let Ok((socket, _)) = listener.accept() {
                let _ = socket.set_nodelay(true);
                if let Ok(socket) = Socket::new(connection_spawner.handle(), socket) {
                    let receive = receive.clone();
                    connection_spawner
                        .spawn(async move { drop(read_frames(&socket, &receive).await) });
                }
            }
            Ok(PostAction::Continue)
        });
    inserted
        .map(|_| ())
        .map_err(|error| io::Error::other(error.to_string()))
}

async fn read_frames(socket: &Socket, receive: &MessageHandler) -> io::Result<()> {
    let mut unparsed = Vec::new();
    let mut buffer = vec![0; READ_BYTES];
    let mut fairness = Yield::new();
    loop {
        let read = poll_fn(|cx| {
            ready!(fairness.poll(cx));
            socket.poll_read(cx, &mut buffer)
        });
        let length = read.await?;
        if length == 0 {
            return Ok(());
        }
        unparsed.extend_from_slice(&buffer[..length]);
        let mut start = 0;
        while let Some((front_end, frame_bytes)) = parse_frame(&unparsed[start..])? {
            let end = start + frame_bytes;
            receive(front_end, &unparsed[start + HEADER_BYTES..end]);
            start = end;
        }
        unparsed.drain(..start);
    }
}

/// Returns the receiving front end and the length of the first frame, or `None` if the frame is incomplete.
fn parse_frame(bytes: &[u8]) -> io::Result<Option<(u32, usize)>> {
    let Some((length, rest)) = bytes.split_first_chunk::<4>() else {
        return Ok(None);
    };
    let length = u32::from_be_bytes(*length) as usize;
    if length > MAX_MESSAGE_BYTES {
        return Err(io::Error::other("a frame exceeds the maximum message size"));
    }
    let Some((front_end, _)) = rest.split_first_chunk::<4>() else {
        return Ok(None);
    };
    let frame_bytes = HEADER_BYTES + length;
    let is_whole = bytes.len() >= frame_bytes;
    Ok(is_whole.then_some((u32::from_be_bytes(*front_end), frame_bytes)))
}
