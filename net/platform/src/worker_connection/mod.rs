//! One connection to a worker: what is open on it, what waits to be sent, and when it may take more. An attempt is known
//! on it by its request's id; an answer for an id that is not open there is ignored.
//!
//! This file holds the side that callers use; [`io`] is the task that moves the bytes, and [`events`] what it reports.

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

/// Bytes that may wait for the kernel on one connection; more means that the worker reads nothing.
const MAX_OUTBOX_BYTES: usize = 1024 * 1024;
/// Bytes of an attempt beside its body, approximately.
const ATTEMPT_OVERHEAD: usize = 256;
/// Ids of attempts abandoned on one connection that are remembered: an answer may still come for each.
const MAX_ABANDONED: usize = 128;

/// What a connection carries. An answer that can't be read ends all that is open on its connection; a load lasts much
/// longer than a call, and would rarely live to its end beside calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionRole {
    /// Attempts.
    Calls,
    /// Control requests: probes and load requests.
    Control,
}

/// A request that is open on a connection.
struct Pending<T> {
    request: T,
    /// Its first byte is sent.
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
    /// No new request goes out on it; it closes once nothing is open.
    retired: bool,
    abort: Option<AttemptOutcome>,
    outbox: Outbox,
    attempts: HashMap<RequestId, Pending<Attempt>>,
    control: HashMap<ControlRequestId, Pending<()>>,
    /// Requests abandoned here, the latest last: another attempt of the same id could not be told from them.
    abandoned: VecDeque<RequestId>,
    last_read: Instant,
    last_queued: Instant,
    /// An answer has begun and not ended.
    partial_answer: bool,
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
    /// One that is not established yet; [`io::run_connection`] does that.
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
            partial_answer: false,
            waker: None,
        };
        WorkerConnection {
            serial,
            worker: worker.to_string(),
            role,
            state: RefCell::new(state),
        }
    }

    /// Its number; never used twice.
    pub fn serial(&self) -> u64 {
        self.serial
    }
    /// Whether it has ended.
    pub fn has_ended(&self) -> bool {
        self.state.borrow().ended
    }
    /// Whether one more request may go out on it, with at most `streams` open at once. One that was idle for
    /// `max_reuse_idle` may be closing at the other end.
    pub fn accepts(&self, role: ConnectionRole, streams: usize, max_reuse_idle: Duration) -> bool {
        let state = self.state.borrow();
        let open = state.open_requests();
        let fresh = open > 0 || state.last_queued.elapsed() < max_reuse_idle;
        self.role == role && !state.retired && state.abort.is_none() && fresh && open < streams
    }
    /// Whether an attempt at this request was abandoned here: another's answer could not be told from its.
    pub fn has_abandoned(&self, id: &RequestId) -> bool {
        self.state.borrow().abandoned.contains(id)
    }
    /// Whether it stands and carries nothing.
    pub fn is_idle(&self) -> bool {
        let state = self.state.borrow();
        !state.ended
            && state.abort.is_none()
            && state.attempts.is_empty()
            && state.control.is_empty()
    }
    /// Whether it has carried nothing for so long.
    pub fn is_idle_for(&self, span: Duration) -> bool {
        let state = self.state.borrow();
        state.attempts.is_empty() && state.control.is_empty() && state.last_queued.elapsed() >= span
    }
    /// Whether it stopped in the middle of an answer, and nothing was read for so long.
    pub fn is_stalled(&self, span: Duration) -> bool {
        let state = self.state.borrow();
        state.partial_answer && state.last_read.elapsed() > span
    }

    fn wake(&self) {
        let waker = self.state.borrow_mut().waker.take();
        waker.into_iter().for_each(Waker::wake);
    }
    /// Ends at once.
    pub fn abort(&self, outcome: AttemptOutcome) {
        self.state.borrow_mut().abort.get_or_insert(outcome);
        self.wake();
    }
    /// Takes nothing new, and ends once nothing is open.
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
    /// Sends a message that has no answer.
    pub fn send_unacknowledged(&self, words: &[&[u8]]) {
        let mut bytes = Vec::new();
        tansy_resp::write_array(&mut bytes, words);
        let size = bytes.len();
        self.push(OutgoingMessage::Unacknowledged(bytes), size);
    }
    /// Sends a control request; its tag follows the first word.
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

    /// Abandons an attempt. Some: how it ended, at once; none: it has ended already.
    pub fn withdraw_attempt(&self, id: &RequestId) -> Option<AttemptOutcome> {
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
        self.retire_if_silent_since(pending.queued_at);
        self.send_unacknowledged(&[b"never_mind", id]);
        Some(AttemptOutcome::Cancelled)
    }
    /// Whether an attempt has begun to be sent; if not, it is cancelled, and the error is how it ended.
    pub fn confirm_started(&self, id: &RequestId) -> Result<(), AttemptOutcome> {
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
    /// Cancels a control request if nothing of it is sent; some: how it ended.
    pub fn cancel_control(&self, request: ControlRequestId) -> Option<AttemptOutcome> {
        let mut state = self.state.borrow_mut();
        if !state.outbox.cancel_control(request) {
            return None;
        }
        state.control.remove(&request);
        Some(AttemptOutcome::NeverLeft)
    }
    /// Abandons a control request.
    pub fn withdraw_control(&self, request: ControlRequestId) -> AttemptOutcome {
        let (pending, was_waiting) = {
            let mut state = self.state.borrow_mut();
            let pending = state.control.remove(&request);
            (pending, state.outbox.cancel_control(request))
        };
        match pending {
            Some(_) if was_waiting => AttemptOutcome::NeverLeft,
            Some(pending) => {
                self.retire_if_silent_since(pending.queued_at);
                AttemptOutcome::Cancelled
            }
            None => AttemptOutcome::Cancelled,
        }
    }

    /// If nothing was read since an abandoned request was queued, the connection may lead nowhere, so it takes nothing
    /// new.
    fn retire_if_silent_since(&self, queued_at: Instant) {
        let mut state = self.state.borrow_mut();
        state.retired |= state.last_read <= queued_at;
    }
}
