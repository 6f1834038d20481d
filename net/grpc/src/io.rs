//! A socket on the loop with the traits that the HTTP/2 library wants, and taps on what passes.

use calloop::io::Async;
use futures_io::{AsyncRead as _, AsyncWrite as _};
use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::net::TcpStream;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use tansy_frames::tap::{kind, Frame, Tap, END_STREAM};
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
        if !marks.waker.as_ref().is_some_and(|w| w.will_wake(cx.waker())) {
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
        out.take(bytes, |f: Frame| {
            let Some(m) = streams.get_mut(&f.stream) else { return };
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
        let Wire { inward, streams, goaway, .. } = self;
        inward.take(bytes, |f: Frame| {
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

/// A TCP socket on the loop.
pub struct Io {
    socket: Async<'static, TcpStream>,
    wire: Option<Rc<RefCell<Wire>>>,
}

impl Io {
    /// A plain socket.
    pub fn new(socket: Async<'static, TcpStream>) -> Io {
        Io { socket, wire: None }
    }
    /// A socket whose frames are watched.
    pub fn watched(socket: Async<'static, TcpStream>, wire: Rc<RefCell<Wire>>) -> Io {
        Io { socket, wire: Some(wire) }
    }
    fn aborted(&self) -> bool {
        self.wire.as_ref().is_some_and(|w| w.borrow().abort)
    }
}

fn gone() -> io::Error {
    io::Error::new(io::ErrorKind::ConnectionAborted, "dropped: it took nothing")
}

impl AsyncRead for Io {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.aborted() {
            return Poll::Ready(Err(gone()));
        }
        let n = match Pin::new(&mut self.socket).poll_read(cx, buf.initialize_unfilled()) {
            Poll::Ready(Ok(n)) => n,
            Poll::Ready(Err(e)) => return Poll::Ready(Err(e)),
            Poll::Pending => return Poll::Pending,
        };
        if let Some(wire) = &self.wire {
            wire.borrow_mut().read(&buf.initialize_unfilled()[..n]);
        }
        buf.advance(n);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Io {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        if self.aborted() {
            return Poll::Ready(Err(gone()));
        }
        let written = Pin::new(&mut self.socket).poll_write(cx, buf);
        if let (Poll::Ready(Ok(n)), Some(wire)) = (&written, &self.wire) {
            wire.borrow_mut().wrote(&buf[..*n]);
        }
        written
    }
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_flush(cx)
    }
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_close(cx)
    }
    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        if self.aborted() {
            return Poll::Ready(Err(gone()));
        }
        let written = Pin::new(&mut self.socket).poll_write_vectored(cx, bufs);
        if let (Poll::Ready(Ok(n)), Some(wire)) = (&written, &self.wire) {
            let (mut left, mut wire) = (*n, wire.borrow_mut());
            for b in bufs {
                let part = left.min(b.len());
                wire.wrote(&b[..part]);
                left -= part;
            }
        }
        written
    }
    fn is_write_vectored(&self) -> bool {
        true
    }
}
