//! Guards: checks whether an attempt may be sent, a call retried or a load started. They run when the decision is made, and
//! again just before the bytes are sent, which may be much later.

use super::entries::{AttemptPhase, ControlKind, OpenCall};
use super::Dispatcher;
use crate::message::{CallId, ControlRequestId};
use tansyrouter::{Effect, Micros, Time, WorkerId, WorkerState};

/// Why an attempt or a control request may not be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DenialReason {
    /// The call, attempt or control request does not exist or has ended.
    NotFound,
    /// The call was answered, or its client left.
    Concluded,
    /// The deadline of the call passed.
    Expired,
    /// Another attempt at the call is in progress, or this attempt was already sent.
    InProgress,
    /// The worker is draining or gone.
    WorkerNotReady,
    /// An earlier attempt may have run, and the call must not run twice.
    MayHaveRun,
    /// An earlier attempt may have run, and the window in which workers drop repeats is over.
    RepeatWindowOver,
}

impl DenialReason {
    /// The reason as text for log messages.
    pub fn as_str(self) -> &'static str {
        match self {
            DenialReason::NotFound => "not found",
            DenialReason::Concluded => "concluded",
            DenialReason::Expired => "expired",
            DenialReason::InProgress => "in progress",
            DenialReason::WorkerNotReady => "worker not ready",
            DenialReason::MayHaveRun => "may have run",
            DenialReason::RepeatWindowOver => "repeat window over",
        }
    }
}

impl Dispatcher {
    /// Checks whether an attempt may be sent now. Returns the remaining budget of the call, microseconds.
    pub fn may_send(&self, now: Time, id: CallId, attempt: u32) -> Result<Micros, DenialReason> {
        let call = self.calls.get(&id).ok_or(DenialReason::NotFound)?;
        let attempt = call
            .attempt
            .as_ref()
            .filter(|current| current.number == attempt)
            .ok_or(DenialReason::NotFound)?;
        if call.answered {
            return Err(DenialReason::Concluded);
        }
        if now >= call.deadline {
            return Err(DenialReason::Expired);
        }
        if !matches!(
            attempt.phase,
            AttemptPhase::Opening | AttemptPhase::Confirming
        ) {
            return Err(DenialReason::InProgress);
        }
        self.may_assign(attempt.worker)?;
        self.may_retry(now, call)?;
        Ok(call.deadline.since(now))
    }

    /// Checks whether a new attempt at a call may be assigned to a worker.
    pub(super) fn may_start_attempt(
        &self,
        id: CallId,
        worker: WorkerId,
    ) -> Result<(), DenialReason> {
        let call = self.calls.get(&id).ok_or(DenialReason::NotFound)?;
        if call.answered {
            return Err(DenialReason::Concluded);
        }
        if call.attempt.is_some() {
            return Err(DenialReason::InProgress);
        }
        self.may_assign(worker)?;
        self.may_retry(self.now, call)
    }

    /// Checks whether a call may be sent again although earlier attempts may have run.
    fn may_retry(&self, now: Time, call: &OpenCall) -> Result<(), DenialReason> {
        let Some(first) = call.may_have_run_since else {
            return Ok(());
        };
        match self.config.settings.classes[call.class].effect {
            Effect::Safe => Ok(()),
            Effect::Unsafe => Err(DenialReason::MayHaveRun),
            Effect::Keyed { window, .. } if now.since(first) < window => Ok(()),
            Effect::Keyed { .. } => Err(DenialReason::RepeatWindowOver),
        }
    }

    /// Checks whether a worker accepts new work.
    pub(super) fn may_assign(&self, worker: WorkerId) -> Result<(), DenialReason> {
        match self.worker_states.get(&worker) {
            Some(WorkerState::Ready) => Ok(()),
            _ => Err(DenialReason::WorkerNotReady),
        }
    }

    /// Whether a control request loads instances, rather than only querying their number.
    pub fn is_load(&self, request: ControlRequestId) -> bool {
        self.control_requests
            .get(&request)
            .is_some_and(|request| request.kind == ControlKind::Load && request.instances > 0)
    }

    /// Checks whether a control request may be sent now. Only loads require a ready worker.
    pub fn may_send_control(&self, request: ControlRequestId) -> Result<(), DenialReason> {
        let request = self
            .control_requests
            .get(&request)
            .ok_or(DenialReason::NotFound)?;
        match request.kind {
            ControlKind::Load if request.instances > 0 => self.may_assign(request.worker),
            ControlKind::Load | ControlKind::Probe | ControlKind::Unload => Ok(()),
        }
    }
}
