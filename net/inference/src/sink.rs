//! Where the messages for one client stream wait until it takes them, bounded: an attempt whose client does not
//! read is not read either.

use bytes::Bytes;
use http::HeaderMap;
use std::cell::RefCell;
use std::collections::{BTreeSet, VecDeque};
use std::task::{Context, Poll, Waker};
use tansy_dispatch::CallId;

/// Bytes that may wait for a client before its calls' workers are no longer read.
const ROOM: usize = 256 * 1024;

#[derive(Default)]
struct Inner {
    messages: VecDeque<Bytes>,
    bytes: usize,
    end: Option<HeaderMap>,
    open: BTreeSet<CallId>,
    reader: Option<Waker>,
    writers: Vec<Waker>,
}

/// The messages for one client stream.
#[derive(Default)]
pub struct Sink(RefCell<Inner>);

impl Sink {
    /// Adds a message, already framed.
    pub fn push(&self, message: Bytes) {
        let mut i = self.0.borrow_mut();
        i.bytes += message.len();
        i.messages.push_back(message);
        i.reader.take().into_iter().for_each(Waker::wake);
    }
    /// The status that ends the stream once all messages are out.
    pub fn end(&self, trailers: HeaderMap) {
        let mut i = self.0.borrow_mut();
        i.end.get_or_insert(trailers);
        i.reader.take().into_iter().for_each(Waker::wake);
    }
    /// Ready once there is room for a piece.
    pub fn poll_room(&self, cx: &Context<'_>) -> Poll<()> {
        let mut i = self.0.borrow_mut();
        if i.bytes < ROOM {
            return Poll::Ready(());
        }
        if !i.writers.iter().any(|w| w.will_wake(cx.waker())) {
            i.writers.push(cx.waker().clone());
        }
        Poll::Pending
    }
    /// The next message for the client.
    pub fn pop(&self) -> Option<Bytes> {
        let mut i = self.0.borrow_mut();
        let message = i.messages.pop_front()?;
        i.bytes -= message.len();
        if i.bytes < ROOM {
            i.writers.drain(..).for_each(Waker::wake);
        }
        Some(message)
    }
    /// The stream's status, if it has one and no message is left.
    pub fn take_end(&self) -> Option<HeaderMap> {
        let mut i = self.0.borrow_mut();
        if i.messages.is_empty() {
            i.end.take()
        } else {
            None
        }
    }
    /// Wakes this task when there is something new.
    pub fn watch(&self, cx: &Context<'_>) {
        let mut i = self.0.borrow_mut();
        if !i.reader.as_ref().is_some_and(|w| w.will_wake(cx.waker())) {
            i.reader = Some(cx.waker().clone());
        }
    }
    /// A call whose answer comes here.
    pub fn opened(&self, call: CallId) {
        self.0.borrow_mut().open.insert(call);
    }
    /// It has its answer.
    pub fn closed(&self, call: CallId) {
        let mut i = self.0.borrow_mut();
        i.open.remove(&call);
        i.reader.take().into_iter().for_each(Waker::wake);
    }
    /// Calls without an answer.
    pub fn open(&self) -> usize {
        self.0.borrow().open.len()
    }
    /// Takes the calls without an answer out, and lets go of all that waits: the client has left.
    pub fn abandon(&self) -> Vec<CallId> {
        let mut i = self.0.borrow_mut();
        i.messages.clear();
        i.bytes = 0;
        i.writers.drain(..).for_each(Waker::wake);
        std::mem::take(&mut i.open).into_iter().collect()
    }
}
