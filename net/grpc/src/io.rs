//! A socket on the loop with the traits that the HTTP/2 library wants, and taps on what passes.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use tansy_frames::tap::{kind, Frame, Tap, END_STREAM};
use tansy_net_sockets::socket::Socket;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// What has passed on one stream of a client's connection.
#[derive(Debug, Default)]
pub struct Marks {
    /// Its HEADERS have left.
    pub headers_out: bool,
    /// Its END_STREAM or RST_STREAM has left.
    pub end_out: bool,
    /// A RST_STREAM for it has left.
    pub reset_out: bool,
    /// The peer has ended or reset it.
    pub end_in: bool,
    /// Wants to know of what passes: only a withdrawal does.
    waker: Option<Waker>,
}

/// What has passed on a client's connection.
#[derive(Debug)]
pub struct Wire {
    out: Tap,
    inward: Tap,
    streams: HashMap<u32, Marks>,
    /// The least last stream id of the GOAWAYs received.
    pub goaway: Option<u32>,
    /// The connection has ended; nothing more leaves.
    pub cut: bool,
    /// The socket is to be closed at the next touch, whatever the library holds for it.
    pub abort: bool,
    connection: Option<Waker>,
}

impl Default for Wire {
    fn default() -> Wire {
        Wire {
            out: Tap::from_client(),
            inward: Tap::from_server(),
            streams: HashMap::new(),
            goaway: None,
            cut: false,
            abort: false,
            connection: None,
        }
    }
}

impl Wire {
    /// Follows a stream from here on.
    pub fn follow(&mut self, stream: u32) {
        self.streams.entry(stream).or_default();
    }
    /// No longer follows it.
    pub fn leave(&mut self, stream: u32) {
        self.streams.remove(&stream);
    }
    /// What has passed on a stream; wakes the task when that changes.
    pub fn marks(&mut self, stream: u32, cx: &Context<'_>) -> Option<&Marks> {
        let marks = self.streams.get_mut(&stream)?;
        if !marks
            .waker
            .as_ref()
            .is_some_and(|w| w.will_wake(cx.waker()))
        {
            marks.waker = Some(cx.waker().clone());
        }
        Some(marks)
    }
    /// What has passed on a stream.
    pub fn peek(&self, stream: u32) -> Option<&Marks> {
        self.streams.get(&stream)
    }
    /// Ends the connection without letting anything more leave.
    pub fn abort(&mut self) {
        self.abort = true;
        if let Some(w) = self.connection.take() {
            w.wake();
        }
    }
    /// The task that drives the connection, woken by [`Wire::abort`].
    pub fn drive(&mut self, cx: &Context<'_>) {
        self.connection = Some(cx.waker().clone());
    }
    /// The connection has ended: tells all streams.
    pub fn end(&mut self) {
        self.cut = true;
        for w in self.streams.values_mut().filter_map(|m| m.waker.take()) {
            w.wake();
        }
    }

    fn wrote(&mut self, bytes: &[u8]) {
        let Wire { out, streams, .. } = self;
        out.feed(bytes, |f: Frame| {
            let Some(m) = streams.get_mut(&f.stream) else {
                return;
            };
            let wake = match f.kind {
                kind::HEADERS => !std::mem::replace(&mut m.headers_out, true),
                kind::RST_STREAM => !std::mem::replace(&mut m.reset_out, true),
                _ => false,
            };
            m.end_out |= f.kind == kind::RST_STREAM;
            m.end_out |= matches!(f.kind, kind::HEADERS | kind::DATA) && f.flags & END_STREAM != 0;
            if wake {
                m.waker.take().into_iter().for_each(Waker::wake);
            }
        });
    }

    fn read(&mut self, bytes: &[u8]) {
        let Wire {
            inward,
            streams,
            goaway,
            ..
        } = self;
        inward.feed(bytes, |f: Frame| {
            if let Some(last) = f.last_stream() {
                *goaway = Some(goaway.map_or(last, |g| g.min(last)));
            }
            let ends = f.kind == kind::RST_STREAM
                || matches!(f.kind, kind::HEADERS | kind::DATA) && f.flags & END_STREAM != 0;
            if let Some(m) = streams.get_mut(&f.stream).filter(|_| ends) {
                m.end_in = true;
                m.waker.take().into_iter().for_each(Waker::wake);
            }
        });
    }
}

/// Bytes that wait for the kernel at most; beyond it the library is held back.
const OUTBOX: usize = 256 * 1024;
/// An empty outbox keeps no more room than this: most connections are idle.
const KEPT: usize = 16 * 1024;

/// What a connection has to send: the library hands over frame by frame, the kernel gets them together.
struct Outbox {
    bytes: Vec<u8>,
    sent: usize,
}

struct Shared {
    socket: Socket,
    wire: Option<Rc<RefCell<Wire>>>,
    out: RefCell<Outbox>,
}

impl Shared {
    fn aborted(&self) -> bool {
        self.wire.as_ref().is_some_and(|w| w.borrow().abort)
    }
}

/// The library's end of a socket. What it writes leaves when the connection's driver flushes its [`Flusher`].
pub struct Io(Rc<Shared>);

/// The driver's end of a socket.
pub struct Flusher(Rc<Shared>);

/// Both ends of a socket; with a wire, its frames are watched as they truly leave and come.
pub fn ends(socket: Socket, wire: Option<Rc<RefCell<Wire>>>) -> (Io, Flusher) {
    let out = RefCell::new(Outbox {
        bytes: Vec::new(),
        sent: 0,
    });
    let shared = Rc::new(Shared { socket, wire, out });
    (Io(shared.clone()), Flusher(shared))
}

fn gone() -> io::Error {
    io::Error::new(io::ErrorKind::ConnectionAborted, "dropped: it took nothing")
}

impl Flusher {
    /// Sends what waits; ready when all has left.
    pub fn poll_flush(&self, cx: &Context<'_>) -> Poll<io::Result<()>> {
        let s = &self.0;
        let mut out = s.out.borrow_mut();
        while out.sent < out.bytes.len() {
            if s.aborted() {
                return Poll::Ready(Err(gone()));
            }
            let n = match s.socket.poll_write(cx, &out.bytes[out.sent..]) {
                Poll::Ready(Ok(0)) => return Poll::Ready(Err(io::ErrorKind::WriteZero.into())),
                Poll::Ready(Ok(n)) => n,
                Poll::Ready(Err(e)) => return Poll::Ready(Err(e)),
                Poll::Pending => return Poll::Pending,
            };
            if let Some(wire) = &s.wire {
                wire.borrow_mut().wrote(&out.bytes[out.sent..out.sent + n]);
            }
            out.sent += n;
        }
        out.sent = 0;
        out.bytes.clear();
        out.bytes.shrink_to(KEPT);
        Poll::Ready(Ok(()))
    }
}

impl AsyncRead for Io {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let s = &self.0;
        if s.aborted() {
            return Poll::Ready(Err(gone()));
        }
        let n = match s.socket.poll_read(cx, buf.initialize_unfilled()) {
            Poll::Ready(Ok(n)) => n,
            Poll::Ready(Err(e)) => return Poll::Ready(Err(e)),
            Poll::Pending => return Poll::Pending,
        };
        if let Some(wire) = &s.wire {
            wire.borrow_mut().read(&buf.initialize_unfilled()[..n]);
        }
        buf.advance(n);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Io {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let waiting = {
            let out = self.0.out.borrow();
            out.bytes.len() - out.sent
        };
        if waiting >= OUTBOX {
            // The kernel must take something first.
            std::task::ready!(Flusher(self.0.clone()).poll_flush(cx))?;
        }
        if self.0.aborted() {
            return Poll::Ready(Err(gone()));
        }
        self.0.out.borrow_mut().bytes.extend_from_slice(buf);
        Poll::Ready(Ok(buf.len()))
    }
    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        // The driver flushes once for all that its streams had to send.
        Poll::Ready(Ok(()))
    }
    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        std::task::ready!(Flusher(self.0.clone()).poll_flush(cx))?;
        Poll::Ready(self.0.socket.shutdown())
    }
    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let (mut total, mut io) = (0, self);
        for b in bufs.iter().filter(|b| !b.is_empty()) {
            match io.as_mut().poll_write(cx, b) {
                Poll::Ready(Ok(n)) => total += n,
                _ if total > 0 => break,
                other => return other,
            }
        }
        Poll::Ready(Ok(total))
    }
    fn is_write_vectored(&self) -> bool {
        true
    }
}
