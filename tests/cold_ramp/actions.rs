//! Carries out the actions of routers.

use super::{SimulatedEvent, Simulation};
use crate::scenario::{MS, NETWORK_DELAY};
use crate::workers::{Attempt, FrontEndId};
use tansyrouter::*;

impl Simulation {
    /// Carries out an action of the router of this front end.
    pub(super) fn carry_out(&mut self, front_end: FrontEndId, action: Action) {
        match action {
            Action::Send {
                request, worker, ..
            } => self.send(front_end, request, worker),
            Action::Reject { request, .. } | Action::Fail { request } => {
                self.calls.remove(&(front_end, request));
                self.unserved += 1;
            }
            Action::Load {
                worker,
                function,
                instances: 0,
            } => self.report_instances(front_end, worker, function),
            Action::Load {
                worker, function, ..
            } => self.load(front_end, worker, function),
            Action::SetTimer { at, .. } => self.set_timer(front_end.index, at),
            _ => {}
        }
    }

    fn send(&mut self, front_end: FrontEndId, request: RequestId, worker: WorkerId) {
        let Some(call) = self.calls.get_mut(&(front_end, request)) else {
            return;
        };
        let attempt = Attempt {
            front_end,
            request,
            number: call.attempts,
            worker: worker.0,
            function: call.function,
            class: call.class,
            work: call.work,
        };
        call.attempts += 1;
        let arrival = self.now.plus(NETWORK_DELAY);
        self.schedule(arrival, SimulatedEvent::AttemptArrived(attempt));
    }

    /// Answers a query for the loaded instances of a function.
    fn report_instances(&mut self, front_end: FrontEndId, worker: WorkerId, function: FunctionId) {
        let loaded = &self.workers[&worker.0].loaded;
        let event = Event::LoadEnded {
            worker,
            function,
            outcome: Outcome::Served,
            latency: MS,
            instances: loaded.contains_key(&function.0) as u32,
        };
        let router_event = SimulatedEvent::RouterEvent { front_end, event };
        self.schedule(self.now.plus(MS), router_event);
    }

    fn load(&mut self, front_end: FrontEndId, worker: WorkerId, function: FunctionId) {
        let load_time = 400 * MS + self.rng.i64(0..400) * MS;
        let loaded = SimulatedEvent::Loaded {
            front_end,
            worker: worker.0,
            function: function.0,
            sent: self.now,
        };
        self.schedule(self.now.plus(load_time), loaded);
    }

    fn set_timer(&mut self, index: usize, at: Time) {
        let timer = &mut self.front_ends[index].timer;
        if timer.is_none_or(|timer| at < timer) {
            *timer = Some(at);
            self.schedule(at, SimulatedEvent::Timer(index));
        }
    }
}
