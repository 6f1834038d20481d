//! What is kept of a call on its way, and the signal by which its attempt is cancelled.

use crate::response_queue::ResponseQueue;
use bytes::Bytes;
use http::HeaderMap;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::task::{Context, Waker};
use tansy_dispatch::CallId;

/// A call on its way.
pub struct CallContext {
    /// Its number.
    pub id: CallId,
    /// The name of the function.
    pub model: String,
    /// The client's id for it.
    pub request_id: String,
    /// The path of the method.
    pub path: &'static str,
    /// The request, framed.
    pub body: Bytes,
    /// The client's metadata.
    pub metadata: HeaderMap,
    /// Whether it has one answer, not a stream of messages.
    pub unary: bool,
    /// Where its answer goes.
    pub responses: Rc<ResponseQueue>,
    /// A response message that the dispatcher was given, until it has it forwarded.
    pub staged: RefCell<Option<Bytes>>,
    /// The last message was forwarded.
    pub complete: Cell<bool>,
    /// The trailers of the attempt that ended last.
    pub trailers: RefCell<Option<HeaderMap>>,
}

/// Has the task of an attempt or a control request cancel it, or report whether it has been sent.
#[derive(Default)]
pub struct CancelSignal {
    cancelled: Cell<bool>,
    confirmation_requested: Cell<bool>,
    waker: RefCell<Option<Waker>>,
}

impl CancelSignal {
    /// Has it cancelled.
    pub fn cancel(&self) {
        self.cancelled.set(true);
        self.wake();
    }

    /// Has it report whether its HEADERS have left; if not, it is cancelled.
    pub fn confirm(&self) {
        self.confirmation_requested.set(true);
        self.wake();
    }

    /// Whether a confirmation was asked for since the last time.
    pub fn take_confirmation_request(&self) -> bool {
        self.confirmation_requested.take()
    }

    /// Whether it is to be cancelled; wakes the task when it is.
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
