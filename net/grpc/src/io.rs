//! Adapts a socket of the event loop to the I/O traits that the HTTP/2 library requires, and reports transferred
//! bytes to [`ConnectionTraffic`].

use crate::traffic::ConnectionTraffic;
use std::cell::RefCell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use tansy_net_sockets::socket::Socket;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Maximum number of unsent bytes buffered before writes are blocked.
const MAX_UNSENT_BYTES: usize = 256 * 1024;
/// Capacity that an empty buffer keeps. Most connections are idle, so it is small.
const IDLE_CAPACITY: usize = 16 * 1024;

/// Bytes to be sent. The library writes frame by frame; the buffer combines them into one system call.
struct SendBuffer {
    bytes: Vec<u8>,
    sent: usize,
}

struct Shared {
    socket: Socket,
    traffic: Option<Rc<RefCell<ConnectionTraffic>>>,
    send_buffer: RefCell<SendBuffer>,
}

impl Shared {
    fn is_aborted(&self) -> bool {
        let traffic = self.traffic.as_ref();
        traffic.is_some_and(|traffic| traffic.borrow().aborted)
    }
}

/// The half of a socket used by the HTTP/2 library. Written data is buffered until the connection's driver calls
/// [`Flusher::poll_flush`].
pub struct BufferedSocket(Rc<Shared>);

/// The half of a socket used by the connection's driver.
pub struct Flusher(Rc<Shared>);

/// Splits a socket into its two halves. Bytes sent and received are reported to `traffic`.
pub fn split(
    socket: Socket,
    traffic: Option<Rc<RefCell<ConnectionTraffic>>>,
) -> (BufferedSocket, Flusher) {
    let send_buffer = RefCell::new(SendBuffer {
        bytes: Vec::new(),
        sent: 0,
    });
    let shared = Rc::new(Shared {
        socket,
        traffic,
        send_buffer,
    });
    (BufferedSocket(shared.clone()), Flusher(shared))
}

fn aborted_error() -> io::Error {
    io::Error::new(io::ErrorKind::ConnectionAborted, "connection aborted")
}

impl Flusher {
    /// Sends the buffered bytes; ready once all are sent.
    pub fn poll_flush(&self, cx: &Context<'_>) -> Poll<io::Result<()>> {
        let shared = &self.0;
        let mut send_buffer = shared.send_buffer.borrow_mut();
        while send_buffer.sent < send_buffer.bytes.len() {
            if shared.is_aborted() {
                return Poll::Ready(Err(aborted_error()));
            }
            let unsent = &send_buffer.bytes[send_buffer.sent..];
            let written = match ready!(shared.socket.poll_write(cx, unsent)) {
                Ok(0) => return Poll::Ready(Err(io::ErrorKind::WriteZero.into())),
                Ok(written) => written,
                Err(error) => return Poll::Ready(Err(error)),
            };
            if let Some(traffic) = &shared.traffic {
                traffic.borrow_mut().on_sent(&unsent[..written]);
            }
            send_buffer.sent += written;
        }
        send_buffer.sent = 0;
        send_buffer.bytes.clear();
        send_buffer.bytes.shrink_to(IDLE_CAPACITY);
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
        if shared.is_aborted() {
            return Poll::Ready(Err(aborted_error()));
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
            let send_buffer = self.0.send_buffer.borrow();
            send_buffer.bytes.len() - send_buffer.sent
        };
        if unsent >= MAX_UNSENT_BYTES {
            // Wait until the kernel accepts some of the buffered bytes.
            ready!(Flusher(self.0.clone()).poll_flush(cx))?;
        }
        if self.0.is_aborted() {
            return Poll::Ready(Err(aborted_error()));
        }
        self.0.send_buffer.borrow_mut().bytes.extend_from_slice(buf);
        Poll::Ready(Ok(buf.len()))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        // The driver flushes once for the data of all streams.
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
                Poll::Ready(Ok(count)) => written += count,
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
