//! A socket on the loop with the traits that the HTTP/2 library wants; what passes is followed by its frames.

use crate::traffic::ConnectionTraffic;
use std::cell::RefCell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use tansy_net_sockets::socket::Socket;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Bytes that wait for the kernel at most; beyond it the library is held back.
const MAX_UNSENT: usize = 256 * 1024;
/// An empty outbox keeps no more room than this: most connections are idle.
const IDLE_CAPACITY: usize = 16 * 1024;

/// What a connection has to send: the library hands over frame by frame, the kernel gets them together.
struct Outbox {
    bytes: Vec<u8>,
    sent: usize,
}

struct Shared {
    socket: Socket,
    traffic: Option<Rc<RefCell<ConnectionTraffic>>>,
    outbox: RefCell<Outbox>,
}

impl Shared {
    fn aborted(&self) -> bool {
        let traffic = self.traffic.as_ref();
        traffic.is_some_and(|traffic| traffic.borrow().aborted)
    }
}

/// The library's half of a socket. What it writes leaves when the connection's driver flushes its [`Flusher`].
pub struct BufferedSocket(Rc<Shared>);

/// The driver's half of a socket.
pub struct Flusher(Rc<Shared>);

/// Both halves of a socket; its frames are reported to `traffic` as they leave and come.
pub fn split(
    socket: Socket,
    traffic: Option<Rc<RefCell<ConnectionTraffic>>>,
) -> (BufferedSocket, Flusher) {
    let outbox = RefCell::new(Outbox {
        bytes: Vec::new(),
        sent: 0,
    });
    let shared = Rc::new(Shared {
        socket,
        traffic,
        outbox,
    });
    (BufferedSocket(shared.clone()), Flusher(shared))
}

fn aborted() -> io::Error {
    io::Error::new(io::ErrorKind::ConnectionAborted, "dropped: it took nothing")
}

impl Flusher {
    /// Sends what waits; ready when all has left.
    pub fn poll_flush(&self, cx: &Context<'_>) -> Poll<io::Result<()>> {
        let shared = &self.0;
        let mut outbox = shared.outbox.borrow_mut();
        while outbox.sent < outbox.bytes.len() {
            if shared.aborted() {
                return Poll::Ready(Err(aborted()));
            }
            let unsent = &outbox.bytes[outbox.sent..];
            let written = match ready!(shared.socket.poll_write(cx, unsent)) {
                Ok(0) => return Poll::Ready(Err(io::ErrorKind::WriteZero.into())),
                Ok(written) => written,
                Err(error) => return Poll::Ready(Err(error)),
            };
            if let Some(traffic) = &shared.traffic {
                traffic.borrow_mut().on_sent(&unsent[..written]);
            }
            outbox.sent += written;
        }
        outbox.sent = 0;
        outbox.bytes.clear();
        outbox.bytes.shrink_to(IDLE_CAPACITY);
        Poll::Ready(Ok(()))
    }
}

impl AsyncRead for BufferedSocket {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let shared = &self.0;
        if shared.aborted() {
            return Poll::Ready(Err(aborted()));
        }
        let read = ready!(shared.socket.poll_read(cx, buf.initialize_unfilled()))?;
        if let Some(traffic) = &shared.traffic {
            traffic
                .borrow_mut()
                .on_received(&buf.initialize_unfilled()[..read]);
        }
        buf.advance(read);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for BufferedSocket {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let unsent = {
            let outbox = self.0.outbox.borrow();
            outbox.bytes.len() - outbox.sent
        };
        if unsent >= MAX_UNSENT {
            // The kernel must take something first.
            ready!(Flusher(self.0.clone()).poll_flush(cx))?;
        }
        if self.0.aborted() {
            return Poll::Ready(Err(aborted()));
        }
        self.0.outbox.borrow_mut().bytes.extend_from_slice(buf);
        Poll::Ready(Ok(buf.len()))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        // The driver flushes once for all that its streams had to send.
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Flusher(self.0.clone()).poll_flush(cx))?;
        Poll::Ready(self.0.socket.shutdown())
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let mut written = 0;
        let mut socket = self;
        for buf in bufs.iter().filter(|buf| !buf.is_empty()) {
            match socket.as_mut().poll_write(cx, buf) {
                Poll::Ready(Ok(taken)) => written += taken,
                _ if written > 0 => break,
                other => return other,
            }
        }
        Poll::Ready(Ok(written))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }
}
