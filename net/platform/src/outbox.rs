//! The send queue of one connection. A message is encoded only when it is written, so that it can be cancelled until
//! its first_offset byte is sent and states the time that remains at that moment.

use std::collections::VecDeque;
use std::io;
use std::task::Poll;
use tansy_dispatch::ControlRequestId;
use tansy_platform::request::RequestId;

/// A message to a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OutgoingMessage {
    /// An attempt at the request with this id.
    Attempt(RequestId),
    /// An encoded probe or load request.
    Control(ControlRequestId, Vec<u8>),
    /// An encoded message that has no reply.
    Unacknowledged(Vec<u8>),
}

struct QueuedMessage {
    message: OutgoingMessage,
    /// Approximate size in bytes.
    size: usize,
}

/// The messages of one connection that have not been fully sent.
#[derive(Default)]
pub struct Outbox {
    queued: VecDeque<QueuedMessage>,
    /// The unsent remainder of a partly sent message.
    unsent_tail: Vec<u8>,
    bytes: usize,
}

impl Outbox {
    /// Whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.queued.is_empty() && self.unsent_tail.is_empty()
    }
    /// Approximate number of unsent bytes.
    pub fn bytes(&self) -> usize {
        self.bytes + self.unsent_tail.len()
    }
    /// Queues a message of approximately `size` bytes.
    pub fn push(&mut self, message: OutgoingMessage, size: usize) {
        self.bytes += size;
        self.queued.push_back(QueuedMessage { message, size });
    }
    /// Discards all messages.
    pub fn clear(&mut self) {
        *self = Outbox::default();
    }

    /// Ids of the attempts of which no byte has been sent, in queue order.
    pub fn attempts(&self) -> impl Iterator<Item = RequestId> + '_ {
        self.queued.iter().filter_map(|entry| match entry.message {
            OutgoingMessage::Attempt(id) => Some(id),
            _ => None,
        })
    }
    /// Control requests of which no byte has been sent, in queue order.
    pub fn control_requests(&self) -> impl Iterator<Item = ControlRequestId> + '_ {
        self.queued.iter().filter_map(|entry| match entry.message {
            OutgoingMessage::Control(request, _) => Some(request),
            _ => None,
        })
    }

    /// Removes an attempt from the queue. Returns false if its first byte has been sent.
    pub fn cancel_attempt(&mut self, id: &RequestId) -> bool {
        self.remove(|message| matches!(message, OutgoingMessage::Attempt(queued) if queued == id))
    }
    /// Removes a control request from the queue. Returns false if its first byte has been sent.
    pub fn cancel_control(&mut self, request: ControlRequestId) -> bool {
        self.remove(
            |message| matches!(message, OutgoingMessage::Control(queued, _) if *queued == request),
        )
    }

    fn remove(&mut self, matches: impl Fn(&OutgoingMessage) -> bool) -> bool {
        let Some(index) = self.queued.iter().position(|entry| matches(&entry.message)) else {
            return false;
        };
        if let Some(removed) = self.queued.remove(index) {
            self.bytes -= removed.size;
        }
        true
    }

    /// Writes as many bytes as `write` accepts. Messages are encoded by `encode`, and dropped if the result is empty;
    /// `on_started` is called for each message whose first byte has been sent. The others stay queued and are encoded
    /// again by the next flush.
    pub fn flush(
        &mut self,
        encode: impl Fn(&OutgoingMessage) -> Vec<u8>,
        mut on_started: impl FnMut(&OutgoingMessage),
        mut write: impl FnMut(&[u8]) -> Poll<io::Result<usize>>,
    ) -> io::Result<()> {
        while !self.is_empty() {
            let mut batch = std::mem::take(&mut self.unsent_tail);
            let mut offsets = Vec::with_capacity(self.queued.len());
            let bytes = &mut self.bytes;
            self.queued.retain(|queued| {
                let encoded = encode(&queued.message);
                if encoded.is_empty() {
                    *bytes -= queued.size;
                    return false;
                }
                offsets.push(batch.len());
                batch.extend_from_slice(&encoded);
                true
            });
            if batch.is_empty() {
                return Ok(());
            }
            let first_offset = offsets.first().copied().unwrap_or(batch.len());
            let written = match write(&batch) {
                Poll::Ready(Ok(0)) => Err(io::ErrorKind::WriteZero.into()),
                Poll::Ready(written) => written,
                Poll::Pending => Ok(0),
            };
            let sent = match written {
                Ok(count) => count,
                Err(error) => {
                    self.unsent_tail = batch[..first_offset].to_vec();
                    return Err(error);
                }
            };
            let started = offsets.iter().take_while(|offset| **offset < sent).count();
            for queued in self.queued.drain(..started) {
                self.bytes -= queued.size;
                on_started(&queued.message);
            }
            let end = offsets.get(started).copied().unwrap_or(batch.len());
            self.unsent_tail = batch[sent.min(end)..end].to_vec();
            if sent == 0 {
                return Ok(());
            }
        }
        Ok(())
    }
}
