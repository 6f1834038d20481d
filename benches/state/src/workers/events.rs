//! Events of the simulation, ordered by virtual time.

use std::collections::BTreeMap;
use tansy_dispatch::{AttemptOutcome, CacheStatus, Trailers};
use tansyrouter::Micros;

/// Identifies an attempt of a call across all front ends.
#[derive(Clone, Copy)]
pub(super) struct AttemptId {
    pub front_end: usize,
    pub call: u64,
    pub attempt: u32,
}

/// Identifies a control request across all front ends.
#[derive(Clone, Copy)]
pub(super) struct ControlId {
    pub front_end: usize,
    pub request: u64,
}

/// Kind of control request; its discriminant indexes [`super::WorkerCounters::control_requests`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ControlRequestKind {
    /// Load an instance.
    Load,
    /// Report the number of instances.
    Query,
    /// Unload an idle instance.
    Unload,
    /// Check that the worker answers.
    Probe,
}

impl ControlRequestKind {
    /// Number of kinds.
    pub const COUNT: usize = 4;
}

/// A request that a worker has not answered yet.
#[derive(Clone, Copy)]
pub(super) enum WorkerRequest {
    Attempt {
        id: AttemptId,
        cache_status: CacheStatus,
    },
    Control(ControlId),
}

pub(super) enum Event {
    /// A client's call arrives at a front end.
    CallArrives { front_end: usize },
    /// A front end's timer expires.
    TimerDue { front_end: usize, due: Micros },
    /// An attempt arrives at a worker.
    AttemptArrives {
        worker: usize,
        function: usize,
        id: AttemptId,
    },
    /// A control request arrives at a worker.
    ControlRequestArrives {
        worker: usize,
        function: usize,
        id: ControlId,
        kind: ControlRequestKind,
    },
    /// A worker has loaded an instance.
    InstanceLoaded { worker: usize, function: usize },
    /// A worker has finished a call.
    CallFinished {
        worker: usize,
        function: usize,
        request: WorkerRequest,
    },
    /// The idle life of an instance ends, unless it has been used since `idle_since`.
    IdleTimeout {
        worker: usize,
        function: usize,
        idle_since: Micros,
    },
    /// A front end learns that an attempt was sent.
    AttemptSent(AttemptId),
    /// A front end learns how an attempt ended.
    AttemptEnded {
        id: AttemptId,
        outcome: AttemptOutcome,
        trailers: Trailers,
    },
    /// A front end learns how a control request ended.
    ControlRequestEnded {
        id: ControlId,
        outcome: AttemptOutcome,
        trailers: Trailers,
    },
}

/// The virtual clock and the pending events. Events of the same time are ordered by when they were scheduled.
#[derive(Default)]
pub(super) struct EventQueue {
    now: Micros,
    scheduled: u64,
    events: BTreeMap<(Micros, u64), Event>,
}

impl EventQueue {
    pub fn now(&self) -> Micros {
        self.now
    }

    pub fn schedule(&mut self, delay: Micros, event: Event) {
        self.scheduled += 1;
        let due = self.now + delay.max(0);
        self.events.insert((due, self.scheduled), event);
    }

    /// Removes the next event up to `end` and advances the clock to it, or to `end` if there is none.
    pub fn pop_until(&mut self, end: Micros) -> Option<Event> {
        let next = self.events.first_entry().filter(|e| e.key().0 <= end);
        let Some(entry) = next else {
            self.now = end;
            return None;
        };
        let ((due, _), event) = entry.remove_entry();
        self.now = due;
        Some(event)
    }

    /// Numbers of control requests and attempts in flight to a worker.
    pub fn in_flight(&self) -> (u64, u64) {
        let count = |matches: fn(&Event) -> bool| {
            self.events.values().filter(|event| matches(event)).count() as u64
        };
        (
            count(|event| matches!(event, Event::ControlRequestArrives { .. })),
            count(|event| matches!(event, Event::AttemptArrives { .. })),
        )
    }
}
