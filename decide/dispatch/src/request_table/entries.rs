//! The rows of the request table: calls, attempts and control requests, and the timers that refer to them.

use crate::message::{CallId, ControlRequestId, FunctionShape};
use tansy_timer_wheel::{Handle, Wheel};
use tansyrouter::{FunctionId, Outcome, Time, WorkerId};

/// How far an attempt has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AttemptPhase {
    /// Its HEADERS are on their way, or have left and nobody asked.
    Opening,
    /// The driver was asked whether they have left.
    Confirming,
    /// They have left.
    Open,
    /// It was cancelled; the router learns of this outcome when the cancellation has left.
    Closing(Outcome),
}

/// An attempt that is out.
pub(super) struct Attempt {
    pub number: u32,
    pub worker: WorkerId,
    pub sent: Time,
    pub phase: AttemptPhase,
    /// At least one response message has come.
    pub response_began: bool,
    pub timer: Option<Handle>,
}

impl Attempt {
    /// An attempt that is sent now.
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

    /// Replaces the timer of the attempt, which belongs to this call.
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

/// A call that is owed an answer, or whose last attempt has not ended yet.
pub(super) struct OpenCall {
    pub function: FunctionId,
    pub class: usize,
    pub arrived: Time,
    pub deadline: Time,
    pub attempts_sent: u32,
    pub attempt: Option<Attempt>,
    pub answered: bool,
    /// How its last attempt ended.
    pub last_outcome: Option<Outcome>,
    /// When the first of its attempts that may have run was chosen.
    pub ran_from: Option<Time>,
    pub timer: Option<Handle>,
}

#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum ControlKind {
    Probe,
    Load,
    Unload,
}

/// A probe, a load or an unload that is out.
pub(super) struct ControlRequest {
    pub kind: ControlKind,
    pub worker: WorkerId,
    pub function: FunctionId,
    pub sent: Time,
    /// Of a load: 0 only asks how many instances there are.
    pub instances: u32,
    pub cancelled: bool,
    pub timer: Option<Handle>,
}

/// A load that a guard rejected; the router learns of its end at the close of the step.
pub(super) struct UndeliverableLoad {
    pub worker: WorkerId,
    pub function: FunctionId,
}

/// What an attempt's time-out waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AttemptTimeout {
    /// Its HEADERS leave.
    HeadersSent,
    /// It ends: the router gives it up, or its trailers lag.
    Ended,
    /// Its reset leaves.
    ResetSent,
}

/// What a timer is for.
#[derive(Clone, Copy, Debug)]
pub(super) enum TimerEvent {
    /// A timer that the router asked for, with its token.
    Router(u64),
    /// The time of a call is up.
    CallDeadline(CallId),
    /// An attempt has not come as far as it had to.
    Attempt {
        call: CallId,
        attempt: u32,
        timeout: AttemptTimeout,
    },
    /// A control request was not answered in time.
    ControlRequest(ControlRequestId),
    /// The grace period of the shutdown is over.
    ShutdownGraceOver,
}

/// What is believed of a function's instances.
#[derive(Default)]
pub(super) struct FunctionActivity {
    /// Loads that are out.
    pub loading: u32,
    /// When an instance was last known to be warm.
    pub warm_at: Option<Time>,
}

/// The class and shape of a function that the settings do not name, from its lookup.
#[derive(Clone, Copy)]
pub(super) struct ResolvedFunction {
    pub class: usize,
    pub shape: FunctionShape,
}
