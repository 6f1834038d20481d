//! What has passed on a client's connection, by its frame headers: the proof of what a server can have received.

use std::collections::HashMap;
use std::task::{Context, Waker};
use tansy_frames::tap::{kind, Frame, Tap, END_STREAM};

/// What has passed on one stream of a client's connection.
#[derive(Debug, Default)]
pub struct StreamTraffic {
    /// Its HEADERS have left.
    pub headers_sent: bool,
    /// Its END_STREAM or RST_STREAM has left.
    pub end_sent: bool,
    /// A RST_STREAM for it has left.
    pub reset_sent: bool,
    /// The peer has ended or reset it.
    pub end_received: bool,
    /// Woken by what passes: only a cancellation waits for that.
    waker: Option<Waker>,
}

impl StreamTraffic {
    /// Whether nothing of it can still leave.
    pub fn is_closed(&self) -> bool {
        self.reset_sent || self.end_received && self.end_sent
    }

    fn wake(&mut self) {
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
    }
}

/// What has passed on a client's connection.
#[derive(Debug)]
pub struct ConnectionTraffic {
    outgoing: Tap,
    incoming: Tap,
    streams: HashMap<u32, StreamTraffic>,
    /// The least last stream id of the GOAWAYs received.
    pub goaway: Option<u32>,
    /// The connection has ended; nothing more leaves.
    pub ended: bool,
    /// The socket is to be closed at the next touch, whatever the library holds for it.
    pub aborted: bool,
    driver: Option<Waker>,
}

impl Default for ConnectionTraffic {
    fn default() -> ConnectionTraffic {
        ConnectionTraffic {
            outgoing: Tap::from_client(),
            incoming: Tap::from_server(),
            streams: HashMap::new(),
            goaway: None,
            ended: false,
            aborted: false,
            driver: None,
        }
    }
}

/// Whether a frame ends its side of a stream in order.
fn ends_stream(frame: &Frame) -> bool {
    matches!(frame.kind, kind::HEADERS | kind::DATA) && frame.flags & END_STREAM != 0
}

impl ConnectionTraffic {
    /// Tracks a stream from here on.
    pub fn track(&mut self, stream: u32) {
        self.streams.entry(stream).or_default();
    }

    /// No longer tracks it.
    pub fn untrack(&mut self, stream: u32) {
        self.streams.remove(&stream);
    }

    /// What has passed on a stream; wakes the task when that changes.
    pub fn watch_stream(&mut self, stream: u32, cx: &Context<'_>) -> Option<&StreamTraffic> {
        let stream = self.streams.get_mut(&stream)?;
        let known = stream.waker.as_ref();
        if !known.is_some_and(|w| w.will_wake(cx.waker())) {
            stream.waker = Some(cx.waker().clone());
        }
        Some(stream)
    }

    /// What has passed on a stream.
    pub fn stream(&self, stream: u32) -> Option<&StreamTraffic> {
        self.streams.get(&stream)
    }

    /// Ends the connection without letting anything more leave.
    pub fn abort(&mut self) {
        self.aborted = true;
        if let Some(driver) = self.driver.take() {
            driver.wake();
        }
    }

    /// The task that drives the connection, woken by [`ConnectionTraffic::abort`].
    pub fn set_driver(&mut self, cx: &Context<'_>) {
        self.driver = Some(cx.waker().clone());
    }

    /// The connection has ended: wakes all that watch a stream.
    pub fn on_end(&mut self) {
        self.ended = true;
        self.streams.values_mut().for_each(StreamTraffic::wake);
    }

    /// These bytes have left.
    pub(crate) fn on_sent(&mut self, bytes: &[u8]) {
        let streams = &mut self.streams;
        self.outgoing.feed(bytes, |frame: Frame| {
            let Some(stream) = streams.get_mut(&frame.stream) else {
                return;
            };
            let changed = match frame.kind {
                kind::HEADERS => !std::mem::replace(&mut stream.headers_sent, true),
                kind::RST_STREAM => !std::mem::replace(&mut stream.reset_sent, true),
                _ => false,
            };
            stream.end_sent |= frame.kind == kind::RST_STREAM || ends_stream(&frame);
            if changed {
                stream.wake();
            }
        });
    }

    /// These bytes have come.
    pub(crate) fn on_received(&mut self, bytes: &[u8]) {
        let streams = &mut self.streams;
        let goaway = &mut self.goaway;
        self.incoming.feed(bytes, |frame: Frame| {
            if let Some(last) = frame.last_stream() {
                *goaway = Some(goaway.map_or(last, |least| least.min(last)));
            }
            let ends = frame.kind == kind::RST_STREAM || ends_stream(&frame);
            if let Some(stream) = streams.get_mut(&frame.stream).filter(|_| ends) {
                stream.end_received = true;
                stream.wake();
            }
        });
    }
}
