//! The entries of the request table: calls, attempts, control requests and their timers.

use crate::message::{CallId, ControlRequestId, FunctionShape};
use tansy_timer_wheel::{Handle, Wheel};
use tansyrouter::{FunctionId, Outcome, Time, WorkerId};

/// The phase of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AttemptPhase {
    /// It is not known yet whether the HEADERS were sent.
    Opening,
    /// The driver was asked whether the HEADERS were sent.
    Confirming,
    /// The HEADERS were sent.
    Open,
    /// The attempt was cancelled; this outcome is reported to the router once the attempt has ended.
    Closing(Outcome),
}

/// An attempt in progress.
pub(super) struct Attempt {
    pub number: u32,
    pub worker: WorkerId,
    pub sent: Time,
    pub phase: AttemptPhase,
    /// Whether a response message has arrived.
    pub response_began: bool,
    pub timer: Option<Handle>,
}

impl Attempt {
    /// Creates an attempt that is sent at `now`.
    pub fn new(number: u32, worker: WorkerId, now: Time) -> Attempt {
        Attempt {
            number,
            worker,
            sent: now,
            phase: AttemptPhase::Opening,
            response_began: false,
            timer: None,
        }
    }

    /// Replaces the timer of this attempt of `call`.
    pub fn set_timeout(
        &mut self,
        timers: &mut Wheel<TimerEvent>,
        call: CallId,
        timeout: AttemptTimeout,
        at: Time,
    ) {
        if let Some(timer) = self.timer.take() {
            timers.clear(timer);
        }
        let event = TimerEvent::Attempt {
            call,
            attempt: self.number,
            timeout,
        };
        self.timer = Some(timers.set(at.0, event));
    }
}

/// A call that is not answered yet, or whose last attempt has not ended yet.
pub(super) struct OpenCall {
    pub function: FunctionId,
    /// Index of the class in the router.
    pub class: usize,
    pub arrived: Time,
    pub deadline: Time,
    pub attempts_sent: u32,
    pub attempt: Option<Attempt>,
    pub answered: bool,
    /// Outcome of the last attempt.
    pub last_outcome: Option<Outcome>,
    /// When the first attempt that may have run was handed to the driver.
    pub may_have_run_since: Option<Time>,
    pub timer: Option<Handle>,
}

#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum ControlKind {
    Probe,
    Load,
    Unload,
}

/// A probe, a load or an unload in progress.
pub(super) struct ControlRequest {
    pub kind: ControlKind,
    pub worker: WorkerId,
    pub function: FunctionId,
    pub sent: Time,
    /// Requested instances of a load; 0 only queries how many are loaded.
    pub instances: u32,
    pub cancelled: bool,
    pub timer: Option<Handle>,
}

/// A load that a guard rejected; reported to the router as ended at the end of the step.
pub(super) struct UndeliverableLoad {
    pub worker: WorkerId,
    pub function: FunctionId,
}

/// The event that must happen before the timeout of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AttemptTimeout {
    /// The HEADERS are sent.
    HeadersSent,
    /// The attempt ends: within the limit set by the router, or soon after the last response message.
    Ended,
    /// The reset of the stream is sent.
    ResetSent,
}

/// What to do when a timer is due.
#[derive(Clone, Copy, Debug)]
pub(super) enum TimerEvent {
    /// Return this token to the router, which requested the timer.
    Router(u64),
    /// Answer a call whose deadline has passed.
    CallDeadline(CallId),
    /// Act on an attempt that did not progress in time.
    Attempt {
        call: CallId,
        attempt: u32,
        timeout: AttemptTimeout,
    },
    /// Cancel a control request that was not answered in time.
    ControlRequest(ControlRequestId),
    /// Fail all open calls: the grace period of the shutdown is over.
    ShutdownGraceOver,
}

/// Recent activity of a function, from which its state is estimated.
#[derive(Default)]
pub(super) struct FunctionActivity {
    /// Loads in progress.
    pub loading: u32,
    /// When an instance was last known to be loaded.
    pub warm_at: Option<Time>,
}

/// Class and resource requirements of a function that the settings do not name, from its lookup.
#[derive(Clone, Copy)]
pub(super) struct ResolvedFunction {
    pub class: usize,
    pub shape: FunctionShape,
}
