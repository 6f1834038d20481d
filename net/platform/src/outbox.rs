//! Messages that wait to be sent on one connection. A message is encoded only as it is about to be sent: until its first
//! byte is, it can be cancelled, and the remaining time that it states is true when it goes.

use std::collections::VecDeque;
use std::io;
use std::task::Poll;
use tansy_dispatch::ControlRequestId;
use tansy_platform::request::RequestId;

/// A message to a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OutgoingMessage {
    /// An attempt at the request of this id.
    Attempt(RequestId),
    /// A probe or a load request, encoded.
    Control(ControlRequestId, Vec<u8>),
    /// A message without an answer, encoded.
    Unacknowledged(Vec<u8>),
}

struct Waiting {
    message: OutgoingMessage,
    /// Bytes that it takes up, approximately.
    size: usize,
}

/// The messages of one connection that have not been sent whole.
#[derive(Default)]
pub struct Outbox {
    waiting: VecDeque<Waiting>,
    /// The rest of a message of which a part is sent.
    unsent_rest: Vec<u8>,
    bytes: usize,
}

impl Outbox {
    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty() && self.unsent_rest.is_empty()
    }
    /// Bytes that wait, approximately.
    pub fn bytes(&self) -> usize {
        self.bytes + self.unsent_rest.len()
    }
    /// Adds a message that takes up approximately `size` bytes.
    pub fn push(&mut self, message: OutgoingMessage, size: usize) {
        self.bytes += size;
        self.waiting.push_back(Waiting { message, size });
    }
    /// Discards everything.
    pub fn clear(&mut self) {
        *self = Outbox::default();
    }

    /// Attempts of which no byte is sent, in their order.
    pub fn attempts(&self) -> impl Iterator<Item = RequestId> + '_ {
        self.waiting.iter().filter_map(|entry| match entry.message {
            OutgoingMessage::Attempt(id) => Some(id),
            _ => None,
        })
    }
    /// Control requests of which no byte is sent, in their order.
    pub fn control_requests(&self) -> impl Iterator<Item = ControlRequestId> + '_ {
        self.waiting.iter().filter_map(|entry| match entry.message {
            OutgoingMessage::Control(request, _) => Some(request),
            _ => None,
        })
    }

    /// Cancels an attempt; false: a part of it is sent.
    pub fn cancel_attempt(&mut self, id: &RequestId) -> bool {
        self.remove(|message| matches!(message, OutgoingMessage::Attempt(of) if of == id))
    }
    /// Cancels a control request; false: a part of it is sent.
    pub fn cancel_control(&mut self, request: ControlRequestId) -> bool {
        self.remove(|message| matches!(message, OutgoingMessage::Control(of, _) if *of == request))
    }

    fn remove(&mut self, matches: impl Fn(&OutgoingMessage) -> bool) -> bool {
        let Some(index) = self
            .waiting
            .iter()
            .position(|entry| matches(&entry.message))
        else {
            return false;
        };
        if let Some(removed) = self.waiting.remove(index) {
            self.bytes -= removed.size;
        }
        true
    }

    /// Writes as much as `write` takes. Messages are encoded by `encode`, and discarded if that gives no bytes;
    /// `on_started` is called for each whose first byte is sent. The others go on waiting, and are encoded anew the
    /// next time.
    pub fn flush(
        &mut self,
        encode: impl Fn(&OutgoingMessage) -> Vec<u8>,
        mut on_started: impl FnMut(&OutgoingMessage),
        mut write: impl FnMut(&[u8]) -> Poll<io::Result<usize>>,
    ) -> io::Result<()> {
        while !self.is_empty() {
            let mut batch = std::mem::take(&mut self.unsent_rest);
            let mut starts = Vec::with_capacity(self.waiting.len());
            let bytes = &mut self.bytes;
            self.waiting.retain(|waiting| {
                let encoded = encode(&waiting.message);
                if encoded.is_empty() {
                    *bytes -= waiting.size;
                    return false;
                }
                starts.push(batch.len());
                batch.extend_from_slice(&encoded);
                true
            });
            if batch.is_empty() {
                return Ok(());
            }
            let first = starts.first().copied().unwrap_or(batch.len());
            let written = match write(&batch) {
                Poll::Ready(Ok(0)) => Err(io::ErrorKind::WriteZero.into()),
                Poll::Ready(written) => written,
                Poll::Pending => Ok(0),
            };
            let sent = match written {
                Ok(count) => count,
                Err(error) => {
                    self.unsent_rest = batch[..first].to_vec();
                    return Err(error);
                }
            };
            let started = starts.iter().take_while(|start| **start < sent).count();
            for waiting in self.waiting.drain(..started) {
                self.bytes -= waiting.size;
                on_started(&waiting.message);
            }
            let end = starts.get(started).copied().unwrap_or(batch.len());
            self.unsent_rest = batch[sent.min(end)..end].to_vec();
            if sent == 0 {
                return Ok(());
            }
        }
        Ok(())
    }
}
