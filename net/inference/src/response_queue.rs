//! The bounded queue of messages for one client stream. While it is full, the responses of workers are not read, so that
//! a slow client slows its workers down.

use bytes::Bytes;
use http::HeaderMap;
use std::cell::RefCell;
use std::collections::{BTreeSet, VecDeque};
use std::task::{Context, Poll, Waker};
use tansy_dispatch::CallId;

/// Queued bytes from which the responses of workers are no longer read.
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

/// The queue of messages for one client stream, the status that ends it, and its open calls.
#[derive(Default)]
pub struct ResponseQueue(RefCell<QueueState>);

impl ResponseQueue {
    /// Appends a framed message.
    pub fn push(&self, message: Bytes) {
        let mut state = self.0.borrow_mut();
        state.bytes += message.len();
        state.messages.push_back(message);
        state.wake_reader();
    }

    /// Sets the status that ends the stream after all queued messages. Only the first status is kept.
    pub fn set_status(&self, trailers: HeaderMap) {
        let mut state = self.0.borrow_mut();
        state.status.get_or_insert(trailers);
        state.wake_reader();
    }

    /// Ready once the queue has room for a message.
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

    /// Takes the next message for the client.
    pub fn pop(&self) -> Option<Bytes> {
        let mut state = self.0.borrow_mut();
        let message = state.messages.pop_front()?;
        state.bytes -= message.len();
        if state.bytes < CAPACITY {
            state.writers.drain(..).for_each(Waker::wake);
        }
        Some(message)
    }

    /// Takes the status of the stream, if it is set and no message is queued.
    pub fn take_status(&self) -> Option<HeaderMap> {
        let mut state = self.0.borrow_mut();
        if state.messages.is_empty() {
            state.status.take()
        } else {
            None
        }
    }

    /// Registers this task to be woken when a message, a status or the end of a call is added.
    pub fn set_reader(&self, cx: &Context<'_>) {
        let mut state = self.0.borrow_mut();
        let known = state.reader.as_ref();
        if !known.is_some_and(|w| w.will_wake(cx.waker())) {
            state.reader = Some(cx.waker().clone());
        }
    }

    /// Records that a call whose answer goes to this queue was started.
    pub fn call_started(&self, call: CallId) {
        self.0.borrow_mut().open.insert(call);
    }

    /// Records that a call was answered.
    pub fn call_answered(&self, call: CallId) {
        let mut state = self.0.borrow_mut();
        state.open.remove(&call);
        state.wake_reader();
    }

    /// The number of unanswered calls.
    pub fn open_calls(&self) -> usize {
        self.0.borrow().open.len()
    }

    /// Drops the queued messages after the client has left, and returns the unanswered calls.
    pub fn abandon(&self) -> Vec<CallId> {
        let mut state = self.0.borrow_mut();
        state.messages.clear();
        state.bytes = 0;
        state.writers.drain(..).for_each(Waker::wake);
        std::mem::take(&mut state.open).into_iter().collect()
    }
}
