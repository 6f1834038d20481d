//! Events of the simulation, in the order of virtual time.

use std::collections::BTreeMap;
use tansy_dispatch::{AttemptOutcome, CacheStatus, Trailers};
use tansyrouter::Micros;

/// An attempt of a call, across all front ends.
#[derive(Clone, Copy)]
pub(super) struct AttemptId {
    pub front_end: usize,
    pub call: u64,
    pub attempt: u32,
}

/// A control request, across all front ends.
#[derive(Clone, Copy)]
pub(super) struct ControlId {
    pub front_end: usize,
    pub request: u64,
}

/// What a control request asks of a worker; its place in [`super::WorkerCounters::control_requests`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ControlRequestKind {
    /// Load an instance.
    Load,
    /// Report the number of instances.
    Query,
    /// Unload an idle instance.
    Unload,
    /// Show that the worker answers.
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
    /// A front end's timer runs out.
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
    /// A worker has run a call.
    CallFinished {
        worker: usize,
        function: usize,
        request: WorkerRequest,
    },
    /// The idle life of an instance is over if nothing used it since.
    IdleTimeout {
        worker: usize,
        function: usize,
        idle_since: Micros,
    },
    /// A front end learns that an attempt has left.
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

/// The clock, and the events to come; those of one moment in the order in which they were scheduled.
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

    /// The next event up to this moment, to which the clock moves; without one the clock moves to `end`.
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

    /// Control requests and attempts on their way to a worker.
    pub fn on_the_way(&self) -> (u64, u64) {
        let count = |matches: fn(&Event) -> bool| {
            self.events.values().filter(|event| matches(event)).count() as u64
        };
        (
            count(|event| matches!(event, Event::ControlRequestArrives { .. })),
            count(|event| matches!(event, Event::AttemptArrives { .. })),
        )
    }
}
