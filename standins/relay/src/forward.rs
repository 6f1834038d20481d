//! One direction of a connection through the proxy.

use std::task::{Context, Poll};
use tansy_net_sockets::socket::Socket;

/// Bytes read at a time.
pub(crate) const CHUNK: usize = 64 * 1024;
/// Bytes that are buffered at most while a connection is paused.
const PAUSED_BUFFER: usize = 4 * 1024 * 1024;

/// Reads from one side and writes to the other.
pub(crate) struct Forwarder {
    /// Whether it reads from the side that connected.
    pub from_client: bool,
    /// Bytes are reported when read, not when passed on.
    report_at_read: bool,
    buffer: Vec<u8>,
    /// Bytes of the buffer that are passed on.
    sent: usize,
}

impl Forwarder {
    pub fn new(from_client: bool, report_at_read: bool) -> Forwarder {
        Forwarder {
            from_client,
            report_at_read,
            buffer: Vec::new(),
            sent: 0,
        }
    }

    /// Reads and passes on as far as it goes; some: one side has ended (`true`: the one that connected).
    pub fn poll(
        &mut self,
        from: &Socket,
        to: &Socket,
        paused: bool,
        chunk: &mut [u8],
        cx: &Context<'_>,
        on_passed: &mut impl FnMut(&[u8]),
    ) -> Option<bool> {
        let limit = if paused { PAUSED_BUFFER } else { CHUNK };
        loop {
            let mut moved = false;
            if self.buffer.len() - self.sent < limit {
                match from.poll_read(cx, chunk) {
                    Poll::Ready(Ok(length)) if length > 0 => {
                        self.buffer.drain(..std::mem::take(&mut self.sent));
                        self.buffer.extend_from_slice(&chunk[..length]);
                        if self.report_at_read {
                            on_passed(&chunk[..length]);
                        }
                        moved = true;
                    }
                    Poll::Ready(_) => return Some(self.from_client),
                    Poll::Pending => {}
                }
            }
            if !paused && self.sent < self.buffer.len() {
                match to.poll_write(cx, &self.buffer[self.sent..]) {
                    Poll::Ready(Ok(length)) => {
                        if !self.report_at_read {
                            on_passed(&self.buffer[self.sent..self.sent + length]);
                        }
                        self.sent += length;
                        moved = true;
                    }
                    Poll::Ready(Err(_)) => return Some(!self.from_client),
                    Poll::Pending => {}
                }
            }
            if !moved {
                return None;
            }
        }
    }
}
