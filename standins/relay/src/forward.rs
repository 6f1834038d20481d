//! Forwards one direction of a proxied connection.

use std::task::{Context, Poll};
use tansy_net_sockets::socket::Socket;

/// Largest number of bytes read at once, and the buffer limit while a connection isn't paused.
pub(crate) const CHUNK_BYTES: usize = 64 * 1024;
/// Buffer limit while a connection is paused, bytes.
const PAUSED_BUFFER_BYTES: usize = 4 * 1024 * 1024;

/// Reads bytes from one side of a connection and writes them to the other.
pub(crate) struct Forwarder {
    /// Whether the bytes come from the side that connected.
    pub from_client: bool,
    /// Whether bytes are reported when they are read, rather than when they are written.
    report_at_read: bool,
    buffer: Vec<u8>,
    /// Number of bytes of the buffer that were written.
    written: usize,
}

impl Forwarder {
    pub fn new(from_client: bool, report_at_read: bool) -> Forwarder {
        Forwarder {
            from_client,
            report_at_read,
            buffer: Vec::new(),
            written: 0,
        }
    }

    /// Forwards until neither side is ready. Returns the side that ended the connection, if any: `true` for the one that connected.
    pub fn poll(
        &mut self,
        from: &Socket,
        to: &Socket,
        paused: bool,
        chunk: &mut [u8],
        cx: &Context<'_>,
        report: &mut impl FnMut(&[u8]),
    ) -> Option<bool> {
        let limit = if paused {
            PAUSED_BUFFER_BYTES
        } else {
            CHUNK_BYTES
        };
        loop {
            let mut progress = false;
            if self.buffer.len() - self.written < limit {
                match from.poll_read(cx, chunk) {
                    Poll::Ready(Ok(length)) if length > 0 => {
                        self.buffer.drain(..std::mem::take(&mut self.written));
                        self.buffer.extend_from_slice(&chunk[..length]);
                        if self.report_at_read {
                            report(&chunk[..length]);
                        }
                        progress = true;
                    }
                    Poll::Ready(_) => return Some(self.from_client),
                    Poll::Pending => {}
                }
            }
            if !paused && self.written < self.buffer.len() {
                match to.poll_write(cx, &self.buffer[self.written..]) {
                    Poll::Ready(Ok(length)) => {
                        if !self.report_at_read {
                            report(&self.buffer[self.written..self.written + length]);
                        }
                        self.written += length;
                        progress = true;
                    }
                    Poll::Ready(Err(_)) => return Some(!self.from_client),
                    Poll::Pending => {}
                }
            }
            if !progress {
                return None;
            }
        }
    }
}
