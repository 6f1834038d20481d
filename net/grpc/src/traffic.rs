//! Tracks the frames sent and received on a client connection, to determine what the server can have received.

use std::collections::HashMap;
use std::task::{Context, Waker};
use tansy_frames::tap::{kind, Frame, Tap, END_STREAM};

/// The frames transferred on one stream of a client connection.
#[derive(Debug, Default)]
pub struct StreamTraffic {
    /// Whether HEADERS have been sent.
    pub headers_sent: bool,
    /// Whether END_STREAM or RST_STREAM has been sent.
    pub end_sent: bool,
    /// Whether RST_STREAM has been sent.
    pub reset_sent: bool,
    /// Whether the server has ended or reset the stream.
    pub end_received: bool,
    /// Wakes a cancelled exchange when the stream's state changes.
    waker: Option<Waker>,
}

impl StreamTraffic {
    /// Whether nothing more can be sent on the stream.
    pub fn is_closed(&self) -> bool {
        self.reset_sent || self.end_received && self.end_sent
    }

    fn wake(&mut self) {
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
    }
}

/// The frames transferred on a client connection.
#[derive(Debug)]
pub struct ConnectionTraffic {
    outgoing: Tap,
    incoming: Tap,
    streams: HashMap<u32, StreamTraffic>,
    /// The lowest last stream id of the GOAWAY frames received.
    pub goaway: Option<u32>,
    /// Whether the connection has ended; nothing more is sent.
    pub ended: bool,
    /// Whether the connection is aborted: the next I/O fails, and unsent data is discarded.
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

/// Whether a frame carries END_STREAM.
fn ends_stream(frame: &Frame) -> bool {
    matches!(frame.kind, kind::HEADERS | kind::DATA) && frame.flags & END_STREAM != 0
}

impl ConnectionTraffic {
    /// Starts tracking a stream.
    pub fn track(&mut self, stream: u32) {
        self.streams.entry(stream).or_default();
    }

    /// Stops tracking a stream.
    pub fn untrack(&mut self, stream: u32) {
        self.streams.remove(&stream);
    }

    /// The state of a stream; wakes the task when it changes.
    pub fn watch_stream(&mut self, stream: u32, cx: &Context<'_>) -> Option<&StreamTraffic> {
        let stream = self.streams.get_mut(&stream)?;
        let known = stream.waker.as_ref();
        if !known.is_some_and(|w| w.will_wake(cx.waker())) {
            stream.waker = Some(cx.waker().clone());
        }
        Some(stream)
    }

    /// The state of a stream.
    pub fn stream(&self, stream: u32) -> Option<&StreamTraffic> {
        self.streams.get(&stream)
    }

    /// Aborts the connection without sending anything more.
    pub fn abort(&mut self) {
        self.aborted = true;
        if let Some(driver) = self.driver.take() {
            driver.wake();
        }
    }

    /// Registers the task that drives the connection, to be woken by [`ConnectionTraffic::abort`].
    pub fn set_driver(&mut self, cx: &Context<'_>) {
        self.driver = Some(cx.waker().clone());
    }

    /// Marks the connection as ended and wakes all tasks that watch a stream.
    pub fn on_end(&mut self) {
        self.ended = true;
        self.streams.values_mut().for_each(StreamTraffic::wake);
    }

    /// Processes bytes that were sent.
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

    /// Processes bytes that were received.
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
