//! The state of a call in progress, and the signal that cancels its attempt.

use crate::response_queue::ResponseQueue;
use bytes::Bytes;
use http::HeaderMap;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::task::{Context, Waker};
use tansy_dispatch::CallId;

/// The state of a call in progress.
pub struct CallContext {
    /// The call's number at the dispatcher.
    pub id: CallId,
    /// The name of the function.
    pub model: String,
    /// The id that the client gave its request.
    pub request_id: String,
    /// The path of the called method.
    pub path: &'static str,
    /// The framed request message.
    pub body: Bytes,
    /// The client's application metadata.
    pub metadata: HeaderMap,
    /// Whether the call is unary; otherwise its response is a stream of messages.
    pub unary: bool,
    /// The queue of messages for the client.
    pub responses: Rc<ResponseQueue>,
    /// The response message that was reported to the dispatcher, until the dispatcher has it forwarded.
    pub staged: RefCell<Option<Bytes>>,
    /// Whether the final message of a streamed response was received.
    pub complete: Cell<bool>,
    /// The trailers of the attempt that ended last.
    pub trailers: RefCell<Option<HeaderMap>>,
}

/// Tells the task of an attempt or a control request to cancel it, or to confirm that it has been sent.
#[derive(Default)]
pub struct CancelSignal {
    cancelled: Cell<bool>,
    confirmation_requested: Cell<bool>,
    waker: RefCell<Option<Waker>>,
}

impl CancelSignal {
    /// Requests cancellation.
    pub fn cancel(&self) {
        self.cancelled.set(true);
        self.wake();
    }

    /// Requests confirmation that the HEADERS have been sent; if they have not, the task cancels the request.
    pub fn confirm(&self) {
        self.confirmation_requested.set(true);
        self.wake();
    }

    /// Takes the request for confirmation, if one was made since the last call.
    pub fn take_confirmation_request(&self) -> bool {
        self.confirmation_requested.take()
    }

    /// Whether cancellation was requested. If not, the task is woken by the next signal.
    pub fn poll_cancelled(&self, cx: &Context<'_>) -> bool {
        if !self.cancelled.get() {
            let mut waker = self.waker.borrow_mut();
            if !waker.as_ref().is_some_and(|w| w.will_wake(cx.waker())) {
                *waker = Some(cx.waker().clone());
            }
        }
        self.cancelled.get()
    }

    fn wake(&self) {
        let waker = self.waker.borrow_mut().take();
        if let Some(waker) = waker {
            waker.wake();
        }
    }
}
