//! The decision module alone as the system under test.

use super::system::{execute_immediately, LoadRequest, Output, SentAttempt, SystemUnderTest};
use super::UTILIZATION;
use crate::inputs::{CLASSES, LOAD_TIME};
use tansyrouter::{
    Action, Arrival, AttemptResult, Event, FunctionId, InstanceStatus, LoadReport, Micros, Outcome,
    RequestId, Router, Time, WorkerId, SECOND,
};

/// A router, driven by the workload.
pub struct RouterAdapter {
    router: Router,
    actions: Vec<Action>,
    next_timer: Option<Micros>,
}

/// A call as an arrival at the router.
pub fn arrival(call: u64, function: usize) -> Arrival {
    Arrival {
        request: RequestId(call),
        function: FunctionId(function as u64),
        class: function % CLASSES,
        tenant: 0,
        budget: 5 * SECOND,
        work_hint: None,
        lanes: 1,
        memory_mb: 256.0,
        load_time: Some(LOAD_TIME),
        is_client_retry: false,
    }
}

impl RouterAdapter {
    /// Wraps a router.
    pub fn new(router: Router) -> RouterAdapter {
        RouterAdapter {
            router,
            actions: Vec::new(),
            next_timer: Some(0),
        }
    }

    /// Applies an event before the workload starts, and executes its outputs immediately.
    pub fn apply(&mut self, now: Micros, event: Event) {
        let mut outputs = Vec::new();
        self.handle(now, event, &mut outputs);
        execute_immediately(self, now, outputs);
    }

    fn handle(&mut self, now: Micros, event: Event, outputs: &mut Vec<Output>) {
        self.router.handle(Time(now), event, &mut self.actions);
        for action in self.actions.drain(..) {
            match action {
                Action::SetTimer { at, .. } => self.next_timer = Some(at.0),
                action => outputs.extend(output(now, action)),
            }
        }
    }
}

fn output(now: Micros, action: Action) -> Option<Output> {
    match action {
        Action::Send {
            request, worker, ..
        } => Some(Output::Send(SentAttempt {
            call: request.0,
            attempt: 0,
            worker: worker.0 as usize,
            sent_at: now,
            warm: true,
        })),
        Action::Load {
            worker,
            function,
            instances,
        } => Some(Output::Load(LoadRequest {
            id: 0,
            worker: worker.0 as usize,
            function: function.0 as usize,
            instances,
            sent_at: now,
        })),
        Action::Reject { request, .. } | Action::Fail { request } => Some(Output::CallEnded {
            call: request.0,
            served: false,
        }),
        _ => None,
    }
}

impl SystemUnderTest for RouterAdapter {
    fn on_call(&mut self, now: Micros, call: u64, function: usize, outputs: &mut Vec<Output>) {
        self.handle(now, Event::Arrival(arrival(call, function)), outputs);
    }

    fn on_served(&mut self, now: Micros, sent: SentAttempt, outputs: &mut Vec<Output>) {
        let instance_status = if sent.warm {
            InstanceStatus::Warm
        } else {
            InstanceStatus::StartedLoad
        };
        let result = AttemptResult {
            request: RequestId(sent.call),
            attempt: sent.attempt,
            worker: WorkerId(sent.worker as u64),
            outcome: Outcome::Served,
            concluded: true,
            latency: now - sent.sent_at,
            instance_status,
            concurrency: None,
            report: Some(LoadReport {
                utilization: Some(UTILIZATION),
                ..LoadReport::default()
            }),
        };
        self.handle(now, Event::AttemptEnded(result), outputs);
        outputs.push(Output::CallEnded {
            call: sent.call,
            served: true,
        });
    }

    fn on_load_ended(
        &mut self,
        now: Micros,
        request: LoadRequest,
        instances: u32,
        outputs: &mut Vec<Output>,
    ) {
        let event = Event::LoadEnded {
            worker: WorkerId(request.worker as u64),
            function: FunctionId(request.function as u64),
            outcome: Outcome::Served,
            latency: now - request.sent_at,
            instances,
        };
        self.handle(now, event, outputs);
    }

    fn on_timer(&mut self, now: Micros, outputs: &mut Vec<Output>) {
        self.next_timer = None;
        self.handle(now, Event::Timer { token: 0 }, outputs);
    }

    fn next_timer(&self) -> Option<Micros> {
        self.next_timer
    }
}
