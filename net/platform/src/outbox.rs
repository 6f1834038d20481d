//! What waits to leave on one connection. A message is turned into bytes only as it is about to leave: until its first byte
//! has, it can be taken back, and what it says of the time left is true when it goes.

use std::collections::VecDeque;
use std::io;
use std::task::Poll;
use tansy_dispatch::ControlRequestId;
use tansy_platform::call::RequestId;

/// One message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// An attempt at the request of this id.
    Attempt(RequestId),
    /// An order or a probe, whole.
    Order(ControlRequestId, Vec<u8>),
    /// What nobody waits for, whole.
    Plain(Vec<u8>),
}

struct Waiting {
    message: Message,
    /// Bytes that it takes up, about.
    size: usize,
}

/// The messages of one connection that have not left whole.
#[derive(Default)]
pub struct Outbox {
    waiting: VecDeque<Waiting>,
    /// The rest of a message that has begun to leave.
    begun: Vec<u8>,
    bytes: usize,
}

impl Outbox {
    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty() && self.begun.is_empty()
    }
    /// Bytes that wait, about.
    pub fn bytes(&self) -> usize {
        self.bytes + self.begun.len()
    }
    /// Adds a message that takes up about so many bytes.
    pub fn push(&mut self, message: Message, size: usize) {
        self.bytes += size;
        self.waiting.push_back(Waiting { message, size });
    }
    /// Lets go of everything.
    pub fn clear(&mut self) {
        *self = Outbox::default();
    }

    /// Attempts of which no byte has left, in their order.
    pub fn attempts(&self) -> impl Iterator<Item = RequestId> + '_ {
        self.waiting.iter().filter_map(|w| match w.message {
            Message::Attempt(id) => Some(id),
            _ => None,
        })
    }
    /// Orders of which no byte has left, in their order.
    pub fn orders(&self) -> impl Iterator<Item = ControlRequestId> + '_ {
        self.waiting.iter().filter_map(|w| match w.message {
            Message::Order(order, _) => Some(order),
            _ => None,
        })
    }

    /// Takes an attempt back; false: it has begun to leave.
    pub fn take_back(&mut self, id: &RequestId) -> bool {
        self.remove(|m| matches!(m, Message::Attempt(of) if of == id))
    }
    /// Takes an order back; false: it has begun to leave.
    pub fn take_back_order(&mut self, order: ControlRequestId) -> bool {
        self.remove(|m| matches!(m, Message::Order(of, _) if *of == order))
    }

    fn remove(&mut self, is: impl Fn(&Message) -> bool) -> bool {
        let Some(at) = self.waiting.iter().position(|w| is(&w.message)) else {
            return false;
        };
        if let Some(gone) = self.waiting.remove(at) {
            self.bytes -= gone.size;
        }
        true
    }

    /// Writes as much as is taken. Messages are made into bytes by `encode`, and let go of if there are none; `begins` hears of each whose first byte has
    /// left. What has not begun to leave waits on, and is made into bytes anew.
    pub fn flush(
        &mut self,
        encode: impl Fn(&Message) -> Vec<u8>,
        mut begins: impl FnMut(&Message),
        mut write: impl FnMut(&[u8]) -> Poll<io::Result<usize>>,
    ) -> io::Result<()> {
        while !self.is_empty() {
            let mut batch = std::mem::take(&mut self.begun);
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
            let left = match written {
                Ok(n) => n,
                Err(e) => {
                    self.begun = batch[..first].to_vec();
                    return Err(e);
                }
            };
            let begun = starts.iter().take_while(|start| **start < left).count();
            for waiting in self.waiting.drain(..begun) {
                self.bytes -= waiting.size;
                begins(&waiting.message);
            }
            let end = starts.get(begun).copied().unwrap_or(batch.len());
            self.begun = batch[left.min(end)..end].to_vec();
            if left == 0 {
                return Ok(());
            }
        }
        Ok(())
    }
}
