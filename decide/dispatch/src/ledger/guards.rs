//! The guards: whether an attempt may be sent, a request repeated, a load started. Each has its one home here. They are asked
//! where something is decided, and once more as its bytes are about to leave, which can be long after.

use super::*;

/// Why something is held back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denied {
    /// There is no such call, attempt or order any more.
    Unknown,
    /// The call has its answer, or its client has gone.
    Concluded,
    /// The call's time is up.
    Expired,
    /// Another attempt at it is out, or this one has begun already.
    UnderWay,
    /// The worker drains or is gone.
    NotReady,
    /// An earlier attempt may have run, and the call must not run twice.
    MayHaveRun,
    /// An earlier attempt may have run, and the time in which its repeats are dropped is over.
    WindowOver,
}

impl Denied {
    /// For logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Denied::Unknown => "unknown",
            Denied::Concluded => "concluded",
            Denied::Expired => "expired",
            Denied::UnderWay => "under way",
            Denied::NotReady => "worker not ready",
            Denied::MayHaveRun => "may have run",
            Denied::WindowOver => "repeat window over",
        }
    }
}

impl Front {
    /// Whether an attempt may leave at this moment; the time that its worker has for it, microseconds.
    pub fn may_send(&self, now: Time, id: CallId, attempt: u32) -> Result<Span, Denied> {
        let call = self.calls.get(&id).ok_or(Denied::Unknown)?;
        let attempt = call
            .attempt
            .as_ref()
            .filter(|a| a.number == attempt)
            .ok_or(Denied::Unknown)?;
        if call.answered {
            return Err(Denied::Concluded);
        }
        if now >= call.deadline {
            return Err(Denied::Expired);
        }
        if !matches!(attempt.phase, Phase::Opening | Phase::Confirming) {
            return Err(Denied::UnderWay);
        }
        self.may_use(attempt.worker)?;
        self.may_repeat(now, call)?;
        Ok(call.deadline.since(now))
    }

    /// Whether an attempt at a call may be chosen for a worker.
    pub(super) fn may_begin(&self, id: CallId, worker: WorkerId) -> Result<(), Denied> {
        let call = self.calls.get(&id).ok_or(Denied::Unknown)?;
        if call.answered {
            return Err(Denied::Concluded);
        }
        if call.attempt.is_some() {
            return Err(Denied::UnderWay);
        }
        self.may_use(worker)?;
        self.may_repeat(self.now, call)
    }

    /// Whether a further attempt at a call may begin, for all that its earlier ones may have done.
    pub(super) fn may_repeat(&self, now: Time, call: &OpenCall) -> Result<(), Denied> {
        let Some(first) = call.ran_from else {
            return Ok(());
        };
        match self.config.settings.classes[call.class].effect {
            Effect::Safe => Ok(()),
            Effect::Unsafe => Err(Denied::MayHaveRun),
            Effect::Keyed { window, .. } if now.since(first) < window => Ok(()),
            Effect::Keyed { .. } => Err(Denied::WindowOver),
        }
    }

    /// Whether a worker takes new work.
    pub(super) fn may_use(&self, worker: WorkerId) -> Result<(), Denied> {
        match self.states.get(&worker) {
            Some(WorkerState::Ready) => Ok(()),
            _ => Err(Denied::NotReady),
        }
    }

    /// Whether an order is one to load, and not just to ask.
    pub fn loads(&self, order: OrderId) -> bool {
        self.order_list
            .get(&order)
            .is_some_and(|o| o.kind == OrderKind::Load && o.instances > 0)
    }

    /// Whether an order may leave at this moment. Asking costs nothing and is free at any time.
    pub fn may_start(&self, order: OrderId) -> Result<(), Denied> {
        let order = self.order_list.get(&order).ok_or(Denied::Unknown)?;
        match order.kind {
            OrderKind::Load if order.instances > 0 => self.may_use(order.worker),
            OrderKind::Load | OrderKind::Probe | OrderKind::Unload => Ok(()),
        }
    }
}
