//! Where the messages for one client stream wait until it takes them, bounded: an attempt whose client does not
//! read is not read either.

use bytes::Bytes;
use http::HeaderMap;
use std::cell::RefCell;
use std::collections::{BTreeSet, VecDeque};
use std::task::{Context, Poll, Waker};
use tansy_dispatch::CallId;

/// Bytes that may wait for a client before its calls' workers are no longer read.
const CAPACITY: usize = 256 * 1024;

#[derive(Default)]
struct QueueState {
    messages: VecDeque<Bytes>,
    bytes: usize,
    status: Option<HeaderMap>,
    open: BTreeSet<CallId>,
    reader: Option<Waker>,
    writers: Vec<Waker>,
}

impl QueueState {
    fn wake_reader(&mut self) {
        if let Some(reader) = self.reader.take() {
            reader.wake();
        }
    }
}

/// The messages for one client stream.
#[derive(Default)]
pub struct ResponseQueue(RefCell<QueueState>);

impl ResponseQueue {
    /// Adds a message, already framed.
    pub fn push(&self, message: Bytes) {
        let mut state = self.0.borrow_mut();
        state.bytes += message.len();
        state.messages.push_back(message);
        state.wake_reader();
    }

    /// Sets the status that ends the stream once all messages are out; the first one counts.
    pub fn set_status(&self, trailers: HeaderMap) {
        let mut state = self.0.borrow_mut();
        state.status.get_or_insert(trailers);
        state.wake_reader();
    }

    /// Ready once there is room for a message.
    pub fn poll_capacity(&self, cx: &Context<'_>) -> Poll<()> {
        let mut state = self.0.borrow_mut();
        if state.bytes < CAPACITY {
            return Poll::Ready(());
        }
        if !state.writers.iter().any(|w| w.will_wake(cx.waker())) {
            state.writers.push(cx.waker().clone());
        }
        Poll::Pending
    }

    /// The next message for the client.
    pub fn pop(&self) -> Option<Bytes> {
        let mut state = self.0.borrow_mut();
        let message = state.messages.pop_front()?;
        state.bytes -= message.len();
        if state.bytes < CAPACITY {
            state.writers.drain(..).for_each(Waker::wake);
        }
        Some(message)
    }

    /// The status of the stream, if it has one and no message is left.
    pub fn take_status(&self) -> Option<HeaderMap> {
        let mut state = self.0.borrow_mut();
        if state.messages.is_empty() {
            state.status.take()
        } else {
            None
        }
    }

    /// Wakes this task when there is something new.
    pub fn set_reader(&self, cx: &Context<'_>) {
        let mut state = self.0.borrow_mut();
        let known = state.reader.as_ref();
        if !known.is_some_and(|w| w.will_wake(cx.waker())) {
            state.reader = Some(cx.waker().clone());
        }
    }

    /// A call whose answer comes here was started.
    pub fn call_started(&self, call: CallId) {
        self.0.borrow_mut().open.insert(call);
    }

    /// A call has its answer.
    pub fn call_answered(&self, call: CallId) {
        let mut state = self.0.borrow_mut();
        state.open.remove(&call);
        state.wake_reader();
    }

    /// Calls without an answer.
    pub fn open_calls(&self) -> usize {
        self.0.borrow().open.len()
    }

    /// The client has left: drops all that waits, and gives the calls without an answer.
    pub fn abandon(&self) -> Vec<CallId> {
        let mut state = self.0.borrow_mut();
        state.messages.clear();
        state.bytes = 0;
        state.writers.drain(..).for_each(Waker::wake);
        std::mem::take(&mut state.open).into_iter().collect()
    }
}
