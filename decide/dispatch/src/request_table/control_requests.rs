//! Control requests: probes, loads and unloads.

use super::entries::{ControlKind, ControlRequest, TimerEvent, UndeliverableLoad};
use super::Dispatcher;
use crate::load_failures::LoadFailure;
use crate::message::{Command, ControlRequestId};
use crate::outcome::{classify, AttemptOutcome, LoadReport, Trailers};
use tansyrouter::{Event, FunctionId, Micros, Outcome, WorkerId};

/// Timeout of a probe, in connect timeouts.
const PROBE_CONNECT_TIMEOUTS: Micros = 2;

impl Dispatcher {
    pub(super) fn send_control_request(
        &mut self,
        kind: ControlKind,
        worker: WorkerId,
        function: FunctionId,
        instances: u32,
        commands: &mut Vec<Command>,
    ) {
        let ready = self.may_assign(worker).is_ok();
        let names = self.worker_name(worker).zip(match kind {
            ControlKind::Probe => Some(String::new()),
            ControlKind::Load | ControlKind::Unload => self.function_name(function),
        });
        let Some((worker_name, function_name)) = names.filter(|_| ready) else {
            // No control request goes to a worker that is not ready. The router expects an end for each load.
            self.counters.guard_rejections += 1;
            debug_assert!(ready, "a control request to {worker:?}, which is not ready");
            if kind == ControlKind::Load {
                self.undeliverable_loads
                    .push(UndeliverableLoad { worker, function });
            }
            return;
        };
        let request = self.register_control_request(kind, worker, function, instances);
        self.count_control_request(kind, function, instances);
        commands.push(match kind {
            ControlKind::Probe => Command::Probe {
                request,
                worker: worker_name,
            },
            ControlKind::Load => Command::Load {
                request,
                worker: worker_name,
                function: function_name,
                instances,
            },
            ControlKind::Unload => Command::Unload {
                request,
                worker: worker_name,
                function: function_name,
            },
        });
    }

    fn register_control_request(
        &mut self,
        kind: ControlKind,
        worker: WorkerId,
        function: FunctionId,
        instances: u32,
    ) -> ControlRequestId {
        let id = ControlRequestId(self.next_control_request);
        self.next_control_request += 1;
        let settings = &self.config.settings;
        let timeout = match kind {
            ControlKind::Probe => PROBE_CONNECT_TIMEOUTS * settings.connect_timeout,
            ControlKind::Load | ControlKind::Unload => settings.load_timeout,
        };
        let due = self.now.plus(timeout);
        let timer = self.timers.set(due.0, TimerEvent::ControlRequest(id));
        let request = ControlRequest {
            kind,
            worker,
            function,
            sent: self.now,
            instances,
            cancelled: false,
            timer: Some(timer),
        };
        self.control_requests.insert(id, request);
        id
    }

    fn count_control_request(&mut self, kind: ControlKind, function: FunctionId, instances: u32) {
        match kind {
            ControlKind::Probe => self.counters.probes += 1,
            ControlKind::Load if instances > 0 => {
                self.counters.loads += 1;
                if let Some(activity) = self.activity_mut(function) {
                    activity.loading += 1;
                }
            }
            ControlKind::Load => self.counters.instance_queries += 1,
            ControlKind::Unload => self.counters.unloads += 1,
        }
    }

    pub(super) fn on_control_request_ended(
        &mut self,
        id: ControlRequestId,
        observed: AttemptOutcome,
        trailers: Trailers,
        commands: &mut Vec<Command>,
    ) {
        let Some(request) = self.control_requests.remove(&id) else {
            return;
        };
        if let Some(timer) = request.timer {
            self.timers.clear(timer);
        }
        // Unlike a call, a control request succeeds by its status alone, without a response message.
        let outcome = match observed {
            AttemptOutcome::Status { code: 0, .. } => Outcome::Served,
            _ if request.cancelled => Outcome::TimedOut,
            _ => classify(observed, &trailers).outcome,
        };
        match request.kind {
            ControlKind::Probe => {
                let event = Event::ProbeEnded {
                    worker: request.worker,
                    outcome,
                    latency: self.now.since(request.sent),
                    report: trailers.report.map(LoadReport::into),
                };
                self.notify_router(event, commands);
            }
            ControlKind::Load => {
                let instances = trailers
                    .instances
                    .filter(|_| outcome == Outcome::Served)
                    .unwrap_or(0);
                self.on_load_ended(&request, observed, outcome, instances, commands);
            }
            ControlKind::Unload => {}
        }
    }

    /// Handles the end of a load, after which the worker has `instances` instances of the function.
    fn on_load_ended(
        &mut self,
        load: &ControlRequest,
        observed: AttemptOutcome,
        outcome: Outcome,
        instances: u32,
        commands: &mut Vec<Command>,
    ) {
        let now = self.now;
        if let Some(activity) = self.activity_mut(load.function) {
            if load.instances > 0 {
                activity.loading = activity.loading.saturating_sub(1);
            }
            if instances > 0 {
                activity.warm_at = Some(now);
            }
        }
        if instances > 0 {
            self.load_failures.on_successful_load(load.worker);
        } else if load.instances > 0 || outcome != Outcome::Served {
            self.on_load_without_effect(load, observed, commands);
        }
        let event = Event::LoadEnded {
            worker: load.worker,
            function: load.function,
            outcome,
            latency: self.now.since(load.sent),
            instances,
        };
        self.notify_router(event, commands);
    }

    fn on_load_without_effect(
        &mut self,
        load: &ControlRequest,
        observed: AttemptOutcome,
        commands: &mut Vec<Command>,
    ) {
        self.counters.loads_without_effect += 1;
        let due_report =
            self.load_failures
                .on_failed_load(self.now, load.worker, load.function, observed);
        let Some(failure) = due_report else {
            return;
        };
        if let Some((worker, function)) = self.names_of(load.worker, load.function) {
            commands.push(Command::ReportLoadFailures {
                worker,
                function,
                outcome: observed,
                failed_loads: failure.failed_loads,
            });
        }
    }

    /// Reports the loads that a guard rejected in this step to the router as ended.
    pub(super) fn report_undeliverable_loads(&mut self, commands: &mut Vec<Command>) {
        while let Some(load) = self.undeliverable_loads.pop() {
            let event = Event::LoadEnded {
                worker: load.worker,
                function: load.function,
                outcome: Outcome::NotSent,
                latency: 0,
                instances: 0,
            };
            self.notify_router(event, commands);
        }
    }

    fn function_name(&self, function: FunctionId) -> Option<String> {
        self.function_names.name(function.0).map(str::to_string)
    }

    fn names_of(&self, worker: WorkerId, function: FunctionId) -> Option<(String, String)> {
        self.worker_name(worker).zip(self.function_name(function))
    }

    /// Workers whose last load left no instance: worker name, function name, and the failures.
    pub fn load_failures(&self) -> impl Iterator<Item = (String, String, &LoadFailure)> {
        self.load_failures.iter().filter_map(|(id, failure)| {
            let (worker, function) = self.names_of(id, failure.function)?;
            Some((worker, function, failure))
        })
    }
}
