//! Requests for log entries whose outcome is pending.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use tansy_agreement::log::ApplyOutcome;
use tansy_fleet_node::RequestRejection;

/// The most requests that may be pending at once.
const MAX_PENDING: usize = 256;

type Outcome = Result<ApplyOutcome, RequestRejection>;

/// A pending request, and its outcome once it is known.
#[derive(Default)]
pub(crate) struct PendingRequest {
    outcome: RefCell<Option<Outcome>>,
    waker: RefCell<Option<Waker>>,
}

impl PendingRequest {
    pub(crate) fn poll(&self, cx: &Context<'_>) -> Poll<Outcome> {
        if let Some(outcome) = self.outcome.borrow_mut().take() {
            return Poll::Ready(outcome);
        }
        *self.waker.borrow_mut() = Some(cx.waker().clone());
        Poll::Pending
    }
}

/// All pending requests, by number.
#[derive(Default)]
pub(crate) struct PendingRequests {
    requests: RefCell<HashMap<u64, Rc<PendingRequest>>>,
    last_number: Cell<u64>,
}

impl PendingRequests {
    /// Adds a request; `None` if too many are pending.
    pub(crate) fn add(&self) -> Option<(u64, Rc<PendingRequest>)> {
        let mut requests = self.requests.borrow_mut();
        if requests.len() >= MAX_PENDING {
            return None;
        }
        let number = self.last_number.get() + 1;
        self.last_number.set(number);
        let request = Rc::new(PendingRequest::default());
        requests.insert(number, request.clone());
        Some((number, request))
    }

    /// Completes a request and wakes the task that waits for it.
    pub(crate) fn complete(&self, number: u64, outcome: Outcome) {
        let request = self.requests.borrow_mut().remove(&number);
        if let Some(request) = request {
            *request.outcome.borrow_mut() = Some(outcome);
            let waker = request.waker.borrow_mut().take();
            waker.into_iter().for_each(Waker::wake);
        }
    }
}
