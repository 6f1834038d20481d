//! One connection to a worker: its open requests, its send queue and its eligibility for new requests. Answers are
//! matched to attempts by request id; an answer whose id is not open is ignored.
//!
//! This file holds the interface for callers, [`io`] the task that performs the I/O, and [`events`] the events it
//! reports.

pub mod events;
pub mod io;

use crate::call::Attempt;
use crate::outbox::{Outbox, OutgoingMessage};
use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};
use std::task::Waker;
use std::time::{Duration, Instant};
use tansy_dispatch::{AttemptOutcome, ControlRequestId, ResponseStage};
use tansy_platform::request::RequestId;

/// A connection with more unsent bytes is closed: the worker is not reading.
const MAX_OUTBOX_BYTES: usize = 1024 * 1024;
/// Approximate size of an attempt without its body, bytes.
const ATTEMPT_OVERHEAD: usize = 256;
/// Maximum number of abandoned request ids remembered per connection; an answer to each may still arrive.
const MAX_ABANDONED: usize = 128;

/// The kind of requests that a connection carries. An unreadable answer ends all requests on its connection; loads
/// take much longer than calls and would often be lost if they shared one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionRole {
    /// Attempts.
    Calls,
    /// Probes and load requests.
    Control,
}

/// An open request on a connection.
struct Pending<T> {
    request: T,
    /// Whether its first byte has been sent.
    started: bool,
    queued_at: Instant,
}

impl<T> Pending<T> {
    fn new(request: T) -> Pending<T> {
        Pending {
            request,
            started: false,
            queued_at: Instant::now(),
        }
    }
}

struct State {
    connected: bool,
    ended: bool,
    /// Accepts no new requests, and closes once no request is open.
    retired: bool,
    abort: Option<AttemptOutcome>,
    outbox: Outbox,
    attempts: HashMap<RequestId, Pending<Attempt>>,
    control: HashMap<ControlRequestId, Pending<()>>,
    /// Ids of abandoned requests, oldest first. A late answer to one could be mistaken for the answer to a new
    /// attempt with the same id.
    abandoned: VecDeque<RequestId>,
    last_read: Instant,
    last_queued: Instant,
    /// Whether an answer has been received in part.
    has_partial_answer: bool,
    waker: Option<Waker>,
}

impl State {
    fn open_requests(&self) -> usize {
        self.attempts.len() + self.control.len()
    }
}

/// One connection to a worker.
pub struct WorkerConnection {
    serial: u64,
    worker: String,
    role: ConnectionRole,
    state: RefCell<State>,
}

impl WorkerConnection {
    /// Creates a connection that [`io::run_connection`] establishes and serves.
    pub fn new(serial: u64, worker: &str, role: ConnectionRole) -> WorkerConnection {
        let now = Instant::now();
        let state = State {
            connected: false,
            ended: false,
            retired: false,
            abort: None,
            outbox: Outbox::default(),
            attempts: HashMap::new(),
            control: HashMap::new(),
            abandoned: VecDeque::new(),
            last_read: now,
            last_queued: now,
            has_partial_answer: false,
            waker: None,
        };
        WorkerConnection {
            serial,
            worker: worker.to_string(),
            role,
            state: RefCell::new(state),
        }
    }

    /// The kind of requests that it carries.
    pub fn role(&self) -> ConnectionRole {
        self.role
    }
    /// The connection's unique serial number.
    pub fn serial(&self) -> u64 {
        self.serial
    }
    /// Whether the connection has ended.
    pub fn has_ended(&self) -> bool {
        self.state.borrow().ended
    }
    /// Whether the connection accepts another request of this role, given a limit of `streams` open requests. A
    /// connection that has been idle for `max_reuse_idle` does not, since the worker may be closing it.
    pub fn accepts(&self, role: ConnectionRole, streams: usize, max_reuse_idle: Duration) -> bool {
        let state = self.state.borrow();
        let open = state.open_requests();
        let is_reusable = open > 0 || state.last_queued.elapsed() < max_reuse_idle;
        self.role == role
            && !state.retired
            && state.abort.is_none()
            && is_reusable
            && open < streams
    }
    /// Whether an attempt with this request id was abandoned here. An answer to a new attempt could not be told from
    /// an answer to that one.
    pub fn has_abandoned(&self, id: &RequestId) -> bool {
        self.state.borrow().abandoned.contains(id)
    }
    /// Whether the connection is open and carries no request.
    pub fn is_idle(&self) -> bool {
        let state = self.state.borrow();
        !state.ended
            && state.abort.is_none()
            && state.attempts.is_empty()
            && state.control.is_empty()
    }
    /// Whether the connection has carried no request for at least `span`.
    pub fn is_idle_for(&self, span: Duration) -> bool {
        let state = self.state.borrow();
        state.attempts.is_empty() && state.control.is_empty() && state.last_queued.elapsed() >= span
    }
    /// Whether an answer has been received in part and nothing was read for longer than `span`.
    pub fn is_stalled(&self, span: Duration) -> bool {
        let state = self.state.borrow();
        state.has_partial_answer && state.last_read.elapsed() > span
    }

    fn wake(&self) {
        let waker = self.state.borrow_mut().waker.take();
        waker.into_iter().for_each(Waker::wake);
    }
    /// Ends the connection immediately with `outcome`.
    pub fn abort(&self, outcome: AttemptOutcome) {
        self.state.borrow_mut().abort.get_or_insert(outcome);
        self.wake();
    }
    /// Stops accepting requests, and closes the connection once no request is open.
    pub fn retire(&self) {
        self.state.borrow_mut().retired = true;
        self.wake();
    }

    fn push(&self, message: OutgoingMessage, size: usize) {
        let mut state = self.state.borrow_mut();
        state.outbox.push(message, size);
        state.last_queued = Instant::now();
        if state.outbox.bytes() > MAX_OUTBOX_BYTES {
            state.abort.get_or_insert(AttemptOutcome::ConnectionCut {
                stage: ResponseStage::Nothing,
            });
        }
        drop(state);
        self.wake();
    }

    /// Sends an attempt.
    pub fn send_attempt(&self, attempt: Attempt) {
        let id = attempt.context.request.id;
        let size = ATTEMPT_OVERHEAD + attempt.context.body.len();
        let pending = Pending::new(attempt);
        self.state.borrow_mut().attempts.insert(id, pending);
        self.push(OutgoingMessage::Attempt(id), size);
    }
    /// Sends a message that has no reply.
    pub fn send_unacknowledged(&self, words: &[&[u8]]) {
        let mut bytes = Vec::new();
        tansy_resp::write_array(&mut bytes, words);
        let size = bytes.len();
        self.push(OutgoingMessage::Unacknowledged(bytes), size);
    }
    /// Sends a control request; its tag is inserted after the first word.
    pub fn send_control(&self, request: ControlRequestId, words: &[&str]) {
        let tag = format!("o{}", request.0);
        let mut tagged: Vec<&[u8]> = vec![
            words.first().map_or(&b""[..], |word| word.as_bytes()),
            tag.as_bytes(),
        ];
        tagged.extend(words.iter().skip(1).map(|word| word.as_bytes()));
        let mut bytes = Vec::new();
        tansy_resp::write_array(&mut bytes, &tagged);
        let size = bytes.len();
        let pending = Pending::new(());
        self.state.borrow_mut().control.insert(request, pending);
        self.push(OutgoingMessage::Control(request, bytes), size);
    }

    /// Cancels an attempt and returns its outcome, or none if it has already ended. If part of it has been sent, the
    /// worker is told to drop it.
    pub fn cancel_attempt(&self, id: &RequestId) -> Option<AttemptOutcome> {
        let pending = {
            let mut state = self.state.borrow_mut();
            let pending = state.attempts.remove(id)?;
            if state.outbox.cancel_attempt(id) {
                return Some(AttemptOutcome::NeverLeft);
            }
            state.abandoned.push_back(*id);
            if state.abandoned.len() > MAX_ABANDONED {
                state.abandoned.pop_front();
            }
            pending
        };
        self.retire_if_unresponsive_since(pending.queued_at);
        self.send_unacknowledged(&[b"never_mind", id]);
        Some(AttemptOutcome::Cancelled)
    }
    /// Checks that the first byte of an attempt has been sent. Otherwise cancels it and returns its outcome as the
    /// error.
    pub fn confirm_sent(&self, id: &RequestId) -> Result<(), AttemptOutcome> {
        let mut state = self.state.borrow_mut();
        if !state.outbox.cancel_attempt(id) {
            return Ok(());
        }
        state.attempts.remove(id);
        Err(if state.connected {
            AttemptOutcome::NeverLeft
        } else {
            AttemptOutcome::ConnectTimedOut
        })
    }
    /// Cancels a control request if none of it has been sent. Returns its outcome, or none if it has been sent.
    pub fn recall_control(&self, request: ControlRequestId) -> Option<AttemptOutcome> {
        let mut state = self.state.borrow_mut();
        if !state.outbox.cancel_control(request) {
            return None;
        }
        state.control.remove(&request);
        Some(AttemptOutcome::NeverLeft)
    }
    /// Cancels a control request and returns its outcome.
    pub fn cancel_control(&self, request: ControlRequestId) -> AttemptOutcome {
        let (pending, was_queued) = {
            let mut state = self.state.borrow_mut();
            let pending = state.control.remove(&request);
            (pending, state.outbox.cancel_control(request))
        };
        match pending {
            Some(_) if was_queued => AttemptOutcome::NeverLeft,
            Some(pending) => {
                self.retire_if_unresponsive_since(pending.queued_at);
                AttemptOutcome::Cancelled
            }
            None => AttemptOutcome::Cancelled,
        }
    }

    /// Retires the connection if nothing was read since the cancelled request was queued: the peer may be
    /// unreachable.
    fn retire_if_unresponsive_since(&self, queued_at: Instant) {
        let mut state = self.state.borrow_mut();
        state.retired |= state.last_read <= queued_at;
    }
}
